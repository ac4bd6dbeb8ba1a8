"""Read buffers of one size, used again."""


class BufferPool:
    def __init__(self, size: int, max_free: int) -> None:
        self.size, self.max_free = (
            size,
            max_free,
        )  # as many are out as connections read; so many are kept free
        self.free: list[bytearray] = []

    def acquire(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        if len(self.free) < self.max_free:
            self.free.append(buffer)
