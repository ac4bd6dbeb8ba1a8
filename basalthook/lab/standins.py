"""Endpoints and discovery for the proxies under test, on loopback sockets; they note what crossed the wire.

Every proxy has an end of its own at each host and at discovery, so that each way can be told from all others
and faults can lie on it: what a way loses or holds up is lost or held up here, before the host sees it.
"""

import asyncio
import time
from functools import partial
from random import Random

from . import loopback
from .deadlines import SILENCE, ProxyView, counts_at
from .discovery import DiscoveryEnd
from .endpoints import HostEnd, HostListener
from .links import Links
from .model import machines
from .scenario import Scenario
from .wire import Done, Ordered, Told


class Fleet:
    """All hosts of a scenario and their discovery; faults act on it."""

    def __init__(self, told: Scenario, wire: list, clock, seed: int, proxies: int = 1) -> None:
        """`clock()`: seconds, the same for all that note what crossed. Each host has a chance of its own."""
        self.told, self.wire, self.clock, self.count = told, wire, clock, proxies
        self.links = Links(seed, proxies, told.size)
        self.machines, self.zones = machines(told)
        count = len(self.machines)
        self.chance = [Random(f"host {n} of {seed}") for n in range(count)]
        self.ends: list[set[HostEnd]] = [set() for _ in range(count)]
        self.servers: list[list[HostListener]] = [[] for _ in range(count)]  # by host and proxy
        self.resting: list[list] = [[] for _ in range(count)]  # faults of idle connections, by host
        self.spoiling: list[list] = [[] for _ in range(count)]  # faults of answers, by host
        self.ports = [[0] * proxies for _ in range(count)]
        self.states, self.changed, self.version = ["up"] * count, [1] * count, 1
        self.started_ms = [0] * count
        self.watches: set[DiscoveryEnd] = set()  # emptied as they are answered or end
        self.watching: set[DiscoveryEnd] = set()  # connections to discovery, emptied as they end
        self.to_silence = [0] * proxies  # so many of the next of each are silent
        self.last_call = [0.0] * proxies
        self.failed = [False] * proxies  # the last call of each was refused, or could not be made
        self.moved: list[float | None] = [None] * proxies  # when its discovery moved, until that one answers
        self.discovery_delay = 0.0  # seconds until discovery looks at a call
        self.failing = ""  # how discovery fails at present
        self.lists = ""  # how its lists are not as usual
        self.sound_since = -SILENCE  # when lists were last sound again
        self.changed_at = [0.0] * count
        self.unsound: list[tuple[int, int, str]] = []  # what would have counted while they were not sound
        self.reachable = 0.0  # since when it has worked
        self.untold: list[tuple[int, str]] = []  # changes made while it failed; emptied when it works
        self.console: tuple[str, int] | None = None  # the proxy's second address
        self.calls: set[asyncio.Task] = set()  # of the staff, emptied as they are answered

    async def open(self) -> None:
        for number in range(len(self.machines)):
            await self.listen(number)
        self.discovery, self.discovery_at = [], [""] * self.count
        for proxy in range(self.count):
            await self.open_discovery(proxy)

    async def open_discovery(self, proxy: int) -> None:
        """Another address of discovery for this proxy; those before it go on serving."""
        server = await asyncio.get_running_loop().create_server(
            partial(DiscoveryEnd, self, proxy), loopback.ADDRESS, 0
        )
        self.discovery.append(server)
        self.discovery_at[proxy] = f"{loopback.ADDRESS}:{server.sockets[0].getsockname()[1]}"

    async def listen(self, number: int) -> None:
        for proxy, port in enumerate(self.ports[number]):
            server = HostListener(self, number, proxy, port)
            self.servers[number].append(server)
            self.ports[number][proxy] = server.port

    def hold(self, number: int) -> None:
        for server in self.servers[number]:
            server.hold()

    def release(self, number: int) -> None:
        for server in self.servers[number]:
            server.release()

    def serving(self, number: int) -> bool:
        return bool(self.servers[number])

    def deaf(self, number: int) -> None:
        for server in self.servers[number]:
            server.close()
        self.servers[number] = []

    def carry(self, source: str, target: str, call, *given) -> None:
        """A message on its way, if it comes through."""
        late = self.links.message_delay(source, target)
        if late == 0:
            call(*given)
        elif late is not None:
            asyncio.get_running_loop().call_later(late, call, *given)

    def close(self) -> None:
        for number in range(len(self.machines)):
            self.deaf(number)
        for server in self.discovery:
            server.close()
        for end in [end for ends in self.ends for end in ends] + list(self.watching):
            end.transport.abort()

    def listing(self, numbers, full: bool, proxy: int = 0) -> dict:
        left_out = ("removed", "draining") if self.lists == "whole" else ("removed",)
        lines = [
            {
                "id": f"host-{n}",
                "addr": f"{loopback.ADDRESS}:{self.ports[n][proxy]}",
                "zone": self.zones[n],
                "cell": 0,
                "state": self.states[n],
                "weight": self.machines[n].cores * self.machines[n].speed,
                "started_ms": self.started_ms[n],
            }
            for n in numbers
            if not (full and self.states[n] in left_out)
        ]
        return {"version": self.version, "full": full, "servers": lines}

    def ended(self, number: int, tx: str) -> None:
        """For the judge of limits, where there are any."""
        if self.told.fleet is not None and self.told.fleet.limits:
            self.wire.append(Done(self.clock(), number, tx))

    def begins(self, proxy: int) -> None:
        """A new process of this proxy: it holds the list of its start-up file, and has called nobody."""
        self.last_call[proxy], self.failed[proxy], self.moved[proxy] = self.clock(), False, None
        self.wire += [Told(self.clock(), host, state, proxy) for host, state in enumerate(self.states)]

    # ---- what faults do

    def list_as(self, number: int, state: str) -> None:
        asyncio.get_running_loop().call_later(self.told.discovery.notice, self.change, number, state)

    def change(self, number: int, state: str) -> None:
        self.version += 1
        self.states[number], self.changed[number] = state, self.version
        self.changed_at[number] = self.clock()
        if self.failing:
            self.untold.append((number, state))
            return
        for proxy in range(self.count):
            self.count_as_told(proxy, number, state)
        for watch in list(self.watches):
            if self.lists == "ends":
                watch.transport.close()
            else:
                watch.tell(watch.waits)

    def discovery_fails(self, how: str) -> None:
        self.failing = how
        for end in list(self.watching):
            end.over()
            if how == "refuses":
                end.refuse()
            else:
                end.transport.abort()
        if how == "down":
            self.failed = [True] * self.count

    def discovery_works(self) -> None:
        self.failing, self.reachable = "", self.clock()
        changes, self.untold = self.untold, []
        for number, state in changes:
            for proxy in range(self.count):
                self.count_as_told(proxy, number, state)

    def count_as_told(self, proxy: int, number: int, state: str) -> None:
        """News binds also where it does not arrive."""
        now, ends = self.clock(), [end for end in self.watching if end.proxy == proxy]
        silent = tuple(end.counts() for end in ends if end.silent is not None)
        lost = self.lists in ("spoilt", "ends")  # what is written, or not, in the news' place
        view = ProxyView(
            len(ends) > len(silent) and not self.failed[proxy] and not lost,
            silent,
            self.last_call[proxy],
            self.failed[proxy] or lost,
            self.moved[proxy],
        )
        mode = self.told.discovery
        at = counts_at(now, self.reachable, view, mode.mode == "pushed", mode.ask_within)
        if at is not None:
            asyncio.get_running_loop().call_later(max(0.0, at - now), self.note_told, proxy, number, state)

    def note_told(self, proxy: int, number: int, state: str) -> None:
        if self.states[number] != state:  # it has changed again since
            return
        sound_for = self.clock() - self.sound_since
        if self.lists == "spoilt":
            self.unsound.append((proxy, number, state))
        elif self.changed_at[number] < self.sound_since and sound_for < SILENCE:
            wait = SILENCE - sound_for
            asyncio.get_running_loop().call_later(wait, self.note_told, proxy, number, state)
        else:
            self.wire.append(Told(self.clock(), number, state, proxy))

    def lists_sound(self) -> None:
        """Whoever was told nothing sound has as long as after any other return of discovery."""
        if self.lists == "spoilt":
            self.sound_since = self.clock()
        self.lists, unsound, self.unsound = "", self.unsound, []
        for proxy, number, state in unsound:
            self.note_told(proxy, number, state)

    def watches_fail(self, silent: bool, more: int) -> None:
        self.to_silence = [more] * self.count
        for end in list(self.watching):
            end.over()
            if silent:
                end.silent = self.clock()
            else:
                end.transport.abort()

    def order(self, number: int, out: bool) -> None:
        """The staff calls; what the proxy says yes to is noted when its answer is there."""
        call = asyncio.get_running_loop().create_task(self.call(number, out))
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    async def call(self, number: int, out: bool) -> None:
        reader, writer = await asyncio.open_connection(*self.console)
        what = "disable" if out else "enable"
        writer.write(f"PUT /-/hosts/host-{number}/{what} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        line = await reader.readline()
        writer.close()
        if line.split(b" ")[1:2] == [b"200"]:
            self.wire.append(Ordered(self.clock(), number, out))

    def restart(self, number: int) -> None:
        """Its process is a new one; whoever had a connection to it is cut off."""
        self.machines[number].start(self.clock())
        self.ended(number, "")
        self.started_ms[number] = int(time.time() * 1000)
        for end in list(self.ends[number]):
            end.transport.abort()
        self.list_as(number, "up")

    def kill(self, number: int) -> None:
        self.deaf(number)
        self.machines[number].start(self.clock())  # what it had begun is gone
        self.ended(number, "")
        for end in list(self.ends[number]):
            end.transport.abort()
        self.list_as(number, "removed")

    def come_back(self, number: int) -> None:
        self.machines[number].start(self.clock())
        self.started_ms[number] = int(time.time() * 1000)
        self.task = asyncio.get_running_loop().create_task(self.listen(number))
        self.list_as(number, "up")
