"""Forwarding of a long response from a host to a client, piece by piece, with backpressure.

Forwarding starts once the head has arrived and the body exceeds, or will exceed, what is collected whole.
From then on no other attempt is possible, and a response that breaks off is cut short at the client as
well. A client that does not read stops reading from its host's connection and no other; at most one read
of the host's is buffered.
"""

from ..protocol.http1 import Message, Parser, Rejection
from ..transport.connection import PEER_CLOSED, Connection, ConnectionFailure
from ..transport.timers import Timers

STALL_TIMEOUT_S = 10.0  # without a byte from the host, or without one accepted by the client


class ResponseForwarder:
    """Forwards the response that `parser` reads from `connection` to a client.

    Until a client has taken it with `start`, it belongs to whoever handles the attempt's result, who calls
    `stop_unless_taken` in the end. The client has two methods. `write_piece(data)` returns whether the kernel
    has accepted all of the data; if not, the client calls `resume` once it has.
    `forwarding_finished(complete)` is called once, at the end.
    """

    __slots__ = ("connection", "parser", "timers", "release", "client", "timer", "ended")

    def __init__(self, connection: Connection, parser: Parser, timers: Timers, release) -> None:
        """`release(connection)` returns the host's connection to the pool, if it can be reused."""
        self.connection, self.parser, self.timers, self.release = connection, parser, timers, release
        self.client, self.timer, self.ended = None, None, False
        connection.pause_reading()  # until a client is known

    def start(self, client) -> None:
        """Set the client; it calls `resume` once the response head is written."""
        self.client = client
        self.timer = self.timers.set(int(STALL_TIMEOUT_S * self.timers.ticks_per_second), self.stop)

    def resume(self) -> None:
        """Go on after the client has accepted everything written so far."""
        if not self.ended and self._forward() and not self.ended:
            self.connection.start_reading(self.on_data, self.on_close)

    def _forward(self) -> bool:
        """Forward what has been parsed; return whether the client can accept more."""
        data = self.parser.take_body()
        accepted = not data or self.client.write_piece(data)
        if self.ended:
            return False
        self.timers.cancel(self.timer)
        self.timer = self.timers.set(int(STALL_TIMEOUT_S * self.timers.ticks_per_second), self.stop)
        if accepted and self.parser.result is not None:
            self._finish()
        elif not accepted:
            self.connection.pause_reading()
        return accepted

    def on_data(self, data, _: int) -> None:
        """Handle bytes from the host's connection."""
        self.parser.feed(data)
        self._forward()

    def on_close(self, failure: ConnectionFailure) -> None:
        """Handle the end of the host's connection."""
        if failure.reason == PEER_CLOSED:
            self.parser.feed_eof()
        if self.parser.result is None:
            self.parser.result = Rejection(502, failure.reason)
        self._forward()

    def _finish(self) -> None:
        result = self.parser.result
        self._mark_ended()
        complete = isinstance(result, Message)
        if complete and result.keep_alive and not self.parser.unparsed:
            self.release(self.connection)
        else:
            self.connection.close()
        self.client.forwarding_finished(complete)

    def stop(self) -> None:
        """Stop forwarding, as the client has gone or one side has stalled."""
        if not self.ended:
            self._mark_ended()
            self.connection.close()
            if self.client is not None:
                self.client.forwarding_finished(False)

    def stop_unless_taken(self) -> None:
        """Stop forwarding if there is no client: nobody else would return the connection."""
        if self.client is None:
            self.stop()

    def _mark_ended(self) -> None:
        self.ended = True
        self.timers.cancel(self.timer)
