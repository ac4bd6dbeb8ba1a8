"""Callers of the second address: one call a connection, read before clients, answered at once.

A few places of their own, so that a crowd at the clients' address takes none of them. Who finishes no call
goes after `PATIENCE`, or when its place is needed.
"""

from ..protocol.http1 import Parser, Rejection
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, ConnectionFailure
from ..transport.descriptors import RESERVED_DESCRIPTORS, DescriptorBudget
from ..transport.timers import Timers
from . import calls

MAX_CONNECTIONS = 12  # callers at once; the longest there goes for a new one
REQUEST_TIMEOUT_S = 1.0  # seconds for a whole call, and as many to read its answer
MAX_BODY_BYTES = 4096  # a call needs none


class AdminConnection:
    __slots__ = ("server", "connection", "fd", "parser", "timer", "responded")

    def __init__(self, server: "AdminServer", connection: Connection, fd: int) -> None:
        """`fd`: of its descriptor, which is not known any more once it has ended."""
        self.fd = fd
        self.server, self.connection, self.responded = server, connection, False
        self.parser = Parser(responses=False, max_body=MAX_BODY_BYTES)
        self.timer = server.timers.set(int(REQUEST_TIMEOUT_S * server.timers.ticks_per_second), self.drop)

    def on_data(self, data, _: int) -> None:
        if self.responded:
            return  # what comes behind a call is passed over
        try:
            self.parser.feed(data)
            if self.parser.result is not None:
                self.respond(self.server.reply(self.parser.result))
            elif self.parser.expects_continue:
                self.respond(calls.AdminResponse(417, "no body is wanted"))
        except Exception as error:  # exceptions stop at the connection
            self.server.log("fault", where="console", error=repr(error))
            self.drop()

    def respond(self, reply: calls.AdminResponse) -> None:
        self.responded = True
        if self.connection.write((calls.encode_response(reply),), self._response_written):
            self._response_written()

    def _response_written(self) -> None:
        """The end is told; the peer gets time to read before the connection goes."""
        self.connection.shutdown_write()

    def on_close(self, _: ConnectionFailure) -> None:
        self.drop()

    def drop(self) -> None:
        self.server.timers.cancel(self.timer)
        self.server.connections.pop(self, None)
        self.server.urgent_fds.discard(self.fd)
        self.connection.close()


class AdminServer:
    """`carry_out(call)` gives the Reply."""

    def __init__(self, handle, timers: Timers, buffers: BufferPool, urgent_fds: set[int], log) -> None:
        """`urgent`: descriptors that the loop looks at before all others."""
        self.handle, self.timers, self.buffers, self.urgent_fds, self.log = (
            handle,
            timers,
            buffers,
            urgent_fds,
            log,
        )
        self.descriptors = DescriptorBudget(
            RESERVED_DESCRIPTORS + 2 * MAX_CONNECTIONS
        )  # of their own; the clients' do not know them
        self.connections: dict[
            AdminConnection, None
        ] = {}  # the longest there first; emptied by their end or by time

    def accept(self, sock) -> bool:
        while len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).drop()
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:  # it ended before we could look at it
            sock.close()
            return True
        admin_connection = AdminConnection(self, connection, sock.fileno())
        self.urgent_fds.add(admin_connection.fd)
        self.connections[admin_connection] = None
        connection.start_reading(admin_connection.on_data, admin_connection.on_close)
        return True

    def reply(self, message) -> calls.AdminResponse:
        if isinstance(message, Rejection):
            return calls.rejection_response(message)
        request = calls.parse_request(message)
        reply = self.handle(request) if isinstance(request, calls.AdminRequest) else request
        if not isinstance(request, calls.AdminRequest) or request.action not in calls.READ_ONLY:
            self.log(
                "call", method=message.method, path=message.target[:200], status=reply.status, text=reply.text
            )
        return reply

    def close(self) -> None:
        for admin_connection in list(self.connections):
            admin_connection.drop()
