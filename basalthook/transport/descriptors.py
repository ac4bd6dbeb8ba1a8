"""What this process may hold open, against the limit given at start."""

RESERVE = 40    # the interpreter's own, the loop's, the listener, discovery, and a start's short-lived files


class Descriptors:
    def __init__(self, limit: int) -> None:
        self.most, self.held = max(2, limit - RESERVE), 0

    def take(self) -> None:
        self.held += 1

    def give(self) -> None:
        self.held -= 1

    def full(self) -> bool:
        return self.held >= self.most
