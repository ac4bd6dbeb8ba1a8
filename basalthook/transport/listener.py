"""The listening socket."""

import asyncio
import errno
import socket
import time

from tornado.netutil import bind_sockets

from . import arrival

BACKLOG = 1024
MAX_ACCEPTS_PER_ITERATION = 128  # connections taken in a turn of the loop, before others come
MAX_FAILURES_PER_ITERATION = 4  # in a row, before the backlog is left alone for a while
RETRY_DELAY_S = 0.01  # seconds until the next look at the backlog, where one could not be taken ...
MAX_RETRY_DELAY_S = 0.2  # ... doubled up to this while it goes on
BIND_RETRY_DELAY_S = 0.05  # seconds between two tries to listen, or at the end of all
BIND_ATTEMPTS = 40
MAX_CLOSE_FAILURES = 64  # failures in a row at the last look at the backlog
CLOSE_RETRY_DELAY_S = 0.001  # seconds after each
# accept(2): what is wrong with the connection that would have been taken; the next one may be sound
CONNECTION_ERRORS = {
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
TRANSIENT_ERRORS = {errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE, errno.EAGAIN}


def open_listening_socket(address: tuple[str, int]) -> socket.socket:
    """A socket that listens there; OSError, after two seconds where it might have passed.

    Blocks: it is called before anything else runs.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    for attempts_left in reversed(range(BIND_ATTEMPTS)):
        try:
            return bind_sockets(address[1], address[0], family, BACKLOG)[0]  # SO_REUSEADDR is set there
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or not attempts_left:
                raise
            time.sleep(BIND_RETRY_DELAY_S)
    raise AssertionError("the last try returns or raises")


class Listener:
    """Hands every connection to `take(socket)`, which says whether there is room for another one."""

    def __init__(
        self,
        address: tuple[str, int],
        on_accept,
        inherited: socket.socket | None = None,
        log=lambda event, **fields: None,
    ) -> None:
        """`inherited`: a socket that listens there already, and goes on doing so when this process ends."""
        self.inherited, self.log = inherited is not None, log
        self.socket = inherited if self.inherited else open_listening_socket(address)
        arrival.enable(self.socket)
        self.address, self.on_accept = self.socket.getsockname()[:2], on_accept
        self.accepting = self.paused = False
        self.loop: asyncio.AbstractEventLoop | None = None
        self.retry_delay, self.failures = (
            RETRY_DELAY_S,
            0,
        )  # until the next look; failures since one was taken

    def open(self) -> None:
        self.accepting, self.loop = True, asyncio.get_running_loop()
        self.loop.add_reader(self.socket, self._accept_ready)

    def _accept_ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.failures += 1
                if error.errno in CONNECTION_ERRORS or self.failures % MAX_FAILURES_PER_ITERATION:
                    continue
                return self._back_off(str(error))
            self.failures, self.retry_delay = 0, RETRY_DELAY_S
            if not self.on_accept(sock):
                return self._pause_for(
                    RETRY_DELAY_S
                )  # guards against a loop that spins on a backlog it can't empty
            if not self.accepting:
                return

    def _back_off(self, reason: str) -> None:
        """Nothing can be taken now: not looked at again at once, which would take up a core."""
        self.log("accept failed", reason=reason, failed=self.failures, again_ms=int(self.retry_delay * 1000))
        self._pause_for(self.retry_delay)
        self.retry_delay = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay)

    def _pause_for(self, seconds: float) -> None:
        """Take none for so long."""
        if self.accepting:
            self._stop_accepting()
            self.loop.call_later(seconds, self._reopen)

    def _stop_accepting(self) -> None:
        self.accepting = False
        self.loop.remove_reader(self.socket)

    def pause(self) -> None:
        """Take no more for now; what waits is for whoever else listens here, or for later."""
        self.paused = True
        if self.accepting:
            self._stop_accepting()

    def resume(self) -> None:
        self.paused = False
        self._reopen()

    def _reopen(self) -> None:
        if not self.paused and not self.accepting and self.socket.fileno() >= 0:
            self.open()

    def close(self) -> None:
        """What the machine has accepted is taken first: it may carry something already. On an inherited
        socket it is left to the next process."""
        self.pause()
        failed = 0
        while not self.inherited and self.socket.fileno() >= 0 and failed < MAX_CLOSE_FAILURES:
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                break
            except OSError:  # of a moment, or of one connection: others may wait behind it
                failed += 1
                time.sleep(CLOSE_RETRY_DELAY_S)
                continue
            failed = 0
            sock.setblocking(False)
            self.on_accept(sock)  # the reserve is for this: nobody comes after them
        self.socket.close()
