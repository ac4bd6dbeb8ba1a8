"""This process among its fellows: the members' socket, what they hold together, and the decisions beside it.

Built only where a fleet file is named; nothing of it is imported otherwise.
"""

from random import Random

from ..fleet.aggregation import FaultAggregator
from ..fleet.gossip import Gossip
from ..fleet.limits import MESSAGE_LENGTHS, FleetLimits
from ..fleet.verdicts import HostVerdicts
from ..membership.driver import Driver
from ..membership.member import STATES
from ..routing import clock as clocks
from ..routing.clock import TICKS, Clock
from ..routing.owner import Owner
from ..transport.timers import Timers

TICK = 0.05  # seconds between two looks
AGAIN = 0.5  # seconds until an address that the process before this one still holds is tried again
TALK, LIMITS = 0x7A1C, 0x11317  # set their chance apart from the decisions', which must not follow it


class Together:
    """`begin` once the owner has started; OSError where the address can't be had, unless `wait` is told."""

    def __init__(
        self,
        told,
        name: str,
        agreed,
        limits: list,
        longest: float,
        seed: int,
        owner: Owner,
        clock: Clock,
        timers: Timers,
        wait: bool,
        say,
    ) -> None:
        """`told`: config.fleet.FleetSettings; `limits`: fleet.bounds.Limit each, `longest`: hard limit in
        seconds; `wait`: a process before this one may hold the address for a moment."""
        self.told, self.owner, self.clock, self.timers, self.wait, self.log = (
            told,
            owner,
            clock,
            timers,
            wait,
            say,
        )
        lives = {kind: int(seconds * TICKS) for kind, seconds in told.lives.items()}
        life = clocks.wall_ns() // 1_000_000
        self.driver: Driver | None = None
        self.talk = Gossip(
            told.name or name,
            told.address,
            life,
            list(told.seeds),
            told.key,
            lives,
            Random(seed ^ TALK),
            self.send,
            say,
        )
        self.mind = self.limits = None
        if told.verdicts:
            self.mind = HostVerdicts(owner.proxy, self.talk.table, agreed.zone, self.talk.live, self.say)
            self.mind.on_urgent_fact = self.talk.send_rumours
        owner.mind = self.mind or FaultAggregator(owner.proxy)
        if limits:
            hard_limit = int(longest * TICKS)
            self.limits = FleetLimits(
                owner.mind,
                owner.proxy,
                limits,
                self.talk.name,
                life,
                told.keepers,
                agreed.position,
                agreed.proxies,
                hard_limit,
                Random(seed ^ LIMITS),
                self.talk.send_to,
                self.talk.live,
                clock.now(),
                self.say,
            )
            self.limits.post_event = owner.post
            self.talk.message_lengths, self.talk.on_message = MESSAGE_LENGTHS, self.limits.received
            owner.mind = self.limits
        self.timer = None

    def say(self, event: str, **fields) -> None:
        """With the host's id, where it is about one."""
        numbers = self.mind.host_by_subject if self.mind is not None else {}
        place = self.owner.roster.places.get(numbers.get(fields.get("host", ""), -1))
        self.log(event, **fields, **({"id": place.id} if place else {}))

    def begin(self) -> None:
        try:
            self.driver = Driver(self.told.listen, self.took)
        except OSError as fault:
            if not self.wait:
                raise
            self.log("members wait", reason=fault.strerror)
            self.timer = self.timers.set(int(AGAIN * TICKS), self.begin)
            return
        if self.limits is not None:
            self.limits.activate(self.clock.now())
        self.log("members", listen=list(self.driver.address), name=self.talk.name)
        self.talk.begin(self.clock.now())
        self.tick()

    def tick(self) -> None:
        self.timer = self.timers.set(int(TICK * TICKS), self.tick)
        now = self.clock.now()
        self.talk.tick(now)
        if self.limits is not None:
            self.limits.tick(now)
        judged = self.mind.evaluate(now, self.owner.seen(now)) if self.mind is not None else None
        if judged is not None:
            self.owner.post(judged)

    def took(self, data: bytes, source: tuple[str, int]) -> None:
        try:
            self.talk.received(self.clock.now(), data, source)
        except Exception as fault:  # exceptions stop at the datagram
            self.log("fault", where="members", error=repr(fault))

    def send(self, address: tuple[str, int], data: bytes) -> None:
        if self.driver is not None:
            self.driver.send(address, data)

    def close(self) -> None:
        """Gone in order; a second call does nothing."""
        self.timers.cancel(self.timer)
        if self.driver is not None:
            if self.limits is not None:
                self.limits.leave(self.clock.now())
            self.talk.member.leave()
            self.driver.close()
            self.driver = None

    # ---- for the staff

    def members(self) -> list[dict]:
        member = self.talk.member
        rows = [
            {
                "name": u.name,
                "address": f"{u.host}:{u.port}",
                "state": STATES[u.state],
                "life": u.life,
                "incarnation": u.incarnation,
                "this": u.name == member.name,
                "suspected_by": sorted(member.suspicions[u.name].witnesses)
                if u.name in member.suspicions
                else [],
            }
            for u in (member.me, *member.peers.values())
        ]
        return sorted(rows, key=lambda row: row["name"])

    def verdicts(self) -> list[dict]:
        places = self.owner.roster.places
        if self.mind is None:
            return []
        return [
            {**row, "host": places[row["host"]].id if row["host"] in places else str(row["host"])}
            for row in self.mind.view(self.clock.now())
        ]

    def shares(self) -> list[dict]:
        return self.limits.view(self.clock.now()) if self.limits is not None else []
