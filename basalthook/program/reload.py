"""SIGHUP: reads the start-up file again, and retries for a while if it can't be applied."""

import signal

from ..transport.timers import Timers
from .startup import StartUp, StartUpError

RETRY_INTERVAL_S = 0.1  # between two reads of a file that was refused
MAX_READS = 30  # in all 3 s; the list of another discovery takes effect 4 s after SIGHUP


class EarlyHangup:
    """Records a SIGHUP that arrives before the event loop handles it.

    The start-up file may have changed after it was read, so it has to be read again.
    """

    def __init__(self) -> None:
        self.received = False
        signal.signal(signal.SIGHUP, self.on_signal)

    def on_signal(self, *_) -> None:
        self.received = True


class Reloader:
    """Reads the start-up file at SIGHUP; a file that can't be applied changes nothing."""

    def __init__(self, read, apply, timers: Timers, log_event) -> None:
        """`read()` returns a StartUp or raises StartUpError; `apply(StartUp)` puts it into effect."""
        self.read, self.apply, self.timers, self.log_event = read, apply, timers, log_event
        self.timer, self.reads = None, 0

    def on_hangup(self) -> None:
        """Starts over at each signal, also while a refused file is being retried."""
        self.timers.cancel(self.timer)
        self.timer, self.reads = None, 0
        self.read_file()

    def read_file(self) -> None:
        """Reads the file once and applies it, or schedules another read."""
        self.reads += 1
        try:
            start_up: StartUp = self.read()
        except StartUpError as error:  # for example half a file; the present settings stay
            return self.refuse(str(error))
        self.apply(start_up)

    def refuse(self, reason: str) -> None:
        """Logs the first and the last refusal; schedules another read unless it is the last."""
        retry = self.reads < MAX_READS  # the writer may not have finished
        if self.reads == 1 or not retry:
            self.log_event("file refused", reason=reason, looks=self.reads, looks_again=retry)
        if retry:
            self.timer = self.timers.set(int(RETRY_INTERVAL_S * self.timers.ticks_per_second), self.read_file)
