"""The log: one JSON line an event on standard output. A slow reader never stalls the loop."""

import os
import sys
import threading
import time
from collections import deque

import orjson

WAITING_MOST = 8192  # events; more are dropped and counted
GATHER = 0.05  # seconds between two looks of the writer: one wake-up an event costs more


def worded(line: dict) -> bytes:
    """As JSON; of what can't be worded (a lone surrogate, a number that is too long) its Python form."""
    try:
        return orjson.dumps(line, default=str)
    except (TypeError, ValueError, RecursionError):
        return orjson.dumps({name: ascii(value) for name, value in line.items()})


class Log:
    """Events are handed over as they are; the writer's thread words and writes them, many in one call."""

    def __init__(self, name: str) -> None:
        self.name, self.dropped, self.ending = name, 0, threading.Event()
        self.events: deque[tuple] = deque()  # emptied by the writer
        self.writer = threading.Thread(target=self._write, name="log", daemon=True)
        self.writer.start()

    def log_event(self, event: str, **fields) -> None:
        if len(self.events) >= WAITING_MOST:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped"], self.dropped = self.dropped, 0
        self.events.append((time.time(), self.name, event, fields))

    def close(self, seconds: float = 0.3) -> None:
        """Give the writer a moment to finish, no more: its reader may have stopped reading."""
        self.ending.set()
        self.writer.join(seconds)

    def _write(self) -> None:
        target, ending = sys.stdout.fileno(), False
        while not ending:
            ending = self.ending.wait(GATHER)
            lines = []
            while self.events:
                at, name, event, fields = self.events[0]
                lines.append(worded({"at": round(at, 4), "proxy": name, "event": event, **fields}))
                self.events.popleft()
            data = b"\n".join([*lines, b""])
            try:
                while data:
                    data = data[os.write(target, data) :]
            except OSError:  # nobody reads the log: the service goes on
                continue
