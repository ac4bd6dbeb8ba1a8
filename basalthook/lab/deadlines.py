"""When a change of the endpoint list counts as told to a proxy, whether or not it has arrived.

The rules are the operators' (standing test): pure, times are seconds on the rig's clock.
"""

from typing import NamedTuple

WATCH_SILENCE_S = 6.0  # seconds after a watch fell silent, or after discovery could be reached again
AFTER_WAIT_S = 2.0  # seconds past a call's wait, if that is later
FAILED_CALL_HOLD = 4  # times ask_within that a list is held after a call that failed, without a watch
AFTER_MOVE_S = 4.0  # seconds after SIGHUP named another discovery


class ProxyView(NamedTuple):
    """What discovery knows of one proxy at the moment of a change."""

    has_working_watch: bool  # a call of it waits at a discovery that works
    silent_deadlines: tuple[float, ...] = ()  # of each silent watch: when what it misses counts
    last_call_at: float = 0.0
    last_call_failed: bool = False  # that call was refused or broken
    discovery_moved_at: float | None = (
        None  # when SIGHUP named the present discovery, if it has not answered since
    )


def deemed_known_at(
    changed_at: float, reachable_since: float, view: ProxyView, pushed: bool, ask_within: float
) -> float | None:
    """`reachable`: since when discovery has worked. None: it counts when it is written."""
    if view.has_working_watch:
        return None
    since = max(changed_at, reachable_since)
    deadlines = list(view.silent_deadlines)
    if view.discovery_moved_at is not None:
        deadlines.append(max(since, view.discovery_moved_at + AFTER_MOVE_S))
    elif not deadlines:
        held = ask_within * (FAILED_CALL_HOLD if view.last_call_failed else 1)
        deadlines.append(since if pushed else max(since, view.last_call_at) + held)
    if view.last_call_failed:
        deadlines.append(since + WATCH_SILENCE_S)
    return max(since, min(deadlines))
