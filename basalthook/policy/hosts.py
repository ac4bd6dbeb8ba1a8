"""Choice of a host: which a transaction may go to, which it gets, and what outcomes do to the host.

Times are in ticks of 0.1 ms. A slowdown is a latency divided by the latency with little queueing.
"""

from random import Random

from . import interface
from .measure import Allowance, Latency, RecentPlaces, Rendezvous, SlidingWindow, SlowGroups
from .rules import Rules

# Ticks: a ban; a first backoff. Time-outs in a row that ban a host; hosts at which a faulty key has failed.
BAN_TIME, FIRST_BACKOFF, BAN_TIMEOUTS, KEY_HOSTS = 100_000, 500, 3, 2
CONNECT_BAN, MAX_BACKOFF = 5_000, 25_000  # ticks: ban after a failed connection (then doubled); max. backoff
QUEUEING, MAX_SHARE = 1.5, 1.25  # most of our attempts at a host: times its base load; times its fair share
HOST_MINIMUM = 4  # attempts of all proxies that a host may always have open; with fewer it idles between two
BUSY, OVERLOAD, MAX_FLEET_FACTOR = 1.25, 3.0, 1.5  # slowdown: busy fleet; overloaded host; factor on it
SPARE, FLOOR_DIVISOR = 0.7, 64  # transactions per core of hosts with room; service goal / latency floor
# Slowdown: maximum at home; fleet's that enforces it by host; maximum to spill to. Proxies per spill host.
HOME_MAX, FLEET_MIN, SPILL_MAX, SPILL_HOSTS = 2.0, 1.5, 1.5, 3
BUSY_REACH = 2  # while busy, a key waits for one of its first so many hosts before it goes elsewhere
# Excess of slow answers that makes a group slow; answers to compare a group by; error rate that bans a host.
SLOW_SHARE, MIN_ANSWERS, MAX_ERROR_RATE = 0.5, 3, 0.3
HOST_WEIGHT, FLEET_WEIGHT = 0.4, 3  # EWMA weights: host / recent attempts; fleet * commit gap / overload_time
ESTIMATE_INTERVAL, COLD_STEPS = 10_000, 16  # ticks between updates of estimates; re-rankings in a slow start
UNLISTED_SILENCE, TABLE_SIZE = 600_000, 2_000  # ticks without an answer that end an unlisted host; entries
TRIAL_PART = 3  # the fleet's trial of a host takes at most 1 / TRIAL_PART of the time left

# outcome -> method that applies it to the host (or None), and whether the transaction may have run
OUTCOME_EFFECTS = {
    interface.COMMITTED: ("sound", True),
    interface.ERROR: ("erred", True),
    interface.TIMED_OUT: ("timed_out", True),
    interface.RESET: ("erred", True),
    interface.CANCELLED: ("weigh", True),
    interface.REFUSED: ("back_off", False),
    interface.UNREACHABLE: ("ban", False),
    interface.UNSENT: (None, False),
    interface.DECLINED: (None, True),
    interface.DROPPED: ("erred", False),
}
RESPONSES, KEYED_FAILURES = (
    {interface.COMMITTED, interface.ERROR, interface.REFUSED, interface.DECLINED},
    {interface.ERROR, interface.TIMED_OUT, interface.RESET},
)


class Hosts(Rules):
    def __init__(self, settings, seed, now):
        self.settings, self.rng, self.now, self.started, self.seen_to = settings, Random(seed), now, now, now
        self.hosts, self.txs = {}, {}  # listed, or with attempts; open, or answered with attempts
        self.queue, self.preselected = [], None  # sorted (retry?, queue_until, tx); host for the next to send
        self.last_commit_at = now
        self.attempts = {}  # open ones: (tx, attempt) -> host, sent at, late after; removed as they end
        self.sent = SlidingWindow(settings.overload_time)  # our attempts
        self.ranking_cache = {}  # key -> first hosts; bounded, cleared by a list, a ban or a slow start step
        self.latency = [Latency(p.service_goal, p.service_goal / FLOOR_DIVISOR) for p in settings.profiles]
        self.key_failures, self.trial_host = RecentPlaces(BAN_TIME, TABLE_SIZE), None  # key -> hosts
        self.base_latency, self.slowdown, self.load = min(k.base for k in self.latency), 1.0, 1.0
        self.slow_groups, self.commit_rate, self.unread_delay, self.processes = (
            SlowGroups(BAN_TIME, TABLE_SIZE, MIN_ANSWERS),
            0.0,
            0.0,
            1,
        )
        self.next_estimate_at, self.min_held = now, max(1.0, HOST_MINIMUM // settings.proxies)
        bound = any(p.zones and settings.zone in p.zones for p in settings.profiles)
        self.home_zone, self.spill_count = settings.zone if bound else None, 0  # hosts of other zones in use
        self.allowance = Allowance()  # by the fleet's limits
        self.rebuild_rankings()

    def pick_host(self, tx):
        """Of the first two usable hosts in the key's order, the one with fewer of our attempts."""
        if not self.may_attempt(tx):
            return None
        best, banned, unbanned, reach, now = [], [], False, len(self.preferred), self.now
        if tx.key is not None and self.settings.warm_keys and self.busy() and now < tx.queue_until:
            reach = BUSY_REACH  # under overload, keys sent to hosts without their data cost more work
        for host in self.ranked_hosts(tx.key):
            ban = self.excluded(host, "ban")
            if host.id in tx.tried or not self.admits(tx, host):
                continue
            unbanned |= host.trusted and not ban and self.now >= host.verdict_until
            if ban or not host.trusted or self.now < host.verdict_until:
                banned.append(host)
            if not ban and not self.is_suspect(host, tx):
                reach -= 1
                if self.has_capacity(host):
                    best.append(host)
            if len(best) == 2 or not reach:
                break
        if not best and not unbanned:  # all are banned, or unproven since a ban: use those that are ready
            best = [h for h in banned if self.has_capacity(h)][:2]
        if len(best) == 2 and len(best[0].attempts) == len(best[1].attempts):
            return best[0] if self.busy() else self.rng.choice(best)
        return min(best, key=lambda h: len(h.attempts), default=None)

    def excluded(self, host, *reasons):
        return any(host.excluded_until.get(reason, 0) > self.now for reason in reasons)

    def is_suspect(self, host, tx):
        """Whether the host is backed off, held back by a verdict, on probation, or silent."""
        if host.excluded_until and self.excluded(host, "rest", tx.profile_id):
            return True
        if self.now < host.ramp_until and self.withheld_by_verdict(host):
            return True
        if host.throttles or not host.trusted:  # after a ban or backoff: one repeatable attempt at a time
            return bool(host.attempts) or tx.profile.kind == interface.NON_IDEMPOTENT
        if not host.attempts:
            return False
        # silent: no answer since the oldest attempt became late, by the latency of its own profile
        _, sent_at, late_after = next(iter(host.attempts.values()))
        return self.seen_to - max(host.last_answer, sent_at) >= late_after

    def withheld_by_verdict(self, host):
        """Whether the fleet's verdict keeps an attempt away: always until it ends, then less often."""
        ramp = max(1, host.ramp_until - host.verdict_until)
        return self.now < host.verdict_until or self.rng.random() > (self.now - host.verdict_until) / ramp

    def trial_for(self, tx):
        """The host that the fleet wants tried, if `tx` has time to continue elsewhere after a failure."""
        host = self.hosts.get(self.trial_host)
        if host is None or tx.profile.kind != interface.IDEMPOTENT or tx.tried or not self.may_attempt(tx):
            return None
        free = not host.attempts and not self.excluded(host, "ban", "rest") and self.admits(tx, host)
        return host if free and TRIAL_PART * (tx.goal_at - self.now) > 2 * tx.profile.service_goal else None

    def is_slow(self, tx):
        """Whether its profile or tenant is slow at all hosts and others are not: no fault of hosts."""
        return self.slow_groups.excess(tx.groups, self.now) > SLOW_SHARE

    def concurrency_limit(self, host):
        """Little's law: our attempts at a host whose latency is QUEUEING times the unloaded one."""
        share = host.capacity * self.warm_share(host) / self.capacity * MAX_SHARE * (len(self.attempts) + 1)
        if self.settings.live_weights and host.capacity < (1 + SPARE) * host.entry.weight:
            return share + 2 * share**0.5 + 1  # little load by its live weight: room for usual fluctuation
        return max(self.min_held, min(QUEUEING * self.base_load(host.sent), share) if self.busy() else share)

    def has_capacity(self, host):
        """Overdue attempts don't count: a host that leaves some unanswered would get no others."""
        held = len(host.attempts)
        return held < self.min_held or held - self.overdue(host.attempts) < self.concurrency_limit(host)

    def overdue(self, attempts):
        """Counts late attempts with no answer since, or with later ones answered: these show no overload."""
        return sum(
            self.seen_to - sent_at >= late_after
            and (host.last_answer <= sent_at or sent_at < host.answered_send)
            for host, sent_at, late_after in attempts.values()
        )

    def busy(self):
        """Whether answers are slow, or first attempts are queued: all would go out once answers speed up."""
        return self.slowdown > BUSY and self.load > SPARE or bool(self.queue) and not self.queue[0][0]

    def at_limit(self):
        """Whether too many attempts are open: even one each from many proxies overloads hosts."""
        if self.settings.live_weights or not (self.home_zone or self.busy()):
            return False
        usual, held = self.base_load(self.sent), len(self.attempts)
        if self.home_zone:  # one attempt of each proxy at each host fills the zone before any answer shows it
            limit = max(1.0, HOST_MINIMUM * len(self.ready) / self.settings.proxies, QUEUEING * usual)
            return held >= limit and sum(not self.is_slow(self.txs[n]) for n, _ in self.attempts) >= limit
        spare = max(0.0, min(1.0, (OVERLOAD - self.slowdown) / (OVERLOAD - BUSY)))
        most = max(1.0, QUEUEING * usual + spare * (1 + 2 * usual**0.5))
        return held - spare * self.overdue(self.attempts) >= most

    def base_load(self, sent):
        """Attempts open at the present send rate with little queueing, including answers not read yet."""
        span = min(self.settings.overload_time, max(self.now - self.started, self.base_latency))
        return sent.count(self.now) / span * (self.base_latency + self.unread_delay)

    def ranked_hosts(self, key):
        self.update_estimates()
        if self.now >= self.ranked_until:
            self.rebuild_rankings()
        if key is None:
            yield from self.rng.sample(self.preferred, len(self.preferred))
            return
        first = self.ranking_cache.get(key)
        if first is None:
            if len(self.ranking_cache) >= TABLE_SIZE:
                del self.ranking_cache[next(iter(self.ranking_cache))]
            first = self.ranking_cache[key] = self.rendezvous.leaders(key)
        yield from first
        if len(first) < len(self.preferred):
            yield from self.rendezvous.order(key)[len(first) :]

    def rebuild_rankings(self):
        self.ranking_cache.clear()
        self.ready = [h for h in self.hosts.values() if h.entry.ready]
        near = [h for h in self.ready if h.entry.zone == self.home_zone]
        self.preferred = near + self.spill(all(self.excluded(h, "ban") for h in near)) if near else self.ready
        self.capacity = sum(h.capacity * self.warm_share(h) for h in self.ready)
        # under load by live weights, a key's warm hosts in all zones are worth more than staying in the zone
        bias = 0 if self.settings.live_weights and self.load > SPARE else 100 * self.settings.cross_zone_price
        self.rendezvous = Rendezvous(
            self.preferred,
            [h.entry.hash for h in self.preferred],
            [
                h.capacity * self.warm_share(h) * (1.0 + bias * (h.entry.zone == self.settings.zone))
                for h in self.preferred
            ],
        )
        steps = [self.now + self.settings.slow_start_time // COLD_STEPS for h in self.ready if h.cold_since]
        self.ranked_until = min(
            [float("inf"), *steps] + [h.excluded_until["ban"] for h in near if self.excluded(h, "ban")]
        )

    def spill(self, needed):
        """The fast hosts of other zones to use; each proxy uses different ones, to spread the load."""
        far = [
            h
            for h in self.ready
            if h.entry.zone != self.home_zone
            and not h.failures
            and (h.slowdown < SPILL_MAX or h.last_answer + BAN_TIME < self.now)
        ]
        order = Rendezvous(far, [h.entry.hash for h in far], [1.0] * len(far)).order(self.settings.position)
        return order[: max(self.spill_count, needed)]

    def update_estimates(self):
        """Update the commit rate of warm hosts, and the number of hosts of other zones to use."""
        if self.now < self.next_estimate_at:
            return
        self.next_estimate_at = self.now + ESTIMATE_INTERVAL
        known = [h for h in self.ready if not self.excluded(h, "ban")]
        if warm := [h for h in known if h.cold_since is None]:  # hosts that are gone or banned commit less
            rate = sum(h.committed.count(self.now) for h in warm) / sum(h.capacity for h in warm)
            if rate > self.commit_rate or not self.busy():  # overloaded hosts commit less than they could
                self.commit_rate += (rate - self.commit_rate) * 0.3
        if self.home_zone:  # profiles without placement leave a slow home zone if there are enough hosts
            near = [h.slowdown for h in known if h.entry.zone == self.home_zone] or [1.0]
            mean, most = sum(near) / len(near), SPILL_HOSTS * len(self.ready) // self.settings.proxies
            self.spill_count = max(0, min(most, self.spill_count + (mean > HOME_MAX) - (mean < BUSY)))
            self.rebuild_rankings()

    def exclude(self, host, reason, wait):
        host.excluded_until[reason] = self.now + wait
        self.effects.append(interface.SetTimer(wait, 1))

    def update_entry(self, host, entry):
        """Apply a list entry. A live weight at most doubles the capacity, as it may be wrong tenfold."""
        if entry.started_at is not None and entry.started_at != host.entry.started_at:
            host.renew(entry)
        host.entry, host.unlisted = entry, False
        host.capacity = (
            entry.weight
            if not self.settings.live_weights
            else max(host.capacity, min(entry.weight, 2 * host.capacity or entry.weight))
        )

    def mark_unlisted(self, host):
        """A host off the list is gone, or, if unlisted hosts are usable, goes at its next fault."""
        if self.settings.use_unlisted and host.entry.ready and self.now < host.last_answer + UNLISTED_SILENCE:
            host.trusted, host.unlisted = host.trusted and host.unlisted, True
        else:
            host.entry = host.entry._replace(ready=False)

    def record_outcome(self, host, sent_at, tx, event):
        """Apply an outcome to the host; returns whether the transaction itself is at fault."""
        effect, ran = OUTCOME_EFFECTS[event.outcome]
        self.unread_delay += (event.unread_for - self.unread_delay) * 0.02
        if event.outcome in RESPONSES:
            host.last_answer, host.answered_send = self.now, max(host.answered_send, sent_at)
            host.answered_by[tx.profile_id] = max(host.answered_by.get(tx.profile_id, 0), sent_at)
        elif host.unlisted and effect not in (None, "weigh"):  # an attempt that we cancelled proves nothing
            host.entry = host.entry._replace(ready=False)
            self.rebuild_rankings()
        if ran:
            self.note_run(tx, host, sent_at, event)
        at_fault = event.outcome == interface.TIMED_OUT and self.is_slow(tx)
        if tx.key is not None and event.outcome in KEYED_FAILURES:  # at KEY_HOSTS hosts: the key's fault
            at_fault |= len(self.key_failures.add(tx.key, host.id, self.now)) >= KEY_HOSTS
        if effect and not at_fault:
            getattr(self, effect)(host, tx, event)
        return at_fault

    def sound(self, host, tx, event):
        """A commit: the host is trusted again, and its latency counts."""
        host.trusted, host.failures = True, 0
        host.timeouts.pop(tx.profile_id, None)
        host.error_rate *= 0.9
        self.key_failures.drop(tx.key)
        since, self.last_commit_at = self.now - self.last_commit_at, self.now
        if not self.is_slow(tx):
            self.latency[tx.profile_id].add(event.elapsed)
        self.slow_groups.add(tx.groups, event.elapsed > OVERLOAD * self.latency[tx.profile_id].base, self.now)
        sample = self.slowness(host, tx, event)
        # weighted by time, where answers are few; only commits, as a silent host does not make others busy
        self.weigh(host, tx, event, sample)
        if not host.throttles or 2 * sum(bool(h.throttles) for h in self.ready) > len(self.ready):
            self.slowdown += (sample - self.slowdown) * max(
                0.02, min(0.2, FLEET_WEIGHT * since / self.settings.overload_time)
            )
        host.committed.add(self.now)

    def slowness(self, host, tx, event):
        """Slowdown by this answer. A cold host is slow by nature: unscaled, it was backed off until warm."""
        slower = event.elapsed / self.latency[tx.profile_id].base * self.warm_share(host)
        return 1.0 if self.is_slow(tx) else min(10.0, slower)

    def weigh(self, host, tx, event, sample=None):
        """Update the host's slowdown, and back it off while that is too high."""
        if event.outcome != interface.COMMITTED and self.now - event.elapsed < host.answered_send:
            return  # later attempts were answered: no sign of overload
        sample = sample or max(host.slowdown, self.slowness(host, tx, event))
        often = max(1, host.sent.count(self.now))  # with few attempts to a host, each answer counts more
        host.slowdown += (sample - host.slowdown) * (0.5 if host.throttles else max(0.1, HOST_WEIGHT / often))
        # an overloaded host slows down further until it is avoided; but not all of a slow fleet are avoided
        factor = min(MAX_FLEET_FACTOR, max(1.0, self.slowdown)) if self.settings.live_weights else 1.0
        if host.slowdown > (HOME_MAX if self.home_zone and self.slowdown > FLEET_MIN else OVERLOAD * factor):
            self.back_off(host, tx, event, max(FIRST_BACKOFF, self.settings.overload_time // often), BAN_TIME)
        else:
            host.throttles = 0

    def timed_out(self, host, tx, event):
        """Time-outs in a row of a profile ban the host; if it answers others, exclude it for this one."""
        self.weigh(host, tx, event)
        if (sent_at := self.now - event.elapsed) < host.answered_by.get(tx.profile_id, 0):
            return
        run, since = host.timeouts.get(tx.profile_id, (0, sent_at))
        host.timeouts[tx.profile_id] = run + 1, since
        if run + 1 >= BAN_TIMEOUTS and host.last_answer <= since:
            self.ban(host, tx, event)
        elif run + 1 >= BAN_TIMEOUTS:
            self.exclude(host, tx.profile_id, BAN_TIME)  # its next time-out excludes it again

    def erred(self, host, tx, event):
        """Quick errors make a host look idle and attract attempts: errors of several keys ban it."""
        self.effects += [interface.ReportHostFault(host.id)] * self.settings.peer_reports
        if tx.key is None or tx.key != host.last_error_key:
            host.error_rate, host.last_error_key = host.error_rate * 0.9 + 0.1, tx.key
        host.trusted = host.trusted and event.outcome == interface.ERROR  # a reset: repeatable ones probe it
        median = sorted(h.error_rate for h in self.hosts.values())[(len(self.hosts) - 1) // 2]
        if host.error_rate > MAX_ERROR_RATE + 2 * median:  # more than most hosts share
            self.ban(host, tx, event)

    def ban(self, host, tx, event):
        """Failed connections begin with a short ban: a host's short pause must not cost it ten seconds."""
        lost = event.outcome == interface.UNREACHABLE
        self.exclude(host, "ban", min(BAN_TIME, CONNECT_BAN * 2**host.failures) if lost else BAN_TIME)
        host.failures = min(host.failures + lost, 8)
        host.error_rate, host.timeouts, host.trusted = 0, {}, False
        if self.home_zone:
            self.rebuild_rankings()

    def back_off(self, host, tx, event, first=FIRST_BACKOFF, most=MAX_BACKOFF):
        self.exclude(host, "rest", min(most, first * 2**host.throttles))
        host.throttles = min(host.throttles + 1, 8)
