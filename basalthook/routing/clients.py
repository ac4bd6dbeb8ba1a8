"""The application's connections: a transaction read whole, handed to the owner, answered once."""

import asyncio
from collections import Counter

from ..bodies.room import STEP, Room
from ..protocol import application, http1
from ..protocol.application import Asked
from ..protocol.http1 import Malformed, Message, Parser
from ..recovery.door import Door
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, Fault
from ..transport.descriptors import Descriptors
from ..transport.timers import Timers
from .clock import TICK, TICKS, Clock
from .owner import Answer, Arrived, Gone, Order, Overdue, Owner
from .ratelog import RateLimitedLog

STALLED = 2.5  # seconds that a message may take to come in: the first from connecting, others once begun
STUCK = 0.8  # seconds without a byte after which a message has stopped, where places are short
RESTED = 2.0  # seconds that a connection may idle where there are many
PROGRESS = 16 * 1024  # bytes of a body that has to come meanwhile, at least: 64 kB/s is a good client
NO_ROOM = 4.0  # seconds that a long body may wait for memory
TAKE_IN = 10.0  # seconds that a peer may take to read its answer
LINGER = 1.0  # seconds that a peer turned away gets to read why,
LEFT_UNREAD = 1024 * 1024  # and bytes read from it meanwhile: a peer that sends on must not cost more
LEAVE_IDLE = 0.4  # seconds from a drain on until idle connections go: new ones still come for 0.2;
LEAVE_NEW = 1.0  # those without a word stay for so long;
LOOK_AWAY = 0.2  # between two looks at who is there
LOUD = 20  # lines on bad input, and on answers that are no commit, a second; more are counted
# nothing has come yet; a part of a message has; turned away; between two messages; one in hand; the next here
NEW, COMING, LEAVING, IDLE, BUSY, AHEAD = "new", "coming", "leaving", "idle", "busy", "ahead"
NO_END = 2**63  # later than any moment of the clock
OVERDUE = 200  # tenths of a millisecond past the hard limit: nothing should wait that long


class Client:
    """One connection; its state says what its bytes mean and who may close it."""

    __slots__ = (
        "clients",
        "connection",
        "state",
        "parser",
        "since",
        "timer",
        "order",
        "keep",
        "unread",
        "continued",
        "mark",
        "held",
        "body",
        "relay",
        "chunked",
    )

    def __init__(self, clients: "Clients", connection: Connection) -> None:
        self.clients, self.connection, self.state = clients, connection, NEW
        self.parser = Parser(responses=False, wanted=application.WANTED, long=True)
        self.mark = self.held = 0  # bytes of a body at the last look; of memory taken for it
        self.body, self.relay, self.chunked = None, None, False  # a long body as far as it is here
        self.order: Order | None = None
        self.since = clients.clock.now()  # it idles, or is there without a word
        self.keep, self.continued, self.unread = True, False, 0
        self.timer = self.within(STALLED, self.stalled)  # guards against silence too

    def begin(self) -> None:
        self.connection.follow(self.took, self.ended)

    def within(self, seconds: float, call) -> list:
        return self.clients.timers.set(int(seconds * TICKS), call)

    def took(self, part, late: int) -> None:
        try:
            if self.state in (BUSY, AHEAD):  # its next request: read on once this one is answered
                self.parser.rest += part
                self.connection.pause()
            elif self.state == LEAVING:
                self.skim(len(part))
            else:
                self.parse(part, late)
        except Exception as fault:  # exceptions stop at the connection
            self.broke(fault)

    def parse(self, part, late: int) -> None:
        self.parser.feed(part)
        if self.parser.begun is None or self.collect():
            self.look(late)

    def read_on(self) -> None:
        """What came behind the request just answered is the next one."""
        try:
            if self.state == AHEAD and not self.connection.closed:
                self.state = IDLE
                self.parse(b"", 0)
            if (
                self.connection.paused
                and not self.parser.found
                and self.state != LEAVING
                and (self not in self.clients.room.waiting)
            ):
                self.connection.follow(self.took, self.ended)
        except Exception as fault:  # exceptions stop at the connection
            self.broke(fault)

    def broke(self, fault: Exception) -> None:
        self.clients.say("fault", where="client", error=repr(fault))
        self.ended(None)

    def look(self, late: int) -> None:
        found, clients = self.parser.found, self.clients
        if found is None:
            come = len(self.parser.body) + len(self.body or b"")
            if self.state != COMING or self.parser.head and (not self.mark or come - self.mark > PROGRESS):
                # its first byte, its whole head, or a good part of its body
                clients.timers.cancel(self.timer)
                self.timer = self.within(STALLED, self.stalled)
                self.mark = max(1, come) if self.parser.head else 0
            self.state, self.since = COMING, clients.clock.now()
            if self.parser.awaits_body and not self.continued:
                self.continued = True
                self.connection.write((http1.CONTINUE,))
            return
        clients.timers.cancel(self.timer)
        self.timer, self.state, self.keep, self.mark = None, BUSY, True, 0
        if isinstance(found, Message):
            if self.body is not None:
                found, self.body = found._replace(body=self.body), None
            if found.target == application.HEALTH:
                self.keep = found.keep and not clients.drained
                return self.write((clients.health(self.keep),))
            else:
                self.keep = found.keep
                if not clients.door.admit(clients.clock.now(), -(-late // TICK)):
                    return self.not_now()
                found = application.asked(found, clients.profiles)
        if isinstance(found, Malformed):
            return self.turn_away(found)
        self.carry(found, late)

    def collect(self) -> bool:
        """A long body: it needs memory before it is read on. Whether it has that."""
        body, told = self.parser.take_body(), self.parser.begun.length
        if self.body is None:
            self.body = bytearray()
        need = told if told is not None else -(-(len(self.body) + len(body)) // STEP) * STEP
        self.body += body
        return need <= self.held or self.ask_room(need - self.held)

    def ask_room(self, more: int) -> bool:
        room = self.clients.room
        if self.held + more > room.most:
            self.refuse_body(Malformed(413, "body too long for the memory here"))
            return False
        if room.take(more):
            self.held += more
            return True
        self.state = BUSY  # with us: guards against going as one that has stopped
        self.connection.pause()
        self.clients.timers.cancel(self.timer)
        self.timer = self.within(NO_ROOM, self.no_room)
        room.wait(self, more, lambda: self.got_room(more))
        return False

    def got_room(self, more: int) -> None:
        try:
            self.held += more
            self.clients.timers.cancel(self.timer)
            self.timer, self.mark = self.within(STALLED, self.stalled), len(self.body)
            self.state, self.since = COMING, self.clients.clock.now()
            if self.parser.found is not None:
                return self.look(0)
            self.connection.follow(self.took, self.ended)
        except Exception as fault:  # exceptions stop at the connection, not at whoever made room
            self.broke(fault)

    def no_room(self) -> None:
        """Nothing of it has run."""
        self.clients.sparingly("no memory", held=self.clients.room.held)
        self.clients.timers.cancel(self.timer)
        self.timer, self.keep, self.state = None, False, BUSY
        self.free_room()
        self.write((application.rolled_back(min(self.clients.come_back_most, TICKS // 2) / TICKS, False),))

    def refuse_body(self, why: Malformed) -> None:
        self.clients.timers.cancel(self.timer)
        self.timer, self.state = None, BUSY
        self.free_room()
        self.connection.pause()
        self.turn_away(why)

    def free_room(self) -> None:
        """The body is not needed any more."""
        held, self.held, self.body, self.mark = self.held, 0, None, 0
        self.clients.room.withdraw(self)
        if held:
            self.clients.room.give(held)

    def not_now(self) -> None:
        """This process can't keep up: rolled back before it costs more; nothing of it has run."""
        clients, come_back = self.clients, min(self.clients.come_back_most, self.clients.door.come_back())
        clients.sparingly(
            "door",
            share=round(clients.door.share(), 3),
            mean_ms=clients.door.mean / 10,
            turned_away=clients.door.turned_away,
        )
        self.keep = self.keep and clients.stay()
        self.write((application.rolled_back(come_back / TICKS, self.keep),))

    def carry(self, asked: Asked, late: int) -> None:
        clients = self.clients
        if asked.id in clients.ids:  # guards against answering one client with what another asked
            return self.turn_away(Malformed(409, "this Request-Id is open already"))
        clients.ids.add(asked.id)
        came = clients.clock.now() - -(-late // TICK)
        limit = min(came + int(asked.timeout * TICKS), clients.last_answer)
        self.order = order = Order(asked, came, limit, self.answer, self.left)
        self.timer = clients.timers.set(order.hard_limit - clients.clock.now() + OVERDUE, self.overdue)
        clients.owner.post(Arrived(order))

    def settled(self) -> Order:
        """The transaction in hand has its answer, or nobody waits for it."""
        order, self.order = self.order, None
        self.free_room()
        self.clients.ids.discard(order.asked.id)
        self.clients.timers.cancel(self.timer)
        self.timer = None
        return order

    def answer(self, answer: Answer) -> None:
        if self.order is None:  # it has left; the owner is about to be told
            return
        try:
            clients, order = self.clients, self.settled()
            self.keep = self.keep and clients.stay()
            clients.answers[answer.kind] += 1
            if answer.kind != "committed":
                clients.sparingly(
                    "answer",
                    tx=order.asked.id,
                    kind=answer.kind,
                    hops=len(order.attempts),
                    left_ms=(order.hard_limit - clients.clock.now()) / 10,
                    come_back_ms=answer.come_back / 10,
                    reason=answer.reason,
                )
            if answer.relay is not None:
                return self.pass_on(answer, order)
            self.write(clients.worded(answer, order, self.keep))
        except Exception as fault:  # exceptions stop at the connection
            self.broke(fault)

    def pass_on(self, answer: Answer, order: Order) -> None:
        """A host's long answer, as it comes."""
        known, modern = answer.message.length is not None, order.asked.message.minor > 0
        self.chunked = not known and modern
        self.keep = self.keep and (known or modern)
        self.relay = answer.relay
        head = application.committed_long(answer.message, self.keep, self.chunked)
        self.relay.begin(self)
        if self.connection.write((head,), self.relay.go_on):
            self.relay.go_on()

    def piece(self, data) -> bool:
        """Whether the kernel has taken it; else the relay goes on once it has."""
        return self.connection.write(application.chunk(data) if self.chunked else (data,), self.relay.go_on)

    def over(self, whole: bool) -> None:
        """The long answer is all there; or it broke off, and the client has to be able to tell."""
        self.relay = None
        if self.connection.closed:
            return self.clients.drop(self)
        if not whole:
            self.clients.sparingly("cut short")
            self.connection.reset()
            return self.clients.drop(self)
        self.write((application.LAST_CHUNK,) if self.chunked else ())

    def overdue(self) -> None:
        self.clients.owner.post(Overdue(self.order))  # in its turn: the answer may wait before it

    def write(self, parts: tuple[bytes, ...]) -> None:
        """An answer; then the next message, or the end."""
        if self.connection.write(parts, self.written):
            self.written()
        elif not self.connection.closed:
            self.timer = self.within(TAKE_IN, self.ended_for)

    def ended_for(self) -> None:
        self.ended(None)  # the peer does not read; there is nobody to tell

    def written(self) -> None:
        self.clients.timers.cancel(self.timer)
        self.timer = None
        if self.held:  # answered before it reached the owner
            self.free_room()
        if not self.keep:
            if self.connection.paused:  # guards against an answer lost to what its reader wrote meanwhile
                return self.leave()
            return self.clients.drop(self)
        self.parser.again()
        self.continued, self.state = False, AHEAD if self.parser.rest else IDLE
        self.clients.rest(self)
        if self.state == AHEAD or self.connection.paused:
            self.clients.timers.set(0, self.read_on)  # not from here: a hundred in a row would nest

    def turn_away(self, why: Malformed) -> None:
        """Bad input: say so, and give the peer time to read it before the connection ends."""
        self.clients.sparingly("bad input", status=why.status, reason=why.reason)
        self.keep = False
        if self.connection.write((application.told(why.status, why.reason, False),), self.leave):
            self.leave()
        elif not self.connection.closed:
            self.timer = self.within(TAKE_IN, self.ended_for)

    def leave(self) -> None:
        self.clients.timers.cancel(self.timer)
        self.state, self.unread = LEAVING, LEFT_UNREAD
        self.timer = self.within(LINGER, self.ended_for)
        self.connection.end_sending()
        if self.connection.paused:
            self.connection.follow(self.took, self.ended)

    def skim(self, count: int) -> None:
        self.unread -= count
        if self.unread <= 0 and not self.connection.paused:
            self.connection.pause()  # it sends on: no more is read, and it has time to see why
            self.clients.timers.cancel(self.timer)
            self.timer = self.within(LINGER, self.ended_for)

    def stalled(self) -> None:
        """Guards against peers that stop half-way, or never begin, and hold a connection for ever."""
        if self.state == COMING:
            self.connection.write((application.told(408, "stopped half-way", False),))
        self.clients.drop(self)

    def ended(self, _: Fault | None) -> None:
        order, relay = self.order, self.relay
        if order is not None:
            self.settled()
        if relay is not None:
            self.connection.close()
            relay.stop()
        self.clients.drop(self)
        if order is not None:
            self.clients.answers["client gone"] += 1
            self.clients.sparingly(
                "client gone",
                tx=order.asked.id,
                hops=len(order.attempts),
                left_ms=(order.hard_limit - self.clients.clock.now()) / 10,
            )
            self.clients.owner.post(Gone(order))

    def left(self) -> bool:
        """Whether the client has gone: unread bytes may hide its end from who waits for more of them."""
        if self.connection.peer_ended():
            self.ended(None)
            return True
        return False

    def close(self) -> None:
        self.ended(None)


class Clients:
    def __init__(
        self,
        owner: Owner,
        clock: Clock,
        timers: Timers,
        door: Door,
        profiles: dict[str, int],
        buffers: BufferPool,
        descriptors: Descriptors,
        room: Room,
        say,
    ) -> None:
        self.owner, self.clock, self.timers, self.door = owner, clock, timers, door
        self.profiles, self.room, self.say = profiles, room, say
        self.buffers, self.descriptors = buffers, descriptors
        descriptors.givers.append(lambda: self.close_idle(1))
        self.last_answer = NO_END  # once this process ends: the moment of its last answer
        self.ready, self.come_back_most = False, owner.agreed.max_retry_after
        self.sending_away = None  # while drained by the staff: the next look at who is here
        self.sweeping = False
        self.ids: set[str] = set()  # of transactions not yet answered
        self.sparingly = RateLimitedLog(say, clock, LOUD)  # clients may ask again as soon as turned away
        self.answers: Counter[str] = Counter()  # by kind, and clients that went before theirs
        self.open: dict[Client, None] = {}  # longest idle first; emptied as they end
        self.none_left: asyncio.Future | None = None

    def take(self, sock) -> bool:
        """A connection that the machine has accepted may carry something already: it is taken and answered.

        At the limit idle connections go for it, those to hosts first. False: no room for another one.
        """
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:  # it ended before we could look at it
            sock.close()
            return True
        fits = self.make_room()
        client = Client(self, connection)
        self.open[client] = None
        client.begin()
        return self.descriptors.room(self.descriptors.most) and fits

    def make_room(self) -> bool:
        """Guards against peers that connect by hundreds and say nothing, or stop half-way: they go first, no
        host's does. Who writes slowly but goes on is a good client, and goes last."""
        crowd = len(self.open) + 1 - self.descriptors.most_for_clients
        for state, rested in ((COMING, STUCK), (NEW, 0), (LEAVING, 0), (IDLE, STUCK), (COMING, 0), (IDLE, 0)):
            if crowd > 0:
                crowd -= self.close_idle(crowd, (state,), rested)
        return crowd <= 0

    def close_idle(self, most: int | None = None, states: tuple = (IDLE,), rested: float = 0.0) -> int:
        """Close so many of those that carry nothing, the longest idle first; what has bytes to read stays.

        `rested`: only those that have idled for so many seconds.
        """
        idle, until = [], self.clock.now() - int(rested * TICKS)
        for client in self.open:
            if most is not None and len(idle) >= most:
                break
            state = client.state
            if (
                state in states
                and client.since <= until
                and (state in (COMING, LEAVING) or client.connection.quiet())
            ):
                idle.append(client)
        for client in idle:
            client.stalled()
        return len(idle)

    def rest(self, client: Client) -> None:
        del self.open[client]
        self.open[client] = None  # those that idle longest come first
        client.since = self.clock.now()
        if not self.sweeping:
            self.sweeping = True
            self.timers.set(int(RESTED * TICKS), self.sweep)

    def sweep(self) -> None:
        """Guards against clients that ask once and stay: they hold the places of those that want to ask."""
        spare, rested = len(self.open) - self.descriptors.at_ease, []
        until = self.clock.now() - int(RESTED * TICKS)
        if spare > 0:
            rested = [c for c in self.open if c.state == IDLE and c.since <= until and c.connection.quiet()]
        for client in rested[: max(0, spare)]:
            self.drop(client)
        self.sweeping = bool(self.open)
        if self.sweeping:
            self.timers.set(int(RESTED * TICKS / 4), self.sweep)

    def stay(self) -> bool:
        """Whether a connection may stay open behind its answer."""
        return self.ready and not self.drained and len(self.open) <= self.descriptors.at_ease

    def drain(self, drained: bool) -> None:
        """Send clients away, or take them again. Answers close their connections; who idles goes a little
        later, before a request that it might still bring could be in hand for long."""
        self.timers.cancel(self.sending_away)
        self.sending_away = self.timers.set(int(LEAVE_IDLE * TICKS), self.send_away) if drained else None

    @property
    def drained(self) -> bool:
        return self.sending_away is not None

    def send_away(self) -> None:
        now = self.clock.now()
        self.close_idle()
        for client in [c for c in self.open if c.state == NEW and now - c.since > int(LEAVE_NEW * TICKS)]:
            if client.connection.quiet():
                self.drop(client)
        self.sending_away = self.timers.set(int(LOOK_AWAY * TICKS), self.send_away)

    def drop(self, client: Client) -> None:
        self.timers.cancel(client.timer)
        client.timer = None
        client.free_room()
        client.connection.close()
        if self.open.pop(client, self) is None and not self.open and self.none_left is not None:
            self.none_left.cancelled() or self.none_left.done() or self.none_left.set_result(None)

    async def finish(self, seconds: float) -> None:
        """Wait until every transaction taken has been answered, and its connection has ended."""
        if self.open:
            self.none_left = asyncio.get_running_loop().create_future()
            await asyncio.wait({self.none_left}, timeout=seconds)

    def health(self, keep: bool) -> bytes:
        status, text = (
            (503, "not ready") if not self.ready else (503, "drained") if self.drained else (200, "ready")
        )
        return application.told(status, text, keep)

    def worded(self, answer: Answer, order: Order, keep: bool) -> tuple[bytes, ...]:
        if answer.kind == "committed":
            return application.committed(answer.message, keep)
        if answer.kind == "declined":
            return (application.told(answer.message.status, "declined by the host", keep),)
        if answer.kind == "rolled back":
            return (application.rolled_back(answer.come_back / TICKS, keep),)
        return (application.abandoned(self.clock.now() >= order.hard_limit, keep),)
