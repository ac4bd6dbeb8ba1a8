"""One process's part in the fleet's limits: lease requests made from the demand seen by the decision core,
and, in a voter, the leader election and the lending. No I/O.

It wraps the decision core as the verdicts do: `handle` passes events on and requests leases where something
is short; `tick` updates what the decision core may use. Messages are sent to members by name.
"""

from collections import Counter
from math import ceil
from random import Random

from ..policy import interface
from . import election
from .allocator import LeaseAllocator, Unit, UnitRequest
from .bounds import (
    BOUNDED,
    HOST,
    MAX_CLOCK_DRIFT,
    RATE,
    RETRIES,
    TERM_TICKS,
    TICKS_PER_SECOND,
    TOKEN_LIFETIME,
    Limit,
)
from .election import LeaderElection, lengthen_for_drift
from .lease_holder import LeaseHolder

LEASE_REQUEST, LEASE_GRANT, NOT_LEADER = 27, 28, 29
# elements of each message, by kind
MESSAGE_LENGTHS = {
    election.VOTE_REQUEST: 4,
    election.VOTE: 5,
    election.VOTE_RELEASE: 4,
    LEASE_REQUEST: 6,
    LEASE_GRANT: 7,
    NOT_LEADER: 4,
}
MAX_UNITS = 48  # in one request, as fits a datagram; beyond that, units unused for longest are given up
IDLE_HOLD = 1_500  # ticks for which an unused place is held while no other holder waits for it
MIN_REQUEST_INTERVAL = 20  # ticks between two requests
# Ticks of demand for which tokens are requested ahead: the least, and the most, where answers are slow.
PREFETCH, MAX_PREFETCH = 2_500, TOKEN_LIFETIME * 3 // 4
MAX_UNANSWERED = 4  # unanswered requests in a row after which they go to another voter
WAITING_EXAMINED = 8  # waiting transactions for which places are requested
SCARCITY_WINDOW = 5_000  # ticks after a request during which its answer counts as proof that nothing is free
# Ticks; refused clients get a random retry-after time between a third of this and all of it.
RETRY_SPREAD = 3 * TICKS_PER_SECOND // 2
FOREVER = 2**60  # ticks


class FleetLimits:
    """Enforces the limits at one proxy; stands between the decision core and its driver.

    `inner`: what `handle` passes events to. `send_to(name, message)` sends to a member; `live()` returns the
    names of the live members. `position` and `proxies` are those of the start-up file.
    """

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
        rng: Random,
        send_to,
        live,
        now: int,
        log_event=lambda event, **fields: None,
    ) -> None:
        self.inner, self.proxy, self.limits = inner, proxy, {limit.id: limit for limit in limits}
        self.me, self.life, self.voters = me, life, voters
        self.rng, self.send_to, self.live = rng, send_to, live
        self.position, self.proxies, self.log_event = position, proxies, log_event
        self.holder = LeaseHolder(now)
        self.allocator = LeaseAllocator(self.limits, hard_limit) if me in voters else None
        self.election = self.allocator and LeaderElection(
            me, life, voters, TERM_TICKS, MAX_CLOCK_DRIFT, rng, self.send, live, now
        )
        self.leading_since = 0  # `leader_since` when the allocator was last reset
        self.leader_hint = ""  # voter that requests go to
        self.post_event = lambda event: None  # set by the driver: queues an event
        self.now = now
        self.host_limit = next((n for n, limit in self.limits.items() if limit.kind == HOST), None)
        self.rate_limits = [(n, limit) for n, limit in self.limits.items() if limit.kind == RATE]
        self.retry_limit = next((n for n, limit in self.limits.items() if limit.kind == RETRIES), None)
        self.allowance_keys = {
            (n, 0): (interface.FIRST_ATTEMPT, n if limit.profiles else None) for n, limit in self.rate_limits
        }
        if self.retry_limit is not None:
            self.allowance_keys[self.retry_limit, 0] = interface.FURTHER_ATTEMPT, None
        self.unit_by_key = {key: unit for unit, key in self.allowance_keys.items()}
        self.listed_hosts, self.host_by_hash, self.hash_by_host, self.own_places = None, {}, {}, {}
        self.peak_use: dict[Unit, tuple[int, int]] = {}  # (most places in use lately, when)
        self.demand = {unit: 0.0 for unit in self.allowance_keys}  # recent tokens per tick
        self.floor_tokens = {unit: 0.0 for unit in self.allowance_keys}  # unspent
        self.floor_filled_at = dict.fromkeys(self.allowance_keys, now)
        self.used_counted = dict.fromkeys(self.allowance_keys, 0)
        self.published_tokens: dict[tuple, tuple] = {}  # last row by key
        self.published_hosts: dict[int, tuple] = {}  # last row by host
        self.last_tick_at = now
        # attempts of a previous process may still run under this member's own places
        self.hard_limit, self.own_places_from = (
            hard_limit,
            now + lengthen_for_drift(hard_limit, MAX_CLOCK_DRIFT),
        )
        self.refused = Counter()  # limit -> transactions rolled back while it was contended
        self.started = self.left = False
        # only what is lent is allowed, also for attempts before the first tick
        self.publish_allowance(now)

    # ---- events and effects of the decision core

    def handle(self, now: int, event, received_until: int | None = None) -> list:
        """Passes an event on, counts demand and refusals, and requests leases for waiting transactions."""
        self.now = now
        if isinstance(event, interface.TxArrived):  # counts as demand whether or not it is met
            unit = self.unit_by_key.get(
                self.proxy.allowance.resolve_key((interface.FIRST_ATTEMPT, event.profile))
            )
            if unit is not None:
                self.demand[unit] += 1 / TICKS_PER_SECOND
        effects = self.inner.handle(now, event, received_until)
        if self.holder.contended and any(isinstance(effect, interface.RollBack) for effect in effects):
            contended_limits = {unit[0] for unit in self.holder.contended}
            self.refused.update(
                dict.fromkeys(contended_limits, sum(isinstance(e, interface.RollBack) for e in effects))
            )
        if self.proxy.queue or self.holder.contended and isinstance(event, interface.AttemptEnded):
            self.request_lease(now)
        return effects

    def tick(self, now: int) -> None:
        """Call several times a second."""
        elapsed, self.last_tick_at, self.now = now - self.last_tick_at, now, now
        if self.election is not None:
            self.election.tick(now)
            if self.acting_as_leader(now):
                self.send_grants(self.allocator.tick(now))
        for unit in self.allowance_keys:
            self.account_usage(now, unit)
            self.demand[unit] *= max(0.0, 1 - elapsed / TICKS_PER_SECOND)
        self.publish_allowance(now)
        self.request_lease(now)
        # without this event, entries of disconnected clients stay queued while no attempt ends
        if self.proxy.queue:
            self.post_event(interface.LimitsUpdated((), (), self.proxy.allowance.retry_after))

    def activate(self, now: int) -> None:
        """Call when this process takes over as the member from a previous process."""
        self.own_places_from, self.left = now + lengthen_for_drift(self.hard_limit, MAX_CLOCK_DRIFT), False
        if self.election is not None:
            self.election.silent_until = self.election.next_action_at = now + TERM_TICKS

    def leave(self, now: int) -> None:
        """Call when another process takes over as this member: only running attempts go on."""
        self.left = True
        self.holder.release_all()
        if self.election is not None:
            self.election.release_votes(now)
        self.floor_tokens = dict.fromkeys(self.floor_tokens, 0.0)
        self.publish_allowance(now)

    # ---- units of hosts

    def refresh_hosts(self) -> None:
        if self.listed_hosts is not self.proxy.ready and self.host_limit is not None:
            limit, self.listed_hosts = self.limits[self.host_limit], self.proxy.ready
            self.hash_by_host = {host_state.id: host_hash(host_state) for host_state in self.listed_hosts}
            self.host_by_hash = {hash_of_host: host for host, hash_of_host in self.hash_by_host.items()}
            self.own_places = {
                host: self.own_places[host]
                if host in self.own_places
                else limit.own_places_at(hash_of_host, self.position, self.proxies)
                for host, hash_of_host in self.hash_by_host.items()
            }
            for host, own in self.own_places.items():
                if own:
                    self.published_hosts.setdefault(host, (0, 0, 0))

    def host_unit(self, host: int) -> Unit:
        return self.host_limit, self.hash_by_host[host]

    def own_places_now(self, now: int, host: int) -> int:
        """Returns the places at a host that are this proxy's own by the floor, without a lease."""
        return self.own_places.get(host, 0) if now >= self.own_places_from and not self.left else 0

    # ---- requests

    def places_in_use(self, now: int) -> dict[Unit, int]:
        """Returns the lent places under a running attempt, by unit."""
        # includes hosts that left the list meanwhile: their places are still in use
        host_states = {host_state.id: host_state for host_state, _, _ in self.proxy.attempts.values()}
        return {
            (self.host_limit, host_hash(host_state)): len(host_state.attempts) - own
            for host_state in host_states.values()
            if len(host_state.attempts) > (own := self.own_places_now(now, host_state.id))
        }

    def wanted_leases(self, now: int, used: dict[Unit, int]) -> tuple[dict[Unit, int], dict[Unit, int]]:
        """Returns the places, and the additional tokens, that this proxy could use now."""
        proxy, places, tokens = self.proxy, {}, {}
        waiting = [
            tx
            for _, _, n in proxy.queue[:WAITING_EXAMINED]
            if (tx := proxy.txs.get(n)) and tx.state == "waiting"
        ]
        if self.host_limit is not None:
            for unit, n in used.items():
                if n >= self.peak_use.get(unit, (0, 0))[0]:
                    self.peak_use[unit] = n, now
            for unit, (_, last_used_at) in list(self.peak_use.items()):
                if now - last_used_at > IDLE_HOLD:
                    self.peak_use.pop(unit)
                    if used.get(unit):
                        self.peak_use[unit] = used[unit], now
            places = {
                unit: used.get(unit, 0) if unit in self.holder.contended else peak
                for unit, (peak, _) in self.peak_use.items()
                if unit[1] in self.host_by_hash
            }
            places = {unit: n for unit, n in places.items() if n}
            for tx in waiting:
                for host in self.hosts_lacking_place(tx):
                    unit = self.host_unit(host)
                    places[unit] = min(
                        max(places.get(unit, 0), used.get(unit, 0)) + 1,
                        int(self.limits[self.host_limit].lendable()),
                    )
            # places in use must fit into the same datagram
            droppable = sorted(
                places.keys() - used.keys(),
                key=lambda u: self.peak_use.get(u, (0, now))[1],
            )
            for unit in droppable[: max(0, len(droppable) - max(0, MAX_UNITS - len(used)))]:
                del places[unit]
        for unit, key in self.allowance_keys.items():
            waiting_count = sum(self.proxy.allowance.resolve_key(tx.limit_key) == key for tx in waiting)
            prefetch = max(PREFETCH, min(MAX_PREFETCH, 2 * self.holder.answer_delay))
            missing = (
                ceil(prefetch * self.demand[unit]) + waiting_count - self.holder.usable_tokens(now, unit)[0]
            )
            if missing > 0:
                tokens[unit] = missing
        return places, tokens

    def hosts_lacking_place(self, tx) -> list[int]:
        """Returns the first two hosts for a transaction's key that lack nothing but a place."""
        hosts, proxy = [], self.proxy
        for host_state in proxy.ranked_hosts(tx.key):
            if (
                host_state.id in self.hash_by_host
                and host_state.id not in tx.tried
                and proxy.is_eligible(tx, host_state.entry)
                and (not proxy.excluded(host_state, "ban", "rest") and proxy.now >= host_state.verdict_until)
            ):
                hosts.append(host_state.id)
                if len(hosts) == 2:
                    break
        return hosts

    def request_lease(self, now: int) -> None:
        """Sends a request to the leader if one is due."""
        if self.left or now - self.holder.requested_at < MIN_REQUEST_INTERVAL and self.holder.sequence:
            return
        self.refresh_hosts()
        used = self.places_in_use(now) if self.host_limit is not None else {}
        places, tokens = self.wanted_leases(now, used)
        if not self.holder.request_due(now, places, tokens):
            return
        name = self.leader_to_ask(now)
        if not name:
            return
        sequence, answered_sequence, rows = self.holder.request(now, places, tokens, used)
        self.publish_allowance(now)  # stops using places before the request releases them
        self.send(
            name,
            [
                LEASE_REQUEST,
                self.me,
                self.life,
                sequence,
                answered_sequence,
                [[*row.unit, row.holds, row.want] for row in rows],
            ],
        )

    def view(self, now: int) -> list[dict]:
        """Returns rows for operators: each limit, what this proxy may use of it, its age, and refusals."""
        self.refresh_hosts()
        rows = []
        for n, limit in self.limits.items():
            row = {
                "limit": limit.name,
                "kind": limit.kind,
                "amount": limit.amount,
                "floor": limit.floor,
                "over": limit.over,
                "age_ms": max(0, self.holder.lease_age(now)) // 10,
                "stale_ms": limit.max_staleness() // 10,
                "keeper": self.leader_hint,
                "short": sum(unit[0] == n for unit in self.holder.contended),
                "refused": self.refused[n],
            }
            if limit.counts_places:
                lent = self.holder.held_places if now < self.holder.places_until else {}
                rows.append(
                    {
                        **row,
                        "own": sum(self.own_places.values()),
                        "lent": sum(lent.values()),
                        "in_use": len(self.proxy.attempts),
                        "hosts": len(self.own_places),
                    }
                )
            else:
                self.account_usage(now, (n, 0))
                rows.append(
                    {
                        **row,
                        "own": int(self.floor_tokens[n, 0]),
                        "lent": self.holder.usable_tokens(now, (n, 0))[0],
                        "a_second": round(self.demand[n, 0] * TICKS_PER_SECOND, 1),
                    }
                )
        return rows

    def leader_to_ask(self, now: int) -> str:
        """Returns the leader if it is known, else the voters in turn; "" if no voter is alive."""
        if self.election is not None and (leader := self.election.leader(now)):
            return leader
        live = self.live()
        voters = [name for name in self.voters if name in live or name == self.me]
        if self.holder.unanswered >= MAX_UNANSWERED or self.leader_hint not in voters:
            index = voters.index(self.leader_hint) + 1 if self.leader_hint in voters else 0
            self.leader_hint = voters[index % len(voters)] if voters else ""
        return self.leader_hint

    # ---- allowance of the decision core

    def account_usage(self, now: int, unit: Unit) -> None:
        """Counts what was used since the last call.

        The floor's bucket is refilled first: a process resumed after a stop has already used what was
        published before, and must not find it in the bucket a second time.
        """
        key, limit = self.allowance_keys[unit], self.limits[unit[0]]
        rate, depth = limit.own_token_rate(self.proxies)
        leased = limit.over == BOUNDED and now < self.holder.places_until
        refill = 0 if leased or self.left else rate * (now - self.floor_filled_at[unit])
        self.floor_tokens[unit] = min(depth, self.floor_tokens[unit] + refill)
        self.floor_filled_at[unit] = now
        newly_used = self.proxy.allowance.used.get(key, 0) - self.used_counted[unit]
        if newly_used > 0:
            self.used_counted[unit] += newly_used
            if key[0] == interface.FURTHER_ATTEMPT:
                self.demand[unit] += newly_used / TICKS_PER_SECOND
            floor = min(newly_used, int(self.floor_tokens[unit]))
            self.floor_tokens[unit] -= floor
            self.holder.spend(now, unit, newly_used - floor)

    def publish_allowance(self, now: int) -> None:
        """Passes changes of the allowance to the decision core."""
        self.refresh_hosts()
        rows, aliases, any_exhausted = [], (), False
        if not self.started:
            self.started = True
            rows += [((interface.PER_HOST, None), 0, 0, FOREVER)] if self.host_limit is not None else []
            aliases = tuple(
                ((interface.FIRST_ATTEMPT, profile), (interface.FIRST_ATTEMPT, n))
                for n, limit in self.rate_limits
                for profile in limit.profiles
            )
        if self.host_limit is not None:
            lent, until = self.holder.held_places, self.holder.places_until
            lent_by_host = {
                self.host_by_hash[unit[1]]: n for unit, n in lent.items() if unit[1] in self.host_by_hash
            }
            for host in {**lent_by_host, **self.published_hosts}:
                row = (
                    self.own_places_now(now, host),
                    lent_by_host.get(host, 0),
                    until if host in lent_by_host else 0,
                )
                if self.published_hosts.get(host) != row:
                    rows.append(((interface.PER_HOST, host), *row))
                if any(row[:2]) or host in self.own_places:
                    self.published_hosts[host] = row
                else:
                    self.published_hosts.pop(host, None)
        for unit, key in self.allowance_keys.items():
            self.account_usage(now, unit)
            count, until = self.holder.usable_tokens(now, unit)
            row = int(self.floor_tokens[unit]), count, until
            scarce = unit in self.holder.contended and now - self.holder.requested_at < SCARCITY_WINDOW
            any_exhausted |= scarce and not any(row[:2])
            if self.published_tokens.get(key) != row or self.used_counted[unit]:
                self.published_tokens[key], self.used_counted[unit] = row, 0
                rows.append((key, *row))
        retry_after = int(RETRY_SPREAD * (1 + 2 * self.rng.random()) / 3) if any_exhausted else 0
        if rows or aliases or bool(retry_after) != bool(self.proxy.allowance.retry_after):
            # applied at once, not queued: what is given up must not be used once the leader has been informed
            self.proxy.allowance.update(interface.LimitsUpdated(tuple(rows), aliases, retry_after))
            self.post_event(interface.LimitsUpdated((), (), retry_after))

    # ---- messages

    def acting_as_leader(self, now: int) -> bool:
        """Whether this process is leader now; resets the allocator at the start of each term of office."""
        if not self.election.is_leader(now):
            return False
        if self.leading_since != self.election.leader_since:
            self.leading_since = self.election.leader_since
            self.allocator.start_term(now)
            self.log_event("keeper", full_in_ms=self.allocator.grant_lifetime // 10)
        return True

    def send(self, name: str, message: list) -> None:
        if name == self.me:
            self.received(self.now, message)
        else:
            self.send_to(name, message)

    def send_grants(self, grants: list[tuple]) -> None:
        for (name, life), sequence, version, granted, contended in grants:
            self.send(
                name,
                [
                    LEASE_GRANT,
                    self.me,
                    life,
                    sequence,
                    version,
                    [[*u, n] for u, n in granted.items()],
                    [list(u) for u in contended],
                ],
            )

    def received(self, now: int, message: list) -> None:
        """Handles a message of a member, of the length in MESSAGE_LENGTHS; skips malformed rows."""
        kind, self.now = message[0], now
        if kind == LEASE_REQUEST:
            return self.lease_requested(now, message)
        if kind == LEASE_GRANT:
            return self.lease_granted(now, message)
        if kind == NOT_LEADER:
            _, _, sequence, leader = message
            if sequence == self.holder.sequence and leader in self.voters:
                self.leader_hint = leader
            return None
        if self.election is not None:
            self.election.received(now, message)
        return None

    def lease_requested(self, now: int, message: list) -> None:
        _, name, life, sequence, answered_sequence, rows = message
        if self.election is None:
            return
        if not self.acting_as_leader(now):
            leader = self.election.leader(now)
            self.send(name, [NOT_LEADER, self.me, sequence, leader])
            return
        requests = [
            UnitRequest((row[0], row[1]), row[2], row[3])
            for row in rows[: 2 * MAX_UNITS]
            if are_counts(row, 4)
        ]
        if are_counts([life, sequence, answered_sequence], 3):
            self.send_grants(self.allocator.request(now, (name, life), sequence, answered_sequence, requests))

    def lease_granted(self, now: int, message: list) -> None:
        _, name, life, sequence, version, rows, contended = message
        if life != self.life or not are_counts([sequence, version], 2):
            return
        granted = {(row[0], row[1]): row[2] for row in rows if are_counts(row, 3) and row[0] in self.limits}
        if self.holder.accept_grant(
            now,
            sequence,
            version,
            granted,
            {tuple(u) for u in contended if are_counts(u, 2)},
            lambda unit: not self.limits[unit[0]].counts_places,
        ):
            self.leader_hint = name
            self.publish_allowance(now)


def host_hash(host_state) -> int:
    """Returns 32 bits of the host's hash, the same at every proxy and never 0, which stands for tokens."""
    return host_state.entry.hash & 0xFFFFFFFF or 1


def are_counts(row, length: int) -> bool:
    """Whether a row is a list of `length` non-negative integers below 2**62."""
    return (
        isinstance(row, list)
        and len(row) == length
        and all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n < 2**62 for n in row)
    )
