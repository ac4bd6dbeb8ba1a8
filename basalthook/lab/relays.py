"""The ways between members: every datagram passes here, and faults lie on each pair and direction apart.

One socket a member: what member *a* sends to *b*'s told address comes in at the relay's socket for *b* with
*a*'s source port, and goes on from the relay's socket for *a*. So each sees the right address of the other.

What members tell is read here too, by the msgpack library alone: a judge must not rest on what it judges.
"""

import asyncio
import socket
from collections import Counter
from random import Random

import msgpack

from ..fleet.facts import Fact
from .links import Links, spoil

HEAD, ANSWER = 9, 18  # bytes before the message; the kind of message that carries facts
YOUNGER = 0.05  # seconds by which clocks and rounding may make a fact seem younger than it is


class Socket(asyncio.DatagramProtocol):
    def __init__(self, relays: "Relays", number: int) -> None:
        self.relays, self.number, self.transport = relays, number, None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source) -> None:
        self.relays.came(self.number, data, source)


class Relays:
    """`clock()`: the rig's seconds. `real`: where members' own sockets are; `told`: what others are told."""

    def __init__(self, count: int, links: Links, clock, seed: int) -> None:
        self.count, self.links, self.clock, self.chance = count, links, clock, Random(f"spoils of {seed}")
        self.sockets: list[Socket] = []
        self.real: list[tuple[str, int]] = []
        self.told: list[tuple[str, int]] = []
        self.by_port: dict[int, int] = {}
        self.sent, self.sent_bytes = Counter(), Counter()
        self.first: dict[int, float] = {}  # mark of a fact -> when it first came by
        self.kinds: dict[int, str] = {}  # mark -> kind of fact
        self.younger: list[tuple] = []  # facts told younger than they can be: a defect

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for number in range(self.count):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                self.real.append(free.getsockname())
            _, end = await loop.create_datagram_endpoint(
                lambda n=number: Socket(self, n), local_addr=("127.0.0.1", 0)
            )
            self.sockets.append(end)
            self.told.append(end.transport.get_extra_info("sockname"))
        self.by_port = {address[1]: number for number, address in enumerate(self.real)}

    def close(self) -> None:
        for end in self.sockets:
            end.transport.close()

    def came(self, target: int, data: bytes, source) -> None:
        sender = self.by_port.get(source[1])
        if sender is None:  # none of the members'
            return
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        self.read(sender, data)
        way = self.links.datagram(f"p{sender}", f"p{target}")
        if way.spoilt:
            data = spoil(data, self.chance)
        for late in way.copies:
            if late:
                asyncio.get_running_loop().call_later(late, self.go_on, sender, target, data)
            else:
                self.go_on(sender, target, data)

    def go_on(self, sender: int, target: int, data: bytes) -> None:
        self.sockets[sender].transport.sendto(data, self.real[target])

    def read(self, sender: int, data: bytes) -> None:
        """When each fact first came by, and whether one is told younger than it must be."""
        try:
            message = msgpack.unpackb(data[HEAD:])
        except ValueError:
            return
        if not isinstance(message, list) or not message or message[0] != ANSWER:
            return
        now = self.clock()
        for author, life, kind, subject, sequence, value, age in message[3]:
            mark = Fact(author, life, kind, subject, sequence, tuple(value), age).mark
            first = self.first.setdefault(mark, now - age / 10_000)
            self.kinds[mark] = kind
            if age / 10_000 < (now - first) * 0.97 - YOUNGER:
                self.younger.append((now, sender, mark, age / 10_000, now - first))
