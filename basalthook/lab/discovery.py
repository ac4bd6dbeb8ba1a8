"""The lab's discovery service on loopback sockets, with long polls."""

import asyncio
import json
import re

from .deadlines import AFTER_WAIT_S, WATCH_SILENCE_S
from .messages import MessageProtocol
from .wire import HostStateSent

WATCH_QUERY = re.compile(r"[?&](index|wait)=(\d+)")


class DiscoveryConnection(MessageProtocol):
    """Answers a watch when there is a newer version of the list, or when its wait is over."""

    def __init__(self, fleet, proxy: int) -> None:
        super().__init__()
        self.fleet, self.proxy, self.watched_version, self.timer = fleet, proxy, None, None
        self.silent_since: float | None = None  # since when it answers nothing; it never recovers
        self.wait_ends_at = 0.0  # when the wait of the last call ends
        self.call_pending = False  # whether a call has not been answered

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.fleet.discovery_connections.add(self)
        if self.fleet.discovery_failure == "down":
            return transport.abort()
        if self.fleet.watches_to_silence[self.proxy]:
            self.fleet.watches_to_silence[self.proxy] -= 1
            self.silent_since = self.fleet.clock()

    def connection_lost(self, _) -> None:
        self.cancel_watch()
        self.fleet.discovery_connections.discard(self)
        others = any(connection.proxy == self.proxy for connection in self.fleet.discovery_connections)
        if self.call_pending and not others:  # the proxy closed its only connection before an answer
            self.fleet.last_call_failed[self.proxy] = True

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        self.call_pending = True
        self.wait_ends_at = self.fleet.last_call_at[self.proxy] = self.fleet.clock()
        self.wait_ends_at += min(60_000, int(dict(WATCH_QUERY.findall(first_line)).get("wait", 0))) / 1000
        if self.silent_since is None and self.fleet.discovery_delay:
            asyncio.get_running_loop().call_later(self.fleet.discovery_delay, self.handle_call, first_line)
        elif self.silent_since is None:
            self.fleet.deliver(f"p{self.proxy}", "d", self.handle_call, first_line)

    def refuse(self) -> None:
        """Answers 503, as a discovery with too many callers does."""
        self.cancel_watch()
        self.call_pending, self.fleet.last_call_failed[self.proxy] = False, True
        self.answer(503)

    def handle_call(self, first_line: str) -> None:
        if self.transport.is_closing():
            return
        if self.fleet.discovery_failure == "refuses":
            return self.refuse()
        query = dict(WATCH_QUERY.findall(first_line))
        if "index" not in query:
            return self.send_list(None)
        self.watched_version = int(query["index"])
        if self.watched_version < self.fleet.version:
            return self.send_list(self.watched_version)
        self.fleet.pending_watches.add(self)
        wait = min(60_000, int(query.get("wait", 0))) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.send_list, self.watched_version)

    def cancel_watch(self) -> None:
        """Ends the wait for a newer list, without an answer."""
        self.fleet.pending_watches.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def silent_deadline(self) -> float:
        """When a change that this silent watch misses counts as known to the proxy."""
        return max(self.silent_since + WATCH_SILENCE_S, self.wait_ends_at + AFTER_WAIT_S)

    def send_list(self, since: int | None) -> None:
        """Answers with the changes after version `since`; None: with the full list."""
        self.cancel_watch()
        if self.fleet.list_fault == "spoilt":
            return self.send_truncated_list()
        full = since is None or self.fleet.list_fault == "whole"
        hosts = [
            host for host, changed in enumerate(self.fleet.changed_in_version) if full or changed > since
        ]
        body = json.dumps(self.fleet.host_list(hosts, full, self.proxy)).encode()
        states = [(host, self.fleet.listed_states[host]) for host in hosts]
        self.fleet.deliver("d", f"p{self.proxy}", self.write_list, body, states)

    def send_truncated_list(self) -> None:
        """Answers with a truncated list, which counts as a failed call."""
        self.call_pending, self.fleet.last_call_failed[self.proxy] = False, True
        self.answer(200, json.dumps(self.fleet.host_list([0], True, self.proxy)).encode()[:-3])

    def write_list(self, body: bytes, states: list) -> None:
        if self.transport.is_closing():
            return
        now, fleet, self.call_pending = self.fleet.clock(), self.fleet, False
        fleet.wire += [HostStateSent(now, host, state, self.proxy) for host, state in states]
        fleet.last_call_failed[self.proxy], fleet.discovery_moved_at[self.proxy] = False, None
        self.answer(200, body)
