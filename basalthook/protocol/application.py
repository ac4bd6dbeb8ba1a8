"""What the application beside this proxy asks, and what it is answered."""

import re
from typing import NamedTuple

from . import http1
from .http1 import Message, Rejection

HEALTH_PATH = "/_health"
SECONDS_PATTERN = re.compile(r"\d{1,9}(\.\d{0,30})?|\.\d{1,30}")
MAX_TIMEOUT_S = 3600.0
KEY_COOKIE = "k"
# Fields that speak of one connection only; lengths are written anew on each.
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
PARSED_FIELDS = (*SINGLE_VALUE_FIELDS, "cookie")  # what the parser of the application's messages looks for
FIELDS_SET_PER_ATTEMPT = (*HOP_BY_HOP_FIELDS, "request-timeout")
STREAMED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n"
CHUNKED_FIELD, LAST_CHUNK = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n%b\r\n"
CLOSE_FIELD = b"Connection: close\r\n"


class TransactionRequest(NamedTuple):
    """A transaction as the application sent it."""

    id: str
    profile: int
    key: str | None
    timeout: float  # seconds
    message: Message


def parse_transaction(message: Message, profiles: dict[str, int]) -> TransactionRequest | Rejection:
    if message.method not in ("GET", "POST"):
        return Rejection(405, "method not allowed")
    if not message.target.startswith("/"):
        return Rejection(400, "no path")
    ids, classes, timeouts = (message.values(name) for name in SINGLE_VALUE_FIELDS)
    if len(ids) > 1 or len(classes) > 1 or len(timeouts) > 1:
        return Rejection(400, "a deciding field twice")  # which one a host would follow is not known
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
    """What the transaction is about; of several the first."""
    for value in message.values("cookie"):
        for cookie in value.split(";"):
            name, _, key = cookie.strip().partition("=")
            if name == KEY_COOKIE and key:
                return key
    return None


def committed_response(message: Message, keep_alive: bool) -> tuple[bytes, bytes]:
    """A host's answer: a head of our own framing, and its body unchanged, as it is."""
    field_lines = message.field_lines_without(*HOP_BY_HOP_FIELDS)
    return RESPONSE_HEAD % (field_lines, len(message.body), b"" if keep_alive else CLOSE_FIELD), message.body


def streamed_response_head(message: Message, keep_alive: bool, chunked: bool) -> bytes:
    """The head of an answer that goes on as it comes, of its own length or in chunks; else the connection's
    end tells where it ends."""
    field_lines = message.field_lines_without(*HOP_BY_HOP_FIELDS)
    framing = CHUNKED_FIELD if chunked else b""
    if message.length is not None:
        framing = b"Content-Length: %d\r\n" % message.length
    return STREAMED_RESPONSE_HEAD % (field_lines, framing, b"" if keep_alive else CLOSE_FIELD)


def encode_chunk(data) -> tuple[bytes, ...]:
    return b"%x\r\n" % len(data), data, b"\r\n"


def rollback_response(retry_after: float, keep_alive: bool) -> bytes:
    """Trying again is harmless; after so many seconds, if there are any."""
    fields = [("Retry-After", f"{retry_after:.3f}")] if retry_after else []
    return http1.response(503, fields, b"", keep_alive)


def abandoned_response(timed_out: bool, keep_alive: bool) -> bytes:
    """Nothing is assured."""
    return http1.response(504 if timed_out else 502, [], b"", keep_alive)


def text_response(status: int, text: str, keep_alive: bool) -> bytes:
    return http1.response(status, [("Content-Type", "text/plain")], text.encode() + b"\n", keep_alive)
