"""The listening socket: accepts connections, with a delay after errors that would repeat at once."""

import asyncio
import errno
import socket
import time

from tornado.netutil import bind_sockets

from . import socket_buffers, timestamps

BACKLOG = 1024
MAX_ACCEPTS_PER_ITERATION = 128  # connections accepted before the loop serves other events
MAX_ACCEPT_TIME_S = 0.005  # spent on these, what they have sent already included
MAX_FAILURES_PER_ITERATION = 4  # consecutive failures before accepting pauses
RETRY_DELAY_S = 0.01  # pause after a connection could not be accepted; doubled with each further pause
MAX_RETRY_DELAY_S = 0.2
BIND_RETRY_DELAY_S = 0.05  # between two attempts to listen
BIND_ATTEMPTS = 40  # 2 s in all
MAX_CLOSE_FAILURES = 64  # consecutive failures while the backlog is emptied at the end
CLOSE_RETRY_DELAY_S = 0.001  # after each of these failures
# errors of accept(2) that concern one pending connection; others may be accepted
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
# errors that may pass by themselves, such as an address that another process is about to release
TRANSIENT_ERRORS = {errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE, errno.EAGAIN}


def open_listening_socket(address: tuple[str, int]) -> socket.socket:
    """Return a socket that listens at the address.

    Raises OSError, for transient errors only after retrying for 2 s. Blocks; call it before the event
    loop runs.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    for attempts_left in reversed(range(BIND_ATTEMPTS)):
        try:
            return bind_sockets(address[1], address[0], family, BACKLOG)[0]  # SO_REUSEADDR is set there
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or not attempts_left:
                raise
            time.sleep(BIND_RETRY_DELAY_S)
    raise AssertionError("the last attempt returns or raises")


class Listener:
    """Passes every connection to `on_accept(socket)`, which returns whether there is room for another one."""

    def __init__(
        self,
        address: tuple[str, int],
        on_accept,
        inherited: socket.socket | None = None,
        log_event=lambda event, **fields: None,
    ) -> None:
        """Listen at `address`, or use `inherited`: a listening socket that outlives this process.

        Raises OSError if the address can't be listened at.
        """
        self.inherited, self.log_event = inherited is not None, log_event
        self.socket = inherited if self.inherited else open_listening_socket(address)
        timestamps.enable(self.socket)
        socket_buffers.limit(self.socket, socket_buffers.CLIENT_BUFFER_BYTES)  # accepted ones inherit it
        self.address, self.on_accept = self.socket.getsockname()[:2], on_accept
        self.accepting = self.paused = False
        self.loop: asyncio.AbstractEventLoop | None = None
        # seconds of the next pause; failures since a connection was accepted
        self.retry_delay, self.failures = RETRY_DELAY_S, 0

    def open(self) -> None:
        """Start accepting on the running event loop."""
        self.accepting, self.loop = True, asyncio.get_running_loop()
        self.loop.add_reader(self.socket, self._accept_ready)

    def _accept_ready(self) -> None:
        until = time.monotonic() + MAX_ACCEPT_TIME_S
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if time.monotonic() >= until:
                return
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
                # without a pause, the loop would spin on a backlog that it can't empty
                return self._pause_for(RETRY_DELAY_S)
            if not self.accepting:
                return

    def _back_off(self, reason: str) -> None:
        """Pause after an error that would repeat at once: retrying without a delay would use up a core."""
        self.log_event(
            "accept failed", reason=reason, failed=self.failures, again_ms=int(self.retry_delay * 1000)
        )
        self._pause_for(self.retry_delay)
        self.retry_delay = min(MAX_RETRY_DELAY_S, 2 * self.retry_delay)

    def _pause_for(self, seconds: float) -> None:
        """Accept nothing for a time."""
        if self.accepting:
            self._stop_accepting()
            self.loop.call_later(seconds, self._reopen)

    def _stop_accepting(self) -> None:
        self.accepting = False
        self.loop.remove_reader(self.socket)

    def pause(self) -> None:
        """Stop accepting until `resume`.

        Pending connections go to other processes that listen on this socket, or wait.
        """
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
        """Accept what is in the backlog, which may carry requests already, and close the socket.

        The backlog of an inherited socket is left to the next process.
        """
        self.pause()
        failed = 0
        while not self.inherited and self.socket.fileno() >= 0 and failed < MAX_CLOSE_FAILURES:
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                break
            except OSError:  # transient, or of one connection: others may be pending behind it
                failed += 1
                time.sleep(CLOSE_RETRY_DELAY_S)
                continue
            failed = 0
            sock.setblocking(False)
            self.on_accept(sock)  # uses reserved descriptors: no connection comes after these
        self.socket.close()
