"""The listening socket."""

import asyncio
import errno
import socket
import time

from tornado.netutil import bind_sockets

from . import arrival

BACKLOG = 1024
ACCEPTS_A_TURN = 128  # connections taken in a turn of the loop, before others come
FAILURES_A_TURN = 4  # in a row, before the backlog is left alone for a while
LOOK_AGAIN = 0.01  # seconds until the next look at the backlog, where one could not be taken ...
LOOK_AGAIN_MOST = 0.2  # ... doubled up to this while it goes on
TRY_AGAIN = 0.05  # seconds between two tries to listen, or at the end of all
LISTEN_TRIES = 40
CLOSE_TRIES = 64  # failures in a row at the last look at the backlog
CLOSE_WAIT = 0.001  # seconds after each
# accept(2): what is wrong with the connection that would have been taken; the next one may be sound
OF_ONE = {
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENONET,
    errno.EPERM,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
}
# what may pass by itself: another process may still hold the address for a moment
MOMENTARY = {errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE, errno.EAGAIN}


def listening(address: tuple[str, int]) -> socket.socket:
    """A socket that listens there; OSError, after two seconds where it might have passed.

    Blocks: it is called before anything else runs.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    for tries_left in reversed(range(LISTEN_TRIES)):
        try:
            return bind_sockets(address[1], address[0], family, BACKLOG)[0]  # SO_REUSEADDR is set there
        except OSError as fault:
            if fault.errno not in MOMENTARY or not tries_left:
                raise
            time.sleep(TRY_AGAIN)
    raise AssertionError("the last try returns or raises")


class Listener:
    """Hands every connection to `take(socket)`, which says whether there is room for another one."""

    def __init__(
        self,
        address: tuple[str, int],
        take,
        inherited: socket.socket | None = None,
        log_event=lambda event, **fields: None,
    ) -> None:
        """`inherited`: a socket that listens there already, and goes on doing so when this process ends."""
        self.inherited, self.log_event = inherited is not None, log_event
        self.socket = inherited if self.inherited else listening(address)
        arrival.stamp(self.socket)
        self.address, self.take = self.socket.getsockname()[:2], take
        self.opened = self.paused = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.wait, self.failed = LOOK_AGAIN, 0  # until the next look; failures since one was taken

    def open(self) -> None:
        self.opened, self.loop = True, asyncio.get_running_loop()
        self.loop.add_reader(self.socket, self.ready)

    def ready(self) -> None:
        for _ in range(ACCEPTS_A_TURN):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                self.failed += 1
                if fault.errno in OF_ONE or self.failed % FAILURES_A_TURN:
                    continue
                return self.halt(str(fault))
            self.failed, self.wait = 0, LOOK_AGAIN
            if not self.take(sock):
                return self.shut(LOOK_AGAIN)  # guards against a loop that spins on a backlog it can't empty
            if not self.opened:
                return

    def halt(self, reason: str) -> None:
        """Nothing can be taken now: not looked at again at once, which would take up a core."""
        self.log_event("accept failed", reason=reason, failed=self.failed, again_ms=int(self.wait * 1000))
        self.shut(self.wait)
        self.wait = min(LOOK_AGAIN_MOST, 2 * self.wait)

    def shut(self, seconds: float) -> None:
        """Take none for so long."""
        if self.opened:
            self.stop()
            self.loop.call_later(seconds, self.open_again)

    def stop(self) -> None:
        self.opened = False
        self.loop.remove_reader(self.socket)

    def pause(self) -> None:
        """Take no more for now; what waits is for whoever else listens here, or for later."""
        self.paused = True
        if self.opened:
            self.stop()

    def resume(self) -> None:
        self.paused = False
        self.open_again()

    def open_again(self) -> None:
        if not self.paused and not self.opened and self.socket.fileno() >= 0:
            self.open()

    def close(self) -> None:
        """What the machine has accepted is taken first: it may carry something already. On an inherited
        socket it is left to the next process."""
        self.pause()
        failed = 0
        while not self.inherited and self.socket.fileno() >= 0 and failed < CLOSE_TRIES:
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                break
            except OSError:  # of a moment, or of one connection: others may wait behind it
                failed += 1
                time.sleep(CLOSE_WAIT)
                continue
            failed = 0
            sock.setblocking(False)
            self.take(sock)  # the reserve is for this: nobody comes after them
        self.socket.close()
