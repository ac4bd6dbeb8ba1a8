"""Words, units and ids of the bench's wire, turned into the events and effects of the decisions."""

from .. import terms
from ..fleet.counting import Counting
from ..policy import interface
from ..policy.decide import Proxy
from ..protocol import news
from ..recovery.following import Asking, Following
from ..terms import TICK_NS

OUTCOMES = {
    "success": interface.COMMITTED,
    "failure": interface.ERROR,
    "overloaded": interface.REFUSED,
    "timed_out": interface.TIMED_OUT,
    "unreachable": interface.UNREACHABLE,
    "broken": interface.RESET,
    "withdrawn": interface.CANCELLED,
    "void": interface.UNSENT,
}


class Seat:
    """One instance: its decisions, and its ids against the small numbers that stand for them."""

    def __init__(self, seed: int, setup: dict, now: int) -> None:
        self.proxy = Proxy(terms.policy_settings(setup), seed, now)
        self.mind = Asking(Following(self.proxy.settings, self.proxy.rng), Counting(self.proxy))
        self.profiles = terms.profile_indices(setup)
        self.hosts: dict[str, int] = {}  # grows with hosts ever listed, emptied at restart
        self.addresses: list[str] = []
        self.marks: list[int] = []  # of the same: hashed once, as lists come often
        self.marked: dict[int, int] = {}  # and back; news name hosts by them
        self.numbers: dict[str, int] = {}  # open transactions; emptied when one is closed and no hop is out
        self.words: dict[int, list] = {}  # number -> [word, hops out, closed]
        self.next = 0

    def host(self, address: str) -> int:
        known = self.hosts.get(address)
        if known is None:
            known = self.hosts[address] = len(self.addresses)
            self.addresses.append(address)
            self.marks.append(terms.stable_number(address))
            self.marked[self.marks[known]] = known
        return known

    def listed(self, records: list) -> tuple:
        return tuple(
            terms.host_entry(
                number,
                self.marks[number],
                r.get("area", ""),
                r.get("block", 0),
                r["status"] == "in_service",
                r.get("capacity_hint"),
                r.get("came_up_ns"),
                r.get("sku", ""),
                r["status"] == "terminating",
            )
            for r in records
            for number in (self.host(r["host"]),)
        )

    def close(self, tx: int, hops: int = 0, closed: bool = False) -> None:
        entry = self.words.get(tx)
        if entry is None:
            return
        entry[1] += hops
        entry[2] = entry[2] or closed
        if entry[2] and not entry[1]:
            del self.words[tx]
            del self.numbers[entry[0]]

    def event(self, name: str, f: dict, lists: dict) -> tuple | None:
        """The event in our words; None where it speaks of what is already closed here."""
        if name == "QUERY":
            tx = self.numbers[f["corr"]] = self.next
            self.next += 1
            self.words[tx] = [f["corr"], 0, False]
            key, party = f.get("path_key"), f.get("party") or None
            return interface.TxArrived(
                tx,
                self.profiles[f["tier_class"]],
                terms.stable_number(key) if key else None,
                f["patience_left_ns"] // TICK_NS,
                tenant=party and terms.stable_number(party),
            )
        if name == "VERDICT":
            tx, closed = self.numbers.get(f["corr"]), bool(f.get("terminal"))
            if tx is None:
                return None
            self.close(tx, -1, closed)
            return interface.AttemptEnded(
                tx,
                f.get("hop", 0),
                self.host(f["host"]),
                OUTCOMES[f["code"]],
                f.get("lag_ns", 0) // TICK_NS,
                closed,
            )
        if name == "DEADLINE_HIT":
            return interface.TimerDue(f["mark"])
        if name == "GONE":
            tx = self.numbers.get(f["corr"])
            if tx is None:
                return None
            self.close(tx, 0, True)
            return interface.ClientDisconnected(tx)
        if name == "UNDER_WAY":
            tx = self.numbers.get(f["corr"])
            return None if tx is None else interface.StreamStarted(tx, f.get("hop", 0))
        if name == "VIEW":
            if f["scope"] == "unavailable":
                return interface.HostListFailed()
            return interface.HostListReceived(
                self.listed(lists[f["slot"]]),
                complete=f["scope"] != "update",
                from_discovery=f["scope"] != "restored",
            )
        if name == "INBOX":
            what, mark = news.read(f.get("payload")) or (None, None)
            return (
                interface.PeerReportReceived(f["src"], self.marked[mark], what)
                if mark in self.marked
                else None
            )
        if name == "PONG":
            return None  # nothing is probed
        raise ValueError(f"unknown event {name}")

    def action(self, effect: tuple) -> dict:
        kind = type(effect)
        if kind is interface.SendAttempt:
            word = self.words[effect.tx]
            word[1] += 1
            return {
                "FORWARD": {
                    "corr": word[0],
                    "host": self.addresses[effect.host],
                    "allow_for_ns": effect.time_limit * TICK_NS,
                }
            }
        if kind is interface.SetTimer:
            return {"SLEEP": {"delay_ns": effect.delay * TICK_NS, "mark": effect.timer_id}}
        if kind is interface.RollBack:
            word = self.words[effect.tx][0]
            self.close(effect.tx, 0, True)
            return {"SHED": {"corr": word, "stay_away_ns": effect.retry_after * TICK_NS}}
        if kind is interface.Abandon:
            word = self.words[effect.tx][0]
            self.close(effect.tx, 0, True)
            return {"ABORT": {"corr": word}}
        if kind is interface.CancelAttempt:
            return {"REVOKE": {"corr": self.words[effect.tx][0], "hop": effect.attempt}}
        if kind is interface.SendPeerReport:
            return {
                "SIGNAL": {
                    "recipient": "all" if effect.peer is None else effect.peer,
                    "payload": news.encode(effect.report, self.marks[effect.host]).hex(),
                }
            }
        return {"OBSERVE": {"on": True}}


class Desk:
    """All instances of one process; they share the numbered lists of the wire and nothing else."""

    def __init__(self) -> None:
        self.seats: dict[str, Seat] = {}
        self.lists: dict[int, list] = {}  # at most sixteen, each replaced by the next of its number

    def serve(self, batch: dict) -> dict:
        now, parts = batch["ts_ns"] // TICK_NS, []
        for part in batch["parts"]:
            who, decisions = part["who"], []
            for event in part["events"]:
                ((name, fields),) = event.items()
                if name == "DIRECTORY":
                    self.lists[fields.get("slot", 0)] = fields["records"]
                elif name == "SPAWN":
                    seat = self.seats[who] = Seat(fields["nonce64"], fields["setup"], now)
                    decisions += map(seat.action, seat.mind.begin())
                elif name == "KILL":
                    self.seats.pop(who, None)
                    decisions.clear()  # what was decided before in this batch died with it
                else:
                    seat = self.seats[who]
                    told = seat.event(name, fields, self.lists)
                    if told is not None:
                        decisions += map(seat.action, seat.mind.handle(now, told))
            if decisions:
                parts.append({"who": who, "decisions": decisions})
        return {"parts": parts}
