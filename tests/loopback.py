"""A proxy in this process on loopback sockets, between fake hosts, a fake discovery and test clients."""

import asyncio
import unittest
import unittest.mock

from basalthook.program.service import Service
from basalthook.program.startup import decode
from tests.fake import Caller, SocketDiscovery, start_up


class RecordingLog:
    """A log that keeps its events in memory."""

    def __init__(self):
        self.lines = []

    def log_event(self, event, **fields):
        self.lines.append({"event": event, **fields})

    def failed_attempts(self):
        """Stage and outcome of each attempt that did not commit."""
        return [(line["stage"], line["outcome"]) for line in self.lines if line["event"] == "hop"]


class Loopback(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a proxy on loopback; fails a test after which a fault was logged."""

    async def start_proxy(self, *hosts, **settings):
        """Start these hosts, discovery and a proxy that knows them; return a client of the proxy."""
        self.unhandled = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: self.unhandled.append(context))
        self.hosts, self.log = [await self.start_fake(host) for host in hosts], RecordingLog()
        self.discovery = await self.start_fake(SocketDiscovery())
        self.service = Service(decode(start_up(self.hosts, self.discovery, **settings), {}), self.log)
        self.listener = self.service.begin()
        self.addAsyncCleanup(self.stop)
        timeout = asyncio.get_running_loop().call_later(20, asyncio.current_task().cancel)
        self.addCleanup(timeout.cancel)  # a test that hangs fails after 20 s
        return await self.connect()

    async def connect(self):
        """Return another client of the proxy."""
        caller = await Caller().connect(self.listener.address)
        self.addAsyncCleanup(caller.stop)
        return caller

    async def start_fake(self, fake):
        """Start a fake host or a fake discovery; it is stopped after the test."""
        self.addAsyncCleanup(fake.stop)
        return await fake.start()

    async def stop(self):
        self.listener.close()
        self.service.clients.ready = False
        self.service.watch.stop()
        self.service.pool.close()
        for connection in list(self.service.clients.open_clients):
            connection.close()
        await asyncio.wait_for(self.wait_until(lambda: not self.service.clients.descriptors.in_use), 5)
        self.service.timers.close()
        self.assertEqual([line for line in self.log.lines if line["event"] == "fault"], [])
        self.assertEqual(self.unhandled, [])

    def set_reuse_delay(self, seconds):
        """Set how long a pooled connection to a host is left unused after a response."""
        patch = unittest.mock.patch("basalthook.transport.hostpool.REUSE_DELAY_S", seconds)
        patch.start()
        self.addCleanup(patch.stop)

    @staticmethod
    async def wait_until(condition):
        while not condition():
            await asyncio.sleep(0)
