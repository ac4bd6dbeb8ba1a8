"""Starts the program with clocks and system calls of the lab's: `python -m basalthook.lab.underclock serve`.

The variable of the clocks has one entry a fault: from and until, in nanoseconds of the machine's monotonic
clock, by how many seconds the wall clock is ahead meanwhile, and the rate of the monotonic one. Nothing else
reads it.
"""

import os
import time

from ..program.commands import main
from ..routing import clock
from . import syscalls

CLOCK_VARIABLE = "BASALTHOOK_LAB_CLOCK"


def encode_clock_faults(entries: list[tuple[int, int, float, float]]) -> str:
    return ";".join(",".join(map(repr, entry)) for entry in entries)


class FaultyClocks:
    """A monotonic clock may run at another rate and never jumps; a wall clock jumps."""

    def __init__(self, worded_: str) -> None:
        self.faults = []
        for entry in worded_.split(";"):
            begin, end, ahead, rate = entry.split(",")
            self.faults.append((int(begin), int(end), float(ahead), float(rate)))

    def monotonic_ns(self) -> int:
        now = time.monotonic_ns()
        return now + int(
            sum((min(now, end) - begin) * (rate - 1) for begin, end, _, rate in self.faults if now > begin)
        )

    def wall_ns(self) -> int:
        now = time.monotonic_ns()
        return time.time_ns() + sum(
            int(ahead * 1e9) for begin, end, ahead, _ in self.faults if begin <= now < end
        )


if __name__ == "__main__":
    if CLOCK_VARIABLE in os.environ:
        clocks = FaultyClocks(os.environ[CLOCK_VARIABLE])
        clock.monotonic_ns, clock.wall_ns = clocks.monotonic_ns, clocks.wall_ns
    if syscalls.ENVIRONMENT_VARIABLE in os.environ:
        syscalls.install(os.environ[syscalls.ENVIRONMENT_VARIABLE])
    main()
