"""The operators' rules for transactions and attempts: checked at the decision and again at the first byte."""

from . import interface

COLD_KEY_COST = 2.5  # greatest cost of an attempt at a host without warm keys, relative to a warm one
LATE_START = 500  # ticks after its decision: an attempt that begins later is counted again in a slow start
# A host may take this many times as long to read a long body as one that has read it took in all.
READING_TIME_FACTOR = 2
READING_DECAY = 0.8  # of a host's noted time to read a byte, with each further long body


class Rules:
    """Deadline, number of attempts, repeats, placement, drains, slow start and the fleet's limits."""

    def may_attempt(self, tx):
        if (
            self.now >= tx.hard_limit
            or len(tx.tried) >= self.settings.max_attempts
            or tx.state == "done"
            or tx.attempts
        ):
            return False
        return self.may_repeat(tx)

    def note_run(self, tx, host, sent_at, event):
        """Note an attempt that may have run, and how long its host took to read a long body."""
        tx.first_run = tx.first_run or (sent_at, host.entry)
        tx.longest_run = max(tx.longest_run, event.elapsed)
        if tx.body_bytes and event.outcome != interface.CANCELLED:
            ticks_per_byte = (event.elapsed - self.latency[tx.profile_id].base) / tx.body_bytes
            host.ticks_per_byte = max(ticks_per_byte, READING_DECAY * host.ticks_per_byte)

    def may_repeat(self, tx, host=None, transit=0):
        """Whether a further attempt now has no second effect; for the rest see `reading_time`."""
        return (
            tx.profile.kind == interface.IDEMPOTENT
            or not tx.first_run
            or (
                tx.profile.kind == interface.JOURNALLED
                and self.now + self.reading_time(tx, host, transit)
                < tx.first_run[0] + tx.profile.repeat_window
            )
        )

    def reading_time(self, tx, host, transit):
        """Ticks until the next host has surely read the whole request; `host`: that one, None if any.

        `transit`: for how long its body has been written already. The host's process may be as far behind
        its system, which has taken the bytes, so the same time may pass once more.
        """
        if not tx.body_bytes:
            return 0
        pace = host.ticks_per_byte if host else 0.0
        if not pace:
            pace = max((other.ticks_per_byte for other in self.hosts.values()), default=0.0)
        return max(transit, max(READING_TIME_FACTOR * tx.longest_run, pace * tx.body_bytes) - transit)

    def attempt_refusal(self, now, tx_id, host_id, transit=0):
        """Why an attempt decided on earlier may no longer begin; None if it may.

        `transit`: ticks since the first byte of a long request was written.
        """
        tx, host, self.now = self.txs.get(tx_id), self.hosts.get(host_id), now
        if tx is None or tx.state != "in flight":
            return interface.REQUEST_OVER
        if now >= tx.hard_limit:
            return interface.OUT_OF_TIME
        if host is None or not host.entry.ready:
            return interface.ENDPOINT_LEAVING
        if not self.may_repeat(tx, host, transit):
            return interface.REPEAT_NOT_ALLOWED
        if not self.is_eligible(tx, host.entry):
            return interface.PLACEMENT
        return None

    def start_refusal(self, now, tx_id, host_id, transit=0):
        """Like `attempt_refusal`; if it may begin, it counts as begun.

        Called right before its first byte is sent; of a long request, also right before the last one.
        """
        refusal = self.attempt_refusal(now, tx_id, host_id, transit)
        tx, host = self.txs.get(tx_id), self.hosts.get(host_id)
        if refusal is not None or host.cold_since is None:
            return refusal
        if any(now - at > LATE_START for _, at in tx.attempts.values()):
            host.sent.add(now)  # its window moved on while the connection was set up or written to
        return None

    def is_eligible(self, tx, entry):
        """Whether drains, the profile's placement (zones, host kinds) and its repeat group allow it."""
        profile, first_run = (
            tx.profile,
            tx.first_run[1] if tx.first_run and tx.profile.kind == interface.JOURNALLED else entry,
        )
        return (
            entry.ready
            and (profile.zones is None or entry.zone in profile.zones)
            and (profile.host_kinds is None or entry.kind in profile.host_kinds)
            and {
                interface.ZONE: entry.zone == first_run.zone,
                interface.CELL: entry.cell == first_run.cell,
            }.get(profile.group, True)
        )

    def admits(self, tx, host):
        """Whether limits and rules let the host take it; a cold one takes its share in each overload_time.

        A share below one attempt is granted at random: one attempt from each of hundreds of proxies overloads
        a cold host.
        """
        free = self.allowance.remaining((interface.PER_HOST, host.id), self.now) > len(host.attempts) and (
            self.allowance.remaining(tx.limit_key, self.now) > 0
            and self.is_eligible(tx, host.entry)
            and self.may_repeat(tx, host)
        )
        if host.cold_since is None or not free:
            return free
        if self.now >= host.next_draw_at:
            host.admission_draw, host.next_draw_at = self.rng.random(), self.now + self.settings.overload_time
        expected = self.commit_rate * host.capacity * self.warm_share(host) / self.processes
        return host.sent.count(self.now) < (
            max(1.0, expected)
            if expected * self.settings.overload_factor >= 1.0
            else int(expected + host.admission_draw)
        )

    def warm_share(self, host):
        """The share of its capacity that a host can surely carry now, when cold without any warm key."""
        if host.cold_since is None or self.now >= host.cold_since + self.settings.slow_start_time:
            host.cold_since = None
            return 1.0
        age = max(0, self.now - host.cold_since) / self.settings.slow_start_time
        share = self.settings.slow_start_share + (1.0 - self.settings.slow_start_share) * age
        return share * min(1.0, self.settings.overload_factor / COLD_KEY_COST)
