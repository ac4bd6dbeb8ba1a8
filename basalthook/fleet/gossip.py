"""Facts on the members' datagrams: told as rumours that cool, repaired by digests. Datagrams and time in and
out.

Nobody takes a fact that it has not asked for: a rumour is a row of marks, who lacks some asks for them under
a nonce of its own, and adds to each fact's age the time from its question to the answer, on its own clock. So
a datagram that was held up, or played again, can't make a fact younger than it is, whatever the links do.

    rumour > marks of what is new        ask > marks that are lacking        answer > facts
    every REPAIR: ask_differing > digests by author, over a range            answer > facts that differ
"""

from random import Random

import msgpack

from ..membership import wire
from ..membership.member import STATES, Member, MemberChange, Update
from .facts import Fact, FactTable, parse_fact

RUMOUR, FETCH, FACTS, FETCH_DIFFERING = 16, 17, 18, 19
TELL_TO = 3  # members told in a round
MARKS, DIGESTS = 32, 48  # in one datagram
REPAIR = 20_000  # ticks between two exchanges of digests
RATE, BURST = 1.6, 32_000  # bytes a tick that facts may take going out (16 kB a second), and at once
IN_RATE, IN_BURST = 0.2, 2_000  # datagrams a tick that are read at all (2,000 a second), and at once
OPEN_FOR, OPEN_LEAST = 50_000, 256  # ticks that a question stays open
ROOM = wire.MAX_DATAGRAM - 40  # bytes for what a datagram carries
COMPLAIN = 100_000  # ticks between two log lines on unsound datagrams


class Gossip:
    """One process's part: `out(address, bytes)` sends; `say(event, **fields)` is the log."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        key: bytes,
        lives: dict[str, int],
        chance: Random,
        out,
        say=lambda event, **fields: None,
    ) -> None:
        self.name, self.key, self.chance, self.out, self.say = name, key, chance, out, say
        self.member = Member(name, address, life, seeds, chance, self.send, self.changed)
        self.table = FactTable(name, life, lives)
        self.member.on_new_life = self.table.adopt_life
        self.open_requests: dict[int, int] = {}  # nonce -> when; emptied by answers and by time
        self.tokens, self.in_tokens, self.last, self.in_last = float(BURST), float(IN_BURST), 0, 0
        self.repair_next = self.expire_next = 0
        self.refused: dict[str, int] = {}  # reason -> count
        self.complained = -COMPLAIN
        self.sent = self.sent_bytes = self.received_count = 0
        self.message_lengths: dict[
            int, int
        ] = {}  # kind -> length of messages that another part of this process
        self.on_message = lambda now, message: None  # ... takes

    def begin(self, now: int, known: list[Update] = ()) -> None:
        self.last = self.in_last = now
        self.repair_next, self.expire_next = now + self.chance.randrange(REPAIR), now
        self.member.begin(now, known)

    def live(self) -> tuple[str, ...]:
        return self.member.live()

    def changed(self, change: MemberChange) -> None:
        # guards against words of a process that is gone, at those whom no word of its successor has reached
        self.table.void_earlier_lives(change.update.name, change.update.life)
        if change.before is not None or change.update.state:
            self.say("member", name=change.update.name, state=STATES[change.update.state], by=change.by)

    def send(self, address: tuple[str, int], message: list) -> int:
        data = wire.encode(self.key, message)
        self.sent += 1
        self.sent_bytes += len(data)
        self.out(address, data)
        return len(data)

    def send_to(self, name: str, message: list) -> None:
        """To a member by its name; to one that is not known it is lost, as a datagram may be."""
        if name in self.live():
            self.send(self.member.address(name), message)

    def pay(self, address: tuple[str, int], message: list) -> None:
        self.tokens -= self.send(address, message)

    # ---- time

    def tick(self, now: int) -> None:
        """Several times a second."""
        self.tokens = min(BURST, self.tokens + (now - self.last) * RATE)
        self.last = now
        self.member.tick(now)
        while self.open_requests and now - next(iter(self.open_requests.values())) > OPEN_FOR:
            del self.open_requests[next(iter(self.open_requests))]
        if now >= self.expire_next:
            self.expire_next = now + REPAIR // 4
            self.table.expire(now)
        if len(self.live()) < 2:
            return
        if self.table.hot:
            self.send_rumours()
        if now >= self.repair_next:
            self.repair_next = now + REPAIR * 3 // 4 + self.chance.randrange(REPAIR // 2)
            self.repair(now)

    def send_rumours(self) -> None:
        """A round of telling; also called as soon as this process has told a word itself."""
        if self.tokens <= 0 or len(self.live()) < 2:
            return
        marks = self.table.next_rumours(MARKS)
        for name in self.member.random_members(TELL_TO):
            self.pay(self.member.address(name), [RUMOUR, self.name, 0, marks])

    def repair(self, now: int) -> None:
        """Whose words differ over there; from a random place on, so that every author comes by."""
        low = self.chance.getrandbits(32) if len(self.table.of) > DIGESTS else 0
        digests, end = self.table.digests(now, low, DIGESTS)
        for name in self.member.random_members(1):
            self.pay(
                self.member.address(name),
                [
                    FETCH_DIFFERING,
                    self.name,
                    self.open_request(now),
                    low,
                    end,
                    [list(pair) for pair in digests],
                ],
            )

    def open_request(self, now: int) -> int:
        while len(self.open_requests) >= OPEN_LEAST + len(self.member.peers):
            del self.open_requests[next(iter(self.open_requests))]
        nonce = self.chance.getrandbits(48)
        self.open_requests[nonce] = now
        return nonce

    # ---- datagrams

    def received(self, now: int, data: bytes, source: tuple[str, int]) -> None:
        """Whatever is not sound, too much or not asked for is passed over; the first of a kind is said."""
        self.in_tokens = min(IN_BURST, self.in_tokens + max(0, now - self.in_last) * IN_RATE)
        self.in_last = now
        if self.in_tokens < 1:
            return self.refuse(now, "too many", source)
        self.in_tokens -= 1
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
        if now - self.complained >= COMPLAIN:
            self.complained = now
            self.say("datagrams refused", reason=reason, source=list(source), counts=dict(self.refused))

    def rumoured(self, now: int, message: list, source) -> None:
        lacking = self.table.missing(numbers(message[3], MARKS))
        if lacking:
            self.pay(source, [FETCH, self.name, self.open_request(now), lacking])

    def was_asked(self, now: int, message: list, source) -> None:
        self.answer(source, message[2], self.table.facts_for(now, numbers(message[3], MARKS)))

    def asked_differing(self, now: int, message: list, source) -> None:
        _, _, nonce, low, end, digests = message
        if not isinstance(low, int) or not isinstance(end, int) or not isinstance(digests, list):
            return
        known = dict(pair for pair in digests[:DIGESTS] if len(numbers(pair, 2)) == 2)
        self.answer(source, nonce, self.table.differing_facts(now, low, end, known))

    def answer(self, to: tuple[str, int], nonce: int, facts: list[Fact]) -> None:
        """As many as one datagram holds, the youngest first; what is left is for another exchange."""
        told, room = [], ROOM
        for fact in sorted(facts, key=lambda f: f.age):
            plain = [*fact[:6], fact.age]
            room -= len(msgpack.packb(plain))
            if room < 0:
                break
            told.append(plain)
        if told:
            self.pay(to, [FACTS, self.name, nonce, told])

    def facts_received(self, now: int, message: list, source) -> None:
        asked_at = self.open_requests.pop(message[2], None)
        if asked_at is None or not isinstance(message[3], list):
            return  # guards against a datagram that was held up, forged or played again
        for plain in message[3]:
            fact = parse_fact(plain)
            if fact is not None:
                self.table.merge(now, fact._replace(age=fact.age + now - asked_at), len(self.live()))

    HANDLERS = {RUMOUR: rumoured, FETCH: was_asked, FACTS: facts_received, FETCH_DIFFERING: asked_differing}
    LENGTHS = {RUMOUR: 4, FETCH: 4, FACTS: 4, FETCH_DIFFERING: 6}


def numbers(plain, most: int) -> list[int]:
    """What of it are whole numbers of four bytes, if it is a list."""
    if not isinstance(plain, list):
        return []
    return [n for n in plain[:most] if isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**32]
