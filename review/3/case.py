"""Long bodies that come at 64 kB a second, beside usual requests with bodies over 64 KiB; see claim.txt."""

import asyncio
import contextlib
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig  # noqa: E402

HOSTS, MEMORY_MB = 9, 64
LONG_BODIES, LONG_BYTES, PACE = 40, 1_000_000, 64_000  # at a time; bytes; bytes a second
LONG_FROM_S, LONG_EVERY_S = 2.0, 0.05  # when the first of them begins; until the next one begins
RATE, SECONDS, BODY_BYTES = 10, 25, 70_000  # of each kind of usual request; length of a body over 64 KiB
LATE_S = 0.5 + 0.05  # after a request's time: only then it is lost; and the slack on sockets
WATCH_S = 6.0  # the client stays so long to see what comes


class Client:
    """Sends one request on a connection of its own, whole, and waits for the answer."""

    def __init__(self, record, address):
        self.record, self.address, self.random = record, address, random.Random("client")
        self.counts, self.lost, self.judged = {}, [], 0

    async def ask(self, kind, number, method, name, limit_s, body_bytes, pace=None):
        loop, id_ = asyncio.get_running_loop(), f"{kind}-{number:06d}"
        patience = limit_s * self.random.uniform(0.7, 1.0)
        length = f"Content-Length: {body_bytes}\r\n" if method == "POST" else ""
        head = (
            f"{method} /{name}/x HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id_}\r\n"
            f"Request-Class: {name}\r\nCookie: k=p{self.random.randrange(1500)}\r\n"
            f"Request-Timeout: {patience:.3f}\r\n{length}\r\n"
        ).encode()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, self.address)
            try:
                if pace:
                    await loop.sock_sendall(sock, head)
                    for at in range(0, body_bytes, pace // 4):
                        await loop.sock_sendall(sock, b"b" * min(pace // 4, body_bytes - at))
                        await asyncio.sleep(0.25)
                else:
                    await loop.sock_sendall(sock, head + b"b" * body_bytes)
            except OSError as error:  # ended before its last byte: the proxy has not taken it
                return self.record.note(f"{id_} ended before its last byte was written: {error!r}")
            written = loop.time()
            self.record.note(f"sent {id_}: whole, {body_bytes} bytes of body, time {patience:.3f} s")
            answer = b""
            with contextlib.suppress(OSError, TimeoutError):
                answer = await asyncio.wait_for(loop.sock_recv(sock, 4096), WATCH_S)
            waited = loop.time() - written
        outcome = answer.split(b" ")[1].decode() if answer.startswith(b"HTTP/1.1 ") else "no answer"
        lost = outcome == "no answer" or waited > patience + LATE_S
        self.judged += 1
        key = (kind, outcome, "LOST" if lost else "in time")
        self.counts[key] = self.counts.get(key, 0) + 1
        self.record.note(
            f"{id_}: {outcome} after {waited:.3f} s of {patience:.3f} s{', LOST' if lost else ''}"
        )
        if lost:
            self.lost.append(id_)


async def story(record, folder, cleanups):
    discovery, hosts = rig.Discovery(record), [rig.Host(record, n) for n in range(HOSTS)]
    await discovery.start()
    for host in hosts:
        await host.start()
    discovery.servers = [host.listed() for host in hosts]
    proxy = rig.Proxy(record, folder)
    cleanups.append(proxy.end)
    told = rig.settings(
        [rig.profile("parcel-view", "repeatable", 600, 2500), rig.profile("survey-submit", "once", 600, 1500)]
    )
    await proxy.start(discovery, hosts, told, {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512})
    client, tasks, loop = Client(record, proxy.address), [], asyncio.get_running_loop()
    begin = loop.time()

    async def at(seconds, *args):
        await asyncio.sleep(max(0.0, begin + seconds - loop.time()))
        await client.ask(*args)

    for n in range(LONG_BODIES):
        pace = PACE if rig.TROUBLE else None
        tasks.append(
            at(LONG_FROM_S + n * LONG_EVERY_S, "long", n, "POST", "survey-submit", 1.5, LONG_BYTES, pace)
        )
    for n in range(RATE * SECONDS):
        tasks.append(at(n / RATE, "view", n, "GET", "parcel-view", 2.5, 0))
        tasks.append(at(n / RATE, "submit-2kB", n, "POST", "survey-submit", 1.5, 2_000))
        tasks.append(at(n / RATE, "submit-70kB", n, "POST", "survey-submit", 1.5, BODY_BYTES))
    await asyncio.gather(*tasks)
    for (kind, outcome, verdict), count in sorted(client.counts.items()):
        record.say(f"{kind}: {count} times {outcome}, {verdict}")
    for line in proxy.log_lines("no memory")[:20]:
        record.note(f"log of the proxy: {line}")
    record.say(f"{client.judged} requests taken, {len(client.lost)} lost")
    if client.judged < RATE * SECONDS * 2:
        raise rig.CannotRun("too few requests were taken to judge")
    return not client.lost


rig.play(HERE / "record.txt", story)
