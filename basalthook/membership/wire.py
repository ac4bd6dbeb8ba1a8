"""Datagrams among members: version, keyed checksum, msgpack. Whatever is not sound is nothing, with its
reason.

Form: one byte of version, eight of blake2b keyed with the fleet's key over the rest, the message. Replies
carry the nonce of a question that is still open, so a datagram played again answers nothing; the rest of what
is told is ordered by lives and incarnations, so that an old one changes nothing.
"""

from hashlib import blake2b
from hmac import compare_digest

import msgpack

VERSION, CHECK, MOST = 1, 8, 1400
# no more elements than a datagram has bytes
DEPTH = {"max_array_len": MOST, "max_map_len": 0, "max_str_len": 512, "max_bin_len": 0, "max_ext_len": 0}
SPOILT, OTHER_VERSION, TOO_LONG = "spoilt", "another version", "too long"


def check(key: bytes, body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECK, key=key).digest()


def sealed(key: bytes, message: list) -> bytes:
    body = msgpack.packb(message)
    return bytes([VERSION]) + check(key, body) + body


def opened(key: bytes, data: bytes) -> list | str:
    """The message: a list that begins with its kind, who sent it and a nonce; or why there is none."""
    if len(data) > MOST:
        return TOO_LONG
    if len(data) < 2 + CHECK:
        return SPOILT
    if data[0] != VERSION:
        return OTHER_VERSION
    body = data[1 + CHECK :]
    if not compare_digest(data[1 : 1 + CHECK], check(key, body)):
        return SPOILT
    try:
        message = msgpack.unpackb(body, **DEPTH)
    except (ValueError, msgpack.UnpackException, RecursionError):
        return SPOILT
    if (
        not isinstance(message, list)
        or len(message) < 3
        or not isinstance(message[0], int)
        or not isinstance(message[1], str)
        or not 0 < len(message[1]) <= 64
        or not isinstance(message[2], int)
    ):
        return SPOILT
    return message
