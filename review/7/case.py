"""A process that is held up for 0.14 s at a deadline passes on the head of a long answer, never the rest."""

import asyncio
import signal
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, CannotRun, Client, Proxy, main, profile, settings

TURNS, REQUESTS = 12, 24
LIMIT_S, LONG_BYTES = 1.0, 200_000
HELD_S, MOST_HELD_S = 0.14, 0.15  # "held up for up to 0.15 s"
LATE_S = (
    3.0  # how long a client waits beyond its time; "up to half a second after its time it only earns nothing"
)


async def run(rig):
    rng, work, too_long = Random(8), {}, []

    async def serve(host, request):
        await asyncio.sleep(max(0.0, request.got + work[request.id] - rig.record.now()))
        await request.reply(200, b"x" * (LONG_BYTES if request.id.startswith("long") else 100))

    for n in range(1, 7):
        await rig.add_host(f"h{n}", serve)
    results = []

    async def one(proxy, name, wait):
        await asyncio.sleep(wait)
        client = Client(rig, proxy.port)
        answer = await client.ask("parcel-view", name, LIMIT_S, key=name, patience=LIMIT_S + LATE_S)
        results.append((name, answer))
        client.close()

    async def turn(number):
        proxy = Proxy(rig)
        await proxy.start(
            settings(
                [profile("parcel-view", "repeatable", 0.6, 2.5), profile("survey-submit", "once", 0.6, 1.5)]
            )
        )
        tasks = []
        for n in range(REQUESTS):
            name = f"{'long' if n % 2 else 'short'}{number}-{n}"
            work[name] = rng.uniform(0.75, 0.95)
            tasks.append(asyncio.create_task(one(proxy, name, rng.uniform(0.0, 0.1))))
        await asyncio.sleep(LIMIT_S - 0.08)
        if TROUBLE:
            stopped_at = rig.record.now()
            proxy.send(signal.SIGSTOP)
            await asyncio.sleep(HELD_S)
            proxy.send(signal.SIGCONT)
            if rig.record.now() - stopped_at > MOST_HELD_S:  # this machine was late: not judged
                rig.record("held for too long", turn=number)
                too_long.append(number)
        await asyncio.gather(*tasks)
        await proxy.kill()

    for number in range(TURNS):
        begun = len(results)
        await turn(number)
        if number in too_long:
            del results[begun:]
    if not results:
        raise CannotRun("every stop took too long")
    ends = {}
    for _, answer in results:
        ends[f"{answer.status} {answer.end}"] = ends.get(f"{answer.status} {answer.end}", 0) + 1
    rig.record("result", answers=ends)
    return [
        f"lost: {name} got no whole answer until {LATE_S} s after its time: {answer.end}"
        for name, answer in results
        if answer.end != "whole"
    ]


main(__file__, run)
