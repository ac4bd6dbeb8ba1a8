"""Links between proxies, hosts and discovery, and the effect of faults on them; used at every depth.

Endpoints are named `p0` (proxy), `h0` (host) and `d` (discovery); `p0-3` is a range. `between` joins every
endpoint of its first list with every endpoint of its second, in both directions, or only from the first to
the second if the fault is `one_way`.
"""

import re
from random import Random
from typing import NamedTuple

ENDPOINT_NAME = re.compile(r"([ph])(\d+)(?:-(\d+))?|d")


class InvalidEndpointName(ValueError):
    """A name in `between` that is malformed or out of range."""


def endpoint_names(name: str, proxies: int, hosts: int) -> list[str]:
    """Expands a name or range to endpoint names; raises InvalidEndpointName."""
    match = ENDPOINT_NAME.fullmatch(name)
    if match is None:
        raise InvalidEndpointName(f"Expected `p0`, `h0`, `d` or a range like `p0-3`, got {name!r}")
    if name == "d":
        return ["d"]
    letter, first, last = match.group(1), int(match.group(2)), int(match.group(3) or match.group(2))
    count = proxies if letter == "p" else hosts
    if not first <= last < count:
        raise InvalidEndpointName(f"Expected a range within {letter}0 and {letter}{count - 1}, got {name!r}")
    return [f"{letter}{n}" for n in range(first, last + 1)]


class DatagramOutcome(NamedTuple):
    """Delay in seconds of each delivered copy of a datagram, and whether the copies are corrupted."""

    copies: tuple[float, ...]
    corrupted: bool


DELIVERED = DatagramOutcome((0.0,), False)


class ActiveFault(NamedTuple):
    """A fault with the two sets of endpoints that it lies between."""

    fault: object
    first: frozenset
    second: frozenset

    def applies_to(self, source: str, target: str) -> bool:
        return (
            source in self.first
            and target in self.second
            or (not self.fault.one_way and source in self.second and target in self.first)
        )


class Links:
    """The active faults of links and their random effect on datagrams and messages."""

    def __init__(self, seed: int, proxies: int, hosts: int) -> None:
        self.rng, self.faults = Random(f"links of {seed}"), []
        self.proxies, self.hosts = proxies, hosts

    def add_fault(self, fault) -> None:
        sides = (
            frozenset(
                endpoint for name in side for endpoint in endpoint_names(name, self.proxies, self.hosts)
            )
            for side in fault.between
        )
        self.faults.append(ActiveFault(fault, *sides))

    def remove_fault(self, fault) -> None:
        self.faults = [active for active in self.faults if active.fault is not fault]

    def active_between(self, source: str, target: str) -> list:
        return [active.fault for active in self.faults if active.applies_to(source, target)]

    def datagram_outcome(self, source: str, target: str) -> DatagramOutcome:
        """Draws how the active faults treat one datagram."""
        if not self.faults:
            return DELIVERED
        copies, corrupted, rng = [0.0], False, self.rng
        for fault in self.active_between(source, target):
            if fault.cuts or rng.random() < fault.loses:
                return DatagramOutcome((), False)
            if rng.random() < fault.doubles:
                copies.append(copies[0] + 0.01 * rng.random())
            extra_delay = fault.delay
            if rng.random() < fault.reorders:  # delivered after datagrams that were sent later
                extra_delay += (0.1 + 2 * fault.delay) * rng.random()
            copies = [at + extra_delay for at in copies]
            corrupted |= rng.random() < fault.spoils
        return DatagramOutcome(tuple(copies), corrupted)

    def message_delay(self, source: str, target: str) -> float | None:
        """Extra delay in seconds of a message on a connection, or None if it is lost."""
        total_delay = 0.0
        for fault in self.active_between(source, target) if self.faults else ():
            if fault.cuts or self.rng.random() < fault.loses:
                return None
            total_delay += fault.delay
        return total_delay


def flip_random_bit(data: bytes, rng: Random) -> bytes:
    """Returns a copy of the data with one random bit flipped."""
    index = rng.randrange(len(data))
    return data[:index] + bytes([data[index] ^ 1 << rng.randrange(8)]) + data[index + 1 :]
