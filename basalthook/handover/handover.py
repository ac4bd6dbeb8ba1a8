"""One client proxy over its upgrades: what the old process leaves, what the new one takes, who accepts when.

Old and new meet in a folder. The new one takes over the staff's orders, the list and what the decisions
know, and says that it serves once it does; the old one sees that, takes no new connection from the shared
backlog and finishes. Either may be killed at any moment: the other finds its lock free and goes on alone.
"""

from typing import NamedTuple

from ..protocol.catalogue import Line, Listing
from ..recovery import knowledge
from ..routing.clock import TICKS, Clock
from ..routing.orders import Orders
from ..routing.owner import Ordered, Owner, Shared
from ..transport.timers import Timers
from . import record
from .neighbours import Neighbours
from .record import Bad

LOOK = 0.1  # seconds between two looks at what a neighbour has written: some microseconds each
WRITE = 0.5  # seconds between two records of what is known; the staff's orders go at once
LAST = 1.0  # seconds that the last record may take once all is answered
OLD = 15 * TICKS  # what was known longer ago tells less than the start-up file
SOUND = (ValueError, TypeError, KeyError, AttributeError)  # a record of other content


class Here(NamedTuple):
    """What this process does when its neighbours change."""

    accept: object  # accept(bool): take new connections from the backlog
    share: object  # share(): `other` has come or gone; limits are for both, or one's alone


class Handover:
    def __init__(
        self,
        neighbours: Neighbours,
        owner: Owner,
        clients,
        watch,
        timers: Timers,
        clock: Clock,
        profiles: list[str],
        fade: int,
        here: Here,
        say,
    ) -> None:
        """`profiles`: names by index; `fade`: ticks in which a judgement of the present fades by half."""
        self.neighbours, self.owner, self.clients, self.watch = neighbours, owner, clients, watch
        self.timers, self.clock, self.profiles, self.fade = timers, clock, profiles, fade
        self.here, self.say = here, say
        self.roster = owner.roster
        self.other = ""  # the neighbour that shares the limits with this process
        self.accepting = self.ending = False
        self.seen_orders = self.seen_serving = None
        self.owed: dict[str, object] = {}  # records that could not be written yet -> what writes each
        self.owed_next = 0
        self.write_next = 0
        self.timer, self.complained, self.writer = None, "", record.Writer()

    # ---- the start of a successor

    def arrive(self, told: Listing) -> tuple[Listing, dict | None]:
        """The list to begin with, and what the decisions should know; before the owner starts."""
        wrong = self.neighbours.arrive()
        if wrong:
            self.complain(wrong)
            return told, None
        serves = self.neighbours.serves()
        if isinstance(serves, Bad):
            self.complain(serves.reason)
        elif serves and self.neighbours.alive(serves):
            self.other = serves
        self.join_orders()
        found = record.read(self.neighbours.known)
        if isinstance(found, Bad):
            self.complain(found.reason)
        elif found is not None:
            return self.listing(found, told)
        return told, None

    def listing(self, found, told: Listing) -> tuple[Listing, dict | None]:
        try:
            if self.clock.now() - int(found["known"]["at"]) > OLD or not found["list"]["lines"]:
                return told, None
            lines = tuple(
                Line(line[0], (str(line[1][0]), int(line[1][1])), *line[2:])
                for line in found["list"]["lines"]
            )
            return Listing(int(found["list"]["version"]), True, lines), found["known"]
        except (*SOUND, IndexError) as fault:
            self.complain(f"{self.neighbours.known}: {fault!r}")
            return told, None

    def take_over(self, known: dict | None) -> None:
        """Once the owner has its first list."""
        if known is None:
            return
        try:
            fitted = knowledge.restore_state(
                self.owner.proxy, known, self.roster.numbers, self.profiles, self.clock.now(), self.fade
            )
        except SOUND as fault:
            return self.complain(f"{self.neighbours.known}: {fault!r}")
        self.say(
            "taken over",
            hosts=fitted,
            age_ms=(self.clock.now() - known["at"]) / 10,
            orders=len(self.roster.orders.words),
            beside=bool(self.other),
        )

    def ready(self) -> None:
        """This process serves: the one before it, if it lives, takes no more."""
        self.accepting = True
        if self.neighbours.lock < 0:
            return
        self.share(self.other)
        self.say_serving()
        self.seen_serving = record.mark(self.neighbours.serving)
        self.look()

    # ---- while it runs

    def look(self) -> None:
        self.timer = self.timers.set(int(LOOK * TICKS), self.look)
        if record.mark(self.neighbours.orders) != self.seen_orders:
            self.join_orders()
        if record.mark(self.neighbours.serving) != self.seen_serving:
            self.seen_serving = record.mark(self.neighbours.serving)
            serves = self.neighbours.serves()
            if isinstance(serves, str) and serves not in ("", self.neighbours.me):
                self.succeeded(serves)
        if self.other and not self.neighbours.alive(self.other):
            self.alone()
        if self.owed and self.clock.now() >= self.owed_next:
            self.owed_next = self.clock.now() + int(WRITE * TICKS)
            self.write_owed()
        if self.accepting and self.clock.now() >= self.write_next:
            self.write_next = self.clock.now() + int(WRITE * TICKS)
            self.leave_known()

    def succeeded(self, successor: str) -> None:
        self.say("succeeded", by=successor)
        self.accepting = False
        self.share(successor)
        self.here.accept(False)

    def alone(self) -> None:
        """The neighbour is gone. If it had taken over, this one serves again."""
        self.say("alone", without=self.other, serves=not self.ending)
        self.share("")
        if not self.accepting and not self.ending:
            self.accepting = True
            self.say_serving()
            self.seen_serving = record.mark(self.neighbours.serving)
            self.here.accept(True)

    def say_serving(self) -> None:
        wrong = self.neighbours.serve()
        if wrong:
            self.complain(wrong)
            self.owed["serving"] = self.neighbours.serve

    def write_owed(self) -> None:
        """What could not be written, as the disk was full or failed, is still owed to a successor."""
        for record_name, again in list(self.owed.items()):
            if not again():
                del self.owed[record_name]
                self.say(f"{record_name} kept")

    def write_orders(self) -> str:
        wrong = record.write(self.neighbours.orders, self.roster.orders.plain())
        self.seen_orders = record.mark(self.neighbours.orders)
        return wrong

    def share(self, other: str) -> None:
        self.other = other
        self.here.share()
        self.owner.post(Shared(2 if other else 1))

    def join_orders(self) -> None:
        """What the staff has told the neighbour holds here too."""
        self.seen_orders = record.mark(self.neighbours.orders)
        found = record.read(self.neighbours.orders)
        if found is None:
            return
        try:
            told = Orders.read(found)
        except SOUND as fault:
            found = found if isinstance(found, Bad) else Bad(f"{self.neighbours.orders}: {fault!r}")
        if isinstance(found, Bad):
            return self.complain(found.reason)
        changed = self.roster.orders.join(told)
        if changed:
            self.say("orders taken over", hosts=sorted(changed), drained=told.drained)
            if self.roster.places:  # else the first list comes under them
                self.owner.post(Ordered(changed))
        if self.roster.orders.drained != self.clients.drained:
            self.clients.drain(self.roster.orders.drained)

    def keep_orders(self, orders: Orders) -> str:
        """Written down before the staff has its yes; what went wrong, else ""."""
        if self.neighbours.lock < 0:
            return "no folder to write in"
        if record.mark(self.neighbours.orders) != self.seen_orders:
            self.join_orders()  # guards against two that write at once: neither word is lost
        wrong = self.write_orders()
        if wrong:
            self.owed["orders"] = self.write_orders
        return wrong

    def leave_known(self) -> None:
        ids = {number: place.id for number, place in self.roster.places.items()}
        lines = [list(place.line) for place in self.roster.places.values() if not place.line.removed]
        self.writer.put(
            self.neighbours.known,
            {
                "list": {"version": self.watch.version, "lines": lines},
                "known": knowledge.export_state(self.owner.proxy, ids, self.profiles)
                | {"at": self.clock.now()},
            },
        )
        if self.writer.wrong:
            self.complain(self.writer.wrong)

    def complain(self, reason: str) -> None:
        if reason != self.complained:  # one line, not ten a second
            self.complained = reason
            self.say("handover", reason=reason)

    # ---- its end

    def end(self) -> None:
        """SIGTERM came: what is known is left as it is now, and nothing of it is taken back."""
        if self.accepting and self.neighbours.lock >= 0:
            self.leave_known()
        self.ending, self.accepting = True, False

    def close(self) -> None:
        self.timers.cancel(self.timer)
        if not self.writer.wait(LAST):
            self.complain(f"{self.neighbours.known}: not written within {LAST:g} s")
        self.neighbours.leave()
