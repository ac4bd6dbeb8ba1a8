"""One real proxy beside costly clients: its peak memory, and how well-behaved clients are served meanwhile.

The proxy, its hosts and the costly clients are processes of their own, so that none is measured by how busy
another one is. Discovery and the well-behaved clients are in this process.
"""

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import orjson

from . import loopback
from .costly_clients import BEHAVIOURS
from .messages import MessageProtocol
from .process_memory import memory_of
from .processes import prepare_child
from .scenario import HostKind, Load, Profile, Scenario
from .start import proxy_settings

HOSTS = 2
STEADY_CLIENTS, STEADY_RATE = 3, 30.0  # well-behaved clients, and requests a second of each
STEADY_TIMEOUT_S = 3.0
ANSWER_GRACE_S = 0.5  # past the timeout, until a request counts as lost
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 8.0
SETTLE_S = 0.3  # from ready to the first request
SERVED, REFUSED = 200, 503


class OverloadResult(NamedTuple):
    """What was measured. Memory in MiB (resident, as the kernel counts it), latencies in seconds."""

    idle_mb: float  # before the first request
    peak_mb: float
    peak_by_kind: dict[str, float]  # anonymous and file pages at the end
    exited: bool  # the proxy ended by itself, before it was told to
    sent: int  # requests of well-behaved clients
    served: int
    refused: int
    lost: int  # without an answer within their time and the grace
    other: dict[int, int]  # further answers by status
    p50: float
    p99: float
    longest: float
    figures: list[dict]  # the `figures` lines of its log
    faults: list[dict]  # its `fault` lines, and what it wrote to standard error


class Discovery(MessageProtocol):
    """Discovery without changes: each watch waits for its time."""

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        query = first_line.split(" ")[1].partition("?")[2]
        options = dict(option.partition("=")[::2] for option in query.split("&") if option)
        answer = orjson.dumps({"version": 1, "full": False, "servers": []})
        wait_s = int(options.get("wait", 0)) / 1000
        asyncio.get_running_loop().call_later(wait_s, self.answer, 200, answer)


class SteadyRequest(MessageProtocol):
    """A connection of a well-behaved client: one request at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.answered: asyncio.Future | None = None

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        if self.answered is not None and not self.answered.done():
            self.answered.set_result((int(first_line.split(" ")[1]), fields.get("connection") == "close"))

    def connection_lost(self, _) -> None:
        if self.answered is not None and not self.answered.done():
            self.answered.set_exception(ConnectionError("closed by the proxy"))


class SteadyClient:
    """Sends at its rate whatever is answered; a latency counts from when its request was due."""

    def __init__(self, address: tuple[str, int], name: str, latencies: list, answers: Counter) -> None:
        self.address, self.name, self.latencies, self.answers = address, name, latencies, answers
        self.idle: list[SteadyRequest] = []
        self.tasks: set[asyncio.Task] = set()
        self.sent = 0

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for the answers."""
        loop, random = asyncio.get_running_loop(), Random(self.name)
        due = loop.time() + random.random() / STEADY_RATE
        end = loop.time() + seconds
        while due < end:
            await asyncio.sleep(due - loop.time())
            self.sent += 1
            task = asyncio.create_task(self.request(self.sent, due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due += 1 / STEADY_RATE
        if self.tasks:
            await asyncio.wait(self.tasks)
        for connection in self.idle:
            connection.transport.close()

    async def request(self, number: int, due: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(due + STEADY_TIMEOUT_S + ANSWER_GRACE_S):
                status = await self.exchange(f"{self.name}-{number}")
        except (OSError, TimeoutError):
            status = 0
        self.answers[status] += 1
        self.latencies.append(loop.time() - due)

    async def exchange(self, request_id: str) -> int:
        """Send one request and return the status of its answer, on a new connection if a kept one ends."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.peer_has_closed():
                try:
                    return await self.send(connection, request_id)
                except ConnectionError:
                    break
        _, connection = await asyncio.get_running_loop().create_connection(SteadyRequest, *self.address)
        return await self.send(connection, request_id)

    async def send(self, connection: SteadyRequest, request_id: str) -> int:
        connection.answered = asyncio.get_running_loop().create_future()
        connection.transport.write(
            f"GET /view HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\nRequest-Class: view\r\n"
            f"Cookie: k={request_id}\r\nRequest-Timeout: {STEADY_TIMEOUT_S}\r\n\r\n".encode()
        )
        try:
            status, closes = await connection.answered
        except BaseException:
            connection.transport.abort()
            raise
        if closes:
            connection.transport.close()
        else:
            self.idle.append(connection)
        return status


async def start_module(module: str, *arguments: str, **options) -> asyncio.subprocess.Process:
    """Start a module of this package in a process that ends with this one."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])},
        stdin=asyncio.subprocess.DEVNULL,
        preexec_fn=prepare_child,
        **options,
    )


def settings() -> dict:
    """Return the settings of the proxy: one safe class and one unsafe one."""
    profiles = [
        Profile(name=name, effect=effect, work=0.01, service_goal=0.6, hard_limit=STEADY_TIMEOUT_S)
        for name, effect in (("view", "repeatable"), ("submit", "once"))
    ]
    return proxy_settings(
        Scenario(
            name="overload",
            seconds=1.0,
            hosts=[HostKind(count=HOSTS)],
            load=Load(rate=1.0, profiles=profiles),
        ),
        0,
        "a",
    )


class Trial:
    """The processes of one run."""

    def __init__(self, folder: Path, memory_mb: int, sockets: int) -> None:
        self.folder, self.memory_mb, self.sockets = folder, memory_mb, sockets
        self.proxy: asyncio.subprocess.Process | None = None
        self.children: list[asyncio.subprocess.Process] = []
        self.address: tuple[str, int] | None = None
        self.ready = asyncio.get_running_loop().create_future()
        self.figures: list[dict] = []
        self.faults: list[dict] = []

    async def start(self) -> None:
        """Start discovery, the hosts and the proxy; return once it is ready."""
        discovery = await asyncio.get_running_loop().create_server(Discovery, loopback.ADDRESS, 0)
        addresses = []
        for _ in range(HOSTS):
            host = await start_module("basalthook.lab.plain_hosts", stdout=asyncio.subprocess.PIPE)
            self.children.append(host)
            line = await asyncio.wait_for(host.stdout.readline(), READY_TIMEOUT_S)
            addresses.append(line.decode().strip())
        self.write_start_up(addresses, discovery.sockets[0].getsockname()[1])
        with open(self.folder / "stderr", "wb") as stderr:
            self.proxy = await start_module(
                "basalthook",
                "serve",
                "--file",
                str(self.folder / "start.json"),
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
                limit=2**20,
            )
        self.children.append(self.proxy)
        self.log_reader = asyncio.create_task(self.read_log())
        self.address = await asyncio.wait_for(self.ready, READY_TIMEOUT_S)

    def write_start_up(self, hosts: list[str], discovery_port: int) -> None:
        known = [
            {
                "id": f"s-{number}",
                "addr": address,
                "zone": "a",
                "kind": "m",
                "cell": 0,
                "state": "up",
                "weight": 1.0,
                "started_ms": 0,
            }
            for number, address in enumerate(hosts)
        ]
        start_up = {
            "name": "p0",
            "listen": f"{loopback.ADDRESS}:0",
            "discovery": f"{loopback.ADDRESS}:{discovery_port}",
            "seed": 1,
            "limits": {"memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"version": 1, "full": True, "servers": known},
            "settings": settings(),
        }
        (self.folder / "start.json").write_bytes(orjson.dumps(start_up))

    async def read_log(self) -> None:
        while line := await self.proxy.stdout.readline():
            fields = orjson.loads(line)
            if fields["event"] == "ready" and not self.ready.done():
                self.ready.set_result(tuple(fields["listen"]))
            elif fields["event"] == "figures":
                self.figures.append(fields)
            elif fields["event"] == "fault":
                self.faults.append(fields)

    async def stop(self) -> None:
        for child in reversed(self.children):
            if child.returncode is None:
                child.kill()
            await child.wait()
        if text := (self.folder / "stderr").read_text("utf-8", "replace"):
            self.faults.append({"stderr": text[-500:]})


async def _run(
    behaviour: str | None, memory_mb: int, sockets: int, connections: int, seconds: float, seed: int
) -> OverloadResult:
    with tempfile.TemporaryDirectory(prefix="basalthook-lab-") as folder:
        trial = Trial(Path(folder), memory_mb, sockets)
        try:
            await trial.start()
            return await _measure(trial, behaviour, connections, seconds, seed)
        finally:
            await trial.stop()


async def _measure(
    trial: Trial, behaviour: str | None, connections: int, seconds: float, seed: int
) -> OverloadResult:
    await asyncio.sleep(SETTLE_S)
    idle_mb = memory_of(trial.proxy.pid)["VmRSS"]
    if behaviour is not None:
        arguments = (behaviour, *map(str, (*trial.address, connections, seconds, seed)))
        trial.children.append(await start_module("basalthook.lab.costly_clients", *arguments))
    latencies, answers = [], Counter()
    clients = [
        SteadyClient(trial.address, f"steady-{number}", latencies, answers)
        for number in range(STEADY_CLIENTS)
    ]
    await asyncio.gather(*(client.run(seconds) for client in clients))
    memory = memory_of(trial.proxy.pid)
    latencies.sort()
    return OverloadResult(
        idle_mb=idle_mb,
        peak_mb=memory.get("VmHWM", 0.0),
        peak_by_kind={kind: memory.get(kind, 0.0) for kind in ("VmRSS", "RssAnon", "RssFile")},
        exited=trial.proxy.returncode is not None,
        sent=sum(client.sent for client in clients),
        served=answers[SERVED],
        refused=answers[REFUSED],
        lost=answers[0],
        other={status: n for status, n in answers.items() if status not in (SERVED, REFUSED, 0)},
        p50=latencies[len(latencies) // 2],
        p99=latencies[int(len(latencies) * 0.99)],
        longest=latencies[-1],
        figures=trial.figures,
        faults=trial.faults,
    )


def run_trial(
    behaviour: str | None,
    memory_mb: int = 32,
    sockets: int = 1024,
    connections: int | None = None,
    seconds: float = 6.0,
    seed: int = 1,
) -> OverloadResult:
    """Run one proxy beside costly clients of this behaviour; None: beside none.

    `connections`: of costly clients; None: the number of their behaviour.
    """
    if connections is None:
        connections = BEHAVIOURS[behaviour].connections if behaviour else 0
    return asyncio.run(_run(behaviour, memory_mb, sockets, connections, seconds, seed))
