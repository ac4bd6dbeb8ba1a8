"""Processor time by connection: one that costs much waits for its turn, the others don't wait for it.

What a connection costs is not told by its bytes: a body in chunks of one byte costs a thousand times as much
as one in a single piece. So the time is measured that each connection takes. One that takes little of a core,
and whose requests are answered before they have taken much, is read as soon as bytes arrive. All others
together get `TURN_NS` in each turn of the event loop, so that they use what time is left and hold nobody up
for longer.
"""

import asyncio
import time

LIGHT_SHARE = 0.05  # of a core
BURST_NS = 5_000_000  # that a connection may take beyond that share at once
MAX_DEBT_NS = 100_000_000  # beyond it, what a connection has taken is forgotten: it waits for 2 s at most
UNANSWERED_NS = 2_000_000  # that a request may take until it is answered
TURN_NS = 5_000_000
READ_NS = 1_000_000  # that one read should take
FIRST_READ_BYTES = 2 * 1024  # until the cost of its bytes is known
MIN_READ_BYTES = 512
MIN_MEASURED_BYTES = 1024  # the cost of a shorter read is not that of its bytes


class ProcessorTime:
    """The time that is left in this turn of the event loop for connections that cost much."""

    def __init__(self, now_ns=time.monotonic_ns) -> None:
        self.now_ns = now_ns
        self.turn_left_ns = TURN_NS
        self.delayed_reads = 0  # since the start of the process
        # sockets with bytes whose turn has not come; each leaves when the selector reports it again
        self.delayed_fds: set[int] = set()

    def take(self, duration_ns: int) -> None:
        if self.turn_left_ns == TURN_NS:
            asyncio.get_running_loop().call_soon(self.begin_turn)  # runs in the next turn
        self.turn_left_ns = max(0, self.turn_left_ns - duration_ns)

    def begin_turn(self) -> None:
        self.turn_left_ns = TURN_NS


class Usage:
    """What one connection has taken; times in nanoseconds."""

    __slots__ = ("processor_time", "debt_ns", "updated_ns", "unanswered_ns", "read_bytes", "is_over")

    def __init__(self, processor_time: ProcessorTime) -> None:
        self.processor_time = processor_time
        self.debt_ns, self.updated_ns = 0.0, processor_time.now_ns()  # beyond its share, and when that was
        self.unanswered_ns = 0  # since its last answer
        self.read_bytes = FIRST_READ_BYTES  # how many the next read may take
        self.is_over = False  # it is rejected; what it still sends matters to nobody

    def is_light(self) -> bool:
        """Whether the connection has taken little."""
        now = self.processor_time.now_ns()
        if self.debt_ns:
            self.debt_ns = max(0.0, self.debt_ns - (now - self.updated_ns) * LIGHT_SHARE)
        self.updated_ns = now
        return self.debt_ns <= BURST_NS and self.unanswered_ns <= UNANSWERED_NS and not self.is_over

    def may_run(self) -> bool:
        """Whether its next bytes may be handled in this turn."""
        return self.is_light() or self.processor_time.turn_left_ns > 0

    def delay(self, fd: int) -> None:
        """Leave the bytes of its socket to a later turn."""
        self.processor_time.delayed_reads += 1
        self.processor_time.delayed_fds.add(fd)

    def add(self, started_ns: int, read: int) -> None:
        """Count the time since `started_ns`, which was spent on `read` bytes of this connection."""
        duration_ns = max(1, self.processor_time.now_ns() - started_ns)
        was_light = self.is_light()
        self.debt_ns = min(MAX_DEBT_NS, self.debt_ns + duration_ns)
        self.unanswered_ns += duration_ns
        if read >= MIN_MEASURED_BYTES:
            self.read_bytes = max(MIN_READ_BYTES, read * READ_NS // duration_ns)
        if not was_light:
            self.processor_time.take(duration_ns)

    def answered(self) -> None:
        """Its request has got an answer that is worth what it took."""
        self.unanswered_ns = 0
