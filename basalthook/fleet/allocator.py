"""Who holds the seat lends parts of each limit: places at hosts, and tokens; pure.

A holder's ask counts for all it holds: what it does not name it has given up before it sent. One sequence
number for each ask, and only the newest is answered; a later version of the same answer may add to it. The
keeper counts for each holder the larger of what that one said it holds and what it was last granted, until
the holder's next ask, or until the lease and every hop under it are over.

A keeper that is new, or was not the keeper for a moment, grants nothing beyond what a holder still holds
until all that another may have granted is over. Its buckets begin empty.
"""

from collections import OrderedDict
from typing import NamedTuple

from .bounds import LEASE_TICKS, MAX_CLOCK_DRIFT, TICKS_PER_SECOND, Limit
from .election import lengthen_for_drift

HOLDERS_MOST = 8192
EXTRA = 4  # part of what is free that is lent beyond a wish, over all holders
Unit = tuple[int, int]  # a limit's id, and the mark of a host; 0 for tokens


class LeaseRequest(NamedTuple):
    """Of a holder's ask, for one unit."""

    unit: Unit
    holds: int  # places that it may use; tokens taken since its last ask
    want: int  # places that it would use; tokens more


class HolderState:
    """To one holder, by its name and life."""

    __slots__ = ("asked", "version", "until", "out", "granted", "want")

    def __init__(self) -> None:
        self.asked = self.version = self.until = 0
        self.out: dict[Unit, int] = {}  # places that it may have in use
        self.granted: dict[Unit, int] = {}  # by the answers to its newest ask; tokens as well
        self.want: dict[Unit, int] = {}


class LeaseAllocator:
    """`limits` by id; `hard_limit`: the longest that a hop can be out. Asks go in, answers come out as
    (holder, sequence, version, {unit: granted}, units that are short)."""

    def __init__(self, limits: dict[int, Limit], hard_limit: int) -> None:
        self.limits, self.grant_lifetime = (
            limits,
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT),
        )
        self.holders: dict[tuple, HolderState] = {}  # (name, life) -> ; emptied as what was lent is over
        self.used: dict[Unit, int] = {}
        self.waiting: dict[Unit, OrderedDict] = {}  # holders whose wish is not met, the first one first
        self.levels: dict[int, tuple[float, int]] = {}  # limit -> (tokens, when)
        self.full_from = 0
        self.no_leases_out = False  # told by whoever knows that nobody holds anything yet
        self.short_until: dict[Unit, int] = {}

    def start_term(self, now: int) -> None:
        """The seat is anew this process's."""
        self.holders.clear()
        self.used.clear()
        self.waiting.clear()
        self.short_until.clear()
        self.levels = {n: (0.0, now) for n, limit in self.limits.items() if not limit.counts_places}
        self.full_from = now if self.no_leases_out else now + self.grant_lifetime
        self.no_leases_out = False

    # ---- what is free

    def free(self, now: int, unit: Unit) -> int:
        limit = self.limits[unit[0]]
        if limit.counts_places:
            return max(0, int(limit.lendable()) - self.used.get(unit, 0)) if now >= self.full_from else 0
        level, at = self.levels[unit[0]]
        level = min(limit.bucket_depth(), level + (now - at) * limit.lendable() / TICKS_PER_SECOND)
        self.levels[unit[0]] = level, now
        return int(level)

    def put(self, lent: HolderState, unit: Unit, out: int) -> int:
        """How many places came free."""
        before = lent.out.pop(unit, 0)
        if out:
            lent.out[unit] = out
        used = self.used.get(unit, 0) + out - before
        self.used[unit] = used
        if not used:
            del self.used[unit]
        return before - out

    # ---- asks

    def request(self, now: int, who: tuple, sequence: int, got: int, rows: list[LeaseRequest]) -> list[tuple]:
        """`got`: the ask whose answer this holder took last. It has sworn off answers to earlier ones."""
        self.expire(now)
        lent = self.holders.get(who)
        if lent is None:
            if len(self.holders) >= HOLDERS_MOST:
                return []
            lent = self.holders[who] = HolderState()
        if sequence <= lent.asked:
            return []
        named, freed = {row.unit for row in rows}, []
        for unit in [unit for unit in lent.out if unit not in named]:
            freed += [unit] * bool(self.put(lent, unit, 0))
        for unit in [unit for unit in lent.want if unit not in named]:
            self.waits(lent, who, unit, 0)
        before, lent.granted = (lent.granted, {})
        for row in rows:
            limit = self.limits.get(row.unit[0])
            if limit is None:
                continue
            if limit.counts_places:
                freed += self.places(now, lent, who, row)
            else:
                self.tokens(now, lent, who, row, before.get(row.unit, 0), got == lent.asked)
        lent.asked, lent.version, lent.until = sequence, 1, now + self.grant_lifetime
        return [self.answer(now, who), *self.serve(now, freed, who)]

    def places(self, now: int, lent: HolderState, who: tuple, row: LeaseRequest) -> list[Unit]:
        had = lent.out.get(row.unit, 0)
        # guards against one that says it holds more than it was lent; of before this keeper it alone knows
        holds = row.holds if now < self.full_from else min(row.holds, had)
        fewer = self.put(lent, row.unit, holds)
        free = self.free(now, row.unit)
        wish = row.want
        if not self.waiting.get(row.unit) and wish <= holds + free:
            wish += max(0, free - max(0, wish - holds)) // (EXTRA * max(1, len(self.holders)))
        given = min(wish, holds + free)
        self.put(lent, row.unit, max(holds, given))
        lent.granted[row.unit] = given
        self.waits(lent, who, row.unit, row.want if given < row.want else 0)
        return [row.unit] if fewer > 0 else []

    def tokens(
        self, now: int, lent: HolderState, who: tuple, row: LeaseRequest, before: int, took: bool
    ) -> None:
        """What was granted and not taken is free again: its holder takes no answer to an earlier ask."""
        limit = self.limits[row.unit[0]]
        lost = before - (min(before, row.holds) if took else 0)
        self.free(now, row.unit)
        level, _ = self.levels[row.unit[0]]
        self.levels[row.unit[0]] = min(limit.bucket_depth(), level + lost), now
        free = self.free(now, row.unit)
        given = min(row.want, max(min(1, free), free // (1 + len(self.waiting.get(row.unit, ())))))
        self.levels[row.unit[0]] = self.levels[row.unit[0]][0] - given, now
        lent.granted[row.unit] = given
        self.waits(lent, who, row.unit, row.want if given < row.want else 0)

    def waits(self, lent: HolderState, who: tuple, unit: Unit, want: int) -> None:
        row = self.waiting.setdefault(unit, OrderedDict())
        if want:
            lent.want[unit] = want
            row.setdefault(who, True)
        else:
            lent.want.pop(unit, None)
            row.pop(who, None)
            if not row:
                del self.waiting[unit]

    def answer(self, now: int, who: tuple) -> tuple:
        lent = self.holders[who]
        short = [unit for unit in lent.granted if unit in self.waiting]
        return who, lent.asked, lent.version, dict(lent.granted), short

    # ---- what comes free

    def serve(self, now: int, units, but: tuple | None = None) -> list[tuple]:
        """Later versions of answers, to those who wait for one of these units."""
        told: dict[tuple, None] = {}
        for unit in dict.fromkeys(units):
            for who in list(self.waiting.get(unit, ())):
                free = self.free(now, unit)
                if free < 1:
                    break
                lent = self.holders[who]
                more = min(free, lent.want[unit] - lent.granted[unit])
                if self.limits[unit[0]].counts_places:
                    lent.granted[unit] += more
                    self.put(lent, unit, max(lent.out.get(unit, 0), lent.granted[unit]))
                else:
                    more = min(more, max(1, free // len(self.waiting[unit])))
                    lent.granted[unit] += more
                    self.levels[unit[0]] = self.levels[unit[0]][0] - more, now
                if lent.granted[unit] >= lent.want[unit]:
                    self.waits(lent, who, unit, 0)
                told[who] = None
        for who in told:
            self.holders[who].version += 1
        return [self.answer(now, who) for who in told if who != but] + [
            self.answer(now, who) for who in told if who == but
        ]

    def expire(self, now: int) -> list[Unit]:
        freed = []
        for who in [who for who, lent in self.holders.items() if now >= lent.until]:
            lent = self.holders.pop(who)
            for unit in list(lent.out):
                self.put(lent, unit, 0)
                freed.append(unit)
            for unit in list(lent.want):
                self.waits(lent, who, unit, 0)
        return freed

    def tick(self, now: int) -> list[tuple]:
        """Several times a second: what ran out, and tokens that have come."""
        freed = self.expire(now)
        return self.serve(now, [*freed, *(u for u in self.waiting if now >= self.full_from or u[1] == 0)])
