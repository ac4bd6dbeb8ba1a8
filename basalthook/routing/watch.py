"""The watch on discovery: successive calls on one connection, with parallel ones while it is silent."""

import asyncio
from contextlib import contextmanager

from ..protocol import catalogue
from ..protocol.http1 import Message, Parser
from ..recovery.discovery_schedule import CALL_TIMEOUT, MAX_PARALLEL_CALLS, DiscoverySchedule
from ..transport.buffers import BufferPool
from ..transport.connection import Connection, ConnectionFailure, Stage
from ..transport.descriptors import DescriptorBudget
from ..transport.timers import Timers
from .dispatcher import DiscoveryUpdate, Dispatcher

# Pause after an answer without a newer version, so that a discovery which answers at once isn't called in a
# tight loop. Discovery keeps a watch open if the next call comes within 0.2 s.
UNCHANGED_PAUSE_S = 0.1
# After a newer version, as a discovery may have a newer one at every call. Stray bytes behind the answer
# arrive meanwhile.
CHANGED_PAUSE_S = 0.01


class AnswerReader:
    """Reads the answer to one call, and any bytes that follow it before the next call."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.parser = Parser(responses=True, max_body=catalogue.MAX_BODY_BYTES)
        # None once there is an answer, or the failure that came instead
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()
        connection.start_reading(self.on_data, self.on_close)

    def on_data(self, data, _: int) -> None:
        self.parser.feed(data)
        if self.parser.result is not None and not self.done.done():
            self.done.set_result(None)

    def on_close(self, failure: ConnectionFailure) -> None:
        self.parser.feed_eof()
        if not self.done.done():
            self.done.set_result(None if self.parser.result is not None else failure)

    async def response(self) -> Message | ConnectionFailure:
        """Return the answer, acknowledged: its sender may hold back until then what follows."""
        failure = await self.done
        if failure is not None:
            return failure
        self.connection.acknowledge()
        if not isinstance(self.parser.result, Message) or not self.parser.result.delimited:
            return ConnectionFailure(Stage.ANSWERING, "no valid HTTP response")
        return self.parser.result

    def has_stray_bytes(self) -> bool:
        """Whether more than the answer has come; it would be taken for the answer to the next call."""
        return bool(self.parser.unparsed)


class Watch:
    """Follows the host list until it is stopped; passes every answer to the dispatcher, in order."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        schedule: DiscoverySchedule,
        dispatcher: Dispatcher,
        buffers: BufferPool,
        descriptors: DescriptorBudget,
        timers: Timers,
        log_event,
    ) -> None:
        self.address, self.version, self.schedule = address, version, schedule
        self.dispatcher, self.buffers, self.descriptors, self.log_event = (
            dispatcher,
            buffers,
            descriptors,
            log_event,
        )
        self.timers = timers
        self.calls: list[asyncio.Task] = []  # newest last, at most MAX_PARALLEL_CALLS; removed as they fail
        self.retry_timer = None  # of the next call, while no call is open
        # the complete list must come first, as discovery may number its versions differently now
        self.needs_full_list = False
        self.failure_reasons: list[str] = []  # of the calls that have failed since the last answer
        self.calls_started = 0  # since the process started; numbers the calls in the log
        self.answered_at = timers.now()  # ticks; of the last valid answer, or of the start
        self.on_contact = lambda: None  # called once, at the first answer or failure

    def seconds_since_answer(self) -> float:
        """Seconds since discovery last answered, or since this watch was created."""
        return (self.timers.now() - self.answered_at) / self.timers.ticks_per_second

    def start(self, at_once: bool = False) -> None:
        """`at_once`: make the first call without delay, to get the changes that discovery has already."""
        if not self.calls and self.retry_timer is None:
            self.schedule.on_start()
            delay = 0 if at_once else self.schedule.initial_delay()
            self.retry_timer = self.timers.set(delay, self.start_call, at_once or self.schedule.pushed)

    def stop(self) -> None:
        self.timers.cancel(self.retry_timer)
        self.retry_timer = None
        for call in self.calls:
            call.cancel()
        self.calls = []

    def set_address(self, address: tuple[str, int]) -> None:
        """Follow discovery at this address, which may be the present one.

        The present list stays in use until a complete one comes from the new address. A call that waits for
        its retry timer is made at once.
        """
        if address == self.address and self.retry_timer is None:
            return
        if address != self.address:
            self.log_event(
                "list moved",
                old=list(self.address),
                new=list(address),
                cancelled=len(self.calls),
                waiting=self.retry_timer is not None,
            )
            self.address, self.needs_full_list = address, True
        self.stop()
        self.schedule.on_move()
        self.start_call(False)

    def start_call(self, at_once: bool) -> None:
        """Open one more connection. `at_once`: its first call requests present changes, without a wait."""
        self.retry_timer = None
        call = asyncio.get_running_loop().create_task(self.run(at_once))
        self.calls.append(call)

    def add_call(self, call: asyncio.Task) -> None:
        """Open a call beside one that is silent.

        A change that discovery has published takes effect at a fixed time, even if the answer with it was
        lost.
        """
        if self.calls and self.calls[-1] is call and len(self.calls) < MAX_PARALLEL_CALLS:
            self.log_event("list late", calls=len(self.calls))
            self.schedule.on_silence()
            self.start_call(True)

    async def run(self, at_once: bool) -> None:
        task, reason = asyncio.current_task(), ""
        while not reason:  # a connection that discovery closes between two calls is no failure
            reason = await self.run_connection(task, at_once)
            at_once = False
        self.calls.remove(task)
        self.failure_reasons.append(reason)
        overloaded = all(r.startswith("status") for r in self.failure_reasons)
        if self.calls:  # one of the other calls may still be answered
            delay = self.schedule.hedge_delay_after_failure(
                len(self.calls), len(self.failure_reasons), overloaded
            )
            self.timers.set(delay, self.add_call, self.calls[-1])
            return self.log_event("list call failed", reason=reason, others=len(self.calls))
        wait = self.schedule.retry_delay(overloaded)
        self.log_event(
            "list lost",
            reason="; ".join(dict.fromkeys(self.failure_reasons)),
            again_ms=wait * 1000 // self.timers.ticks_per_second,
            failures=self.schedule.failures,
            urgent=self.schedule.urgent,
            to=list(self.address),
        )
        self.failure_reasons = []
        self.retry_timer = self.timers.set(wait, self.start_call, self.schedule.pushed)
        self.notify_contact()

    def notify_contact(self) -> None:
        on_contact, self.on_contact = self.on_contact, lambda: None
        on_contact()

    async def run_connection(self, task: asyncio.Task, at_once: bool) -> str:
        """Use one connection for as long as it lasts; returns as `follow` does."""
        connection = Connection.for_address(self.address, self.buffers, self.descriptors)
        if isinstance(connection, ConnectionFailure):
            return connection.reason
        try:
            return await self.follow(connection, task, at_once)
        except Exception as error:  # must affect this connection only, not the watch
            return repr(error)
        finally:
            connection.close()

    async def follow(self, connection: Connection, task: asyncio.Task, at_once: bool) -> str:
        """Call discovery until something fails.

        Returns the reason, or "" if the connection can't be used again after an answer.
        """
        connected = asyncio.get_running_loop().create_future()
        hedge_delay = self.schedule.hedge_delay(len(self.calls), at_once)
        connection.connect(self.address, connected.set_result)
        with self.time_limits(connection, 0, hedge_delay, task):
            failure = await connected
        if failure is not None:
            return failure.reason
        while True:
            full_list = self.needs_full_list
            wait = 0 if at_once or full_list else self.schedule.watch_wait()
            with self.time_limits(connection, wait, hedge_delay, task):
                reader = self.call(connection, wait)
                response = reader if isinstance(reader, ConnectionFailure) else await reader.response()
            if isinstance(response, ConnectionFailure):
                return response.reason
            host_list = catalogue.decode_host_list(response.body) if response.status == 200 else None
            if host_list is None:
                return (
                    f"status {response.status}, no valid list"
                    if response.status == 200
                    else (f"status {response.status}")
                )
            if full_list and not host_list.complete:
                return "changes instead of the complete list"
            await asyncio.sleep(self.take_answer(host_list, task, at_once))
            at_once, hedge_delay = False, self.schedule.hedge_delay(1)
            if reader.has_stray_bytes():
                self.log_event("list answered twice", to=list(self.address))
                return ""
            if not response.keep_alive:
                return ""

    def take_answer(self, host_list: catalogue.HostList, task: asyncio.Task, at_once: bool) -> float:
        """Use the first answer to any call: its connection continues the watch, other calls are cancelled.

        Returns the pause before the next call, in seconds.
        """
        others = [call for call in self.calls if call is not task]
        for call in others:
            call.cancel()
        if others:
            self.log_event("list calls cancelled", count=len(others), reason="another was answered first")
        self.calls, self.failure_reasons, self.answered_at = [task], [], self.timers.now()
        self.schedule.on_answer()
        if host_list.version < self.version and not self.needs_full_list:
            # Discovery has restarted its version numbers. It may never reach ours, and its changes would be
            # applied to a different list.
            self.needs_full_list = True
            self.log_event("list behind", version=host_list.version, ours=self.version)
            return CHANGED_PAUSE_S
        newer, self.version, self.needs_full_list = (
            host_list.version != self.version,
            host_list.version,
            False,
        )
        if newer or host_list.records or host_list.complete:
            doubled = {"doubled": host_list.duplicates} if host_list.duplicates else {}
            self.log_event(
                "list",
                version=host_list.version,
                complete=host_list.complete,
                lines=len(host_list.records),
                **doubled,
            )
            self.dispatcher.post(DiscoveryUpdate(host_list, from_discovery=True))
        else:
            self.log_event("list unchanged", version=host_list.version)
        self.notify_contact()
        return CHANGED_PAUSE_S if newer or at_once else UNCHANGED_PAUSE_S

    def call(self, connection: Connection, wait: int) -> AnswerReader | ConnectionFailure:
        """Send one call on this connection; the wait is in ticks."""
        version = None if self.needs_full_list else self.version
        request = catalogue.watch_request(
            f"{self.address[0]}:{self.address[1]}", version, wait * 1000 // self.timers.ticks_per_second
        )
        self.calls_started += 1
        self.log_event(
            "list call",
            number=self.calls_started,
            to=list(self.address),
            version=version,
            wait_ms=wait * 1000 // self.timers.ticks_per_second,
            reused=bool(connection.on_data),
        )
        if connection.closed:
            return ConnectionFailure(Stage.WRITING, "connection closed between two calls")
        reader = AnswerReader(connection)
        if not reader.done.done():
            connection.write((request,))
        return reader

    @contextmanager
    def time_limits(self, connection: Connection, wait: int, hedge_delay: int, task: asyncio.Task):
        """Time limits for what is awaited inside.

        A parallel call opens `hedge_delay` ticks after `wait` is over, and the connection fails
        `CALL_TIMEOUT` ticks after it is over.
        """
        reason = f"no answer within {(wait + CALL_TIMEOUT) / self.timers.ticks_per_second:g} s"
        limits = (
            self.timers.set(wait + hedge_delay, self.add_call, task),
            self.timers.set(wait + CALL_TIMEOUT, connection.fail, reason),
        )
        try:
            yield
        finally:
            for timer in limits:
                self.timers.cancel(timer)
