"""Log events at a bounded rate, so that many equal events cost neither CPU time nor log volume."""

from .clock import TICKS_PER_SECOND, Clock


class RateLimitedLog:
    """Limits the log lines of each event; the field `unsaid` of the next line counts the suppressed ones."""

    def __init__(self, log_event, clock: Clock, max_per_second: int) -> None:
        """`log_event(event, **fields)` writes a line; `max_per_second`: lines of one event."""
        self.log_event, self.clock, self.max_per_second = log_event, clock, max_per_second
        self.counters: dict[
            str, list[int]
        ] = {}  # by event: second, lines in it, suppressed since the last line

    def __call__(self, event: str, **fields) -> None:
        second, counts = self.clock.now() // TICKS_PER_SECOND, self.counters.setdefault(event, [0, 0, 0])
        if second != counts[0]:
            counts[:2] = second, 0
        if counts[1] >= self.max_per_second:
            counts[2] += 1
            return
        self.log_event(event, unsaid=counts[2], **fields)
        counts[1:] = counts[1] + 1, 0
