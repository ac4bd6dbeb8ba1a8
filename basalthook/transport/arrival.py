"""When bytes came in, by the kernel: what lay in its buffers while this process was late counts as ours.

Linux stamps what a TCP socket receives (SO_TIMESTAMPNS, socket(7)); that of a read's last byte comes with it.
Where the system gives no stamps, bytes count as come when they were read.
"""

import socket
import struct
import sys
import time
from contextlib import suppress

OPTION = getattr(socket, "SO_TIMESTAMPNS", 35) if sys.platform == "linux" else None
SECONDS = struct.Struct("@ll")  # struct timespec
SPACE = socket.CMSG_SPACE(SECONDS.size)
SYN_SENT = 2  # tcpi_state of a connection that is still coming up (tcp_states.h)
LATE_MOST = 10_000_000_000  # nanoseconds; more tells of a clock that was set, not of us
STEP_LEAST = 100_000_000  # nanoseconds between two looks by which a wall clock was set, not drifting
DISTRUSTED_FOR = 1_000_000_000  # nanoseconds after that: bytes seldom lie unread for longer


def stamp(sock: socket.socket) -> None:
    """Ask for stamps. The system begins with them a moment after the first socket that asks."""
    if OPTION is not None:
        with suppress(OSError):  # none here: bytes count as come when they are read
            sock.setsockopt(socket.SOL_SOCKET, OPTION, 1)


class StampReader:
    """Compares the kernel's stamps, which are wall time, with the wall clock, while that one can be trusted.

    A clock that was set shows against the monotonic one. What lay unread then was stamped before.
    """

    def __init__(self) -> None:
        self.ahead = time.time_ns() - time.monotonic_ns()  # of the wall clock, at the last look
        self.trusted_from = time.monotonic_ns()

    def late(self, stamped_at: int) -> int:
        """Nanoseconds since this stamp; 0 where that is not known."""
        wall, now = time.time_ns(), time.monotonic_ns()
        ahead, self.ahead = self.ahead, wall - now
        if abs(self.ahead - ahead) > STEP_LEAST:
            self.trusted_from = now + DISTRUSTED_FOR
        ago = wall - stamped_at
        return ago if 0 < ago < LATE_MOST and now >= self.trusted_from else 0


READER = StampReader()


def late(ancillary: list) -> int:
    """How many nanoseconds ago the bytes came that were read just now; 0 where that is not known."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == OPTION and len(data) == SECONDS.size:
            seconds, rest = SECONDS.unpack(data)
            return READER.late(seconds * 1_000_000_000 + rest)
    return 0


def settled(sock: socket.socket) -> bool:
    """Whether a socket that was told to connect is up, or has failed; its error is left to be read."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != SYN_SENT
    except (OSError, AttributeError):  # not known here: the timer's word holds
        return False


def connecting(sock: socket.socket) -> int | None:
    """Nanoseconds that the peer took to accept (tcpi_rtt); None where not known, or asked more than once."""
    try:
        told = struct.unpack_from("@24I", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104), 8)
    except (OSError, AttributeError, struct.error):
        return None
    return None if told[23] else told[15] * 1000
