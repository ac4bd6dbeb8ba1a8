"""Hot restart of one client proxy: state handed from the old process to the new, and which one accepts.

Both processes use files in a shared folder. The new one takes over the operator overrides, the host list and
the state of the decision policy, and records that it serves as soon as it does. The old one sees that, stops
accepting connections from the shared backlog and finishes its work. Either may be killed at any moment: the
other finds its lock released and goes on alone.
"""

from typing import NamedTuple

from ..protocol.catalogue import HostList, HostRecord
from ..recovery import policy_state
from ..routing.clock import TICKS_PER_SECOND, Clock
from ..routing.dispatcher import Dispatcher, OverridesChanged, ProcessCountChanged
from ..routing.overrides import OperatorOverrides
from ..transport.timers import Timers
from . import record
from .process_registry import ProcessRegistry
from .record import BadRecord

POLL_INTERVAL_S = 0.1  # between two checks of the other process's files; a check takes microseconds
WRITE_INTERVAL_S = 0.5  # between two records of the state; operator overrides are written at once
FINAL_WRITE_TIMEOUT_S = 1.0  # for the last record, once all transactions are answered
MAX_STATE_AGE = 15 * TICKS_PER_SECOND  # with older state, the start-up file is the better source
# Raised for records with a valid checksum and unexpected content.
INVALID_RECORD_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


class HandoverCallbacks(NamedTuple):
    """Called when another process takes over, appears or ends."""

    set_accepting: object  # (bool): whether to accept connections from the backlog
    update_limits: object  # (): limits are now shared with `other_process`, or no longer


class Handover:
    """Exchanges state with other processes of this proxy; works without them if the folder can't be used."""

    def __init__(
        self,
        process_registry: ProcessRegistry,
        dispatcher: Dispatcher,
        clients,
        watch,
        timers: Timers,
        clock: Clock,
        profiles: list[str],
        half_life: int,
        callbacks: HandoverCallbacks,
        log_event,
    ) -> None:
        """`profiles`: names by index; `half_life`: ticks in which restored load estimates are halved."""
        self.process_registry, self.dispatcher, self.clients, self.watch = (
            process_registry,
            dispatcher,
            clients,
            watch,
        )
        self.timers, self.clock, self.profiles, self.half_life = timers, clock, profiles, half_life
        self.callbacks, self.log_event = callbacks, log_event
        self.host_registry = dispatcher.registry
        self.other_process = ""  # id of the process that shares the limits with this one
        self.accepting = self.ending = False
        self.overrides_signature = self.serving_signature = None
        self.pending_writes: dict[str, object] = {}  # name of a record that failed -> function that writes it
        self.next_pending_write = 0
        self.next_state_write = 0
        self.timer, self.last_error, self.writer = None, "", record.RecordWriter()

    # ---- start as a successor

    def load_state(self, fallback: HostList) -> tuple[HostList, dict | None]:
        """The host list to start with and the policy's state, if any. Call before the dispatcher starts."""
        error = self.process_registry.register()
        if error:
            self.log_error(error)
            return fallback, None
        error = self.dispatcher.request_ids.share(self.process_registry.request_ids_path)
        if error:
            self.log_error(error)
        serving = self.process_registry.serving_process()
        if isinstance(serving, BadRecord):
            self.log_error(serving.reason)
        elif serving and self.process_registry.is_alive(serving):
            self.other_process = serving
        self.merge_overrides()
        stored = record.read(self.process_registry.state_path)
        if isinstance(stored, BadRecord):
            self.log_error(stored.reason)
        elif stored is not None:
            return self.decode_state(stored, fallback)
        return fallback, None

    def decode_state(self, stored, fallback: HostList) -> tuple[HostList, dict | None]:
        """The host list and the policy's state in a record; the fallback if it is old or invalid."""
        try:
            if self.clock.now() - int(stored["known"]["at"]) > MAX_STATE_AGE or not stored["list"]["lines"]:
                return fallback, None
            records = tuple(
                HostRecord(line[0], (str(line[1][0]), int(line[1][1])), *line[2:])
                for line in stored["list"]["lines"]
            )
            return HostList(int(stored["list"]["version"]), True, records), stored["known"]
        except (*INVALID_RECORD_ERRORS, IndexError) as error:
            self.log_error(f"{self.process_registry.state_path}: {error!r}")
            return fallback, None

    def restore_state(self, state: dict | None) -> None:
        """Call once the dispatcher has its first host list."""
        if state is None:
            return
        try:
            restored = policy_state.restore_state(
                self.dispatcher.policy,
                state,
                self.host_registry.numbers_by_id,
                self.profiles,
                self.clock.now(),
                self.half_life,
            )
        except INVALID_RECORD_ERRORS as error:
            return self.log_error(f"{self.process_registry.state_path}: {error!r}")
        self.log_event(
            "taken over",
            hosts=restored,
            age_ms=(self.clock.now() - state["at"]) / 10,
            orders=len(self.host_registry.overrides.by_host),
            beside=bool(self.other_process),
        )

    def start_serving(self) -> None:
        """This process serves from now on; its predecessor, if alive, stops accepting."""
        self.accepting = True
        if self.process_registry.lock_fd < 0:
            return
        self.share_limits(self.other_process)
        self.claim_serving()
        self.serving_signature = record.file_signature(self.process_registry.serving_path)
        self.poll()

    # ---- while running

    def poll(self) -> None:
        """Checks the other process and its files, and writes own records that are due."""
        self.timer = self.timers.set(int(POLL_INTERVAL_S * TICKS_PER_SECOND), self.poll)
        if record.file_signature(self.process_registry.overrides_path) != self.overrides_signature:
            self.merge_overrides()
        if record.file_signature(self.process_registry.serving_path) != self.serving_signature:
            self.serving_signature = record.file_signature(self.process_registry.serving_path)
            serving = self.process_registry.serving_process()
            if isinstance(serving, str) and serving not in ("", self.process_registry.own_id):
                self.on_succeeded(serving)
        if self.other_process and not self.process_registry.is_alive(self.other_process):
            self.on_other_gone()
        if self.pending_writes and self.clock.now() >= self.next_pending_write:
            self.next_pending_write = self.clock.now() + int(WRITE_INTERVAL_S * TICKS_PER_SECOND)
            self.retry_pending_writes()
        if self.accepting and self.clock.now() >= self.next_state_write:
            self.next_state_write = self.clock.now() + int(WRITE_INTERVAL_S * TICKS_PER_SECOND)
            self.write_state()

    def on_succeeded(self, successor: str) -> None:
        """Another process serves now: stops accepting and shares the limits with it."""
        self.log_event("succeeded", by=successor)
        self.accepting = False
        self.share_limits(successor)
        self.callbacks.set_accepting(False)

    def on_other_gone(self) -> None:
        """The other process is gone. If it had taken over, this one serves again."""
        self.log_event("alone", without=self.other_process, serves=not self.ending)
        self.share_limits("")
        if not self.accepting and not self.ending:
            self.accepting = True
            self.claim_serving()
            self.serving_signature = record.file_signature(self.process_registry.serving_path)
            self.callbacks.set_accepting(True)

    def claim_serving(self) -> None:
        """Records that this process serves; retried later if it can't be written."""
        error = self.process_registry.claim_serving()
        if error:
            self.log_error(error)
            self.pending_writes["serving"] = self.process_registry.claim_serving

    def retry_pending_writes(self) -> None:
        """Retries records that a full or failing disk rejected: a successor still needs them."""
        for record_name, write in list(self.pending_writes.items()):
            if not write():
                del self.pending_writes[record_name]
                self.log_event(f"{record_name} kept")

    def write_overrides(self) -> str:
        """Returns an error, or "" on success."""
        error = record.write(self.process_registry.overrides_path, self.host_registry.overrides.to_dict())
        self.overrides_signature = record.file_signature(self.process_registry.overrides_path)
        return error

    def share_limits(self, other_process: str) -> None:
        """Shares the limits with this process; "": with none."""
        self.other_process = other_process
        self.callbacks.update_limits()
        self.dispatcher.post(ProcessCountChanged(2 if other_process else 1))

    def merge_overrides(self) -> None:
        """Applies the operator overrides that the other process has recorded."""
        self.overrides_signature = record.file_signature(self.process_registry.overrides_path)
        stored = record.read(self.process_registry.overrides_path)
        if stored is None:
            return
        try:
            overrides = OperatorOverrides.from_dict(stored)
        except INVALID_RECORD_ERRORS as error:
            if not isinstance(stored, BadRecord):
                stored = BadRecord(f"{self.process_registry.overrides_path}: {error!r}")
        if isinstance(stored, BadRecord):
            return self.log_error(stored.reason)
        changed = self.host_registry.overrides.merge(overrides)
        if changed:
            self.log_event("orders taken over", hosts=sorted(changed), drained=overrides.drained)
            if self.host_registry.entries:  # else they apply to the first list anyway
                self.dispatcher.post(OverridesChanged(changed))
        if self.host_registry.overrides.drained != self.clients.drained:
            self.clients.set_drained(self.host_registry.overrides.drained)

    def save_overrides(self, overrides: OperatorOverrides) -> str:
        """Writes the overrides before the operator gets an answer. Returns an error, or "" on success."""
        if self.process_registry.lock_fd < 0:
            return "no folder to write to"
        if record.file_signature(self.process_registry.overrides_path) != self.overrides_signature:
            self.merge_overrides()  # else overrides written by the other process meanwhile would be lost
        error = self.write_overrides()
        if error:
            self.pending_writes["orders"] = self.write_overrides
        return error

    def write_state(self) -> None:
        """Queues a record of the host list and the policy's state."""
        ids = {number: entry.id for number, entry in self.host_registry.entries.items()}
        records = [
            list(entry.discovered)
            for entry in self.host_registry.entries.values()
            if not entry.discovered.removed
        ]
        self.writer.put(
            self.process_registry.state_path,
            {
                "list": {"version": self.watch.version, "lines": records},
                "known": policy_state.export_state(self.dispatcher.policy, ids, self.profiles)
                | {"at": self.clock.now()},
            },
        )
        if self.writer.error:
            self.log_error(self.writer.error)

    def log_error(self, reason: str) -> None:
        """Logs the reason, unless it is the same as the last one."""
        if reason != self.last_error:  # the poll would repeat it ten times a second
            self.last_error = reason
            self.log_event("handover", reason=reason)

    # ---- shutdown

    def end(self) -> None:
        """SIGTERM was received: writes the state as it is now, for the last time."""
        if self.accepting and self.process_registry.lock_fd >= 0:
            self.write_state()
        self.ending, self.accepting = True, False

    def close(self) -> None:
        """Waits for the last record and unregisters this process."""
        self.timers.cancel(self.timer)
        if not self.writer.wait(FINAL_WRITE_TIMEOUT_S):
            self.log_error(
                f"{self.process_registry.state_path}: not written within {FINAL_WRITE_TIMEOUT_S:g} s"
            )
        self.process_registry.unregister()
