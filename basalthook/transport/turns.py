"""The event loop's turns: up to when everything that came in has been read."""

import asyncio
import selectors
import time

MIN_BLOCKED_POLL_NS = 100_000  # nanoseconds: a poll that took longer had found nothing at first


class TimedSelector(selectors.DefaultSelector):
    """Notes its polls. What was readable at a poll is read in the turn that follows it."""

    def __init__(self) -> None:
        super().__init__()
        self.priority_fds: set[int] = (
            set()
        )  # descriptors looked at before others: answers free what arrivals need
        self.urgent_fds: set[int] = set()  # and before these: the staff's, however busy this process is
        self.read_until = self.last_poll = time.monotonic_ns()

    def select(self, timeout=None):
        started = time.monotonic_ns()
        events = super().select(timeout)
        if len(events) > 1 and (self.priority_fds or self.urgent_fds):
            events.sort(key=self._priority)
        previous_poll, self.last_poll = self.last_poll, time.monotonic_ns()
        # with nothing readable before, the present is seen; else only what the turn before this one looked at
        self.read_until = (
            self.last_poll if not events or self.last_poll - started > MIN_BLOCKED_POLL_NS else previous_poll
        )
        return events

    def _priority(self, event) -> int:
        return 0 if event[0].fd in self.urgent_fds else 2 - (event[0].fd in self.priority_fds)

    def read_lag(self) -> int:
        """For how many nanoseconds bytes may have lain in the kernel with nobody looking."""
        return time.monotonic_ns() - self.read_until


def run(main, selector: TimedSelector):
    """As `asyncio.run`, on a loop that polls with these."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(main)
