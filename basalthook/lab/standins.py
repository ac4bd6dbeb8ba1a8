"""Endpoints and discovery for the proxies under test, on loopback sockets; they note what crossed the wire.

Every proxy has an end of its own at each host and at discovery, so that each way can be told from all others
and faults can lie on it: what a way loses or holds up is lost or held up here, before the host sees it.
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


class Fleet:
    """All hosts of a scenario and their discovery; faults act on it."""

    def __init__(self, scenario: Scenario, wire: list, clock, seed: int, proxies: int = 1) -> None:
        """`clock()`: seconds, the same for all that note what crossed. Each host has a chance of its own."""
        self.scenario, self.wire, self.clock, self.proxy_count = scenario, wire, clock, proxies
        self.links = Links(seed, proxies, scenario.host_count)
        self.machines, self.zones = build_machines(scenario)
        number_of_hosts = len(self.machines)
        self.host_rngs = [Random(f"host {n} of {seed}") for n in range(number_of_hosts)]
        self.host_connections: list[set[HostConnection]] = [set() for _ in range(number_of_hosts)]
        self.listeners: list[list[HostListener]] = [[] for _ in range(number_of_hosts)]  # by host and proxy
        self.idle_faults: list[list] = [
            [] for _ in range(number_of_hosts)
        ]  # faults of idle connections, by host
        self.answer_faults: list[list] = [[] for _ in range(number_of_hosts)]  # faults of answers, by host
        self.ports = [[0] * proxies for _ in range(number_of_hosts)]
        self.states, self.changed_in_version, self.version = (
            ["up"] * number_of_hosts,
            [1] * number_of_hosts,
            1,
        )
        self.started_ms = [0] * number_of_hosts
        self.pending_watches: set[DiscoveryConnection] = set()  # emptied as they are answered or end
        self.discovery_connections: set[DiscoveryConnection] = (
            set()
        )  # connections to discovery, emptied as they end
        self.watches_to_silence = [0] * proxies  # so many of the next of each are silent
        self.last_call_at = [0.0] * proxies
        self.last_call_failed = [False] * proxies  # the last call of each was refused, or could not be made
        self.discovery_moved_at: list[float | None] = [
            None
        ] * proxies  # when its discovery moved, until that one answers
        self.discovery_delay = 0.0  # seconds until discovery looks at a call
        self.discovery_failure = ""  # how discovery fails at present
        self.list_fault = ""  # how its lists are not as usual
        self.lists_sound_since = -WATCH_SILENCE_S  # when lists were last sound again
        self.changed_at = [0.0] * number_of_hosts
        self.deferred_changes: list[
            tuple[int, int, str]
        ] = []  # what would have counted while they were not sound
        self.discovery_reachable_since = 0.0  # since when it has worked
        self.unpublished_changes: list[
            tuple[int, str]
        ] = []  # changes made while it failed; emptied when it works
        self.console: tuple[str, int] | None = None  # the proxy's second address
        self.background_tasks: set[asyncio.Task] = set()  # of the staff, emptied as they are answered

    async def open(self) -> None:
        for host in range(len(self.machines)):
            await self.listen(host)
        self.discovery_servers, self.discovery_addresses = [], [""] * self.proxy_count
        for proxy in range(self.proxy_count):
            await self.open_discovery(proxy)

    async def open_discovery(self, proxy: int) -> None:
        """Another address of discovery for this proxy; those before it go on serving."""
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
        """A message on its way, if it comes through."""
        delay = self.links.stream(source, target)
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
        omitted_states = ("removed", "draining") if self.list_fault == "whole" else ("removed",)
        entries = [
            {
                "id": f"host-{n}",
                "addr": f"{loopback.ADDRESS}:{self.ports[n][proxy]}",
                "zone": self.zones[n],
                "cell": 0,
                "state": self.states[n],
                "weight": self.machines[n].cores * self.machines[n].speed,
                "started_ms": self.started_ms[n],
            }
            for n in hosts
            if not (full and self.states[n] in omitted_states)
        ]
        return {"version": self.version, "full": full, "servers": entries}

    def note_attempt_done(self, host: int, tx: str) -> None:
        """For the judge of limits, where there are any."""
        if self.scenario.fleet is not None and self.scenario.fleet.limits:
            self.wire.append(Done(self.clock(), host, tx))

    def note_proxy_started(self, proxy: int) -> None:
        """A new process of this proxy: it holds the list of its start-up file, and has called nobody."""
        self.last_call_at[proxy], self.last_call_failed[proxy], self.discovery_moved_at[proxy] = (
            self.clock(),
            False,
            None,
        )
        self.wire += [
            HostStateSent(self.clock(), host, state, proxy) for host, state in enumerate(self.states)
        ]

    # ---- what faults do

    def list_as(self, host: int, state: str) -> None:
        asyncio.get_running_loop().call_later(self.scenario.discovery.notice, self.change_state, host, state)

    def change_state(self, host: int, state: str) -> None:
        self.version += 1
        self.states[host], self.changed_in_version[host] = state, self.version
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
        """News binds also where it does not arrive."""
        now, connections = (
            self.clock(),
            [connection for connection in self.discovery_connections if connection.proxy == proxy],
        )
        silent = tuple(
            connection.silent_deadline() for connection in connections if connection.silent_since is not None
        )
        list_lost = self.list_fault in ("spoilt", "ends")  # what is written, or not, in the news' place
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
        if self.states[host] != state:  # it has changed again since
            return
        sound_for = self.clock() - self.lists_sound_since
        if self.list_fault == "spoilt":
            self.deferred_changes.append((proxy, host, state))
        elif self.changed_at[host] < self.lists_sound_since and sound_for < WATCH_SILENCE_S:
            wait = WATCH_SILENCE_S - sound_for
            asyncio.get_running_loop().call_later(wait, self.note_state_known, proxy, host, state)
        else:
            self.wire.append(HostStateSent(self.clock(), host, state, proxy))

    def end_list_fault(self) -> None:
        """Whoever was told nothing sound has as long as after any other return of discovery."""
        if self.list_fault == "spoilt":
            self.lists_sound_since = self.clock()
        self.list_fault, deferred, self.deferred_changes = "", self.deferred_changes, []
        for proxy, host, state in deferred:
            self.note_state_known(proxy, host, state)

    def fail_watches(self, silent: bool, silent_count: int) -> None:
        self.watches_to_silence = [silent_count] * self.proxy_count
        for connection in list(self.discovery_connections):
            connection.cancel_watch()
            if silent:
                connection.silent_since = self.clock()
            else:
                connection.transport.abort()

    def order_host(self, host: int, out: bool) -> None:
        """The staff calls; what the proxy says yes to is noted when its answer is there."""
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
        """Its process is a new one; whoever had a connection to it is cut off."""
        self.machines[host].start(self.clock())
        self.note_attempt_done(host, "")
        self.started_ms[host] = int(time.time() * 1000)
        for connection in list(self.host_connections[host]):
            connection.transport.abort()
        self.list_as(host, "up")

    def kill(self, host: int) -> None:
        self.stop_listening(host)
        self.machines[host].start(self.clock())  # what it had begun is gone
        self.note_attempt_done(host, "")
        for connection in list(self.host_connections[host]):
            connection.transport.abort()
        self.list_as(host, "removed")

    def start_host(self, host: int) -> None:
        self.machines[host].start(self.clock())
        self.started_ms[host] = int(time.time() * 1000)
        self.listen_task = asyncio.get_running_loop().create_task(self.listen(host))
        self.list_as(host, "up")
