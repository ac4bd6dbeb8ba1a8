"""One TCP connection: reads passed on as they arrive, buffered writes, and stages for reporting failures."""

import errno
import fcntl
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from contextlib import suppress
from enum import IntEnum
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError

from . import send_queue, socket_buffers, timestamps
from .buffers import BufferPool
from .descriptors import DescriptorBudget
from .processor_time import Usage

PEER_CLOSED = "ended by the peer"  # an orderly close: everything the peer sent has been read
UNREAD_COUNT = struct.Struct("i")  # FIONREAD (tcp(7))
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: on, 0 s
# Linux only; without it poll(2) still reports errors and hang-ups
PEER_CLOSED_EVENT = getattr(select, "POLLRDHUP", 0)
QUICK_ACK_OPTION = getattr(socket, "TCP_QUICKACK", None)
# errors of connect(2) for lack of local resources: nothing was sent, and the peer is not at fault
LOCAL_ERRORS = {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE}
MAX_READS_PER_ITERATION = 4  # buffers that one connection may fill before the loop serves others


class Stage(IntEnum):
    """How far an exchange has progressed. The peer can have started to process it only from WRITTEN on.

    The names appear in lower case in the log field `stage`.
    """

    UNTRIED = 0  # nothing has left this machine
    CONNECTING = 1
    WRITING = 2
    WRITTEN = 3
    ANSWERING = 4


class ConnectionFailure(NamedTuple):
    """Why a connection ended or could not be established, and how far its exchange had progressed."""

    stage: Stage
    reason: str


class Stream(IOStream):
    """A Tornado stream that lets its connection read from the socket, and buffers nothing itself.

    The single read that the connection starts therefore never completes.
    """

    def __init__(self, sock: socket.socket, connection: "Connection") -> None:
        self.connection = connection
        super().__init__(sock, read_chunk_size=1)  # the stream's own buffer stays empty

    def read_from_fd(self, buf) -> None:
        if self.connection is not None:
            self.connection.receive()


class Connection:
    """A TCP connection that reports to the handlers given to `start_reading`.

    `on_data(data, delay)` is called for received bytes, where `delay` is how many nanoseconds they waited
    in the kernel. `on_close(failure)` is called once when the connection ends, unless `close` was called.
    Once reading has started it goes on while the connection is idle, so that a close by the peer is
    noticed.
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
        "read_size",
        "usage",
        "unsent",
        "drained",
        "known_open_ns",
        "connect_started",
        "connect_notice_delay",
        "round_trip_ns",
    )

    def __init__(self, sock: socket.socket, buffers: BufferPool, descriptors: DescriptorBudget) -> None:
        self.buffers, self.descriptors = buffers, descriptors
        self.closed = self.reading = self.paused = False
        self.on_data = self.on_close = self.on_connected = None
        self.connect_started = self.connect_notice_delay = 0
        # bytes that the next read may take, as a function; by default a whole buffer
        self.read_size: Callable[[], int] | None = None
        # whether all that had arrived was read at the last read; when the peer surely had not closed yet
        self.drained, self.known_open_ns = True, 0
        self.usage: Usage | None = None  # of the processor, if that is bounded
        self.unsent = 0  # bytes of the last write that this process still holds
        self.round_trip_ns = 0  # of the handshake; 0 if unknown, and for accepted connections
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        timestamps.enable(sock)
        self.stream = Stream(sock, self)
        descriptors.acquire()

    @classmethod
    def for_address(cls, address: tuple[str, int], buffers: BufferPool, descriptors: DescriptorBudget):
        """Return an unconnected connection, or a ConnectionFailure if no socket can be created."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as error:
            return ConnectionFailure(Stage.UNTRIED, str(error))
        socket_buffers.limit(sock, socket_buffers.HOST_BUFFER_BYTES)
        descriptors.outgoing_fds.add(sock.fileno())
        return cls(sock, buffers, descriptors)

    def set_bulk(self, usage: Usage | None) -> None:
        """Read this connection, which this process opened, after others from now on; None: before them."""
        self.usage = usage
        if not self.closed:
            fd, prompt_fds = self.stream.socket.fileno(), self.descriptors.outgoing_fds
            prompt_fds.add(fd) if usage is None else prompt_fds.discard(fd)

    def connect(self, address: tuple[str, int], on_connected) -> None:
        """Start connecting; `on_connected` is called later with None on success, or with a ConnectionFailure.

        It is never called before this method returns.
        """
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
            # a reset, unlike a refusal, comes after the peer had accepted the connection
            stage = Stage.WRITING if isinstance(error, ConnectionResetError) else Stage.CONNECTING
            if getattr(error, "errno", None) in LOCAL_ERRORS:
                stage = Stage.UNTRIED
            return on_connected(ConnectionFailure(stage, str(error)))
        handshake_ns = timestamps.handshake_time(self.stream.socket)
        if handshake_ns is not None:
            self.round_trip_ns = handshake_ns
            self.connect_notice_delay = max(0, time.monotonic_ns() - self.connect_started - handshake_ns)
        on_connected(None)

    def connect_timed_out(self, reason: str) -> None:
        """Fail the connection, unless it is established or was refused and the loop has yet to report that.

        When this process is late, the timer can fire before the loop has processed a finished handshake;
        that is not the peer's fault.
        """
        if not self.closed and not timestamps.connect_finished(self.stream.socket):
            self.fail(reason)

    def start_reading(self, on_data, on_close) -> None:
        """Set the handlers and start or resume reading.

        Bytes that are already there may be delivered before this returns.
        """
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
        """Read available bytes, up to `MAX_READS_PER_ITERATION` buffers; the loop calls again for more."""
        usage = self.usage
        for _ in range(MAX_READS_PER_ITERATION):
            if self.closed or self.on_data is None:
                return
            if usage is not None and not usage.may_run():
                return usage.delay(self.stream.socket.fileno())
            limit = self.buffers.size if self.read_size is None else self.read_size()
            buffer = self.buffers.acquire()
            try:
                try:
                    with memoryview(buffer) as view, view[:limit] as target:
                        count, ancillary, _, _ = self.stream.socket.recvmsg_into(
                            [target], timestamps.ANCILLARY_BYTES
                        )
                except BlockingIOError:
                    return self._note_open(time.monotonic_ns(), 0, True)
                except OSError as error:
                    return self.fail(str(error))
                if count:
                    started_ns = time.monotonic_ns()
                    delay_ns = timestamps.receive_delay(ancillary) if ancillary else 0
                    self._note_open(started_ns, delay_ns, count < limit)
                    with memoryview(buffer) as view, view[:count] as data:
                        self.on_data(data, delay_ns)
                    if usage is not None:
                        usage.add(started_ns, count)
            finally:
                self.buffers.release(buffer)
            if not count:
                return self.fail(PEER_CLOSED)
            if count < limit:
                return

    def _note_open(self, now_ns: int, delay_ns: int, drained: bool) -> None:
        """Note when the peer surely had not closed: when all was read, or when the first bytes since came.

        Bytes behind these may have waited at the peer, closed already, until there was room for them here.
        """
        if drained:
            self.known_open_ns = now_ns
        elif self.drained:
            self.known_open_ns = now_ns - delay_ns
        self.drained = drained

    def write(self, parts: tuple[bytes, ...], on_written=None) -> bool:
        """Write all parts and return whether the kernel has accepted the last byte.

        If it has not, `on_written()` is called once it has, or never if the connection ends before. The
        parts are passed in one system call; unsent ones are kept by reference, and the caller must not
        write again before they are written.
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
            except OSError as error:
                self.fail(str(error))
                return False
        unsent = []
        for part in parts:
            if sent < len(part):
                unsent.append(memoryview(part)[sent:])
            sent = max(0, sent - len(part))
        for part in unsent:
            if not self._check_closed():  # writing the previous part may have closed it
                written = self.stream.write(part)
        if self._check_closed():
            return False
        if unsent and self.paused:
            self.pause_reading()  # while waiting to write, the stream listens for reads again
        if unsent:
            self.unsent = sum(map(len, unsent))
            written.add_done_callback(lambda done: self._write_ended(done, on_written))
        return not unsent

    def _write_ended(self, done, on_written) -> None:
        if done.cancelled() or done.exception():
            return
        self.unsent = 0
        if on_written is not None:
            on_written()

    def pause_reading(self) -> None:
        """Stop reading, so that TCP flow control stops the peer from sending."""
        self.on_data, self.paused, loop = None, True, self.stream.io_loop
        if not self._check_closed():
            loop.update_handler(self.stream.socket, loop.ERROR | (loop.WRITE if self.stream.writing() else 0))

    def peer_closed(self) -> bool:
        """Return whether the peer has closed its side or the whole connection, even behind unread bytes."""
        if self.closed or self.stream.closed():
            return True
        poller = select.poll()
        poller.register(self.stream.socket, PEER_CLOSED_EVENT)
        return bool(poller.poll(0))

    def acknowledge(self) -> bool:
        """Acknowledge received bytes now instead of with the next write; return whether the system can.

        A peer that leaves Nagle's algorithm on (no TCP_NODELAY) holds back its next small write until then.
        TCP_QUICKACK exists on Linux only (tcp(7)).
        """
        if self.closed or QUICK_ACK_OPTION is None:
            return False
        try:
            self.stream.socket.setsockopt(socket.IPPROTO_TCP, QUICK_ACK_OPTION, 1)
        except OSError:
            return False
        return True

    def unread_bytes(self) -> int:
        """Return how many received bytes wait in the kernel; 0 if that can't be told."""
        if self.closed or self.stream.closed():
            return 0
        count = bytearray(UNREAD_COUNT.size)
        with suppress(OSError):
            fcntl.ioctl(self.stream.socket, termios.FIONREAD, count)
        return UNREAD_COUNT.unpack(count)[0]

    def unacknowledged_bytes(self) -> int:
        """Return how many written bytes the peer's system has not acknowledged; 0 if that can't be told."""
        if self.closed or self.stream.closed():
            return 0
        return self.unsent + send_queue.unacknowledged_bytes(self.stream.socket)

    def undelivered_bytes(self) -> int:
        """Return how many written bytes the peer's system has not received yet; 0 if that can't be told."""
        if self.closed or self.stream.closed():
            return 0
        return self.unsent + send_queue.undelivered_bytes(self.stream.socket)

    def is_idle(self) -> bool:
        """Return whether the connection is open with nothing to read.

        A pooled connection that the peer has closed, or has sent unexpected bytes on, must not be reused.
        """
        return self.peek() is None

    def peek(self) -> bytes | None:
        """Return the next byte without reading it, b"" if the connection has ended, None if it is idle."""
        if self.closed or self.stream.closed():
            return b""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def fail(self, reason: str) -> None:
        """Close the connection and report the failure.

        It goes to `on_connected` while the connection is being established, else to `on_close`.
        """
        on_close, on_connected = self.on_close, self.on_connected
        if not self.closed:
            self.close()
            if on_connected is not None:
                on_connected(ConnectionFailure(Stage.CONNECTING, reason))
            elif on_close is not None:
                on_close(ConnectionFailure(Stage.WRITTEN, reason))

    def reset_on_close(self) -> None:
        """Make the next `close` send a reset, which the peer can't take for the regular end of a message."""
        with suppress(OSError):
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def give_up(self) -> None:
        """Close the connection so that nothing more of what was written reaches the peer.

        After an ordinary close the kernel goes on sending what it holds, for as long as the peer takes.
        """
        if self.unacknowledged_bytes():
            self.reset_on_close()
        self.close()

    def close(self) -> None:
        """Close the connection; no handler is called after this."""
        if self.closed:
            return
        self.closed = True
        self.on_data = self.on_close = self.on_connected = self.read_size = None
        self.descriptors.release()
        fd = self.stream.socket.fileno() if self.stream.socket else -1
        self.descriptors.outgoing_fds.discard(fd)
        if self.usage is not None:
            self.usage.processor_time.delayed_fds.discard(fd)
        self.stream.set_close_callback(None)
        self.stream.close()
        self.stream.connection = None  # breaks the reference cycle

    def _check_closed(self) -> bool:
        """Return whether the connection is closed, also if the stream has closed and not yet reported it."""
        if not self.closed and self.stream.closed():
            self._stream_closed()
        return self.closed

    def _stream_closed(self) -> None:
        self.fail(str(self.stream.error or PEER_CLOSED))

    def shutdown_write(self) -> None:
        """Close the sending direction; the peer reads an end of stream."""
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.fail(str(error))
