"""Stand-ins for the cases of the second review: hosts, discovery, clients and the start of the program.

Standard library only. Every address is a loopback address. A case is a module with `async def run(rig)`,
which returns the list of broken rules (empty: the rule held); `main(run)` gives the exit code.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self.file, self.started = path.open("w"), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, event: str, **fields) -> float:
        at = self.now()
        print(f"{at:9.4f} {event:<22}", json.dumps(fields), file=self.file, flush=True)
        return at


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict] | None:
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    return first, {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}


class Host:
    """A host: `serve(host, request)` is a coroutine for each whole request, and answers with `reply`."""

    def __init__(self, rig, name: str, serve, weight: float = 1.0, read_pace=None) -> None:
        self.rig, self.name, self.serve, self.weight, self.read_pace = rig, name, serve, weight, read_pace
        self.state, self.changed, self.port, self.server = "up", 1, 0, None
        self.connections: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, ADDRESS, 0, limit=2**17)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                first, fields = message
                begun = self.rig.record.now()
                length = int(fields.get("content-length", 0))
                body = await (
                    self.read_pace(self, reader, length) if self.read_pace else reader.readexactly(length)
                )
                request = Request(self, first, fields, body, writer, begun)
                self.rig.record(
                    "host got",
                    host=self.name,
                    id=request.id,
                    first_byte=round(begun, 4),
                    bytes=length,
                    told=fields.get("request-timeout"),
                )
                await self.serve(self, request)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def stop(self) -> None:
        """The process ends: its connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Request:
    def __init__(self, host, first, fields, body, writer, begun) -> None:
        self.host, self.first, self.fields, self.body, self.writer = host, first, fields, body, writer
        self.id, self.begun, self.got = fields.get("request-id", ""), begun, host.rig.record.now()

    async def reply(self, status: int = 200, body: bytes = b"", extra: str = "") -> None:
        self.writer.write(
            f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await self.writer.drain()
        self.host.rig.record("host answered", host=self.host.name, id=self.id, status=status, bytes=len(body))

    def reset(self) -> None:
        self.host.rig.record("host reset", host=self.host.name, id=self.id)
        reset(self.writer)


class Discovery:
    """Lists of hosts: whole ones on demand, changes after a version to a watch."""

    def __init__(self, rig) -> None:
        self.rig, self.version, self.waiters, self.port = rig, 1, set(), 0
        self.tells_whole = (
            False  # news is told as the whole list instead of the changes (the page allows both)
        )

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, ADDRESS, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, host: Host) -> dict:
        return {
            "id": host.name,
            "addr": f"{ADDRESS}:{host.port}",
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": host.state,
            "weight": host.weight,
            "started_ms": 0,
        }

    def change(self, host: Host, state: str) -> None:
        self.version += 1
        host.state, host.changed = state, self.version
        self.rig.record("discovery changed", host=host.name, state=state, version=self.version)
        for event in list(self.waiters):
            event.set()

    def listing(self, since: int | None) -> dict:
        full = since is None
        hosts = [h for h in self.rig.hosts if (h.state == "up" if full else h.changed > since)]
        return {"version": self.version, "full": full, "servers": [self.entry(h) for h in hosts]}

    async def on_connection(self, reader, writer) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                query = message[0].split(" ")[1].partition("?")[2]
                values = dict(part.split("=") for part in query.split("&") if part)
                since = int(values["index"]) if "index" in values else None
                if since is not None and since >= self.version and int(values.get("wait", 0)):
                    event = asyncio.Event()
                    self.waiters.add(event)
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(event.wait(), min(60.0, int(values["wait"]) / 1000))
                    self.waiters.discard(event)
                whole = since is None or self.tells_whole and self.version > since
                listing = self.listing(None if whole else since)
                body = json.dumps(listing).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.rig.record(
                    "discovery told",
                    asked=query,
                    version=listing["version"],
                    full=listing["full"],
                    servers={s["id"]: s["state"] for s in listing["servers"]},
                )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


class Answer:
    """What a client got: status 0 without an answer; `end` says how it ended."""

    def __init__(self, status=0, body=b"", fields=None, end="whole", at=0.0) -> None:
        self.status, self.body, self.fields, self.end, self.at = status, body, fields or {}, end, at


class Client:
    """One connection to the proxy; one request at a time."""

    def __init__(self, rig, port: int, receive_buffer: int | None = None) -> None:
        self.rig, self.port, self.reader, self.writer = rig, port, None, None
        self.receive_buffer, self.head = receive_buffer, None  # status of an answer that has begun

    async def connect(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, (ADDRESS, self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=2**17)

    def close(self) -> None:
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.close()
            self.writer = None

    async def ask(
        self,
        profile: str,
        request_id: str,
        timeout: float,
        body: bytes = b"",
        method: str = "GET",
        key: str | None = None,
        extra: str = "",
        patience: float | None = None,
        read=None,
    ) -> Answer:
        """Send one request and wait `patience` seconds (by default the request's time) for its answer."""
        record = self.rig.record
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            try:
                await self.connect()
            except OSError as error:
                return Answer(end=f"refused: {error}", at=record("client refused", id=request_id))
        cookie = f"Cookie: k={key}\r\n" if key else ""
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = (
            f"{method} /{profile}/x HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\n"
            f"Request-Class: {profile}\r\n{cookie}{extra}Request-Timeout: {timeout:.3f}\r\n{length}\r\n"
        )
        try:
            self.writer.write(head.encode() + body)
            await self.writer.drain()
            record("client sent", id=request_id, profile=profile, timeout=timeout, bytes=len(body))
            answer = await asyncio.wait_for(self.read_answer(read), patience or timeout)
        except TimeoutError:  # the connection is still open
            end = "a head, then nothing more" if self.head else "nothing in time"
            answer = Answer(self.head or 0, end=end)
        except (ConnectionError, OSError) as error:
            answer = Answer(end=f"reset: {error!r}")
        answer.at = record(
            "client got",
            id=request_id,
            status=answer.status,
            end=answer.end,
            bytes=len(answer.body),
            retry_after=answer.fields.get("retry-after"),
        )
        if answer.end != "whole" or answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_answer(self, read=None) -> Answer:
        self.head = None
        message = await read_head(self.reader)
        if message is None:
            return Answer(end="closed with no answer")
        first, fields = message
        self.head = int(first.split(" ")[1])
        status, length = int(first.split(" ")[1]), int(fields.get("content-length", 0))
        try:
            if "transfer-encoding" in fields:
                body = await self.read_chunks()
            else:
                body = await (read(self.reader, length) if read else self.reader.readexactly(length))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return Answer(status, getattr(error, "partial", b""), fields, f"broke off: {error!r}")
        return Answer(status, body, fields)

    async def read_chunks(self) -> bytes:
        parts = []
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            parts.append(await self.reader.readexactly(size))
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return b"".join(parts)


class Proxy:
    """The program as its own process, started with the line `run` of the deploy file."""

    def __init__(self, rig, name: str = "n1") -> None:
        self.rig, self.name, self.port, self.console = rig, name, free_port(), 0
        self.process, self.log = None, None

    def config(self, settings: dict, limits: dict, console: bool) -> dict:
        discovery = self.rig.discovery
        config = {
            "name": self.name,
            "listen": f"{ADDRESS}:{self.port}",
            "discovery": f"{ADDRESS}:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": limits,
            "known": discovery.listing(None),
            "settings": settings,
        }
        if console:
            self.console = free_port()
            config["console"] = f"{ADDRESS}:{self.console}"
        return config

    async def start(
        self,
        settings: dict,
        limits: dict | None = None,
        listener=None,
        console=False,
        folder=None,
        ready_on=None,
    ) -> None:
        rig = self.rig
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        limits = limits or {"cores": 1.0, "memory_mb": 96, "sockets": 512}
        number = len(rig.proxies)
        path = rig.folder / f"start-up-{number}.json"
        path.write_text(json.dumps(self.config(settings, limits, console)))
        folder = folder or rig.folder / f"tmp-{number}"
        folder.mkdir(exist_ok=True)
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("RELAY_", "BASALTHOOK_"))}
        environment |= {
            "RELAY_CONFIG": str(path),
            "RELAY_NAME": self.name,
            "TMPDIR": str(folder),
            "RELAY_LISTEN": f"{ADDRESS}:{self.port}",
            "RELAY_DISCOVERY": f"{ADDRESS}:{rig.discovery.port}",
        }
        passed, before = (), None
        if listener is not None:  # every process inherits it as descriptor 3
            environment["RELAY_FD"], passed = "3", (3,)
            before = partial(os.dup2, listener.fileno(), 3)
        self.log = (rig.folder / f"log-{number}").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            pass_fds=passed,
            preexec_fn=before,
            start_new_session=True,
        )
        rig.proxies.append(self)
        rig.record("proxy started", pid=self.process.pid, number=number, config=json.loads(path.read_text()))
        await self.until_ready(ready_on)

    async def until_ready(self, how=None) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"the proxy ended with {self.process.returncode}")
            port, path = (self.console, "/-/ready") if how == "console" else (self.port, "/_health")
            if await get_status(port, path) == 200:
                self.rig.record("proxy ready", pid=self.process.pid)
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the proxy is not ready after 30 s")

    def send(self, number: int) -> None:
        self.rig.record("signal", pid=self.process.pid, signal=signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.send(signal.SIGKILL)
        await self.process.wait()


async def get_status(port: int, path: str) -> int:
    try:
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n".encode())
        message = await asyncio.wait_for(read_head(reader), 1.0)
        writer.close()
        return int(message[0].split(" ")[1]) if message else 0
    except (OSError, TimeoutError):
        return 0


class Rig:
    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record, self.hosts, self.proxies = folder, record, [], []
        self.discovery = Discovery(self)

    async def add_host(self, name: str, serve, **options) -> Host:
        host = Host(self, name, serve, **options)
        await host.open()
        self.hosts.append(host)
        return host

    async def close(self) -> None:
        for proxy in self.proxies:
            await proxy.kill()


def profile(name, effect, goal, limit, window=5.0, group="all") -> dict:
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "service_goal_ns": int(goal * 1e9),
        "hard_limit_ns": int(limit * 1e9),
        "repeat_window_ns": int(window * 1e9),
        "revenue": 1.0,
        "streamed": False,
        "tardy_revenue": 0.0,
    }


def settings(profiles: list[dict], max_hops: int = 4, grace: float = 0.5, balancers: int = 1) -> dict:
    """Settings like those of kigali-parcels, for one or a few proxies."""
    return {
        "position": 0,
        "balancers": balancers,
        "zone": "a",
        "areas": ["a"],
        "host_types": ["m"],
        "discovery": "on_request",
        "weights": "nominal",
        "profiles": profiles,
        "family_info": {"warm_keys": True},
        "prices": {"cross_zone": 0.082},
        "allowed": {
            "cancelling": True,
            "connect_timeout_ns": 250_000_000,
            "keepalive_ns": 30_000_000_000,
            "max_hops": max_hops,
            "max_retry_after_ns": 2_000_000_000,
            "retry_after": True,
            "peers": False,
            "probes": False,
            "second_copies": False,
        },
        "rules": {
            "answer_slack_ns": 20_000_000,
            "ask_within_ns": 10_000_000_000,
            "cold_from": 0.15,
            "cold_ns": 24_000_000_000,
            "drain_grace_ns": int(grace * 1e9),
            "fall_ns": 3_000_000_000,
            "overload_factor": 2.5,
        },
    }


def main(case_file: str, run, seconds: float = 110.0) -> None:
    """Play a case; exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    record = Record(Path(os.environ.get("RECORD") or Path(case_file).resolve().parent / "record.txt"))
    rig = Rig(folder, record)

    async def play() -> list[str]:
        await rig.discovery.open()
        try:
            return await asyncio.wait_for(run(rig), seconds)
        finally:
            await rig.close()

    try:
        broken = asyncio.run(play())
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        record("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        if os.environ.get("KEEP"):
            raise
        sys.exit(2)
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record("BROKEN", what=line)
        print(f"broken: {line}")
    record("end", trouble=TROUBLE, broken=len(broken))
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
