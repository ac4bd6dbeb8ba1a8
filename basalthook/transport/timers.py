"""All timers of the program: a heap of entries, with a single wake-up call on the event loop."""

import asyncio
from heapq import heapify, heappop, heappush

# the heap is compacted with more cancelled entries than this, if they are over half of it
COMPACT_THRESHOLD = 256


class Timers:
    """A timer heap on the clock `now()`, which counts whole ticks.

    An entry is removed when it is due; a cancelled one also when the heap is compacted.
    """

    def __init__(self, now, ticks_per_second: int, call_later=None) -> None:
        """`call_later(seconds, callback)` returns a handle with `cancel()`; by default the loop's own."""
        self.now, self.ticks_per_second = now, ticks_per_second
        self.call_later = call_later or (lambda *args: asyncio.get_running_loop().call_later(*args))
        # due time in ticks, sequence, callback (None: called or cancelled), arguments
        self.heap: list[list] = []
        self.sequence = self.cancelled = 0
        self.wakeup_handle: asyncio.TimerHandle | None = None
        self.wakeup_at = 0  # due time in ticks, valid while there is a handle

    def set(self, delay: int, callback, *args) -> list:
        """Call `callback(*args)` after `delay` ticks; return an entry for `cancel`."""
        self.sequence += 1
        entry = [self.now() + delay, self.sequence, callback, args]
        heappush(self.heap, entry)
        if self.wakeup_handle is None or entry[0] < self.wakeup_at:
            self._schedule_wakeup(entry[0])
        return entry

    def cancel(self, entry: list | None) -> None:
        """Cancel an entry; no effect on None, or if it was called or cancelled already."""
        if entry is not None and entry[2] is not None:
            entry[2], entry[3] = None, ()
            self.cancelled += 1
            if self.cancelled > COMPACT_THRESHOLD and self.cancelled * 2 > len(self.heap):
                self.heap = [pending for pending in self.heap if pending[2] is not None]
                heapify(self.heap)
                self.cancelled = 0

    def run(self, overdue: int = 0) -> None:
        """Call all entries that have been due for at least `overdue` ticks, in order."""
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
        """Drop all timers."""
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
            # A callback may have set a wake-up that is later than the earliest remaining entry. Entries then
            # waited for it, and responses were up to 0.5 s later than their hard limit.
            if self.heap and (self.wakeup_handle is None or self.heap[0][0] < self.wakeup_at):
                self._schedule_wakeup(self.heap[0][0])
