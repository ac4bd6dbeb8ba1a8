"""An incremental HTTP/1.1 parser and a writer. No I/O.

The parser is strict where leniency would let two recipients read different messages (request smuggling): line
ends, lengths and transfer codings. A head is read with two compiled expressions: one validates it, the other
extracts the fields that are needed. All other fields are passed on as received.
"""

import math
import re
from functools import lru_cache
from typing import NamedTuple

from ..transport.buffers import Body

MAX_HEAD_BYTES = 16 * 1024
MAX_FIELDS = 256  # of a head: each costs far more than its bytes, in time and in memory
MAX_CONNECTION_OPTIONS = 32  # that the Connection fields of a message may list
MAX_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 1024**3  # a message that announces a longer body is rejected
MAX_INTERIM_RESPONSES = 64
MAX_CHUNK_LINE_BYTES = 256  # of the size line of a chunk, or of a trailer
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
# possessive quantifiers: a head that does not match costs no backtracking
FIELD_LINES = rb"(?:" + TOKEN + rb":[\t\x20-\x7e\x80-\xff]*+\r\n)*+"
REQUEST_HEAD = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]++) HTTP/(\d)\.(\d)\r\n" + FIELD_LINES)
RESPONSE_HEAD = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: [\t\x20-\x7e\x80-\xff]*+)?\r\n" + FIELD_LINES)
TRAILER = re.compile(TOKEN + rb":[\t\x20-\x7e\x80-\xff]*")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
LENGTH = re.compile(r"[0-9]{1,18}")
SHORT_CHUNK_SIZE = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]?)\r\n")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
NO_BODY_STATUSES = {204, 304}
FRAMING_FIELDS = ("connection", "content-length", "expect", "host", "transfer-encoding")
HEAD_FIELD_LINES = 3  # in Parser.head
PARSED_VALUE_BYTES = 64  # that one extracted value takes in memory, besides its text
KEEP_ALIVE, CLOSE = "keep-alive", "close"


# Compiling is slow and the results are kept, so these two are called with names from this program only.


@lru_cache(maxsize=64)
def compile_field_pattern(*names: str) -> re.Pattern[bytes]:
    """Return a pattern for all fields of these names, in a head of lines that each end with CRLF."""
    return re.compile(rb"\r\n(" + b"|".join(re.escape(n.encode()) for n in names) + rb"):([^\r\n]*+)", re.I)


@lru_cache(maxsize=64)
def compile_field_line_pattern(*names: str) -> re.Pattern[bytes]:
    """Return a pattern for the whole lines of these fields, to remove them from a message."""
    alternatives = b"|".join(re.escape(n.encode()) for n in names)
    return re.compile(rb"^(?:" + alternatives + rb"):[^\n]*+\n", re.I | re.M)


class Message(NamedTuple):
    """A parsed message, or the head of one whose body is streamed."""

    method: str  # of a request
    target: str
    status: int  # of a response
    field_lines: bytes  # as received, each with its CRLF
    parsed_fields: dict[str, list[str]]  # values of extracted fields, by name in lower case
    body: Body
    keep_alive: bool  # the connection can be reused
    delimited: bool  # ended by its own framing, not by the end of the connection
    minor_version: int = 1  # HTTP/1.x
    length: int | None = None  # of a streamed body, if the head announces it

    def values(self, name: str) -> list[str]:
        """Return the values of all fields of this name (lower case), in order."""
        if name in self.parsed_fields:
            return self.parsed_fields[name]
        matches = compile_field_pattern(name).finditer(b"\r\n" + self.field_lines)
        return [field[2].strip(b" \t").decode("latin-1") for field in matches]

    def field(self, name: str) -> str | None:
        """Return the first value of this field, or None."""
        return next(iter(self.values(name)), None)

    def size(self) -> int:
        """Return about how many bytes of memory it takes."""
        values = sum(map(len, self.parsed_fields.values()))
        return len(self.field_lines) + len(self.target) + values * PARSED_VALUE_BYTES

    def connection_options(self) -> set[str]:
        """Return the options of its Connection fields, in lower case."""
        return {o.strip().lower() for v in self.parsed_fields.get("connection", ()) for o in v.split(",")}

    def field_lines_without(self, *names: str) -> bytes:
        """Return its field lines without these fields and those that its Connection field names."""
        lines = compile_field_line_pattern(*names).sub(b"", self.field_lines)
        if "connection" not in self.parsed_fields:
            return lines
        listed = {o.encode("latin-1") for o in self.connection_options() - {"", KEEP_ALIVE, CLOSE}}
        return b"".join(
            line for line in lines.splitlines(keepends=True) if line.partition(b":")[0].lower() not in listed
        )


class Rejection(NamedTuple):
    """Why a message is not accepted."""

    status: int  # of the response to it
    reason: str


class Parser:
    """Parses one message after the other from the bytes it is fed.

    `result` is None until a message is complete, then a `Message` or a `Rejection`. Bytes after the end
    of a message stay in `unparsed`; `next_message` starts on the next one. A body of more than `max_body`
    bytes is rejected. If `streaming` is set, it makes `streamed_head` the Message without its body
    instead; from then on `take_body` returns the parts of the body, and the body of `result` is empty.
    """

    def __init__(
        self,
        responses: bool,
        max_body: int = MAX_BODY_BYTES,
        field_names: tuple[str, ...] = (),
        streaming: bool = False,
        max_undelimited_body: int | None = None,
    ) -> None:
        """Create a parser of responses or requests.

        `field_names`: fields to extract, in lower case. `max_undelimited_body`: replaces `max_body` for a
        body whose head does not announce its length.
        """
        self.responses, self.max_body, self.streaming = responses, max_body, streaming
        self.max_undelimited_body = max_body if max_undelimited_body is None else max_undelimited_body
        self.field_pattern, self.head_pattern = (
            compile_field_pattern(*FRAMING_FIELDS, *field_names),
            RESPONSE_HEAD if responses else REQUEST_HEAD,
        )
        self.unparsed = bytearray()
        self.next_message()

    def next_message(self) -> None:
        """Start on the next message; bytes in `unparsed` are parsed at the next `feed`."""
        self.result: Message | Rejection | None = None
        self.started = bool(self.unparsed)
        self.body, self.remaining, self.scanned, self.interims = bytearray(), 0, 0, 0
        self.head: tuple | None = None
        self.streamed_head: Message | None = None
        # an unbound function: a bound one would be a reference cycle that retains the body
        self.state = Parser._head

    def held_bytes(self) -> int:
        """Return how many bytes are held of messages that are not complete, and of those behind them."""
        return len(self.unparsed) + len(self.body) + (len(self.head[HEAD_FIELD_LINES]) if self.head else 0)

    def drop_input(self) -> None:
        """Drop all bytes that are held, after a result behind which nothing will be parsed."""
        self.unparsed, self.body, self.head = bytearray(), bytearray(), None

    def feed(self, data) -> None:
        """Parse more bytes."""
        self.unparsed += data
        self.started = self.started or bool(self.unparsed)
        while self.result is None and self.state(self):
            pass

    def feed_eof(self) -> None:
        """Note the end of the connection, which completes a body without other framing."""
        if self.result is None and self.head is not None and self.state is Parser._until_close:
            self._finish(keep_alive=False, delimited=False)

    def take_body(self) -> bytearray:
        """Return and remove what has been received of a streamed body."""
        body, self.body = self.body, bytearray()
        return body

    @property
    def expects_continue(self) -> bool:
        """Whether the head is complete and the sender waits for 100 Continue before it sends the body."""
        return (
            self.result is None
            and self.head is not None
            and not self.body
            and not self.unparsed
            and any(v.lower() == "100-continue" for v in self.head[4].get("expect", ()))
        )

    # ---- states: each consumes from `unparsed` and returns whether parsing can go on without more bytes

    def _head(self) -> bool:
        unparsed = self.unparsed
        if not self.responses and unparsed.startswith(b"\r\n"):
            del unparsed[:2]  # empty lines before a request are ignored
            self.scanned = 0
            return True
        end = unparsed.find(b"\r\n\r\n", max(0, self.scanned - 3))
        if end < 0 or end + 4 > MAX_HEAD_BYTES:
            if BARE_LINE_FEED.search(unparsed, max(0, self.scanned - 1)):
                return self._reject(400, "bare line end")  # its sender may consider the head ended here
            self.scanned = len(unparsed)
            if self.scanned > MAX_HEAD_BYTES or end >= 0:
                return self._reject(431, "head too long")
            return self._reject(431, "too many fields") if unparsed.count(b"\n") > MAX_FIELDS + 1 else False
        if unparsed.count(b"\n", 0, end + 2) > MAX_FIELDS + 1:  # one is the start line's
            return self._reject(431, "too many fields")
        head = bytes(unparsed[: end + 2])
        del unparsed[: end + 4]
        self.scanned = 0  # else a short head after an interim response would be missed
        match = self.head_pattern.fullmatch(head)
        if match is None:
            return self._reject(
                400, "no start line" if self.head_pattern.match(head) is None else "bad field line"
            )
        parsed_fields: dict[str, list[str]] = {}
        for name, value in self.field_pattern.findall(head):
            name = name.decode().lower()
            if name in parsed_fields:
                parsed_fields[name].append(value.decode("latin-1").strip(" \t"))
            else:
                parsed_fields[name] = [value.decode("latin-1").strip(" \t")]
        return self._start(match, head[head.index(b"\n") + 1 :], parsed_fields)

    def _start(self, match, field_lines: bytes, parsed_fields: dict[str, list[str]]) -> bool:
        if self.responses:
            version, method, target, status = (match[1], match[2]), "", "", int(match[3])
        else:
            version, method, target, status = (match[3], match[4]), match[1].decode(), match[2].decode(), 0
        if version[0] != b"1":
            return self._reject(505, "not HTTP/1")
        lengths, codings = parsed_fields.get("content-length", ()), parsed_fields.get("transfer-encoding", ())
        hosts = len(parsed_fields.get("host", ()))
        if not self.responses and (hosts > 1 or not hosts and version[1] != b"0"):
            return self._reject(400, "not one Host field")
        if codings and (lengths or version[1] == b"0"):
            return self._reject(400, "length and transfer coding")
        if codings and (len(codings) > 1 or codings[0].lower() != "chunked"):
            return self._reject(501, "unknown transfer coding")
        if lengths and (len(lengths) > 1 or not LENGTH.fullmatch(lengths[0])):
            return self._reject(400, "bad Content-Length")
        keep_alive = version[1] != b"0"
        if "connection" in parsed_fields:
            if sum(1 + value.count(",") for value in parsed_fields["connection"]) > MAX_CONNECTION_OPTIONS:
                return self._reject(431, "too many connection options")
            connection_options = {
                o.strip().lower() for v in parsed_fields["connection"] for o in v.split(",")
            }
            keep_alive = CLOSE not in connection_options and (keep_alive or KEEP_ALIVE in connection_options)
        if self.responses and 100 <= status < 200 and status != 101:
            self.interims += 1  # another head follows
            return (
                True
                if self.interims <= MAX_INTERIM_RESPONSES
                else self._reject(400, "no end of interim answers")
            )
        self.head, self.minor_version = (
            (method, target, status, field_lines, parsed_fields, keep_alive),
            int(version[1]),
        )
        if self.responses and (status in NO_BODY_STATUSES or status == 101):
            return self._finish(keep_alive=status != 101)
        if codings:
            self.state = Parser._chunk_size
        elif lengths:
            self.remaining = int(lengths[0])
            if self.remaining > self.max_body and not self._accept_size(self.remaining, self.remaining):
                return False
            self.state = Parser._sized if self.streamed_head is None else Parser._sized_streamed
        elif self.responses:
            self.state = Parser._until_close
        else:
            return self._finish()
        return True

    def _sized(self) -> bool:
        if len(self.unparsed) < self.remaining:
            return False
        self._consume(self.remaining)
        return self._finish()

    def _sized_streamed(self) -> bool:
        count = min(self.remaining, len(self.unparsed))
        self.remaining -= count
        self._consume(count)
        return self._finish() if not self.remaining else False

    def _until_close(self) -> bool:
        if not self._accept_size(len(self.body) + len(self.unparsed)):
            return False
        self._consume(len(self.unparsed))
        return False

    def _consume_short_chunks(self) -> None:
        """Consume the short chunks that have come whole: one by one they cost most of a body's parsing."""
        unparsed, at, length = self.unparsed, 0, len(self.unparsed)
        body = self.body
        most = math.inf if self.streamed_head is not None else self.max_undelimited_body
        while match := SHORT_CHUNK_SIZE.match(unparsed, at):
            begin, size = match.end(), int(match[1], 16)
            end = begin + size
            if end + 2 > length or unparsed[end : end + 2] != b"\r\n" or len(body) + size > most:
                break
            body += unparsed[begin:end]
            at = end + 2
        del unparsed[:at]

    def _chunk_size(self) -> bool:
        self._consume_short_chunks()
        line = self._line()
        if line is None:
            return self.result is not None
        size = CHUNK_SIZE.fullmatch(line)
        if size is None:
            return self._reject(400, "bad chunk size")
        self.remaining = int(size[1], 16)
        if not self._accept_size(len(self.body) + self.remaining):
            return False
        self.state, self.scanned = (Parser._chunk, 0) if self.remaining else (Parser._trailer, 0)
        return True

    def _chunk(self) -> bool:
        if self.remaining:
            count = min(self.remaining, len(self.unparsed))
            self.remaining -= count
            self._consume(count)
        if self.remaining or len(self.unparsed) < 2:
            return False
        if self.unparsed[:2] != b"\r\n":
            return self._reject(400, "chunk longer than its size")
        del self.unparsed[:2]
        self.state = Parser._chunk_size
        return True

    def _trailer(self) -> bool:
        line = self._line()
        if line is None:
            return self.result is not None
        self.scanned += len(line) + 2  # trailers are ignored, up to the size of a head
        if self.scanned > MAX_HEAD_BYTES:
            return self._reject(431, "trailers too long")
        if line and TRAILER.fullmatch(line) is None:
            return self._reject(400, "bad trailer")
        return True if line else self._finish()

    # ---- helpers of the states

    def _line(self) -> bytes | None:
        end = self.unparsed.find(b"\r\n", 0, MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(self.unparsed) >= MAX_CHUNK_LINE_BYTES:
                self._reject(400, "line too long")
            return None
        line = bytes(self.unparsed[:end])
        del self.unparsed[: end + 2]
        return line

    def _consume(self, count: int) -> None:
        if not self.body and count == len(self.unparsed):
            self.body, self.unparsed = self.unparsed, bytearray()  # the usual case: moved, not copied
            return
        with memoryview(self.unparsed) as unparsed, unparsed[:count] as part:
            self.body += part
        del self.unparsed[:count]

    def _accept_size(self, size: int, length: int | None = None) -> bool:
        """Accept, stream or reject a body of at least `size` bytes; `length` is its announced length."""
        if (
            size > (self.max_undelimited_body if length is None else self.max_body)
            and self.streamed_head is None
        ):
            if not self.streaming or size > MAX_STREAMED_BODY_BYTES:
                return self._reject(413, f"body too long: {size}")
            *start, keep_alive = self.head
            self.streamed_head = Message(*start, b"", keep_alive, True, self.minor_version, length)
        return True

    def _reject(self, status: int, reason: str) -> bool:
        self.result = Rejection(status, reason)
        return False

    def _finish(self, keep_alive: bool = True, delimited: bool = True) -> bool:
        *start, persistent = self.head
        body = bytes(self.body) if self.streamed_head is None else b""
        self.result = Message(*start, body, keep_alive and persistent, delimited, self.minor_version)
        return False


def head(line: str, fields) -> bytes:
    """Return the head of a message: its start line, and fields as pairs of name and value."""
    return "\r\n".join([line, *(f"{n}: {v}" for n, v in fields), "", ""]).encode("latin-1")


def request(method: str, target: str, fields, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    framing = [("Content-Length", str(len(body)))] if body or method not in ("GET", "HEAD") else []
    return head(f"{method} {target} HTTP/1.1", [*fields, *framing]) + body


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


def response(status: int, fields, body: bytes, keep_alive: bool) -> bytes:
    """Return the bytes of a response."""
    framing = [("Content-Length", str(len(body)))] + ([] if keep_alive else [("Connection", "close")])
    return head(f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}", [*fields, *framing]) + body
