"""The lab's hosts on loopback: they record attempts and answer when the machine model has done the work."""

import asyncio
import socket
from contextlib import suppress
from functools import partial

from . import loopback
from .messages import LINGER_RESET, MessageProtocol
from .model import Machine
from .wire import Got

BACKLOG = 512  # connections
BACKLOG_FILLERS = 2  # number of connections that fill a backlog of 0
DUPLICATE_DELAY_S = 0.005  # from the first answer to the duplicate
DUPLICATE_DEADLINE_S = 0.008  # a duplicate that would come later is not sent
GARBAGE = b"\x15\x03\x01\x00\x02\x02\x46 no HTTP\r\n\r\n"
MISSING_BYTES = 50  # by which a truncated answer is too short
MIN_PAUSE_S = 0.002  # between two reads of a host that takes bytes at a limited rate
# receive buffer of such a host: what its system holds is read late, and no proxy can see that
SLOW_RECEIVE_BUFFER_BYTES = 32 * 1024


class HostConnection(MessageProtocol):
    """The host's side of one connection."""

    def __init__(self, fleet, host: int, proxy: int) -> None:
        super().__init__()
        self.fleet, self.host, self.proxy = fleet, host, proxy
        self.unanswered = self.answer_count = 0  # requests without an answer; number of answers sent
        self.idle_since = 0.0  # time of the last answer
        self.request_began_at = 0.0  # when the first bytes of the request being read came

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        # asyncio sets it; without, the system holds back a small write until the one before is acknowledged
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        self.fleet.host_connections[self.host].add(self)

    def connection_lost(self, _) -> None:
        self.fleet.host_connections[self.host].discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.request_began_at = self.fleet.clock() - self.read_delay()
        read_rate = self.fleet.machines[self.host].read_rate
        if read_rate is None or len(data) / read_rate < MIN_PAUSE_S:
            return super().data_received(data)
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(len(data) / read_rate, self.finish_read, data)

    def finish_read(self, data: bytes) -> None:
        """Handles bytes that took the host some time to read, and reads on."""
        super().data_received(data)
        self.transport.resume_reading()

    def message_received(self, first_line: str, fields: dict, body: bytes) -> None:
        if self.is_forgotten():
            return self.reset()
        self.unanswered += 1
        # what a host reads slowly has been in its system for long, and begins when the host has read it
        reads_slowly = self.fleet.machines[self.host].read_rate is not None
        delay = 0.0 if body and reads_slowly else self.read_delay()
        sent_at = self.fleet.clock() - delay
        told = float(fields["request-timeout"]) if "request-timeout" in fields else None
        if told is not None and body:
            told -= max(0.0, sent_at - self.request_began_at)  # the head was sent so much earlier
        self.fleet.deliver(
            f"p{self.proxy}", f"h{self.host}", self.handle_request, fields, told, sent_at, delay
        )

    def send_answer(self, status: int, body: bytes = b"", extra_headers: str = "") -> None:
        self.fleet.deliver(f"h{self.host}", f"p{self.proxy}", self.answer, status, body, extra_headers)

    def answer(self, status: int, body: bytes = b"", extra_headers: str = "") -> None:
        super().answer(status, body, extra_headers)
        self.unanswered -= 1
        self.answer_count += 1
        if self.unanswered:
            return
        self.idle_since = self.fleet.clock()
        for fault in self.fleet.idle_faults[self.host]:
            if fault.how != "forgets":
                asyncio.get_running_loop().call_later(
                    fault.after, self.end_if_idle, fault.how, self.answer_count
                )

    def send_duplicate(self, body: bytes, first_at: float) -> None:
        """Sends the duplicate, unless this process is late: no proxy can detect one that comes much later."""
        if self.fleet.clock() - first_at < DUPLICATE_DEADLINE_S:
            super().answer(200, body)

    def end_if_idle(self, how: str, answer_count: int) -> None:
        """Ends the connection if no request has come since answer number `answer_count`."""
        if self.unanswered or self.answer_count != answer_count:
            return
        if how == "resets":
            self.reset()
        else:
            self.transport.close()

    def is_forgotten(self) -> bool:
        """Whether the host has dropped this connection's state after idle time, by a fault."""
        idle_for = self.fleet.clock() - self.idle_since
        return (
            self.answer_count > 0
            and not self.unanswered
            and any(
                fault.how == "forgets" and idle_for >= fault.after
                for fault in self.fleet.idle_faults[self.host]
            )
        )

    def handle_request(self, fields: dict, told: float | None, sent_at: float, delay: float) -> None:
        """Starts the work on a request.

        `told`: seconds left of the time limit that came with it; `sent_at`: when it was sent; `delay`:
        seconds that it had been in this process's kernel buffer.
        """
        fleet, machine, now = self.fleet, self.fleet.machines[self.host], self.fleet.clock()
        tx, key = fields.get("request-id", ""), fields.get("cookie", "")
        cost = machine.cost(now, key, float(fields.get("lab-work", 0)))
        cold, capacity = machine.started_at if machine.warmth(now) < 1.0 else None, machine.capacity(now)
        ends_at = None if machine.occupied_slots >= machine.slots else now
        fails = ends_at is not None and any(
            fleet.host_rngs[self.host].random() < share for share in machine.error_shares
        )
        if ends_at is not None and not fails:
            ends_at = machine.accept(now, cost)
        fleet.wire.append(
            Got(
                now - delay,
                self.host,
                tx,
                cost,
                capacity,
                cold,
                ends_at is not None,
                self.proxy,
                sent_at,
                told,
            )
        )
        if ends_at is None:
            self.send_answer(503, extra_headers="Not-Started: 1\r\n")
        elif fails:
            fleet.note_attempt_done(self.host, tx)
            self.send_answer(500)
        else:
            asyncio.get_running_loop().call_later(
                ends_at - now, self.finish_work, machine, machine.process_number, tx
            )

    def finish_work(self, machine: Machine, process_number: int, tx: str) -> None:
        """Answers, unless the process has ended since, the host is silent, or a fault loses the answer."""
        machine.release(process_number)
        if process_number == machine.process_number:
            self.fleet.note_attempt_done(self.host, tx)
        rng = self.fleet.host_rngs[self.host]
        answer_lost = any(rng.random() < share for share in machine.answer_loss_shares)
        if process_number != machine.process_number or machine.silent or answer_lost:
            return
        body = f"{tx} by {self.host}".encode()
        active_faults = [fault for fault in self.fleet.answer_faults[self.host] if rng.random() < fault.share]
        if active_faults:
            return self.send_faulty_answer(active_faults[0].how, body)
        self.send_answer(200, body)

    def send_faulty_answer(self, how: str, body: bytes) -> None:
        """Sends an invalid answer, or a valid one twice."""
        if self.transport.is_closing():
            return
        if how == "twice":
            self.send_answer(200, body)
            asyncio.get_running_loop().call_later(
                DUPLICATE_DELAY_S, self.send_duplicate, body, self.fleet.clock()
            )
        elif how == "garbage":
            self.transport.write(GARBAGE)
        else:
            length = len(body) + MISSING_BYTES
            self.transport.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode() + body)
            if how == "reset":
                self.reset()
            else:
                self.transport.close()


class HostListener:
    """One listening socket of a host; `fill_backlog` fills its backlog, so that the kernel drops SYNs."""

    def __init__(self, fleet, host: int, proxy: int, port: int) -> None:
        self.make_protocol = partial(HostConnection, fleet, host, proxy)
        self.socket = socket.create_server((loopback.ADDRESS, port), backlog=BACKLOG)
        self.socket.setblocking(False)
        if fleet.machines[host].read_rate is not None:  # connections inherit it
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        self.port = self.socket.getsockname()[1]
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()  # of connections being accepted; each removes itself
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.on_readable)

    def accept_waiting(self) -> list[socket.socket]:
        """Accepts all connections in the backlog."""
        accepted = []
        with suppress(OSError):  # the backlog is empty
            while len(accepted) < BACKLOG:
                accepted.append(self.socket.accept()[0])
        return accepted

    def on_readable(self) -> None:
        loop = asyncio.get_running_loop()
        for accepted in self.accept_waiting():
            accepted.setblocking(False)
            task = loop.create_task(loop.connect_accepted_socket(self.make_protocol, accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def fill_backlog(self) -> None:
        """Stops accepting, with a full backlog; connections already in it are accepted first."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.on_readable()
        self.socket.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((loopback.ADDRESS, self.port))
            self.fillers.append(filler)

    def reopen_backlog(self) -> None:
        """Accepts connections again; those that wait in the backlog are reset."""
        self.drop_fillers()
        for accepted in self.accept_waiting():  # when they were written to is unknown
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            accepted.close()
        self.socket.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.on_readable)

    def drop_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def close(self) -> None:
        self.drop_fillers()
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
