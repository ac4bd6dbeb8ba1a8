"""Start times of hosts, corrected for wall clocks that are wrong.

Discovery reports start times in Unix time. If the wall clock was wrong when this process read it, or when a
start time was recorded, a host that has just started would count as warm, or a warm one would stay cold for
as long as the clock is off. What this process has observed itself bounds both errors.
"""

from .clock import TICK_NS, TICKS_PER_SECOND

MAX_REPORT_DELAY_TICKS = 5 * TICKS_PER_SECOND  # a start may be missing from lists for this long
MAX_ESTIMATES = 8_192  # hosts whose start time is remembered; the oldest are discarded first


class StartTimes:
    """Estimates each start time once, when it is first reported. Times in and out are Unix nanoseconds."""

    def __init__(self, now) -> None:
        """`now()` returns ticks of the program's clock."""
        self.now = now
        self.estimates: dict[str, tuple[int, int]] = {}  # id -> (reported, estimated); at most MAX_ESTIMATES
        self.last_list_at: int | None = None  # ticks; when the last list came from discovery

    def list_received(self) -> None:
        self.last_list_at = self.now()

    def start_time(self, host: str, reported_ns: int) -> int:
        """The estimated start time; 0 if the host started long ago or its start is not reported."""
        if not reported_ns:
            return 0
        previous_ns, estimated_ns = self.estimates.get(host, (0, 0))
        if previous_ns != reported_ns:
            estimated_ns = self.estimate(reported_ns)
            self.estimates.pop(host, None)
            self.estimates[host] = reported_ns, estimated_ns
            while len(self.estimates) > MAX_ESTIMATES:
                del self.estimates[next(iter(self.estimates))]
        return estimated_ns

    def estimate(self, reported_ns: int) -> int:
        """The reported time, or now if that lies in the future or long before a list without this start."""
        now = self.now()
        last_list_at = self.last_list_at
        if (
            reported_ns > now * TICK_NS
            or last_list_at is not None
            and reported_ns < (last_list_at - MAX_REPORT_DELAY_TICKS) * TICK_NS
        ):
            return now * TICK_NS
        return reported_ns
