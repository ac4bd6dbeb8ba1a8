"""Throughput of long response bodies through a proxy and directly from a host, and the proxy's peak memory.

    python -m benchmarks.bodies [--answers 20] [--size 32]

Starts one proxy process; the stub host runs in this process. All connections are on loopback. Prints JSON:
throughput in MB/s, and the proxy's peak memory in MiB.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

from .path import start_up_document

CHUNK = b"x" * 65536
TIMEOUT_S = 60.0


async def serve_host(reader, writer, size: int) -> None:
    """Answer each request on a connection with a body of `size` bytes, a multiple of the chunk length."""
    try:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def fetch(address: tuple[str, int], request_id: int, size: int) -> None:
    """Read one response of `size` bytes; RuntimeError if its status is not 200 or its body is truncated."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    writer.write(
        b"GET /read/it HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n\r\n" % request_id
    )
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise RuntimeError(head.decode())
    remaining = size
    while remaining:
        data = await reader.read(1 << 18)
        if not data:
            raise RuntimeError(f"response body truncated; bytes missing: {remaining}")
        remaining -= len(data)
    writer.close()


async def throughput(address: tuple[str, int], count: int, size: int, first_id: int) -> float:
    """Return the MB/s of `count` concurrent responses of `size` bytes each."""
    started = time.perf_counter()
    await asyncio.wait_for(
        asyncio.gather(*(fetch(address, first_id + n, size) for n in range(count))), TIMEOUT_S
    )
    return round(count * size / 1e6 / (time.perf_counter() - started), 1)


async def main(answers: int, size: int) -> dict:
    """Measure one response and then `answers` concurrent ones of `size` bytes, and return the figures."""
    host_server = await asyncio.start_server(lambda r, w: serve_host(r, w, size), "127.0.0.1", 0)
    host_address = host_server.sockets[0].getsockname()
    discovery_server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        addresses = [
            ":".join(map(str, server.sockets[0].getsockname()[:2]))
            for server in (host_server, discovery_server)
        ]
        json.dump(start_up_document(addresses[:1], addresses[1], 512, 80), file)
        file.flush()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "basalthook",
            "serve",
            "--file",
            file.name,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "RELAY_CONSOLE": ""},
        )
        try:
            ready = json.loads(await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S))
            proxy_address = tuple(ready["listen"])
            throughputs = {
                "past it, one": await throughput(host_address, 1, size, 0),
                "through it, one": await throughput(proxy_address, 1, size, 100),
                "past it, all at once": await throughput(host_address, answers, size, 200),
                "through it, all at once": await throughput(proxy_address, answers, size, 300),
            }
            with open(f"/proc/{process.pid}/status") as status:
                peak_kib = next(line.split()[1] for line in status if line.startswith("VmHWM"))
            return {
                "answers": answers,
                "MB each": size / 1e6,
                "MB/s": throughputs,
                "peak MB": round(int(peak_kib) / 1024, 1),
            }
        finally:
            process.kill()
            await process.communicate()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--answers", type=int, default=20)
    parser.add_argument("--size", type=int, default=32, help="MiB of each response")
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(main(arguments.answers, arguments.size * 2**20 // 65536 * 65536)), indent=1))
