"""What the cases share: one client proxy started as in service, and small stand-ins on loopback.

Standard library only. All of it runs in the script's own process but for the proxy, which is started with the
line `run` of the deploy file. Times in the record are seconds since the start of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MS, S = 1_000_000, 1_000_000_000


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.note(f"TROUBLE={1 if TROUBLE else 0}")

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


def profile(name: str, effect: str, goal_ms: int, limit_ms: int, **more) -> dict:
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "repeat_window_ns": 5 * S,
        "service_goal_ns": goal_ms * MS,
        "hard_limit_ns": limit_ms * MS,
        "revenue": 3.0,
        "tardy_revenue": 0.0,
        "streamed": False,
        **more,
    }


def settings(profiles: list[dict], balancers: int = 4) -> dict:
    """The settings of a small deployment of two data centres."""
    return {
        "kind_of_service": "mesh",
        "position": 0,
        "balancers": balancers,
        "tier": 0,
        "layers": ["tile-servers"],
        "zone": "north",
        "areas": ["north", "south"],
        "host_types": ["std-1c"],
        "discovery": "on_request",
        "weights": "nominal",
        "tick_ns": 5 * MS,
        "family_info": {"warm_keys": True},
        "load_report": {"fields": [], "how": "off"},
        "profiles": profiles,
        "realms": [],
        "allowed": {
            "cancelling": True,
            "connect_timeout_ns": 250 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 124548,
            "keepalive_ns": 30 * S,
            "max_hops": 4,
            "max_retry_after_ns": 2 * S,
            "most_held": 24909,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "prices": {"cross_zone": 0.082, "late_fail": 0.035, "probe": 0.01, "waste": 0.12},
        "rules": {
            "answer_slack_ns": 20 * MS,
            "ask_within_ns": 10 * S,
            "cold_from": 0.15,
            "cold_ns": 24 * S,
            "drain_grace_ns": 500 * MS,
            "fall_ns": 3 * S,
            "overload_factor": 2.5,
        },
    }


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


# ---- messages


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One message with a Content-Length, or none: first line, fields by lower-case name, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, fields, await reader.readexactly(int(fields.get("content-length", 0)))


def response(status: int, body: bytes, extra: str = "") -> bytes:
    phrase = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    return f"HTTP/1.1 {status} {phrase}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


# ---- stand-ins


class Discovery:
    """Lists the hosts; a watch waits until it is over, as nothing changes."""

    def __init__(self, record: Record) -> None:
        self.record, self.version, self.servers = record, 41, []
        self.address = ""

    def listing(self, full: bool) -> dict:
        return {"version": self.version, "full": full, "servers": self.servers if full else []}

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, _, _ = await read_message(reader)
                target = first.split(" ")[1]
                query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
                watch = query.get("index") == str(self.version)
                if watch:
                    await asyncio.sleep(min(60.0, int(query.get("wait", 0)) / 1000))
                body = json.dumps(self.listing(full=not watch)).encode()
                writer.write(response(200, body, "Content-Type: application/json\r\n"))
                await writer.drain()
        writer.close()


class Host:
    """A sound host: begins a request when its last byte has come, and answers it after `work` seconds."""

    def __init__(self, record: Record, number: int) -> None:
        self.record, self.number, self.id = record, number, f"s-{number:02d}"
        self.zone = ("north", "south")[number % 2]
        self.runs: dict[str, int] = {}  # id of a request -> how often it was begun here
        self.address = ""

    def work(self, _: dict) -> float:
        return 0.045

    def body(self, fields: dict) -> bytes:
        """The answer made for this request: it names the request."""
        return f"parcel answer made for {fields.get('request-id')} by {self.id}\n".encode()

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0, backlog=512, limit=2**20)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    def listed(self) -> dict:
        return {
            "id": self.id,
            "addr": self.address,
            "zone": self.zone,
            "kind": "std-1c",
            "cell": self.number // 4,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, fields, body = await read_message(reader)
                id_ = fields.get("request-id")
                if id_ is None:
                    writer.write(response(404, b""))
                    continue
                self.runs[id_] = self.runs.get(id_, 0) + 1
                self.record.note(f"run {id_} at {self.id}: {first.split(' ')[0]}, {len(body)} bytes of body")
                await asyncio.sleep(self.work(fields))
                await self.answer(writer, fields)
        writer.close()

    async def answer(self, writer, fields: dict) -> None:
        writer.write(response(200, self.body(fields)))
        await writer.drain()


# ---- the proxy


class Proxy:
    """One client proxy, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: str) -> None:
        self.record, self.folder, self.process, self.log = record, folder, None, None
        self.address = (LOOPBACK, free_port())

    async def start(self, discovery: Discovery, hosts: list[Host], told: dict, limits: dict) -> None:
        with open(REPOSITORY / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        path = os.path.join(self.folder, "config.json")
        listen = f"{self.address[0]}:{self.address[1]}"
        start_up = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": discovery.listing(full=True),
            "settings": told,
        }
        with open(path, "w", encoding="utf-8") as file:
            json.dump(start_up, file)
        temporary = os.path.join(self.folder, "tmp")
        os.mkdir(temporary)
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("RELAY_")},
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": listen,
            "RELAY_DISCOVERY": discovery.address,
            "RELAY_CONFIG": path,
            "TMPDIR": temporary,
        }
        self.log = open(os.path.join(self.folder, "proxy.log"), "wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=REPOSITORY, env=environment, stdout=self.log, stderr=self.log
        )
        self.record.note(f"proxy started, process {self.process.pid}, listens on {listen}")
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"the proxy ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in first:
                    return self.record.note("proxy is ready")
            await asyncio.sleep(0.1)
        raise CannotRun("the proxy is not ready within 30 s")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"{signal.Signals(number).name} to the proxy")
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None:
            return
        self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), 6)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.record.note(f"proxy ended with {self.process.returncode}")
        self.log.close()

    def log_lines(self, *events: str) -> list[str]:
        """Lines of the proxy's own log on these events, for the record."""
        with open(os.path.join(self.folder, "proxy.log"), encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if any(f'"event":"{event}"' in line for event in events)]


def play(path: pathlib.Path, story, seconds: float = 110.0) -> None:
    """Play `story(record, temporary folder, cleanups)`, which says whether the rule held, and exit."""
    record = Record(path)

    async def run() -> bool:
        cleanups: list = []
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                return await asyncio.wait_for(story(record, temporary, cleanups), seconds)
            finally:
                for cleanup in reversed(cleanups):
                    await cleanup()

    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except (CannotRun, TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result"))
    record.file.close()
    sys.exit(code)
