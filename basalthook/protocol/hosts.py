"""A hop on the wire: the message that goes to a host, and what its answer means."""

from ..policy import interface
from .application import PER_HOP
from .http1 import Message

WANTED = ("not-started",)  # what the parser of hosts' answers looks for


def hop(message: Message, seconds: float) -> tuple[bytes, ...]:
    """The transaction unchanged, with the time that we will wait; head and body, written in one call."""
    body = message.body
    sized = b"Content-Length: %d\r\n" % len(body) if body or message.method not in ("GET", "HEAD") else b""
    head = b"%b %b HTTP/1.1\r\n%bRequest-Timeout: %.4f\r\n%b\r\n" % (
        message.method.encode(),
        message.target.encode(),
        message.lines_without(*PER_HOP),
        seconds,
        sized,
    )
    return (head, body) if body else (head,)


MAY_PASS = {408, 425, 429}  # of 4xx: these speak of the moment, not of the message


def outcome(answer: Message, written: bool) -> str:
    """What an answer proves. One that came before the whole hop was written can't be a commit."""
    if answer.status in (503, 504) and answer.field("not-started") == "1":
        return interface.REFUSED
    if answer.status == 200:
        return interface.COMMITTED if written else interface.ERROR
    if written and 400 <= answer.status < 500 and answer.status not in MAY_PASS:
        # guards against blaming hosts, and asking further ones, for a bad transaction
        return interface.DECLINED
    return interface.ERROR
