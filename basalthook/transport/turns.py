"""The event loop's turns: up to when everything that came in has been read."""

import asyncio
import selectors
import time

WAITED = 100_000  # nanoseconds: a poll that took longer had found nothing at first


class Turns(selectors.DefaultSelector):
    """Notes its polls. What was readable at a poll is read in the turn that follows it."""

    def __init__(self) -> None:
        super().__init__()
        self.first: set[int] = set()  # descriptors looked at before others: answers free what arrivals need
        self.urgent: set[int] = set()  # and before these: the staff's, however busy this process is
        self.seen = self.polled = time.monotonic_ns()

    def select(self, timeout=None):
        begun = time.monotonic_ns()
        events = super().select(timeout)
        if len(events) > 1 and (self.first or self.urgent):
            events.sort(key=self._order)
        before, self.polled = self.polled, time.monotonic_ns()
        # with nothing readable before, the present is seen; else only what the turn before this one looked at
        self.seen = self.polled if not events or self.polled - begun > WAITED else before
        return events

    def _order(self, event) -> int:
        return 0 if event[0].fd in self.urgent else 2 - (event[0].fd in self.first)

    def behind(self) -> int:
        """For how many nanoseconds bytes may have lain in the kernel with nobody looking."""
        return time.monotonic_ns() - self.seen


def run(main, turns: Turns):
    """As `asyncio.run`, on a loop that polls with these."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
        return runner.run(main)
