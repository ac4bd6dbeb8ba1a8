"""The events that led to one violation, in all processes, from the wire record and the proxies' logs.

Pure functions. Times are seconds since the scenario began.
"""

from typing import NamedTuple

from .judge import Violation
from .wire import Got, HostStateSent

BEFORE_S = 8.0  # before a violation: how far back events of its proxy and host are shown
AFTER_S = 1.0  # after a violation: until when they are shown
LIST_EVENTS = (
    "list call",
    "list call failed",
    "list calls cancelled",
    "list unchanged",
    "list moved",
    "list late",
    "list behind",
    "list lost",
    "list",
    "endpoints",
    "file taken",
    "file refused",
    "ready",
    "ending",
)
MAX_LINES = 80  # of a timeline; earlier lines are omitted


class Line(NamedTuple):
    """One line of a timeline."""

    at: float
    where: str  # "wire", or the name of the proxy that logged it
    what: str

    def __str__(self) -> str:
        return f"{self.at:9.3f} {self.where:>5} {self.what}"


def violation_timeline(violation: Violation, wire: list, logs: list[tuple], begin: float) -> list[Line]:
    """All events of the transaction; for the rule `drains` also what its proxy learned of the host before.

    `logs`: (time read, proxy, event, fields) of each log line; `begin`: when the scenario began.
    """
    lines = _request_lines(violation.tx, wire, logs, begin) if violation.tx is not None else []
    proxies = {
        entry.proxy
        for entry in wire
        if isinstance(entry, Got) and entry.tx == violation.tx and entry.host == violation.host
    }
    if violation.rule == "drains":
        for proxy in proxies:
            lines += _host_list_lines(violation, proxy, wire, logs, begin)
    return sorted(set(lines))[-MAX_LINES:]


def _request_lines(tx: str, wire: list, logs: list[tuple], begin: float) -> list[Line]:
    lines = [
        Line(entry.at - begin, "wire", _describe(entry)) for entry in wire if getattr(entry, "tx", None) == tx
    ]
    for at, proxy, event, fields in logs:
        if fields.get("tx") == tx:
            lines.append(Line(at - begin, f"p{proxy}", f"{event} {fields}"))
    return lines


def _host_list_lines(
    violation: Violation, proxy: int, wire: list, logs: list[tuple], begin: float
) -> list[Line]:
    since, lines = violation.at - BEFORE_S, []
    for entry in wire:
        if (
            isinstance(entry, HostStateSent)
            and (entry.proxy, entry.host) == (proxy, violation.host)
            and entry.at <= violation.at
        ):
            lines.append(Line(entry.at - begin, "wire", _describe(entry)))
    for at, log_proxy, event, fields in logs:
        if log_proxy == proxy and event in LIST_EVENTS and since <= at <= violation.at + AFTER_S:
            lines.append(Line(at - begin, f"p{proxy}", f"{event} {fields}"))
    return lines


def _describe(entry) -> str:
    fields = {name: value for name, value in entry._asdict().items() if name != "at" and value is not None}
    return f"{type(entry).__name__} {fields}"
