"""The one clock: whole tenths of a millisecond of Unix time, set once and never turned back."""
import time

TICKS = 10_000      # a second
TICK = 100_000      # nanoseconds


class Clock:
    def __init__(self) -> None:
        self.ahead = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self.ahead) // TICK
