"""Admission control: sheds a share of new transactions while this process itself can't keep up.

A process that lags delays everything it serves: what it accepts waits here, is sent late and is answered
late. So it must accept less, and shed the rest before it has spent much work on it. The signal is
how long arrivals lay unread, by the kernel's timestamps. A short stall raises it only briefly, permanent
overload until less is accepted. The share that is shed grows with the mean of these waits, from none at
`SHED_START` of the service goal to all at `SHED_FULL`. So it settles where the rest is served within its
goal, and no capacity has to be measured in advance.

Controlling by the time spent in the queue, not by its length, is the idea of CoDel (RFC 8289); the
proportional rule is that of PIE (RFC 8033).
"""

from random import Random

SHED_START = 0.12  # mean wait, as a fraction of the service goal, up to which nothing is shed
SHED_FULL = 0.50  # from which all is shed; the rest of the goal is for the attempt and the response
EWMA_WEIGHT = 0.02  # of one arrival in the mean
IDLE_HALF_LIFE = 1_000  # ticks of 0.1 ms; the mean is halved for each that passes without an arrival


class AdmissionControl:
    """Call `admit` once for each arrival, in order. Times are in ticks of 0.1 ms."""

    def __init__(self, service_goal: int, random: Random) -> None:
        """`service_goal`: the shortest service goal of all profiles."""
        self.service_goal, self.random = service_goal, random
        self.mean_wait, self.last_arrival = 0.0, 0
        self.shed_count = 0  # since the start

    def admit(self, now: int, wait: int) -> bool:
        """Whether to accept a transaction that arrived `wait` ticks ago; a shed one has reached no host."""
        idle, self.last_arrival = now - self.last_arrival, now
        if idle >= IDLE_HALF_LIFE:
            self.mean_wait *= 0.5 ** min(64, idle // IDLE_HALF_LIFE)
        self.mean_wait += (min(wait, self.service_goal) - self.mean_wait) * EWMA_WEIGHT
        if wait < self.service_goal and self.random.random() >= self.shed_share():
            return True
        self.shed_count += 1
        return False

    def shed_share(self) -> float:
        """Fraction of arrivals shed at present."""
        return max(
            0.0,
            min(
                1.0,
                (self.mean_wait / self.service_goal - SHED_START) / (SHED_FULL - SHED_START),
            ),
        )

    def retry_after(self) -> int:
        """Ticks after which a client may retry: later the more are shed, and randomised."""
        return int(self.service_goal * (1 + 3 * self.shed_share()) * (0.5 + self.random.random()))
