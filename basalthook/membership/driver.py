"""The members' socket: datagrams in and out on the loop that is there. It knows nothing of what they say."""

import asyncio
import socket
from contextlib import suppress

READ_MOST = 64  # datagrams in one turn of the loop: clients come between two of these
LENGTH_MOST = 2048  # bytes read of one: what is longer than a member sends shows as such
BUFFER = 256 * 1024  # of the kernel: a burst from a few hundred members


class Driver:
    """`took(data, source)` for every datagram that comes. OSError where the address can't be had."""

    def __init__(self, address: tuple[str, int], took) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.address, self.took = self.socket.getsockname()[:2], took
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.readable)

    def readable(self) -> None:
        for _ in range(READ_MOST):
            try:
                data, source = self.socket.recvfrom(LENGTH_MOST)
            except OSError:  # nothing more; or the word that nobody listened where one was sent to
                return
            self.took(data, source[:2])

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Best effort: a full buffer or an address that can't be reached loses it, as the network may."""
        with suppress(OSError, OverflowError, UnicodeError):
            self.socket.sendto(data, address)

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
