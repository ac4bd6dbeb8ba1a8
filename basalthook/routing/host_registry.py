"""The hosts known to this proxy: numbers for the policy, addresses for the sockets."""

from typing import NamedTuple

from .. import terms
from ..policy import interface
from ..protocol.catalogue import HostList, HostRecord
from .overrides import OperatorOverrides
from .start_times import StartTimes


class RegistryEntry(NamedTuple):
    """A host in the registry."""

    id: str
    address: tuple[str, int]
    ready: bool
    id_hash: int  # the same at every proxy
    # What discovery said last, without operator overrides: also that a host has left, if a list left it out.
    discovered: HostRecord

    @property
    def pool_key(self) -> tuple:
        """Key of the pooled connections to this host.

        Neither a new host at an old address, nor one that has moved or restarted, inherits connections.
        """
        return self.id, self.address, self.discovered.started_ns


class HostRegistry:
    """Assigns each host a number, keeps its address and state, and applies operator overrides to lists."""

    def __init__(self, use_unlisted: bool = False, start_times: StartTimes | None = None) -> None:
        """`use_unlisted`: a ready host that a list removes or leaves out stays until `drop_unheld`.

        `start_times` corrects the reported start times of hosts; None: they are taken as reported.
        """
        self.start_times = start_times
        self.use_unlisted = use_unlisted
        self.entries: dict[int, RegistryEntry] = {}  # a host that is gone is removed when no attempt is open
        self.numbers_by_id: dict[str, int] = {}
        self.open_attempts: dict[int, int] = {}  # host number -> number of open attempts, if any
        self.next_number = 0
        self.overrides = OperatorOverrides()  # take precedence over every list
        self.changes: dict[str, list[str]] = {}  # made by the newest list: kind of change -> host ids
        self.on_host_left = lambda pool_key: None  # called with the pool key of a host that has left

    def apply_host_list(self, host_list: HostList, from_discovery: bool) -> interface.HostListReceived:
        """Update the registry from a list, and convert the list to the policy's event."""
        self.changes = {}
        replaced = self._replaced_hosts(host_list.records)
        event = interface.HostListReceived(
            tuple(self._update_entry(record) for record in (*host_list.records, *replaced)),
            host_list.complete,
            from_discovery,
        )
        named = {entry.host_id for entry in event.hosts}
        removed = {self.numbers_by_id[record.id] for record in host_list.records if record.removed}
        if host_list.complete:
            removed |= self.entries.keys() - named
        removed |= {self.numbers_by_id[record.id] for record in replaced}
        for number in removed:
            self._note_removed(number)
        self._drop(n for n in removed if not (self.use_unlisted and self.entries[n].ready))
        if from_discovery and self.start_times is not None:
            self.start_times.list_received()
        return event

    def _replaced_hosts(self, records: tuple[HostRecord, ...]) -> list[HostRecord]:
        """The records, as no longer ready, of hosts at whose addresses these records have another host.

        A host that the same list names as ready stays, unless the other one has started later.
        """
        newcomers = {}
        for record in records:
            known = self.entries.get(self.numbers_by_id.get(record.id, -1))
            if record.ready and (known is None or known.address != record.address):
                newcomers[record.address] = record
        if not newcomers:
            return []
        named = {record.id: record for record in records}
        replaced = []
        for entry in self.entries.values():
            newcomer = newcomers.get(entry.address)
            if newcomer is None or newcomer.id == entry.id or not entry.ready:
                continue
            latest = named.get(entry.id, entry.discovered)
            if latest.address != entry.address:  # it has moved
                continue
            if entry.id not in named or latest.ready and latest.started_ns < newcomer.started_ns:
                replaced.append(latest._replace(ready=False, draining=True, removed=False))
        return replaced

    def reapply_overrides(self, hosts: set[str]) -> interface.HostListReceived:
        """The list entries of these hosts with the present operator overrides applied."""
        numbers = [self.numbers_by_id[host] for host in sorted(hosts) if host in self.numbers_by_id]
        event = interface.HostListReceived(
            tuple(self._update_entry(self.entries[n].discovered) for n in numbers), False, False
        )
        for number in numbers:
            if self.overrides.is_disabled(self.entries[number].id):
                self.on_host_left(self.entries[number].pool_key)  # the host is about to be restarted
        return event

    def is_known(self, host: str) -> bool:
        return host in self.numbers_by_id

    def drop_unheld(self, held) -> None:
        """Remove ready hosts that are not in `held`, the policy's hosts: they were left out of a list."""
        self._drop([n for n, entry in self.entries.items() if entry.ready and n not in held])

    def _note_removed(self, number: int) -> None:
        """Note that discovery lists the host no more, whether or not it stays in use."""
        entry = self.entries[number]
        discovered = entry.discovered._replace(ready=False, removed=True, draining=False)
        self.entries[number] = entry._replace(discovered=discovered)

    def _drop(self, numbers) -> None:
        for number in numbers:
            if self.entries[number].ready:
                self._add_change("gone", self.entries[number].id)
            self.entries[number] = self.entries[number]._replace(ready=False)
            self.on_host_left(self.entries[number].pool_key)
            self._forget(number)

    def attempt_started(self, number: int) -> RegistryEntry:
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

    def is_same_life(self, number: int, entry: RegistryEntry) -> bool:
        """Whether the host is ready and still the one of this earlier entry, at its address."""
        return self.is_ready(number) and self.entries[number].pool_key == entry.pool_key

    def _update_entry(self, discovered: HostRecord) -> interface.HostEntry:
        """Update the entry of a host from its record, and return the record as the policy's list entry."""
        record = self.overrides.apply_to(discovered)
        number = self.numbers_by_id.get(record.id)
        if number is None:
            number = self.numbers_by_id[record.id] = self.next_number
            self.next_number += 1
        previous = self.entries.get(number)
        id_hash = (
            previous.id_hash if previous else terms.stable_number(record.id)
        )  # hashed once: lists may come often
        ready = record.ready or record.removed and self.use_unlisted and bool(previous and previous.ready)
        self._note_change(previous, record, ready)
        entry = RegistryEntry(record.id, record.address, ready, id_hash, discovered)
        self.entries[number] = entry
        if previous is not None and previous.pool_key != entry.pool_key:
            self.on_host_left(previous.pool_key)
        started_ns = (
            self.start_times.start_time(record.id, record.started_ns)
            if self.start_times
            else record.started_ns
        )
        return terms.host_entry(
            number,
            id_hash,
            record.zone,
            record.cell,
            record.ready,
            record.weight,
            started_ns,
            record.kind,
            record.draining,
        )

    def _note_change(self, previous: RegistryEntry | None, record: HostRecord, ready: bool) -> None:
        """Note for the log what a record changes."""
        if previous is None or previous.ready != ready:
            self._add_change("ready" if ready else "draining" if record.draining else "gone", record.id)
        elif previous.address != record.address:
            self._add_change("moved", record.id)
        elif previous.discovered.started_ns != record.started_ns:
            self._add_change("restarted", record.id)

    def _add_change(self, change: str, host_id: str) -> None:
        self.changes.setdefault(change, []).append(host_id)

    def _forget(self, number: int) -> None:
        """Remove a host that has no open attempt. If it returns, it is a new host, also to the policy."""
        if number not in self.open_attempts and not self.entries[number].ready:
            del self.numbers_by_id[self.entries.pop(number).id]
