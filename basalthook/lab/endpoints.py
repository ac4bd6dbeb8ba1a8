"""The lab's endpoints on loopback: they note what comes, and answer when their machine has done the work."""

import asyncio

from .messages import Messages
from .model import Machine
from .wire import Got


class HostEnd(Messages):
    def __init__(self, fleet, number: int, proxy: int) -> None:
        super().__init__()
        self.fleet, self.number, self.proxy = fleet, number, proxy

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.fleet.ends[self.number].add(self)

    def connection_lost(self, _) -> None:
        self.fleet.ends[self.number].discard(self)

    def message(self, first: str, fields: dict, body: bytes) -> None:
        self.fleet.carry(f"p{self.proxy}", f"h{self.number}", self.arrived, fields, self.fleet.clock())

    def say(self, status: int, body: bytes = b"", more: str = "") -> None:
        self.fleet.carry(f"h{self.number}", f"p{self.proxy}", self.answer, status, body, more)

    def arrived(self, fields: dict, left: float) -> None:
        fleet, machine, now = self.fleet, self.fleet.machines[self.number], self.fleet.clock()
        tx, key = fields.get("request-id", ""), fields.get("cookie", "")
        cost = machine.cost(now, key, float(fields.get("lab-work", 0)))
        cold, capacity = machine.started if machine.warmth(now) < 1.0 else None, machine.capacity(now)
        ends = None if machine.held >= machine.slots else now
        fails = ends is not None and any(fleet.chance[self.number].random() < s for s in machine.erring)
        if ends is not None and not fails:
            ends = machine.take(now, cost)
        fleet.wire.append(
            Got(
                now,
                self.number,
                tx,
                cost,
                capacity,
                cold,
                ends is not None,
                self.proxy,
                left,
                float(fields["request-timeout"]) if "request-timeout" in fields else None,
            )
        )
        if ends is None:
            self.say(503, more="Not-Started: 1\r\n")
        elif fails:
            fleet.ended(self.number, tx)
            self.say(500)
        else:
            asyncio.get_running_loop().call_later(ends - now, self.done, machine, machine.life, tx)

    def done(self, machine: Machine, life: int, tx: str) -> None:
        machine.done(life)
        if life == machine.life:
            self.fleet.ended(self.number, tx)
        lost = any(self.fleet.chance[self.number].random() < share for share in machine.losing)
        if life == machine.life and not machine.silent and not lost:
            self.say(200, f"{tx} by {self.number}".encode())
