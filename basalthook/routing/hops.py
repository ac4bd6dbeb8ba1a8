"""One hop: a message to a host and its answer, or how far it had come. From that alone follows what ran."""

from collections import Counter

from ..bodies.relay import Relay
from ..policy import interface as i
from ..protocol import hosts
from ..protocol.http1 import Malformed, Message, Parser
from ..transport.connection import ENDED, Connection, Fault, Stage
from ..transport.hostpool import HostPool
from ..transport.timers import Timers
from .clock import TICK, TICKS, Clock
from .owner import HopOver, Order, Owner
from .ratelog import RateLimitedLog
from .roster import Place, Roster

# bytes of an answer of no told length that are kept whole: a slow host's first ones may not wait for the rest
OPEN_MOST = 4 * 1024
SUCCEEDED_MOST = 50  # lines a second on attempts that succeeded


class Hop:
    """Driven by its connection and its timer; over once, whatever ends it."""

    __slots__ = (
        "hops",
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
        self, hops: "Hops", order: Order, index: int, host: int, place: Place, begun: int, limit: int
    ) -> None:
        self.hops, self.order, self.index, self.host, self.place = hops, order, index, host, place
        self.begun, self.limit = begun, limit  # connecting counts
        self.connection: Connection | None = None  # while it is this hop's alone
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
        self.stop(i.TIMED_OUT)

    def begin(self) -> None:
        connection = self.hops.pool.kept_one(self.place.door)
        if connection is not None:
            self.reused, self.connection = True, connection
            return self.send()
        connection = self.hops.pool.fresh(self.place.address, self.up)
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
        hops, connection = self.hops, self.connection
        refusal = hops.owner.refusal(self.order, self.host)  # what was decided may have changed meanwhile
        if refusal is not None:
            hops.refusals[refusal] += 1
        if self.over:  # its client was just seen to have left
            return
        if refusal is not None:
            self.refusal = refusal
            self.stopped, self.stage = i.UNSENT, Stage.UNTRIED
            self.keep()
            return self.finish(None)
        self.stage = Stage.WRITING
        self.answer = Parser(responses=True, wanted=hosts.WANTED, long=True, open_most=OPEN_MOST)
        left = self.limit - (hops.clock.now() - self.begun)
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
        except Exception as fault:  # exceptions stop here; how far the hop had come still counts
            self.hops.say("fault", where="hop", error=repr(fault))
            self.finish(Fault(self.stage, repr(fault)))

    def ended(self, fault: Fault) -> None:
        # guards against passing on as whole what a reset cut short
        if fault.reason == ENDED:
            self.answer.end()
        self.finish(self.answer.found or fault)

    def pass_on(self, begun: Message, late: int) -> None:
        """A long answer has begun. It is this transaction's last word, and goes on without this hop."""
        if begun.status != 200 or self.stage != Stage.ANSWERING:
            return self.finish(begun._replace(keep=False), late)  # its status is all that counts
        self.over, hops, pool = True, self.hops, self.hops.pool
        hops.timers.cancel(self.timer)
        connection, self.connection, door = self.connection, None, self.place.door
        late += connection.noticed_late // TICK if not self.reused else 0
        relay = Relay(connection, self.answer, hops.timers, lambda kept: pool.keep(kept, door))
        elapsed = max(0, hops.clock.now() - late - self.begun)
        hops.outcomes[i.COMMITTED] += 1
        hops.owner.post(HopOver(self.order, self.index, self.host, i.COMMITTED, elapsed, late, begun, relay))
        if relay.client is None:  # nobody waits for it
            relay.stop()

    def keep(self) -> None:
        """From here on the connection is the pool's: stopping this hop must not close it under another."""
        connection, self.connection = self.connection, None
        self.hops.pool.keep(connection, self.place.door)

    def finish(self, found: Message | Fault | Malformed | None, late: int = 0) -> None:
        """`late`: ticks that the answer had lain here unread; they are ours, not the host's."""
        if self.over:
            return
        self.over = True
        hops, connection = self.hops, self.connection
        hops.timers.cancel(self.timer)
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
        outcome, message = hops.outcome(self, found), found if isinstance(found, Message) else None
        elapsed = max(0, hops.clock.now() - late - self.begun)
        hops.outcomes[outcome] += 1
        if outcome == i.COMMITTED:
            hops.sparingly(
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
            hops.say(
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
        hops.owner.post(
            HopOver(
                self.order,
                self.index,
                self.host,
                outcome,
                elapsed,
                late,
                message if outcome in (i.COMMITTED, i.DECLINED) else None,
            )
        )


class Hops:
    def __init__(
        self, pool: HostPool, clock: Clock, timers: Timers, roster: Roster, owner: Owner, say
    ) -> None:
        self.pool, self.clock, self.timers, self.roster = pool, clock, timers, roster
        self.owner, self.say = owner, say
        self.sparingly = RateLimitedLog(say, clock, SUCCEEDED_MOST)
        self.outcomes: Counter[str] = Counter()  # of attempts that are over
        self.refusals: Counter[str] = Counter()  # of attempts not begun after all, by reason

    def begin(self, order: Order, index: int, host: int, place: Place, limit: int, over: bool) -> Hop:
        """What ends at once is told to the owner after this has returned: the owner is at an event now."""
        hop = Hop(self, order, index, host, place, self.clock.now(), limit)
        if over:
            hop.stop(i.UNSENT)
        else:
            hop.timer = self.timers.set(limit, hop.expire)
            hop.begin()
        return hop

    @staticmethod
    def outcome(hop: Hop, found: Message | Fault | Malformed | None) -> str:
        written = hop.stage >= Stage.WRITTEN
        if isinstance(found, Message):
            return hosts.outcome(found, written)
        if hop.stopped is not None and written:
            return hop.stopped
        if hop.stopped is not None or hop.stage == Stage.UNTRIED:
            return i.UNSENT
        if isinstance(found, Malformed) and written:
            return i.ERROR  # guards against taking a host that answers, if badly, for one that is gone
        return i.RESET if written else i.DROPPED if hop.stage == Stage.WRITING else i.UNREACHABLE
