"""What crossed the wire, noted by the stand-ins at both ends and never by the program under test.

Times are seconds on one clock. Entries are in order of time.
"""

from typing import NamedTuple


class Asked(NamedTuple):
    """A client has written a transaction's last byte."""

    at: float
    tx: str
    once: bool  # must not run twice
    limit: float  # its hard limit, as a moment
    profile: str
    due: float  # when the schedule had its first try
    first: str  # the first try of the same; its own id where it is that
    window: float | None = None  # of a keyed request: seconds in which it may be sent again


class ClientLeft(NamedTuple):
    """The client has closed its connection before its answer: nothing may begin for it any more."""

    at: float
    tx: str


class HalfRequestKeptOpen(NamedTuple):
    """A client has stopped half way through its request, and its connection is open well after that."""

    at: float
    proxy: int


class ClosedBeforeRead(NamedTuple):
    """The proxy closed a resting connection just as a request was written to it: never read, so sent anew."""

    at: float
    tx: str


class Answered(NamedTuple):
    """The last byte of an answer has come; status 0: the connection ended without a whole one."""

    at: float
    tx: str
    status: int
    made_by_host: bool  # its body is one that a host made for this transaction


class Got(NamedTuple):
    """The last byte of a hop has come to a host."""

    at: float
    host: int
    tx: str
    cost: float  # seconds of work
    capacity: float  # of this host then, in seconds of work a second
    cold: float | None  # when its process started, while it is cold; else None
    ran: bool  # false: turned away unseen, and said so
    proxy: int = 0
    left: float | None = None  # when it went out, where a way held it up since
    told: float | None = None  # seconds that the proxy said it would wait


class Done(NamedTuple):
    """A host has ended its work on a hop, heard of or not; noted where limits are played."""

    at: float
    host: int
    tx: str  # "": on all that it held, as its process is gone


class AnswerWaived(NamedTuple):
    """Its proxy was killed or stopped under it: nobody could answer."""

    at: float
    tx: str


class ListRequested(NamedTuple):
    """A proxy has asked discovery for the list."""

    at: float
    proxy: int


class HostStateSent(NamedTuple):
    """Discovery has written to the proxy what it knows of a host."""

    at: float
    host: int
    state: str  # "up", "draining" or "removed"
    proxy: int = 0


class HostOrdered(NamedTuple):
    """The staff has had its yes from the proxy: this host is out, or back."""

    at: float
    host: int
    out: bool
    proxy: int = 0
