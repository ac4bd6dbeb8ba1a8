"""Attempts: sending a transaction to one host and reading its response.

Without a response, the stage that the exchange has reached is all that decides whether the host may have run
the transaction.
"""

from collections import Counter

from ..bodies.account import MemoryAccount
from ..bodies.forwarder import ResponseForwarder
from ..policy import interface
from ..protocol import hosts
from ..protocol.http1 import MAX_BODY_BYTES, Message, Parser, Rejection
from ..transport.connection import PEER_CLOSED, Connection, ConnectionFailure, Stage
from ..transport.hostpool import HostPool
from ..transport.processor_time import ProcessorTime, Usage
from ..transport.timers import Timers
from .clock import TICK_NS, TICKS_PER_SECOND, Clock
from .dispatcher import AttemptResult, Dispatcher, Transaction
from .host_registry import HostRegistry, RegistryEntry
from .long_request import LongRequestWriter, is_long
from .rate_limited_log import RateLimitedLog

# A response without a stated length is buffered up to this size. A longer one is streamed, so that the
# first bytes from a slow host need not wait for the rest.
MAX_BUFFERED_BYTES = 4 * 1024
MAX_READ_BYTES = 16 * 1024  # of a response in one read
MAX_SUCCESS_LINES_PER_S = 50  # log lines on attempts that succeeded


class Attempt:
    """One attempt, driven by events of its connection and its timer; finishes exactly once."""

    __slots__ = (
        "runner",
        "transaction",
        "index",
        "host",
        "entry",
        "begun_at",
        "time_limit",
        "connection",
        "stage",
        "stop_outcome",
        "reused",
        "response_parser",
        "writer",
        "refusal",
        "timer",
        "finished",
        "held",
    )

    def __init__(
        self,
        runner: "AttemptRunner",
        transaction: Transaction,
        index: int,
        host: int,
        entry: RegistryEntry,
        begun_at: int,
        time_limit: int,
    ) -> None:
        self.runner, self.transaction, self.index, self.host, self.entry = (
            runner,
            transaction,
            index,
            host,
            entry,
        )
        self.begun_at, self.time_limit = begun_at, time_limit  # ticks; the limit includes connecting
        self.connection: Connection | None = None  # set while this attempt uses it
        self.stage, self.stop_outcome, self.reused, self.finished = Stage.UNTRIED, None, False, False
        self.response_parser: Parser | None = None
        self.writer: LongRequestWriter | None = None
        self.refusal: str | None = None  # why it was not sent, or not completed
        self.timer = None
        self.held = 0  # bytes of the response, as the account knows them

    def stop(self, outcome: str) -> None:
        """End the attempt with this outcome; its connection is closed, not returned to the pool."""
        if not self.finished:
            self.stop_outcome = outcome
            self.finish(None)

    def expire(self) -> None:
        """The time limit has passed. A response that has arrived still counts: the delay may be ours."""
        if self.stage >= Stage.WRITTEN and self.connection is not None:
            self.connection.receive()
        self.stop(interface.TIMED_OUT)

    def begin(self) -> None:
        connection = self.runner.pool.take_idle(self.entry.pool_key)
        if connection is not None:
            self.reused, self.connection = True, connection
            return self.send()
        connection = self.runner.pool.open_connection(self.entry.address, self.on_connected)
        if isinstance(connection, ConnectionFailure):
            return self.finish(connection)
        self.stage, self.connection = Stage.CONNECTING, connection

    def on_connected(self, failure: ConnectionFailure | None) -> None:
        if self.finished:
            return
        if failure is not None:
            self.stage = failure.stage
            return self.finish(failure)
        self.send()

    def send(self) -> None:
        runner, connection = self.runner, self.connection
        # checked again right before the first byte: conditions may have changed since the policy's decision
        refusal = runner.dispatcher.refusal(self.transaction, self.host, self.entry)
        if refusal is not None:
            runner.refusal_counts[refusal] += 1
        if self.finished:  # the check found that the client has gone
            return
        if refusal is not None:
            self.refusal = refusal
            self.stop_outcome, self.stage = interface.UNSENT, Stage.UNTRIED
            self.release_connection()
            return self.finish(None)
        self.stage = Stage.WRITING
        connection.read_size = runner.read_size
        self.response_parser = Parser(
            responses=True,
            max_body=max(MAX_BUFFERED_BYTES, runner.response_memory.read_size(MAX_BODY_BYTES)),
            field_names=hosts.PARSED_FIELDS,
            streaming=True,
            max_undelimited_body=MAX_BUFFERED_BYTES,
        )
        time_left = self.time_limit - (runner.clock.now() - self.begun_at)
        connection.start_reading(self.on_data, self.on_close)
        if not self.finished:
            self.write_request(
                hosts.attempt_request(self.transaction.request.message, max(1, time_left) / TICKS_PER_SECOND)
            )

    def write_request(self, parts: tuple[bytes, ...]) -> None:
        if is_long(self.transaction.request.message.body):
            self.writer = LongRequestWriter(
                self.connection, self.runner.timers, self.may_go_on, self.on_written
            )
            self.writer.start(parts)
        elif self.connection.write(parts, self.on_written):
            self.on_written()

    def may_go_on(self, transit: int, completes: bool) -> bool:
        """Check whether a long request may be written further, or give it up; see `LongRequestWriter`."""
        dispatcher = self.runner.dispatcher
        check = dispatcher.refusal if completes else dispatcher.writing_refusal
        refusal = check(self.transaction, self.host, self.entry, transit)
        if refusal is None or self.finished:  # finished: the check found that the client has gone
            return not self.finished
        self.runner.refusal_counts[refusal] += 1
        self.refusal = refusal
        self.stop(interface.UNSENT)
        return False

    def on_written(self) -> None:
        self.stop_writer()
        if self.stage == Stage.WRITING:
            self.stage = Stage.WRITTEN

    def stop_writer(self) -> None:
        """Let go of the writer of a long request, which is complete or given up."""
        if self.writer is not None:
            self.writer.stop()
            self.writer = None

    def on_data(self, data, unread_ns: int) -> None:
        """`unread_ns`: how long the data has waited in the kernel."""
        try:
            self.response_parser.feed(data)
            self.held = self.runner.response_memory.change(self.held, self.response_parser.held_bytes())
            if self.stage == Stage.WRITTEN:
                self.stage = Stage.ANSWERING
            result, head = self.response_parser.result, self.response_parser.streamed_head
            if isinstance(result, Message) and head is not None:  # a long response that came in a single read
                result = result._replace(body=bytes(self.response_parser.take_body()))
            if result is not None:
                self.finish(result, unread_ns // TICK_NS)
            elif head is not None:
                self.stream_response(head, unread_ns // TICK_NS)
        except Exception as error:  # must not reach the event loop; the stage reached still counts
            self.runner.log_event("fault", where="hop", error=repr(error))
            self.finish(ConnectionFailure(self.stage, repr(error)))

    def on_close(self, failure: ConnectionFailure) -> None:
        # a body that ends with the connection is complete only after an orderly close by the host; after a
        # reset it is cut short
        if failure.reason == PEER_CLOSED:
            self.response_parser.feed_eof()
        self.finish(self.response_parser.result or failure)

    def stream_response(self, head: Message, unread: int) -> None:
        """A long response has begun: it is final for the transaction, and streams on without this attempt."""
        if head.status != 200 or self.stage != Stage.ANSWERING:
            return self.finish(head._replace(keep_alive=False), unread)  # only the status matters
        self.finished, runner = True, self.runner
        self.held = runner.response_memory.change(self.held, 0)
        runner.timers.cancel(self.timer)
        connection, self.connection = self.connection, None
        unread += connection.connect_notice_delay // TICK_NS if not self.reused else 0
        connection.set_bulk(Usage(runner.processor_time))
        forwarder = ResponseForwarder(connection, self.response_parser, runner.timers, self.keep_connection)
        elapsed = max(0, runner.clock.now() - unread - self.begun_at)
        runner.outcome_counts[interface.COMMITTED] += 1
        self.log_success(elapsed, length=head.length)
        # the result may only be queued now; whoever handles it stops the forwarder if no client takes it
        runner.dispatcher.post(
            AttemptResult(
                self.transaction, self.index, self.host, interface.COMMITTED, elapsed, unread, head, forwarder
            )
        )

    def log_success(self, elapsed: int, **fields) -> None:
        """Log a response that is final; `length` is that of one that is passed on as it comes."""
        self.runner.rate_limited_log(
            "attempt",
            tx=self.transaction.request.id,
            number=self.index,
            endpoint=self.entry.id,
            outcome="succeeded",
            reused=self.reused,
            ms=elapsed / 10,
            **fields,
        )

    def release_connection(self) -> None:
        """Return the connection to the pool; from now on, stopping this attempt must not close it."""
        connection, self.connection = self.connection, None
        self.keep_connection(connection)

    def keep_connection(self, connection: Connection) -> None:
        """Return a connection to the pool, unless its host has left, moved or restarted since."""
        if self.runner.registry.is_same_life(self.host, self.entry):
            self.runner.pool.release(connection, self.entry.pool_key)
        else:
            connection.close()

    def finish(self, result: Message | ConnectionFailure | Rejection | None, unread: int = 0) -> None:
        """`unread`: ticks that the response waited here before it was read, which are not the host's."""
        if self.finished:
            return
        self.finished = True
        runner, connection = self.runner, self.connection
        self.held = runner.response_memory.change(self.held, 0)
        runner.timers.cancel(self.timer)
        self.stop_writer()
        if connection is not None:
            unread += connection.connect_notice_delay // TICK_NS if not self.reused else 0
            if (
                isinstance(result, Message)
                and result.keep_alive
                and not self.response_parser.unparsed
                and (self.stage == Stage.ANSWERING)
            ):
                self.release_connection()
            else:
                connection.give_up()  # else the host may begin the request after its answer
                self.connection = None
        outcome, message = runner.classify(self, result), result if isinstance(result, Message) else None
        elapsed = max(0, runner.clock.now() - unread - self.begun_at)
        runner.outcome_counts[outcome] += 1
        if outcome == interface.COMMITTED:
            self.log_success(elapsed)
        else:
            reason = (self.refusal or "") if result is None or message else result.reason
            runner.log_event(
                "hop",
                tx=self.transaction.request.id,
                hop=self.index,
                host=self.entry.id,
                outcome=outcome,
                stage=self.stage.name.lower(),
                reused=self.reused,
                ms=elapsed / 10,
                reason=reason,
                status=message.status if message else None,
            )
        runner.dispatcher.post(
            AttemptResult(
                self.transaction,
                self.index,
                self.host,
                outcome,
                elapsed,
                unread,
                message if outcome in (interface.COMMITTED, interface.DECLINED) else None,
            )
        )


class AttemptRunner:
    """Begins attempts, and counts their outcomes."""

    def __init__(
        self,
        pool: HostPool,
        clock: Clock,
        timers: Timers,
        registry: HostRegistry,
        dispatcher: Dispatcher,
        response_memory: MemoryAccount,
        processor_time: ProcessorTime,
        log_event,
    ) -> None:
        self.response_memory, self.processor_time = response_memory, processor_time
        self.pool, self.clock, self.timers, self.registry = pool, clock, timers, registry
        self.dispatcher, self.log_event = dispatcher, log_event
        self.rate_limited_log = RateLimitedLog(log_event, clock, MAX_SUCCESS_LINES_PER_S)
        self.outcome_counts: Counter[str] = Counter()  # of finished attempts
        self.refusal_counts: Counter[str] = Counter()  # by reason: attempts that were decided on but not sent

    def read_size(self) -> int:
        """How many bytes the next read from a host may take."""
        return self.response_memory.read_size(MAX_READ_BYTES)

    def begin(
        self,
        transaction: Transaction,
        index: int,
        host: int,
        entry: RegistryEntry,
        time_limit: int,
        too_late: bool,
    ) -> Attempt:
        """Begin an attempt; if `too_late`, it ends as unsent.

        The result of an attempt that ends at once is handled after this has returned: the dispatcher queues
        it.
        """
        attempt = Attempt(self, transaction, index, host, entry, self.clock.now(), time_limit)
        if too_late:
            attempt.stop(interface.UNSENT)
        else:
            attempt.timer = self.timers.set(time_limit, attempt.expire)
            attempt.begin()
        return attempt

    @staticmethod
    def classify(attempt: Attempt, result: Message | ConnectionFailure | Rejection | None) -> str:
        """The outcome of an attempt that ended with this response or failure; None: it was stopped."""
        written = attempt.stage >= Stage.WRITTEN
        if isinstance(result, Message):
            return hosts.classify_response(result, written)
        if attempt.stop_outcome is not None and written:
            return attempt.stop_outcome
        if attempt.stop_outcome is not None or attempt.stage == Stage.UNTRIED:
            return interface.UNSENT
        if isinstance(result, Rejection) and written:
            # a host that sends malformed responses is up, so this is no lost connection
            return interface.ERROR
        return (
            interface.RESET
            if written
            else interface.DROPPED
            if attempt.stage == Stage.WRITING
            else interface.UNREACHABLE
        )
