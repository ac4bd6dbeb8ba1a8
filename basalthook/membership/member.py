"""One member of the group: takes messages and time, gives messages and changes. No I/O, clock or random seed.

SWIM: in each period one member, taken in turn from a shuffled list, is pinged. If it does not answer, a few
others ping it. If it still does not answer it is suspected, and it is dead once the suspicion has timed out.
Updates on members are piggybacked on pings and acks. Lifeguard: a suspicion times out sooner with each
independent witness; a process that is late itself waits longer and accuses nobody; a suspect learns of its
suspicion with the next ping.

Times are whole ticks of the caller's clock, 0.1 ms each.
"""

from math import log, log10
from random import Random
from typing import NamedTuple

ALIVE, SUSPECT, DEAD = 0, 1, 2
STATES = "alive", "suspect", "dead"
PING, ACK, PING_REQUEST, NACK, PAGE_REQUEST, PAGE = range(6)
PROBE_PERIOD, PROBE_TIMEOUT = 5_000, 2_000  # ticks between probes, and until indirect probes start
INDIRECT_PROBES = 3  # members that ping a silent one on request
MAX_WITNESSES = 3  # further witnesses that bring a suspicion to its shortest time-out
# Shortest time-out of a suspicion, in probe periods, multiplied by log10 of the number of members; and the
# longest one, as a multiple of the shortest.
MIN_SUSPICION_FACTOR, SUSPICION_STRETCH = 3.0, 4.0
MAX_HEALTH_PENALTY = 8  # of Lifeguard's local health multiplier
LATE_TICK_FACTOR = 2.0  # probe periods between two ticks from which this process counts as late
# Updates piggybacked on a message; members in a page; bytes of updates in a message.
MAX_PIGGYBACKED, PAGE_SIZE, MAX_UPDATE_BYTES = 8, 20, 1_050
RETRANSMIT_FACTOR = 3  # an update is sent so many times for each doubling of the members
FORGET_DEAD_AFTER = 6_000_000  # ticks for which a dead member is probed for its return
DEAD_PROBE_INTERVAL, PAGE_INTERVAL = 20_000, 150_000  # ticks between probes of dead members; page requests
# Members known at most; open requests allowed beyond one per member; ticks for which a request stays open.
MAX_MEMBERS, MIN_OPEN_REQUESTS, REQUEST_LIFETIME = 8_192, 512, 100_000


class Update(NamedTuple):
    """The state of a member as sent to others; the greatest (life, incarnation, state) wins."""

    name: str
    host: str
    port: int
    life: int  # number of its process; a restarted one has a greater number
    incarnation: int
    state: int
    by: str = ""  # of a suspicion: the member whose own probes failed

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def rank(self) -> tuple[int, int, int]:
        return self[3:6]


class MemberChange(NamedTuple):
    """A change of a member's state; `before` is None for a new member, `by` the member that sent it."""

    update: Update
    before: int | None
    by: str


class Suspicion:
    """A running suspicion: when it started and which members' probes support it."""

    __slots__ = ("since", "witnesses")

    def __init__(self, since: int, by: str) -> None:
        self.since, self.witnesses = since, {by}


def parse_update(encoded) -> Update | None:
    """Decodes an update unpacked by msgpack; None if it is malformed."""
    if not isinstance(encoded, list | tuple) or len(encoded) != 7:
        return None
    name, host, port, life, incarnation, state, by = encoded
    numbers_valid = all(
        isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62
        for n in (port, life, incarnation, state)
    )
    texts_valid = all(isinstance(text, str) and len(text) <= 64 for text in (name, host, by))
    return (
        Update(*encoded)
        if numbers_valid and texts_valid and name and host and port < 65_536 and state <= DEAD
        else None
    )


class Member:
    """The protocol state of one member. `send(address, message)` sends; `on_change(MemberChange)` reports."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        life: int,
        seeds: list[tuple[str, int]],
        rng: Random,
        send,
        on_change=lambda change: None,
    ) -> None:
        self.me = Update(name, *address, life, 0, ALIVE)
        self.seeds, self.rng, self.send, self.on_change = seeds, rng, send, on_change
        self.peers: dict[str, Update] = {}  # all others, the dead up to FORGET_DEAD_AFTER; bounded
        self.suspicions: dict[str, Suspicion] = {}
        self.died_at: dict[str, int] = {}  # name -> when, of dead peers
        self.piggyback: dict[str, list] = {}  # name -> [times sent, update]
        self.probe_queue: list[str] = []  # taken from the end
        self.open_requests: dict[int, tuple] = {}  # nonce -> (when, kind, details)
        self.probe: list | None = None  # [name, nonce, indirect probes sent or "answered", since]
        self.live_names: tuple[str, ...] = ()  # alive or suspect, this one included, sorted
        self.health_penalty = 0  # the local health multiplier
        self.last_tick_at = self.next_probe_at = self.next_dead_probe_at = self.next_page_at = None
        self.on_new_life = lambda life: None  # called when this process has to take a later life
        self.false_suspicions = 0

    # ---- queries

    @property
    def name(self) -> str:
        return self.me.name

    def address(self, name: str) -> tuple[str, int] | None:
        return self.peers[name].address if name in self.peers else None

    def live(self) -> tuple[str, ...]:
        """Returns the names of all members that are not dead, this one included, sorted."""
        return self.live_names

    def random_members(self, limit: int, excluded: str = "") -> list[str]:
        """Returns up to `limit` random live members other than this one and `excluded`."""
        if len(self.live_names) <= limit + 2:
            return [
                n
                for n in self.rng.sample(self.live_names, len(self.live_names))
                if n not in (self.name, excluded)
            ][:limit]
        names: list[str] = []
        while len(names) < limit:
            name = self.live_names[self.rng.randrange(len(self.live_names))]
            if name not in (self.name, excluded) and name not in names:
                names.append(name)
        return names

    def begin(self, now: int, known: list[Update] = ()) -> None:
        """Starts or, after `leave`, rejoins with a later life. `known`: members known to the caller."""
        if self.me.state == DEAD:
            self.me = self.me._replace(life=self.me.life + 1, incarnation=0, state=ALIVE)
            self.on_new_life(self.me.life)
        self.last_tick_at, self.next_probe_at = now, now + self.rng.randrange(PROBE_PERIOD)
        self.next_dead_probe_at, self.next_page_at = now, now + self.rng.randrange(PAGE_INTERVAL)
        self.peers = {update.name: update for update in known if update.name != self.name}
        self.refresh_live_names()
        self.queue_update(self.me)

    # ---- time

    def leave(self) -> None:
        """Announces an orderly leave to a few members, which spread it, so that no probe has to find out."""
        self.me = self.me._replace(incarnation=self.me.incarnation + 1, state=DEAD)
        for name in self.random_members(RETRANSMIT_FACTOR):
            self.send(self.peers[name].address, [PING, self.name, 0, name, [list(self.me)]])

    def tick(self, now: int) -> None:
        """Call several times a period."""
        gap = now - self.last_tick_at
        if gap > LATE_TICK_FACTOR * PROBE_PERIOD:
            self.on_late_tick(now, gap)
        self.last_tick_at = now
        while self.open_requests and now - next(iter(self.open_requests.values()))[0] > REQUEST_LIFETIME:
            del self.open_requests[next(iter(self.open_requests))]
        for name, suspicion in list(self.suspicions.items()):
            if now - suspicion.since >= self.suspicion_timeout(suspicion):
                self.apply_update(now, self.peers[name]._replace(state=DEAD), self.name)
        self.run_probe(now)
        if now >= self.next_dead_probe_at:
            self.next_dead_probe_at = now + DEAD_PROBE_INTERVAL
            self.probe_dead_members(now)
        if now >= self.next_page_at and len(self.live_names) > 1:
            self.next_page_at = now + PAGE_INTERVAL + self.rng.randrange(PAGE_INTERVAL // 2)
            # a single page from a random place: the cost of full lists would grow with the fleet
            self.request_page(
                now, self.peers[self.random_members(1)[0]].address, self.rng.choice(self.live_names), False
            )

    def on_late_tick(self, now: int, gap: int) -> None:
        """Adjusts after a pause of this process: answers missed meanwhile accuse nobody."""
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        self.probe, self.next_probe_at = None, now + PROBE_PERIOD
        self.open_requests.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += gap

    def suspicion_timeout(self, suspicion: Suspicion) -> int:
        """Returns the ticks after which a suspicion makes its member dead."""
        shortest = MIN_SUSPICION_FACTOR * PROBE_PERIOD * max(1.0, log10(max(1, len(self.live_names))))
        longest, confirmations = (
            shortest * SUSPICION_STRETCH,
            min(len(suspicion.witnesses) - 1, MAX_WITNESSES),
        )
        if len(self.live_names) <= MAX_WITNESSES + 1:  # too few for further witnesses
            return int(shortest)
        return int(
            max(shortest, longest - (longest - shortest) * log(confirmations + 1) / log(MAX_WITNESSES + 1))
        )

    def run_probe(self, now: int) -> None:
        """Advances the current probe and starts the next one when it is due."""
        slowdown = 1 + self.health_penalty
        if self.probe is not None:
            name, nonce, indirect, since = self.probe
            if not indirect and now - since >= PROBE_TIMEOUT * slowdown:
                self.probe[2] = True
                self.send(self.peers[name].address, [PING, self.name, nonce, name, self.updates_for(name)])
                for other in self.random_members(INDIRECT_PROBES, name):
                    self.send(
                        self.peers[other].address, [PING_REQUEST, self.name, nonce, list(self.peers[name])]
                    )
            if now - since >= PROBE_PERIOD * slowdown:
                self.probe = None
                self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
                if name in self.peers and self.peers[name].state != DEAD:
                    self.apply_update(now, self.peers[name]._replace(state=SUSPECT, by=self.name), self.name)
        if self.probe is None and now >= self.next_probe_at:
            self.next_probe_at = now + PROBE_PERIOD * slowdown
            name = self.next_to_probe()
            if name is not None:
                self.probe = [name, self.open_request(now, (PING, name)), False, now]
                self.send(
                    self.peers[name].address, [PING, self.name, self.probe[1], name, self.updates_for(name)]
                )

    def next_to_probe(self) -> str | None:
        while self.probe_queue or len(self.live_names) > 1:
            if not self.probe_queue:
                self.probe_queue = [name for name in self.live_names if name != self.name]
                self.rng.shuffle(self.probe_queue)
            name = self.probe_queue.pop()
            if name in self.peers and self.peers[name].state != DEAD:
                return name
        return None

    def probe_dead_members(self, now: int) -> None:
        """Probes a dead member or an unknown seed.

        Without this, the halves of a healed partition would see each other as dead for ever.
        """
        for name in [n for n, since in self.died_at.items() if now - since > FORGET_DEAD_AFTER]:
            del self.died_at[name], self.peers[name]
        alive = {update.address for update in self.peers.values() if update.state != DEAD}
        candidates = [(name, self.peers[name].address) for name in self.died_at] + [
            ("", seed) for seed in self.seeds if seed not in alive and seed != self.me.address
        ]
        if not candidates:
            return
        name, address = self.rng.choice(candidates)
        if name:
            self.send(
                address,
                [PING, self.name, self.open_request(now, (PING, name)), name, [list(self.peers[name])]],
            )
        else:
            self.request_page(now, address, "")

    def request_page(
        self, now: int, address: tuple[str, int], after_name: str, all_pages: bool = True
    ) -> None:
        """Requests members with names after `after_name`; with `all_pages` also the pages that follow."""
        nonce = self.open_request(now, (PAGE_REQUEST, all_pages))
        self.send(address, [PAGE_REQUEST, self.name, nonce, list(self.me), after_name])

    def open_request(self, now: int, details: tuple) -> int:
        while len(self.open_requests) >= MIN_OPEN_REQUESTS + len(self.peers):
            del self.open_requests[next(iter(self.open_requests))]
        nonce = self.rng.getrandbits(48)
        self.open_requests[nonce] = now, *details
        return nonce

    # ---- messages

    def received(self, now: int, message: list, source: tuple[str, int]) -> None:
        """Handles a message accepted by `wire.decode`; ignores unknown kinds and malformed content."""
        try:
            handle = self.HANDLERS[message[0]]
        except IndexError:
            return
        handle(self, now, message, source)

    def on_ping(self, now: int, message: list, source) -> None:
        if len(message) != 5 or message[3] != self.name:
            return  # meant for a member that used this address before
        self.apply_updates(now, message[4], message[1])
        if message[1] not in self.peers:  # requests its state, as the sender is unknown
            self.request_page(now, source, "")
        self.send(source, [ACK, self.name, message[2], self.updates_for(message[1])])

    def on_ack(self, now: int, message: list, source) -> None:
        request = self.open_requests.pop(message[2], None)
        if request is None or len(message) != 4:
            return
        self.apply_updates(now, message[3], message[1])
        if request[1] == PING_REQUEST:  # this ping was sent for another member
            self.send(request[3], [ACK, self.name, request[4], []])
        elif request[1] == PING and self.probe is not None and self.probe[1] == message[2]:
            self.probe = None
            self.health_penalty = max(0, self.health_penalty - 1)

    def on_ping_request(self, now: int, message: list, source) -> None:
        target = parse_update(message[3]) if len(message) == 4 else None
        if target is None or target.name == self.name:
            return
        nonce = self.open_request(now, (PING_REQUEST, target.name, source, message[2]))
        self.send(target.address, [PING, self.name, nonce, target.name, self.updates_for(target.name)])
        self.send(source, [NACK, self.name, message[2]])

    def on_nack(self, now: int, message: list, source) -> None:
        """An indirect prober answered, so this member's own link is not the only cause."""
        if self.probe is not None and self.probe[1] == message[2] and self.probe[2] is True:
            self.probe[2] = "answered"
            self.health_penalty = max(0, self.health_penalty - 1)

    def on_page_request(self, now: int, message: list, source) -> None:
        requester = parse_update(message[3]) if len(message) == 5 else None
        if requester is None or not isinstance(message[4], str):
            return
        self.apply_update(now, requester, message[1])
        previous = [self.peers[requester.name]] if requester.name in self.peers else []  # of an earlier life
        names = sorted(
            [name for name in self.peers if name > message[4]]
            + ([self.name] if self.name > message[4] else [])
        )
        updates = [self.me if name == self.name else self.peers[name] for name in names[:PAGE_SIZE]]
        page = fit_updates(previous + updates)
        last = page[-1][0] if len(page) - len(previous) < len(names) else ""
        self.send(source, [PAGE, self.name, message[2], last, page])

    def on_page(self, now: int, message: list, source) -> None:
        request = self.open_requests.pop(message[2], None)
        if (
            request is None
            or request[1] != PAGE_REQUEST
            or len(message) != 5
            or not isinstance(message[3], str)
        ):
            return
        self.apply_updates(now, message[4], message[1])
        if message[3] and request[2]:
            self.request_page(now, source, message[3])

    HANDLERS = (on_ping, on_ack, on_ping_request, on_nack, on_page_request, on_page)

    # ---- updates

    def apply_updates(self, now: int, updates, by: str) -> None:
        if isinstance(updates, list):
            for encoded in updates[: PAGE_SIZE + 1]:
                if (update := parse_update(encoded)) is not None:
                    self.apply_update(now, update, by)

    def apply_update(self, now: int, update: Update, by: str) -> None:
        """Applies an update received from `by`, and passes it on if it is newer."""
        if update.name == self.name:
            return self.refute(update)
        previous = self.peers.get(update.name)
        if previous is not None and update.rank == previous.rank and update.state == SUSPECT:
            suspicion = self.suspicions.get(update.name)
            if (
                suspicion is not None
                and update.by not in suspicion.witnesses
                and (len(suspicion.witnesses) <= MAX_WITNESSES)
            ):
                suspicion.witnesses.add(update.by)  # the prober itself, not the member that forwards it
                self.queue_update(update)
        if previous is not None and update.rank <= previous.rank:
            if update.state != ALIVE and previous.state == ALIVE:
                # the sender missed the refutation and would go on to declare the member dead
                self.queue_update(previous)
            return
        if previous is None and len(self.peers) >= MAX_MEMBERS:
            return
        if previous is None and update.state == DEAD:
            return  # a new member must not fill its table with members that died long ago
        self.peers[update.name] = update
        self.suspicions.pop(update.name, None)
        self.died_at.pop(update.name, None)
        if update.state == SUSPECT:
            self.suspicions[update.name] = Suspicion(now, update.by)
        elif update.state == DEAD:
            self.died_at[update.name] = now
        if previous is not None and previous.state == SUSPECT and update.state == ALIVE:
            self.false_suspicions += previous.life == update.life
        self.queue_update(update)
        before = None if previous is None else previous.state
        if (before is None or before == DEAD) != (update.state == DEAD):
            self.refresh_live_names()
        self.on_change(MemberChange(update, before, by))

    def refute(self, update: Update) -> None:
        """Answers an update on this member itself with a newer one if it is outdated or wrong."""
        own = self.me
        if update.rank <= own.rank:
            if update.state != ALIVE:
                self.queue_update(own)
            return
        if update.life > own.life:  # this process's clock was set back since an earlier life
            self.me = own._replace(life=update.life + 1, incarnation=0)
            self.on_new_life(self.me.life)
        else:
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + (update.state == SUSPECT))
            self.me = own._replace(incarnation=update.incarnation + 1)
        self.queue_update(self.me)

    def queue_update(self, update: Update) -> None:
        self.piggyback[update.name] = [0, update]

    def updates_for(self, to: str) -> list:
        """Returns updates to piggyback: a suspect's own suspicion first, then those sent least often."""
        piggyback, max_transmissions = (
            self.piggyback,
            RETRANSMIT_FACTOR * max(1, len(self.live_names)).bit_length(),
        )
        own_suspicion = [self.peers[to]] if to in self.suspicions else []
        entries = (
            sorted(piggyback.values(), key=lambda entry: entry[0])[:MAX_PIGGYBACKED]
            if len(piggyback) > MAX_PIGGYBACKED
            else list(piggyback.values())
        )
        updates = fit_updates(own_suspicion + [entry[1] for entry in entries])
        for entry in entries[: len(updates) - len(own_suspicion)]:
            entry[0] += 1
            if entry[0] >= max_transmissions:
                del piggyback[entry[1].name]
        return updates

    def refresh_live_names(self) -> None:
        self.live_names = tuple(sorted([n for n, u in self.peers.items() if u.state != DEAD] + [self.name]))


def fit_updates(updates: list[Update]) -> list[list]:
    """Encodes as many of the first updates as fit one datagram."""
    encoded, bytes_left = [], MAX_UPDATE_BYTES
    for update in updates:
        bytes_left -= (
            len(update.name.encode()) + len(update.host) + len(update.by.encode()) + 30
        )  # at most, with the other fields
        if bytes_left < 0:
            break
        encoded.append(list(update))
    return encoded
