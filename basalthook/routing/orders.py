"""What the staff has ordered: hosts taken out, this proxy drained. It stands over whatever discovery lists.

A word on a host, and the one on the drain, holds until a later one: two sets of orders (an old process and
its successor, a record on disk) join to the same set in whatever order they meet.
"""

from ..protocol.catalogue import HostRecord

WORDS_MOST = 4096  # hosts with a word on them; those put back longest ago go first


class Orders:
    """Times are Unix nanoseconds."""

    def __init__(self) -> None:
        self.words: dict[str, tuple[int, bool]] = {}  # host's id -> since when, whether it is out
        self.drain: tuple[int, bool] = (0, False)

    def out(self, host: str) -> bool:
        return self.words.get(host, (0, False))[1]

    @property
    def drained(self) -> bool:
        return self.drain[1]

    def tell(self, host: str, now: int, out: bool) -> bool:
        """Whether that changes anything."""
        if self.out(host) == out:
            return False
        self.words[host] = max(now, self.words.get(host, (0, False))[0] + 1), out
        back = [name for name, (_, is_out) in self.words.items() if not is_out]
        for name in sorted(back, key=self.words.__getitem__)[: max(0, len(self.words) - WORDS_MOST)]:
            del self.words[name]
        return True

    def tell_drain(self, now: int, drained: bool) -> bool:
        changed = self.drained != drained
        if changed:
            self.drain = max(now, self.drain[0] + 1), drained
        return changed

    def join(self, other: "Orders") -> set[str]:
        """Take over what is later there; the hosts whose word changed."""
        later = {host: word for host, word in other.words.items() if word > self.words.get(host, (0, False))}
        self.words |= later
        self.drain = max(self.drain, other.drain)
        return set(later)

    def over(self, line: HostRecord) -> HostRecord:
        """A line of the list under these orders: out is draining, put back is cold from then on."""
        if line.removed or line.id not in self.words:
            return line
        since, out = self.words[line.id]
        if out:
            return line._replace(ready=False, draining=True)
        return line._replace(started_ns=max(line.started_ns, since))

    def plain(self) -> dict:
        return {"hosts": {host: list(word) for host, word in self.words.items()}, "drain": list(self.drain)}

    @classmethod
    def read(cls, plain: dict) -> "Orders":
        """ValueError, TypeError, KeyError or AttributeError: these are no orders."""
        orders = cls()
        for host, (since, out) in plain["hosts"].items():
            orders.words[str(host)] = int(since), bool(out)
        orders.drain = int(plain["drain"][0]), bool(plain["drain"][1])
        return orders
