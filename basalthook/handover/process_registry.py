"""Registry of the processes of one proxy that share a folder: which are alive, and which one serves.

Each process holds a lock on a file of its own for as long as it lives; however it ends, the kernel releases
the lock. That tells a live process from a killed one, also across PID namespaces.
"""

import fcntl
import os
from contextlib import suppress
from urllib.parse import quote

from . import record
from .record import BadRecord


class ProcessRegistry:
    """The files that the processes of the proxy `name` keep in `folder`."""

    def __init__(self, folder: str, name: str) -> None:
        self.path_prefix = os.path.join(folder, "basalthook-" + quote(name, safe="")[:100])
        self.overrides_path, self.state_path = self.path_prefix + ".orders", self.path_prefix + ".known"
        self.request_ids_path = self.path_prefix + ".ids"
        self.serving_path = self.path_prefix + ".serving"  # holds the id of the process that serves
        self.own_id, self.lock_fd = "", -1

    def register(self) -> str:
        """Creates and locks this process's file. Returns an error, or "" on success."""
        self.own_id, start, end = os.urandom(8).hex(), os.path.basename(self.path_prefix) + ".", ".alive"
        try:
            for name in os.listdir(os.path.dirname(self.path_prefix)):
                if name.startswith(start) and name.endswith(end):
                    self.is_alive(name[len(start) : -len(end)])  # removes files of killed processes
            self.lock_fd = os.open(
                self.lock_path(self.own_id), os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600
            )
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            return f"cannot write in {os.path.dirname(self.path_prefix)}: {error.strerror}"
        return ""

    def unregister(self) -> None:
        """Removes this process's file and releases its lock."""
        if self.lock_fd >= 0:
            with suppress(OSError):
                os.unlink(self.lock_path(self.own_id))
            os.close(self.lock_fd)
            self.lock_fd = -1

    def lock_path(self, process_id: str) -> str:
        return f"{self.path_prefix}.{process_id}.alive"

    def is_alive(self, process_id: str) -> bool:
        """Whether this process is alive; the file of one that is not is removed."""
        if process_id == self.own_id:
            return True
        try:
            file = os.open(self.lock_path(process_id), os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            with suppress(OSError):
                os.unlink(self.lock_path(process_id))
            return False
        finally:
            os.close(file)

    def serving_process(self) -> str | BadRecord:
        """The id of the process that is recorded as serving; "" if there is none."""
        stored = record.read(self.serving_path)
        if isinstance(stored, BadRecord):
            return stored
        process_id = stored.get("who") if isinstance(stored, dict) else None
        return (
            process_id
            if isinstance(process_id, str) and process_id.isalnum() and len(process_id) == 16
            else ""
        )

    def claim_serving(self) -> str:
        """Records that this process serves from now on. Returns an error, or "" on success."""
        return record.write(self.serving_path, {"who": self.own_id})
