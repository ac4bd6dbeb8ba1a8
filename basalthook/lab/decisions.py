"""Depth `decisions`: any number of the real decisions in virtual time, before the machines of a scenario.

One heap of events, one seed, no clock, no thread, no socket: the same run every time, on any machine. What
one proxy can't see, the sums over all of them, the judge takes from what crossed. Connections are not
modelled: a hop to a process that is down is refused after the way there and back, one to a machine that has
vanished after the time that a connection may take.
"""

from collections import Counter
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from .. import terms
from ..fleet.aggregation import FaultAggregator
from ..policy import interface
from ..policy.decide import Proxy
from ..protocol.catalogue import HostRecord
from ..recovery.discovery_schedule import DiscoverySchedule, PollingPolicy
from . import overrun
from .faults import PROCESS_ONLY_FAULTS, ClockFault, LongWay, Maintain
from .links import Links
from .model import build_machines
from .result import Result, build_result
from .scenario import Scenario, ScenarioError, fault_events
from .start import proxy_settings
from .talking import Talking
from .wire import Answered, AnswerWaived, Asked, Done, Got, HostStateSent, ListRequested

TICKS = 10_000  # the decisions' time: so many a second
BORN = 100.0  # seconds on the virtual clock when everything starts
CONNECTS = 0.25  # seconds that a connection may take
AFTER = 1.0  # seconds past the last hard limit until the run is over


class Fleet:
    """Machines, discovery, clients and proxies of one run; faults act on it as on the stand-ins."""

    def __init__(self, told: Scenario, seed: int, wire: list | None = None) -> None:
        self.told, self.seed, self.now, self.wire = told, seed, BORN, [] if wire is None else wire
        self.heap, self.order, self.digest = [], count(), blake2b(digest_size=16)
        self.machines, self.zones = build_machines(told)
        size = len(self.machines)
        self.chance = [Random(f"host {n} of {seed}") for n in range(size)]
        self.ways, self.lists = Random(f"network of {seed}"), Random(f"discovery of {seed}")
        self.up, self.states, self.started = [True] * size, ["up"] * size, [0.0] * size
        self.marks = [terms.stable_number(f"host-{n}") for n in range(size)]
        self.unreached = Counter()  # (proxy, host) -> hops to it while it had vanished
        self.hops: dict[tuple, list] = {}  # (proxy, transaction) -> hops sent, out; emptied as they end
        self.open: dict[tuple, Asked] = {}  # (proxy, transaction) -> what was asked; emptied by its answer
        self.out: dict[tuple, list] = {}  # (proxy, transaction, hop) -> [host, sent at]; emptied as it ends
        self.given: dict[tuple, tuple] = {}  # (proxy, transaction) -> what a retry asks again
        profiles = {p.name: n for n, p in enumerate(told.load.profiles)}
        self.numbers, self.draws = profiles, Random(f"draws of {seed}")
        self.schedule, self.manners = Random(f"schedule of {seed}"), Random(f"manners of {seed}")
        self.weights = list(accumulate(rank**-told.load.zipf for rank in range(1, told.load.keys + 1)))
        self.tx, self.long = count(), [f for f in told.faults if isinstance(f, LongWay)]
        self.links, zones = Links(seed, told.proxies, size), sorted(set(self.zones))
        self.homes = [zones[n % len(zones)] for n in range(told.proxies)]  # the proxies' zones
        self.proxies: list[Proxy | None] = [None] * told.proxies
        self.minds: list = [None] * told.proxies  # the decisions, with whoever stands beside them
        self.lives, self.stopped = [0] * told.proxies, {}  # stopped -> what waits; emptied as it goes on
        self.clocks = [(BORN, BORN, 1.0)] * told.proxies  # (then, what it showed then, its rate)
        for fault in told.faults:
            if isinstance(fault, ClockFault) and fault.at == 0:  # set before they started
                for n in fault.proxies:
                    self.clocks[n] = BORN, BORN + fault.ahead, fault.rate
        self.talking = Talking(self, told.proxies) if told.fleet else None
        self.limited = bool(told.fleet and told.fleet.limits)  # then the ends of hops are noted as well
        for n in range(told.proxies):
            self.start(n, True)

    def start(self, n: int, first: bool) -> None:
        """A new process of this proxy, that knows the list as discovery has it."""
        self.lives[n] += 1
        agreed = terms.policy_settings(proxy_settings(self.told, n, self.homes[n]))
        again = "" if first else f", life {self.lives[n]}"
        proxy = self.proxies[n] = Proxy(
            agreed, terms.stable_number(f"proxy {n} of {self.seed}{again}"), self.ticks_of(n)
        )
        mind = FaultAggregator(proxy)
        if self.talking is not None:
            mind = self.talking.start(n, proxy, agreed.zone, first)
        self.minds[n] = PollingPolicy(DiscoverySchedule(agreed, proxy.rng), mind)
        self.carry_out(n, self.minds[n].begin())
        listed = [host for host in range(len(self.machines)) if self.states[host] != "removed"]
        self.tell(n, interface.HostListReceived(tuple(map(self.line, listed)), True, False))

    def wall(self, n: int) -> float:
        """What this proxy's clock shows, in seconds."""
        then, shown, rate = self.clocks[n]
        return shown + (self.now - then) * rate

    def ticks_of(self, n: int) -> int:
        return int(self.wall(n) * TICKS)

    def rate(self, n: int) -> float:
        return self.clocks[n][2]

    def clock(self) -> float:
        return self.now

    def later(self, delay: float, call, *given) -> None:
        heappush(self.heap, (self.now + delay, next(self.order), call, given))

    def run(self) -> None:
        told = self.told
        until = BORN + told.seconds
        for at, act, given in fault_events(told.faults):
            self.later(at, act, self, *given)
        self.later(self.schedule.expovariate(told.rate_at(0.0)), self.arrive, until)
        longest = max(p.hard_limit for p in told.load.profiles)
        over = until + (longest + AFTER) * (1 + told.load.retries)
        while self.heap and self.heap[0][0] <= over and (self.heap[0][0] < until or self.open):
            self.now, _, call, given = heappop(self.heap)
            call(*given)

    def note(self, entry) -> None:
        self.wire.append(entry)
        self.digest.update(repr(entry).encode())

    # ---- clients

    def arrive(self, until: float) -> None:
        load = self.told.load
        (profile,) = self.draws.choices(load.profiles, [p.share for p in load.profiles])
        key = f"key-{self.draws.choices(range(load.keys), cum_weights=self.weights)[0]}"
        proxy = self.up_from(self.draws.randrange(len(self.proxies)))
        self.ask(proxy, profile, key, self.draws.expovariate(1 / profile.work), self.now, None, 0)
        if (due := self.now + self.schedule.expovariate(self.told.rate_at(self.now - BORN))) < until:
            self.later(due - self.now, self.arrive, until)

    def up_from(self, proxy: int) -> int:
        """This one; or, as its client has gone with it or stands still, the next one that runs."""
        count = len(self.proxies)
        return next(
            (
                n % count
                for n in range(proxy, proxy + count)
                if self.proxies[n % count] is not None and n % count not in self.stopped
            ),
            proxy,
        )

    def ask(self, proxy: int, profile, key: str, work: float, due: float, first: str | None, tries: int):
        tx = next(self.tx)
        name, limit = f"tx-{tx}", self.now + profile.hard_limit
        asked = Asked(self.now, name, profile.effect == "once", limit, profile.name, due, first or name)
        self.note(asked)
        self.open[proxy, tx], self.given[proxy, tx] = asked, (profile, key, work, due, first or name, tries)
        self.tell(
            proxy,
            interface.TxArrived(
                tx, self.numbers[profile.name], terms.stable_number(key), int(profile.hard_limit * TICKS)
            ),
        )

    def answered(self, proxy: int, tx: int, status: int, come_back: float = 0.0) -> None:
        asked, again = self.open.pop((proxy, tx), None), self.given.pop((proxy, tx), None)
        if asked is None:
            return
        self.note(Answered(self.now, asked.tx, status, status == 200))
        self.forget(proxy, tx)
        load = self.told.load
        if status == 503 and again[-1] < load.retries:
            wait = come_back if self.manners.random() < load.obey else 0.0
            another = self.up_from(self.draws.randrange(len(self.proxies)))
            self.later(wait, self.ask, another, *again[:-1], again[-1] + 1)

    def forget(self, proxy: int, tx: int) -> None:
        if (proxy, tx) not in self.open and not self.hops.get((proxy, tx), (0, 1))[1]:
            del self.hops[proxy, tx]

    # ---- a proxy's effects

    def tell(self, proxy: int, event, life: int | None = None) -> None:
        if self.proxies[proxy] is None or life is not None and life != self.lives[proxy]:
            return
        if proxy in self.stopped:
            self.stopped[proxy].append(event)
        else:
            self.carry_out(proxy, self.minds[proxy].handle(self.ticks_of(proxy), event))

    def carry_out(self, proxy: int, effects) -> None:
        for effect in effects:
            self.CARRIED[type(effect)](self, proxy, effect)

    def set_timer(self, proxy: int, effect) -> None:
        self.later(
            effect.delay / TICKS / self.rate(proxy),
            self.tell,
            proxy,
            interface.TimerDue(effect.timer_id),
            self.lives[proxy],
        )

    def roll_back(self, proxy: int, effect) -> None:
        self.answered(proxy, effect.tx, 503, effect.retry_after / TICKS)

    def abandon(self, proxy: int, effect) -> None:
        self.answered(proxy, effect.tx, 502)

    def watch_list(self, proxy: int, effect) -> None:
        self.wire.append(ListRequested(self.now, proxy))
        if self.lists.random() < self.told.discovery.fails:
            return self.later(self.told.discovery.notice, self.tell, proxy, interface.HostListFailed())
        self.later(self.told.discovery.notice, self.list_to, proxy, None)

    def tell_news(self, proxy: int, effect) -> None:
        peers = range(len(self.proxies)) if effect.peer is None else [effect.peer]
        for peer in peers:
            if peer != proxy:
                self.later(
                    self.way("", ""),
                    self.tell,
                    peer,
                    interface.PeerReportReceived(proxy, effect.host, effect.report),
                )

    def cancel_hop(self, proxy: int, effect) -> None:
        """The machine goes on with it; its answer finds nobody."""
        self.end(proxy, effect.tx, effect.attempt, interface.CANCELLED)

    def send_hop(self, proxy: int, effect) -> None:
        tx, host = effect.tx, effect.host
        sent = self.hops.setdefault((proxy, tx), [0, 0])  # so far, and still out
        hop = sent[0]
        sent[0], sent[1] = hop + 1, sent[1] + 1
        self.out[proxy, tx, hop] = [host, self.now]
        asked, given = self.open[proxy, tx], self.given[proxy, tx]
        here, there = self.homes[proxy], self.zones[host]
        way, lost = self.way(here, there), self.lost(here, there)
        more = self.links.stream(f"p{proxy}", f"h{host}")
        if not lost and more is not None:
            way += more
            self.later(way, self.got, proxy, tx, hop, host, asked.tx, given[1], given[2], way, self.now)
        self.later(
            effect.time_limit / TICKS / self.rate(proxy), self.end, proxy, tx, hop, interface.TIMED_OUT
        )

    def way(self, here: str, there: str) -> float:
        network, since = self.told.network, self.now - BORN
        way = (network.same if here == there else network.cross) * (1 + network.jitter * self.ways.random())
        return way + sum(f.more for f in self.long if f.affects(since, here, there))

    def lost(self, here: str, there: str) -> bool:
        return any(
            f.affects(self.now - BORN, here, there) and self.ways.random() < f.loses for f in self.long
        )

    def end(self, proxy: int, tx: int, hop: int, outcome: str) -> None:
        """Whatever tells first ends the hop; a second word on it comes too late."""
        if (known := self.out.pop((proxy, tx, hop), None)) is None:
            return
        host, sent_at = known
        done = outcome == interface.COMMITTED
        closed = done and (proxy, tx) in self.open
        if closed:
            self.answered(proxy, tx, 200)
        self.hops[proxy, tx][1] -= 1
        self.forget(proxy, tx)
        elapsed = max(1, int((self.now - sent_at) * self.rate(proxy) * TICKS))
        self.tell(proxy, interface.AttemptEnded(tx, hop, host, outcome, elapsed, closed))

    CARRIED = {
        interface.SetTimer: set_timer,
        interface.RollBack: roll_back,
        interface.Abandon: abandon,
        interface.RequestHostList: watch_list,
        interface.SendPeerReport: tell_news,
        interface.CancelAttempt: cancel_hop,
        interface.SendAttempt: send_hop,
        interface.ReportHostFault: lambda self, proxy, effect: None,
    }

    # ---- machines

    def got(
        self,
        proxy: int,
        tx: int,
        hop: int,
        host: int,
        name: str,
        key: str,
        work: float,
        way: float,
        left: float,
    ) -> None:
        machine, now = self.machines[host], self.now
        if machine.vanished:
            self.unreached[proxy, host] += 1
            return self.later(CONNECTS, self.end, proxy, tx, hop, interface.UNREACHABLE)
        if not self.up[host]:
            return self.later(way, self.end, proxy, tx, hop, interface.UNREACHABLE)
        cost = machine.cost(now, key, work)
        cold, capacity = machine.started_at if machine.warmth(now) < 1.0 else None, machine.capacity(now)
        full = machine.occupied_slots >= machine.slots
        fails = not full and any(self.chance[host].random() < share for share in machine.error_shares)
        self.note(Got(now, host, name, cost, capacity, cold, not full, proxy, left))
        if fails and self.limited:
            self.note(Done(now, host, name))
        if full or fails:
            return self.later(way, self.end, proxy, tx, hop, interface.REFUSED if full else interface.ERROR)
        ends = machine.accept(now, cost)
        self.later(ends - now, self.done, proxy, tx, hop, host, machine.life, way)

    def done(self, proxy: int, tx: int, hop: int, host: int, life: int, way: float) -> None:
        machine = self.machines[host]
        machine.release(life)
        if self.limited and life == machine.life:
            self.note(Done(self.now, host, f"tx-{tx}"))
        here, there = self.homes[proxy], self.zones[host]
        lost = any(self.chance[host].random() < share for share in machine.answer_loss_shares) or self.lost(
            here, there
        )
        more = self.links.stream(f"h{host}", f"p{proxy}")
        if (
            life == machine.life
            and not machine.silent
            and not machine.vanished
            and not lost
            and more is not None
        ):
            self.later(way + more, self.end, proxy, tx, hop, interface.COMMITTED)

    # ---- what faults do to proxies

    def kill_proxy(self, n: int) -> None:
        """What it had open is gone with it; machines go on with its hops."""
        self.excuse(n)
        for table in (self.open, self.given, self.hops, self.out):
            for known in [known for known in table if known[0] == n]:
                del table[known]
        self.proxies[n] = self.minds[n] = None
        self.stopped.pop(n, None)
        if self.talking is not None:
            self.talking.end(n)

    def start_proxy(self, n: int, forgets: bool) -> None:
        """Nothing is kept between two lives yet, so it always forgets."""
        self.start(n, False)

    def stop_proxy(self, n: int) -> None:
        self.excuse(n)
        self.stopped[n] = []

    def go_on_proxy(self, n: int) -> None:
        """First what lay in its sockets, then its timers: a process reads before it looks at the clock."""
        waited = self.stopped.pop(n, [])
        if self.talking is not None and self.talking.talks[n] is not None:
            self.talking.go_on(n)
        for event in waited:
            self.tell(n, event)

    def excuse(self, n: int) -> None:
        self.wire += [
            AnswerWaived(self.now, asked.tx) for (proxy, _), asked in self.open.items() if proxy == n
        ]

    def set_clock(self, n: int, ahead: float, rate: float) -> None:
        """What a running process reads never jumps, it counts on a monotonic clock; its rate may change."""
        self.clocks[n] = self.now, self.wall(n), rate

    # ---- what faults do to hosts, and discovery

    def kill(self, host: int) -> None:
        self.up[host] = False
        self.machines[host].start(self.now)
        if self.limited:
            self.note(Done(self.now, host, ""))
        for (proxy, tx, hop), (where, _) in list(self.out.items()):
            if where == host:
                self.later(self.way("", ""), self.end, proxy, tx, hop, interface.RESET)
        self.list_as(host, "removed")

    def start_host(self, host: int) -> None:
        self.up[host], self.started[host] = True, self.now
        self.machines[host].start(self.now)
        self.list_as(host, "up")

    def list_as(self, host: int, state: str) -> None:
        self.later(self.told.discovery.notice, self.change, host, state)

    def change(self, host: int, state: str) -> None:
        self.states[host] = state
        for proxy in range(len(self.proxies)):
            self.later(self.lists.random() * self.told.discovery.notice, self.list_to, proxy, host)

    def list_to(self, proxy: int, host: int | None) -> None:
        """A change of one host, or all of them; what is told is what holds by now."""
        hosts = range(len(self.machines)) if host is None else [host]
        if self.proxies[proxy] is None or self.links.stream("d", f"p{proxy}") is None:
            return
        self.wire.extend(HostStateSent(self.now, n, self.states[n], proxy) for n in hosts)
        listed = tuple(self.line(n) for n in hosts if host is not None or self.states[n] != "removed")
        self.tell(proxy, interface.HostListReceived(listed, host is None, True))

    def line(self, n: int) -> interface.HostEntry:
        machine, state = self.machines[n], self.states[n]
        line = HostRecord(
            f"host-{n}",
            ("127.0.0.1", 1),
            self.zones[n],
            0,
            state == "up",
            state == "removed",
            machine.cores * machine.speed,
            int(self.started[n] * 1e9),
            "",
            state == "draining",
        )
        return terms.host_entry(
            n,
            self.marks[n],
            line.zone,
            line.cell,
            line.ready,
            line.weight,
            line.started_ns,
            line.kind,
            line.draining,
        )


def play(told: Scenario) -> Result:
    """One run of the scenario by its own seed."""
    if any(isinstance(fault, Maintain | PROCESS_ONLY_FAULTS) for fault in told.faults):
        raise ScenarioError(
            f"{told.name}: maintain and faults of discovery are played on sockets, see --depth"
        )
    fleet = Fleet(told, told.seed)
    fleet.run()
    talk = fleet.talking.figures(told, BORN) if fleet.talking else None
    if fleet.limited:
        talk["limits"] = overrun.figures(fleet.wire, told)
    return build_result(
        told, fleet.wire, BORN, "decisions", digest=fleet.digest.hexdigest(), fleet_figures=talk
    )
