"""Random schedules of faults on the fleet's limits alone, in virtual time, checked against three rules:

    over     no host ever works on more attempts at once, of all proxies together, than its limit of places
    spent    no window holds more attempts than amount and burst of the rate limit allow
    idle     at least ten seconds after the last fault, free places are used by members with demand

The production code (fleet.limits with election, allocator and lease_holder) runs with a fake of the decision
code that sends every attempt it is allowed to. A schedule has a few members, changing demand, and cuts, lost
and duplicated datagrams, delays longer than a lease, kills that lose all state, stops for up to three leases,
and clocks that differ in time and rate.
`python -m basalthook.lab.leases FIRST COUNT` runs COUNT seeds from FIRST.
"""

import sys
from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from ..fleet.bounds import HOST, NEVER, RATE, Limit
from ..fleet.limits import FleetLimits
from ..policy import interface
from ..policy.measure import Allowance

TICK_INTERVAL = 500  # ticks between two ticks of a member
FAULT_PERIOD, QUIET_PERIOD = 250_000, 130_000  # ticks
HARD_LIMIT = 4_000  # maximum duration of an attempt in ticks of its proxy's clock
CLOCK_RATES = 1.0, 1.02, 0.98
MAX_DATAGRAM_DELAY = 40_000  # ticks; longer than a lease


class Violation(NamedTuple):
    """A broken rule; `at` is in ticks of the simulation."""

    rule: str
    at: int
    detail: str


class FakeDecisions:
    """The part of the decision code that FleetLimits reads; any waiting transaction may use any host."""

    def __init__(self, hosts: int) -> None:
        entries = [SimpleNamespace(hash=1000 + number) for number in range(hosts)]
        self.ready = [
            SimpleNamespace(id=number, entry=entry, attempts={}, verdict_until=0)
            for number, entry in enumerate(entries)
        ]
        self.hosts = {host.id: host for host in self.ready}
        self.queue, self.txs, self.attempts, self.now = [], {}, {}, 0
        self.allowance = Allowance()

    def handle(self, now: int, event, seen=None) -> list:
        self.now = now
        return []

    def ranked_hosts(self, key):
        return self.ready

    def is_eligible(self, tx, entry) -> bool:
        return True

    def excluded(self, host, *reasons) -> bool:
        return False


class Member:
    """One process of a member: its limits, and a fake of the decision code with its demand."""

    def __init__(self, schedule: "LeaseSchedule", position: int) -> None:
        self.schedule, self.position, self.name, self.proxy = (
            schedule,
            position,
            f"p{position}",
            FakeDecisions(schedule.hosts),
        )
        self.process_number, self.transaction_numbers = schedule.process_numbers[position], count()
        rng = Random(f"{schedule.seed} {position} {self.process_number}")
        self.limits = FleetLimits(
            self.proxy,
            self.proxy,
            schedule.limits,
            self.name,
            self.process_number,
            schedule.voters,
            position,
            schedule.size,
            HARD_LIMIT,
            rng,
            self.send,
            schedule.names,
            schedule.clock(position),
        )

    def send(self, name: str, message: list) -> None:
        self.schedule.send(self.position, name, message)

    def tick(self) -> None:
        schedule, proxy, now = self.schedule, self.proxy, self.schedule.clock(self.position)
        proxy.now = now
        while len(proxy.queue) < schedule.demand[self.position]:
            number = next(self.transaction_numbers)
            proxy.txs[number] = SimpleNamespace(
                id=number, key=number, tried=[], state="waiting", limit_key=(interface.FIRST_ATTEMPT, 0)
            )
            proxy.queue.append((False, now, number))
        self.limits.tick(now)
        self.start_attempts(now)
        self.limits.handle(now, None)
        self.start_attempts(now)

    def start_attempts(self, now: int) -> None:
        """Starts attempts at every host with a free place, as long as the rate limit allows."""
        proxy, schedule = self.proxy, self.schedule
        for host in proxy.ready:
            while (
                proxy.queue
                and proxy.allowance.remaining((interface.PER_HOST, host.id), now) > len(host.attempts)
                and (proxy.allowance.remaining((interface.FIRST_ATTEMPT, 0), now) >= 1)
            ):
                number = proxy.queue.pop(0)[2]
                del proxy.txs[number]
                proxy.allowance.consume((interface.FIRST_ATTEMPT, 0))
                duration = int(HARD_LIMIT / schedule.rates[self.position] * schedule.rng.uniform(0.05, 0.97))
                host.attempts[number] = proxy.attempts[number] = host, now, now
                schedule.attempt_started(host.id)
                schedule.call_later(duration, self.attempt_finished, host, number)

    def attempt_finished(self, host, number: int) -> None:
        """The host has finished the work; the proxy may have been killed in the meantime."""
        self.schedule.attempts_by_host[host.id] -= 1
        del host.attempts[number], self.proxy.attempts[number]
        if self.schedule.members[self.position] is self and self.position not in self.schedule.stopped:
            now = self.schedule.clock(self.position)
            self.limits.handle(now, interface.AttemptEnded(number, 0, host.id, interface.COMMITTED, 1, True))
            self.start_attempts(now)


class LeaseSchedule:
    """One random schedule of faults and the members that it is run on."""

    def __init__(
        self, seed: int, member_class=Member, fault_names: tuple = ("cut", "cut", "bad", "kill", "stop")
    ) -> None:
        """`member_class` is the member under test; tests pass one with a planted fault.

        `fault_names` are the names that faults are drawn from.
        """
        self.seed, self.rng, self.member_class, self.fault_names = (
            seed,
            Random(f"leases {seed}"),
            member_class,
            fault_names,
        )
        rng = self.rng
        self.now, self.heap, self.event_sequence = 1_000_000, [], count()
        self.size, self.hosts = rng.randint(2, 6), rng.randint(1, 2)
        self.voters = tuple(f"p{position}" for position in range(rng.choice((1, 3)) if self.size > 2 else 1))
        self.limits = [
            Limit("places", HOST, rng.randint(1, 5), floor=rng.choice((0.0, 0.4))),
            Limit("rate", RATE, *rng.choice(((40, 60), (4_000, 5_000))), (), NEVER, rng.choice((0.0, 0.3))),
        ]
        self.rates = [rng.choice(CLOCK_RATES) for _ in range(self.size)]
        self.clock_offsets = [rng.choice((0, 36_000_000)) for _ in range(self.size)]
        self.members: list[Member | None] = [None] * self.size
        self.process_numbers, self.stopped = [0] * self.size, {}
        self.demand = [0] * self.size
        self.attempts_by_host, self.attempt_times, self.violations = Counter(), [], []
        # (source, target) -> number of active cuts; active faults that lose, duplicate and delay
        self.cut_links, self.lossy_faults = {}, []
        self.attempts_at_end = 0  # attempts begun in the last quarter of the quiet period

    def call_later(self, delay: int, callback, *arguments) -> None:
        heappush(self.heap, (self.now + max(0, delay), next(self.event_sequence), callback, arguments))

    def clock(self, position: int) -> int:
        return int(self.now * self.rates[position]) + self.clock_offsets[position]

    def names(self) -> list[str]:
        return [f"p{position}" for position in range(self.size)]

    # ---- rules

    def attempt_started(self, host: int) -> None:
        self.attempts_by_host[host] += 1
        self.attempt_times.append(self.now)
        self.attempts_at_end += self.now > self.end - QUIET_PERIOD // 4
        if self.attempts_by_host[host] > self.limits[0].amount:
            self.violations.append(Violation("over", self.now, f"{self.attempts_by_host[host]} at {host}"))

    def check_tokens(self) -> None:
        """Checks the rule `spent` with a token bucket over all attempts."""
        limit, level, last = self.limits[1], 0.0, 0
        for at in self.attempt_times:
            level = max(0.0, level - limit.amount * (at - last) / 10_000) + 1
            last = at
            if level > limit.burst + 1e-6:
                self.violations.append(Violation("spent", at, f"{level:.1f} of {limit.burst}"))
                return

    # ---- the run

    def run(self) -> list[Violation]:
        """Runs the schedule and returns the violations of its rules."""
        rng, self.begin = self.rng, self.now
        self.end = self.begin + FAULT_PERIOD + QUIET_PERIOD
        for position in range(self.size):
            self.call_later(rng.randrange(3_000), self.start, position)
        for _ in range(rng.randint(2, 8)):
            self.schedule_fault()
        for _ in range(rng.randint(5, 30)):
            self.call_later(
                rng.randrange(FAULT_PERIOD),
                self.demand.__setitem__,
                rng.randrange(self.size),
                rng.choice((0, 0, 1, 3, 8)),
            )
        self.call_later(FAULT_PERIOD, self.demand.__setitem__, slice(0, self.size), [1] * self.size)
        while self.heap and self.heap[0][0] <= self.end:
            self.now, _, callback, arguments = heappop(self.heap)
            callback(*arguments)
        self.check_tokens()
        if not self.attempts_at_end:
            self.violations.append(
                Violation("idle", self.now, "no attempt was started at the end of the quiet period")
            )
        return self.violations

    def schedule_fault(self) -> None:
        rng = self.rng
        begin = rng.randrange(FAULT_PERIOD * 3 // 4)
        duration, position = rng.randrange(2_000, FAULT_PERIOD - begin), rng.randrange(self.size)
        fault_name = rng.choice(self.fault_names)
        if fault_name == "cut":
            side = {member for member in range(self.size) if rng.random() < 0.5}
            cut_links = [
                (a, b)
                for a in range(self.size)
                for b in range(self.size)
                if a in side and b not in side and a != b
            ]
            cut_links += [(b, a) for a, b in cut_links] * rng.choice((0, 1))
            self.call_later(begin, self.change_cuts, cut_links, 1)
            self.call_later(begin + duration, self.change_cuts, cut_links, -1)
        elif fault_name == "bad":
            fault = (
                rng.random() * 0.6,
                rng.random() * 0.5,
                rng.choice((200, 5_000, MAX_DATAGRAM_DELAY)),
            )
            self.call_later(begin, self.lossy_faults.append, fault)
            self.call_later(begin + duration, self.lossy_faults.remove, fault)
        elif fault_name == "kill":
            self.call_later(begin, self.kill, position)
            self.call_later(begin + min(duration, rng.choice((500, 60_000))), self.start, position)
        else:
            self.call_later(begin, self.stop, position)
            self.call_later(begin + min(duration, 90_000), self.resume, position)

    def change_cuts(self, links: list, change: int) -> None:
        for link in links:
            self.cut_links[link] = self.cut_links.get(link, 0) + change

    def send(self, position: int, name: str, message: list) -> None:
        receiver, rng = int(name[1:]), self.rng
        if self.cut_links.get((position, receiver)):
            return
        loss, duplication, max_delay = max(self.lossy_faults, default=(0.0, 0.0, 20))
        for _ in range(1 + (rng.random() < duplication)):
            if rng.random() >= loss:
                self.call_later(3 + rng.randrange(max_delay), self.receive, receiver, message)

    def receive(self, position: int, message: list) -> None:
        if position in self.stopped:
            if len(self.stopped[position]) < 256:
                self.stopped[position].append(message)
        elif self.members[position] is not None:
            member, now = self.members[position], self.clock(position)
            member.limits.received(now, message)
            member.start_attempts(now)

    def start(self, position: int) -> None:
        if self.members[position] is None:
            self.process_numbers[position] += 1
            self.members[position] = self.member_class(self, position)
            self.tick(position, self.process_numbers[position])

    def tick(self, position: int, process_number: int) -> None:
        if self.members[position] is None or self.process_numbers[position] != process_number:
            return
        self.call_later(TICK_INTERVAL, self.tick, position, process_number)
        if position not in self.stopped:
            self.members[position].tick()

    def kill(self, position: int) -> None:
        self.members[position] = None
        self.stopped.pop(position, None)

    def stop(self, position: int) -> None:
        if self.members[position] is not None:
            self.stopped.setdefault(position, [])

    def resume(self, position: int) -> None:
        """Resumes a member, which may use the leases it believes to hold before it reads its socket."""
        queued_messages = self.stopped.pop(position, None)
        if queued_messages is not None and self.members[position] is not None:
            self.members[position].start_attempts(self.clock(position))
            for message in queued_messages:
                self.receive(position, message)


def run_seed(seed: int) -> tuple[int, list[Violation]]:
    return seed, LeaseSchedule(seed).run()


def main() -> None:
    from multiprocessing import Pool

    first, schedule_count = int(sys.argv[1]), int(sys.argv[2])
    with Pool() as pool:
        failures = [
            (seed, violations)
            for seed, violations in pool.imap_unordered(run_seed, range(first, first + schedule_count), 8)
            if violations
        ]
    for seed, violations in sorted(failures)[:20]:
        print(seed, *violations[:2])
    print(f"{schedule_count} schedules, {len(failures)} broken")
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
