"""The machine behind a host: cores, a queue, slow start, memory for keys. No I/O; it is handed the time."""

from heapq import heapreplace


def machines(told) -> tuple[list["Machine"], list[str]]:
    """The machines of a scenario, and their zones."""
    made = [
        (Machine(kind, told.rules, told.key_memory, told.key_saves), kind.zones[n % len(kind.zones)])
        for kind in told.hosts
        for n in range(kind.count)
    ]
    return [machine for machine, _ in made], [zone for _, zone in made]


class Machine:
    """First come first served on `cores`; `take` says when a transaction will be done.

    Capacity is in seconds of work a second. A cold process starts at `cold_share` of it and is warm,
    evenly, after `cold_time` seconds; work begun at a time runs at that time's pace to its end.
    """

    KEYS_KEPT = 5_000  # keys remembered; the oldest goes first

    def __init__(self, kind, rules, memory: float, saves: float) -> None:
        self.cores, self.speed, self.slots, self.rules = kind.cores, kind.speed, kind.slots, rules
        self.choke, self.choke_slow, self.memory, self.saves = kind.choke, kind.choke_slow, memory, saves
        self.slowed, self.silent, self.gone = 1.0, 0, 0  # by faults; these may overlap
        self.erring, self.losing = [], []  # shares of what it fails, and of answers that are lost
        self.life = 0  # processes started here so far
        self.start(None)

    def start(self, now: float | None) -> None:
        """A new process; None: it has run for long."""
        self.started, self.held, self.known, self.life = now, 0, {}, self.life + 1
        self.choked = False
        self.free = [0.0] * self.cores  # a heap: when each core is free

    def warmth(self, now: float) -> float:
        if self.started is None:
            return 1.0
        age = (now - self.started) / self.rules.cold_time
        return min(1.0, self.rules.cold_share + (1 - self.rules.cold_share) * max(0.0, age))

    def capacity(self, now: float) -> float:
        slower = self.slowed * (self.choke_slow if self.choked else 1.0)
        return self.cores * self.speed * self.warmth(now) / slower

    def cost(self, now: float, key: str, work: float) -> float:
        """What it costs here: less where the key was met lately."""
        met = self.known.pop(key, None)
        self.known[key] = now
        if len(self.known) > self.KEYS_KEPT:
            del self.known[next(iter(self.known))]
        return work * (1 - self.saves) if met is not None and now - met <= self.memory else work

    def take(self, now: float, cost: float) -> float | None:
        """When it will be done; None where no slot is free. `done` gives the slot back."""
        if self.held >= self.slots:
            return None
        self.held += 1
        self.choked |= self.choke is not None and self.held >= self.choke
        begins = max(now, self.free[0])
        ends = begins + cost * self.cores / self.capacity(begins)
        heapreplace(self.free, ends)
        return ends

    def done(self, life: int) -> None:
        """What a process began that is gone holds no slot of the next."""
        self.held -= life == self.life
        self.choked &= self.held > 0  # it has rested
