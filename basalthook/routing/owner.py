"""The owner: the only holder of the decisions. Everything reaches it through one queue, in order."""

from collections import deque
from typing import NamedTuple

from .. import terms
from ..policy import interface
from ..policy.decide import Proxy
from ..protocol.application import Asked
from ..protocol.catalogue import Listing
from ..protocol.http1 import Message
from ..transport.timers import Timers
from .clock import TICK, Clock
from .roster import Roster

NAMED = 16  # endpoints of each kind of change that a line of the log names
OVERDUE = 50  # tenths of a millisecond: timers later than this are told between two events


class Answer(NamedTuple):
    """The final answer; `message` is the host's, where it is a host's."""

    kind: str  # "committed", "declined", "rolled back", "abandoned"
    message: Message | None = None
    come_back: int = 0
    relay: object = None  # of a host's long answer: what is still to come of it
    reason: str = ""  # why it is none of a host's


class Order:
    """One transaction taken; in the owner's books from its arrival until it is closed with no attempt out."""

    __slots__ = ("asked", "came", "hard_limit", "deliver", "left", "number", "attempts", "closed")

    def __init__(self, asked: Asked, came: int, hard_limit: int, deliver, left) -> None:
        """`came`: when its last byte came in; `deliver(answer)` is called once, unless its client went.

        `left()` looks whether the client has gone, and if so ends the request with `Gone`.
        """
        self.asked, self.came, self.hard_limit, self.deliver = asked, came, hard_limit, deliver
        self.left = left
        self.number, self.closed = -1, False
        self.attempts = []  # one an effect, None once it is over

    def close(self, answer: Answer | None) -> None:
        if not self.closed:
            self.closed = True
            if answer is not None:
                self.deliver(answer)


class Arrived(NamedTuple):
    order: Order


class Gone(NamedTuple):
    order: Order


class Overdue(NamedTuple):
    """Past its hard limit, and no answer: there is a defect of ours somewhere."""

    order: Order


class AttemptOver(NamedTuple):
    order: Order
    attempt: int
    host: int
    outcome: str
    elapsed: int
    waited: int  # that its answer lay here unread
    message: Message | None
    relay: object = None


class Listed(NamedTuple):
    listing: Listing
    answered: bool


class Ordered(NamedTuple):
    """The staff's word on these hosts has changed."""

    hosts: set[str]


class Shared(NamedTuple):
    """So many processes of this proxy live at present."""

    processes: int


class Owner:
    """`post` returns once all that an event brought about is decided and carried out.

    What it brings about at once (an attempt that could not begin) waits in the queue for its turn, so that
    the decisions are never entered twice; the queue is empty again when `post` returns.
    """

    def __init__(
        self,
        agreed: interface.PolicySettings,
        seed: int,
        clock: Clock,
        timers: Timers,
        roster: Roster,
        behind,
        say,
    ) -> None:
        self.agreed, self.clock, self.timers, self.roster, self.say = agreed, clock, timers, roster, say
        self.behind = behind
        self.proxy = self.mind = Proxy(agreed, seed, clock.now())  # mind: the same, or who stands beside it
        self.queue: deque = deque()
        self.running, self.next = False, 0
        self.orders: dict[int, Order] = {}
        self.begin_attempt = None  # set by whoever builds the program

    def start(self, known: Listing) -> None:
        self.decide(self.roster.told(known, answered=False))

    def post(self, item) -> None:
        self.queue.append(item)
        if not self.running:
            self.pump()

    def pump(self) -> None:
        self.running = True
        try:
            while self.queue:
                self.timers.run(OVERDUE)  # guards against timers that wait behind a crowd of events
                self.safely(self.take, self.queue.popleft())
        finally:
            self.running = False

    def due(self, mark: int) -> None:
        """A timer of the decisions; told before what waits in the queue."""
        self.queue.appendleft(interface.TimerDue(mark))
        if not self.running:
            self.pump()

    def safely(self, work, given) -> None:
        """One bad event must not end the service of all others."""
        try:
            work(given)
        except Exception as fault:
            self.say("fault", where=type(given).__name__, error=repr(fault))

    def decide(self, event) -> None:
        now = self.clock.now()
        self.carry_out(self.mind.handle(now, event, self.seen(now)))

    def seen(self, now: int) -> int:
        """Up to then all that came in is told; a silence since may be this process's own."""
        return now - self.behind() // TICK

    # ---- what comes in

    def take(self, item) -> None:
        self.TAKES[type(item)](self, item)

    def arrived(self, item: Arrived) -> None:
        order, number = item.order, self.next
        self.next += 1
        order.number, self.orders[number] = number, order
        key, patience = order.asked.key, max(0, order.hard_limit - self.clock.now())
        waited = max(0, self.clock.now() - order.came)
        self.decide(
            interface.TxArrived(
                number, order.asked.profile, terms.stable_number(key) if key else None, patience, waited
            )
        )

    def gone(self, item: Gone) -> None:
        self.end(item.order, None)

    def overdue(self, item: Overdue) -> None:
        if not item.order.closed:
            self.say("fault", where="owner", error="no answer in time")
            self.end(item.order, Answer("abandoned", reason="no answer in time"))

    def end(self, order: Order, answer: Answer | None) -> None:
        if not order.closed:
            order.close(answer)
            self.decide(interface.ClientDisconnected(order.number))
            self.forget(order)

    def attempt_over(self, item: AttemptOver) -> None:
        order = item.order
        order.attempts[item.attempt] = None
        self.roster.attempt_over(item.host)
        if item.message is not None and not order.closed:
            order.close(Answer(item.outcome, item.message, 0, item.relay))
        self.decide(
            interface.AttemptEnded(
                order.number, item.attempt, item.host, item.outcome, item.elapsed, order.closed, item.waited
            )
        )
        self.forget(order)

    def listed(self, item: Listed) -> None:
        self.decide(self.roster.told(item.listing, item.answered))
        self.roster.let_go(self.proxy.hosts)
        if changes := self.roster.changes:
            self.say(
                "endpoints",
                version=item.listing.version,
                **{change: ids[:NAMED] for change, ids in changes.items()},
                count=sum(map(len, changes.values())),
            )

    def ordered(self, item: Ordered) -> None:
        self.decide(self.roster.ordered(item.hosts))

    TAKES = {
        Arrived: arrived,
        Gone: gone,
        Overdue: overdue,
        AttemptOver: attempt_over,
        Listed: listed,
        Ordered: ordered,
        Shared: lambda self, item: self.decide(interface.ProcessCount(item.processes)),
        interface.TimerDue: decide,
        interface.HostVerdicts: decide,
        interface.LimitsUpdated: decide,
    }

    def forget(self, order: Order) -> None:
        if order.closed and not any(order.attempts):
            self.orders.pop(order.number, None)

    # ---- what goes out

    def carry_out(self, effects: list) -> None:
        for effect in effects:
            self.GIVES[type(effect)](self, effect)

    def send(self, effect: interface.SendAttempt) -> None:
        order = self.orders[effect.tx]
        limit = min(effect.time_limit, order.hard_limit - self.clock.now())
        over = order.closed or limit <= 0 or len(order.attempts) >= self.agreed.max_attempts
        place = self.roster.attempt_begun(effect.host)
        order.attempts.append(self.begin_attempt(order, len(order.attempts), effect.host, place, limit, over))

    def refusal(self, order: Order, host: int) -> str | None:
        """Why an attempt decided earlier may not send its first byte now; None if it may."""
        if order.closed:
            return interface.REQUEST_OVER
        if not self.roster.ready(host):
            return interface.ENDPOINT_LEAVING
        if order.left():
            return interface.CLIENT_GONE
        return self.proxy.start_refusal(self.clock.now(), order.number, host)

    def roll_back(self, effect: interface.RollBack) -> None:
        self.answer(effect.tx, Answer("rolled back", None, effect.retry_after, reason=effect.reason))

    def abandon(self, effect: interface.Abandon) -> None:
        self.answer(effect.tx, Answer("abandoned", reason=effect.reason))

    def answer(self, tx: int, answer: Answer) -> None:
        if tx in self.orders:
            self.orders[tx].close(answer)
            self.forget(self.orders[tx])

    def cancel(self, effect: interface.CancelAttempt) -> None:
        order = self.orders.get(effect.tx)
        if order is not None and order.attempts[effect.attempt] is not None:
            order.attempts[effect.attempt].stop(interface.CANCELLED)

    def set_timer(self, effect: interface.SetTimer) -> None:
        self.timers.set(effect.delay, self.due, effect.timer_id)

    GIVES = {
        interface.SendAttempt: send,
        interface.RollBack: roll_back,
        interface.Abandon: abandon,
        interface.CancelAttempt: cancel,
        interface.SetTimer: set_timer,
    }
