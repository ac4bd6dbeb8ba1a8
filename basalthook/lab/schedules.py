"""Random schedules of faults on the members' cores alone, in virtual time: seeds by thousands, and what must
hold.

    old      no word is seen by anyone once it is older than its kind's life, by the one true clock
    apart    fifteen quiet seconds after the last fault, all that live hold one another for alive
    unlike   and hold the same words
    forgot   what a member has told since its last start is held by that member until it is too old

A schedule is a few members, words told at random, and cuts, losses, delays, doubles, spoilt bytes, kills with
all forgotten, stops, clocks apart and fast. `python -m basalthook.lab.schedules FIRST COUNT` plays so many
seeds.
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
TICK, WAY = 500, 10  # tenths of a millisecond: between two ticks of a member; a datagram's way
TROUBLE, QUIET = 200_000, 150_000
RATES = 1.0, 1.0, 1.02, 0.98
DRIFT, GRAIN = 0.05, 600  # parts by which clocks may be apart; ticks between two looks


class Violation(NamedTuple):
    rule: str
    at: int
    member: int
    what: str


class GossipSchedule:
    def __init__(self, seed: int, talk=Gossip) -> None:
        """`talk`: what is played; a test hands in one with a fault planted."""
        self.chance, self.now, self.heap, self.order = Random(f"schedule {seed}"), 1_000_000, [], count()
        self.size = self.chance.randint(2, 7)
        self.links, self.make = Links(seed, self.size, 0), talk
        self.talks: list = [None] * self.size
        self.lives, self.stopped, self.seeds = [0] * self.size, {}, min(2, self.size)
        self.rates = [self.chance.choice(RATES) for _ in range(self.size)]
        self.ahead = [self.chance.choice((0, 0, 36_000_000)) for _ in range(self.size)]
        self.told: dict[tuple, int] = {}  # (author, life, sequence) -> when, by the true clock
        self.broken: list[Violation] = []

    def later(self, delay: int, call, *given) -> None:
        heappush(self.heap, (self.now + delay, next(self.order), call, given))

    def clock(self, n: int) -> int:
        return int(self.now * self.rates[n]) + self.ahead[n]

    def play(self) -> list[Violation]:
        self.begin, chance = self.now, self.chance
        for n in range(self.size):
            self.later(chance.randrange(5_000), self.start, n)
        for _ in range(chance.randint(1, 6)):
            self.plan(chance)
        for _ in range(chance.randint(3, 25)):
            self.later(chance.randrange(5_000, TROUBLE + QUIET // 2), self.tell, chance.randrange(self.size))
        end = self.begin + TROUBLE + QUIET
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call, given = heappop(self.heap)
            call(*given)
        self.settled()
        return self.broken

    def plan(self, chance: Random) -> None:
        """One fault that is over before the quiet begins."""
        begin = chance.randrange(TROUBLE * 3 // 4)
        lasts = chance.randrange(2_000, TROUBLE - begin)
        names = [f"p{n}" for n in range(self.size)]
        sides = [chance.sample(names, chance.randint(1, self.size - 1)) for _ in range(2)]
        one_way, n = chance.random() < 0.4, chance.randrange(self.size)
        what = chance.choice(("cut", "lossy", "kill", "stop"))
        if what == "cut" or what == "lossy":
            fault = (
                Cut(at=0, lasts=1, between=sides, one_way=one_way)
                if what == "cut"
                else Lossy(
                    at=0,
                    lasts=1,
                    between=sides,
                    one_way=one_way,
                    loses=chance.choice((0, 0.1, 0.5)),
                    doubles=chance.choice((0, 0.3)),
                    reorders=chance.choice((0, 0.3)),
                    delay=chance.choice((0, 0.05, 4.0)),
                    spoils=chance.choice((0, 0.1)),
                )
            )
            self.later(begin, self.links.add_fault, fault)
            self.later(begin + lasts, self.links.remove_fault, fault)
        elif what == "kill":
            self.later(begin, self.kill, n)
            self.later(begin + lasts, self.start, n)
        else:
            self.later(begin, self.stop, n)
            self.later(begin + lasts, self.go_on, n)

    # ---- members

    def start(self, n: int) -> None:
        if self.talks[n] is not None:
            return
        self.lives[n] += 1
        life = max(1, self.clock(n) // 10)
        seeds = [(f"p{k}", 1) for k in range(self.seeds)]
        talk = self.talks[n] = self.make(
            f"p{n}",
            (f"p{n}", 1),
            life,
            seeds,
            KEY,
            FACT_LIFETIMES,
            Random(self.chance.random()),
            lambda address, data: self.send(n, address, data),
        )
        talk.begin(self.clock(n))
        self.later(self.chance.randrange(TICK), self.tick, n, self.lives[n])

    def kill(self, n: int) -> None:
        self.talks[n] = None
        self.stopped.pop(n, None)

    def stop(self, n: int) -> None:
        if self.talks[n] is not None:
            self.stopped.setdefault(n, [])

    def go_on(self, n: int) -> None:
        for data, source in self.stopped.pop(n, ()):
            self.talks[n].received(self.clock(n), data, source)

    def tick(self, n: int, life: int) -> None:
        talk = self.talks[n]
        if talk is None or life != self.lives[n]:
            return
        self.later(TICK, self.tick, n, life)
        if n not in self.stopped:
            talk.tick(self.clock(n))
            self.look(n, talk)

    def tell(self, n: int) -> None:
        talk = self.talks[n]
        if talk is None or n in self.stopped:
            return
        kind, subject = self.chance.choice(tuple(FACT_LIFETIMES)), self.chance.choice("abc")
        fact = talk.table.publish(self.clock(n), kind, subject, (self.chance.randrange(9),), len(talk.live()))
        self.told[fact.author, fact.life, fact.sequence] = self.now

    def send(self, n: int, address: tuple[str, int], data: bytes) -> None:
        way = self.links.datagram_outcome(f"p{n}", address[0])
        for late in way.copies:
            sent = flip_random_bit(data, self.chance) if way.corrupted else data
            self.later(WAY + int(late * 10_000), self.arrive, int(address[0][1:]), sent, (f"p{n}", 1))

    def arrive(self, n: int, data: bytes, source) -> None:
        if self.talks[n] is None:
            return
        if n in self.stopped:
            if len(self.stopped[n]) < 200:
                self.stopped[n].append((data, source))
        else:
            self.talks[n].received(self.clock(n), data, source)

    # ---- what must hold

    def look(self, n: int, talk) -> None:
        for fact in talk.table.live_facts(self.clock(n)):
            told = self.told.get((fact.author, fact.life, fact.sequence))
            if told is not None and self.now - told > FACT_LIFETIMES[fact.kind] * (1 + DRIFT) + GRAIN:
                self.broken.append(Violation("old", self.now - self.begin, n, f"{fact}, {self.now - told}"))

    def settled(self) -> None:
        living = {f"p{n}" for n, talk in enumerate(self.talks) if talk is not None}
        held = {}
        for n, talk in enumerate(self.talks):
            if talk is None:
                continue
            if set(talk.live()) != living:
                self.broken.append(Violation("apart", self.now - self.begin, n, f"{talk.live()} of {living}"))
            words = talk.table.live_facts(self.clock(n))
            held[n] = {(f.author, f.life, f.kind, f.subject, f.sequence) for f in words if self.sure(f)}
            mine = {(f.author, f.life, f.sequence) for f in words}
            last = max(
                (key for key in self.told if key[0] == f"p{n}" and key[1] == talk.table.life),
                key=lambda key: key[2],
                default=None,
            )
            if last not in mine and self.now - self.told.get(last, 0) < min(FACT_LIFETIMES.values()) * 0.9:
                self.broken.append(Violation("forgot", self.now - self.begin, n, f"{last}"))
        first = next(iter(held.values()), None)
        for n, words in held.items():
            if words != first:
                self.broken.append(Violation("unlike", self.now - self.begin, n, f"{words ^ first}"))

    def sure(self, fact) -> bool:
        """Neither so young that it may be on its way, nor so old that who got it late, and so counts it
        as older than it is, may have let it go."""
        age = self.now - self.told.get((fact.author, fact.life, fact.sequence), self.now)
        return 60_000 <= age <= FACT_LIFETIMES[fact.kind] / 2


def main(first: int, number: int) -> int:
    found = Counter()
    for seed in range(first, first + number):
        broken = GossipSchedule(seed).play()
        if broken:
            found[broken[0].rule] += 1
            print(f"seed {seed}: {broken[0]}", flush=True)
    print(f"{number} schedules from {first}: {sum(found.values())} broken {dict(found)}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
