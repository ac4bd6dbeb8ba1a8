"""Depth `decisions`: runs the real decision code of many proxies in virtual time against simulated hosts.

A run is an event heap driven by one seed, without clock, thread or socket, so that it is reproducible on any
machine. The judge evaluates all proxies together, from the events recorded on the simulated network.
Connections are not modelled: an attempt at a host that is down is refused after one network round trip, and
one at a host that has vanished fails after the connect time-out.
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
from .talking import SimulatedMembers
from .wire import Answered, AnswerWaived, Asked, Done, Got, HostStateSent, ListRequested

TICKS_PER_SECOND = 10_000  # time unit of the decision code
START_TIME = 100.0  # seconds on the virtual clock
CONNECT_TIMEOUT_S = 0.25
GRACE_AFTER_DEADLINE_S = 1.0  # the run ends this long after the last hard limit


class SimulatedFleet:
    """Simulated hosts, discovery, clients and proxies of one run; takes the faults of a scenario."""

    def __init__(self, scenario: Scenario, seed: int, wire: list | None = None) -> None:
        self.scenario, self.seed, self.now, self.wire = (
            scenario,
            seed,
            START_TIME,
            [] if wire is None else wire,
        )
        self.heap, self.event_sequence, self.digest = [], count(), blake2b(digest_size=16)
        self.machines, self.zones = build_machines(scenario)
        size = len(self.machines)
        self.host_rngs = [Random(f"host {n} of {seed}") for n in range(size)]
        self.network_rng, self.discovery_rng = (
            Random(f"network of {seed}"),
            Random(f"discovery of {seed}"),
        )
        self.host_is_up, self.listed_states, self.host_started_at = [True] * size, ["up"] * size, [0.0] * size
        self.host_hashes = [terms.stable_number(f"host-{n}") for n in range(size)]
        self.unreachable_attempts = Counter()  # (proxy, host) -> attempts while the host had vanished
        # (proxy, transaction) -> [attempts sent, attempts in flight]; removed when it is finished
        self.attempt_counts: dict[tuple, list] = {}
        # (proxy, transaction) -> the request; removed when it is answered
        self.open_transactions: dict[tuple, Asked] = {}
        # (proxy, transaction, attempt) -> [host, sent at]; removed when the attempt ends
        self.attempts_in_flight: dict[tuple, list] = {}
        # (proxy, transaction) -> arguments with which a client retries the request
        self.retry_arguments: dict[tuple, tuple] = {}
        numbers = {p.name: n for n, p in enumerate(scenario.load.profiles)}
        self.profile_numbers, self.request_rng = numbers, Random(f"draws of {seed}")
        self.arrival_rng, self.behaviour_rng = Random(f"schedule of {seed}"), Random(f"manners of {seed}")
        self.key_weights = list(
            accumulate(rank**-scenario.load.zipf for rank in range(1, scenario.load.keys + 1))
        )
        self.transaction_numbers, self.long_way_faults = (
            count(),
            [f for f in scenario.faults if isinstance(f, LongWay)],
        )
        self.links, zones = Links(seed, scenario.proxies, size), sorted(set(self.zones))
        self.proxy_zones = [zones[n % len(zones)] for n in range(scenario.proxies)]
        self.proxies: list[Proxy | None] = [None] * scenario.proxies
        self.policies: list = [
            None
        ] * scenario.proxies  # the decision code of each proxy, inside the layers that wrap it
        # number of processes started per proxy; stopped proxy -> its pending events until it is resumed
        self.process_numbers, self.stopped = [0] * scenario.proxies, {}
        # (reference time, clock reading at that time, clock rate) per proxy
        self.clocks = [(START_TIME, START_TIME, 1.0)] * scenario.proxies
        for fault in scenario.faults:
            if isinstance(fault, ClockFault) and fault.at == 0:  # applies before the proxies start
                for proxy in fault.proxies:
                    self.clocks[proxy] = START_TIME, START_TIME + fault.ahead, fault.rate
        self.members = SimulatedMembers(self, scenario.proxies) if scenario.fleet else None
        # with fleet limits the end of work on each attempt is recorded as well
        self.has_limits = bool(scenario.fleet and scenario.fleet.limits)
        for proxy in range(scenario.proxies):
            self.start_process(proxy, True)

    def start_process(self, proxy: int, first: bool) -> None:
        """Starts a new process of this proxy, with the host list that discovery holds."""
        self.process_numbers[proxy] += 1
        settings = terms.policy_settings(proxy_settings(self.scenario, proxy, self.proxy_zones[proxy]))
        process_suffix = "" if first else f", life {self.process_numbers[proxy]}"
        decisions = self.proxies[proxy] = Proxy(
            settings,
            terms.stable_number(f"proxy {proxy} of {self.seed}{process_suffix}"),
            self.clock_ticks(proxy),
        )
        policy = FaultAggregator(decisions)
        if self.members is not None:
            policy = self.members.start_member(proxy, decisions, settings.zone, first)
        self.policies[proxy] = PollingPolicy(DiscoverySchedule(settings, decisions.rng), policy)
        self.apply_effects(proxy, self.policies[proxy].begin())
        listed = [host for host in range(len(self.machines)) if self.listed_states[host] != "removed"]
        self.deliver(proxy, interface.HostListReceived(tuple(map(self.host_entry, listed)), True, False))

    def clock_reading(self, proxy: int) -> float:
        """Reading of this proxy's clock, in seconds."""
        reference_time, reference_reading, rate = self.clocks[proxy]
        return reference_reading + (self.now - reference_time) * rate

    def clock_ticks(self, proxy: int) -> int:
        return int(self.clock_reading(proxy) * TICKS_PER_SECOND)

    def clock_rate(self, proxy: int) -> float:
        return self.clocks[proxy][2]

    def clock(self) -> float:
        return self.now

    def call_later(self, delay: float, callback, *arguments) -> None:
        heappush(self.heap, (self.now + delay, next(self.event_sequence), callback, arguments))

    def run(self) -> None:
        scenario = self.scenario
        load_end_time = START_TIME + scenario.seconds
        for at, function, arguments in fault_events(scenario.faults):
            self.call_later(at, function, self, *arguments)
        self.call_later(self.arrival_rng.expovariate(scenario.rate_at(0.0)), self.next_arrival, load_end_time)
        longest = max(p.hard_limit for p in scenario.load.profiles)
        end_time = load_end_time + (longest + GRACE_AFTER_DEADLINE_S) * (1 + scenario.load.retries)
        while (
            self.heap
            and self.heap[0][0] <= end_time
            and (self.heap[0][0] < load_end_time or self.open_transactions)
        ):
            self.now, _, callback, arguments = heappop(self.heap)
            callback(*arguments)

    def record(self, entry) -> None:
        """Appends an event to the wire record and to the digest of the run."""
        self.wire.append(entry)
        self.digest.update(repr(entry).encode())

    # ---- clients

    def next_arrival(self, load_end_time: float) -> None:
        load = self.scenario.load
        (profile,) = self.request_rng.choices(load.profiles, [p.share for p in load.profiles])
        key = f"key-{self.request_rng.choices(range(load.keys), cum_weights=self.key_weights)[0]}"
        proxy = self.next_running_proxy(self.request_rng.randrange(len(self.proxies)))
        self.send_request(
            proxy, profile, key, self.request_rng.expovariate(1 / profile.work), self.now, None, 0
        )
        if (
            due := self.now + self.arrival_rng.expovariate(self.scenario.rate_at(self.now - START_TIME))
        ) < load_end_time:
            self.call_later(due - self.now, self.next_arrival, load_end_time)

    def next_running_proxy(self, proxy: int) -> int:
        """Returns this proxy, or the next running one if it is killed or stopped together with its client."""
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
        self, proxy: int, profile, key: str, work: float, due: float, first_tx: str | None, retry_count: int
    ):
        tx = next(self.transaction_numbers)
        name, deadline_time = f"tx-{tx}", self.now + profile.hard_limit
        request = Asked(
            self.now, name, profile.effect == "once", deadline_time, profile.name, due, first_tx or name
        )
        self.record(request)
        self.open_transactions[proxy, tx], self.retry_arguments[proxy, tx] = (
            request,
            (profile, key, work, due, first_tx or name, retry_count),
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

    def answer_received(self, proxy: int, tx: int, status: int, retry_after: float = 0.0) -> None:
        request, arguments = (
            self.open_transactions.pop((proxy, tx), None),
            self.retry_arguments.pop((proxy, tx), None),
        )
        if request is None:
            return
        self.record(Answered(self.now, request.tx, status, status == 200))
        self.forget_if_finished(proxy, tx)
        load = self.scenario.load
        if status == 503 and arguments[-1] < load.retries:
            wait = retry_after if self.behaviour_rng.random() < load.obey else 0.0
            next_proxy = self.next_running_proxy(self.request_rng.randrange(len(self.proxies)))
            self.call_later(wait, self.send_request, next_proxy, *arguments[:-1], arguments[-1] + 1)

    def forget_if_finished(self, proxy: int, tx: int) -> None:
        if (proxy, tx) not in self.open_transactions and not self.attempt_counts.get((proxy, tx), (0, 1))[1]:
            del self.attempt_counts[proxy, tx]

    # ---- effects of the decision code

    def deliver(self, proxy: int, event, process_number: int | None = None) -> None:
        """Passes an event to a proxy's decision code; drops it if process `process_number` has ended."""
        if (
            self.proxies[proxy] is None
            or process_number is not None
            and process_number != self.process_numbers[proxy]
        ):
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
            self.process_numbers[proxy],
        )

    def roll_back(self, proxy: int, effect) -> None:
        self.answer_received(proxy, effect.tx, 503, effect.retry_after / TICKS_PER_SECOND)

    def abandon(self, proxy: int, effect) -> None:
        self.answer_received(proxy, effect.tx, 502)

    def request_host_list(self, proxy: int, effect) -> None:
        self.wire.append(ListRequested(self.now, proxy))
        if self.discovery_rng.random() < self.scenario.discovery.fails:
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
        """The host still finishes the work; its answer is ignored."""
        self.end_attempt(proxy, effect.tx, effect.attempt, interface.CANCELLED)

    def send_attempt(self, proxy: int, effect) -> None:
        tx, host = effect.tx, effect.host
        counts = self.attempt_counts.setdefault((proxy, tx), [0, 0])  # sent, in flight
        attempt = counts[0]
        counts[0], counts[1] = attempt + 1, counts[1] + 1
        self.attempts_in_flight[proxy, tx, attempt] = [host, self.now]
        request, arguments = self.open_transactions[proxy, tx], self.retry_arguments[proxy, tx]
        source_zone, target_zone = self.proxy_zones[proxy], self.zones[host]
        delay, lost = self.network_delay(source_zone, target_zone), self.is_lost(source_zone, target_zone)
        extra_delay = self.links.message_delay(f"p{proxy}", f"h{host}")
        if not lost and extra_delay is not None:
            delay += extra_delay
            self.call_later(
                delay,
                self.attempt_arrived,
                proxy,
                tx,
                attempt,
                host,
                request.tx,
                arguments[1],
                arguments[2],
                delay,
                self.now,
            )
        self.call_later(
            effect.time_limit / TICKS_PER_SECOND / self.clock_rate(proxy),
            self.end_attempt,
            proxy,
            tx,
            attempt,
            interface.TIMED_OUT,
        )

    def network_delay(self, source_zone: str, target_zone: str) -> float:
        network, since = self.scenario.network, self.now - START_TIME
        delay = (network.same if source_zone == target_zone else network.cross) * (
            1 + network.jitter * self.network_rng.random()
        )
        return delay + sum(
            fault.more for fault in self.long_way_faults if fault.affects(since, source_zone, target_zone)
        )

    def is_lost(self, source_zone: str, target_zone: str) -> bool:
        return any(
            fault.affects(self.now - START_TIME, source_zone, target_zone)
            and self.network_rng.random() < fault.loses
            for fault in self.long_way_faults
        )

    def end_attempt(self, proxy: int, tx: int, attempt: int, outcome: str) -> None:
        """Ends an attempt with the first outcome reported; later outcomes of the same attempt are ignored."""
        if (entry := self.attempts_in_flight.pop((proxy, tx, attempt), None)) is None:
            return
        host, sent_at = entry
        done = outcome == interface.COMMITTED
        closed = done and (proxy, tx) in self.open_transactions
        if closed:
            self.answer_received(proxy, tx, 200)
        self.attempt_counts[proxy, tx][1] -= 1
        self.forget_if_finished(proxy, tx)
        elapsed = max(1, int((self.now - sent_at) * self.clock_rate(proxy) * TICKS_PER_SECOND))
        self.deliver(proxy, interface.AttemptEnded(tx, attempt, host, outcome, elapsed, closed))

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

    # ---- hosts

    def attempt_arrived(
        self,
        proxy: int,
        tx: int,
        attempt: int,
        host: int,
        name: str,
        key: str,
        work: float,
        delay: float,
        sent_at: float,
    ) -> None:
        machine, now = self.machines[host], self.now
        if machine.vanished:
            self.unreachable_attempts[proxy, host] += 1
            return self.call_later(
                CONNECT_TIMEOUT_S, self.end_attempt, proxy, tx, attempt, interface.UNREACHABLE
            )
        if not self.host_is_up[host]:
            return self.call_later(delay, self.end_attempt, proxy, tx, attempt, interface.UNREACHABLE)
        cost = machine.cost(now, key, work)
        cold, capacity = machine.started_at if machine.warmth(now) < 1.0 else None, machine.capacity(now)
        full = machine.occupied_slots >= machine.slots
        fails = not full and any(self.host_rngs[host].random() < share for share in machine.error_shares)
        self.record(Got(now, host, name, cost, capacity, cold, not full, proxy, sent_at))
        if fails and self.has_limits:
            self.record(Done(now, host, name))
        if full or fails:
            return self.call_later(
                delay, self.end_attempt, proxy, tx, attempt, interface.REFUSED if full else interface.ERROR
            )
        finish_time = machine.accept(now, cost)
        self.call_later(
            finish_time - now, self.finish_work, proxy, tx, attempt, host, machine.process_number, delay
        )

    def finish_work(
        self, proxy: int, tx: int, attempt: int, host: int, process_number: int, delay: float
    ) -> None:
        machine = self.machines[host]
        machine.release(process_number)
        if self.has_limits and process_number == machine.process_number:
            self.record(Done(self.now, host, f"tx-{tx}"))
        source_zone, target_zone = self.proxy_zones[proxy], self.zones[host]
        lost = any(
            self.host_rngs[host].random() < share for share in machine.answer_loss_shares
        ) or self.is_lost(source_zone, target_zone)
        extra_delay = self.links.message_delay(f"h{host}", f"p{proxy}")
        if (
            process_number == machine.process_number
            and not machine.silent
            and not machine.vanished
            and not lost
            and extra_delay is not None
        ):
            self.call_later(delay + extra_delay, self.end_attempt, proxy, tx, attempt, interface.COMMITTED)

    # ---- faults of proxies

    def kill_proxy(self, proxy: int) -> None:
        """Drops all state of the proxy; hosts still finish the attempts that it has sent."""
        self.waive_open_transactions(proxy)
        for table in (
            self.open_transactions,
            self.retry_arguments,
            self.attempt_counts,
            self.attempts_in_flight,
        ):
            for entry in [entry for entry in table if entry[0] == proxy]:
                del table[entry]
        self.proxies[proxy] = self.policies[proxy] = None
        self.stopped.pop(proxy, None)
        if self.members is not None:
            self.members.stop_member(proxy)

    def start_proxy(self, proxy: int, forgets: bool) -> None:
        """Starts a new process. No state survives a process at this depth, so `forgets` has no effect."""
        self.start_process(proxy, False)

    def stop_proxy(self, proxy: int) -> None:
        self.waive_open_transactions(proxy)
        self.stopped[proxy] = []

    def resume_proxy(self, proxy: int) -> None:
        """Delivers queued datagrams before queued events: a process reads its sockets, then runs timers."""
        queued_events = self.stopped.pop(proxy, [])
        if self.members is not None and self.members.gossip_instances[proxy] is not None:
            self.members.deliver_waiting(proxy)
        for event in queued_events:
            self.deliver(proxy, event)

    def waive_open_transactions(self, proxy: int) -> None:
        self.wire += [
            AnswerWaived(self.now, request.tx)
            for (tx_proxy, _), request in self.open_transactions.items()
            if tx_proxy == proxy
        ]

    def set_clock(self, proxy: int, ahead: float, rate: float) -> None:
        """Changes the clock rate only: a running process uses a monotonic clock, which never jumps."""
        self.clocks[proxy] = self.now, self.clock_reading(proxy), rate

    # ---- faults of hosts, and discovery

    def kill(self, host: int) -> None:
        self.host_is_up[host] = False
        self.machines[host].start(self.now)
        if self.has_limits:
            self.record(Done(self.now, host, ""))
        for (proxy, tx, attempt), (target, _) in list(self.attempts_in_flight.items()):
            if target == host:
                self.call_later(
                    self.network_delay("", ""), self.end_attempt, proxy, tx, attempt, interface.RESET
                )
        self.list_as(host, "removed")

    def start_host(self, host: int) -> None:
        self.host_is_up[host], self.host_started_at[host] = True, self.now
        self.machines[host].start(self.now)
        self.list_as(host, "up")

    def list_as(self, host: int, state: str) -> None:
        self.call_later(self.scenario.discovery.notice, self.change_state, host, state)

    def change_state(self, host: int, state: str) -> None:
        self.listed_states[host] = state
        for proxy in range(len(self.proxies)):
            self.call_later(
                self.discovery_rng.random() * self.scenario.discovery.notice,
                self.send_host_list,
                proxy,
                host,
            )

    def send_host_list(self, proxy: int, host: int | None) -> None:
        """Sends the present state of one host, or of all hosts if `host` is None."""
        hosts = range(len(self.machines)) if host is None else [host]
        if self.proxies[proxy] is None or self.links.message_delay("d", f"p{proxy}") is None:
            return
        self.wire.extend(
            HostStateSent(self.now, listed_host, self.listed_states[listed_host], proxy)
            for listed_host in hosts
        )
        listed = tuple(
            self.host_entry(listed_host)
            for listed_host in hosts
            if host is not None or self.listed_states[listed_host] != "removed"
        )
        self.deliver(proxy, interface.HostListReceived(listed, host is None, True))

    def host_entry(self, host: int) -> interface.HostEntry:
        machine, state = self.machines[host], self.listed_states[host]
        host_record = HostRecord(
            f"host-{host}",
            ("127.0.0.1", 1),
            self.zones[host],
            0,
            state == "up",
            state == "removed",
            machine.cores * machine.speed,
            int(self.host_started_at[host] * 1e9),
            "",
            state == "draining",
        )
        return terms.host_entry(
            host,
            self.host_hashes[host],
            host_record.zone,
            host_record.cell,
            host_record.ready,
            host_record.weight,
            host_record.started_ns,
            host_record.kind,
            host_record.draining,
        )


def run_scenario(scenario: Scenario) -> Result:
    """Runs the scenario with its own seed; raises ScenarioError for faults that need sockets."""
    if any(isinstance(fault, Maintain | PROCESS_ONLY_FAULTS) for fault in scenario.faults):
        raise ScenarioError(
            f"{scenario.name}: maintain and faults of discovery need sockets or processes, see --depth"
        )
    fleet = SimulatedFleet(scenario, scenario.seed)
    fleet.run()
    gossip_figures = fleet.members.figures(scenario, START_TIME) if fleet.members else None
    if fleet.has_limits:
        gossip_figures["limits"] = overrun.figures(fleet.wire, scenario)
    return build_result(
        scenario,
        fleet.wire,
        START_TIME,
        "decisions",
        digest=fleet.digest.hexdigest(),
        fleet_figures=gossip_figures,
    )
