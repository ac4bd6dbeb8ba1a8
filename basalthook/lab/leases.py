"""Random schedules of faults on the fleet's limits alone, in virtual time: seeds by thousands, and a judge.

    over     no host ever works on more hops of all proxies at once than its places
    spent    no window holds more tokens than amount and burst grant it
    idle     ten quiet seconds after the last fault, places that are free are had by who wants one

What ships (fleet.limits with election, allocator and lease_holder) stands beside a stand-in for the
decisions that takes whatever it is allowed. A schedule is a few members, demand that comes and goes, and
cuts, losses, doubles, delays longer than a lease, kills with all forgotten, stops for up to three leases,
clocks apart and fast.
`python -m basalthook.lab.leases FIRST COUNT` plays so many seeds.
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

TICK = 500  # ticks between two looks of a member
TROUBLE, QUIET = 250_000, 130_000
HARD_LIMIT = 4_000  # ticks that a hop is out at most, by its proxy's clock
RATES = 1.0, 1.02, 0.98
LONGEST_WAY = 40_000  # ticks that a datagram may be late: longer than a lease


class Violation(NamedTuple):
    rule: str
    at: int
    what: str


class Decisions:
    """What FleetLimits reads of the real ones. Each waiting transaction goes wherever it is allowed."""

    def __init__(self, hosts: int) -> None:
        lines = [SimpleNamespace(hash=1000 + n) for n in range(hosts)]
        self.ready = [
            SimpleNamespace(id=n, entry=line, attempts={}, verdict_until=0) for n, line in enumerate(lines)
        ]
        self.hosts = {server.id: server for server in self.ready}
        self.queue, self.txs, self.attempts, self.now = [], {}, {}, 0
        self.allowance = Allowance()

    def handle(self, now: int, event, seen=None) -> list:
        self.now = now
        return []

    def ranked_hosts(self, key):
        return self.ready

    def is_eligible(self, tx, line) -> bool:
        return True

    def excluded(self, server, *reasons) -> bool:
        return False


class Member:
    def __init__(self, run: "LeaseSchedule", n: int) -> None:
        self.run, self.n, self.name, self.proxy = run, n, f"p{n}", Decisions(run.hosts)
        self.life, self.numbers = run.lives[n], count()
        chance = Random(f"{run.seed} {n} {self.life}")
        self.limits = FleetLimits(
            self.proxy,
            self.proxy,
            run.limits,
            self.name,
            self.life,
            run.voters,
            n,
            run.size,
            HARD_LIMIT,
            chance,
            self.out,
            run.names,
            run.clock(n),
        )

    def out(self, name: str, message: list) -> None:
        self.run.send(self.n, name, message)

    def tick(self) -> None:
        run, proxy, now = self.run, self.proxy, self.run.clock(self.n)
        proxy.now = now
        while len(proxy.queue) < run.demand[self.n]:
            number = next(self.numbers)
            proxy.txs[number] = SimpleNamespace(
                id=number, key=number, tried=[], state="waiting", limit_key=(interface.FIRST_ATTEMPT, 0)
            )
            proxy.queue.append((False, now, number))
        self.limits.tick(now)
        self.go(now)
        self.limits.handle(now, None)
        self.go(now)

    def go(self, now: int) -> None:
        """Hops to every host with a place, as long as there are tokens."""
        proxy, run = self.proxy, self.run
        for server in proxy.ready:
            while (
                proxy.queue
                and proxy.allowance.remaining((interface.PER_HOST, server.id), now) > len(server.attempts)
                and (proxy.allowance.remaining((interface.FIRST_ATTEMPT, 0), now) >= 1)
            ):
                number = proxy.queue.pop(0)[2]
                del proxy.txs[number]
                proxy.allowance.consume((interface.FIRST_ATTEMPT, 0))
                lasts = int(HARD_LIMIT / run.rates[self.n] * run.chance.uniform(0.05, 0.97))
                server.attempts[number] = proxy.attempts[number] = server, now, now
                run.began(server.id)
                run.call_later(lasts, self.ended, server, number)

    def ended(self, server, number: int) -> None:
        """The host has done its work, whether or not the proxy still lives."""
        self.run.held[server.id] -= 1
        del server.attempts[number], self.proxy.attempts[number]
        if self.run.members[self.n] is self and self.n not in self.run.stopped:
            now = self.run.clock(self.n)
            self.limits.handle(
                now, interface.AttemptEnded(number, 0, server.id, interface.COMMITTED, 1, True)
            )
            self.go(now)


class LeaseSchedule:
    def __init__(self, seed: int, make=Member, faults: tuple = ("cut", "cut", "bad", "kill", "stop")) -> None:
        """`make`: what is played, a test hands in a member with a bug planted; `faults`: drawn from these."""
        self.seed, self.chance, self.make, self.faults = seed, Random(f"leases {seed}"), make, faults
        chance = self.chance
        self.now, self.heap, self.order = 1_000_000, [], count()
        self.size, self.hosts = chance.randint(2, 6), chance.randint(1, 2)
        self.voters = tuple(f"p{n}" for n in range(chance.choice((1, 3)) if self.size > 2 else 1))
        self.limits = [
            Limit("places", HOST, chance.randint(1, 5), floor=chance.choice((0.0, 0.4))),
            Limit(
                "rate", RATE, *chance.choice(((40, 60), (4_000, 5_000))), (), NEVER, chance.choice((0.0, 0.3))
            ),
        ]
        self.rates = [chance.choice(RATES) for _ in range(self.size)]
        self.ahead = [chance.choice((0, 36_000_000)) for _ in range(self.size)]
        self.members: list[Member | None] = [None] * self.size
        self.lives, self.stopped = [0] * self.size, {}
        self.demand = [0] * self.size
        self.held, self.spent, self.broken = Counter(), [], []
        self.ways, self.bad = {}, []  # (from, to) -> faults that hold there
        self.had = 0  # hops begun in the quiet's end

    def call_later(self, delay: int, call, *given) -> None:
        heappush(self.heap, (self.now + max(0, delay), next(self.order), call, given))

    def clock(self, n: int) -> int:
        return int(self.now * self.rates[n]) + self.ahead[n]

    def names(self) -> list[str]:
        return [f"p{n}" for n in range(self.size)]

    # ---- what the judge notes

    def began(self, host: int) -> None:
        self.held[host] += 1
        self.spent.append(self.now)
        self.had += self.now > self.end - QUIET // 4
        if self.held[host] > self.limits[0].amount:
            self.broken.append(Violation("over", self.now, f"{self.held[host]} at {host}"))

    def tokens(self) -> None:
        limit, level, last = self.limits[1], 0.0, 0
        for at in self.spent:
            level = max(0.0, level - limit.amount * (at - last) / 10_000) + 1
            last = at
            if level > limit.burst + 1e-6:
                self.broken.append(Violation("spent", at, f"{level:.1f} of {limit.burst}"))
                return

    # ---- the run

    def play(self) -> list[Violation]:
        chance, self.begin = self.chance, self.now
        self.end = self.begin + TROUBLE + QUIET
        for n in range(self.size):
            self.call_later(chance.randrange(3_000), self.start, n)
        for _ in range(chance.randint(2, 8)):
            self.plan()
        for _ in range(chance.randint(5, 30)):
            self.call_later(
                chance.randrange(TROUBLE),
                self.demand.__setitem__,
                chance.randrange(self.size),
                chance.choice((0, 0, 1, 3, 8)),
            )
        self.call_later(TROUBLE, self.demand.__setitem__, slice(0, self.size), [1] * self.size)
        while self.heap and self.heap[0][0] <= self.end:
            self.now, _, call, given = heappop(self.heap)
            call(*given)
        self.tokens()
        if not self.had:
            self.broken.append(Violation("idle", self.now, "nobody was served in the quiet"))
        return self.broken

    def plan(self) -> None:
        chance = self.chance
        begin = chance.randrange(TROUBLE * 3 // 4)
        lasts, n = chance.randrange(2_000, TROUBLE - begin), chance.randrange(self.size)
        what = chance.choice(self.faults)
        if what == "cut":
            side = {k for k in range(self.size) if chance.random() < 0.5}
            cut = [
                (a, b)
                for a in range(self.size)
                for b in range(self.size)
                if a in side and b not in side and a != b
            ]
            cut += [(b, a) for a, b in cut] * chance.choice((0, 1))
            self.call_later(begin, self.cut, cut, 1)
            self.call_later(begin + lasts, self.cut, cut, -1)
        elif what == "bad":
            fault = chance.random() * 0.6, chance.random() * 0.5, chance.choice((200, 5_000, LONGEST_WAY))
            self.call_later(begin, self.bad.append, fault)
            self.call_later(begin + lasts, self.bad.remove, fault)
        elif what == "kill":
            self.call_later(begin, self.kill, n)
            self.call_later(begin + min(lasts, chance.choice((500, 60_000))), self.start, n)
        else:
            self.call_later(begin, self.stop, n)
            self.call_later(begin + min(lasts, 90_000), self.go_on, n)

    def cut(self, ways: list, more: int) -> None:
        for way in ways:
            self.ways[way] = self.ways.get(way, 0) + more

    def send(self, n: int, name: str, message: list) -> None:
        target, chance = int(name[1:]), self.chance
        if self.ways.get((n, target)):
            return
        lost, doubled, late = max(self.bad, default=(0.0, 0.0, 20))
        for _ in range(1 + (chance.random() < doubled)):
            if chance.random() >= lost:
                self.call_later(3 + chance.randrange(late), self.arrives, target, message)

    def arrives(self, n: int, message: list) -> None:
        if n in self.stopped:
            if len(self.stopped[n]) < 256:
                self.stopped[n].append(message)
        elif self.members[n] is not None:
            member, now = self.members[n], self.clock(n)
            member.limits.received(now, message)
            member.go(now)

    def start(self, n: int) -> None:
        if self.members[n] is None:
            self.lives[n] += 1
            self.members[n] = self.make(self, n)
            self.tick(n, self.lives[n])

    def tick(self, n: int, life: int) -> None:
        if self.members[n] is None or self.lives[n] != life:
            return
        self.call_later(TICK, self.tick, n, life)
        if n not in self.stopped:
            self.members[n].tick()

    def kill(self, n: int) -> None:
        self.members[n] = None
        self.stopped.pop(n, None)

    def stop(self, n: int) -> None:
        if self.members[n] is not None:
            self.stopped.setdefault(n, [])

    def go_on(self, n: int) -> None:
        """It reads what lay in its socket, and would use at once what it thinks it has."""
        waited = self.stopped.pop(n, None)
        if waited is not None and self.members[n] is not None:
            self.members[n].go(self.clock(n))
            for message in waited:
                self.arrives(n, message)


def broken(seed: int) -> tuple[int, list[Violation]]:
    return seed, LeaseSchedule(seed).play()


def main() -> None:
    from multiprocessing import Pool

    first, many = int(sys.argv[1]), int(sys.argv[2])
    with Pool() as pool:
        found = [
            (seed, wrong)
            for seed, wrong in pool.imap_unordered(broken, range(first, first + many), 8)
            if wrong
        ]
    for seed, wrong in sorted(found)[:20]:
        print(seed, *wrong[:2])
    print(f"{many} schedules, {len(found)} broken")
    sys.exit(bool(found))


if __name__ == "__main__":
    main()
