"""The hosts this proxy was told of: numbers for the decisions, addresses for the sockets."""

from typing import NamedTuple

from .. import terms
from ..policy import interface
from ..protocol.catalogue import Line, Listing
from .orders import Orders
from .starts import Starts


class Place(NamedTuple):
    id: str
    address: tuple[str, int]
    ready: bool
    mark: int  # the number that stands for its id at every proxy
    line: Line  # as discovery told it last, before the staff's orders

    @property
    def door(self) -> tuple:
        """What kept connections belong to: a new host at an old address has none, nor has one that moved."""
        return self.id, self.address


class Roster:
    def __init__(self, only_draining_binds: bool = False, starts: Starts | None = None) -> None:
        """`starts`: judges when endpoints started; None: as they are told."""
        self.starts = starts
        self.only_draining_binds = only_draining_binds  # a host gone without that stays until it is let go
        self.places: dict[int, Place] = {}  # emptied of hosts that are gone with no attempt out
        self.numbers: dict[str, int] = {}
        self.out: dict[int, int] = {}  # attempts out, by host; emptied as they end
        self.next = 0
        self.orders = Orders()  # the staff's; they stand over every list
        self.changes: dict[str, list[str]] = {}  # by the newest list: kind of change -> ids of endpoints
        self.left = lambda door: None  # told of the doors of hosts that have left

    def told(self, listing: Listing, answered: bool) -> interface.HostListReceived:
        """Take a list in and turn it into the decisions' event."""
        self.changes = {}
        event = interface.HostListReceived(
            tuple(self._line(line) for line in listing.lines), listing.complete, answered
        )
        named = {line.host_id for line in event.hosts}
        removed = {self.numbers[line.id] for line in listing.lines if line.removed}
        if listing.complete:
            removed |= self.places.keys() - named
        self._drop(n for n in removed if not (self.only_draining_binds and self.places[n].ready))
        if answered and self.starts is not None:
            self.starts.answered()
        return event

    def ordered(self, hosts: set[str]) -> interface.HostListReceived:
        """The lines of these hosts again, as the staff's orders now have them."""
        numbers = [self.numbers[host] for host in sorted(hosts) if host in self.numbers]
        event = interface.HostListReceived(
            tuple(self._line(self.places[n].line) for n in numbers), False, False
        )
        for number in numbers:
            if self.orders.out(self.places[number].id):
                self.left(self.places[number].door)  # it is about to be restarted
        return event

    def known(self, host: str) -> bool:
        return host in self.numbers

    def let_go(self, held) -> None:
        """Of hosts left out, those go that the decisions no longer hold."""
        self._drop([n for n, place in self.places.items() if place.ready and n not in held])

    def _drop(self, numbers) -> None:
        for number in numbers:
            if self.places[number].ready:
                self._changed("gone", self.places[number].id)
            self.places[number] = self.places[number]._replace(ready=False)
            self.left(self.places[number].door)
            self._forget(number)

    def attempt_begun(self, number: int) -> Place:
        self.out[number] = self.out.get(number, 0) + 1
        return self.places[number]

    def attempt_over(self, number: int) -> None:
        self.out[number] -= 1
        if not self.out[number]:
            del self.out[number]
            if not self.places[number].ready:
                self._forget(number)

    def ready(self, number: int) -> bool:
        return number in self.places and self.places[number].ready

    def _line(self, told: Line) -> interface.HostEntry:
        line = self.orders.over(told)
        number = self.numbers.get(line.id)
        if number is None:
            number = self.numbers[line.id] = self.next
            self.next += 1
        known = self.places.get(number)  # hashed once: lists may come often
        mark = known.mark if known else terms.stable_number(line.id)
        ready = line.ready or line.removed and self.only_draining_binds and bool(known and known.ready)
        self._note(known, line, ready)
        self.places[number] = Place(line.id, line.address, ready, mark, told)
        started_ns = self.starts.started(line.id, line.started_ns) if self.starts else line.started_ns
        return terms.host_entry(
            number, mark, line.zone, line.cell, line.ready, line.weight, started_ns, line.kind, line.draining
        )

    def _note(self, known: Place | None, line: Line, ready: bool) -> None:
        """Write down what a line changes, for the log."""
        if known is None or known.ready != ready:
            self._changed("ready" if ready else "draining" if line.draining else "gone", line.id)
        elif known.address != line.address:
            self._changed("moved", line.id)
        elif known.line.started_ns != line.started_ns:
            self._changed("restarted", line.id)

    def _changed(self, change: str, endpoint: str) -> None:
        self.changes.setdefault(change, []).append(endpoint)

    def _forget(self, number: int) -> None:
        """A host that comes back later is a new one to the decisions as well, which have dropped it."""
        if number not in self.out and not self.places[number].ready:
            del self.numbers[self.places.pop(number).id]
