"""Random schedules of faults on gossip alone, in virtual time, checked against four rules:

    old      no member holds a fact older than the lifetime of its kind, by the simulation's clock
    apart    fifteen seconds after the last fault, all live members consider each other alive
    unlike   fifteen seconds after the last fault, all live members hold the same facts
    forgot   a member holds what it has published since its last start until that is too old

A schedule has a few members, facts published at random, and cuts, lost, delayed, duplicated and corrupted
datagrams, kills that lose all state, stops, and clocks that differ in time and rate.
`python -m basalthook.lab.schedules FIRST COUNT` runs COUNT seeds from FIRST.
"""

import sys
from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from ..fleet.gossip import Gossip
from .faults import Cut, Lossy
from .links import Links, flip_random_bit

KEY, FACT_LIFETIMES = b"schedules have a key of their own", {"host": 30_000, "trial": 600_000}
TICK_INTERVAL, DATAGRAM_DELAY = 500, 10  # in ticks of 0.1 ms
FAULT_PERIOD, QUIET_PERIOD = 200_000, 150_000  # ticks
CLOCK_RATES = 1.0, 1.0, 1.02, 0.98
CLOCK_DRIFT, AGE_TOLERANCE = 0.05, 600  # fraction of clock drift; ticks, for the check's interval


class Violation(NamedTuple):
    """A broken rule; `at` is in ticks since the schedule began."""

    rule: str
    at: int
    member: int
    detail: str


class GossipSchedule:
    """One random schedule of faults and the members that it is run on."""

    def __init__(self, seed: int, gossip_class=Gossip) -> None:
        """`gossip_class` is the class under test; tests pass one with a planted fault."""
        self.rng, self.now, self.heap, self.event_sequence = (
            Random(f"schedule {seed}"),
            1_000_000,
            [],
            count(),
        )
        self.size = self.rng.randint(2, 7)
        self.links, self.gossip_class = Links(seed, self.size, 0), gossip_class
        self.gossip_instances: list = [None] * self.size
        self.process_numbers, self.stopped, self.seed_count = [0] * self.size, {}, min(2, self.size)
        self.rates = [self.rng.choice(CLOCK_RATES) for _ in range(self.size)]
        self.clock_offsets = [self.rng.choice((0, 0, 36_000_000)) for _ in range(self.size)]
        self.published_at: dict[tuple, int] = {}  # (author, life, sequence) -> simulation time
        self.violations: list[Violation] = []

    def call_later(self, delay: int, callback, *arguments) -> None:
        heappush(self.heap, (self.now + delay, next(self.event_sequence), callback, arguments))

    def clock(self, member: int) -> int:
        return int(self.now * self.rates[member]) + self.clock_offsets[member]

    def run(self) -> list[Violation]:
        """Runs the schedule and returns the violations of its rules."""
        self.begin, rng = self.now, self.rng
        for member in range(self.size):
            self.call_later(rng.randrange(5_000), self.start, member)
        for _ in range(rng.randint(1, 6)):
            self.schedule_fault(rng)
        for _ in range(rng.randint(3, 25)):
            self.call_later(
                rng.randrange(5_000, FAULT_PERIOD + QUIET_PERIOD // 2),
                self.publish_fact,
                rng.randrange(self.size),
            )
        end = self.begin + FAULT_PERIOD + QUIET_PERIOD
        while self.heap and self.heap[0][0] <= end:
            self.now, _, callback, arguments = heappop(self.heap)
            callback(*arguments)
        self.check_agreement()
        return self.violations

    def schedule_fault(self, rng: Random) -> None:
        """Schedules one fault that ends before the quiet period begins."""
        begin = rng.randrange(FAULT_PERIOD * 3 // 4)
        duration = rng.randrange(2_000, FAULT_PERIOD - begin)
        names = [f"p{member}" for member in range(self.size)]
        sides = [rng.sample(names, rng.randint(1, self.size - 1)) for _ in range(2)]
        one_way, member = rng.random() < 0.4, rng.randrange(self.size)
        fault_name = rng.choice(("cut", "lossy", "kill", "stop"))
        if fault_name == "cut" or fault_name == "lossy":
            fault = (
                Cut(at=0, lasts=1, between=sides, one_way=one_way)
                if fault_name == "cut"
                else Lossy(
                    at=0,
                    lasts=1,
                    between=sides,
                    one_way=one_way,
                    loses=rng.choice((0, 0.1, 0.5)),
                    doubles=rng.choice((0, 0.3)),
                    reorders=rng.choice((0, 0.3)),
                    delay=rng.choice((0, 0.05, 4.0)),
                    spoils=rng.choice((0, 0.1)),
                )
            )
            self.call_later(begin, self.links.add_fault, fault)
            self.call_later(begin + duration, self.links.remove_fault, fault)
        elif fault_name == "kill":
            self.call_later(begin, self.kill, member)
            self.call_later(begin + duration, self.start, member)
        else:
            self.call_later(begin, self.stop, member)
            self.call_later(begin + duration, self.resume, member)

    # ---- members

    def start(self, member: int) -> None:
        if self.gossip_instances[member] is not None:
            return
        self.process_numbers[member] += 1
        life = max(1, self.clock(member) // 10)
        seeds = [(f"p{seed}", 1) for seed in range(self.seed_count)]
        gossip = self.gossip_instances[member] = self.gossip_class(
            f"p{member}",
            (f"p{member}", 1),
            life,
            seeds,
            KEY,
            FACT_LIFETIMES,
            Random(self.rng.random()),
            lambda address, data: self.send(member, address, data),
        )
        gossip.begin(self.clock(member))
        self.call_later(self.rng.randrange(TICK_INTERVAL), self.tick, member, self.process_numbers[member])

    def kill(self, member: int) -> None:
        self.gossip_instances[member] = None
        self.stopped.pop(member, None)

    def stop(self, member: int) -> None:
        if self.gossip_instances[member] is not None:
            self.stopped.setdefault(member, [])

    def resume(self, member: int) -> None:
        for data, source in self.stopped.pop(member, ()):
            self.gossip_instances[member].received(self.clock(member), data, source)

    def tick(self, member: int, process_number: int) -> None:
        gossip = self.gossip_instances[member]
        if gossip is None or process_number != self.process_numbers[member]:
            return
        self.call_later(TICK_INTERVAL, self.tick, member, process_number)
        if member not in self.stopped:
            gossip.tick(self.clock(member))
            self.check_ages(member, gossip)

    def publish_fact(self, member: int) -> None:
        gossip = self.gossip_instances[member]
        if gossip is None or member in self.stopped:
            return
        kind, subject = self.rng.choice(tuple(FACT_LIFETIMES)), self.rng.choice("abc")
        fact = gossip.table.publish(
            self.clock(member), kind, subject, (self.rng.randrange(9),), len(gossip.live())
        )
        self.published_at[fact.author, fact.life, fact.sequence] = self.now

    def send(self, member: int, address: tuple[str, int], data: bytes) -> None:
        outcome = self.links.datagram_outcome(f"p{member}", address[0])
        for delay in outcome.copies:
            sent_data = flip_random_bit(data, self.rng) if outcome.corrupted else data
            self.call_later(
                DATAGRAM_DELAY + int(delay * 10_000),
                self.receive,
                int(address[0][1:]),
                sent_data,
                (f"p{member}", 1),
            )

    def receive(self, member: int, data: bytes, source) -> None:
        if self.gossip_instances[member] is None:
            return
        if member in self.stopped:
            if len(self.stopped[member]) < 200:
                self.stopped[member].append((data, source))
        else:
            self.gossip_instances[member].received(self.clock(member), data, source)

    # ---- rules

    def check_ages(self, member: int, gossip) -> None:
        for fact in gossip.table.live_facts(self.clock(member)):
            published = self.published_at.get((fact.author, fact.life, fact.sequence))
            if (
                published is not None
                and self.now - published > FACT_LIFETIMES[fact.kind] * (1 + CLOCK_DRIFT) + AGE_TOLERANCE
            ):
                self.violations.append(
                    Violation("old", self.now - self.begin, member, f"{fact}, {self.now - published}")
                )

    def check_agreement(self) -> None:
        """Checks the rules `apart`, `forgot` and `unlike` at the end of a run."""
        live_members = {
            f"p{member}" for member, gossip in enumerate(self.gossip_instances) if gossip is not None
        }
        facts_by_member = {}
        for member, gossip in enumerate(self.gossip_instances):
            if gossip is None:
                continue
            if set(gossip.live()) != live_members:
                self.violations.append(
                    Violation("apart", self.now - self.begin, member, f"{gossip.live()} of {live_members}")
                )
            facts = gossip.table.live_facts(self.clock(member))
            facts_by_member[member] = {
                (fact.author, fact.life, fact.kind, fact.subject, fact.sequence)
                for fact in facts
                if self.is_settled(fact)
            }
            present = {(fact.author, fact.life, fact.sequence) for fact in facts}
            last_published = max(
                (key for key in self.published_at if key[0] == f"p{member}" and key[1] == gossip.table.life),
                key=lambda key: key[2],
                default=None,
            )
            if (
                last_published not in present
                and self.now - self.published_at.get(last_published, 0) < min(FACT_LIFETIMES.values()) * 0.9
            ):
                self.violations.append(
                    Violation("forgot", self.now - self.begin, member, f"{last_published}")
                )
        first = next(iter(facts_by_member.values()), None)
        for member, facts in facts_by_member.items():
            if facts != first:
                self.violations.append(Violation("unlike", self.now - self.begin, member, f"{facts ^ first}"))

    def is_settled(self, fact) -> bool:
        """Whether all members must hold this fact.

        A younger one may still be on its way; an older one may have expired at members that received it late
        and so overestimate its age.
        """
        age = self.now - self.published_at.get((fact.author, fact.life, fact.sequence), self.now)
        return 60_000 <= age <= FACT_LIFETIMES[fact.kind] / 2


def main(first: int, schedule_count: int) -> int:
    rule_counts = Counter()
    for seed in range(first, first + schedule_count):
        violations = GossipSchedule(seed).run()
        if violations:
            rule_counts[violations[0].rule] += 1
            print(f"seed {seed}: {violations[0]}", flush=True)
    print(f"{schedule_count} schedules from {first}: {sum(rule_counts.values())} broken {dict(rule_counts)}")
    return 1 if rule_counts else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
