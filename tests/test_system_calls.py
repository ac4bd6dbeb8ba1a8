"""System calls that fail temporarily, or do less than requested: all rules hold, and no loop spins."""

import asyncio
import errno
import socket
import unittest
from unittest.mock import patch

from basalthook.lab.syscalls import Chances, faulty_socket_class
from basalthook.protocol import catalogue
from basalthook.transport import listener as listener_module
from basalthook.transport.buffers import BufferPool
from basalthook.transport.connection import Connection
from basalthook.transport.descriptors import DescriptorBudget
from basalthook.transport.listener import Listener
from tests.fake import SocketHost
from tests.loopback import Loopback
from tests.test_incidents import run_scenario


class OnProcesses(unittest.TestCase):
    def test_all_rules_hold_while_accept_socket_connect_reads_and_writes_fail_at_random(self):
        result = run_scenario("system-calls.toml")
        self.assertEqual((result.faults, result.verdict.first_violation), ([], None))
        self.assertGreater(result.verdict.service, 0.8)


class Writing(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_breaks_during_a_partial_write_reports_its_end_once(self):
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
                    connection, ended = Connection(sock, BufferPool(64, 8), DescriptorBudget(64)), []
                    connection.start_reading(lambda *_: None, ended.append)
                    if paused:
                        connection.pause_reading()
                    self.assertFalse(connection.write(parts))
                    connection.pause_reading()
                    connection.start_reading(lambda *_: None, ended.append)
                    await asyncio.sleep(0.05)
                    self.assertEqual((connection.closed, len(ended)), (True, 1))


class Connecting(Loopback):
    async def test_a_temporary_lack_of_local_resources_is_no_fault_of_the_host(self):
        for code, outcome in ((errno.EADDRNOTAVAIL, "unsent"), (errno.ECONNREFUSED, "unreachable")):
            caller = await self.start_proxy(SocketHost(), SocketHost())
            failures, real = [code], socket.socket
            # connections to discovery do not fail
            host_addresses = {catalogue.parse_address(host.address) for host in self.hosts}

            class Failing(real):
                def connect(self, address, failures=failures, host_addresses=host_addresses):
                    if failures and address in host_addresses:
                        raise OSError(failures.pop(), "temporary")
                    return super().connect(address)

            with patch.object(socket, "socket", Failing):
                self.assertEqual(await caller.status(), 200)
            self.assertEqual((failures, [found for _, found in self.log.failed_attempts()]), ([], [outcome]))
            host_states = self.service.dispatcher.policy.hosts.values()
            self.assertEqual(any(state.excluded_until for state in host_states), outcome == "unreachable")
            await self.stop()


class Accepting(unittest.IsolatedAsyncioTestCase):
    def listener(self, failures):
        """Return a listener whose first `failures` accept calls fail, its accepted sockets, and its calls."""
        accepted, calls, real = [], [], listener_module.bind_sockets

        class Failing(socket.socket):
            def accept(self):
                calls.append(1)
                if len(calls) <= failures:
                    raise OSError(errno.ENFILE, "too many")
                return super().accept()

        def bind_sockets(*args):
            (sock,) = real(*args)
            return [Failing(sock.family, sock.type, sock.proto, sock.detach())]

        with patch.object(listener_module, "bind_sockets", bind_sockets):
            listener = Listener(("127.0.0.1", 0), lambda sock: accepted.append(sock) or True)
        listener.socket.setblocking(False)
        self.addCleanup(lambda: [sock.close() for sock in (listener.socket, *accepted)])
        return listener, accepted, calls

    async def test_a_failing_accept_is_retried_without_spinning(self):
        listener, accepted, calls = self.listener(10**6)
        listener.open()
        with socket.create_connection(listener.address):
            await asyncio.sleep(0.4)
            self.assertLessEqual(len(calls), 28)  # seven polls of four calls
            self.assertFalse(accepted)
            calls += [1] * 10**6  # accept succeeds from now on
            async with asyncio.timeout(5):
                while not accepted:
                    await asyncio.sleep(0.01)
        listener.close()

    async def test_failures_of_accept_at_the_end_leave_no_connection_in_the_backlog(self):
        listener, accepted, _ = self.listener(3)
        with socket.create_connection(listener.address), socket.create_connection(listener.address):
            listener.close()
            self.assertEqual(len(accepted), 2)

    def test_opening_retries_until_a_socket_and_the_address_are_available(self):
        with patch.object(socket, "socket", faulty_socket_class(Chances(create=0.7))):
            listener_module.open_listening_socket(("127.0.0.1", 0)).close()
        with socket.create_server(("127.0.0.1", 0)) as other:
            pauses = []
            with patch.object(listener_module.time, "sleep", lambda _: (pauses.append(1), other.close())):
                listener_module.open_listening_socket(other.getsockname()).close()
            self.assertEqual(len(pauses), 1)


if __name__ == "__main__":
    unittest.main()
