"""Fleet-wide limits as operators configure them, and formulas for what each limit guarantees. No I/O.

All times are ticks of 0.1 ms. Clocks of members may differ in rate by MAX_CLOCK_DRIFT each.

    A holder uses a place or token no longer than LEASE_TICKS after it requested it, on its own clock.
    A place that is not given back is free again after LEASE_TICKS plus the longest hard limit, since an
    attempt may still be running under it.
    When the leader dies, holders keep what they hold, as LEASE_TICKS is longer than two terms.
    The floor is the part of a limit that is divided among the configured number of proxies in advance, so
    that each uses its own without a lease. The leader does not lend it where the limit is `never` exceeded.

The elected leader that lends parts of limits is the `keeper` of the fleet file, the log and the console.
"""

from typing import NamedTuple

import xxhash

from .election import lengthen_for_drift, shorten_for_drift

TICKS_PER_SECOND = 10_000
TERM_TICKS = 10_000  # how long a leader stays in office without new votes
LEASE_TICKS = 30_000  # how long a place may be held without a new grant
TOKEN_LIFETIME = 10_000  # ticks within which a token must be spent
MAX_CLOCK_DRIFT = 0.02  # relative error of a clock's rate
RATE, HOST, RETRIES = "rate", "host", "retries"
NEVER, BOUNDED = "never", "bounded"


class Limit(NamedTuple):
    """A limit over the whole fleet.

    Kinds: `rate` limits first attempts of its profiles per second, `host` the concurrent attempts ("places")
    at each host, `retries` further attempts per second.
    """

    name: str
    kind: str
    amount: float
    burst: float = 0.0  # tokens at once; unused for places
    profiles: tuple[int, ...] = ()  # indices, for `rate` only; empty means all
    over: str = NEVER
    floor: float = 0.0  # share of the amount that proxies have without a lease

    @property
    def id(self) -> int:
        return xxhash.xxh32_intdigest(self.name.encode())

    @property
    def counts_places(self) -> bool:
        return self.kind == HOST

    # ---- what the leader lends, and what each proxy has by itself

    def lendable(self) -> float:
        """Returns the places, or tokens per second, that the leader may lend.

        Floors are subtracted where the limit may `never` be exceeded, and always for places.
        """
        reserved_share = self.floor if self.over == NEVER else 0.0
        if self.counts_places:
            return self.amount - int(self.floor * self.amount)
        return self.amount * (1 - reserved_share) / (1 + MAX_CLOCK_DRIFT)  # the leader's clock may be fast

    def bucket_depth(self) -> float:
        """Returns the depth of the leader's token bucket, less what holders may still have in hand."""
        reserved_share = self.floor if self.over == NEVER else 0.0
        return max(0.0, (self.burst - self.amount * TOKEN_LIFETIME / TICKS_PER_SECOND) * (1 - reserved_share))

    def own_places_at(self, host_hash: int, position: int, proxies: int) -> int:
        """Returns how many floor places at a host belong to the proxy at this position.

        Each place goes to one of the configured proxies by a hash, without any message between them.
        """
        places = range(int(self.floor * self.amount))
        return sum(
            xxhash.xxh32_intdigest(f"{host_hash:x}.{unit}".encode()) % proxies == position for unit in places
        )

    def own_token_rate(self, proxies: int) -> tuple[float, float]:
        """Returns (tokens per tick, burst) of one proxy's floor; (0, 0) for a burst below one token."""
        depth, rate = self.floor * self.burst / proxies, self.floor * self.amount / proxies / TICKS_PER_SECOND
        return (rate / (1 + MAX_CLOCK_DRIFT), depth) if depth >= 1 else (0.0, 0.0)

    # ---- guarantees

    def max_excess(self) -> float:
        """Returns the greatest share by which any window may exceed the limit, whatever links and clocks do.

        It is relative to `amount` places, or to `amount` tokens per second and `burst` at once.
        """
        return self.floor if self.over == BOUNDED else 0.0

    def unused_after_death(self, hard_limit: int) -> int:
        """Returns for how many ticks at most the lease of a dead proxy lies unused.

        `hard_limit`: ticks, the longest of all profiles.
        """
        return (
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT)
            if self.counts_places
            else TOKEN_LIFETIME
        )

    def pause_after_leader_loss(self, hard_limit: int) -> int:
        """Returns for how many ticks at most nothing new is granted after a leader's death.

        It assumes that the next election succeeds. Leases already held stay in use meanwhile.
        """
        return 2 * TERM_TICKS + (
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT) if self.counts_places else 0
        )

    def max_staleness(self) -> int:
        """Returns for how many ticks a lease may be used after the request for it."""
        return shorten_for_drift(LEASE_TICKS if self.counts_places else TOKEN_LIFETIME, MAX_CLOCK_DRIFT)


def invalid_reason(limit: Limit) -> str:
    """Returns why a limit is invalid, or "" if it is valid."""
    if limit.amount < 0 or limit.counts_places and limit.amount != int(limit.amount):
        return f"Expected {'a whole number' if limit.counts_places else '0 or more'}, got {limit.amount}"
    if (
        not limit.counts_places
        and limit.over == NEVER
        and limit.amount
        and (limit.burst < limit.amount * TOKEN_LIFETIME / TICKS_PER_SECOND + 1)
    ):
        least = limit.amount * TOKEN_LIFETIME / TICKS_PER_SECOND + 1
        return (
            f"Expected a burst of {least:g} or more, got {limit.burst:g}: a token may be spent "
            f"{TOKEN_LIFETIME / TICKS_PER_SECOND:g} s after it was lent, and all together must not exceed it"
        )
    if limit.counts_places and limit.over != NEVER:
        return "Expected `never` for places at a host"
    return ""
