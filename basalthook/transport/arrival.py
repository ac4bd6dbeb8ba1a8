"""When bytes came in, by the kernel: what lay in its buffers while this process was late counts as ours.

Linux stamps what a TCP socket receives (SO_TIMESTAMPNS, socket(7)); that of a read's last byte comes with it.
Where the system gives no stamps, bytes count as come when they were read.
"""

import socket
import struct
import sys
import time
from contextlib import suppress

TIMESTAMP_OPTION = getattr(socket, "SO_TIMESTAMPNS", 35) if sys.platform == "linux" else None
TIMESPEC = struct.Struct("@ll")  # struct timespec
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
TCP_SYN_SENT = 2  # tcpi_state of a connection that is still coming up (tcp_states.h)
MAX_DELAY_NS = 10_000_000_000  # nanoseconds; more tells of a clock that was set, not of us
MIN_CLOCK_STEP_NS = 100_000_000  # nanoseconds between two looks by which a wall clock was set, not drifting
DISTRUST_AFTER_STEP_NS = 1_000_000_000  # nanoseconds after that: bytes seldom lie unread for longer


def enable(sock: socket.socket) -> None:
    """Ask for stamps. The system begins with them a moment after the first socket that asks."""
    if TIMESTAMP_OPTION is not None:
        with suppress(OSError):  # none here: bytes count as come when they are read
            sock.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)


class TimestampReader:
    """Compares the kernel's stamps, which are wall time, with the wall clock, while that one can be trusted.

    A clock that was set shows against the monotonic one. What lay unread then was stamped before.
    """

    def __init__(self) -> None:
        self.wall_offset = time.time_ns() - time.monotonic_ns()  # of the wall clock, at the last look
        self.trusted_from = time.monotonic_ns()

    def delay(self, received_at: int) -> int:
        """Nanoseconds since this stamp; 0 where that is not known."""
        wall_now, now = time.time_ns(), time.monotonic_ns()
        previous_offset, self.wall_offset = self.wall_offset, wall_now - now
        if abs(self.wall_offset - previous_offset) > MIN_CLOCK_STEP_NS:
            self.trusted_from = now + DISTRUST_AFTER_STEP_NS
        delay_ns = wall_now - received_at
        return delay_ns if 0 < delay_ns < MAX_DELAY_NS and now >= self.trusted_from else 0


READER = TimestampReader()


def receive_delay(ancillary: list) -> int:
    """How many nanoseconds ago the bytes came that were read just now; 0 where that is not known."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == TIMESTAMP_OPTION and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            return READER.delay(seconds * 1_000_000_000 + nanoseconds)
    return 0


def connect_finished(sock: socket.socket) -> bool:
    """Whether a socket that was told to connect is up, or has failed; its error is left to be read."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_SYN_SENT
    except (OSError, AttributeError):  # not known here: the timer's word holds
        return False


def handshake_time(sock: socket.socket) -> int | None:
    """Nanoseconds that the peer took to accept (tcpi_rtt); None where not known, or asked more than once."""
    try:
        tcp_info = struct.unpack_from("@24I", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104), 8)
    except (OSError, AttributeError, struct.error):
        return None
    return None if tcp_info[23] else tcp_info[15] * 1000
