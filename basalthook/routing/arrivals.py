"""When the bytes of a client's requests arrived, also of requests that it sends ahead of an answer."""

from collections import deque

MAX_PIECES = 64  # kept apart; of more, the oldest two count as one that arrived with the first of them


class Arrivals:
    """The arrival times, in ticks, of the bytes that a connection delivered and the parser still holds."""

    __slots__ = ("pieces", "held", "last_parsed_at")

    def __init__(self) -> None:
        self.pieces: deque[tuple[int, int]] = deque()  # (bytes, arrival), oldest first
        self.held = 0  # bytes of all pieces
        self.last_parsed_at = 0

    def add(self, count: int, arrived_at: int) -> None:
        """Note that `count` bytes were delivered, the last of which arrived at `arrived_at`."""
        self.pieces.append((count, arrived_at))
        self.held += count
        if len(self.pieces) > MAX_PIECES:
            first_count, first_at = self.pieces.popleft()
            second_count, _ = self.pieces.popleft()
            self.pieces.appendleft((first_count + second_count, first_at))

    def of_last_parsed(self, unparsed: int) -> int:
        """Return when the last parsed byte arrived; `unparsed`: how many bytes follow it."""
        parsed = self.held - unparsed
        while parsed > 0:
            count, self.last_parsed_at = self.pieces.popleft()
            if count > parsed:
                self.pieces.appendleft((count - parsed, self.last_parsed_at))
            parsed -= count
        self.held = unparsed
        return self.last_parsed_at
