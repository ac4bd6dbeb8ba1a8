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
from .descriptors import Descriptors

ENDED = "ended by the peer"  # in order: what a peer sends till then is all it had to say
RESET = struct.pack("ii", 1, 0)  # linger, for no time
PEER_ENDED = getattr(select, "POLLRDHUP", 0)  # Linux; elsewhere only what poll(2) tells unasked
# connect(2): nothing was sent, and nothing is known of the peer
OF_THIS_MACHINE = {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE}
READS_A_TURN = 4  # buffers that one connection may fill in a turn of the loop, before others come


class Stage(IntEnum):
    """How far an exchange had come; the peer can have begun on it only from WRITTEN on."""

    UNTRIED = 0  # nothing has left this machine
    CONNECTING = 1
    WRITING = 2
    WRITTEN = 3
    ANSWERING = 4


class Fault(NamedTuple):
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
        "took",
        "ended",
        "up",
        "stream",
        "standing",
        "paused",
        "begun",
        "noticed_late",
    )

    def __init__(self, sock: socket.socket, buffers: BufferPool, descriptors: Descriptors) -> None:
        self.buffers, self.descriptors = buffers, descriptors
        self.closed = self.standing = self.paused = False
        self.took = self.ended = self.up = None
        self.begun = self.noticed_late = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arrival.stamp(sock)
        self.stream = Stream(sock, self)
        descriptors.take()

    @classmethod
    def towards(cls, address: tuple[str, int], buffers: BufferPool, descriptors: Descriptors):
        """One not yet up; a Fault where this machine gives no socket."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
        except OSError as fault:
            return Fault(Stage.UNTRIED, str(fault))
        descriptors.outgoing.add(sock.fileno())
        return cls(sock, buffers, descriptors)

    def connect(self, address: tuple[str, int], up) -> None:
        """`up(None)` once it is up, `up(fault)` if it is not to be; not before this returns."""
        self.up, self.begun = up, time.monotonic_ns()
        self.stream.connect(address).add_done_callback(self._connected)

    def _connected(self, future) -> None:
        if self.closed:
            future.cancelled() or future.exception()
            return
        up, self.up = self.up, None
        if future.cancelled() or future.exception() is not None:
            error = self.stream.error or future.exception()
            self.close()
            # reset, not refused: the peer's machine had taken it already
            stage = Stage.WRITING if isinstance(error, ConnectionResetError) else Stage.CONNECTING
            if getattr(error, "errno", None) in OF_THIS_MACHINE:
                stage = Stage.UNTRIED
            return up(Fault(stage, str(error)))
        took = arrival.connecting(self.stream.socket)
        if took is not None:
            self.noticed_late = max(0, time.monotonic_ns() - self.begun - took)
        up(None)

    def give_up(self, why: str) -> None:
        """It should be up by now; if it is, or was turned down, the loop is about to say so.

        Guards against taking our own lateness for a peer that does not answer.
        """
        if not self.closed and not arrival.settled(self.stream.socket):
            self.fail(why)

    def follow(self, took, ended) -> None:
        """From here on tell these; what is there already is told before this returns."""
        self.took, self.ended = took, ended
        if self._broken():
            return
        if self.paused and not self.closed:
            self.paused, loop = False, self.stream.io_loop
            loop.update_handler(self.stream.socket, loop.READ | loop.ERROR)
        if not self.standing and not self.closed:
            self.standing = True
            self.stream.set_close_callback(self._lost)
            try:
                self.stream.read_bytes(1, partial=True)
            except StreamClosedError:
                self._lost()

    def receive(self) -> None:
        """Read what the kernel has, a few buffers at most: the loop comes back for the rest."""
        for _ in range(READS_A_TURN):
            if self.closed or self.took is None:
                return
            buffer = self.buffers.take()
            try:
                try:
                    count, ancillary, _, _ = self.stream.socket.recvmsg_into([buffer], arrival.SPACE)
                except BlockingIOError:
                    return
                except OSError as fault:
                    return self.fail(str(fault))
                if count:
                    with memoryview(buffer) as whole, whole[:count] as part:
                        self.took(part, arrival.late(ancillary) if ancillary else 0)
            finally:
                self.buffers.give(buffer)
            if not count:
                return self.fail(ENDED)
            if count < self.buffers.size:
                return

    def write(self, parts: tuple[bytes, ...], wrote=None) -> bool:
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
        left = []
        for part in parts:
            if sent < len(part):
                left.append(memoryview(part)[sent:])
            sent = max(0, sent - len(part))
        for part in left:
            if not self._broken():  # under the part before
                written = self.stream.write(part)
        if self._broken():
            return False
        if left and self.paused:
            self.pause()  # the stream looks for bytes again when it waits to write
        if left and wrote is not None:
            written.add_done_callback(lambda done: None if done.cancelled() or done.exception() else wrote())
        return not left

    def pause(self) -> None:
        """Read no more, so that the peer's writing comes to a halt."""
        self.took, self.paused, loop = None, True, self.stream.io_loop
        if not self._broken():
            loop.update_handler(self.stream.socket, loop.ERROR | (loop.WRITE if self.stream.writing() else 0))

    def peer_ended(self) -> bool:
        """Whether the peer has ended its side or all, seen also behind bytes that nobody has read yet."""
        if self.closed or self.stream.closed():
            return True
        looked_for = select.poll()
        looked_for.register(self.stream.socket, PEER_ENDED)
        return bool(looked_for.poll(0))

    def quiet(self) -> bool:
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

    def fail(self, why: str) -> None:
        """It ended, or was given up: whoever follows it, or waits for it to come up, is told."""
        ended, up = self.ended, self.up
        if not self.closed:
            self.close()
            if up is not None:
                up(Fault(Stage.CONNECTING, why))
            elif ended is not None:
                ended(Fault(Stage.WRITTEN, why))

    def reset(self) -> None:
        """The end that follows is one that no peer takes for the end of a whole message."""
        with suppress(OSError):
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    def close(self) -> None:
        """Nobody is told of anything after this."""
        if self.closed:
            return
        self.closed = True
        self.took = self.ended = self.up = None
        self.descriptors.give()
        self.descriptors.outgoing.discard(self.stream.socket.fileno() if self.stream.socket else -1)
        self.stream.set_close_callback(None)
        self.stream.close()
        self.stream.connection = None  # no circle is left for the collector

    def _broken(self) -> bool:
        """Whether it is over; the stream may have found that out in a call of ours, before it says so."""
        if not self.closed and self.stream.closed():
            self._lost()
        return self.closed

    def _lost(self) -> None:
        self.fail(str(self.stream.error or ENDED))

    def end_sending(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError as fault:
            self.fail(str(fault))
