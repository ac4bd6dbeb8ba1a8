"""The life of a transaction: every event of one client proxy comes in here, and all effects go out."""

from bisect import bisect, insort

from . import interface
from .hosts import TRIAL, Hosts
from .records import Server, Tx

PROMPT, LOOK_AHEAD = 8, 16  # who would wait longer than this part of the time left goes; tried at each end
EARLY, STEEP, MOST = 0.5, 3.0, 0.8  # from this part of the time left on; by its excess; at most

# state, input -> next state, effect. An effect may return the next input. What is not here changes nothing.
LIFE = {
    ("waiting", "room"): ("waiting", "place"),
    ("waiting", "sent"): ("out", None),
    ("waiting", "held"): ("waiting", "line_up"),
    ("waiting", "late"): ("waiting", "last_chance"),
    ("waiting", "hopeless"): ("done", "answer"),
    ("waiting", "gone"): ("done", None),
    ("out", "fell"): ("waiting", "place"),
    ("out", "at fault"): ("done", "answer"),
    ("out", "won"): ("done", "settle"),
    ("out", "gone"): ("done", "settle"),
    ("out", "began"): ("streaming", None),
    ("streaming", "won"): ("done", "settle"),
    ("streaming", "gone"): ("done", "settle"),
}


class Proxy(Hosts):
    def handle(self, now, event, seen=None):
        """`seen`: up to then all that came in is told; a silence since may be that of the caller."""
        self.now, self.seen, self.effects = now, now if seen is None else seen, []
        self.EVENTS[type(event)](self, event)
        return self.effects

    def step(self, tx, given):
        while given is not None:
            tx.state, effect = LIFE.get((tx.state, given), (tx.state, None))
            given = getattr(self, effect)(tx) if effect else None
        if tx.state == "done" and not tx.out:
            self.txs.pop(tx.id, None)

    def on_arrived(self, event):
        self.txs[event.tx] = Tx(event, self.now, self.terms.profiles[event.profile])
        self.tell(event.tx, "room")

    def on_timer(self, event):
        if event.timer_id > 1:
            self.tell(event.timer_id - 2, "late")
        elif event.timer_id:
            self.fill()

    def tell(self, tx, given):
        if tx in self.txs:
            self.step(self.txs[tx], given)

    def on_ended(self, event):
        tx = self.txs.get(event.tx)
        if tx is None or event.attempt not in tx.out:
            return
        server, sent_at = tx.out.pop(event.attempt)
        del server.out[tx.id, event.attempt], self.flying[tx.id, event.attempt]
        at_fault = self.judge(server, sent_at, tx, event)
        if at_fault:
            tx.refusal = "it fails at several endpoints"
        self.step(tx, "won" if event.final else "at fault" if at_fault else "fell")
        self.fill()

    def on_listed(self, event):
        named = {line.host_id for line in event.hosts}
        for server in self.servers.values():
            if server.doubted or event.complete and server.id not in named:
                self.left_out(server)
        for line in event.hosts:
            server = self.servers.get(line.host_id) or self.servers.setdefault(
                line.host_id, Server(line, self.terms.overload_time)
            )
            if line.ready or line.draining:  # not by a line that it is gone: its start may be unsaid
                self.listed(server, line)
            else:
                self.left_out(server)
        self.servers = {n: s for n, s in self.servers.items() if s.line.ready or s.out}
        if self.terms.live_weights:  # a weight is size / (1 + held a core)
            held = sum(s.size * (s.size / s.line.weight - 1) for s in self.servers.values())
            self.cores = held / (sum(s.size for s in self.servers.values()) or 1.0)
        self.reset_rankings()
        self.fill()

    def place(self, tx):
        """Send; or hold in line if a turn comes soon; else give up, and tell the client when to come back."""
        server = self.chosen or self.tried(tx) or (None if self.full() else self.pick(tx))
        self.chosen = None
        if self.drags(tx) and any(t.out and t.groups == tx.groups for t in self.txs.values()):
            tx.refusal = "its group is slow at every endpoint"
            return "hopeless"  # one at a time looks whether that is over: more would fill the hosts
        if self.terms.live_weights:  # guards against hosts that all answer too late
            part = max(self.cores, self.strain) * self.latency[tx.kind].quiet / max(1, tx.goal - self.now)
            if self.chance.random() < min(MOST, STEEP * (part - EARLY)):
                tx.refusal = "all endpoints answer late"
                return "hopeless"
        if server is not None and self.send(tx, server):
            return "sent"
        tx.give_up = tx.goal - int(self.latency[tx.kind].usual)  # kept: the estimate behind it moves
        ahead = bisect(self.line, (bool(tx.tried), tx.give_up, tx.id))
        tx.refusal = self.obstacle(tx)
        hope = not tx.refusal
        took = max(1.0, self.strain) * self.quiet_mix + self.unread  # by Little's law, what is out
        turn, left = ahead * took / max(1, len(self.flying)), tx.give_up - self.now
        tx.come_back = int(turn) if turn < left else tx.profile.service_goal  # back when its turn would be
        if self.allowed.later and self.allowed.left(tx.grant, self.now) < 1:
            tx.come_back, hope, tx.refusal = self.allowed.later, False, "over the fleet's limit"
        if hope and PROMPT * turn < left:
            return "held"
        tx.refusal = tx.refusal or ("out of time in the queue" if left <= 0 else "queue too long")
        return "hopeless"

    def obstacle(self, tx):
        """What keeps it from any further attempt, in a word or two for the log; nothing: it may have one."""
        if self.now >= tx.hard_limit:
            return "deadline"
        if len(tx.tried) >= self.terms.max_attempts:
            return "attempts used up"
        if not self.goes_on(tx):
            return "it may have run"
        if self.servers and not any(self.open_to(tx, server.line) for server in self.ready):
            return "no endpoint open to it"
        return ""

    def line_up(self, tx):
        """First hops, then the shortest patience: a short goal is lost behind long ones that could wait."""
        insort(self.line, (bool(tx.tried), tx.give_up, tx.id))
        self.effects.append(interface.SetTimer(tx.give_up - self.now, tx.id + 2))

    def last_chance(self, tx):
        return "room" if self.now >= tx.give_up else None

    def fill(self):
        for entry in self.line[:LOOK_AHEAD]:
            tx = self.txs.get(entry[2])
            if tx is None or tx.state != "waiting":
                self.line.remove(entry)
            elif not self.full() and (server := self.pick(tx)) is not None:
                self.line.remove(entry)
                self.chosen = server
                self.step(tx, "room")

    def settle(self, tx):
        if self.terms.can_cancel:
            self.effects += [interface.CancelAttempt(tx.id, hop) for hop in tx.out]

    def answer(self, tx):
        """The gate that every answer of ours passes: an early rollback only where a retry is harmless."""
        harmless = (
            tx.ran is None
            or tx.profile.kind == interface.IDEMPOTENT
            or (tx.profile.group == interface.EVERYWHERE and self.repeatable(tx))
        )
        come_back = min(self.terms.max_retry_after, int(tx.come_back * (0.75 + self.chance.random() / 2)))
        self.effects.append(
            interface.RollBack(tx.id, come_back, tx.refusal)
            if harmless
            else interface.Abandon(tx.id, tx.refusal)
        )

    def send(self, tx, server):
        if not (self.goes_on(tx) and self.admits(tx, server)):  # the rules, at every hop
            return False
        hop, now, usual = len(tx.tried), self.now, self.latency[tx.kind]
        late_after = int(min(max(usual.mean + 4 * usual.deviation, usual.least), usual.goal / 2))
        self.allowed.use(tx.grant)
        tx.tried.append(server.id)
        tx.out[hop] = (server, now)
        server.out[tx.id, hop] = self.flying[tx.id, hop] = server, now, late_after
        server.sent.add(now)
        self.sent.add(now)
        self.quiet_mix += (self.latency[tx.kind].quiet - self.quiet_mix) * 0.05
        limit = tx.hard_limit - now
        if server.id == self.trying:
            limit, self.trying = (tx.goal - now) // TRIAL, None
        self.effects.append(interface.SendAttempt(tx.id, server.id, limit))
        return True

    def on_judged(self, event):
        """The fleet's verdicts, beside all that is known here: they make more wary, never less."""
        self.trying = event.trial
        for host, shut, whole in event.hosts:
            if host in self.servers:
                self.servers[host].shut, self.servers[host].whole = shut, whole
                self.effects.append(interface.SetTimer(max(0, shut - self.now), 1))

    EVENTS = {
        interface.HostListReceived: on_listed,
        interface.TxArrived: on_arrived,
        interface.AttemptEnded: on_ended,
        interface.LimitsUpdated: lambda self, event: (self.allowed.tell(event), self.fill()),
        interface.HostVerdicts: on_judged,
        interface.ProcessCount: lambda self, event: vars(self).update(event._asdict()),
        interface.StreamStarted: lambda self, event: self.tell(event.tx, "began"),
        interface.TimerDue: on_timer,
        interface.ClientDisconnected: lambda self, event: self.tell(event.tx, "gone"),
    }
