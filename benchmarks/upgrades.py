"""Upgrades under load: how many requests meet a refused, reset or unread connection, or get no answer.

    python -m benchmarks.upgrades [--upgrades 50] [--kills 20] [--callers 8]

One proxy on an inherited socket, replaced again and again while callers ask. Then kills, of
the old or the new process, at points spread over the hand-over; whoever is left has to serve. Prints JSON.
"""

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress

from .path import start_up

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
WAIT = 60.0
SPREAD = 0.8  # seconds after the start of a successor over which kills are spread
LOST = (OSError, asyncio.IncompleteReadError)


async def host(reader, writer) -> None:
    with suppress(*LOST):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(OK)


class Callers:
    def __init__(self, address, count: int) -> None:
        self.address, self.count, self.number = address, count, 0
        self.answered, self.broken, self.other, self.on = 0, 0, 0, True
        self.slowest = 0.0

    async def run(self) -> None:
        await asyncio.gather(*(self.ask_on() for _ in range(self.count)))

    async def ask_on(self) -> None:
        writer = None
        while self.on:
            begun = time.perf_counter()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.address)
                self.number += 1
                writer.write(
                    b"GET /read/it HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n"
                    b"Cookie: k=%d\r\n\r\n" % (self.number, self.number % 50)
                )
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT)
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            except LOST:
                self.broken += 1
                writer = None
                continue
            self.slowest = max(self.slowest, time.perf_counter() - begun)
            self.answered += b" 200 " in head[:16]
            self.other += b" 200 " not in head[:16]
            if b"connection: close" in head.lower():
                writer.close()
                writer = None
            await asyncio.sleep(0.002)


class Platform:
    """Holds the socket, starts processes beside one another, ends only those."""

    def __init__(self, folder: str, address: str, discovery: str) -> None:
        self.folder, self.path = folder, os.path.join(folder, "start.json")
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        told = start_up([address], discovery, 512, 80)
        told |= {"listen": ":".join(map(str, self.socket.getsockname())), "console": "127.0.0.1:0"}
        with open(self.path, "w") as file:
            json.dump(told, file)

    async def start(self):
        number = self.socket.fileno()
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "basalthook",
            "serve",
            pass_fds=[number],
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "RELAY_CONFIG": self.path, "TMPDIR": self.folder, "RELAY_FD": str(number)},
        )

    @staticmethod
    async def until(process, event: str) -> float:
        begun = time.perf_counter()
        while line := await asyncio.wait_for(process.stdout.readline(), WAIT):
            if json.loads(line)["event"] == event:
                return time.perf_counter() - begun
        raise RuntimeError(f"ended before it said {event}")


def counts(callers: Callers) -> dict:
    found = {
        "answered 200": callers.answered,
        "answered otherwise": callers.other,
        "refused, reset or unread": callers.broken,
        "slowest ms": round(callers.slowest * 1000),
    }
    callers.answered = callers.other = callers.broken = 0
    callers.slowest = 0.0
    return found


async def main(upgrades: int, kills: int, count: int) -> dict:
    server = await asyncio.start_server(host, "127.0.0.1", 0)
    nobody = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    where = [":".join(map(str, each.sockets[0].getsockname())) for each in (server, nobody)]
    with tempfile.TemporaryDirectory() as folder:
        platform, left = Platform(folder, *where), []
        process = await platform.start()
        left.append(process)
        try:
            await platform.until(process, "ready")
            callers = Callers(platform.socket.getsockname(), count)
            asking, ready = asyncio.create_task(callers.run()), []
            for _ in range(upgrades):
                successor = await platform.start()
                left.append(successor)
                ready.append(await platform.until(successor, "ready"))
                process.send_signal(signal.SIGTERM)
                await platform.until(process, "ended")
                await asyncio.wait_for(process.wait(), WAIT)
                process = successor
            found = {
                "upgrades": upgrades,
                **counts(callers),
                "ready after s, most": round(max(ready, default=0.0), 2),
            }
            for n in range(kills):
                successor = await platform.start()
                left.append(successor)
                await asyncio.sleep(SPREAD * (n // 2) / max(1, kills // 2))
                (process if n % 2 else successor).kill()
                if n % 2:
                    process = successor
                await asyncio.sleep(0.3)
            callers.on = False
            await asyncio.wait_for(asking, WAIT)
            reader, writer = await asyncio.open_connection(*platform.socket.getsockname())
            writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
            alive = b" 200 " in await asyncio.wait_for(reader.readline(), WAIT)
            writer.close()
            return {**found, "kills": {"count": kills, **counts(callers), "serves at the end": alive}}
        finally:
            for each in left:
                if each.returncode is None:
                    each.kill()
                await each.communicate()
            platform.socket.close()


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    options.add_argument("--upgrades", type=int, default=50)
    options.add_argument("--kills", type=int, default=20)
    options.add_argument("--callers", type=int, default=8)
    given = options.parse_args()
    print(json.dumps(asyncio.run(main(given.upgrades, given.kills, given.callers)), indent=1))
