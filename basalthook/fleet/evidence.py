"""What this proxy saw at each host lately, as words that others can weigh; pure.

A word counts hops, it concludes nothing: faults by kind, what is unanswered and since when, what was
answered. It is told where this proxy met a fault, or where others did and this one can say how the host was
to it.
"""

from collections import deque
from typing import NamedTuple

from ..policy import interface

WINDOW = 30_000  # ticks that an outcome counts
HOPS_MOST = 256  # outcomes kept of a host
LONG_AGO = 10**7
ANSWERED, ERRED, LOST = "answered", "erred", "lost"
SORTS = {
    interface.COMMITTED: ANSWERED,
    interface.DECLINED: ANSWERED,
    interface.ERROR: ERRED,
    interface.RESET: ERRED,
    interface.DROPPED: ERRED,
    interface.UNREACHABLE: ERRED,
    interface.TIMED_OUT: LOST,
}  # of others nothing follows


class Word(NamedTuple):
    """One proxy's word on one host; moments are ticks on the reader's clock."""

    who: str
    zone: str
    late: int  # hops out for longer than is usual there, with nothing heard since
    late_sent: int  # when the latest of these was sent
    lost: int  # hops unanswered to their end, within the window
    errors: int
    answers: int
    heard: int  # when the host was last heard at all
    told: int  # when this was told
    mark: int = 0  # of the fact it came as

    @property
    def faults(self) -> int:
        return self.lost + self.errors

    @property
    def blames(self) -> bool:
        return self.faults > 0 or self.late > 0 and self.late_sent > self.heard


def plain(zone: str, word: Word) -> tuple:
    """As a fact's value; moments as ages."""
    ago = min(LONG_AGO, max(0, word.told - word.late_sent)), min(LONG_AGO, max(0, word.told - word.heard))
    return (zone, word.late, ago[0], word.lost, word.errors, word.answers, ago[1])


def read(fact, told: int) -> Word | None:
    """A fact back, told at that moment; None where its value is none."""
    value = fact.value
    if (
        len(value) != 7
        or not isinstance(value[0], str)
        or not all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n <= LONG_AGO for n in value[1:])
    ):
        return None
    zone, late, late_ago, lost, errors, answers, heard_ago = value
    return Word(
        fact.author, zone, late, told - late_ago, lost, errors, answers, told - heard_ago, told, fact.mark
    )


class Seen:
    """`ended` for every hop's end; hosts by the decisions' numbers."""

    def __init__(self, who: str, zone: str) -> None:
        self.who, self.zone = who, zone
        self.outcomes: dict[int, deque] = {}  # host -> (when, sort); emptied by time and by the bound
        self.since: dict[int, int] = {}  # host -> hops sent before that tell nothing any more
        self.faulty: set[int] = set()  # hosts with a fault among their outcomes

    def ended(self, now: int, event: interface.AttemptEnded) -> None:
        sort = SORTS.get(event.outcome)
        if sort is None or now - event.elapsed < self.since.get(event.host, 0):
            return
        outcomes = self.outcomes.get(event.host)
        if outcomes is None:
            outcomes = self.outcomes[event.host] = deque(maxlen=HOPS_MOST)
        outcomes.append((now, sort))
        if sort != ANSWERED:
            self.faulty.add(event.host)

    def anew(self, host: int, now: int) -> None:
        """The host has another chance: what was met before says nothing of it."""
        self.outcomes.pop(host, None)
        self.since[host] = now

    def blamed(self, seen: int, proxy) -> set[int]:
        """Hosts of which this proxy has a fault to tell."""
        late = {
            server.id
            for server, sent_at, late_after in proxy.attempts.values()
            if seen - sent_at >= late_after and server.last_answer <= sent_at
        }
        return late | self.faulty

    def word(self, now: int, seen: int, proxy, host: int) -> Word:
        """`seen`: up to then all that came in is told; a silence since may be that of this process."""
        server, outcomes = proxy.hosts[host], self.outcomes.get(host)
        while outcomes and outcomes[0][0] <= now - WINDOW:
            outcomes.popleft()
        if not outcomes:
            self.outcomes.pop(host, None)
        counts = dict.fromkeys((ANSWERED, ERRED, LOST), 0)
        for _, sort in outcomes or ():
            counts[sort] += 1
        if not counts[ERRED] + counts[LOST]:
            self.faulty.discard(host)
        late = [
            sent_at
            for _, sent_at, late_after in server.attempts.values()
            if seen - sent_at >= late_after and sent_at >= self.since.get(host, 0)
        ]
        return Word(
            self.who,
            self.zone,
            len(late),
            max(late, default=0),
            counts[LOST],
            counts[ERRED],
            counts[ANSWERED],
            server.last_answer,
            now,
        )

    def forget(self, hosts) -> None:
        """Those that are not listed any more."""
        for table in (self.outcomes, self.since):
            for host in [host for host in table if host not in hosts]:
                del table[host]
        self.faulty &= set(hosts)
