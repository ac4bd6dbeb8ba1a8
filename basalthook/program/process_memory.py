"""Resident memory of this process, as the kernel counts it."""

import resource
import sys

# ru_maxrss (getrusage(2)) is in KiB on Linux and in bytes on macOS
PEAK_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024
RESIDENT_PAGES_FIELD = 1  # of /proc/self/statm (proc(5))
MIB = 2**20


def resident_mib() -> float | None:
    """Return the present resident memory in MiB; None where the system does not tell it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[RESIDENT_PAGES_FIELD])
    except OSError:
        return None
    return pages * resource.getpagesize() / MIB


def peak_mib() -> float:
    """Return the largest resident memory since the start of the process, in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * PEAK_UNIT_BYTES / MIB
