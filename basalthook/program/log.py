"""The log: one JSON line an event on standard output. A slow reader never stalls the loop."""
import os
import queue
import sys
import threading
import time

import orjson

WAITING_MOST = 8192     # lines; more are dropped and counted


class Log:
    def __init__(self, name: str) -> None:
        self.name, self.dropped = name, 0
        self.lines: queue.Queue = queue.Queue(WAITING_MOST)
        self.writer = threading.Thread(target=self._write, name="log", daemon=True)
        self.writer.start()

    def say(self, event: str, **fields) -> None:
        line = {"at": round(time.time(), 4), "proxy": self.name, "event": event, **fields}
        if self.dropped:
            line["dropped"] = self.dropped
        try:
            self.lines.put_nowait(orjson.dumps(line, default=str) + b"\n")
            self.dropped = 0
        except queue.Full:
            self.dropped += 1

    def close(self, seconds: float = 0.3) -> None:
        """Give the writer a moment to finish, no more: its reader may have stopped reading."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.writer.join(seconds)

    def _write(self) -> None:
        target = sys.stdout.fileno()
        while (line := self.lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(target, line):]
            except OSError:         # nobody reads the log: the service goes on
                continue
