"""An incremental HTTP/1.1 parser and a writer. Bytes in, messages out; no I/O.

Strict where leniency would let two readers see two different messages: line ends, lengths, transfer codings.
A head is read in one pass of compiled expressions: one checks it whole, one finds the fields that decide; the
rest is carried as the bytes that came.
"""

import re
from functools import lru_cache
from typing import NamedTuple

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024
LONG_MOST = 1024**3  # of a body that goes on in pieces: one that says more is no sound message
INTERIMS_MOST = 64
LINE_MOST = 256  # of a chunk's size line
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
# possessive, so that a head that does not match costs one pass and no more
LINES = rb"(?:" + TOKEN + rb":[\t\x20-\x7e\x80-\xff]*+\r\n)*+"
REQUEST = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]++) HTTP/(\d)\.(\d)\r\n" + LINES)
RESPONSE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: [\t\x20-\x7e\x80-\xff]*+)?\r\n" + LINES)
TRAILER = re.compile(TOKEN + rb":[\t\x20-\x7e\x80-\xff]*")
BARE_END = re.compile(rb"(?<!\r)\n")
LENGTH = re.compile(r"[0-9]{1,18}")
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
NO_BODY = {204, 304}
FRAMING = ("connection", "content-length", "expect", "host", "transfer-encoding")
KEPT, CLOSED = "keep-alive", "close"


@lru_cache(maxsize=64)
def fields_named(*names: str) -> re.Pattern[bytes]:
    """Finds every field of these names in a head whose lines each end with CRLF, the start line included."""
    return re.compile(rb"\r\n(" + b"|".join(re.escape(n.encode()) for n in names) + rb"):([^\r\n]*+)", re.I)


@lru_cache(maxsize=64)
def lines_named(*names: str) -> re.Pattern[bytes]:
    """Matches whole lines of these names, to leave them out of a message that goes on."""
    either = b"|".join(re.escape(n.encode()) for n in names)
    return re.compile(rb"^(?:" + either + rb"):[^\n]*+\n", re.I | re.M)


class Message(NamedTuple):
    """A whole message."""

    method: str  # requests
    target: str
    status: int  # responses
    lines: bytes  # its field lines as they came, each with its CRLF
    marked: dict[str, list[str]]  # values of the fields that were looked for, names in lower case
    body: bytes
    keep: bool  # the connection can be used again
    delimited: bool  # its own framing told where it ends, not the connection's end
    minor: int = 1  # of its version, HTTP/1.x
    length: int | None = None  # of a body that is not all here: as its head says, None if it does not

    def values(self, name: str) -> list[str]:
        """Of all fields of this name (lower case), in order."""
        if name in self.marked:
            return self.marked[name]
        found = fields_named(name).finditer(b"\r\n" + self.lines)
        return [field[2].strip(b" \t").decode("latin-1") for field in found]

    def field(self, name: str) -> str | None:
        """The first of this name."""
        return next(iter(self.values(name)), None)

    def options(self) -> set[str]:
        """What its Connection fields name."""
        return {o.strip().lower() for v in self.marked.get("connection", ()) for o in v.split(",")}

    def lines_without(self, *names: str) -> bytes:
        """Its field lines less those of these names, and less those that its Connection field names."""
        more = self.options() - {"", KEPT, CLOSED} if "connection" in self.marked else ()
        return lines_named(*names, *sorted(more)).sub(b"", self.lines)


class Malformed(NamedTuple):
    status: int  # what a server answers to it
    reason: str


class Parser:
    """Feed it bytes; `found` is then a whole `Message`, `Malformed`, or None while more is needed.

    Bytes past the end of a message stay in `rest`; `again` starts on the next message. A body of more than
    `body_most` is an error, or, where `long` ones are taken, makes `begun` the Message as far as its head
    tells it: from then on `take_body` gives what has come of the body, and `found` has none.
    """

    def __init__(
        self,
        responses: bool,
        body_most: int = BODY_MOST,
        wanted: tuple[str, ...] = (),
        long: bool = False,
        open_most: int | None = None,
    ) -> None:
        """`wanted`: names of fields that whoever reads the message will ask for, in lower case. `open_most`:
        of a body whose length nobody told, in place of `body_most`."""
        self.responses, self.body_most, self.long = responses, body_most, long
        self.open_most = body_most if open_most is None else open_most
        self.finds, self.whole = fields_named(*FRAMING, *wanted), RESPONSE if responses else REQUEST
        self.rest = bytearray()
        self.again()

    def again(self) -> None:
        self.found: Message | Malformed | None = None
        self.started = bool(self.rest)
        self.body, self.need, self.seen, self.interims = bytearray(), 0, 0, 0
        self.head: tuple | None = None
        self.begun: Message | None = None
        self.state = Parser._head  # not bound: that would be a circle that holds the body

    def feed(self, data) -> None:
        self.rest += data
        self.started = self.started or bool(self.rest)
        while self.found is None and self.state(self):
            pass

    def end(self) -> None:
        """The connection has ended."""
        if self.found is None and self.head is not None and self.state is Parser._to_the_end:
            self._finish(keep=False, delimited=False)

    def take_body(self) -> bytearray:
        """What has come of a long body since the last time."""
        body, self.body = self.body, bytearray()
        return body

    @property
    def awaits_body(self) -> bool:
        """The head is there and asks to be told before the body is sent."""
        return (
            self.found is None
            and self.head is not None
            and not self.body
            and not self.rest
            and any(v.lower() == "100-continue" for v in self.head[4].get("expect", ()))
        )

    # ---- the states: each takes what it can from `rest` and says whether another look is worth while

    def _head(self) -> bool:
        rest = self.rest
        if not self.responses and rest.startswith(b"\r\n"):
            del rest[:2]  # an empty line before a request is passed over
            self.seen = 0
            return True
        at = rest.find(b"\r\n\r\n", max(0, self.seen - 3))
        if at < 0 or at + 4 > HEAD_MOST:
            if BARE_END.search(rest, max(0, self.seen - 1)):
                return self._bad(400, "bare line end")  # its sender takes the head for ended
            self.seen = len(rest)
            return self._bad(431, "head too long") if self.seen > HEAD_MOST or at >= 0 else False
        head = bytes(rest[: at + 2])
        del rest[: at + 4]
        self.seen = 0  # guards against missing a short head behind an interim one
        line = self.whole.fullmatch(head)
        if line is None:
            return self._bad(400, "no start line" if self.whole.match(head) is None else "bad field line")
        marked: dict[str, list[str]] = {}
        for name, value in self.finds.findall(head):
            name = name.decode().lower()
            if name in marked:
                marked[name].append(value.decode("latin-1").strip(" \t"))
            else:
                marked[name] = [value.decode("latin-1").strip(" \t")]
        return self._start(line, head[head.index(b"\n") + 1 :], marked)

    def _start(self, line, lines: bytes, marked: dict[str, list[str]]) -> bool:
        if self.responses:
            version, method, target, status = (line[1], line[2]), "", "", int(line[3])
        else:
            version, method, target, status = (line[3], line[4]), line[1].decode(), line[2].decode(), 0
        if version[0] != b"1":
            return self._bad(505, "not HTTP/1")
        lengths, codings = marked.get("content-length", ()), marked.get("transfer-encoding", ())
        hosts = len(marked.get("host", ()))
        if not self.responses and (hosts > 1 or not hosts and version[1] != b"0"):
            return self._bad(400, "not one Host field")
        if codings and (lengths or version[1] == b"0"):
            return self._bad(400, "length and transfer coding")
        if codings and (len(codings) > 1 or codings[0].lower() != "chunked"):
            return self._bad(501, "unknown transfer coding")
        if lengths and (len(lengths) > 1 or not LENGTH.fullmatch(lengths[0])):
            return self._bad(400, "bad Content-Length")
        keep = version[1] != b"0"
        if "connection" in marked:
            options = {o.strip().lower() for v in marked["connection"] for o in v.split(",")}
            keep = CLOSED not in options and (keep or KEPT in options)
        if self.responses and 100 <= status < 200 and status != 101:
            self.interims += 1  # an interim answer; the next head follows
            return True if self.interims <= INTERIMS_MOST else self._bad(400, "no end of interim answers")
        self.head, self.minor = (method, target, status, lines, marked, keep), int(version[1])
        if self.responses and (status in NO_BODY or status == 101):
            return self._finish(keep=status != 101)
        if codings:
            self.state = Parser._chunk_size
        elif lengths:
            self.need = int(lengths[0])
            if self.need > self.body_most and not self._grows(self.need, self.need):
                return False
            self.state = Parser._sized if self.begun is None else Parser._sized_long
        elif self.responses:
            self.state = Parser._to_the_end
        else:
            return self._finish()
        return True

    def _sized(self) -> bool:
        if len(self.rest) < self.need:
            return False
        self._take(self.need)
        return self._finish()

    def _sized_long(self) -> bool:
        count = min(self.need, len(self.rest))
        self.need -= count
        self._take(count)
        return self._finish() if not self.need else False

    def _to_the_end(self) -> bool:
        if not self._grows(len(self.body) + len(self.rest)):
            return False
        self._take(len(self.rest))
        return False

    def _chunk_size(self) -> bool:
        line = self._line()
        if line is None:
            return self.found is not None
        size = CHUNK.fullmatch(line)
        if size is None:
            return self._bad(400, "bad chunk size")
        self.need = int(size[1], 16)
        if not self._grows(len(self.body) + self.need):
            return False
        self.state, self.seen = (Parser._chunk, 0) if self.need else (Parser._trailer, 0)
        return True

    def _chunk(self) -> bool:
        if self.need:
            count = min(self.need, len(self.rest))
            self.need -= count
            self._take(count)
        if self.need or len(self.rest) < 2:
            return False
        if self.rest[:2] != b"\r\n":
            return self._bad(400, "chunk longer than its size")
        del self.rest[:2]
        self.state = Parser._chunk_size
        return True

    def _trailer(self) -> bool:
        line = self._line()
        if line is None:
            return self.found is not None
        self.seen += len(line) + 2  # trailers are passed over, as many as a head may be long
        if self.seen > HEAD_MOST:
            return self._bad(431, "trailers too long")
        if line and TRAILER.fullmatch(line) is None:
            return self._bad(400, "bad trailer")
        return True if line else self._finish()

    # ---- pieces of them

    def _line(self) -> bytes | None:
        at = self.rest.find(b"\r\n", 0, LINE_MOST)
        if at < 0:
            if len(self.rest) >= LINE_MOST:
                self._bad(400, "line too long")
            return None
        line = bytes(self.rest[:at])
        del self.rest[: at + 2]
        return line

    def _take(self, count: int) -> None:
        if not self.body and count == len(self.rest):
            self.body, self.rest = self.rest, bytearray()  # the ordinary case: handed on, not copied
            return
        with memoryview(self.rest) as rest, rest[:count] as part:
            self.body += part
        del self.rest[:count]

    def _grows(self, size: int, length: int | None = None) -> bool:
        """Whether a body may be so long."""
        if size > (self.open_most if length is None else self.body_most) and self.begun is None:
            if not self.long or size > LONG_MOST:
                return self._bad(413, f"body too long: {size}")
            *begun, keep = self.head
            self.begun = Message(*begun, b"", keep, True, self.minor, length)
        return True

    def _bad(self, status: int, reason: str) -> bool:
        self.found = Malformed(status, reason)
        return False

    def _finish(self, keep: bool = True, delimited: bool = True) -> bool:
        *begun, wanted = self.head
        body = bytes(self.body) if self.begun is None else b""
        self.found = Message(*begun, body, keep and wanted, delimited, self.minor)
        return False


def head(line: str, fields) -> bytes:
    return "\r\n".join([line, *(f"{n}: {v}" for n, v in fields), "", ""]).encode("latin-1")


def request(method: str, target: str, fields, body: bytes = b"") -> bytes:
    sized = [("Content-Length", str(len(body)))] if body or method not in ("GET", "HEAD") else []
    return head(f"{method} {target} HTTP/1.1", [*fields, *sized]) + body


PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def response(status: int, fields, body: bytes, keep: bool) -> bytes:
    framing = [("Content-Length", str(len(body)))] + ([] if keep else [("Connection", "close")])
    return head(f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}", [*fields, *framing]) + body
