"""Second copies of answers, held back by the sender's system until the first is acknowledged (Nagle)."""

import asyncio
import socket
import unittest
import unittest.mock

from basalthook.transport import timestamps
from basalthook.transport.connection import Connection
from basalthook.transport.hostpool import REUSE_DELAY_S, UNEXPECTED_BYTES
from tests.fake import SocketHost, message
from tests.loopback import Loopback

WARM_UP = 8  # requests after which the system delays its acknowledgements on a connection
LONG = b"x" * 20_000  # forwarded piece by piece


class CopyingHost(SocketHost):
    """Numbers its answers; writes the one after the warm-up twice, without TCP_NODELAY."""

    def __init__(self, padding=b""):
        super().__init__()
        self.padding, self.answered = padding, 0

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        while not reader.at_eof():
            try:
                await message(reader)
            except (OSError, asyncio.IncompleteReadError):
                break
            self.answered += 1
            body = b"%d" % self.answered + self.padding
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            writer.write(answer)
            if self.answered == WARM_UP:
                writer.write(answer)


class SecondAnswers(Loopback):
    async def served(self, caller, host, count):
        """The numbers in the bodies served to requests that come a little after the rest of a connection."""
        numbers = []
        for _ in range(count):
            caller.send_request()
            numbers.append(int((await caller.read_response())[1].rstrip(b"x")))
            await asyncio.sleep(REUSE_DELAY_S * 1.3)
        return numbers

    async def test_a_copy_held_back_until_its_acknowledgement_is_not_served_to_the_next_request(self):
        # 165 to 225 of some 240 second copies were served as the answer to another request
        host = CopyingHost()
        caller = await self.start_proxy(host)
        self.assertEqual(await self.served(caller, host, WARM_UP + 2), list(range(1, WARM_UP + 3)))
        self.assertEqual((len(host.writers), self.service.pool.early_closes), (2, {UNEXPECTED_BYTES: 1}))

    async def test_a_copy_of_a_forwarded_answer_is_not_served_to_the_next_request(self):
        # the same for a long answer, whose connection is given back by its forwarder
        host = CopyingHost(LONG)
        caller = await self.start_proxy(host)
        self.assertEqual(await self.served(caller, host, WARM_UP + 2), list(range(1, WARM_UP + 3)))
        self.assertEqual(len(host.writers), 2)

    async def test_without_immediate_acknowledgements_a_connection_rests_for_their_longest_delay(self):
        # on systems without TCP_QUICKACK the copy came after the rest
        host = CopyingHost()
        caller = await self.start_proxy(host)
        with unittest.mock.patch.object(Connection, "acknowledge", return_value=False):
            await self.served(caller, host, 2)
        self.assertEqual(len(host.writers), 2)

    async def test_a_connection_to_a_distant_host_rests_for_a_round_trip_longer(self):
        # a copy comes a round trip after the acknowledgement, which was after the rest
        host = CopyingHost()
        with unittest.mock.patch.object(timestamps, "handshake_time", return_value=60_000_000):
            caller = await self.start_proxy(host)
            await self.served(caller, host, 2)
        self.assertEqual(len(host.writers), 2)

    async def test_a_copy_of_a_list_is_not_taken_for_the_answer_to_the_next_call(self):
        # from then on each answer was taken for that of the call after its own, and each list asked for twice
        await self.start_proxy(SocketHost())
        for version in range(2, WARM_UP + 2):
            self.discovery.publish(version)
        for _ in range(WARM_UP + 1):
            await self.discovery.received.get()
        (writer,) = self.discovery.writers
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        body = b'{"version": %d, "full": false, "servers": []}' % (WARM_UP + 2)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        writer.write(answer)
        writer.write(answer)
        await asyncio.wait_for(self.discovery.received.get(), 2)
        await asyncio.sleep(0.2)
        lists = [line["version"] for line in self.log.lines if line["event"] == "list unchanged"]
        self.assertEqual((lists, self.discovery.received.qsize()), ([], 0))
        self.assertEqual(len(self.discovery.writers), 2)


if __name__ == "__main__":
    unittest.main()
