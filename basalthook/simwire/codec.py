"""Words, units and ids of the bench's wire, turned into the events and effects of the decisions."""

from .. import terms
from ..fleet.counting import Counting
from ..policy import interface as i
from ..policy.decide import Proxy
from ..protocol import news
from ..recovery.following import Asking, Following
from ..terms import TENTH

OUTCOMES = {
    "success": i.COMMITTED,
    "failure": i.ERROR,
    "overloaded": i.REFUSED,
    "timed_out": i.TIMED_OUT,
    "unreachable": i.UNREACHABLE,
    "broken": i.RESET,
    "withdrawn": i.CANCELLED,
    "void": i.UNSENT,
}


class Instance:
    """One instance: its decisions, and its ids against the small numbers that stand for them."""

    def __init__(self, seed: int, setup: dict, now: int) -> None:
        self.proxy = Proxy(terms.agreement(setup), seed, now)
        self.decider = Asking(Following(self.proxy.terms, self.proxy.chance), Counting(self.proxy))
        self.profiles = terms.profiles(setup)
        self.hosts: dict[str, int] = {}  # grows with hosts ever listed, emptied at restart
        self.addresses: list[str] = []
        self.host_hashes: list[int] = []  # of the same: hashed once, as lists come often
        self.host_by_hash: dict[int, int] = {}  # and back; news name hosts by them
        self.tx_numbers: dict[
            str, int
        ] = {}  # open transactions; emptied when one is closed and no hop is out
        self.transactions: dict[int, list] = {}  # number -> [word, hops out, closed]
        self.next_number = 0

    def host_index(self, address: str) -> int:
        known = self.hosts.get(address)
        if known is None:
            known = self.hosts[address] = len(self.addresses)
            self.addresses.append(address)
            self.host_hashes.append(terms.number(address))
            self.host_by_hash[self.host_hashes[known]] = known
        return known

    def decode_hosts(self, records: list) -> tuple:
        return tuple(
            terms.host(
                number,
                self.host_hashes[number],
                r.get("area", ""),
                r.get("block", 0),
                r["status"] == "in_service",
                r.get("capacity_hint"),
                r.get("came_up_ns"),
                r.get("sku", ""),
                r["status"] == "terminating",
            )
            for r in records
            for number in (self.host_index(r["host"]),)
        )

    def _release(self, tx: int, hops: int = 0, closed: bool = False) -> None:
        entry = self.transactions.get(tx)
        if entry is None:
            return
        entry[1] += hops
        entry[2] = entry[2] or closed
        if entry[2] and not entry[1]:
            del self.transactions[tx]
            del self.tx_numbers[entry[0]]

    def decode_event(self, name: str, fields: dict, lists: dict) -> tuple | None:
        """The event in our words; None where it speaks of what is already closed here."""
        if name == "QUERY":
            tx = self.tx_numbers[fields["corr"]] = self.next_number
            self.next_number += 1
            self.transactions[tx] = [fields["corr"], 0, False]
            key, party = fields.get("path_key"), fields.get("party") or None
            return i.TxArrived(
                tx,
                self.profiles[fields["tier_class"]],
                terms.number(key) if key else None,
                fields["patience_left_ns"] // TENTH,
                party=party and terms.number(party),
            )
        if name == "VERDICT":
            tx, closed = self.tx_numbers.get(fields["corr"]), bool(fields.get("terminal"))
            if tx is None:
                return None
            self._release(tx, -1, closed)
            return i.HopEnded(
                tx,
                fields.get("hop", 0),
                self.host_index(fields["host"]),
                OUTCOMES[fields["code"]],
                fields.get("lag_ns", 0) // TENTH,
                closed,
            )
        if name == "DEADLINE_HIT":
            return i.TimerDue(fields["mark"])
        if name == "GONE":
            tx = self.tx_numbers.get(fields["corr"])
            if tx is None:
                return None
            self._release(tx, 0, True)
            return i.TxGone(tx)
        if name == "UNDER_WAY":
            tx = self.tx_numbers.get(fields["corr"])
            return None if tx is None else i.StreamBegan(tx, fields.get("hop", 0))
        if name == "VIEW":
            if fields["scope"] == "unavailable":
                return i.ListFailed()
            return i.HostsListed(
                self.decode_hosts(lists[fields["slot"]]),
                complete=fields["scope"] != "update",
                answered=fields["scope"] != "restored",
            )
        if name == "INBOX":
            what, mark = news.decode_hex(fields.get("payload")) or (None, None)
            return (
                i.NewsCame(fields["src"], self.host_by_hash[mark], what)
                if mark in self.host_by_hash
                else None
            )
        if name == "PONG":
            return None  # nothing is probed
        raise ValueError(f"unknown event {name}")

    def encode_decision(self, effect: tuple) -> dict:
        kind = type(effect)
        if kind is i.SendHop:
            word = self.transactions[effect.tx]
            word[1] += 1
            return {
                "FORWARD": {
                    "corr": word[0],
                    "host": self.addresses[effect.host],
                    "allow_for_ns": effect.time_limit * TENTH,
                }
            }
        if kind is i.SetTimer:
            return {"SLEEP": {"delay_ns": effect.delay * TENTH, "mark": effect.mark}}
        if kind is i.RollBack:
            word = self.transactions[effect.tx][0]
            self._release(effect.tx, 0, True)
            return {"SHED": {"corr": word, "stay_away_ns": effect.come_back * TENTH}}
        if kind is i.Abandon:
            word = self.transactions[effect.tx][0]
            self._release(effect.tx, 0, True)
            return {"ABORT": {"corr": word}}
        if kind is i.CancelHop:
            return {"REVOKE": {"corr": self.transactions[effect.tx][0], "hop": effect.hop}}
        if kind is i.TellNews:
            return {
                "SIGNAL": {
                    "recipient": "all" if effect.peer is None else effect.peer,
                    "payload": news.encode(effect.what, self.host_hashes[effect.host]).hex(),
                }
            }
        return {"OBSERVE": {"on": True}}


class BatchProcessor:
    """All instances of one process; they share the numbered lists of the wire and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list] = {}  # at most sixteen, each replaced by the next of its number

    def process(self, batch: dict) -> dict:
        now, parts = batch["ts_ns"] // TENTH, []
        for part in batch["parts"]:
            who, decisions = part["who"], []
            for event in part["events"]:
                ((name, fields),) = event.items()
                if name == "DIRECTORY":
                    self.lists[fields.get("slot", 0)] = fields["records"]
                elif name == "SPAWN":
                    instance = self.instances[who] = Instance(fields["nonce64"], fields["setup"], now)
                    decisions += map(instance.encode_decision, instance.decider.begin())
                elif name == "KILL":
                    self.instances.pop(who, None)
                    decisions.clear()  # what was decided before in this batch died with it
                else:
                    instance = self.instances[who]
                    decoded = instance.decode_event(name, fields, self.lists)
                    if decoded is not None:
                        decisions += map(instance.encode_decision, instance.decider.handle(now, decoded))
            if decisions:
                parts.append({"who": who, "decisions": decisions})
        return {"parts": parts}
