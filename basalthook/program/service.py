"""The running client proxy: its parts put together, its start, its end."""
import asyncio
import gc
import signal

from ..routing.clients import Clients
from ..routing.clock import TICKS, Clock
from ..routing.hops import Hops
from ..routing.owner import Owner
from ..routing.roster import Roster
from ..routing.watch import Watch
from ..transport.buffers import BufferPool
from ..transport.descriptors import Descriptors
from ..transport.hostpool import HostPool
from ..transport.listener import Listener
from .log import Log
from .startup import StartUp

BUFFER = 16 * 1024
BUFFERS_KEPT = 128


class Service:
    def __init__(self, told: StartUp, log: Log) -> None:
        self.told, self.log, self.ending = told, log, asyncio.Event()
        clock, roster = Clock(), Roster()
        buffers, descriptors = BufferPool(BUFFER, BUFFERS_KEPT), Descriptors(told.sockets)
        self.owner = Owner(told.agreed, told.seed, clock, roster, log.say)
        self.pool = HostPool(buffers, descriptors, told.idle_seconds, told.connect_seconds)
        hops = Hops(self.pool, clock, roster, self.owner, log.say)
        self.watch = Watch(told.discovery, 2 * told.agreed.ask_within / TICKS, told.known.version, self.owner,
                           buffers, descriptors, log.say)
        self.owner.begin_hop, self.owner.begin_watch = hops.begin, self.watch.begin
        self.owner.close_idle = self.pool.close_idle
        self.clients = Clients(self.owner, clock, told.profiles, buffers, descriptors, self.pool, log.say)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ending.set)
        self.owner.start(self.told.known)
        owner = loop.create_task(self.owner.run())
        listener = Listener(self.told.listen)
        listener.accept_to(self.clients.take)
        if not self.told.agreed.list_on_request:
            self.watch.begin()
        self.clients.ready = True
        gc.collect()
        gc.freeze()
        self.log.say("ready", listen=list(listener.address), hosts=len(self.told.known.lines))
        await self.ending.wait()
        self.log.say("ending")
        listener.close()
        owner.cancel()
