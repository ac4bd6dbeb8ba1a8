"""Dissemination of facts among members by gossip: rumours, repaired by digests. No I/O.

A member accepts only facts that it has requested. A rumour is a list of fact ids. Whoever lacks some of them
requests them under a nonce of its own, and adds the time from its request to the answer, on its own clock, to
the age of each fact. So a datagram that was delayed or replayed can't make a fact look younger than it is.

    RUMOUR (ids of new facts) is answered with FETCH (ids that the receiver lacks), and that with FACTS.
    Every REPAIR_INTERVAL, FETCH_DIFFERING (digests by author over a range) is answered with FACTS (those of
    authors whose digests differ).

All times are ticks of 0.1 ms.
"""

from random import Random

import msgpack

from ..membership import wire
from ..membership.member import STATES, Member, MemberChange, Update
from .facts import Fact, FactTable, parse_fact

RUMOUR, FETCH, FACTS, FETCH_DIFFERING = 16, 17, 18, 19
FANOUT = 3  # members that a rumour is sent to in a round
MAX_IDS, MAX_DIGESTS = 32, 48  # per datagram
REPAIR_INTERVAL = 20_000  # ticks between exchanges of digests, on average
# Bytes per tick for sending facts (16 kB per second), and bytes at once.
SEND_RATE, SEND_BURST = 1.6, 32_000
# Datagrams per tick that are read (2,000 per second), and datagrams at once.
RECEIVE_RATE, RECEIVE_BURST = 0.2, 2_000
# Ticks for which an answer to a request is accepted; open requests allowed beyond one per member.
REQUEST_LIFETIME, MIN_OPEN_REQUESTS = 50_000, 256
MAX_PAYLOAD = wire.MAX_DATAGRAM - 40  # bytes of facts in one datagram
REFUSAL_LOG_INTERVAL = 100_000  # ticks between log lines on refused datagrams


class Gossip:
    """Gossip, facts and membership of one process.

    `send_datagram(address, data)` sends; `log_event(event, **fields)` writes to the log.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        key: bytes,
        lifetimes: dict[str, int],
        rng: Random,
        send_datagram,
        log_event=lambda event, **fields: None,
    ) -> None:
        self.name, self.key, self.rng, self.send_datagram, self.log_event = (
            name,
            key,
            rng,
            send_datagram,
            log_event,
        )
        self.member = Member(name, address, life, seeds, rng, self.send, self.member_changed)
        self.table = FactTable(name, life, lifetimes)
        self.member.on_new_life = self.table.adopt_life
        self.open_requests: dict[int, int] = {}  # nonce -> requested at
        self.send_tokens, self.receive_tokens, self.last_tick_at, self.last_received_at = (
            float(SEND_BURST),
            float(RECEIVE_BURST),
            0,
            0,
        )
        self.next_repair_at = self.next_expiry_at = 0
        self.refused: dict[str, int] = {}  # reason -> count
        self.refusal_logged_at = -REFUSAL_LOG_INTERVAL
        self.sent = self.sent_bytes = self.received_count = 0
        # kinds of messages that `on_message` handles, with their lengths
        self.message_lengths: dict[int, int] = {}
        self.on_message = lambda now, message: None

    def begin(self, now: int, known: list[Update] = ()) -> None:
        """Starts the exchange. `known`: members known to the caller."""
        self.last_tick_at = self.last_received_at = now
        self.next_repair_at, self.next_expiry_at = now + self.rng.randrange(REPAIR_INTERVAL), now
        self.member.begin(now, known)

    def live(self) -> tuple[str, ...]:
        return self.member.live()

    def member_changed(self, change: MemberChange) -> None:
        # facts of an ended process must not stay valid where no fact of its successor has arrived yet
        self.table.void_earlier_lives(change.update.name, change.update.life)
        if change.before is not None or change.update.state:
            self.log_event("member", name=change.update.name, state=STATES[change.update.state], by=change.by)

    def send(self, address: tuple[str, int], message: list) -> int:
        data = wire.encode(self.key, message)
        self.sent += 1
        self.sent_bytes += len(data)
        self.send_datagram(address, data)
        return len(data)

    def send_to(self, name: str, message: list) -> None:
        """Sends to a live member by name; to an unknown one the message is lost, as a datagram may be."""
        if name in self.live():
            self.send(self.member.address(name), message)

    def send_metered(self, address: tuple[str, int], message: list) -> None:
        self.send_tokens -= self.send(address, message)

    # ---- time

    def tick(self, now: int) -> None:
        """Call several times a second."""
        self.send_tokens = min(SEND_BURST, self.send_tokens + (now - self.last_tick_at) * SEND_RATE)
        self.last_tick_at = now
        self.member.tick(now)
        while self.open_requests and now - next(iter(self.open_requests.values())) > REQUEST_LIFETIME:
            del self.open_requests[next(iter(self.open_requests))]
        if now >= self.next_expiry_at:
            self.next_expiry_at = now + REPAIR_INTERVAL // 4
            self.table.expire(now)
        if len(self.live()) < 2:
            return
        if self.table.pending:
            self.send_rumours()
        if now >= self.next_repair_at:
            self.next_repair_at = now + REPAIR_INTERVAL * 3 // 4 + self.rng.randrange(REPAIR_INTERVAL // 2)
            self.repair(now)

    def send_rumours(self) -> None:
        """Sends a round of rumours; also called at once when this process publishes an urgent fact."""
        if self.send_tokens <= 0 or len(self.live()) < 2:
            return
        fact_ids = self.table.next_rumours(MAX_IDS)
        for name in self.member.random_members(FANOUT):
            self.send_metered(self.member.address(name), [RUMOUR, self.name, 0, fact_ids])

    def repair(self, now: int) -> None:
        """Asks a random member for facts that differ, from a random author on, so that all get compared."""
        start = self.rng.getrandbits(32) if len(self.table.by_author) > MAX_DIGESTS else 0
        digests, end = self.table.digests(now, start, MAX_DIGESTS)
        for name in self.member.random_members(1):
            self.send_metered(
                self.member.address(name),
                [
                    FETCH_DIFFERING,
                    self.name,
                    self.open_request(now),
                    start,
                    end,
                    [list(pair) for pair in digests],
                ],
            )

    def open_request(self, now: int) -> int:
        while len(self.open_requests) >= MIN_OPEN_REQUESTS + len(self.member.peers):
            del self.open_requests[next(iter(self.open_requests))]
        nonce = self.rng.getrandbits(48)
        self.open_requests[nonce] = now
        return nonce

    # ---- datagrams

    def received(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram; drops excess, malformed and unrequested ones, and logs refusals."""
        self.receive_tokens = min(
            RECEIVE_BURST, self.receive_tokens + max(0, now - self.last_received_at) * RECEIVE_RATE
        )
        self.last_received_at = now
        if self.receive_tokens < 1:
            return self.refuse(now, "too many", source)
        self.receive_tokens -= 1
        self.received_count += 1
        message = wire.decode(self.key, data)
        if isinstance(message, str):
            return self.refuse(now, message, source)
        if message[0] < RUMOUR:
            self.member.received(now, message, source)
        elif self.message_lengths.get(message[0]) == len(message) and isinstance(message[1], str):
            self.on_message(now, message)
        elif message[0] in self.HANDLERS and len(message) == self.LENGTHS[message[0]]:
            self.HANDLERS[message[0]](self, now, message, source)

    def refuse(self, now: int, reason: str, source) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if now - self.refusal_logged_at >= REFUSAL_LOG_INTERVAL:
            self.refusal_logged_at = now
            self.log_event("datagrams refused", reason=reason, source=list(source), counts=dict(self.refused))

    def on_rumour(self, now: int, message: list, source) -> None:
        missing = self.table.missing(valid_ids(message[3], MAX_IDS))
        if missing:
            self.send_metered(source, [FETCH, self.name, self.open_request(now), missing])

    def on_fetch(self, now: int, message: list, source) -> None:
        """Sends the facts that were requested by id."""
        self.send_facts(source, message[2], self.table.facts_for(now, valid_ids(message[3], MAX_IDS)))

    def on_fetch_differing(self, now: int, message: list, source) -> None:
        _, _, nonce, start, end, digests = message
        if not isinstance(start, int) or not isinstance(end, int) or not isinstance(digests, list):
            return
        peer_digests = dict(pair for pair in digests[:MAX_DIGESTS] if len(valid_ids(pair, 2)) == 2)
        self.send_facts(source, nonce, self.table.differing_facts(now, start, end, peer_digests))

    def send_facts(self, address: tuple[str, int], nonce: int, facts: list[Fact]) -> None:
        """Sends the youngest facts that fit one datagram; the rest is left to later exchanges."""
        packed, bytes_left = [], MAX_PAYLOAD
        for fact in sorted(facts, key=lambda f: f.age):
            encoded = [*fact[:6], fact.age]
            bytes_left -= len(msgpack.packb(encoded))
            if bytes_left < 0:
                break
            packed.append(encoded)
        if packed:
            self.send_metered(address, [FACTS, self.name, nonce, packed])

    def on_facts(self, now: int, message: list, source) -> None:
        requested_at = self.open_requests.pop(message[2], None)
        if requested_at is None or not isinstance(message[3], list):
            return  # delayed, forged or replayed: its ages can't be trusted
        for encoded in message[3]:
            fact = parse_fact(encoded)
            if fact is not None:
                self.table.merge(now, fact._replace(age=fact.age + now - requested_at), len(self.live()))

    HANDLERS = {RUMOUR: on_rumour, FETCH: on_fetch, FACTS: on_facts, FETCH_DIFFERING: on_fetch_differing}
    LENGTHS = {RUMOUR: 4, FETCH: 4, FACTS: 4, FETCH_DIFFERING: 6}


def valid_ids(encoded, limit: int) -> list[int]:
    """Returns the 32-bit unsigned integers among the first `limit` items; [] if it is no list."""
    if not isinstance(encoded, list):
        return []
    return [n for n in encoded[:limit] if isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**32]
