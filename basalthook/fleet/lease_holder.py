"""What one process holds of the fleet's limits, by the keeper's last word; pure.

It gives up before it says so, and takes an answer to its newest ask alone; what it was lent counts from the
moment at which it asked, on its own clock, for less than the keeper counts. So whatever the links do to the
datagrams, what all holders may use at a time is no more than what the keeper has counted for them.
"""

from .allocator import LeaseRequest, Unit
from .bounds import LEASE_TICKS, MAX_CLOCK_DRIFT, TOKEN_LIFETIME
from .election import shorten_for_drift

PATIENCE = 500  # ticks after which an ask counts as lost; doubled each time, up to ...
PATIENCE_MOST = 2_000
RENEW = LEASE_TICKS // 4  # ticks between two asks while nothing has changed


class LeaseHolder:
    """`tokens` tells which units are tokens, of which a later answer adds; places are replaced."""

    def __init__(self, now: int) -> None:
        self.sequence = self.got = self.version = 0
        self.asked_at = now
        self.open = False  # an ask is out that no answer has come to
        self.slow, self.began = 0.0, now  # ticks from a first ask to an answer, of late
        self.lost = 0  # asks in a row without an answer
        self.held_places: dict[Unit, int] = {}  # places, valid until ...
        self.places_until = 0
        self.offered: dict[Unit, int] = {}  # wants of the newest ask
        self.tokens: dict[Unit, dict[int, list[int]]] = {}  # in hand, by ask: [count, until]
        self.granted_tokens: dict[Unit, int] = {}  # by the answers to the ask that was answered last
        self.short: set[Unit] = set()  # others wait for these
        self.renew_at = 0

    def usable_places(self, now: int, unit: Unit) -> int:
        return self.held_places.get(unit, 0) if now < self.places_until else 0

    def usable_tokens(self, now: int, unit: Unit) -> tuple[int, int]:
        """Tokens, and until when all of them are good; what is too old is let go."""
        lots = self.tokens.get(unit, {})
        for sequence in [sequence for sequence, lot in lots.items() if lot[0] < 1 or now >= lot[1]]:
            del lots[sequence]
        return sum(lot[0] for lot in lots.values()), min((lot[1] for lot in lots.values()), default=0)

    def spend(self, now: int, unit: Unit, count: int) -> None:
        """The oldest first."""
        for lot in self.tokens.get(unit, {}).values():
            used = min(count, lot[0])
            lot[0] -= used
            count -= used

    def lease_age(self, now: int) -> int:
        """Ticks since the ask that the keeper's last word answers."""
        return now - (self.places_until - shorten_for_drift(LEASE_TICKS, MAX_CLOCK_DRIFT))

    def release_all(self) -> None:
        """It gives up all, and takes no answer any more."""
        self.held_places, self.tokens, self.places_until = {}, {}, 0
        self.sequence += 1

    def request_due(self, now: int, places: dict[Unit, int], tokens: dict[Unit, int]) -> bool:
        """Whether to ask now: an answer is missing, the wish has changed, or what is lent grows old."""
        if self.open:
            return now - self.asked_at >= min(PATIENCE_MOST, PATIENCE << min(self.lost, 4))
        if not places and not tokens and not self.held_places:
            return False
        return now >= self.renew_at or bool(tokens) or places != self.offered

    def request(
        self, now: int, places: dict[Unit, int], tokens: dict[Unit, int], used: dict[Unit, int]
    ) -> tuple[int, int, list[LeaseRequest]]:
        """`places`, `tokens`: what it would have; `used`: places with a hop out, which can't be given up."""
        self.lost = self.lost + 1 if self.open else 0
        self.began = self.began if self.open else now
        if now >= self.places_until:
            self.held_places = {}
        rows, kept = [], {}
        for unit in {**self.held_places, **places, **used}:
            # guards against giving up what is in use: the keeper would lend it to another
            out = used.get(unit, 0)
            held = min(self.held_places.get(unit, 0), max(places.get(unit, 0), out))
            if held:
                kept[unit] = held
            if held or out or places.get(unit):
                rows.append(LeaseRequest(unit, max(held, out), max(places.get(unit, 0), out)))
        for unit, more in tokens.items():
            rows.append(LeaseRequest(unit, self.granted_tokens.get(unit, 0), more))
        self.held_places, self.offered = kept, dict(places)
        self.sequence += 1
        self.version, self.asked_at, self.open = 0, now, True
        self.renew_at = now + RENEW
        return self.sequence, self.got, rows

    def accept_grant(
        self, now: int, sequence: int, version: int, granted: dict[Unit, int], short: set[Unit], is_token
    ) -> bool:
        """Whether it was news."""
        if sequence != self.sequence or version <= self.version:
            return False
        if sequence != self.got:
            self.granted_tokens = {}  # not before: the next ask still says what was taken of the one before
            self.slow += (now - self.began - self.slow) * 0.2
        self.version, self.got, self.open, self.lost = version, sequence, False, 0
        self.held_places = {unit: n for unit, n in granted.items() if not is_token(unit) and n}
        self.places_until = self.asked_at + shorten_for_drift(LEASE_TICKS, MAX_CLOCK_DRIFT)
        for unit, n in granted.items():
            if is_token(unit):
                lot = self.tokens.setdefault(unit, {}).setdefault(
                    sequence, [0, self.asked_at + shorten_for_drift(TOKEN_LIFETIME, MAX_CLOCK_DRIFT)]
                )
                lot[0] += n - self.granted_tokens.get(unit, 0)
                self.granted_tokens[unit] = n
        self.short = short
        return True
