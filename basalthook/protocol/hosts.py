"""A hop on the wire: the message that goes to a host, and what its answer means."""
from ..policy import interface as i
from . import http1
from .application import PER_HOP, end_to_end
from .http1 import Message


def hop(message: Message, seconds: float) -> bytes:
    """The transaction unchanged, with the time that we will wait."""
    fields = end_to_end(message, PER_HOP)
    return http1.request(message.method, message.target, [*fields, ("Request-Timeout", f"{seconds:.4f}")],
                         message.body)


MAY_PASS = {408, 425, 429}      # of 4xx: these speak of the moment, not of the message


def outcome(answer: Message, written: bool) -> str:
    """What an answer proves. One that came before the whole hop was written can't be a commit."""
    if answer.status in (503, 504) and answer.field("not-started") == "1":
        return i.REFUSED
    if answer.status == 200:
        # guards against passing on as whole what a broken connection cut short
        return (i.COMMITTED if written else i.ERROR) if answer.delimited else i.RESET
    if written and 400 <= answer.status < 500 and answer.status not in MAY_PASS:
        return i.DECLINED       # guards against blaming hosts, and asking further ones, for a bad transaction
    return i.ERROR
