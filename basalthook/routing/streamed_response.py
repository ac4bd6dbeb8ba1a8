"""Passing on a long response to a client, piece by piece as it arrives from the host."""

from collections.abc import Callable

from ..bodies.forwarder import ResponseForwarder
from ..protocol import application
from ..transport.connection import Connection


class StreamedResponse:
    """The client's side of a `ResponseForwarder`, which calls `write_piece` and `forwarding_finished`."""

    __slots__ = ("connection", "forwarder", "chunked", "on_held_changed", "on_finished")

    def __init__(
        self,
        connection: Connection,
        forwarder: ResponseForwarder,
        chunked: bool,
        on_held_changed: Callable[[], None],
        on_finished: Callable[[bool], None],
    ) -> None:
        """`chunked`: whether the body goes out in chunks, as its length is unknown.

        `on_held_changed()` is called when the bytes that are held until the client reads them may have
        changed; `on_finished(complete)` once, at the end: the last chunk is left to be written.
        """
        self.connection, self.forwarder, self.chunked = connection, forwarder, chunked
        self.on_held_changed, self.on_finished = on_held_changed, on_finished

    def start(self, head: bytes) -> None:
        """Write the head, then what arrives."""
        self.forwarder.start(self)
        if self.connection.write((head,), self.forwarder.resume):
            self.forwarder.resume()

    def stop(self) -> None:
        """Stop, as the client has gone; the host's connection is closed."""
        self.forwarder.stop()

    def write_piece(self, data: bytes) -> bool:
        """Write a piece of the body. Returns whether the kernel accepted it; if not, the forwarder waits."""
        parts = application.encode_chunk(data) if self.chunked else (data,)
        accepted = self.connection.write(parts, self._on_piece_written)
        if not accepted:
            self.on_held_changed()
        return accepted

    def _on_piece_written(self) -> None:
        self.on_held_changed()
        self.forwarder.resume()

    def forwarding_finished(self, complete: bool) -> None:
        """Called by the forwarder when the response is complete, or has broken off."""
        self.on_finished(complete)

    def last_parts(self) -> tuple[bytes, ...]:
        """Return what ends a complete response."""
        return (application.LAST_CHUNK,) if self.chunked else ()
