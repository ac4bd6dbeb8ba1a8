"""One hop: a message to a host and its answer, or how far it had come. From that alone follows what ran."""
import asyncio

from ..policy import interface as i
from ..protocol import hosts
from ..protocol.http1 import Malformed, Message, Parser
from ..transport.connection import Connection, Fault, Stage
from ..transport.hostpool import HostPool
from .clock import TICKS, Clock
from .owner import HopOver, Order, Owner
from .roster import Place, Roster


class Hop:
    def __init__(self, order: Order, index: int, host: int, place: Place, begun: int, limit: int) -> None:
        self.order, self.index, self.host, self.place = order, index, host, place
        self.begun, self.limit = begun, limit           # connecting counts
        self.connection: Connection | None = None       # while it is this hop's alone
        self.stage, self.stopped, self.reused = Stage.UNTRIED, None, False

    def stop(self, outcome: str) -> None:
        """Give it up: the connection is closed, whatever state it is in, and never used again."""
        if self.stopped is None:
            self.stopped = outcome
            if self.connection is not None:
                self.connection.close(f"given up: {outcome}")

    def holds(self, connection: Connection) -> None:
        self.stage, self.connection = Stage.CONNECTING, connection


class Hops:
    def __init__(self, pool: HostPool, clock: Clock, roster: Roster, owner: Owner, answer_most: int,
                 say) -> None:
        self.answer_most = answer_most
        self.pool, self.clock, self.roster, self.owner, self.say = pool, clock, roster, owner, say
        self.tasks: set[asyncio.Task] = set()   # emptied as they end

    def begin(self, order: Order, index: int, host: int, place: Place, limit: int, over: bool) -> Hop:
        hop = Hop(order, index, host, place, self.clock.now(), limit)
        if over:
            hop.stopped = i.UNSENT
        task = asyncio.get_running_loop().create_task(self.run(hop))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return hop

    async def run(self, hop: Hop) -> None:
        late, found, reason = None, None, ""
        try:
            if hop.stopped is None:
                late = asyncio.get_running_loop().call_later(hop.limit / TICKS, hop.stop, i.TIMED_OUT)
                found = await self.exchange(hop)
                reason = "" if found is None or isinstance(found, Message) else found.reason
        except Exception as fault:      # exceptions stop here; how far the hop had come still counts
            self.say("fault", where="hop", error=repr(fault))
            reason = repr(fault)
        if late is not None:
            late.cancel()
        if hop.connection is not None:
            hop.connection.close()
        outcome, message = self.outcome(hop, found), found if isinstance(found, Message) else None
        elapsed = self.clock.now() - hop.begun
        if outcome != i.COMMITTED:
            self.say("hop", tx=hop.order.asked.id, hop=hop.index, host=hop.place.id,
                     outcome=outcome, stage=hop.stage.name.lower(), reused=hop.reused, ms=elapsed / 10,
                     reason=reason, status=message.status if message else None)
        await self.owner.post(HopOver(hop.order, hop.index, hop.host, outcome, elapsed,
                                      message if outcome in (i.COMMITTED, i.DECLINED) else None))

    async def exchange(self, hop: Hop) -> Message | Fault | Malformed | None:
        connection = self.pool.kept_one(hop.place.door)
        if connection is None:
            connection = await self.pool.fresh(hop.place.address, hop.holds)
            if isinstance(connection, Fault):
                hop.stage = max(hop.stage, connection.stage)
                return connection
        else:
            hop.reused, hop.connection = True, connection
        if hop.stopped is not None:
            return None
        if hop.order.closed or not self.roster.ready(hop.host):
            # guards against sending what was answered, or to a host that left, while the connection came up
            hop.stopped, hop.stage = i.UNSENT, Stage.UNTRIED
            self.keep(hop)
            return None
        left = hop.limit - (self.clock.now() - hop.begun)
        hop.stage = Stage.WRITING
        answer, reading = Parser(responses=True, body_most=self.answer_most), connection.reading()
        writing = connection.write(hosts.hop(hop.order.asked.message, max(1, left) / TICKS))
        if not writing.done():
            await asyncio.wait({writing, reading}, return_when=asyncio.FIRST_COMPLETED)
        writing.add_done_callback(lambda done: self.wrote(hop, done))
        self.wrote(hop, writing)
        while answer.found is None:
            fault = await connection.read(answer.feed)
            if answer.started and hop.stage == Stage.WRITTEN:
                hop.stage = Stage.ANSWERING
            if fault is not None:
                answer.end()
                if answer.found is None:
                    return fault._replace(stage=hop.stage)
        found = answer.found
        if isinstance(found, Message) and found.keep and not answer.rest and hop.stage == Stage.ANSWERING:
            self.keep(hop)
        return found

    def keep(self, hop: Hop) -> None:
        """From here on the connection is the pool's: stopping this hop must not close it under another."""
        connection, hop.connection = hop.connection, None
        self.pool.keep(connection, hop.place.door)

    @staticmethod
    def wrote(hop: Hop, writing: asyncio.Future) -> None:
        if writing.done() and not writing.cancelled() and writing.exception() is None and (
                hop.stage == Stage.WRITING):
            hop.stage = Stage.WRITTEN

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
            return i.ERROR      # guards against taking a host that answers, if badly, for one that is gone
        return i.RESET if written else i.DROPPED if hop.stage == Stage.WRITING else i.UNREACHABLE
