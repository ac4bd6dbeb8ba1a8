"""Starts the program with faulty clocks and system calls: `python -m basalthook.lab.underclock serve`.

The environment variable for the clocks has one entry per fault: start and end in nanoseconds of the machine's
monotonic clock, the seconds by which the wall clock is ahead in between, and the rate of the monotonic clock.
Only this module reads it.
"""

import os
import time

from ..program.commands import main
from ..routing import clock
from . import syscalls

CLOCK_VARIABLE = "BASALTHOOK_LAB_CLOCK"


def encode_clock_faults(entries: list[tuple[int, int, float, float]]) -> str:
    """Returns the value of the environment variable for entries of (start, end, seconds ahead, rate)."""
    return ";".join(",".join(map(repr, entry)) for entry in entries)


class FaultyClocks:
    """Clocks with the encoded faults: the monotonic clock changes its rate, the wall clock jumps."""

    def __init__(self, encoded: str) -> None:
        self.faults = []
        for entry in encoded.split(";"):
            start, end, ahead, rate = entry.split(",")
            self.faults.append((int(start), int(end), float(ahead), float(rate)))

    def monotonic_ns(self) -> int:
        now = time.monotonic_ns()
        return now + int(
            sum((min(now, end) - start) * (rate - 1) for start, end, _, rate in self.faults if now > start)
        )

    def wall_ns(self) -> int:
        now = time.monotonic_ns()
        return time.time_ns() + sum(
            int(ahead * 1e9) for start, end, ahead, _ in self.faults if start <= now < end
        )


if __name__ == "__main__":
    if CLOCK_VARIABLE in os.environ:
        clocks = FaultyClocks(os.environ[CLOCK_VARIABLE])
        clock.monotonic_ns, clock.wall_ns = clocks.monotonic_ns, clocks.wall_ns
    if syscalls.ENVIRONMENT_VARIABLE in os.environ:
        syscalls.install(os.environ[syscalls.ENVIRONMENT_VARIABLE])
    main()
