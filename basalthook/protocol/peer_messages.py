"""Messages between proxies in the simulator: one fact about one host, in seven bytes."""

from ..policy import interface

MESSAGE_BYTES = 7
CODES_BY_KIND = {interface.FAULT_SEEN: 1, interface.FAULT_CONFIRMED: 2}
KINDS_BY_CODE = {code: kind for kind, code in CODES_BY_KIND.items()}


def encode(kind: str, host_hash: int) -> bytes:
    """Return a message. `host_hash` is the 48-bit number that all proxies derive from the host's address."""
    return bytes([CODES_BY_KIND[kind]]) + host_hash.to_bytes(MESSAGE_BYTES - 1, "big")


def decode(payload: bytes) -> tuple[str, int] | None:
    """Return the kind of fact and the host's number, or None for a malformed message."""
    if len(payload) != MESSAGE_BYTES or payload[0] not in KINDS_BY_CODE:
        return None
    return KINDS_BY_CODE[payload[0]], int.from_bytes(payload[1:], "big")


def decode_hex(digits: str) -> tuple[str, int] | None:
    """Like `decode`, from hexadecimal digits."""
    try:
        return decode(bytes.fromhex(digits))
    except (ValueError, TypeError):
        return None
