"""The calls of the second address, in words: which there are, and what an answer looks like. No I/O."""

from typing import NamedTuple
from urllib.parse import quote, unquote

import orjson

from ..protocol import http1
from ..protocol.http1 import Malformed, Message

READY, HOSTS, DISABLE, ENABLE, DRAIN, RESUME = "ready", "hosts", "disable", "enable", "drain", "resume"
MEMBERS, VERDICTS, LIMITS = "members", "verdicts", "limits"
READ_ONLY = READY, HOSTS, MEMBERS, VERDICTS, LIMITS  # not worth a line in the log
PREFIX = "/-/"
ID = "{id}"
# path -> method, what is asked; "{id}" stands for one segment, the id of a host as discovery tells it
TABLE = {
    ("ready",): ("GET", READY),
    ("hosts",): ("GET", HOSTS),
    ("hosts", ID, "disable"): ("PUT", DISABLE),
    ("hosts", ID, "enable"): ("PUT", ENABLE),
    ("drain",): ("PUT", DRAIN),
    ("resume",): ("PUT", RESUME),
    ("members",): ("GET", MEMBERS),
    ("verdicts",): ("GET", VERDICTS),
    ("limits",): ("GET", LIMITS),
}


class Call(NamedTuple):
    what: str
    host: str = ""


class Reply(NamedTuple):
    """2xx is yes. `allow`: the one method of a path that was called with another."""

    status: int
    text: str
    allow: str = ""


def read(message: Message) -> Call | Reply:
    """The call a message stands for; a Reply says why it is none."""
    path = message.target.split("?", 1)[0]
    parts = path.removeprefix(PREFIX).split("/") if path.startswith(PREFIX) else []
    host = ""
    if len(parts) == 3 and parts[0] == "hosts":
        host, parts[1] = unquote(parts[1]), ID
    method, what = TABLE.get(tuple(parts), ("", ""))
    if not what or len(parts) == 3 and not host:
        return Reply(404, "no such call")
    if message.method != method:
        return Reply(405, f"{method} is wanted here", method)
    return Call(what, host)


def refused(why: Malformed) -> Reply:
    return Reply(why.status, why.reason)


def worded(reply: Reply) -> bytes:
    """One answer; the connection ends with it."""
    allow = [("Allow", reply.allow)] if reply.allow else []
    return http1.response(
        reply.status,
        [("Content-Type", "text/plain; charset=utf-8"), *allow],
        reply.text.encode() + b"\n",
        False,
    )


def rows(lines: list[dict]) -> Reply:
    """A JSON line for each."""
    return Reply(200, b"\n".join(map(orjson.dumps, lines)).decode())


def call(what: str, host: str = "") -> tuple[str, str]:
    """Method and path of a call, for whoever makes it."""
    for path, (method, name) in TABLE.items():
        if name == what:
            return method, PREFIX + "/".join(quote(host, safe="") if part == ID else part for part in path)
    raise ValueError(f"no call: {what}")
