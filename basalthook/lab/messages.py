"""A minimal HTTP/1.1 for the lab's stand-ins and clients.

It does not use the project's parser, as the test lab must not depend on the code under test.
"""

import asyncio
import re
import select
import socket
import struct
import sys

# POLLRDHUP is Linux only; elsewhere poll(2) reports errors and hang-ups only
PEER_CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0)
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger with a timeout of 0: close sends a reset
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # tcpi_last_data_recv in struct tcp_info, milliseconds
FIELD = re.compile(rb"\r\n([!-9;-~]+): *([^\r\n]*)")


class MessageProtocol(asyncio.Protocol):
    """Splits the stream into messages with Content-Length or no body.

    Calls `message_received(first line, fields, body)` for each.
    """

    def __init__(self) -> None:
        self.buffer, self.transport = b"", None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (header_end := self.buffer.find(b"\r\n\r\n")) >= 0:
            fields = {
                name.lower().decode(): value.decode("latin-1")
                for name, value in FIELD.findall(self.buffer, 0, header_end)
            }
            message_end = header_end + 4 + int(fields.get("content-length", 0))
            if len(self.buffer) < message_end:
                return
            first_line, body = (
                self.buffer[: self.buffer.find(b"\r\n")].decode("latin-1"),
                self.buffer[header_end + 4 : message_end],
            )
            self.buffer = self.buffer[message_end:]
            self.message_received(first_line, fields, body)

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, even if this process has not read the end yet."""
        if self.transport.is_closing():
            return True
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket"), PEER_CLOSED_EVENTS)
        return bool(poller.poll(0))

    def read_delay(self) -> float:
        """Seconds for which the newest bytes had been in the kernel's buffer; 0.0 if unknown.

        A busy lab reads late, so the judge uses the time of arrival.
        """
        if sys.platform != "linux":
            return 0.0
        sock = self.transport.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        except OSError:  # the connection has ended
            return 0.0
        return LAST_DATA_RECEIVED.unpack(info)[0] / 1000

    def answer(self, status: int, body: bytes = b"", extra_headers: str = "") -> None:
        """Sends an answer, unless the connection is closing; `extra_headers` are complete header lines."""
        if not self.transport.is_closing():
            head = f"HTTP/1.1 {status} Stated\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode() + body)

    def reset(self) -> None:
        """Aborts the connection with RST instead of FIN, as a peer that has lost its state does."""
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()
