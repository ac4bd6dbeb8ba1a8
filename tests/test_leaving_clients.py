"""Clients that leave: nothing is sent for them any more, and nothing they sent runs a second time."""

import asyncio
import contextlib
import os
import socket
import tempfile
import unittest

from basalthook.policy import interface
from basalthook.routing.client_connection import READ_AHEAD_BYTES
from basalthook.routing.request_ids import BUCKETS, MEMORY_NS, SLOTS, TABLE_BYTES, RequestIds
from tests.fake import OK, SILENT, SocketHost
from tests.loopback import Loopback

TURNED_AWAY = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
TURN_AWAY_DELAY_S = 0.4
LEAVES_AFTER_S = 0.2
ANSWERED_BY_S = 3.0


def request(number, method="GET", body=b"", timeout=2.0):
    """Return the bytes of a request with this id."""
    name = "view" if method == "GET" else "submit"
    head = f"{method} /{name} HTTP/1.1\r\nHost: s\r\nRequest-Id: r{number}\r\nRequest-Timeout: {timeout}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class LateHost(SocketHost):
    """Turns the first request away late, and serves all others at once."""

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", 0)))
                first = not self.first_seen.is_set()
                self.first_seen.set()
                self.received.put_nowait(fields["request-id"])
                if first:
                    await asyncio.sleep(TURN_AWAY_DELAY_S)
                writer.write(TURNED_AWAY if first else OK)


class ClosesBehindUnreadBytes(Loopback):
    async def attempts_after_leaving(self, ahead, leaves=True, later=()):
        """The ids that hosts got; the client leaves while the first host keeps its request waiting.

        `later`: what it sends piece by piece before it leaves.
        """
        hosts = LateHost(), LateHost()
        hosts[0].first_seen = hosts[1].first_seen = asyncio.Event()
        await self.start_proxy(*hosts)
        sock = socket.socket()
        sock.setblocking(False)
        self.addCleanup(sock.close)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.listener.address)
        sending = asyncio.create_task(loop.sock_sendall(sock, request(0) + b"".join(ahead)))
        await hosts[0].first_seen.wait()
        await asyncio.sleep(LEAVES_AFTER_S / 2)
        for piece in later:
            await sending
            sending = asyncio.create_task(loop.sock_sendall(sock, piece))
            await asyncio.sleep(LEAVES_AFTER_S / 8)
        await asyncio.sleep(LEAVES_AFTER_S / 4)
        self.assertTrue(sending.done(), "the test's own kernel buffer is too small")
        answers = b""
        if leaves:
            sock.close()
            await asyncio.sleep(TURN_AWAY_DELAY_S + 0.3)
        else:
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(ANSWERED_BY_S):
                    while answers.count(b"HTTP/1.1 ") <= len(ahead) and (
                        data := await loop.sock_recv(sock, 65_536)
                    ):
                        answers += data
        self.unsent = dict(self.service.attempts.refusal_counts)
        ids = [host.received.get_nowait() for host in hosts for _ in range(host.received.qsize())]
        return ids, answers

    async def test_nothing_is_sent_for_a_client_that_left_behind_short_requests(self):
        ids, _ = await self.attempts_after_leaving([request(n) for n in range(1, 20)])
        self.assertEqual(ids, ["r0"])

    async def test_nothing_is_sent_for_a_client_that_left_behind_requests_of_1_kb(self):
        ids, _ = await self.attempts_after_leaving([request(n, "POST", b"x" * 1_000) for n in range(1, 500)])
        self.assertEqual((ids, self.unsent), (["r0"], {interface.CLIENT_GONE: 1}))

    async def test_nothing_is_sent_for_a_client_that_left_behind_requests_of_60_kb(self):
        ids, _ = await self.attempts_after_leaving([request(n, "POST", b"x" * 60_000) for n in range(1, 10)])
        self.assertEqual((ids, self.unsent), (["r0"], {interface.CLIENT_GONE: 1}))

    async def test_nothing_is_sent_for_a_client_that_left_behind_bytes_that_came_once_reading_had_paused(
        self,
    ):
        ahead = [request(n, "POST", b"x" * 1_000) for n in range(1, 70)]
        piece = READ_AHEAD_BYTES - len(ahead[0])  # one request less than what pauses reading
        whole = b"".join(ahead)
        later = whole[piece : piece + 2 * len(ahead[0])], whole * 8
        ids, _ = await self.attempts_after_leaving([whole[:piece]], later=later)
        self.assertEqual(ids, ["r0"])

    async def test_a_client_that_stays_gets_an_answer_to_each_request_sent_ahead(self):
        ids, answers = await self.attempts_after_leaving([request(n) for n in range(1, 40)], leaves=False)
        self.assertEqual((answers.count(b"200 OK"), len(set(ids))), (40, 40))

    async def test_a_client_that_stays_behind_more_than_is_read_ahead_is_told_to_come_again(self):
        ahead = [request(n, "POST", b"x" * 60_000) for n in range(1, 10)]
        ids, answers = await self.attempts_after_leaving(ahead, leaves=False)
        self.assertEqual(ids, ["r0"])  # whether the client is still there can't be told
        self.assertIn(b"503", answers.split(b"\r\n")[0])
        self.assertIn(b"Connection: close", answers)


class IdsThatComeAgain(Loopback):
    async def send_and_leave(self, reply, method="POST"):
        """A client sends a request and leaves once a host has it."""
        await self.start_proxy(SocketHost(reply), SocketHost(reply))
        first = await self.connect()
        first.writer.write(request(0, method))
        await self.wait_until(lambda: self.count_attempts() == 1)
        await first.stop()
        await asyncio.sleep(0.05)

    def count_attempts(self):
        return sum(host.received.qsize() for host in self.hosts)

    async def send_again(self, method="POST"):
        again = await self.connect()
        again.writer.write(request(0, method))
        return (await again.read_response())[0]

    async def test_an_unsafe_request_runs_once_though_its_id_comes_again_after_its_client_left(self):
        await self.send_and_leave(SILENT)
        self.assertEqual((await self.send_again(), self.count_attempts()), (409, 1))

    async def test_a_safe_request_may_come_again(self):
        await self.send_and_leave(SILENT, "GET")
        for host in self.hosts:
            host.replies = [OK]
        self.assertEqual((await self.send_again("GET"), self.count_attempts()), (200, 2))

    async def test_an_unsafe_request_that_no_host_began_may_come_again(self):
        caller = await self.start_proxy(SocketHost(TURNED_AWAY), SocketHost(TURNED_AWAY))
        caller.writer.write(request(0, "POST"))
        self.assertEqual((await caller.read_response())[0], 503)
        for host in self.hosts:
            host.replies = [OK]
        statuses = [503]
        while statuses[-1] == 503:  # until a safe request has shown that the hosts' backoff is over
            await asyncio.sleep(0.1)
            await (await self.connect()).status()
            statuses.append(await self.send_again())
        self.assertEqual(statuses[-1], 200)


class ForwardedIds(unittest.TestCase):
    def setUp(self):
        self.now = MEMORY_NS

    def ids(self):
        return RequestIds(lambda: self.now)

    def test_ids_are_known_for_their_time_unless_no_host_began_them(self):
        ids = self.ids()
        for name in ("a", "b", "\u00ff" * 16_000):
            ids.note(name)
            self.assertIn(name, ids)
        ids.forget("b")
        self.assertNotIn("b", ids)
        self.now += MEMORY_NS
        self.assertNotIn("a", ids)

    def test_the_table_does_not_grow_and_keeps_the_newest(self):
        ids = self.ids()
        for number in range(4 * BUCKETS * SLOTS):
            self.now += 1
            ids.note(f"id{number}")
        self.assertEqual(len(ids.table), TABLE_BYTES)
        newest = range(4 * BUCKETS * SLOTS - BUCKETS, 4 * BUCKETS * SLOTS)
        self.assertTrue(all(f"id{number}" in ids for number in newest))

    def test_processes_share_a_file_and_a_folder_that_is_none_is_an_error(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "ids")
            one, other = self.ids(), self.ids()
            self.assertEqual((one.share(path), other.share(path)), ("", ""))
            one.note("a")
            self.assertIn("a", other)
            other.forget("a")
            self.assertNotIn("a", one)
            alone = self.ids()
            self.assertIn("cannot open", alone.share(os.path.join(folder, "none", "ids")))
            alone.note("b")
            self.assertIn("b", alone)
