"""The path in layers, each on top of the one before, to see where a transaction's cost arises.

Run as `python -m benchmarks.floor LAYER FILE`; listens, prints `ready` as `serve` does, relays until killed.

streams      Tornado's IOStream and coroutines alone: bytes from a client go to a host, and back
connections  the same with this project's connections: bytes handed on in the turn that read them, with stamps
messages     connections, and messages parsed and written anew on both ways
program      the whole program, with a stand-in for the decisions that sends each transaction to the next host
"""

import asyncio
import os
import socket
import sys
from itertools import cycle

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from basalthook.policy import interface
from basalthook.program import startup
from basalthook.program.log import Log
from basalthook.program.service import Service
from basalthook.protocol import application, hosts, http1
from basalthook.transport.buffers import BufferPool
from basalthook.transport.connection import Connection
from basalthook.transport.descriptors import DescriptorBudget
from basalthook.transport.event_loop import TimedSelector, run
from basalthook.transport.listener import Listener

SECONDS = 1.0


def ready(address) -> None:
    print(orjson.dumps({"event": "ready", "listen": list(address)}).decode(), flush=True)


class Streams(TCPServer):
    """One connection to a host for each client's."""

    def __init__(self, addresses) -> None:
        super().__init__()
        self.addresses = cycle(addresses)

    async def handle_stream(self, client, address) -> None:
        host = IOStream(socket.socket())
        await host.connect(next(self.addresses))
        for stream in (client, host):
            stream.set_nodelay(True)
        try:
            while True:
                await host.write(await client.read_bytes(65536, partial=True))
                await client.write(await host.read_bytes(65536, partial=True))
        except StreamClosedError:
            client.close()
            host.close()


class Relay:
    """A client's connection and its host's; with `parsed`, whole messages go on as the program words them."""

    def __init__(
        self, sock, address, buffers: BufferPool, descriptors: DescriptorBudget, parsed: bool
    ) -> None:
        self.client = Connection(sock, buffers, descriptors)
        self.host = Connection.for_address(address, buffers, descriptors)
        self.asks = http1.Parser(False, field_names=application.PARSED_FIELDS)
        self.answers = http1.Parser(True, 2**20, field_names=hosts.PARSED_FIELDS)
        self.parsed = parsed
        self.host.connect(address, self.up)

    def up(self, fault) -> None:
        if fault is None:
            self.host.start_reading(self.answered, lambda _: self.client.close())
            self.client.start_reading(self.asked, lambda _: self.host.close())

    def asked(self, part, late: int) -> None:
        if not self.parsed:
            self.host.write((bytes(part),))
            return
        self.asks.feed(part)
        if self.asks.result is not None:
            found = application.parse_transaction(self.asks.result, {"read": 0, "write": 1})
            self.host.write(hosts.attempt_request(found.message, SECONDS))
            self.asks.next_message()

    def answered(self, part, late: int) -> None:
        if not self.parsed:
            self.client.write((bytes(part),))
            return
        self.answers.feed(part)
        if self.answers.result is not None:
            self.client.write(application.committed_response(self.answers.result, True))
            self.answers.next_message()


class NextHost:
    """In place of the decisions: every transaction to the next host, whatever becomes of it."""

    def __init__(self) -> None:
        self.hosts = None

    def begin(self) -> list:
        return []

    def handle(self, now: int, event, seen=None) -> list:
        if isinstance(event, interface.TxArrived):
            return [interface.SendAttempt(event.tx, next(self.hosts), event.time_left)]
        if isinstance(event, interface.HostListReceived):
            self.hosts = cycle([line.host_id for line in event.hosts])
        if isinstance(event, interface.AttemptEnded) and not event.final:
            return [interface.Abandon(event.tx)]
        return []


async def main(layer: str, told: startup.StartUp, turns: TimedSelector) -> None:
    addresses = [line.address for line in told.known_hosts.records]
    if layer == "streams":
        server = Streams(addresses)
        listening = bind_sockets(0, "127.0.0.1")
        server.add_sockets(listening)
        ready(listening[0].getsockname()[:2])
    elif layer == "program":
        service = Service(told, Log("floor"), None, turns)
        service.dispatcher.policy = NextHost()
        return await service.run()
    else:
        buffers, descriptors, hosts_at = BufferPool(16 * 1024, 128), DescriptorBudget(4096), cycle(addresses)

        def take(sock) -> bool:
            Relay(sock, next(hosts_at), buffers, descriptors, layer == "messages")
            return True

        listener = Listener(("127.0.0.1", 0), take)
        listener.open()
        ready(listener.address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    own = TimedSelector()
    run(main(sys.argv[1], startup.read(sys.argv[2], os.environ), own), own)
