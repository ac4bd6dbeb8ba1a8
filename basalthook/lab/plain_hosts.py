"""A host that answers after a fixed time. A process of its own: `python -m` this module.

`/name/N` is answered with N bytes. The address is written to standard output.
"""

import asyncio

from . import loopback
from .messages import MessageProtocol

ANSWER_DELAY_S = 0.005
DEFAULT_BODY_BYTES = 4
BLOCK = memoryview(b"a" * 64 * 1024)


class PlainHost(MessageProtocol):
    """One connection to a host; of a long answer no more is written than the proxy reads."""

    def __init__(self) -> None:
        super().__init__()
        self.remaining = 0  # bytes of the answer that are not written yet
        self.paused = False

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        segments = first_line.split(" ")[1].split("/")
        size = int(segments[2]) if len(segments) > 2 else DEFAULT_BODY_BYTES
        asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self.begin_answer, size)

    def begin_answer(self, size: int) -> None:
        if not self.transport.is_closing():
            self.transport.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode())
            self.remaining = size
            self.write_more()

    def write_more(self) -> None:
        """Write a block and go on in the next turn of the loop, so that long answers hold up no short one."""
        if not self.remaining or self.paused or self.transport.is_closing():
            return
        block = BLOCK[: self.remaining]
        self.remaining -= len(block)
        self.transport.write(block)
        asyncio.get_running_loop().call_soon(self.write_more)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        if self.paused:
            self.paused = False
            self.write_more()


async def serve() -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(PlainHost, loopback.ADDRESS, 0, backlog=512)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await loop.create_future()


if __name__ == "__main__":
    asyncio.run(serve())
