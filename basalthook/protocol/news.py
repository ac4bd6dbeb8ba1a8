"""News among proxies: one fact of one host a message, in seven bytes. Malformed ones are nothing."""

from ..policy import interface

LENGTH = 7
CODES = {interface.FAULT_SEEN: 1, interface.FAULT_CONFIRMED: 2}
WORDS = {code: word for word, code in CODES.items()}


def encode(what: str, mark: int) -> bytes:
    """`mark`: the number that stands for the host at every proxy."""
    return bytes([CODES[what]]) + mark.to_bytes(LENGTH - 1, "big")


def decode(payload: bytes) -> tuple[str, int] | None:
    if len(payload) != LENGTH or payload[0] not in WORDS:
        return None
    return WORDS[payload[0]], int.from_bytes(payload[1:], "big")


def read(digits: str) -> tuple[str, int] | None:
    """The same from hex digits."""
    try:
        return decode(bytes.fromhex(digits))
    except (ValueError, TypeError):
        return None
