"""Writing a long request to a host: its last byte is kept back until the host's system has all others.

A host begins a request when its last byte has come. Of a long one that may be seconds after the first byte,
so the conditions for an attempt are checked again while it is written and right before the last byte. A
request without its last byte can't run, so giving it up has no effect.
"""

from collections.abc import Callable

from ..transport.buffers import Body
from ..transport.connection import Connection
from ..transport.timers import Timers
from .clock import TICKS_PER_SECOND

LONG_BODY_BYTES = 64 * 1024  # a shorter one usually fits into the receive window of a new connection
WRITING_CHECK_TICKS = TICKS_PER_SECOND // 50  # between two checks while the kernel here takes the bytes
# Between two looks whether the host's system has them: the first delay, doubled up to the longest.
FIRST_DELIVERY_CHECK_TICKS = TICKS_PER_SECOND // 1_000
MAX_DELIVERY_CHECK_TICKS = TICKS_PER_SECOND // 100


def is_long(body: Body) -> bool:
    """Return whether a request with this body is to be written by a `LongRequestWriter`."""
    return len(body) > LONG_BODY_BYTES


class LongRequestWriter:
    """Writes one request; `stop` ends it at any time.

    `may_go_on(transit, completes)` is called again and again, with the ticks since the first byte;
    `completes` is set once only the last byte is left to be sent. If it returns False, it has stopped this
    writer.
    `on_written()` is called once the kernel has accepted the last byte.
    """

    __slots__ = (
        "connection",
        "timers",
        "may_go_on",
        "on_written",
        "last_part",
        "begun_at",
        "accepted",
        "delay",
        "timer",
        "stopped",
    )

    def __init__(
        self,
        connection: Connection,
        timers: Timers,
        may_go_on: Callable[[int, bool], bool],
        on_written: Callable[[], None],
    ) -> None:
        self.connection, self.timers = connection, timers
        self.may_go_on, self.on_written = may_go_on, on_written
        self.last_part: memoryview | None = None
        self.begun_at = timers.now()
        self.accepted = self.stopped = False  # accepted: the kernel has taken all but the last byte
        self.delay = FIRST_DELIVERY_CHECK_TICKS
        self.timer = None

    def start(self, parts: tuple[bytes, ...]) -> None:
        """Begin to write; the parts are kept by reference."""
        *first_parts, last = parts
        last = memoryview(last)
        self.last_part = last[-1:]
        if self.connection.write((*first_parts, last[:-1]), self._on_accepted):
            self.accepted = True
        if not self.stopped and not self.connection.closed:
            self._check()

    def stop(self) -> None:
        """Write nothing more; the owner closes the connection, unless all is written."""
        self.stopped = True
        self.timers.cancel(self.timer)
        self.last_part = self.may_go_on = self.on_written = None  # a reference cycle would keep the body

    def _on_accepted(self) -> None:
        self.accepted = True
        if not self.stopped:
            self.timers.cancel(self.timer)
            self._check()

    def _check(self) -> None:
        """Go on or stop; complete the request once nothing before its last byte is on its way."""
        delivered = self.accepted and not self.connection.undelivered_bytes()
        if not self.may_go_on(self.timers.now() - self.begun_at, delivered) or self.stopped:
            return
        if delivered:
            on_written = self.on_written
            if self.connection.write((self.last_part,), on_written):
                on_written()
            return
        delay = WRITING_CHECK_TICKS
        if self.accepted:
            delay, self.delay = self.delay, min(2 * self.delay, MAX_DELIVERY_CHECK_TICKS)
        self.timer = self.timers.set(delay, self._check)
