"""The messages exchanged with hosts: the request of an attempt, and what its response proves."""

from ..policy import interface
from ..transport.buffers import body_parts
from .application import FIELDS_SET_PER_ATTEMPT
from .http1 import Message

PARSED_FIELDS = ("not-started",)  # fields that the parser of responses extracts


def attempt_request(message: Message, time_limit: float) -> tuple[bytes, ...]:
    """Return the request of an attempt as its parts: the head, and those of the body if there is one.

    The transaction is passed on unchanged, with the time limit of this attempt in seconds.
    """
    length = len(message.body)
    framing = b"Content-Length: %d\r\n" % length if length or message.method not in ("GET", "HEAD") else b""
    head = b"%b %b HTTP/1.1\r\n%bRequest-Timeout: %.4f\r\n%b\r\n" % (
        message.method.encode(),
        message.target.encode(),
        message.field_lines_without(*FIELDS_SET_PER_ATTEMPT),
        time_limit,
        framing,
    )
    return head, *body_parts(message.body)


TRANSIENT_STATUSES = {408, 425, 429}  # 4xx statuses that may pass: the transaction itself is not at fault


def classify_response(response: Message, written: bool) -> str:
    """Return the outcome that a response proves.

    `written`: whether the whole request was written before it came; otherwise it can't prove a commit.
    """
    if response.status in (503, 504) and response.field("not-started") == "1":
        return interface.REFUSED
    if response.status == 200:
        return interface.COMMITTED if written else interface.ERROR
    if written and 400 <= response.status < 500 and response.status not in TRANSIENT_STATUSES:
        # the transaction is at fault, not the host: it must not be sent to another one
        return interface.DECLINED

    return interface.ERROR
