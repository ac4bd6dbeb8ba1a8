"""The hosts known to this proxy: numbers for the policy, addresses for the sockets."""

from typing import NamedTuple

from .. import terms
from ..policy import interface
from ..protocol.catalogue import HostList, HostRecord
from .overrides import OperatorOverrides
from .start_times import StartTimes


class HostEntry(NamedTuple):
    """What this proxy knows of a host."""

    id: str
    address: tuple[str, int]
    ready: bool
    id_hash: int  # a number that stands for the id, the same at every proxy
    discovered: HostRecord  # as discovery listed it last, without operator overrides

    @property
    def pool_key(self) -> tuple:
        """Key of the pooled connections to this host.

        Neither a new host at an old address nor a host that has moved inherits connections.
        """
        return self.id, self.address


class HostRegistry:
    """Assigns each host a number, keeps its address and state, and applies operator overrides to lists."""

    def __init__(self, only_draining_binds: bool = False, start_times: StartTimes | None = None) -> None:
        """`only_draining_binds`: a host that is gone without having drained stays until `drop_unheld`.

        `start_times` corrects the reported start times of hosts; None: they are taken as reported.
        """
        self.start_times = start_times
        self.only_draining_binds = only_draining_binds
        self.entries: dict[int, HostEntry] = {}  # a host that is gone is removed when no attempt is open
        self.numbers_by_id: dict[str, int] = {}
        self.open_attempts: dict[int, int] = {}  # host number -> number of open attempts, if any
        self.next_number = 0
        self.overrides = OperatorOverrides()  # take precedence over every list
        self.changes: dict[str, list[str]] = {}  # by the newest list: kind of change -> ids of hosts
        self.on_host_left = lambda pool_key: None  # called with the pool key of a host that has left

    def apply_listing(self, listing: HostList, answered: bool) -> interface.HostListReceived:
        """Update the registry from a list, and convert the list to the policy's event."""
        self.changes = {}
        event = interface.HostListReceived(
            tuple(self._update_entry(line) for line in listing.records), listing.complete, answered
        )
        named = {line.host_id for line in event.hosts}
        removed = {self.numbers_by_id[line.id] for line in listing.records if line.removed}
        if listing.complete:
            removed |= self.entries.keys() - named
        self._drop(n for n in removed if not (self.only_draining_binds and self.entries[n].ready))
        if answered and self.start_times is not None:
            self.start_times.list_received()
        return event

    def reapply_overrides(self, hosts: set[str]) -> interface.HostListReceived:
        """The list lines of these hosts as the operator overrides now make them."""
        numbers = [self.numbers_by_id[host] for host in sorted(hosts) if host in self.numbers_by_id]
        event = interface.HostListReceived(
            tuple(self._update_entry(self.entries[n].discovered) for n in numbers), False, False
        )
        for number in numbers:
            if self.overrides.is_disabled(self.entries[number].id):
                self.on_host_left(self.entries[number].pool_key)  # it is about to be restarted
        return event

    def is_known(self, host: str) -> bool:
        return host in self.numbers_by_id

    def drop_unheld(self, held) -> None:
        """Remove ready hosts that the policy no longer holds: they were left out of a list."""
        self._drop([n for n, entry in self.entries.items() if entry.ready and n not in held])

    def _drop(self, numbers) -> None:
        for number in numbers:
            if self.entries[number].ready:
                self._add_change("gone", self.entries[number].id)
            self.entries[number] = self.entries[number]._replace(ready=False)
            self.on_host_left(self.entries[number].pool_key)
            self._forget(number)

    def attempt_started(self, number: int) -> HostEntry:
        """Count an open attempt, which keeps the entry until `attempt_finished`."""
        self.open_attempts[number] = self.open_attempts.get(number, 0) + 1
        return self.entries[number]

    def attempt_finished(self, number: int) -> None:
        self.open_attempts[number] -= 1
        if not self.open_attempts[number]:
            del self.open_attempts[number]
            if not self.entries[number].ready:
                self._forget(number)

    def is_ready(self, number: int) -> bool:
        return number in self.entries and self.entries[number].ready

    def _update_entry(self, discovered: HostRecord) -> interface.HostEntry:
        """Update the entry of a host from its list line, and return the line in the policy's form."""
        line = self.overrides.apply_to(discovered)
        number = self.numbers_by_id.get(line.id)
        if number is None:
            number = self.numbers_by_id[line.id] = self.next_number
            self.next_number += 1
        known = self.entries.get(number)
        id_hash = (
            known.id_hash if known else terms.stable_number(line.id)
        )  # hashed once: lists may come often
        ready = line.ready or line.removed and self.only_draining_binds and bool(known and known.ready)
        self._note_change(known, line, ready)
        self.entries[number] = HostEntry(line.id, line.address, ready, id_hash, discovered)
        started_ns = (
            self.start_times.start_time(line.id, line.started_ns) if self.start_times else line.started_ns
        )
        return terms.host_entry(
            number,
            id_hash,
            line.zone,
            line.cell,
            line.ready,
            line.weight,
            started_ns,
            line.kind,
            line.draining,
        )

    def _note_change(self, known: HostEntry | None, line: HostRecord, ready: bool) -> None:
        """Record for the log what a list line changes."""
        if known is None or known.ready != ready:
            self._add_change("ready" if ready else "draining" if line.draining else "gone", line.id)
        elif known.address != line.address:
            self._add_change("moved", line.id)
        elif known.discovered.started_ns != line.started_ns:
            self._add_change("restarted", line.id)

    def _add_change(self, change: str, host_id: str) -> None:
        self.changes.setdefault(change, []).append(host_id)

    def _forget(self, number: int) -> None:
        """Remove a host without open attempts. If it returns it is a new one, also to the policy."""
        if number not in self.open_attempts and not self.entries[number].ready:
            del self.numbers_by_id[self.entries.pop(number).id]
