"""Read buffers of one size, used again."""


class BufferPool:
    def __init__(self, size: int, kept: int) -> None:
        self.size, self.kept = size, kept  # as many are out as connections read; so many are kept free
        self.free: list[bytearray] = []

    def take(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        if len(self.free) < self.kept:
            self.free.append(buffer)
