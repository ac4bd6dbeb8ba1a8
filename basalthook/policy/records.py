"""The state of one host and of one transaction: fields only, no decisions."""

from . import interface
from .measure import SlidingWindow


class HostState:
    """What this proxy knows of one host; dropped when it has left the list and has no open attempt."""

    def __init__(self, entry, span):
        self.id, self.last_answer = entry.host_id, 0
        self.sent, self.committed = SlidingWindow(span), SlidingWindow(span)  # attempts; commits
        # when the latest answered attempt was sent; the same by profile
        self.answered_send, self.answered_by = 0, {}
        self.attempts = {}  # open ones: (tx, attempt) -> host, sent at, late after; removed as they end
        self.capacity = 0.0  # relative to other hosts
        # by the fleet's verdict: no attempts until the first, then a growing share of them until the second
        self.verdict_until = self.ramp_until = 0
        self.admission_draw, self.next_draw_at = 0.0, 0  # while cold: random, renewed each overload_time
        self.renew(entry)

    def renew(self, entry):
        """Reset for a new process: what was learned of the earlier one no longer holds."""
        self.entry, self.cold_since, self.trusted, self.unlisted = entry, entry.started_at, True, False
        self.throttles = self.failures = 0
        self.excluded_until = {}  # reason or profile index -> end of the exclusion; bounded by their number
        self.timeouts = {}  # profile index -> time-outs in a row, and when the first was sent
        self.slowdown, self.error_rate, self.last_error_key = 1.0, 0.0, None
        self.ticks_per_byte = 0.0  # to read long bodies, at its slowest lately; 0: unknown


class Transaction:
    """One transaction, from its arrival to the end of its last attempt; times in ticks."""

    def __init__(self, event, now, profile):
        self.id, self.key, self.profile_id, self.profile = event.tx, event.key, event.profile, profile
        self.groups = ("profile", event.profile), ("tenant", event.tenant)
        self.hard_limit = now + event.time_left
        self.goal_at = min(self.hard_limit, now - event.unread_for + profile.service_goal)
        self.state, self.tried, self.queue_until, self.retry_after = (
            "waiting",
            [],
            self.goal_at,
            profile.service_goal,
        )
        self.reason = ""  # why it gets no attempt now, for the log
        # open ones: attempt -> (host, sent at); when and on which host entry it may first have run
        self.attempts, self.first_run = {}, None
        self.body_bytes = event.body_bytes
        self.longest_run = 0  # ticks that an attempt which may have run took, its body included

    @property
    def limit_key(self):
        """The key of the fleet's limit that its next attempt counts against."""
        return (interface.FURTHER_ATTEMPT, None) if self.tried else (interface.FIRST_ATTEMPT, self.profile_id)
