"""Discovery's messages: the call for the host list, and the lists that come back."""

import ipaddress
from functools import lru_cache
from typing import NamedTuple

import orjson

from . import http1

PATH = "/catalog/members"
BODY_MOST = 4 * 1024 * 1024
READY = {"up": True, "draining": False, "removed": False}


class Line(NamedTuple):
    id: str
    address: tuple[str, int]
    zone: str
    cell: int
    ready: bool
    removed: bool
    weight: float
    started_ns: int
    kind: str = ""
    draining: bool = False


class Listing(NamedTuple):
    version: int
    complete: bool
    lines: tuple[Line, ...]  # one a host
    doubled: int = 0  # lines of hosts named before in the same list, of which one counts


def call(host: str, version: int | None, wait_ms: int) -> bytes:
    """A watch for what is newer than this version; None: the whole list, now."""
    watch = "" if version is None else f"?index={version}&wait={wait_ms}"
    return http1.request("GET", PATH + watch, [("Host", host)])


def address(text: str, least: int = 1) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    host = str(ipaddress.ip_address(host.strip("[]")))
    if not least <= int(port) < 65536:
        raise ValueError(f"no port: {text}")
    return host, int(port)


# a list comes again and again with the same addresses; text alone, bounded by the largest list
known_address = lru_cache(8_192)(address)


def line(entry: dict) -> Line:
    if None in entry.values():
        entry = {name: value for name, value in entry.items() if value is not None}
    state, get = entry["state"], entry.get
    return Line(
        str(entry["id"]),
        known_address(entry["addr"]),
        str(get("zone", "")),
        int(get("cell", 0)),
        READY[state],
        state == "removed",
        float(get("weight", 1.0)),
        int(get("started_ms", 0)) * 1_000_000,
        str(get("kind", "")),
        state == "draining",
    )


def listing(found: dict) -> Listing | None:
    """None for what is no whole, sound list: a part of one would be followed as if it were all."""
    try:
        lines = tuple(line(entry) for entry in found["servers"])
        if not all(entry.id and entry.weight > 0 for entry in lines):
            return None
        once = {each.id: each for each in lines}
        if len(once) < len(lines):  # guards against a host that leaves by one line and is up by another
            for each in lines:
                once[each.id] = min(once[each.id], each, key=lambda x: (x.ready, not x.removed))
        return Listing(
            int(found["version"]), bool(found["full"]), tuple(once.values()), len(lines) - len(once)
        )
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError):
        return None


def read(body: bytes) -> Listing | None:
    try:
        return listing(orjson.loads(body))
    except orjson.JSONDecodeError:
        return None
