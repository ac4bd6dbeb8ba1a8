"""System calls that fail as Linux documents them, by chance, under the program's own sockets.

For `underclock`, which starts the program: `install` replaces `socket.socket` in its process alone.
"""

import errno
import os
import socket
from random import Random

import msgspec

ENVIRONMENT_VARIABLE = "BASALTHOOK_LAB_SYSCALLS"
ACCEPT = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CREATE = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


class Chances(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Share of calls that fail, or that do less than was asked for."""

    accept: float = 0.0
    create: float = 0.0
    connect: float = 0.0
    short: float = 0.0  # of reads and writes
    broken: float = 0.0  # of reads from an endpoint or discovery: the connection is lost
    seed: int = 1


def faulty_socket_class(chances: Chances) -> type[socket.socket]:
    """A class for `socket.socket`; only IPv4 stream sockets fail."""
    random, real = Random(f"system calls {chances.seed}"), socket.socket

    def fail(share: float, codes: tuple[int, ...]) -> None:
        if share and random.random() < share:
            code = random.choice(codes)
            raise OSError(code, os.strerror(code))

    class FaultySocket(real):
        outgoing = False  # what breaks a client's connection is its own

        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None and family == socket.AF_INET:
                fail(chances.create, CREATE)
            super().__init__(family, type, proto, fileno)

        def accept(self):
            fail(chances.accept, ACCEPT)
            return super().accept()

        def connect(self, address):
            fail(chances.connect, CONNECT)
            self.outgoing = True
            return super().connect(address)

        def recvmsg_into(self, buffers, *more):
            if self.outgoing and chances.broken and random.random() < chances.broken:
                self.shutdown(socket.SHUT_RDWR)
                fail(1.0, BROKEN)
            if chances.short and random.random() < chances.short:
                buffers = [memoryview(buffers[0])[: random.randint(1, 40)]]
            return super().recvmsg_into(buffers, *more)

        def sendmsg(self, parts, *more):
            return super().sendmsg(self.cut(parts), *more)

        def send(self, data, *more):
            return super().send(self.cut([data])[0], *more)

        def cut(self, parts):
            """The first part, or as much of it as is written at once."""
            if not chances.short or random.random() >= chances.short:
                return parts
            whole = memoryview(parts[0]).cast("B")
            return [whole[: random.randint(1, max(1, len(whole)))]]

    return FaultySocket


def install(worded: str) -> None:
    """By the variable's value, JSON of `Chances`."""
    socket.socket = faulty_socket_class(msgspec.json.decode(worded, type=Chances))
