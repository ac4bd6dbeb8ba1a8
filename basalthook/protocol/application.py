"""The messages exchanged with the application beside this proxy: transactions, and responses to them."""

import re
from typing import NamedTuple

from . import http1
from .http1 import Message, Rejection

HEALTH_PATH = "/_health"
SECONDS_PATTERN = re.compile(r"\d{1,9}(\.\d{0,30})?|\.\d{1,30}")
MAX_TIMEOUT_S = 3600.0
KEY_COOKIE = "k"
# Fields that concern a single connection; the length is written anew for each.
HOP_BY_HOP_FIELDS = (
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
)
SINGLE_VALUE_FIELDS = ("request-id", "request-class", "request-timeout")
PARSED_FIELDS = (*SINGLE_VALUE_FIELDS, "cookie")  # fields that the parser of requests extracts
FIELDS_SET_PER_ATTEMPT = (*HOP_BY_HOP_FIELDS, "request-timeout")
STREAMED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n"
CHUNKED_FIELD, LAST_CHUNK = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n%b\r\n"
CLOSE_FIELD = b"Connection: close\r\n"


class TransactionRequest(NamedTuple):
    """A valid transaction as the application sent it; `profile` is the profile's number."""

    id: str
    profile: int
    key: str | None
    timeout: float  # seconds
    message: Message


def parse_transaction(message: Message, profiles: dict[str, int]) -> TransactionRequest | Rejection:
    """Return the transaction that a request stands for, or why it is rejected.

    `profiles` maps the names of profiles to their numbers.
    """
    if message.method not in ("GET", "POST"):
        return Rejection(405, "method not allowed")
    if not message.target.startswith("/"):
        return Rejection(400, "no path")
    ids, classes, timeouts = (message.values(name) for name in SINGLE_VALUE_FIELDS)
    if len(ids) > 1 or len(classes) > 1 or len(timeouts) > 1:
        return Rejection(400, "a deciding field twice")  # it is unknown which one a host would use
    path_profile = message.target.split("?", 1)[0].split("/")[1]
    profile = profiles.get(classes[0] if classes and classes[0] else path_profile)
    if profile is None or path_profile in profiles and profiles[path_profile] != profile:
        return Rejection(404, "unknown class, or two of them")
    timeout = timeouts[0] if timeouts else ""
    if not SECONDS_PATTERN.fullmatch(timeout) or not 0 < float(timeout) <= MAX_TIMEOUT_S:
        return Rejection(400, "no usable Request-Timeout")
    if not ids or not ids[0]:
        return Rejection(400, "no Request-Id")
    return TransactionRequest(ids[0], profile, transaction_key(message), float(timeout), message)


def transaction_key(message: Message) -> str | None:
    """Return the key of the transaction from its cookie; the first one if there are several."""
    for value in message.values("cookie"):
        for cookie in value.split(";"):
            name, _, key = cookie.strip().partition("=")
            if name == KEY_COOKIE and key:
                return key
    return None


def committed_response(message: Message, keep_alive: bool) -> tuple[bytes, bytes]:
    """Return a host's successful response as head and body: framed anew, with the body unchanged."""
    field_lines = message.field_lines_without(*HOP_BY_HOP_FIELDS)
    return RESPONSE_HEAD % (field_lines, len(message.body), b"" if keep_alive else CLOSE_FIELD), message.body


def streamed_response_head(message: Message, keep_alive: bool, chunked: bool) -> bytes:
    """Return the head of a response whose body is streamed.

    The body is delimited by its length if that is known, else by chunks if `chunked`, else by the end of the
    connection.
    """
    field_lines = message.field_lines_without(*HOP_BY_HOP_FIELDS)
    framing = CHUNKED_FIELD if chunked else b""
    if message.length is not None:
        framing = b"Content-Length: %d\r\n" % message.length
    return STREAMED_RESPONSE_HEAD % (field_lines, framing, b"" if keep_alive else CLOSE_FIELD)


def encode_chunk(data) -> tuple[bytes, ...]:
    """Return the parts of one chunk of a chunked body."""
    return b"%x\r\n" % len(data), data, b"\r\n"


def rollback_response(retry_after: float, keep_alive: bool) -> bytes:
    """Return the response after a roll-back: a retry is safe.

    `retry_after` is the delay before it in seconds, or 0 if there is none.
    """
    fields = [("Retry-After", f"{retry_after:.3f}")] if retry_after else []
    return http1.response(503, fields, b"", keep_alive)


def abandoned_response(timed_out: bool, keep_alive: bool) -> bytes:
    """Return the response for an unknown outcome: the transaction may or may not have run."""
    return http1.response(504 if timed_out else 502, [], b"", keep_alive)


def text_response(status: int, text: str, keep_alive: bool) -> bytes:
    """Return a response with a line of plain text."""
    return http1.response(status, [("Content-Type", "text/plain")], text.encode() + b"\n", keep_alive)
