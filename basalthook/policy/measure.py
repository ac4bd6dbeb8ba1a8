"""Counting and hashing for the decisions. Decides nothing: thresholds are arguments. Times are in ticks."""

from collections import OrderedDict, deque
from math import exp, log

from . import interface

LANE_MASK = (1 << 64) - 1


class SlidingWindow:
    """Counts events within the last `span`; older ones are dropped at each use."""

    __slots__ = ("span", "times")

    def __init__(self, span: int) -> None:
        self.span, self.times = span, deque()

    def count(self, now: int) -> int:
        times, start = self.times, now - self.span
        while times and times[0] <= start:
            times.popleft()
        return len(times)

    def add(self, now: int) -> None:
        self.count(now)
        self.times.append(now)


class Rendezvous:
    """Weighted rendezvous hashing over a fixed set: the host with the least claim on a key comes first.

    A host's claim is -log(u) / weight, u in (0, 1] by a mix of key and hash; each host is first for a part of
    all keys in proportion to its weight. The mix is computed for all hosts in one pass over a long integer
    with a lane of 128 bits a host. For `leaders`, only claims below a bound, about `leader_count` of them,
    need a logarithm and the sort. Source: Thaler and Ravishankar, "A name-based mapping scheme for
    rendezvous", 1996; mix of splitmix64.
    """

    def __init__(self, hosts: list, hashes: list[int], weights: list[float], leader_count: int = 16) -> None:
        self.hosts, self.weights, size = hosts, weights, 16 * len(hosts)
        self.lane_ones = int.from_bytes(b"\1".ljust(16, b"\0") * len(hosts), "little")
        self.lane_mask, self.byte_count = self.lane_ones * LANE_MASK, size
        self.hashes = int.from_bytes(
            b"".join((h & LANE_MASK).to_bytes(16, "little") for h in hashes), "little"
        )
        bound = leader_count / (sum(weights) or 1.0)
        self.thresholds = [int(exp(-weight * bound) * 2**64) for weight in weights]

    def mixed_hashes(self, key: int) -> list[int]:
        x = (self.hashes ^ self.lane_ones * (key & LANE_MASK)) * 0x9E3779B97F4A7C15 & self.lane_mask
        x = ((x ^ x >> 29) & self.lane_mask) * 0xBF58476D1CE4E5B9 & self.lane_mask
        return (
            memoryview(((x ^ x >> 32) & self.lane_mask).to_bytes(self.byte_count, "little"))
            .cast("Q")
            .tolist()[::2]
        )

    def sorted(self, numbers, mixed: list[int]) -> list:
        claims = {n: -log((mixed[n] + 1) / 2**64) / self.weights[n] for n in numbers}
        return [self.hosts[n] for n in sorted(claims, key=claims.__getitem__)]

    def leaders(self, key: int) -> list:
        """The first hosts of the order: about `leader_count`, rarely none."""
        mixed = self.mixed_hashes(key)
        first = [n for n, (x, least) in enumerate(zip(mixed, self.thresholds, strict=True)) if x >= least]
        return self.sorted(first, mixed)

    def order(self, key: int) -> list:
        """All hosts in order; begins with `leaders`."""
        return self.sorted(range(len(self.hosts)), self.mixed_hashes(key))


class Latency:
    """Latency of one profile: mean, deviation, and `base`, with little queueing (at least `floor`)."""

    def __init__(self, goal: int, floor: float) -> None:
        self.mean = self.deviation = self.base = self.slow_mean = goal / 8
        self.goal, self.floor = goal, floor

    def add(self, elapsed: int) -> None:
        error = elapsed - self.mean
        self.mean += error * 0.05
        self.deviation += (abs(error) - self.deviation) * 0.05
        self.slow_mean += (elapsed - self.slow_mean) * 0.01  # slow, as single transactions are very heavy
        gap = self.slow_mean - self.base
        self.base = max(self.base + gap * (0.02 if gap < 0 else 0.00005), self.floor)

    @property
    def expected(self) -> float:
        return self.mean + self.deviation


class RecentPlaces:
    """Places at which each key was seen within `span`; beyond `max_keys` the oldest keys are dropped."""

    def __init__(self, span: int, max_keys: int) -> None:
        self.span, self.max_keys, self.seen_at = span, max_keys, OrderedDict()

    def add(self, key, place, now: int) -> dict:
        places = {p: at for p, at in self.seen_at.pop(key, {}).items() if at > now - self.span}
        places[place], self.seen_at[key] = now, places
        if len(self.seen_at) > self.max_keys:
            self.seen_at.popitem(last=False)
        return places

    def drop(self, key) -> None:
        self.seen_at.pop(key, None)


class SlowGroups:
    """The share of slow answers of each group; beyond `max_groups` those longest without answers are dropped.

    A group is (sort, id), compared with others of its sort. `min_answers`: needed to compare with a group;
    three times as many are needed to act on its own share.
    """

    def __init__(self, span: int, max_groups: int, min_answers: int) -> None:
        self.span, self.max_groups, self.min_answers, self.stats = (
            span,
            max_groups,
            min_answers,
            OrderedDict(),
        )

    def add(self, groups: tuple, slow: bool, now: int) -> None:
        for group in groups:
            share, answers, _ = self.stats.pop(group, (0.0, 0, now))
            self.stats[group] = share + (slow - share) * 0.12, answers + 1, now
        while len(self.stats) > self.max_groups:
            self.stats.popitem(last=False)

    def excess(self, groups: tuple, now: int) -> float:
        return max(self.group_excess(group, now) for group in groups)

    def group_excess(self, group: tuple, now: int) -> float:
        """How far its share exceeds the lowest of the others of its sort; 0 with too few answers."""
        found = self.stats.get(group)
        others = [
            share
            for (sort, group_id), (share, answers, at) in self.stats.items()
            if sort == group[0]
            and group_id != group[1]
            and answers >= self.min_answers
            and at > now - self.span
        ]
        return found[0] - min(others) if found and others and found[1] >= 3 * self.min_answers else 0.0


class Allowance:
    """What the fleet's limits allow, by key: a count that does not expire, and an additional one that does.

    A key without a row has no limit. A key with None for its host or profile stands for all that are not
    named; `aliases` maps keys to the key whose row they share.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple, tuple] = {}  # at most one for each host and profile
        self.used: dict[tuple, int] = {}  # since the row was set
        self.aliases: dict[tuple, tuple] = {}
        self.retry_after = 0  # ticks, for those that a limit refuses; 0: none known

    def update(self, event: interface.LimitsUpdated) -> None:
        self.retry_after = event.retry_after
        self.aliases.update(event.aliases)
        for key, *row in event.rows:
            self.rows[key], self.used[key] = row, 0

    def resolve_key(self, key: tuple) -> tuple:
        key = self.aliases.get(key, key)
        return key if key in self.rows else (key[0], None)

    def remaining(self, key: tuple, now: int) -> float:
        if not self.rows or (key := self.resolve_key(key)) not in self.rows:
            return float("inf")
        always, more, until = self.rows[key]
        return always + (more if now < until else 0) - self.used[key]

    def consume(self, key: tuple) -> None:
        if (key := self.resolve_key(key)) in self.rows:
            self.used[key] += 1
