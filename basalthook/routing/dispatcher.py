"""The dispatcher: owns the routing policy and passes it events from one ordered queue."""

from collections import deque
from typing import NamedTuple

from .. import terms
from ..bodies.forwarder import ResponseForwarder
from ..policy import interface
from ..policy.decide import Proxy
from ..protocol.application import TransactionRequest
from ..protocol.catalogue import HostList
from ..protocol.http1 import Message
from ..transport.connection import Stage
from ..transport.timers import Timers
from .clock import TICK_NS, Clock
from .host_registry import HostRegistry, RegistryEntry
from .long_request import is_long
from .request_ids import RequestIds

MAX_LOGGED_IDS = 16  # host ids in a log line, for each kind of change
# of attempts that can't have had an effect
OUTCOMES_WITHOUT_EFFECT = {interface.REFUSED, interface.UNREACHABLE, interface.UNSENT, interface.DROPPED}
MAX_TIMER_DELAY_TICKS = 50  # a timer that is later than this runs between two queued items


class Response(NamedTuple):
    """The final response to a transaction. `message` is the host's, if a host responded."""

    kind: str  # "committed", "declined", "rolled back", "abandoned"
    message: Message | None = None
    retry_after: int = 0  # ticks; 0: none is sent
    forwarder: ResponseForwarder | None = None  # streams the rest of a long response from the host
    reason: str = ""  # why no host responded


class Transaction:
    """An accepted transaction; the dispatcher holds it until it is closed and no attempt is open."""

    __slots__ = (
        "request",
        "received_at",
        "deadline",
        "deliver",
        "client_gone",
        "number",
        "attempts",
        "closed",
        "has_run",
        "id_noted",
    )

    def __init__(
        self, request: TransactionRequest, received_at: int, deadline: int, deliver, client_gone
    ) -> None:
        """`received_at`: when the last byte of the request arrived; `deadline`: by when it must be answered.

        `deliver(response)` is called once, unless the client has gone. `client_gone()` checks whether the
        client has gone, and if so ends the transaction with `ClientDisconnected`.
        """
        self.request, self.received_at, self.deadline, self.deliver = request, received_at, deadline, deliver
        self.client_gone = client_gone
        self.number, self.closed = -1, False
        self.id_noted = False  # among the forwarded ids
        self.has_run = False  # an attempt that has ended may have had an effect
        self.attempts = []  # in order of their start; None once an attempt has finished

    def may_have_run(self) -> bool:
        """Whether an attempt may have had an effect, or may have one yet."""
        return self.has_run or any(
            attempt is not None and attempt.stage > Stage.WRITING for attempt in self.attempts
        )

    def close(self, response: Response | None) -> None:
        if not self.closed:
            self.closed = True
            if response is not None:
                self.deliver(response)


class RequestReceived(NamedTuple):
    """A client has sent a whole request."""

    transaction: Transaction


class ClientDisconnected(NamedTuple):
    """The client has gone before its response."""

    transaction: Transaction


class GivenUp(NamedTuple):
    """Nothing more may be sent for a transaction, for a reason that the policy does not know."""

    transaction: Transaction
    reason: str
    may_have_run: bool = False  # even if no attempt of this transaction has


class DeadlineMissed(NamedTuple):
    """The deadline passed without a response, which means a defect in this program."""

    transaction: Transaction


class AttemptResult(NamedTuple):
    """An attempt has finished."""

    transaction: Transaction
    attempt: int  # index in Transaction.attempts
    host: int
    outcome: str
    elapsed: int  # ticks, without `unread`
    unread: int  # ticks that the host's response waited in this process before it was read
    message: Message | None
    forwarder: ResponseForwarder | None = None  # of a long response; stopped unless a client takes it


class DiscoveryUpdate(NamedTuple):
    """A host list has arrived."""

    host_list: HostList
    from_discovery: bool  # false: known from the start-up file or an earlier process


class OverridesChanged(NamedTuple):
    """Operator overrides of these hosts have changed."""

    hosts: set[str]


class ProcessCountChanged(NamedTuple):
    """The number of processes that serve as this proxy at present: two during a handover."""

    processes: int


class Dispatcher:
    """Passes queued items to the policy as events, and applies the effects that the policy returns.

    `post` returns when everything that an item causes has been decided and applied. What an effect causes at
    once (an attempt that could not begin) is queued, so that the policy is never re-entered. The queue is
    empty again when `post` returns.
    """

    def __init__(
        self,
        settings: interface.PolicySettings,
        seed: int,
        clock: Clock,
        timers: Timers,
        registry: HostRegistry,
        read_lag_ns,
        log_event,
    ) -> None:
        """`read_lag_ns()`: age in nanoseconds of the last moment up to which all input has been read."""
        self.settings, self.clock, self.timers, self.registry, self.log_event = (
            settings,
            clock,
            timers,
            registry,
            log_event,
        )
        self.read_lag_ns = read_lag_ns
        # the event handler is the policy itself, or a component that wraps it
        self.policy = self.event_handler = Proxy(settings, seed, clock.now())
        self.request_ids = RequestIds(clock.monotonic_ns)
        self.queue: deque = deque()
        self.processing, self.next_number = False, 0
        self.transactions: dict[int, Transaction] = {}
        self.begin_attempt = None  # AttemptRunner.begin, set when the program is assembled

    def start(self, known_hosts: HostList) -> None:
        """Pass the host list that is known at start-up to the policy."""
        self.handle_event(self.registry.apply_host_list(known_hosts, from_discovery=False))

    def post(self, item) -> None:
        """Queue an item, and handle the queue unless that is under way."""
        self.queue.append(item)
        if not self.processing:
            self.process_queue()

    def process_queue(self) -> None:
        self.processing = True
        try:
            while self.queue:
                self.timers.run(MAX_TIMER_DELAY_TICKS)  # a long queue must not delay timers
                self.run_guarded(self.handle_item, self.queue.popleft())
        finally:
            self.processing = False

    def on_timer(self, mark: int) -> None:
        """A timer of the policy expired; handled before the items in the queue."""
        self.queue.appendleft(interface.TimerDue(mark))
        if not self.processing:
            self.process_queue()

    def run_guarded(self, work, item) -> None:
        """Handle one item and log its exception, if any: other transactions must not be affected by it."""
        try:
            work(item)
        except Exception as error:
            self.log_event("fault", where=type(item).__name__, error=repr(error))

    def handle_event(self, event) -> None:
        now = self.clock.now()
        self.apply_effects(self.event_handler.handle(now, event, self.received_until(now)))

    def received_until(self, now: int) -> int:
        """The time up to which all input has been read; silence after it may be this process's own delay."""
        return now - self.read_lag_ns() // TICK_NS

    # ---- queued items

    def handle_item(self, item) -> None:
        self.ITEM_HANDLERS[type(item)](self, item)

    def on_request_received(self, item: RequestReceived) -> None:
        transaction, number = item.transaction, self.next_number
        self.next_number += 1
        transaction.number, self.transactions[number] = number, transaction
        key, body = transaction.request.key, transaction.request.message.body
        time_left = max(0, transaction.deadline - self.clock.now())
        waited = max(0, self.clock.now() - transaction.received_at)
        self.handle_event(
            interface.TxArrived(
                number,
                transaction.request.profile,
                terms.stable_number(key) if key else None,
                time_left,
                waited,
                body_bytes=len(body) if is_long(body) else 0,
            )
        )

    def on_client_disconnected(self, item: ClientDisconnected) -> None:
        self.end_transaction(item.transaction, None)

    def on_deadline_missed(self, item: DeadlineMissed) -> None:
        if not item.transaction.closed:
            self.log_event("fault", where="owner", error="no answer in time")
            self.end_transaction(item.transaction, Response("abandoned", reason="no answer in time"))

    def on_given_up(self, item: GivenUp) -> None:
        may_have_run = item.may_have_run or item.transaction.may_have_run()
        kind = "abandoned" if may_have_run else "rolled back"
        self.end_transaction(item.transaction, Response(kind, reason=item.reason))

    def end_transaction(self, transaction: Transaction, response: Response | None) -> None:
        if not transaction.closed:
            transaction.close(response)
            self.handle_event(interface.ClientDisconnected(transaction.number))
            self.forget_if_finished(transaction)

    def on_attempt_result(self, item: AttemptResult) -> None:
        try:
            self.apply_attempt_result(item)
        finally:
            if item.forwarder is not None:
                item.forwarder.stop_unless_taken()

    def apply_attempt_result(self, item: AttemptResult) -> None:
        transaction = item.transaction
        transaction.attempts[item.attempt] = None
        transaction.has_run = transaction.has_run or item.outcome not in OUTCOMES_WITHOUT_EFFECT
        self.registry.attempt_finished(item.host)
        if item.message is not None and not transaction.closed:
            transaction.close(Response(item.outcome, item.message, 0, item.forwarder))
        self.handle_event(
            interface.AttemptEnded(
                transaction.number,
                item.attempt,
                item.host,
                item.outcome,
                item.elapsed,
                transaction.closed,
                item.unread,
            )
        )
        self.forget_if_finished(transaction)

    def on_discovery_update(self, item: DiscoveryUpdate) -> None:
        self.handle_event(self.registry.apply_host_list(item.host_list, item.from_discovery))
        self.registry.drop_unheld(self.policy.hosts)
        if changes := self.registry.changes:
            self.log_event(
                "endpoints",
                version=item.host_list.version,
                **{change: ids[:MAX_LOGGED_IDS] for change, ids in changes.items()},
                count=sum(map(len, changes.values())),
            )

    def on_overrides_changed(self, item: OverridesChanged) -> None:
        self.handle_event(self.registry.reapply_overrides(item.hosts))

    ITEM_HANDLERS = {
        RequestReceived: on_request_received,
        ClientDisconnected: on_client_disconnected,
        GivenUp: on_given_up,
        DeadlineMissed: on_deadline_missed,
        AttemptResult: on_attempt_result,
        DiscoveryUpdate: on_discovery_update,
        OverridesChanged: on_overrides_changed,
        ProcessCountChanged: lambda self, item: self.handle_event(interface.ProcessCount(item.processes)),
        interface.TimerDue: handle_event,
        interface.HostVerdicts: handle_event,
        interface.LimitsUpdated: handle_event,
    }

    def forget_if_finished(self, transaction: Transaction) -> None:
        if transaction.closed and not any(transaction.attempts):
            self.transactions.pop(transaction.number, None)
            if transaction.id_noted and not transaction.has_run:
                self.request_ids.forget(transaction.request.id)

    # ---- effects

    def apply_effects(self, effects: list) -> None:
        for effect in effects:
            self.EFFECT_HANDLERS[type(effect)](self, effect)

    def send_attempt(self, effect: interface.SendAttempt) -> None:
        transaction = self.transactions[effect.tx]
        time_limit = min(effect.time_limit, transaction.deadline - self.clock.now())
        too_late = (
            transaction.closed or time_limit <= 0 or len(transaction.attempts) >= self.settings.max_attempts
        )
        entry = self.registry.attempt_started(effect.host)
        transaction.attempts.append(
            self.begin_attempt(
                transaction, len(transaction.attempts), effect.host, entry, time_limit, too_late
            )
        )

    def refusal(
        self, transaction: Transaction, host: int, entry: RegistryEntry, transit: int = 0
    ) -> str | None:
        """Why an attempt decided earlier may not send its first byte now, or the last one; None if it may.

        `entry`: of the host, when its connection was opened; `transit`: ticks since its first byte.
        """
        if refusal := self.connection_refusal(transaction, host, entry):
            return refusal
        if transaction.client_gone():
            return interface.CLIENT_GONE
        refusal = self.policy.start_refusal(self.clock.now(), transaction.number, host, transit)
        return refusal or self.note_id(transaction)

    def writing_refusal(
        self, transaction: Transaction, host: int, entry: RegistryEntry, transit: int
    ) -> str | None:
        """Why an attempt that is being written may not be written further; None if it may."""
        return self.connection_refusal(transaction, host, entry) or self.policy.attempt_refusal(
            self.clock.now(), transaction.number, host, transit
        )

    def connection_refusal(self, transaction: Transaction, host: int, entry: RegistryEntry) -> str | None:
        """Why nothing may be written to this connection, whatever the policy allows; None if it may."""
        if transaction.closed:
            return interface.REQUEST_OVER
        if not self.registry.is_same_life(host, entry):
            return interface.ENDPOINT_LEAVING
        return None

    def must_run_once(self, profile: int) -> bool:
        """Whether a request of this profile may have a second effect if it is sent again."""
        return self.settings.profiles[profile].kind != interface.IDEMPOTENT

    def note_id(self, transaction: Transaction) -> str | None:
        """Note that the request is about to be forwarded; why it may not be, as it has been elsewhere."""
        if transaction.id_noted or not self.must_run_once(transaction.request.profile):
            return None
        if transaction.request.id in self.request_ids:
            self.post(GivenUp(transaction, interface.REQUEST_ID_USED, may_have_run=True))
            return interface.REQUEST_ID_USED
        self.request_ids.note(transaction.request.id)
        transaction.id_noted = True
        return None

    def roll_back(self, effect: interface.RollBack) -> None:
        self.respond(effect.tx, Response("rolled back", None, effect.retry_after, reason=effect.reason))

    def abandon(self, effect: interface.Abandon) -> None:
        self.respond(effect.tx, Response("abandoned", reason=effect.reason))

    def respond(self, tx: int, response: Response) -> None:
        if tx in self.transactions:
            self.transactions[tx].close(response)
            self.forget_if_finished(self.transactions[tx])

    def cancel_attempt(self, effect: interface.CancelAttempt) -> None:
        transaction = self.transactions.get(effect.tx)
        if transaction is not None and transaction.attempts[effect.attempt] is not None:
            transaction.attempts[effect.attempt].stop(interface.CANCELLED)

    def set_timer(self, effect: interface.SetTimer) -> None:
        self.timers.set(effect.delay, self.on_timer, effect.timer_id)

    EFFECT_HANDLERS = {
        interface.SendAttempt: send_attempt,
        interface.RollBack: roll_back,
        interface.Abandon: abandon,
        interface.CancelAttempt: cancel_attempt,
        interface.SetTimer: set_timer,
    }
