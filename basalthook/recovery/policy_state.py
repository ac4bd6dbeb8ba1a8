"""Exports the state of the decision policy as plain values and restores it in a successor process. Pure.

Times are those of the policy's clock, which both processes read. State with an end (bans, back-offs, the
limited share of a cold host) is kept until that end. Estimates of the present load are halved for each
`half_life` that has passed since the export. Of a host that was restarted meanwhile nothing is restored.
"""

from ..policy.interface import HostListReceived
from ..policy.measure import SlidingWindow

# Stored name -> attribute of the policy, of a Latency and of a HostState.
POLICY_FIELDS = {  # restored unchanged
    "quiet_mix": "base_latency",
    "usual_rate": "commit_rate",
    "cores": "load",
    "unread": "unread_delay",
}
LATENCY_FIELDS = {"mean": "mean", "deviation": "deviation", "quiet": "base", "level": "slow_mean"}
HOST_FIELDS = {
    "size": "capacity",
    "proven": "trusted",
    "throttles": "throttles",
    "failures": "failures",
    "heard": "last_answer",
    "passed": "answered_send",
    "erring": "error_rate",
}
WINDOW_FIELDS = ("sent", "committed")


def export_state(policy, ids: dict[int, str], profiles: list[str]) -> dict:
    """The state as JSON values.

    `ids`: host ids by number; hosts without one are left out. `profiles`: names by index.
    """
    return {
        "at": policy.now,
        "born": policy.started,
        "strain": policy.slowdown,
        "sent": list(policy.sent.times),
        **{name: getattr(policy, attribute) for name, attribute in POLICY_FIELDS.items()},
        "latency": {
            name: [getattr(latency, attribute) for attribute in LATENCY_FIELDS.values()]
            for name, latency in zip(profiles, policy.latency, strict=True)
        },
        "hosts": {
            ids[number]: export_host(host, profiles)
            for number, host in policy.hosts.items()
            if number in ids and host.entry.ready
        },
    }


def export_host(host, profiles: list[str]) -> dict:
    """The state of one host; back-offs of single profiles are stored by the profile's name."""
    return {
        **{name: getattr(host, attribute) for name, attribute in HOST_FIELDS.items()},
        **{name: list(getattr(host, name).times) for name in WINDOW_FIELDS},
        "started": host.entry.started_at,
        "fresh_from": host.cold_since,
        "strain": host.slowdown,
        "away": {reason: until for reason, until in host.excluded_until.items() if isinstance(reason, str)},
        "away_for": {
            profiles[index]: until
            for index, until in host.excluded_until.items()
            if not isinstance(index, str)
        },
    }


def restore_state(
    policy, state: dict, numbers: dict[str, int], profiles: list[str], now: int, half_life: int
) -> int:
    """Restores the state in a new policy object that has its first host list.

    Returns the number of hosts restored. Invalid state raises ValueError, TypeError, KeyError or
    AttributeError; a part of it may have been restored by then.
    """
    remaining = 0.5 ** max(0.0, min(64.0, (now - int(state["at"])) / half_life))
    policy.started = min(now, int(state["born"]))
    policy.slowdown = 1.0 + (float(state["strain"]) - 1.0) * remaining
    for name, attribute in POLICY_FIELDS.items():
        setattr(policy, attribute, max(0.0, float(state[name])))
    policy.sent.times.extend(parse_times(state["sent"], now))
    for name, latency in zip(profiles, policy.latency, strict=True):
        for field, value in zip(LATENCY_FIELDS.values(), state["latency"].get(name, ()), strict=False):
            setattr(latency, field, max(0.0, float(value)))
    restored_hosts = 0
    for host_id, stored in state["hosts"].items():
        host = policy.hosts.get(numbers.get(host_id, -1))
        if host is not None and host.entry.started_at == stored["started"]:
            restore_host(host, stored, profiles, now, remaining)
            restored_hosts += 1
    policy.handle(now, HostListReceived((), False, False))  # recomputes the ranking from the restored state
    return restored_hosts


def restore_host(host, stored: dict, profiles: list[str], now: int, remaining: float) -> None:
    """Restores one host; `remaining`: the part of its load estimate that is still valid."""
    for name, attribute in HOST_FIELDS.items():
        setattr(host, attribute, type(getattr(host, attribute))(stored[name]))
    for name in WINDOW_FIELDS:
        window: SlidingWindow = getattr(host, name)
        window.times.extend(parse_times(stored[name], now))
    host.cold_since = None if stored["fresh_from"] is None else int(stored["fresh_from"])
    host.slowdown = 1.0 + (float(stored["strain"]) - 1.0) * remaining
    excluded_until = {
        **stored["away"],
        **{profiles.index(name): until for name, until in stored["away_for"].items() if name in profiles},
    }
    host.excluded_until = {reason: int(until) for reason, until in excluded_until.items() if until > now}


def parse_times(values: list, now: int) -> list[int]:
    return sorted(min(now, int(time)) for time in values)
