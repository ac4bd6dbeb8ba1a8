"""HTTP/1.1 as the lab's stand-ins and clients read it, without the project's parser: a judge must not rest on
what it judges.
"""

import asyncio
import re
import socket
import struct

LINGER_NONE = struct.pack("ii", 1, 0)  # struct linger: close sends a reset
FIELD = re.compile(rb"\r\n([!-9;-~]+): *([^\r\n]*)")


class Messages(asyncio.Protocol):
    """Whole messages, sized by Content-Length or without a body: `message(first line, fields, body)`."""

    def __init__(self) -> None:
        self.rest, self.transport = b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while (end := self.rest.find(b"\r\n\r\n")) >= 0:
            fields = {n.lower().decode(): v.decode("latin-1") for n, v in FIELD.findall(self.rest, 0, end)}
            whole = end + 4 + int(fields.get("content-length", 0))
            if len(self.rest) < whole:
                return
            first, body = self.rest[: self.rest.find(b"\r\n")].decode("latin-1"), self.rest[end + 4 : whole]
            self.rest = self.rest[whole:]
            self.message(first, fields, body)

    def answer(self, status: int, body: bytes = b"", more: str = "") -> None:
        if not self.transport.is_closing():
            head = f"HTTP/1.1 {status} Stated\r\n{more}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode() + body)

    def reset(self) -> None:
        """End the connection as a process does that has lost it: with RST, not with FIN."""
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.transport.abort()
