"""Discovery's watch: one connection, one call after the other, every answer to the owner in order."""
import asyncio
from contextlib import contextmanager

from ..protocol import catalogue
from ..protocol.http1 import Message, Parser
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, Fault, Stage
from ..transport.descriptors import Descriptors
from ..transport.timers import Timers
from .owner import Listed, ListLost, Owner

ANSWER_MOST = 2.0       # seconds past the time asked for: discovery may vanish without a word, and what it
                        # has to tell counts as told by then
TRIES = 4               # calls at a new address before it counts as failed
PAUSE = 0.1             # seconds after an answer with nothing in it: guards against a discovery that answers
                        # at once; a watch goes on as long as the next call comes within 0.2 s


class Watch:
    def __init__(self, address: tuple[str, int], wait: float, version: int, owner: Owner, buffers: BufferPool,
                 descriptors: Descriptors, timers: Timers, say) -> None:
        self.address, self.wait, self.version = address, wait, version
        self.owner, self.buffers, self.descriptors, self.say = owner, buffers, descriptors, say
        self.timers = timers
        self.task: asyncio.Task | None = None
        self.told = False       # whether this watch has been answered yet
        self.moved = False      # whether discovery is elsewhere and has not answered there yet

    def begin(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def end(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is at another address: the list stays as it is until there is a whole one from there."""
        if address != self.address:
            self.end()
            self.address, self.moved, self.task = address, True, None
            self.begin()

    async def run(self) -> None:
        """Until something fails: the decisions say when to ask again."""
        reason, tries, self.told = "", 1, False
        while not reason:       # a connection that ends between two calls is no failure
            reason = await self.once()
            if reason and self.moved and tries < TRIES:
                # guards against one call lost after a move: its news counts as told soon after
                reason, tries = "", tries + 1
                await asyncio.sleep(PAUSE)
        self.say("list lost", reason=reason)
        self.task = None
        self.owner.post(ListLost())

    async def once(self) -> str:
        """One connection, for as long as it lasts, and what went wrong."""
        connection = Connection.towards(self.address, self.buffers, self.descriptors)
        if isinstance(connection, Fault):
            return connection.reason
        try:
            return await self.follow(connection)
        except Exception as fault:      # exceptions stop at the connection
            return repr(fault)
        finally:
            connection.close()

    async def follow(self, connection: Connection) -> str:
        """What went wrong; nothing, if discovery has closed the connection after an answer."""
        up = asyncio.get_running_loop().create_future()
        connection.connect(self.address, up.set_result)
        with self.within(connection, ANSWER_MOST):
            fault = await up
        if fault is not None:
            return fault.reason
        while True:
            with self.within(connection, ANSWER_MOST if self.moved else self.wait + ANSWER_MOST):
                found = await self.call(connection)
            if isinstance(found, Fault):
                return found.reason
            listing = catalogue.read(found.body) if found.status == 200 else None
            if listing is None:
                return f"status {found.status}, no sound list"
            self.version, self.moved = listing.version, False
            if not self.told or listing.lines or listing.complete:
                self.say("list", version=listing.version, complete=listing.complete, lines=len(listing.lines))
                self.owner.post(Listed(listing, answered=True))
            else:
                await asyncio.sleep(PAUSE)
            self.told = True
            if not found.keep:
                return ""

    async def call(self, connection: Connection) -> Message | Fault:
        answer = Parser(responses=True, body_most=catalogue.BODY_MOST)
        # guards against versions counted differently there: after a move the whole list first
        version = None if self.moved else self.version
        call = catalogue.call(f"{self.address[0]}:{self.address[1]}", version, int(self.wait * 1000))
        over = asyncio.get_running_loop().create_future()
        if connection.closed:
            return Fault(Stage.WRITING, "ended between two calls")

        def took(part, _) -> None:
            answer.feed(part)
            if answer.found is not None and not over.done():
                over.set_result(None)

        def ended(fault: Fault) -> None:
            answer.end()
            if not over.done():
                over.set_result(None if answer.found is not None else fault)
        connection.follow(took, ended)
        if not over.done():
            connection.write((call,))
        fault = await over
        if fault is not None:
            return fault
        if not isinstance(answer.found, Message) or not answer.found.delimited:
            return Fault(Stage.ANSWERING, "no HTTP answer")
        return answer.found

    @contextmanager
    def within(self, connection: Connection, seconds: float):
        """What is waited for inside ends with the connection, if it takes longer."""
        ticks, why = int(seconds * self.timers.second), f"not within {seconds:g} s"
        late = self.timers.set(ticks, connection.fail, why)
        try:
            yield
        finally:
            self.timers.cancel(late)
