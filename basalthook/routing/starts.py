"""When endpoints started, on this process's own clock, whatever the wall clock says.

Discovery tells starts in Unix time. A wall clock that was off when this process read it, or when a start was
written down, would make an endpoint that has just started a warm one, or keep a warm one cold for as long as
the clock is off. What this process has seen bounds both.
"""

from .clock import TICK, TICKS

NOTICE = 5 * TICKS  # that a start may have gone untold while lists came
KEPT = 8_192  # endpoints whose start is remembered; the oldest go first


class Starts:
    """A start is judged once, when it is first told; times given and returned are Unix nanoseconds."""

    def __init__(self, now) -> None:
        """`now()`: ticks of the program's clock."""
        self.now = now
        self.judged: dict[str, tuple[int, int]] = {}  # id -> as told, as judged; bounded by KEPT
        self.answered_at: int | None = None  # when discovery's last list was taken

    def answered(self) -> None:
        self.answered_at = self.now()

    def started(self, endpoint: str, told_ns: int) -> int:
        """0: long ago, or not told."""
        if not told_ns:
            return 0
        told, judged = self.judged.get(endpoint, (0, 0))
        if told != told_ns:
            judged = self.judge(told_ns)
            self.judged.pop(endpoint, None)
            self.judged[endpoint] = told_ns, judged
            while len(self.judged) > KEPT:
                del self.judged[next(iter(self.judged))]
        return judged

    def judge(self, told_ns: int) -> int:
        """Not in the future; and not long before a list that did not know of it."""
        now = self.now()
        untold_at = self.answered_at
        if told_ns > now * TICK or untold_at is not None and told_ns < (untold_at - NOTICE) * TICK:
            return now * TICK
        return told_ns
