"""The running client proxy: builds its parts, starts it and shuts it down."""

import asyncio
import gc
import signal
from random import Random

from ..bodies.account import MemoryAccount
from ..bodies.memory import BodyMemory
from ..console.admin_server import MAX_CONNECTIONS, AdminServer
from ..handover.handover import Handover, HandoverCallbacks
from ..handover.inherited import InheritedSocketError, open_inherited
from ..handover.process_registry import ProcessRegistry
from ..recovery.admission import AdmissionControl
from ..recovery.discovery_schedule import SILENCE_TIMEOUT, DiscoverySchedule
from ..routing.attempts import AttemptRunner
from ..routing.client_connection import IDLE, NEW
from ..routing.clients import ClientMemory, Clients
from ..routing.clock import TICKS_PER_SECOND, Clock
from ..routing.dispatcher import Dispatcher
from ..routing.host_registry import HostRegistry
from ..routing.operator_calls import OperatorCallHandler
from ..routing.start_times import StartTimes
from ..routing.watch import Watch
from ..transport.buffers import BufferPool
from ..transport.descriptors import DescriptorBudget
from ..transport.event_loop import TimedSelector
from ..transport.hostpool import HostPool
from ..transport.listener import Listener
from ..transport.processor_time import ProcessorTime
from ..transport.timers import Timers
from .log import Log
from .metrics_log import MetricsLog
from .reload import EarlyHangup, Reloader
from .startup import StartUp, StartUpError

BUFFER_BYTES = 16 * 1024
MAX_POOLED_BUFFERS = 128
ACCEPT_AFTER_SIGTERM_S = 0.6  # new connections still arrive for up to 0.4 s after SIGTERM
# Fields of StartUp that a reload does not change; the log line `file taken` names those that differ.
AT_START_ONLY = ("listen", "console", "inherited", "folder", "agreed", "profiles", "fleet")
# Seeds a random generator of its own: drawing from the policy's generator would change its decisions.
ADMISSION_SEED_MASK = 0xD008
SIGKILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM no sooner than the longest hard limit plus this
ANSWER_MARGIN_S = 0.2  # all is answered this long before SIGKILL, as SIGTERM may be handled late
LONG_ANSWER_TIMEOUT_S = 60.0  # for answers that are being passed on, after all others are given
MIN_IDLE_S = 0.3  # idle this long, a connection is unlikely to have a request on its way
READ_PERIOD_S = 0.1  # time for requests to arrive on the connections accepted last


class Service:
    """One client proxy: `run` starts it and returns after shutdown."""

    def __init__(
        self,
        start_up: StartUp,
        log: Log,
        read_start_up=None,
        selector: TimedSelector | None = None,
        early_hangup: EarlyHangup | None = None,
    ) -> None:
        """`selector`: of the event loop; without it, own lag can't be distinguished from silent hosts."""
        self.start_up, self.log, self.early_hangup, self.stop_requested = (
            start_up,
            log,
            early_hangup,
            asyncio.Event(),
        )
        self.handover: Handover | None = None
        self.clock = clock = Clock()
        registry = HostRegistry(start_up.agreed.use_unlisted, StartTimes(clock.now))
        self.timers = timers = Timers(clock.now, TICKS_PER_SECOND)
        self.reloader = Reloader(read_start_up, self.apply_start_up, timers, log.log_event)
        buffers, descriptors = (
            BufferPool(BUFFER_BYTES, MAX_POOLED_BUFFERS),
            DescriptorBudget(self.descriptor_limit(start_up)),
        )
        self.descriptors = descriptors
        self.dispatcher = Dispatcher(
            start_up.agreed,
            start_up.seed,
            clock,
            timers,
            registry,
            selector.read_lag if selector else lambda: 0,
            log.log_event,
        )
        admin_fds: set[int] = set()
        if selector:
            selector.priority_fds, selector.urgent_fds = descriptors.outgoing_fds, admin_fds
        admission = AdmissionControl(
            min(p.service_goal for p in start_up.agreed.profiles), Random(start_up.seed ^ ADMISSION_SEED_MASK)
        )
        self.pool = HostPool(
            buffers, descriptors, timers, start_up.idle_timeout_s, start_up.connect_timeout_s
        )
        self.memory = memory = ClientMemory(
            BodyMemory(start_up.memory.bodies, timers),
            MemoryAccount(start_up.memory.requests),
            MemoryAccount(start_up.memory.responses),
        )
        processor_time = ProcessorTime()
        self.attempts = AttemptRunner(
            self.pool,
            clock,
            timers,
            registry,
            self.dispatcher,
            memory.responses,
            processor_time,
            log.log_event,
        )
        schedule = DiscoverySchedule(start_up.agreed, self.dispatcher.policy.rng)
        self.watch = Watch(
            start_up.discovery,
            start_up.known_hosts.version,
            schedule,
            self.dispatcher,
            buffers,
            descriptors,
            timers,
            log.log_event,
        )
        self.dispatcher.begin_attempt = self.attempts.begin
        registry.on_host_left = self.pool.close_idle
        self.clients = Clients(
            self.dispatcher,
            clock,
            timers,
            admission,
            start_up.profiles,
            buffers,
            descriptors,
            memory,
            processor_time,
            log.log_event,
        )
        if selector:
            selector.delayed_fds = processor_time.delayed_fds
        self.metrics = MetricsLog(
            self.dispatcher, self.clients, self.attempts, self.watch, timers, log.log_event
        )
        self.operator_calls = OperatorCallHandler(
            self.dispatcher, registry, self.clients, clock, log.log_event
        )
        self.admin_server = AdminServer(self.operator_calls.handle, timers, buffers, admin_fds, log.log_event)
        self.admin_listener: Listener | None = None
        self.listener: Listener | None = None
        self.fleet_member = None
        if start_up.fleet is not None:  # imported only here
            from .fleet_member import FleetMember

            self.fleet_member = self.operator_calls.fleet = FleetMember(
                start_up.fleet,
                start_up.name,
                start_up.agreed,
                start_up.fleet.to_limits(start_up.profiles),
                start_up.max_hard_limit_s,
                start_up.seed,
                self.dispatcher,
                clock,
                timers,
                bool(start_up.folder),
                log.log_event,
            )
        if start_up.folder:
            names = [name for name, _ in sorted(start_up.profiles.items(), key=lambda item: item[1])]
            self.handover = Handover(
                ProcessRegistry(start_up.folder, start_up.name),
                self.dispatcher,
                self.clients,
                self.watch,
                timers,
                clock,
                names,
                start_up.agreed.overload_time,
                HandoverCallbacks(self.set_accepting, self.update_descriptor_limit),
                log.log_event,
            )
            self.operator_calls.save_overrides = self.handover.save_overrides

    def descriptor_limit(self, start_up: StartUp) -> int:
        """Descriptors for all but operators, who have their own; half while another process is alive."""
        shared = self.handover is not None and self.handover.other_process
        return (start_up.sockets // 2 if shared else start_up.sockets) - (
            MAX_CONNECTIONS + 1 if start_up.console else 0
        )

    def set_accepting(self, on: bool) -> None:
        """Whether to accept connections from the backlog shared with another process.

        A process that accepts none leaves the fleet: its successor is the member, under the same name.
        """
        if self.fleet_member is not None:
            self.fleet_member.begin() if on else self.fleet_member.close()
        if self.listener is not None:
            self.listener.resume() if on else self.listener.pause()

    def update_descriptor_limit(self) -> None:
        """Called when the number of processes that share the limit has changed."""
        self.descriptors.set_limit(self.descriptor_limit(self.start_up))

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT; a second signal has no effect."""
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, self.stop_requested.set)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reloader.on_hangup)
        listener = self.begin()
        if self.early_hangup is not None and self.early_hangup.received:
            self.reloader.on_hangup()
        gc.collect()
        gc.freeze()  # long-lived objects: each full collection of them paused the process for 4 ms
        await self.stop_requested.wait()
        await self.end(listener)
        self.ignore_signals()

    @staticmethod
    def ignore_signals() -> None:
        """Ignores signals after shutdown; the loop would restore their default action and end the process."""
        handled = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
        signal.pthread_sigmask(signal.SIG_BLOCK, handled)
        for number in handled:
            asyncio.get_running_loop().remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)

    def begin(self) -> Listener:
        """Starts all parts; the proxy is ready once the policy has its hosts and the address is bound."""
        known_hosts, policy_state = self.start_up.known_hosts, None
        if self.handover is not None:
            known_hosts, policy_state = self.handover.load_state(known_hosts)
            self.watch.version = known_hosts.version
        self.dispatcher.start(known_hosts)
        if self.handover is not None:
            self.handover.restore_state(policy_state)
        if self.start_up.console:
            self.admin_listener = self.open_listener(self.start_up.console, self.admin_server.accept)
            self.admin_server.urgent_fds.add(self.admin_listener.socket.fileno())
            self.admin_listener.open()
        inherited = None
        if self.start_up.inherited:
            try:
                inherited = open_inherited(self.start_up.inherited, self.start_up.listen)
            except InheritedSocketError as error:
                raise StartUpError(f"RELAY_FD: {error}") from None
        self.listener = listener = self.open_listener(
            self.start_up.listen, self.clients.accept_socket, inherited
        )
        listener.open()
        # Changes take effect for a successor even before its first call, so it calls at once.
        self.watch.start(at_once=self.handover is not None and self.handover.other_process)
        self.metrics.begin()
        if self.fleet_member is not None:
            try:
                self.fleet_member.begin()
            except OSError as error:
                where = ":".join(map(str, self.start_up.fleet.listen))
                raise StartUpError(
                    f"cannot exchange messages with the fleet on {where}: {error.strerror}"
                ) from None
        if self.start_up.agreed.list_on_request:
            self.announce_ready()
        else:  # pushed changes are in effect already: hosts may have left before this process started
            self.watch.on_contact = self.announce_ready
            self.timers.set(SILENCE_TIMEOUT, self.announce_ready)
        return listener

    def announce_ready(self) -> None:
        """Starts to serve, once; has no effect during shutdown."""
        if self.clients.ready or self.stop_requested.is_set():
            return
        self.clients.ready = True
        if self.handover is not None:
            self.handover.start_serving()
        self.log.log_event(
            "ready",
            listen=list(self.listener.address),
            hosts=len(self.dispatcher.registry.entries),
            **({"console": list(self.admin_listener.address)} if self.admin_listener else {}),
        )

    def open_listener(self, address: tuple[str, int], on_accept, inherited=None) -> Listener:
        """A listener on `address`; StartUpError if it can't be bound."""
        try:
            return Listener(address, on_accept, inherited, self.clients.rate_limited_log)
        except OSError as error:
            where = ":".join(map(str, address))
            raise StartUpError(f"cannot listen on {where}: {error.strerror}") from None

    def apply_start_up(self, start_up: StartUp) -> None:
        """Applies a new start-up file, already checked, in one step; also during shutdown."""
        current = {name: getattr(self.start_up, name) for name in AT_START_ONLY}
        changed = [name for name, value in current.items() if getattr(start_up, name) != value]
        self.start_up = start_up._replace(**current)
        self.log.name = start_up.name
        self.descriptors.set_limit(self.descriptor_limit(self.start_up))
        self.memory.bodies.set_capacity(start_up.memory.bodies)
        self.memory.requests.capacity = start_up.memory.requests
        self.memory.responses.capacity = start_up.memory.responses
        self.pool.set_timeouts(start_up.idle_timeout_s, start_up.connect_timeout_s)
        self.watch.set_address(start_up.discovery)
        self.log.log_event("file taken", discovery=list(start_up.discovery), needs_restart=changed)

    async def end(self, listener: Listener) -> None:
        """Shuts down: closes idle connections while clients can still reconnect, then finishes all work."""
        self.log.log_event(
            "ending",
            connections=len(self.clients.open_clients),
            transactions=len(self.dispatcher.transactions),
            list_age_s=round(self.watch.seconds_since_answer(), 1),
        )
        time_left_s = self.start_up.max_hard_limit_s + SIGKILL_DELAY_S - ANSWER_MARGIN_S
        self.clients.begin_shutdown(self.clock.now() + int(time_left_s * TICKS_PER_SECOND))
        if self.handover is not None:
            self.handover.end()
        if listener.inherited:
            listener.close()  # new connections go to the next process
            await self.drain_clients()
        else:
            self.clients.close_idle()
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
            listener.close()
            await asyncio.sleep(READ_PERIOD_S)
        self.clients.close_idle(states=(NEW, IDLE))
        await self.clients.wait_until_closed(self.start_up.max_hard_limit_s)
        await self.clients.wait_for_long_answers(LONG_ANSWER_TIMEOUT_S)
        self.close()

    async def drain_clients(self) -> None:
        """Closes each connection with its next response, so that clients reconnect to the next process.

        Other connections are closed only once idle for `MIN_IDLE_S`: a close could cross a request just sent,
        which is likely for clients that send often.
        """
        for _ in range(int((ACCEPT_AFTER_SIGTERM_S + READ_PERIOD_S) / READ_PERIOD_S)):
            if not self.clients.open_clients:
                return
            await asyncio.sleep(READ_PERIOD_S)
            self.clients.close_idle(min_idle=MIN_IDLE_S)

    def close(self) -> None:
        """Logs the end and releases all resources."""
        self.log.log_event(
            "ended",
            unanswered=sum(not transaction.closed for transaction in self.dispatcher.transactions.values()),
        )
        if self.admin_listener is not None:
            self.admin_listener.close()
            self.admin_server.close()
        if self.fleet_member is not None:
            self.fleet_member.close()
        if self.handover is not None:
            self.handover.close()
        self.watch.stop()
        self.pool.close()
        self.timers.close()
