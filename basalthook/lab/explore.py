"""Every run of the keeper's seat that a small world allows: states in a queue, and none with two holders.

Three voters, of whom two may claim; messages lost, doubled, reordered; one restart that forgets; clocks at
both ends of what they may differ by. The next state is made by `fleet.election` itself, loaded with a state
and read again. Times are chosen so that the bound is tight: TERM of the fastest clock is what remains to the
slowest holder. `python -m basalthook.lab.explore` prints the number of states.
"""

import sys
from collections import deque
from typing import NamedTuple

from ..fleet.election import LeaderElection

NAMES = "a", "b", "c"
STEPS = 4, 6, 5  # ticks a step of each one's clock: a is slow, b is fast
LOSS, TERM = 0.2, 12


class World(NamedTuple):
    seats: tuple  # of each: life, silent until, vote, round, valid, claims
    air: frozenset  # (to, message): all that was ever sent
    step: int
    restarts: int


class Explorer:
    def __init__(self, steps: int = 6, max_ballots: int = 2, restarts: int = 1, make=LeaderElection) -> None:
        """Bounds of the world; `make`: what is explored, a test hands in one with a fault planted."""
        self.steps, self.max_ballots, self.restarts = steps, max_ballots, restarts
        self.sent: list[tuple] = []
        self.make = make
        self.members = [
            make(name, 0, NAMES, TERM, LOSS, self, self.sender, lambda: NAMES, 0) for name in NAMES
        ]

    @staticmethod
    def randrange(most: int) -> int:
        return 0

    def sender(self, name: str, message: list) -> None:
        self.sent.append((NAMES.index(name), tuple(message)))

    def load(self, world: World, n: int) -> LeaderElection:
        member = self.members[n]
        (member.life, member.silent_until, member.vote, member.round, member.valid_until, frozen_ballots) = (
            world.seats[n]
        )
        member.ballots = {number: (at, set(votes)) for number, at, votes in frozen_ballots}
        self.sent.clear()
        return member

    @staticmethod
    def freeze(member: LeaderElection) -> tuple:
        frozen_ballots = tuple(
            (number, at, tuple(sorted(votes))) for number, (at, votes) in member.ballots.items()
        )
        return member.life, member.silent_until, member.vote, member.round, member.valid_until, frozen_ballots

    def after(self, world: World, n: int, member: LeaderElection) -> World:
        """What is sent stays in the air: it may arrive at any time, never, or any number of times."""
        frozen = world.seats[:n] + (self.freeze(member),) + world.seats[n + 1 :]
        return world._replace(seats=frozen, air=world.air | frozenset(self.sent))

    def clock(self, world: World, n: int) -> int:
        return world.step * STEPS[n]

    def following(self, world: World):
        if world.step < self.steps:
            yield world._replace(step=world.step + 1)
        for n, message in world.air:
            member = self.load(world, n)
            member.received(self.clock(world, n), list(message))
            yield self.after(world, n, member)
        for n in (0, 1):
            now = self.clock(world, n)
            member = self.load(world, n)
            if member.round < self.max_ballots and now >= member.silent_until:
                member.request_votes(now)
                yield self.after(world, n, member)
            member = self.load(world, n)
            if member.ballots:
                member.release_votes(now)
                yield self.after(world, n, member)
        if world.restarts < self.restarts:
            for n in range(3):
                life = world.seats[n][0] + 1
                again = self.make(NAMES[n], life, NAMES, TERM, LOSS, None, None, None, self.clock(world, n))
                self.sent.clear()
                yield self.after(world, n, again)._replace(restarts=world.restarts + 1)

    def holders(self, world: World) -> list[str]:
        return [name for n, name in enumerate(NAMES) if self.clock(world, n) < world.seats[n][4]]

    def run(self, most: int = 10**7) -> tuple[int, World | None]:
        """(states seen, a bad one or None); more than `most` states are an error."""
        first = World(tuple((0, 0, None, 0, 0, ()) for _ in NAMES), frozenset(), 0, 0)
        seen, queue = {first}, deque([first])
        while queue:
            world = queue.popleft()
            if len(self.holders(world)) > 1:
                return len(seen), world
            for following in self.following(world):
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
            if len(seen) > most:
                raise MemoryError(f"more than {most} states")
        return len(seen), None


def main() -> None:
    states, bad = Explorer().run()
    print(f"{states} states, {'none with two holders' if bad is None else bad}")
    sys.exit(bad is not None)


if __name__ == "__main__":
    main()
