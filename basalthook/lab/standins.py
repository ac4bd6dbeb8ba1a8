"""Stand-in hosts and discovery for the proxies under test, on loopback sockets; they write the wire record.

Every proxy has its own address at each host and at discovery, so that each link can have its own faults. A
message that a link loses or delays is lost or delayed here, before the host or discovery handles it.
"""

import asyncio
import time
from functools import partial
from random import Random

from . import loopback
from .deadlines import WATCH_SILENCE_S, ProxyView, deemed_known_at
from .discovery import DiscoveryConnection
from .endpoints import HostConnection, HostListener
from .links import Links
from .model import build_machines
from .scenario import Scenario
from .wire import Done, HostOrdered, HostStateSent


class SocketFleet:
    """All hosts of a scenario and their discovery; faults call its methods."""

    def __init__(self, scenario: Scenario, wire: list, clock, seed: int, proxies: int = 1) -> None:
        """`clock()` gives seconds and is shared by all that write the wire record."""
        self.scenario, self.wire, self.clock, self.proxy_count = scenario, wire, clock, proxies
        self.links = Links(seed, proxies, scenario.host_count)
        self.machines, self.zones = build_machines(scenario)
        number_of_hosts = len(self.machines)
        self.host_rngs = [Random(f"host {n} of {seed}") for n in range(number_of_hosts)]
        self.host_connections: list[set[HostConnection]] = [set() for _ in range(number_of_hosts)]
        self.listeners: list[list[HostListener]] = [[] for _ in range(number_of_hosts)]  # by host and proxy
        # active faults of idle connections, by host
        self.idle_faults: list[list] = [[] for _ in range(number_of_hosts)]
        self.answer_faults: list[list] = [
            [] for _ in range(number_of_hosts)
        ]  # active faults of answers, by host
        self.ports = [[0] * proxies for _ in range(number_of_hosts)]
        self.listed_states, self.changed_in_version, self.version = (
            ["up"] * number_of_hosts,
            [1] * number_of_hosts,
            1,
        )
        self.started_ms = [0] * number_of_hosts
        # each removes itself when it is answered or ends
        self.pending_watches: set[DiscoveryConnection] = set()
        # all connections to discovery; each removes itself when it ends
        self.discovery_connections: set[DiscoveryConnection] = set()
        self.watches_to_silence = [0] * proxies  # how many of each proxy's next connections are silent
        self.last_call_at = [0.0] * proxies
        self.last_call_failed = [False] * proxies  # the last call of each proxy was refused or broke
        # when the discovery address of each proxy changed, until the new one has answered
        self.discovery_moved_at: list[float | None] = [None] * proxies
        self.discovery_delay = 0.0  # seconds until discovery reads a call
        self.discovery_failure = ""  # how discovery fails at present: "refuses", "down" or ""
        self.list_fault = ""  # the current fault of lists: "spoilt", "ends", "whole" or ""
        self.lists_valid_since = -WATCH_SILENCE_S  # when the last fault of corrupt lists ended
        self.changed_at = [0.0] * number_of_hosts
        # changes that would have counted as known while lists were corrupt: (proxy, host, state)
        self.deferred_changes: list[tuple[int, int, str]] = []
        self.discovery_reachable_since = 0.0  # since when discovery has worked
        # changes made while discovery failed: (host, state); emptied when it works again
        self.unpublished_changes: list[tuple[int, str]] = []
        self.console: tuple[str, int] | None = None  # address of the proxy's console
        self.background_tasks: set[asyncio.Task] = set()  # each removes itself when it ends

    async def open(self) -> None:
        for host in range(len(self.machines)):
            await self.listen(host)
        self.discovery_servers, self.discovery_addresses = [], [""] * self.proxy_count
        for proxy in range(self.proxy_count):
            await self.open_discovery(proxy)

    async def open_discovery(self, proxy: int) -> None:
        """Opens a new discovery address for this proxy; earlier ones keep serving."""
        listener = await asyncio.get_running_loop().create_server(
            partial(DiscoveryConnection, self, proxy), loopback.ADDRESS, 0
        )
        self.discovery_servers.append(listener)
        self.discovery_addresses[proxy] = f"{loopback.ADDRESS}:{listener.sockets[0].getsockname()[1]}"

    async def listen(self, host: int) -> None:
        for proxy, port in enumerate(self.ports[host]):
            listener = HostListener(self, host, proxy, port)
            self.listeners[host].append(listener)
            self.ports[host][proxy] = listener.port

    def fill_backlogs(self, host: int) -> None:
        """From now on new connections to the host are delayed by dropped SYNs."""
        for listener in self.listeners[host]:
            listener.fill_backlog()

    def reopen_backlogs(self, host: int) -> None:
        for listener in self.listeners[host]:
            listener.reopen_backlog()

    def is_listening(self, host: int) -> bool:
        return bool(self.listeners[host])

    def stop_listening(self, host: int) -> None:
        for listener in self.listeners[host]:
            listener.close()
        self.listeners[host] = []

    def deliver(self, source: str, target: str, call, *args) -> None:
        """Calls `call(*args)` when the message has passed the link; never if the link loses it."""
        delay = self.links.message_delay(source, target)
        if delay == 0:
            call(*args)
        elif delay is not None:
            asyncio.get_running_loop().call_later(delay, call, *args)

    def close(self) -> None:
        for host in range(len(self.machines)):
            self.stop_listening(host)
        for listener in self.discovery_servers:
            listener.close()
        for connection in [
            connection for connections in self.host_connections for connection in connections
        ] + list(self.discovery_connections):
            connection.transport.abort()

    def host_list(self, hosts, full: bool, proxy: int = 0) -> dict:
        """The answer of discovery to a proxy: these hosts, as the full list or as changes."""
        omitted_states = ("removed", "draining") if self.list_fault == "whole" else ("removed",)
        entries = [
            {
                "id": f"host-{host}",
                "addr": f"{loopback.ADDRESS}:{self.ports[host][proxy]}",
                "zone": self.zones[host],
                "cell": 0,
                "state": self.listed_states[host],
                "weight": self.machines[host].cores * self.machines[host].speed,
                "started_ms": self.started_ms[host],
            }
            for host in hosts
            if not (full and self.listed_states[host] in omitted_states)
        ]
        return {"version": self.version, "full": full, "servers": entries}

    def note_attempt_done(self, host: int, tx: str) -> None:
        """Records the end of an attempt, in scenarios with fleet limits."""
        if self.scenario.fleet is not None and self.scenario.fleet.limits:
            self.wire.append(Done(self.clock(), host, tx))

    def note_proxy_started(self, proxy: int) -> None:
        """Records a new process of this proxy, which knows only the host list of its start-up file."""
        self.last_call_at[proxy], self.last_call_failed[proxy], self.discovery_moved_at[proxy] = (
            self.clock(),
            False,
            None,
        )
        self.wire += [
            HostStateSent(self.clock(), host, state, proxy) for host, state in enumerate(self.listed_states)
        ]

    # ---- called by faults

    def list_as(self, host: int, state: str) -> None:
        """Lists a host as "up", "draining" or "removed", after the delay of discovery."""
        asyncio.get_running_loop().call_later(self.scenario.discovery.notice, self.change_state, host, state)

    def change_state(self, host: int, state: str) -> None:
        self.version += 1
        self.listed_states[host], self.changed_in_version[host] = state, self.version
        self.changed_at[host] = self.clock()
        if self.discovery_failure:
            self.unpublished_changes.append((host, state))
            return
        for proxy in range(self.proxy_count):
            self.schedule_deemed_known(proxy, host, state)
        for watch in list(self.pending_watches):
            if self.list_fault == "ends":
                watch.transport.close()
            else:
                watch.send_list(watch.watched_version)

    def fail_discovery(self, how: str) -> None:
        """Discovery answers every call with 503 ("refuses") or aborts every connection ("down")."""
        self.discovery_failure = how
        for connection in list(self.discovery_connections):
            connection.cancel_watch()
            if how == "refuses":
                connection.refuse()
            else:
                connection.transport.abort()
        if how == "down":
            self.last_call_failed = [True] * self.proxy_count

    def restore_discovery(self) -> None:
        self.discovery_failure, self.discovery_reachable_since = "", self.clock()
        changes, self.unpublished_changes = self.unpublished_changes, []
        for host, state in changes:
            for proxy in range(self.proxy_count):
                self.schedule_deemed_known(proxy, host, state)

    def schedule_deemed_known(self, proxy: int, host: int, state: str) -> None:
        """A change counts as known to the proxy after some time, even if it does not arrive."""
        now, connections = (
            self.clock(),
            [connection for connection in self.discovery_connections if connection.proxy == proxy],
        )
        silent = tuple(
            connection.silent_deadline() for connection in connections if connection.silent_since is not None
        )
        list_lost = self.list_fault in ("spoilt", "ends")  # no valid change is written
        view = ProxyView(
            len(connections) > len(silent) and not self.last_call_failed[proxy] and not list_lost,
            silent,
            self.last_call_at[proxy],
            self.last_call_failed[proxy] or list_lost,
            self.discovery_moved_at[proxy],
        )
        discovery_config = self.scenario.discovery
        known_at = deemed_known_at(
            now,
            self.discovery_reachable_since,
            view,
            discovery_config.mode == "pushed",
            discovery_config.ask_within,
        )
        if known_at is not None:
            asyncio.get_running_loop().call_later(
                max(0.0, known_at - now), self.note_state_known, proxy, host, state
            )

    def note_state_known(self, proxy: int, host: int, state: str) -> None:
        """Records that the proxy counts as knowing a state, unless it changed or lists are corrupt."""
        if self.listed_states[host] != state:  # changed again since
            return
        valid_for = self.clock() - self.lists_valid_since
        if self.list_fault == "spoilt":
            self.deferred_changes.append((proxy, host, state))
        elif self.changed_at[host] < self.lists_valid_since and valid_for < WATCH_SILENCE_S:
            wait = WATCH_SILENCE_S - valid_for
            asyncio.get_running_loop().call_later(wait, self.note_state_known, proxy, host, state)
        else:
            self.wire.append(HostStateSent(self.clock(), host, state, proxy))

    def end_list_fault(self) -> None:
        """Ends the list fault; changes missed through corrupt lists count as known WATCH_SILENCE_S later."""
        if self.list_fault == "spoilt":
            self.lists_valid_since = self.clock()
        self.list_fault, deferred, self.deferred_changes = "", self.deferred_changes, []
        for proxy, host, state in deferred:
            self.note_state_known(proxy, host, state)

    def fail_watches(self, silent: bool, silent_count: int) -> None:
        """Silences or aborts all discovery connections; the next `silent_count` of each proxy are silent."""
        self.watches_to_silence = [silent_count] * self.proxy_count
        for connection in list(self.discovery_connections):
            connection.cancel_watch()
            if silent:
                connection.silent_since = self.clock()
            else:
                connection.transport.abort()

    def order_host(self, host: int, out: bool) -> None:
        """An operator disables (`out`) or enables a host; recorded when the proxy has confirmed it."""
        call = asyncio.get_running_loop().create_task(self.send_order(host, out))
        self.background_tasks.add(call)
        call.add_done_callback(self.background_tasks.discard)

    async def send_order(self, host: int, out: bool) -> None:
        reader, writer = await asyncio.open_connection(*self.console)
        action = "disable" if out else "enable"
        writer.write(f"PUT /-/hosts/host-{host}/{action} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
        if line.split(b" ")[1:2] == [b"200"]:
            self.wire.append(HostOrdered(self.clock(), host, out))

    def restart(self, host: int) -> None:
        """Replaces the host's process; all connections to the old one are aborted."""
        self.machines[host].start(self.clock())
        self.note_attempt_done(host, "")
        self.started_ms[host] = int(time.time() * 1000)
        for connection in list(self.host_connections[host]):
            connection.transport.abort()
        self.list_as(host, "up")

    def kill(self, host: int) -> None:
        """Ends the host's process: it stops listening, and its connections are aborted."""
        self.stop_listening(host)
        self.machines[host].start(self.clock())  # drops the work in progress
        self.note_attempt_done(host, "")
        for connection in list(self.host_connections[host]):
            connection.transport.abort()
        self.list_as(host, "removed")

    def start_host(self, host: int) -> None:
        """Starts a new, cold process of a killed host."""
        self.machines[host].start(self.clock())
        self.started_ms[host] = int(time.time() * 1000)
        self.listen_task = asyncio.get_running_loop().create_task(self.listen(host))
        self.list_as(host, "up")
