"""Exhaustive exploration of small leader elections, by breadth-first search for a state with two leaders.

There are three voters, of which two may be candidates. Messages may be lost, duplicated and reordered, one
voter may restart and lose its state, and clock rates are at both ends of the permitted drift. Successor
states are computed by `fleet.election` itself: a state is loaded into its members and read back after a step.
Times are chosen so that the bound is tight: TERM on the fastest clock is the time that remains to a leader on
the slowest.
`python -m basalthook.lab.explore` prints the number of states.
"""

import sys
from collections import deque
from typing import NamedTuple

from ..fleet.election import LeaderElection

NAMES = "a", "b", "c"
TICKS_PER_STEP = 4, 6, 5  # per member: the clock of a is slow, that of b is fast
CLOCK_DRIFT, TERM = 0.2, 12


class SearchState(NamedTuple):
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

    def load_member(self, state: SearchState, position: int) -> LeaderElection:
        member = self.members[position]
        (member.life, member.silent_until, member.vote, member.round, member.valid_until, frozen_ballots) = (
            state.member_states[position]
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

    def state_after(self, state: SearchState, position: int, member: LeaderElection) -> SearchState:
        """The state after a member's step. Sent messages may arrive at any time, repeatedly or never."""
        new_states = (
            state.member_states[:position]
            + (self.freeze_member(member),)
            + state.member_states[position + 1 :]
        )
        return state._replace(
            member_states=new_states, sent_messages=state.sent_messages | frozenset(self.outbox)
        )

    def clock(self, state: SearchState, position: int) -> int:
        return state.step * TICKS_PER_STEP[position]

    def successors(self, state: SearchState):
        """Yields the search states after a clock step, a message, a vote request or release, or a restart."""
        if state.step < self.steps:
            yield state._replace(step=state.step + 1)
        for position, message in state.sent_messages:
            member = self.load_member(state, position)
            member.received(self.clock(state, position), list(message))
            yield self.state_after(state, position, member)
        for position in (0, 1):
            now = self.clock(state, position)
            member = self.load_member(state, position)
            if member.round < self.max_ballots and now >= member.silent_until:
                member.request_votes(now)
                yield self.state_after(state, position, member)
            member = self.load_member(state, position)
            if member.ballots:
                member.release_votes(now)
                yield self.state_after(state, position, member)
        if state.restarts < self.restarts:
            for position in range(3):
                life = state.member_states[position][0] + 1
                restarted = self.election_class(
                    NAMES[position],
                    life,
                    NAMES,
                    TERM,
                    CLOCK_DRIFT,
                    None,
                    None,
                    None,
                    self.clock(state, position),
                )
                self.outbox.clear()
                yield self.state_after(state, position, restarted)._replace(restarts=state.restarts + 1)

    def leaders(self, state: SearchState) -> list[str]:
        """Names of the members whose leadership is valid by their own clocks."""
        return [
            name
            for position, name in enumerate(NAMES)
            if self.clock(state, position) < state.member_states[position][4]
        ]

    def run(self, max_states: int = 10**7) -> tuple[int, SearchState | None]:
        """Returns the number of states and one with two leaders, or None.

        Raises MemoryError at more than `max_states` states.
        """
        first = SearchState(tuple((0, 0, None, 0, 0, ()) for _ in NAMES), frozenset(), 0, 0)
        seen, queue = {first}, deque([first])
        while queue:
            state = queue.popleft()
            if len(self.leaders(state)) > 1:
                return len(seen), state
            for successor in self.successors(state):
                if successor not in seen:
                    seen.add(successor)
                    queue.append(successor)
            if len(seen) > max_states:
                raise MemoryError(f"the search exceeds {max_states} states")
        return len(seen), None


def main() -> None:
    states, violating_state = Explorer().run()
    print(f"{states} states, {'none with two leaders' if violating_state is None else violating_state}")
    sys.exit(violating_state is not None)


if __name__ == "__main__":
    main()
