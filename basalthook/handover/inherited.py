"""The clients' listening socket, where the platform holds it and every process inherits it."""

import os
import socket


class InheritedSocketError(Exception):
    """The inherited descriptor can't be used; the message is one line with the reason."""


def open_inherited(descriptor: str, address: tuple[str, int]) -> socket.socket:
    """The socket behind the descriptor.

    Raises InheritedSocketError if it is no TCP socket that listens on `address`.
    """
    if not descriptor.isascii() or not descriptor.isdigit():
        raise InheritedSocketError(f"{descriptor!r} is not a descriptor number")
    try:
        os.fstat(int(descriptor))
        sock = socket.socket(fileno=int(descriptor))
    except OSError as error:
        raise InheritedSocketError(f"descriptor {descriptor} is no open socket: {error.strerror}") from None
    try:
        if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM:
            raise InheritedSocketError(f"descriptor {descriptor} is not a TCP socket")
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise InheritedSocketError(f"descriptor {descriptor} is not listening")
        host, port = sock.getsockname()[:2]
        if port != address[1] and address[1] or host not in (address[0], "0.0.0.0", "::"):
            raise InheritedSocketError(
                f"descriptor {descriptor} listens on {host}:{port}, not on {address[0]}:{address[1]}"
            )
        sock.setblocking(False)
        os.set_inheritable(sock.fileno(), False)
    except InheritedSocketError:
        sock.detach()
        raise
    except OSError as error:
        sock.detach()
        raise InheritedSocketError(f"descriptor {descriptor}: {error.strerror}") from None
    return sock
