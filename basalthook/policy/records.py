"""What is kept of one host and of one transaction: fields alone, nothing is decided here."""

from . import interface
from .measure import Window


class Server:
    """What this proxy knows of one host; dropped when it has left the list and no hop is out."""

    def __init__(self, line, span):
        self.id, self.heard = line.host_id, 0
        self.sent, self.committed = Window(span), Window(span)  # hops, and answers
        self.passed, self.passed_by = 0, {}  # when the latest hop was sent that it answered; by profile
        self.out = {}  # (tx, hop) -> server, sent at, late after; emptied as they end
        self.size = 0.0  # capacity against other hosts'
        self.shut = self.whole = 0  # by the fleet's verdict: kept away until, then a growing part until
        self.luck, self.redraw = 0.0, 0  # while fresh: drawn anew once a fall time
        self.renew(line)

    def renew(self, line):
        """A new process: what was learned of an earlier one is void."""
        self.line, self.fresh_from, self.proven, self.doubted = line, line.started_at, True, False
        self.throttles = self.failures = 0
        self.away = {}  # reason, or profile -> until when it is kept away; as many as there are
        self.timeouts = {}  # by profile: a run of time-outs, and since when
        self.strain, self.erring, self.erred_key = 1.0, 0.0, None


class Tx:
    def __init__(self, event, now, profile):
        self.id, self.key, self.kind, self.profile = event.tx, event.key, event.profile, profile
        self.groups = ("profile", event.profile), ("party", event.tenant)
        self.hard_limit = now + event.time_left
        self.goal = min(self.hard_limit, now - event.unread_for + profile.service_goal)
        self.state, self.tried, self.give_up, self.come_back = "waiting", [], self.goal, profile.service_goal
        self.refusal = ""  # why it may get no attempt now: for the log
        self.out, self.ran = {}, None  # hop -> (server, sent at); when and where it may first have run

    @property
    def grant(self):
        """The key of what its next hop takes of the fleet's limits."""
        return (interface.FURTHER_ATTEMPT, None) if self.tried else (interface.FIRST_ATTEMPT, self.kind)
