"""When the bytes of a client's requests arrived, also of requests that it sends ahead of an answer."""


class Arrivals:
    """The arrival times, in ticks, of the bytes that a connection has delivered and the parser still holds.

    A connection with unparsed bytes delivers one more piece at most before these are parsed.
    """

    __slots__ = ("newest_count", "newest", "earlier")

    def __init__(self) -> None:
        self.newest_count = self.newest = self.earlier = 0

    def add(self, count: int, arrived_at: int) -> None:
        """Note that `count` bytes were delivered, the last of which arrived at `arrived_at`."""
        self.earlier, self.newest, self.newest_count = self.newest, arrived_at, count

    def of_last_parsed(self, unparsed: int) -> int:
        """Return when the last parsed byte arrived; `unparsed`: how many bytes follow it."""
        return self.newest if unparsed < self.newest_count else self.earlier
