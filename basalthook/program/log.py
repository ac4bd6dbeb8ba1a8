"""The log: one JSON line for each event on standard output. A slow reader never blocks the event loop."""

import os
import sys
import threading
import time
from collections import deque

import orjson

MAX_QUEUED_EVENTS = 2048  # more are dropped and counted
MAX_TEXT_CHARACTERS = 512  # of a field; some come from peers, which may send 16 KiB
MAX_BATCH_EVENTS = 256  # written in one call
WRITE_INTERVAL_S = 0.05  # events are written in batches: a wake-up for each event costs more


def to_json(line: dict) -> bytes:
    """The line as JSON. If a value can't be encoded (a lone surrogate, a long number), all as `ascii()`."""
    try:
        return orjson.dumps(line, default=str)
    except (TypeError, ValueError, RecursionError):
        return orjson.dumps({name: ascii(value) for name, value in line.items()})


class Log:
    """Queues events unformatted; a thread formats them and writes many in one call."""

    def __init__(self, name: str) -> None:
        self.name, self.dropped, self.stopped = name, 0, threading.Event()
        self.queue: deque[tuple] = deque()  # emptied by the writer thread
        self.writer = threading.Thread(target=self._write, name="log", daemon=True)
        self.writer.start()

    def log_event(self, event: str, **fields) -> None:
        """Queues an event; drops and counts it if the queue is full. `fields`: fields of its line."""
        if len(self.queue) >= MAX_QUEUED_EVENTS:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped"], self.dropped = self.dropped, 0
        for name, value in fields.items():
            if type(value) is str and len(value) > MAX_TEXT_CHARACTERS:
                fields[name] = value[:MAX_TEXT_CHARACTERS]
        self.queue.append((time.time(), self.name, event, fields))

    def close(self, seconds: float = 0.3) -> None:
        """Waits `seconds` at most for the writer: nobody may be reading the log any more."""
        self.stopped.set()
        self.writer.join(seconds)

    def _write(self) -> None:
        target, ending, lines = sys.stdout.fileno(), False, []
        while not ending:
            # without a pause while a whole batch waits; the last batch is written after `close`
            pause = 0 if len(lines) == MAX_BATCH_EVENTS else WRITE_INTERVAL_S
            ending = self.stopped.wait(pause) and len(self.queue) <= MAX_BATCH_EVENTS
            lines = []
            while self.queue and len(lines) < MAX_BATCH_EVENTS:
                at, name, event, fields = self.queue[0]
                lines.append(to_json({"at": round(at, 4), "proxy": name, "event": event, **fields}))
                self.queue.popleft()
            data = b"\n".join([*lines, b""])
            try:
                while data:
                    data = data[os.write(target, data) :]
            except OSError:  # the log has no reader; the service goes on
                continue
