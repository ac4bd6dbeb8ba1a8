"""A long request body while it is received: its bytes, its memory, and the time it waits for memory.

A request's time counts from its last byte. While its connection is not read, that byte may already have been
written, so the time spent waiting for memory counts as the request's own.
"""

from ..bodies.memory import Reservation
from ..transport.buffers import MappedBuffer
from .clock import TICKS_PER_SECOND

MAX_WAIT_SHARE = 0.5  # of a request's time that it may wait for memory; the rest is for its attempts
MAX_WAIT_TICKS = 4 * TICKS_PER_SECOND
# bytes that arrive so long after memory was granted were written after that; ticks
CATCH_UP_TICKS = TICKS_PER_SECOND // 2


class RequestBody:
    """The received part of a body; times are in ticks."""

    __slots__ = ("data", "length", "reservation", "waiting_since", "granted_at", "give_up_at")

    def __init__(self, reservation: Reservation, length: int | None) -> None:
        """`length`: as announced, None if unknown."""
        self.reservation, self.length = reservation, length
        self.data = MappedBuffer(length)
        self.waiting_since: int | None = None  # its last byte may have been written from then on
        self.granted_at: int | None = None  # when memory was last granted after a wait
        self.give_up_at = 0  # while it waits: when the request has waited for too long

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for memory now."""
        return self.reservation.waiting_since is not None

    def add(self, part: bytearray, arrived_at: int) -> None:
        """Add bytes that arrived at this time. Raises OSError if the system has no memory for them."""
        if part and self.granted_at is not None and arrived_at > self.granted_at + CATCH_UP_TICKS:
            self.waiting_since = None  # the client is still sending
        self.data.append(part)
        self.reservation.received = len(self.data)

    def release(self) -> None:
        """Drop the bytes, then return their memory, as others may get it at once."""
        self.data.release()
        self.reservation.release()

    def begin_wait(self, arrived_at: int, time: int) -> None:
        """Begin to wait for memory.

        `arrived_at`: when the last of the received bytes arrived; `time`: the request's own.
        """
        if self.waiting_since is None:
            self.waiting_since = arrived_at
        self.granted_at = None
        self.give_up_at = self.waiting_since + min(int(time * MAX_WAIT_SHARE), MAX_WAIT_TICKS)

    def request_received_at(self, arrived_at: int) -> int:
        """When the time of the request began, whose last byte arrived at `arrived_at`."""
        return arrived_at if self.waiting_since is None else min(arrived_at, self.waiting_since)
