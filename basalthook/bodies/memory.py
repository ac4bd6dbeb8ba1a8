"""The memory budget for long request bodies, which are collected whole so that every attempt can send them.

A body of known length reserves all its memory before more of it is read; one of unknown length reserves more
as it grows. If there is not enough, reading from its client stops until there is. Memory is granted in order
of arrival, but small reservations need not wait behind larger ones. How long a body waits is up to its owner.

Slow clients alone can't keep others out: while a reservation waits, memory is taken back from bodies that are
still being received. What such a body has reserved and not received goes first; it then reserves again as it
grows. While slow bodies hold over `SLOW_SHARE` of the budget even so, the one that began last is evicted.
"""

from collections.abc import Callable, Iterable

from ..transport.buffers import in_pages
from ..transport.timers import Timers

GROWTH_BYTES = 256 * 1024  # reserved at a time by a body of unknown length; reservations up to this are small
HEADROOM_BYTES = 64 * 1024  # kept beyond what a body has received when the rest is taken back
# A body is slow if, after this time, it has come at a lower rate than this.
SLOW_AFTER_S = 1.0
SLOW_BYTES_PER_S = 1_000_000
SLOW_SHARE = 0.5  # of the budget, that slow bodies may hold while others wait
RETRY_INTERVAL_S = 0.1  # between two looks for memory while some wait, as bodies become slow with time


class Reservation:
    """The memory of one body, from its head until its request is finished; all counts are in bytes."""

    __slots__ = (
        "memory",
        "on_granted",
        "on_evicted",
        "began_at",
        "waiting_since",
        "held",
        "wanted",
        "received",
        "complete",
    )

    def __init__(
        self, memory: "BodyMemory", on_granted: Callable[[], None], on_evicted: Callable[[], None]
    ) -> None:
        self.memory, self.on_granted, self.on_evicted = memory, on_granted, on_evicted
        self.began_at = memory.timers.now()  # ticks; moved on by the time spent waiting for memory
        self.waiting_since: int | None = None  # ticks
        self.held = self.wanted = self.received = 0
        self.complete = False  # the whole body has been received

    @property
    def missing(self) -> int:
        """Bytes wanted and not held."""
        return max(0, self.wanted - self.held)

    @property
    def unused(self) -> int:
        """Bytes held that can be taken back, as they have not been received."""
        return 0 if self.complete else max(0, self.held - self.received - HEADROOM_BYTES)

    def is_slow(self, now: int) -> bool:
        """Return whether its client sends slowly; time spent waiting for memory does not count."""
        if self.complete:
            return False
        receiving = (now if self.waiting_since is None else self.waiting_since) - self.began_at
        seconds = receiving / self.memory.timers.ticks_per_second
        return seconds > SLOW_AFTER_S and self.received < seconds * SLOW_BYTES_PER_S

    def needed(self, length: int | None) -> int:
        """Bytes to hold for what has been received of a body of this length; None: its length is unknown."""
        if length is not None and not self.wanted:
            return in_pages(length)
        grown = -(-self.received // GROWTH_BYTES) * GROWTH_BYTES
        return grown if length is None else min(grown, in_pages(length))

    def reserve(self, total: int) -> bool:
        """Hold `total` bytes. Returns False if they are not free; `on_granted()` is called once they are."""
        return total <= self.held or self.memory.reserve(self, total)

    def mark_complete(self) -> None:
        """The whole body has been received; its memory is in use until `release`."""
        self.complete = True

    def release(self) -> None:
        """Return the memory and stop waiting for more; neither callback is called any more."""
        self.memory.release(self)


class BodyMemory:
    """A budget in bytes for the reservations of all bodies."""

    def __init__(self, capacity: int, timers: Timers) -> None:
        self.capacity, self.timers = capacity, timers
        self.in_use = self.peak = 0
        self.reservations: dict[Reservation, None] = {}  # open ones, in order of their beginning
        self.waiting: dict[Reservation, None] = {}  # in order of arrival
        self.retry_timer = None  # set while reservations wait

    def begin(self, on_granted: Callable[[], None], on_evicted: Callable[[], None]) -> Reservation:
        """Return the reservation of a new body, which holds nothing yet.

        `on_granted()` is called for a reservation that had to wait. `on_evicted()` is called when the body
        has lost its memory, also while it reserves more; the reservation is released before.
        """
        reservation = Reservation(self, on_granted, on_evicted)
        self.reservations[reservation] = None
        return reservation

    def is_overbooked(self) -> bool:
        """Return whether those that wait want more than the whole budget, so that one more has no chance."""
        return sum(reservation.missing for reservation in self.waiting) > self.capacity

    def set_capacity(self, capacity: int) -> None:
        """Change the budget; reservations that wait for more than all of it are evicted."""
        self.capacity = capacity
        self._evict([reservation for reservation in self.waiting if reservation.wanted > capacity])
        self.grant_waiting()

    def reserve(self, reservation: Reservation, total: int) -> bool:
        """See `Reservation.reserve`."""
        reservation.wanted, reservation.waiting_since = total, self.timers.now()
        self.waiting[reservation] = None
        self.grant_waiting(requester=reservation)
        self._set_retry_timer()
        return reservation in self.reservations and reservation not in self.waiting

    def release(self, reservation: Reservation) -> None:
        """See `Reservation.release`."""
        if reservation in self.reservations:
            self._forget(reservation)
            self.grant_waiting()

    def grant_waiting(self, requester: Reservation | None = None) -> None:
        """Grant what can be granted; the requester is not called back, as it sees the result itself."""
        granted, now = [], self.timers.now()
        for reservation in list(self.waiting):
            if reservation not in self.waiting:  # evicted for one before it
                continue
            is_first = reservation is next(iter(self.waiting))
            is_small = reservation.missing <= GROWTH_BYTES
            if not is_first and not is_small:
                continue
            if self._make_room(reservation):
                self._take(reservation)
                granted.append(reservation)
            elif is_small and not reservation.is_slow(now):
                break  # those behind it wait in order; for a slow one less is taken back, so they may fit
        for reservation in granted:
            # the callback of an earlier one may have released it
            if reservation is not requester and reservation in self.reservations:
                reservation.on_granted()

    def _take(self, reservation: Reservation) -> None:
        self.in_use += reservation.missing
        self.peak = max(self.peak, self.in_use)
        reservation.held = reservation.wanted
        del self.waiting[reservation]
        reservation.began_at += self.timers.now() - reservation.waiting_since
        reservation.waiting_since = None

    def _make_room(self, requester: Reservation) -> bool:
        """Take memory back if that helps the requester; return whether its bytes are free now."""
        short = requester.missing - (self.capacity - self.in_use)
        if short <= 0:
            return True
        now = self.timers.now()
        # the youngest first: the others are nearer to their end
        others = [r for r in reversed(self.reservations) if r is not requester]
        slow = [r for r in others if r.is_slow(now)]
        reclaimable = list(slow)
        if requester.missing <= GROWTH_BYTES:
            reclaimable += [r for r in others if not r.is_slow(now)]
        short -= sum(r.unused for r in reclaimable)
        evicted = self._to_evict(requester, slow, short, now) if short > 0 else []
        if evicted is None:
            return False
        self._evict(evicted)
        self._reclaim(reclaimable, requester.missing)
        return requester in self.waiting and requester.missing <= self.capacity - self.in_use

    def _to_evict(
        self, requester: Reservation, slow: list[Reservation], short: int, now: int
    ) -> list[Reservation] | None:
        """Return the slow bodies to evict for `short` bytes beyond unused ones; None if that isn't enough.

        A slow requester has only younger ones evicted.
        """
        slow_held = sum(r.held - r.unused for r in slow)
        if requester.is_slow(now):
            slow_held += requester.held
            slow = [r for r in slow if r.began_at > requester.began_at]
        evicted = []
        for reservation in slow:
            if slow_held <= self.capacity * SLOW_SHARE:
                return None
            evicted.append(reservation)
            freed = reservation.held - reservation.unused
            slow_held -= freed
            short -= freed
            if short <= 0:
                return evicted
        return None

    def _reclaim(self, reservations: Iterable[Reservation], count: int) -> None:
        """Take unused memory back until `count` bytes are free."""
        for reservation in reservations:
            short = count - (self.capacity - self.in_use)
            if short <= 0:
                return
            taken = min(short, reservation.unused)
            reservation.held -= taken
            self.in_use -= taken

    def _evict(self, reservations: list[Reservation]) -> None:
        for reservation in reservations:
            self._forget(reservation)
        for reservation in reservations:
            reservation.on_evicted()

    def _forget(self, reservation: Reservation) -> None:
        del self.reservations[reservation]
        self.waiting.pop(reservation, None)
        self.in_use -= reservation.held
        reservation.held = reservation.wanted = 0

    def _retry(self) -> None:
        self.retry_timer = None
        self.grant_waiting()
        self._set_retry_timer()

    def _set_retry_timer(self) -> None:
        if self.waiting and self.retry_timer is None:
            interval = int(RETRY_INTERVAL_S * self.timers.ticks_per_second)
            self.retry_timer = self.timers.set(interval, self._retry)
