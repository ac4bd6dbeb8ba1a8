"""One TCP connection: reads handed on as they come, writes, and values that say how far it had come."""

import errno
import select
import socket
import struct
import time
from contextlib import suppress
from enum import IntEnum
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError

from . import arrival
from .buffers import BufferPool
from .descriptors import DescriptorBudget

PEER_CLOSED = "ended by the peer"  # in order: what a peer sends till then is all it had to say
LINGER_RESET = struct.pack("ii", 1, 0)  # linger, for no time
PEER_CLOSED_EVENT = getattr(select, "POLLRDHUP", 0)  # Linux; elsewhere only what poll(2) tells unasked
# connect(2): nothing was sent, and nothing is known of the peer
LOCAL_ERRORS = {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE}
MAX_READS_PER_ITERATION = 4  # buffers that one connection may fill in a turn of the loop, before others come


class Stage(IntEnum):
    """How far an exchange had come; the peer can have begun on it only from WRITTEN on."""

    UNTRIED = 0  # nothing has left this machine
    CONNECTING = 1
    WRITING = 2
    WRITTEN = 3
    ANSWERING = 4


class ConnectionFailure(NamedTuple):
    stage: Stage
    reason: str


class Stream(IOStream):
    """Gives what it reads to its connection at once and keeps nothing, so one read stands for ever."""

    def __init__(self, sock: socket.socket, connection: "Connection") -> None:
        self.connection = connection
        super().__init__(sock, read_chunk_size=1)  # its own buffer stays empty

    def read_from_fd(self, buf) -> None:
        if self.connection is not None:
            self.connection.receive()


class Connection:
    """Whoever follows it is told `took(bytes, late)` of what comes, once `ended(fault)`, unless it closed.

    `late` is for how many nanoseconds the bytes had lain in the kernel. A read stands from the first follower
    on, also while the connection idles, so that an end is seen.
    """

    __slots__ = (
        "buffers",
        "descriptors",
        "closed",
        "on_data",
        "on_close",
        "on_connected",
        "stream",
        "reading",
        "paused",
        "connect_started",
        "connect_notice_delay",
    )

    def __init__(self, sock: socket.socket, buffers: BufferPool, descriptors: DescriptorBudget) -> None:
        self.buffers, self.descriptors = buffers, descriptors
        self.closed = self.reading = self.paused = False
        self.on_data = self.on_close = self.on_connected = None
        self.connect_started = self.connect_notice_delay = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arrival.enable(sock)
        self.stream = Stream(sock, self)
        descriptors.acquire()

    @classmethod
    def for_address(cls, address: tuple[str, int], buffers: BufferPool, descriptors: DescriptorBudget):
        """One not yet up; a Fault where this machine gives no socket."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as fault:
            return ConnectionFailure(Stage.UNTRIED, str(fault))
        descriptors.outgoing_fds.add(sock.fileno())
        return cls(sock, buffers, descriptors)

    def connect(self, address: tuple[str, int], on_connected) -> None:
        """`up(None)` once it is up, `up(fault)` if it is not to be; not before this returns."""
        self.on_connected, self.connect_started = on_connected, time.monotonic_ns()
        self.stream.connect(address).add_done_callback(self._connected)

    def _connected(self, future) -> None:
        if self.closed:
            future.cancelled() or future.exception()
            return
        on_connected, self.on_connected = self.on_connected, None
        if future.cancelled() or future.exception() is not None:
            error = self.stream.error or future.exception()
            self.close()
            # reset, not refused: the peer's machine had taken it already
            stage = Stage.WRITING if isinstance(error, ConnectionResetError) else Stage.CONNECTING
            if getattr(error, "errno", None) in LOCAL_ERRORS:
                stage = Stage.UNTRIED
            return on_connected(ConnectionFailure(stage, str(error)))
        handshake_ns = arrival.handshake_time(self.stream.socket)
        if handshake_ns is not None:
            self.connect_notice_delay = max(0, time.monotonic_ns() - self.connect_started - handshake_ns)
        on_connected(None)

    def connect_timed_out(self, reason: str) -> None:
        """It should be up by now; if it is, or was turned down, the loop is about to say so.

        Guards against taking our own lateness for a peer that does not answer.
        """
        if not self.closed and not arrival.connect_finished(self.stream.socket):
            self.fail(reason)

    def start_reading(self, on_data, on_close) -> None:
        """From here on tell these; what is there already is told before this returns."""
        self.on_data, self.on_close = on_data, on_close
        if self._check_closed():
            return
        if self.paused and not self.closed:
            self.paused, loop = False, self.stream.io_loop
            loop.update_handler(self.stream.socket, loop.READ | loop.ERROR)
        if not self.reading and not self.closed:
            self.reading = True
            self.stream.set_close_callback(self._stream_closed)
            try:
                self.stream.read_bytes(1, partial=True)
            except StreamClosedError:
                self._stream_closed()

    def receive(self) -> None:
        """Read what the kernel has, a few buffers at most: the loop comes back for the rest."""
        for _ in range(MAX_READS_PER_ITERATION):
            if self.closed or self.on_data is None:
                return
            buffer = self.buffers.acquire()
            try:
                try:
                    count, ancillary, _, _ = self.stream.socket.recvmsg_into(
                        [buffer], arrival.ANCILLARY_BYTES
                    )
                except BlockingIOError:
                    return
                except OSError as fault:
                    return self.fail(str(fault))
                if count:
                    with memoryview(buffer) as whole, whole[:count] as part:
                        self.on_data(part, arrival.receive_delay(ancillary) if ancillary else 0)
            finally:
                self.buffers.release(buffer)
            if not count:
                return self.fail(PEER_CLOSED)
            if count < self.buffers.size:
                return

    def write(self, parts: tuple[bytes, ...], on_written=None) -> bool:
        """Whether the last byte is with the kernel; where not, `wrote()` is called once it is, if ever.

        All parts go in one call; what the kernel does not take at once is kept by reference, and nothing may
        follow before it is written.
        """
        if self.closed:
            return False
        sent = 0
        if not self.stream.writing():
            try:
                sent = self.stream.socket.sendmsg(parts)
                if sent == sum(map(len, parts)):
                    return True
            except BlockingIOError:
                pass
            except OSError as fault:
                self.fail(str(fault))
                return False
        unsent = []
        for part in parts:
            if sent < len(part):
                unsent.append(memoryview(part)[sent:])
            sent = max(0, sent - len(part))
        for part in unsent:
            if not self._check_closed():  # under the part before
                written = self.stream.write(part)
        if self._check_closed():
            return False
        if unsent and self.paused:
            self.pause_reading()  # the stream looks for bytes again when it waits to write
        if unsent and on_written is not None:
            written.add_done_callback(
                lambda done: None if done.cancelled() or done.exception() else on_written()
            )
        return not unsent

    def pause_reading(self) -> None:
        """Read no more, so that the peer's writing comes to a halt."""
        self.on_data, self.paused, loop = None, True, self.stream.io_loop
        if not self._check_closed():
            loop.update_handler(self.stream.socket, loop.ERROR | (loop.WRITE if self.stream.writing() else 0))

    def peer_closed(self) -> bool:
        """Whether the peer has ended its side or all, seen also behind bytes that nobody has read yet."""
        if self.closed or self.stream.closed():
            return True
        poller = select.poll()
        poller.register(self.stream.socket, PEER_CLOSED_EVENT)
        return bool(poller.poll(0))

    def is_idle(self) -> bool:
        """Guards against using a kept connection that the peer has ended or written to unasked."""
        if self.closed or self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def fail(self, reason: str) -> None:
        """It ended, or was given up: whoever follows it, or waits for it to come up, is told."""
        on_close, on_connected = self.on_close, self.on_connected
        if not self.closed:
            self.close()
            if on_connected is not None:
                on_connected(ConnectionFailure(Stage.CONNECTING, reason))
            elif on_close is not None:
                on_close(ConnectionFailure(Stage.WRITTEN, reason))

    def reset_on_close(self) -> None:
        """The end that follows is one that no peer takes for the end of a whole message."""
        with suppress(OSError):
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def close(self) -> None:
        """Nobody is told of anything after this."""
        if self.closed:
            return
        self.closed = True
        self.on_data = self.on_close = self.on_connected = None
        self.descriptors.release()
        self.descriptors.outgoing_fds.discard(self.stream.socket.fileno() if self.stream.socket else -1)
        self.stream.set_close_callback(None)
        self.stream.close()
        self.stream.connection = None  # no circle is left for the collector

    def _check_closed(self) -> bool:
        """Whether it is over; the stream may have found that out in a call of ours, before it says so."""
        if not self.closed and self.stream.closed():
            self._stream_closed()
        return self.closed

    def _stream_closed(self) -> None:
        self.fail(str(self.stream.error or PEER_CLOSED))

    def shutdown_write(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError as fault:
            self.fail(str(fault))
