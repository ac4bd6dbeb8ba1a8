"""The one clock: whole tenths of a millisecond of Unix time, set once and never turned back."""

import time

TICKS = 10_000  # a second
TICK = 100_000  # nanoseconds
monotonic_ns, wall_ns = time.monotonic_ns, time.time_ns  # the lab puts others here


class Clock:
    def __init__(self) -> None:
        self.ahead = wall_ns() - monotonic_ns()

    def now(self) -> int:
        return (monotonic_ns() + self.ahead) // TICK
