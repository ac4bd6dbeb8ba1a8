"""What the kernel still holds of the bytes written to a TCP socket (tcp(7), SIOCOUTQ)."""

import fcntl
import socket
import struct
import sys
import termios

COUNT = struct.Struct("i")
UNACKNOWLEDGED = getattr(termios, "TIOCOUTQ", None)  # on Linux the same number as SIOCOUTQ
UNSENT = 0x894B if sys.platform == "linux" else None  # SIOCOUTQNSD, of <linux/sockios.h>
# A peer may hold back the acknowledgement of fewer than two full segments (RFC 1122, 4.2.3.2).
MAX_DELAYED_SEGMENTS = 2


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's system has not acknowledged yet; 0 if that can't be told."""
    return _queued(sock, UNACKNOWLEDGED)


def undelivered_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's system has not received yet; 0 if that can't be told.

    What has been sent counts as received if only a delayed acknowledgement can be missing.
    """
    unacknowledged = unacknowledged_bytes(sock)
    if not unacknowledged or _queued(sock, UNSENT):
        return unacknowledged
    try:
        segment = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
    except OSError:
        return unacknowledged
    return 0 if unacknowledged <= MAX_DELAYED_SEGMENTS * segment else unacknowledged


def _queued(sock: socket.socket, request: int | None) -> int:
    if request is None:
        return 0
    count = bytearray(COUNT.size)
    try:
        fcntl.ioctl(sock, request, count)
    except OSError:
        return 0
    return COUNT.unpack(count)[0]
