"""Connections to hosts: kept ones are used again, given up before the host would, and never when in doubt."""

import time
from collections import OrderedDict

from .buffers import BufferPool
from .connection import Connection, Fault, Stage
from .descriptors import Descriptors
from .timers import Timers

SETTLE = 0.01  # seconds after an answer before the connection is used again
MARGIN = 0.8  # of the time after which a host closes an idle connection: what is older is not used


class HostPool:
    def __init__(
        self, buffers: BufferPool, descriptors: Descriptors, timers: Timers, idle: float, connect: float
    ) -> None:
        self.buffers, self.descriptors, self.timers = buffers, descriptors, timers
        self.idle = self.patience = 0.0
        self.kept: OrderedDict[Connection, tuple] = OrderedDict()  # oldest first -> host, until
        self.by_host: dict[tuple, list[Connection]] = {}  # emptied as they are used, end or expire
        self.sweeping = None
        self.times(idle, connect)
        descriptors.givers.append(self.give_up_oldest)

    def times(self, idle: float, connect: float) -> None:
        """How long a host leaves an idle connection open, and how long a new one may take to come up."""
        while self.idle > idle * MARGIN and self.give_up_oldest():
            pass  # guards against kept ones that hosts now close earlier
        self.idle, self.patience = idle * MARGIN, connect

    def kept_one(self, host: tuple) -> Connection | None:
        """The one used last that has settled, if it is surely still good."""
        now = time.monotonic()
        for connection in reversed(self.by_host.get(host, ())):
            _, until = self.kept[connection]
            if until - self.idle > now - SETTLE:
                continue  # guards against taking what comes behind its answer for the next one
            self._drop(connection)
            if until > now and connection.quiet():
                return connection
            connection.close()
        return None

    def fresh(self, address: tuple, up) -> Connection | Fault:
        """A new one, not yet up: `up(None or fault)` is called when it is, or is not to be."""
        if not self.descriptors.room(self.descriptors.most_for_hosts):
            return Fault(Stage.UNTRIED, "no descriptor free")
        connection = Connection.towards(address, self.buffers, self.descriptors)
        if isinstance(connection, Fault):
            return connection
        late = self.timers.set(
            int(self.patience * self.timers.second), connection.give_up, f"not within {self.patience:g} s"
        )

        def come(fault: Fault | None) -> None:
            self.timers.cancel(late)
            up(fault)

        connection.connect(address, come)
        return connection

    def keep(self, connection: Connection, host: tuple) -> None:
        if connection.closed or not self.idle:
            return connection.close()
        self.kept[connection] = host, time.monotonic() + self.idle
        self.by_host.setdefault(host, []).append(connection)
        connection.follow(lambda *_: self._stirred(connection), lambda _: self._stirred(connection))
        if self.sweeping is None:
            self.sweeping = self.timers.set(int(self.idle * self.timers.second), self._sweep)

    def close_idle(self, host: tuple) -> None:
        for connection in list(self.by_host.get(host, ())):
            self._drop(connection)
            connection.close()

    def give_up_oldest(self) -> bool:
        if not self.kept:
            return False
        connection = next(iter(self.kept))
        self._drop(connection)
        connection.close()
        return True

    def close(self) -> None:
        while self.give_up_oldest():
            pass
        self.timers.cancel(self.sweeping)

    def _drop(self, connection: Connection) -> None:
        host, _ = self.kept.pop(connection)
        stack = self.by_host[host]
        stack.remove(connection)
        if not stack:
            del self.by_host[host]

    def _stirred(self, connection: Connection) -> None:
        """Ended, or written to unasked, while idle."""
        if connection in self.kept:
            self._drop(connection)
            connection.close()

    def _sweep(self) -> None:
        now, self.sweeping = time.monotonic(), None
        while self.kept and next(iter(self.kept.values()))[1] <= now:
            self.give_up_oldest()
        if self.kept:
            wait = next(iter(self.kept.values()))[1] - now
            self.sweeping = self.timers.set(int(wait * self.timers.second) + 1, self._sweep)
