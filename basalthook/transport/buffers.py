"""Memory for what is received: a pool of read buffers of one size, and mapped memory for long bodies."""

import mmap
from contextlib import suppress

PAGE_BYTES = mmap.PAGESIZE
# The segments of a body of unknown length: the first one's size, doubled for each further one up to the last.
FIRST_SEGMENT_BYTES = 256 * 1024
MAX_SEGMENT_BYTES = 16 * 1024 * 1024
# Linux only; with huge pages a segment would take up to 2 MiB more than has been written to it.
NO_HUGE_PAGES = getattr(mmap, "MADV_NOHUGEPAGE", None)


def in_pages(count: int) -> int:
    """Return the bytes of memory that so many bytes take in pages of their own."""
    return -(-count // PAGE_BYTES) * PAGE_BYTES


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


class MappedBuffer:
    """Bytes that are only appended, in memory mapped for them alone.

    A page takes memory once it has been written to, and all go back to the system at `release`, whatever
    else is allocated meanwhile. A heap keeps gaps of the sizes that were freed.
    """

    __slots__ = ("segments", "length", "next_size", "room", "released")

    def __init__(self, length: int | None) -> None:
        """`length`: how many bytes will come at most, if that is known; they then are in one segment."""
        self.segments: list[memoryview] = []
        self.length = self.room = 0  # room: in the last segment
        self.next_size = length or FIRST_SEGMENT_BYTES
        self.released = False

    def __len__(self) -> int:
        return self.length

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Append a copy of the data. Raises OSError if there is no memory."""
        with memoryview(data) as rest:
            at = 0
            while at < len(rest):
                if not self.room:
                    self._add_segment()
                count = min(self.room, len(rest) - at)
                segment = self.segments[-1]
                begin = len(segment) - self.room
                segment[begin : begin + count] = rest[at : at + count]
                at += count
                self.room -= count
                self.length += count

    def parts(self) -> tuple[memoryview, ...]:
        """Return the bytes as views of their segments, for one write. Raises ValueError if released."""
        if self.released:
            raise ValueError("the bytes have been released")
        views = list(self.segments)
        if views and self.room:
            views[-1] = views[-1][: -self.room]
        return tuple(views)

    def release(self) -> None:
        """Return the memory to the system, but for segments of which a view is still in use."""
        self.released = True
        self.segments.clear()
        self.length = self.room = 0

    def _add_segment(self) -> None:
        segment = mmap.mmap(-1, self.next_size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        if NO_HUGE_PAGES is not None:
            with suppress(OSError):  # a kernel that has none does not know the advice
                segment.madvise(NO_HUGE_PAGES)
        self.segments.append(memoryview(segment))
        self.room = self.next_size
        self.next_size = max(FIRST_SEGMENT_BYTES, min(2 * self.next_size, MAX_SEGMENT_BYTES))


Body = bytes | bytearray | MappedBuffer


def body_parts(body: Body) -> tuple[bytes | bytearray | memoryview, ...]:
    """Return the parts of a body for a write; none if it is empty."""
    if isinstance(body, MappedBuffer):
        return body.parts()
    return (body,) if body else ()
