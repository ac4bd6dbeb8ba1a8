"""Servers that each add one layer of the proxy, to see where the cost of a transaction arises.

Run as `python -m benchmarks.floor LAYER FILE`, where FILE is a start-up file. Listens, prints `ready` as
`serve` does, and relays until killed. The layers:

streams      Tornado's IOStream and coroutines alone: bytes are relayed between a client and a host
connections  the same with this project's connections: bytes are passed on in the event-loop iteration that
             reads them, and the kernel's receive time stamps are read
messages     connections, with requests and responses parsed and written anew
program      the whole program, with `NextHost` in place of the dispatcher's `policy`
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

ATTEMPT_TIME_LIMIT_S = 1.0


def announce_ready(address) -> None:
    print(orjson.dumps({"event": "ready", "listen": list(address)}).decode(), flush=True)


class StreamRelay(TCPServer):
    """Relays bytes between each client connection and a host connection of its own."""

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


class ConnectionRelay:
    """Relays between a client connection and a host connection of its own.

    With `parse`, whole messages are parsed and passed on as the program writes them; else bytes are.
    """

    def __init__(
        self, sock, address, buffers: BufferPool, descriptors: DescriptorBudget, parse: bool
    ) -> None:
        self.client = Connection(sock, buffers, descriptors)
        self.host = Connection.for_address(address, buffers, descriptors)
        self.request_parser = http1.Parser(False, field_names=application.PARSED_FIELDS)
        self.response_parser = http1.Parser(True, 2**20, field_names=hosts.PARSED_FIELDS)
        self.parse = parse
        self.host.connect(address, self.on_connected)

    def on_connected(self, failure) -> None:
        if failure is None:
            self.host.start_reading(self.on_host_data, lambda _: self.client.close())
            self.client.start_reading(self.on_client_data, lambda _: self.host.close())

    def on_client_data(self, data, delay: int) -> None:
        if not self.parse:
            self.host.write((bytes(data),))
            return
        self.request_parser.feed(data)
        if self.request_parser.result is not None:
            transaction = application.parse_transaction(self.request_parser.result, {"read": 0, "write": 1})
            self.host.write(hosts.attempt_request(transaction.message, ATTEMPT_TIME_LIMIT_S))
            self.request_parser.next_message()

    def on_host_data(self, data, delay: int) -> None:
        if not self.parse:
            self.client.write((bytes(data),))
            return
        self.response_parser.feed(data)
        if self.response_parser.result is not None:
            self.client.write(application.committed_response(self.response_parser.result, True))
            self.response_parser.next_message()


class NextHost:
    """Stand-in for the policy: sends transactions to the hosts in turn, and abandons those that fail."""

    def __init__(self) -> None:
        self.hosts = None

    def begin(self) -> list:
        return []

    def handle(self, now: int, event, seen_to=None) -> list:
        if isinstance(event, interface.TxArrived):
            return [interface.SendAttempt(event.tx, next(self.hosts), event.time_left)]
        if isinstance(event, interface.HostListReceived):
            self.hosts = cycle([entry.host_id for entry in event.hosts])
        if isinstance(event, interface.AttemptEnded) and not event.final:
            return [interface.Abandon(event.tx)]
        return []


async def main(layer: str, start_up: startup.StartUp, selector: TimedSelector) -> None:
    """Serve one layer until the process is killed."""
    addresses = [record.address for record in start_up.known_hosts.records]
    if layer == "streams":
        server = StreamRelay(addresses)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        announce_ready(sockets[0].getsockname()[:2])
    elif layer == "program":
        service = Service(start_up, Log("floor"), None, selector)
        service.dispatcher.policy = NextHost()
        return await service.run()
    else:
        buffers, descriptors, address_cycle = (
            BufferPool(16 * 1024, 128),
            DescriptorBudget(4096),
            cycle(addresses),
        )

        def accept(sock) -> bool:
            ConnectionRelay(sock, next(address_cycle), buffers, descriptors, layer == "messages")
            return True

        listener = Listener(("127.0.0.1", 0), accept)
        listener.open()
        announce_ready(listener.address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    loop_selector = TimedSelector()
    run(main(sys.argv[1], startup.read(sys.argv[2], os.environ), loop_selector), loop_selector)
