"""What holds when an attempt is decided has to hold still at its first byte."""

import asyncio
import unittest

from basalthook.policy import interface
from basalthook.routing.owner import Answer
from tests.fake import JOURNALLED_EVERYWHERE, RESET, SILENT, FakeHost, SocketHost, Stage
from tests.loopback import Loopback

REASONS = (
    interface.REQUEST_OVER,
    interface.OUT_OF_TIME,
    interface.REPEAT_NOT_ALLOWED,
    interface.ENDPOINT_LEAVING,
    interface.PLACEMENT,
    interface.CLIENT_GONE,
)
LATE = 0.5  # seconds that a connection takes to come up
SCAN = {
    "name": "scan",
    "effect": "by_key",
    "group": "cell",
    "hard_limit_ns": 2 * 10**9,
    "service_goal_ns": 6 * 10**8,
}


class LateConnections(Loopback):
    async def retried(self, meanwhile=lambda: None, window=0.3):
        """The first attempt is reset under its request; the second one's connection comes up late."""
        profile = {**SCAN, "repeat_window_ns": int(window * 1e9)}
        caller = await self.play(SocketHost(RESET), SocketHost(RESET), profiles=[profile])
        fresh, connecting = self.service.pool.fresh, asyncio.Event()

        def late(address, up):
            if not self.hosts[0].received.qsize() + self.hosts[1].received.qsize():
                return fresh(address, up)
            connecting.set()
            return fresh(address, lambda fault: asyncio.get_running_loop().call_later(LATE, up, fault))

        self.service.pool.fresh = late
        caller.send_request("scan")
        await connecting.wait()
        meanwhile()
        return caller

    def attempts(self):
        return sum(host.received.qsize() for host in self.hosts)

    def refused(self):
        """Reasons for which attempts were not begun after all: of the log's lines, and as counted."""
        lines = [line["reason"] for line in self.log.lines if line["event"] == "hop"]
        return [reason for reason in lines if reason in REASONS], dict(self.service.attempts.refusals)

    async def test_a_keyed_request_is_not_sent_again_after_its_window(self):
        caller = await self.retried()
        self.assertEqual(((await caller.read_response())[0], self.attempts()), (502, 1))
        self.assertEqual(self.refused(), ([interface.REPEAT_NOT_ALLOWED], {interface.REPEAT_NOT_ALLOWED: 1}))

    async def test_a_keyed_request_is_sent_again_within_its_window(self):
        caller = await self.retried(window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.attempts()), (502, 2))

    async def test_a_keyed_request_is_not_sent_to_an_endpoint_that_left_its_group(self):
        def leave():
            (second,) = (n for n, host in enumerate(self.hosts) if not host.received.qsize())
            self.discovery.publish(2, self.hosts[second].line(f"s-{second}", cell=1))

        caller = await self.retried(leave, window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.attempts()), (502, 1))
        self.assertEqual(self.refused(), ([interface.PLACEMENT], {interface.PLACEMENT: 1}))

    async def test_nothing_is_sent_to_an_endpoint_that_began_to_drain_while_its_connection_came_up(self):
        def drain():
            (second,) = (n for n, host in enumerate(self.hosts) if not host.received.qsize())
            self.discovery.publish(2, self.hosts[second].line(f"s-{second}", state="draining"))

        caller = await self.retried(drain, window=1.9)
        self.assertEqual(((await caller.read_response())[0], self.attempts()), (502, 1))
        self.assertEqual(self.refused(), ([interface.ENDPOINT_LEAVING], {interface.ENDPOINT_LEAVING: 1}))

    async def test_nothing_is_sent_for_a_client_that_left_behind_the_first_bytes_of_its_next_request(self):
        caller = await self.retried(window=1.9)
        caller.writer.write(b"GET /")
        await asyncio.sleep(0.1)
        caller.writer.close()
        await asyncio.sleep(LATE + 0.2)
        self.assertEqual(self.attempts(), 1)
        self.assertEqual(self.refused()[1], {interface.CLIENT_GONE: 1})

    async def test_nothing_is_sent_for_a_client_that_left_meanwhile(self):
        caller = await self.retried(window=1.9)
        caller.writer.transport.abort()
        await asyncio.sleep(LATE + 0.2)
        self.assertEqual(self.attempts(), 1)

    async def test_an_answer_for_a_client_just_seen_to_have_left_is_no_fault(self):
        caller = await self.play(SocketHost(SILENT))
        caller.send_request("view")
        await self.hosts[0].received.get()
        owner, (client,) = self.service.owner, self.service.clients.open
        (order,) = owner.orders.values()
        owner.running = True  # as within an event: what comes waits in the queue
        client.ended(None)
        order.close(Answer("abandoned"))
        owner.pump()
        self.assertEqual([line for line in self.log.lines if line["event"] == "fault"], [])


class Reasons(unittest.TestCase):
    def test_an_attempt_past_its_deadline_or_of_a_request_that_is_over_may_not_begin(self):
        stage = Stage([FakeHost(0, outcome=None)])
        stage.arrive(JOURNALLED_EVERYWHERE, key=1)
        (tx,) = stage.hosts[0].received
        self.assertIsNone(stage.proxy.start_refusal(stage.now, tx, 0))
        self.assertEqual(stage.proxy.start_refusal(stage.now + 10**6, tx, 0), interface.OUT_OF_TIME)
        self.assertEqual(stage.proxy.start_refusal(stage.now, tx, 7), interface.ENDPOINT_LEAVING)
        stage.deliver(interface.ClientDisconnected(tx))
        self.assertEqual(stage.proxy.start_refusal(stage.now, tx, 0), interface.REQUEST_OVER)


class SlowStart(unittest.TestCase):
    def test_attempts_whose_connections_come_up_late_count_in_a_cold_endpoints_window_when_they_begin(self):
        cold = FakeHost(0, started=990_000, outcome=None)
        stage = Stage([cold])
        stage.proxy.commit_rate = 40.0
        stage.arrive_many(40)
        first = len(cold.received)
        self.assertIn(first, range(3, 40))
        stage.now += 10_000  # of a window of 30,000
        self.assertEqual({stage.proxy.start_refusal(stage.now, tx, 0) for tx in cold.received}, {None})
        for tx in list(cold.received):
            stage.end(tx, 0, 0, interface.COMMITTED)
        stage.now += 21_000
        stage.arrive_many(40)
        self.assertLessEqual(len(cold.received), first + 1)  # its slice has grown a little meanwhile


class Refusals(unittest.TestCase):
    def test_a_keyed_request_that_may_have_run_is_not_refused_as_harmless_after_its_window(self):
        for elapsed, answer in ((1_000, interface.RollBack), (7_000, interface.Abandon)):
            stage = Stage([FakeHost(0, outcome=interface.RESET)], elapsed=elapsed, max_attempts=1)
            self.assertEqual(stage.answers.get(stage.arrive(JOURNALLED_EVERYWHERE, key=1)), answer)


if __name__ == "__main__":
    unittest.main()
