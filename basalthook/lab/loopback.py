"""The loopback address on which this process of the lab listens.

A proxy keeps calling hosts and discovery addresses that no longer exist. As each lab process has its own
address, a proxy never reaches another run that has been given the same ports since. On Linux all of
127.0.0.0/8 is loopback.
"""

import os
import sys


def address_for_process(process_id: int) -> str:
    """The address for a process id, which is below 2^22 on Linux."""
    if sys.platform != "linux":
        return "127.0.0.1"
    return f"127.{64 + (process_id >> 16) % 64}.{process_id >> 8 & 255}.{process_id & 255}"


ADDRESS = address_for_process(os.getpid())
