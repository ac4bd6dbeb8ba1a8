"""Recent outcomes at each host as seen by this proxy, and the reports made of them. No I/O.

A report counts attempts and draws no conclusion: faults by kind, attempts still unanswered and since when,
and answers. A proxy reports on a host where it met a fault itself, or where others did and its counts help to
judge the host. All times are ticks of 0.1 ms.
"""

from collections import deque
from typing import NamedTuple

from ..policy import interface

OUTCOME_WINDOW = 30_000  # ticks for which an outcome counts
MAX_OUTCOMES = 256  # kept per host
MAX_AGE = 10**7  # ticks; greater ages are published as this
ANSWERED, ERRED, LOST = "answered", "erred", "lost"
OUTCOME_CATEGORIES = {
    interface.COMMITTED: ANSWERED,
    interface.DECLINED: ANSWERED,
    interface.ERROR: ERRED,
    interface.RESET: ERRED,
    interface.DROPPED: ERRED,
    interface.UNREACHABLE: ERRED,
    interface.TIMED_OUT: LOST,
}  # other outcomes say nothing about the host


class HostReport(NamedTuple):
    """One proxy's report on one host; times are on the reader's clock."""

    author: str
    zone: str
    late: int  # attempts open for longer than usual at this host, with no answer from it since
    late_sent_at: int  # start of the latest of these
    lost: int  # attempts that timed out, within OUTCOME_WINDOW
    errors: int
    answers: int
    heard_at: int  # last answer of any kind from the host
    published_at: int
    fact_id: int = 0  # of the fact that carried it

    @property
    def faults(self) -> int:
        return self.lost + self.errors

    @property
    def blames(self) -> bool:
        return self.faults > 0 or self.late > 0 and self.late_sent_at > self.heard_at


def report_value(zone: str, report: HostReport) -> tuple:
    """Encodes a report as the value of a fact; times become ages."""
    ages = (
        min(MAX_AGE, max(0, report.published_at - report.late_sent_at)),
        min(MAX_AGE, max(0, report.published_at - report.heard_at)),
    )
    return (zone, report.late, ages[0], report.lost, report.errors, report.answers, ages[1])


def parse_report(fact, published_at: int) -> HostReport | None:
    """Decodes a fact published at this time; None if its value is malformed."""
    value = fact.value
    if (
        len(value) != 7
        or not isinstance(value[0], str)
        or not all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n <= MAX_AGE for n in value[1:])
    ):
        return None
    zone, late, late_ago, lost, errors, answers, heard_ago = value
    return HostReport(
        fact.author,
        zone,
        late,
        published_at - late_ago,
        lost,
        errors,
        answers,
        published_at - heard_ago,
        published_at,
        fact.fact_id,
    )


class HostObservations:
    """Collects outcomes (`record`) and makes reports (`report`); hosts by the decision core's numbers."""

    def __init__(self, author: str, zone: str) -> None:
        self.author, self.zone = author, zone
        self.outcomes: dict[int, deque] = {}  # host -> (time, category); bounded and pruned by age
        self.ignore_before: dict[int, int] = {}  # host -> attempts started earlier are ignored
        self.hosts_with_faults: set[int] = set()  # may include hosts whose faults have aged out

    def record(self, now: int, event: interface.AttemptEnded) -> None:
        """Records the outcome of an attempt."""
        category = OUTCOME_CATEGORIES.get(event.outcome)
        if category is None or now - event.elapsed < self.ignore_before.get(event.host, 0):
            return
        outcomes = self.outcomes.get(event.host)
        if outcomes is None:
            outcomes = self.outcomes[event.host] = deque(maxlen=MAX_OUTCOMES)
        outcomes.append((now, category))
        if category != ANSWERED:
            self.hosts_with_faults.add(event.host)

    def reset(self, host: int, now: int) -> None:
        """Discards what is known of a host that returns: earlier outcomes say nothing about it now."""
        self.outcomes.pop(host, None)
        self.ignore_before[host] = now

    def faulty_hosts(self, received_until: int, proxy) -> set[int]:
        """Returns the hosts with a fault or a late attempt at this proxy."""
        late = {
            host_state.id
            for host_state, sent_at, late_after in proxy.attempts.values()
            if received_until - sent_at >= late_after and host_state.last_answer <= sent_at
        }
        return late | self.hosts_with_faults

    def report(self, now: int, received_until: int, proxy, host: int) -> HostReport:
        """Makes the report on one host.

        `received_until`: everything received up to then has been handled. A silence since then may be a pause
        of this process itself.
        """
        host_state, outcomes = proxy.hosts[host], self.outcomes.get(host)
        while outcomes and outcomes[0][0] <= now - OUTCOME_WINDOW:
            outcomes.popleft()
        if not outcomes:
            self.outcomes.pop(host, None)
        counts = dict.fromkeys((ANSWERED, ERRED, LOST), 0)
        for _, category in outcomes or ():
            counts[category] += 1
        if not counts[ERRED] + counts[LOST]:
            self.hosts_with_faults.discard(host)
        late = [
            sent_at
            for _, sent_at, late_after in host_state.attempts.values()
            if received_until - sent_at >= late_after and sent_at >= self.ignore_before.get(host, 0)
        ]
        return HostReport(
            self.author,
            self.zone,
            len(late),
            max(late, default=0),
            counts[LOST],
            counts[ERRED],
            counts[ANSWERED],
            host_state.last_answer,
            now,
        )

    def forget_unlisted(self, hosts) -> None:
        """Drops hosts that are not in `hosts`."""
        for by_host in (self.outcomes, self.ignore_before):
            for host in [host for host in by_host if host not in hosts]:
                del by_host[host]
        self.hosts_with_faults &= set(hosts)
