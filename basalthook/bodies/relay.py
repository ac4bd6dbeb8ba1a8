"""A long answer on its way from a host to a client: in pieces, as they come, at the pace of the slower one.

It begins once the head is there and more than is kept whole has come or is to come. From then on no other hop
is possible; what breaks off is shown to the client as cut short. A client that does not read halts its host's
connection and nothing else; at most one read of the host's is held here.
"""

from ..protocol.http1 import Malformed, Message, Parser
from ..transport.connection import ENDED, Connection, Fault
from ..transport.timers import Timers

STALLED = 10.0  # seconds without a byte from the host, or without one taken by the client


class Relay:
    """`client`: has `write_piece(data) -> bool` (taken at once; if not it calls `go_on`) and
    `relay_finished(whole)`."""

    __slots__ = ("connection", "parser", "timers", "keep", "client", "timer", "ended")

    def __init__(self, connection: Connection, parser: Parser, timers: Timers, keep) -> None:
        """`keep(connection)` takes the host's connection back where it can be used again."""
        self.connection, self.parser, self.timers, self.keep = connection, parser, timers, keep
        self.client, self.timer, self.ended = None, None, False
        connection.pause()  # until somebody takes it

    def begin(self, client) -> None:
        """It is this client's; `go_on` once the head is with it."""
        self.client = client
        self.timer = self.timers.set(int(STALLED * self.timers.second), self.stop)

    def go_on(self) -> None:
        """The client has taken all it was given."""
        if not self.ended and self.hand_on() and not self.ended:
            self.connection.follow(self.took, self.lost)

    def hand_on(self) -> bool:
        """What is here goes on; whether more may come."""
        piece = self.parser.take_body()
        taken = not piece or self.client.write_piece(piece)
        if self.ended:
            return False
        self.timers.cancel(self.timer)
        self.timer = self.timers.set(int(STALLED * self.timers.second), self.stop)
        if taken and self.parser.found is not None:
            self.finish()
        elif not taken:
            self.connection.pause()
        return taken

    def took(self, part, _: int) -> None:
        self.parser.feed(part)
        self.hand_on()

    def lost(self, fault: Fault) -> None:
        if fault.reason == ENDED:
            self.parser.end()
        if self.parser.found is None:
            self.parser.found = Malformed(502, fault.reason)
        self.hand_on()

    def finish(self) -> None:
        found = self.parser.found
        self.end()
        whole = isinstance(found, Message)
        if whole and found.keep and not self.parser.rest:
            self.keep(self.connection)
        else:
            self.connection.close()
        self.client.relay_finished(whole)

    def stop(self) -> None:
        """The client is gone, or one of the two has stalled: nothing more is passed on."""
        if not self.ended:
            self.end()
            self.connection.close()
            if self.client is not None:
                self.client.relay_finished(False)

    def end(self) -> None:
        self.ended = True
        self.timers.cancel(self.timer)
