"""System calls that fail for a moment, or do less than asked for: all rules hold, nothing spins."""

import asyncio
import errno
import socket
import unittest
from unittest.mock import patch

from basalthook.lab.syscalls import Chances, faulty
from basalthook.protocol import catalogue
from basalthook.transport import listener as listening
from basalthook.transport.buffers import BufferPool
from basalthook.transport.connection import Connection
from basalthook.transport.descriptors import Descriptors
from basalthook.transport.listener import Listener
from tests.fake import SocketHost
from tests.loopback import Loopback
from tests.test_incidents import play


class OnProcesses(unittest.TestCase):
    def test_all_rules_hold_while_accept_socket_connect_reads_and_writes_fail_by_chance(self):
        result = play("system-calls.toml")
        self.assertEqual((result.faults, result.verdict.first), ([], None))
        self.assertGreater(result.verdict.service, 0.8)


class Writing(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_breaks_in_a_short_write_ends_as_any_other(self):
        class Breaking(socket.socket):
            def sendmsg(self, parts, *more):
                return self.send(parts[0][:3])

            def send(self, data, *more):
                if len(data) > 3:
                    raise BrokenPipeError(errno.EPIPE, "broken")
                return super().send(data, *more)

        for parts in ((b"a first part", b"and a second one"), (b"one part alone",)):
            for paused in (False, True):
                with socket.create_server(("127.0.0.1", 0)) as server:
                    sock = Breaking(socket.AF_INET)
                    sock.connect(server.getsockname())
                    connection, ended = Connection(sock, BufferPool(64, 8), Descriptors(64)), []
                    connection.follow(lambda *_: None, ended.append)
                    if paused:
                        connection.pause()
                    self.assertFalse(connection.write(parts))
                    connection.pause()
                    connection.follow(lambda *_: None, ended.append)
                    await asyncio.sleep(0.05)
                    self.assertEqual((connection.closed, len(ended)), (True, 1))


class Connecting(Loopback):
    async def test_what_this_machine_lacks_for_a_moment_is_no_fault_of_the_endpoint(self):
        for code, outcome in ((errno.EADDRNOTAVAIL, "unsent"), (errno.ECONNREFUSED, "unreachable")):
            caller = await self.play(SocketHost(), SocketHost())
            failures, real = [code], socket.socket
            endpoints = {catalogue.address(host.address) for host in self.hosts}  # not discovery

            class Failing(real):
                def connect(self, address, failures=failures, endpoints=endpoints):
                    if failures and address in endpoints:
                        raise OSError(failures.pop(), "for a moment")
                    return super().connect(address)

            with patch.object(socket, "socket", Failing):
                self.assertEqual(await caller.status(), 200)
            self.assertEqual((failures, [found for _, found in self.log.hops()]), ([], [outcome]))
            servers = self.service.owner.proxy.hosts.values()
            self.assertEqual(any(server.excluded_until for server in servers), outcome == "unreachable")
            await self.stop()


class Accepting(unittest.IsolatedAsyncioTestCase):
    def listener(self, failures):
        """One whose next so many calls of accept fail, and the connections it takes."""
        taken, calls, real = [], [], listening.bind_sockets

        class Failing(socket.socket):
            def accept(self):
                calls.append(1)
                if len(calls) <= failures:
                    raise OSError(errno.ENFILE, "too many")
                return super().accept()

        def bound(*given):
            (sock,) = real(*given)
            return [Failing(sock.family, sock.type, sock.proto, sock.detach())]

        with patch.object(listening, "bind_sockets", bound):
            made = Listener(("127.0.0.1", 0), lambda sock: taken.append(sock) or True)
        made.socket.setblocking(False)
        self.addCleanup(lambda: [sock.close() for sock in (made.socket, *taken)])
        return made, taken, calls

    async def test_a_failing_accept_is_tried_again_without_spinning(self):
        made, taken, calls = self.listener(10**6)
        made.open()
        with socket.create_connection(made.address):
            await asyncio.sleep(0.4)
            self.assertLessEqual(len(calls), 28)  # seven looks of four calls
            self.assertFalse(taken)
            calls += [1] * 10**6  # from now on it works
            async with asyncio.timeout(5):
                while not taken:
                    await asyncio.sleep(0.01)
        made.close()

    async def test_a_failing_accept_at_the_end_leaves_nobody_in_the_backlog(self):
        made, taken, _ = self.listener(3)
        with socket.create_connection(made.address), socket.create_connection(made.address):
            made.close()
            self.assertEqual(len(taken), 2)

    def test_a_start_waits_for_sockets_and_for_an_address_still_in_use(self):
        with patch.object(socket, "socket", faulty(Chances(create=0.7))):
            listening.listening(("127.0.0.1", 0)).close()
        with socket.create_server(("127.0.0.1", 0)) as other:
            pauses = []
            with patch.object(listening.time, "sleep", lambda _: (pauses.append(1), other.close())):
                listening.listening(other.getsockname()).close()
            self.assertEqual(len(pauses), 1)


if __name__ == "__main__":
    unittest.main()
