"""The server at the admin address: one request per connection, handled before client connections.

It has a few descriptors of its own, which client connections can't use up. A connection that does not
complete a request is closed after `REQUEST_TIMEOUT_S`, or earlier if a new one needs its place.
"""

from ..protocol.http1 import Parser, Rejection
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, ConnectionFailure
from ..transport.descriptors import RESERVED_DESCRIPTORS, DescriptorBudget
from ..transport.timers import Timers
from . import admin_api

MAX_CONNECTIONS = 12  # at once; the oldest one is closed for a new one
REQUEST_TIMEOUT_S = 1.0  # for the whole request and the reading of its response
MAX_BODY_BYTES = 4096  # no request needs a body


class AdminConnection:
    """One connection to the admin address; it carries a single request."""

    __slots__ = ("server", "connection", "fd", "parser", "timer", "responded")

    def __init__(self, server: "AdminServer", connection: Connection, fd: int) -> None:
        """`fd`: the socket's descriptor, which can't be read from a closed socket."""
        self.fd = fd
        self.server, self.connection, self.responded = server, connection, False
        self.parser = Parser(responses=False, max_body=MAX_BODY_BYTES)
        self.timer = server.timers.set(int(REQUEST_TIMEOUT_S * server.timers.ticks_per_second), self.drop)

    def on_data(self, data, _: int) -> None:
        if self.responded:
            return  # bytes after the request are ignored
        try:
            self.parser.feed(data)
            if self.parser.result is not None:
                self.respond(self.server.handle_message(self.parser.result))
            elif self.parser.expects_continue:
                self.respond(admin_api.AdminResponse(417, "no body is wanted"))
        except Exception as error:  # must affect this connection only
            self.server.log_event("fault", where="console", error=repr(error))
            self.drop()

    def respond(self, response: admin_api.AdminResponse) -> None:
        self.responded = True
        if self.connection.write((admin_api.encode_response(response),), self._response_written):
            self._response_written()

    def _response_written(self) -> None:
        """Send an end of stream; the peer has until the timer is due to read the response."""
        self.connection.shutdown_write()

    def on_close(self, _: ConnectionFailure) -> None:
        self.drop()

    def drop(self) -> None:
        """Close the connection and forget it."""
        self.server.timers.cancel(self.timer)
        self.server.connections.pop(self, None)
        self.server.urgent_fds.discard(self.fd)
        self.connection.close()


class AdminServer:
    """Accepts admin connections; `handle(request)` returns the AdminResponse to a valid request."""

    def __init__(self, handle, timers: Timers, buffers: BufferPool, urgent_fds: set[int], log_event) -> None:
        """`urgent_fds`: descriptors that the event loop handles before all others."""
        self.handle, self.timers, self.buffers, self.urgent_fds, self.log_event = (
            handle,
            timers,
            buffers,
            urgent_fds,
            log_event,
        )
        # separate from the budget for clients and hosts
        self.descriptors = DescriptorBudget(RESERVED_DESCRIPTORS + 2 * MAX_CONNECTIONS)
        # the oldest first; removed when closed, at the latest by the timeout
        self.connections: dict[AdminConnection, None] = {}

    def accept(self, sock) -> bool:
        """Take a new connection, closing the oldest one if there are too many. Always returns True."""
        while len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).drop()
        try:
            connection = Connection(sock, self.buffers, self.descriptors)
        except OSError:  # closed by the peer already
            sock.close()
            return True
        admin_connection = AdminConnection(self, connection, sock.fileno())
        self.urgent_fds.add(admin_connection.fd)
        self.connections[admin_connection] = None
        connection.start_reading(admin_connection.on_data, admin_connection.on_close)
        return True

    def handle_message(self, message) -> admin_api.AdminResponse:
        """Handle a parsed message; requests that are not read-only, and bad ones, are logged."""
        if isinstance(message, Rejection):
            return admin_api.rejection_response(message)
        request = admin_api.parse_request(message)
        response = self.handle(request) if isinstance(request, admin_api.AdminRequest) else request
        if not isinstance(request, admin_api.AdminRequest) or request.action not in admin_api.READ_ONLY:
            self.log_event(
                "call",
                method=message.method,
                path=message.target[:200],
                status=response.status,
                text=response.text,
            )
        return response

    def close(self) -> None:
        for admin_connection in list(self.connections):
            admin_connection.drop()
