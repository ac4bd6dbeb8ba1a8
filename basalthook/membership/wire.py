"""Encoding of datagrams between members: version, keyed checksum, msgpack.

A datagram is one byte of version, eight bytes of blake2b over the message, keyed with the fleet's key, and
the message. Replies carry the nonce of a request that is still open, so a replayed datagram answers nothing;
other content is ordered by lives and incarnations, so that old content changes nothing.
"""

from hashlib import blake2b
from hmac import compare_digest

import msgpack

VERSION, CHECKSUM_BYTES, MAX_DATAGRAM = 1, 8, 1400  # MAX_DATAGRAM in bytes
# a list has no more elements than a datagram has bytes
UNPACK_LIMITS = {
    "max_array_len": MAX_DATAGRAM,
    "max_map_len": 0,
    "max_str_len": 512,
    "max_bin_len": 0,
    "max_ext_len": 0,
}
CORRUPT, OTHER_VERSION, TOO_LONG = "spoilt", "another version", "too long"


def checksum(key: bytes, body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES, key=key).digest()


def encode(key: bytes, message: list) -> bytes:
    """Returns the datagram for a message."""
    body = msgpack.packb(message)
    return bytes([VERSION]) + checksum(key, body) + body


def decode(key: bytes, data: bytes) -> list | str:
    """Returns the message, a list that starts with kind, sender and nonce; or the reason to refuse it."""
    if len(data) > MAX_DATAGRAM:
        return TOO_LONG
    if len(data) < 2 + CHECKSUM_BYTES:
        return CORRUPT
    if data[0] != VERSION:
        return OTHER_VERSION
    body = data[1 + CHECKSUM_BYTES :]
    if not compare_digest(data[1 : 1 + CHECKSUM_BYTES], checksum(key, body)):
        return CORRUPT
    try:
        message = msgpack.unpackb(body, **UNPACK_LIMITS)
    except (ValueError, msgpack.UnpackException, RecursionError):
        return CORRUPT
    if (
        not isinstance(message, list)
        or len(message) < 3
        or not isinstance(message[0], int)
        or not isinstance(message[1], str)
        or not 0 < len(message[1]) <= 64
        or not isinstance(message[2], int)
    ):
        return CORRUPT
    return message
