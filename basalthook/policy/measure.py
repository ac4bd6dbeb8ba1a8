"""Counting and hashing for the decisions; nothing is decided here."""
from collections import deque
from math import log


class Window:
    """How often something happened lately; what is older than the span is let go at each use."""

    __slots__ = ("span", "times")

    def __init__(self, span: int) -> None:
        self.span, self.times = span, deque()

    def count(self, now: int) -> int:
        times, start = self.times, now - self.span
        while times and times[0] <= start:
            times.popleft()
        return len(times)

    def add(self, now: int) -> None:
        self.count(now)
        self.times.append(now)


def claim(key: int, host: int, weight: float) -> float:
    """Weighted rendezvous: of all hosts the one with the least claim comes first, in proportion to weight."""
    x = (key ^ host) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    x = (x ^ x >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return -log(((x ^ x >> 32) + 1) / 2 ** 64) / weight
