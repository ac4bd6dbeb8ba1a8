"""A long response that has begun is passed on to its end, however late this process handles it."""

import asyncio
import socket
import time

from basalthook.routing.clock import TICKS_PER_SECOND
from basalthook.routing.dispatcher import ProcessCountChanged
from basalthook.transport.connection import LINGER_RESET
from tests.fake import SILENT, SocketHost
from tests.loopback import Loopback

BODY = bytes(range(256)) * 800
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
OVERDUE_S = 0.01  # past the attempt's time limit; the client's own timer comes 0.02 s after it
ENDED_WITHIN_S = 2.0


class LateForwarding(Loopback):
    async def begin(self, timeout="2.0"):
        """A host has a request and does not answer yet."""
        caller = await self.start_proxy(SocketHost(SILENT))
        caller.send_request(timeout=timeout)
        await self.hosts[0].received.get()
        return caller

    async def queue_long_response(self, response):
        """The host's response has begun; its result waits in the dispatcher's queue."""
        dispatcher = self.service.dispatcher
        dispatcher.processing = True  # as while an item is handled: new ones are queued
        self.hosts[0].writers[0].write(response)
        await self.wait_until(lambda: dispatcher.queue)

    def handle_queue(self):
        self.service.dispatcher.process_queue()

    async def test_a_long_response_read_by_an_overdue_timer_between_two_queued_items_arrives_whole(self):
        # review/7: the result was queued, and its forwarder was stopped before a client could take it
        caller = await self.begin(timeout="0.4")
        (transaction,) = self.service.dispatcher.transactions.values()
        self.hosts[0].writers[0].write(RESPONSE)
        left = transaction.deadline - self.service.clock.now()
        time.sleep(left / TICKS_PER_SECOND + OVERDUE_S)  # this process is held up
        self.service.dispatcher.post(ProcessCountChanged(1))
        async with asyncio.timeout(ENDED_WITHIN_S):
            status, body, _ = await caller.read_response()
        self.assertEqual((status, body == BODY), (200, True))

    async def test_a_long_response_queued_for_a_client_that_leaves_does_not_keep_its_connection(self):
        # same cause as review/7: whoever handles the result owns the forwarder until a client has it
        caller = await self.begin()
        await self.queue_long_response(RESPONSE)
        caller.writer.transport.abort()
        await self.wait_until(lambda: not self.service.clients.open_clients)
        self.handle_queue()
        async with asyncio.timeout(ENDED_WITHIN_S):
            await self.hosts[0].disconnects.get()

    async def test_a_long_response_whose_result_can_not_be_handled_does_not_keep_its_connection(self):
        # same cause as review/7: an exception in the handler must not leave the forwarder without an owner
        await self.begin()
        await self.queue_long_response(RESPONSE)
        registry = self.service.dispatcher.registry
        attempt_finished, registry.attempt_finished = registry.attempt_finished, None
        self.handle_queue()
        registry.attempt_finished = attempt_finished
        attempt_finished(0)
        async with asyncio.timeout(ENDED_WITHIN_S):
            await self.hosts[0].disconnects.get()
        self.log.lines = [line for line in self.log.lines if line["event"] != "fault"]

    async def test_a_long_response_whose_host_resets_before_a_client_takes_it_is_cut_short_at_once(self):
        # same cause as review/7: the client had a head and waited for good
        caller = await self.begin()
        await self.queue_long_response(RESPONSE[: len(RESPONSE) // 2])
        writer = self.hosts[0].writers[0]
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.handle_queue()
        async with asyncio.timeout(ENDED_WITHIN_S):
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.read_response()
