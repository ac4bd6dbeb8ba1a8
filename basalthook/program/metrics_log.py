"""Writes metrics to the log at a fixed interval, for plots and alerts."""

from ..routing.attempts import Attempts
from ..routing.clients import Clients
from ..routing.owner import Owner
from ..routing.watch import Watch
from ..transport.timers import Timers

INTERVAL_S = 10.0


class MetricsLog:
    """Logs counts since the start of the process; `list_age_s` is the time since discovery last answered."""

    def __init__(
        self, owner: Owner, clients: Clients, attempts: Attempts, watch: Watch, timers: Timers, log
    ) -> None:
        self.owner, self.clients, self.attempts, self.watch = owner, clients, attempts, watch
        self.timers, self.log = timers, log

    def begin(self) -> None:
        self.timers.set(int(INTERVAL_S * self.timers.second), self.write)

    def write(self) -> None:
        schedule = self.watch.following
        self.log(
            "figures",
            list_age_s=round(self.watch.age(), 1),
            list_failures=schedule.failures,
            list_urgent=schedule.urgent,
            list_calls=self.watch.calls_begun,
            endpoints_ready=sum(place.ready for place in self.owner.roster.places.values()),
            requests_open=len(self.owner.orders),
            connections=len(self.clients.open),
            answers=dict(self.clients.answers),
            attempts=dict(self.attempts.outcomes),
            attempts_not_begun=dict(self.attempts.refusals),
        )
        self.begin()
