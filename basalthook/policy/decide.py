"""The state machine of transactions: takes every event of one client proxy and returns its effects.

Times are in ticks of 0.1 ms.
"""

from bisect import bisect, insort

from . import interface
from .hosts import TRIAL_PART, Hosts
from .records import HostState, Transaction

# QUEUE_DIVISOR: a transaction is queued if its turn comes within this fraction (1 / n) of the time left.
# QUEUE_LOOK_AHEAD: entries of the queue that are tried whenever an attempt ends.
QUEUE_DIVISOR, QUEUE_LOOK_AHEAD = 8, 16
# With live weights: the expected latency, as a share of the time left, from which some transactions are
# rejected on arrival; how fast the rejected share grows beyond that; its maximum.
SHED_FROM, SHED_SLOPE, MAX_SHED_SHARE = 0.5, 3.0, 0.8

# (state, input) -> (next state, method). A method may return the next input. Other inputs change nothing.
TRANSITIONS = {
    ("waiting", "capacity"): ("waiting", "try_to_send"),
    ("waiting", "sent"): ("in flight", None),
    ("waiting", "queue"): ("waiting", "enqueue"),
    ("waiting", "timer"): ("waiting", "on_queue_deadline"),
    ("waiting", "reject"): ("done", "reject"),
    ("waiting", "client gone"): ("done", None),
    ("in flight", "attempt failed"): ("waiting", "try_to_send"),
    ("in flight", "at fault"): ("done", "reject"),
    ("in flight", "answered"): ("done", "finish"),
    ("in flight", "client gone"): ("done", "finish"),
    ("in flight", "stream started"): ("streaming", None),
    ("streaming", "answered"): ("done", "finish"),
    ("streaming", "client gone"): ("done", "finish"),
}


class Proxy(Hosts):
    """The decisions of one client process; `handle` is called for every event."""

    def handle(self, now, event, seen_to=None):
        """Process an event at `now` and return its effects, in the order in which to carry them out.

        `seen_to`: all input received up to then has been handled; a silence since may be the caller's delay.
        """
        self.now, self.seen_to, self.effects = now, now if seen_to is None else seen_to, []
        self.EVENTS[type(event)](self, event)
        return self.effects

    def transition(self, tx, input_):
        """Apply an input, and those that follow from it, to the transaction's state."""
        while input_ is not None:
            tx.state, effect = TRANSITIONS.get((tx.state, input_), (tx.state, None))
            input_ = getattr(self, effect)(tx) if effect else None
        if tx.state == "done" and not tx.attempts:
            self.txs.pop(tx.id, None)

    def on_arrived(self, event):
        self.txs[event.tx] = Transaction(event, self.now, self.settings.profiles[event.profile])
        self.dispatch(event.tx, "capacity")

    def on_timer(self, event):
        if event.timer_id > 1:
            self.dispatch(event.timer_id - 2, "timer")
        elif event.timer_id:
            self.serve_queue()

    def dispatch(self, tx, input_):
        if tx in self.txs:
            self.transition(self.txs[tx], input_)

    def on_attempt_ended(self, event):
        tx = self.txs.get(event.tx)
        if tx is None or event.attempt not in tx.attempts:
            return
        host, sent_at = tx.attempts.pop(event.attempt)
        del host.attempts[tx.id, event.attempt], self.attempts[tx.id, event.attempt]
        at_fault = self.record_outcome(host, sent_at, tx, event)
        if at_fault:
            tx.reason = "it fails at several endpoints"
        self.transition(tx, "answered" if event.final else "at fault" if at_fault else "attempt failed")
        self.serve_queue()

    def on_host_list(self, event):
        """Apply a host list; with live weights, also update the load of the fleet."""
        listed = {entry.host_id for entry in event.hosts}
        for host in self.hosts.values():
            if host.unlisted or event.complete and host.id not in listed:
                self.mark_unlisted(host)
        for entry in event.hosts:
            host = self.hosts.get(entry.host_id) or self.hosts.setdefault(
                entry.host_id, HostState(entry, self.settings.overload_time)
            )
            if entry.ready or entry.draining:  # the entry of a host that is gone may lack its start
                self.update_entry(host, entry)
            else:
                self.mark_unlisted(host)
        self.hosts = {n: h for n, h in self.hosts.items() if h.entry.ready or h.attempts}
        if self.settings.live_weights:  # a weight is capacity / (1 + transactions held per core)
            held = sum(h.capacity * (h.capacity / h.entry.weight - 1) for h in self.hosts.values())
            self.load = held / (sum(h.capacity for h in self.hosts.values()) or 1.0)
        self.rebuild_rankings()
        self.serve_queue()

    def try_to_send(self, tx):
        """Send it; or queue it if its turn comes soon; else reject it, with a time to retry after."""
        host = self.preselected or self.trial_for(tx) or (None if self.at_limit() else self.pick_host(tx))
        self.preselected = None
        if self.is_slow(tx) and any(t.attempts and t.groups == tx.groups for t in self.txs.values()):
            tx.reason = "its group is slow at every endpoint"
            return "reject"  # one at a time shows whether that is over; more would fill the hosts
        if self.settings.live_weights:  # sheds load before all hosts answer too late
            share = (
                max(self.load, self.slowdown)
                * self.latency[tx.profile_id].base
                / max(1, tx.goal_at - self.now)
            )
            if self.rng.random() < min(MAX_SHED_SHARE, SHED_SLOPE * (share - SHED_FROM)):
                tx.reason = "all endpoints answer late"
                return "reject"
        if host is not None and self.send(tx, host):
            return "sent"
        # stored, as the latency estimate changes while it waits
        tx.queue_until = tx.goal_at - int(self.latency[tx.profile_id].expected)
        ahead = bisect(self.queue, (bool(tx.tried), tx.queue_until, tx.id))
        tx.reason = self.blocking_reason(tx)
        may_wait = not tx.reason
        latency = max(1.0, self.slowdown) * self.base_latency + self.unread_delay
        turn, left = ahead * latency / max(1, len(self.attempts)), tx.queue_until - self.now  # Little's law
        tx.retry_after = int(turn) if turn < left else tx.profile.service_goal  # when its turn would come
        if self.allowance.retry_after and self.allowance.remaining(tx.limit_key, self.now) < 1:
            tx.retry_after, may_wait, tx.reason = self.allowance.retry_after, False, "over the fleet's limit"
        if may_wait and QUEUE_DIVISOR * turn < left:
            return "queue"
        tx.reason = tx.reason or ("out of time in the queue" if left <= 0 else "queue too long")
        return "reject"

    def blocking_reason(self, tx):
        """Why it may have no further attempt, for the log; "" if it may have one."""
        if self.now >= tx.hard_limit:
            return "deadline"
        if len(tx.tried) >= self.settings.max_attempts:
            return "attempts used up"
        if not self.may_attempt(tx):
            return "it may have run"
        if self.hosts and not any(self.is_eligible(tx, host.entry) for host in self.ready):
            return "no endpoint open to it"
        return ""

    def enqueue(self, tx):
        """First attempts come first, then the earliest deadline, so that short goals are not missed."""
        insort(self.queue, (bool(tx.tried), tx.queue_until, tx.id))
        self.effects.append(interface.SetTimer(tx.queue_until - self.now, tx.id + 2))

    def on_queue_deadline(self, tx):
        return "capacity" if self.now >= tx.queue_until else None

    def serve_queue(self):
        """Send what can be sent of the first entries in the queue."""
        for entry in self.queue[:QUEUE_LOOK_AHEAD]:
            tx = self.txs.get(entry[2])
            if tx is None or tx.state != "waiting":
                self.queue.remove(entry)
            elif not self.at_limit() and (host := self.pick_host(tx)) is not None:
                self.queue.remove(entry)
                self.preselected = host
                self.transition(tx, "capacity")

    def finish(self, tx):
        """Cancel the attempts that are still open, if that is allowed."""
        if self.settings.can_cancel:
            self.effects += [interface.CancelAttempt(tx.id, attempt) for attempt in tx.attempts]

    def reject(self, tx):
        """Answer the client: a rollback, which invites a retry, only where running it again is harmless."""
        harmless = (
            tx.first_run is None
            or tx.profile.kind == interface.IDEMPOTENT
            or (tx.profile.group == interface.EVERYWHERE and self.may_repeat(tx))
        )
        # spread over time: clients with the same time would all return at once
        retry_after = min(self.settings.max_retry_after, int(tx.retry_after * (0.75 + self.rng.random() / 2)))
        self.effects.append(
            interface.RollBack(tx.id, retry_after, tx.reason)
            if harmless
            else interface.Abandon(tx.id, tx.reason)
        )

    def send(self, tx, host):
        """Begin an attempt at the host; false if the rules do not allow it."""
        if not (self.may_attempt(tx) and self.admits(tx, host)):  # the rules, at every attempt
            return False
        attempt, now, usual = len(tx.tried), self.now, self.latency[tx.profile_id]
        late_after = int(min(max(usual.mean + 4 * usual.deviation, usual.floor), usual.goal / 2))
        self.allowance.consume(tx.limit_key)
        tx.tried.append(host.id)
        tx.attempts[attempt] = (host, now)
        host.attempts[tx.id, attempt] = self.attempts[tx.id, attempt] = host, now, late_after
        host.sent.add(now)
        self.sent.add(now)
        self.base_latency += (self.latency[tx.profile_id].base - self.base_latency) * 0.05
        limit = tx.hard_limit - now
        if host.id == self.trial_host:
            limit, self.trial_host = (tx.goal_at - now) // TRIAL_PART, None
        self.effects.append(interface.SendAttempt(tx.id, host.id, limit))
        return True

    def on_verdicts(self, event):
        """Apply the fleet's verdicts, which only ever exclude more hosts than this proxy does itself."""
        self.trial_host = event.trial
        for host_id, verdict_until, ramp_until in event.hosts:
            if host_id in self.hosts:
                self.hosts[host_id].verdict_until, self.hosts[host_id].ramp_until = verdict_until, ramp_until
                self.effects.append(interface.SetTimer(max(0, verdict_until - self.now), 1))

    EVENTS = {
        interface.HostListReceived: on_host_list,
        interface.TxArrived: on_arrived,
        interface.AttemptEnded: on_attempt_ended,
        interface.LimitsUpdated: lambda self, event: (self.allowance.update(event), self.serve_queue()),
        interface.HostVerdicts: on_verdicts,
        interface.ProcessCount: lambda self, event: vars(self).update(event._asdict()),
        interface.StreamStarted: lambda self, event: self.dispatch(event.tx, "stream started"),
        interface.TimerDue: on_timer,
        interface.ClientDisconnected: lambda self, event: self.dispatch(event.tx, "client gone"),
    }
