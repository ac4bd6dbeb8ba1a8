"""One tiny fake host, and a stage that plays a story of a proxy against a few of them."""

import asyncio
import itertools
import json

from basalthook.fleet.counting import Counting
from basalthook.policy import interface
from basalthook.policy.decide import Proxy
from basalthook.recovery.following import Asking, Following

IDEMPOTENT, SCAN_CELL, NON_IDEMPOTENT, PUSH_ZONE, UPLOAD = range(5)
PROFILES = (
    interface.Profile(interface.IDEMPOTENT, interface.EVERYWHERE, 50_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.CELL, 6_000, 6_000),
    interface.Profile(interface.NON_IDEMPOTENT, interface.EVERYWHERE, 50_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.ZONE, 6_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.EVERYWHERE, 6_000, 6_000),
)


TERMS = dict(
    profiles=PROFILES,
    position=0,
    proxies=4,
    zone="a",
    cross_zone_price=0.0,
    warm_keys=True,
    list_on_request=True,
    list_poll_interval=100_000,
    slow_start_share=0.2,
    slow_start_time=200_000,
    overload_factor=2.5,
    overload_time=30_000,
    max_attempts=4,
    can_cancel=False,
    max_retry_after=20_000,
)


class FakeHost:
    """A host that gives one outcome to whatever reaches it; None keeps it silent."""

    def __init__(self, number, zone="a", cell=0, outcome=interface.COMMITTED, started=None, kind=""):
        self.outcome, self.got = outcome, []
        self.line = interface.HostEntry(
            number, 7919 * (number + 1) ** 3, zone, cell, True, 1.0, started, kind
        )


class Stage:
    def __init__(self, hosts, seed=1, elapsed=300, **terms):
        agreed = {**TERMS, **terms}
        self.now, self.next, self.elapsed = 1_000_000, 0, elapsed
        self.hosts = {h.line.host_id: h for h in hosts}
        self.proxy = Proxy(interface.PolicySettings(**agreed), seed, self.now)
        self.mind = Asking(Following(self.proxy.settings, self.proxy.rng), Counting(self.proxy))
        self.record, self.answers, self.hops, self.timers = [], {}, {}, []
        self.run(self.mind.begin())
        self.tell(interface.HostListReceived(tuple(h.line for h in hosts), True, True))

    def tell(self, event):
        self.run(self.mind.handle(self.now, event))

    def run(self, effects):
        for effect in effects:
            self.record.append(effect)
            if isinstance(effect, interface.SendAttempt):
                hop = self.hops[effect.tx] = self.hops.get(effect.tx, -1) + 1
                host = self.hosts[effect.host]
                host.got.append(effect.tx)
                if host.outcome is not None:
                    self.now += self.elapsed
                    self.end(effect.tx, hop, effect.host, host.outcome)
            elif isinstance(effect, (interface.RollBack, interface.Abandon)):
                assert effect.tx not in self.answers, "answered twice"
                self.answers[effect.tx] = type(effect)
            elif isinstance(effect, interface.SetTimer):
                self.timers.append((self.now + effect.delay, effect.timer_id))

    def end(self, tx, hop, host, outcome, elapsed=None):
        closed = outcome == interface.COMMITTED
        if closed:
            self.answers.setdefault(tx, interface.COMMITTED)
        self.tell(interface.AttemptEnded(tx, hop, host, outcome, elapsed or self.elapsed, closed))

    def arrive(self, profile=IDEMPOTENT, key=None, time_left=20_000, tenant=None):
        tx, self.next = self.next, self.next + 1
        self.tell(interface.TxArrived(tx, profile, key, time_left, tenant=tenant))
        return tx

    def wait(self, time):
        """Let time pass; timers fall due in order."""
        until = self.now + time
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.tell(interface.TimerDue(due[0][1]))
        self.now = max(self.now, until)

    def many(self, count, profile=IDEMPOTENT, key=None):
        """So many arrive, each with a key of its own or all with this one."""
        for n in range(count):
            self.arrive(profile, key=n if key is None else key)

    def turn(self, outcome):
        for host in self.hosts.values():
            host.outcome = outcome

    def crowd(self, strain):
        self.wait(30_000)
        self.proxy.slowdown = strain

    def sends(self):
        return [e.host for e in self.record if isinstance(e, interface.SendAttempt)]


# ---- the same on sockets

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
SILENT, RESET = None, "reset"


async def message(reader):
    """Head and body of one message, read without the project's parser."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = [line for line in head.split("\r\n") if line.lower().startswith("content-length:")]
    return head, await reader.readexactly(int(length[0].split(":")[1])) if length else b""


class SocketHost:
    """A host that answers its requests in these ways, one after the other, and the last one ever after."""

    def __init__(self, *ways):
        self.ways, self.writers, self.tasks = list(ways) or [OK], [], []
        self.got, self.ended = asyncio.Queue(), asyncio.Queue()

    async def start(self):
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def take(self, reader, writer):
        """Both at once: a stop between the two, before the task had run, once failed a whole suite."""
        self.writers.append(writer)
        self.tasks.append(asyncio.get_running_loop().create_task(self.serve(reader, writer)))

    async def stop(self):
        self.server.close()
        for task, writer in zip(self.tasks, self.writers, strict=True):
            task.cancel()
            writer.transport.abort()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        try:
            while True:
                self.got.put_nowait(await message(reader))
                way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
                if way == RESET:
                    return writer.transport.abort()
                if way is not SILENT:
                    writer.write(way[-1] if isinstance(way, tuple) else way)
                if isinstance(way, tuple):  # its end comes with it
                    return writer.close()
        except (OSError, asyncio.IncompleteReadError):
            self.ended.put_nowait(True)
            writer.close()

    def line(self, name, **changes):
        return {
            "id": name,
            "addr": self.address,
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
            **changes,
        }


class SocketDiscovery(SocketHost):
    """Answers each watch as soon as the test tells it something."""

    async def start(self):
        self.news = asyncio.Queue()
        return await super().start()

    async def serve(self, reader, writer):
        while not reader.at_eof():
            try:
                self.got.put_nowait((await message(reader))[0].split(" ")[1])
            except (OSError, asyncio.IncompleteReadError):
                break
            writer.write(await self.news.get())

    def tell(self, version, *lines, full=False):
        body = json.dumps({"version": version, "full": full, "servers": lines})
        self.news.put_nowait(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


SETTINGS = {
    "allowed": {
        "cancelling": True,
        "connect_timeout_ns": 250_000_000,
        "keepalive_ns": 30_000_000_000,
        "max_hops": 4,
        "max_retry_after_ns": 2_000_000_000,
        "retry_after": True,
    },
    "balancers": 1,
    "discovery": "on_request",
    "position": 0,
    "zone": "a",
    "profiles": [
        {"name": n, "effect": e, "hard_limit_ns": 2_000_000_000, "service_goal_ns": 600_000_000}
        for n, e in (("view", "repeatable"), ("submit", "once"))
    ],
    "rules": {
        "ask_within_ns": 10_000_000,
        "drain_grace_ns": 500_000_000,
        "cold_from": 0.2,
        "cold_ns": 20_000_000_000,
        "fall_ns": 3_000_000_000,
        "overload_factor": 2.5,
    },
}


def start_up(
    hosts,
    discovery,
    listen="127.0.0.1:0",
    sockets=256,
    memory_mb=64,
    console=None,
    mode="on_request",
    **changes,
):
    """The start-up file of a proxy that knows these hosts."""
    lines = [host.line(f"s-{n}") for n, host in enumerate(hosts)]
    return {
        "name": "n1",
        "listen": listen,
        "discovery": discovery.address,
        "seed": "2a",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "console": console,
        "known": {"version": 1, "full": True, "servers": lines},
        "settings": {**SETTINGS, "discovery": mode, **changes},
    }


class Caller:
    """An application's connection to its proxy."""

    ids = itertools.count(5)

    async def to(self, address):
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def stop(self):
        self.writer.transport.abort()
        await asyncio.gather(self.writer.wait_closed(), return_exceptions=True)

    def ask(self, profile="view", timeout="2.0", body=b"", key="k1", more=""):
        method = "POST" if profile == "submit" else "GET"
        line = f"{method} /{profile} HTTP/1.1\r\nHost: s\r\nRequest-Id: {next(self.ids)}\r\n"
        fields = f"Request-Timeout: {timeout}\r\nCookie: k={key}\r\n{more}"
        size = f"Content-Length: {len(body)}\r\n" if body or profile == "submit" else ""
        self.writer.write(f"{line}{fields}{size}\r\n".encode() + body)

    async def answer(self):
        head, body = await message(self.reader)
        return int(head.split(" ")[1]), body, head

    async def outcome(self, **request):
        self.ask(**request)
        return (await self.answer())[0]
