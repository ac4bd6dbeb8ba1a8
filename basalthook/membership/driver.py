"""The UDP socket of a member on the running event loop; it knows nothing of the content of datagrams."""

import asyncio
import socket
from contextlib import suppress

MAX_READS = 64  # datagrams read per wakeup, so that client connections get their turn in between
MAX_READ_BYTES = 2048  # more than a member sends, so that longer datagrams are recognised
RECEIVE_BUFFER_BYTES = 256 * 1024  # kernel buffer, for a burst from a few hundred members


class Driver:
    """Binds the socket and calls `on_datagram(data, source)` for each datagram.

    Raises OSError if the address can't be bound.
    """

    def __init__(self, address: tuple[str, int], on_datagram) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.address, self.on_datagram = self.socket.getsockname()[:2], on_datagram
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.on_readable)

    def on_readable(self) -> None:
        for _ in range(MAX_READS):
            try:
                data, source = self.socket.recvfrom(MAX_READ_BYTES)
            except OSError:  # nothing more to read, or an ICMP error for a datagram sent before
                return
            self.on_datagram(data, source[:2])

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Sends if possible; a full buffer or an unreachable address loses the datagram."""
        with suppress(OSError, OverflowError, UnicodeError):
            self.socket.sendto(data, address)

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
