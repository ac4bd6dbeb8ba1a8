"""The pool of keep-alive connections to hosts.

Idle connections are reused, and closed before the host would close them; one in a doubtful state is not
reused.
"""

import time
from collections import Counter, OrderedDict
from typing import NamedTuple

from .buffers import BufferPool
from .connection import Connection, ConnectionFailure, Stage
from .descriptors import DescriptorBudget
from .timers import Timers

REUSE_DELAY_S = 0.01  # between a response, acknowledged, and the next use of its connection
# longest delay of an acknowledgement that the system can't be told to send at once (RFC 1122, 4.2.3.2)
MAX_ACKNOWLEDGEMENT_DELAY_S = 0.5
# of the time after which a host closes an idle connection; connections idle for longer are not used
IDLE_TIMEOUT_FRACTION = 0.8

# why an idle connection was closed early; keys of `HostPool.early_closes`
CLOSED_BY_HOST, UNEXPECTED_BYTES = "closed by the host", "unexpected bytes"


class IdleConnection(NamedTuple):
    """An idle connection's place in the pool; times in seconds of the monotonic clock."""

    pool_key: tuple
    usable_from: float  # until then, stray bytes behind its last response may still arrive
    usable_until: float  # later, the host may be about to close it


class HostPool:
    """Opens connections to hosts and keeps the idle ones for reuse, by the pool key of their host."""

    def __init__(
        self,
        buffers: BufferPool,
        descriptors: DescriptorBudget,
        timers: Timers,
        host_idle_timeout: float,
        connect_timeout: float,
    ) -> None:
        """The timeouts are those of `set_timeouts`, in seconds."""
        self.buffers, self.descriptors, self.timers = buffers, descriptors, timers
        self.idle_timeout = self.connect_timeout = 0.0
        self.idle_connections: OrderedDict[Connection, IdleConnection] = OrderedDict()  # oldest first
        self.by_host: dict[tuple, list[Connection]] = {}  # removed when used, closed or expired
        self.early_closes: Counter[str] = Counter()  # by reason, since the start of the process
        self.sweep_timer = None
        self.set_timeouts(host_idle_timeout, connect_timeout)
        descriptors.reclaimers.append(self.close_oldest)

    def set_timeouts(self, host_idle_timeout: float, connect_timeout: float) -> None:
        """Set how long hosts keep idle connections open and how long connecting may take, both in seconds."""
        while self.idle_timeout > host_idle_timeout * IDLE_TIMEOUT_FRACTION and self.close_oldest():
            pass  # hosts now close idle connections earlier than those were pooled for
        self.idle_timeout, self.connect_timeout = host_idle_timeout * IDLE_TIMEOUT_FRACTION, connect_timeout

    def take_idle(self, pool_key: tuple) -> Connection | None:
        """Return the most recently used idle connection to the host that is safe to reuse, or None."""
        now = time.monotonic()
        for connection in reversed(self.by_host.get(pool_key, ())):
            idle = self.idle_connections[connection]
            if now < idle.usable_from:
                continue  # stray bytes after its last response would be taken for the next one
            self._remove(connection)
            unread = connection.peek()
            if unread is None and idle.usable_until > now:
                return connection
            if unread is not None:
                self.early_closes[UNEXPECTED_BYTES if unread else CLOSED_BY_HOST] += 1
            connection.close()
        return None

    def open_connection(self, address: tuple, on_connected) -> Connection | ConnectionFailure:
        """Start a new connection; `on_connected` is called with None or with a ConnectionFailure.

        Returns a ConnectionFailure instead if no descriptor or socket is available.
        """
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

    def release(self, connection: Connection, pool_key: tuple) -> None:
        """Keep a connection that is no longer in use, until it is reused, closed or expired."""
        if connection.closed or not self.idle_timeout:
            return connection.close()
        if connection.usage is not None:
            connection.set_bulk(None)
        now = time.monotonic()
        # what the host holds back until the acknowledgement arrives a round trip after it
        reuse_delay = REUSE_DELAY_S + connection.round_trip_ns / 1e9
        if not connection.acknowledge():
            reuse_delay += MAX_ACKNOWLEDGEMENT_DELAY_S
        self.idle_connections[connection] = IdleConnection(
            pool_key, now + reuse_delay, now + self.idle_timeout
        )
        self.by_host.setdefault(pool_key, []).append(connection)
        connection.start_reading(
            lambda *_: self._discard(connection, UNEXPECTED_BYTES),
            lambda _: self._discard(connection, CLOSED_BY_HOST),
        )
        if self.sweep_timer is None:
            self.sweep_timer = self.timers.set(
                int(self.idle_timeout * self.timers.ticks_per_second), self._sweep
            )

    def close_idle(self, pool_key: tuple) -> None:
        """Close all idle connections to a host."""
        for connection in list(self.by_host.get(pool_key, ())):
            self._remove(connection)
            connection.close()

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; return False if there is none."""
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
        pool_key = self.idle_connections.pop(connection).pool_key
        connections = self.by_host[pool_key]
        connections.remove(connection)
        if not connections:
            del self.by_host[pool_key]

    def _discard(self, connection: Connection, reason: str) -> None:
        """Close an idle connection that the peer has closed or sent unexpected bytes on."""
        if connection in self.idle_connections:
            self._remove(connection)
            self.early_closes[reason] += 1
            connection.close()

    def _sweep(self) -> None:
        now, self.sweep_timer = time.monotonic(), None
        while self.idle_connections and next(iter(self.idle_connections.values())).usable_until <= now:
            self.close_oldest()
        if self.idle_connections:
            wait = next(iter(self.idle_connections.values())).usable_until - now
            self.sweep_timer = self.timers.set(int(wait * self.timers.ticks_per_second) + 1, self._sweep)
