"""News of failing hosts where proxies may send a few bytes and hold no table: one proxy counts for each host.

Whoever meets a host's fault tells the proxy that counts for it, which tells all once enough have. Pure;
beside the decisions, of which it reads their list. The simulator's messages, and the baseline for shared
evidence.
"""

from ..policy import interface
from ..policy.measure import RecentPlaces

NEWS, KEPT_AWAY, TOLD_MOST = 10_000, 33_000, 0.3  # ticks that news counts, that a host is kept away; of all
WITNESSES, SHARE = 3, 0.03  # so many, or so much of all proxies, must have met a fault
KEPT = 2_000


class Counting:
    """`terms.peer_reports` false: nothing is told and nothing believed."""

    def __init__(self, proxy) -> None:
        self.proxy, self.terms = proxy, proxy.settings
        # host -> who; host -> when we told; bounded
        self.faults, self.witnessed = RecentPlaces(NEWS, KEPT), {}

    def handle(self, now: int, event, seen: int | None = None) -> list:
        """As the decisions' own `handle`, with the news among its events and effects."""
        if isinstance(event, interface.PeerReportReceived):
            return self.came(now, event)
        effects = []
        for effect in self.proxy.handle(now, event, seen):
            effects += (
                self.met(now, effect.host) if isinstance(effect, interface.ReportHostFault) else (effect,)
            )
        return effects

    def met(self, now: int, host: int) -> list:
        """Told to the one proxy that counts for this host: hundreds each meet it seldom."""
        if not self.terms.peer_reports or now < self.witnessed.get(host, 0) + NEWS:
            return []
        if len(self.witnessed) >= KEPT:
            self.witnessed.clear()
        self.witnessed[host] = now
        counts = self.proxy.hosts[host].entry.hash % self.terms.proxies
        if counts == self.terms.position:
            return self.witness(now, host, counts)
        return [interface.SendPeerReport(counts, host, interface.FAULT_SEEN)]

    def came(self, now: int, event: interface.PeerReportReceived) -> list:
        """Only the one that counts is believed, and nothing is passed on."""
        server, sender, mine = self.proxy.hosts.get(event.host), event.sender, self.terms.position
        if (
            not self.terms.peer_reports
            or not server
            or sender == mine
            or not 0 <= sender < self.terms.proxies
        ):
            return []
        counts = server.entry.hash % self.terms.proxies
        if event.report == interface.FAULT_SEEN and counts == mine:
            return self.witness(now, event.host, sender)
        return (
            self.shut(now, event.host)
            if event.report == interface.FAULT_CONFIRMED and counts == sender
            else []
        )

    def witness(self, now: int, host: int, sender: int) -> list:
        """Told to all if enough met one lately."""
        if len(self.faults.add(host, sender, now)) < max(WITNESSES, SHARE * self.terms.proxies):
            return []
        self.faults.drop(host)
        return [interface.SendPeerReport(None, host, interface.FAULT_CONFIRMED), *self.shut(now, host)]

    def shut(self, now: int, host: int) -> list:
        """Others' word expires, never holds for more than a part of all."""
        ready = self.proxy.ready
        if sum(now < server.verdict_until for server in ready) >= TOLD_MOST * len(ready):
            return []
        return self.proxy.handle(now, interface.HostVerdicts(((host, now + KEPT_AWAY, now + KEPT_AWAY),)))
