"""One tiny fake host, and a stage that plays a story of a proxy against a few of them."""
from basalthook.policy import interface as i
from basalthook.policy.decide import Proxy

IDEMPOTENT, SCAN_CELL, NON_IDEMPOTENT, PUSH_ZONE, UPLOAD = range(5)
PROFILES = (
    i.Profile(i.IDEMPOTENT, i.EVERYWHERE, 50_000, 6_000),
    i.Profile(i.JOURNALLED, i.CELL, 6_000, 6_000),
    i.Profile(i.NON_IDEMPOTENT, i.EVERYWHERE, 50_000, 6_000),
    i.Profile(i.JOURNALLED, i.ZONE, 6_000, 6_000),
    i.Profile(i.JOURNALLED, i.EVERYWHERE, 6_000, 6_000),
)


class FakeHost:
    """A host that gives one outcome to whatever reaches it; None keeps it silent."""

    def __init__(self, number, zone="a", cell=0, outcome=i.COMMITTED, started=None):
        self.outcome, self.got = outcome, []
        self.line = i.Host(number, 7919 * (number + 1) ** 3, zone, cell, True, 1.0, started)


class Stage:
    def __init__(self, hosts, seed=1, elapsed=300, **terms):
        agreed = dict(profiles=PROFILES, position=0, proxies=4, zone="a", cross_price=0.0, open_worth=0.0,
                      warm_keys=True, list_on_request=True, ask_within=100_000, cold_share=0.2,
                      cold_time=200_000, fall_multiple=2.5, fall_time=30_000, max_hops=4, second_copies=False,
                      cancelling=False, come_back_max=20_000)
        agreed.update(terms)
        self.now, self.next, self.elapsed = 1_000_000, 0, elapsed
        self.hosts = {h.line.host: h for h in hosts}
        self.proxy = Proxy(i.Agreement(**agreed), seed, self.now)
        self.record, self.answers, self.hops, self.timers = [], {}, {}, []
        self.run(self.proxy.begin())
        self.tell(i.HostsListed(tuple(h.line for h in hosts), True, True))

    def tell(self, event):
        self.run(self.proxy.handle(self.now, event))

    def run(self, effects):
        for effect in effects:
            self.record.append(effect)
            if isinstance(effect, i.SendHop):
                hop = self.hops[effect.tx] = self.hops.get(effect.tx, -1) + 1
                host = self.hosts[effect.host]
                host.got.append(effect.tx)
                if host.outcome is not None:
                    self.now += self.elapsed
                    self.end(effect.tx, hop, effect.host, host.outcome)
            elif isinstance(effect, (i.RollBack, i.Abandon)):
                assert effect.tx not in self.answers, "answered twice"
                self.answers[effect.tx] = type(effect)
            elif isinstance(effect, i.SetTimer):
                self.timers.append((self.now + effect.delay, effect.mark))

    def end(self, tx, hop, host, outcome, elapsed=None):
        closed = outcome == i.COMMITTED
        if closed:
            self.answers.setdefault(tx, i.COMMITTED)
        self.tell(i.HopEnded(tx, hop, host, outcome, elapsed or self.elapsed, closed, None))

    def arrive(self, profile=IDEMPOTENT, key=None, patience=20_000):
        tx, self.next = self.next, self.next + 1
        self.tell(i.TxArrived(tx, profile, key, patience))
        return tx

    def wait(self, time):
        """Let time pass; timers fall due in order."""
        until = self.now + time
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.tell(i.TimerDue(due[0][1]))
        self.now = max(self.now, until)

    def many(self, count, profile=IDEMPOTENT, key=None):
        """So many arrive, each with a key of its own or all with this one."""
        for n in range(count):
            self.arrive(profile, key=n if key is None else key)

    def turn(self, outcome):
        for host in self.hosts.values():
            host.outcome = outcome

    def crowd(self, strain):
        self.wait(30_000)
        self.proxy.strain = strain

    def sends(self):
        return [e.host for e in self.record if isinstance(e, i.SendHop)]
