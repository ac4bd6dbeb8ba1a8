"""Random failures of socket system calls, with the errors that Linux documents.

Used by `underclock`, which starts the program: `install` replaces `socket.socket` in that process only.
"""

import errno
import os
import socket
from random import Random

import msgspec

ENVIRONMENT_VARIABLE = "BASALTHOOK_LAB_SYSCALLS"
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CREATE_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN)
READ_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


class Chances(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Probabilities that a call fails or transfers fewer bytes than requested."""

    accept: float = 0.0
    create: float = 0.0
    connect: float = 0.0
    short: float = 0.0  # reads and writes
    broken: float = 0.0  # reads from a host or discovery; the connection is lost
    seed: int = 1


def faulty_socket_class(chances: Chances) -> type[socket.socket]:
    """Returns a replacement for `socket.socket`; creation fails for IPv4 sockets only."""
    rng, real_class = Random(f"system calls {chances.seed}"), socket.socket

    def raise_by_chance(share: float, error_numbers: tuple[int, ...]) -> None:
        if share and rng.random() < share:
            error_number = rng.choice(error_numbers)
            raise OSError(error_number, os.strerror(error_number))

    class FaultySocket(real_class):
        outgoing = False  # only connections that the program opened are broken

        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None and family == socket.AF_INET:
                raise_by_chance(chances.create, CREATE_ERRORS)
            super().__init__(family, type, proto, fileno)

        def accept(self):
            raise_by_chance(chances.accept, ACCEPT_ERRORS)
            return super().accept()

        def connect(self, address):
            raise_by_chance(chances.connect, CONNECT_ERRORS)
            self.outgoing = True
            return super().connect(address)

        def recvmsg_into(self, buffers, *args):
            if self.outgoing and chances.broken and rng.random() < chances.broken:
                self.shutdown(socket.SHUT_RDWR)
                raise_by_chance(1.0, READ_ERRORS)
            if chances.short and rng.random() < chances.short:
                buffers = [memoryview(buffers[0])[: rng.randint(1, 40)]]
            return super().recvmsg_into(buffers, *args)

        def sendmsg(self, parts, *args):
            return super().sendmsg(self.shorten(parts), *args)

        def send(self, data, *args):
            return super().send(self.shorten([data])[0], *args)

        def shorten(self, parts):
            """Returns all parts, or by chance a prefix of the first, for a short write."""
            if not chances.short or rng.random() >= chances.short:
                return parts
            data = memoryview(parts[0]).cast("B")
            return [data[: rng.randint(1, max(1, len(data)))]]

    return FaultySocket


def install(encoded: str) -> None:
    """Installs the faulty socket class; `encoded` is `Chances` as JSON, the value of the variable."""
    socket.socket = faulty_socket_class(msgspec.json.decode(encoded, type=Chances))
