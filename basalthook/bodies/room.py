"""Memory for the long bodies of requests: collected whole, so that every hop has all of it.

A body of told length takes its place before it is read on; where none is free its client is read no further
until one is, in order of arrival. One of no told length takes more as it grows. Who gets none in time is
turned away.
"""

from collections import OrderedDict

STEP = 256 * 1024  # bytes that a body of no told length takes at a time


class Room:
    """Bytes. Places are given back by whoever holds them; what waits is called in turn, or withdraws."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.waiting: OrderedDict[object, tuple] = OrderedDict()  # who -> count, call; emptied in turn

    def take(self, count: int) -> bool:
        """At once, past nobody who waits."""
        if self.waiting or self.held + count > self.most:
            return False
        self.held += count
        return True

    def wait(self, who, count: int, call) -> None:
        """`call()` once so many bytes are this one's."""
        self.waiting[who] = count, call

    def withdraw(self, who) -> None:
        if self.waiting.pop(who, None) is not None:
            self.serve()

    def give(self, count: int) -> None:
        self.held -= count
        self.serve()

    def serve(self) -> None:
        while self.waiting:
            who, (count, call) = next(iter(self.waiting.items()))
            if self.held + count > self.most:
                return
            del self.waiting[who]
            self.held += count
            call()
