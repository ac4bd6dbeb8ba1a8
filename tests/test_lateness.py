"""A late process: its own lateness is nobody else's, and it takes no more than it can serve."""

import asyncio
import socket
import time
import unittest
import unittest.mock
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from basalthook.policy import interface
from basalthook.program.service import Service
from basalthook.program.startup import decode
from basalthook.recovery.door import EASE, LOST, Door
from basalthook.transport import arrival
from basalthook.transport.buffers import BufferPool
from basalthook.transport.connection import Connection
from basalthook.transport.connection import Stage as Reached
from basalthook.transport.descriptors import Descriptors
from basalthook.transport.timers import COMPACT_FROM, Timers
from basalthook.transport.turns import Turns, run
from tests.fake import OK, SILENT, Caller, FakeHost, SocketDiscovery, SocketHost, Stage, start_up

GOAL = 1_500


class TheDoor(unittest.TestCase):
    def test_short_stalls_and_light_waits_turn_nobody_away(self):
        door = Door(GOAL, Random(1))
        waits = [20] * 400 + [400] * 10 + [20] * 400  # a stall of 40 ms in between
        self.assertTrue(all(door.admit(n, wait) for n, wait in enumerate(waits)))

    def test_with_twice_the_work_it_settles_where_the_rest_is_in_time(self):
        """One worker; turning away costs it a tenth of a transaction; arrivals at twice its rate."""
        door, chance, free, waits, taken = Door(GOAL, Random(1)), Random(2), 0.0, [], 0
        now = 0.0
        for n in range(40_000):
            now += chance.expovariate(1 / 2.0)
            free = max(free, now)
            admitted = door.admit(int(free), int(free - now))
            free += 4.0 if admitted else 0.4
            if n > 20_000:
                taken += admitted
                waits.append(free - now if admitted else 0)
        self.assertLess(sorted(waits)[len(waits) * 99 // 100], GOAL)
        self.assertGreater(taken / 20_000, 0.4)  # of the 45 in 100 that the worker could do

    def test_what_is_too_late_already_is_turned_away_and_quiet_times_open_the_door(self):
        door = Door(GOAL, Random(1))
        self.assertFalse(door.admit(0, GOAL))
        for n in range(1_000):
            door.admit(n, GOAL - 1)
        self.assertEqual(door.share(), 1.0)
        self.assertTrue(door.admit(60_000, 0))  # five seconds later
        self.assertLess(door.share(), 0.01)

    @given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(0, 100_000)), max_size=200))
    def test_shares_and_come_back_times_stay_in_their_bounds(self, arrivals):
        door, now = Door(GOAL, Random(1)), 0
        for gap, waited in arrivals:
            now += gap
            door.admit(now, waited)
            self.assertTrue(0 <= door.mean <= GOAL and 0 <= door.share() <= 1)
            self.assertTrue(GOAL / 2 <= door.come_back() <= 6 * GOAL)
        self.assertLess(EASE, LOST)


class SingleSilences(unittest.TestCase):
    def stage(self, **terms):
        return Stage([FakeHost(n) for n in range(2)], proxies=1, **terms)

    def test_a_hop_that_later_ones_overtook_holds_no_place_and_tells_of_no_crowd(self):
        """Five of them stood out at any time, and hosts that answered all others got no more (G 0.55)."""
        stage = self.stage(elapsed=20)
        stage.arrive_many(50)
        stage.set_outcomes(None)
        lost = [stage.arrive(2, key=1_000 + n) for n in range(8)]
        stage.set_outcomes(interface.COMMITTED)
        before = {s.id: s.slowdown for s in stage.proxy.hosts.values()}
        stage.wait(2_000)
        stage.arrive_many(40, profile=2)
        self.assertEqual(
            [tx for tx in range(stage.next_tx - 40, stage.next_tx) if tx not in stage.answers], []
        )
        for tx in lost:
            server = stage.sent_to()[tx]
            stage.end(tx, 0, server, interface.TIMED_OUT, elapsed=9_000)
        for server in stage.proxy.hosts.values():
            self.assertLess(server.slowdown, max(1.5, before[server.id] + 0.5))
            self.assertEqual(server.excluded_until, {})

    def test_a_host_that_answers_nothing_any_more_is_still_banned(self):
        stage = self.stage()
        stage.arrive_many(20)
        stage.set_outcomes(None)
        lost = [stage.arrive(2, key=n) for n in range(6)]
        stage.wait(9_000)
        for tx in lost:
            stage.end(tx, 0, stage.sent_to()[tx], interface.TIMED_OUT, elapsed=9_000)
        self.assertTrue(any(stage.proxy.excluded(s, "ban") for s in stage.proxy.hosts.values()))

    def test_silence_that_nobody_looked_at_is_none(self):
        """Answers that lay unread made every host look silent."""
        stage = self.stage()
        stage.arrive_many(20)
        stage.set_outcomes(None)
        tx = stage.arrive(key=1)
        server = stage.proxy.hosts[stage.sent_to()[-1]]
        stage.now += 5_000
        for seen, silent in ((stage.now - 4_999, False), (stage.now, True)):
            stage.run(stage.proxy.handle(stage.now, interface.TimerDue(tx + 2), seen))
            self.assertEqual(stage.proxy.is_suspect(server, stage.proxy.txs[tx]), silent)


class Clockwork(unittest.IsolatedAsyncioTestCase):
    async def test_timers_go_off_in_order_and_cancelled_ones_never(self):
        standing, rung = [time.monotonic_ns() // 100_000], []  # the clock stands until all are set

        def clock() -> int:
            return standing[0] if standing else time.monotonic_ns() // 100_000

        timers = Timers(clock, 10_000)
        kept = [timers.set(delay, rung.append, delay) for delay in (90, 30, 60)]
        dropped = [timers.set(20, rung.append, "cancelled") for _ in range(2 * COMPACT_FROM)]
        for entry in dropped + dropped:
            timers.cancel(entry)
        self.assertLessEqual(len(timers.heap), COMPACT_FROM + len(kept))
        standing.clear()
        await asyncio.sleep(0.02)
        self.assertEqual(rung, [30, 60, 90])
        timers.cancel(kept[0])
        self.assertEqual((timers.heap, timers.cancelled, timers.alarm), ([], 0, None))

    async def test_bytes_that_lay_unread_tell_for_how_long(self):
        if arrival.OPTION is None:
            self.skipTest("this system stamps nothing")
        with socket.create_server(("127.0.0.1", 0)) as server:
            arrival.stamp(server)
            theirs = socket.create_connection(server.getsockname())
            ours, _ = server.accept()
        connection, told = Connection(ours, BufferPool(64, 8), Descriptors(64)), []
        connection.follow(lambda part, late: told.append(late), None)
        await asyncio.sleep(0.05)  # the system begins with its stamps a moment after it is asked
        for pause in (0, 0.05):
            theirs.send(b"x")
            time.sleep(pause)
            while len(told) < (2 if pause else 1):
                await asyncio.sleep(0)
        self.assertLess(told[0], told[1])
        self.assertGreaterEqual(told[1], 50_000_000)
        connection.close()
        theirs.close()

    async def test_a_connection_that_is_up_is_not_given_up(self):
        """The timer came before the loop had looked, and a sound host was banned for ten seconds."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection, up = Connection.towards(server.getsockname(), BufferPool(64, 8), Descriptors(64)), []
            connection.connect(server.getsockname(), up.append)
            connection.give_up("not within 0.25 s")
            self.assertFalse(connection.closed)
            while not up:
                await asyncio.sleep(0)
            self.assertEqual(up, [None])
            connection.close()

    async def test_a_connection_that_was_refused_is_no_sound_one_to_a_late_timer(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        connection, up = Connection.towards(address, BufferPool(64, 8), Descriptors(64)), []
        connection.connect(address, up.append)
        connection.give_up("not within 0.25 s")
        while not up:
            await asyncio.sleep(0)
        self.assertEqual((up[0].stage, connection.closed), (Reached.CONNECTING, True))


class Stalled(unittest.TestCase):
    """The whole proxy on a loop that another program holds up."""

    def setUp(self):
        """The system begins to stamp a moment after the first socket that asks for it."""
        asks = socket.socket()
        self.addCleanup(asks.close)
        arrival.stamp(asks)
        time.sleep(0.05)

    def play(self, story, *hosts, **told):
        turns, log = Turns(), []

        async def main():
            started = [await host.start() for host in hosts]
            discovery = await SocketDiscovery().start()
            said = unittest.mock.Mock(say=lambda event, **fields: log.append({"event": event, **fields}))
            service = Service(decode(start_up(started, discovery, **told), {}), said, None, turns)
            listener = service.begin()
            try:
                await asyncio.wait_for(story(service, listener.address), 20)
            finally:
                listener.close()
                for client in list(service.clients.open):
                    client.close()
                service.watch.end()
                service.pool.close()
                service.timers.close()
                for peer in (*started, discovery):
                    await peer.stop()

        run(main(), turns)
        self.assertEqual([line for line in log if line["event"] == "fault"], [])
        return log

    def test_an_answer_that_came_in_time_counts_though_the_loop_stood_still(self):
        """A hop's limit, the second look and the connect timer all fall due during the stall."""
        host = SocketHost(SILENT)

        async def story(service, address):
            caller = await Caller().connect(address)
            caller.send_request("submit", timeout="0.15")
            await host.received.get()
            host.writers[0].write(OK)
            time.sleep(0.3)
            self.assertEqual((await caller.read_response())[0], 200)
            (server,) = service.owner.proxy.hosts.values()
            self.assertLess(server.slowdown, 2.0)
            self.assertLess(service.owner.proxy.latency[1].mean, 1_000)
            await caller.stop()

        self.assertEqual([line for line in self.play(story, host) if line["event"] == "hop"], [])

    def test_what_lay_unread_for_longer_than_its_goal_is_rolled_back_and_reaches_no_host(self):
        host = SocketHost()

        async def story(service, address):
            callers = [await Caller().connect(address) for _ in range(8)]
            self.assertEqual(await callers[0].status(), 200)
            for caller in callers:
                caller.send_request("submit")
            time.sleep(0.7)  # the service goal is 0.6 s
            answers = [await caller.read_response() for caller in callers]
            self.assertEqual({status for status, _, _ in answers}, {503})
            self.assertTrue(all("Retry-After" in head for _, _, head in answers))
            self.assertEqual((host.received.qsize(), service.clients.ids), (1, set()))
            self.assertEqual(await callers[0].status(), 200)
            for caller in callers:
                await caller.stop()

        self.assertEqual(sum(line["event"] == "door" for line in self.play(story, host)), 8)
