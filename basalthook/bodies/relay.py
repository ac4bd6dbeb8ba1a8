"""A long answer on its way from a host to a client: in pieces, as they come, at the pace of the slower one.

It begins once the head is there and more than is kept whole has come or is to come. From then on no other hop
is possible; what breaks off is shown to the client as cut short. A client that does not read halts its host's
connection and nothing else; at most one read of the host's is held here.
"""

from ..protocol.http1 import Message, Parser, Rejection
from ..transport.connection import PEER_CLOSED, Connection, ConnectionFailure
from ..transport.timers import Timers

STALL_TIMEOUT_S = 10.0  # seconds without a byte from the host, or without one taken by the client


class ResponseForwarder:
    """`client`: has `piece(data) -> bool` (taken at once; if not it calls `go_on`) and `over(whole)`."""

    __slots__ = ("connection", "parser", "timers", "release", "client", "timer", "ended")

    def __init__(self, connection: Connection, parser: Parser, timers: Timers, release) -> None:
        """`keep(connection)` takes the host's connection back where it can be used again."""
        self.connection, self.parser, self.timers, self.release = connection, parser, timers, release
        self.client, self.timer, self.ended = None, None, False
        connection.pause_reading()  # until somebody takes it

    def start(self, client) -> None:
        """It is this client's; `go_on` once the head is with it."""
        self.client = client
        self.timer = self.timers.set(int(STALL_TIMEOUT_S * self.timers.ticks_per_second), self.stop)

    def resume(self) -> None:
        """The client has taken all it was given."""
        if not self.ended and self._forward() and not self.ended:
            self.connection.start_reading(self.on_data, self.on_close)

    def _forward(self) -> bool:
        """What is here goes on; whether more may come."""
        data = self.parser.take_body()
        taken = not data or self.client.piece(data)
        if self.ended:
            return False
        self.timers.cancel(self.timer)
        self.timer = self.timers.set(int(STALL_TIMEOUT_S * self.timers.ticks_per_second), self.stop)
        if taken and self.parser.result is not None:
            self._finish()
        elif not taken:
            self.connection.pause_reading()
        return taken

    def on_data(self, part, _: int) -> None:
        self.parser.feed(part)
        self._forward()

    def on_close(self, fault: ConnectionFailure) -> None:
        if fault.reason == PEER_CLOSED:
            self.parser.feed_eof()
        if self.parser.result is None:
            self.parser.result = Rejection(502, fault.reason)
        self._forward()

    def _finish(self) -> None:
        found = self.parser.result
        self._mark_ended()
        whole = isinstance(found, Message)
        if whole and found.keep_alive and not self.parser.unparsed:
            self.release(self.connection)
        else:
            self.connection.close()
        self.client.over(whole)

    def stop(self) -> None:
        """The client is gone, or one of the two has stalled: nothing more is passed on."""
        if not self.ended:
            self._mark_ended()
            self.connection.close()
            if self.client is not None:
                self.client.over(False)

    def _mark_ended(self) -> None:
        self.ended = True
        self.timers.cancel(self.timer)
