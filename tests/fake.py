"""Fake hosts, discovery and callers: in virtual time against the decisions, and on loopback sockets."""

import asyncio
import itertools
import json

from basalthook.fleet.aggregation import FaultAggregator
from basalthook.policy import interface
from basalthook.policy.decide import Proxy
from basalthook.recovery.discovery_schedule import DiscoverySchedule, PollingPolicy

IDEMPOTENT, JOURNALLED_CELL, NON_IDEMPOTENT, JOURNALLED_ZONE, JOURNALLED_EVERYWHERE = range(5)
PROFILES = (
    interface.Profile(interface.IDEMPOTENT, interface.EVERYWHERE, 50_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.CELL, 6_000, 6_000),
    interface.Profile(interface.NON_IDEMPOTENT, interface.EVERYWHERE, 50_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.ZONE, 6_000, 6_000),
    interface.Profile(interface.JOURNALLED, interface.EVERYWHERE, 6_000, 6_000),
)


POLICY_DEFAULTS = dict(
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
    """A host with the same outcome for every attempt; None: it never answers."""

    def __init__(self, number, zone="a", cell=0, outcome=interface.COMMITTED, started=None, kind=""):
        self.outcome, self.received = outcome, []
        self.entry = interface.HostEntry(
            number, 7919 * (number + 1) ** 3, zone, cell, True, 1.0, started, kind
        )


class ProxyHarness:
    """Runs one proxy's decisions against fake hosts in virtual time; an attempt takes `elapsed` ticks."""

    def __init__(self, hosts, seed=1, elapsed=300, **settings):
        merged = {**POLICY_DEFAULTS, **settings}
        self.now, self.next_tx, self.elapsed = 1_000_000, 0, elapsed
        self.hosts = {h.entry.host_id: h for h in hosts}
        self.proxy = Proxy(interface.PolicySettings(**merged), seed, self.now)
        self.handler = PollingPolicy(
            DiscoverySchedule(self.proxy.settings, self.proxy.rng), FaultAggregator(self.proxy)
        )
        self.effects, self.answers, self.attempts, self.timers = [], {}, {}, []
        self.run(self.handler.begin())
        self.deliver(interface.HostListReceived(tuple(h.entry for h in hosts), True, True))

    def deliver(self, event):
        self.run(self.handler.handle(self.now, event))

    def run(self, effects):
        for effect in effects:
            self.effects.append(effect)
            if isinstance(effect, interface.SendAttempt):
                attempt = self.attempts[effect.tx] = self.attempts.get(effect.tx, -1) + 1
                host = self.hosts[effect.host]
                host.received.append(effect.tx)
                if host.outcome is not None:
                    self.now += self.elapsed
                    self.end(effect.tx, attempt, effect.host, host.outcome)
            elif isinstance(effect, (interface.RollBack, interface.Abandon)):
                assert effect.tx not in self.answers, "answered twice"
                self.answers[effect.tx] = type(effect)
            elif isinstance(effect, interface.SetTimer):
                self.timers.append((self.now + effect.delay, effect.timer_id))

    def end(self, tx, attempt, host, outcome, elapsed=None):
        final = outcome == interface.COMMITTED
        if final:
            self.answers.setdefault(tx, interface.COMMITTED)
        self.deliver(interface.AttemptEnded(tx, attempt, host, outcome, elapsed or self.elapsed, final))

    def arrive(self, profile=IDEMPOTENT, key=None, time_left=20_000, tenant=None):
        tx, self.next_tx = self.next_tx, self.next_tx + 1
        self.deliver(interface.TxArrived(tx, profile, key, time_left, tenant=tenant))
        return tx

    def wait(self, time):
        """Advance the clock; timers fall due in order."""
        until = self.now + time
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.deliver(interface.TimerDue(due[0][1]))
        self.now = max(self.now, until)

    def arrive_many(self, count, profile=IDEMPOTENT, key=None):
        """`count` transactions arrive, each with a key of its own or all with `key`."""
        for n in range(count):
            self.arrive(profile, key=n if key is None else key)

    def set_outcomes(self, outcome):
        for host in self.hosts.values():
            host.outcome = outcome

    def set_slowdown(self, slowdown):
        self.wait(30_000)
        self.proxy.slowdown = slowdown

    def sent_to(self):
        return [e.host for e in self.effects if isinstance(e, interface.SendAttempt)]


# ---- on loopback sockets

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
SILENT, RESET = None, "reset"


async def message(reader):
    """Read the head and body of one message, without the project's parser."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = [line for line in head.split("\r\n") if line.lower().startswith("content-length:")]
    return head, await reader.readexactly(int(length[0].split(":")[1])) if length else b""


class SocketHost:
    """A host that gives these replies in turn, and repeats the last one.

    SILENT: no reply; RESET: the connection is reset; a tuple: the connection is closed after the reply.
    """

    def __init__(self, *replies):
        self.replies, self.writers, self.tasks = list(replies) or [OK], [], []
        self.received, self.disconnects = asyncio.Queue(), asyncio.Queue()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def accept(self, reader, writer):
        """Records writer and task together: after a stop between the two, `stop` would miss one and fail."""
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
                self.received.put_nowait(await message(reader))
                reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
                if reply == RESET:
                    return writer.transport.abort()
                if reply is not SILENT:
                    writer.write(reply[-1] if isinstance(reply, tuple) else reply)
                if isinstance(reply, tuple):  # the end of the connection follows
                    return writer.close()
        except (OSError, asyncio.IncompleteReadError):
            self.disconnects.put_nowait(True)
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
    """Answers each watch with what the test publishes next."""

    async def start(self):
        self.responses = asyncio.Queue()
        return await super().start()

    async def serve(self, reader, writer):
        while not reader.at_eof():
            try:
                self.received.put_nowait((await message(reader))[0].split(" ")[1])
            except (OSError, asyncio.IncompleteReadError):
                break
            writer.write(await self.responses.get())

    def publish(self, version, *lines, full=False):
        body = json.dumps({"version": version, "full": full, "servers": lines})
        self.responses.put_nowait(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


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
    """Start-up settings of a proxy that already knows these hosts."""
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
    """A client's connection to its proxy."""

    request_ids = itertools.count(5)

    async def connect(self, address):
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    async def stop(self):
        self.writer.transport.abort()
        await asyncio.gather(self.writer.wait_closed(), return_exceptions=True)

    def send_request(self, profile="view", timeout="2.0", body=b"", key="k1", more=""):
        method = "POST" if profile == "submit" else "GET"
        line = f"{method} /{profile} HTTP/1.1\r\nHost: s\r\nRequest-Id: {next(self.request_ids)}\r\n"
        fields = f"Request-Timeout: {timeout}\r\nCookie: k={key}\r\n{more}"
        size = f"Content-Length: {len(body)}\r\n" if body or profile == "submit" else ""
        self.writer.write(f"{line}{fields}{size}\r\n".encode() + body)

    async def read_response(self):
        head, body = await message(self.reader)
        return int(head.split(" ")[1]), body, head

    async def status(self, **request):
        self.send_request(**request)
        return (await self.read_response())[0]
