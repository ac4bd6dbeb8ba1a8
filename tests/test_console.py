"""The admin address on loopback: requests, hosts disabled and enabled, clients drained; overrides merged."""

import asyncio
import itertools
import json
import unittest
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from basalthook.console.admin_api import AdminRequest
from basalthook.policy import interface
from basalthook.routing.overrides import OperatorOverrides
from tests.fake import OK, SILENT, Caller, SocketHost
from tests.loopback import Loopback


class Console(Loopback):
    async def start_proxy(self, *hosts, **settings):
        caller = await super().start_proxy(*hosts, console="127.0.0.1:0", **settings)
        self.addCleanup(self.service.admin_listener.close)
        return caller

    async def call(self, method, path, data=None):
        caller = await Caller().connect(self.service.admin_listener.address)
        self.addAsyncCleanup(caller.stop)
        caller.writer.write(data or f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        status, body, head = await caller.read_response()
        self.assertEqual(await caller.reader.read(), b"")  # one request per connection
        return status, body, head

    async def health(self):
        caller = await self.connect()
        caller.writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
        return (await caller.read_response())[0]

    async def test_every_request_is_answered_at_once_and_none_is_a_fault(self):
        await self.start_proxy(SocketHost())
        long = b"GET /-/ready HTTP/1.1\r\nHost: c\r\nX: " + b"x" * 20_000
        for method, path, data, status in (
            ("GET", "/-/ready", None, 200),
            ("PUT", "/-/ready", None, 405),
            ("GET", "/-/drain", None, 405),
            ("GET", "/", None, 404),
            ("GET", "/-/members", None, 404),
            ("GET", "/-/verdicts", None, 404),
            ("GET", "/-/none", None, 404),
            ("PUT", "/-/hosts//disable", None, 404),
            ("PUT", "/-/hosts/s-9/disable", None, 404),
            ("PUT", "/-/hosts/s-9/enable", None, 404),
            ("PUT", "/-/hosts/s-0/enable", None, 200),
            ("PUT", "/-/hosts/s%2D0/disable", None, 200),
            ("PUT", "/-/hosts/s-0/disable", None, 200),
            ("PUT", "/-/hosts/s-0/enable", None, 200),
            ("", "", b"\0\r\n\r\n", 400),
            ("", "", long, 431),
            ("", "", b"PUT /-/drain HTTP/1.1\r\nHost: c\r\nContent-Length: 9000\r\n\r\n", 413),
            ("", "", b"PUT /-/resume HTTP/1.0\r\nContent-Length: 2\r\n\r\nxx", 200),
        ):
            self.assertEqual((await self.call(method, path, data))[0], status, (method, path, data))
        self.assertIn("Allow: PUT", (await self.call("GET", "/-/drain"))[2])
        logged_paths = [line["path"] for line in self.log.lines if line["event"] == "call"]
        self.assertIn("/-/hosts/s%2D0/disable", logged_paths)

    async def test_connections_without_a_complete_request_block_no_other(self):
        await self.start_proxy(SocketHost())
        slow = [await Caller().connect(self.service.admin_listener.address) for _ in range(20)]
        for connection in slow:
            connection.writer.write(b"PUT /-/dr")
        await self.wait_until(lambda: len(self.service.admin_server.connections) == 12)
        self.assertEqual((await self.call("GET", "/-/ready"))[0], 200)
        for connection in slow:
            self.assertEqual(await asyncio.wait_for(connection.reader.read(), 5), b"")
            await connection.stop()
        await asyncio.wait_for(self.wait_until(lambda: not self.service.admin_server.descriptors.in_use), 5)

    async def test_a_disabled_host_gets_nothing_until_it_is_enabled_whatever_the_list_says(self):
        caller = await self.start_proxy(SocketHost(), SocketHost())
        first, second = self.hosts
        self.assertEqual((await self.call("PUT", "/-/hosts/s-0/disable"))[0], 200)
        lists = (
            [first.line("s-0")],
            [first.line("s-0", state="removed")],
            [],
            [first.line("s-0", started_ms=5_000)],
            [first.line("s-0", state="draining")],
        )
        for version, lines in enumerate(lists, 2):
            self.discovery.publish(version, *lines, second.line("s-1"), full=not lines)
            await self.wait_until(lambda v=version: self.service.watch.version == v)
            for n in range(6):
                self.assertEqual(await caller.status(key=f"k{n}"), 200)
        self.assertEqual(first.received.qsize(), 0)
        row = json.loads((await self.call("GET", "/-/hosts"))[1].split(b"\n")[0])
        self.assertEqual((row["id"], row["out"], row["ready"]), ("s-0", True, False))

    async def test_an_enabled_host_is_used_and_counts_as_cold_from_then_on(self):
        caller = await self.start_proxy(SocketHost(), SocketHost())
        for _ in range(2):  # disabled twice, enabled once
            self.assertEqual((await self.call("PUT", "/-/hosts/s-0/disable"))[0], 200)
        self.assertEqual((await self.call("PUT", "/-/hosts/s-0/enable"))[0], 200)
        host = next(s for s in self.service.dispatcher.policy.hosts.values() if s.entry.started_at)
        self.assertAlmostEqual(host.cold_since, self.service.dispatcher.clock.now(), delta=20_000)
        self.discovery.publish(2, self.hosts[0].line("s-0", started_ms=1))  # an outdated start time
        await self.wait_until(lambda: self.service.watch.version == 2)
        self.assertAlmostEqual(host.cold_since, self.service.dispatcher.clock.now(), delta=20_000)
        await asyncio.wait_for(self.wait_until_reached(caller, self.hosts[0]), 10)

    async def wait_until_reached(self, caller, host):
        for n in itertools.count():
            if host.received.qsize():
                return
            self.assertEqual(await caller.status(key=f"k{n}"), 200)

    async def test_nothing_is_sent_to_a_host_disabled_while_its_connection_was_established(self):
        caller = await self.start_proxy(SocketHost())
        open_connection = self.service.pool.open_connection

        def disabled_meanwhile(address, on_connected):
            def connected(failure):
                self.service.operator_calls.handle(AdminRequest("disable", "s-0"))
                on_connected(failure)

            return open_connection(address, connected)

        self.service.pool.open_connection = disabled_meanwhile
        caller.send_request("submit", timeout="0.3")
        self.assertEqual((await caller.read_response())[0], 503)
        self.assertEqual(
            (self.log.failed_attempts(), self.hosts[0].received.qsize()), ([("untried", interface.UNSENT)], 0)
        )

    async def test_with_all_hosts_disabled_transactions_are_rolled_back(self):
        caller = await self.start_proxy(SocketHost(), SocketHost())
        for host in ("s-0", "s-1"):
            await self.call("PUT", f"/-/hosts/{host}/disable")
        self.assertEqual(await caller.status(timeout="0.2"), 503)
        self.assertEqual((await self.call("GET", "/-/ready"))[0], 200)

    async def test_a_drain_closes_client_connections_and_interrupts_no_request(self):
        idle, busy = await self.start_proxy(SocketHost(SILENT)), await self.connect()
        self.assertEqual((await self.call("PUT", "/-/resume"))[0], 200)  # no effect without a drain
        idle.writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
        await idle.read_response()
        busy.send_request("submit")
        await self.hosts[0].received.get()
        silent = await self.connect()
        with unittest.mock.patch.multiple(
            "basalthook.routing.clients",
            DRAIN_IDLE_DELAY_S=0.02,
            DRAIN_NEW_DELAY_S=0.05,
            DRAIN_SWEEP_INTERVAL_S=0.02,
        ):
            for _ in range(2):  # a second drain has no effect
                self.assertEqual((await self.call("PUT", "/-/drain"))[0], 200)
            self.assertEqual(await self.health(), 503)
            self.assertEqual(await idle.reader.read(), b"")
            self.assertEqual(await silent.reader.read(), b"")
        late = await self.connect()  # new clients may still connect for a moment
        late.send_request("submit", key="k2")
        await self.hosts[0].received.get()
        for writer in self.hosts[0].writers:
            writer.write(OK)
        for caller in (busy, late):
            status, _, head = await caller.read_response()
            self.assertEqual((status, "Connection: close" in head), (200, True))
        self.assertEqual((await self.call("PUT", "/-/resume"))[0], 200)
        self.assertEqual(await self.health(), 200)
        self.hosts[0].replies = [OK]
        again = await self.connect()
        again.send_request()
        status, _, head = await again.read_response()
        self.assertEqual((status, "Connection: close" in head), (200, False))


HOSTS = st.sampled_from("abc")
CHANGES = st.lists(st.tuples(HOSTS | st.none(), st.integers(1, 40), st.booleans()), max_size=12)


class MergingOverrides(unittest.TestCase):
    @given(CHANGES, CHANGES)
    def test_two_sets_merge_to_the_same_in_either_order_and_repeatedly(self, mine, theirs):
        def merged(changes):
            overrides = OperatorOverrides()
            for host, now, disabled in changes:
                overrides.set_drained(now, disabled) if host is None else overrides.set_disabled(
                    host, now, disabled
                )
            return overrides

        one, other = merged(mine), merged(theirs)
        one.merge(merged(theirs))
        other.merge(merged(mine))
        self.assertEqual(one.to_dict(), other.to_dict())
        self.assertEqual(one.merge(merged(mine)), set())
        self.assertEqual(
            OperatorOverrides.from_dict(json.loads(json.dumps(one.to_dict()))).to_dict(), one.to_dict()
        )
