"""A record on disk: written whole or not at all, read only if it is sound and ours.

Form: a line that names form and version, the length of the text, its checksum, the text (JSON). It is renamed
over the one before. No fsync: it has to outlive the process, not the machine.
"""

import os
import stat
import struct
import threading
from contextlib import suppress
from hashlib import blake2b
from typing import NamedTuple

import orjson

MAGIC = b"basalthook record 1\n"
HEAD = struct.Struct(">I16s")
LENGTH_MOST = 8 * 1024 * 1024


class Bad(NamedTuple):
    """There is something, but no record that may be followed."""

    reason: str


def digest(text: bytes) -> bytes:
    return blake2b(text, digest_size=16).digest()


def encode(value) -> bytes:
    text = orjson.dumps(value)
    return MAGIC + HEAD.pack(len(text), digest(text)) + text


def decode(data: bytes):
    """The value, or Bad."""
    if not data.startswith(MAGIC):
        return Bad("no record of this version")
    if len(data) < len(MAGIC) + HEAD.size:
        return Bad("cut short")
    length, checksum = HEAD.unpack_from(data, len(MAGIC))
    text = data[len(MAGIC) + HEAD.size :]
    if len(text) != length:
        return Bad("cut short" if len(text) < length else "longer than it says")
    if digest(text) != checksum:
        return Bad("checksum does not fit")
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as fault:
        return Bad(str(fault))


def write(path: str, value) -> str:
    """What went wrong; "" if it is there."""
    part = f"{path}.{os.getpid()}.part"
    try:
        with suppress(FileNotFoundError):
            os.unlink(part)  # of one killed in the middle, whose number came round
        file = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
        try:
            data = memoryview(encode(value))
            while data:
                data = data[os.write(file, data) :]
        finally:
            os.close(file)
        os.rename(part, path)
    except OSError as fault:
        with suppress(OSError):
            os.unlink(part)
        return f"cannot write {path}: {fault.strerror}"
    return ""


def read(path: str):
    """The value; None if there is none; Bad."""
    try:
        file = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
    except FileNotFoundError:
        return None
    except OSError as fault:
        return Bad(f"cannot read {path}: {fault.strerror}")
    try:
        found = os.fstat(file)
        if not stat.S_ISREG(found.st_mode) or found.st_uid != os.geteuid() or found.st_mode & 0o022:
            return Bad(f"{path} is not this user's alone")
        if found.st_size > LENGTH_MOST:
            return Bad(f"{path} is too long")
        data = b""
        while part := os.read(file, LENGTH_MOST + 1 - len(data)):
            data += part
    except OSError as fault:
        return Bad(f"cannot read {path}: {fault.strerror}")
    finally:
        os.close(file)
    value = decode(data)
    return Bad(f"{path}: {value.reason}") if isinstance(value, Bad) else value


def mark(path: str) -> tuple | None:
    """Changes whenever another record is put there."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_mtime_ns, found.st_size


class Writer:
    """Writes records by a thread of its own, of each path the newest.

    Guards against a disk that holds the loop up: a rename over a file waits for its blocks on some file
    systems, and beside eleven others that write as well it took 0.8 s.
    """

    def __init__(self) -> None:
        self.next: dict[str, object] = {}  # path -> value; emptied by the thread
        self.wrong = ""  # what went wrong with the last one
        self.busy, self.turn, self.thread = False, threading.Condition(), None

    def put(self, path: str, value) -> None:
        """The value is not changed afterwards."""
        with self.turn:
            self.next[path] = value
            self.turn.notify_all()
        if self.thread is None:
            self.thread = threading.Thread(target=self._write, name="records", daemon=True)
            self.thread.start()

    def wait(self, seconds: float) -> bool:
        """Whether all that was put is written by then."""
        with self.turn:
            return self.turn.wait_for(lambda: not self.next and not self.busy, seconds)

    def _write(self) -> None:
        while True:
            with self.turn:
                self.turn.wait_for(lambda: self.next)
                (path, value), self.busy = self.next.popitem(), True
            self.wrong = write(path, value)
            with self.turn:
                self.busy = False
                self.turn.notify_all()
