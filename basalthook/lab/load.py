"""Open-loop load: clients send by a random schedule that does not wait for answers.

A latency counts from when the transaction was due, so a proxy that stalls can't hide its delay by slowing the
load down (coordinated omission). Arrivals, requests, the choice of a proxy and the behaviour of clients each
draw from a random generator of their own.
"""

import asyncio
import socket
from bisect import bisect
from itertools import accumulate
from random import Random

from hdrh.histogram import HdrHistogram

from .messages import MessageProtocol
from .scenario import Load
from .wire import Answered, Asked, ClientLeft, ClosedBeforeRead, HalfRequestKeptOpen

ANSWER_GRACE_S = 1.0  # after the hard limit, until a connection without an answer is closed
UNREAD_CLOSE_S = 0.05  # an idle connection that closes so soon after a write has not read the request
MAX_STALLED_S = 3.5  # until a half-sent request has to be ended: 3 s, plus 0.5 s of tolerance
SEND_BUFFER_BYTES = 32 * 1024  # of clients that send bodies: what is written has nearly been sent
HALF_REQUEST = b"GET /read/half HTTP/1.1\r\nHost: lab\r\nRequ"
HURRIED_WAIT_S = (0.002, 0.1)  # range of the time limits of hurried clients
REPLACE_DELAY_S = 0.3  # longest delay until a silent connection that ended is replaced
MICROSECONDS_PER_SECOND, MAX_LATENCY_S = 1_000_000, 60


class Client(MessageProtocol):
    """One client connection, with one transaction at a time."""

    def __init__(self, clients: "Clients", proxy: int) -> None:
        super().__init__()
        self.clients, self.proxy, self.open_request, self.abort_timer = clients, proxy, None, None
        # requests so far; whether the client left before its answer
        self.request_count, self.has_left = 0, False
        self.is_writing = False  # whether a part of the open request is still to be written

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        if self.clients.sends_bodies:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            transport.set_write_buffer_limits(high=0)  # `resume_writing` is called after the last byte

    def send(
        self, profile, key: str, work: float, due: float, tx: str, first_tx: str, retry_count: int
    ) -> None:
        """Sends transaction `tx` on this connection; `first_tx` is the id of its first try."""
        now, limit = self.clients.clock(), self.clients.draw_time_limit(profile)
        once, keyed = profile.effect == "once", profile.effect == "by_key"
        self.open_request = Asked(
            now,
            tx,
            once,
            now + limit,
            profile.name,
            due,
            first_tx,
            profile.window if keyed else None,
        )
        self.request_count += 1
        self.retry_arguments = profile, key, work, due, first_tx, retry_count
        body = bytes(self.clients.draw_body_bytes(profile))
        has_body = once or body
        content_length = f"Content-Length: {len(body)}\r\n" if has_body else ""
        head = (
            f"{'POST' if has_body else 'GET'} /{profile.name}/it HTTP/1.1\r\nHost: lab\r\n"
            f"Request-Id: {tx}\r\nCookie: k={key}\r\nRequest-Timeout: {limit:.3f}\r\n"
            f"Lab-Work: {work:.6f}\r\n{content_length}\r\n"
        )
        self.transport.write(head.encode() + body)
        self.is_writing = self.transport.get_write_buffer_size() > 0
        if not self.is_writing:
            self.clients.wire.append(self.open_request)
        wait = limit + ANSWER_GRACE_S
        loop, behaviour_rng, load = asyncio.get_running_loop(), self.clients.behaviour_rng, self.clients.load
        self.abort_timer = loop.call_later(wait, self.transport.abort)
        if load.leave and behaviour_rng.random() < load.leave:
            starts_next = behaviour_rng.random() < load.ahead
            loop.call_later(behaviour_rng.random() * limit, self.leave, self.open_request, starts_next)

    def resume_writing(self) -> None:
        self.note_written()

    def note_written(self) -> None:
        """Records a request that took time to write: its time counts from its last byte."""
        if not self.is_writing:
            return
        self.is_writing, request, now = False, self.open_request, self.clients.clock()
        self.open_request = request._replace(at=now, limit=request.limit + now - request.at)
        self.clients.wire.append(self.open_request)

    def leave(self, request: Asked, starts_next: bool) -> None:
        """Closes the connection before the answer.

        `starts_next`: first writes the beginning of the next request.
        """
        if self.open_request is None or self.open_request.tx != request.tx or self.transport.is_closing():
            return
        self.note_written()
        if starts_next:
            self.transport.write(b"GET /")
        self.has_left = True
        self.clients.wire.append(ClientLeft(self.clients.clock(), request.tx))
        self.transport.close()

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        self.note_written()
        request, self.open_request = self.open_request, None
        if request is None:
            return self.transport.abort()
        self.abort_timer.cancel()
        status = int(first_line.split(" ")[1])
        self.clients.note_answer(
            self, request, status, body.startswith(request.tx.encode() + b" by "), fields
        )
        if fields.get("connection", "").lower() == "close":
            self.transport.close()
        elif not self.transport.is_closing():
            self.clients.idle_connections[self.proxy].append(self)

    def connection_lost(self, _) -> None:
        if self.abort_timer is not None:
            self.abort_timer.cancel()
        if self in self.clients.idle_connections[self.proxy]:
            self.clients.idle_connections[self.proxy].remove(self)
        self.clients.connections.discard(self)
        was_writing = self.is_writing
        self.note_written()
        now, request = self.clients.clock(), self.open_request
        if request is None or self.has_left or now >= request.limit + ANSWER_GRACE_S:
            return
        was_idle = self.request_count > 1 and now < request.at + UNREAD_CLOSE_S
        if (was_writing or was_idle) and not self.buffer:
            self.clients.wire.append(ClosedBeforeRead(now, request.tx))
            self.clients.start_transaction(*self.retry_arguments)
        else:
            self.clients.wire.append(Answered(now, request.tx, 0, False))


class SilentConnection(asyncio.Protocol):
    """A connection that sends nothing; another replaces it when it ends."""

    def __init__(self, clients: "Clients", proxy: int) -> None:
        self.clients, self.proxy = clients, proxy

    def connection_made(self, transport) -> None:
        self.clients.silent_connections.add(transport)
        self.transport = transport

    def connection_lost(self, _) -> None:
        self.clients.silent_connections.discard(self.transport)
        self.clients.schedule_silent_connection(self.proxy, type(self))


class StalledConnection(SilentConnection):
    """A connection that sends half a request and nothing more; the proxy has to end it in time."""

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.write(HALF_REQUEST)
        asyncio.get_running_loop().call_later(MAX_STALLED_S, self.check_ended)

    def check_ended(self) -> None:
        if not self.transport.is_closing() and self.clients.running:
            self.clients.wire.append(HalfRequestKeptOpen(self.clients.clock(), self.proxy))


class Clients:
    """All clients of a run."""

    def __init__(self, load: Load, wire: list, clock, seed: int, addresses: list) -> None:
        """`addresses` has one entry per proxy; None while that proxy takes no new connections."""
        self.load, self.wire, self.clock, self.addresses = load, wire, clock, addresses
        self.proxy_rng = Random(f"proxies of {seed}")
        self.arrival_rng, self.request_rng, self.behaviour_rng = (
            Random(f"{name} of {seed}") for name in ("schedule", "draws", "manners")
        )
        self.hurry_rng, self.body_rng = Random(f"hurries of {seed}"), Random(f"bodies of {seed}")
        self.sends_bodies = any(profile.body_bytes[1] for profile in load.profiles)
        self.key_weights = list(accumulate(rank**-load.zipf for rank in range(1, load.keys + 1)))
        self.idle_connections: list[list[Client]] = [[] for _ in addresses]  # by proxy
        self.connections: set[Client] = set()  # each removes itself when it ends
        self.tasks: set[asyncio.Task] = set()  # each removes itself when it ends
        self.silent_connections: set[asyncio.Transport] = set()  # each removes itself when it ends
        self.running = False
        # latencies of commits
        self.transaction_count, self.latency_us = (
            0,
            HdrHistogram(1, MAX_LATENCY_S * MICROSECONDS_PER_SECOND, 3),
        )

    async def run(self, seconds: float, rate) -> None:
        """Sends transactions for `seconds`, at `rate(seconds since the start)` per second.

        Returns when the last answer has arrived or can no longer arrive.
        """
        begin = due = self.clock()
        self.running = True
        for proxy in range(len(self.addresses)):
            for _ in range(self.load.idle):
                self.schedule_silent_connection(proxy, SilentConnection)
            for _ in range(self.load.stalled):
                self.schedule_silent_connection(proxy, StalledConnection)
        while (due := due + self.arrival_rng.expovariate(rate(due - begin))) < begin + seconds:
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
            or any(connection.open_request for connection in self.connections)
        ):
            await asyncio.sleep(0.02)
        self.running = False
        for transport in [client.transport for client in self.connections] + list(self.silent_connections):
            transport.abort()

    def draw_time_limit(self, profile) -> float:
        """Seconds that a client waits: its profile's hard limit, or a much shorter time if it is hurried."""
        if self.load.hurried and self.hurry_rng.random() < self.load.hurried:
            return min(profile.hard_limit, self.hurry_rng.uniform(*HURRIED_WAIT_S))
        return profile.hard_limit

    def draw_body_bytes(self, profile) -> int:
        """Length of a request's body."""
        shortest, longest = profile.body_bytes
        return self.body_rng.randint(shortest, longest) if longest else 0

    def schedule_silent_connection(self, proxy: int, connection_type: type[SilentConnection]) -> None:
        """Opens a connection of this kind after a short random delay."""
        if self.running:
            asyncio.get_running_loop().call_later(
                REPLACE_DELAY_S * self.behaviour_rng.random(),
                lambda: self.start_task(self.open_silent_connection(proxy, connection_type)),
            )

    async def open_silent_connection(self, proxy: int, connection_type: type[SilentConnection]) -> None:
        try:
            if self.addresses[proxy]:
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: connection_type(self, proxy), *self.addresses[proxy])
                return
        except OSError:
            pass  # the proxy does not listen, or the connection limit is reached
        self.schedule_silent_connection(proxy, connection_type)

    def start_task(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_transaction(self, profile, key, work, due, first_tx, retry_count) -> None:
        self.transaction_count += 1
        tx = f"lab-{self.transaction_count}"
        self.start_task(self.send_transaction(profile, key, work, due, tx, first_tx or tx, retry_count))

    def pick_proxy(self) -> int | None:
        """A random proxy; if it takes no requests, the next one that does; None if no proxy does.

        A proxy that is shutting down still takes requests on open connections.
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
        """Sends a transaction on an idle connection, or else on a new one."""
        client = None
        while client is None:
            proxy = self.pick_proxy()
            if proxy is None:
                return
            idle = self.idle_connections[proxy]
            client = idle.pop() if idle else await self.connect(proxy)
            if client is None:
                return  # not sent, so it is not recorded
            # the proxy was stopped or killed since it was picked
            is_stale = client.request_count == 0 and not self.addresses[proxy]
            if is_stale or client.peer_has_closed():  # the proxy would not read a request written now
                client.transport.abort()
                client = None
        client.send(*args)

    async def connect(self, proxy: int) -> Client | None:
        """Opens a connection to this proxy; None if it does not listen."""
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
        """Records an answer; retries a rolled-back transaction, after Retry-After if the client obeys it."""
        now = max(request.at, self.clock() - client.read_delay())
        self.wire.append(Answered(now, request.tx, status, made_by_host))
        if status == 200:
            latency = int((now - request.due) * MICROSECONDS_PER_SECOND)
            self.latency_us.record_value(min(MAX_LATENCY_S * MICROSECONDS_PER_SECOND, max(1, latency)))
        profile, key, work, due, first_tx, retry_count = client.retry_arguments
        if status == 503 and retry_count < self.load.retries:
            wait = (
                float(fields.get("retry-after", 0)) if self.behaviour_rng.random() < self.load.obey else 0.0
            )
            asyncio.get_running_loop().call_later(
                wait, self.start_transaction, profile, key, work, due, first_tx, retry_count + 1
            )
