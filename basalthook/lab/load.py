"""An open loop of clients: a schedule drawn ahead, which waits for no answer.

A latency counts from when the transaction was due, so that a proxy that stalls can't slow its own
measurement down. Each actor draws from a generator of its own.
"""

import asyncio
from bisect import bisect
from itertools import accumulate
from random import Random

from hdrh.histogram import HdrHistogram

from .messages import Messages
from .scenario import Load
from .wire import Answered, Asked, ClientLeft, ClosedBeforeRead, HalfRequestKeptOpen

ANSWER_GRACE_S = 1.0  # seconds past the hard limit after which a connection that owes an answer is closed
UNREAD_CLOSE_S = 0.05  # seconds in which a resting connection that ends has not read what was just written
MAX_STALLED_S = 3.5  # seconds in which a request that stops half way has to be ended: 3 s, and half a second
HALF_REQUEST = b"GET /read/half HTTP/1.1\r\nHost: lab\r\nRequ"
HURRIED_WAIT_S = (0.002, 0.1)  # seconds that a client in a hurry waits
REPLACE_DELAY_S = 0.3  # seconds until another connection that says nothing takes the place of one that ended
MICROSECONDS_PER_SECOND, MAX_LATENCY_S = 1_000_000, 60


class Client(Messages):
    """One connection, one transaction at a time."""

    def __init__(self, clients: "Clients", proxy: int) -> None:
        super().__init__()
        self.clients, self.proxy, self.open_request, self.timer = clients, proxy, None, None
        self.request_count, self.has_left = 0, False  # requests so far; whether it went before its answer

    def send(self, profile, key: str, work: float, due: float, tx: str, first: str, tries: int) -> None:
        now, limit = self.clients.clock(), self.clients.draw_time_limit(profile)
        once, keyed = profile.effect == "once", profile.effect == "by_key"
        self.open_request = Asked(
            now,
            tx,
            once,
            now + limit,
            profile.name,
            due,
            first,
            profile.window if keyed else None,
        )
        self.request_count += 1
        self.request_args = profile, key, work, due, first, tries
        size = "Content-Length: 0\r\n" if once else ""
        self.clients.wire.append(self.open_request)
        self.transport.write(
            f"{'POST' if once else 'GET'} /{profile.name}/it HTTP/1.1\r\nHost: lab\r\nRequest-Id: {tx}\r\n"
            f"Cookie: k={key}\r\nRequest-Timeout: {limit:.3f}\r\nLab-Work: {work:.6f}\r\n"
            f"{size}\r\n".encode()
        )
        wait = limit + ANSWER_GRACE_S
        loop, behaviour_rng, load = asyncio.get_running_loop(), self.clients.behaviour_rng, self.clients.load
        self.timer = loop.call_later(wait, self.transport.abort)
        if load.leave and behaviour_rng.random() < load.leave:
            starts_next = behaviour_rng.random() < load.ahead
            loop.call_later(behaviour_rng.random() * limit, self.leave, self.open_request, starts_next)

    def leave(self, request: Asked, starts_next: bool) -> None:
        """Go before the answer; with the first bytes of a next request written, if it has begun one."""
        if self.open_request is not request or self.transport.is_closing():
            return
        if starts_next:
            self.transport.write(b"GET /")
        self.has_left = True
        self.clients.wire.append(ClientLeft(self.clients.clock(), request.tx))
        self.transport.close()

    def message_received(self, first: str, fields: dict, body: bytes) -> None:
        request, self.open_request = self.open_request, None
        if request is None:
            return self.transport.abort()
        self.timer.cancel()
        status = int(first.split(" ")[1])
        self.clients.note_answer(
            self, request, status, body.startswith(request.tx.encode() + b" by "), fields
        )
        if fields.get("connection", "").lower() == "close":
            self.transport.close()
        elif not self.transport.is_closing():
            self.clients.idle_connections[self.proxy].append(self)

    def connection_lost(self, _) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self in self.clients.idle_connections[self.proxy]:
            self.clients.idle_connections[self.proxy].remove(self)
        self.clients.connections.discard(self)
        now, request = self.clients.clock(), self.open_request
        if request is None or self.has_left or now >= request.limit + ANSWER_GRACE_S:
            return
        if self.request_count > 1 and now < request.at + UNREAD_CLOSE_S and not self.buffer:
            self.clients.wire.append(ClosedBeforeRead(now, request.tx))
            self.clients.start_transaction(*self.request_args)
        else:
            self.clients.wire.append(Answered(now, request.tx, 0, False))


class Idle(asyncio.Protocol):
    """A connection that says nothing; another takes its place when it ends."""

    def __init__(self, clients: "Clients", proxy: int) -> None:
        self.clients, self.proxy = clients, proxy

    def connection_made(self, transport) -> None:
        self.clients.silent_connections.add(transport)
        self.transport = transport

    def connection_lost(self, _) -> None:
        self.clients.silent_connections.discard(self.transport)
        self.clients.schedule_silent_connection(self.proxy, type(self))


class Stalled(Idle):
    """A connection that begins a request and says no more; the proxy has to end it in time."""

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.write(HALF_REQUEST)
        asyncio.get_running_loop().call_later(MAX_STALLED_S, self.check_ended)

    def check_ended(self) -> None:
        if not self.transport.is_closing() and self.clients.running:
            self.clients.wire.append(HalfRequestKeptOpen(self.clients.clock(), self.proxy))


class Clients:
    def __init__(self, load: Load, wire: list, clock, seed: int, addresses: list) -> None:
        """`addresses`: of the proxies; None while one is not to be asked."""
        self.load, self.wire, self.clock, self.addresses = load, wire, clock, addresses
        self.proxy_rng = Random(f"proxies of {seed}")
        self.schedule_rng, self.request_rng, self.behaviour_rng = (
            Random(f"{name} of {seed}") for name in ("schedule", "draws", "manners")
        )
        self.hurry_rng = Random(f"hurries of {seed}")
        self.key_weights = list(accumulate(rank**-load.zipf for rank in range(1, load.keys + 1)))
        self.idle_connections: list[list[Client]] = [[] for _ in addresses]  # by proxy
        self.connections: set[Client] = set()
        self.tasks: set[asyncio.Task] = set()  # emptied as they end
        self.silent_connections: set[asyncio.Transport] = set()  # emptied as they end
        self.running = False
        self.number, self.latency_us = (
            0,
            HdrHistogram(1, MAX_LATENCY_S * MICROSECONDS_PER_SECOND, 3),
        )  # microseconds, of commits

    async def run(self, seconds: float, rate) -> None:
        """Ask by the schedule for so long, `rate(seconds since the start)` a second.

        Returns when the last answer has come or can't come any more.
        """
        begin = due = self.clock()
        self.running = True
        for proxy in range(len(self.addresses)):
            for _ in range(self.load.idle):
                self.schedule_silent_connection(proxy, Idle)
            for _ in range(self.load.stalled):
                self.schedule_silent_connection(proxy, Stalled)
        while (due := due + self.schedule_rng.expovariate(rate(due - begin))) < begin + seconds:
            if (wait := due - self.clock()) > 0:
                await asyncio.sleep(wait)
            (profile,) = self.request_rng.choices(self.load.profiles, [p.share for p in self.load.profiles])
            key = f"key-{bisect(self.key_weights, self.request_rng.random() * self.key_weights[-1])}"
            self.start_transaction(profile, key, self.request_rng.expovariate(1 / profile.work), due, None, 0)
        longest_wait = max(p.hard_limit for p in self.load.profiles) + ANSWER_GRACE_S
        give_up_at = self.clock() + longest_wait * (1 + self.load.retries)
        while self.clock() < give_up_at and (
            self.tasks
            and not (self.load.idle or self.load.stalled)
            or any(c.open_request for c in self.connections)
        ):
            await asyncio.sleep(0.02)
        self.running = False
        for transport in [client.transport for client in self.connections] + list(self.silent_connections):
            transport.abort()

    def draw_time_limit(self, profile) -> float:
        """Seconds that a client waits: its profile's deadline, or next to nothing where it is in a hurry."""
        if self.load.hurried and self.hurry_rng.random() < self.load.hurried:
            return min(profile.hard_limit, self.hurry_rng.uniform(*HURRIED_WAIT_S))
        return profile.hard_limit

    def schedule_silent_connection(self, proxy: int, kind: type[Idle]) -> None:
        """Open a connection of this kind, a little later."""
        if self.running:
            asyncio.get_running_loop().call_later(
                REPLACE_DELAY_S * self.behaviour_rng.random(),
                lambda: self.start_task(self.open_silent_connection(proxy, kind)),
            )

    async def open_silent_connection(self, proxy: int, kind: type[Idle]) -> None:
        try:
            if self.addresses[proxy]:
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: kind(self, proxy), *self.addresses[proxy])
                return
        except OSError:
            pass  # nobody listens, or there is no room
        self.schedule_silent_connection(proxy, kind)

    def start_task(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_transaction(self, profile, key, work, due, first, tries) -> None:
        self.number += 1
        tx = f"lab-{self.number}"
        self.start_task(self.send_transaction(profile, key, work, due, tx, first or tx, tries))

    def pick_proxy(self) -> int | None:
        """A proxy by chance; or, as that one takes nothing, the next that does.

        One that ends still takes what comes on open connections.
        """
        count = len(self.addresses)
        first = self.proxy_rng.randrange(count) if count > 1 else 0
        return next(
            (
                n % count
                for n in range(first, first + count)
                if self.addresses[n % count] or self.idle_connections[n % count]
            ),
            None,
        )

    async def send_transaction(self, *args) -> None:
        """Ask on a connection that rests, or else on a new one."""
        client = None
        while client is None:
            proxy = self.pick_proxy()
            if proxy is None:
                return
            idle = self.idle_connections[proxy]
            client = idle.pop() if idle else await self.connect(proxy)
            if client is None:
                return  # nobody listens: it was never taken, so it is in nobody's books
            stopped = (
                client.request_count == 0 and not self.addresses[proxy]
            )  # or killed, since it was picked
            if stopped or client.peer_has_closed():  # what is written now can't be read
                client.transport.abort()
                client = None
        client.send(*args)

    async def connect(self, proxy: int) -> Client | None:
        """A new connection to this proxy; None if nobody listens."""
        try:
            loop = asyncio.get_running_loop()
            _, client = await loop.create_connection(lambda: Client(self, proxy), *self.addresses[proxy])
        except OSError:
            return None
        self.connections.add(client)
        return client

    def note_answer(
        self, client: Client, request: Asked, status: int, made_by_host: bool, fields: dict
    ) -> None:
        now = max(request.at, self.clock() - client.read_delay())
        self.wire.append(Answered(now, request.tx, status, made_by_host))
        if status == 200:
            latency = int((now - request.due) * MICROSECONDS_PER_SECOND)
            self.latency_us.record_value(min(MAX_LATENCY_S * MICROSECONDS_PER_SECOND, max(1, latency)))
        profile, key, work, due, first, tries = client.request_args
        if status == 503 and tries < self.load.retries:
            wait = (
                float(fields.get("retry-after", 0)) if self.behaviour_rng.random() < self.load.obey else 0.0
            )
            asyncio.get_running_loop().call_later(
                wait, self.start_transaction, profile, key, work, due, first, tries + 1
            )
