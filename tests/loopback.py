"""A proxy on loopback sockets in this process, between hosts, discovery and callers of the test."""

import asyncio
import unittest
import unittest.mock

from basalthook.program.service import Service
from basalthook.program.startup import decode
from tests.fake import Caller, SocketDiscovery, start_up


class Said:
    """A log that keeps what it is told."""

    def __init__(self):
        self.lines = []

    def say(self, event, **fields):
        self.lines.append({"event": event, **fields})

    def hops(self):
        return [(line["stage"], line["outcome"]) for line in self.lines if line["event"] == "hop"]


class Loopback(unittest.IsolatedAsyncioTestCase):
    async def play(self, *hosts, **told):
        """Start these hosts, discovery and a proxy that knows them; return a caller."""
        self.unhandled = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: self.unhandled.append(context))
        self.hosts, self.log = [await self.started(h) for h in hosts], Said()
        self.discovery = await self.started(SocketDiscovery())
        self.service = Service(decode(start_up(self.hosts, self.discovery, **told), {}), self.log)
        self.listener = self.service.begin()
        self.addAsyncCleanup(self.stop)
        late = asyncio.get_running_loop().call_later(20, asyncio.current_task().cancel)
        self.addCleanup(late.cancel)  # a test that waits in vain fails
        return await self.caller()

    async def caller(self):
        caller = await Caller().connect(self.listener.address)
        self.addAsyncCleanup(caller.stop)
        return caller

    async def started(self, host):
        self.addAsyncCleanup(host.stop)
        return await host.start()

    async def stop(self):
        self.listener.close()
        self.service.clients.ready = False
        self.service.watch.end()
        self.service.pool.close()
        for connection in list(self.service.clients.open):
            connection.close()
        await asyncio.wait_for(self.until(lambda: not self.service.clients.descriptors.held), 5)
        self.service.timers.close()
        self.assertEqual([line for line in self.log.lines if line["event"] == "fault"], [])
        self.assertEqual(self.unhandled, [])

    def settled(self, seconds):
        """How long a connection to a host rests between two hops."""
        patch = unittest.mock.patch("basalthook.transport.hostpool.SETTLE", seconds)
        patch.start()
        self.addCleanup(patch.stop)

    @staticmethod
    async def until(condition):
        while not condition():
            await asyncio.sleep(0)
