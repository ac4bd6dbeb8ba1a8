"""Discovery's watch: one call after the other on one connection, and others beside it while it is silent."""

import asyncio
from contextlib import contextmanager

from ..protocol import catalogue
from ..protocol.http1 import Message, Parser
from ..recovery.discovery_schedule import CALL_TIMEOUT, MAX_PARALLEL_CALLS, DiscoverySchedule
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, Fault, Stage
from ..transport.descriptors import Descriptors
from ..transport.timers import Timers
from .owner import Listed, Owner

PAUSE = 0.1  # seconds after an answer with nothing newer in it: guards against a discovery that
# answers at once; a watch goes on as long as the next call comes within 0.2 s
GAP = 0.005  # after one with news: guards against versions without end


class Watch:
    """Follows the list until it is ended; every answer goes to the owner, in order."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        following: DiscoverySchedule,
        owner: Owner,
        buffers: BufferPool,
        descriptors: Descriptors,
        timers: Timers,
        log,
    ) -> None:
        self.address, self.version, self.following = address, version, following
        self.owner, self.buffers, self.descriptors, self.log = owner, buffers, descriptors, log
        self.timers = timers
        self.calls: list[asyncio.Task] = []  # newest last; at most MAX_PARALLEL_CALLS, emptied as they fail
        self.retry_timer = None  # the timer of the next try, while there is no call
        self.whole = False  # whether the whole list comes first: versions may be counted differently
        self.reasons: list[str] = []  # of the calls that have failed since the last answer
        self.calls_begun = 0  # calls since the start: numbers them in the log
        self.answered_at = timers.now()  # of the last sound answer, or of the start
        self.on_contact = lambda: None  # told once, at the first answer or failure

    def age(self) -> float:
        """Seconds since discovery last answered, or since the start."""
        return (self.timers.now() - self.answered_at) / self.timers.second

    def begin(self, at_once: bool = False) -> None:
        if not self.calls and self.retry_timer is None:
            self.following.on_start()
            delay = 0 if at_once else self.following.initial_delay()
            self.retry_timer = self.timers.set(delay, self.start_call, at_once or self.following.pushed)

    def end(self) -> None:
        self.timers.cancel(self.retry_timer)
        self.retry_timer = None
        for call in self.calls:
            call.cancel()
        self.calls = []

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is, or still is, at this address: the list stays as it is until there is a whole one from
        another one; a call that only waits for its time is made at once."""
        if address == self.address and self.retry_timer is None:
            return
        if address != self.address:
            self.log(
                "list moved",
                old=list(self.address),
                new=list(address),
                cancelled=len(self.calls),
                waiting=self.retry_timer is not None,
            )
            self.address, self.whole = address, True
        self.end()
        self.following.on_move()
        self.start_call(False)

    def start_call(self, at_once: bool) -> None:
        """One more connection. `at_once`: it first asks only what has changed."""
        self.retry_timer = None
        call = asyncio.get_running_loop().create_task(self.run(at_once))
        self.calls.append(call)

    def add_call(self, call: asyncio.Task) -> None:
        """That call has had no answer: guards against waiting for a silent one until its news counts."""
        if self.calls and self.calls[-1] is call and len(self.calls) < MAX_PARALLEL_CALLS:
            self.log("list late", calls=len(self.calls))
            self.following.on_silence()
            self.start_call(True)

    async def run(self, at_once: bool) -> None:
        me, reason = asyncio.current_task(), ""
        while not reason:  # a connection that ends between two calls is no failure
            reason = await self.run_connection(me, at_once)
            at_once = False
        self.calls.remove(me)
        self.reasons.append(reason)
        turned_away = all(r.startswith("status") for r in self.reasons)
        if self.calls:  # one of the others may still be answered
            delay = self.following.hedge_delay_after_failure(len(self.calls), len(self.reasons), turned_away)
            self.timers.set(delay, self.add_call, self.calls[-1])
            return self.log("list call failed", reason=reason, others=len(self.calls))
        wait = self.following.retry_delay(turned_away)
        self.log(
            "list lost",
            reason="; ".join(dict.fromkeys(self.reasons)),
            again_ms=wait * 1000 // self.timers.second,
            failures=self.following.failures,
            urgent=self.following.urgent,
            to=list(self.address),
        )
        self.reasons = []
        self.retry_timer = self.timers.set(wait, self.start_call, self.following.pushed)
        self.contacted()

    def contacted(self) -> None:
        on_contact, self.on_contact = self.on_contact, lambda: None
        on_contact()

    async def run_connection(self, me: asyncio.Task, at_once: bool) -> str:
        """One connection, for as long as it lasts, and what went wrong."""
        connection = Connection.towards(self.address, self.buffers, self.descriptors)
        if isinstance(connection, Fault):
            return connection.reason
        try:
            return await self.follow(connection, me, at_once)
        except Exception as fault:  # exceptions stop at the connection
            return repr(fault)
        finally:
            connection.close()

    async def follow(self, connection: Connection, me: asyncio.Task, at_once: bool) -> str:
        """What went wrong; nothing, if discovery has closed the connection after an answer."""
        up = asyncio.get_running_loop().create_future()
        late = self.following.hedge_delay(len(self.calls), at_once)
        connection.connect(self.address, up.set_result)
        with self.bounded(connection, 0, late, me):
            fault = await up
        if fault is not None:
            return fault.reason
        while True:
            whole = self.whole
            wait = 0 if at_once or whole else self.following.watch_wait()
            with self.bounded(connection, wait, late, me):
                found = await self.call(connection, wait)
            if isinstance(found, Fault):
                return found.reason
            listing = catalogue.read(found.body) if found.status == 200 else None
            if listing is None:
                return (
                    f"status {found.status}, no sound list"
                    if found.status == 200
                    else (f"status {found.status}")
                )
            if whole and not listing.complete:
                return "changes in place of the whole list"
            await self.take_answer(listing, me, at_once)
            at_once, late = False, self.following.hedge_delay(1)
            if not found.keep:
                return ""

    async def take_answer(self, listing: catalogue.Listing, me: asyncio.Task, at_once: bool) -> None:
        """The first answer of any call counts, and its connection is the watch from here on."""
        others = [call for call in self.calls if call is not me]
        for call in others:
            call.cancel()
        if others:
            self.log("list calls cancelled", count=len(others), reason="another was answered first")
        self.calls, self.reasons, self.answered_at = [me], [], self.timers.now()
        self.following.on_answer()
        if listing.version < self.version and not self.whole:
            # guards against a discovery that counts anew: it would be asked for what it never reaches, and
            # what it has changed would be taken for changes of another list
            self.whole = True
            self.log("list behind", version=listing.version, ours=self.version)
            return
        newer, self.version, self.whole = listing.version != self.version, listing.version, False
        if newer or listing.lines or listing.complete:
            doubled = {"doubled": listing.doubled} if listing.doubled else {}
            self.log(
                "list",
                version=listing.version,
                complete=listing.complete,
                lines=len(listing.lines),
                **doubled,
            )
            self.owner.post(Listed(listing, answered=True))
        else:
            self.log("list unchanged", version=listing.version)
        self.contacted()
        if not at_once:
            await asyncio.sleep(GAP if newer else PAUSE)

    async def call(self, connection: Connection, wait: int) -> Message | Fault:
        answer = Parser(responses=True, body_most=catalogue.BODY_MOST)
        version = None if self.whole else self.version
        call = catalogue.call(
            f"{self.address[0]}:{self.address[1]}", version, wait * 1000 // self.timers.second
        )
        over = asyncio.get_running_loop().create_future()
        self.calls_begun += 1
        self.log(
            "list call",
            number=self.calls_begun,
            to=list(self.address),
            version=version,
            wait_ms=wait * 1000 // self.timers.second,
            reused=bool(connection.took),
        )
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
    def bounded(self, connection: Connection, wait: int, late: int, me: asyncio.Task):
        """What is waited for inside gets a call beside it if it is late, and ends with the connection."""
        why = f"not within {(wait + CALL_TIMEOUT) / self.timers.second:g} s"
        due = (
            self.timers.set(wait + late, self.add_call, me),
            self.timers.set(wait + CALL_TIMEOUT, connection.fail, why),
        )
        try:
            yield
        finally:
            for timer in due:
                self.timers.cancel(timer)
