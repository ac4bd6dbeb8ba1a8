"""The members of a virtual fleet: what they send one another, and what the lab reads off them."""

from collections import Counter
from random import Random

from ..fleet.aggregation import FaultAggregator
from ..fleet.gossip import Gossip
from ..fleet.limits import MESSAGE_LENGTHS, FleetLimits
from ..fleet.verdicts import FACT_LIFETIMES, OUT, HostVerdicts
from ..membership.member import ALIVE, Update
from .links import flip_random_bit
from .result import mean_and_most
from .scenario import bound

TICK = 0.05  # seconds between two looks of a member, as the program does
KEY = b"the lab's own key, known to all of its members"
SEEDS = 3  # the first so many members are told to all as seeds
BACKLOG = 256  # datagrams that wait at a stopped process, as in a kernel's buffer
DRIFT = 0.03  # part by which a fact's age may be read off too low: clocks run up to 2 in 100 apart


def limit_voters(proxies: int) -> list[str]:
    """Who votes for the keeper of limits: the first three, an odd number also where there are fewer."""
    return [f"p{n}" for n in range(3 if proxies >= 3 else 1)]


class SimulatedMembers:
    """`fleet`: the run that they are part of, with its heap, clocks and links."""

    def __init__(self, fleet, count: int) -> None:
        self.fleet, self.count = fleet, count
        self.gossip: list[Gossip | None] = [None] * count
        self.verdicts: list[HostVerdicts | None] = [None] * count
        self.limits: list[FleetLimits | None] = [None] * count
        self.random = Random(f"datagrams of {fleet.seed}")
        self.waiting: dict[int, list] = {}  # stopped proxy -> datagrams; emptied as it goes on
        self.log_events: list[tuple] = []  # (when, proxy, event, fields)
        self.published_at: dict[tuple, float] = {}  # (author, life, sequence) -> when it was told
        self.staleness = {kind: 0.0 for kind in FACT_LIFETIMES}
        self.over_age: list[tuple] = []  # facts acted on past their kind's life: a defect
        self.lives = [0] * count
        self.sent, self.sent_bytes = Counter(), Counter()
        self.false = 0

    def start_member(self, n: int, proxy, zone: str, first: bool):
        """What stands beside the decisions. `first`: with the whole fleet, whose members know one another;
        else with the seeds alone."""
        fleet, name = self.fleet, f"p{n}"
        self.lives[n] += 1
        life = max(1, int(fleet.wall_clock(n) * 1000))
        seeds = [(f"p{seed}", 1) for seed in range(min(SEEDS, self.count))]
        chance = Random(f"member {n} of {fleet.seed}, life {self.lives[n]}")
        talk = Gossip(
            name,
            (name, 1),
            life,
            seeds,
            KEY,
            FACT_LIFETIMES,
            chance,
            lambda address, data: self.send(n, address, data),
            lambda event, **fields: self.log_events.append((fleet.now, n, event, fields)),
        )
        tell = talk.table.publish

        def noted(*given):
            fact = tell(*given)
            self.published_at[fact.author, fact.life, fact.sequence] = self.fleet.now
            return fact

        talk.table.publish = noted

        def log_event(event, **fields):
            self.log_events.append((fleet.now, n, event, fields))

        mind = None
        if "verdicts" in fleet.scenario.fleet.shares:
            mind = HostVerdicts(proxy, talk.table, zone, talk.live, log_event)
            mind.on_urgent_fact = talk.send_rumours
            mind.on_evidence_used = lambda name, kind, words: self.record_staleness(n, kind, words)
        known = (
            [
                Update(f"p{k}", f"p{k}", 1, max(1, int(fleet.wall_clock(k) * 1000)), 0, ALIVE)
                for k in range(self.count)
            ]
            if first
            else []
        )
        talk.begin(fleet.clock_ticks(n), known)
        self.gossip[n], self.verdicts[n] = talk, mind
        fleet.call_later(TICK * self.random.random(), self.tick, n, self.lives[n])
        beside = mind or FaultAggregator(proxy)
        if "limits" in fleet.scenario.fleet.shares:
            beside = self.limit(n, life, proxy, beside, talk, log_event)
            if first:  # a run begins with a fleet that holds nothing
                beside.own_places_from = fleet.clock_ticks(n)
                if beside.election is not None:
                    beside.election.silent_until = beside.election.next_action_at = fleet.clock_ticks(n)
                    beside.allocator.no_leases_out = True
        return beside

    def limit(self, n: int, life: int, proxy, inner, talk: Gossip, log_event) -> FleetLimits:
        fleet, scenario = self.fleet, self.fleet.scenario
        names = [p.name for p in scenario.load.profiles]
        voters = tuple(limit_voters(self.count))
        hard_limit = int(max(p.hard_limit for p in scenario.load.profiles) * 10_000)
        limits = FleetLimits(
            inner,
            proxy,
            [bound(limit, names) for limit in scenario.fleet.limits],
            f"p{n}",
            life,
            voters,
            proxy.settings.position,
            proxy.settings.proxies,
            hard_limit,
            Random(f"limits {n} of {fleet.seed}, life {self.lives[n]}"),
            talk.send_to,
            talk.live,
            fleet.clock_ticks(n),
            log_event,
        )
        limits.post_event = lambda event: fleet.call_later(0, fleet.deliver, n, event, fleet.lives[n])
        talk.message_lengths, talk.on_message = MESSAGE_LENGTHS, limits.received
        self.limits[n] = limits
        return limits

    def stop_member(self, n: int) -> None:
        self.add_totals(n)
        self.gossip[n] = self.verdicts[n] = self.limits[n] = None
        self.waiting.pop(n, None)

    def add_totals(self, n: int) -> None:
        talk = self.gossip[n]
        if talk is not None:
            self.sent[n] += talk.sent
            self.sent_bytes[n] += talk.sent_bytes
            self.false += talk.member.false_suspicions

    def tick(self, n: int, life: int) -> None:
        fleet, talk = self.fleet, self.gossip[n]
        if talk is None or life != self.lives[n]:
            return
        fleet.call_later(TICK, self.tick, n, life)
        if n in fleet.stopped:
            return
        now = fleet.clock_ticks(n)
        talk.tick(now)
        if self.limits[n] is not None:
            self.limits[n].tick(now)
        judged = self.verdicts[n].evaluate(now, now) if self.verdicts[n] is not None else None
        if judged is not None:
            fleet.deliver(n, judged)

    def send(self, n: int, address: tuple[str, int], data: bytes) -> None:
        fleet, target = self.fleet, int(address[0][1:])
        way = fleet.links.datagram_outcome(f"p{n}", address[0])
        for late in way.copies:
            through = flip_random_bit(data, self.random) if way.corrupted else data
            fleet.call_later(fleet.network_delay("", "") + late, self.arrives, target, through, (f"p{n}", 1))

    def arrives(self, n: int, data: bytes, source: tuple[str, int]) -> None:
        talk = self.gossip[n]
        if talk is None:
            return
        if n in self.fleet.stopped:
            waiting = self.waiting.setdefault(n, [])
            if len(waiting) < BACKLOG:
                waiting.append((data, source))
            return
        talk.received(self.fleet.clock_ticks(n), data, source)

    def deliver_waiting(self, n: int) -> None:
        for data, source in self.waiting.pop(n, ()):
            self.gossip[n].received(self.fleet.clock_ticks(n), data, source)

    def record_staleness(self, n: int, kind: str, words) -> None:
        """By the lab's clock, not the proxy's: how old was the oldest fact that it acts on."""
        held = self.gossip[n].table.by_id
        for word in words:
            fact = held[word.fact_id].fact
            age = self.fleet.now - self.published_at[fact.author, fact.life, fact.sequence]
            self.staleness[kind] = max(self.staleness[kind], age)
            if age * 10_000 > FACT_LIFETIMES[kind] * (1 + DRIFT):
                self.over_age.append((self.fleet.now, n, kind, age))

    # ---- what a run comes to

    def figures(self, scenario, begin: float) -> dict:
        for n in range(self.count):
            self.add_totals(n)
        rates = [self.sent_bytes[n] / scenario.seconds for n in range(self.count)]
        sent = [self.sent[n] / scenario.seconds for n in range(self.count)]
        return {
            "staleness": {kind: round(age, 3) for kind, age in self.staleness.items()},
            "over_age": len(self.over_age),
            **self.spread(scenario, begin),
            "false_suspicions": self.false,
            "messages": {"datagrams_s": mean_and_most(sent), "bytes_s": mean_and_most(rates)},
        }

    def spread(self, scenario, begin: float) -> dict:
        """For each fault of hosts: seconds until the first and the last live member had one of them out."""
        detect, agree = [], []
        marks = {f"{mark:x}": n for n, mark in enumerate(self.fleet.host_hashes)}
        for fault in scenario.faults:
            first = {}
            for at, n, event, fields in self.log_events:
                host = marks.get(fields.get("host", "").split(".")[0]) if event == "verdict" else None
                if host in fault.hosts and fields["state"] == OUT and at >= begin + fault.at:
                    first.setdefault(host, {}).setdefault(n, at - begin - fault.at)
            whole = [max(seen.values()) for seen in first.values() if len(seen) >= self.living()]
            detect.append(round(min(min(seen.values()) for seen in first.values()), 3) if first else None)
            agree.append(round(max(whole), 3) if whole and len(whole) == len(first) else None)
        return {"detect_s": detect, "agree_s": agree}

    def living(self) -> int:
        return sum(talk is not None for talk in self.gossip)
