"""What the decisions know, as plain values, and back: an old process leaves it to its successor. Pure.

Times in it are those of the decisions' clock, which both processes read. What is for a while (bans, backoffs,
the cold slice) goes on to its end; what is a judgement of the present (how crowded hosts are) fades by half
for each `fade` that has passed since. A host that has started anew is known by its list line alone.
"""

from ..policy.interface import HostListReceived
from ..policy.measure import SlidingWindow

# stored name -> attribute
WHOLE = {  # as they were
    "quiet_mix": "base_latency",
    "usual_rate": "commit_rate",
    "cores": "load",
    "unread": "unread_delay",
}
OF_LATENCY = {"mean": "mean", "deviation": "deviation", "quiet": "base", "level": "slow_mean"}
OF_SERVER = {
    "size": "capacity",
    "proven": "trusted",
    "throttles": "throttles",
    "failures": "failures",
    "heard": "last_answer",
    "passed": "answered_send",
    "erring": "error_rate",
}
WINDOWS = ("sent", "committed")


def told(proxy, ids: dict[int, str], profiles: list[str]) -> dict:
    """`ids`: hosts' ids by number; `profiles`: names by index. Of hosts with no id nothing is told."""
    return {
        "at": proxy.now,
        "born": proxy.started,
        "strain": proxy.slowdown,
        "sent": list(proxy.sent.times),
        **{name: getattr(proxy, attribute) for name, attribute in WHOLE.items()},
        "latency": {
            name: [getattr(known, attribute) for attribute in OF_LATENCY.values()]
            for name, known in zip(profiles, proxy.latency, strict=True)
        },
        "hosts": {
            ids[number]: server_told(server, profiles)
            for number, server in proxy.hosts.items()
            if number in ids and server.entry.ready
        },
    }


def server_told(server, profiles: list[str]) -> dict:
    return {
        **{name: getattr(server, attribute) for name, attribute in OF_SERVER.items()},
        **{name: list(getattr(server, name).times) for name in WINDOWS},
        "started": server.entry.started_at,
        "fresh_from": server.cold_since,
        "strain": server.slowdown,
        "away": {reason: until for reason, until in server.excluded_until.items() if isinstance(reason, str)},
        "away_for": {
            profiles[kind]: until
            for kind, until in server.excluded_until.items()
            if not isinstance(kind, str)
        },
    }


def taken_over(proxy, known: dict, numbers: dict[str, int], profiles: list[str], now: int, fade: int) -> int:
    """Put it into a new proxy that has its first list; how many hosts it fitted.

    ValueError, TypeError, KeyError or AttributeError: it is not sound; the proxy may hold a part of it.
    """
    left = 0.5 ** max(0.0, min(64.0, (now - int(known["at"])) / fade))
    proxy.started = min(now, int(known["born"]))
    proxy.slowdown = 1.0 + (float(known["strain"]) - 1.0) * left
    for name, attribute in WHOLE.items():
        setattr(proxy, attribute, max(0.0, float(known[name])))
    proxy.sent.times.extend(times(known["sent"], now))
    for name, latency in zip(profiles, proxy.latency, strict=True):
        for field, value in zip(OF_LATENCY.values(), known["latency"].get(name, ()), strict=False):
            setattr(latency, field, max(0.0, float(value)))
    fitted = 0
    for host, plain in known["hosts"].items():
        server = proxy.hosts.get(numbers.get(host, -1))
        if server is not None and server.entry.started_at == plain["started"]:
            server_taken_over(server, plain, profiles, now, left)
            fitted += 1
    proxy.handle(now, HostListReceived((), False, False))  # ranks by what it now knows
    return fitted


def server_taken_over(server, plain: dict, profiles: list[str], now: int, left: float) -> None:
    for name, attribute in OF_SERVER.items():
        setattr(server, attribute, type(getattr(server, attribute))(plain[name]))
    for name in WINDOWS:
        window: SlidingWindow = getattr(server, name)
        window.times.extend(times(plain[name], now))
    server.cold_since = None if plain["fresh_from"] is None else int(plain["fresh_from"])
    server.slowdown = 1.0 + (float(plain["strain"]) - 1.0) * left
    away = {
        **plain["away"],
        **{profiles.index(name): until for name, until in plain["away_for"].items() if name in profiles},
    }
    server.excluded_until = {reason: int(until) for reason, until in away.items() if until > now}


def times(told: list, now: int) -> list[int]:
    return sorted(min(now, int(time)) for time in told)
