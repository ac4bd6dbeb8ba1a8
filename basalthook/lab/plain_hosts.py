"""Hosts that answer after a fixed time. A process of its own: `python -m` this module.

`/name/N` is answered with N bytes. The addresses are written to standard output, one a line.
"""

import asyncio
import sys

from . import loopback
from .messages import MessageProtocol

ANSWER_DELAY_S = 0.005
DEFAULT_BODY = b"done"


class PlainHost(MessageProtocol):
    """One connection to a host."""

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        segments = first_line.split(" ")[1].split("/")
        answer = b"a" * int(segments[2]) if len(segments) > 2 else DEFAULT_BODY
        asyncio.get_running_loop().call_later(ANSWER_DELAY_S, self.answer, 200, answer)


async def serve(hosts: int) -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    for _ in range(hosts):
        server = await loop.create_server(PlainHost, loopback.ADDRESS, 0, backlog=512)
        host, port = server.sockets[0].getsockname()[:2]
        print(f"{host}:{port}", flush=True)
    await loop.create_future()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
