"""Leader election among a few named voters by time-limited votes. No I/O.

Each voter gives its vote to one candidate for one term on its own clock, and to nobody else before the term
is over. A candidate with the votes of a majority is leader from the moment at which it *sent* its request,
for a term less the greatest drift between clocks. Two leaders at a time would need a voter with two live
votes; there is none, since a voter that restarts without its memory stays silent for a term. The clocks'
settings don't matter, only their rates.

The form is that of Trencseni, Gazso and Reinhardt, "PaxosLease: diskless Paxos for leases", 2012. A ballot is
reduced to a repeated vote here, as only the leadership is decided.
"""

from random import Random

VOTE_REQUEST, VOTE, VOTE_RELEASE = 24, 25, 26
MAX_OPEN_ROUNDS = 8  # vote requests whose answers are still counted


def shorten_for_drift(ticks: int, drift: float) -> int:
    """Returns a duration that surely ends here before `ticks` have passed on another clock.

    `drift`: greatest relative error of either clock's rate.
    """
    return int(ticks * (1 - drift) / (1 + drift))


def lengthen_for_drift(ticks: int, drift: float) -> int:
    """Returns a duration after which `ticks` have surely passed on another clock."""
    return int(ticks * (1 + drift) / (1 - drift)) + 1


class LeaderElection:
    """One voter, which is a candidate as well.

    `send(name, message)` sends to another voter; `live()` returns the names of the members seen as alive.
    `life` is the number of this voter's process, and `term` is in ticks.
    """

    def __init__(
        self,
        me: str,
        life: int,
        voters: tuple[str, ...],
        term: int,
        drift: float,
        rng: Random,
        send,
        live,
        now: int,
    ) -> None:
        self.me, self.life, self.voters, self.term, self.drift = me, life, voters, term, drift
        self.rng, self.send, self.live = rng, send, live
        self.silent_until = now + term  # votes of a previous process are not known
        self.vote: tuple | None = None  # (candidate, life, round, expires at)
        self.round, self.valid_until, self.leader_since = 0, 0, 0
        self.ballots: dict[int, tuple[int, set[str]]] = {}  # round -> (sent at, voters); bounded
        self.next_action_at = now + term

    # ---- leadership

    def is_leader(self, now: int) -> bool:
        return now < self.valid_until

    def leader(self, now: int) -> str:
        """Returns the leader as far as this voter knows; "" if it knows none."""
        if self.is_leader(now):
            return self.me
        return self.vote[0] if self.vote and now < self.vote[3] else ""

    # ---- time

    def tick(self, now: int) -> None:
        """Call several times a term. A voter does not compete with a candidate that has its live vote."""
        if now < self.next_action_at:
            return
        if self.is_leader(now) or self.leader(now) in ("", self.me) and now >= self.silent_until:
            if not self.is_leader(now) and self.ballots:
                self.release_votes(now)  # split votes would block every candidate for a term
                return
            self.request_votes(now)
        else:
            self.next_action_at = now + self.term // 8

    def request_votes(self, now: int) -> None:
        """Starts a round: asks all voters, this one included, for their votes."""
        self.round += 1
        self.ballots[self.round] = now, set()
        while len(self.ballots) > MAX_OPEN_ROUNDS:
            del self.ballots[next(iter(self.ballots))]
        self.next_action_at = now + self.term // 4
        for name in self.voters:
            if name == self.me:
                self.on_vote_request(now, [VOTE_REQUEST, self.me, self.life, self.round])
            else:
                self.send(name, [VOTE_REQUEST, self.me, self.life, self.round])

    def release_votes(self, now: int) -> None:
        """Releases votes short of a majority. Voters later in order wait longer, to avoid another split."""
        self.ballots.clear()
        self.valid_until = 0
        live = [name for name in self.voters if name in self.live() or name == self.me]
        wait = self.term * (1 + live.index(self.me)) // 4
        self.next_action_at = now + wait // 2 + self.rng.randrange(max(1, wait))
        for name in self.voters:
            if name == self.me:
                self.on_vote_release(now, [VOTE_RELEASE, self.me, self.life, self.round])
            else:
                self.send(name, [VOTE_RELEASE, self.me, self.life, self.round])

    # ---- messages

    def received(self, now: int, message: list) -> None:
        """Handles a message of the right length from a member; ignores members that are no voters."""
        kind, name = message[0], message[1]
        if name in self.voters and name != self.me:
            {VOTE_REQUEST: self.on_vote_request, VOTE: self.on_vote, VOTE_RELEASE: self.on_vote_release}[
                kind
            ](now, message)

    def on_vote_request(self, now: int, message: list) -> None:
        _, name, life, round_ = message
        if now < self.silent_until:
            return
        current = self.vote
        grant = current is None or now >= current[3] or current[:2] == (name, life)
        if grant and (current is None or current[:2] != (name, life) or round_ >= current[2]):
            self.vote = name, life, round_, now + self.term
        if name == self.me:
            self.on_vote(now, [VOTE, self.me, life, round_, grant])
        else:
            self.send(name, [VOTE, self.me, life, round_, grant])

    def on_vote(self, now: int, message: list) -> None:
        _, name, life, round_, granted = message
        if life != self.life or round_ not in self.ballots or not granted:
            return
        sent_at, votes = self.ballots[round_]
        votes.add(name)
        if 2 * len(votes) > len(self.voters):
            valid_until = sent_at + shorten_for_drift(self.term, self.drift)
            if valid_until > now and not self.is_leader(now):
                self.leader_since = now  # another may have been leader in between
            self.valid_until = max(self.valid_until, valid_until)

    def on_vote_release(self, now: int, message: list) -> None:
        _, name, life, round_ = message
        if self.vote is not None and self.vote[:2] == (name, life) and self.vote[2] <= round_:
            self.vote = None
