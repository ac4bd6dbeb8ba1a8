"""Depth `processes`: runs the program as operators start it, a process per proxy, with faults on all links.

The rig is one process with hosts, discovery, load and the relays between members, all on one clock. Each
proxy is a process started by `serve` with its own files, console and log, killed and stopped by signals.
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
from .process_memory import memory_of
from .relays import Relays
from .result import Result, build_result, mean_and_max
from .scenario import Scenario, ScenarioError, fault_events
from .standins import SocketFleet
from .start import proxy_settings
from .talking import limit_voters
from .underclock import CLOCK_VARIABLE, encode_clock_faults
from .wire import AnswerWaived

LIBC = ctypes.CDLL(None) if sys.platform == "linux" else None
PR_SET_PDEATHSIG = 1  # prctl(2)
KEY = b"the lab's own key, known to all of its members"
# time for all proxies to start before the scenario begins
START_DELAY_S, START_DELAY_PER_PROXY_S = 2.0, 0.12
EXIT_TIMEOUT_S = 5.0  # from SIGTERM at the end of a run to SIGKILL
# after SIGTERM of the terminate fault: clients still open new connections this long, and SIGKILL follows this
# long after the longest hard limit
NEW_CONNECTIONS_S, KILL_DELAY_S = 0.3, 0.7
SOCKET_LIMIT = 256  # of each proxy, in its start-up file
SEED_COUNT = 3  # the first members are the seeds of all
CLOCK_DRIFT = 0.03  # tolerance on the age of a fact, as a fraction: clock rates differ by up to 2 %
RECOVERY_S = 5.0  # a suspicion of an affected proxy is not false until this long after the fault
LOG_READ_DELAY_S = 0.1  # tolerance from the writing of a log line to its reading by the rig


class Rig(SocketFleet):
    """Hosts, discovery, load and relays of a scenario; starts and signals the proxy processes."""

    def __init__(self, scenario: Scenario, wire: list, clock, folder: Path) -> None:
        super().__init__(scenario, wire, clock, scenario.seed, scenario.proxies)
        self.folder = folder
        self.relays = Relays(scenario.proxies, self.links, clock, scenario.seed)
        self.running: list[asyncio.subprocess.Process | None] = [None] * scenario.proxies
        self.addresses: list = [
            None
        ] * scenario.proxies  # by proxy; None while clients must not connect to it
        self.consoles: list = [None] * scenario.proxies
        self.clients: Clients | None = None
        self.log_events: list[tuple] = []  # (time read, proxy, event, fields) from the proxies' logs
        self.readers: set[asyncio.Task] = (
            set()
        )  # tasks that read a log; each is removed when its process ends
        self.others: list[asyncio.subprocess.Process] = []  # of costly clients
        self.stopped: set[int] = set()  # proxies stopped by SIGSTOP
        self.faults: list[dict] = []  # faults that proxies logged, and unexpected exits and output
        # when the scenario begins: nanoseconds of the monotonic clock, seconds of the rig's clock
        self.begin_ns, self.begin_at = 0, 0.0
        self.wall_clock_offset = time.time() - clock()  # wall clock minus the rig's clock, seconds

    async def open(self) -> None:
        await super().open()
        await self.relays.open()

    # ---- proxies

    def write_files(self, proxy: int) -> Path:
        """Writes the start-up file, and the fleet file and key if there is a fleet; returns their folder."""
        folder = self.folder / f"p{proxy}"
        folder.mkdir(exist_ok=True)
        zones = sorted(set(self.zones))
        settings = proxy_settings(self.scenario, proxy, zones[proxy % len(zones)])
        settings["allowed"]["peers"] = self.scenario.fleet is not None
        start_up = {
            "name": f"p{proxy}",
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": self.discovery_addresses[proxy],
            "seed": self.scenario.seed * 1000 + proxy,
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": self.scenario.memory_mb},
            "known": self.host_list(range(self.scenario.host_count), True, proxy),
            "settings": settings,
        }
        (folder / "start.json").write_bytes(orjson.dumps(start_up))
        if self.scenario.fleet is not None:
            key = folder / "key"
            key.write_bytes(KEY)
            key.chmod(0o600)
            seeds = [f"127.0.0.1:{port}" for _, port in self.relays.public_addresses[:SEED_COUNT]]
            fleet_lines = [
                f'listen = "127.0.0.1:{self.relays.member_addresses[proxy][1]}"',
                f"seeds = {seeds}",
                'key_file = "key"',
                f'address = "127.0.0.1:{self.relays.public_addresses[proxy][1]}"',
                f"shares = {self.scenario.fleet.shares}",
            ]
            if self.scenario.fleet.limits:
                fleet_lines.append(f"keepers = {limit_voters(self.scenario.proxies)}")
            for limit in self.scenario.fleet.limits:
                fleet_lines.append("[[limits]]")
                fleet_lines += [
                    f"{name} = {orjson.dumps(value).decode()}"
                    for name, value in msgspec.to_builtins(limit).items()
                ]
            (folder / "fleet.toml").write_text("\n".join(fleet_lines))
        return folder

    async def start_process(self, proxy: int) -> None:
        """Starts a process of this proxy, under `underclock` if its clocks or system calls have faults."""
        folder = await asyncio.to_thread(self.write_files, proxy)  # a slow disk must not block the event loop
        self.note_proxy_started(proxy)
        environment = {**os.environ, "TMPDIR": str(folder), "PYTHONPATH": str(Path(__file__).parents[2])}
        module, clock_faults = "basalthook", self.clock_faults_of(proxy)
        if clock_faults:
            module, environment[CLOCK_VARIABLE] = (
                "basalthook.lab.underclock",
                encode_clock_faults(clock_faults),
            )
        if self.scenario.system_calls is not None:
            chances = msgspec.structs.replace(
                self.scenario.system_calls, seed=self.scenario.seed * 1000 + proxy
            )
            module = "basalthook.lab.underclock"
            environment[syscalls.ENVIRONMENT_VARIABLE] = msgspec.json.encode(chances).decode()
        command = [sys.executable, "-m", module, "serve", "--file", str(folder / "start.json")]
        if self.scenario.fleet is not None:
            command += ["--fleet", str(folder / "fleet.toml")]
        stderr_file = await asyncio.to_thread(open, folder / "stderr", "ab")
        process = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=stderr_file,
            limit=2**20,
            preexec_fn=prepare_child,
        )
        stderr_file.close()
        self.running[proxy] = process
        reader = asyncio.get_running_loop().create_task(self.read_log(proxy, process))
        self.readers.add(reader)
        reader.add_done_callback(self.readers.discard)

    def clock_faults_of(self, proxy: int) -> list[tuple]:
        """Clock faults for `underclock`; a fault at time 0 already applies while the process starts."""

        def monotonic_ns(at: float) -> int:
            return self.begin_ns + int(at * 1e9)

        return [
            (
                monotonic_ns(fault.at) if fault.at else 0,
                monotonic_ns(fault.at + fault.lasts),
                fault.ahead,
                fault.rate,
            )
            for fault in self.scenario.faults
            if isinstance(fault, ClockFault) and proxy in fault.proxies
        ]

    async def read_log(self, proxy: int, process) -> None:
        """Reads the log of a process line by line until it ends."""
        while line := await process.stdout.readline():
            try:
                fields = orjson.loads(line)
            except orjson.JSONDecodeError:
                self.faults.append({"proxy": proxy, "line": line[:200].decode("utf-8", "replace")})
                continue
            event = fields.pop("event")
            self.log_events.append((self.clock(), proxy, event, fields))
            if event == "ready" and self.running[proxy] is process:
                self.addresses[proxy], self.consoles[proxy] = (
                    tuple(fields["listen"]),
                    tuple(fields["console"]),
                )
            elif event == "fault":
                self.faults.append({"proxy": proxy, **fields})
        if self.running[proxy] is process and await process.wait() not in (
            0,
            -signal.SIGKILL,
            -signal.SIGTERM,
        ):
            self.faults.append({"proxy": proxy, "exit": process.returncode})

    def waive_open_transactions(self, proxy: int) -> None:
        """Waives the answers to the transactions open at a proxy that is about to be killed or stopped."""
        self.addresses[proxy] = None
        for client in self.clients.connections:
            if client.proxy == proxy and client.open_request is not None:
                self.wire.append(AnswerWaived(self.clock(), client.open_request.tx))
        for client in self.clients.idle_connections[proxy]:
            client.transport.close()
        self.clients.idle_connections[proxy].clear()

    def start_costly_clients(self, proxy: int, behaviour: str, connections: int, lasts: float) -> None:
        if self.addresses[proxy] is not None:
            self.run_in_background(self.run_costly_clients(proxy, behaviour, connections, lasts))

    async def run_costly_clients(self, proxy: int, behaviour: str, connections: int, lasts: float) -> None:
        """Runs them in a process of their own, which ends by itself or with the lab."""
        arguments = (behaviour, *self.addresses[proxy], connections, lasts, self.scenario.seed)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "basalthook.lab.costly_clients",
            *map(str, arguments),
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])},
            stdin=asyncio.subprocess.DEVNULL,
            preexec_fn=prepare_child,
        )
        self.others.append(process)
        await process.wait()

    def check_memory(self, proxy: int) -> None:
        """Records a proxy that has passed the memory it was told; call it before the process ends."""
        process, limit = self.running[proxy], self.scenario.memory_mb
        if limit is None or process is None or process.returncode is not None:
            return
        peak_mb = memory_of(process.pid).get("VmHWM", 0.0)
        if peak_mb > limit:
            self.faults.append({"proxy": proxy, "peak_mb": round(peak_mb, 1), "told_mb": limit})

    # ---- faults of proxies

    def kill_proxy(self, proxy: int) -> None:
        self.waive_open_transactions(proxy)
        self.check_memory(proxy)
        if self.running[proxy] is not None:
            send_signal(self.running[proxy], signal.SIGKILL)
            self.running[proxy] = None

    def terminate(self, proxy: int) -> None:
        """Sends SIGTERM, lets clients connect a little longer, and sends SIGKILL as early as is allowed."""
        process, loop = self.running[proxy], asyncio.get_running_loop()
        if process is None or process.returncode is not None:
            return
        self.check_memory(proxy)
        send_signal(process, signal.SIGTERM)
        loop.call_later(NEW_CONNECTIONS_S, self.addresses.__setitem__, proxy, None)
        longest = max(profile.hard_limit for profile in self.scenario.load.profiles)
        loop.call_later(longest + KILL_DELAY_S, self.kill_after_termination, proxy, process)

    def kill_after_termination(self, proxy: int, process) -> None:
        send_signal(process, signal.SIGKILL)
        if self.running[proxy] is process:
            self.running[proxy] = None

    def start_proxy(self, proxy: int, forgets: bool) -> None:
        self.run_in_background(self.restart(proxy, forgets))

    async def restart(self, proxy: int, forgets: bool) -> None:
        if forgets:
            await asyncio.to_thread(shutil.rmtree, self.folder / f"p{proxy}", True)
        await self.start_process(proxy)

    def reconfigure(self, proxy: int, times: int, lasts: float) -> None:
        self.run_in_background(self.reconfigure_repeatedly(proxy, times, lasts / times))

    async def reconfigure_repeatedly(self, proxy: int, times: int, pause: float) -> None:
        """Writes `times` start-up files, each with a new discovery address, and sends SIGHUP after each."""
        for _ in range(times):
            await self.open_discovery(proxy)
            await asyncio.to_thread(self.write_files, proxy)
            if self.running[proxy] is None or self.running[proxy].returncode is not None:
                return
            self.discovery_moved_at[proxy] = self.clock()
            send_signal(self.running[proxy], signal.SIGHUP)
            await asyncio.sleep(pause)

    def pause_proxy(self, proxy: int) -> None:
        send_signal(self.running[proxy], signal.SIGSTOP)

    def unpause_proxy(self, proxy: int) -> None:
        send_signal(self.running[proxy], signal.SIGCONT)

    def stop_proxy(self, proxy: int) -> None:
        self.waive_open_transactions(proxy)
        self.stopped.add(proxy)
        send_signal(self.running[proxy], signal.SIGSTOP)

    def resume_proxy(self, proxy: int) -> None:
        send_signal(self.running[proxy], signal.SIGCONT)
        self.stopped.discard(proxy)
        at = next(
            fields["listen"]
            for _, log_proxy, event, fields in reversed(self.log_events)
            if log_proxy == proxy and event == "ready"
        )
        # a client that connects before the process runs again would wait in its backlog and be answered late
        asyncio.get_running_loop().call_later(LOG_READ_DELAY_S, self.addresses.__setitem__, proxy, tuple(at))

    def set_clock(self, proxy: int, ahead: float, rate: float) -> None:
        """Does nothing: a process receives its clock faults with their times when it starts."""

    def run_in_background(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def end(self) -> None:
        """Ends all processes, and records what they wrote to stderr as faults."""
        for proxy in range(self.scenario.proxies):
            self.check_memory(proxy)
        for process in self.others:
            send_signal(process, signal.SIGKILL)
        for process in self.running:
            send_signal(process, signal.SIGCONT)
            send_signal(process, signal.SIGTERM)
        if self.readers:
            await asyncio.wait(self.readers, timeout=EXIT_TIMEOUT_S)
        for process in self.running:
            if process is not None and process.returncode is None:
                send_signal(process, signal.SIGKILL)
                await process.wait()
        for proxy in range(self.scenario.proxies):
            stderr_file = self.folder / f"p{proxy}" / "stderr"
            if stderr_file.exists() and (text := stderr_file.read_text("utf-8", "replace")):
                self.faults.append({"proxy": proxy, "stderr": text[-500:]})
        self.relays.close()
        self.close()

    # ---- results of a run

    def figures(self, begin: float) -> dict:
        """Figures on the fleet; ages and times are in seconds.

        `staleness` compares the proxies' own logs with what the relays saw; the relays count the messages.
        """
        relays, seconds, count = self.relays, self.scenario.seconds, self.scenario.proxies
        staleness, over_age = dict.fromkeys(FACT_LIFETIMES, 0.0), 0
        for at, proxy, event, fields in self.log_events:
            for fact_id in fields.get("facts", ()) if event == "verdict" and fields["state"] == OUT else ():
                if fact_id in relays.first_published:
                    kind, age = (
                        relays.fact_kinds[fact_id],
                        self.verdict_time(at, proxy, fields) - relays.first_published[fact_id],
                    )
                    staleness[kind] = max(staleness[kind], age)
                    over_age += age > FACT_LIFETIMES[kind] / 10_000 * (1 + CLOCK_DRIFT) + LOG_READ_DELAY_S
        suspected = Counter(
            (at, fields["name"])
            for at, _, event, fields in self.log_events
            if event == "member" and fields["state"] == "suspect"
        )
        false = sum(self.was_reachable(name, at) for at, name in suspected.elements())
        rates = [relays.sent_bytes[proxy] / seconds for proxy in range(count)]
        sent = [relays.sent[proxy] / seconds for proxy in range(count)]
        return {
            "staleness": {kind: round(age, 3) for kind, age in staleness.items()},
            "over_age": over_age,
            "younger": len(relays.too_young_facts),
            **self.detection_times(begin),
            "false_suspicions": false,
            "messages": {"datagrams_s": mean_and_max(sent), "bytes_s": mean_and_max(rates)},
        }

    def verdict_time(self, at: float, proxy: int, fields: dict) -> float:
        """When a proxy acted on a verdict: normally the time at which its log line was read.

        A line written before a stop may be read only after it, so just after a stop the proxy's own time
        stamp is used if it is earlier.
        """
        for fault in self.scenario.faults:
            resumed_at = self.begin_at + fault.at + fault.lasts
            if (
                isinstance(fault, StopProxy)
                and proxy in fault.proxies
                and resumed_at <= at < resumed_at + 2 * LOG_READ_DELAY_S
            ):
                return min(at, fields["at"] - self.wall_clock_offset)
        return at

    def was_reachable(self, name: str, at: float) -> bool:
        """Whether this proxy was unaffected by faults of proxies and by cuts at the time `at`."""
        since = at - self.begin_at
        for fault in self.scenario.faults:
            affected = int(name[1:]) in getattr(fault, "proxies", ()) or getattr(fault, "cuts", False)
            if affected and fault.at <= since <= fault.at + fault.lasts + RECOVERY_S:
                return False
        return True

    def detection_times(self, begin: float) -> dict:
        """For each fault: seconds until the first and until every running proxy had one of its hosts out."""
        detect, agree = [], []
        for fault in self.scenario.faults:
            first: dict[str, dict[int, float]] = {}
            for at, proxy, event, fields in self.log_events:
                host = fields.get("id", "")
                if (
                    event == "verdict"
                    and fields["state"] == OUT
                    and at >= begin + fault.at
                    and (host.startswith("host-") and int(host[5:]) in fault.hosts)
                ):
                    first.setdefault(host, {}).setdefault(proxy, at - begin - fault.at)
            times_of_last = [
                max(seen.values()) for seen in first.values() if len(seen) == self.scenario.proxies
            ]
            detect.append(round(min(min(seen.values()) for seen in first.values()), 3) if first else None)
            agree.append(
                round(max(times_of_last), 3) if times_of_last and len(times_of_last) == len(first) else None
            )
        return {"detect_s": detect, "agree_s": agree}


def prepare_child() -> None:
    """Runs in the child before it executes the program.

    The kernel kills the child when the lab ends. The child ignores SIGHUP, as the run command in
    deploy/balancer.toml does, because a SIGHUP while the interpreter starts would end it.
    """
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def send_signal(process: asyncio.subprocess.Process | None, signal_number: int) -> None:
    """Sends a signal if the process still runs.

    Process.send_signal is not used: it polls the process first and may so reap its exit code before the event
    loop does, which then reports 255.
    """
    if process is not None and process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal_number)


def run_scenario(scenario: Scenario, rigs: list | None = None) -> Result:
    """Runs the scenario; the rig is appended to `rigs`, if given, for inspection after the run.

    Raises ScenarioError for faults that this depth doesn't support, and if a proxy is not ready in time.
    """
    if any(isinstance(fault, Vanish | LongWay | Maintain) for fault in scenario.faults):
        raise ScenarioError(
            f"{scenario.name}: vanish, long_way and maintain are not supported at depth `processes`"
        )
    return asyncio.run(_run_scenario(scenario, rigs))


async def _run_scenario(scenario: Scenario, rigs: list | None) -> Result:
    loop, wire, folder = asyncio.get_running_loop(), [], Path(tempfile.mkdtemp(prefix="basalthook-lab-"))
    rig = Rig(scenario, wire, loop.time, folder)
    fault_timers, load_task = [], None
    try:
        await rig.open()
        begin = rig.begin_at = loop.time() + START_DELAY_S + START_DELAY_PER_PROXY_S * scenario.proxies
        rig.begin_ns = time.monotonic_ns() + int((begin - loop.time()) * 1e9)
        rig.clients = clients = Clients(scenario.load, wire, loop.time, scenario.seed, rig.addresses)
        await asyncio.gather(*(rig.start_process(proxy) for proxy in range(scenario.proxies)))
        await asyncio.sleep(begin - loop.time())
        not_ready = [f"p{n}" for n, address in enumerate(rig.addresses) if address is None]
        if not_ready:
            raise ScenarioError(
                f"{scenario.name}: proxies not ready in time: {', '.join(not_ready)}; {rig.faults[:1]}"
            )
        fault_timers = [
            loop.call_at(begin + at, function, rig, *arguments)
            for at, function, arguments in fault_events(scenario.faults)
        ]
        load_task = loop.create_task(clients.run(scenario.seconds, scenario.rate_at))
        await load_task
    finally:
        if load_task is not None:
            load_task.cancel()
        for timer in fault_timers:
            timer.cancel()
        await rig.end()
        shutil.rmtree(folder, ignore_errors=True)
    if rigs is not None:
        rigs.append(rig)
    gossip_figures = rig.figures(begin) if scenario.fleet else None
    if scenario.fleet and scenario.fleet.limits:
        gossip_figures["limits"] = overrun.figures(sorted(wire, key=lambda entry: entry.at), scenario)
    return build_result(scenario, wire, begin, "processes", rig.faults, fleet_figures=gossip_figures)
