"""Faults of a scenario: what each strikes, and how it ends. Each names itself by `what` in the file.

`begin` and `end` are called with the fleet under test at the fault's times, once for each endpoint it names.
Times are seconds.
"""

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Described(msgspec.Struct, tag_field="what", forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What every entry of a scenario's faults has; by itself it strikes no endpoint."""

    at: Seconds
    hosts: tuple[()] = ()


class Fault(Described):
    """A fault of endpoints."""

    hosts: Annotated[list[Annotated[int, msgspec.Meta(ge=0)]], msgspec.Meta(min_length=1)]
    lasts: Positive

    def begin(self, fleet, number: int) -> None:
        raise NotImplementedError

    def end(self, fleet, number: int) -> None:
        raise NotImplementedError


class Kill(Fault, tag="kill"):
    """The process dies: connections break, new ones are refused; it comes back cold, and is listed anew."""

    def begin(self, fleet, number):
        fleet.kill(number)

    def end(self, fleet, number):
        fleet.come_back(number)


class Slow(Fault, tag="slow"):
    """Something else takes part of the machine."""

    factor: Annotated[float, msgspec.Meta(gt=1)] = 4.0

    def begin(self, fleet, number):
        fleet.machines[number].slowed *= self.factor

    def end(self, fleet, number):
        fleet.machines[number].slowed /= self.factor


class Silent(Fault, tag="silent"):
    """It takes transactions and answers none."""

    def begin(self, fleet, number):
        fleet.machines[number].silent += 1

    def end(self, fleet, number):
        fleet.machines[number].silent -= 1


class Errors(Fault, tag="errors"):
    """It fails a share of its transactions at once."""

    share: Share = 0.5

    def begin(self, fleet, number):
        fleet.machines[number].erring.append(self.share)

    def end(self, fleet, number):
        fleet.machines[number].erring.remove(self.share)


class LoseAnswers(Fault, tag="lose_answers"):
    """It does the work, and a share of its answers never comes back."""

    share: Share = 0.2

    def begin(self, fleet, number):
        fleet.machines[number].losing.append(self.share)

    def end(self, fleet, number):
        fleet.machines[number].losing.remove(self.share)


class Burst(Described, tag="burst"):
    """So many times the usual load."""

    lasts: Positive
    factor: Positive = 2.0

    def of(self, at: float) -> float:
        return self.factor if self.at <= at < self.at + self.lasts else 1.0


class LongWay(Described, tag="long_way"):
    """Every way between these zones takes longer and loses some; in virtual time alone."""

    lasts: Positive
    zones: tuple[str, str]
    more: Seconds = 0.2  # each way
    loses: Share = 0.0  # of hops, and of answers

    def holds(self, at: float, here: str, there: str) -> bool:
        return self.at <= at < self.at + self.lasts and {here, there} == set(self.zones)


class Between(Described):
    """A fault of ways, not of hosts; `links` says what becomes of what goes there."""

    lasts: Positive
    between: tuple[list[str], list[str]]
    one_way: bool = False

    cuts = False
    loses = doubles = reorders = delay = spoils = 0.0

    def begin(self, fleet) -> None:
        fleet.links.add_fault(self)

    def end(self, fleet) -> None:
        fleet.links.remove_fault(self)


class Cut(Between, tag="cut"):
    """Nothing comes through."""

    cuts = True


class Lossy(Between, tag="lossy"):
    """Datagrams are lost, doubled, reordered, held up, spoilt; messages on connections lost or held up."""

    loses: Share = 0.0
    doubles: Share = 0.0
    reorders: Share = 0.0
    delay: Seconds = 0.0
    spoils: Share = 0.0


class OfProxies(Described):
    """A fault of whole processes, not of hosts."""

    lasts: Positive
    proxies: Annotated[list[Annotated[int, msgspec.Meta(ge=0)]], msgspec.Meta(min_length=1)]

    def begin(self, fleet) -> None:
        for proxy in self.proxies:
            self.strike(fleet, proxy)

    def end(self, fleet) -> None:
        for proxy in self.proxies:
            self.mend(fleet, proxy)

    def strike(self, fleet, proxy: int) -> None:
        raise NotImplementedError

    def mend(self, fleet, proxy: int) -> None:
        raise NotImplementedError


class KillProxy(OfProxies, tag="kill_proxy"):
    """SIGKILL; it is started again afterwards, in an emptied folder if it forgets."""

    forgets: bool = True

    def strike(self, fleet, proxy):
        fleet.kill_proxy(proxy)

    def mend(self, fleet, proxy):
        fleet.start_proxy(proxy, self.forgets)


class StopProxy(OfProxies, tag="stop_proxy"):
    """SIGSTOP, then SIGCONT."""

    def strike(self, fleet, proxy):
        fleet.stop_proxy(proxy)

    def mend(self, fleet, proxy):
        fleet.resume_proxy(proxy)


class ClockFault(OfProxies, tag="clock"):
    """Its clocks are ahead, and run at another rate, from then until the end of the fault."""

    ahead: float = 0.0
    rate: Annotated[float, msgspec.Meta(gt=0.5, lt=2)] = 1.0

    def strike(self, fleet, proxy):
        fleet.set_clock(proxy, self.ahead, self.rate)

    def mend(self, fleet, proxy):
        fleet.set_clock(proxy, 0.0, 1.0)


class Pause(OfProxies, tag="pause"):
    """Held up for a moment (SIGSTOP, SIGCONT) that frees it of nothing. On processes alone."""

    def strike(self, fleet, proxy):
        fleet.pause_proxy(proxy)

    def mend(self, fleet, proxy):
        fleet.unpause_proxy(proxy)


class Terminate(OfProxies, tag="terminate"):
    """SIGTERM, SIGKILL at the earliest moment allowed, and a start at the end; clients go on on open
    connections till the kill. On processes alone."""

    def strike(self, fleet, proxy):
        fleet.terminate(proxy)

    def mend(self, fleet, proxy):
        fleet.start_proxy(proxy, True)


class Watches(Described, tag="watches"):
    """Every open watch falls silent for good, or is reset; and so many that each proxy opens next are silent
    from the first. On sockets alone."""

    silent: bool = True
    more: Annotated[int, msgspec.Meta(ge=0)] = 0
    lasts = 0.0

    def begin(self, fleet) -> None:
        fleet.watches_fail(self.silent, self.more)

    def end(self, fleet) -> None:
        """What has fallen silent stays so."""


class Reconfigure(OfProxies, tag="reconfigure"):
    """SIGHUP so many times, evenly over the span; each start-up file names another discovery. On processes
    alone."""

    times: Count = 1

    def strike(self, fleet, proxy):
        fleet.reconfigure(proxy, self.times, self.lasts)

    def mend(self, fleet, proxy):
        """The last start-up file stays in force."""


class DiscoveryFails(Described, tag="discovery"):
    """Discovery answers every call with 503, is down, or is slow to look at a call, for all proxies. On
    sockets alone."""

    lasts: Positive
    how: Annotated[str, msgspec.Meta(pattern=r"^(refuses|down|slow)$")] = "refuses"
    delay: Seconds = 0.0  # where it is slow: until it looks at a call

    def begin(self, fleet) -> None:
        if self.how == "slow":
            fleet.discovery_delay = self.delay
        else:
            fleet.discovery_fails(self.how)

    def end(self, fleet) -> None:
        if self.how == "slow":
            fleet.discovery_delay = 0.0
        else:
            fleet.discovery_works()


class Resting(Fault, tag="resting"):
    """Connections that have rested so long are ended: closed, reset, or forgotten, so that the next bytes on
    them are answered by a reset. On processes alone."""

    how: Annotated[str, msgspec.Meta(pattern=r"^(closes|resets|forgets)$")] = "closes"
    after: Seconds = 0.1

    def begin(self, fleet, number):
        fleet.resting[number].append(self)

    def end(self, fleet, number):
        fleet.resting[number].remove(self)


class SpoilAnswers(Fault, tag="spoil_answers"):
    """The work runs; its answer ends early by FIN or RST, is no HTTP, or comes twice. On processes alone."""

    how: Annotated[str, msgspec.Meta(pattern=r"^(short|reset|garbage|twice)$")] = "short"
    share: Share = 0.3

    def begin(self, fleet, number):
        fleet.spoiling[number].append(self)

    def end(self, fleet, number):
        fleet.spoiling[number].remove(self)


class LateConnections(Fault, tag="late_connections"):
    """The backlog is full: connections come up when their SYN is sent again (after 1 s, 3 s). On processes
    alone."""

    def begin(self, fleet, number):
        fleet.hold(number)

    def end(self, fleet, number):
        fleet.release(number)


class Lists(Described, tag="lists"):
    """Discovery answers with unsound lists, ends a watch in place of its news, or tells whole lists without
    what is not up. On processes alone."""

    lasts: Positive
    how: Annotated[str, msgspec.Meta(pattern=r"^(spoilt|ends|whole)$")] = "whole"

    def begin(self, fleet) -> None:
        fleet.lists = self.how

    def end(self, fleet) -> None:
        fleet.lists_sound()


class Vanish(Fault, tag="vanish"):
    """The machine is cut off and says nothing; in virtual time alone, as loopback can't lose a connection."""

    def begin(self, fleet, number):
        fleet.machines[number].gone += 1

    def end(self, fleet, number):
        fleet.machines[number].gone -= 1


class Drain(Fault, tag="drain"):
    """It is listed as draining, and as up again afterwards; it goes on serving."""

    def begin(self, fleet, number):
        fleet.list_as(number, "draining")

    def end(self, fleet, number):
        fleet.list_as(number, "up")


class Maintain(Fault, tag="maintain"):
    """The staff takes it out by the second address, restarts it and puts it back; on sockets alone."""

    def begin(self, fleet, number):
        fleet.order(number, True)

    def end(self, fleet, number):
        fleet.restart(number)
        fleet.order(number, False)


AnyFault = (
    Kill
    | Slow
    | Silent
    | Errors
    | LoseAnswers
    | Vanish
    | Drain
    | Maintain
    | Burst
    | LongWay
    | Cut
    | Lossy
    | KillProxy
    | StopProxy
    | ClockFault
    | Watches
    | Reconfigure
    | DiscoveryFails
    | Terminate
    | Pause
    | Resting
    | SpoilAnswers
    | LateConnections
    | Lists
)
ON_PROCESSES = (  # no other depth plays these
    Watches
    | Reconfigure
    | DiscoveryFails
    | Terminate
    | Pause
    | Resting
    | SpoilAnswers
    | LateConnections
    | Lists
)
