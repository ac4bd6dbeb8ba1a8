"""The HTTP API of the admin address: its routes, requests and responses. No I/O."""

from typing import NamedTuple
from urllib.parse import quote, unquote

import orjson

from ..protocol import http1
from ..protocol.http1 import Message, Rejection

READY, HOSTS, DISABLE, ENABLE, DRAIN, RESUME = "ready", "hosts", "disable", "enable", "drain", "resume"
MEMBERS, VERDICTS, LIMITS = "members", "verdicts", "limits"
READ_ONLY = READY, HOSTS, MEMBERS, VERDICTS, LIMITS  # not logged
PREFIX = "/-/"
HOST_PLACEHOLDER = "{id}"
# path -> method, action; "{id}" stands for one segment, the id of a host in the list from discovery
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
    """A valid request; `host` is empty unless the action concerns one host."""

    action: str
    host: str = ""


class AdminResponse(NamedTuple):
    """A response. Status 2xx means success; `allow` is the allowed method, for status 405 only."""

    status: int
    text: str
    allow: str = ""


def parse_request(message: Message) -> AdminRequest | AdminResponse:
    """Return the request that a message stands for, or the response that rejects it."""
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
    """Return the response to a malformed message."""
    return AdminResponse(rejection.status, rejection.reason)


def encode_response(response: AdminResponse) -> bytes:
    """Return the bytes of a response, after which the connection is closed."""
    allow = [("Allow", response.allow)] if response.allow else []
    return http1.response(
        response.status,
        [("Content-Type", "text/plain; charset=utf-8"), *allow],
        response.text.encode() + b"\n",
        False,
    )


def json_lines(rows: list[dict]) -> AdminResponse:
    """Return a response with one line of JSON per row."""
    return AdminResponse(200, b"\n".join(map(orjson.dumps, rows)).decode())


def request_line(action: str, host: str = "") -> tuple[str, str]:
    """Return the method and path of a request, for callers of the API.

    Raises ValueError for an unknown action.
    """
    for path, (method, name) in ROUTES.items():
        if name == action:
            return method, PREFIX + "/".join(
                quote(host, safe="") if part == HOST_PLACEHOLDER else part for part in path
            )
    raise ValueError(f"no such action: {action}")
