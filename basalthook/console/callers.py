"""Callers of the second address: one call a connection, read before clients, answered at once.

A few places of their own, so that a crowd at the clients' address takes none of them. Who finishes no call
goes after `PATIENCE`, or when its place is needed.
"""

from ..protocol.http1 import Malformed, Parser
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, Fault
from ..transport.descriptors import RESERVE, Descriptors
from ..transport.timers import Timers
from . import calls

PLACES = 12  # callers at once; the longest there goes for a new one
PATIENCE = 1.0  # seconds for a whole call, and as many to read its answer
BODY_MOST = 4096  # a call needs none


class Caller:
    __slots__ = ("callers", "connection", "number", "parser", "timer", "answered")

    def __init__(self, callers: "Callers", connection: Connection, number: int) -> None:
        """`number`: of its descriptor, which is not known any more once it has ended."""
        self.number = number
        self.callers, self.connection, self.answered = callers, connection, False
        self.parser = Parser(responses=False, body_most=BODY_MOST)
        self.timer = callers.timers.set(int(PATIENCE * callers.timers.second), self.drop)

    def took(self, part, _: int) -> None:
        if self.answered:
            return  # what comes behind a call is passed over
        try:
            self.parser.feed(part)
            if self.parser.found is not None:
                self.answer(self.callers.reply(self.parser.found))
            elif self.parser.awaits_body:
                self.answer(calls.Reply(417, "no body is wanted"))
        except Exception as fault:  # exceptions stop at the connection
            self.callers.log_event("fault", where="console", error=repr(fault))
            self.drop()

    def answer(self, reply: calls.Reply) -> None:
        self.answered = True
        if self.connection.write((calls.worded(reply),), self.told):
            self.told()

    def told(self) -> None:
        """The end is told; the peer gets time to read before the connection goes."""
        self.connection.end_sending()

    def ended(self, _: Fault) -> None:
        self.drop()

    def drop(self) -> None:
        self.callers.timers.cancel(self.timer)
        self.callers.open.pop(self, None)
        self.callers.urgent.discard(self.number)
        self.connection.close()


class Callers:
    """`carry_out(call)` gives the Reply."""

    def __init__(self, carry_out, timers: Timers, buffers: BufferPool, urgent: set[int], log_event) -> None:
        """`urgent`: descriptors that the loop looks at before all others."""
        self.carry_out, self.timers, self.buffers, self.urgent, self.log_event = (
            carry_out,
            timers,
            buffers,
            urgent,
            log_event,
        )
        self.descriptors = Descriptors(RESERVE + 2 * PLACES)  # of their own; the clients' do not know them
        self.open: dict[Caller, None] = {}  # the longest there first; emptied by their end or by time

    def take(self, sock) -> bool:
        while len(self.open) >= PLACES:
            next(iter(self.open)).drop()
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:  # it ended before we could look at it
            sock.close()
            return True
        caller = Caller(self, connection, sock.fileno())
        self.urgent.add(caller.number)
        self.open[caller] = None
        connection.follow(caller.took, caller.ended)
        return True

    def reply(self, found) -> calls.Reply:
        if isinstance(found, Malformed):
            return calls.refused(found)
        call = calls.read(found)
        reply = self.carry_out(call) if isinstance(call, calls.Call) else call
        if not isinstance(call, calls.Call) or call.what not in calls.READ_ONLY:
            self.log_event(
                "call", method=found.method, path=found.target[:200], status=reply.status, text=reply.text
            )
        return reply

    def close(self) -> None:
        for caller in list(self.open):
            caller.drop()
