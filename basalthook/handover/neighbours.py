"""Processes of one name that share a folder: who is there, who serves, and the records they leave.

Each holds a lock on a file of its own for as long as it lives; however it ends, the kernel lets go. That
tells a neighbour alive from one that was killed, also where process numbers mean nothing to each other.
"""

import fcntl
import os
from contextlib import suppress
from urllib.parse import quote

from . import record
from .record import Bad


class Neighbours:
    def __init__(self, folder: str, name: str) -> None:
        self.base = os.path.join(folder, "basalthook-" + quote(name, safe="")[:100])
        self.orders, self.known = self.base + ".orders", self.base + ".known"
        self.serving = self.base + ".serving"  # names the lock of the process that serves
        self.me, self.lock = "", -1

    def arrive(self) -> str:
        """Be there, seen by others; what went wrong, else ""."""
        self.me, start, end = os.urandom(8).hex(), os.path.basename(self.base) + ".", ".alive"
        try:
            for name in os.listdir(os.path.dirname(self.base)):  # guards against files of many killed ones
                if name.startswith(start) and name.endswith(end):
                    self.alive(name[len(start) : -len(end)])
            self.lock = os.open(self.path(self.me), os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            return f"cannot write in {os.path.dirname(self.base)}: {fault.strerror}"
        return ""

    def leave(self) -> None:
        if self.lock >= 0:
            with suppress(OSError):
                os.unlink(self.path(self.me))
            os.close(self.lock)
            self.lock = -1

    def path(self, who: str) -> str:
        return f"{self.base}.{who}.alive"

    def alive(self, who: str) -> bool:
        """Whether this neighbour lives; the file of one that does not is taken away."""
        if who == self.me:
            return True
        try:
            file = os.open(self.path(who), os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            with suppress(OSError):
                os.unlink(self.path(who))
            return False
        finally:
            os.close(file)

    def serves(self) -> str | Bad:
        """Who says so; "" for nobody."""
        found = record.read(self.serving)
        if isinstance(found, Bad):
            return found
        who = found.get("who") if isinstance(found, dict) else None
        return who if isinstance(who, str) and who.isalnum() and len(who) == 16 else ""

    def serve(self) -> str:
        """From now on this process does; what went wrong, else ""."""
        return record.write(self.serving, {"who": self.me})
