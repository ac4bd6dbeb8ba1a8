"""The interface of the decisions: settings and events in, effects out. Nothing is decided here.

Any protocol can drive the decisions. It builds one `decide.Proxy(settings, seed, now)` for each client
process, passes it every event below with the present time, in order of arrival, and carries out the effects
that it returns, in order. Times are integers in ticks of 0.1 ms on the caller's clock; upper bounds of waits
are rounded down and slow start times up. Transactions and hosts are integers chosen by the caller and never
reused; a key and a host's `hash` are the same number at every proxy.
"""

from typing import NamedTuple

# Kinds of profile: a repeat does no harm; is discarded in its repeat group and window; runs a second time.
IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT = "idempotent", "journalled", "non-idempotent"
# Repeat groups: the hosts that discard repeats of a journalled transaction.
EVERYWHERE, ZONE, CELL = "everywhere", "zone", "cell"
# Outcomes of an attempt. After REFUSED, UNREACHABLE, DROPPED and UNSENT it is certain that nothing ran.
COMMITTED, ERROR, TIMED_OUT, RESET = "committed", "error", "timed out", "reset"
CANCELLED, REFUSED, UNREACHABLE, UNSENT = "cancelled", "refused", "unreachable", "unsent"
DROPPED = "dropped"  # the connection was accepted, and broke before the whole request was written
DECLINED = "declined"  # the host answered that the transaction itself is wrong: final, like a commit

# Why an attempt decided on earlier may no longer begin; checked right before its first byte.
REQUEST_OVER, OUT_OF_TIME, REPEAT_NOT_ALLOWED = "request over", "out of time", "repeat not allowed"
ENDPOINT_LEAVING, PLACEMENT, CLIENT_GONE = "endpoint leaving", "placement", "client gone"
REQUEST_ID_USED = "request id used"  # by another process of this proxy

# Peer reports on a host: one proxy met a fault (sent to the host's aggregator); many did (sent to all).
FAULT_SEEN, FAULT_CONFIRMED = "met fault", "at fault"


class Profile(NamedTuple):
    """A class of transactions."""

    kind: str  # IDEMPOTENT, JOURNALLED or NON_IDEMPOTENT
    group: str  # repeat group; journalled profiles only
    repeat_window: int  # ticks for which repeats are discarded; journalled profiles only
    service_goal: int  # latency objective in ticks
    zones: frozenset | None = None  # placement: only hosts in these zones; None: any
    host_kinds: frozenset | None = None  # placement: only hosts of these kinds; None: any


class PolicySettings(NamedTuple):
    """The operator's settings, read once at start; times in ticks."""

    profiles: tuple[Profile, ...]
    position: int  # index of this proxy among all, from 0
    proxies: int
    zone: str
    cross_zone_price: float  # share of the service score lost if every transaction crosses zones once
    warm_keys: bool  # a host that has seen a key recently does less work for it
    list_on_request: bool  # the host list must be requested; else it is pushed
    list_poll_interval: int  # within which the list must be requested again
    slow_start_share: float  # a new host process has at least this share of its capacity
    slow_start_time: int  # and all of it after this time
    overload_factor: float  # a cold host fails if sent more than this multiple of its present capacity ...
    overload_time: int  # ... for this long
    max_attempts: int
    can_cancel: bool  # open attempts may be cancelled
    max_retry_after: int  # longest retry-after time that clients are given; 0: none
    live_weights: bool = False  # listed weights are capacity / (1 + transactions held per core), with a lag
    peer_reports: bool = False  # proxies may send one another reports, which may be lost
    use_unlisted: bool = False  # hosts not on the list may be sent to, unless they were seen draining
    drain_grace: int = 0  # after the list shows a host draining, until nothing may be sent there


class HostEntry(NamedTuple):
    """One entry of the host list."""

    host_id: int
    hash: int
    zone: str
    cell: int
    ready: bool  # false: draining or gone
    weight: float  # its capacity; with `live_weights`, what its load leaves of it
    started_at: int | None  # None: long ago, it is warm
    kind: str = ""  # machine type, for placement; "": unknown
    draining: bool = False  # if not ready: it still finishes its work; else it is gone


# Events


class HostListReceived(NamedTuple):
    """A host list, or a part of it that has changed."""

    hosts: tuple[HostEntry, ...]
    complete: bool  # the whole list: hosts that are not in it are gone
    from_discovery: bool  # false: the list known from before, without a request


class HostListFailed(NamedTuple):
    """A list request failed, or an open watch broke."""


class TxArrived(NamedTuple):
    """A client asks for a transaction."""

    tx: int
    profile: int  # index in PolicySettings.profiles
    key: int | None
    time_left: int  # ticks until its hard limit
    unread_for: int = 0  # ticks since its last byte arrived, if this process was late to read it
    tenant: int | None = None  # None: unknown
    body_bytes: int = 0  # of a body so long that a host takes noticeable time to read it; else 0


class AttemptEnded(NamedTuple):
    """An attempt has ended with one of the outcomes above."""

    tx: int
    attempt: int  # 0 for the first of its transaction
    host: int
    outcome: str
    elapsed: int  # ticks since it was sent
    final: bool  # the transaction has its final answer
    unread_for: int = 0  # ticks for which its answer was received but not read; not part of `elapsed`


class StreamStarted(NamedTuple):
    """The answer of this attempt is being passed on to the client: no further attempt can follow."""

    tx: int
    attempt: int


class ClientDisconnected(NamedTuple):
    """The client has left before its answer."""

    tx: int


class TimerDue(NamedTuple):
    """A timer of SetTimer is due."""

    timer_id: int


class ProcessCount(NamedTuple):
    """Processes of this proxy that now run side by side, during an upgrade, and share the limits of one."""

    processes: int


class HostVerdicts(NamedTuple):
    """The fleet's verdicts on hosts, in addition to what this proxy knows itself."""

    hosts: tuple  # (host, no attempts until, then a growing share of them until)
    trial: int | None = None  # one of these hosts, which this proxy is to try once; None: none


class LimitsUpdated(NamedTuple):
    """What the fleet's limits allow this proxy from now on; keys that are not named keep their rows."""

    rows: tuple  # (key, count that does not expire, additional count, its expiry); for keys see below
    aliases: tuple = ()  # (key, key whose row it shares)
    retry_after: int = 0  # ticks, for transactions refused by a limit; 0: it may soon allow more


# Keys of limits: (PER_HOST, host), (FIRST_ATTEMPT, profile), (FURTHER_ATTEMPT, None). None in place of a
# host or profile stands for all that are not named.
PER_HOST, FIRST_ATTEMPT, FURTHER_ATTEMPT = "at host", "first", "further"


class PeerReportReceived(NamedTuple):
    """For the component that aggregates peer reports (`fleet.aggregation`), which wraps the decisions."""

    sender: int  # position of the proxy that claims this; not verified
    host: int
    report: str  # FAULT_SEEN or FAULT_CONFIRMED


# Effects


class SendAttempt(NamedTuple):
    """Send the transaction to a host, as its next attempt."""

    tx: int
    host: int
    time_limit: int  # ticks


class RollBack(NamedTuple):
    """Answer the client with a rollback: asking again does no harm."""

    tx: int
    retry_after: int  # ticks; 0: no such time is given
    reason: str = ""  # for the log


class Abandon(NamedTuple):
    """Answer the client that the outcome is unknown: it may have run and must not be repeated."""

    tx: int
    reason: str = ""  # for the log


class CancelAttempt(NamedTuple):
    """Cancel an open attempt."""

    tx: int
    attempt: int


class RequestHostList(NamedTuple):
    """Request the host list, or a watch on it."""


class ReportHostFault(NamedTuple):
    """This proxy met a fault of a host, not of the transaction; only with `peer_reports`."""

    host: int


class SendPeerReport(NamedTuple):
    """An effect of the component that aggregates peer reports."""

    peer: int | None  # position of the recipient; None: all
    host: int
    report: str


class SetTimer(NamedTuple):
    """Return TimerDue with this id after the delay."""

    delay: int  # ticks
    timer_id: int
