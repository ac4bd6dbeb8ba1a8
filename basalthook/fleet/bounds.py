"""The fleet's limits as an operator states them, and what is promised of each, as formulas; pure.

All times are ticks. `clocks` is the part by which each clock's rate may be off.

    a place or token is spent by its holder no later than LEASE_TICKS after it was asked for, on its clock
    a place that nobody gives back is free again after LEASE_TICKS + the longest hard limit (a hop may be out)
    a keeper's death: its fellows go on with what they hold, as LEASE_TICKS is longer than two terms
    floors: parts that need no message, so many for each told proxy; not lent by the keeper where `never`
"""

from typing import NamedTuple

import xxhash

from .election import lengthen_for_drift, shorten_for_drift

TICKS_PER_SECOND = 10_000  # a second
TERM_TICKS = 10_000  # ticks that the keeper's seat is held without a new vote
LEASE_TICKS = 30_000  # ticks that a place is held without a new word of the keeper
TOKEN_LIFETIME = 10_000  # ticks in which a token is to be spent
MAX_CLOCK_DRIFT = 0.02
RATE, HOST, RETRIES = "rate", "host", "retries"
NEVER, BOUNDED = "never", "bounded"


class Limit(NamedTuple):
    """`rate`: first hops of its profiles a second over the fleet; `host`: places at each host; `retries`:
    further hops a second."""

    name: str
    kind: str
    amount: float
    burst: float = 0.0  # tokens at once; of places none
    profiles: tuple[int, ...] = ()  # of a rate: indices; empty: all
    over: str = NEVER
    floor: float = 0.0  # part of the amount that proxies have without any message

    @property
    def id(self) -> int:
        return xxhash.xxh32_intdigest(self.name.encode())

    @property
    def counts_places(self) -> bool:
        return self.kind == HOST

    # ---- what the keeper lends, and what is everybody's own

    def lendable(self) -> float:
        """Places, or tokens a second. Of what is never to be exceeded, floors are taken out first."""
        own = self.floor if self.over == NEVER else 0.0
        if self.counts_places:
            return self.amount - int(self.floor * self.amount)
        return self.amount * (1 - own) / (1 + MAX_CLOCK_DRIFT)  # the keeper's clock may be fast

    def bucket_depth(self) -> float:
        """Of the keeper's bucket: what holders may still have in hand counts against the burst."""
        own = self.floor if self.over == NEVER else 0.0
        return max(0.0, (self.burst - self.amount * TOKEN_LIFETIME / TICKS_PER_SECOND) * (1 - own))

    def own_places_at(self, mark: int, position: int, proxies: int) -> int:
        """Of the floor's places at the host with this mark, those of the proxy at this position: each goes
        to one of the told proxies, without a word between them."""
        units = range(int(self.floor * self.amount))
        return sum(
            xxhash.xxh32_intdigest(f"{mark:x}.{unit}".encode()) % proxies == position for unit in units
        )

    def own_token_rate(self, proxies: int) -> tuple[float, float]:
        """Tokens a tick and at once of one proxy's floor. Where it holds less than one there is none."""
        depth, rate = self.floor * self.burst / proxies, self.floor * self.amount / proxies / TICKS_PER_SECOND
        return (rate / (1 + MAX_CLOCK_DRIFT), depth) if depth >= 1 else (0.0, 0.0)

    # ---- what is promised

    def max_excess(self) -> float:
        """The largest part over the limit in any window, links and clocks as they may be: against `amount`
        places; or, of tokens, `amount` a second and `burst` at once."""
        return self.floor if self.over == BOUNDED else 0.0

    def unused_after_death(self, hard_limit: int) -> int:
        """Ticks that what a dead proxy held lies unused at most; `hard_limit`: the longest of all."""
        return (
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT)
            if self.counts_places
            else TOKEN_LIFETIME
        )

    def pause_after_leader_loss(self, hard_limit: int) -> int:
        """Ticks without a new grant after a keeper's death at most, once a seat is given anew: what is held
        stays in use meanwhile."""
        return 2 * TERM_TICKS + (
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT) if self.counts_places else 0
        )

    def max_staleness(self) -> int:
        """Ticks that a part may be used after the last word on it."""
        return shorten_for_drift(LEASE_TICKS if self.counts_places else TOKEN_LIFETIME, MAX_CLOCK_DRIFT)


def invalid_reason(limit: Limit) -> str:
    """What no limit can mean; "" where it is sound."""
    if limit.amount < 0 or limit.counts_places and limit.amount != int(limit.amount):
        return f"Expected {'a whole number' if limit.counts_places else 'no less than 0'}, got {limit.amount}"
    if (
        not limit.counts_places
        and limit.over == NEVER
        and limit.amount
        and (limit.burst < limit.amount * TOKEN_LIFETIME / TICKS_PER_SECOND + 1)
    ):
        least = limit.amount * TOKEN_LIFETIME / TICKS_PER_SECOND + 1
        return (
            f"Expected a burst of {least:g} or more, got {limit.burst:g}: a token may be spent "
            f"{TOKEN_LIFETIME / TICKS_PER_SECOND:g} s after it was lent, which may never add up to more"
        )
    if limit.counts_places and limit.over != NEVER:
        return "Expected `never` for places at a host"
    return ""
