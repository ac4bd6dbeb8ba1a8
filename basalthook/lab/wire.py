"""Entries of the wire record: what crossed the wire, recorded by the stand-ins at both ends and never by the
program under test.

Times are seconds on one clock, and entries are in order of time. The digest of a virtual run covers the class
names and fields of `Asked`, `Answered`, `Got` and `Done`, so renaming these changes it.
"""

from typing import NamedTuple


class Asked(NamedTuple):
    """A client has written the last byte of a transaction's request."""

    at: float
    tx: str
    once: bool  # must not run twice
    limit: float  # the time at which its hard limit expires
    profile: str
    due: float  # when its first try was due
    first: str  # transaction id of the first try; its own id if it is the first
    window: float | None = None  # of a keyed request: seconds during which it may be repeated


class ClientLeft(NamedTuple):
    """The client has closed its connection before its answer; no attempt may begin for it from now on."""

    at: float
    tx: str


class HalfRequestKeptOpen(NamedTuple):
    """A client stopped half way through its request, and the proxy has not closed the connection in time."""

    at: float
    proxy: int


class ClosedBeforeRead(NamedTuple):
    """The proxy closed an idle connection just as a request was written to it.

    The request was never read, so the client sends it again as a new transaction.
    """

    at: float
    tx: str


class Answered(NamedTuple):
    """The last byte of an answer has arrived; status 0: the connection ended without a complete one."""

    at: float
    tx: str
    status: int
    made_by_host: bool  # its body is one that a host made for this transaction


class Got(NamedTuple):
    """A host has received the last byte of an attempt."""

    at: float
    host: int
    tx: str
    cost: float  # seconds of work
    capacity: float  # of this host at that time, in seconds of work per second
    cold: float | None  # when its process started, while it is cold; else None
    ran: bool  # false: rejected before any work, with an answer that says so
    proxy: int = 0
    left: float | None = None  # when it was sent, if the link delayed it
    told: float | None = None  # seconds left at `left` of the time limit that the proxy sent in the head


class Done(NamedTuple):
    """A host has ended its work on an attempt, whether or not its answer arrived; recorded only in scenarios
    with fleet limits."""

    at: float
    host: int
    tx: str  # "": all that it was working on, as its process has ended


class AnswerWaived(NamedTuple):
    """The proxy was killed or stopped during the transaction, so no answer is required."""

    at: float
    tx: str


class ListRequested(NamedTuple):
    """A proxy has requested the host list from discovery."""

    at: float
    proxy: int


class HostStateSent(NamedTuple):
    """Discovery has written the state of a host to the proxy, or the proxy counts as knowing it."""

    at: float
    host: int
    state: str  # "up", "draining" or "removed"
    proxy: int = 0


class HostOrdered(NamedTuple):
    """The proxy has confirmed an operator's order that takes this host out of service or puts it back."""

    at: float
    host: int
    out: bool
    proxy: int = 0
