"""One proxy, the real one, in this process on real loopback, before the stand-ins of a scenario."""

import asyncio
from collections import Counter

import msgspec

from ..program.service import Service
from ..program.startup import decode
from ..transport.event_loop import TimedSelector, run
from .faults import Between, LongWay, OfProxies, Vanish
from .load import Clients
from .result import Result, found
from .scenario import BadScenario, Scenario, moments
from .standins import Fleet
from .start import settings
from .wire import Answered, Asked, Got

LOOK = 0.25  # seconds between two looks of who watches
SOCKETS = 512


class Books:
    """In place of the program's log: counts of its lines by event, and its faults."""

    def __init__(self) -> None:
        self.name, self.events, self.faults = "trial", Counter(), []

    def log_event(self, event: str, **fields) -> None:
        self.events[event] += 1
        if event == "fault":
            self.faults.append(fields)


def start_up(told: Scenario, fleet: Fleet) -> dict:
    """The start-up file of the one proxy of this scenario."""
    return {
        "name": told.name,
        "listen": "127.0.0.1:0",
        "console": "127.0.0.1:0",
        "discovery": fleet.discovery_at[0],
        "seed": told.seed,
        "limits": {"sockets": SOCKETS},
        "known": fleet.listing(range(told.size), True),
        "settings": settings(msgspec.structs.replace(told, proxies=1), 0, fleet.zones[0]),
    }


def play(told: Scenario, watch=None) -> Result:
    """`watch(seconds, fleet, clients, wire)` is called several times a second while it runs, if given."""
    turns = TimedSelector()
    return run(_play(told, watch, turns), turns)


async def _play(told: Scenario, watch, turns: TimedSelector) -> Result:
    loop, wire, books = asyncio.get_running_loop(), [], Books()
    if any(isinstance(fault, Vanish | LongWay) for fault in told.faults):
        raise BadScenario(f"{told.name}: vanish and long_way are played in virtual time alone, see --depth")
    if told.fleet or any(isinstance(fault, Between | OfProxies) for fault in told.faults):
        raise BadScenario(f"{told.name}: several proxies need depth `processes` or `decisions`")
    fleet = Fleet(told, wire, loop.time, told.seed)
    await fleet.open()
    service = Service(decode(start_up(told, fleet), {}), books, selector=turns)
    listener = service.begin()
    fleet.console = service.admin_listener.address
    clients = Clients(told.load, wire, loop.time, told.seed, [listener.address])
    begin = loop.time()
    to_come = [loop.call_at(begin + at, act, fleet, *given) for at, act, given in moments(told.faults)]
    work = loop.create_task(clients.run(told.seconds, told.rate))
    try:
        while not work.done():
            await asyncio.wait((work,), timeout=LOOK)
            if watch is not None:
                watch(loop.time() - begin, fleet, clients, wire)
        work.result()
        await service.end(listener)
    finally:
        work.cancel()
        for handle in to_come:  # guards against a host that comes back after its fleet has closed
            handle.cancel()
        fleet.close()
    return found(told, wire, begin, "sockets", books.faults)


def lately(wire: list, now: float, span: float = 1.0) -> tuple[Counter, Counter, int]:
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
