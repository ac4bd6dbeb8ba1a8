"""Who is turned away at the door while this process itself can't keep up.

A late process hurts all it serves alike: what it takes waits its turn here, is sent late and answered late.
So it must take less, before it has spent much on it. The signal is how long arrivals lay unread, by the
kernel's stamps: a stall raises it for a moment, too much to do until less is taken. The share turned away
grows with the mean of these waits, from none at `EASE` of the service goal to all at `LOST`; so it settles
where the rest is served within its goal, and nothing has to be measured in advance.

The idea of steering by the time spent in the queue, not by its length, is CoDel's (RFC 8289); the
proportional rule is PIE's (RFC 8033).
"""

from random import Random

EASE = 0.12  # parts of the service goal that arrivals may wait unread, on average, with nobody turned away
LOST = 0.50  # with all turned away; the rest of the goal is for the hop and the answer
WEIGHT = 0.02  # of one arrival in the mean
FADE = 1_000  # tenths of a millisecond without an arrival after which the mean is halved


class Door:
    """`admit` once for every arrival, in order; times in whole tenths of a millisecond."""

    def __init__(self, goal: int, chance: Random) -> None:
        """`goal`: the shortest service goal of a profile."""
        self.goal, self.chance = goal, chance
        self.mean, self.last = 0.0, 0
        self.turned_away = 0  # since the start

    def admit(self, now: int, waited: int) -> bool:
        """Whether what came in `waited` ago is taken in; if not, it has run nowhere."""
        quiet, self.last = now - self.last, now
        if quiet >= FADE:
            self.mean *= 0.5 ** min(64, quiet // FADE)
        self.mean += (min(waited, self.goal) - self.mean) * WEIGHT
        if waited < self.goal and self.chance.random() >= self.share():
            return True
        self.turned_away += 1
        return False

    def share(self) -> float:
        """Of arrivals, turned away at present."""
        return max(0.0, min(1.0, (self.mean / self.goal - EASE) / (LOST - EASE)))

    def come_back(self) -> int:
        """When a client may try again: the more are turned away, the later, and never all at once."""
        return int(self.goal * (1 + 3 * self.share()) * (0.5 + self.chance.random()))
