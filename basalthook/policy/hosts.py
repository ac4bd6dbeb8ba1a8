"""What is known of hosts: which a transaction may go to and which it gets; what outcomes do to them."""

from random import Random

from . import interface
from .measure import Allowance, Drag, Latency, Rendezvous, Spread, Window
from .rules import Rules

COOLDOWN, BACKOFF, TIMEOUT_RUN, SPREAD = 100_000, 500, 3, 2  # the design's
FIRST_BAN, BACKOFF_MOST = 5_000, 25_000  # bans of failed connections double from one, backoffs up to one
ROOMY, FAIR = 1.5, 1.25  # no more of our hops at a host than make it so slow, or so many times its share
BEARABLE = 4  # hops of all proxies that a host may always hold: else it idles between two of ours
BUSY, CROWDED, OTHERS = 1.25, 3.0, 1.5  # so much slower than in quiet; the slowness of others counts up to
SPARE, UNHURRIED = 0.7, 64  # held a core, by the list, at hosts with room; a goal's part that is quick
AT_HOME, FROM, SWIFT, SPILL = 2.0, 1.5, 1.5, 3  # a crowd at home, in a fleet; elsewhere; so many a proxy
REACH = 2  # while busy, a key waits for one of its first so many hosts before it goes elsewhere
DRAGS, KNOWN, ERRING = 0.5, 3, 0.3  # share of slow answers that is a group's; by so many; of errors, a host's
SELDOM, LEARN = 0.4, 3  # weight of a host's one answer in a fall time; over all, of answers as far apart
LEARN_EVERY, COLD_STEPS = 10_000, 16  # how often slow changes are looked at; steps of a fresh slice
LEFT_OUT, KEPT = 600_000, 2_000  # a host that the list leaves out goes after such silence; bound of tables
TRIAL = 3  # part of the time left that the fleet's trial of a host may take

# outcome -> what it does to the host, and whether the transaction may have run
SORTED = {
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
SPOKEN, KEYED_FAILURES = (
    {interface.COMMITTED, interface.ERROR, interface.REFUSED, interface.DECLINED},
    {interface.ERROR, interface.TIMED_OUT, interface.RESET},
)


class Hosts(Rules):
    def __init__(self, agreement, seed, now):
        self.terms, self.chance, self.now, self.born, self.seen = agreement, Random(seed), now, now, now
        self.servers, self.txs = {}, {}  # listed, or with hops out; open, or answered with a hop out
        self.line, self.chosen = [], None  # (tried, give up, tx): emptied by answers, time; the next's host
        self.last_commit = now
        self.flying = {}  # hops out: (tx, hop) -> server, sent at, late after; emptied as they end
        self.sent = Window(agreement.overload_time)  # our hops
        self.rankings = {}  # key -> first servers; bounded, cleared by the list, a ban or a step
        self.latency = [Latency(p.service_goal, p.service_goal / UNHURRIED) for p in agreement.profiles]
        self.failing, self.trying = Spread(COOLDOWN, KEPT), None  # keys, hosts; which one to try
        self.quiet_mix, self.strain, self.cores = min(k.quiet for k in self.latency), 1.0, 1.0  # held a core
        self.drag, self.usual_rate, self.unread, self.processes = Drag(COOLDOWN, KEPT, KNOWN), 0.0, 0.0, 1
        self.learn_next, self.least = now, max(1.0, BEARABLE // agreement.proxies)
        bound = any(p.zones and agreement.zone in p.zones for p in agreement.profiles)
        self.rooted, self.extra = agreement.zone if bound else None, 0  # hosts elsewhere of free profiles
        self.allowed = Allowance()  # by the fleet's limits
        self.reset_rankings()

    def pick(self, tx):
        if not self.goes_on(tx):
            return None
        best, banned, unbanned, reach, now = [], [], False, len(self.home), self.now
        if tx.key is not None and self.terms.warm_keys and self.busy() and now < tx.give_up:
            reach = REACH  # guards against keys strewn over hosts that don't know them and work more
        for server in self.ranking(tx.key):
            ban = self.away(server, "ban")
            if server.id in tx.tried or not self.admits(tx, server):
                continue
            unbanned |= server.proven and not ban and self.now >= server.shut
            if ban or not server.proven or self.now < server.shut:
                banned.append(server)
            if not ban and not self.doubtful(server, tx):
                reach -= 1
                if self.has_room(server):
                    best.append(server)
            if len(best) == 2 or not reach:
                break
        if not best and not unbanned:  # all banned, or none proven since: ready ones count
            best = [s for s in banned if self.has_room(s)][:2]
        if len(best) == 2 and len(best[0].out) == len(best[1].out):
            return best[0] if self.busy() else self.chance.choice(best)
        return min(best, key=lambda s: len(s.out), default=None)

    def away(self, server, *reasons):
        return any(server.away.get(reason, 0) > self.now for reason in reasons)

    def doubtful(self, server, tx):
        if server.away and self.away(server, "rest", tx.kind):
            return True
        if self.now < server.whole and self.judged(server):
            return True
        if server.throttles or not server.proven:  # back from a ban or rest: one hop at a time, and
            return (
                bool(server.out) or tx.profile.kind == interface.NON_IDEMPOTENT
            )  # only what may be repeated
        if not server.out:
            return False  # else guards against hosts that went silent or stand still
        _, sent_at, late_after = next(iter(server.out.values()))  # by its own measure, not by this one's
        return self.seen - max(server.heard, sent_at) >= late_after

    def judged(self, server):
        """By the fleet's verdict: none of ours while it is shut, then a part that grows till it is whole."""
        ramp = max(1, server.whole - server.shut)
        return self.now < server.shut or self.chance.random() > (self.now - server.shut) / ramp

    def tried(self, tx):
        """The fleet's trial of a host that it keeps away: of what can still go on elsewhere in time."""
        server = self.servers.get(self.trying)
        if server is None or tx.profile.kind != interface.IDEMPOTENT or tx.tried or not self.goes_on(tx):
            return None
        free = not server.out and not self.away(server, "ban", "rest") and self.admits(tx, server)
        return server if free and TRIAL * (tx.goal - self.now) > 2 * tx.profile.service_goal else None

    def drags(self, tx):
        """Its profile, or its party, is slow at all hosts, and others are not: no fault of the hosts."""
        return self.drag.of(tx.groups, self.now) > DRAGS

    def budget(self, server):
        """Little's law: our hops at a host whose answers take ROOMY times as long as in quiet."""
        share = server.size * self.warmth(server) / self.weight * FAIR * (len(self.flying) + 1)
        if self.terms.live_weights and server.size < (1 + SPARE) * server.line.weight:
            return share + 2 * share**0.5 + 1  # told to hold little: room for a usual swing
        return max(self.least, min(ROOMY * self.quiet_out(server.sent), share) if self.busy() else share)

    def has_room(self, server):
        """Guards against hosts that leave single hops unanswered: these hold no place of others."""
        held = len(server.out)
        return held < self.least or held - self.owed(server.out) < self.budget(server)

    def owed(self, out):
        """So many hops are late with nothing heard since, or later ones answered: that tells of no crowd."""
        return sum(
            self.seen - sent_at >= late_after and (server.heard <= sent_at or sent_at < server.passed)
            for server, sent_at, late_after in out.values()
        )

    def busy(self):
        """Answers are slow, or some wait: when they quicken the whole line must not go out at once."""
        return self.strain > BUSY and self.cores > SPARE or bool(self.line) and not self.line[0][0]

    def full(self):
        """Guards against many proxies with a hop or two each; one that is owed, or drags, does not count."""
        if self.terms.live_weights or not (self.rooted or self.busy()):
            return False
        usual, out = self.quiet_out(self.sent), len(self.flying)
        if self.rooted:  # a hop of each proxy at each host would fill these before any answer tells
            few = max(1.0, BEARABLE * len(self.ready) / self.terms.proxies, ROOMY * usual)
            return out >= few and sum(not self.drags(self.txs[n]) for n, _ in self.flying) >= few
        spare = max(0.0, min(1.0, (CROWDED - self.strain) / (CROWDED - BUSY)))
        most = max(1.0, ROOMY * usual + spare * (1 + 2 * usual**0.5))
        return out - spare * self.owed(self.flying) >= most

    def quiet_out(self, sent):
        """Hops out at this rate in quiet times, those that lie here answered but unread included."""
        span = min(self.terms.overload_time, max(self.now - self.born, self.quiet_mix))
        return sent.count(self.now) / span * (self.quiet_mix + self.unread)

    def ranking(self, key):
        self.learn()
        if self.now >= self.ranked_until:
            self.reset_rankings()
        if key is None:
            yield from self.chance.sample(self.home, len(self.home))
            return
        first = self.rankings.get(key)
        if first is None:
            if len(self.rankings) >= KEPT:
                del self.rankings[next(iter(self.rankings))]
            first = self.rankings[key] = self.rendezvous.first(key)
        yield from first
        if len(first) < len(self.home):
            yield from self.rendezvous.order(key)[len(first) :]

    def reset_rankings(self):
        self.rankings.clear()
        self.ready = [s for s in self.servers.values() if s.line.ready]
        near = [s for s in self.ready if s.line.zone == self.rooted]
        self.home = near + self.elsewhere(all(self.away(s, "ban") for s in near)) if near else self.ready
        self.weight = sum(s.size * self.warmth(s) for s in self.ready)
        # a key's warm hosts in all zones are worth more than a crossing while the list tells of busy ones
        lean = 0 if self.terms.live_weights and self.cores > SPARE else 100 * self.terms.cross_zone_price
        self.rendezvous = Rendezvous(
            self.home,
            [s.line.hash for s in self.home],
            [s.size * self.warmth(s) * (1.0 + lean * (s.line.zone == self.terms.zone)) for s in self.home],
        )
        steps = [self.now + self.terms.slow_start_time // COLD_STEPS for s in self.ready if s.fresh_from]
        self.ranked_until = min([float("inf"), *steps] + [s.away["ban"] for s in near if self.away(s, "ban")])

    def elsewhere(self, needed):
        """A few hosts of other zones that answer quickly: each proxy others, not to crowd these."""
        far = [
            s
            for s in self.ready
            if s.line.zone != self.rooted
            and not s.failures
            and (s.strain < SWIFT or s.heard + COOLDOWN < self.now)
        ]
        order = Rendezvous(far, [s.line.hash for s in far], [1.0] * len(far)).order(self.terms.position)
        return order[: max(self.extra, needed)]

    def learn(self):
        """What changes slowly: what a warm host usually commits for us, and how crowded home is."""
        if self.now < self.learn_next:
            return
        self.learn_next = self.now + LEARN_EVERY
        known = [s for s in self.ready if not self.away(s, "ban")]
        if warm := [s for s in known if s.fresh_from is None]:  # not what hosts gone or banned have committed
            rate = sum(s.committed.count(self.now) for s in warm) / sum(s.size for s in warm)
            if rate > self.usual_rate or not self.busy():  # in a crowd they commit less than they could
                self.usual_rate += (rate - self.usual_rate) * 0.3
        if self.rooted:  # free profiles go elsewhere while home is crowded, where hosts suffice
            near = [s.strain for s in known if s.line.zone == self.rooted] or [1.0]
            strain, most = sum(near) / len(near), SPILL * len(self.ready) // self.terms.proxies
            self.extra = max(0, min(most, self.extra + (strain > AT_HOME) - (strain < BUSY)))
            self.reset_rankings()

    def keep_away(self, server, reason, wait):
        server.away[reason] = self.now + wait
        self.effects.append(interface.SetTimer(wait, 1))

    def listed(self, server, line):
        """A live weight only says too little; in steps, against an untrue tenfold."""
        if line.started_at is not None and line.started_at != server.line.started_at:
            server.renew(line)
        server.line, server.doubted = line, False
        server.size = (
            line.weight
            if not self.terms.live_weights
            else max(server.size, min(line.weight, 2 * server.size or line.weight))
        )

    def left_out(self, server):
        """Gone, by the list. Where only draining binds that is a doubt: its next fault proves it."""
        if self.terms.unlisted_hosts_usable and server.line.ready and self.now < server.heard + LEFT_OUT:
            server.proven, server.doubted = server.proven and server.doubted, True
        else:
            server.line = server.line._replace(ready=False)

    def judge(self, server, sent_at, tx, event):
        """What the outcome does to the host; returns whether the transaction itself is at fault."""
        effect, ran = SORTED[event.outcome]
        self.unread += (event.unread_for - self.unread) * 0.02
        if event.outcome in SPOKEN:
            server.heard, server.passed = self.now, max(server.passed, sent_at)
            server.passed_by[tx.kind] = max(server.passed_by.get(tx.kind, 0), sent_at)
        elif server.doubted and effect not in (None, "weigh"):  # not where we called it back ourselves
            server.line = server.line._replace(ready=False)
            self.reset_rankings()
        if ran and not tx.ran:
            tx.ran = sent_at, server.line
        at_fault = event.outcome == interface.TIMED_OUT and self.drags(tx)
        if tx.key is not None and event.outcome in KEYED_FAILURES:  # of one key at several hosts: its own
            at_fault |= len(self.failing.add(tx.key, server.id, self.now)) >= SPREAD
        if effect and not at_fault:
            getattr(self, effect)(server, tx, event)
        return at_fault

    def sound(self, server, tx, event):
        server.proven, server.failures = True, 0
        server.timeouts.pop(tx.kind, None)
        server.erring *= 0.9
        self.failing.drop(tx.key)
        since, self.last_commit = self.now - self.last_commit, self.now
        if not self.drags(tx):
            self.latency[tx.kind].add(event.elapsed)
        self.drag.add(tx.groups, event.elapsed > CROWDED * self.latency[tx.kind].quiet, self.now)
        strain = self.slowness(server, tx, event)
        # by time, where answers are few; of commits only: what silent hosts owe is no crowd at the others
        self.weigh(server, tx, event, strain)
        if not server.throttles or 2 * sum(bool(s.throttles) for s in self.ready) > len(self.ready):
            self.strain += (strain - self.strain) * max(
                0.02, min(0.2, LEARN * since / self.terms.overload_time)
            )
        server.committed.add(self.now)

    def slowness(self, server, tx, event):
        """Against quiet times; a cold host is slow by nature, and rested till it was warm and longer."""
        slower = event.elapsed / self.latency[tx.kind].quiet * self.warmth(server)
        return 1.0 if self.drags(tx) else min(10.0, slower)

    def weigh(self, server, tx, event, strain=None):
        if event.outcome != interface.COMMITTED and self.now - event.elapsed < server.passed:
            return  # guards against a crowd seen where single hops stay unanswered, later ones not
        strain = strain or max(server.strain, self.slowness(server, tx, event))
        often = max(1, server.sent.count(self.now))  # guards against jams that many proxies meet seldom
        server.strain += (strain - server.strain) * (0.5 if server.throttles else max(0.1, SELDOM / often))
        # guards against hosts that turn slower when crowded until they rest; not all, where all are slow
        others = min(OTHERS, max(1.0, self.strain)) if self.terms.live_weights else 1.0
        if server.strain > (AT_HOME if self.rooted and self.strain > FROM else CROWDED * others):
            self.back_off(server, tx, event, max(BACKOFF, self.terms.overload_time // often), COOLDOWN)
        else:
            server.throttles = 0

    def timed_out(self, server, tx, event):
        self.weigh(server, tx, event)
        if (sent_at := self.now - event.elapsed) < server.passed_by.get(tx.kind, 0):
            return
        run, since = server.timeouts.get(tx.kind, (0, sent_at))
        server.timeouts[tx.kind] = run + 1, since
        if run + 1 >= TIMEOUT_RUN and server.heard <= since:
            self.ban(server, tx, event)
        elif run + 1 >= TIMEOUT_RUN:  # guards against hosts that answer all but one profile: kept away
            self.keep_away(server, tx.kind, COOLDOWN)  # for that one; its next time-out does it again

    def erred(self, server, tx, event):
        """Quick errors look like an idle host and draw more: those of several keys are the host's fault."""
        self.effects += [interface.ReportHostFault(server.id)] * self.terms.peer_reports
        if tx.key is None or tx.key != server.erred_key:
            server.erring, server.erred_key = server.erring * 0.9 + 0.1, tx.key
        server.proven = server.proven and event.outcome == interface.ERROR  # a reset: one repeatable looks
        median = sorted(s.erring for s in self.servers.values())[(len(self.servers) - 1) // 2]
        if server.erring > ERRING + 2 * median:  # beyond what most share
            self.ban(server, tx, event)

    def ban(self, server, tx, event):
        lost = (
            event.outcome == interface.UNREACHABLE
        )  # guards against ten seconds without a host for one pause
        self.keep_away(server, "ban", min(COOLDOWN, FIRST_BAN * 2**server.failures) if lost else COOLDOWN)
        server.failures = min(server.failures + lost, 8)
        server.erring, server.timeouts, server.proven = 0, {}, False
        if self.rooted:
            self.reset_rankings()

    def back_off(self, server, tx, event, first=BACKOFF, most=BACKOFF_MOST):
        self.keep_away(server, "rest", min(most, first * 2**server.throttles))
        server.throttles = min(server.throttles + 1, 8)
