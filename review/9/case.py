"""Many long bodies at a time: the program takes more memory than its limit, and the platform kills it."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, Answer, Client, Proxy, main, profile, settings

MEMORY_MB, SOCKETS, CLIENTS = 128, 256, 40  # clients hold a third of the descriptors at most for requests
SECONDS, LIMIT_S, WAIT_S = 40.0, 1.5, 0.05
SIZES = (300_000, 1_000_000, 4_000_000, 12_000_000) if TROUBLE else (100, 1_000, 10_000, 60_000)
CHUNKED_SHARE, HOST_PACE = 0.3, 20_000_000


def anonymous_kb(pid: int) -> int:
    """Memory of the process's own, without files and shared memory: the least that a platform could count."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def take(host, reader, length):
    left = length
    while left:
        part = await reader.read(min(left, 65_536))
        if not part:
            raise ConnectionError
        left -= len(part)
        await asyncio.sleep(len(part) / HOST_PACE)
    return b""


async def run(rig):
    async def serve(host, request):
        await asyncio.sleep(0.05)
        await request.reply(200, b"done " + request.id.encode())

    for n in range(1, 7):
        await rig.add_host(f"h{n}", serve, read_pace=take)
    proxy = Proxy(rig)
    await proxy.start(
        settings(
            [profile("parcel-view", "repeatable", 0.6, 2.5), profile("survey-submit", "once", 0.6, 1.5)]
        ),
        {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    )
    blob, finished, answers, killed = os.urandom(max(SIZES)), [], {}, []
    peak = 0

    async def platform():
        """Kills the process when it holds more than `memory_mb` (of 1,048,576 bytes each)."""
        nonlocal peak
        while not finished and proxy.process.returncode is None:
            with contextlib.suppress(OSError):
                held = anonymous_kb(proxy.process.pid)
                if held > peak + 1000:
                    rig.record("memory", anonymous_kb=held, limit_kb=MEMORY_MB * 1024)
                peak = max(peak, held)
                if held > MEMORY_MB * 1024:
                    killed.append(held)
                    proxy.send(signal.SIGKILL)
                    finished.append(True)
            await asyncio.sleep(0.01)

    async def submit(client, tx, size, chunked):
        """Send one survey and return its answer, which may come before the body has been sent."""
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        client.writer.write(
            f"POST /survey-submit/x HTTP/1.1\r\nHost: s\r\nRequest-Id: {tx}\r\n"
            f"Request-Class: survey-submit\r\nCookie: k={tx}\r\n"
            f"Request-Timeout: {LIMIT_S}\r\n{framing}\r\n\r\n".encode()
        )

        async def send_body():
            for at in range(0, size, 60_000):
                part = blob[at : min(size, at + 60_000)]
                client.writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                await client.writer.drain()
            if chunked:
                client.writer.write(b"0\r\n\r\n")

        sending = asyncio.create_task(send_body())
        try:
            answer = await asyncio.wait_for(client.read_answer(), 9.0)
        except (TimeoutError, OSError) as error:
            answer = Answer(end=repr(error))
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await sending
        return answer

    async def application(number):
        rng, count = Random(number), 0
        while not finished:
            count += 1
            client = Client(rig, proxy.port)
            with contextlib.suppress(OSError):
                await client.connect()
                answer = await submit(
                    client, f"s{number}-{count}", rng.choice(SIZES), rng.random() < CHUNKED_SHARE
                )
                how = f"{answer.status} {answer.end if answer.end == 'whole' else 'no answer'}"
                answers[how] = answers.get(how, 0) + 1
            client.close()
            await asyncio.sleep(WAIT_S)

    watching = asyncio.create_task(platform())
    applications = [asyncio.create_task(application(n)) for n in range(CLIENTS)]
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(asyncio.shield(watching), SECONDS)
    finished.append(True)
    await asyncio.gather(watching, *applications)
    rig.record("result", peak_kb=peak, limit_kb=MEMORY_MB * 1024, killed=killed, answers=answers)
    return [f"crash: the process held {held} kB of {MEMORY_MB * 1024} kB and was killed" for held in killed]


main(__file__, run)
