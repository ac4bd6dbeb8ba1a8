"""One TCP connection: reads into pooled buffers, writes, and values that say how far it had come."""
import asyncio
import socket
from contextlib import contextmanager
from enum import IntEnum
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError

from .buffers import BufferPool
from .descriptors import Descriptors


class Stage(IntEnum):
    """How far an exchange had come; the peer can have begun on it only from WRITTEN on."""
    UNTRIED = 0         # nothing has left this machine
    CONNECTING = 1
    WRITING = 2
    WRITTEN = 3
    ANSWERING = 4


class Fault(NamedTuple):
    stage: Stage
    reason: str


class Connection:
    """`pending` is the one standing read. It goes on while the connection idles, so that an end is seen."""

    def __init__(self, sock: socket.socket, buffers: BufferPool, descriptors: Descriptors) -> None:
        self.buffers, self.descriptors = buffers, descriptors
        self.buffer: bytearray | None = None
        self.pending: asyncio.Future | None = None
        self.closed = self.awaited = False
        self.why = ""               # the reason, where we closed it before its time
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = IOStream(sock, max_buffer_size=256 * 1024, read_chunk_size=buffers.size)
        self.stream.set_close_callback(self.close)
        descriptors.take()

    @classmethod
    def towards(cls, address: tuple[str, int], buffers: BufferPool, descriptors: Descriptors):
        """One not yet up; a Fault where this machine gives no socket."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as fault:
            return Fault(Stage.UNTRIED, str(fault))
        return cls(sock, buffers, descriptors)

    async def connect(self, address: tuple[str, int]) -> Fault | None:
        try:
            await self.stream.connect(address)
        except (OSError, StreamClosedError) as fault:
            self.close()
            # reset, not refused: the peer's machine had taken it already
            stage = Stage.WRITING if isinstance(self.stream.error, ConnectionResetError) else Stage.CONNECTING
            return Fault(stage, self.why or str(self.stream.error or fault))
        return None

    @contextmanager
    def within(self, seconds: float):
        """What is waited for inside ends with the connection, if it takes longer."""
        late = asyncio.get_running_loop().call_later(seconds, self.close, f"not within {seconds:g} s")
        try:
            yield
        finally:
            late.cancel()

    def reading(self) -> asyncio.Future:
        """The standing read; begun if there is none."""
        if self.pending is None:
            self.buffer = self.buffers.take()
            try:
                self.pending = self.stream.read_into(self.buffer, partial=True)
            except StreamClosedError as fault:
                self.pending = asyncio.get_running_loop().create_future()
                self.pending.set_exception(fault)
        return self.pending

    async def read(self, feed) -> Fault | None:
        """Wait for bytes and hand them to `feed`, which must not keep what it is given."""
        pending, self.awaited = self.reading(), True
        try:
            count = await pending
            with memoryview(self.buffer) as whole, whole[:count] as part:
                feed(part)
            return None
        except StreamClosedError as fault:
            self.close()
            return Fault(Stage.WRITTEN, self.why or str(fault.real_error or "ended by the peer"))
        finally:
            self.awaited = False
            self._release()

    def write(self, data: bytes) -> asyncio.Future:
        """Done once the last byte is with the kernel; an exception if the connection ended before."""
        try:
            return self.stream.write(data)
        except StreamClosedError as fault:
            ended = asyncio.get_running_loop().create_future()
            ended.set_exception(fault)
            return ended

    def quiet(self) -> bool:
        """Guards against using a kept connection that the peer has ended or written to unasked."""
        if self.closed or self.stream.closed() or self.pending is not None and self.pending.done():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def close(self, why: str = "") -> None:
        if self.closed:
            return
        self.closed, self.why = True, why
        self.descriptors.give()
        self.stream.close()
        if not self.awaited:
            if self.pending is not None and self.pending.done():
                self.pending.exception()    # seen: an idle connection's end has nobody else to look at it
            self._release()

    def _release(self) -> None:
        """Only once nothing is read into the buffer any more, and what was read has been handed on."""
        self.pending = None
        if self.buffer is not None:
            self.buffers.give(self.buffer)
            self.buffer = None

    def end_sending(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
