"""SIGHUP: the start-up file is read again, and once more for a while where it can't be taken as it is."""

import signal

from ..transport.timers import Timers
from .startup import BadStart, StartUp

READ_AGAIN = 0.1  # seconds between two looks at a file that was refused
LOOKS = 30  # then it is left; news of another discovery counts 4 s after SIGHUP


class EarlyHangup:
    """Notes SIGHUP until the event loop handles it: the file may have changed since it was read."""

    def __init__(self) -> None:
        self.came = False
        signal.signal(signal.SIGHUP, self.note)

    def note(self, *_) -> None:
        self.came = True


class Reload:
    def __init__(self, read, take, timers: Timers, log_event) -> None:
        """`read()` gives a StartUp or raises BadStart; `take(StartUp)` puts it in force."""
        self.read, self.take, self.timers, self.log_event = read, take, timers, log_event
        self.timer, self.looks = None, 0

    def hangup(self) -> None:
        """A signal: whatever was refused before, the file of now counts."""
        self.timers.cancel(self.timer)
        self.timer, self.looks = None, 0
        self.look()

    def look(self) -> None:
        self.looks += 1
        try:
            told: StartUp = self.read()
        except BadStart as fault:  # guards against half a file: what is in force stays
            return self.refuse(str(fault))
        self.take(told)

    def refuse(self, reason: str) -> None:
        again = self.looks < LOOKS  # who writes it may not be done
        if self.looks == 1 or not again:
            self.log_event("file refused", reason=reason, looks=self.looks, looks_again=again)
        if again:
            self.timer = self.timers.set(int(READ_AGAIN * self.timers.ticks_per_second), self.look)
