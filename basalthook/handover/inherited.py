"""The clients' listening socket, where the platform holds it and every process inherits it."""

import os
import socket


class NotOurs(Exception):
    """Says in one line what is wrong with the descriptor told."""


def listening(told: str, address: tuple[str, int]) -> socket.socket:
    """The socket behind the descriptor; NotOurs if it is none that listens, on TCP, on the address told."""
    if not told.isascii() or not told.isdigit():
        raise NotOurs(f"{told!r} is no number of a descriptor")
    try:
        os.fstat(int(told))
        sock = socket.socket(fileno=int(told))
    except OSError as fault:
        raise NotOurs(f"descriptor {told} is no open socket: {fault.strerror}") from None
    try:
        if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM:
            raise NotOurs(f"descriptor {told} is no TCP socket")
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise NotOurs(f"descriptor {told} is not listening")
        host, port = sock.getsockname()[:2]
        if port != address[1] and address[1] or host not in (address[0], "0.0.0.0", "::"):
            raise NotOurs(f"descriptor {told} listens on {host}:{port}, not on {address[0]}:{address[1]}")
        sock.setblocking(False)
        os.set_inheritable(sock.fileno(), False)
    except NotOurs:
        sock.detach()
        raise
    except OSError as fault:
        sock.detach()
        raise NotOurs(f"descriptor {told}: {fault.strerror}") from None
    return sock
