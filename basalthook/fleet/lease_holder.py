"""The leases that one process holds of the fleet's limits. No I/O.

A holder stops using places before it sends the request that releases them, and accepts an answer to its
newest request only. A lease counts from the moment of the request, on the holder's clock, for less time than
the leader counts. So whatever the links do to the datagrams, all holders together never use more than the
leader has counted for them.
"""

from .allocator import Unit, UnitRequest
from .bounds import LEASE_TICKS, MAX_CLOCK_DRIFT, TOKEN_LIFETIME
from .election import shorten_for_drift

# Ticks after which a request counts as lost; doubled each time, up to the maximum.
RETRY_INTERVAL = 500
MAX_RETRY_INTERVAL = 2_000
RENEW_INTERVAL = LEASE_TICKS // 4  # ticks between two requests while nothing has changed


class LeaseHolder:
    """Makes requests and applies grants: a later answer replaces places and adds tokens."""

    def __init__(self, now: int) -> None:
        self.sequence = self.answered_sequence = self.version = 0
        self.requested_at = now
        self.awaiting_answer = False  # the last request is unanswered
        # moving average of the ticks from the first sending of a request to its answer
        self.answer_delay, self.first_requested_at = 0.0, now
        self.unanswered = 0  # requests in a row without an answer
        self.held_places: dict[Unit, int] = {}  # usable before `places_until`
        self.places_until = 0
        self.wanted_places: dict[Unit, int] = {}  # of the newest request
        self.token_lots: dict[Unit, dict[int, list[int]]] = {}  # sequence -> [count, until]
        self.granted_tokens: dict[Unit, int] = {}  # in answer to `answered_sequence`
        self.contended: set[Unit] = set()  # units that other holders wait for
        self.renew_at = 0

    def usable_places(self, now: int, unit: Unit) -> int:
        return self.held_places.get(unit, 0) if now < self.places_until else 0

    def usable_tokens(self, now: int, unit: Unit) -> tuple[int, int]:
        """Returns the tokens held and when the first of them expires; drops expired ones."""
        lots = self.token_lots.get(unit, {})
        for sequence in [sequence for sequence, lot in lots.items() if lot[0] < 1 or now >= lot[1]]:
            del lots[sequence]
        return sum(lot[0] for lot in lots.values()), min((lot[1] for lot in lots.values()), default=0)

    def spend(self, now: int, unit: Unit, count: int) -> None:
        """Spends tokens, the oldest first."""
        for lot in self.token_lots.get(unit, {}).values():
            taken = min(count, lot[0])
            lot[0] -= taken
            count -= taken

    def lease_age(self, now: int) -> int:
        """Returns the ticks since the request that was answered last."""
        return now - (self.places_until - shorten_for_drift(LEASE_TICKS, MAX_CLOCK_DRIFT))

    def release_all(self) -> None:
        """Gives up everything and accepts no answer to an earlier request."""
        self.held_places, self.token_lots, self.places_until = {}, {}, 0
        self.sequence += 1

    def request_due(self, now: int, places: dict[Unit, int], tokens: dict[Unit, int]) -> bool:
        """Whether to send a request now: an answer is missing, the demand changed, or a renewal is due."""
        if self.awaiting_answer:
            return now - self.requested_at >= min(
                MAX_RETRY_INTERVAL, RETRY_INTERVAL << min(self.unanswered, 4)
            )
        if not places and not tokens and not self.held_places:
            return False
        return now >= self.renew_at or bool(tokens) or places != self.wanted_places

    def request(
        self, now: int, places: dict[Unit, int], tokens: dict[Unit, int], in_use: dict[Unit, int]
    ) -> tuple[int, int, list[UnitRequest]]:
        """Returns (sequence, sequence answered last, rows) of a new request.

        `places`, `tokens`: what is wanted. `in_use`: places under a running attempt, which can't be given up.
        """
        self.unanswered = self.unanswered + 1 if self.awaiting_answer else 0
        self.first_requested_at = self.first_requested_at if self.awaiting_answer else now
        if now >= self.places_until:
            self.held_places = {}
        requests, held_places = [], {}
        for unit in {**self.held_places, **places, **in_use}:
            # a place in use must stay named: the leader would lend it to another holder
            places_out = in_use.get(unit, 0)
            places_kept = min(self.held_places.get(unit, 0), max(places.get(unit, 0), places_out))
            if places_kept:
                held_places[unit] = places_kept
            if places_kept or places_out or places.get(unit):
                requests.append(
                    UnitRequest(unit, max(places_kept, places_out), max(places.get(unit, 0), places_out))
                )
        for unit, count in tokens.items():
            requests.append(UnitRequest(unit, self.granted_tokens.get(unit, 0), count))
        self.held_places, self.wanted_places = held_places, dict(places)
        self.sequence += 1
        self.version, self.requested_at, self.awaiting_answer = 0, now, True
        self.renew_at = now + RENEW_INTERVAL
        return self.sequence, self.answered_sequence, requests

    def accept_grant(
        self, now: int, sequence: int, version: int, granted: dict[Unit, int], contended: set[Unit], is_token
    ) -> bool:
        """Applies a grant; returns whether it was new."""
        if sequence != self.sequence or version <= self.version:
            return False
        if sequence != self.answered_sequence:
            self.granted_tokens = {}  # until now the next request had to report these
            self.answer_delay += (now - self.first_requested_at - self.answer_delay) * 0.2
        self.version, self.answered_sequence, self.awaiting_answer, self.unanswered = (
            version,
            sequence,
            False,
            0,
        )
        self.held_places = {
            unit: granted_count
            for unit, granted_count in granted.items()
            if not is_token(unit) and granted_count
        }
        self.places_until = self.requested_at + shorten_for_drift(LEASE_TICKS, MAX_CLOCK_DRIFT)
        for unit, granted_count in granted.items():
            if is_token(unit):
                lot = self.token_lots.setdefault(unit, {}).setdefault(
                    sequence, [0, self.requested_at + shorten_for_drift(TOKEN_LIFETIME, MAX_CLOCK_DRIFT)]
                )
                lot[0] += granted_count - self.granted_tokens.get(unit, 0)
                self.granted_tokens[unit] = granted_count
        self.contended = contended
        return True
