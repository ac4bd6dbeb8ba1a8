"""Memory held for peers, by account: what is counted, and who gives way when there is not enough."""

import asyncio
import socket
import unittest
from random import Random
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from basalthook.bodies.account import MIN_READ_BYTES, READ_SHARE, MemoryAccount
from basalthook.program import process_memory
from basalthook.program.startup import DEFAULT_MEMORY_MB, PROGRAM_MEMORY_MB, memory_limits
from basalthook.transport import buffers, socket_buffers
from tests.fake import OK, SILENT, SocketHost
from tests.loopback import Loopback

MIB = 2**20
LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"a" * 60_000
SLOW_READER_BUFFER_BYTES = 4096
UNREAD_CLIENTS = 10
UNKNOWN_ADVICE = 9_999  # madvise(2) answers EINVAL


class Accounts(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5_000)), max_size=60))
    def test_what_is_in_use_is_what_all_holders_hold(self, steps):
        account, held = MemoryAccount(10_000), {}
        for holder, count in steps:
            held[holder] = account.change(held.get(holder, 0), count)
            self.assertEqual(account.in_use, sum(held.values()))
            self.assertEqual(account.is_exceeded(), account.in_use > 10_000)
        self.assertGreaterEqual(account.peak, account.in_use)

    def test_reads_shrink_with_what_is_free_so_that_many_together_stay_within_it(self):
        account = MemoryAccount(100_000)
        for _ in range(400):  # peers that each send as much as one read takes
            account.change(0, account.read_size(16_384))
        self.assertLessEqual(account.in_use, account.capacity + 400 * MIN_READ_BYTES)
        self.assertEqual(MemoryAccount(100_000).read_size(16_384), 100_000 // READ_SHARE)

    def test_the_parts_of_the_memory_fit_in_it_and_none_is_nothing(self):
        for memory_mb in (1, 32, DEFAULT_MEMORY_MB, 192, 2_048):
            for sockets in (64, 1_024, 2**20):
                limits = memory_limits(memory_mb, sockets)
                self.assertGreater(min(limits), 64 * 1024)
                self.assertLessEqual(sum(limits), max(2, memory_mb - PROGRAM_MEMORY_MB) * MIB)

    def test_the_resident_memory_is_told(self):
        self.assertGreater(process_memory.resident_mib(), 1)
        self.assertGreaterEqual(process_memory.peak_mib() + 1, process_memory.resident_mib())


class Mapped(unittest.TestCase):
    @given(st.lists(st.binary(max_size=9_000), max_size=12), st.booleans())
    def test_what_was_appended_is_what_is_written(self, pieces, length_known):
        whole = b"".join(pieces)
        with mock.patch.object(buffers, "FIRST_SEGMENT_BYTES", 4_096):
            buffer = buffers.MappedBuffer(len(whole) if length_known else None)
            for piece in pieces:
                buffer.append(piece)
        self.assertEqual((len(buffer), b"".join(buffer.parts())), (len(whole), whole))
        self.assertTrue(length_known or len(buffer.segments) > 1 or len(whole) <= 4_096)
        buffer.release()
        with self.assertRaises(ValueError):  # never taken for an empty body
            buffer.parts()

    def test_a_kernel_without_huge_pages_serves_long_bodies_as_well(self):
        with mock.patch.object(buffers, "NO_HUGE_PAGES", UNKNOWN_ADVICE):
            buffer = buffers.MappedBuffer(10_000)
            buffer.append(b"x" * 10_000)
        self.assertEqual(len(buffer), 10_000)

    def test_memory_of_bodies_of_many_sizes_goes_back_to_the_system_at_once(self):
        # review/9: the allocator kept what bodies of other sizes had left behind
        random_source, held = Random(1), []
        before = process_memory.resident_mib()
        for _ in range(120):
            size = random_source.choice((300_000, 1_000_000, 4_000_000))
            if len(held) > 8:
                held.pop(random_source.randrange(len(held))).release()
            held.append(buffers.MappedBuffer(size if random_source.random() < 0.7 else None))
            for _ in range(0, size, 16_384):
                held[-1].append(bytes(16_384))
            taken = process_memory.resident_mib() - before
            self.assertLess(taken, sum(map(len, held)) / MIB + 2)
        for buffer in held:
            buffer.release()
        self.assertLess(process_memory.resident_mib() - before, 2)


class Connections(Loopback):
    async def test_of_heads_that_never_end_the_largest_gives_way_and_whole_requests_are_served(self):
        callers = [await self.start_proxy(SocketHost())] + [await self.connect() for _ in range(7)]
        account = self.service.memory.requests
        account.capacity = 20_000
        for size, caller in enumerate(callers):
            caller.writer.write(b"GET /view HTTP/1.1\r\nHost: s\r\nA: " + b"a" * 1_000 * (size + 1))
            await asyncio.sleep(0.01)
        await self.wait_until(lambda: self.service.clients.evicted["requests"])
        self.assertLessEqual(account.in_use, account.capacity)
        self.assertIn(b"408", await callers[-1].reader.read())
        self.assertEqual(await (await self.connect()).status(), 200)
        for caller in callers:
            await caller.stop()
        await self.wait_until(lambda: not account.in_use)

    async def test_requests_sent_ahead_are_counted_until_they_are_answered(self):
        caller = await self.start_proxy(SocketHost(SILENT))
        for _ in range(20):
            caller.send_request(more="X: " + "x" * 400 + "\r\n")
        account = self.service.memory.requests
        await self.hosts[0].received.get()
        self.assertGreater(account.in_use, 400)
        self.hosts[0].replies = [OK]
        (writer,) = self.hosts[0].writers
        writer.write(OK)
        for _ in range(20):
            self.assertEqual((await caller.read_response())[0], 200)
        await self.wait_until(lambda: not account.in_use)

    async def test_the_buffers_of_the_kernel_are_bounded_at_clients_and_hosts(self):
        caller = await self.start_proxy(SocketHost(SILENT))
        caller.send_request()
        await self.hosts[0].received.get()
        (client,) = self.service.clients.open_clients
        (attempt,) = next(iter(self.service.dispatcher.transactions.values())).attempts
        for connection, size in (
            (client.connection, socket_buffers.CLIENT_BUFFER_BYTES),
            (attempt.connection, socket_buffers.HOST_BUFFER_BYTES),
        ):
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                set_size = connection.stream.socket.getsockopt(socket.SOL_SOCKET, option)
                self.assertLessEqual(set_size, 2 * size)  # the kernel doubles it
        self.hosts[0].writers[0].write(OK)
        self.assertEqual((await caller.read_response())[0], 200)

    async def test_of_answers_that_are_not_read_the_largest_gives_way(self):
        slow = await self.start_proxy(SocketHost(LONG_ANSWER))
        account = self.service.memory.responses
        slow.writer.transport.pause_reading()
        for _ in range(200):
            slow.send_request()
        await self.wait_until(lambda: self.service.clients.response_memory.in_use > 1_000)
        account.capacity = 1_000
        for _ in range(UNREAD_CLIENTS):  # each holds the rest of one read of 512 bytes at most
            other = await self.connect()
            other.writer.transport.pause_reading()
            for _ in range(200):
                other.send_request()
        await self.wait_until(lambda: self.service.clients.evicted["responses"])
        self.assertLessEqual(account.in_use, account.capacity)


if __name__ == "__main__":
    unittest.main()
