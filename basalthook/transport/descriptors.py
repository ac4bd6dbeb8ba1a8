"""The budget of file descriptors: how many connections this process may hold open."""

RESERVED_DESCRIPTORS = 16  # for the interpreter, the event loop, the listener, and short-lived files
# 1/8 of the budget is for clients alone: they are accepted when attempts no longer get a descriptor
CLIENT_RESERVE_DIVISOR = 8


class DescriptorBudget:
    """Counts open connections against the limits for clients and for hosts.

    Each function in `reclaimers` closes one idle connection and returns True, or returns False if it has
    none; they are called in order, the cheapest first.
    """

    def __init__(self, limit: int) -> None:
        self.in_use, self.reclaimers = 0, []
        self.outgoing_fds: set[int] = set()  # sockets of connections that this process opened
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        self.max_open = max(2, limit - RESERVED_DESCRIPTORS)
        self.max_clients = max(1, self.max_open * 2 // 3)  # leaves the rest to hosts and discovery
        # with more client connections open than this, idle ones are closed
        self.max_kept_alive_clients = max(1, self.max_open // 4)
        self.max_open_for_hosts = self.max_open - max(1, self.max_open // CLIENT_RESERVE_DIVISOR)

    def acquire(self) -> None:
        self.in_use += 1

    def release(self) -> None:
        self.in_use -= 1

    def exhausted(self) -> bool:
        return self.in_use >= self.max_open

    def ensure_below(self, ceiling: int) -> bool:
        """Close idle connections if need be; return whether fewer than `ceiling` descriptors are in use."""
        while self.in_use >= ceiling and any(reclaim() for reclaim in self.reclaimers):
            pass
        return self.in_use < ceiling
