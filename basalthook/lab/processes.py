"""Depth `processes`: the program as operators start it, one process a proxy, with faults on every way
between.

The rig is one process: hosts, discovery, load and the relays of all ways, on one clock. Each proxy is a
process of its own with its own files, console and log, started by `serve`, killed and stopped by signals.
"""

import asyncio
import ctypes
import os
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

import msgspec
import orjson

from ..fleet.verdicts import FACT_LIFETIMES, OUT
from . import overrun, syscalls
from .faults import ClockFault, LongWay, Maintain, StopProxy, Vanish
from .load import Clients
from .relays import Relays
from .result import Result, found, mean_and_most
from .scenario import BadScenario, Scenario, moments
from .standins import Fleet
from .start import settings
from .talking import limit_voters
from .underclock import CLOCK_VARIABLE, encode_clock_faults
from .wire import Excused

LIBC = ctypes.CDLL(None) if sys.platform == "linux" else None
PR_SET_PDEATHSIG = 1  # prctl(2)
KEY = b"the lab's own key, known to all of its members"
START, EACH = 2.0, 0.12  # seconds until the scenario begins, and more for each proxy
GO = 5.0  # seconds in which they end after SIGTERM
NEW_ON, KILL_AFTER = 0.3, 0.7  # seconds after SIGTERM: of new connections; beyond the longest deadline
SOCKETS = 256
SEEDS = 3
CLOCKS_APART = 0.03  # part by which a fact's age may be read off too low: clocks 2 in 100 fast
HEALED = 5.0  # seconds after a fault in which who was hit by it may still be suspected
LOOK = 0.1  # seconds from a proxy's word to the rig's reading its line in the log


class Rig(Fleet):
    """All of a scenario but the proxies themselves; faults of every kind act on it."""

    def __init__(self, told: Scenario, wire: list, clock, folder: Path) -> None:
        super().__init__(told, wire, clock, told.seed, told.proxies)
        self.folder = folder
        self.relays = Relays(told.proxies, self.links, clock, told.seed)
        self.running: list[asyncio.subprocess.Process | None] = [None] * told.proxies
        self.addresses: list = [None] * told.proxies  # of those that clients may ask
        self.consoles: list = [None] * told.proxies
        self.clients: Clients | None = None
        self.log_events: list[tuple] = []  # (when read, proxy, event, fields): the proxies' own logs
        self.readers: set[asyncio.Task] = set()  # emptied as processes end
        self.stopped: set[int] = set()
        self.faults: list[dict] = []  # what a log called one
        self.begin_ns, self.begin_at = 0, 0.0
        self.wall_ahead = time.time() - clock()  # of the machine's wall clock against the rig's

    async def open(self) -> None:
        await super().open()
        await self.relays.open()

    # ---- proxies

    def files(self, n: int) -> Path:
        folder = self.folder / f"p{n}"
        folder.mkdir(exist_ok=True)
        zones = sorted(set(self.zones))
        agreed = settings(self.told, n, zones[n % len(zones)])
        agreed["allowed"]["peers"] = self.told.fleet is not None
        start = {
            "name": f"p{n}",
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": self.discovery_at[n],
            "seed": self.told.seed * 1000 + n,
            "limits": {"sockets": SOCKETS},
            "known": self.listing(range(self.told.size), True, n),
            "settings": agreed,
        }
        (folder / "start.json").write_bytes(orjson.dumps(start))
        if self.told.fleet is not None:
            key = folder / "key"
            key.write_bytes(KEY)
            key.chmod(0o600)
            seeds = [f"127.0.0.1:{port}" for _, port in self.relays.public_addresses[:SEEDS]]
            lines = [
                f'listen = "127.0.0.1:{self.relays.member_addresses[n][1]}"',
                f"seeds = {seeds}",
                'key_file = "key"',
                f'address = "127.0.0.1:{self.relays.public_addresses[n][1]}"',
                f"shares = {self.told.fleet.shares}",
            ]
            if self.told.fleet.limits:
                lines.append(f"keepers = {limit_voters(self.told.proxies)}")
            for limit in self.told.fleet.limits:
                lines.append("[[limits]]")
                lines += [
                    f"{name} = {orjson.dumps(value).decode()}"
                    for name, value in msgspec.to_builtins(limit).items()
                ]
            (folder / "fleet.toml").write_text("\n".join(lines))
        return folder

    async def start(self, n: int) -> None:
        folder = await asyncio.to_thread(self.files, n)  # a slow disk must not hold up what is measured
        self.begins(n)
        environ = {**os.environ, "TMPDIR": str(folder), "PYTHONPATH": str(Path(__file__).parents[2])}
        module, clocks = "basalthook", self.clocks_of(n)
        if clocks:
            module, environ[CLOCK_VARIABLE] = "basalthook.lab.underclock", encode_clock_faults(clocks)
        if self.told.system_calls is not None:
            chances = msgspec.structs.replace(self.told.system_calls, seed=self.told.seed * 1000 + n)
            module = "basalthook.lab.underclock"
            environ[syscalls.ENVIRONMENT_VARIABLE] = msgspec.json.encode(chances).decode()
        call = [sys.executable, "-m", module, "serve", "--file", str(folder / "start.json")]
        if self.told.fleet is not None:
            call += ["--fleet", str(folder / "fleet.toml")]
        errors = await asyncio.to_thread(open, folder / "stderr", "ab")
        process = await asyncio.create_subprocess_exec(
            *call,
            stdout=asyncio.subprocess.PIPE,
            env=environ,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=errors,
            limit=2**20,
            preexec_fn=prepare_child,
        )
        errors.close()
        self.running[n] = process
        reader = asyncio.get_running_loop().create_task(self.read(n, process))
        self.readers.add(reader)
        reader.add_done_callback(self.readers.discard)

    def clocks_of(self, n: int) -> list[tuple]:
        """Entries for `underclock`; a fault from the first moment on holds before it as well."""

        def moment(at: float) -> int:
            return self.begin_ns + int(at * 1e9)

        return [
            (moment(f.at) if f.at else 0, moment(f.at + f.lasts), f.ahead, f.rate)
            for f in self.told.faults
            if isinstance(f, ClockFault) and n in f.proxies
        ]

    async def read(self, n: int, process) -> None:
        """Its log, line by line, until it ends."""
        while line := await process.stdout.readline():
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                self.faults.append({"proxy": n, "line": line[:200].decode("utf-8", "replace")})
                continue
            event = fields.pop("event")
            self.log_events.append((self.clock(), n, event, fields))
            if event == "ready" and self.running[n] is process:
                self.addresses[n], self.consoles[n] = tuple(fields["listen"]), tuple(fields["console"])
            elif event == "fault":
                self.faults.append({"proxy": n, **fields})
        if self.running[n] is process and await process.wait() not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.faults.append({"proxy": n, "exit": process.returncode})

    def excuse_open_transactions(self, n: int) -> None:
        """What is open at a process that is about to be killed or stopped can't be answered by anyone."""
        self.addresses[n] = None
        for client in self.clients.all:
            if client.proxy == n and client.asked is not None:
                self.wire.append(Excused(self.clock(), client.asked.tx))
        for client in self.clients.free[n]:
            client.transport.close()
        self.clients.free[n].clear()

    # ---- faults of proxies

    def kill_proxy(self, n: int) -> None:
        self.excuse_open_transactions(n)
        if self.running[n] is not None:
            signalled(self.running[n], signal.SIGKILL)
            self.running[n] = None

    def terminate(self, n: int) -> None:
        """SIGTERM; new connections come for a moment more, SIGKILL at the earliest moment that is allowed."""
        process, loop = self.running[n], asyncio.get_running_loop()
        if process is None or process.returncode is not None:
            return
        signalled(process, signal.SIGTERM)
        loop.call_later(NEW_ON, self.addresses.__setitem__, n, None)
        longest = max(profile.hard_limit for profile in self.told.load.profiles)
        loop.call_later(longest + KILL_AFTER, self.kill_terminated, n, process)

    def kill_terminated(self, n: int, process) -> None:
        signalled(process, signal.SIGKILL)
        if self.running[n] is process:
            self.running[n] = None

    def start_proxy(self, n: int, forgets: bool) -> None:
        self.run_in_background(self.again(n, forgets))

    async def again(self, n: int, forgets: bool) -> None:
        if forgets:
            await asyncio.to_thread(shutil.rmtree, self.folder / f"p{n}", True)
        await self.start(n)

    def reconfigure(self, n: int, times: int, lasts: float) -> None:
        self.run_in_background(self.reconfigure_in_a_row(n, times, lasts / times))

    async def reconfigure_in_a_row(self, n: int, times: int, pause: float) -> None:
        """New start-up files, each with discovery at another address, and SIGHUP after each."""
        for _ in range(times):
            await self.open_discovery(n)
            await asyncio.to_thread(self.files, n)
            if self.running[n] is None or self.running[n].returncode is not None:
                return
            self.moved[n] = self.clock()
            signalled(self.running[n], signal.SIGHUP)
            await asyncio.sleep(pause)

    def pause_proxy(self, n: int) -> None:
        signalled(self.running[n], signal.SIGSTOP)

    def unpause_proxy(self, n: int) -> None:
        signalled(self.running[n], signal.SIGCONT)

    def stop_proxy(self, n: int) -> None:
        self.excuse_open_transactions(n)
        self.stopped.add(n)
        signalled(self.running[n], signal.SIGSTOP)

    def resume_proxy(self, n: int) -> None:
        signalled(self.running[n], signal.SIGCONT)
        self.stopped.discard(n)
        at = next(
            fields["listen"]
            for _, who, event, fields in reversed(self.log_events)
            if who == n and event == "ready"
        )
        # guards against clients that it would find waiting since before, and answer too late
        asyncio.get_running_loop().call_later(LOOK, self.addresses.__setitem__, n, tuple(at))

    def set_clock(self, n: int, ahead: float, rate: float) -> None:
        """Its clocks know by themselves when: they were told at its start."""

    def run_in_background(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def end(self) -> None:
        for process in self.running:
            signalled(process, signal.SIGCONT)
            signalled(process, signal.SIGTERM)
        if self.readers:
            await asyncio.wait(self.readers, timeout=GO)
        for process in self.running:
            if process is not None and process.returncode is None:
                signalled(process, signal.SIGKILL)
                await process.wait()
        for n in range(self.told.proxies):
            errors = self.folder / f"p{n}" / "stderr"
            if errors.exists() and (text := errors.read_text("utf-8", "replace")):
                self.faults.append({"proxy": n, "stderr": text[-500:]})
        self.relays.close()
        self.close()

    # ---- what a run comes to

    def figures(self, begin: float) -> dict:
        """`staleness` is of the proxies' own logs against what the relays saw; messages are the relays'."""
        relays, seconds, count = self.relays, self.told.seconds, self.told.proxies
        staleness, over = dict.fromkeys(FACT_LIFETIMES, 0.0), 0
        for at, n, event, fields in self.log_events:
            for mark in fields.get("facts", ()) if event == "verdict" and fields["state"] == OUT else ():
                if mark in relays.first_published:
                    kind, age = (
                        relays.fact_kinds[mark],
                        self.verdict_time(at, n, fields) - relays.first_published[mark],
                    )
                    staleness[kind] = max(staleness[kind], age)
                    over += age > FACT_LIFETIMES[kind] / 10_000 * (1 + CLOCKS_APART) + LOOK
        suspected = Counter(
            (at, fields["name"])
            for at, _, event, fields in self.log_events
            if event == "member" and fields["state"] == "suspect"
        )
        false = sum(self.was_reachable(name, at) for at, name in suspected.elements())
        rates = [relays.sent_bytes[n] / seconds for n in range(count)]
        sent = [relays.sent[n] / seconds for n in range(count)]
        return {
            "staleness": {kind: round(age, 3) for kind, age in staleness.items()},
            "over_age": over,
            "younger": len(relays.too_young_facts),
            **self.detection_times(begin),
            "false_suspicions": false,
            "messages": {"datagrams_s": mean_and_most(sent), "bytes_s": mean_and_most(rates)},
        }

    def verdict_time(self, at: float, n: int, fields: dict) -> float:
        """When a proxy did what it says: when the line was read; or, as a line may lie in a process that is
        stopped, when that one says, if it was stopped just before."""
        for fault in self.told.faults:
            back = self.begin_at + fault.at + fault.lasts
            if isinstance(fault, StopProxy) and n in fault.proxies and back <= at < back + 2 * LOOK:
                return min(at, fields["at"] - self.wall_ahead)
        return at

    def was_reachable(self, name: str, at: float) -> bool:
        """Whether the rig knew this proxy as running then, and cut off from nobody."""
        since = at - self.begin_at
        for fault in self.told.faults:
            hit = int(name[1:]) in getattr(fault, "proxies", ()) or getattr(fault, "cuts", False)
            if hit and fault.at <= since <= fault.at + fault.lasts + HEALED:
                return False
        return True

    def detection_times(self, begin: float) -> dict:
        """For each fault, seconds until the first and the last member that runs has one of its hosts out."""
        detect, agree = [], []
        for fault in self.told.faults:
            first: dict[str, dict[int, float]] = {}
            for at, n, event, fields in self.log_events:
                host = fields.get("id", "")
                if (
                    event == "verdict"
                    and fields["state"] == OUT
                    and at >= begin + fault.at
                    and (host.startswith("host-") and int(host[5:]) in fault.hosts)
                ):
                    first.setdefault(host, {}).setdefault(n, at - begin - fault.at)
            whole = [max(seen.values()) for seen in first.values() if len(seen) == self.told.proxies]
            detect.append(round(min(min(seen.values()) for seen in first.values()), 3) if first else None)
            agree.append(round(max(whole), 3) if whole and len(whole) == len(first) else None)
        return {"detect_s": detect, "agree_s": agree}


def prepare_child() -> None:
    """In the child, before it becomes a proxy: it ends with the lab, and SIGHUP in the interpreter's first
    moments must not end it, as the deploy file starts it."""
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def signalled(process: asyncio.subprocess.Process | None, number: int) -> None:
    """Sends a signal, if the process still runs.

    Not by the process's own method: that one looks first whether it has ended, and may so take its exit code
    from the event loop, which then gives 255.
    """
    if process is not None and process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


def play(told: Scenario, keep: list | None = None) -> Result:
    """`keep`: takes the rig, for whoever wants to look closer."""
    if any(isinstance(fault, Vanish | LongWay | Maintain) for fault in told.faults):
        raise BadScenario(f"{told.name}: no vanish, long_way or maintain at depth `processes`")
    return asyncio.run(_play(told, keep))


async def _play(told: Scenario, keep: list | None) -> Result:
    loop, wire, folder = asyncio.get_running_loop(), [], Path(tempfile.mkdtemp(prefix="basalthook-lab-"))
    rig = Rig(told, wire, loop.time, folder)
    to_come, work = [], None
    try:
        await rig.open()
        begin = rig.begin_at = loop.time() + START + EACH * told.proxies
        rig.begin_ns = time.monotonic_ns() + int((begin - loop.time()) * 1e9)
        rig.clients = clients = Clients(told.load, wire, loop.time, told.seed, rig.addresses)
        await asyncio.gather(*(rig.start(n) for n in range(told.proxies)))
        await asyncio.sleep(begin - loop.time())
        late = [f"p{n}" for n, address in enumerate(rig.addresses) if address is None]
        if late:
            raise BadScenario(f"{told.name}: not ready in time: {', '.join(late)}; {rig.faults[:1]}")
        to_come = [loop.call_at(begin + at, act, rig, *given) for at, act, given in moments(told.faults)]
        work = loop.create_task(clients.run(told.seconds, told.rate))
        await work
    finally:
        if work is not None:
            work.cancel()
        for handle in to_come:
            handle.cancel()
        await rig.end()
        shutil.rmtree(folder, ignore_errors=True)
    if keep is not None:
        keep.append(rig)
    talk = rig.figures(begin) if told.fleet else None
    if told.fleet and told.fleet.limits:
        talk["limits"] = overrun.figures(sorted(wire, key=lambda e: e.at), told)
    return found(told, wire, begin, "processes", rig.faults, talk=talk)
