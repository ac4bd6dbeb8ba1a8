"""Bodies of any size on loopback: collected within a memory budget, streamed, and visibly cut short on
failure."""

import asyncio
import errno
import hashlib
import random
import unittest
import unittest.mock
from functools import partial

from hypothesis import example, given
from hypothesis import strategies as st

from basalthook.bodies.memory import GROWTH_BYTES, SLOW_AFTER_S, BodyMemory
from basalthook.protocol.http1 import Message, Parser
from basalthook.recovery.admission import EWMA_WEIGHT
from basalthook.transport.buffers import in_pages
from basalthook.transport.timers import Timers
from tests.fake import OK, SETTINGS, SILENT, SocketHost
from tests.loopback import Loopback

LONG = random.Random(5).randbytes(3_000_000)
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%b\r\n0\r\nT: 1\r\n\r\n" % (
    len(LONG),
    LONG,
)
TO_THE_END = b"HTTP/1.1 200 OK\r\n\r\n" + LONG
UNIT = 64 * 1024  # of the memory budget's tests
HEAD = b"POST /submit HTTP/1.1\r\nHost: s\r\nRequest-Id: %b\r\nRequest-Timeout: 2\r\n"
SENT = b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG


class Bodies(Loopback):
    async def read_response(self, caller):
        """Read a response, chunked or with a length; return head, body and whether it was complete."""
        head = (await caller.reader.readuntil(b"\r\n\r\n")).decode()
        body, whole = b"", False
        try:
            if "chunked" in head:
                while size := int((await caller.reader.readuntil(b"\r\n"))[:-2], 16):
                    body += (await caller.reader.readexactly(size + 2))[:-2]
                whole = await caller.reader.readexactly(2) == b"\r\n"
            else:
                length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
                body = await caller.reader.readexactly(length)
                whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        return head, body, whole

    async def test_long_responses_of_every_framing_arrive_complete_and_connections_are_reused(self):
        caller = await self.start_proxy(SocketHost(SIZED, CHUNKED, (TO_THE_END,), SIZED, OK))
        self.set_reuse_delay(0)
        for _ in range(4):
            caller.send_request("submit")
            head, body, whole = await self.read_response(caller)
            self.assertIn(" 200 ", head)
            self.assertEqual((body == LONG, whole, "Connection" in head), (True, True, False))
        self.assertEqual(await caller.status(profile="submit"), 200)
        self.assertEqual(len(self.hosts[0].writers), 2)
        self.assertEqual(self.log.failed_attempts(), [])

    async def test_a_response_of_any_size_that_arrives_in_one_read_has_its_body(self):
        """A response whose streaming began and ended in one read lost its body: 8 of 556 responses."""
        sizes = [n + more for n in (4_096, 8_192, 16_384, 65_536) for more in (-40, -1, 0, 1, 40)]
        responses = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n1\r\n!\r\n0\r\n\r\n"
            % (size, LONG[:size])
            for size in sizes
        ]
        caller = await self.start_proxy(SocketHost(*responses))
        for size in sizes:
            caller.send_request("submit")
            _, body, whole = await self.read_response(caller)
            self.assertEqual((body, whole), (LONG[:size] + b"!", True), size)

    async def test_a_response_that_breaks_off_is_not_taken_for_complete(self):
        """Cases: shorter than its length, the last chunk missing, a malformed chunk."""
        chunks = CHUNKED[:-12]
        caller = await self.start_proxy(SocketHost((SIZED[:-5],), (chunks,), chunks + b"zz\r\n"))
        for _ in range(3):
            caller.send_request("submit")
            _, _, whole = await self.read_response(caller)
            self.assertFalse(whole)
            caller = await self.connect()

    async def test_a_client_that_does_not_read_stalls_only_its_host_and_is_closed(self):
        first, second = await self.start_proxy(SocketHost(SILENT), SocketHost(SILENT)), await self.connect()
        first.send_request("submit")
        await asyncio.wait(
            [asyncio.ensure_future(h.received.get()) for h in self.hosts], return_when=asyncio.FIRST_COMPLETED
        )
        with unittest.mock.patch("basalthook.bodies.forwarder.STALL_TIMEOUT_S", 0.5):
            (writer,) = (w for h in self.hosts for w in h.writers)
            first.writer.transport.pause_reading()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + b"x" * 50_000_000)
            for host in self.hosts:
                host.replies = [OK]
            self.assertEqual(await second.status(key="k2", profile="submit"), 200)
            await asyncio.wait_for(self.wait_until(lambda: len(self.service.clients.open_clients) == 1), 10)
        self.assertEqual(len(self.service.dispatcher.transactions), 0)

    async def test_a_client_that_disconnects_ends_its_hosts_connection(self):
        caller = await self.start_proxy(SocketHost(SIZED[:-1000]))
        caller.send_request("submit")
        await caller.reader.readuntil(b"\r\n\r\n")
        await caller.stop()
        self.assertTrue(await self.hosts[0].disconnects.get())

    async def test_long_request_bodies_reach_every_attempted_host_complete(self):
        refused = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
        caller = await self.start_proxy(SocketHost(refused, OK), SocketHost())
        for n in range(6):
            chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG)
            caller.writer.write(HEAD % b"b%d" % n + (chunked if n % 2 else SENT))
            self.assertEqual((await caller.read_response())[0], 200)
        bodies = [host.received.get_nowait()[1] for host in self.hosts for _ in range(host.received.qsize())]
        self.assertEqual(len(bodies), 7)  # one attempt was refused
        self.assertEqual({hashlib.sha256(body).digest() for body in bodies}, {hashlib.sha256(LONG).digest()})
        self.assertEqual(self.service.clients.body_memory.in_use, 0)

    async def test_bodies_wait_for_memory_in_order_and_without_any_are_rolled_back(self):
        first, second = await self.start_proxy(SocketHost()), await self.connect()
        self.service.clients.body_memory.capacity = 4_000_000

        def begin(caller, n, count):
            caller.writer.write(HEAD % b"w%d" % n + SENT[:count])

        begin(first, 1, 100_000)
        await self.wait_until(lambda: self.service.clients.body_memory.in_use)
        begin(second, 2, len(SENT))
        await self.wait_until(lambda: self.service.clients.body_memory.waiting)
        first.writer.write(SENT[100_000:])
        for caller in (first, second):
            self.assertEqual((await caller.read_response())[0], 200)
        begin(first, 3, 100_000)
        await self.wait_until(lambda: self.service.clients.body_memory.in_use)
        with unittest.mock.patch("basalthook.routing.request_body.MAX_WAIT_TICKS", 200):
            begin(second, 4, 100_000)
            self.assertEqual((await second.read_response())[0], 503)
        await first.stop()
        await self.wait_until(lambda: not self.service.clients.body_memory.in_use)

    async def fill_memory(self, capacity, received):
        """Let a body that begins to arrive and then stops take all the memory; return its client."""
        slow = await self.connect()
        self.service.clients.body_memory.capacity = in_pages(capacity)  # bodies take whole pages
        slow.writer.write(HEAD % b"slow" + b"Content-Length: %d\r\n\r\n" % capacity + LONG[:received])
        memory = self.service.clients.body_memory
        await self.wait_until(lambda: [r for r in memory.reservations if r.received == received])
        return slow

    async def test_a_body_that_gets_no_memory_is_refused_within_its_requests_time(self):
        # it was refused after 4 s, whatever time its request had
        caller = await self.start_proxy(SocketHost())
        await self.fill_memory(400_000, 390_000)
        begun = asyncio.get_running_loop().time()
        caller.send_request("submit", timeout="0.6", body=b"b" * 70_000)
        status, _, head = await caller.read_response()
        self.assertEqual((status, "Retry-After" in head), (503, True))
        self.assertLess(asyncio.get_running_loop().time() - begun, 0.6)
        self.assertEqual(
            [line["reason"] for line in self.log.lines if line["event"] == "no memory"],
            ["no memory in its time"],
        )

    async def test_a_body_for_which_the_system_has_no_memory_is_refused(self):
        """Its connection was closed without an answer, as mmap(2) failed with ENOMEM."""
        caller = await self.start_proxy(SocketHost())
        no_memory = OSError(errno.ENOMEM, "Cannot allocate memory")
        with unittest.mock.patch("basalthook.transport.buffers.mmap.mmap", side_effect=no_memory):
            caller.writer.write(HEAD % b"big" + SENT)
            status, _, head = await caller.read_response()
        self.assertEqual((status, "Retry-After" in head), (503, True))
        self.assertEqual((self.hosts[0].received.qsize(), self.service.memory.bodies.in_use), (0, 0))
        other = await self.connect()
        other.writer.write(HEAD % b"next" + SENT)
        self.assertEqual((await other.read_response())[0], 200)

    async def test_the_time_of_a_request_runs_while_its_body_waits_for_memory(self):
        # what lay in the client's own system counted as sent after the wait: answered late by as long
        caller = await self.start_proxy(SocketHost(SILENT))
        slow = await self.fill_memory(600_000, 590_000)
        begun = asyncio.get_running_loop().time()
        caller.send_request("submit", timeout="1.2", body=b"b" * 500_000)
        await self.wait_until(lambda: self.service.clients.body_memory.waiting)
        self.assertEqual(caller.writer.transport.get_write_buffer_size(), 0)  # its last byte is written
        await asyncio.sleep(0.4)
        await slow.stop()
        self.assertEqual((await caller.read_response())[0], 504)
        self.assertLess(asyncio.get_running_loop().time() - begun, 1.4)
        self.assertEqual(len(self.log.failed_attempts()), 1)

    async def test_a_wait_for_memory_is_not_taken_for_a_late_process(self):
        # the body was shed once it had its memory, and requests after it as well
        caller = await self.start_proxy(SocketHost())
        slow = await self.fill_memory(400_000, 390_000)
        caller.send_request("submit", timeout="2.0", body=b"b" * 70_000)
        await self.wait_until(lambda: self.service.clients.body_memory.waiting)
        await asyncio.sleep(0.8)
        await slow.stop()
        self.assertEqual((await caller.read_response())[0], 200)
        admission = self.service.clients.admission
        self.assertEqual(admission.shed_count, 0)
        self.assertLess(admission.mean_wait, admission.service_goal * EWMA_WEIGHT / 2)

    async def test_a_client_that_expects_100_continue_gets_it_after_a_wait_for_memory(self):
        # client and proxy waited for each other until the client was sent away with 408
        caller = await self.start_proxy(SocketHost())
        slow = await self.fill_memory(400_000, 390_000)
        caller.writer.write(HEAD % b"e" + b"Expect: 100-continue\r\nContent-Length: 70000\r\n\r\n")
        await self.wait_until(lambda: self.service.clients.body_memory.waiting)
        await slow.stop()
        self.assertEqual(await caller.reader.readuntil(b"\r\n\r\n"), b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.writer.write(b"b" * 70_000)
        self.assertEqual((await caller.read_response())[0], 200)

    async def test_a_body_that_waits_for_memory_at_sigterm_is_answered_before_the_end(self):
        # with much time it waited on, and its connection was closed with no answer
        profile = {**SETTINGS["profiles"][0], "name": "submit", "hard_limit_ns": 500_000_000}
        caller = await self.start_proxy(SocketHost(), profiles=[profile])
        memory = self.service.clients.body_memory
        busy = memory.begin(int, int)
        self.assertTrue(busy.reserve(memory.capacity))
        busy.mark_complete()
        caller.send_request("submit", timeout="8", body=b"b" * 70_000)
        await self.wait_until(lambda: memory.waiting)
        await self.service.end(self.listener)
        self.assertEqual((await caller.read_response())[0], 503)
        busy.release()

    async def test_memory_reserved_for_a_body_that_has_not_arrived_serves_others(self):
        # slow bodies held memory that they had not used, and others were refused
        caller = await self.start_proxy(SocketHost())
        slow = await self.fill_memory(len(LONG), 100_000)
        begun = asyncio.get_running_loop().time()
        self.assertEqual(await caller.status(profile="submit", timeout="0.6", body=b"b" * 70_000), 200)
        self.assertLess(asyncio.get_running_loop().time() - begun, 0.6)
        slow.writer.write(LONG[100_000:])
        self.assertEqual((await slow.read_response())[0], 200)
        self.assertEqual(self.service.clients.body_memory.in_use, 0)

    async def test_while_others_wait_slow_bodies_keep_half_of_the_memory(self):
        # slow clients kept all others out for as long as they sent
        caller = await self.start_proxy(SocketHost())
        slow = []
        for n in range(4):
            slow.append(await self.connect())
            slow[-1].writer.write(HEAD % b"slow%d" % n + b"Content-Length: 200000\r\n\r\n" + LONG[:190_000])
        memory = self.service.clients.body_memory
        await self.wait_until(lambda: sum(r.received for r in memory.reservations) == 4 * 190_000)
        memory.capacity = 4 * 200_000
        await asyncio.sleep(SLOW_AFTER_S)
        self.assertEqual(await caller.status(profile="submit", timeout="0.6", body=b"b" * 70_000), 200)
        self.assertEqual((await slow[3].read_response())[0], 503)  # the one that began last
        for client in slow[:3]:
            client.writer.write(LONG[190_000:200_000])
            self.assertEqual((await client.read_response())[0], 200)

    async def test_a_body_that_is_evicted_as_it_grows_is_refused_and_nothing_else(self):
        # an exception closed its connection with no answer
        caller = await self.start_proxy(SocketHost())
        memory = self.service.clients.body_memory
        memory.capacity = 3 * GROWTH_BYTES
        chunk = b"%x\r\n%b\r\n" % (200_000, LONG[:200_000])
        slow = [await self.connect() for _ in range(3)]
        for n, client in enumerate(slow):
            client.writer.write(HEAD % b"slow%d" % n + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
            await self.wait_until(
                lambda n=n: [r.received for r in memory.reservations] == [200_000] * (n + 1)
            )
        with unittest.mock.patch("basalthook.bodies.memory.RETRY_INTERVAL_S", 60):
            await asyncio.sleep(SLOW_AFTER_S * 0.7)
            caller.send_request("submit", body=b"b" * 70_000)
            await self.wait_until(lambda: memory.waiting)
            await asyncio.sleep(SLOW_AFTER_S * 0.5)
            slow[2].writer.write(chunk)
            self.assertEqual((await slow[2].read_response())[0], 503)
            self.assertEqual((await caller.read_response())[0], 200)

    async def test_the_memory_of_a_body_is_free_before_another_one_gets_it(self):
        # review/9: the bytes outlived their reservation, and what others had got meanwhile came on top
        first, second = await self.start_proxy(SocketHost(SILENT, OK)), await self.connect()
        memory = self.service.clients.body_memory
        memory.capacity = in_pages(len(LONG))
        first.writer.write(HEAD % b"f1" + SENT)
        await self.hosts[0].received.get()
        (body,) = [client.body for client in self.service.clients.open_clients if client.body]
        second.writer.write(HEAD % b"f2" + SENT)
        await self.wait_until(lambda: memory.waiting)
        held, grant_waiting = [], memory.grant_waiting

        def grant(**options):
            held.append(len(body.data.segments))
            grant_waiting(**options)

        memory.grant_waiting = grant
        self.hosts[0].writers[0].write(OK)
        for caller in (first, second):
            self.assertEqual((await caller.read_response())[0], 200)
        self.assertEqual((body.data.released, held[0]), (True, 0))

    async def test_memory_of_a_body_that_admission_control_sheds_is_released(self):
        caller = await self.start_proxy(SocketHost())
        with unittest.mock.patch.object(self.service.clients.admission, "admit", return_value=False):
            caller.writer.write(HEAD % b"d" + SENT)
            self.assertEqual((await caller.read_response())[0], 503)
        self.assertEqual(
            (self.service.clients.body_memory.in_use, len(self.service.clients.open_clients)), (0, 1)
        )

    async def test_a_slow_body_is_accepted_and_one_that_stops_is_not(self):
        with unittest.mock.patch("basalthook.routing.client_connection.READ_TIMEOUT_S", 0.2):
            caller = await self.start_proxy(SocketHost())
            caller.writer.write(HEAD % b"s1" + b"Content-Length: 375000\r\n\r\n")
            for at in range(0, 375_000, 37_500):
                caller.writer.write(LONG[at : at + 37_500])
                await asyncio.sleep(0.1)
            self.assertEqual((await caller.read_response())[0], 200)
            caller.writer.write(HEAD % b"s2" + SENT[:200_000])
            self.assertEqual((await caller.read_response())[0], 408)
        self.assertEqual(self.service.clients.body_memory.in_use, 0)


class StreamedBodies(unittest.TestCase):
    @given(st.integers(0, 200), st.lists(st.integers(1, 60), max_size=12), st.booleans())
    def test_a_streamed_body_is_the_same_however_it_is_split(self, size, cuts, chunked):
        body = bytes(n % 251 for n in range(size))
        head = b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"Content-Length: %d\r\n\r\n" % size
        text = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:7], body[7:90], body[90:]) if p)
        whole = b"HTTP/1.1 200 OK\r\n" + head + (text + b"0\r\n\r\n" if chunked else body)
        parser, received, at = Parser(True, max_body=50, streaming=True), bytearray(), 0
        for cut in [*cuts, len(whole)]:
            parser.feed(whole[at : at + cut])
            at += cut
            if parser.streamed_head is not None:
                received += parser.take_body()
        self.assertIsInstance(parser.result, Message)
        self.assertEqual(
            (parser.streamed_head is not None, bytes(received) + parser.result.body), (size > 50, body)
        )


# steps of (body, units, ticks) after which giving up one body that waits evicts another one
ONE_WAITING_BODY_EVICTS_ANOTHER = [
    (0, 1, 0),
    (0, 1, 0),
    (0, 1, 0),
    (0, 1, 0),
    (0, 14, 0),
    (0, 29, 0),
    (1, 25, 0),
    (3, 1, 0),
    (3, 21, 0),
    (8, 29, 0),
    (9, 5, 0),
    (0, 1, 8),
    (0, 8, 2),
    (1, 29, 0),
    (0, 29, 0),
    (1, 26, 0),
    (1, 29, 0),
    (2, 5, 1),
    (1, 23, 0),
    (0, 29, 7),
]


class MemoryBudget(unittest.TestCase):
    def setUp(self):
        self.now = 0  # ticks of 0.1 ms

    def memory(self, capacity):
        timers = Timers(lambda: self.now, 10_000, lambda *_: unittest.mock.Mock())
        return BodyMemory(capacity, timers)

    @staticmethod
    def begin(memory, on_granted=int, on_evicted=int):
        return memory.begin(on_granted, on_evicted)

    @given(st.lists(st.integers(1, 60), max_size=20), st.randoms(use_true_random=False))
    def test_the_capacity_is_not_exceeded_and_requests_are_granted_in_order(self, requests, random_source):
        memory, granted, served = self.memory(60 * UNIT), [], []

        def grant(n, reservation):
            reservation.mark_complete()
            granted.append(reservation)
            served.append(n)

        for n, count in enumerate(requests):
            reservation = self.begin(memory)
            reservation.on_granted = partial(grant, n, reservation)
            if reservation.reserve(count * UNIT):
                grant(n, reservation)
            self.assertEqual(memory.in_use, sum(r.held for r in granted))
            self.assertLessEqual(memory.in_use, 60 * UNIT)
            if granted and random_source.random() < 0.5:
                granted.pop(random_source.randrange(len(granted))).release()
        while granted:
            granted.pop().release()
        small = [n for n, count in enumerate(requests) if count * UNIT <= GROWTH_BYTES]
        for kind in (set(small), set(range(len(requests))) - set(small)):
            self.assertEqual([n for n in served if n in kind], sorted(kind))
        self.assertEqual((memory.in_use, memory.reservations, memory.waiting), (0, {}, {}))

    def test_small_reservations_need_not_wait_behind_a_larger_one(self):
        # a body longer than all free memory kept shorter ones out that would have fitted
        memory = self.memory(60 * UNIT)
        first, large, small = (self.begin(memory) for _ in range(3))
        self.assertTrue(first.reserve(50 * UNIT))
        first.mark_complete()
        self.assertFalse(large.reserve(20 * UNIT))
        self.assertTrue(small.reserve(2 * UNIT))
        self.assertEqual(list(memory.waiting), [large])

    def test_nobody_is_evicted_for_a_body_that_would_not_fit_even_then(self):
        memory, evicted = self.memory(60 * UNIT), []
        for n in range(10):
            slow = self.begin(memory, on_evicted=partial(evicted.append, n))
            self.assertTrue(slow.reserve(6 * UNIT))
            slow.received = 6 * UNIT - 1
        self.now = 30_000
        self.assertFalse(self.begin(memory).reserve(40 * UNIT))
        self.assertEqual(evicted, [])
        self.assertFalse(self.begin(memory).reserve(31 * UNIT))
        self.assertTrue(self.begin(memory).reserve(GROWTH_BYTES))
        self.assertEqual(evicted, [9])

    def test_a_body_that_is_evicted_while_it_reserves_more_does_not_get_it(self):
        # it went on without memory: for one that waited before it, its own was taken back
        memory, evicted, granted = self.memory(60 * UNIT), [], []
        bodies = [self.begin(memory, on_evicted=partial(evicted.append, n)) for n in range(6)]
        for body in bodies:
            self.assertTrue(body.reserve(10 * UNIT))
            body.received = 10 * UNIT
        self.assertFalse(self.begin(memory, partial(granted.append, 6)).reserve(5 * UNIT))
        self.now = 30_000  # all but the one that waits are slow
        self.assertFalse(bodies[5].reserve(11 * UNIT))
        self.assertEqual((evicted, granted, bodies[5].held), ([5], [6], 0))

    def test_a_body_that_waits_for_more_than_a_lowered_capacity_is_given_up_at_once(self):
        # it waited out its time for memory that could not come, and others waited behind it
        memory, evicted, granted = self.memory(60 * UNIT), [], []
        first = self.begin(memory)
        self.assertTrue(first.reserve(50 * UNIT))
        first.mark_complete()
        for count in (40, 20):
            reservation = self.begin(memory, partial(granted.append, count), partial(evicted.append, count))
            self.assertFalse(reservation.reserve(count * UNIT))
        memory.set_capacity(30 * UNIT)
        self.assertEqual((evicted, granted), ([40], []))
        first.release()
        self.assertEqual((evicted, granted), ([40], [20]))

    def test_a_raised_capacity_is_granted_at_once(self):
        # it was granted only when another body was finished
        memory, granted = self.memory(10 * UNIT), []
        first, second = self.begin(memory), self.begin(memory, partial(granted.append, 1))
        self.assertTrue(first.reserve(10 * UNIT))
        first.mark_complete()
        self.assertFalse(second.reserve(5 * UNIT))
        memory.set_capacity(20 * UNIT)
        self.assertEqual(granted, [1])

    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 30), st.integers(0, 20)), max_size=60))
    @example(ONE_WAITING_BODY_EVICTS_ANOTHER)
    def test_what_is_held_adds_up_and_slow_bodies_never_keep_small_ones_out(self, steps):
        memory, bodies = self.memory(60 * UNIT), {}
        for number, units, ticks in steps:
            self.now += ticks * 1_000
            body = bodies.get(number)
            if body is None:
                body = bodies[number] = self.begin(memory, on_evicted=partial(bodies.pop, number))
            if body.waiting_since is None and number in bodies:
                body.received += units * UNIT // 8
                body.reserve(body.needed(max(units * UNIT, body.received)))
            if number in bodies and units == 30:
                bodies.pop(number).release()
            self.assertEqual(memory.in_use, sum(r.held for r in memory.reservations))
            self.assertLessEqual(memory.in_use, 60 * UNIT)
            self.assertEqual(set(memory.reservations), set(bodies.values()))
        while memory.waiting:  # their owners don't wait for ever
            body = next(iter(memory.waiting))
            body.on_evicted()
            body.release()  # may evict another one that waits
        self.now += 1_000_000  # all that are left are slow
        small = self.begin(memory)
        self.assertTrue(small.reserve(GROWTH_BYTES))
        for body in [small, *bodies.values()]:
            body.release()
        self.assertEqual((memory.in_use, memory.reservations, memory.waiting), (0, {}, {}))
