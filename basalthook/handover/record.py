"""Records on disk: written atomically, and read only if valid and owned by this user.

Format: a line with format and version, the length of the payload, its checksum, the payload (JSON). A new
record is renamed over the old one. There is no fsync: records have to survive the process, not the machine.
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
HEADER = struct.Struct(">I16s")
MAX_RECORD_BYTES = 8 * 1024 * 1024


class BadRecord(NamedTuple):
    """The file exists but holds no valid record."""

    reason: str


def compute_checksum(payload: bytes) -> bytes:
    return blake2b(payload, digest_size=16).digest()


def encode(value) -> bytes:
    """The record of a value, as bytes."""
    payload = orjson.dumps(value)
    return MAGIC + HEADER.pack(len(payload), compute_checksum(payload)) + payload


def decode(data: bytes):
    """Returns the value, or BadRecord."""
    if not data.startswith(MAGIC):
        return BadRecord("not a record of this version")
    if len(data) < len(MAGIC) + HEADER.size:
        return BadRecord("cut short")
    length, checksum = HEADER.unpack_from(data, len(MAGIC))
    payload = data[len(MAGIC) + HEADER.size :]
    if len(payload) != length:
        return BadRecord("cut short" if len(payload) < length else "longer than its length field")
    if compute_checksum(payload) != checksum:
        return BadRecord("checksum mismatch")
    try:
        return orjson.loads(payload)
    except orjson.JSONDecodeError as error:
        return BadRecord(str(error))


def write(path: str, value) -> str:
    """Writes the record atomically. Returns an error, or "" on success."""
    temporary_path = f"{path}.{os.getpid()}.part"
    try:
        with suppress(FileNotFoundError):
            os.unlink(temporary_path)  # left by a killed process with the same process id
        file = os.open(
            temporary_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
        )
        try:
            data = memoryview(encode(value))
            while data:
                data = data[os.write(file, data) :]
        finally:
            os.close(file)
        os.rename(temporary_path, path)
    except OSError as error:
        with suppress(OSError):
            os.unlink(temporary_path)
        return f"cannot write {path}: {error.strerror}"
    return ""


def read(path: str):
    """Returns the value, None if there is no record, or BadRecord."""
    try:
        file = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC | os.O_NONBLOCK)
    except FileNotFoundError:
        return None
    except OSError as error:
        return BadRecord(f"cannot read {path}: {error.strerror}")
    try:
        status = os.fstat(file)
        if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o022:
            return BadRecord(f"{path} is not owned and writable by this user alone")
        if status.st_size > MAX_RECORD_BYTES:
            return BadRecord(f"{path} is too long")
        data = b""
        while chunk := os.read(file, MAX_RECORD_BYTES + 1 - len(data)):
            data += chunk
    except OSError as error:
        return BadRecord(f"cannot read {path}: {error.strerror}")
    finally:
        os.close(file)
    value = decode(data)
    return BadRecord(f"{path}: {value.reason}") if isinstance(value, BadRecord) else value


def file_signature(path: str) -> tuple | None:
    """Changes whenever another record is written there; None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_mtime_ns, status.st_size


class RecordWriter:
    """Writes records in a thread of its own; of several records for one path, only the newest.

    A slow disk would block the event loop otherwise: on some file systems a rename over a file waits until
    its blocks are written, which took 0.8 s beside eleven other writers.
    """

    def __init__(self) -> None:
        self.pending: dict[str, object] = {}  # by path; emptied by the thread
        self.error = ""  # of the last write, or ""
        self.writing, self.condition, self.thread = False, threading.Condition(), None

    def put(self, path: str, value) -> None:
        """Queues a record; `value` must not be changed afterwards."""
        with self.condition:
            self.pending[path] = value
            self.condition.notify_all()
        if self.thread is None:
            self.thread = threading.Thread(target=self._write, name="records", daemon=True)
            self.thread.start()

    def wait(self, seconds: float) -> bool:
        """Whether all queued records are written within `seconds`."""
        with self.condition:
            return self.condition.wait_for(lambda: not self.pending and not self.writing, seconds)

    def _write(self) -> None:
        while True:
            with self.condition:
                self.condition.wait_for(lambda: self.pending)
                (path, value), self.writing = self.pending.popitem(), True
            self.error = write(path, value)
            with self.condition:
                self.writing = False
                self.condition.notify_all()
