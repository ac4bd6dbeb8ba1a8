"""All connections from the application: which are accepted and kept, and the limits that they share."""

import asyncio
from collections import Counter
from typing import NamedTuple

from ..bodies.account import MemoryAccount
from ..bodies.memory import BodyMemory
from ..protocol import application
from ..recovery.admission import AdmissionControl
from ..transport.buffers import BufferPool
from ..transport.connection import Connection
from ..transport.descriptors import DescriptorBudget
from ..transport.processor_time import ProcessorTime
from ..transport.timers import Timers
from .client_connection import BUSY, IDLE, LINGERING, NEW, READING, Client
from .clock import TICKS_PER_SECOND, Clock
from .dispatcher import Dispatcher, Response, Transaction
from .rate_limited_log import RateLimitedLog

SLOW_READ_S = 0.8  # when connections run short, a request without a new byte for this long is closed first
MAX_IDLE_S = 2.0  # of a connection, while there are more than `max_kept_alive_clients`
DRAIN_IDLE_DELAY_S = 0.4  # until idle connections are closed: clients still connect for 0.2 s
DRAIN_NEW_DELAY_S = 1.0  # while drained, a connection without a first byte is closed after this time
DRAIN_SWEEP_INTERVAL_S = 0.2
MAX_LOG_LINES_PER_S = 20  # of each event on bad input or a response that is no commit; others are counted
LONG_ANSWER_POLL_S = 0.05
NEVER = 2**63  # ticks; later than any time of the clock


class ClientMemory(NamedTuple):
    """The memory that is held for clients, by kind."""

    bodies: BodyMemory  # long bodies of requests
    requests: MemoryAccount  # heads, short bodies, and what is sent ahead of an answer
    responses: MemoryAccount  # collected from hosts, and not yet read by clients


class Clients:
    """All connections from the application, and the limits that they share."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        timers: Timers,
        admission: AdmissionControl,
        profiles: dict[str, int],
        buffers: BufferPool,
        descriptors: DescriptorBudget,
        memory: ClientMemory,
        processor_time: ProcessorTime,
        log_event,
    ) -> None:
        self.dispatcher, self.clock, self.timers, self.admission = dispatcher, clock, timers, admission
        self.profiles, self.log_event = profiles, log_event
        self.body_memory, self.request_memory = memory.bodies, memory.requests
        self.response_memory = memory.responses
        self.evicted: Counter[str] = Counter()  # connections closed for lack of memory, by account
        self.buffers, self.descriptors = buffers, descriptors
        self.processor_time = processor_time
        descriptors.reclaimers.append(lambda: self.close_idle(1))
        self.response_deadline = NEVER  # ticks; set at shutdown: all must be answered by then
        self.ready, self.max_retry_after = False, dispatcher.settings.max_retry_after
        self.drain_timer = None  # of the next sweep, while drained by an operator
        self.sweep_scheduled = False
        self.open_ids: set[str] = set()  # Request-Ids of transactions without a response
        # rate-limited as clients may retry as soon as they are rejected
        self.rate_limited_log = RateLimitedLog(log_event, clock, MAX_LOG_LINES_PER_S)
        self.response_counts: Counter[str] = Counter()  # by kind, and "client gone"
        self.open_clients: dict[Client, None] = {}  # longest idle first
        self.all_closed: asyncio.Future | None = None

    def accept_socket(self, sock) -> bool:
        """Serve an accepted connection, which may carry a request; return whether there is room for more.

        At the limit, idle connections are closed to make room, those to hosts first.
        """
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:  # it has ended already
            sock.close()
            return True
        fits = self.evict_for_new()
        client = Client(self, connection)
        self.open_clients[client] = None
        client.start()
        return self.descriptors.ensure_below(self.descriptors.max_open) and fits

    def evict_for_new(self) -> bool:
        """Close connections until one more fits.

        Those that are silent or have stopped within a request go first, so that hundreds of them neither lock
        others out nor cost connections to hosts. A client that sends slowly but steadily goes last.
        """
        excess = len(self.open_clients) + 1 - self.descriptors.max_clients
        for state, min_idle in (
            (READING, SLOW_READ_S),
            (NEW, 0),
            (LINGERING, 0),
            (IDLE, SLOW_READ_S),
            (READING, 0),
            (IDLE, 0),
        ):
            if excess > 0:
                excess -= self.close_idle(excess, (state,), min_idle)
        return excess <= 0

    def free_request_memory(self) -> None:
        """End requests that have not come whole, those that hold the most first, until memory suffices."""
        while self.request_memory.is_exceeded():
            largest = max(
                (client for client in self.open_clients if client.state == READING),
                key=lambda client: client.request_bytes,
                default=None,
            )
            if largest is None or not largest.request_bytes:
                return
            self.evicted["requests"] += 1
            self.rate_limited_log("memory freed", of="requests", bytes=largest.request_bytes)
            largest.give_up_request()

    def free_response_memory(self) -> None:
        """Close connections whose clients don't read, those that hold the most first, if memory lacks."""
        while self.response_memory.is_exceeded():
            largest = max(self.open_clients, key=lambda client: client.response_bytes, default=None)
            if largest is None or not largest.response_bytes:
                return
            self.evicted["responses"] += 1
            self.rate_limited_log("memory freed", of="responses", bytes=largest.response_bytes)
            largest.connection.reset_on_close()
            largest.close()

    def close_idle(self, max_count: int | None = None, states: tuple = (IDLE,), min_idle: float = 0.0) -> int:
        """Close connections in these states, longest idle first, unless they have bytes to read.

        `max_count`: no more than this; `min_idle`: only those idle for this many seconds. Returns the number
        closed.
        """
        closed, idle_since = 0, self.clock.now() - int(min_idle * TICKS_PER_SECOND)
        for client in list(self.open_clients):
            if max_count is not None and closed >= max_count:
                break
            # each is looked at right before its close: bytes may arrive while others are closed
            if client.state in states and client.last_active <= idle_since and self.may_close(client):
                client.on_timeout()
                closed += 1
        return closed

    def may_close(self, client: Client) -> bool:
        """Whether a connection is open, with nothing to read; within a request, unread bytes don't count."""
        return client in self.open_clients and (
            client.state in (READING, LINGERING) or client.connection.is_idle()
        )

    def mark_idle(self, client: Client) -> None:
        del self.open_clients[client]
        self.open_clients[client] = None  # moves it to the end: the longest idle come first
        client.last_active = self.clock.now()
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.timers.set(int(MAX_IDLE_S * TICKS_PER_SECOND), self.close_excess_idle)

    def close_excess_idle(self) -> None:
        """Close idle connections above `max_kept_alive_clients`.

        Clients that send one request and stay connected would otherwise lock others out.
        """
        excess = len(self.open_clients) - self.descriptors.max_kept_alive_clients
        self.close_idle(max(0, excess), min_idle=MAX_IDLE_S)
        self.sweep_scheduled = bool(self.open_clients)
        if self.sweep_scheduled:
            self.timers.set(int(MAX_IDLE_S * TICKS_PER_SECOND / 4), self.close_excess_idle)

    def allows_keep_alive(self) -> bool:
        """Whether a connection may stay open after its response."""
        return self.ready and not self.drained and not self.are_too_many_idle()

    def are_too_many_idle(self) -> bool:
        """Whether there are enough idle connections; those that stop half way or say nothing are none."""
        most = self.descriptors.max_kept_alive_clients
        return (
            len(self.open_clients) > most
            and sum(client.state in (IDLE, BUSY) for client in self.open_clients) > most
        )

    def set_drained(self, drained: bool) -> None:
        """Send clients away, or accept them again.

        While drained, each response closes its connection. Idle connections are closed after
        `DRAIN_IDLE_DELAY_S`, when clients no longer connect to this process; a request that arrived on one
        much later would prolong the drain.
        """
        self.timers.cancel(self.drain_timer)
        self.drain_timer = (
            self.timers.set(int(DRAIN_IDLE_DELAY_S * TICKS_PER_SECOND), self.close_drained)
            if drained
            else None
        )

    def begin_shutdown(self, response_deadline: int) -> None:
        """Send clients away from now on; all requests have to be answered by this time, in ticks."""
        self.ready, self.response_deadline = False, response_deadline
        for client in list(self.open_clients):
            if client.body is not None and client.body.is_waiting:
                client.limit_wait()

    @property
    def drained(self) -> bool:
        return self.drain_timer is not None

    def close_drained(self) -> None:
        self.close_idle()
        self.close_idle(states=(NEW,), min_idle=DRAIN_NEW_DELAY_S)
        self.drain_timer = self.timers.set(int(DRAIN_SWEEP_INTERVAL_S * TICKS_PER_SECOND), self.close_drained)

    def close_client(self, client: Client) -> None:
        self.timers.cancel(client.timer)
        client.timer = None
        client.release_body()
        client.connection.close()
        client.account_request()
        client.account_response()
        if (
            self.open_clients.pop(client, self) is None
            and not self.open_clients
            and self.all_closed is not None
        ):
            self.all_closed.cancelled() or self.all_closed.done() or self.all_closed.set_result(None)

    async def wait_until_closed(self, seconds: float) -> None:
        """Wait until every transaction is answered and its connection closed, `seconds` at most."""
        if self.open_clients:
            self.all_closed = asyncio.get_running_loop().create_future()
            await asyncio.wait({self.all_closed}, timeout=seconds)

    async def wait_for_long_answers(self, seconds: float) -> None:
        """Wait until no answer is being passed on any more, `seconds` at most.

        Each of them goes on for as long as its host and its client make progress.
        """
        until = self.clock.now() + int(seconds * TICKS_PER_SECOND)
        while self.clock.now() < until and any(client.streamed for client in self.open_clients):
            await asyncio.sleep(LONG_ANSWER_POLL_S)

    def log_no_memory(self, client: Client, reason: str) -> None:
        """Log a body that got no memory, and what the others hold: `unused` bytes have not arrived."""
        memory, body = self.body_memory, client.body
        received = sum(reservation.received for reservation in memory.reservations)
        self.rate_limited_log(
            "no memory",
            reason=reason,
            length=body.length,
            received=len(body.data),
            unread=client.connection.unread_bytes(),
            timeout=next(iter(client.parser.streamed_head.values("request-timeout")), None),
            held=memory.in_use,
            unused=max(0, memory.in_use - received),
            waiting=len(memory.waiting),
        )

    def health_response(self, keep_alive: bool) -> bytes:
        status, text = (
            (503, "not ready") if not self.ready else (503, "drained") if self.drained else (200, "ready")
        )
        return application.text_response(status, text, keep_alive)

    def encode_response(
        self, response: Response, transaction: Transaction, keep_alive: bool
    ) -> tuple[bytes, ...]:
        if response.kind == "committed":
            return application.committed_response(response.message, keep_alive)
        if response.kind == "declined":
            return (application.text_response(response.message.status, "declined by the host", keep_alive),)
        if response.kind == "rolled back":
            return (application.rollback_response(response.retry_after / TICKS_PER_SECOND, keep_alive),)
        return (application.abandoned_response(self.clock.now() >= transaction.deadline, keep_alive),)
