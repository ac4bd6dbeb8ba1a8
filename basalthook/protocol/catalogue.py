"""The messages exchanged with discovery: requests for the host list, and the lists it returns."""

import ipaddress
from functools import lru_cache
from typing import NamedTuple

import orjson

from . import http1

MEMBERS_PATH = "/catalog/members"
MAX_BODY_BYTES = 4 * 1024 * 1024
READY_BY_STATE = {"up": True, "draining": False, "removed": False}


class HostRecord(NamedTuple):
    """One host of the list. It is stored by position at a handover, so the order of the fields is fixed."""

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


class HostList(NamedTuple):
    """A version of the host list: all hosts if `complete`, else the changed ones."""

    version: int
    complete: bool
    records: tuple[HostRecord, ...]  # one per host
    duplicates: int = 0  # further records of hosts that the same list names already; they are ignored


def watch_request(host: str, version: int | None, wait_ms: int) -> bytes:
    """Return a request that waits up to `wait_ms` for changes after `version`.

    With None for `version`, it asks for the whole list at once.
    """
    query = "" if version is None else f"?index={version}&wait={wait_ms}"
    return http1.request("GET", MEMBERS_PATH + query, [("Host", host)])


def parse_address(value: str, min_port: int = 1) -> tuple[str, int]:
    """Return IP address and port of `IP:PORT`. Raises ValueError if it is malformed."""
    host, _, port = value.rpartition(":")
    host = str(ipaddress.ip_address(host.strip("[]")))
    if not min_port <= int(port) < 65536:
        raise ValueError(f"no port: {value}")
    return host, int(port)


# lists repeat the same addresses; the cache holds those of the largest list
parse_address_cached = lru_cache(8_192)(parse_address)


def parse_host_record(entry: dict) -> HostRecord:
    """Return the record of one entry.

    Raises KeyError, ValueError, TypeError, AttributeError or OverflowError if it is malformed.
    """
    if None in entry.values():
        entry = {name: value for name, value in entry.items() if value is not None}
    state, get = entry["state"], entry.get
    return HostRecord(
        str(entry["id"]),
        parse_address_cached(entry["addr"]),
        str(get("zone", "")),
        int(get("cell", 0)),
        READY_BY_STATE[state],
        state == "removed",
        float(get("weight", 1.0)),
        int(get("started_ms", 0)) * 1_000_000,
        str(get("kind", "")),
        state == "draining",
    )


def parse_host_list(document: dict) -> HostList | None:
    """Return the list of a decoded document, or None if any part of it is malformed.

    Part of a list must not be used, as it would be taken for the whole one.
    """
    try:
        records = tuple(parse_host_record(entry) for entry in document["servers"])
        if not all(entry.id and entry.weight > 0 for entry in records):
            return None
        by_id = {record.id: record for record in records}
        if len(by_id) < len(records):  # of several records of a host the one that is least available counts
            for record in records:
                by_id[record.id] = min(by_id[record.id], record, key=lambda x: (x.ready, not x.removed))
        return HostList(
            int(document["version"]), bool(document["full"]), tuple(by_id.values()), len(records) - len(by_id)
        )
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError):
        return None


def decode_host_list(body: bytes) -> HostList | None:
    """Return the list of a response body, or None if it is malformed."""
    try:
        return parse_host_list(orjson.loads(body))
    except orjson.JSONDecodeError:
        return None
