"""The program's clock: Unix time in ticks of 0.1 ms, set once from the wall clock and monotonic since."""

import time

TICKS_PER_SECOND = 10_000
TICK_NS = 100_000
monotonic_ns, wall_ns = time.monotonic_ns, time.time_ns  # replaced by the lab's clocks in simulations


class Clock:
    def __init__(self) -> None:
        self.wall_offset_ns = wall_ns() - monotonic_ns()

    @staticmethod
    def monotonic_ns() -> int:
        """Nanoseconds of the system's monotonic clock, the same in all processes of one boot."""
        return monotonic_ns()

    def now(self) -> int:
        """Ticks since the Unix epoch."""
        return (monotonic_ns() + self.wall_offset_ns) // TICK_NS
