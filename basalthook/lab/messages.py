"""HTTP/1.1 as the lab's stand-ins and clients read it, without the project's parser: a judge must not rest on
what it judges.
"""

import asyncio
import re
import select
import socket
import struct
import sys

PEER_CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0)  # Linux; elsewhere only what poll(2) tells unasked
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: close sends a reset
LAST_DATA_RECEIVED_MS = struct.Struct("@52xI")  # of struct tcp_info: tcpi_last_data_recv, milliseconds
FIELD = re.compile(rb"\r\n([!-9;-~]+): *([^\r\n]*)")


class Messages(asyncio.Protocol):
    """Whole messages, sized by Content-Length or without a body: `message(first line, fields, body)`."""

    def __init__(self) -> None:
        self.buffer, self.transport = b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            fields = {n.lower().decode(): v.decode("latin-1") for n, v in FIELD.findall(self.buffer, 0, end)}
            message_end = end + 4 + int(fields.get("content-length", 0))
            if len(self.buffer) < message_end:
                return
            first_line, body = (
                self.buffer[: self.buffer.find(b"\r\n")].decode("latin-1"),
                self.buffer[end + 4 : message_end],
            )
            self.buffer = self.buffer[message_end:]
            self.message_received(first_line, fields, body)

    def peer_has_closed(self) -> bool:
        """Whether the peer has ended the connection, seen also before this process has read so."""
        if self.transport.is_closing():
            return True
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), PEER_CLOSED_EVENTS)
        return bool(poller.poll(0))

    def read_delay(self) -> float:
        """Seconds for which the newest bytes had lain in the kernel.

        A busy lab reads late, and judges by when they came.
        """
        if sys.platform != "linux":
            return 0.0
        sock = self.transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED_MS.size)
        except OSError:  # it has ended meanwhile
            return 0.0
        return LAST_DATA_RECEIVED_MS.unpack(info)[0] / 1000

    def answer(self, status: int, body: bytes = b"", extra_headers: str = "") -> None:
        if not self.transport.is_closing():
            head = f"HTTP/1.1 {status} Stated\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode() + body)

    def reset(self) -> None:
        """End the connection as a process does that has lost it: with RST, not with FIN."""
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()
