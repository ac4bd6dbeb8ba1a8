"""Bounds on the kernel's buffers of a socket.

Without them Linux lets each grow to some megabytes by itself (tcp(7), tcp_rmem and tcp_wmem), whatever this
process can hold. The kernel doubles the figures, for its own bookkeeping (socket(7)).
"""

import socket
from contextlib import suppress

CLIENT_BUFFER_BYTES = 64 * 1024  # in each direction; clients are on the same machine
HOST_BUFFER_BYTES = 256 * 1024  # enough for 10 MB a second over a round trip of 25 ms


def limit(sock: socket.socket, size: int) -> None:
    """Bound both buffers; must come before the socket listens or connects, as the window depends on it."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, option, size)
