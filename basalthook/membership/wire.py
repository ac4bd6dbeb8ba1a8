"""Datagrams among members: version, keyed checksum, msgpack. Whatever is not sound is nothing, with its
reason.

Form: one byte of version, eight of blake2b keyed with the fleet's key over the rest, the message. Replies
carry the nonce of a question that is still open, so a datagram played again answers nothing; the rest of what
is told is ordered by lives and incarnations, so that an old one changes nothing.
"""

from hashlib import blake2b
from hmac import compare_digest

import msgpack

VERSION, CHECKSUM_BYTES, MAX_DATAGRAM = 1, 8, 1400
# no more elements than a datagram has bytes
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
    body = msgpack.packb(message)
    return bytes([VERSION]) + checksum(key, body) + body


def decode(key: bytes, data: bytes) -> list | str:
    """The message: a list that begins with its kind, who sent it and a nonce; or why there is none."""
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
