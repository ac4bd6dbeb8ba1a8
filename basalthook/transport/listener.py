"""The listening socket."""
import socket

from tornado.netutil import add_accept_handler, bind_sockets

BACKLOG = 1024


class Listener:
    def __init__(self, address: tuple[str, int]) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket, = bind_sockets(address[1], address[0], family, BACKLOG)    # SO_REUSEADDR is set there
        self.address = self.socket.getsockname()
        self.stop_accepting = None

    def accept_to(self, take) -> None:
        """Call `take(socket)` for each connection from now on."""
        self.take = take
        self.stop_accepting = add_accept_handler(self.socket, lambda sock, _: take(sock))

    def close(self) -> None:
        """What the machine has accepted is taken first: it may carry something already."""
        if self.stop_accepting is None:
            return
        self.stop_accepting()
        self.stop_accepting = None
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                break
            sock.setblocking(False)
            self.take(sock)
        self.socket.close()
