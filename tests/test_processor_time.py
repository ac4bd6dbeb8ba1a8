"""Processor time: a connection that costs much waits for its turn, and nobody waits for it for long."""

import asyncio
import selectors
import socket
import unittest

from basalthook.transport.event_loop import MAX_DELAYED_PER_POLL, TimedSelector
from basalthook.transport.processor_time import (
    BURST_NS,
    FIRST_READ_BYTES,
    LIGHT_SHARE,
    MAX_DEBT_NS,
    MIN_READ_BYTES,
    READ_NS,
    TURN_NS,
    UNANSWERED_NS,
    ProcessorTime,
    Usage,
)
from tests.fake import SocketHost
from tests.loopback import Loopback


class Usages(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 1_000
        self.time = ProcessorTime(lambda: self.now)

    def spend(self, usage, duration_ns, read=0):
        started, self.now = self.now, self.now + duration_ns
        usage.add(started, read)

    async def test_a_connection_whose_requests_are_answered_is_light_up_to_its_share(self):
        usage = Usage(self.time)
        for _ in range(1_000):  # 30 requests a second of 1 ms each: three fifths of the share
            self.spend(usage, 1_000_000)
            usage.answered()
            self.now += 32_000_000
            self.assertTrue(usage.is_light())
        for _ in range(100):
            self.spend(usage, 1_000_000)
            usage.answered()
        self.assertFalse(usage.is_light())
        self.now += int(MAX_DEBT_NS / LIGHT_SHARE)
        self.assertTrue(usage.is_light())

    async def test_work_without_an_answer_makes_a_connection_wait_until_it_is_answered(self):
        usage = Usage(self.time)
        self.spend(usage, UNANSWERED_NS + 1)
        self.now += 10_000_000_000
        self.assertFalse(usage.is_light())
        usage.answered()
        self.assertTrue(usage.is_light())

    async def test_all_that_wait_share_one_part_of_each_turn(self):
        costly = [Usage(self.time) for _ in range(10)]
        for usage in costly:
            self.spend(usage, BURST_NS + 1)
        ran = 0
        for usage in costly:
            if usage.may_run():
                self.spend(usage, TURN_NS // 4)
                ran += 1
        self.assertEqual(ran, 4)
        self.assertTrue(Usage(self.time).may_run())  # one that has taken nothing never waits
        await asyncio.sleep(0)
        self.assertTrue(costly[-1].may_run())

    async def test_reads_are_as_long_as_their_bytes_are_cheap(self):
        usage = Usage(self.time)
        self.assertEqual(usage.read_bytes, FIRST_READ_BYTES)
        self.spend(usage, 100_000, 2_000)
        self.assertEqual(usage.read_bytes, 2_000 * READ_NS // 100_000)
        self.spend(usage, 100_000_000, 2_000)
        self.assertEqual(usage.read_bytes, MIN_READ_BYTES)


class Selection(unittest.TestCase):
    def test_delayed_descriptors_are_reported_in_turn_and_others_at_once(self):
        selector, pairs = TimedSelector(), [socket.socketpair() for _ in range(3 * MAX_DELAYED_PER_POLL)]
        self.addCleanup(selector.close)
        for reader, writer in pairs:
            self.addCleanup(reader.close)
            self.addCleanup(writer.close)
            selector.register(reader, selectors.EVENT_READ)
            writer.send(b"x")
        prompt, *costly = (reader.fileno() for reader, _ in pairs)
        reported = []
        for _ in range(3):
            selector.delayed_fds.update(costly)
            fds = [key.fd for key, _ in selector.select(0)]
            self.assertIn(prompt, fds)
            self.assertEqual(len(fds), 1 + MAX_DELAYED_PER_POLL)
            reported += [fd for fd in fds if fd != prompt]
        self.assertEqual(set(reported), set(costly))


class Crowds(Loopback):
    async def test_connections_that_say_nothing_cost_a_client_its_connection_no_more(self):
        caller = await self.start_proxy(SocketHost(), sockets=64)
        most = self.service.descriptors.max_kept_alive_clients
        silent = [await self.connect() for _ in range(most + 3)]
        await self.wait_until(lambda: len(self.service.clients.open_clients) > most + 3)
        for _ in range(3):
            caller.send_request()
            status, _, head = await caller.read_response()
            self.assertEqual((status, "Connection: close" in head), (200, False))
        heads = []
        for client in silent:  # connections at rest that have been used do count
            client.send_request()
            heads.append((await client.read_response())[2])
        self.assertEqual(["Connection: close" in head for head in heads], [False] * (most - 1) + [True] * 4)


if __name__ == "__main__":
    unittest.main()
