"""One proxy, the real one, in this process on real loopback, before the stand-ins of a scenario."""

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
from .standins import Fleet
from .start import proxy_settings
from .wire import Answered, Asked, Got

PROGRESS_INTERVAL_S = 0.25  # seconds between two looks of who watches
MAX_SOCKETS = 512


class EventCounts:
    """In place of the program's log: counts of its lines by event, and its faults."""

    def __init__(self) -> None:
        self.name, self.events, self.faults = "trial", Counter(), []

    def log_event(self, event: str, **fields) -> None:
        self.events[event] += 1
        if event == "fault":
            self.faults.append(fields)


def start_up(scenario: Scenario, fleet: Fleet) -> dict:
    """The start-up file of the one proxy of this scenario."""
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


def play(scenario: Scenario, on_progress=None) -> Result:
    """`watch(seconds, fleet, clients, wire)` is called several times a second while it runs, if given."""
    turns = TimedSelector()
    return run(_play(scenario, on_progress, turns), turns)


async def _play(scenario: Scenario, on_progress, turns: TimedSelector) -> Result:
    loop, wire, event_counts = asyncio.get_running_loop(), [], EventCounts()
    if any(isinstance(fault, Vanish | LongWay) for fault in scenario.faults):
        raise ScenarioError(
            f"{scenario.name}: vanish and long_way are played in virtual time alone, see --depth"
        )
    if scenario.fleet or any(isinstance(fault, LinkFault | ProxyFault) for fault in scenario.faults):
        raise ScenarioError(f"{scenario.name}: several proxies need depth `processes` or `decisions`")
    fleet = Fleet(scenario, wire, loop.time, scenario.seed)
    await fleet.open()
    service = Service(decode(start_up(scenario, fleet), {}), event_counts, turns=turns)
    listener = service.begin()
    fleet.console = service.console.address
    clients = Clients(scenario.load, wire, loop.time, scenario.seed, [listener.address])
    begin = loop.time()
    fault_timers = [
        loop.call_at(begin + at, act, fleet, *given) for at, act, given in fault_events(scenario.faults)
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
        for handle in fault_timers:  # guards against a host that comes back after its fleet has closed
            handle.cancel()
        fleet.close()
    return build_result(scenario, wire, begin, "sockets", event_counts.faults)


def recent_counts(wire: list, now: float, span: float = 1.0) -> tuple[Counter, Counter, int]:
    """Over the last `span` seconds: hops by host, answers by status, transactions asked."""
    hops, answers, asked = Counter(), Counter(), 0
    for e in reversed(wire):
        if e.at < now - span:
            break
        if isinstance(e, Got):
            hops[e.host] += 1
        elif isinstance(e, Answered):
            answers[e.status] += 1
        elif isinstance(e, Asked):
            asked += 1
    return hops, answers, asked
