"""Converts start-up settings, host list entries and ids to the types of policy.interface."""

from hashlib import blake2b

from .policy import interface

TICK_NS = 100_000

REPEAT_KINDS = {
    "repeatable": interface.IDEMPOTENT,
    "by_key": interface.JOURNALLED,
    "once": interface.NON_IDEMPOTENT,
}
REPEAT_GROUPS = {"all": interface.EVERYWHERE, "zone": interface.ZONE, "cell": interface.CELL}


def stable_number(text: str) -> int:
    """A number for a text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")


def ticks_rounded_up(ns: int) -> int:
    """Nanoseconds in ticks of 0.1 ms; used where a time that is too short would do harm."""
    return -(-ns // TICK_NS)


def choice(setup: dict, name: str, choices: tuple[str, ...], default: str | None = None) -> str:
    """A setting that is one of `choices`; ValueError if it is not."""
    found = setup[name] if default is None else setup.get(name, default)
    if not isinstance(found, str) or found not in choices:
        raise ValueError(f"settings.{name}: {found!r} is not one of {', '.join(choices)}")
    return found


def integer(setup: dict, name: str, least: int) -> int:
    """A setting that is an integer of `least` or more; ValueError if it is not."""
    found = setup[name]
    if isinstance(found, bool) or not isinstance(found, int) or found < least:
        raise ValueError(f"settings.{name}: {found!r} is not an integer of {least} or more")
    return found


def boolean(group: dict, name: str, of: str = "allowed") -> bool:
    """A setting of the group `of` that is a boolean, false by default; ValueError if it is not."""
    found = group.get(name, False)
    if not isinstance(found, bool):
        raise ValueError(f"settings.{of}.{name}: {found!r} is not a boolean")
    return found


def name_set(profile: dict, name: str, known: list[str] | None) -> frozenset | None:
    """Zones or host kinds of a profile with placement; a misspelt name would silently allow no host."""
    found = profile.get(name)
    if found is None:
        return None
    if not isinstance(found, list) or not found or not all(isinstance(each, str) for each in found):
        raise ValueError(f"settings.profiles[{profile['name']}].{name}: {found!r} is not a list of names")
    unknown = sorted(set(found).difference(known or found))
    if unknown:
        raise ValueError(f"settings.profiles[{profile['name']}].{name}: {unknown[0]!r} is not known here")
    return frozenset(found)


def policy_settings(setup: dict) -> interface.PolicySettings:
    """Settings of the decisions, from the settings of a start-up file.

    KeyError: one is missing; ValueError: one is not valid.
    """
    rules, allowed, prices = setup["rules"], setup["allowed"], setup.get("prices", {})
    profiles = tuple(
        interface.Profile(
            REPEAT_KINDS[p["effect"]],
            REPEAT_GROUPS[p.get("group") or "all"],
            p.get("repeat_window_ns", 0) // TICK_NS,
            p["service_goal_ns"] // TICK_NS,
            name_set(p, "stays_in", setup.get("areas")),
            name_set(p, "host_types_open", setup.get("host_types")),
        )
        for p in setup["profiles"]
    )
    return interface.PolicySettings(
        profiles=profiles,
        position=integer(setup, "position", 0),
        proxies=integer(setup, "balancers", 1),
        zone=setup.get("zone", ""),
        warm_keys=bool((setup.get("family_info") or {}).get("warm_keys")),
        cross_zone_price=prices.get("cross_zone", 0.0),
        list_on_request=choice(setup, "discovery", ("on_request", "pushed")) == "on_request",
        list_poll_interval=rules["ask_within_ns"] // TICK_NS,
        slow_start_share=rules["cold_from"],
        slow_start_time=ticks_rounded_up(rules["cold_ns"]),
        overload_factor=rules["overload_factor"],
        overload_time=ticks_rounded_up(rules["fall_ns"]),
        max_attempts=allowed["max_hops"],
        can_cancel=bool(allowed.get("cancelling")),
        max_retry_after=allowed.get("max_retry_after_ns", 0) // TICK_NS if allowed.get("retry_after") else 0,
        live_weights=choice(setup, "weights", ("nominal", "off", "rough", "live"), "nominal") == "live",
        peer_reports=boolean(allowed, "peers"),
        use_unlisted=boolean(rules, "only_draining_binds", "rules"),
        drain_grace=rules.get("drain_grace_ns", 0) // TICK_NS,
    )


def profile_indices(setup: dict) -> dict[str, int]:
    """Profile names to their indices."""
    return {p["name"]: n for n, p in enumerate(setup["profiles"])}


def host_entry(
    host_id: int,
    hash_number: int,
    zone: str,
    cell: int,
    ready: bool,
    weight: float | None,
    started_ns: int,
    kind: str = "",
    draining: bool = False,
) -> interface.HostEntry:
    """An entry of the host list. `hash_number`: stable_number of the host's name, the same at every proxy."""
    started = ticks_rounded_up(started_ns) if started_ns else None
    # a weight of zero or less would divide by zero and give shares below zero
    size = weight if weight and weight > 0 else 1.0
    return interface.HostEntry(host_id, hash_number, zone, cell, ready, size, started, kind, draining)
