"""One member of the fleet: messages and time in, messages and changes out. No I/O, no clock, no chance of its
own.

SWIM: each period one member, in the turns of a shuffled row, is pinged; without an answer a few others ping
it; without an answer again it is suspected, and dead once its suspicion has lasted. What is told of members
rides on pings and acks. Lifeguard: the time of a suspicion shrinks with each independent witness; who is
itself late waits longer and accuses nobody; a suspect is told of it with the next ping.

Times are whole ticks of the caller's clock, tenths of a millisecond.
"""

from math import log, log10
from random import Random
from typing import NamedTuple

ALIVE, SUSPECT, DEAD = 0, 1, 2
STATES = "alive", "suspect", "dead"
PING, ACK, PING_REQUEST, NACK, ASK_PAGE, PAGE = range(6)
PERIOD, TIMEOUT = 5_000, 2_000  # ticks between two probes, and until others are asked
ASKED = 3  # members that ping in our place
WITNESSES = 3  # independent ones that bring a suspicion to its least time
LEAST, STRETCH = 3.0, 4.0  # least time of a suspicion: periods times log10 of the members; most: so much
LATE_MOST = 8  # of the local health multiplier
LATE = 2.0  # so many times its period between two ticks: this process was late itself
RIDE, PAGE_SIZE, ROOM = 8, 20, 1_050  # updates that ride on a message; members in a page; bytes of either
RETOLD = 3  # an update is told so many times for each doubling of the members
FORGET = 6_000_000  # ticks after which a dead member is no more asked whether it is back
BACK, REFRESH = 20_000, 150_000  # ticks between two such questions, between two pages asked of a member
MEMBERS_MOST, OPEN_LEAST, OPEN_FOR = 8_192, 512, 100_000


class Update(NamedTuple):
    """What is told of a member; greater (life, incarnation, state) stands."""

    name: str
    host: str
    port: int
    life: int  # of its process
    incarnation: int
    state: int
    by: str = ""  # of a suspicion: whose own probes found it so

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def rank(self) -> tuple[int, int, int]:
        return self[3:6]


class MemberChange(NamedTuple):
    """A member is seen otherwise than before; `by`: whose word it is, of a suspicion its first witness."""

    update: Update
    before: int | None
    by: str


class Suspicion:
    __slots__ = ("since", "witnesses")

    def __init__(self, since: int, by: str) -> None:
        self.since, self.witnesses = since, {by}


def read(plain) -> Update | None:
    if not isinstance(plain, list | tuple) or len(plain) != 7:
        return None
    name, host, port, life, incarnation, state, by = plain
    numbers = all(
        isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62
        for n in (port, life, incarnation, state)
    )
    words = all(isinstance(word, str) and len(word) <= 64 for word in (name, host, by))
    return Update(*plain) if numbers and words and name and host and port < 65_536 and state <= DEAD else None


class Member:
    """`send(address, message)` is called for what goes out; `on_change(MemberChange)` for changes."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        chance: Random,
        send,
        on_change=lambda change: None,
    ) -> None:
        self.me = Update(name, *address, life, 0, ALIVE)
        self.seeds, self.chance, self.send, self.on_change = seeds, chance, send, on_change
        self.peers: dict[str, Update] = {}  # all others; bounded; the dead go after FORGET
        self.suspicions: dict[str, Suspicion] = {}
        self.died: dict[str, int] = {}  # name -> when; a part of `known`
        self.riding: dict[str, list] = {}  # name -> [times told, update]; emptied as they are told
        self.row: list[str] = []  # who is probed next, from its end
        self.open: dict[int, tuple] = {}  # nonce -> what was asked; emptied by answers and by time
        self.probe: list | None = None  # [name, nonce, asked others, since]
        self.others: tuple[str, ...] = ()  # alive or suspected, sorted
        self.health_penalty = 0  # the local health multiplier
        self.last = self.next = self.back_next = self.page_next = None
        self.on_new_life = lambda life: None  # told when this process had to take a later life
        self.false_suspicions = 0

    # ---- what others ask of it

    @property
    def name(self) -> str:
        return self.me.name

    def address(self, name: str) -> tuple[str, int] | None:
        return self.peers[name].address if name in self.peers else None

    def live(self) -> tuple[str, ...]:
        """All that count as alive, this one too, sorted."""
        return self.others

    def random_members(self, most: int, without: str = "") -> list[str]:
        """Others that live, by chance."""
        if len(self.others) <= most + 2:
            return [
                n for n in self.chance.sample(self.others, len(self.others)) if n not in (self.name, without)
            ][:most]
        found: list[str] = []
        while len(found) < most:
            name = self.others[self.chance.randrange(len(self.others))]
            if name not in (self.name, without) and name not in found:
                found.append(name)
        return found

    def begin(self, now: int, known: list[Update] = ()) -> None:
        """`known`: members told of at start, by whoever holds them already. One that had left lives anew."""
        if self.me.state == DEAD:
            self.me = self.me._replace(life=self.me.life + 1, incarnation=0, state=ALIVE)
            self.on_new_life(self.me.life)
        self.last, self.next = now, now + self.chance.randrange(PERIOD)
        self.back_next, self.page_next = now, now + self.chance.randrange(REFRESH)
        self.peers = {update.name: update for update in known if update.name != self.name}
        self.relist()
        self.tell(self.me)

    # ---- time

    def leave(self) -> None:
        """It goes in order: said to a few, who tell the rest, so that nobody has to find out."""
        self.me = self.me._replace(incarnation=self.me.incarnation + 1, state=DEAD)
        for name in self.random_members(RETOLD):
            self.send(self.peers[name].address, [PING, self.name, 0, name, [list(self.me)]])

    def tick(self, now: int) -> None:
        """Several times a period."""
        gap = now - self.last
        if gap > LATE * PERIOD:
            self.was_late(now, gap)
        self.last = now
        while self.open and now - next(iter(self.open.values()))[0] > OPEN_FOR:
            del self.open[next(iter(self.open))]
        for name, suspicion in list(self.suspicions.items()):
            if now - suspicion.since >= self.suspicion_timeout(suspicion):
                self.apply_update(now, self.peers[name]._replace(state=DEAD), self.name)
        self.probing(now)
        if now >= self.back_next:
            self.back_next = now + BACK
            self.probe_dead_members(now)
        if now >= self.page_next and len(self.others) > 1:
            self.page_next = now + REFRESH + self.chance.randrange(REFRESH // 2)
            # one page from anywhere on: all of them from each would grow with the fleet
            self.ask_page(
                now, self.peers[self.random_members(1)[0]].address, self.chance.choice(self.others), False
            )

    def was_late(self, now: int, gap: int) -> None:
        """It stood still itself: what it missed meanwhile is nobody's fault."""
        self.health_penalty = min(LATE_MOST, self.health_penalty + 1)
        self.probe, self.next = None, now + PERIOD
        self.open.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += gap

    def suspicion_timeout(self, suspicion: Suspicion) -> int:
        least = LEAST * PERIOD * max(1.0, log10(max(1, len(self.others))))
        most, others = least * STRETCH, min(len(suspicion.witnesses) - 1, WITNESSES)
        if len(self.others) <= WITNESSES + 1:  # too few to wait for witnesses
            return int(least)
        return int(max(least, most - (most - least) * log(others + 1) / log(WITNESSES + 1)))

    def probing(self, now: int) -> None:
        slower = 1 + self.health_penalty
        if self.probe is not None:
            name, nonce, asked, since = self.probe
            if not asked and now - since >= TIMEOUT * slower:
                self.probe[2] = True
                self.send(self.peers[name].address, [PING, self.name, nonce, name, self.ride(name)])
                for other in self.random_members(ASKED, name):
                    self.send(
                        self.peers[other].address, [PING_REQUEST, self.name, nonce, list(self.peers[name])]
                    )
            if now - since >= PERIOD * slower:
                self.probe = None
                self.health_penalty = min(LATE_MOST, self.health_penalty + 1)
                if name in self.peers and self.peers[name].state != DEAD:
                    self.apply_update(now, self.peers[name]._replace(state=SUSPECT, by=self.name), self.name)
        if self.probe is None and now >= self.next:
            self.next = now + PERIOD * slower
            name = self.turn()
            if name is not None:
                self.probe = [name, self.ask(now, (PING, name)), False, now]
                self.send(self.peers[name].address, [PING, self.name, self.probe[1], name, self.ride(name)])

    def turn(self) -> str | None:
        while self.row or len(self.others) > 1:
            if not self.row:
                self.row = [name for name in self.others if name != self.name]
                self.chance.shuffle(self.row)
            name = self.row.pop()
            if name in self.peers and self.peers[name].state != DEAD:
                return name
        return None

    def probe_dead_members(self, now: int) -> None:
        """Guards against halves of a healed cut that hold each other for dead for ever."""
        for name in [n for n, since in self.died.items() if now - since > FORGET]:
            del self.died[name], self.peers[name]
        alive = {update.address for update in self.peers.values() if update.state != DEAD}
        asked = [(name, self.peers[name].address) for name in self.died] + [
            ("", seed) for seed in self.seeds if seed not in alive and seed != self.me.address
        ]
        if not asked:
            return
        name, address = self.chance.choice(asked)
        if name:
            self.send(address, [PING, self.name, self.ask(now, (PING, name)), name, [list(self.peers[name])]])
        else:
            self.ask_page(now, address, "")

    def ask_page(self, now: int, address: tuple[str, int], after: str, rest: bool = True) -> None:
        """`rest`: and all that come after it."""
        nonce = self.ask(now, (ASK_PAGE, rest))
        self.send(address, [ASK_PAGE, self.name, nonce, list(self.me), after])

    def ask(self, now: int, what: tuple) -> int:
        while len(self.open) >= OPEN_LEAST + len(self.peers):
            del self.open[next(iter(self.open))]
        nonce = self.chance.getrandbits(48)
        self.open[nonce] = now, *what
        return nonce

    # ---- messages

    def received(self, now: int, message: list, source: tuple[str, int]) -> None:
        """A message that `wire.decode` has let through, if it is one of ours; others' content is nothing."""
        try:
            handle = self.HANDLERS[message[0]]
        except IndexError:
            return
        handle(self, now, message, source)

    def pinged(self, now: int, message: list, source) -> None:
        if len(message) != 5 or message[3] != self.name:
            return  # guards against a member that now lives at another's address
        self.told(now, message[4], message[1])
        if message[1] not in self.peers:  # whoever asks and is unknown here is asked who it is
            self.ask_page(now, source, "")
        self.send(source, [ACK, self.name, message[2], self.ride(message[1])])

    def acked(self, now: int, message: list, source) -> None:
        found = self.open.pop(message[2], None)
        if found is None or len(message) != 4:
            return
        self.told(now, message[3], message[1])
        if found[1] == PING_REQUEST:  # asked for another's sake
            self.send(found[3], [ACK, self.name, found[4], []])
        elif found[1] == PING and self.probe is not None and self.probe[1] == message[2]:
            self.probe = None
            self.health_penalty = max(0, self.health_penalty - 1)

    def ping_asked(self, now: int, message: list, source) -> None:
        target = read(message[3]) if len(message) == 4 else None
        if target is None or target.name == self.name:
            return
        nonce = self.ask(now, (PING_REQUEST, target.name, source, message[2]))
        self.send(target.address, [PING, self.name, nonce, target.name, self.ride(target.name)])
        self.send(source, [NACK, self.name, message[2]])

    def nacked(self, now: int, message: list, source) -> None:
        """Somebody answers: this one's own link is not the cause alone."""
        if self.probe is not None and self.probe[1] == message[2] and self.probe[2] is True:
            self.probe[2] = "answered"
            self.health_penalty = max(0, self.health_penalty - 1)

    def page_asked(self, now: int, message: list, source) -> None:
        who = read(message[3]) if len(message) == 5 else None
        if who is None or not isinstance(message[4], str):
            return
        self.apply_update(now, who, message[1])
        rumour = [self.peers[who.name]] if who.name in self.peers else []  # it may have lived here before
        names = sorted(
            [name for name in self.peers if name > message[4]]
            + ([self.name] if self.name > message[4] else [])
        )
        rest = [self.me if name == self.name else self.peers[name] for name in names[:PAGE_SIZE]]
        page = fitting(rumour + rest)
        last = page[-1][0] if len(page) - len(rumour) < len(names) else ""
        self.send(source, [PAGE, self.name, message[2], last, page])

    def paged(self, now: int, message: list, source) -> None:
        found = self.open.pop(message[2], None)
        if found is None or found[1] != ASK_PAGE or len(message) != 5 or not isinstance(message[3], str):
            return
        self.told(now, message[4], message[1])
        if message[3] and found[2]:
            self.ask_page(now, source, message[3])

    HANDLERS = (pinged, acked, ping_asked, nacked, page_asked, paged)

    # ---- what is told of members

    def told(self, now: int, updates, by: str) -> None:
        if isinstance(updates, list):
            for plain in updates[: PAGE_SIZE + 1]:
                if (update := read(plain)) is not None:
                    self.apply_update(now, update, by)

    def apply_update(self, now: int, update: Update, by: str) -> None:
        if update.name == self.name:
            return self.of_me(update)
        old = self.peers.get(update.name)
        if old is not None and update.rank == old.rank and update.state == SUSPECT:
            suspicion = self.suspicions.get(update.name)
            if (
                suspicion is not None
                and update.by not in suspicion.witnesses
                and (len(suspicion.witnesses) <= WITNESSES)
            ):
                suspicion.witnesses.add(update.by)  # an independent one, not who passes it on
                self.tell(update)
        if old is not None and update.rank <= old.rank:
            if update.state != ALIVE and old.state == ALIVE:
                self.tell(old)  # guards against one that missed the refutation and suspects till death
            return
        if old is None and len(self.peers) >= MEMBERS_MOST:
            return
        if old is None and update.state == DEAD:
            return  # guards against a newcomer that fills up with those long gone
        self.peers[update.name] = update
        self.suspicions.pop(update.name, None)
        self.died.pop(update.name, None)
        if update.state == SUSPECT:
            self.suspicions[update.name] = Suspicion(now, update.by)
        elif update.state == DEAD:
            self.died[update.name] = now
        if old is not None and old.state == SUSPECT and update.state == ALIVE:
            self.false_suspicions += old.life == update.life
        self.tell(update)
        before = None if old is None else old.state
        if (before is None or before == DEAD) != (update.state == DEAD):
            self.relist()
        self.on_change(MemberChange(update, before, by))

    def of_me(self, update: Update) -> None:
        """Rumours of its own past, or that it is dead: it lives, and says so louder."""
        mine = self.me
        if update.rank <= mine.rank:
            if update.state != ALIVE:
                self.tell(mine)
            return
        if update.life > mine.life:  # guards against a process that a clock set back makes older
            self.me = mine._replace(life=update.life + 1, incarnation=0)
            self.on_new_life(self.me.life)
        else:
            self.health_penalty = min(LATE_MOST, self.health_penalty + (update.state == SUSPECT))
            self.me = mine._replace(incarnation=update.incarnation + 1)
        self.tell(self.me)

    def tell(self, update: Update) -> None:
        self.riding[update.name] = [0, update]

    def ride(self, to: str) -> list:
        """What rides on a message: a suspect's own suspicion first, then what was told least often."""
        riding, most = self.riding, RETOLD * max(1, len(self.others)).bit_length()
        first = [self.peers[to]] if to in self.suspicions else []
        chosen = (
            sorted(riding.values(), key=lambda entry: entry[0])[:RIDE]
            if len(riding) > RIDE
            else list(riding.values())
        )
        told = fitting(first + [entry[1] for entry in chosen])
        for entry in chosen[: len(told) - len(first)]:
            entry[0] += 1
            if entry[0] >= most:
                del riding[entry[1].name]
        return told

    def relist(self) -> None:
        self.others = tuple(sorted([n for n, u in self.peers.items() if u.state != DEAD] + [self.name]))


def fitting(updates: list[Update]) -> list[list]:
    """As many of them, from the first on, as there is room for in one datagram, as msgpack takes them."""
    found, room = [], ROOM
    for update in updates:
        room -= len(update.name.encode()) + len(update.host) + len(update.by.encode()) + 30  # at most
        if room < 0:
            break
        found.append(list(update))
    return found
