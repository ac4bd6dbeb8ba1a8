"""One process's part in the fleet's limits: the holder's wishes, read off the decisions; the keeper and a
vote for the seat where it is named a voter; pure.

Stands beside the decisions as the verdicts do: `handle` hands events on and looks whether something is
wanted, `tick` tells what the decisions may use. Messages go out by member's name.
"""

from collections import Counter
from math import ceil
from random import Random

from ..policy import interface
from . import seat as seats
from .bounds import BOUNDED, CLOCKS, HOST, RATE, RETRIES, TERM, TICKS, TOKEN_LIFE, Limit
from .holder import Holder
from .keeper import Keeper, Row, Unit
from .seat import Seat, longer

NEED, PART, NOT_ME = 27, 28, 29
KINDS = {seats.CLAIM: 4, seats.VOTE: 5, seats.GIVE_UP: 4, NEED: 6, PART: 7, NOT_ME: 4}  # and their lengths
UNITS = 48  # in one ask, as one datagram holds; beyond, those longest unused are given up
HOLD = 1_500  # ticks that a place is kept after its last use, while nobody waits for it
GAP = 20  # ticks between two asks at least
AHEAD, AHEAD_MOST = 2_500, TOKEN_LIFE * 3 // 4  # ticks of demand that are asked for; where asks are slow
ROTATE = 4  # asks lost in a row after which another voter is asked
LOOKS = 8  # of those who wait, for whom places are asked
SCARCE = 5_000  # ticks after an ask for which its answer tells that there are none
SPREAD = 3 * TICKS // 2  # come-back times of those refused: from a third of it to all of it
FOREVER = 2**60


class Limits:
    """`out(name, message)` sends; `live()` names the members; `position`, `proxies`: as this one was told."""

    def __init__(
        self,
        inner,
        proxy,
        limits: list[Limit],
        me: str,
        life: int,
        voters: tuple[str, ...],
        position: int,
        proxies: int,
        hard_limit: int,
        chance: Random,
        out,
        live,
        now: int,
        say=lambda event, **fields: None,
    ) -> None:
        self.inner, self.proxy, self.limits = inner, proxy, {limit.id: limit for limit in limits}
        self.me, self.life, self.voters = me, life, voters
        self.chance, self.out, self.live = chance, out, live
        self.position, self.proxies, self.say = position, proxies, say
        self.holder = Holder(now)
        self.keeper = Keeper(self.limits, hard_limit) if me in voters else None
        self.seat = self.keeper and Seat(me, life, voters, TERM, CLOCKS, chance, self.send, live, now)
        self.since = 0  # of the seat, when the keeper last began
        self.asks = ""  # who is asked
        self.wake = lambda event: None  # the way to the decisions, for whoever drives them
        self.now = now
        self.hosts = next((n for n, limit in self.limits.items() if limit.kind == HOST), None)
        self.firsts = [(n, limit) for n, limit in self.limits.items() if limit.kind == RATE]
        self.further = next((n for n, limit in self.limits.items() if limit.kind == RETRIES), None)
        self.keys = {
            (n, 0): (interface.FIRST_ATTEMPT, n if limit.profiles else None) for n, limit in self.firsts
        }
        if self.further is not None:
            self.keys[self.further, 0] = interface.FURTHER_ATTEMPT, None
        self.units = {key: unit for unit, key in self.keys.items()}
        self.ready, self.by_mark, self.marks, self.own = None, {}, {}, {}
        self.peaks: dict[Unit, tuple[int, int]] = {}  # most places in use lately, when; emptied by time
        self.demand = {unit: 0.0 for unit in self.keys}  # tokens used a tick, of late
        self.floors = {unit: 0.0 for unit in self.keys}  # tokens of the floor in hand
        self.filled = dict.fromkeys(self.keys, now)
        self.seen = dict.fromkeys(self.keys, 0)
        self.told: dict[tuple, tuple] = {}  # of tokens, by key
        self.told_hosts: dict[int, tuple] = {}  # as many as are listed
        self.ticked = now
        # guards against the hops of a process before this one, which may still be out at its own places
        self.hard_limit, self.own_from = hard_limit, now + longer(hard_limit, CLOCKS)
        self.refused = Counter()  # limit -> transactions rolled back while it was short
        self.begun = self.left = False
        self.give(now)  # guards against hops before the first look: nothing is allowed until it is lent

    # ---- between the decisions and whoever drives them

    def handle(self, now: int, event, seen: int | None = None) -> list:
        self.now = now
        if isinstance(event, interface.TxArrived):  # demand, whether or not it is met
            unit = self.units.get(self.proxy.allowance.resolve_key((interface.FIRST_ATTEMPT, event.profile)))
            if unit is not None:
                self.demand[unit] += 1 / TICKS
        effects = self.inner.handle(now, event, seen)
        if self.holder.short and any(isinstance(effect, interface.RollBack) for effect in effects):
            short = {unit[0] for unit in self.holder.short}
            self.refused.update(dict.fromkeys(short, sum(isinstance(e, interface.RollBack) for e in effects)))
        if self.proxy.queue or self.holder.short and isinstance(event, interface.AttemptEnded):
            self.ask(now)
        return effects

    def tick(self, now: int) -> None:
        """Several times a second."""
        passed, self.ticked, self.now = now - self.ticked, now, now
        if self.seat is not None:
            self.seat.tick(now)
            if self.keeps(now):
                self.answer(self.keeper.tick(now))
        for unit in self.keys:
            self.spent(now, unit)
            self.demand[unit] *= max(0.0, 1 - passed / TICKS)
        self.give(now)
        self.ask(now)
        if self.proxy.queue:  # guards against entries of those that are gone, where no hop ends
            self.wake(interface.LimitsUpdated((), (), self.proxy.allowance.retry_after))

    def come(self, now: int) -> None:
        """It is the member from now on; a process before it was until now."""
        self.own_from, self.left = now + longer(self.hard_limit, CLOCKS), False
        if self.seat is not None:
            self.seat.silent_until = self.seat.next = now + TERM

    def leave(self, now: int) -> None:
        """Another process is this member from now on: what is out may end, nothing more goes out."""
        self.left = True
        self.holder.drop()
        if self.seat is not None:
            self.seat.give_up(now)
        self.floors = dict.fromkeys(self.floors, 0.0)
        self.give(now)

    # ---- the hosts' units

    def known(self) -> None:
        if self.ready is not self.proxy.ready and self.hosts is not None:
            limit, self.ready = self.limits[self.hosts], self.proxy.ready
            self.marks = {server.id: mark_of(server) for server in self.ready}
            self.by_mark = {mark: host for host, mark in self.marks.items()}
            self.own = {
                host: self.own[host]
                if host in self.own
                else limit.own_places(mark, self.position, self.proxies)
                for host, mark in self.marks.items()
            }
            for host, own in self.own.items():
                if own:
                    self.told_hosts.setdefault(host, (0, 0, 0))

    def unit(self, host: int) -> Unit:
        return self.hosts, self.marks[host]

    def mine(self, now: int, host: int) -> int:
        """Its own places there, which need no message."""
        return self.own.get(host, 0) if now >= self.own_from and not self.left else 0

    # ---- what is wanted

    def in_use(self, now: int) -> dict[Unit, int]:
        """Lent places with a hop out, by unit."""
        # guards against giving up places with a hop out at hosts that have left the list meanwhile
        servers = {server.id: server for server, _, _ in self.proxy.attempts.values()}
        return {
            (self.hosts, mark_of(server)): len(server.attempts) - own
            for server in servers.values()
            if len(server.attempts) > (own := self.mine(now, server.id))
        }

    def wishes(self, now: int, used: dict[Unit, int]) -> tuple[dict[Unit, int], dict[Unit, int]]:
        """Places, and tokens more, that would be of use."""
        proxy, places, tokens = self.proxy, {}, {}
        waiting = [
            tx for _, _, n in proxy.queue[:LOOKS] if (tx := proxy.txs.get(n)) and tx.state == "waiting"
        ]
        if self.hosts is not None:
            for unit, n in used.items():
                if n >= self.peaks.get(unit, (0, 0))[0]:
                    self.peaks[unit] = n, now
            for unit, (_, at) in list(self.peaks.items()):
                if now - at > HOLD:
                    self.peaks.pop(unit)
                    if used.get(unit):
                        self.peaks[unit] = used[unit], now
            places = {
                unit: used.get(unit, 0) if unit in self.holder.short else peak
                for unit, (peak, _) in self.peaks.items()
                if unit[1] in self.by_mark
            }
            places = {unit: n for unit, n in places.items() if n}
            for tx in waiting:
                for host in self.candidates(tx):
                    unit = self.unit(host)
                    places[unit] = min(
                        max(places.get(unit, 0), used.get(unit, 0)) + 1, int(self.limits[self.hosts].lent())
                    )
            # what is in use has to be named in the same datagram
            free = sorted(places.keys() - used.keys(), key=lambda u: self.peaks.get(u, (0, now))[1])
            for unit in free[: max(0, len(free) - max(0, UNITS - len(used)))]:
                del places[unit]
        for unit, key in self.keys.items():
            wait = sum(self.proxy.allowance.resolve_key(tx.limit_key) == key for tx in waiting)
            ahead = max(AHEAD, min(AHEAD_MOST, 2 * self.holder.slow))
            more = ceil(ahead * self.demand[unit]) + wait - self.holder.in_hand(now, unit)[0]
            if more > 0:
                tokens[unit] = more
        return places, tokens

    def candidates(self, tx) -> list[int]:
        """The first two hosts for its key that only a place is wanting of."""
        found, proxy = [], self.proxy
        for server in proxy.ranked_hosts(tx.key):
            if (
                server.id in self.marks
                and server.id not in tx.tried
                and proxy.is_eligible(tx, server.entry)
                and (not proxy.excluded(server, "ban", "rest") and proxy.now >= server.verdict_until)
            ):
                found.append(server.id)
                if len(found) == 2:
                    break
        return found

    def ask(self, now: int) -> None:
        if self.left or now - self.holder.asked_at < GAP and self.holder.sequence:
            return
        self.known()
        used = self.in_use(now) if self.hosts is not None else {}
        places, tokens = self.wishes(now, used)
        if not self.holder.due(now, places, tokens):
            return
        name = self.whom(now)
        if not name:
            return
        sequence, got, rows = self.holder.ask(now, places, tokens, used)
        self.give(now)  # first it gives up, then it says so
        self.send(
            name,
            [NEED, self.me, self.life, sequence, got, [[*row.unit, row.holds, row.want] for row in rows]],
        )

    def view(self, now: int) -> list[dict]:
        """For operators: each limit, this proxy's part of it, how old that is, and what it refused."""
        self.known()
        found = []
        for n, limit in self.limits.items():
            row = {
                "limit": limit.name,
                "kind": limit.kind,
                "amount": limit.amount,
                "floor": limit.floor,
                "over": limit.over,
                "age_ms": max(0, self.holder.age(now)) // 10,
                "stale_ms": limit.stale() // 10,
                "keeper": self.asks,
                "short": sum(unit[0] == n for unit in self.holder.short),
                "refused": self.refused[n],
            }
            if limit.places:
                lent = self.holder.parts if now < self.holder.until else {}
                found.append(
                    {
                        **row,
                        "own": sum(self.own.values()),
                        "lent": sum(lent.values()),
                        "in_use": len(self.proxy.attempts),
                        "hosts": len(self.own),
                    }
                )
            else:
                self.spent(now, (n, 0))
                found.append(
                    {
                        **row,
                        "own": int(self.floors[n, 0]),
                        "lent": self.holder.in_hand(now, (n, 0))[0],
                        "a_second": round(self.demand[n, 0] * TICKS, 1),
                    }
                )
        return found

    def whom(self, now: int) -> str:
        """The keeper, as far as it is known; else the voters in turn."""
        if self.seat is not None and (known := self.seat.holder(now)):
            return known
        living = self.live()
        voters = [name for name in self.voters if name in living or name == self.me]
        if self.holder.lost >= ROTATE or self.asks not in voters:
            at = voters.index(self.asks) + 1 if self.asks in voters else 0
            self.asks = voters[at % len(voters)] if voters else ""
        return self.asks

    # ---- what the decisions may use

    def spent(self, now: int, unit: Unit) -> None:
        """What they have used since they were told. The floor's bucket fills first: who went on after a stop
        has used what it was told before, and must not find it there a second time."""
        key, limit = self.keys[unit], self.limits[unit[0]]
        rate, depth = limit.own_rate(self.proxies)
        far = limit.over == BOUNDED and now < self.holder.until
        more = 0 if far or self.left else rate * (now - self.filled[unit])
        self.floors[unit] = min(depth, self.floors[unit] + more)
        self.filled[unit] = now
        used = self.proxy.allowance.used.get(key, 0) - self.seen[unit]
        if used > 0:
            self.seen[unit] += used
            if key[0] == interface.FURTHER_ATTEMPT:
                self.demand[unit] += used / TICKS
            floor = min(used, int(self.floors[unit]))
            self.floors[unit] -= floor
            self.holder.spend(now, unit, used - floor)

    def give(self, now: int) -> None:
        """Tells them what has changed."""
        self.known()
        rows, same, short = [], (), False
        if not self.begun:
            self.begun = True
            rows += [((interface.PER_HOST, None), 0, 0, FOREVER)] if self.hosts is not None else []
            same = tuple(
                ((interface.FIRST_ATTEMPT, profile), (interface.FIRST_ATTEMPT, n))
                for n, limit in self.firsts
                for profile in limit.profiles
            )
        if self.hosts is not None:
            lent, until = self.holder.parts, self.holder.until
            now_lent = {self.by_mark[unit[1]]: n for unit, n in lent.items() if unit[1] in self.by_mark}
            for host in {**now_lent, **self.told_hosts}:
                row = (self.mine(now, host), now_lent.get(host, 0), until if host in now_lent else 0)
                if self.told_hosts.get(host) != row:
                    rows.append(((interface.PER_HOST, host), *row))
                if any(row[:2]) or host in self.own:
                    self.told_hosts[host] = row
                else:
                    self.told_hosts.pop(host, None)
        for unit, key in self.keys.items():
            self.spent(now, unit)
            count, until = self.holder.in_hand(now, unit)
            row = int(self.floors[unit]), count, until
            scarce = unit in self.holder.short and now - self.holder.asked_at < SCARCE
            short |= scarce and not any(row[:2])
            if self.told.get(key) != row or self.seen[unit]:
                self.told[key], self.seen[unit] = row, 0
                rows.append((key, *row))
        later = int(SPREAD * (1 + 2 * self.chance.random()) / 3) if short else 0
        if rows or same or bool(later) != bool(self.proxy.allowance.retry_after):
            # at once, not through a queue: what is given up must not be used once the keeper is told
            self.proxy.allowance.update(interface.LimitsUpdated(tuple(rows), same, later))
            self.wake(interface.LimitsUpdated((), (), later))

    # ---- messages

    def keeps(self, now: int) -> bool:
        """Whether the seat is this process's at this moment; its keeper begins anew with each time."""
        if not self.seat.holds(now):
            return False
        if self.since != self.seat.since:
            self.since = self.seat.since
            self.keeper.begin(now)
            self.say("keeper", full_in_ms=self.keeper.lasts // 10)
        return True

    def send(self, name: str, message: list) -> None:
        if name == self.me:
            self.received(self.now, message)
        else:
            self.out(name, message)

    def answer(self, answers: list[tuple]) -> None:
        for (name, life), sequence, version, granted, short in answers:
            self.send(
                name,
                [
                    PART,
                    self.me,
                    life,
                    sequence,
                    version,
                    [[*u, n] for u, n in granted.items()],
                    [list(u) for u in short],
                ],
            )

    def received(self, now: int, message: list) -> None:
        """A message of a member, of the length that KINDS has; unsound parts of it count for nothing."""
        kind, self.now = message[0], now
        if kind == NEED:
            return self.needed(now, message)
        if kind == PART:
            return self.parted(now, message)
        if kind == NOT_ME:
            _, _, sequence, keeper = message
            if sequence == self.holder.sequence and keeper in self.voters:
                self.asks = keeper
            return None
        if self.seat is not None:
            self.seat.received(now, message)
        return None

    def needed(self, now: int, message: list) -> None:
        _, name, life, sequence, got, rows = message
        if self.seat is None:
            return
        if not self.keeps(now):
            holder = self.seat.holder(now)
            self.send(name, [NOT_ME, self.me, sequence, holder])
            return
        sound = [Row((row[0], row[1]), row[2], row[3]) for row in rows[: 2 * UNITS] if whole(row, 4)]
        if whole([life, sequence, got], 3):
            self.answer(self.keeper.asked(now, (name, life), sequence, got, sound))

    def parted(self, now: int, message: list) -> None:
        _, name, life, sequence, version, rows, short = message
        if life != self.life or not whole([sequence, version], 2):
            return
        granted = {(row[0], row[1]): row[2] for row in rows if whole(row, 3) and row[0] in self.limits}
        if self.holder.answered(
            now,
            sequence,
            version,
            granted,
            {tuple(u) for u in short if whole(u, 2)},
            lambda unit: not self.limits[unit[0]].places,
        ):
            self.asks = name
            self.give(now)


def mark_of(server) -> int:
    """Of a host, the same at every proxy; 0 is for tokens."""
    return server.entry.hash & 0xFFFFFFFF or 1


def whole(row, length: int) -> bool:
    """So many whole numbers from 0 on."""
    return (
        isinstance(row, list)
        and len(row) == length
        and all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62 for n in row)
    )
