"""Translates the simulator's wire protocol to events of the policy, and its effects to the wire protocol."""

from .. import terms
from ..fleet.aggregation import FaultAggregator
from ..policy import interface
from ..policy.decide import Proxy
from ..protocol import peer_messages
from ..recovery.discovery_schedule import DiscoverySchedule, PollingPolicy
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


class Instance:
    """One proxy instance: its policy state, and the small integers that stand for ids on the wire."""

    def __init__(self, seed: int, setup: dict, now: int) -> None:
        self.policy = Proxy(terms.policy_settings(setup), seed, now)
        self.event_handler = PollingPolicy(
            DiscoverySchedule(self.policy.settings, self.policy.rng), FaultAggregator(self.policy)
        )
        self.profiles = terms.profile_indices(setup)
        # address -> index; grows with every host ever listed, until a restart
        self.host_indices: dict[str, int] = {}
        self.addresses: list[str] = []
        self.host_hashes: list[int] = []  # by index; hashed once, as lists arrive often
        self.host_by_hash: dict[int, int] = {}  # messages between proxies name hosts by hash
        # of open transactions; removed once closed with no attempt open
        self.tx_numbers: dict[str, int] = {}
        self.transactions: dict[int, list] = {}  # number -> [wire id, open attempts, closed]
        self.next_number = 0

    def host_index(self, address: str) -> int:
        """Return the index of a host, assigning one if it is new."""
        index = self.host_indices.get(address)
        if index is None:
            index = self.host_indices[address] = len(self.addresses)
            self.addresses.append(address)
            self.host_hashes.append(terms.stable_number(address))
            self.host_by_hash[self.host_hashes[index]] = index
        return index

    def decode_hosts(self, records: list) -> tuple:
        """Return the hosts of a list."""
        return tuple(
            terms.host_entry(
                index,
                self.host_hashes[index],
                record.get("area", ""),
                record.get("block", 0),
                record["status"] == "in_service",
                record.get("capacity_hint"),
                record.get("came_up_ns"),
                record.get("sku", ""),
                record["status"] == "terminating",
            )
            for record in records
            for index in (self.host_index(record["host"]),)
        )

    def _release(self, tx: int, attempts: int = 0, closed: bool = False) -> None:
        """Change the number of open attempts of a transaction; forget it once it is closed with none open."""
        entry = self.transactions.get(tx)
        if entry is None:
            return
        entry[1] += attempts
        entry[2] = entry[2] or closed
        if entry[2] and not entry[1]:
            del self.transactions[tx]
            del self.tx_numbers[entry[0]]

    def decode_event(self, name: str, fields: dict, lists: dict) -> tuple | None:
        """Return the event for a wire event, or None if it needs no handling, as for closed transactions.

        Raises ValueError for an unknown name.
        """
        if name == "QUERY":
            tx = self.tx_numbers[fields["corr"]] = self.next_number
            self.next_number += 1
            self.transactions[tx] = [fields["corr"], 0, False]
            key, party = fields.get("path_key"), fields.get("party") or None
            return interface.TxArrived(
                tx,
                self.profiles[fields["tier_class"]],
                terms.stable_number(key) if key else None,
                fields["patience_left_ns"] // TICK_NS,
                tenant=party and terms.stable_number(party),
            )
        if name == "VERDICT":
            tx, closed = self.tx_numbers.get(fields["corr"]), bool(fields.get("terminal"))
            if tx is None:
                return None
            self._release(tx, -1, closed)
            return interface.AttemptEnded(
                tx,
                fields.get("hop", 0),
                self.host_index(fields["host"]),
                OUTCOMES[fields["code"]],
                fields.get("lag_ns", 0) // TICK_NS,
                closed,
            )
        if name == "DEADLINE_HIT":
            return interface.TimerDue(fields["mark"])
        if name == "GONE":
            tx = self.tx_numbers.get(fields["corr"])
            if tx is None:
                return None
            self._release(tx, 0, True)
            return interface.ClientDisconnected(tx)
        if name == "UNDER_WAY":
            tx = self.tx_numbers.get(fields["corr"])
            return None if tx is None else interface.StreamStarted(tx, fields.get("hop", 0))
        if name == "VIEW":
            if fields["scope"] == "unavailable":
                return interface.HostListFailed()
            return interface.HostListReceived(
                self.decode_hosts(lists[fields["slot"]]),
                complete=fields["scope"] != "update",
                from_discovery=fields["scope"] != "restored",
            )
        if name == "INBOX":
            kind, host_hash = peer_messages.decode_hex(fields.get("payload")) or (None, None)
            return (
                interface.PeerReportReceived(fields["src"], self.host_by_hash[host_hash], kind)
                if host_hash in self.host_by_hash
                else None
            )
        if name == "PONG":
            return None  # this proxy sends no probes
        raise ValueError(f"unknown event {name}")

    def encode_decision(self, effect: tuple) -> dict:
        """Return the wire form of an effect."""
        kind = type(effect)
        if kind is interface.SendAttempt:
            entry = self.transactions[effect.tx]
            entry[1] += 1
            return {
                "FORWARD": {
                    "corr": entry[0],
                    "host": self.addresses[effect.host],
                    "allow_for_ns": effect.time_limit * TICK_NS,
                }
            }
        if kind is interface.SetTimer:
            return {"SLEEP": {"delay_ns": effect.delay * TICK_NS, "mark": effect.timer_id}}
        if kind is interface.RollBack:
            tx_id = self.transactions[effect.tx][0]
            self._release(effect.tx, 0, True)
            return {"SHED": {"corr": tx_id, "stay_away_ns": effect.retry_after * TICK_NS}}
        if kind is interface.Abandon:
            tx_id = self.transactions[effect.tx][0]
            self._release(effect.tx, 0, True)
            return {"ABORT": {"corr": tx_id}}
        if kind is interface.CancelAttempt:
            return {"REVOKE": {"corr": self.transactions[effect.tx][0], "hop": effect.attempt}}
        if kind is interface.SendPeerReport:
            return {
                "SIGNAL": {
                    "recipient": "all" if effect.peer is None else effect.peer,
                    "payload": peer_messages.encode(effect.report, self.host_hashes[effect.host]).hex(),
                }
            }
        return {"OBSERVE": {"on": True}}


class BatchProcessor:
    """Handles the batches for all instances of one process; these share only the numbered host lists."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list] = {}  # by slot; at most 16, each replaced by the next list for its slot

    def process(self, batch: dict) -> dict:
        """Return the reply to a batch."""
        now, parts = batch["ts_ns"] // TICK_NS, []
        for part in batch["parts"]:
            who, decisions = part["who"], []
            for event in part["events"]:
                ((name, fields),) = event.items()
                if name == "DIRECTORY":
                    self.lists[fields.get("slot", 0)] = fields["records"]
                elif name == "SPAWN":
                    instance = self.instances[who] = Instance(fields["nonce64"], fields["setup"], now)
                    decisions += map(instance.encode_decision, instance.event_handler.begin())
                elif name == "KILL":
                    self.instances.pop(who, None)
                    decisions.clear()  # decisions made earlier in this batch are lost with the instance
                else:
                    instance = self.instances[who]
                    decoded = instance.decode_event(name, fields, self.lists)
                    if decoded is not None:
                        decisions += map(
                            instance.encode_decision, instance.event_handler.handle(now, decoded)
                        )
            if decisions:
                parts.append({"who": who, "decisions": decisions})
        return {"parts": parts}
