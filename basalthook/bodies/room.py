"""Memory for the long bodies of requests: collected whole, so that every hop has all of it.

A body of told length takes its place before it is read on; where none is free its client is read no further
until one is, in order of arrival. One of no told length takes more as it grows. Who gets none in time is
turned away.
"""

from collections import OrderedDict

GROWTH_BYTES = 256 * 1024  # bytes that a body of no told length takes at a time


class BodyMemory:
    """Bytes. Places are given back by whoever holds them; what waits is called in turn, or withdraws."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.in_use = capacity, 0
        self.waiting: OrderedDict[object, tuple] = OrderedDict()  # who -> count, call; emptied in turn

    def try_acquire(self, count: int) -> bool:
        """At once, past nobody who waits."""
        if self.waiting or self.in_use + count > self.capacity:
            return False
        self.in_use += count
        return True

    def enqueue(self, owner, count: int, granted) -> None:
        """`call()` once so many bytes are this one's."""
        self.waiting[owner] = count, granted

    def withdraw(self, owner) -> None:
        if self.waiting.pop(owner, None) is not None:
            self._grant()

    def release(self, count: int) -> None:
        self.in_use -= count
        self._grant()

    def _grant(self) -> None:
        while self.waiting:
            owner, (count, granted) = next(iter(self.waiting.items()))
            if self.in_use + count > self.capacity:
                return
            del self.waiting[owner]
            self.in_use += count
            granted()
