"""The second address on loopback: calls, hosts out and back, clients sent away; orders that join."""

import asyncio
import itertools
import json
import unittest
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from basalthook.console.calls import Call
from basalthook.policy import interface
from basalthook.routing.orders import Orders
from tests.fake import OK, SILENT, Caller, SocketHost
from tests.loopback import Loopback


class Console(Loopback):
    async def play(self, *hosts, **told):
        caller = await super().play(*hosts, console="127.0.0.1:0", **told)
        self.addCleanup(self.service.console.close)
        return caller

    async def call(self, method, path, data=None):
        caller = await Caller().connect(self.service.console.address)
        self.addAsyncCleanup(caller.stop)
        caller.writer.write(data or f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        status, body, head = await caller.read_response()
        self.assertEqual(await caller.reader.read(), b"")  # one call a connection
        return status, body, head

    async def health(self):
        caller = await self.caller()
        caller.writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
        return (await caller.read_response())[0]

    async def test_every_call_has_its_answer_at_once_and_none_is_a_fault(self):
        await self.play(SocketHost())
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
        said = [line["path"] for line in self.log.lines if line["event"] == "call"]
        self.assertIn("/-/hosts/s%2D0/disable", said)

    async def test_callers_that_finish_no_call_hold_up_none(self):
        await self.play(SocketHost())
        slow = [await Caller().connect(self.service.console.address) for _ in range(20)]
        for each in slow:
            each.writer.write(b"PUT /-/dr")
        await self.until(lambda: len(self.service.callers.open) == 12)
        self.assertEqual((await self.call("GET", "/-/ready"))[0], 200)
        for each in slow:
            self.assertEqual(await asyncio.wait_for(each.reader.read(), 5), b"")
            await each.stop()
        await asyncio.wait_for(self.until(lambda: not self.service.callers.descriptors.held), 5)

    async def test_a_host_taken_out_gets_nothing_until_it_is_put_back_whatever_the_list_says(self):
        caller = await self.play(SocketHost(), SocketHost())
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
            await self.until(lambda v=version: self.service.watch.version == v)
            for n in range(6):
                self.assertEqual(await caller.status(key=f"k{n}"), 200)
        self.assertEqual(first.received.qsize(), 0)
        told = json.loads((await self.call("GET", "/-/hosts"))[1].split(b"\n")[0])
        self.assertEqual((told["id"], told["out"], told["ready"]), ("s-0", True, False))

    async def test_put_back_it_is_used_and_counts_as_cold_from_then_on(self):
        caller = await self.play(SocketHost(), SocketHost())
        for _ in range(2):  # out twice, back once
            self.assertEqual((await self.call("PUT", "/-/hosts/s-0/disable"))[0], 200)
        self.assertEqual((await self.call("PUT", "/-/hosts/s-0/enable"))[0], 200)
        server = next(s for s in self.service.owner.proxy.hosts.values() if s.entry.started_at)
        self.assertAlmostEqual(server.cold_since, self.service.owner.clock.now(), delta=20_000)
        self.discovery.publish(2, self.hosts[0].line("s-0", started_ms=1))  # the list runs behind
        await self.until(lambda: self.service.watch.version == 2)
        self.assertAlmostEqual(server.cold_since, self.service.owner.clock.now(), delta=20_000)
        await asyncio.wait_for(self.reaches(caller, self.hosts[0]), 10)

    async def reaches(self, caller, host):
        for n in itertools.count():
            if host.received.qsize():
                return
            self.assertEqual(await caller.status(key=f"k{n}"), 200)

    async def test_nothing_leaves_for_a_host_taken_out_while_its_connection_came_up(self):
        caller = await self.play(SocketHost())
        fresh = self.service.pool.fresh

        def out_meanwhile(address, up):
            def come(fault):
                self.service.staff.carry_out(Call("disable", "s-0"))
                up(fault)

            return fresh(address, come)

        self.service.pool.fresh = out_meanwhile
        caller.send_request("submit", timeout="0.3")
        self.assertEqual((await caller.read_response())[0], 503)
        self.assertEqual(
            (self.log.hops(), self.hosts[0].received.qsize()), ([("untried", interface.UNSENT)], 0)
        )

    async def test_all_hosts_out_gives_clear_answers(self):
        caller = await self.play(SocketHost(), SocketHost())
        for host in ("s-0", "s-1"):
            await self.call("PUT", f"/-/hosts/{host}/disable")
        self.assertEqual(await caller.status(timeout="0.2"), 503)
        self.assertEqual((await self.call("GET", "/-/ready"))[0], 200)

    async def test_a_drain_sends_clients_away_and_cuts_no_request(self):
        idle, busy = await self.play(SocketHost(SILENT)), await self.caller()
        self.assertEqual((await self.call("PUT", "/-/resume"))[0], 200)  # without a drain: nothing
        idle.writer.write(b"GET /_health HTTP/1.1\r\nHost: s\r\n\r\n")
        await idle.read_response()
        busy.send_request("submit")
        await self.hosts[0].received.get()
        silent = await self.caller()
        with unittest.mock.patch.multiple(
            "basalthook.routing.clients", LEAVE_IDLE=0.02, LEAVE_NEW=0.05, LOOK_AWAY=0.02
        ):
            for _ in range(2):  # drained twice is drained
                self.assertEqual((await self.call("PUT", "/-/drain"))[0], 200)
            self.assertEqual(await self.health(), 503)
            self.assertEqual(await idle.reader.read(), b"")
            self.assertEqual(await silent.reader.read(), b"")
        late = await self.caller()  # new ones still come for a moment
        late.send_request("submit", key="k2")
        await self.hosts[0].received.get()
        for writer in self.hosts[0].writers:
            writer.write(OK)
        for each in (busy, late):
            status, _, head = await each.read_response()
            self.assertEqual((status, "Connection: close" in head), (200, True))
        self.assertEqual((await self.call("PUT", "/-/resume"))[0], 200)
        self.assertEqual(await self.health(), 200)
        self.hosts[0].replies = [OK]
        again = await self.caller()
        again.send_request()
        status, _, head = await again.read_response()
        self.assertEqual((status, "Connection: close" in head), (200, False))


HOSTS = st.sampled_from("abc")
WORDS = st.lists(st.tuples(HOSTS | st.none(), st.integers(1, 40), st.booleans()), max_size=12)


class OrdersJoin(unittest.TestCase):
    @given(WORDS, WORDS)
    def test_two_sets_join_to_the_same_in_either_order_and_more_than_once(self, mine, theirs):
        def told(words):
            orders = Orders()
            for host, now, out in words:
                orders.tell_drain(now, out) if host is None else orders.tell(host, now, out)
            return orders

        one, other = told(mine), told(theirs)
        one.join(told(theirs))
        other.join(told(mine))
        self.assertEqual(one.plain(), other.plain())
        self.assertEqual(one.join(told(mine)), set())
        self.assertEqual(Orders.read(json.loads(json.dumps(one.plain()))).plain(), one.plain())
