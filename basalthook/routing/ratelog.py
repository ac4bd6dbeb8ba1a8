"""Log events at a bounded rate, so that a crowd of the same event costs neither CPU nor log."""

from .clock import TICKS, Clock


class RateLimitedLog:
    """Passes on so many lines of each event a second; the next line's `unsaid` counts those left out."""

    def __init__(self, log_event, clock: Clock, most: int) -> None:
        """`log_event(event, **fields)` takes what is passed on; `most`: lines of one event in a second."""
        self.log_event, self.clock, self.most = log_event, clock, most
        self.seconds: dict[str, list[int]] = {}  # by event: second, lines in it, left out since the last

    def __call__(self, event: str, **fields) -> None:
        second, counts = self.clock.now() // TICKS, self.seconds.setdefault(event, [0, 0, 0])
        if second != counts[0]:
            counts[:2] = second, 0
        if counts[1] >= self.most:
            counts[2] += 1
            return
        self.log_event(event, unsaid=counts[2], **fields)
        counts[1:] = counts[1] + 1, 0
