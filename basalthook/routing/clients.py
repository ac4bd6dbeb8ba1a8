"""The application's connections: a transaction read whole, handed to the owner, answered once."""
import asyncio

from ..protocol import application, http1
from ..protocol.application import Asked
from ..protocol.http1 import Malformed, Message, Parser
from ..transport.buffers import BufferPool
from ..transport.connection import Connection
from ..transport.descriptors import Descriptors
from .clock import TICKS, Clock
from .owner import Answer, Arrived, Gone, Order, Owner

STALLED = 2.5       # seconds that a message may take to come in: the first from connecting, others once begun
RESTED = 2.0        # seconds that a connection may idle where there are many
TAKE_IN = 10.0      # seconds that a peer may take to read its answer
LINGER = 1.0        # seconds that a peer turned away gets to read why,
LEFT_UNREAD = 1024 * 1024   # and bytes read from it meanwhile: a peer that sends on must not cost more
LOUD = 20           # lines on bad input, and on answers that are no commit, a second; more are counted
# nothing has come yet; a part of a message has; turned away; between two messages; one is in hand
NEW, COMING, LEAVING, IDLE, BUSY = "new", "coming", "leaving", "idle", "busy"
OVERDUE = 200       # tenths of a millisecond past the hard limit: nothing should wait that long


class Clients:
    def __init__(self, owner: Owner, clock: Clock, profiles: dict[str, int], buffers: BufferPool,
                 descriptors: Descriptors, say) -> None:
        self.owner, self.clock, self.profiles, self.say = owner, clock, profiles, say
        self.buffers, self.descriptors = buffers, descriptors
        descriptors.givers.append(lambda: self.close_idle(1))
        self.ready = False
        self.since: dict[Connection, float] = {}    # idle since; emptied with `open`
        self.sweeping: asyncio.TimerHandle | None = None
        self.ids: set[str] = set()                  # of transactions not yet answered
        self.loud: dict[str, list] = {}     # event -> second, lines said in it, and left out since
        self.open: dict[Connection, str] = {}       # -> one of these; emptied as they end
        self.tasks: set[asyncio.Task] = set()

    def take(self, sock) -> bool:
        """A connection that the machine has accepted may carry something already: it is taken and answered.

        At the limit idle connections go for it, those to hosts first. False: no room for another one.
        """
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:         # it ended before we could look at it
            sock.close()
            return True
        fits = self.make_room()
        self.open[connection] = NEW
        task = asyncio.get_running_loop().create_task(self.serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return self.descriptors.room(self.descriptors.most) and fits

    def make_room(self) -> bool:
        """Guards against peers that connect by hundreds and say nothing: they go first, no host's does."""
        crowd = len(self.open) + 1 - self.descriptors.most_for_clients
        for state in (NEW, COMING, LEAVING, IDLE):
            if crowd > 0:
                crowd -= self.close_idle(crowd, (state,))
        return crowd <= 0

    def close_idle(self, most: int | None = None, states: tuple = (IDLE,)) -> int:
        """Close so many of those that carry nothing, the longest idle first; what has bytes to read stays."""
        idle = []
        for connection, state in self.open.items():
            if most is not None and len(idle) >= most:
                break
            if state in states and (state in (COMING, LEAVING) or connection.quiet()):
                idle.append(connection)
        for connection in idle:
            self.stalled(connection)
            del self.open[connection]
        return len(idle)

    def sweep(self) -> None:
        """Guards against clients that ask once and stay: they hold the places of those that want to ask."""
        self.sweeping = None
        now, spare = asyncio.get_running_loop().time(), len(self.open) - self.descriptors.at_ease
        rested = [c for c, state in self.open.items()
                  if state == IDLE and now - self.since[c] >= RESTED and c.quiet()]
        for connection in rested[:max(0, spare)]:
            del self.open[connection]
            connection.close("idle for long")
        if self.since:
            self.sweeping = asyncio.get_running_loop().call_later(RESTED / 4, self.sweep)

    async def finish(self, seconds: float) -> None:
        """Wait until every transaction taken has been answered."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=seconds)

    def within_time(self, connection: Connection) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(STALLED, self.stalled, connection)

    async def serve(self, connection: Connection) -> None:
        late = self.within_time(connection)     # guards against silence too
        try:
            parser = Parser(responses=False)
            while await self.one(connection, parser, late):
                late = None
                parser.again()
                self.open.pop(connection, None)
                self.open[connection] = IDLE        # those that idle longest come first
                self.since[connection] = asyncio.get_running_loop().time()
                if self.sweeping is None:
                    self.sweeping = asyncio.get_running_loop().call_later(RESTED, self.sweep)
        except Exception as fault:      # exceptions stop at the connection
            self.say("fault", where="client", error=repr(fault))
        finally:
            connection.close()
            self.open.pop(connection, None)
            self.since.pop(connection, None)

    async def one(self, connection: Connection, parser: Parser, late: asyncio.TimerHandle | None) -> bool:
        """Read and answer one message; whether another may follow on this connection."""
        try:
            while parser.found is None:
                if parser.awaits_body and not await self.write(connection, http1.CONTINUE, True):
                    return False
                if await connection.read(parser.feed) is not None:
                    return False
                self.open[connection] = COMING if parser.found is None else BUSY
                late = late or self.within_time(connection)
        finally:
            if late is not None:
                late.cancel()
        found = parser.found
        if isinstance(found, Message) and parser.rest:
            found = Malformed(400, "bytes after the message")
        if isinstance(found, Message):
            if found.target == application.HEALTH:
                return await self.write(connection, *self.health(found))
            found = application.asked(found, self.profiles)
        if isinstance(found, Malformed):
            return await self.turn_away(connection, found)
        return await self.carry(connection, found)

    def health(self, message: Message) -> tuple[bytes, bool]:
        return application.told(200 if self.ready else 503, "ready" if self.ready else "not ready",
                                message.keep), message.keep

    async def carry(self, connection: Connection, asked: Asked) -> bool:
        if asked.id in self.ids:        # guards against answering one client with what another asked
            return await self.turn_away(connection, Malformed(409, "this Request-Id is open already"))
        self.ids.add(asked.id)
        try:
            return await self.follow(connection, asked)
        finally:
            self.ids.discard(asked.id)

    async def follow(self, connection: Connection, asked: Asked) -> bool:
        order = Order(asked, self.clock.now() + int(asked.timeout * TICKS))
        await self.owner.post(Arrived(order))
        keep, watched = asked.message.keep, {order.answer, connection.reading()}
        left = (order.hard_limit - self.clock.now() + OVERDUE) / TICKS
        await asyncio.wait(watched, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        if not order.answer.done() and connection.reading().done():
            keep = False
            if await connection.read(lambda _: None) is not None:
                await self.owner.post(Gone(order))
                return False
            left = (order.hard_limit - self.clock.now() + OVERDUE) / TICKS      # it wrote out of turn
            await asyncio.wait({order.answer}, timeout=left)
        if not order.answer.done():
            self.say("fault", where="owner", error="no answer in time")
            await self.owner.post(Gone(order))
            return await self.write(connection, application.abandoned(True, False), False)
        answer = order.answer.result()
        keep = keep and self.ready and len(self.open) <= self.descriptors.at_ease
        if answer.kind != "committed":
            self.sparingly("answer", tx=asked.id, kind=answer.kind, hops=len(order.hops),
                     left_ms=(order.hard_limit - self.clock.now()) / 10, come_back_ms=answer.come_back / 10)
        return await self.write(connection, self.worded(answer, order, keep), keep)

    def worded(self, answer: Answer, order: Order, keep: bool) -> bytes:
        if answer.kind == "committed":
            return application.committed(answer.message, keep)
        if answer.kind == "declined":
            return application.told(answer.message.status, "declined by the host", keep)
        if answer.kind == "rolled back":
            return application.rolled_back(answer.come_back / TICKS, keep)
        return application.abandoned(self.clock.now() >= order.hard_limit, keep)

    async def write(self, connection: Connection, data: bytes, keep: bool) -> bool:
        try:
            with connection.within(TAKE_IN):
                await connection.write(data)
        except OSError:         # the peer went, or does not read; there is nobody to tell
            return False
        return keep

    async def turn_away(self, connection: Connection, why: Malformed) -> bool:
        """Bad input: say so, and give the peer time to read it before the connection ends."""
        self.sparingly("bad input", status=why.status, reason=why.reason)
        if await self.write(connection, application.told(why.status, why.reason, False), True):
            self.open[connection] = LEAVING
            connection.end_sending()
            unread = [LEFT_UNREAD]

            def skim(part) -> None:
                unread[0] -= len(part)
            with connection.within(LINGER):
                while await connection.read(skim) is None and unread[0] > 0:
                    pass
                if not connection.closed:       # it sends on: no more is read, and it has time to see why
                    await asyncio.sleep(LINGER)
        return False

    def sparingly(self, event: str, **fields) -> None:
        """Guards against a log, and its CPU, taken up by those who ask again as soon as turned away."""
        second, loud = self.clock.now() // TICKS, self.loud.setdefault(event, [0, 0, 0])
        if second != loud[0]:
            loud[:2] = second, 0
        if loud[1] < LOUD:
            self.say(event, unsaid=loud[2], **fields)
            loud[1:] = loud[1] + 1, 0
        else:
            loud[2] += 1

    def stalled(self, connection: Connection) -> None:
        """Guards against peers that stop half-way, or never begin, and hold a connection for ever."""
        if self.open.get(connection) == COMING:
            connection.write(application.told(408, "stopped half-way", False))
        connection.close(f"not whole within {STALLED:g} s")
