"""A process that lags must not blame hosts for it, and must accept no more than it can serve."""

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
from basalthook.recovery.admission import SHED_FULL, SHED_START, AdmissionControl
from basalthook.transport import timestamps
from basalthook.transport.buffers import BufferPool
from basalthook.transport.connection import Connection
from basalthook.transport.connection import Stage as ConnectionStage
from basalthook.transport.descriptors import DescriptorBudget
from basalthook.transport.event_loop import TimedSelector, run
from basalthook.transport.timers import COMPACT_THRESHOLD, Timers
from tests.fake import OK, SILENT, Caller, FakeHost, ProxyHarness, SocketDiscovery, SocketHost, start_up

GOAL = 1_500


class Admission(unittest.TestCase):
    def test_short_stalls_and_short_waits_shed_nothing(self):
        control = AdmissionControl(GOAL, Random(1))
        waits = [20] * 400 + [400] * 10 + [20] * 400  # with a stall of 40 ms
        self.assertTrue(all(control.admit(n, wait) for n, wait in enumerate(waits)))

    def test_at_twice_the_capacity_what_is_accepted_is_served_in_time(self):
        """One worker, arrivals at twice its rate; shedding costs a tenth of a transaction."""
        control, random_source, worker_free_at, waits, admitted_count = (
            AdmissionControl(GOAL, Random(1)),
            Random(2),
            0.0,
            [],
            0,
        )
        now = 0.0
        for n in range(40_000):
            now += random_source.expovariate(1 / 2.0)
            worker_free_at = max(worker_free_at, now)
            admitted = control.admit(int(worker_free_at), int(worker_free_at - now))
            worker_free_at += 4.0 if admitted else 0.4
            if n > 20_000:
                admitted_count += admitted
                waits.append(worker_free_at - now if admitted else 0)
        self.assertLess(sorted(waits)[len(waits) * 99 // 100], GOAL)
        self.assertGreater(admitted_count / 20_000, 0.4)  # of the 45 % that the worker could serve

    def test_arrivals_beyond_the_goal_are_shed_and_idle_time_ends_shedding(self):
        control = AdmissionControl(GOAL, Random(1))
        self.assertFalse(control.admit(0, GOAL))
        for n in range(1_000):
            control.admit(n, GOAL - 1)
        self.assertEqual(control.shed_share(), 1.0)
        self.assertTrue(control.admit(60_000, 0))  # 5.9 s later
        self.assertLess(control.shed_share(), 0.01)

    @given(st.lists(st.tuples(st.integers(0, 5_000), st.integers(0, 100_000)), max_size=200))
    def test_shed_shares_and_retry_times_stay_in_their_bounds(self, arrivals):
        control, now = AdmissionControl(GOAL, Random(1)), 0
        for gap, wait in arrivals:
            now += gap
            control.admit(now, wait)
            self.assertTrue(0 <= control.mean_wait <= GOAL and 0 <= control.shed_share() <= 1)
            self.assertTrue(GOAL / 2 <= control.retry_after() <= 6 * GOAL)
        self.assertLess(SHED_START, SHED_FULL)


class SilentHosts(unittest.TestCase):
    def stage(self, **terms):
        return ProxyHarness([FakeHost(n) for n in range(2)], proxies=1, **terms)

    def test_an_attempt_overtaken_by_later_ones_takes_no_capacity_and_signals_no_overload(self):
        """Five such attempts were always pending, so hosts that answered all others got no more work.

        The score G fell to 0.55.
        """
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
            host = stage.sent_to()[tx]
            stage.end(tx, 0, host, interface.TIMED_OUT, elapsed=9_000)
        for host in stage.proxy.hosts.values():
            self.assertLess(host.slowdown, max(1.5, before[host.id] + 0.5))
            self.assertEqual(host.excluded_until, {})

    def test_a_host_that_stops_answering_is_still_banned(self):
        stage = self.stage()
        stage.arrive_many(20)
        stage.set_outcomes(None)
        lost = [stage.arrive(2, key=n) for n in range(6)]
        stage.wait(9_000)
        for tx in lost:
            stage.end(tx, 0, stage.sent_to()[tx], interface.TIMED_OUT, elapsed=9_000)
        self.assertTrue(any(stage.proxy.excluded(s, "ban") for s in stage.proxy.hosts.values()))

    def test_silence_during_own_lag_does_not_count(self):
        """Responses waited unread in this process, and every host was taken for silent."""
        stage = self.stage()
        stage.arrive_many(20)
        stage.set_outcomes(None)
        tx = stage.arrive(key=1)
        host = stage.proxy.hosts[stage.sent_to()[-1]]
        stage.now += 5_000
        for received_until, silent in ((stage.now - 4_999, False), (stage.now, True)):
            stage.run(stage.proxy.handle(stage.now, interface.TimerDue(tx + 2), received_until))
            self.assertEqual(stage.proxy.is_suspect(host, stage.proxy.txs[tx]), silent)


class TimersAndStamps(unittest.IsolatedAsyncioTestCase):
    async def test_timers_run_in_order_and_cancelled_ones_never(self):
        frozen_time, fired = [time.monotonic_ns() // 100_000], []  # the clock stands still until all are set

        def clock() -> int:
            return frozen_time[0] if frozen_time else time.monotonic_ns() // 100_000

        timers = Timers(clock, 10_000)
        entries = [timers.set(delay, fired.append, delay) for delay in (90, 30, 60)]
        dropped = [timers.set(20, fired.append, "cancelled") for _ in range(2 * COMPACT_THRESHOLD)]
        for entry in dropped + dropped:
            timers.cancel(entry)
        self.assertLessEqual(len(timers.heap), COMPACT_THRESHOLD + len(entries))
        frozen_time.clear()
        await asyncio.sleep(0.02)
        self.assertEqual(fired, [30, 60, 90])
        timers.cancel(entries[0])
        self.assertEqual((timers.heap, timers.cancelled, timers.wakeup_handle), ([], 0, None))

    async def test_unread_bytes_report_how_long_they_waited(self):
        if timestamps.TIMESTAMP_OPTION is None:
            self.skipTest("this system has no arrival time stamps")
        with socket.create_server(("127.0.0.1", 0)) as server:
            timestamps.enable(server)
            peer = socket.create_connection(server.getsockname())
            accepted, _ = server.accept()
        connection, waits = Connection(accepted, BufferPool(64, 8), DescriptorBudget(64)), []
        connection.start_reading(lambda part, late: waits.append(late), None)
        await asyncio.sleep(0.05)  # timestamps start a moment after they are requested
        for pause in (0, 0.05):
            peer.send(b"x")
            time.sleep(pause)
            while len(waits) < (2 if pause else 1):
                await asyncio.sleep(0)
        self.assertLess(waits[0], waits[1])
        self.assertGreaterEqual(waits[1], 50_000_000)
        connection.close()
        peer.close()

    async def test_an_established_connection_is_not_given_up(self):
        """The timer ran before the loop had polled the socket, and a healthy host was banned for 10 s."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection, connect_results = (
                Connection.for_address(server.getsockname(), BufferPool(64, 8), DescriptorBudget(64)),
                [],
            )
            connection.connect(server.getsockname(), connect_results.append)
            connection.connect_timed_out("not within 0.25 s")
            self.assertFalse(connection.closed)
            while not connect_results:
                await asyncio.sleep(0)
            self.assertEqual(connect_results, [None])
            connection.close()

    async def test_a_late_timer_does_not_take_a_refused_connection_for_an_established_one(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        connection, connect_results = (
            Connection.for_address(address, BufferPool(64, 8), DescriptorBudget(64)),
            [],
        )
        connection.connect(address, connect_results.append)
        connection.connect_timed_out("not within 0.25 s")
        while not connect_results:
            await asyncio.sleep(0)
        self.assertEqual((connect_results[0].stage, connection.closed), (ConnectionStage.CONNECTING, True))


class Stalled(unittest.TestCase):
    """The whole proxy on an event loop that is blocked for a while."""

    def setUp(self):
        """The kernel starts timestamping a moment after the first socket requests it."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        timestamps.enable(sock)
        time.sleep(0.05)

    def run_proxy(self, scenario, *hosts, **settings):
        selector, log = TimedSelector(), []

        async def main():
            started = [await host.start() for host in hosts]
            discovery = await SocketDiscovery().start()
            recording_log = unittest.mock.Mock(
                log_event=lambda event, **fields: log.append({"event": event, **fields})
            )
            service = Service(
                decode(start_up(started, discovery, **settings), {}), recording_log, None, selector
            )
            listener = service.begin()
            try:
                await asyncio.wait_for(scenario(service, listener.address), 20)
            finally:
                listener.close()
                for client in list(service.clients.open_clients):
                    client.close()
                service.watch.stop()
                service.pool.close()
                service.timers.close()
                for peer in (*started, discovery):
                    await peer.stop()

        run(main(), selector)
        self.assertEqual([line for line in log if line["event"] == "fault"], [])
        return log

    def test_an_answer_that_arrived_in_time_counts_although_the_loop_was_blocked(self):
        """The attempt's time limit, the policy's timer and the connect timeout all fall due in the stall."""
        host = SocketHost(SILENT)

        async def scenario(service, address):
            caller = await Caller().connect(address)
            caller.send_request("submit", timeout="0.15")
            await host.received.get()
            host.writers[0].write(OK)
            time.sleep(0.3)
            self.assertEqual((await caller.read_response())[0], 200)
            (host_state,) = service.dispatcher.policy.hosts.values()
            self.assertLess(host_state.slowdown, 2.0)
            self.assertLess(service.dispatcher.policy.latency[1].mean, 1_000)
            await caller.stop()

        self.assertEqual([line for line in self.run_proxy(scenario, host) if line["event"] == "hop"], [])

    def test_requests_unread_for_longer_than_their_goal_are_rolled_back_and_reach_no_host(self):
        host = SocketHost()

        async def scenario(service, address):
            callers = [await Caller().connect(address) for _ in range(8)]
            self.assertEqual(await callers[0].status(), 200)
            for caller in callers:
                caller.send_request("submit")
            time.sleep(0.7)  # the service goal is 0.6 s
            answers = [await caller.read_response() for caller in callers]
            self.assertEqual({status for status, _, _ in answers}, {503})
            self.assertTrue(all("Retry-After" in head for _, _, head in answers))
            self.assertEqual((host.received.qsize(), service.clients.open_ids), (1, set()))
            self.assertEqual(await callers[0].status(), 200)
            for caller in callers:
                await caller.stop()

        self.assertEqual(sum(line["event"] == "door" for line in self.run_proxy(scenario, host)), 8)
