"""The memory budget for long request bodies, which are collected whole so that every attempt can send them.

A body of known length acquires all its memory before more of it is read. If there is not enough, reading from
its client stops until there is, in order of arrival. A body of unknown length acquires more as it grows. A
request that gets no memory in time is rolled back.
"""

from collections import OrderedDict

GROWTH_BYTES = 256 * 1024  # acquired at a time for a body of unknown length


class BodyMemory:
    """A budget in bytes, granted in order of request.

    Owners release what they hold; a waiting owner is called once its bytes are granted, or withdraws.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity, self.in_use = capacity, 0
        self.waiting: OrderedDict[object, tuple] = OrderedDict()  # owner -> count, callback; removed in order

    def try_acquire(self, count: int) -> bool:
        """Acquire `count` bytes at once; False if they are not free or others are waiting."""
        if self.waiting or self.in_use + count > self.capacity:
            return False
        self.in_use += count
        return True

    def enqueue(self, owner, count: int, granted) -> None:
        """Call `granted()` once `count` bytes have been acquired for `owner`."""
        self.waiting[owner] = count, granted

    def withdraw(self, owner) -> None:
        """Cancel the waiting request of an owner, if there is one."""
        if self.waiting.pop(owner, None) is not None:
            self._grant()

    def release(self, count: int) -> None:
        """Return `count` bytes to the budget."""
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
