"""Exhaustive exploration of small leader elections, by breadth-first search for a state with two leaders.

There are three voters, of which two may be candidates. Messages may be lost, duplicated and reordered, one
voter may restart and lose its state, and clock rates are at both ends of the permitted drift. Successor
states are computed by `fleet.election` itself, which is loaded with a state and read back. Times are chosen
so that the bound is tight: TERM on the fastest clock is the time that remains to a leader on the slowest.
`python -m basalthook.lab.explore` prints the number of states.
"""

import sys
from collections import deque
from typing import NamedTuple

from ..fleet.election import LeaderElection

NAMES = "a", "b", "c"
TICKS_PER_STEP = 4, 6, 5  # per member: the clock of a is slow, that of b is fast
CLOCK_DRIFT, TERM = 0.2, 12


class World(NamedTuple):
    """One state of the search."""

    member_states: tuple  # per member: life, silent until, vote, round, valid until, ballots
    sent_messages: frozenset  # (recipient, message): all that were ever sent
    step: int
    restarts: int


class Explorer:
    """Breadth-first search over the states of an election; it is also the random source of its members."""

    def __init__(
        self, steps: int = 6, max_ballots: int = 2, restarts: int = 1, election_class=LeaderElection
    ) -> None:
        """Takes the bounds of the search; tests pass an `election_class` with a planted fault."""
        self.steps, self.max_ballots, self.restarts = steps, max_ballots, restarts
        self.outbox: list[tuple] = []
        self.election_class = election_class
        self.members = [
            election_class(name, 0, NAMES, TERM, CLOCK_DRIFT, self, self.record_message, lambda: NAMES, 0)
            for name in NAMES
        ]

    @staticmethod
    def randrange(most: int) -> int:
        return 0

    def record_message(self, name: str, message: list) -> None:
        self.outbox.append((NAMES.index(name), tuple(message)))

    def load_member(self, world: World, n: int) -> LeaderElection:
        member = self.members[n]
        (member.life, member.silent_until, member.vote, member.round, member.valid_until, frozen_ballots) = (
            world.member_states[n]
        )
        member.ballots = {number: (at, set(votes)) for number, at, votes in frozen_ballots}
        self.outbox.clear()
        return member

    @staticmethod
    def freeze_member(member: LeaderElection) -> tuple:
        frozen_ballots = tuple(
            (number, at, tuple(sorted(votes))) for number, (at, votes) in member.ballots.items()
        )
        return member.life, member.silent_until, member.vote, member.round, member.valid_until, frozen_ballots

    def world_after(self, world: World, n: int, member: LeaderElection) -> World:
        """The state after a member's step; sent messages may arrive at any time, repeatedly or never."""
        new_states = world.member_states[:n] + (self.freeze_member(member),) + world.member_states[n + 1 :]
        return world._replace(
            member_states=new_states, sent_messages=world.sent_messages | frozenset(self.outbox)
        )

    def clock(self, world: World, n: int) -> int:
        return world.step * TICKS_PER_STEP[n]

    def successors(self, world: World):
        """Yields the states after a clock step, a message, a vote request or release, or a restart."""
        if world.step < self.steps:
            yield world._replace(step=world.step + 1)
        for n, message in world.sent_messages:
            member = self.load_member(world, n)
            member.received(self.clock(world, n), list(message))
            yield self.world_after(world, n, member)
        for n in (0, 1):
            now = self.clock(world, n)
            member = self.load_member(world, n)
            if member.round < self.max_ballots and now >= member.silent_until:
                member.request_votes(now)
                yield self.world_after(world, n, member)
            member = self.load_member(world, n)
            if member.ballots:
                member.release_votes(now)
                yield self.world_after(world, n, member)
        if world.restarts < self.restarts:
            for n in range(3):
                life = world.member_states[n][0] + 1
                restarted = self.election_class(
                    NAMES[n], life, NAMES, TERM, CLOCK_DRIFT, None, None, None, self.clock(world, n)
                )
                self.outbox.clear()
                yield self.world_after(world, n, restarted)._replace(restarts=world.restarts + 1)

    def leaders(self, world: World) -> list[str]:
        """Names of the members whose leadership is valid by their own clocks."""
        return [name for n, name in enumerate(NAMES) if self.clock(world, n) < world.member_states[n][4]]

    def run(self, max_states: int = 10**7) -> tuple[int, World | None]:
        """Returns the number of states and one with two leaders, or None.

        Raises MemoryError at more than `max_states` states.
        """
        first = World(tuple((0, 0, None, 0, 0, ()) for _ in NAMES), frozenset(), 0, 0)
        seen, queue = {first}, deque([first])
        while queue:
            world = queue.popleft()
            if len(self.leaders(world)) > 1:
                return len(seen), world
            for successor in self.successors(world):
                if successor not in seen:
                    seen.add(successor)
                    queue.append(successor)
            if len(seen) > max_states:
                raise MemoryError(f"the search exceeds {max_states} states")
        return len(seen), None


def main() -> None:
    states, violating_world = Explorer().run()
    print(f"{states} states, {'none with two leaders' if violating_world is None else violating_world}")
    sys.exit(violating_world is not None)


if __name__ == "__main__":
    main()
