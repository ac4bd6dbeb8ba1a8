"""The calls of the second address, in words: which there are, and what an answer looks like. No I/O."""

from typing import NamedTuple
from urllib.parse import quote, unquote

import orjson

from ..protocol import http1
from ..protocol.http1 import Message, Rejection

READY, HOSTS, DISABLE, ENABLE, DRAIN, RESUME = "ready", "hosts", "disable", "enable", "drain", "resume"
MEMBERS, VERDICTS, LIMITS = "members", "verdicts", "limits"
READ_ONLY = READY, HOSTS, MEMBERS, VERDICTS, LIMITS  # not worth a line in the log
PREFIX = "/-/"
HOST_PLACEHOLDER = "{id}"
# path -> method, what is asked; "{id}" stands for one segment, the id of a host as discovery tells it
ROUTES = {
    ("ready",): ("GET", READY),
    ("hosts",): ("GET", HOSTS),
    ("hosts", HOST_PLACEHOLDER, "disable"): ("PUT", DISABLE),
    ("hosts", HOST_PLACEHOLDER, "enable"): ("PUT", ENABLE),
    ("drain",): ("PUT", DRAIN),
    ("resume",): ("PUT", RESUME),
    ("members",): ("GET", MEMBERS),
    ("verdicts",): ("GET", VERDICTS),
    ("limits",): ("GET", LIMITS),
}


class AdminRequest(NamedTuple):
    action: str
    host: str = ""


class AdminResponse(NamedTuple):
    """2xx is yes. `allow`: the one method of a path that was called with another."""

    status: int
    text: str
    allow: str = ""


def parse_request(message: Message) -> AdminRequest | AdminResponse:
    """The call a message stands for; a Reply says why it is none."""
    path = message.target.split("?", 1)[0]
    parts = path.removeprefix(PREFIX).split("/") if path.startswith(PREFIX) else []
    host = ""
    if len(parts) == 3 and parts[0] == "hosts":
        host, parts[1] = unquote(parts[1]), HOST_PLACEHOLDER
    method, action = ROUTES.get(tuple(parts), ("", ""))
    if not action or len(parts) == 3 and not host:
        return AdminResponse(404, "no such call")
    if message.method != method:
        return AdminResponse(405, f"{method} is wanted here", method)
    return AdminRequest(action, host)


def rejection_response(rejection: Rejection) -> AdminResponse:
    return AdminResponse(rejection.status, rejection.reason)


def encode_response(response: AdminResponse) -> bytes:
    """One answer; the connection ends with it."""
    allow = [("Allow", response.allow)] if response.allow else []
    return http1.response(
        response.status,
        [("Content-Type", "text/plain; charset=utf-8"), *allow],
        response.text.encode() + b"\n",
        False,
    )


def json_lines(rows: list[dict]) -> AdminResponse:
    """A JSON line for each."""
    return AdminResponse(200, b"\n".join(map(orjson.dumps, rows)).decode())


def request_line(action: str, host: str = "") -> tuple[str, str]:
    """Method and path of a call, for whoever makes it."""
    for path, (method, name) in ROUTES.items():
        if name == action:
            return method, PREFIX + "/".join(
                quote(host, safe="") if part == HOST_PLACEHOLDER else part for part in path
            )
    raise ValueError(f"no call: {action}")
