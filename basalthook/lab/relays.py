"""The ways between members: every datagram passes here, and faults lie on each pair and direction apart.

One socket a member: what member *a* sends to *b*'s told address comes in at the relay's socket for *b* with
*a*'s source port, and goes on from the relay's socket for *a*. So each sees the right address of the other.

What members tell is read here too, by the msgpack library alone: a judge must not rest on what it judges.
When a datagram was sent is the kernel's word, so a lab process that is late to read judges nobody by that.
"""

import asyncio
import socket
from collections import Counter
from contextlib import suppress
from random import Random

import msgpack

from ..fleet.facts import Fact
from ..transport import timestamps
from .links import Links, flip_random_bit

HEAD = 9  # bytes before the message
ASK, ANSWER, ASK_DIFFERING = 17, 18, 19  # kinds of message: two questions, and what carries facts
SLOW_CLOCK = 0.97  # the least part of a span that a member's clock may show, as the lab sets them
ROUNDING = 0.01  # seconds by which an age may be told too low
READ_MOST = 64  # datagrams read in a row from one socket
LENGTH_MOST = 4096  # bytes read of one datagram


class RelaySocket:
    """What others take for the address of one member."""

    def __init__(self, relays: "Relays", number: int) -> None:
        self.relays, self.number = relays, number
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        timestamps.enable(self.socket)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.readable)

    def readable(self) -> None:
        for _ in range(READ_MOST):
            try:
                data, ancillary, _, source = self.socket.recvmsg(LENGTH_MOST, timestamps.ANCILLARY_BYTES)
            except OSError:  # nothing more
                return
            sent_at = self.relays.clock() - timestamps.receive_delay(ancillary) / 1e9
            self.relays.relay_datagram(self.number, data, source, sent_at)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        with suppress(OSError):  # a full buffer loses it, as a network may
            self.socket.sendto(data, address)

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()


class Relays:
    """`clock()`: the rig's seconds. `real`: where members' own sockets are; `told`: what others are told."""

    def __init__(self, count: int, links: Links, clock, seed: int) -> None:
        self.count, self.links, self.clock, self.chance = count, links, clock, Random(f"spoils of {seed}")
        self.sockets: list[RelaySocket] = []
        self.member_addresses: list[tuple[str, int]] = []
        self.public_addresses: list[tuple[str, int]] = []
        self.by_port: dict[int, int] = {}
        self.sent, self.sent_bytes = Counter(), Counter()
        self.first_published: dict[int, float] = {}  # mark of a fact -> when it first came by
        self.fact_kinds: dict[int, str] = {}  # mark -> kind of fact
        self.fetch_sent_at: dict[int, float] = {}  # nonce of a question -> when it was sent
        self.too_young_facts: list[tuple] = []  # facts told younger than they can be: a defect

    async def open(self) -> None:
        for number in range(self.count):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                self.member_addresses.append(free.getsockname())
            end = RelaySocket(self, number)
            self.sockets.append(end)
            self.public_addresses.append(end.socket.getsockname())
        self.by_port = {address[1]: number for number, address in enumerate(self.member_addresses)}

    def close(self) -> None:
        for end in self.sockets:
            end.close()

    def relay_datagram(self, target: int, data: bytes, source, sent_at: float) -> None:
        sender = self.by_port.get(source[1])
        if sender is None:  # none of the members'
            return
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        self.inspect(sender, data, sent_at)
        way = self.links.datagram_outcome(f"p{sender}", f"p{target}")
        if way.corrupted:
            data = flip_random_bit(data, self.chance)
        for late in way.copies:
            if late:
                asyncio.get_running_loop().call_later(late, self.forward, sender, target, data)
            else:
                self.forward(sender, target, data)

    def forward(self, sender: int, target: int, data: bytes) -> None:
        self.sockets[sender].send(data, self.member_addresses[target])

    def inspect(self, sender: int, data: bytes, sent_at: float) -> None:
        """Notes questions, and judges the facts in answers."""
        try:
            message = msgpack.unpackb(data[HEAD:])
        except ValueError:
            return
        if not isinstance(message, list) or not message:
            return
        if message[0] in (ASK, ASK_DIFFERING):
            self.fetch_sent_at.setdefault(message[2], sent_at)
        elif message[0] == ANSWER:
            since = min(sent_at, self.fetch_sent_at.get(message[2], sent_at))
            for fact in message[3]:
                self.check_fact_age(sender, fact, sent_at, since)

    def check_fact_age(self, sender: int, plain: list, sent_at: float, since: float) -> None:
        """Whether a fact is told younger than it was at `since`, the moment of the question it answers.

        The asker adds what has passed since its question, so from then on no delay makes a fact younger.
        """
        author, life, kind, subject, sequence, value, ticks = plain
        age = ticks / 10_000
        mark = Fact(author, life, kind, subject, sequence, tuple(value), ticks).fact_id
        first = self.first_published.setdefault(mark, sent_at - age)
        self.fact_kinds[mark] = kind
        if age < (since - first) * SLOW_CLOCK - ROUNDING:
            self.too_young_facts.append((sent_at, sender, mark, age, since - first))
