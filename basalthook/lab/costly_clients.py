"""Clients that cost a proxy memory or processor time. A process of its own: `python -m` this module.

Each class is one behaviour; an instance is one connection, which is opened again whenever it has ended.
"""

import asyncio
import itertools
import socket
import sys
from contextlib import suppress
from random import Random

RECONNECT_DELAY_S = 0.01
READ_BYTES = 64 * 1024
# receive buffer of clients that read slowly, so that little of an answer waits on their side
SMALL_RECEIVE_BUFFER_BYTES = 4 * 1024
SMALL_READ_BYTES = 200
SMALL_READS_PER_S = 10
BURST_REQUESTS = 100  # written in one call by clients that pipeline
MIXED_BODY_BYTES = 300_000, 1_000_000, 4_000_000, 12_000_000
MIXED_BODY_BLOCK = b"x" * 60_000
MIXED_CHUNKED_SHARE = 0.3
MIXED_TIMEOUT_S = 1.5
MAX_START_DELAY_S = 1.0  # connections are opened over this time


class CostlyClient:
    """One connection at a time, opened again after it has ended."""

    connections = 330
    receive_buffer: int | None = None

    def __init__(self, address: tuple[str, int], name: str, seed: int) -> None:
        self.address, self.name = address, name
        self.random = Random(f"{name} {seed}")
        self.numbers = itertools.count()
        self.sock: socket.socket | None = None

    async def run(self) -> None:
        """Behave so until cancelled."""
        await asyncio.sleep(self.random.random() * MAX_START_DELAY_S)
        while True:
            with suppress(OSError):
                await self.connect()
                await asyncio.gather(self.write(), self.read())
            if self.sock is not None:
                self.sock.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self.receive_buffer is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        await asyncio.get_running_loop().sock_connect(self.sock, self.address)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def read(self) -> None:
        """Read and drop what comes, up to the end of the connection, which is reported by OSError."""
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(self.sock, READ_BYTES):
            pass
        raise ConnectionError("ended by the proxy")

    async def write(self) -> None:
        """Send what this behaviour sends; the connection stays open afterwards."""
        raise NotImplementedError

    def request_id(self) -> str:
        return f"{self.name}-{next(self.numbers)}-{self.random.getrandbits(48):x}"

    def head(
        self,
        method: str = "GET",
        path: str = "/view",
        fields: str = "",
        key: str = "k",
        timeout_s: float = 3.0,
    ) -> bytes:
        """Return the head of a valid request with these further field lines."""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: s\r\nRequest-Id: {self.request_id()}\r\n"
            f"Request-Class: {'view' if method == 'GET' else 'submit'}\r\n"
            f"Cookie: k={key}\r\nRequest-Timeout: {timeout_s}\r\n{fields}\r\n"
        ).encode()


class SlowReader(CostlyClient):
    """Reads 2 kB a second."""

    receive_buffer = SMALL_RECEIVE_BUFFER_BYTES

    async def read(self) -> None:
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(self.sock, SMALL_READ_BYTES):
            await asyncio.sleep(1 / SMALL_READS_PER_S)
        raise ConnectionError("ended by the proxy")


class PipelinedHealth(CostlyClient):
    """Health checks without a pause, written ahead of the answers."""

    connections = 1

    async def write(self) -> None:
        while True:
            await self.send(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n" * BURST_REQUESTS)


class ListedFields(CostlyClient):
    """Requests whose Connection field names 2,200 fields, new names each time."""

    connections = 1

    async def write(self) -> None:
        while True:
            names = ",".join(f"{self.random.getrandbits(24):06x}" for _ in range(2_200))
            await self.send(self.head(fields=f"Connection: {names}\r\n"))


class HalfBody(CostlyClient):
    """Announces 65,000 bytes, sends 60,000 and falls silent."""

    async def write(self) -> None:
        await self.send(self.head("POST", fields="Content-Length: 65000\r\n") + b"x" * 60_000)


class TrickledBody(CostlyClient):
    """Sends 65,000 bytes at 20 kB a second, again and again."""

    async def write(self) -> None:
        while True:
            await self.send(self.head("POST", fields="Content-Length: 65000\r\n"))
            for _ in range(65):
                await self.send(b"x" * 1_000)
                await asyncio.sleep(0.05)


class ExpectFields(CostlyClient):
    """1,700 Expect fields and 60,000 bytes announced."""

    async def write(self) -> None:
        await self.send(self.head("POST", fields="expect:\r\n" * 1_700 + "Content-Length: 60000\r\n"))


class UnreadAnswers(SlowReader):
    """Fifty requests for 60,000 bytes each, written at once; the answers are read slowly."""

    async def write(self) -> None:
        await self.send(b"".join(self.head(path="/view/60000") for _ in range(50)))


class LongUnreadAnswer(SlowReader):
    """A request for 8 MB, which is read slowly."""

    async def write(self) -> None:
        await self.send(self.head(path="/view/8000000"))


class ManyFields(CostlyClient):
    """Whole heads with 2,100 short fields, three a second."""

    async def write(self) -> None:
        while True:
            await self.send(self.head(fields="".join(f"a{n % 100}:b\r\n" for n in range(2_100))))
            await asyncio.sleep(0.33)


class EndlessHead(CostlyClient):
    """A head with 3,900 short fields that never ends."""

    async def write(self) -> None:
        await self.send(self.head()[:-2] + b"a:\r\n" * 3_900)


class TinyChunks(CostlyClient):
    """A body in chunks of one byte, 12,000 of them a second."""

    async def write(self) -> None:
        await self.send(self.head("POST", fields="Transfer-Encoding: chunked\r\n"))
        while True:
            await self.send(b"1\r\nx\r\n" * 1_200)
            await asyncio.sleep(0.1)


class HalfLongBody(CostlyClient):
    """Sends 1.5 MB of 3 MB and falls silent."""

    async def write(self) -> None:
        await self.send(self.head("POST", fields="Content-Length: 3000000\r\n"))
        for _ in range(150):
            await self.send(b"x" * 10_000)


class MixedBodies(CostlyClient):
    """Whole bodies of 0.3 to 12 MB, one request a connection, three in ten of them in chunks."""

    connections = 40

    async def write(self) -> None:
        size = self.random.choice(MIXED_BODY_BYTES)
        chunked = self.random.random() < MIXED_CHUNKED_SHARE
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        fields = f"Connection: close\r\n{framing}\r\n"
        await self.send(self.head("POST", fields=fields, timeout_s=MIXED_TIMEOUT_S))
        for at in range(0, size, len(MIXED_BODY_BLOCK)):
            block = MIXED_BODY_BLOCK[: size - at]
            await self.send(b"%x\r\n%b\r\n" % (len(block), block) if chunked else block)
        if chunked:
            await self.send(b"0\r\n\r\n")


class PipelinedKeys(CostlyClient):
    """Valid requests without a pause, each with a new key."""

    connections = 8

    async def write(self) -> None:
        while True:
            await self.send(
                b"".join(self.head(key=f"{self.random.getrandbits(48):x}") for _ in range(BURST_REQUESTS))
            )


class PipelinedRejects(CostlyClient):
    """Requests that are answered without an attempt, each under a new class name, without a pause."""

    connections = 1

    async def write(self) -> None:
        while True:
            names = [f"{self.random.getrandbits(48):x}" for _ in range(BURST_REQUESTS)]
            await self.send(
                "".join(f"GET /{name} HTTP/1.1\r\nHost: {name}\r\n\r\n" for name in names).encode()
            )


class EmptyLines(CostlyClient):
    """Empty lines without a pause."""

    connections = 1

    async def write(self) -> None:
        while True:
            await self.send(b"\r\n" * 8_000)


class Silent(CostlyClient):
    """Connects and sends nothing."""

    connections = 660

    async def write(self) -> None:
        pass


BEHAVIOURS: dict[str, type[CostlyClient]] = {
    "pipelined-health": PipelinedHealth,
    "listed-fields": ListedFields,
    "half-bodies": HalfBody,
    "trickled-bodies": TrickledBody,
    "expect-fields": ExpectFields,
    "unread-answers": UnreadAnswers,
    "long-unread-answers": LongUnreadAnswer,
    "many-fields": ManyFields,
    "endless-heads": EndlessHead,
    "tiny-chunks": TinyChunks,
    "half-long-bodies": HalfLongBody,
    "mixed-bodies": MixedBodies,
    "pipelined-keys": PipelinedKeys,
    "pipelined-rejects": PipelinedRejects,
    "empty-lines": EmptyLines,
    "silent": Silent,
}


async def run_clients(
    behaviour: str, address: tuple[str, int], connections: int, seconds: float, seed: int
) -> None:
    """Run this many connections of one behaviour for a time."""
    kind = BEHAVIOURS[behaviour]
    tasks = [asyncio.create_task(kind(address, f"c{number}", seed).run()) for number in range(connections)]
    await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    name, host, port, count, duration, number = sys.argv[1:]
    asyncio.run(run_clients(name, (host, int(port)), int(count), float(duration), int(number)))
