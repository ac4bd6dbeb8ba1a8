"""A model of the machine behind a host: cores, a queue, slow start, a cache of keys.

No I/O; callers pass the time, in seconds.
"""

from heapq import heapreplace


def build_machines(scenario) -> tuple[list["Machine"], list[str]]:
    """The machines of a scenario, and the zone of each."""
    built = [
        (
            Machine(kind, scenario.rules, scenario.key_memory, scenario.key_saves),
            kind.zones[n % len(kind.zones)],
        )
        for kind in scenario.hosts
        for n in range(kind.count)
    ]
    return [machine for machine, _ in built], [zone for _, zone in built]


class Machine:
    """Serves transactions in order of arrival on `cores`; `accept` says when each will be done.

    Capacity is in seconds of work per second. A cold process starts at `cold_share` of it and warms up
    linearly over `cold_time` seconds. Work runs to its end at the speed that it began with.
    """

    MAX_KEYS = 5_000  # keys in the cache; the least recently used is evicted first

    def __init__(self, kind, rules, key_memory: float, key_savings: float) -> None:
        self.cores, self.speed, self.slots, self.rules = kind.cores, kind.speed, kind.slots, rules
        self.choke, self.choke_slow, self.key_memory, self.key_savings = (
            kind.choke,
            kind.choke_slow,
            key_memory,
            key_savings,
        )
        self.read_rate = kind.read_rate
        self.slowdown, self.silent, self.vanished = 1.0, 0, 0  # set by faults, which may overlap
        # one share per active fault
        self.error_shares, self.answer_loss_shares = [], []
        self.process_number = 0  # number of the current process, counted from 1
        self.start(None)

    def start(self, now: float | None) -> None:
        """Starts a new process at `now`; None: it has been running long enough to be warm."""
        self.started_at, self.occupied_slots, self.key_last_seen, self.process_number = (
            now,
            0,
            {},
            self.process_number + 1,
        )
        self.choked = False
        self.core_free_at = [0.0] * self.cores  # a heap: when each core becomes free

    def warmth(self, now: float) -> float:
        """The share of full speed that the process has reached."""
        if self.started_at is None:
            return 1.0
        age = (now - self.started_at) / self.rules.cold_time
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * max(0.0, age))

    def capacity(self, now: float) -> float:
        """Seconds of work per second, at present."""
        slow_factor = self.slowdown * (self.choke_slow if self.choked else 1.0)
        return self.cores * self.speed * self.warmth(now) / slow_factor

    def cost(self, now: float, key: str, work: float) -> float:
        """Seconds of work on this machine: less if it has seen the key within `key_memory`."""
        last_seen = self.key_last_seen.pop(key, None)
        self.key_last_seen[key] = now
        if len(self.key_last_seen) > self.MAX_KEYS:
            del self.key_last_seen[next(iter(self.key_last_seen))]
        return (
            work * (1 - self.key_savings)
            if last_seen is not None and now - last_seen <= self.key_memory
            else work
        )

    def accept(self, now: float, cost: float) -> float | None:
        """Takes a slot and returns when the work will be done; None if no slot is free.

        `release` frees the slot.
        """
        if self.occupied_slots >= self.slots:
            return None
        self.occupied_slots += 1
        self.choked |= self.choke is not None and self.occupied_slots >= self.choke
        begins_at = max(now, self.core_free_at[0])
        ends_at = begins_at + cost * self.cores / self.capacity(begins_at)
        heapreplace(self.core_free_at, ends_at)
        return ends_at

    def release(self, process_number: int) -> None:
        """Frees a slot, unless the process that took it has ended since."""
        self.occupied_slots -= process_number == self.process_number
        self.choked &= self.occupied_slots > 0  # the slowdown ends once the machine is idle
