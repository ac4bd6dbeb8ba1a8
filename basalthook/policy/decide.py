"""Every decision of one client proxy.

How to call: `proxy = Proxy(agreement, seed, now)`, carry out `proxy.begin()`, then for each event in order
carry out `proxy.handle(now, event)`. interface.py beside this file defines what goes in and out.

The design: an outcome is sorted into host fault (ban), throttle (backoff) or transaction fault (nothing),
apart from whether another hop is permitted; a key picks the less used by us of its two candidate hosts.

Beside the design stand these mechanisms (docs/design.md says when each acts):
 1. Weighted ranking: a key's candidates are the best two of a ranking that every proxy computes alike.
 2. Budget: a host holding its budget of our hops is passed by for the next in the ranking; hops wait in line.
 3. Silence: a host that has owed us an answer for too long is passed by.
 4. Second look: a late hop that may be repeated gets a copy, or is cancelled and sent elsewhere.
 5. Cold slice: a fresh host gets the share of keys, and of our usual traffic, that it can surely carry.
"""
from bisect import insort
from collections import OrderedDict, deque
from math import log
from random import Random

from . import interface as i

COOLDOWN = 100_000      # a ban; the design's figure
BACKOFF = 500           # first backoff after a throttle, doubled while throttles go on; the design's figure
BACKOFF_MOST = 25_000   # a quarter of a ban
TIMEOUT_RUN = 3         # timeouts in a row that ban; the design's figure
SPREAD = 2              # distinct hosts at which a failing key is at fault itself; the design's figure
SPREAD_WINDOW = 100_000
KEYS_KEPT = 2_000       # rankings and failing keys held at once
COLD_STEPS = 16         # steps in which the slice of a fresh host widens
COLD_KEYS = 4           # a fresh host knows no key: a hop may cost it several times what a warm one pays
CROWDED = 3.0           # answers this many times slower than in quiet times mean a crowd at the host
LEAN_EVERY = 10_000     # the lean to the own zone changes by half at most this often
BUSY = 1.25             # above this, ties go to the first candidate, whose keys are warm
ERRING = 0.3            # share of quick errors that makes them the host's own fault
ROOMY = 2.0             # a host gets no more of our hops than make its answers this many times slower

WAITING, OUT, STREAMING, DONE = "waiting", "out", "streaming", "done"
(ARRIVED, ROOM, SENT, HELD, HOPELESS, FELL, FELL_ONE, LATE, WON, BEGAN, GONE) = (
    "arrived", "room", "sent", "held", "hopeless", "fell", "fell one", "late", "won", "began", "gone")

# state, input -> next state, effect. An effect may return the next input. What is not here changes nothing.
LIFE = {
    (WAITING, ARRIVED): (WAITING, "place"),
    (WAITING, ROOM): (WAITING, "place"),
    (WAITING, SENT): (OUT, None),
    (WAITING, HELD): (WAITING, "line_up"),
    (WAITING, HOPELESS): (DONE, "answer"),
    (WAITING, LATE): (WAITING, "last_chance"),
    (WAITING, GONE): (DONE, "settle"),
    (OUT, FELL): (WAITING, "place"),
    (OUT, FELL_ONE): (OUT, None),
    (OUT, LATE): (OUT, "second_look"),
    (OUT, WON): (DONE, "settle"),
    (OUT, GONE): (DONE, "settle"),
    (OUT, BEGAN): (STREAMING, None),
    (STREAMING, WON): (DONE, "settle"),
    (STREAMING, GONE): (DONE, "settle"),
}

FAULT, THROTTLE, SLIP, NOTHING, SOUND = "fault", "throttle", "slip", "nothing", "sound"
# outcome -> bucket, and whether the transaction may have run
BUCKETS = {
    i.COMMITTED: (SOUND, True), i.ERROR: (SLIP, True), i.TIMED_OUT: (SLIP, True), i.RESET: (FAULT, True),
    i.CANCELLED: (NOTHING, True), i.REFUSED: (THROTTLE, False), i.UNREACHABLE: (FAULT, False),
    i.UNSENT: (NOTHING, False),
}
KEYED_SLIPS = {i.ERROR, i.TIMED_OUT, i.RESET}


class Server:
    """What this proxy knows of one host."""

    __slots__ = ("id", "line", "out", "banned_until", "shy_until", "throttles", "timeouts", "heard", "strain",
                 "sent", "erring", "erred_key", "fresh_from")

    def __init__(self, line, now):
        self.id, self.line = line.host, line
        self.out = {}               # (tx, hop) -> sent at; emptied as hops end
        self.sent = deque()         # times of our hops within the fall window; aged out at each send
        self.banned_until = self.shy_until = self.heard = 0
        self.renew(now)

    def renew(self, now):
        """Forget what was learned of an earlier process."""
        self.throttles = self.timeouts = 0
        self.strain, self.erring, self.erred_key = 1.0, 0.0, None
        self.fresh_from = self.line.started
        self.banned_until = now


class Tx:
    __slots__ = ("id", "profile", "key", "arrived", "hard_limit", "state", "hops", "out", "ran", "first_ran",
                 "tried", "give_up")

    def __init__(self, event, now, profile):
        self.id, self.key, self.profile = event.tx, event.key, profile
        self.arrived, self.hard_limit = now, now + event.patience
        self.state = WAITING
        self.hops = 0               # hops sent so far
        self.out = {}               # hop -> (server, sent at)
        self.ran = None             # host line of the earliest hop that may have run, and when it went out
        self.first_ran = 0
        self.tried = []
        self.give_up = 0            # when waiting in line ends


class Proxy:
    def __init__(self, agreement, seed, now):
        self.terms, self.chance, self.now = agreement, Random(seed), now
        self.servers = {}           # listed hosts, and those gone with hops still out
        self.born, self.out, self.sent = now, 0, deque()    # our hops out; when sent, aged by the fall window
        self.txs = {}               # open transactions, and those answered with hops still out
        self.rankings = OrderedDict()   # key -> servers; cleared when the list changes or a slice widens
        self.ranked_until = None
        self.failing = OrderedDict()    # key -> {host: when}; aged by the window, bounded by KEYS_KEPT
        self.first_line, self.further_line = [], []     # (give up, tx) in order; emptied by answers and time
        self.usual = [(p.service_goal / 8,) * 2 for p in agreement.profiles]    # latency, its deviation
        self.quiet = [p.service_goal / 8 for p in agreement.profiles]   # latency with little waiting
        self.quiet_mix = min(self.quiet)    # its mean over our hops
        self.pace = 0.0             # time between our committed answers
        self.last_commit = now
        self.near_bias, self.lean_next = 1.0 + 100 * agreement.cross_price, now
        self.strain = 1.0           # how all answers stand against those of a quiet fleet
        self.usual_rate = 0.0       # what a warm host of weight 1 commits for us in a fall window
        self.warm_commits = deque()     # when; aged by the fall window
        self.watching, self.asked, self.list_failures = not agreement.list_on_request, False, 0
        self.effects = []

    # ---- the door

    def begin(self):
        """Ask for the list, each proxy in its own part of the time allowed, not all at once."""
        if self.watching:
            return []
        part = self.terms.ask_within // 2
        wait = part * (self.terms.position + self.chance.random()) / max(1, self.terms.proxies)
        return [i.SetTimer(int(wait), 0)]

    def handle(self, now, event):
        self.now, self.effects = now, []
        self.EVENTS[type(event)](self, event)
        return self.effects

    def on_arrived(self, event):
        tx = self.txs[event.tx] = Tx(event, self.now, event.profile)
        self.step(tx, ARRIVED)

    def on_timer(self, event):
        if event.mark == 0:
            if not self.watching and not self.asked:
                self.asked = True
                self.effects.append(i.WatchList())
        elif event.mark == 1:
            self.fill()
        elif event.mark - 2 in self.txs:
            self.step(self.txs[event.mark - 2], LATE)

    def on_gone(self, event):
        if event.tx in self.txs:
            self.step(self.txs[event.tx], GONE)

    def on_stream(self, event):
        if event.tx in self.txs:
            self.step(self.txs[event.tx], BEGAN)

    def on_ended(self, event):
        tx = self.txs.get(event.tx)
        if tx is None or event.hop not in tx.out:
            return
        server, sent_at = tx.out.pop(event.hop)
        del server.out[tx.id, event.hop]
        self.out -= 1
        bucket, ran = BUCKETS[event.outcome]
        if ran and event.outcome != i.COMMITTED and (tx.ran is None or sent_at < tx.first_ran):
            tx.ran, tx.first_ran = server.line, sent_at
        own_fault = event.outcome in KEYED_SLIPS and self.key_at_fault(tx, server)
        if not own_fault:
            self.judge(server, bucket, event, tx)
        if event.closed:
            self.step(tx, WON)
        elif own_fault and not tx.out and tx.state == OUT:
            tx.state = WAITING
            self.step(tx, HOPELESS)     # spread failures of a key go back to the caller, with no further hop
        else:
            self.step(tx, FELL_ONE if tx.out else FELL)
        self.forget(tx)
        self.fill()

    def on_listed(self, event):
        if event.answered:
            self.watching, self.asked, self.list_failures = True, False, 0
        if event.complete:
            named = {line.host for line in event.hosts}
            for server in self.servers.values():
                if server.id not in named:
                    server.line = server.line._replace(ready=False)
        for line in event.hosts:
            server = self.servers.get(line.host)
            if server is None:
                self.servers[line.host] = Server(line, self.now)
                continue
            restarted = line.started is not None and line.started != server.line.started
            server.line = line
            if restarted:
                server.renew(self.now)
        for server in [s for s in self.servers.values() if not s.line.ready and not s.out]:
            del self.servers[server.id]
        self.rankings.clear()
        self.fill()

    def on_list_failed(self, event):
        """It may also mean that the watch broke, so ask again, ever later, never all at once."""
        self.watching, self.asked = not self.terms.list_on_request, False
        self.list_failures += 1
        wait = min(self.terms.ask_within, self.terms.ask_within // 8 * 2 ** min(self.list_failures, 4))
        self.effects.append(i.SetTimer(int(wait * (0.5 + self.chance.random() / 2)), 0))

    # ---- the life of a transaction

    def step(self, tx, given):
        while given is not None:
            tx.state, effect = LIFE.get((tx.state, given), (tx.state, None))
            given = getattr(self, effect)(tx) if effect else None
        self.forget(tx)

    def forget(self, tx):
        if tx.state == DONE and not tx.out:
            self.txs.pop(tx.id, None)

    def place(self, tx):
        server = self.pick(tx)
        if server is not None and self.send(tx, server):
            return SENT
        return HELD if self.can_wait(tx) else HOPELESS

    def can_wait(self, tx):
        """Whether a place in line is still likely to end in an answer within the goal."""
        if not any(self.allowed(tx, s) for s in self.servers.values()) and tx.hops:
            return False
        line = len(self.first_line) + len(self.further_line)
        return self.now + line * self.pace < self.wait_until(tx)

    def wait_until(self, tx):
        goal = min(tx.arrived + self.terms.profiles[tx.profile].service_goal, tx.hard_limit)
        return goal - int(self.usual[tx.profile][0])

    def line_up(self, tx):
        """The shortest patience first: a short goal is lost behind long ones that could have waited."""
        tx.give_up = max(self.now + 1, self.wait_until(tx))     # kept: the estimate behind it moves
        insort(self.further_line if tx.hops else self.first_line, (tx.give_up, tx.id))
        self.effects.append(i.SetTimer(tx.give_up - self.now, tx.id + 2))

    def last_chance(self, tx):
        return HOPELESS if self.now >= tx.give_up else None

    def fill(self):
        """Room may have come up: first hops before further ones."""
        for line in (self.first_line, self.further_line):
            while line:
                tx = self.txs.get(line[0][1])
                if tx is not None and tx.state == WAITING:
                    if self.pick(tx) is None:
                        break
                    line.pop(0)
                    self.step(tx, ROOM)
                else:
                    line.pop(0)

    def second_look(self, tx):
        """Still out after the usual time: a copy where two are allowed, else cancel and send elsewhere."""
        profile = self.terms.profiles[tx.profile]
        if profile.kind == i.NON_IDEMPOTENT or len(tx.out) != 1:
            return
        (hop, (server, _)), = tx.out.items()
        if self.now + self.usual[tx.profile][0] >= tx.hard_limit:
            return
        other = self.pick(tx, instead=True)
        if other is None:
            return
        if self.terms.second_copies:
            self.send(tx, other)
        elif self.terms.cancelling:
            self.effects.append(i.CancelHop(tx.id, hop))

    def settle(self, tx):
        """Answered: whatever is still out is called back."""
        if self.terms.cancelling:
            for hop in tx.out:
                self.effects.append(i.CancelHop(tx.id, hop))

    def answer(self, tx):
        """The one gate for answers: an early rollback only where a retry is harmless."""
        profile = self.terms.profiles[tx.profile]
        harmless = (tx.ran is None or profile.kind == i.IDEMPOTENT
                    or profile.kind == i.JOURNALLED and profile.group == i.EVERYWHERE)
        if harmless and not tx.out:
            self.effects.append(i.RollBack(tx.id, min(self.terms.come_back_max, profile.service_goal)))
        else:
            self.effects.append(i.Abandon(tx.id))

    # ---- the gate that every send passes

    def allowed(self, tx, server, instead=False):
        """The rules: may this transaction go to this host now, or instead of where it is out?"""
        profile, line = self.terms.profiles[tx.profile], server.line
        if not line.ready or tx.state == DONE or self.now >= tx.hard_limit or tx.hops >= self.terms.max_hops:
            return False
        if tx.out and not self.terms.second_copies and not instead:
            return False
        ran, since = tx.ran, tx.first_ran
        for other, sent_at in tx.out.values():
            if ran is None or sent_at < since:
                ran, since = other.line, sent_at
        if ran is not None and profile.kind != i.IDEMPOTENT:
            if profile.kind == i.NON_IDEMPOTENT or self.now >= since + profile.repeat_window:
                return False
            if profile.group == i.ZONE and line.zone != ran.zone:
                return False
            if profile.group == i.CELL and line.cell != ran.cell:
                return False
        return self.warmth(server) == 1.0 or len(self.recent(server)) < self.slice(server)

    def send(self, tx, server):
        if not self.allowed(tx, server):
            return False
        hop, now = tx.hops, self.now
        tx.hops += 1
        tx.out[hop] = (server, now)
        tx.tried.append(server.id)
        server.out[tx.id, hop] = now
        self.recent(server).append(now)
        self.sent.append(now)
        self.out += 1
        self.quiet_mix += (self.quiet[tx.profile] - self.quiet_mix) * 0.05
        self.effects.append(i.SendHop(tx.id, server.id, tx.hard_limit - now))
        late = self.late_after(tx.profile)
        if now + late < tx.hard_limit:
            self.effects.append(i.SetTimer(late, tx.id + 2))
        return True

    # ---- the pick

    def pick(self, tx, instead=False):
        if self.full() and not instead:
            return None
        best, open_ones, unbanned = [], [], False
        for server in self.ranking(tx.key):
            banned = server.banned_until > self.now
            unbanned |= not banned
            if server.id in tx.tried or not self.allowed(tx, server, instead):
                continue
            open_ones.append(server)
            if not banned and self.fit(server, tx):
                best.append(server)
                if len(best) == 2:
                    break
        if not best and not unbanned and not instead:
            best = [s for s in open_ones if len(s.out) < self.budget(s)][:2]   # all banned: all count
        if not best:
            return None
        if len(best) == 2 and len(best[0].out) == len(best[1].out):
            return best[0] if self.strain > BUSY else self.chance.choice(best)
        return min(best, key=lambda s: len(s.out))

    def fit(self, server, tx):
        if server.shy_until > self.now or len(server.out) >= self.budget(server):
            return False
        if server.out:
            waited_since = max(server.heard, next(iter(server.out.values())))
            return self.now - waited_since < self.late_after(tx.profile)
        return True

    def budget(self, server):
        """Little's law: our hops at a host when its answers take ROOMY times their time in quiet."""
        return max(1.0, ROOMY * self.quiet_out(self.recent(server)))

    def quiet_out(self, sent):
        """Hops that would be out, at the rate of these sends, if all were answered as in quiet times."""
        span = min(self.terms.fall_time, max(self.now - self.born, self.quiet_mix))
        return len(sent) / span * self.quiet_mix

    def full(self):
        """Guards against many proxies that each keep every host's budget but hold one hop at each."""
        while self.sent and self.sent[0] <= self.now - self.terms.fall_time:
            self.sent.popleft()
        usual = self.quiet_out(self.sent)
        return self.out >= max(1.0, ROOMY * (usual + usual ** 0.5))

    def lean(self):
        """Own-zone hosts claim more keys while crossing costs and they are no busier than the others."""
        if self.now < self.lean_next:
            return
        self.lean_next = self.now + LEAN_EVERY
        near, far = [], []
        for server in self.servers.values():
            if server.line.ready and server.banned_until <= self.now:
                (near if server.line.zone == self.terms.zone else far).append(server.strain)
        before = self.near_bias
        if near and far and sum(near) * len(far) > BUSY * sum(far) * len(near):
            self.near_bias = max(1.0, self.near_bias / 1.5)
        elif self.strain < CROWDED:
            self.near_bias = min(1.0 + 100 * self.terms.cross_price, self.near_bias * 1.5)
        if self.near_bias != before:
            self.rankings.clear()

    def ranking(self, key):
        self.lean()
        if self.ranked_until is not None and self.now >= self.ranked_until:
            self.rankings.clear()
        if not self.rankings:
            cold = any(self.warmth(s) < 1.0 for s in self.servers.values())
            self.ranked_until = self.now + self.terms.cold_time // COLD_STEPS if cold else None
        if key is None:
            ready = [s for s in self.servers.values() if s.line.ready]
            self.chance.shuffle(ready)
            return ready
        found = self.rankings.get(key)
        if found is None:
            if len(self.rankings) >= KEYS_KEPT:
                self.rankings.popitem(last=False)
            ready = [s for s in self.servers.values() if s.line.ready]
            found = self.rankings[key] = sorted(ready, key=lambda s: (self.claim(key, s), s.id))
        return found

    def claim(self, key, server):
        """Weighted rendezvous: the host with the least claim comes first, in proportion to weight."""
        weight = server.line.weight * self.warmth(server)
        if server.line.zone == self.terms.zone:
            weight *= self.near_bias
        x = (key ^ server.line.hash) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        x = (x ^ x >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        x ^= x >> 32
        return -log((x + 1) / 2 ** 64) / weight

    # ---- cold hosts

    def warmth(self, server):
        """The share of its capacity that a host has for sure."""
        if server.fresh_from is None:
            return 1.0
        age = (self.now - server.fresh_from) / self.terms.cold_time
        if age >= 1.0:
            server.fresh_from = None
            return 1.0
        return self.terms.cold_share + (1.0 - self.terms.cold_share) * max(0.0, age)

    def recent(self, server):
        while server.sent and server.sent[0] <= self.now - self.terms.fall_time:
            server.sent.popleft()
        return server.sent

    def slice(self, server):
        """Hops that a fresh host may get in a fall window: its sure share of what a warm one gets from us."""
        warm = [s.line.weight for s in self.servers.values()
                if s.line.ready and s.fresh_from is None and s.banned_until <= self.now]
        while self.warm_commits and self.warm_commits[0] <= self.now - self.terms.fall_time:
            self.warm_commits.popleft()
        if len(warm) * 2 >= len(self.servers):
            self.usual_rate = len(self.warm_commits) / sum(warm)
        share = self.warmth(server) * min(1.0, self.terms.fall_multiple / COLD_KEYS)
        return max(1.0, self.usual_rate * server.line.weight * share)

    # ---- health

    def judge(self, server, bucket, event, tx):
        if bucket is SOUND:
            server.heard, server.timeouts = self.now, 0
            server.erring *= 0.8
            self.failing.pop(tx.key, None)
            self.learn(tx.profile, event.elapsed)
            self.pace += ((self.now - self.last_commit) - self.pace) * 0.1
            self.last_commit = self.now
            self.weigh(server, event.elapsed / self.quiet[tx.profile])
            if server.fresh_from is None:
                self.warm_commits.append(self.now)
                if self.warm_commits[0] <= self.now - self.terms.fall_time:
                    self.warm_commits.popleft()
            if server.strain > CROWDED:
                bucket = THROTTLE
            else:
                server.throttles = 0
        if event.outcome in (i.TIMED_OUT, i.CANCELLED):
            self.weigh(server, max(server.strain, event.elapsed / self.quiet[tx.profile]))
        if event.outcome in (i.ERROR, i.REFUSED):
            server.heard = self.now
        if event.outcome == i.ERROR and (tx.key is None or tx.key != server.erred_key):
            # Quick errors look like an idle host and draw more: those of several keys are the host's fault.
            server.erring, server.erred_key = server.erring * 0.8 + 0.2, tx.key
            if server.erring > ERRING:
                bucket, server.erring = FAULT, 0.0
        if event.outcome == i.TIMED_OUT:
            server.timeouts += 1
            if server.timeouts >= TIMEOUT_RUN:
                bucket = FAULT
        if bucket is FAULT:
            server.banned_until, server.timeouts = self.now + COOLDOWN, 0
            self.effects.append(i.SetTimer(COOLDOWN, 1))
        elif bucket is THROTTLE:
            wait = min(BACKOFF_MOST, BACKOFF * 2 ** server.throttles)
            server.throttles, server.shy_until = min(server.throttles + 1, 8), self.now + wait
            self.effects.append(i.SetTimer(wait, 1))

    def weigh(self, server, strain):
        """How the answers of a host stand against those of a quiet fleet."""
        server.strain += (min(strain, 10.0) - server.strain) * (0.5 if server.throttles else 0.1)
        self.strain += (min(strain, 10.0) - self.strain) * 0.02

    def learn(self, profile, elapsed):
        mean, deviation = self.usual[profile]
        quiet = self.quiet[profile]
        self.quiet[profile] += (mean - quiet) * (0.02 if mean < quiet else 0.00005)
        self.usual[profile] = (mean + (elapsed - mean) * 0.05,
                               deviation + (abs(elapsed - mean) - deviation) * 0.05)

    def late_after(self, profile):
        mean, deviation = self.usual[profile]
        return int(min(mean + 4 * deviation, self.terms.profiles[profile].service_goal / 2))

    def key_at_fault(self, tx, server):
        """Failures of one key at several hosts are the transaction's own."""
        if tx.key is None:
            return False
        seen = self.failing.setdefault(tx.key, {})
        self.failing.move_to_end(tx.key)
        seen[server.id] = self.now
        for host in [h for h, when in seen.items() if when <= self.now - SPREAD_WINDOW]:
            del seen[host]
        if len(self.failing) > KEYS_KEPT:
            self.failing.popitem(last=False)
        return len(seen) >= SPREAD

    EVENTS = {
        i.HostsListed: on_listed, i.ListFailed: on_list_failed, i.TxArrived: on_arrived, i.HopEnded: on_ended,
        i.StreamBegan: on_stream, i.TxGone: on_gone, i.TimerDue: on_timer,
        i.ProbeEnded: lambda self, event: None,
    }
