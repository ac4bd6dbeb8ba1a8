"""One structure for every timer of the program: a heap with one wake-up of the event loop."""

import asyncio
from heapq import heapify, heappop, heappush

COMPACT_THRESHOLD = 256  # cancelled ones are swept out once there are so many, and more than half of all


class Timers:
    """`now()` gives whole ticks, `second` is how many of them make one.

    Emptied as they fall due; cancelled ones as their turn comes, or once they are more than half.
    """

    def __init__(self, now, ticks_per_second: int, call_later=None) -> None:
        """`call_later(seconds, call)` gives what can be cancelled; by default the running loop's."""
        self.now, self.ticks_per_second = now, ticks_per_second
        self.call_later = call_later or (lambda *args: asyncio.get_running_loop().call_later(*args))
        self.heap: list[list] = []  # due, order set, call (None: cancelled), what it is given
        self.sequence = self.cancelled = 0
        self.wakeup_handle: asyncio.TimerHandle | None = None
        self.wakeup_at = 0  # for when, while there is an alarm

    def set(self, delay: int, callback, *args) -> list:
        """Call it that many ticks from now; what comes back can be cancelled."""
        self.sequence += 1
        entry = [self.now() + delay, self.sequence, callback, args]
        heappush(self.heap, entry)
        if self.wakeup_handle is None or entry[0] < self.wakeup_at:
            self._schedule_wakeup(entry[0])
        return entry

    def cancel(self, entry: list | None) -> None:
        """No effect on one that is over, or cancelled already."""
        if entry is not None and entry[2] is not None:
            entry[2], entry[3] = None, ()
            self.cancelled += 1
            if self.cancelled > COMPACT_THRESHOLD and self.cancelled * 2 > len(self.heap):
                self.heap = [pending for pending in self.heap if pending[2] is not None]
                heapify(self.heap)
                self.cancelled = 0

    def run(self, overdue: int = 0) -> None:
        """Call all that are due, in order; only those that are late by so many ticks, if told."""
        now = self.now() - overdue
        while self.heap and (self.heap[0][0] <= now or self.heap[0][2] is None):
            entry = heappop(self.heap)
            _, _, callback, args = entry
            if callback is None:
                self.cancelled -= 1
            else:
                entry[2] = None
                callback(*args)

    def close(self) -> None:
        if self.wakeup_handle is not None:
            self.wakeup_handle.cancel()
        self.heap.clear()

    def _schedule_wakeup(self, due: int) -> None:
        if self.wakeup_handle is not None:
            self.wakeup_handle.cancel()
        self.wakeup_at = due
        wait = max(0.0, (due - self.now()) / self.ticks_per_second)
        self.wakeup_handle = self.call_later(wait, self._on_wakeup)

    def _on_wakeup(self) -> None:
        self.wakeup_handle = None
        try:
            self.run()
        finally:
            # guards against an alarm that what ran just now has set for later than others are due: these
            # then waited for it, and answers came up to half a second after their hard limit
            if self.heap and (self.wakeup_handle is None or self.heap[0][0] < self.wakeup_at):
                self._schedule_wakeup(self.heap[0][0])
