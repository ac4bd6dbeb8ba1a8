"""The conditions for an attempt are checked again right before its first byte is sent."""

import asyncio
import unittest

from basalthook.policy import interface
from basalthook.routing.dispatcher import Response
from tests.fake import JOURNALLED_EVERYWHERE, RESET, SILENT, FakeHost, ProxyHarness, SocketHost
from tests.loopback import Loopback

REASONS = (
    interface.REQUEST_OVER,
    interface.OUT_OF_TIME,
    interface.REPEAT_NOT_ALLOWED,
    interface.ENDPOINT_LEAVING,
    interface.PLACEMENT,
    interface.CLIENT_GONE,
)
CONNECT_DELAY_S = 0.5  # that a connection takes to be established
SCAN = {
    "name": "scan",
    "effect": "by_key",
    "group": "cell",
    "hard_limit_ns": 2 * 10**9,
    "service_goal_ns": 6 * 10**8,
}


class LateConnections(Loopback):
    async def start_retry(self, during_connect=lambda: None, window=0.3):
        """The first attempt is reset after its request; the second one's connection is established late."""
        profile = {**SCAN, "repeat_window_ns": int(window * 1e9)}
        caller = await self.start_proxy(SocketHost(RESET), SocketHost(RESET), profiles=[profile])
        open_connection, connecting = self.service.pool.open_connection, asyncio.Event()

        def connect_late(address, on_connected):
            if not self.hosts[0].received.qsize() + self.hosts[1].received.qsize():
                return open_connection(address, on_connected)
            connecting.set()
            return open_connection(
                address,
                lambda failure: asyncio.get_running_loop().call_later(CONNECT_DELAY_S, on_connected, failure),
            )

        self.service.pool.open_connection = connect_late
        caller.send_request("scan")
        await connecting.wait()
        during_connect()
        return caller

    def count_attempts(self):
        return sum(host.received.qsize() for host in self.hosts)

    def refusals(self):
        """Reasons why decided attempts were not begun: those in the log, and the counts."""
        lines = [line["reason"] for line in self.log.lines if line["event"] == "hop"]
        return [reason for reason in lines if reason in REASONS], dict(self.service.attempts.refusal_counts)

    async def test_a_keyed_request_is_not_sent_again_after_its_window(self):
        caller = await self.start_retry()
        self.assertEqual(((await caller.read_response())[0], self.count_attempts()), (502, 1))
        self.assertEqual(self.refusals(), ([interface.REPEAT_NOT_ALLOWED], {interface.REPEAT_NOT_ALLOWED: 1}))

    async def test_a_keyed_request_is_sent_again_within_its_window(self):
        caller = await self.start_retry(window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.count_attempts()), (502, 2))

    async def test_a_keyed_request_is_not_sent_to_a_host_that_left_its_group(self):
        def change_cell():
            (second,) = (n for n, host in enumerate(self.hosts) if not host.received.qsize())
            self.discovery.publish(2, self.hosts[second].line(f"s-{second}", cell=1))

        caller = await self.start_retry(change_cell, window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.count_attempts()), (502, 1))
        self.assertEqual(self.refusals(), ([interface.PLACEMENT], {interface.PLACEMENT: 1}))

    async def test_nothing_is_sent_to_a_host_that_began_to_drain_during_connecting(self):
        def drain_host():
            (second,) = (n for n, host in enumerate(self.hosts) if not host.received.qsize())
            self.discovery.publish(2, self.hosts[second].line(f"s-{second}", state="draining"))

        caller = await self.start_retry(drain_host, window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.count_attempts()), (502, 1))
        self.assertEqual(self.refusals(), ([interface.ENDPOINT_LEAVING], {interface.ENDPOINT_LEAVING: 1}))

    async def test_nothing_is_sent_for_a_client_that_left_after_beginning_its_next_request(self):
        caller = await self.start_retry(window=1.9)
        caller.writer.write(b"GET /")
        await asyncio.sleep(0.1)
        caller.writer.close()
        await asyncio.sleep(0.1)  # seen while the second connection is still being established
        self.assertEqual(self.service.clients.response_counts, {"client gone": 1})
        await asyncio.sleep(CONNECT_DELAY_S + 0.1)
        self.assertEqual(self.count_attempts(), 1)

    async def test_nothing_is_sent_for_a_client_that_left_during_connecting(self):
        caller = await self.start_retry(window=1.9)
        caller.writer.transport.abort()
        await asyncio.sleep(CONNECT_DELAY_S + 0.2)
        self.assertEqual(self.count_attempts(), 1)

    async def test_a_response_for_a_client_that_has_just_left_is_no_fault(self):
        caller = await self.start_proxy(SocketHost(SILENT))
        caller.send_request("view")
        await self.hosts[0].received.get()
        dispatcher, (client,) = self.service.dispatcher, self.service.clients.open_clients
        (transaction,) = dispatcher.transactions.values()
        dispatcher.processing = True  # as while an item is handled: new ones are queued
        client.on_close(None)
        transaction.close(Response("abandoned"))
        dispatcher.process_queue()
        self.assertEqual([line for line in self.log.lines if line["event"] == "fault"], [])


class Reasons(unittest.TestCase):
    def test_an_attempt_past_its_deadline_or_of_a_request_that_is_over_may_not_begin(self):
        stage = ProxyHarness([FakeHost(0, outcome=None)])
        stage.arrive(JOURNALLED_EVERYWHERE, key=1)
        (tx,) = stage.hosts[0].received
        self.assertIsNone(stage.proxy.start_refusal(stage.now, tx, 0))
        self.assertEqual(stage.proxy.start_refusal(stage.now + 10**6, tx, 0), interface.OUT_OF_TIME)
        self.assertEqual(stage.proxy.start_refusal(stage.now, tx, 7), interface.ENDPOINT_LEAVING)
        stage.deliver(interface.ClientDisconnected(tx))
        self.assertEqual(stage.proxy.start_refusal(stage.now, tx, 0), interface.REQUEST_OVER)


class SlowStart(unittest.TestCase):
    def test_attempts_with_slow_connections_count_in_a_cold_hosts_window_when_they_begin(self):
        cold = FakeHost(0, started=990_000, outcome=None)
        stage = ProxyHarness([cold])
        stage.proxy.commit_rate = 40.0
        stage.arrive_many(40)
        first = len(cold.received)
        self.assertIn(first, range(3, 40))
        stage.now += 10_000  # ticks, of a window of 30,000
        self.assertEqual({stage.proxy.start_refusal(stage.now, tx, 0) for tx in cold.received}, {None})
        for tx in list(cold.received):
            stage.end(tx, 0, 0, interface.COMMITTED)
        stage.now += 21_000
        stage.arrive_many(40)
        self.assertLessEqual(
            len(cold.received), first + 1
        )  # the cold host's share has grown a little meanwhile


class Refusals(unittest.TestCase):
    def test_a_keyed_request_that_may_have_run_is_not_rolled_back_after_its_window(self):
        for elapsed, answer in ((1_000, interface.RollBack), (7_000, interface.Abandon)):
            stage = ProxyHarness([FakeHost(0, outcome=interface.RESET)], elapsed=elapsed, max_attempts=1)
            self.assertEqual(stage.answers.get(stage.arrive(JOURNALLED_EVERYWHERE, key=1)), answer)


if __name__ == "__main__":
    unittest.main()
