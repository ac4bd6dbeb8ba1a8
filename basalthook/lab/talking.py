"""Fleet members in virtual time: their gossip, host verdicts and limits, and the figures measured on them."""

from collections import Counter
from random import Random

from ..fleet.aggregation import FaultAggregator
from ..fleet.gossip import Gossip
from ..fleet.limits import MESSAGE_LENGTHS, FleetLimits
from ..fleet.verdicts import FACT_LIFETIMES, OUT, HostVerdicts
from ..membership.member import ALIVE, Update
from .links import flip_random_bit
from .result import mean_and_max
from .scenario import program_limit

TICK_S = 0.05  # interval of a member's tick, as in the program
KEY = b"the lab's own key, known to all of its members"
SEED_COUNT = 3  # the first members are the seeds of all
MAX_WAITING_DATAGRAMS = 256  # queued for a stopped process, as in a kernel's socket buffer
CLOCK_DRIFT = 0.03  # tolerance on the age of a fact, as a fraction: clock rates differ by up to 2 %


def limit_voters(proxies: int) -> list[str]:
    """Names of the proxies that elect the leader of the limits: the first three, or one of fewer."""
    return [f"p{n}" for n in range(3 if proxies >= 3 else 1)]


class SimulatedMembers:
    """The fleet members of one simulated run.

    `fleet` is the SimulatedFleet that provides virtual time, clocks and links.
    """

    def __init__(self, fleet, count: int) -> None:
        self.fleet, self.count = fleet, count
        self.gossip_instances: list[Gossip | None] = [None] * count
        self.verdicts: list[HostVerdicts | None] = [None] * count
        self.limits: list[FleetLimits | None] = [None] * count
        self.network_rng = Random(f"datagrams of {fleet.seed}")
        self.waiting_datagrams: dict[int, list] = {}  # stopped proxy -> datagrams, until it is resumed
        self.log_events: list[tuple] = []  # (time, proxy, event, fields)
        self.published_at: dict[tuple, float] = {}  # (author, life, sequence) -> publication time
        self.staleness = {kind: 0.0 for kind in FACT_LIFETIMES}
        self.over_age: list[tuple] = []  # uses of facts older than the lifetime of their kind: a defect
        self.process_numbers = [0] * count
        self.sent, self.sent_bytes = Counter(), Counter()
        self.false_suspicions = 0

    def start_member(self, member: int, decisions, zone: str, first: bool):
        """Starts a member and returns the layer that wraps the proxy's decisions.

        With `first` the whole fleet starts and each member knows all others; else it knows only the seeds.
        """
        fleet, name = self.fleet, f"p{member}"
        self.process_numbers[member] += 1
        life = max(1, int(fleet.clock_reading(member) * 1000))
        seeds = [(f"p{seed}", 1) for seed in range(min(SEED_COUNT, self.count))]
        rng = Random(f"member {member} of {fleet.seed}, life {self.process_numbers[member]}")
        gossip = Gossip(
            name,
            (name, 1),
            life,
            seeds,
            KEY,
            FACT_LIFETIMES,
            rng,
            lambda address, data: self.send(member, address, data),
            lambda event, **fields: self.log_events.append((fleet.now, member, event, fields)),
        )
        table_publish = gossip.table.publish

        def publish_and_note_time(*args):
            fact = table_publish(*args)
            self.published_at[fact.author, fact.life, fact.sequence] = self.fleet.now
            return fact

        gossip.table.publish = publish_and_note_time

        def log_event(event, **fields):
            self.log_events.append((fleet.now, member, event, fields))

        host_verdicts = None
        if "verdicts" in fleet.scenario.fleet.shares:
            host_verdicts = HostVerdicts(decisions, gossip.table, zone, gossip.live, log_event)
            host_verdicts.on_urgent_fact = gossip.send_rumours
            host_verdicts.on_evidence_used = lambda name, kind, evidence: self.record_staleness(
                member, kind, evidence
            )
        members = (
            [
                Update(f"p{other}", f"p{other}", 1, max(1, int(fleet.clock_reading(other) * 1000)), 0, ALIVE)
                for other in range(self.count)
            ]
            if first
            else []
        )
        gossip.begin(fleet.clock_ticks(member), members)
        self.gossip_instances[member], self.verdicts[member] = gossip, host_verdicts
        fleet.call_later(TICK_S * self.network_rng.random(), self.tick, member, self.process_numbers[member])
        layer = host_verdicts or FaultAggregator(decisions)
        if "limits" in fleet.scenario.fleet.shares:
            layer = self.start_limits(member, life, decisions, layer, gossip, log_event)
            if first:  # no leases exist when a run begins, so there is none to wait for
                layer.own_places_from = fleet.clock_ticks(member)
                if layer.election is not None:
                    layer.election.silent_until = layer.election.next_action_at = fleet.clock_ticks(member)
                    layer.allocator.no_leases_out = True
        return layer

    def start_limits(
        self, member: int, life: int, decisions, inner, gossip: Gossip, log_event
    ) -> FleetLimits:
        fleet, scenario = self.fleet, self.fleet.scenario
        names = [p.name for p in scenario.load.profiles]
        voters = tuple(limit_voters(self.count))
        hard_limit = int(max(p.hard_limit for p in scenario.load.profiles) * 10_000)
        limits = FleetLimits(
            inner,
            decisions,
            [program_limit(limit, names) for limit in scenario.fleet.limits],
            f"p{member}",
            life,
            voters,
            decisions.settings.position,
            decisions.settings.proxies,
            hard_limit,
            Random(f"limits {member} of {fleet.seed}, life {self.process_numbers[member]}"),
            gossip.send_to,
            gossip.live,
            fleet.clock_ticks(member),
            log_event,
        )
        limits.post_event = lambda event: fleet.call_later(
            0, fleet.deliver, member, event, fleet.process_numbers[member]
        )
        gossip.message_lengths, gossip.on_message = MESSAGE_LENGTHS, limits.received
        self.limits[member] = limits
        return limits

    def stop_member(self, member: int) -> None:
        self.add_totals(member)
        self.gossip_instances[member] = self.verdicts[member] = self.limits[member] = None
        self.waiting_datagrams.pop(member, None)

    def add_totals(self, member: int) -> None:
        gossip = self.gossip_instances[member]
        if gossip is not None:
            self.sent[member] += gossip.sent
            self.sent_bytes[member] += gossip.sent_bytes
            self.false_suspicions += gossip.member.false_suspicions

    def tick(self, member: int, process_number: int) -> None:
        fleet, gossip = self.fleet, self.gossip_instances[member]
        if gossip is None or process_number != self.process_numbers[member]:
            return
        fleet.call_later(TICK_S, self.tick, member, process_number)
        if member in fleet.stopped:
            return
        now = fleet.clock_ticks(member)
        gossip.tick(now)
        if self.limits[member] is not None:
            self.limits[member].tick(now)
        event = self.verdicts[member].evaluate(now, now) if self.verdicts[member] is not None else None
        if event is not None:
            fleet.deliver(member, event)

    def send(self, member: int, address: tuple[str, int], data: bytes) -> None:
        fleet, receiver = self.fleet, int(address[0][1:])
        outcome = fleet.links.datagram_outcome(f"p{member}", address[0])
        for delay in outcome.copies:
            received_data = flip_random_bit(data, self.network_rng) if outcome.corrupted else data
            fleet.call_later(
                fleet.network_delay("", "") + delay, self.receive, receiver, received_data, (f"p{member}", 1)
            )

    def receive(self, member: int, data: bytes, sender: tuple[str, int]) -> None:
        gossip = self.gossip_instances[member]
        if gossip is None:
            return
        if member in self.fleet.stopped:
            waiting = self.waiting_datagrams.setdefault(member, [])
            if len(waiting) < MAX_WAITING_DATAGRAMS:
                waiting.append((data, sender))
            return
        gossip.received(self.fleet.clock_ticks(member), data, sender)

    def deliver_waiting(self, member: int) -> None:
        for data, sender in self.waiting_datagrams.pop(member, ()):
            self.gossip_instances[member].received(self.fleet.clock_ticks(member), data, sender)

    def record_staleness(self, member: int, kind: str, evidence) -> None:
        """Records the greatest age of a fact that a proxy acted on, by the lab's clock, not the proxy's."""
        facts = self.gossip_instances[member].table.by_id
        for item in evidence:
            fact = facts[item.fact_id].fact
            age = self.fleet.now - self.published_at[fact.author, fact.life, fact.sequence]
            self.staleness[kind] = max(self.staleness[kind], age)
            if age * 10_000 > FACT_LIFETIMES[kind] * (1 + CLOCK_DRIFT):
                self.over_age.append((self.fleet.now, member, kind, age))

    # ---- results of a run

    def figures(self, scenario, begin: float) -> dict:
        """Figures on the fleet for the result of a run; ages and times are in seconds."""
        for member in range(self.count):
            self.add_totals(member)
        rates = [self.sent_bytes[member] / scenario.seconds for member in range(self.count)]
        sent = [self.sent[member] / scenario.seconds for member in range(self.count)]
        return {
            "staleness": {kind: round(age, 3) for kind, age in self.staleness.items()},
            "over_age": len(self.over_age),
            **self.detection_times(scenario, begin),
            "false_suspicions": self.false_suspicions,
            "messages": {"datagrams_s": mean_and_max(sent), "bytes_s": mean_and_max(rates)},
        }

    def detection_times(self, scenario, begin: float) -> dict:
        """For each fault: seconds until the first and until every live member had one of its hosts out."""
        detect, agree = [], []
        host_numbers = {f"{host_hash:x}": number for number, host_hash in enumerate(self.fleet.host_hashes)}
        for fault in scenario.faults:
            first = {}
            for at, member, event, fields in self.log_events:
                host = host_numbers.get(fields.get("host", "").split(".")[0]) if event == "verdict" else None
                if host in fault.hosts and fields["state"] == OUT and at >= begin + fault.at:
                    first.setdefault(host, {}).setdefault(member, at - begin - fault.at)
            times_of_last = [max(seen.values()) for seen in first.values() if len(seen) >= self.live_count()]
            detect.append(round(min(min(seen.values()) for seen in first.values()), 3) if first else None)
            agree.append(
                round(max(times_of_last), 3) if times_of_last and len(times_of_last) == len(first) else None
            )
        return {"detect_s": detect, "agree_s": agree}

    def live_count(self) -> int:
        return sum(gossip is not None for gossip in self.gossip_instances)
