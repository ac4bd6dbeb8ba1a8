"""When a change of the endpoint list counts as told to a proxy, whether or not it has arrived.

The rules are the operators' (standing test): pure, times are seconds on the rig's clock.
"""

from typing import NamedTuple

SILENCE = 6.0  # seconds after a watch fell silent, or after discovery could be reached again
WAIT_OVER = 2.0  # seconds past a call's wait, if that is later
FAILED = 4  # times ask_within that a list is held after a call that failed, without a watch
MOVED = 4.0  # seconds after SIGHUP named another discovery


class ProxyView(NamedTuple):
    """What discovery knows of one proxy at the moment of a change."""

    watched: bool  # a call of it waits at a discovery that works
    silent_counts: tuple[float, ...] = ()  # of each silent watch: when what it misses counts
    last_call: float = 0.0
    failed: bool = False  # that call was refused or broken
    moved: float | None = None  # when SIGHUP named the present discovery, if it has not answered since


def counts_at(
    change: float, reachable: float, view: ProxyView, pushed: bool, ask_within: float
) -> float | None:
    """`reachable`: since when discovery has worked. None: it counts when it is written."""
    if view.watched:
        return None
    since = max(change, reachable)
    limits = list(view.silent_counts)
    if view.moved is not None:
        limits.append(max(since, view.moved + MOVED))
    elif not limits:
        held = ask_within * (FAILED if view.failed else 1)
        limits.append(since if pushed else max(since, view.last_call) + held)
    if view.failed:
        limits.append(since + SILENCE)
    return max(since, min(limits))
