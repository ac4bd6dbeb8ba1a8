"""The event loop's selector: tracks how far reading lags behind, and orders ready descriptors."""

import asyncio
import selectors
import time

MIN_BLOCKED_POLL_NS = 100_000  # a poll that took longer has blocked: nothing was ready when it started


class TimedSelector(selectors.DefaultSelector):
    """A selector that records its polls.

    What is readable at a poll is read in the loop iteration that follows it.
    """

    def __init__(self) -> None:
        super().__init__()
        # Descriptors handled before others: responses of hosts free resources that new requests need.
        self.priority_fds: set[int] = set()
        # Descriptors handled before all others: administrative calls, however busy this process is.
        self.urgent_fds: set[int] = set()
        # All bytes received before this time have been read (monotonic clock, nanoseconds).
        self.read_until = self.last_poll = time.monotonic_ns()

    def select(self, timeout=None):
        started = time.monotonic_ns()
        events = super().select(timeout)
        if len(events) > 1 and (self.priority_fds or self.urgent_fds):
            events.sort(key=self._priority)
        previous_poll, self.last_poll = self.last_poll, time.monotonic_ns()
        # If nothing was ready when the poll started, all is read up to now; else up to the previous poll.
        self.read_until = (
            self.last_poll if not events or self.last_poll - started > MIN_BLOCKED_POLL_NS else previous_poll
        )
        return events

    def _priority(self, event) -> int:
        return 0 if event[0].fd in self.urgent_fds else 2 - (event[0].fd in self.priority_fds)

    def read_lag(self) -> int:
        """Return for how many nanoseconds received bytes may have waited unread."""
        return time.monotonic_ns() - self.read_until


def run(main, selector: TimedSelector):
    """Like `asyncio.run`, on an event loop that uses this selector."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(main)
