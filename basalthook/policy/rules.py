"""The operators' rules for a request and an attempt: asked at the decision and again at the first byte."""

from . import interface

COLD_KEYS = 2.5  # a fresh host knows no key: a hop may cost it several times what a warm one pays
CONNECTED_LATE = 500  # after its decision: an attempt that begins so late counts anew in a slow start


class Rules:
    """Deadline, attempts, repeats, placement, drains, slow start and the fleet's limits."""

    def goes_on(self, tx):
        if (
            self.now >= tx.hard_limit
            or len(tx.tried) >= self.terms.max_attempts
            or tx.state == "done"
            or tx.out
        ):
            return False
        return self.repeatable(tx)

    def repeatable(self, tx):
        """Whether a further attempt now is known to have no second effect."""
        return (
            tx.profile.kind == interface.IDEMPOTENT
            or not tx.ran
            or (tx.profile.kind == interface.JOURNALLED and self.now < tx.ran[0] + tx.profile.repeat_window)
        )

    def refusal(self, now, tx_id, host):
        """Why an attempt decided earlier may not begin any more; None if it may, and it counts as begun.

        Asked right before its first byte goes out.
        """
        tx, server, self.now = self.txs.get(tx_id), self.servers.get(host), now
        if tx is None or tx.state != "out":
            return interface.REQUEST_OVER
        if now >= tx.hard_limit:
            return interface.OUT_OF_TIME
        if server is None or not server.line.ready:
            return interface.ENDPOINT_LEAVING
        if not self.repeatable(tx):
            return interface.REPEAT_NOT_ALLOWED
        if not self.open_to(tx, server.line):
            return interface.PLACEMENT
        if server.fresh_from is not None and any(now - at > CONNECTED_LATE for _, at in tx.out.values()):
            server.sent.add(now)  # its window moved while the connection came up
        return None

    def open_to(self, tx, line):
        """Drains; placement: a bound profile goes to the named zones and kinds only; and repeat groups."""
        profile, ran = tx.profile, tx.ran[1] if tx.ran and tx.profile.kind == interface.JOURNALLED else line
        return (
            line.ready
            and (profile.zones is None or line.zone in profile.zones)
            and (profile.host_kinds is None or line.kind in profile.host_kinds)
            and {interface.ZONE: line.zone == ran.zone, interface.CELL: line.cell == ran.cell}.get(
                profile.group, True
            )
        )

    def admits(self, tx, server):
        """Whether this host may have it, if it may have a hop: a fresh one its share in a fall time. Under a
        hop luck decides, where a hop of each proxy would be too much: a line at hundreds pushes it over."""
        free = self.allowed.left((interface.PER_HOST, server.id), self.now) > len(server.out) and (
            self.allowed.left(tx.grant, self.now) > 0 and self.open_to(tx, server.line)
        )
        if server.fresh_from is None or not free:
            return free
        if self.now >= server.redraw:
            server.luck, server.redraw = self.chance.random(), self.now + self.terms.overload_time
        most = self.usual_rate * server.size * self.warmth(server) / self.processes
        return server.sent.count(self.now) < (
            max(1.0, most) if most * self.terms.overload_factor >= 1.0 else int(most + server.luck)
        )

    def warmth(self, server):
        """The share that it can carry for sure, a fresh one without knowing a key."""
        if server.fresh_from is None or self.now >= server.fresh_from + self.terms.slow_start_time:
            server.fresh_from = None
            return 1.0
        age = max(0, self.now - server.fresh_from) / self.terms.slow_start_time
        share = self.terms.slow_start_share + (1.0 - self.terms.slow_start_share) * age
        return share * min(1.0, self.terms.overload_factor / COLD_KEYS)
