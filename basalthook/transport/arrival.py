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


def stamp(sock: socket.socket) -> None:
    """Ask for stamps. The system begins with them a moment after the first socket that asks."""
    if OPTION is not None:
        with suppress(OSError):  # none here: bytes count as come when they are read
            sock.setsockopt(socket.SOL_SOCKET, OPTION, 1)


def late(ancillary: list) -> int:
    """How many nanoseconds ago the bytes came that were read just now; 0 where that is not known."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == OPTION and len(data) == SECONDS.size:
            seconds, rest = SECONDS.unpack(data)
            ago = time.time_ns() - seconds * 1_000_000_000 - rest
            return ago if 0 < ago < LATE_MOST else 0
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
