"""What long bodies cost: answers of 32 MB through a proxy and past it, and memory with many at a time.

    python -m benchmarks.bodies [--answers 20] [--size 32]

One proxy as a process, one stand-in host in this one, all on loopback. Prints JSON: MB/s and the proxy's peak
memory.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

from .path import start_up

PIECE = b"x" * 65536
WAIT = 60.0


async def host(reader, writer, size: int) -> None:
    try:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // len(PIECE)):
                writer.write(PIECE)
                await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def ask(address: tuple[str, int], number: int, size: int) -> None:
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    writer.write(b"GET /read/it HTTP/1.1\r\nHost: s\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n\r\n" % number)
    head = await reader.readuntil(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise RuntimeError(head.decode())
    left = size
    while left:
        part = await reader.read(1 << 18)
        if not part:
            raise RuntimeError(f"cut short by {left}")
        left -= len(part)
    writer.close()


async def timed(address: tuple[str, int], count: int, size: int, first: int) -> float:
    """MB a second of so many answers at once."""
    begun = time.perf_counter()
    await asyncio.wait_for(asyncio.gather(*(ask(address, first + n, size) for n in range(count))), WAIT)
    return round(count * size / 1e6 / (time.perf_counter() - begun), 1)


async def main(answers: int, size: int) -> dict:
    server = await asyncio.start_server(lambda r, w: host(r, w, size), "127.0.0.1", 0)
    away = server.sockets[0].getsockname()
    nobody = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        where = [":".join(map(str, each.sockets[0].getsockname()[:2])) for each in (server, nobody)]
        json.dump(start_up(where[:1], where[1], 512, 80), file)
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
            ready = json.loads(await asyncio.wait_for(process.stdout.readline(), WAIT))
            listen = tuple(ready["listen"])
            found = {
                "past it, one": await timed(away, 1, size, 0),
                "through it, one": await timed(listen, 1, size, 100),
                "past it, all at once": await timed(away, answers, size, 200),
                "through it, all at once": await timed(listen, answers, size, 300),
            }
            with open(f"/proc/{process.pid}/status") as status:
                peak = next(line.split()[1] for line in status if line.startswith("VmHWM"))
            return {
                "answers": answers,
                "MB each": size / 1e6,
                "MB/s": found,
                "peak MB": round(int(peak) / 1024, 1),
            }
        finally:
            process.kill()
            await process.communicate()


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    options.add_argument("--answers", type=int, default=20)
    options.add_argument("--size", type=int, default=32, help="MB each")
    given = options.parse_args()
    print(json.dumps(asyncio.run(main(given.answers, given.size * 2**20 // 65536 * 65536)), indent=1))
