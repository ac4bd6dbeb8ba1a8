"""Depth `sockets`: one real proxy in this process, on loopback sockets, with the stand-ins of a scenario."""

import asyncio
from collections import Counter

import msgspec

from ..program.service import Service
from ..program.startup import decode
from ..transport.event_loop import TimedSelector, run
from .faults import LinkFault, LongWay, ProxyFault, Vanish
from .load import Clients
from .result import Result, build_result
from .scenario import Scenario, ScenarioError, fault_events
from .standins import SocketFleet
from .start import proxy_settings
from .wire import Answered, Asked, Got

PROGRESS_INTERVAL_S = 0.25  # between two calls of `on_progress`
MAX_SOCKETS = 512


class EventCounts:
    """Replaces the program's log: counts its lines by event and keeps its internal errors."""

    def __init__(self) -> None:
        self.name, self.events, self.faults = "trial", Counter(), []

    def log_event(self, event: str, **fields) -> None:
        self.events[event] += 1
        if event == "fault":
            self.faults.append(fields)


def start_up(scenario: Scenario, fleet: SocketFleet) -> dict:
    """The start-up file of the scenario's one proxy."""
    return {
        "name": scenario.name,
        "listen": "127.0.0.1:0",
        "console": "127.0.0.1:0",
        "discovery": fleet.discovery_addresses[0],
        "seed": scenario.seed,
        "limits": {"sockets": MAX_SOCKETS},
        "known": fleet.host_list(range(scenario.host_count), True),
        "settings": proxy_settings(msgspec.structs.replace(scenario, proxies=1), 0, fleet.zones[0]),
    }


def run_scenario(scenario: Scenario, on_progress=None) -> Result:
    """Runs the scenario; raises ScenarioError if it has faults that this depth does not support.

    `on_progress(seconds, fleet, clients, wire)`, if given, is called every 0.25 s during the run.
    """
    selector = TimedSelector()
    return run(_run_scenario(scenario, on_progress, selector), selector)


async def _run_scenario(scenario: Scenario, on_progress, selector: TimedSelector) -> Result:
    loop, wire, event_counts = asyncio.get_running_loop(), [], EventCounts()
    if any(isinstance(fault, Vanish | LongWay) for fault in scenario.faults):
        raise ScenarioError(f"{scenario.name}: vanish and long_way need virtual time, see --depth")
    if scenario.fleet or any(isinstance(fault, LinkFault | ProxyFault) for fault in scenario.faults):
        raise ScenarioError(f"{scenario.name}: several proxies need depth `processes` or `decisions`")
    fleet = SocketFleet(scenario, wire, loop.time, scenario.seed)
    await fleet.open()
    service = Service(decode(start_up(scenario, fleet), {}), event_counts, selector=selector)
    listener = service.begin()
    fleet.console = service.admin_listener.address
    clients = Clients(scenario.load, wire, loop.time, scenario.seed, [listener.address])
    begin = loop.time()
    fault_timers = [
        loop.call_at(begin + at, function, fleet, *arguments)
        for at, function, arguments in fault_events(scenario.faults)
    ]
    load_task = loop.create_task(clients.run(scenario.seconds, scenario.rate_at))
    try:
        while not load_task.done():
            await asyncio.wait((load_task,), timeout=PROGRESS_INTERVAL_S)
            if on_progress is not None:
                on_progress(loop.time() - begin, fleet, clients, wire)
        load_task.result()
        await service.end(listener)
    finally:
        load_task.cancel()
        for timer in fault_timers:  # a pending timer would restart a host after its fleet has closed
            timer.cancel()
        fleet.close()
    return build_result(scenario, wire, begin, "sockets", event_counts.faults)


def recent_counts(wire: list, now: float, span: float = 1.0) -> tuple[Counter, Counter, int]:
    """Over the last `span` seconds: attempts by host, answers by status, number of transactions sent."""
    attempts, answers, sent_count = Counter(), Counter(), 0
    for entry in reversed(wire):
        if entry.at < now - span:
            break
        if isinstance(entry, Got):
            attempts[entry.host] += 1
        elif isinstance(entry, Answered):
            answers[entry.status] += 1
        elif isinstance(entry, Asked):
            sent_count += 1
    return attempts, answers, sent_count
