"""The lab's discovery on loopback sockets: long polls, and what they tell."""

import asyncio
import json
import re

from .deadlines import SILENCE, WAIT_OVER
from .messages import Messages
from .wire import Told

WATCH = re.compile(r"[?&](index|wait)=(\d+)")


class DiscoveryEnd(Messages):
    """Answers a watch when there is something newer, or when its wait is over."""

    def __init__(self, fleet, proxy: int) -> None:
        super().__init__()
        self.fleet, self.proxy, self.waits, self.timer = fleet, proxy, None, None
        self.silent: float | None = None  # since when, for good
        self.until = 0.0  # when the wait of the last call is over
        self.owes = False  # whether it has a call without an answer

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.fleet.watching.add(self)
        if self.fleet.failing == "down":
            return transport.abort()
        if self.fleet.to_silence[self.proxy]:
            self.fleet.to_silence[self.proxy] -= 1
            self.silent = self.fleet.clock()

    def connection_lost(self, _) -> None:
        self.over()
        self.fleet.watching.discard(self)
        others = any(end.proxy == self.proxy for end in self.fleet.watching)
        if self.owes and not others:  # given up by the proxy, not as another call was answered
            self.fleet.failed[self.proxy] = True

    def message(self, first: str, fields: dict, body: bytes) -> None:
        self.owes = True
        self.until = self.fleet.last_call[self.proxy] = self.fleet.clock()
        self.until += min(60_000, int(dict(WATCH.findall(first)).get("wait", 0))) / 1000
        if self.silent is None and self.fleet.discovery_delay:
            asyncio.get_running_loop().call_later(self.fleet.discovery_delay, self.called, first)
        elif self.silent is None:
            self.fleet.carry(f"p{self.proxy}", "d", self.called, first)

    def refuse(self) -> None:
        """Discovery has too many callers."""
        self.over()
        self.owes, self.fleet.failed[self.proxy] = False, True
        self.answer(503)

    def called(self, first: str) -> None:
        if self.transport.is_closing():
            return
        if self.fleet.failing == "refuses":
            return self.refuse()
        asked = dict(WATCH.findall(first))
        if "index" not in asked:
            return self.tell(None)
        self.waits = int(asked["index"])
        if self.waits < self.fleet.version:
            return self.tell(self.waits)
        self.fleet.watches.add(self)
        wait = min(60_000, int(asked.get("wait", 0))) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.tell, self.waits)

    def over(self) -> None:
        self.fleet.watches.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def counts(self) -> float:
        """When what this silent one misses counts as told, whether or not it came."""
        return max(self.silent + SILENCE, self.until + WAIT_OVER)

    def tell(self, since: int | None) -> None:
        self.over()
        if self.fleet.lists == "spoilt":
            return self.spoil()
        whole = since is None or self.fleet.lists == "whole"
        numbers = [n for n, changed in enumerate(self.fleet.changed) if whole or changed > since]
        told = json.dumps(self.fleet.listing(numbers, whole, self.proxy)).encode()
        states = [(n, self.fleet.states[n]) for n in numbers]
        self.fleet.carry("d", f"p{self.proxy}", self.write, told, states)

    def spoil(self) -> None:
        """An answer with no sound list: a failed call."""
        self.owes, self.fleet.failed[self.proxy] = False, True
        self.answer(200, json.dumps(self.fleet.listing([0], True, self.proxy)).encode()[:-3])

    def write(self, told: bytes, states: list) -> None:
        if self.transport.is_closing():
            return
        now, fleet, self.owes = self.fleet.clock(), self.fleet, False
        fleet.wire += [Told(now, n, state, self.proxy) for n, state in states]
        fleet.failed[self.proxy], fleet.moved[self.proxy] = False, None
        self.answer(200, told)
