"""What a run comes to, the same at every depth."""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .judge import Verdict, judge, recovery
from .scenario import Scenario
from .wire import Answered, Asked, Got

MICROSECOND, LONGEST = 1_000_000, 60
PERCENTILES = 50, 90, 99, 99.9


class Result(NamedTuple):
    verdict: Verdict
    seed: int
    depth: str
    seconds: float
    latency: dict[str, float]  # milliseconds from when due, of commits, by percentile
    recovery: list[float | None]  # seconds from each fault's end until service is back; None: it never was
    hops: dict[int, int]  # by host
    faults: list  # what the program's own log called one
    digest: str  # of all that crossed; the same for the same seed, in virtual time
    talk: dict | None = None  # what the members' talk came to, where there is any

    def told(self) -> dict:
        """As JSON has it."""
        verdict = self.verdict
        return {
            "seed": self.seed,
            "depth": self.depth,
            "seconds": self.seconds,
            "rules": verdict.rules,
            "first": verdict.first and verdict.first._asdict(),
            "service": verdict.service,
            "worst_10s": verdict.worst_10s,
            "by_profile": verdict.by_profile,
            "answers": verdict.answers,
            "recovery_s": self.recovery,
            "wasted": verdict.wasted,
            "latency_ms": self.latency,
            "hops": self.hops,
            "faults": self.faults,
            "digest": self.digest,
            **(self.talk or {}),
        }


def found(
    told: Scenario,
    wire: list,
    begin: float,
    depth: str,
    faults=(),
    digest: str = "",
    talk: dict | None = None,
) -> Result:
    """`begin`: the moment, on the wire's clock, at which the scenario began."""
    wire = sorted(wire, key=lambda e: e.at)  # on sockets an entry is noted when it was read, a little late
    histogram, asked = HdrHistogram(1, LONGEST * MICROSECOND, 3), {}
    for e in wire:
        if isinstance(e, Asked):
            asked[e.tx] = e
        elif isinstance(e, Answered) and e.status == 200 and e.tx in asked:
            took = int((e.at - asked[e.tx].due) * MICROSECOND)
            histogram.record_value(min(LONGEST * MICROSECOND, max(1, took)))
    goals = {p.name: p.service_goal for p in told.load.profiles}
    latency = {
        f"p{p:g}".replace(".", ""): round(histogram.get_value_at_percentile(p) / 1000, 1) for p in PERCENTILES
    }
    verdict = judge(wire, told.rules, goals)
    back = [recovery(verdict.whole, begin + fault.at + fault.lasts) for fault in told.faults]
    hops = Counter(e.host for e in wire if isinstance(e, Got))
    return Result(
        verdict,
        told.seed,
        depth,
        told.seconds,
        latency,
        back,
        dict(sorted(hops.items())),
        list(faults),
        digest,
        talk,
    )


def mean_and_most(figures: list[float]) -> dict[str, float]:
    return {"mean": round(sum(figures) / len(figures), 1), "most": round(max(figures), 1)}
