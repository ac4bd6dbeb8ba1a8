"""A pool of reusable read buffers of one size."""


class BufferPool:
    """Hands out buffers of `size` bytes and keeps up to `max_free` returned ones for reuse."""

    def __init__(self, size: int, max_free: int) -> None:
        self.size, self.max_free = (
            size,
            max_free,
        )
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        if len(self.free) < self.max_free:
            self.free.append(buffer)
