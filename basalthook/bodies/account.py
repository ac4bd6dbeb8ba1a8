"""Accounts of the memory held for peers: how many bytes of one kind are held, and how many may be."""

MIN_READ_BYTES = 512  # in one read, however much is held: a usual request comes whole in one
READ_SHARE = 8  # a read may take this part of what is free, so that many reads together stay within it


class MemoryAccount:
    """Bytes of one kind that are held for all peers together.

    Holders report what they hold with `change`, after each read and write. What arrives next is bounded by
    `read_size`, so the account is exceeded by little even if every peer sends as much as it can.
    """

    __slots__ = ("capacity", "in_use", "peak")

    def __init__(self, capacity: int) -> None:
        self.capacity, self.in_use, self.peak = capacity, 0, 0

    def change(self, before: int, after: int) -> int:
        """Note that a holder that held `before` bytes now holds `after`; returns `after`."""
        self.in_use += after - before
        self.peak = max(self.peak, self.in_use)
        return after

    def is_exceeded(self) -> bool:
        return self.in_use > self.capacity

    def has_room(self, count: int) -> bool:
        """Whether `count` more bytes may be held."""
        return self.in_use + count <= self.capacity

    def read_ahead_size(self, most: int) -> int:
        """How many bytes a peer may have sent ahead: all that do so leave half of the account to others."""
        return max(MIN_READ_BYTES, min(most, (self.capacity // 2 - self.in_use) // READ_SHARE))

    def read_size(self, most: int) -> int:
        """How many bytes the next read may take: `most` while there is room, and fewer the less there is."""
        return max(MIN_READ_BYTES, min(most, (self.capacity - self.in_use) // READ_SHARE))
