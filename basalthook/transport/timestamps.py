"""Kernel receive timestamps: how long received bytes waited in socket buffers before this process read them.

That delay is this process's own lateness and must not be attributed to the peer. Linux timestamps the
data that a TCP socket receives (SO_TIMESTAMPNS, socket(7)); each read returns the timestamp of its last
byte. Where the system provides no timestamps, bytes count as received when they are read.
"""

import socket
import struct
import sys
import time
from contextlib import suppress

TIMESTAMP_OPTION = getattr(socket, "SO_TIMESTAMPNS", 35) if sys.platform == "linux" else None
TIMESPEC = struct.Struct("@ll")  # struct timespec
ANCILLARY_BYTES = socket.CMSG_SPACE(TIMESPEC.size)
TCP_SYN_SENT = 2  # tcpi_state while a connection is being established (tcp_states.h)
MAX_DELAY_NS = 10_000_000_000  # a longer delay comes from a clock that was set, not from this process
# a change of the offset this large means that the wall clock was set; drift is smaller
MIN_CLOCK_STEP_NS = 100_000_000
DISTRUST_AFTER_STEP_NS = 1_000_000_000  # bytes rarely wait unread for longer than this


def enable(sock: socket.socket) -> None:
    """Request receive timestamps for a socket.

    The kernel starts timestamping a short time after the first socket on the system requests it.
    """
    if TIMESTAMP_OPTION is not None:
        with suppress(OSError):  # not supported: bytes count as received when they are read
            sock.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)


class TimestampReader:
    """Turns kernel timestamps, which are in wall-clock time, into delays.

    A step of the wall clock is detected by comparing it with the monotonic clock. Bytes that were unread
    at that moment carry timestamps of the old setting, so delays are reported as 0 for
    `DISTRUST_AFTER_STEP_NS` after it.
    """

    def __init__(self) -> None:
        # wall minus monotonic clock, at the last call
        self.wall_offset = time.time_ns() - time.monotonic_ns()
        self.trusted_from = time.monotonic_ns()

    def delay(self, received_at: int) -> int:
        """Return the nanoseconds since `received_at`, or 0 if that cannot be determined."""
        wall_now, now = time.time_ns(), time.monotonic_ns()
        previous_offset, self.wall_offset = self.wall_offset, wall_now - now
        if abs(self.wall_offset - previous_offset) > MIN_CLOCK_STEP_NS:
            self.trusted_from = now + DISTRUST_AFTER_STEP_NS
        delay_ns = wall_now - received_at
        return delay_ns if 0 < delay_ns < MAX_DELAY_NS and now >= self.trusted_from else 0


READER = TimestampReader()


def receive_delay(ancillary: list) -> int:
    """Return how many nanoseconds ago the bytes just read were received, or 0 if that is not known.

    `ancillary` is the ancillary data that `recvmsg` returned with them.
    """
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == TIMESTAMP_OPTION and len(data) == TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack(data)
            return READER.delay(seconds * 1_000_000_000 + nanoseconds)
    return 0


def connect_finished(sock: socket.socket) -> bool:
    """Return whether a connecting socket is established or has failed; a pending error is not consumed.

    Returns False where TCP_INFO is not available.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_SYN_SENT
    except (OSError, AttributeError):  # unknown: the caller's connect timeout applies
        return False


def handshake_time(sock: socket.socket) -> int | None:
    """Return the duration of the TCP handshake in nanoseconds (tcpi_rtt).

    None where it is not available, or if the SYN was retransmitted (tcpi_total_retrans).
    """
    try:
        tcp_info = struct.unpack_from("@24I", sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104), 8)
    except (OSError, AttributeError, struct.error):
        return None
    return None if tcp_info[23] else tcp_info[15] * 1000
