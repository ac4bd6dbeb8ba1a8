"""The event loop's selector: tracks how far reading lags behind, and orders ready descriptors."""

import asyncio
import selectors
import time

MAX_DELAYED_PER_POLL = 8
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
        # Descriptors that wait for their turn, as reading from them costs much; a few are reported each time.
        self.delayed_fds: set[int] = set()
        self.last_delayed_fd = 0
        # All bytes received before this time have been read (monotonic clock, nanoseconds).
        self.read_until = self.last_poll = time.monotonic_ns()

    def select(self, timeout=None):
        started = time.monotonic_ns()
        events = super().select(timeout)
        if self.delayed_fds:
            events = self._without_delayed(events)
        if len(events) > 1 and (self.priority_fds or self.urgent_fds):
            events.sort(key=self._priority)
        previous_poll, self.last_poll = self.last_poll, time.monotonic_ns()
        # If nothing was ready when the poll started, all is read up to now; else up to the previous poll.
        self.read_until = (
            self.last_poll if not events or self.last_poll - started > MIN_BLOCKED_POLL_NS else previous_poll
        )
        return events

    def _without_delayed(self, events: list) -> list:
        """Leave out descriptors that wait for their turn to be read, but for a few, each in turn."""
        reported, waiting = [], []
        for event in events:
            may_wait = event[0].fd in self.delayed_fds and not event[1] & selectors.EVENT_WRITE
            (waiting if may_wait else reported).append(event)
        waiting.sort(key=lambda event: event[0].fd)  # round robin: epoll reports in the same order each time
        first = next((n for n, event in enumerate(waiting) if event[0].fd > self.last_delayed_fd), 0)
        for event in (waiting[first:] + waiting[:first])[:MAX_DELAYED_PER_POLL]:
            self.last_delayed_fd = event[0].fd
            self.delayed_fds.discard(event[0].fd)
            reported.append(event)
        return reported

    def _priority(self, event) -> int:
        return 0 if event[0].fd in self.urgent_fds else 2 - (event[0].fd in self.priority_fds)

    def read_lag(self) -> int:
        """Return for how many nanoseconds received bytes may have waited unread."""
        return time.monotonic_ns() - self.read_until


def run(main, selector: TimedSelector):
    """Like `asyncio.run`, on an event loop that uses this selector."""
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(main)
