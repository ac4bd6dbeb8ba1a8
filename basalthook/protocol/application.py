"""What the application beside this proxy asks, and what it is answered."""

import re
from typing import NamedTuple

from . import http1
from .http1 import Malformed, Message

HEALTH = "/_health"
SECONDS = re.compile(r"\d{1,9}(\.\d{0,30})?|\.\d{1,30}")
TIMEOUT_MOST = 3600.0
KEY_COOKIE = "k"
# Fields that speak of one connection only; lengths are written anew on each.
OF_ONE_CONNECTION = (
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
DECIDING = ("request-id", "request-class", "request-timeout")
WANTED = (*DECIDING, "cookie")  # what the parser of the application's messages looks for
PER_HOP = (*OF_ONE_CONNECTION, "request-timeout")
COMMITTED_LONG = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n"
CHUNKED, LAST_CHUNK = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
COMMITTED = b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n%b\r\n"
CLOSE = b"Connection: close\r\n"


class Asked(NamedTuple):
    """A transaction as the application sent it."""

    id: str
    profile: int
    key: str | None
    timeout: float  # seconds
    message: Message


def asked(message: Message, profiles: dict[str, int]) -> Asked | Malformed:
    if message.method not in ("GET", "POST"):
        return Malformed(405, "method not allowed")
    if not message.target.startswith("/"):
        return Malformed(400, "no path")
    ids, classes, timeouts = (message.values(name) for name in DECIDING)
    if len(ids) > 1 or len(classes) > 1 or len(timeouts) > 1:
        return Malformed(400, "a deciding field twice")  # which one a host would follow is not known
    first = message.target.split("?", 1)[0].split("/")[1]
    profile = profiles.get(classes[0] if classes and classes[0] else first)
    if profile is None or first in profiles and profiles[first] != profile:
        return Malformed(404, "unknown class, or two of them")
    timeout = timeouts[0] if timeouts else ""
    if not SECONDS.fullmatch(timeout) or not 0 < float(timeout) <= TIMEOUT_MOST:
        return Malformed(400, "no usable Request-Timeout")
    if not ids or not ids[0]:
        return Malformed(400, "no Request-Id")
    return Asked(ids[0], profile, key(message), float(timeout), message)


def key(message: Message) -> str | None:
    """What the transaction is about; of several the first."""
    for value in message.values("cookie"):
        for crumb in value.split(";"):
            mark, _, word = crumb.strip().partition("=")
            if mark == KEY_COOKIE and word:
                return word
    return None


def committed(message: Message, keep: bool) -> tuple[bytes, bytes]:
    """A host's answer: a head of our own framing, and its body unchanged, as it is."""
    lines = message.lines_without(*OF_ONE_CONNECTION)
    return COMMITTED % (lines, len(message.body), b"" if keep else CLOSE), message.body


def committed_long(message: Message, keep: bool, chunked: bool) -> bytes:
    """The head of an answer that goes on as it comes, of its own length or in chunks; else the connection's
    end tells where it ends."""
    lines = message.lines_without(*OF_ONE_CONNECTION)
    sized = CHUNKED if chunked else b""
    if message.length is not None:
        sized = b"Content-Length: %d\r\n" % message.length
    return COMMITTED_LONG % (lines, sized, b"" if keep else CLOSE)


def chunk(piece) -> tuple[bytes, ...]:
    return b"%x\r\n" % len(piece), piece, b"\r\n"


def rolled_back(come_back: float, keep: bool) -> bytes:
    """Trying again is harmless; after so many seconds, if there are any."""
    after = [("Retry-After", f"{come_back:.3f}")] if come_back else []
    return http1.response(503, after, b"", keep)


def abandoned(late: bool, keep: bool) -> bytes:
    """Nothing is assured."""
    return http1.response(504 if late else 502, [], b"", keep)


def told(status: int, text: str, keep: bool) -> bytes:
    return http1.response(status, [("Content-Type", "text/plain")], text.encode() + b"\n", keep)
