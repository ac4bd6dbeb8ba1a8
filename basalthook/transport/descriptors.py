"""What this process may hold open, against the limit given at start."""

RESERVE = 16  # the interpreter's own, the loop's, the listener, and a file opened for a moment
CLIENTS_PART = 8  # one part in so many is for clients alone: they are taken when hops find no room any more


class Descriptors:
    """`givers` close one idle connection each, if they have any; asked in turn, the cheapest first."""

    def __init__(self, limit: int) -> None:
        self.held, self.givers = 0, []
        self.outgoing: set[int] = set()  # of connections that this process opened
        self.bound(limit)

    def bound(self, limit: int) -> None:
        self.most = max(2, limit - RESERVE)
        self.most_for_clients = max(1, self.most * 2 // 3)  # the rest is for hosts and discovery
        self.at_ease = max(1, self.most // 4)  # so many client connections may idle for long
        self.most_for_hosts = self.most - max(1, self.most // CLIENTS_PART)

    def take(self) -> None:
        self.held += 1

    def give(self) -> None:
        self.held -= 1

    def full(self) -> bool:
        return self.held >= self.most

    def room(self, most: int) -> bool:
        """Whether fewer than so many are held, if need be once idle connections have gone."""
        while self.held >= most and any(give() for give in self.givers):
            pass
        return self.held < most
