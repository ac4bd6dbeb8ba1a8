"""Bodies of any size on loopback: collected within a bound, passed on in pieces, cut off so that it shows."""

import asyncio
import hashlib
import random
import unittest
import unittest.mock

from hypothesis import given
from hypothesis import strategies as st

from basalthook.bodies.room import Room
from basalthook.protocol.http1 import Message, Parser
from tests.fake import OK, SILENT, SocketHost
from tests.loopback import Loopback

LONG = random.Random(5).randbytes(3_000_000)
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%b\r\n0\r\nT: 1\r\n\r\n" % (
    len(LONG),
    LONG,
)
TO_THE_END = b"HTTP/1.1 200 OK\r\n\r\n" + LONG
HEAD = b"POST /submit HTTP/1.1\r\nHost: s\r\nRequest-Id: %b\r\nRequest-Timeout: 2\r\n"
SENT = b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG


class Bodies(Loopback):
    async def read_on(self, caller):
        """Head, body and whether it was whole, of an answer in chunks or of its own length."""
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

    async def test_long_answers_of_every_form_come_whole_and_their_connections_are_used_again(self):
        caller = await self.play(SocketHost(SIZED, CHUNKED, (TO_THE_END,), SIZED, OK))
        self.settled(0)
        for _ in range(4):
            caller.send_request("submit")
            head, body, whole = await self.read_on(caller)
            self.assertIn(" 200 ", head)
            self.assertEqual((body == LONG, whole, "Connection" in head), (True, True, False))
        self.assertEqual(await caller.status(profile="submit"), 200)
        self.assertEqual(len(self.hosts[0].writers), 2)
        self.assertEqual(self.log.hops(), [])

    async def test_an_answer_of_any_size_that_comes_in_one_read_has_its_body(self):
        """Begun as a long one and over in the same read, it went on without a body (8 of 556, recorded)."""
        sizes = [n + more for n in (4_096, 8_192, 16_384, 65_536) for more in (-40, -1, 0, 1, 40)]
        ways = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n1\r\n!\r\n0\r\n\r\n"
            % (size, LONG[:size])
            for size in sizes
        ]
        caller = await self.play(SocketHost(*ways))
        for size in sizes:
            caller.send_request("submit")
            _, body, whole = await self.read_on(caller)
            self.assertEqual((body, whole), (LONG[:size] + b"!", True), size)

    async def test_an_answer_that_breaks_off_is_not_taken_for_whole(self):
        """Short of its length, a last chunk missing, a chunk that is none, reset in the middle."""
        chunks = CHUNKED[:-12]
        caller = await self.play(SocketHost((SIZED[:-5],), (chunks,), chunks + b"zz\r\n"))
        for _ in range(3):
            caller.send_request("submit")
            _, _, whole = await self.read_on(caller)
            self.assertFalse(whole)
            caller = await self.caller()

    async def test_a_client_that_reads_nothing_halts_its_host_and_no_other_and_goes(self):
        first, second = await self.play(SocketHost(SILENT), SocketHost(SILENT)), await self.caller()
        first.send_request("submit")
        await asyncio.wait(
            [asyncio.ensure_future(h.received.get()) for h in self.hosts], return_when=asyncio.FIRST_COMPLETED
        )
        with unittest.mock.patch("basalthook.bodies.relay.STALLED", 0.5):
            (writer,) = (w for h in self.hosts for w in h.writers)
            first.writer.transport.pause_reading()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + b"x" * 50_000_000)
            for host in self.hosts:
                host.replies = [OK]
            self.assertEqual(await second.status(key="k2", profile="submit"), 200)
            await asyncio.wait_for(self.until(lambda: len(self.service.clients.open) == 1), 10)
        self.assertEqual(len(self.service.owner.orders), 0)

    async def test_a_client_that_goes_ends_its_hosts_connection(self):
        caller = await self.play(SocketHost(SIZED[:-1000]))
        caller.send_request("submit")
        await caller.reader.readuntil(b"\r\n\r\n")
        await caller.stop()
        self.assertTrue(await self.hosts[0].disconnects.get())

    async def test_long_bodies_of_requests_reach_a_host_whole_and_a_second_one_after_it(self):
        refused = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
        caller = await self.play(SocketHost(refused, OK), SocketHost())
        for n in range(6):
            chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG)
            caller.writer.write(HEAD % b"b%d" % n + (chunked if n % 2 else SENT))
            self.assertEqual((await caller.read_response())[0], 200)
        got = [host.received.get_nowait()[1] for host in self.hosts for _ in range(host.received.qsize())]
        self.assertEqual(len(got), 7)  # one was refused
        self.assertEqual({hashlib.sha256(body).digest() for body in got}, {hashlib.sha256(LONG).digest()})
        self.assertEqual(self.service.clients.room.held, 0)

    async def test_bodies_wait_for_room_in_turn_and_who_gets_none_is_rolled_back(self):
        first, second = await self.play(SocketHost()), await self.caller()
        self.service.clients.room.most = 4_000_000

        def begin(caller, n, count):
            caller.writer.write(HEAD % b"w%d" % n + SENT[:count])

        begin(first, 1, 100_000)
        await self.until(lambda: self.service.clients.room.held)
        begin(second, 2, len(SENT))
        await self.until(lambda: self.service.clients.room.waiting)
        first.writer.write(SENT[100_000:])
        for caller in (first, second):
            self.assertEqual((await caller.read_response())[0], 200)
        begin(first, 3, 100_000)
        await self.until(lambda: self.service.clients.room.held)
        with unittest.mock.patch("basalthook.routing.clients.NO_ROOM", 0.02):
            begin(second, 4, 100_000)
            self.assertEqual((await second.read_response())[0], 503)
        await first.stop()
        await self.until(lambda: not self.service.clients.room.held)

    async def test_memory_of_a_body_that_the_door_turns_away_is_free_again(self):
        caller = await self.play(SocketHost())
        with unittest.mock.patch.object(self.service.clients.door, "admit", return_value=False):
            caller.writer.write(HEAD % b"d" + SENT)
            self.assertEqual((await caller.read_response())[0], 503)
        self.assertEqual((self.service.clients.room.held, len(self.service.clients.open)), (0, 1))

    async def test_a_body_that_comes_slowly_is_a_good_client_and_one_that_stops_is_not(self):
        with unittest.mock.patch("basalthook.routing.clients.STALLED", 0.2):
            caller = await self.play(SocketHost())
            caller.writer.write(HEAD % b"s1" + b"Content-Length: 375000\r\n\r\n")
            for at in range(0, 375_000, 37_500):
                caller.writer.write(LONG[at : at + 37_500])
                await asyncio.sleep(0.1)
            self.assertEqual((await caller.read_response())[0], 200)
            caller.writer.write(HEAD % b"s2" + SENT[:200_000])
            self.assertEqual((await caller.read_response())[0], 408)
        self.assertEqual(self.service.clients.room.held, 0)


class LongBodies(unittest.TestCase):
    @given(st.integers(0, 200), st.lists(st.integers(1, 60), max_size=12), st.booleans())
    def test_a_long_body_is_the_same_however_it_is_cut(self, size, cuts, chunked):
        body = bytes(n % 251 for n in range(size))
        head = b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"Content-Length: %d\r\n\r\n" % size
        text = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:7], body[7:90], body[90:]) if p)
        whole = b"HTTP/1.1 200 OK\r\n" + head + (text + b"0\r\n\r\n" if chunked else body)
        parser, came, at = Parser(True, body_most=50, long=True), bytearray(), 0
        for cut in [*cuts, len(whole)]:
            parser.feed(whole[at : at + cut])
            at += cut
            if parser.begun is not None:
                came += parser.take_body()
        self.assertIsInstance(parser.found, Message)
        self.assertEqual((parser.begun is not None, bytes(came) + parser.found.body), (size > 50, body))


class Rooms(unittest.TestCase):
    @given(st.lists(st.integers(1, 60), max_size=20), st.randoms(use_true_random=False))
    def test_no_more_is_held_than_there_is_and_all_get_theirs_in_turn(self, wants, chance):
        room, held, served = Room(60), [], []
        for n, want in enumerate(wants):
            if room.take(want):
                held.append(want)
                served.append(n)
            else:
                room.wait(n, want, lambda n=n, want=want: (held.append(want), served.append(n)))
            self.assertEqual(room.held, sum(held))
            self.assertLessEqual(room.held, 60)
            if held and chance.random() < 0.5:
                room.give(held.pop(chance.randrange(len(held))))
        while held:
            room.give(held.pop())
        self.assertEqual((served, room.held), (list(range(len(wants))), 0))
