"""Connections to hosts: kept ones are used again, given up before the host would, and never when in doubt."""

import time
from collections import OrderedDict

from .buffers import BufferPool
from .connection import Connection, ConnectionFailure, Stage
from .descriptors import DescriptorBudget
from .timers import Timers

REUSE_DELAY_S = 0.01  # seconds after an answer before the connection is used again
IDLE_TIMEOUT_FRACTION = (
    0.8  # of the time after which a host closes an idle connection: what is older is not used
)


class HostPool:
    def __init__(
        self, buffers: BufferPool, descriptors: DescriptorBudget, timers: Timers, idle: float, connect: float
    ) -> None:
        self.buffers, self.descriptors, self.timers = buffers, descriptors, timers
        self.idle_timeout = self.connect_timeout = 0.0
        self.idle_connections: OrderedDict[Connection, tuple] = OrderedDict()  # oldest first -> host, until
        self.by_host: dict[tuple, list[Connection]] = {}  # emptied as they are used, end or expire
        self.sweep_timer = None
        self.set_timeouts(idle, connect)
        descriptors.reclaimers.append(self.close_oldest)

    def set_timeouts(self, idle: float, connect: float) -> None:
        """How long a host leaves an idle connection open, and how long a new one may take to come up."""
        while self.idle_timeout > idle * IDLE_TIMEOUT_FRACTION and self.close_oldest():
            pass  # guards against kept ones that hosts now close earlier
        self.idle_timeout, self.connect_timeout = idle * IDLE_TIMEOUT_FRACTION, connect

    def take_idle(self, host: tuple) -> Connection | None:
        """The one used last that has settled, if it is surely still good."""
        now = time.monotonic()
        for connection in reversed(self.by_host.get(host, ())):
            _, usable_until = self.idle_connections[connection]
            if usable_until - self.idle_timeout > now - REUSE_DELAY_S:
                continue  # guards against taking what comes behind its answer for the next one
            self._remove(connection)
            if usable_until > now and connection.is_idle():
                return connection
            connection.close()
        return None

    def open_connection(self, address: tuple, on_connected) -> Connection | ConnectionFailure:
        """A new one, not yet up: `up(None or fault)` is called when it is, or is not to be."""
        if not self.descriptors.ensure_below(self.descriptors.max_open_for_hosts):
            return ConnectionFailure(Stage.UNTRIED, "no descriptor free")
        connection = Connection.for_address(address, self.buffers, self.descriptors)
        if isinstance(connection, ConnectionFailure):
            return connection
        timeout = self.timers.set(
            int(self.connect_timeout * self.timers.ticks_per_second),
            connection.connect_timed_out,
            f"not within {self.connect_timeout:g} s",
        )

        def connected(failure: ConnectionFailure | None) -> None:
            self.timers.cancel(timeout)
            on_connected(failure)

        connection.connect(address, connected)
        return connection

    def release(self, connection: Connection, host: tuple) -> None:
        if connection.closed or not self.idle_timeout:
            return connection.close()
        self.idle_connections[connection] = host, time.monotonic() + self.idle_timeout
        self.by_host.setdefault(host, []).append(connection)
        connection.start_reading(lambda *_: self._discard(connection), lambda _: self._discard(connection))
        if self.sweep_timer is None:
            self.sweep_timer = self.timers.set(
                int(self.idle_timeout * self.timers.ticks_per_second), self._sweep
            )

    def close_idle(self, host: tuple) -> None:
        for connection in list(self.by_host.get(host, ())):
            self._remove(connection)
            connection.close()

    def close_oldest(self) -> bool:
        if not self.idle_connections:
            return False
        connection = next(iter(self.idle_connections))
        self._remove(connection)
        connection.close()
        return True

    def close(self) -> None:
        while self.close_oldest():
            pass
        self.timers.cancel(self.sweep_timer)

    def _remove(self, connection: Connection) -> None:
        host, _ = self.idle_connections.pop(connection)
        connections = self.by_host[host]
        connections.remove(connection)
        if not connections:
            del self.by_host[host]

    def _discard(self, connection: Connection) -> None:
        """Ended, or written to unasked, while idle."""
        if connection in self.idle_connections:
            self._remove(connection)
            connection.close()

    def _sweep(self) -> None:
        now, self.sweep_timer = time.monotonic(), None
        while self.idle_connections and next(iter(self.idle_connections.values()))[1] <= now:
            self.close_oldest()
        if self.idle_connections:
            wait = next(iter(self.idle_connections.values()))[1] - now
            self.sweep_timer = self.timers.set(int(wait * self.timers.ticks_per_second) + 1, self._sweep)
