"""One attempt: a message to an endpoint and its answer, or how far it had come.

From that alone follows what may have run.
"""

from collections import Counter

from ..bodies.relay import Relay
from ..policy import interface
from ..protocol import hosts
from ..protocol.http1 import Malformed, Message, Parser
from ..transport.connection import ENDED, Connection, Fault, Stage
from ..transport.hostpool import HostPool
from ..transport.timers import Timers
from .clock import TICK, TICKS, Clock
from .owner import AttemptOver, Order, Owner
from .ratelog import RateLimitedLog
from .roster import Place, Roster

# bytes of an answer of no told length that are kept whole: a slow host's first ones may not wait for the rest
OPEN_MOST = 4 * 1024
SUCCEEDED_MOST = 50  # lines a second on attempts that succeeded


class Attempt:
    """Driven by its connection and its timer; over once, whatever ends it."""

    __slots__ = (
        "attempts",
        "order",
        "index",
        "host",
        "place",
        "begun",
        "limit",
        "connection",
        "stage",
        "stopped",
        "reused",
        "answer",
        "refusal",
        "timer",
        "over",
    )

    def __init__(
        self, attempts: "Attempts", order: Order, index: int, host: int, place: Place, begun: int, limit: int
    ) -> None:
        self.attempts, self.order, self.index, self.host, self.place = attempts, order, index, host, place
        self.begun, self.limit = begun, limit  # connecting counts
        self.connection: Connection | None = None  # while it is this attempt's alone
        self.stage, self.stopped, self.reused, self.over = Stage.UNTRIED, None, False, False
        self.answer: Parser | None = None
        self.refusal: str | None = None  # why it was not begun
        self.timer = None

    def stop(self, outcome: str) -> None:
        """Give it up: the connection is closed, whatever state it is in, and never used again."""
        if not self.over:
            self.stopped = outcome
            self.finish(None)

    def expire(self) -> None:
        """Guards against blaming a host for our own lateness: an answer that is here counts."""
        if self.stage >= Stage.WRITTEN and self.connection is not None:
            self.connection.receive()
        self.stop(interface.TIMED_OUT)

    def begin(self) -> None:
        connection = self.attempts.pool.kept_one(self.place.door)
        if connection is not None:
            self.reused, self.connection = True, connection
            return self.send()
        connection = self.attempts.pool.fresh(self.place.address, self.up)
        if isinstance(connection, Fault):
            return self.finish(connection)
        self.stage, self.connection = Stage.CONNECTING, connection

    def up(self, fault: Fault | None) -> None:
        if self.over:
            return
        if fault is not None:
            self.stage = fault.stage
            return self.finish(fault)
        self.send()

    def send(self) -> None:
        attempts, connection = self.attempts, self.connection
        refusal = attempts.owner.refusal(self.order, self.host)  # what was decided may have changed meanwhile
        if refusal is not None:
            attempts.refusals[refusal] += 1
        if self.over:  # its client was just seen to have left
            return
        if refusal is not None:
            self.refusal = refusal
            self.stopped, self.stage = interface.UNSENT, Stage.UNTRIED
            self.keep()
            return self.finish(None)
        self.stage = Stage.WRITING
        self.answer = Parser(responses=True, wanted=hosts.WANTED, long=True, open_most=OPEN_MOST)
        left = self.limit - (attempts.clock.now() - self.begun)
        connection.follow(self.took, self.ended)
        if not self.over and connection.write(
            hosts.hop(self.order.asked.message, max(1, left) / TICKS), self.wrote
        ):
            self.wrote()

    def wrote(self) -> None:
        if self.stage == Stage.WRITING:
            self.stage = Stage.WRITTEN

    def took(self, part, late: int) -> None:
        try:
            self.answer.feed(part)
            if self.stage == Stage.WRITTEN:
                self.stage = Stage.ANSWERING
            found, begun = self.answer.found, self.answer.begun
            if isinstance(found, Message) and begun is not None:  # a long one that came whole in one read
                found = found._replace(body=bytes(self.answer.take_body()))
            if found is not None:
                self.finish(found, late // TICK)
            elif begun is not None:
                self.pass_on(begun, late // TICK)
        except Exception as fault:  # exceptions stop here; how far the attempt had come still counts
            self.attempts.say("fault", where="hop", error=repr(fault))
            self.finish(Fault(self.stage, repr(fault)))

    def ended(self, fault: Fault) -> None:
        # guards against passing on as whole what a reset cut short
        if fault.reason == ENDED:
            self.answer.end()
        self.finish(self.answer.found or fault)

    def pass_on(self, begun: Message, late: int) -> None:
        """A long answer has begun. It is this transaction's last word, and goes on without this attempt."""
        if begun.status != 200 or self.stage != Stage.ANSWERING:
            return self.finish(begun._replace(keep=False), late)  # its status is all that counts
        self.over, attempts, pool = True, self.attempts, self.attempts.pool
        attempts.timers.cancel(self.timer)
        connection, self.connection, door = self.connection, None, self.place.door
        late += connection.noticed_late // TICK if not self.reused else 0
        relay = Relay(connection, self.answer, attempts.timers, lambda kept: pool.keep(kept, door))
        elapsed = max(0, attempts.clock.now() - late - self.begun)
        attempts.outcomes[interface.COMMITTED] += 1
        attempts.owner.post(
            AttemptOver(self.order, self.index, self.host, interface.COMMITTED, elapsed, late, begun, relay)
        )
        if relay.client is None:  # nobody waits for it
            relay.stop()

    def keep(self) -> None:
        """From here on the connection is the pool's: stopping this attempt must not close it."""
        connection, self.connection = self.connection, None
        self.attempts.pool.keep(connection, self.place.door)

    def finish(self, found: Message | Fault | Malformed | None, late: int = 0) -> None:
        """`late`: ticks that the answer had lain here unread; they are ours, not the host's."""
        if self.over:
            return
        self.over = True
        attempts, connection = self.attempts, self.connection
        attempts.timers.cancel(self.timer)
        if connection is not None:
            late += connection.noticed_late // TICK if not self.reused else 0
            if (
                isinstance(found, Message)
                and found.keep
                and not self.answer.rest
                and (self.stage == Stage.ANSWERING)
            ):
                self.keep()
            else:
                connection.close()
                self.connection = None
        outcome, message = attempts.outcome(self, found), found if isinstance(found, Message) else None
        elapsed = max(0, attempts.clock.now() - late - self.begun)
        attempts.outcomes[outcome] += 1
        if outcome == interface.COMMITTED:
            attempts.sparingly(
                "attempt",
                tx=self.order.asked.id,
                number=self.index,
                endpoint=self.place.id,
                outcome="succeeded",
                reused=self.reused,
                ms=elapsed / 10,
            )
        else:
            reason = (self.refusal or "") if found is None or message else found.reason
            attempts.say(
                "hop",
                tx=self.order.asked.id,
                hop=self.index,
                host=self.place.id,
                outcome=outcome,
                stage=self.stage.name.lower(),
                reused=self.reused,
                ms=elapsed / 10,
                reason=reason,
                status=message.status if message else None,
            )
        attempts.owner.post(
            AttemptOver(
                self.order,
                self.index,
                self.host,
                outcome,
                elapsed,
                late,
                message if outcome in (interface.COMMITTED, interface.DECLINED) else None,
            )
        )


class Attempts:
    def __init__(
        self, pool: HostPool, clock: Clock, timers: Timers, roster: Roster, owner: Owner, say
    ) -> None:
        self.pool, self.clock, self.timers, self.roster = pool, clock, timers, roster
        self.owner, self.say = owner, say
        self.sparingly = RateLimitedLog(say, clock, SUCCEEDED_MOST)
        self.outcomes: Counter[str] = Counter()  # of attempts that are over
        self.refusals: Counter[str] = Counter()  # of attempts not begun after all, by reason

    def begin(self, order: Order, index: int, host: int, place: Place, limit: int, over: bool) -> Attempt:
        """What ends at once is told to the owner after this has returned: the owner is at an event now."""
        attempt = Attempt(self, order, index, host, place, self.clock.now(), limit)
        if over:
            attempt.stop(interface.UNSENT)
        else:
            attempt.timer = self.timers.set(limit, attempt.expire)
            attempt.begin()
        return attempt

    @staticmethod
    def outcome(attempt: Attempt, found: Message | Fault | Malformed | None) -> str:
        written = attempt.stage >= Stage.WRITTEN
        if isinstance(found, Message):
            return hosts.outcome(found, written)
        if attempt.stopped is not None and written:
            return attempt.stopped
        if attempt.stopped is not None or attempt.stage == Stage.UNTRIED:
            return interface.UNSENT
        if isinstance(found, Malformed) and written:
            # guards against taking a host that answers, if badly, for one that is gone
            return interface.ERROR
        return (
            interface.RESET
            if written
            else interface.DROPPED
            if attempt.stage == Stage.WRITING
            else interface.UNREACHABLE
        )
