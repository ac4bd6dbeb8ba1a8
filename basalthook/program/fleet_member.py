"""This process as a member of the fleet: its socket, and verdicts and limits shared with the other members.

Imported only if there is a fleet file.
"""

from random import Random

from ..fleet.aggregation import FaultAggregator
from ..fleet.gossip import Gossip
from ..fleet.limits import MESSAGE_LENGTHS, FleetLimits
from ..fleet.verdicts import HostVerdicts
from ..membership.driver import Driver
from ..membership.member import STATES
from ..routing import clock as clocks
from ..routing.clock import TICKS_PER_SECOND, Clock
from ..routing.dispatcher import Dispatcher
from ..transport.timers import Timers

TICK_S = 0.05
RETRY_DELAY_S = 0.5  # while the previous process still holds the address
# Seed random generators of their own: drawing from the policy's generator would change its decisions.
GOSSIP_SEED_MASK, LIMITS_SEED_MASK = 0x7A1C, 0x11317


class FleetMember:
    """Call `begin` once the dispatcher has started.

    `begin` raises OSError if the address can't be bound, unless `wait_for_address` is set.
    """

    def __init__(
        self,
        config,
        name: str,
        settings,
        limits: list,
        max_hard_limit_s: float,
        seed: int,
        dispatcher: Dispatcher,
        clock: Clock,
        timers: Timers,
        wait_for_address: bool,
        log_event,
    ) -> None:
        """`config`: the decoded fleet file; `limits`: its limits; `max_hard_limit_s`: of all profiles.

        `wait_for_address`: retry while the previous process still holds the address.
        """
        self.config, self.dispatcher, self.clock, self.timers, self.wait_for_address, self.log_event = (
            config,
            dispatcher,
            clock,
            timers,
            wait_for_address,
            log_event,
        )
        lifetimes = {kind: int(seconds * TICKS_PER_SECOND) for kind, seconds in config.lives.items()}
        life = clocks.wall_ns() // 1_000_000
        self.driver: Driver | None = None
        self.gossip = Gossip(
            config.name or name,
            config.address,
            life,
            list(config.seeds),
            config.key,
            lifetimes,
            Random(seed ^ GOSSIP_SEED_MASK),
            self.send,
            log_event,
        )
        self.verdict_engine = self.limits = None
        if config.verdicts:
            self.verdict_engine = HostVerdicts(
                dispatcher.policy, self.gossip.table, settings.zone, self.gossip.live, self.log_with_host_id
            )
            self.verdict_engine.on_urgent_fact = self.gossip.send_rumours
        dispatcher.event_handler = self.verdict_engine or FaultAggregator(dispatcher.policy)
        if limits:
            hard_limit = int(max_hard_limit_s * TICKS_PER_SECOND)
            self.limits = FleetLimits(
                dispatcher.event_handler,
                dispatcher.policy,
                limits,
                self.gossip.name,
                life,
                config.keepers,
                settings.position,
                settings.proxies,
                hard_limit,
                Random(seed ^ LIMITS_SEED_MASK),
                self.gossip.send_to,
                self.gossip.live,
                clock.now(),
                self.log_with_host_id,
            )
            self.limits.post_event = dispatcher.post
            self.gossip.message_lengths, self.gossip.on_message = MESSAGE_LENGTHS, self.limits.received
            dispatcher.event_handler = self.limits
        self.timer = None

    def log_with_host_id(self, event: str, **fields) -> None:
        """Logs an event; one that names a host also gets the host's id."""
        numbers = self.verdict_engine.host_by_subject if self.verdict_engine is not None else {}
        entry = self.dispatcher.registry.entries.get(numbers.get(fields.get("host", ""), -1))
        self.log_event(event, **fields, **({"id": entry.id} if entry else {}))

    def begin(self) -> None:
        """Opens the socket and joins the fleet."""
        try:
            self.driver = Driver(self.config.listen, self.on_datagram)
        except OSError as error:
            if not self.wait_for_address:
                raise
            self.log_event("members wait", reason=error.strerror)
            self.timer = self.timers.set(int(RETRY_DELAY_S * TICKS_PER_SECOND), self.begin)
            return
        if self.limits is not None:
            self.limits.activate(self.clock.now())
        self.log_event("members", listen=list(self.driver.address), name=self.gossip.name)
        self.gossip.begin(self.clock.now())
        self.tick()

    def tick(self) -> None:
        """Runs the periodic work: membership, limits and verdicts."""
        self.timer = self.timers.set(int(TICK_S * TICKS_PER_SECOND), self.tick)
        now = self.clock.now()
        self.gossip.tick(now)
        if self.limits is not None:
            self.limits.tick(now)
        host_verdicts = (
            self.verdict_engine.evaluate(now, self.dispatcher.received_until(now))
            if self.verdict_engine is not None
            else None
        )
        if host_verdicts is not None:
            self.dispatcher.post(host_verdicts)

    def on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram from another member."""
        try:
            self.gossip.received(self.clock.now(), data, source)
        except Exception as error:  # a bad datagram must not stop the service
            self.log_event("fault", where="members", error=repr(error))

    def send(self, address: tuple[str, int], data: bytes) -> None:
        if self.driver is not None:
            self.driver.send(address, data)

    def close(self) -> None:
        """Leaves the fleet in order; a second call does nothing."""
        self.timers.cancel(self.timer)
        if self.driver is not None:
            if self.limits is not None:
                self.limits.leave(self.clock.now())
            self.gossip.member.leave()
            self.driver.close()
            self.driver = None

    # ---- for operators

    def members(self) -> list[dict]:
        """A row for each member, this one included, by name."""
        member = self.gossip.member
        rows = [
            {
                "name": peer.name,
                "address": f"{peer.host}:{peer.port}",
                "state": STATES[peer.state],
                "life": peer.life,
                "incarnation": peer.incarnation,
                "this": peer.name == member.name,
                "suspected_by": sorted(member.suspicions[peer.name].witnesses)
                if peer.name in member.suspicions
                else [],
            }
            for peer in (member.me, *member.peers.values())
        ]
        return sorted(rows, key=lambda row: row["name"])

    def verdicts(self) -> list[dict]:
        """A row for each host with a verdict."""
        entries = self.dispatcher.registry.entries
        if self.verdict_engine is None:
            return []
        return [
            {**row, "host": entries[row["host"]].id if row["host"] in entries else str(row["host"])}
            for row in self.verdict_engine.view(self.clock.now())
        ]

    def shares(self) -> list[dict]:
        """A row for each limit with this proxy's share of it."""
        return self.limits.view(self.clock.now()) if self.limits is not None else []
