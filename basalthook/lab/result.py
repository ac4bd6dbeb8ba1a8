"""The result of a run, the same at every depth."""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .judge import Verdict, judge, seconds_to_recover
from .scenario import Scenario
from .wire import Answered, Asked, Got

MICROSECONDS_PER_SECOND, MAX_LATENCY_S = 1_000_000, 60
PERCENTILES = 50, 90, 99, 99.9


class Result(NamedTuple):
    """The verdict on a run and its measurements."""

    verdict: Verdict
    seed: int
    depth: str
    seconds: float
    latency: dict[str, float]  # ms from when the transaction was due, of commits, by percentile
    recovery: list[float | None]  # seconds from each fault's end until service recovered; None: never
    attempts_by_host: dict[int, int]
    faults: list  # internal errors that the program logged as `fault`
    digest: str  # hash of the wire record; in virtual time the same for the same seed
    fleet_figures: dict | None = None  # of the messages between members, if there are any

    def to_json(self) -> dict:
        """The result as a dict for JSON."""
        verdict = self.verdict
        return {
            "seed": self.seed,
            "depth": self.depth,
            "seconds": self.seconds,
            "rules": verdict.rules,
            "first": verdict.first_violation and verdict.first_violation._asdict(),
            "service": verdict.service,
            "worst_10s": verdict.worst_10s,
            "by_profile": verdict.by_profile,
            "answers": verdict.answers,
            "recovery_s": self.recovery,
            "wasted": verdict.repeated_runs,
            "latency_ms": self.latency,
            "hops": self.attempts_by_host,
            "faults": self.faults,
            "digest": self.digest,
            **(self.fleet_figures or {}),
        }


def build_result(
    scenario: Scenario,
    wire: list,
    begin: float,
    depth: str,
    faults=(),
    digest: str = "",
    fleet_figures: dict | None = None,
) -> Result:
    """Judges the wire record; `begin` is the time on its clock at which the scenario began."""
    wire = sorted(wire, key=lambda entry: entry.at)  # on sockets an entry may be recorded a little late
    histogram, requests = HdrHistogram(1, MAX_LATENCY_S * MICROSECONDS_PER_SECOND, 3), {}
    for entry in wire:
        if isinstance(entry, Asked):
            requests[entry.tx] = entry
        elif isinstance(entry, Answered) and entry.status == 200 and entry.tx in requests:
            latency_us = int((entry.at - requests[entry.tx].due) * MICROSECONDS_PER_SECOND)
            histogram.record_value(min(MAX_LATENCY_S * MICROSECONDS_PER_SECOND, max(1, latency_us)))
    goals = {p.name: p.service_goal for p in scenario.load.profiles}
    latency = {
        f"p{p:g}".replace(".", ""): round(histogram.get_value_at_percentile(p) / 1000, 1) for p in PERCENTILES
    }
    verdict = judge(wire, scenario.rules, goals)
    recovery_times = [
        seconds_to_recover(verdict.served_by_due, begin + fault.at + fault.lasts) for fault in scenario.faults
    ]
    attempts_by_host = Counter(entry.host for entry in wire if isinstance(entry, Got))
    return Result(
        verdict,
        scenario.seed,
        depth,
        scenario.seconds,
        latency,
        recovery_times,
        dict(sorted(attempts_by_host.items())),
        list(faults),
        digest,
        fleet_figures,
    )


def mean_and_max(figures: list[float]) -> dict[str, float]:
    """The mean and the maximum, rounded, under their keys in the JSON result."""
    return {"mean": round(sum(figures) / len(figures), 1), "most": round(max(figures), 1)}
