"""Operator overrides: hosts that operators have disabled, and whether this proxy is drained.

Overrides take precedence over whatever discovery lists. Each one is timestamped and the latest wins, so that
merging two sets (an old process's and its successor's, or a record on disk) gives the same result in any
order.
"""

from ..protocol.catalogue import HostRecord

MAX_HOST_OVERRIDES = 4096  # beyond this, overrides of hosts enabled longest ago are discarded


class OperatorOverrides:
    """Times are Unix nanoseconds."""

    def __init__(self) -> None:
        self.by_host: dict[str, tuple[int, bool]] = {}  # host id -> (time of the change, disabled)
        self.drain: tuple[int, bool] = (0, False)  # (time of the change, drained)

    def is_disabled(self, host: str) -> bool:
        return self.by_host.get(host, (0, False))[1]

    @property
    def drained(self) -> bool:
        return self.drain[1]

    def set_disabled(self, host: str, now: int, disabled: bool) -> bool:
        """Disable or enable a host; returns whether that changes anything."""
        if self.is_disabled(host) == disabled:
            return False
        self.by_host[host] = max(now, self.by_host.get(host, (0, False))[0] + 1), disabled
        enabled = [name for name, (_, still_disabled) in self.by_host.items() if not still_disabled]
        for name in sorted(enabled, key=self.by_host.__getitem__)[
            : max(0, len(self.by_host) - MAX_HOST_OVERRIDES)
        ]:
            del self.by_host[name]
        return True

    def set_drained(self, now: int, drained: bool) -> bool:
        """Drain this proxy or resume; returns whether that changes anything."""
        changed = self.drained != drained
        if changed:
            self.drain = max(now, self.drain[0] + 1), drained
        return changed

    def merge(self, other: "OperatorOverrides") -> set[str]:
        """Adopt the later overrides of `other`; returns the ids of hosts whose override changed."""
        later = {
            host: override
            for host, override in other.by_host.items()
            if override > self.by_host.get(host, (0, False))
        }
        self.by_host |= later
        self.drain = max(self.drain, other.drain)
        return set(later)

    def apply_to(self, record: HostRecord) -> HostRecord:
        """The record as overridden: a disabled host is draining, a re-enabled one is cold from then on.

        A host that has left may still be in use, so a disabled one is draining then too.
        """
        if record.id not in self.by_host:
            return record
        since, disabled = self.by_host[record.id]
        if disabled:
            return record._replace(ready=False, draining=True, removed=False)
        return record if record.removed else record._replace(started_ns=max(record.started_ns, since))

    def to_dict(self) -> dict:
        """The form that is stored on disk."""
        return {
            "hosts": {host: list(override) for host, override in self.by_host.items()},
            "drain": list(self.drain),
        }

    @classmethod
    def from_dict(cls, stored: dict) -> "OperatorOverrides":
        """Read the stored form; ValueError, TypeError, KeyError or AttributeError if it is malformed."""
        overrides = cls()
        for host, (since, disabled) in stored["hosts"].items():
            overrides.by_host[str(host)] = int(since), bool(disabled)
        overrides.drain = int(stored["drain"][0]), bool(stored["drain"][1])
        return overrides
