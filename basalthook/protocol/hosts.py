"""A hop on the wire: the message that goes to a host, and what its answer means."""

from ..policy import interface as i
from .application import FIELDS_SET_PER_ATTEMPT
from .http1 import Message

PARSED_FIELDS = ("not-started",)  # what the parser of hosts' answers looks for


def attempt_request(message: Message, time_limit: float) -> tuple[bytes, ...]:
    """The transaction unchanged, with the time that we will wait; head and body, written in one call."""
    body = message.body
    framing = b"Content-Length: %d\r\n" % len(body) if body or message.method not in ("GET", "HEAD") else b""
    head = b"%b %b HTTP/1.1\r\n%bRequest-Timeout: %.4f\r\n%b\r\n" % (
        message.method.encode(),
        message.target.encode(),
        message.field_lines_without(*FIELDS_SET_PER_ATTEMPT),
        time_limit,
        framing,
    )
    return (head, body) if body else (head,)


TRANSIENT_STATUSES = {408, 425, 429}  # of 4xx: these speak of the moment, not of the message


def classify_response(response: Message, written: bool) -> str:
    """What an answer proves. One that came before the whole hop was written can't be a commit."""
    if response.status in (503, 504) and response.field("not-started") == "1":
        return i.REFUSED
    if response.status == 200:
        return i.COMMITTED if written else i.ERROR
    if written and 400 <= response.status < 500 and response.status not in TRANSIENT_STATUSES:
        return i.DECLINED  # guards against blaming hosts, and asking further ones, for a bad transaction
    return i.ERROR
