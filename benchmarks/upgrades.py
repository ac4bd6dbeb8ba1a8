"""Upgrades under load: how many requests meet a refused, reset or unread connection, or get no answer.

    python -m benchmarks.upgrades [--upgrades 50] [--kills 20] [--callers 8]

One proxy on an inherited socket is replaced repeatedly while clients send requests. After that the old or the
new process is killed, at times spread over the handover; the remaining process has to serve. Prints JSON.
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

from .path import start_up_document

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
TIMEOUT_S = 60.0
KILL_SPREAD_S = 0.8  # the kills are spread over this time after the start of a successor
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError)


async def serve_host(reader, writer) -> None:
    with suppress(*CONNECTION_ERRORS):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(RESPONSE)


class Clients:
    """Concurrent clients that each send one request after another until `running` is false."""

    def __init__(self, address, count: int) -> None:
        self.address, self.count, self.request_count = address, count, 0
        self.answered_200, self.broken, self.answered_otherwise, self.running = 0, 0, 0, True
        self.slowest_s = 0.0

    async def run(self) -> None:
        await asyncio.gather(*(self.send_requests() for _ in range(self.count)))

    async def send_requests(self) -> None:
        """One client; it reconnects after errors and after responses that close the connection."""
        writer = None
        while self.running:
            started = time.perf_counter()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.address)
                self.request_count += 1
                writer.write(
                    b"GET /read/it HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n"
                    b"Cookie: k=%d\r\n\r\n" % (self.request_count, self.request_count % 50)
                )
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            except CONNECTION_ERRORS:
                self.broken += 1
                writer = None
                continue
            self.slowest_s = max(self.slowest_s, time.perf_counter() - started)
            self.answered_200 += b" 200 " in head[:16]
            self.answered_otherwise += b" 200 " not in head[:16]
            if b"connection: close" in head.lower():
                writer.close()
                writer = None
            await asyncio.sleep(0.002)


class Platform:
    """Stub of the deployment platform: holds the listening socket and starts proxies that inherit it."""

    def __init__(self, folder: str, address: str, discovery: str) -> None:
        self.folder, self.start_up_path = folder, os.path.join(folder, "start.json")
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        document = start_up_document([address], discovery, 512, 80)
        document |= {"listen": ":".join(map(str, self.socket.getsockname())), "console": "127.0.0.1:0"}
        with open(self.start_up_path, "w") as file:
            json.dump(document, file)

    async def start(self):
        """Start a proxy process beside those that are running."""
        descriptor = self.socket.fileno()
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "basalthook",
            "serve",
            pass_fds=[descriptor],
            stdout=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "RELAY_CONFIG": self.start_up_path,
                "TMPDIR": self.folder,
                "RELAY_FD": str(descriptor),
            },
        )

    @staticmethod
    async def wait_for_event(process, event: str) -> float:
        """Wait until the process logs the event and return the seconds; RuntimeError if it ends before."""
        started = time.perf_counter()
        while line := await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S):
            if json.loads(line)["event"] == event:
                return time.perf_counter() - started
        raise RuntimeError(f"proxy process ended before it logged {event}")


def take_counts(clients: Clients) -> dict:
    """Return the counts since the previous call, and reset them."""
    counts = {
        "answered 200": clients.answered_200,
        "answered otherwise": clients.answered_otherwise,
        "refused, reset or unread": clients.broken,
        "slowest ms": round(clients.slowest_s * 1000),
    }
    clients.answered_200 = clients.answered_otherwise = clients.broken = 0
    clients.slowest_s = 0.0
    return counts


async def main(upgrades: int, kills: int, client_count: int) -> dict:
    """Run the upgrades, then the kills, and return the counts of both; ends only processes it started."""
    host_server = await asyncio.start_server(serve_host, "127.0.0.1", 0)
    discovery_server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    addresses = [
        ":".join(map(str, server.sockets[0].getsockname())) for server in (host_server, discovery_server)
    ]
    with tempfile.TemporaryDirectory() as folder:
        platform, processes = Platform(folder, *addresses), []
        current = await platform.start()
        processes.append(current)
        try:
            await platform.wait_for_event(current, "ready")
            clients = Clients(platform.socket.getsockname(), client_count)
            clients_task, ready_times = asyncio.create_task(clients.run()), []
            for _ in range(upgrades):
                successor = await platform.start()
                processes.append(successor)
                ready_times.append(await platform.wait_for_event(successor, "ready"))
                current.send_signal(signal.SIGTERM)
                await platform.wait_for_event(current, "ended")
                await asyncio.wait_for(current.wait(), TIMEOUT_S)
                current = successor
            result = {
                "upgrades": upgrades,
                **take_counts(clients),
                "ready after s, most": round(max(ready_times, default=0.0), 2),
            }
            for n in range(kills):
                successor = await platform.start()
                processes.append(successor)
                await asyncio.sleep(KILL_SPREAD_S * (n // 2) / max(1, kills // 2))
                (current if n % 2 else successor).kill()
                if n % 2:
                    current = successor
                await asyncio.sleep(0.3)
            clients.running = False
            await asyncio.wait_for(clients_task, TIMEOUT_S)
            reader, writer = await asyncio.open_connection(*platform.socket.getsockname())
            writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
            serving = b" 200 " in await asyncio.wait_for(reader.readline(), TIMEOUT_S)
            writer.close()
            return {
                **result,
                "kills": {"count": kills, **take_counts(clients), "serves at the end": serving},
            }
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.communicate()
            platform.socket.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--callers", type=int, default=8)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(main(arguments.upgrades, arguments.kills, arguments.callers)), indent=1))
