"""A new process at the address of an old one is another host: nothing meant for the old one goes to it."""

import asyncio

from basalthook.policy import interface
from tests.fake import OK, SocketHost
from tests.loopback import Loopback

CONNECT_DELAY_S = 0.3
STARTED_MS = 1_700_000_000_000


class HostLives(Loopback):
    async def begin_late_connection(self):
        """A request is to go to the only host, whose connection is established late."""
        caller = await self.start_proxy(SocketHost(OK))
        open_connection, connecting = self.service.pool.open_connection, asyncio.Event()

        def connect_late(address, on_connected):
            connecting.set()
            return open_connection(
                address,
                lambda failure: asyncio.get_running_loop().call_later(CONNECT_DELAY_S, on_connected, failure),
            )

        self.service.pool.open_connection = connect_late
        caller.send_request("submit", timeout="1.0")
        await connecting.wait()
        self.service.pool.open_connection = open_connection
        return caller

    async def test_a_connection_that_came_up_across_a_restart_of_its_host_is_not_used(self):
        caller = await self.begin_late_connection()
        self.discovery.publish(2, self.hosts[0].line("s-0", started_ms=STARTED_MS, state="draining"))
        self.discovery.publish(3, self.hosts[0].line("s-0", started_ms=STARTED_MS + 60_000))
        await asyncio.sleep(CONNECT_DELAY_S + 0.1)
        self.assertEqual(self.service.attempts.refusal_counts[interface.ENDPOINT_LEAVING], 1)
        await caller.read_response()

    async def test_a_connection_that_came_up_while_its_address_changed_hands_is_not_used(self):
        caller = await self.begin_late_connection()
        moved = self.hosts[0].line("s-0", started_ms=STARTED_MS)["addr"]
        self.discovery.publish(2, {**self.hosts[0].line("s-new", started_ms=STARTED_MS), "addr": moved})
        await self.wait_until(lambda: self.service.dispatcher.registry.is_known("s-new"))
        registry = self.service.dispatcher.registry
        self.assertFalse(registry.is_known("s-0") and registry.is_ready(registry.numbers_by_id["s-0"]))
        await asyncio.sleep(CONNECT_DELAY_S + 0.1)
        self.assertEqual(self.service.attempts.refusal_counts[interface.ENDPOINT_LEAVING], 1)
        await caller.read_response()

    async def check_kept_connections_end(self, **change):
        caller = await self.start_proxy(SocketHost(OK))
        self.set_reuse_delay(0)
        self.assertEqual(await caller.status(), 200)
        self.assertEqual(len(self.service.pool.idle_connections), 1)
        self.discovery.publish(2, {**self.hosts[0].line("s-0"), **change})
        await self.wait_until(lambda: self.service.watch.version == 2)
        self.assertEqual(len(self.service.pool.idle_connections), 0)

    async def test_kept_connections_end_when_their_host_restarts(self):
        await self.check_kept_connections_end(started_ms=STARTED_MS)

    async def test_kept_connections_end_when_their_host_moves(self):
        await self.check_kept_connections_end(addr="127.0.0.1:9")

    async def test_kept_connections_end_when_another_host_has_their_address(self):
        await self.check_kept_connections_end(id="s-new", started_ms=STARTED_MS)

    async def test_a_connection_in_use_across_a_restart_of_its_host_is_not_kept(self):
        caller = await self.start_proxy(SocketHost(None))
        caller.send_request()
        await self.hosts[0].received.get()
        self.discovery.publish(2, self.hosts[0].line("s-0", started_ms=STARTED_MS))
        registry = self.service.dispatcher.registry
        await self.wait_until(lambda: registry.entries[0].discovered.started_ns)
        self.hosts[0].writers[0].write(OK)
        self.assertEqual((await caller.read_response())[0], 200)
        self.assertEqual(len(self.service.pool.idle_connections), 0)
