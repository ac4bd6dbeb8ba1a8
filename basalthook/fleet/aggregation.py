"""Reports of failing hosts for deployments where proxies exchange a few bytes and hold no fact table.

One proxy is the aggregator for each host, by the host's hash. A proxy that meets a fault of the host reports
it there, and the aggregator informs all proxies once enough have. It wraps the decision core and reads its
host list. The simulator's protocol has these messages, and the lab uses them as the baseline that shared
evidence is compared with. No I/O.
"""

from ..policy import interface
from ..policy.measure import RecentPlaces

# Ticks for which a report counts; ticks for which a host is avoided; greatest share of hosts avoided at once.
FAULT_WINDOW, AVOID_DURATION, MAX_AVOIDED_SHARE = 10_000, 33_000, 0.3
# Proxies that must have met a fault: the greater of a number and a share of all proxies.
MIN_WITNESSES, MIN_WITNESS_SHARE = 3, 0.03
MAX_TRACKED_HOSTS = 2_000


class FaultAggregator:
    """Wraps the decision core. Without `settings.peer_reports` it neither sends reports nor accepts any."""

    def __init__(self, proxy) -> None:
        self.proxy, self.settings = proxy, proxy.settings
        # host -> proxies that met a fault, and host -> time of this proxy's last report; both bounded
        self.faults, self.reported_at = RecentPlaces(FAULT_WINDOW, MAX_TRACKED_HOSTS), {}

    def handle(self, now: int, event, received_until: int | None = None) -> list:
        """Handles an event like the decision core, reports received and sent included."""
        if isinstance(event, interface.PeerReportReceived):
            return self.on_peer_report(now, event)
        effects = []
        for effect in self.proxy.handle(now, event, received_until):
            effects += (
                self.on_fault(now, effect.host)
                if isinstance(effect, interface.ReportHostFault)
                else (effect,)
            )
        return effects

    def on_fault(self, now: int, host: int) -> list:
        """Reports a fault to the host's aggregator: each of hundreds of proxies meets few faults itself."""
        if not self.settings.peer_reports or now < self.reported_at.get(host, 0) + FAULT_WINDOW:
            return []
        if len(self.reported_at) >= MAX_TRACKED_HOSTS:
            self.reported_at.clear()
        self.reported_at[host] = now
        aggregator = self.proxy.hosts[host].entry.hash % self.settings.proxies
        if aggregator == self.settings.position:
            return self.count_fault(now, host, aggregator)
        return [interface.SendPeerReport(aggregator, host, interface.FAULT_SEEN)]

    def on_peer_report(self, now: int, event: interface.PeerReportReceived) -> list:
        """Handles a report. Only the host's aggregator may call it at fault, and nothing is forwarded."""
        host_state, sender, position = self.proxy.hosts.get(event.host), event.sender, self.settings.position
        if (
            not self.settings.peer_reports
            or not host_state
            or sender == position
            or not 0 <= sender < self.settings.proxies
        ):
            return []
        aggregator = host_state.entry.hash % self.settings.proxies
        if event.report == interface.FAULT_SEEN and aggregator == position:
            return self.count_fault(now, event.host, sender)
        return (
            self.avoid(now, event.host)
            if event.report == interface.FAULT_CONFIRMED and aggregator == sender
            else []
        )

    def count_fault(self, now: int, host: int, sender: int) -> list:
        """Counts a fault, and informs all proxies if enough of them met one lately."""
        if len(self.faults.add(host, sender, now)) < max(
            MIN_WITNESSES, MIN_WITNESS_SHARE * self.settings.proxies
        ):
            return []
        self.faults.drop(host)
        return [interface.SendPeerReport(None, host, interface.FAULT_CONFIRMED), *self.avoid(now, host)]

    def avoid(self, now: int, host: int) -> list:
        """Keeps away from a host for a while, unless MAX_AVOIDED_SHARE of the hosts is avoided already."""
        ready = self.proxy.ready
        if sum(now < host_state.verdict_until for host_state in ready) >= MAX_AVOIDED_SHARE * len(ready):
            return []
        return self.proxy.handle(
            now, interface.HostVerdicts(((host, now + AVOID_DURATION, now + AVOID_DURATION),))
        )
