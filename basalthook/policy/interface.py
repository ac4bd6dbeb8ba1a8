"""What goes in and out of the decisions: events and start-up terms in, effects out. Nothing is decided here.

Any protocol can drive the decisions. It builds one `decide.Proxy(agreement, seed, now)` for each client
process, hands it every event below with the present time, in order of arrival, and carries out the
effects that come back, in order. Times are whole tenths of a millisecond on the caller's clock; waits that
a rule bounds are rounded down and cold times up. Transactions and hosts are whole numbers chosen by the
caller, never used again for another one; a key and a host's `hash` are the same number at every proxy.
"""

from typing import NamedTuple

# Kinds of profile: what a repeat does.
IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT = "idempotent", "journalled", "non-idempotent"
# Repeat groups: which hosts discard repeats of a journalled transaction.
EVERYWHERE, ZONE, CELL = "everywhere", "zone", "cell"
# Outcomes of a hop. Of REFUSED, UNREACHABLE, DROPPED and UNSENT it is certain that nothing ran.
COMMITTED, ERROR, TIMED_OUT, RESET = "committed", "error", "timed out", "reset"
CANCELLED, REFUSED, UNREACHABLE, UNSENT = "cancelled", "refused", "unreachable", "unsent"
DROPPED = "dropped"  # the host's machine took the connection, and it broke before all was written
DECLINED = "declined"  # the host answered that the transaction itself is wrong: its last word, like a commit

# Why an attempt that was decided may not begin any more; asked right before its first byte.
REQUEST_OVER, OUT_OF_TIME, REPEAT_NOT_ALLOWED = "request over", "out of time", "repeat not allowed"
ENDPOINT_LEAVING, PLACEMENT, CLIENT_GONE = "endpoint leaving", "placement", "client gone"

# News of a host: one proxy met a fault there, told to the one who counts; many did, told to all.
FAULT_SEEN, FAULT_CONFIRMED = "met fault", "at fault"


class Profile(NamedTuple):
    kind: str  # one of the three kinds
    group: str  # repeat group and window: journalled only
    repeat_window: int
    service_goal: int
    zones: frozenset | None = None  # it goes to hosts in these only; None: in any
    host_kinds: frozenset | None = None  # and to hosts of these kinds only


class PolicySettings(NamedTuple):
    """What the operator grants and demands, read once at start."""

    profiles: tuple[Profile, ...]
    position: int  # this proxy among its fellows, from 0
    proxies: int
    zone: str
    cross_zone_price: float  # points lost where every transaction crosses zones once, of 1
    warm_keys: bool  # a host that met a key lately does less work for it
    list_on_request: bool  # the host list comes only to those who ask
    list_poll_interval: int
    slow_start_share: float  # a fresh host has at least this share of its capacity
    slow_start_time: int  # and all of it after this time
    overload_factor: float  # sent more than this multiple of present capacity ...
    overload_time: int  # ... for this long, a cold host falls
    max_attempts: int
    can_cancel: bool
    max_retry_after: int  # longest come-back time that clients are told; 0: none
    live_weights: bool = False  # listed weights are size / (1 + transactions held a core), and late
    peer_reports: bool = False  # proxies may tell one another news, which may be lost
    use_unlisted: bool = False  # hosts gone or left out, but not seen draining, may be sent to
    drain_grace: int = 0  # after it was told that a host drains nothing goes there


class HostEntry(NamedTuple):
    """One line of the host list."""

    host_id: int
    hash: int
    zone: str
    cell: int
    ready: bool  # false: draining or gone
    weight: float  # its size; or, by the agreement, what its load leaves of it
    started_at: int | None  # None: long ago
    kind: str = ""  # a make of machine, for placement; "": not told
    draining: bool = False  # where not ready: it is finishing, not gone


# Events


class HostListReceived(NamedTuple):
    hosts: tuple[HostEntry, ...]
    complete: bool  # the whole list: a host that is not in it is gone
    from_discovery: bool  # false: the list held from before, nobody was asked


class HostListFailed(NamedTuple):
    pass


class TxArrived(NamedTuple):
    tx: int
    profile: int  # index in PolicySettings.profiles
    key: int | None
    time_left: int  # what is left of it now
    unread_for: int = 0  # since its last byte came in, where this process was late to look
    tenant: int | None = None  # whose it is, where that is told


class AttemptEnded(NamedTuple):
    tx: int
    attempt: int
    host: int
    outcome: str
    elapsed: int
    final: bool  # the transaction has its final answer
    unread_for: int = 0  # its answer lay here unread for this long; not in `elapsed`


class StreamStarted(NamedTuple):
    tx: int
    attempt: int


class ClientDisconnected(NamedTuple):
    tx: int


class TimerDue(NamedTuple):
    timer_id: int


class ProcessCount(NamedTuple):
    processes: int  # so many of this proxy live at present, within the limits of one


class HostVerdicts(NamedTuple):
    """What whoever speaks for the fleet holds of hosts, beside what this proxy knows itself."""

    hosts: tuple  # (host, kept away until, a growing part of all until)
    trial: int | None = None  # one of these that this proxy is to try once; None: none


class LimitsUpdated(NamedTuple):
    """What the fleet's limits leave this proxy from now on; what is not named stays as it was told."""

    rows: tuple  # (key, so many always, so many more until, until); keys see below
    aliases: tuple = ()  # (key, the key whose row it shares)
    retry_after: int = 0  # for those refused for want of them; 0: more may come within moments


# Keys of limits: (PER_HOST, host), (FIRST_ATTEMPT, profile), (FURTHER_ATTEMPT, None). None in place of a
# number stands for all that are not named.
PER_HOST, FIRST_ATTEMPT, FURTHER_ATTEMPT = "at host", "first", "further"


class PeerReportReceived(NamedTuple):
    """For the decider beside the decisions that counts news (`fleet.counting`)."""

    sender: int  # another proxy's position; whatever it says is no more than its word
    host: int
    report: str


# Effects


class SendAttempt(NamedTuple):
    tx: int
    host: int
    time_limit: int


class RollBack(NamedTuple):
    tx: int
    retry_after: int  # 0: nothing said
    reason: str = ""  # for the log


class Abandon(NamedTuple):
    tx: int
    reason: str = ""


class CancelAttempt(NamedTuple):
    tx: int
    attempt: int


class RequestHostList(NamedTuple):
    pass


class ReportHostFault(NamedTuple):
    host: int  # a host fault, not a transaction's own; given where `peers` allows news


class SendPeerReport(NamedTuple):
    """Of the decider that counts news."""

    peer: int | None  # a position; None: all
    host: int
    report: str


class SetTimer(NamedTuple):
    delay: int
    timer_id: int
