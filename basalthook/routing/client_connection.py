"""One connection from the application: reads requests, submits them, responds once to each."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..protocol import application, http1
from ..protocol.application import TransactionRequest
from ..protocol.http1 import Message, Parser, Rejection
from ..transport.connection import Connection, ConnectionFailure
from ..transport.processor_time import Usage
from .arrivals import Arrivals
from .clock import TICK_NS, TICKS_PER_SECOND
from .dispatcher import (
    ClientDisconnected,
    DeadlineMissed,
    GivenUp,
    RequestReceived,
    Response,
    Transaction,
)
from .request_body import RequestBody
from .streamed_response import StreamedResponse

if TYPE_CHECKING:
    from .clients import Clients

# Longest time without progress on a request. It counts from connecting for the first request of a
# connection, and from the first byte for the others.
READ_TIMEOUT_S = 2.5
# until a connection that costs much is asked again for what it has sent ahead
PIPELINE_DELAY_TICKS = TICKS_PER_SECOND // 1_000
# Of a client's next requests, while one is in hand: as a close arrives behind them, it is seen only if all of
# them have been read. With more unread than this, the kernel may have told the client to wait.
READ_AHEAD_BYTES = 64 * 1024
MAX_UNREAD_BYTES = 16 * 1024
MAX_HIDDEN_CLOSE_NS = 50_000_000  # an attempt may begin 0.1 s after a close at most
MAX_READ_BYTES = 16 * 1024  # in one read; those of the pool of buffers are of this size
# A longer body is collected in memory that is reserved for it (`RequestBody`).
MAX_SHORT_BODY_BYTES = 4 * 1024
MIN_PROGRESS_BYTES = 16 * 1024  # of a body, to restart the read timeout; a well-behaved client sends 64 kB/s
WRITE_TIMEOUT_S = 10.0  # longest time until a client has read its response
LINGER_S = 1.0  # time that a rejected client has to read the reason
LINGER_MAX_BYTES = 1024 * 1024  # read from it meanwhile; bounds the cost of a client that keeps sending
# States of a connection.
# NEW: no byte has arrived. READING: part of a request has arrived. LINGERING: the last response is written,
# and the client has time to read it. IDLE: between two requests. BUSY: a request is being processed.
# PIPELINED: bytes of the next request have arrived behind it.
NEW, READING, LINGERING, IDLE, BUSY, PIPELINED = "new", "coming", "leaving", "idle", "busy", "ahead"
MEMORY_RETRY_AFTER_TICKS = TICKS_PER_SECOND // 2  # told to a client whose body got no memory
DEADLINE_SLACK_TICKS = 200  # a response that is later than this past its deadline is reported as a defect


class Client:
    """A connection from the application; its state decides how bytes are handled and if it may be closed."""

    __slots__ = (
        "clients",
        "connection",
        "state",
        "parser",
        "last_active",
        "arrivals",
        "reading_since",
        "timer",
        "transaction",
        "keep_alive",
        "linger_bytes",
        "continue_sent",
        "progress_mark",
        "body",
        "streamed",
        "request_bytes",
        "response_bytes",
    )

    def __init__(self, clients: Clients, connection: Connection) -> None:
        self.clients, self.connection, self.state = clients, connection, NEW
        self.parser = Parser(
            responses=False,
            max_body=MAX_SHORT_BODY_BYTES,
            field_names=application.PARSED_FIELDS,
            streaming=True,
        )
        self.request_bytes = self.response_bytes = 0  # as the accounts know them
        self.progress_mark = 0  # bytes of the body when the read timeout was last restarted
        self.body: RequestBody | None = None  # a long one, until its request is answered
        self.streamed: StreamedResponse | None = None  # a long response that is being passed on
        self.transaction: Transaction | None = None
        self.last_active = clients.clock.now()  # ticks; connected, read from, or answered
        self.arrivals = Arrivals()
        self.reading_since = 0  # ticks; before, what had arrived was left unread on purpose
        self.keep_alive, self.continue_sent, self.linger_bytes = True, False, 0
        self.timer = self.set_timer(READ_TIMEOUT_S, self.on_timeout)  # also for clients that never send

    def start(self) -> None:
        self.connection.read_size = self.read_size
        self.connection.usage = Usage(self.clients.processor_time)
        self.connection.start_reading(self.on_data, self.on_close)

    def set_timer(self, seconds: float, callback) -> list:
        return self.clients.timers.set(int(seconds * TICKS_PER_SECOND), callback)

    def on_data(self, data, unread_ns: int) -> None:
        """`unread_ns`: how long the data has waited in the kernel."""
        try:
            if self.state == LINGERING:
                return self.discard(len(data))
            self.arrivals.add(len(data), self.clients.clock.now() - -(-unread_ns // TICK_NS))
            if self.state in (BUSY, PIPELINED):  # its next request: parsed once this one is answered
                self.parser.unparsed += data
                if len(self.parser.unparsed) >= self.read_ahead_size():
                    self.connection.pause_reading()
            else:
                self.parse(data)
            self.account_request()
        except Exception as error:  # must affect this connection only
            self.on_exception(error)

    def read_size(self) -> int:
        """How many bytes the next read may take; those of a long body have their memory already."""
        if self.state == LINGERING:
            return MAX_READ_BYTES
        most = min(MAX_READ_BYTES, self.connection.usage.read_bytes)
        return most if self.body is not None else self.clients.request_memory.read_size(most)

    def read_ahead_size(self) -> int:
        """How many bytes of its next requests are read while one is in hand."""
        return self.clients.request_memory.read_ahead_size(READ_AHEAD_BYTES)

    def resume_reading(self) -> None:
        """Read on, if reading was paused and there is room for more."""
        if not self.connection.paused or self.state == LINGERING:
            return
        if self.body is not None and self.body.is_waiting:
            return
        reads_ahead = self.parser.result is not None or self.state == PIPELINED
        if reads_ahead and 2 * len(self.parser.unparsed) > self.read_ahead_size():
            return  # what is held comes before what is unread
        self.connection.start_reading(self.on_data, self.on_close)

    def account_request(self) -> None:
        """Report what is held of requests, without the bodies that have reserved memory."""
        held = 0
        if not self.connection.closed:
            held = self.parser.held_bytes()
            if self.transaction is not None:
                held += self.transaction.request.message.size()
        if held != self.request_bytes:
            grown = held > self.request_bytes
            self.request_bytes = self.clients.request_memory.change(self.request_bytes, held)
            if grown and self.clients.request_memory.is_exceeded():
                self.clients.free_request_memory()

    def account_response(self) -> None:
        """Report what is held of responses until the client reads it."""
        held = 0 if self.connection.closed else self.connection.unsent
        if held != self.response_bytes:
            grown = held > self.response_bytes
            self.response_bytes = self.clients.response_memory.change(self.response_bytes, held)
            if grown and self.clients.response_memory.is_exceeded():
                self.clients.free_response_memory()

    def parse(self, data) -> None:
        self.parser.feed(data)
        arrived_at = self.arrivals.of_last_parsed(len(self.parser.unparsed))
        if self.parser.streamed_head is None or self.collect_body(arrived_at):
            self.process_input(arrived_at)

    def read_next(self) -> None:
        """Continue with bytes that came after the request just answered."""
        try:
            if self.state == PIPELINED and not self.connection.closed:
                if not self.connection.usage.may_run():
                    self.clients.timers.set(PIPELINE_DELAY_TICKS, self.read_next)
                    return
                self.reading_since = self.clients.clock.now()
                started_ns, self.state = time.monotonic_ns(), IDLE
                self.parse(b"")
                self.connection.usage.add(started_ns, 0)
            self.reading_since = self.clients.clock.now()
            self.resume_reading()
            self.account_request()
        except Exception as error:  # must affect this connection only
            self.on_exception(error)

    def on_exception(self, error: Exception) -> None:
        self.clients.log_event("fault", where="client", error=repr(error))
        self.on_close(None)

    def process_input(self, arrived_at: int) -> None:
        """Act on what the parser has found so far; its last byte arrived at `arrived_at` (ticks)."""
        parsed, clients = self.parser.result, self.clients
        if parsed is None:
            received = len(self.parser.body) + (len(self.body.data) if self.body else 0)
            if self.state != READING or (
                self.parser.head
                and (not self.progress_mark or received - self.progress_mark > MIN_PROGRESS_BYTES)
            ):
                # progress: the first byte, the whole head, or enough of the body
                clients.timers.cancel(self.timer)
                self.timer = self.set_timer(READ_TIMEOUT_S, self.on_timeout)
                self.progress_mark = max(1, received) if self.parser.head else 0
            self.state, self.last_active = READING, clients.clock.now()
            if self.parser.expects_continue and not self.continue_sent:
                self.continue_sent = True
                self.connection.write((http1.CONTINUE,))
            return
        clients.timers.cancel(self.timer)
        self.timer, self.state, self.keep_alive, self.progress_mark = None, BUSY, True, 0
        if isinstance(parsed, Message):
            late = clients.clock.now() - max(arrived_at, self.reading_since)
            if self.body is not None:
                parsed = parsed._replace(body=self.body.data)
                self.body.reservation.mark_complete()
                arrived_at = self.body.request_received_at(arrived_at)
            if parsed.target == application.HEALTH_PATH:
                self.keep_alive = parsed.keep_alive and not clients.drained
                return self.write((clients.health_response(self.keep_alive),))
            else:
                self.keep_alive = parsed.keep_alive
                if not clients.admission.admit(clients.clock.now(), late):
                    return self.shed()
                parsed = application.parse_transaction(parsed, clients.profiles)
        if isinstance(parsed, Rejection):
            return self.reject(parsed)
        self.submit(parsed, arrived_at)

    def collect_body(self, arrived_at: int) -> bool:
        """Collect a long body; return whether there is memory for what has arrived.

        Memory is reserved before more is read.
        """
        memory = self.clients.body_memory
        if self.body is None:
            reservation = memory.begin(self.on_memory_granted, self.on_body_evicted)
            self.body = RequestBody(reservation, self.parser.streamed_head.length)
        body = self.body
        try:
            body.add(self.parser.take_body(), arrived_at)
        except OSError as error:
            self.refuse_body(f"none from the system: {error.strerror}")
            return False
        needed = body.reservation.needed(body.length)
        if needed > memory.capacity:
            self.reject_body(Rejection(413, "body too long for the memory here"))
            return False
        if body.reservation.reserve(needed):
            return True
        if self.body is body:  # else it was evicted and refused, for others that waited before it
            self.wait_for_memory(arrived_at)
        return False

    def wait_for_memory(self, arrived_at: int) -> None:
        """Read no more until there is memory, for a part of the request's time."""
        clients, body = self.clients, self.body
        request = application.parse_transaction(self.parser.streamed_head, clients.profiles)
        if isinstance(request, Rejection):
            return self.reject_body(request)
        body.begin_wait(arrived_at, int(request.timeout * TICKS_PER_SECOND))
        if body.give_up_at <= clients.clock.now() or clients.body_memory.is_overbooked():
            return self.refuse_body("no memory in its time")
        self.state = BUSY  # this process makes it wait, so it must not be closed for having stopped sending
        self.connection.pause_reading()
        self.limit_wait()

    def limit_wait(self) -> None:
        """Give up the body that waits after its part of the request's time, or before the process ends."""
        clients = self.clients
        wait = min(self.body.give_up_at, clients.response_deadline) - clients.clock.now()
        clients.timers.cancel(self.timer)
        self.timer = clients.timers.set(max(0, wait), self.refuse_body, "no memory in its time")

    def on_memory_granted(self) -> None:
        try:
            now = self.clients.clock.now()
            self.body.granted_at = self.reading_since = now
            self.clients.timers.cancel(self.timer)
            self.timer = None
            self.process_input(now)
            if self.state == READING:
                self.connection.start_reading(self.on_data, self.on_close)
        except Exception as error:  # must affect this connection only, not the one that freed the memory
            self.on_exception(error)

    def on_body_evicted(self) -> None:
        try:
            self.refuse_body("memory taken back")
        except Exception as error:  # must affect this connection only, not the one that needs the memory
            self.on_exception(error)

    def refuse_body(self, reason: str) -> None:
        """Roll back, as there is no memory for the body; nothing of the transaction has run."""
        clients = self.clients
        clients.log_no_memory(self, reason)
        self.stop_receiving()
        self.keep_alive = False
        retry_after = min(clients.max_retry_after, MEMORY_RETRY_AFTER_TICKS)
        self.write((application.rollback_response(retry_after / TICKS_PER_SECOND, False),))

    def reject_body(self, rejection: Rejection) -> None:
        self.stop_receiving()
        self.reject(rejection)

    def give_up_request(self) -> None:
        """End a request that has not come whole, as others need the memory."""
        self.reject_body(Rejection(408, "not whole, and no memory to wait for the rest"))

    def stop_receiving(self) -> None:
        """Read no more of a body that will not be used, and return its memory."""
        self.clients.timers.cancel(self.timer)
        self.timer, self.state = None, BUSY
        self.release_body()
        self.parser.drop_input()
        self.account_request()
        self.connection.pause_reading()

    def release_body(self) -> None:
        """Drop the body and return its memory."""
        body, self.body, self.progress_mark = self.body, None, 0
        if body is not None:
            body.release()

    def shed(self) -> None:
        """Shed load: this process is behind, so the transaction is rolled back before it costs more.

        Nothing of it has run.
        """
        clients, retry_after = (
            self.clients,
            min(self.clients.max_retry_after, self.clients.admission.retry_after()),
        )
        self.connection.usage.answered()
        clients.rate_limited_log(
            "door",
            share=round(clients.admission.shed_share(), 3),
            mean_ms=clients.admission.mean_wait / 10,
            turned_away=clients.admission.shed_count,
        )
        self.keep_alive = self.keep_alive and clients.allows_keep_alive()
        self.write((application.rollback_response(retry_after / TICKS_PER_SECOND, self.keep_alive),))

    def submit(self, request: TransactionRequest, received_at: int) -> None:
        """Pass the transaction to the dispatcher; its time began at `received_at`."""
        clients = self.clients
        if request.id in clients.open_ids:  # else one client could get the response to another one's request
            return self.reject(Rejection(409, "this Request-Id is open already"))
        dispatcher = clients.dispatcher
        if dispatcher.must_run_once(request.profile) and request.id in dispatcher.request_ids:
            return self.reject(Rejection(409, "this Request-Id has been forwarded already"))
        clients.open_ids.add(request.id)
        deadline = min(received_at + int(request.timeout * TICKS_PER_SECOND), clients.response_deadline)
        self.transaction = transaction = Transaction(
            request, received_at, deadline, self.respond, self.check_gone
        )
        self.timer = clients.timers.set(
            transaction.deadline - clients.clock.now() + DEADLINE_SLACK_TICKS, self.on_deadline_missed
        )
        clients.dispatcher.post(RequestReceived(transaction))

    def finish_transaction(self) -> Transaction:
        """Clean up after the present transaction, which has its response or lost its client; return it."""
        transaction, self.transaction = self.transaction, None
        self.release_body()
        self.clients.open_ids.discard(transaction.request.id)
        self.clients.timers.cancel(self.timer)
        self.timer = None
        return transaction

    def respond(self, response: Response) -> None:
        if self.transaction is None:  # the client has gone; ClientDisconnected is in the dispatcher's queue
            return
        try:
            clients, transaction = self.clients, self.finish_transaction()
            self.connection.usage.answered()
            self.keep_alive = self.keep_alive and clients.allows_keep_alive()
            clients.response_counts[response.kind] += 1
            if response.kind != "committed":
                clients.rate_limited_log(
                    "answer",
                    tx=transaction.request.id,
                    kind=response.kind,
                    hops=len(transaction.attempts),
                    left_ms=(transaction.deadline - clients.clock.now()) / 10,
                    come_back_ms=response.retry_after / 10,
                    reason=response.reason,
                )
            if response.forwarder is not None:
                return self.stream_response(response, transaction)
            self.write(clients.encode_response(response, transaction, self.keep_alive))
        except Exception as error:  # must affect this connection only
            self.on_exception(error)

    def stream_response(self, response: Response, transaction: Transaction) -> None:
        """Pass on a long response as it arrives from the host."""
        has_length, is_http_1_1 = (
            response.message.length is not None,
            transaction.request.message.minor_version > 0,
        )
        chunked = not has_length and is_http_1_1
        self.keep_alive = self.keep_alive and (has_length or is_http_1_1)
        self.streamed = StreamedResponse(
            self.connection, response.forwarder, chunked, self.account_response, self.on_streaming_finished
        )
        self.streamed.start(application.streamed_response_head(response.message, self.keep_alive, chunked))

    def on_streaming_finished(self, complete: bool) -> None:
        """The long response is complete, or it broke off: then the connection is reset, to show that."""
        streamed, self.streamed = self.streamed, None
        if self.connection.closed:
            return self.clients.close_client(self)
        if not complete:
            self.clients.rate_limited_log("cut short")
            self.connection.reset_on_close()
            return self.clients.close_client(self)
        self.write(streamed.last_parts())

    def on_deadline_missed(self) -> None:
        self.clients.dispatcher.post(
            DeadlineMissed(self.transaction)
        )  # a response may be ahead of it in the queue

    def write(self, parts: tuple[bytes, ...]) -> None:
        """Write a response; then go on to the next request, or close."""
        if self.connection.write(parts, self.on_written):
            self.on_written()
        elif not self.connection.closed:
            self.timer = self.set_timer(WRITE_TIMEOUT_S, self.on_write_timeout)
            self.account_response()

    def on_write_timeout(self) -> None:
        self.on_close(None)  # the client does not read, so it can't be sent a reason

    def on_written(self) -> None:
        self.clients.timers.cancel(self.timer)
        self.timer = None
        self.account_response()
        self.release_body()  # if answered before it reached the dispatcher
        if not self.keep_alive:
            if self.connection.paused or self.parser.unparsed:
                return self.linger()  # closing with unread bytes would reset it and lose the response
            return self.clients.close_client(self)
        self.parser.next_message()
        self.continue_sent, self.state = False, PIPELINED if self.parser.unparsed else IDLE
        self.account_request()
        self.clients.mark_idle(self)
        if self.state == PIPELINED or self.connection.paused:
            self.clients.timers.set(
                0, self.read_next
            )  # not called directly: many pipelined requests would nest too deep

    def reject(self, rejection: Rejection) -> None:
        """Reject bad input; the client gets time to read the reason before the connection is closed."""
        self.clients.rate_limited_log("bad input", status=rejection.status, reason=rejection.reason)
        self.keep_alive = False
        if self.connection.write(
            (application.text_response(rejection.status, rejection.reason, False),), self.linger
        ):
            self.linger()
        elif not self.connection.closed:
            self.timer = self.set_timer(WRITE_TIMEOUT_S, self.on_write_timeout)

    def linger(self) -> None:
        self.clients.timers.cancel(self.timer)
        self.connection.usage.is_over = True
        self.parser.drop_input()
        self.account_request()
        self.state, self.linger_bytes = LINGERING, LINGER_MAX_BYTES
        self.timer = self.set_timer(LINGER_S, self.on_write_timeout)
        self.connection.shutdown_write()
        if self.connection.paused:
            self.connection.start_reading(self.on_data, self.on_close)

    def discard(self, count: int) -> None:
        self.linger_bytes -= count
        if self.linger_bytes <= 0 and not self.connection.paused:
            self.connection.pause_reading()  # no more is read; the client still gets time to read the reason
            self.clients.timers.cancel(self.timer)
            self.timer = self.set_timer(LINGER_S, self.on_write_timeout)

    def on_timeout(self) -> None:
        """Close a connection whose client has stopped within a request, or has not begun one in time."""
        if self.state == READING:
            self.connection.write((application.text_response(408, "stopped half-way", False),))
        self.clients.close_client(self)

    def on_close(self, _: ConnectionFailure | None) -> None:
        transaction, streamed = self.transaction, self.streamed
        if transaction is not None:
            self.finish_transaction()
        if streamed is not None:
            self.connection.close()
            streamed.stop()
        self.clients.close_client(self)
        if transaction is not None:
            self.clients.response_counts["client gone"] += 1
            self.clients.rate_limited_log(
                "client gone",
                tx=transaction.request.id,
                hops=len(transaction.attempts),
                left_ms=(transaction.deadline - self.clients.clock.now()) / 10,
            )
            self.clients.dispatcher.post(ClientDisconnected(transaction))

    def check_gone(self) -> bool:
        """Whether the client has gone, or may have gone unseen; either ends its transaction.

        Asks the kernel, as unread bytes hide the end of a connection while reading is paused. With many of
        them the end itself can't arrive.
        """
        if self.connection.peer_closed():
            self.on_close(None)
            return True
        return self.may_hide_close() and self.check_behind_unread_bytes()

    def check_behind_unread_bytes(self) -> bool:
        """`check_gone` where the close may be behind bytes that were not read: only reading more can tell."""
        transaction = self.transaction
        self.resume_reading()
        if not self.connection.closed:
            self.connection.receive()
        if self.transaction is not transaction:  # the end was read
            return True
        if self.connection.peer_closed():
            self.on_close(None)
            return True
        if self.may_hide_close():
            self.keep_alive = False
            self.clients.dispatcher.post(GivenUp(transaction, "more is sent ahead than is read"))
            return True
        return False

    def may_hide_close(self) -> bool:
        """Whether the client may have closed a while ago, behind bytes for which there is no room here."""
        if time.monotonic_ns() - self.connection.known_open_ns <= MAX_HIDDEN_CLOSE_NS:
            return False
        return self.connection.unread_bytes() > MAX_UNREAD_BYTES

    def close(self) -> None:
        self.on_close(None)
