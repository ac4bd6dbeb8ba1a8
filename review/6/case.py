"""A long journalled request is sent again: it is whole at its second host when its mark is forgotten."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, Client, Proxy, main, profile, settings

WINDOW_S = 1.0  # lift-status of notch-main: hosts drop a repeat for 1 s, hard limit 2.5 s
# The stand-ins remember for longer: "each time limit is 50 ms longer", and windows allow for 0.15 s between
# a look at the clock and a write.
SLACK_S = 0.05 + 0.15
LENGTH = 3_000_000  # "answers and bodies reach 32 MB"
# Bytes a second that a host takes in. They differ as the cores of one site do: 1.5 to 0.59 at kigali-parcels.
PACES = {"h1": 5_000_000, "h2": 2_000_000, "h3": 2_000_000}
RUNS_S, REQUESTS = 0.1, 16


async def take(host, reader, length):
    parts, left = [], length
    while left:
        part = await reader.read(min(left, 50_000))
        if not part:
            raise ConnectionError
        left -= len(part)
        parts.append(part)
        await asyncio.sleep(len(part) / PACES[host.name])
    return b"".join(parts)


async def run(rig):
    runs, known_at = {}, {}  # by mark: when and where it ran; when it was first begun, shared by all hosts

    async def serve(host, request):
        mark, now = request.fields["mark"], rig.record.now()
        if now - known_at.get(mark, -1e9) <= WINDOW_S + SLACK_S:
            rig.record("repeat dropped", host=host.name, mark=mark, after=round(now - known_at[mark], 3))
        else:
            known_at[mark] = now
            runs.setdefault(mark, []).append((round(now, 3), host.name))
            rig.record("ran", host=host.name, id=request.id, mark=mark)
        await asyncio.sleep(RUNS_S)
        if TROUBLE and known_at[mark] == now and len(runs[mark]) == 1:
            return request.reset()  # under a request that has begun
        await request.reply(200, b"done " + mark.encode())

    for name in PACES:
        await rig.add_host(name, serve, read_pace=take)
    proxy = Proxy(rig)
    await proxy.start(
        settings(
            [
                profile("tile-read", "repeatable", 0.4, 1.5),
                profile("lift-status", "by_key", 1.2, 2.5, WINDOW_S, "zone"),
            ],
            5,
        )
    )
    answers = []
    for n in range(REQUESTS):
        client = Client(rig, proxy.port)
        answers.append(
            await client.ask(
                "lift-status",
                f"r{n}",
                2.5,
                bytes(LENGTH),
                "POST",
                key=f"k{n}",
                extra=f"Mark: m{n}\r\n",
                patience=3.0,
            )
        )
        client.close()
        await asyncio.sleep(0.5)
    twice = {mark: times for mark, times in runs.items() if len(times) > 1}
    rig.record("result", requests=REQUESTS, twice=twice, statuses=[a.status for a in answers])
    return [f"duplicate: {mark} ran {len(times)} times, at {times}" for mark, times in twice.items()]


main(__file__, run)
