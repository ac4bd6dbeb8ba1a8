"""Leases on parts of each limit (places at hosts, tokens), granted by the elected leader. No I/O.

A holder's request lists everything that it holds: it has given up whatever is not listed. Each request has a
sequence number and only the newest is answered; a later version of the same answer may add to it. For each
holder the leader counts the larger of what the holder reported to hold and what it was last granted, until
the holder's next request, or until the lease and every attempt under it are over.

A new leader, or one that was out of office for a moment, grants nothing beyond what a holder still holds
until everything that another leader may have granted has expired. Its token buckets start empty.
"""

from collections import OrderedDict
from typing import NamedTuple

from .bounds import LEASE_TICKS, MAX_CLOCK_DRIFT, TICKS_PER_SECOND, Limit
from .election import lengthen_for_drift

MAX_HOLDERS = 8192
SPARE_DIVISOR = 4  # all holders together may be lent 1/4 of the free places beyond what they want
Unit = tuple[int, int]  # (limit id, host hash); the host hash is 0 for tokens


class UnitRequest(NamedTuple):
    """What a holder requests of one unit."""

    unit: Unit
    holds: int  # places that it may use; tokens taken from the last answered grant
    want: int  # places it would use in all; additional tokens


class HolderState:
    """What is granted to one holder, identified by name and life."""

    __slots__ = ("sequence", "version", "expires_at", "places_out", "granted", "wanted")

    def __init__(self) -> None:
        self.sequence = self.version = self.expires_at = 0
        self.places_out: dict[Unit, int] = {}  # places that it may have in use
        self.granted: dict[Unit, int] = {}  # in answer to its newest request; tokens too
        self.wanted: dict[Unit, int] = {}


class LeaseAllocator:
    """Answers holders' requests with grants (holder, sequence, version, {unit: granted}, contended units).

    `limits`: by id. `hard_limit`: ticks, the longest that an attempt can run.
    """

    def __init__(self, limits: dict[int, Limit], hard_limit: int) -> None:
        self.limits, self.grant_lifetime = (
            limits,
            LEASE_TICKS + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT),
        )
        self.holders: dict[tuple, HolderState] = {}  # by (name, life); entries expire
        self.used: dict[Unit, int] = {}
        self.waiting: dict[Unit, OrderedDict] = {}  # holders granted less than they want, in order of arrival
        self.buckets: dict[int, tuple[float, int]] = {}  # limit -> (tokens, updated at)
        self.capacity_known_from = 0
        self.no_leases_out = False  # set by a caller that knows that no leases exist yet
        self.short_until: dict[Unit, int] = {}

    def start_term(self, now: int) -> None:
        """Resets the state when this process becomes leader."""
        self.holders.clear()
        self.used.clear()
        self.waiting.clear()
        self.short_until.clear()
        self.buckets = {n: (0.0, now) for n, limit in self.limits.items() if not limit.counts_places}
        self.capacity_known_from = now if self.no_leases_out else now + self.grant_lifetime
        self.no_leases_out = False

    # ---- free capacity

    def free(self, now: int, unit: Unit) -> int:
        """Returns the places or whole tokens that may be granted now."""
        limit = self.limits[unit[0]]
        if limit.counts_places:
            return (
                max(0, int(limit.lendable()) - self.used.get(unit, 0))
                if now >= self.capacity_known_from
                else 0
            )
        tokens_left, updated_at = self.buckets[unit[0]]
        tokens_left = min(
            limit.bucket_depth(), tokens_left + (now - updated_at) * limit.lendable() / TICKS_PER_SECOND
        )
        self.buckets[unit[0]] = tokens_left, now
        return int(tokens_left)

    def set_places_out(self, state: HolderState, unit: Unit, places_out: int) -> int:
        """Records the places that a holder may use; returns how many came free."""
        previous = state.places_out.pop(unit, 0)
        if places_out:
            state.places_out[unit] = places_out
        used = self.used.get(unit, 0) + places_out - previous
        self.used[unit] = used
        if not used:
            del self.used[unit]
        return previous - places_out

    # ---- requests

    def request(
        self, now: int, holder: tuple, sequence: int, answered_sequence: int, requests: list[UnitRequest]
    ) -> list[tuple]:
        """Handles a holder's request and returns the grants to send.

        `answered_sequence`: the request whose answer the holder took last. It accepts no answer to an earlier
        one.
        """
        self.expire(now)
        state = self.holders.get(holder)
        if state is None:
            if len(self.holders) >= MAX_HOLDERS:
                return []
            state = self.holders[holder] = HolderState()
        if sequence <= state.sequence:
            return []
        named_units, freed = {request.unit for request in requests}, []
        for unit in [unit for unit in state.places_out if unit not in named_units]:
            freed += [unit] * bool(self.set_places_out(state, unit, 0))
        for unit in [unit for unit in state.wanted if unit not in named_units]:
            self.set_waiting(state, holder, unit, 0)
        previous, state.granted = (state.granted, {})
        for request in requests:
            limit = self.limits.get(request.unit[0])
            if limit is None:
                continue
            if limit.counts_places:
                freed += self.grant_places(now, state, holder, request)
            else:
                self.grant_tokens(
                    now,
                    state,
                    holder,
                    request,
                    previous.get(request.unit, 0),
                    answered_sequence == state.sequence,
                )
        state.sequence, state.version, state.expires_at = sequence, 1, now + self.grant_lifetime
        return [self.grant_of(now, holder), *self.serve_waiting(now, freed, holder)]

    def grant_places(self, now: int, state: HolderState, holder: tuple, request: UnitRequest) -> list[Unit]:
        lent_before = state.places_out.get(request.unit, 0)
        # A holder may not claim more than it was lent; what an earlier leader lent, only the holder knows.
        holds = request.holds if now < self.capacity_known_from else min(request.holds, lent_before)
        freed_places = self.set_places_out(state, request.unit, holds)
        free = self.free(now, request.unit)
        wanted = request.want
        if not self.waiting.get(request.unit) and wanted <= holds + free:
            wanted += max(0, free - max(0, wanted - holds)) // (SPARE_DIVISOR * max(1, len(self.holders)))
        granted = min(wanted, holds + free)
        self.set_places_out(state, request.unit, max(holds, granted))
        state.granted[request.unit] = granted
        self.set_waiting(state, holder, request.unit, request.want if granted < request.want else 0)
        return [request.unit] if freed_places > 0 else []

    def grant_tokens(
        self,
        now: int,
        state: HolderState,
        holder: tuple,
        request: UnitRequest,
        previous_grant: int,
        answer_taken: bool,
    ) -> None:
        """Grants tokens; those granted before and not taken are free again, as their answer is void."""
        limit = self.limits[request.unit[0]]
        unused = previous_grant - (min(previous_grant, request.holds) if answer_taken else 0)
        self.free(now, request.unit)
        tokens_left, _ = self.buckets[request.unit[0]]
        self.buckets[request.unit[0]] = min(limit.bucket_depth(), tokens_left + unused), now
        free = self.free(now, request.unit)
        granted = min(request.want, max(min(1, free), free // (1 + len(self.waiting.get(request.unit, ())))))
        self.buckets[request.unit[0]] = self.buckets[request.unit[0]][0] - granted, now
        state.granted[request.unit] = granted
        self.set_waiting(state, holder, request.unit, request.want if granted < request.want else 0)

    def set_waiting(self, state: HolderState, holder: tuple, unit: Unit, want: int) -> None:
        queue = self.waiting.setdefault(unit, OrderedDict())
        if want:
            state.wanted[unit] = want
            queue.setdefault(holder, True)
        else:
            state.wanted.pop(unit, None)
            queue.pop(holder, None)
            if not queue:
                del self.waiting[unit]

    def grant_of(self, now: int, holder: tuple) -> tuple:
        state = self.holders[holder]
        contended = [unit for unit in state.granted if unit in self.waiting]
        return holder, state.sequence, state.version, dict(state.granted), contended

    # ---- capacity that comes free

    def serve_waiting(self, now: int, units, requester: tuple | None = None) -> list[tuple]:
        """Returns new versions of answers for holders waiting for these units, the requester's last."""
        updated: dict[tuple, None] = {}
        for unit in dict.fromkeys(units):
            for holder in list(self.waiting.get(unit, ())):
                free = self.free(now, unit)
                if free < 1:
                    break
                state = self.holders[holder]
                additional = min(free, state.wanted[unit] - state.granted[unit])
                if self.limits[unit[0]].counts_places:
                    state.granted[unit] += additional
                    self.set_places_out(state, unit, max(state.places_out.get(unit, 0), state.granted[unit]))
                else:
                    additional = min(additional, max(1, free // len(self.waiting[unit])))
                    state.granted[unit] += additional
                    self.buckets[unit[0]] = self.buckets[unit[0]][0] - additional, now
                if state.granted[unit] >= state.wanted[unit]:
                    self.set_waiting(state, holder, unit, 0)
                updated[holder] = None
        for holder in updated:
            self.holders[holder].version += 1
        return [self.grant_of(now, holder) for holder in updated if holder != requester] + [
            self.grant_of(now, holder) for holder in updated if holder == requester
        ]

    def expire(self, now: int) -> list[Unit]:
        freed = []
        for holder in [holder for holder, state in self.holders.items() if now >= state.expires_at]:
            state = self.holders.pop(holder)
            for unit in list(state.places_out):
                self.set_places_out(state, unit, 0)
                freed.append(unit)
            for unit in list(state.wanted):
                self.set_waiting(state, holder, unit, 0)
        return freed

    def tick(self, now: int) -> list[tuple]:
        """Call several times a second: expires leases and grants what came free, new tokens included."""
        freed = self.expire(now)
        return self.serve_waiting(
            now, [*freed, *(u for u in self.waiting if now >= self.capacity_known_from or u[1] == 0)]
        )
