"""Stub hosts and discovery for the benchmarks, in one process that does as little work as possible.

Run as `python -m benchmarks.stubs HOSTS BODY DELAY_MS`; prints one JSON line with the addresses, then serves
until standard input ends. Hosts answer each request with BODY bytes after DELAY_MS (0: at once). Discovery
never answers, so the proxy keeps the host list of its start-up file.
"""

import asyncio
import gc
import json
import re
import sys

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)


class Host(asyncio.Protocol):
    """One connection to a stub host; all hosts share the response and the delay in seconds."""

    response, delay = b"", 0.0

    def connection_made(self, transport):
        self.transport, self.buffer = transport, b""

    def data_received(self, data):
        self.buffer += data
        while (head_end := self.buffer.find(b"\r\n\r\n")) >= 0:
            length = CONTENT_LENGTH.search(self.buffer, 0, head_end + 2)
            request_end = head_end + 4 + (int(length[1]) if length else 0)
            if len(self.buffer) < request_end:
                return
            self.buffer = self.buffer[request_end:]
            if self.delay:
                asyncio.get_running_loop().call_later(self.delay, self.transport.write, self.response)
            else:
                self.transport.write(self.response)


class Discovery(asyncio.Protocol):
    """One connection to discovery; its calls are never answered, as if no host ever changed."""

    def connection_made(self, transport):
        self.transport = transport


async def main(hosts: int, body: int, delay_ms: float) -> None:
    """Serve `hosts` stub hosts and discovery until standard input ends; `body` is in bytes."""
    loop = asyncio.get_running_loop()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n" % body
    Host.response = head + b"x" * body
    Host.delay = delay_ms / 1000
    servers = [await loop.create_server(Host, "127.0.0.1", 0, backlog=1024) for _ in range(hosts)]
    servers.append(await loop.create_server(Discovery, "127.0.0.1", 0))
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    *host_addresses, discovery_address = [f"127.0.0.1:{port}" for port in ports]
    print(json.dumps({"hosts": host_addresses, "discovery": discovery_address}), flush=True)
    gc.collect()
    gc.freeze()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
