"""When a proxy counts as knowing a change of the host list, whether or not it has received it.

The rules are those of the operators' acceptance test. Pure functions; times are seconds on the rig's clock.
"""

from typing import NamedTuple

WATCH_SILENCE_S = 6.0  # after a watch fell silent, or after discovery could be reached again
AFTER_WAIT_S = 2.0  # after the end of a call's wait, if that is later
FAILED_CALL_HOLD = 4  # multiples of ask_within that a list stays valid after a failed call, without a watch
AFTER_MOVE_S = 4.0  # after SIGHUP named another discovery address


class ProxyView(NamedTuple):
    """What discovery knows of one proxy at the time of a change."""

    has_working_watch: bool  # one of its calls is waiting at a working discovery
    silent_deadlines: tuple[float, ...] = ()  # when a change counts as known, for each silent watch
    last_call_at: float = 0.0
    last_call_failed: bool = False  # that call was refused or its connection broke
    # when SIGHUP named the current discovery address, if that one has not answered since
    discovery_moved_at: float | None = None


def deemed_known_at(
    changed_at: float, reachable_since: float, view: ProxyView, pushed: bool, ask_within: float
) -> float | None:
    """When the proxy counts as knowing a change made at `changed_at`; None: as soon as it is written to it.

    `reachable_since`: since when discovery has worked; `pushed`: whether discovery pushes changes;
    `ask_within`: seconds within which a proxy has to request the list.
    """
    if view.has_working_watch:
        return None
    earliest = max(changed_at, reachable_since)
    deadlines = list(view.silent_deadlines)
    if view.discovery_moved_at is not None:
        deadlines.append(max(earliest, view.discovery_moved_at + AFTER_MOVE_S))
    elif not deadlines:
        hold = ask_within * (FAILED_CALL_HOLD if view.last_call_failed else 1)
        deadlines.append(earliest if pushed else max(earliest, view.last_call_at) + hold)
    if view.last_call_failed:
        deadlines.append(earliest + WATCH_SILENCE_S)
    return max(earliest, min(deadlines))
