"""Start-up settings, list lines and ids in the module's words, the same for every protocol that drives it."""

from hashlib import blake2b

from .policy import interface as i

TENTH = 100_000  # nanoseconds

KINDS = {"repeatable": i.IDEMPOTENT, "by_key": i.JOURNALLED, "once": i.NON_IDEMPOTENT}
GROUPS = {"all": i.EVERYWHERE, "zone": i.ZONE, "cell": i.CELL}


def number(word: str) -> int:
    """The same whole number for a word in every process."""
    return int.from_bytes(blake2b(word.encode(), digest_size=6).digest(), "big")


def up(ns: int) -> int:
    return -(-ns // TENTH)


def word(setup: dict, name: str, words: tuple[str, ...], default: str | None = None) -> str:
    found = setup[name] if default is None else setup.get(name, default)
    if not isinstance(found, str) or found not in words:
        raise ValueError(f"settings.{name}: {found!r} is none of {', '.join(words)}")
    return found


def whole(setup: dict, name: str, least: int) -> int:
    found = setup[name]
    if isinstance(found, bool) or not isinstance(found, int) or found < least:
        raise ValueError(f"settings.{name}: {found!r} is no whole number from {least} up")
    return found


def yes(group: dict, name: str, of: str = "allowed") -> bool:
    found = group.get(name, False)
    if not isinstance(found, bool):
        raise ValueError(f"settings.{of}.{name}: {found!r} is neither true nor false")
    return found


def places(profile: dict, name: str, known: list[str] | None) -> frozenset | None:
    """Of a bound profile: where it may go. A misspelt place would keep it from running anywhere, unseen."""
    found = profile.get(name)
    if found is None:
        return None
    if not isinstance(found, list) or not found or not all(isinstance(each, str) for each in found):
        raise ValueError(f"settings.profiles[{profile['name']}].{name}: {found!r} is no list of names")
    strange = sorted(set(found).difference(known or found))
    if strange:
        raise ValueError(f"settings.profiles[{profile['name']}].{name}: {strange[0]!r} is not known here")
    return frozenset(found)


def agreement(setup: dict) -> i.Agreement:
    rules, allowed, prices = setup["rules"], setup["allowed"], setup.get("prices", {})
    profiles = tuple(
        i.Profile(
            KINDS[p["effect"]],
            GROUPS[p.get("group") or "all"],
            p.get("repeat_window_ns", 0) // TENTH,
            p["service_goal_ns"] // TENTH,
            places(p, "stays_in", setup.get("areas")),
            places(p, "host_types_open", setup.get("host_types")),
        )
        for p in setup["profiles"]
    )
    return i.Agreement(
        profiles=profiles,
        position=whole(setup, "position", 0),
        proxies=whole(setup, "balancers", 1),
        zone=setup.get("zone", ""),
        warm_keys=bool((setup.get("family_info") or {}).get("warm_keys")),
        cross_price=prices.get("cross_zone", 0.0),
        list_on_request=word(setup, "discovery", ("on_request", "pushed")) == "on_request",
        ask_within=rules["ask_within_ns"] // TENTH,
        cold_share=rules["cold_from"],
        cold_time=up(rules["cold_ns"]),
        fall_multiple=rules["overload_factor"],
        fall_time=up(rules["fall_ns"]),
        max_hops=allowed["max_hops"],
        cancelling=bool(allowed.get("cancelling")),
        come_back_max=allowed.get("max_retry_after_ns", 0) // TENTH if allowed.get("retry_after") else 0,
        live_weights=word(setup, "weights", ("nominal", "off", "rough", "live"), "nominal") == "live",
        peers=yes(allowed, "peers"),
        only_draining_binds=yes(rules, "only_draining_binds", "rules"),
        grace=rules.get("drain_grace_ns", 0) // TENTH,
    )


def profiles(setup: dict) -> dict[str, int]:
    """The numbers that stand for the profiles' names."""
    return {p["name"]: n for n, p in enumerate(setup["profiles"])}


def host(
    index: int,
    mark: int,
    zone: str,
    cell: int,
    ready: bool,
    weight: float | None,
    started_ns: int,
    kind: str = "",
    draining: bool = False,
) -> i.Host:
    """A line of the host list. `mark` is the number of what every proxy calls the host."""
    started = up(started_ns) if started_ns else None
    # guards against a weight of nothing or less, which no share can be taken of
    size = weight if weight and weight > 0 else 1.0
    return i.Host(index, mark, zone, cell, ready, size, started, kind, draining)
