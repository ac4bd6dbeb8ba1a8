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
from .faults import ON_PROCESSES, ClockFault, LongWay, Maintain
from .links import Links
from .model import machines
from .result import Result, found
from .scenario import BadScenario, Scenario, moments
from .start import settings
from .talking import SimulatedMembers
from .wire import Answered, Asked, Called, Done, Excused, Got, Told

TICKS_PER_SECOND = 10_000  # the decisions' time: so many a second
START_TIME = 100.0  # seconds on the virtual clock when everything starts
CONNECT_TIMEOUT_S = 0.25  # seconds that a connection may take
GRACE_AFTER_DEADLINE_S = 1.0  # seconds past the last hard limit until the run is over


class SimulatedFleet:
    """Machines, discovery, clients and proxies of one run; faults act on it as on the stand-ins."""

    def __init__(self, scenario: Scenario, seed: int, wire: list | None = None) -> None:
        self.scenario, self.seed, self.now, self.wire = (
            scenario,
            seed,
            START_TIME,
            [] if wire is None else wire,
        )
        self.heap, self.order, self.digest = [], count(), blake2b(digest_size=16)
        self.machines, self.zones = machines(scenario)
        size = len(self.machines)
        self.host_random = [Random(f"host {n} of {seed}") for n in range(size)]
        self.network_random, self.discovery_random = (
            Random(f"network of {seed}"),
            Random(f"discovery of {seed}"),
        )
        self.up, self.states, self.started = [True] * size, ["up"] * size, [0.0] * size
        self.host_hashes = [terms.stable_number(f"host-{n}") for n in range(size)]
        self.unreachable_attempts = Counter()  # (proxy, host) -> hops to it while it had vanished
        self.attempt_counts: dict[
            tuple, list
        ] = {}  # (proxy, transaction) -> hops sent, out; emptied as they end
        self.open_transactions: dict[
            tuple, Asked
        ] = {}  # (proxy, transaction) -> what was asked; emptied by its answer
        self.attempts_in_flight: dict[
            tuple, list
        ] = {}  # (proxy, transaction, hop) -> [host, sent at]; emptied as it ends
        self.retry_arguments: dict[tuple, tuple] = {}  # (proxy, transaction) -> what a retry asks again
        profiles = {p.name: n for n, p in enumerate(scenario.load.profiles)}
        self.profile_numbers, self.request_random = profiles, Random(f"draws of {seed}")
        self.arrival_random, self.retry_random = Random(f"schedule of {seed}"), Random(f"manners of {seed}")
        self.key_weights = list(
            accumulate(rank**-scenario.load.zipf for rank in range(1, scenario.load.keys + 1))
        )
        self.transaction_numbers, self.long_way_faults = (
            count(),
            [f for f in scenario.faults if isinstance(f, LongWay)],
        )
        self.links, zones = Links(seed, scenario.proxies, size), sorted(set(self.zones))
        self.proxy_zones = [zones[n % len(zones)] for n in range(scenario.proxies)]  # the proxies' zones
        self.proxies: list[Proxy | None] = [None] * scenario.proxies
        self.policies: list = [None] * scenario.proxies  # the decisions, with whoever stands beside them
        self.lives, self.stopped = [0] * scenario.proxies, {}  # stopped -> what waits; emptied as it goes on
        self.clocks = [
            (START_TIME, START_TIME, 1.0)
        ] * scenario.proxies  # (then, what it showed then, its rate)
        for fault in scenario.faults:
            if isinstance(fault, ClockFault) and fault.at == 0:  # set before they started
                for n in fault.proxies:
                    self.clocks[n] = START_TIME, START_TIME + fault.ahead, fault.rate
        self.members = SimulatedMembers(self, scenario.proxies) if scenario.fleet else None
        self.has_limits = bool(
            scenario.fleet and scenario.fleet.limits
        )  # then the ends of hops are noted as well
        for n in range(scenario.proxies):
            self.start_process(n, True)

    def start_process(self, n: int, first: bool) -> None:
        """A new process of this proxy, that knows the list as discovery has it."""
        self.lives[n] += 1
        agreed = terms.policy_settings(settings(self.scenario, n, self.proxy_zones[n]))
        again = "" if first else f", life {self.lives[n]}"
        proxy = self.proxies[n] = Proxy(
            agreed, terms.stable_number(f"proxy {n} of {self.seed}{again}"), self.clock_ticks(n)
        )
        policy = FaultAggregator(proxy)
        if self.members is not None:
            policy = self.members.start_member(n, proxy, agreed.zone, first)
        self.policies[n] = PollingPolicy(DiscoverySchedule(agreed, proxy.rng), policy)
        self.apply_effects(n, self.policies[n].begin())
        listed = [host for host in range(len(self.machines)) if self.states[host] != "removed"]
        self.deliver(n, interface.HostListReceived(tuple(map(self.host_entry, listed)), True, False))

    def wall_clock(self, n: int) -> float:
        """What this proxy's clock shows, in seconds."""
        then, shown, rate = self.clocks[n]
        return shown + (self.now - then) * rate

    def clock_ticks(self, n: int) -> int:
        return int(self.wall_clock(n) * TICKS_PER_SECOND)

    def clock_rate(self, n: int) -> float:
        return self.clocks[n][2]

    def clock(self) -> float:
        return self.now

    def call_later(self, delay: float, call, *given) -> None:
        heappush(self.heap, (self.now + delay, next(self.order), call, given))

    def run(self) -> None:
        scenario = self.scenario
        until = START_TIME + scenario.seconds
        for at, act, given in moments(scenario.faults):
            self.call_later(at, act, self, *given)
        self.call_later(self.arrival_random.expovariate(scenario.rate(0.0)), self.next_arrival, until)
        longest = max(p.hard_limit for p in scenario.load.profiles)
        over = until + (longest + GRACE_AFTER_DEADLINE_S) * (1 + scenario.load.retries)
        while self.heap and self.heap[0][0] <= over and (self.heap[0][0] < until or self.open_transactions):
            self.now, _, call, given = heappop(self.heap)
            call(*given)

    def record(self, entry) -> None:
        self.wire.append(entry)
        self.digest.update(repr(entry).encode())

    # ---- clients

    def next_arrival(self, until: float) -> None:
        load = self.scenario.load
        (profile,) = self.request_random.choices(load.profiles, [p.share for p in load.profiles])
        key = f"key-{self.request_random.choices(range(load.keys), cum_weights=self.key_weights)[0]}"
        proxy = self.next_running_proxy(self.request_random.randrange(len(self.proxies)))
        self.send_request(
            proxy, profile, key, self.request_random.expovariate(1 / profile.work), self.now, None, 0
        )
        if (
            due := self.now + self.arrival_random.expovariate(self.scenario.rate(self.now - START_TIME))
        ) < until:
            self.call_later(due - self.now, self.next_arrival, until)

    def next_running_proxy(self, proxy: int) -> int:
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

    def send_request(
        self, proxy: int, profile, key: str, work: float, due: float, first: str | None, tries: int
    ):
        tx = next(self.transaction_numbers)
        name, limit = f"tx-{tx}", self.now + profile.hard_limit
        asked = Asked(self.now, name, profile.effect == "once", limit, profile.name, due, first or name)
        self.record(asked)
        self.open_transactions[proxy, tx], self.retry_arguments[proxy, tx] = (
            asked,
            (profile, key, work, due, first or name, tries),
        )
        self.deliver(
            proxy,
            interface.TxArrived(
                tx,
                self.profile_numbers[profile.name],
                terms.stable_number(key),
                int(profile.hard_limit * TICKS_PER_SECOND),
            ),
        )

    def answer_received(self, proxy: int, tx: int, status: int, come_back: float = 0.0) -> None:
        asked, again = (
            self.open_transactions.pop((proxy, tx), None),
            self.retry_arguments.pop((proxy, tx), None),
        )
        if asked is None:
            return
        self.record(Answered(self.now, asked.tx, status, status == 200))
        self.forget_if_finished(proxy, tx)
        load = self.scenario.load
        if status == 503 and again[-1] < load.retries:
            wait = come_back if self.retry_random.random() < load.obey else 0.0
            another = self.next_running_proxy(self.request_random.randrange(len(self.proxies)))
            self.call_later(wait, self.send_request, another, *again[:-1], again[-1] + 1)

    def forget_if_finished(self, proxy: int, tx: int) -> None:
        if (proxy, tx) not in self.open_transactions and not self.attempt_counts.get((proxy, tx), (0, 1))[1]:
            del self.attempt_counts[proxy, tx]

    # ---- a proxy's effects

    def deliver(self, proxy: int, event, life: int | None = None) -> None:
        if self.proxies[proxy] is None or life is not None and life != self.lives[proxy]:
            return
        if proxy in self.stopped:
            self.stopped[proxy].append(event)
        else:
            self.apply_effects(proxy, self.policies[proxy].handle(self.clock_ticks(proxy), event))

    def apply_effects(self, proxy: int, effects) -> None:
        for effect in effects:
            self.EFFECT_HANDLERS[type(effect)](self, proxy, effect)

    def set_timer(self, proxy: int, effect) -> None:
        self.call_later(
            effect.delay / TICKS_PER_SECOND / self.clock_rate(proxy),
            self.deliver,
            proxy,
            interface.TimerDue(effect.timer_id),
            self.lives[proxy],
        )

    def roll_back(self, proxy: int, effect) -> None:
        self.answer_received(proxy, effect.tx, 503, effect.retry_after / TICKS_PER_SECOND)

    def abandon(self, proxy: int, effect) -> None:
        self.answer_received(proxy, effect.tx, 502)

    def request_host_list(self, proxy: int, effect) -> None:
        self.wire.append(Called(self.now, proxy))
        if self.discovery_random.random() < self.scenario.discovery.fails:
            return self.call_later(
                self.scenario.discovery.notice, self.deliver, proxy, interface.HostListFailed()
            )
        self.call_later(self.scenario.discovery.notice, self.send_host_list, proxy, None)

    def send_peer_report(self, proxy: int, effect) -> None:
        peers = range(len(self.proxies)) if effect.peer is None else [effect.peer]
        for peer in peers:
            if peer != proxy:
                self.call_later(
                    self.network_delay("", ""),
                    self.deliver,
                    peer,
                    interface.PeerReportReceived(proxy, effect.host, effect.report),
                )

    def cancel_attempt(self, proxy: int, effect) -> None:
        """The machine goes on with it; its answer finds nobody."""
        self.end_attempt(proxy, effect.tx, effect.attempt, interface.CANCELLED)

    def send_attempt(self, proxy: int, effect) -> None:
        tx, host = effect.tx, effect.host
        sent = self.attempt_counts.setdefault((proxy, tx), [0, 0])  # so far, and still out
        hop = sent[0]
        sent[0], sent[1] = hop + 1, sent[1] + 1
        self.attempts_in_flight[proxy, tx, hop] = [host, self.now]
        asked, given = self.open_transactions[proxy, tx], self.retry_arguments[proxy, tx]
        here, there = self.proxy_zones[proxy], self.zones[host]
        way, lost = self.network_delay(here, there), self.is_lost(here, there)
        more = self.links.message_delay(f"p{proxy}", f"h{host}")
        if not lost and more is not None:
            way += more
            self.call_later(
                way, self.attempt_arrived, proxy, tx, hop, host, asked.tx, given[1], given[2], way, self.now
            )
        self.call_later(
            effect.time_limit / TICKS_PER_SECOND / self.clock_rate(proxy),
            self.end_attempt,
            proxy,
            tx,
            hop,
            interface.TIMED_OUT,
        )

    def network_delay(self, here: str, there: str) -> float:
        network, since = self.scenario.network, self.now - START_TIME
        way = (network.same if here == there else network.cross) * (
            1 + network.jitter * self.network_random.random()
        )
        return way + sum(f.more for f in self.long_way_faults if f.holds(since, here, there))

    def is_lost(self, here: str, there: str) -> bool:
        return any(
            f.holds(self.now - START_TIME, here, there) and self.network_random.random() < f.loses
            for f in self.long_way_faults
        )

    def end_attempt(self, proxy: int, tx: int, hop: int, outcome: str) -> None:
        """Whatever tells first ends the hop; a second word on it comes too late."""
        if (known := self.attempts_in_flight.pop((proxy, tx, hop), None)) is None:
            return
        host, sent_at = known
        done = outcome == interface.COMMITTED
        closed = done and (proxy, tx) in self.open_transactions
        if closed:
            self.answer_received(proxy, tx, 200)
        self.attempt_counts[proxy, tx][1] -= 1
        self.forget_if_finished(proxy, tx)
        elapsed = max(1, int((self.now - sent_at) * self.clock_rate(proxy) * TICKS_PER_SECOND))
        self.deliver(proxy, interface.AttemptEnded(tx, hop, host, outcome, elapsed, closed))

    EFFECT_HANDLERS = {
        interface.SetTimer: set_timer,
        interface.RollBack: roll_back,
        interface.Abandon: abandon,
        interface.RequestHostList: request_host_list,
        interface.SendPeerReport: send_peer_report,
        interface.CancelAttempt: cancel_attempt,
        interface.SendAttempt: send_attempt,
        interface.ReportHostFault: lambda self, proxy, effect: None,
    }

    # ---- machines

    def attempt_arrived(
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
        if machine.gone:
            self.unreachable_attempts[proxy, host] += 1
            return self.call_later(CONNECT_TIMEOUT_S, self.end_attempt, proxy, tx, hop, interface.UNREACHABLE)
        if not self.up[host]:
            return self.call_later(way, self.end_attempt, proxy, tx, hop, interface.UNREACHABLE)
        cost = machine.cost(now, key, work)
        cold, capacity = machine.started if machine.warmth(now) < 1.0 else None, machine.capacity(now)
        full = machine.held >= machine.slots
        fails = not full and any(self.host_random[host].random() < share for share in machine.erring)
        self.record(Got(now, host, name, cost, capacity, cold, not full, proxy, left))
        if fails and self.has_limits:
            self.record(Done(now, host, name))
        if full or fails:
            return self.call_later(
                way, self.end_attempt, proxy, tx, hop, interface.REFUSED if full else interface.ERROR
            )
        ends = machine.take(now, cost)
        self.call_later(ends - now, self.finish_work, proxy, tx, hop, host, machine.life, way)

    def finish_work(self, proxy: int, tx: int, hop: int, host: int, life: int, way: float) -> None:
        machine = self.machines[host]
        machine.done(life)
        if self.has_limits and life == machine.life:
            self.record(Done(self.now, host, f"tx-{tx}"))
        here, there = self.proxy_zones[proxy], self.zones[host]
        lost = any(self.host_random[host].random() < share for share in machine.losing) or self.is_lost(
            here, there
        )
        more = self.links.message_delay(f"h{host}", f"p{proxy}")
        if life == machine.life and not machine.silent and not machine.gone and not lost and more is not None:
            self.call_later(way + more, self.end_attempt, proxy, tx, hop, interface.COMMITTED)

    # ---- what faults do to proxies

    def kill_proxy(self, n: int) -> None:
        """What it had open is gone with it; machines go on with its hops."""
        self.excuse_open_transactions(n)
        for table in (
            self.open_transactions,
            self.retry_arguments,
            self.attempt_counts,
            self.attempts_in_flight,
        ):
            for known in [known for known in table if known[0] == n]:
                del table[known]
        self.proxies[n] = self.policies[n] = None
        self.stopped.pop(n, None)
        if self.members is not None:
            self.members.stop_member(n)

    def start_proxy(self, n: int, forgets: bool) -> None:
        """Nothing is kept between two lives yet, so it always forgets."""
        self.start_process(n, False)

    def stop_proxy(self, n: int) -> None:
        self.excuse_open_transactions(n)
        self.stopped[n] = []

    def resume_proxy(self, n: int) -> None:
        """First what lay in its sockets, then its timers: a process reads before it looks at the clock."""
        waited = self.stopped.pop(n, [])
        if self.members is not None and self.members.gossip[n] is not None:
            self.members.deliver_waiting(n)
        for event in waited:
            self.deliver(n, event)

    def excuse_open_transactions(self, n: int) -> None:
        self.wire += [
            Excused(self.now, asked.tx) for (proxy, _), asked in self.open_transactions.items() if proxy == n
        ]

    def set_clock(self, n: int, ahead: float, rate: float) -> None:
        """What a running process reads never jumps, it counts on a monotonic clock; its rate may change."""
        self.clocks[n] = self.now, self.wall_clock(n), rate

    # ---- what faults do to hosts, and discovery

    def kill(self, host: int) -> None:
        self.up[host] = False
        self.machines[host].start(self.now)
        if self.has_limits:
            self.record(Done(self.now, host, ""))
        for (proxy, tx, hop), (where, _) in list(self.attempts_in_flight.items()):
            if where == host:
                self.call_later(self.network_delay("", ""), self.end_attempt, proxy, tx, hop, interface.RESET)
        self.list_as(host, "removed")

    def come_back(self, host: int) -> None:
        self.up[host], self.started[host] = True, self.now
        self.machines[host].start(self.now)
        self.list_as(host, "up")

    def list_as(self, host: int, state: str) -> None:
        self.call_later(self.scenario.discovery.notice, self.change, host, state)

    def change(self, host: int, state: str) -> None:
        self.states[host] = state
        for proxy in range(len(self.proxies)):
            self.call_later(
                self.discovery_random.random() * self.scenario.discovery.notice,
                self.send_host_list,
                proxy,
                host,
            )

    def send_host_list(self, proxy: int, host: int | None) -> None:
        """A change of one host, or all of them; what is told is what holds by now."""
        hosts = range(len(self.machines)) if host is None else [host]
        if self.proxies[proxy] is None or self.links.message_delay("d", f"p{proxy}") is None:
            return
        self.wire.extend(Told(self.now, n, self.states[n], proxy) for n in hosts)
        listed = tuple(self.host_entry(n) for n in hosts if host is not None or self.states[n] != "removed")
        self.deliver(proxy, interface.HostListReceived(listed, host is None, True))

    def host_entry(self, n: int) -> interface.HostEntry:
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
            self.host_hashes[n],
            line.zone,
            line.cell,
            line.ready,
            line.weight,
            line.started_ns,
            line.kind,
            line.draining,
        )


def play(scenario: Scenario) -> Result:
    """One run of the scenario by its own seed."""
    if any(isinstance(fault, Maintain | ON_PROCESSES) for fault in scenario.faults):
        raise BadScenario(
            f"{scenario.name}: maintain and faults of discovery are played on sockets, see --depth"
        )
    fleet = SimulatedFleet(scenario, scenario.seed)
    fleet.run()
    talk = fleet.members.figures(scenario, START_TIME) if fleet.members else None
    if fleet.has_limits:
        talk["limits"] = overrun.figures(fleet.wire, scenario)
    return found(scenario, fleet.wire, START_TIME, "decisions", digest=fleet.digest.hexdigest(), talk=talk)
