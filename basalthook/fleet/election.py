"""A seat that one of a few named members holds at a time, whatever the links do; pure.

Each voter gives its vote to one candidate for a term on its own clock, to nobody else before that is over.
Who has the votes of most holds the seat, from the moment at which it *sent* its claim, for the term less what
clocks may differ in rate. Two that each hold most votes would need one voter with two live votes; there is
none, since a voter that comes back having forgotten stays silent for a term. No clock's setting matters.

Source of the form: Trencseni, Gazso and Reinhardt, "PaxosLease: diskless Paxos for leases", 2012; here a
ballot is a vote that is asked for anew, as nothing but the seat is decided.
"""

from random import Random

VOTE_REQUEST, VOTE, VOTE_RELEASE = 24, 25, 26
ROUNDS = 8  # claims whose votes are still counted


def shorten_for_drift(ticks: int, loss: float) -> int:
    """What a holder may count on, where another counts `ticks`, and each clock's rate is off by `loss` at
    most."""
    return int(ticks * (1 - loss) / (1 + loss))


def lengthen_for_drift(ticks: int, loss: float) -> int:
    """What must pass here, for so many to have passed there."""
    return int(ticks * (1 + loss) / (1 - loss)) + 1


class LeaderElection:
    """One voter's part, a candidate as well. `send(name, message)` carries to another voter; `live()` names
    the members that are held for alive."""

    def __init__(
        self,
        me: str,
        life: int,
        voters: tuple[str, ...],
        term: int,
        loss: float,
        chance: Random,
        send,
        live,
        now: int,
    ) -> None:
        self.me, self.life, self.voters, self.term, self.loss = me, life, voters, term, loss
        self.chance, self.send, self.live = chance, send, live
        self.silent_until = now + term  # what a process before this one has voted is not known
        self.vote: tuple | None = None  # (name, life, round, until): whose this voter's is
        self.round, self.valid_until, self.leader_since = 0, 0, 0
        self.ballots: dict[int, tuple[int, set[str]]] = {}  # round -> (sent at, who said yes); bounded
        self.next_action_at = now + term

    # ---- the seat

    def is_leader(self, now: int) -> bool:
        return now < self.valid_until

    def leader(self, now: int) -> str:
        """Who holds it, as far as this voter can know; "" for nobody."""
        if self.is_leader(now):
            return self.me
        return self.vote[0] if self.vote and now < self.vote[3] else ""

    # ---- time

    def tick(self, now: int) -> None:
        """Several times a term. Who has voted for another that lives does not stand against it."""
        if now < self.next_action_at:
            return
        if self.is_leader(now) or self.leader(now) in ("", self.me) and now >= self.silent_until:
            if not self.is_leader(now) and self.ballots:
                self.release_votes(now)  # split votes would block all for a term
                return
            self.request_votes(now)
        else:
            self.next_action_at = now + self.term // 8

    def request_votes(self, now: int) -> None:
        self.round += 1
        self.ballots[self.round] = now, set()
        while len(self.ballots) > ROUNDS:
            del self.ballots[next(iter(self.ballots))]
        self.next_action_at = now + self.term // 4
        for name in self.voters:
            if name == self.me:
                self.claimed(now, [VOTE_REQUEST, self.me, self.life, self.round])
            else:
                self.send(name, [VOTE_REQUEST, self.me, self.life, self.round])

    def release_votes(self, now: int) -> None:
        """Votes that were no majority are given back; who comes later in the row waits longer."""
        self.ballots.clear()
        self.valid_until = 0
        live = [name for name in self.voters if name in self.live() or name == self.me]
        wait = self.term * (1 + live.index(self.me)) // 4
        self.next_action_at = now + wait // 2 + self.chance.randrange(max(1, wait))
        for name in self.voters:
            if name == self.me:
                self.gave_up(now, [VOTE_RELEASE, self.me, self.life, self.round])
            else:
                self.send(name, [VOTE_RELEASE, self.me, self.life, self.round])

    # ---- messages

    def received(self, now: int, message: list) -> None:
        """Of the right length, from a member; who is no voter is passed over."""
        kind, name = message[0], message[1]
        if name in self.voters and name != self.me:
            {VOTE_REQUEST: self.claimed, VOTE: self.voted, VOTE_RELEASE: self.gave_up}[kind](now, message)

    def claimed(self, now: int, message: list) -> None:
        _, name, life, round_ = message
        if now < self.silent_until:
            return
        mine = self.vote
        free = mine is None or now >= mine[3] or mine[:2] == (name, life)
        if free and (mine is None or mine[:2] != (name, life) or round_ >= mine[2]):
            self.vote = name, life, round_, now + self.term
        if name == self.me:
            self.voted(now, [VOTE, self.me, life, round_, free])
        else:
            self.send(name, [VOTE, self.me, life, round_, free])

    def voted(self, now: int, message: list) -> None:
        _, name, life, round_, yes = message
        if life != self.life or round_ not in self.ballots or not yes:
            return
        sent_at, votes = self.ballots[round_]
        votes.add(name)
        if 2 * len(votes) > len(self.voters):
            valid = sent_at + shorten_for_drift(self.term, self.loss)
            if valid > now and not self.is_leader(now):
                self.leader_since = now  # another may have held it in between
            self.valid_until = max(self.valid_until, valid)

    def gave_up(self, now: int, message: list) -> None:
        _, name, life, round_ = message
        if self.vote is not None and self.vote[:2] == (name, life) and self.vote[2] <= round_:
            self.vote = None
