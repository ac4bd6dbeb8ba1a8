"""This process among its fellows: the members' socket, what they hold together, and the decisions beside it.

Built only where a fleet file is named; nothing of it is imported otherwise.
"""

from random import Random

from ..fleet.counting import Counting
from ..fleet.limits import KINDS, Limits
from ..fleet.talk import Talk
from ..fleet.verdicts import Verdicts
from ..membership.driver import Driver
from ..membership.member import STATES
from ..routing import clock as clocks
from ..routing.clock import TICKS_PER_SECOND, Clock
from ..routing.dispatcher import Dispatcher
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
        owner: Dispatcher,
        clock: Clock,
        timers: Timers,
        wait: bool,
        log_event,
    ) -> None:
        """`told`: config.fleet.Told; `limits`: fleet.bounds.Limit each, `longest`: hard limit in seconds;
        `wait`: a process before this one may hold the address for a moment."""
        self.told, self.owner, self.clock, self.timers, self.wait, self.log = (
            told,
            owner,
            clock,
            timers,
            wait,
            log_event,
        )
        lives = {kind: int(seconds * TICKS_PER_SECOND) for kind, seconds in told.lives.items()}
        life = clocks.wall_ns() // 1_000_000
        self.driver: Driver | None = None
        self.talk = Talk(
            told.name or name,
            told.address,
            life,
            list(told.seeds),
            told.key,
            lives,
            Random(seed ^ TALK),
            self.send,
            log_event,
        )
        self.mind = self.limits = None
        if told.verdicts:
            self.mind = Verdicts(owner.policy, self.talk.table, agreed.zone, self.talk.live, self.log_event)
            self.mind.hurry = self.talk.rumours
        owner.event_handler = self.mind or Counting(owner.policy)
        if limits:
            hard_limit = int(longest * TICKS_PER_SECOND)
            self.limits = Limits(
                owner.event_handler,
                owner.policy,
                limits,
                self.talk.name,
                life,
                told.keepers,
                agreed.position,
                agreed.proxies,
                hard_limit,
                Random(seed ^ LIMITS),
                self.talk.post,
                self.talk.live,
                clock.now(),
                self.log_event,
            )
            self.limits.wake = owner.post
            self.talk.kinds, self.talk.others = KINDS, self.limits.received
            owner.event_handler = self.limits
        self.timer = None

    def log_event(self, event: str, **fields) -> None:
        """With the host's id, where it is about one."""
        numbers = self.mind.numbers if self.mind is not None else {}
        place = self.owner.registry.entries.get(numbers.get(fields.get("host", ""), -1))
        self.log(event, **fields, **({"id": place.id} if place else {}))

    def begin(self) -> None:
        try:
            self.driver = Driver(self.told.listen, self.took)
        except OSError as fault:
            if not self.wait:
                raise
            self.log("members wait", reason=fault.strerror)
            self.timer = self.timers.set(int(AGAIN * TICKS_PER_SECOND), self.begin)
            return
        if self.limits is not None:
            self.limits.come(self.clock.now())
        self.log("members", listen=list(self.driver.address), name=self.talk.name)
        self.talk.begin(self.clock.now())
        self.tick()

    def tick(self) -> None:
        self.timer = self.timers.set(int(TICK * TICKS_PER_SECOND), self.tick)
        now = self.clock.now()
        self.talk.tick(now)
        if self.limits is not None:
            self.limits.tick(now)
        judged = self.mind.look(now, self.owner.observed_until(now)) if self.mind is not None else None
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
            for u in (member.me, *member.known.values())
        ]
        return sorted(rows, key=lambda row: row["name"])

    def verdicts(self) -> list[dict]:
        places = self.owner.registry.entries
        if self.mind is None:
            return []
        return [
            {**row, "host": places[row["host"]].id if row["host"] in places else str(row["host"])}
            for row in self.mind.view(self.clock.now())
        ]

    def shares(self) -> list[dict]:
        return self.limits.view(self.clock.now()) if self.limits is not None else []
