"""Relays for the datagrams between members, with faults for each pair of members and direction.

There is one relay socket per member. What member *a* sends to the public address of *b* arrives at the relay
socket of *b* with the source port of *a*, and is forwarded from the relay socket of *a*. So each member sees
the public address of the other.

The relays also check the ages of the facts that members send. They decode messages with the msgpack library
alone, so that the check doesn't depend on the code under test. The send time of a datagram comes from the
kernel's time stamp, so a lab process that reads late doesn't distort the check.
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

HEADER_BYTES = 9  # before the message
FETCH, FACTS, FETCH_DIFFERING = 17, 18, 19  # kinds of message, see fleet.gossip
MIN_CLOCK_RATE = 0.97  # lower bound of the clock rates that the lab sets, with a margin
AGE_ROUNDING_S = 0.01  # tolerance for ages rounded down
MAX_DATAGRAMS_PER_READ = 64  # read in a row from one socket
MAX_DATAGRAM_BYTES = 4096


class RelaySocket:
    """The relay socket of one member, at its public address."""

    def __init__(self, relays: "Relays", number: int) -> None:
        self.relays, self.number = relays, number
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        timestamps.enable(self.socket)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.readable)

    def readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, ancillary, _, source = self.socket.recvmsg(
                    MAX_DATAGRAM_BYTES, timestamps.ANCILLARY_BYTES
                )
            except OSError:  # no datagram is left
                return
            sent_at = self.relays.clock() - timestamps.receive_delay(ancillary) / 1e9
            self.relays.relay_datagram(self.number, data, source, sent_at)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        with suppress(OSError):  # a full send buffer loses the datagram, as a network may
            self.socket.sendto(data, address)

    def close(self) -> None:
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()


class Relays:
    """Relay sockets of all members, and the check of fact ages.

    `clock` returns the rig's time in seconds. `member_addresses` are those of the members' own sockets,
    `public_addresses` those of the relay sockets, which the other members use.
    """

    def __init__(self, count: int, links: Links, clock, seed: int) -> None:
        self.count, self.links, self.clock, self.rng = count, links, clock, Random(f"spoils of {seed}")
        self.sockets: list[RelaySocket] = []
        self.member_addresses: list[tuple[str, int]] = []
        self.public_addresses: list[tuple[str, int]] = []
        self.number_by_port: dict[int, int] = {}  # port of a member's own socket -> number of the member
        self.sent, self.sent_bytes = Counter(), Counter()
        self.first_published: dict[
            int, float
        ] = {}  # id of a fact -> publication time, from its first datagram
        self.fact_kinds: dict[int, str] = {}  # id -> kind of fact
        self.fetch_sent_at: dict[int, float] = {}  # nonce of a request -> when it was sent
        self.too_young_facts: list[tuple] = []  # facts sent with a lower age than they can have: a defect

    async def open(self) -> None:
        for number in range(self.count):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_socket:
                free_socket.bind(("127.0.0.1", 0))
                self.member_addresses.append(free_socket.getsockname())
            relay_socket = RelaySocket(self, number)
            self.sockets.append(relay_socket)
            self.public_addresses.append(relay_socket.socket.getsockname())
        self.number_by_port = {address[1]: number for number, address in enumerate(self.member_addresses)}

    def close(self) -> None:
        for relay_socket in self.sockets:
            relay_socket.close()

    def relay_datagram(self, receiver: int, data: bytes, source, sent_at: float) -> None:
        sender = self.number_by_port.get(source[1])
        if sender is None:  # not sent by a member
            return
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        self.inspect(sender, data, sent_at)
        outcome = self.links.datagram_outcome(f"p{sender}", f"p{receiver}")
        if outcome.corrupted:
            data = flip_random_bit(data, self.rng)
        for delay in outcome.copies:
            if delay:
                asyncio.get_running_loop().call_later(delay, self.forward, sender, receiver, data)
            else:
                self.forward(sender, receiver, data)

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        self.sockets[sender].send(data, self.member_addresses[receiver])

    def inspect(self, sender: int, data: bytes, sent_at: float) -> None:
        """Records the send time of requests, and checks the facts in answers."""
        try:
            message = msgpack.unpackb(data[HEADER_BYTES:])
        except ValueError:
            return
        if not isinstance(message, list) or not message:
            return
        if message[0] in (FETCH, FETCH_DIFFERING):
            self.fetch_sent_at.setdefault(message[2], sent_at)
        elif message[0] == FACTS:
            fetch_time = min(sent_at, self.fetch_sent_at.get(message[2], sent_at))
            for fact in message[3]:
                self.check_fact_age(sender, fact, sent_at, fetch_time)

    def check_fact_age(self, sender: int, fields: list, sent_at: float, fetch_time: float) -> None:
        """Records a fact whose stated age is lower than its age at `fetch_time`, when it was requested.

        The receiver adds the time since its request to the stated age, so an age that is right at the request
        never becomes too low by a later delay.
        """
        author, life, kind, subject, sequence, value, ticks = fields
        age = ticks / 10_000
        fact_id = Fact(author, life, kind, subject, sequence, tuple(value), ticks).fact_id
        first_seen = self.first_published.setdefault(fact_id, sent_at - age)
        self.fact_kinds[fact_id] = kind
        if age < (fetch_time - first_seen) * MIN_CLOCK_RATE - AGE_ROUNDING_S:
            self.too_young_facts.append((sent_at, sender, fact_id, age, fetch_time - first_seen))
