"""What this process may hold open, against the limit given at start."""

RESERVED_DESCRIPTORS = 16  # the interpreter's own, the loop's, the listener, and a file opened for a moment
CLIENT_RESERVE_DIVISOR = (
    8  # one part in so many is for clients alone: they are taken when hops find no room any more
)


class DescriptorBudget:
    """`givers` close one idle connection each, if they have any; asked in turn, the cheapest first."""

    def __init__(self, limit: int) -> None:
        self.in_use, self.reclaimers = 0, []
        self.outgoing_fds: set[int] = set()  # of connections that this process opened
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        self.max_open = max(2, limit - RESERVED_DESCRIPTORS)
        self.max_clients = max(1, self.max_open * 2 // 3)  # the rest is for hosts and discovery
        self.max_kept_alive_clients = max(
            1, self.max_open // 4
        )  # so many client connections may idle for long
        self.max_open_for_hosts = self.max_open - max(1, self.max_open // CLIENT_RESERVE_DIVISOR)

    def acquire(self) -> None:
        self.in_use += 1

    def release(self) -> None:
        self.in_use -= 1

    def exhausted(self) -> bool:
        return self.in_use >= self.max_open

    def ensure_below(self, ceiling: int) -> bool:
        """Whether fewer than so many are held, if need be once idle connections have gone."""
        while self.in_use >= ceiling and any(reclaim() for reclaim in self.reclaimers):
            pass
        return self.in_use < ceiling
