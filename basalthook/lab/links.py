"""The ways between proxies, hosts and discovery, and what faults do to them; the same at every depth.

Ends are named `p0`, `h0`, `d`; `p0-3` is a range. `between` joins every end of its first list with every end
of its second, both ways, or from the first to the second where it is `one_way`.
"""

import re
from random import Random
from typing import NamedTuple

ENDPOINT_NAME = re.compile(r"([ph])(\d+)(?:-(\d+))?|d")


class InvalidEndpointName(ValueError):
    pass


def endpoint_names(name: str, proxies: int, hosts: int) -> list[str]:
    """All that a name stands for; BadName with what is wrong."""
    found = ENDPOINT_NAME.fullmatch(name)
    if found is None:
        raise InvalidEndpointName(f"Expected `p0`, `h0`, `d` or a range like `p0-3`, got {name!r}")
    if name == "d":
        return ["d"]
    letter, first, last = found.group(1), int(found.group(2)), int(found.group(3) or found.group(2))
    most = proxies if letter == "p" else hosts
    if not first <= last < most:
        raise InvalidEndpointName(f"Expected a range within {letter}0 and {letter}{most - 1}, got {name!r}")
    return [f"{letter}{n}" for n in range(first, last + 1)]


class DatagramOutcome(NamedTuple):
    """What becomes of one datagram: seconds until each copy arrives, and whether it is spoilt."""

    copies: tuple[float, ...]
    corrupted: bool


DELIVERED = DatagramOutcome((0.0,), False)


class ActiveFault(NamedTuple):
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
    """Faults are added as they begin and taken away as they end; each knows which ways it is on."""

    def __init__(self, seed: int, proxies: int, hosts: int) -> None:
        self.chance, self.faults = Random(f"links of {seed}"), []
        self.proxies, self.hosts = proxies, hosts

    def add_fault(self, fault) -> None:
        sides = (
            frozenset(end for name in side for end in endpoint_names(name, self.proxies, self.hosts))
            for side in fault.between
        )
        self.faults.append(ActiveFault(fault, *sides))

    def remove_fault(self, fault) -> None:
        self.faults = [joined for joined in self.faults if joined.fault is not fault]

    def active_between(self, source: str, target: str) -> list:
        return [joined.fault for joined in self.faults if joined.applies_to(source, target)]

    def datagram_outcome(self, source: str, target: str) -> DatagramOutcome:
        if not self.faults:
            return DELIVERED
        copies, corrupted, chance = [0.0], False, self.chance
        for fault in self.active_between(source, target):
            if fault.cuts or chance.random() < fault.loses:
                return DatagramOutcome((), False)
            if chance.random() < fault.doubles:
                copies.append(copies[0] + 0.01 * chance.random())
            late = fault.delay
            if chance.random() < fault.reorders:  # it comes behind others sent after it
                late += (0.1 + 2 * fault.delay) * chance.random()
            copies = [at + late for at in copies]
            corrupted |= chance.random() < fault.spoils
        return DatagramOutcome(tuple(copies), corrupted)

    def message_delay(self, source: str, target: str) -> float | None:
        """Seconds that a message on a connection takes longer; None: it never comes."""
        more = 0.0
        for fault in self.active_between(source, target) if self.faults else ():
            if fault.cuts or self.chance.random() < fault.loses:
                return None
            more += fault.delay
        return more


def flip_random_bit(data: bytes, chance: Random) -> bytes:
    """The same with one bit turned over."""
    place = chance.randrange(len(data))
    return data[:place] + bytes([data[place] ^ 1 << chance.randrange(8)]) + data[place + 1 :]
