"""An upgrade soon after a whole list has left a host out: the new process takes it for one that is up."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import ADDRESS, TROUBLE, CannotRun, Client, Proxy, main, profile, settings

GRACE_S, SLACK_S = 0.5, 0.05  # rules.drain_grace_ns; "each time limit is 50 ms longer"
USUAL_S, HEAVY_S = 0.03, 1.9  # work; all within the hard limits
STOP_AFTER_S = 6.0  # the host ends so long after it was left out, when it has long finished what it had


async def run(rig):
    results, got = [], []  # (time, answer); requests that h4 got: (first byte, id, heavy)

    async def serve(host, request):
        heavy = request.fields.get("request-info") == "heavy"
        if host is leaving:
            got.append((request.begun, request.id, heavy))
        await asyncio.sleep(HEAVY_S if heavy else USUAL_S)
        await request.reply(200, b"done " + request.id.encode())

    leaving = None
    hosts = [await rig.add_host(f"h{n}", serve) for n in range(1, 5)]
    leaving = hosts[3]
    rig.discovery.tells_whole = True
    agreed = settings(
        [profile("parcel-view", "repeatable", 0.6, 2.5), profile("survey-submit", "once", 0.6, 1.5)]
    )
    listener = socket.create_server((ADDRESS, 0), backlog=1024)
    folder = rig.folder / "shared"
    old = Proxy(rig)
    old.port = listener.getsockname()[1]
    await old.start(agreed, listener=listener, console=True, folder=folder, ready_on="console")

    async def client(number):
        connection, count = Client(rig, old.port), 0
        while not finished:
            count += 1
            if number < 10:
                heavy = (count + number) % 4 == 0
                answer = await connection.ask(
                    "parcel-view",
                    f"v{number}-{count}",
                    2.5,
                    key=f"k{number}-{count}",
                    extra="Request-Info: heavy\r\n" if heavy else "",
                    patience=3.0,
                )
            else:
                answer = await connection.ask(
                    "survey-submit",
                    f"s{number}-{count}",
                    1.5,
                    b"survey",
                    "POST",
                    key=f"k{number}-{count}",
                    patience=2.0,
                )
            results.append((rig.record.now(), f"s{number}-{count}", answer))
            await asyncio.sleep(0.1)
        connection.close()

    finished = []
    clients = [asyncio.create_task(client(n)) for n in range(16)]
    await asyncio.sleep(2.0)
    until = rig.record.now() + 15.0
    # until the watch is open and h4 is at work on a heavy view
    while not (rig.discovery.waiters and got and got[-1][2] and rig.record.now() - got[-1][0] < 0.3):
        if rig.record.now() > until:
            raise CannotRun("no watch, or h4 got no heavy view")
        await asyncio.sleep(0.01)
    gone_at = rig.record.now()
    rig.discovery.change(leaving, "removed")  # told by the whole list, which leaves it out
    await asyncio.sleep(0.7)
    if TROUBLE:
        new = Proxy(rig)
        new.port = old.port
        await new.start(agreed, listener=listener, console=True, folder=folder, ready_on="console")
        old.send(signal.SIGTERM)
    await asyncio.sleep(max(0.0, gone_at + STOP_AFTER_S - rig.record.now()))
    rig.record("host ends", host=leaving.name)
    leaving.stop()
    await asyncio.sleep(2.0)
    finished.append(True)
    await asyncio.gather(*clients)
    late = [(round(at - gone_at, 3), tx) for at, tx, _ in got if at > gone_at + GRACE_S + SLACK_S]
    statuses = {}
    for at, _, answer in results:
        if at > gone_at:
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
    rig.record("result", answers_since=statuses, sent_late=late)
    if not late:
        return []
    return [
        f"drain: h4 got {len(late)} requests after the grace, {late[0][0]} to {late[-1][0]} s after "
        "the proxy was told that it is gone"
    ]


main(__file__, run)
