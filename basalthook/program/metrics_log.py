"""Writes metrics to the log at a fixed interval, for plots and alerts."""

from ..routing.attempts import AttemptRunner
from ..routing.clients import Clients
from ..routing.dispatcher import Dispatcher
from ..routing.watch import Watch
from ..transport.timers import Timers
from . import process_memory

INTERVAL_S = 10.0
KIB = 1024


class MetricsLog:
    """Logs counts since the start of the process; `list_age_s` is the time since discovery last answered."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: Clients,
        attempts: AttemptRunner,
        watch: Watch,
        timers: Timers,
        log_event,
    ) -> None:
        self.dispatcher, self.clients, self.attempts, self.watch = dispatcher, clients, attempts, watch
        self.timers, self.log_event = timers, log_event

    def begin(self) -> None:
        self.timers.set(int(INTERVAL_S * self.timers.ticks_per_second), self.write)

    def write(self) -> None:
        schedule = self.watch.schedule
        self.log_event(
            "figures",
            list_age_s=round(self.watch.seconds_since_answer(), 1),
            list_failures=schedule.failures,
            list_urgent=schedule.urgent,
            list_calls=self.watch.calls_started,
            endpoints_ready=sum(entry.ready for entry in self.dispatcher.registry.entries.values()),
            requests_open=len(self.dispatcher.transactions),
            connections=len(self.clients.open_clients),
            answers=dict(self.clients.response_counts),
            attempts=dict(self.attempts.outcome_counts),
            attempts_not_begun=dict(self.attempts.refusal_counts),
            kept_connections_ended=dict(self.attempts.pool.early_closes),
            memory=self.memory(),
            delayed_reads=self.clients.processor_time.delayed_reads,
        )
        self.begin()

    def memory(self) -> dict:
        """Memory of the process in MiB, and the KiB held for peers by owner: at present, at most, allowed."""
        clients, resident = self.clients, process_memory.resident_mib()
        owners = {
            "bodies": clients.body_memory,
            "requests": clients.request_memory,
            "responses": clients.response_memory,
        }
        return {
            "resident_mb": None if resident is None else round(resident, 1),
            "peak_mb": round(process_memory.peak_mib(), 1),
            **{
                owner: [account.in_use // KIB, account.peak // KIB, account.capacity // KIB]
                for owner, account in owners.items()
            },
            "bodies_waiting": len(clients.body_memory.waiting),
            "closed_for_it": dict(clients.evicted),
        }
