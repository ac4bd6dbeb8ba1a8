"""The loopback address on which this process of the lab listens.

A proxy goes on calling endpoints and discoveries that are gone. With one address a process, it never reaches
those of another run that has been given their ports since. Linux takes all of 127.0.0.0/8 for the loopback.
"""

import os
import sys


def address_of(process: int) -> str:
    """Of this process id, below 2^22 on Linux."""
    if sys.platform != "linux":
        return "127.0.0.1"
    return f"127.{64 + (process >> 16) % 64}.{process >> 8 & 255}.{process & 255}"


ADDRESS = address_of(os.getpid())
