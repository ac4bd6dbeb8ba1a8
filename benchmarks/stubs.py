"""Stand-in hosts and discovery for the measurements: as little work as possible, all in one process.

Run as `python -m benchmarks.stubs HOSTS BODY DELAY_MS`; prints one JSON line with the addresses, then serves
until standard input ends. Hosts answer each message with BODY bytes after DELAY_MS (0: at once); discovery
never tells anything new, so that the list handed over at start stays in force.
"""

import asyncio
import gc
import json
import re
import sys

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)


class Host(asyncio.Protocol):
    answer, delay = b"", 0.0

    def connection_made(self, transport):
        self.transport, self.rest = transport, b""

    def data_received(self, data):
        self.rest += data
        while (end := self.rest.find(b"\r\n\r\n")) >= 0:
            sized = LENGTH.search(self.rest, 0, end + 2)
            whole = end + 4 + (int(sized[1]) if sized else 0)
            if len(self.rest) < whole:
                return
            self.rest = self.rest[whole:]
            if self.delay:
                asyncio.get_running_loop().call_later(self.delay, self.transport.write, self.answer)
            else:
                self.transport.write(self.answer)


class Discovery(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport  # a call is held for ever: nothing changes


async def main(hosts: int, body: int, delay_ms: float) -> None:
    loop = asyncio.get_running_loop()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n" % body
    Host.answer = head + b"x" * body
    Host.delay = delay_ms / 1000
    servers = [await loop.create_server(Host, "127.0.0.1", 0, backlog=1024) for _ in range(hosts)]
    servers.append(await loop.create_server(Discovery, "127.0.0.1", 0))
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    *hosts_at, discovery_at = [f"127.0.0.1:{port}" for port in ports]
    print(json.dumps({"hosts": hosts_at, "discovery": discovery_at}), flush=True)
    gc.collect()
    gc.freeze()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
