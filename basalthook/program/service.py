"""The running client proxy: its parts put together, its start, its end."""

import asyncio
import gc
import signal
from random import Random

from ..bodies.room import Room
from ..console.callers import PLACES, Callers
from ..handover.handover import Handover, Here
from ..handover.inherited import NotOurs, listening
from ..handover.neighbours import Neighbours
from ..recovery.door import Door
from ..recovery.following import SILENT, Following
from ..routing.attempts import Attempts
from ..routing.clients import IDLE, NEW, Clients
from ..routing.clock import TICKS, Clock
from ..routing.owner import Owner
from ..routing.roster import Roster
from ..routing.staff import Staff
from ..routing.starts import Starts
from ..routing.watch import Watch
from ..transport.buffers import BufferPool
from ..transport.descriptors import Descriptors
from ..transport.hostpool import HostPool
from ..transport.listener import Listener
from ..transport.timers import Timers
from ..transport.turns import Turns
from .figures import Figures
from .log import Log
from .reload import EarlyHangup, Reload
from .startup import BadStart, StartUp

BUFFER = 16 * 1024
BUFFERS_KEPT = 128
ACCEPT_ON = 0.6  # seconds after SIGTERM: new connections still come for up to 0.4 s
AT_START_ONLY = ("listen", "console", "inherited", "folder", "agreed", "profiles", "fleet")
DOOR = 0xD008  # sets the door's chance apart from the decisions', which must not follow it
KILL_AFTER = 0.7  # seconds after SIGTERM, beyond the longest deadline: SIGKILL comes no sooner
ANSWERED_BEFORE = 0.2  # seconds before it by which all is answered: SIGTERM may have been noticed late
RESTED = 0.3  # seconds without a request after which the next one is not just being sent
READ_ON = 0.1  # seconds for what the last of them carry


class Service:
    def __init__(
        self,
        told: StartUp,
        log: Log,
        reread=None,
        turns: Turns | None = None,
        early: EarlyHangup | None = None,
    ) -> None:
        """`turns`: of the loop this runs on; without them it can't tell its own lateness from silence."""
        self.told, self.log, self.early, self.ending = told, log, early, asyncio.Event()
        self.handover: Handover | None = None
        self.clock = clock = Clock()
        roster = Roster(told.agreed.use_unlisted, Starts(clock.now))
        self.timers = timers = Timers(clock.now, TICKS)
        self.reload = Reload(reread, self.take, timers, log.say)
        buffers, descriptors = BufferPool(BUFFER, BUFFERS_KEPT), Descriptors(self.sockets(told))
        self.descriptors = descriptors
        self.owner = Owner(
            told.agreed, told.seed, clock, timers, roster, turns.behind if turns else lambda: 0, log.say
        )
        urgent: set[int] = set()
        if turns:
            turns.first, turns.urgent = descriptors.outgoing, urgent
        door = Door(min(p.service_goal for p in told.agreed.profiles), Random(told.seed ^ DOOR))
        self.pool = HostPool(buffers, descriptors, timers, told.idle_seconds, told.connect_seconds)
        self.attempts = Attempts(self.pool, clock, timers, roster, self.owner, log.say)
        following = Following(told.agreed, self.owner.proxy.rng)
        self.watch = Watch(
            told.discovery, told.known.version, following, self.owner, buffers, descriptors, timers, log.say
        )
        self.owner.begin_attempt = self.attempts.begin
        roster.left = self.pool.close_idle
        self.clients = Clients(
            self.owner,
            clock,
            timers,
            door,
            told.profiles,
            buffers,
            descriptors,
            Room(told.bodies_most),
            log.say,
        )
        self.figures = Figures(self.owner, self.clients, self.attempts, self.watch, timers, log.say)
        self.staff = Staff(self.owner, roster, self.clients, clock, log.say)
        self.callers = Callers(self.staff.carry_out, timers, buffers, urgent, log.say)
        self.console: Listener | None = None
        self.listener: Listener | None = None
        self.together = None
        if told.fleet is not None:  # loaded only here
            from .together import Together

            self.together = self.staff.fleet = Together(
                told.fleet,
                told.name,
                told.agreed,
                told.fleet.bounds(told.profiles),
                told.longest_patience,
                told.seed,
                self.owner,
                clock,
                timers,
                bool(told.folder),
                log.say,
            )
        if told.folder:
            names = [name for name, _ in sorted(told.profiles.items(), key=lambda each: each[1])]
            self.handover = Handover(
                Neighbours(told.folder, told.name),
                self.owner,
                self.clients,
                self.watch,
                timers,
                clock,
                names,
                told.agreed.overload_time,
                Here(self.accept, self.share),
                log.say,
            )
            self.staff.keep = self.handover.keep_orders

    def sockets(self, told: StartUp) -> int:
        """Descriptors for all but the staff, who have a few of their own; half while two processes live."""
        shared = self.handover is not None and self.handover.other
        return (told.sockets // 2 if shared else told.sockets) - (PLACES + 1 if told.console else 0)

    def accept(self, on: bool) -> None:
        """Whether new connections are taken from the backlog that another process shares. Who takes none is
        no member any more: its successor is, under the same name."""
        if self.together is not None:
            self.together.begin() if on else self.together.close()
        if self.listener is not None:
            self.listener.resume() if on else self.listener.pause()

    def share(self) -> None:
        self.descriptors.bound(self.sockets(self.told))

    async def run(self) -> None:
        """From start to SIGTERM, or SIGINT; a second one changes nothing."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.ending.set)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload.hangup)
        listener = self.begin()
        if self.early is not None and self.early.came:
            self.reload.hangup()
        gc.collect()
        gc.freeze()  # what is here stays; looking at it again stopped everything for 4 ms
        await self.ending.wait()
        await self.end(listener)
        self.ignore_signals()

    @staticmethod
    def ignore_signals() -> None:
        """All is answered. The loop would leave each with its default action, which ends the process."""
        handled = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        signal.pthread_sigmask(signal.SIG_BLOCK, handled)
        for number in handled:
            asyncio.get_running_loop().remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)

    def begin(self) -> Listener:
        """Ready only once the hosts are known to the decisions and the address is ours."""
        known, learned = self.told.known, None
        if self.handover is not None:
            known, learned = self.handover.arrive(known)
            self.watch.version = known.version
        self.owner.start(known)
        if self.handover is not None:
            self.handover.take_over(learned)
        if self.told.console:
            self.console = self.listen(self.told.console, self.callers.take)
            self.callers.urgent.add(self.console.socket.fileno())
            self.console.open()
        inherited = None
        if self.told.inherited:
            try:
                inherited = listening(self.told.inherited, self.told.listen)
            except NotOurs as fault:
                raise BadStart(f"RELAY_FD: {fault}") from None
        self.listener = listener = self.listen(self.told.listen, self.clients.take, inherited)
        listener.open()
        # guards against a successor to whom news counts as told before it has asked
        self.watch.begin(at_once=self.handover is not None and self.handover.other)
        self.figures.begin()
        if self.together is not None:
            try:
                self.together.begin()
            except OSError as fault:
                where = ":".join(map(str, self.told.fleet.listen))
                raise BadStart(f"cannot talk on {where}: {fault.strerror}") from None
        if self.told.agreed.list_on_request:
            self.say_ready()
        else:  # guards against hosts that left before this process began: their news counts already
            self.watch.on_contact = self.say_ready
            self.timers.set(SILENT, self.say_ready)
        return listener

    def say_ready(self) -> None:
        if self.clients.ready or self.ending.is_set():
            return
        self.clients.ready = True
        if self.handover is not None:
            self.handover.ready()
        self.log.say(
            "ready",
            listen=list(self.listener.address),
            hosts=len(self.owner.roster.places),
            **({"console": list(self.console.address)} if self.console else {}),
        )

    def listen(self, address: tuple[str, int], take, inherited=None) -> Listener:
        try:
            return Listener(address, take, inherited, self.clients.sparingly)
        except OSError as fault:
            where = ":".join(map(str, address))
            raise BadStart(f"cannot listen on {where}: {fault.strerror}") from None

    def take(self, told: StartUp) -> None:
        """A new start-up file, checked whole, is taken over in one step; also while this process ends."""
        kept = {name: getattr(self.told, name) for name in AT_START_ONLY}
        left = [name for name, value in kept.items() if getattr(told, name) != value]
        self.told = told._replace(**kept)
        self.log.name = told.name
        self.descriptors.bound(self.sockets(self.told))
        self.clients.room.most = told.bodies_most
        self.pool.times(told.idle_seconds, told.connect_seconds)
        self.watch.move(told.discovery)
        self.log.say("file taken", discovery=list(told.discovery), needs_restart=left)

    async def end(self, listener: Listener) -> None:
        """Idle connections go at once, while whoever crosses that can come anew; then all is finished."""
        self.log.say(
            "ending",
            connections=len(self.clients.open),
            transactions=len(self.owner.orders),
            list_age_s=round(self.watch.age(), 1),
        )
        self.clients.ready = False
        self.clients.last_answer = self.clock.now() + int(
            (self.told.longest_patience + KILL_AFTER - ANSWERED_BEFORE) * TICKS
        )
        if self.handover is not None:
            self.handover.end()
        if listener.inherited:
            listener.close()  # who comes now is for the next process
            await self.send_over()
        else:
            self.clients.close_idle()
            await asyncio.sleep(ACCEPT_ON)
            listener.close()
            await asyncio.sleep(READ_ON)
        self.clients.close_idle(states=(NEW, IDLE))
        await self.clients.finish(self.told.longest_patience)
        self.ended()

    async def send_over(self) -> None:
        """Each answer closes its connection, and its client comes to the next process. Idle ones first have
        that chance: guards against ends that cross a request just sent, as most are by who asks often."""
        for _ in range(int((ACCEPT_ON + READ_ON) / READ_ON)):
            if not self.clients.open:
                return
            await asyncio.sleep(READ_ON)
            self.clients.close_idle(rested=RESTED)

    def ended(self) -> None:
        self.log.say("ended", unanswered=sum(not order.closed for order in self.owner.orders.values()))
        if self.console is not None:
            self.console.close()
            self.callers.close()
        if self.together is not None:
            self.together.close()
        if self.handover is not None:
            self.handover.close()
        self.watch.end()
        self.pool.close()
        self.timers.close()
