"""Request ids that have been forwarded, so that none runs twice though its client has left and comes again.

A table of fixed size: each id is a hash and the time at which it was noted. The processes of one proxy share
it as a file in their folder; the monotonic clock is the same for all of them (clock_gettime(2), per boot).
"""

import mmap
import os
import struct
from hashlib import blake2b

BUCKETS, SLOTS = 1024, 8  # the oldest id of a bucket gives way
MEMORY_NS = 60_000_000_000  # after which an id may come again; a request is over long before
SLOT = struct.Struct("=QQ")  # hash, nanoseconds
BUCKET = struct.Struct(f"={2 * SLOTS}Q")
TABLE_BYTES = BUCKETS * BUCKET.size
HASH_BYTES = 8


class RequestIds:
    """The table of forwarded ids."""

    def __init__(self, now_ns) -> None:
        """`now_ns()`: nanoseconds of the monotonic clock."""
        self.now_ns = now_ns
        self.table: bytearray | mmap.mmap = bytearray(TABLE_BYTES)

    def share(self, path: str) -> str:
        """Use the table in this file from now on, which is created if need be.

        Returns an error, or "" on success. All space is allocated at once: a write to a mapped file for which
        the disk has no space would end the process (SIGBUS, mmap(2)).
        """
        try:
            file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        except OSError as error:
            return f"cannot open {path}: {error.strerror}"
        try:
            os.posix_fallocate(file, 0, TABLE_BYTES)
            self.table = mmap.mmap(file, TABLE_BYTES)
        except (OSError, ValueError) as error:
            return f"cannot share {path}: {error}"
        finally:
            os.close(file)
        return ""

    def note(self, request_id: str) -> None:
        """Note that the request is about to be forwarded."""
        bucket, key = self._locate(request_id)
        entries = self._entries(bucket)
        oldest = min(range(SLOTS), key=lambda slot: entries[slot][1])
        SLOT.pack_into(self.table, bucket + oldest * SLOT.size, key, self.now_ns())

    def forget(self, request_id: str) -> None:
        """No host has begun the request after all."""
        bucket, key = self._locate(request_id)
        for slot, (other, _) in enumerate(self._entries(bucket)):
            if other == key:
                SLOT.pack_into(self.table, bucket + slot * SLOT.size, 0, 0)

    def __contains__(self, request_id: str) -> bool:
        """Whether the request has been forwarded, by this process or another one that shares the table."""
        bucket, key = self._locate(request_id)
        now = self.now_ns()
        return any(
            other == key and abs(now - noted_ns) < MEMORY_NS for other, noted_ns in self._entries(bucket)
        )

    def _locate(self, request_id: str) -> tuple[int, int]:
        """Return the offset of the id's bucket, and its hash, which is not 0."""
        digest = blake2b(request_id.encode(), digest_size=HASH_BYTES).digest()
        key = int.from_bytes(digest, "little") or 1
        return key % BUCKETS * BUCKET.size, key

    def _entries(self, bucket: int) -> list[tuple[int, int]]:
        values = BUCKET.unpack_from(self.table, bucket)
        return list(zip(values[::2], values[1::2], strict=True))
