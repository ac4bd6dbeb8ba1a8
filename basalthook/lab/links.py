"""The ways between proxies, hosts and discovery, and what faults do to them; the same at every depth.

Ends are named `p0`, `h0`, `d`; `p0-3` is a range. `between` joins every end of its first list with every end
of its second, both ways, or from the first to the second where it is `one_way`.
"""

import re
from random import Random
from typing import NamedTuple

NAME = re.compile(r"([ph])(\d+)(?:-(\d+))?|d")


class BadName(ValueError):
    pass


def ends(name: str, proxies: int, hosts: int) -> list[str]:
    """All that a name stands for; BadName with what is wrong."""
    found = NAME.fullmatch(name)
    if found is None:
        raise BadName(f"Expected `p0`, `h0`, `d` or a range like `p0-3`, got {name!r}")
    if name == "d":
        return ["d"]
    letter, first, last = found.group(1), int(found.group(2)), int(found.group(3) or found.group(2))
    most = proxies if letter == "p" else hosts
    if not first <= last < most:
        raise BadName(f"Expected a range within {letter}0 and {letter}{most - 1}, got {name!r}")
    return [f"{letter}{n}" for n in range(first, last + 1)]


class Way(NamedTuple):
    """What becomes of one datagram: seconds until each copy arrives, and whether it is spoilt."""

    copies: tuple[float, ...]
    spoilt: bool


THROUGH = Way((0.0,), False)


class Joined(NamedTuple):
    fault: object
    first: frozenset
    second: frozenset

    def holds(self, source: str, target: str) -> bool:
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

    def begin(self, fault) -> None:
        sides = (
            frozenset(end for name in side for end in ends(name, self.proxies, self.hosts))
            for side in fault.between
        )
        self.faults.append(Joined(fault, *sides))

    def end(self, fault) -> None:
        self.faults = [joined for joined in self.faults if joined.fault is not fault]

    def on(self, source: str, target: str) -> list:
        return [joined.fault for joined in self.faults if joined.holds(source, target)]

    def datagram(self, source: str, target: str) -> Way:
        if not self.faults:
            return THROUGH
        copies, spoilt, chance = [0.0], False, self.chance
        for fault in self.on(source, target):
            if fault.cuts or chance.random() < fault.loses:
                return Way((), False)
            if chance.random() < fault.doubles:
                copies.append(copies[0] + 0.01 * chance.random())
            late = fault.delay
            if chance.random() < fault.reorders:  # it comes behind others sent after it
                late += (0.1 + 2 * fault.delay) * chance.random()
            copies = [at + late for at in copies]
            spoilt |= chance.random() < fault.spoils
        return Way(tuple(copies), spoilt)

    def stream(self, source: str, target: str) -> float | None:
        """Seconds that a message on a connection takes longer; None: it never comes."""
        more = 0.0
        for fault in self.on(source, target) if self.faults else ():
            if fault.cuts or self.chance.random() < fault.loses:
                return None
            more += fault.delay
        return more


def spoil(data: bytes, chance: Random) -> bytes:
    """The same with one bit turned over."""
    place = chance.randrange(len(data))
    return data[:place] + bytes([data[place] ^ 1 << chance.randrange(8)]) + data[place + 1 :]
