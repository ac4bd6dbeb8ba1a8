"""The format of scenario files (TOML), fully typed and validated before anything starts.

Field names are the keys of the file. Times are in seconds, rates in transactions per second, and work in
seconds of one core of speed 1.
"""

import math
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from ..fleet import bounds
from . import links
from .faults import AnyFault, Burst, Count, Positive, Seconds, Share
from .syscalls import Chances


class ScenarioError(Exception):
    """An invalid scenario; the message is one line with the file, the path in it and what was expected."""


class HostKind(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A group of hosts of the same kind."""

    count: Count
    cores: Count = 2
    speed: Positive = 1.0
    slots: Count = 64  # transactions in progress or waiting at once; more are rejected
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])  # assigned in turn
    choke: Count | None = None  # number of transactions at which the host slows down, until it has none
    choke_slow: Positive = 3.0  # factor of that slowdown
    # bytes of requests per second on a connection; None, and in virtual time: all at once
    read_rate: Positive | None = None


class Profile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of transactions."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]+$")]
    effect: Annotated[str, msgspec.Meta(pattern=r"^(repeatable|once|by_key)$")]  # of a repeated request
    work: Positive  # mean of an exponential distribution
    service_goal: Positive
    hard_limit: Positive
    share: Positive = 1.0  # of all transactions, relative to the other profiles
    window: Positive = 5.0  # by_key: how long the hosts of a group discard repeats
    # least and most bytes of a request's body; none in virtual time
    body_bytes: tuple[Annotated[int, msgspec.Meta(ge=0)], Annotated[int, msgspec.Meta(ge=0)]] = (0, 0)


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Behaviour of the clients; shares are of all transactions or clients."""

    rate: Positive
    profiles: Annotated[list[Profile], msgspec.Meta(min_length=1)]
    keys: Count = 500  # drawn from a Zipf distribution
    zipf: Seconds = 1.0  # its exponent; 0: uniform
    retries: Annotated[int, msgspec.Meta(ge=0, le=5)] = 0  # most retries of a rolled-back transaction
    obey: Share = 1.0  # clients that wait as long as Retry-After says
    leave: Share = 0.0  # clients that leave before their answer, at a random time
    ahead: Share = 0.0  # of these, the share that has begun to write its next request
    hurried: Share = 0.0  # clients that wait for 0.1 s at most
    idle: Annotated[int, msgspec.Meta(ge=0)] = 0  # additional connections to each proxy that send nothing
    stalled: Annotated[int, msgspec.Meta(ge=0)] = (
        0  # additional connections to each proxy that send half a request
    )


class Rules(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Parameters of the rules that the judge checks."""

    drain_grace: Seconds = 0.5
    answer_late: Seconds = 0.0  # past the hard limit: no service, but no violation either
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3
    cold_time: Positive = 8.0
    fall_multiple: Annotated[float, msgspec.Meta(gt=1)] = 3.0
    fall_time: Positive = 2.0


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How discovery behaves."""

    mode: Annotated[str, msgspec.Meta(pattern=r"^(pushed|on_request)$")] = "pushed"
    notice: Seconds = 0.3  # until it publishes a change; in virtual time it takes up to twice as long
    fails: Share = 0.0  # share of list requests that fail; in virtual time only
    ask_within: Positive = 10.0  # setting of the proxies: how often they have to request the list
    told_proxies: Count | None = None  # number of proxies in their settings; None: the true one


class Network(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One-way delays between proxies and hosts; in virtual time only, as loopback has its own."""

    same: Seconds = 0.0003  # within a zone
    cross: Seconds = 0.001
    jitter: Seconds = 0.2  # random addition, up to this share of the delay
    cross_price: Share = 0.01  # setting of the proxies: service lost if each one crosses once


class Limit(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A limit on all proxies together."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]+$")]
    kind: Annotated[str, msgspec.Meta(pattern="^(rate|host|retries)$")]
    amount: Seconds  # tokens per second, or places at each host
    burst: Seconds = 0.0  # capacity of the token bucket
    profiles: list[str] = msgspec.field(default_factory=list)  # names that a rate applies to; empty: all
    over: Annotated[str, msgspec.Meta(pattern="^(never|bounded)$")] = "never"
    floor: Share = 0.0  # share that proxies may use without any message


class FleetConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the proxies share as a fleet; without it they exchange no messages."""

    shares: Annotated[
        list[Annotated[str, msgspec.Meta(pattern="^(verdicts|limits)$")]], msgspec.Meta(min_length=1)
    ]
    limits: list[Limit] = msgspec.field(default_factory=list)


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The top level of a scenario file."""

    name: str
    seconds: Positive
    hosts: Annotated[list[HostKind], msgspec.Meta(min_length=1)]
    load: Load
    rules: Rules = msgspec.field(default_factory=Rules)
    faults: list[AnyFault] = msgspec.field(default_factory=list)
    fleet: FleetConfig | None = None
    network: Network = msgspec.field(default_factory=Network)
    proxies: Count = 1  # at depth `sockets` there is one
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    key_memory: Seconds = 10.0  # a host that saw a key within so many seconds does less work
    key_saves: Share = 0.5  # share of the work that is saved then
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    connect_timeout: Positive = 0.25
    keepalive: Positive = 30.0
    memory_mb: Count | None = None  # setting of the proxies, and a bound; at depth `processes` only
    system_calls: Chances | None = None  # failing in every proxy; at depth `processes` only

    def rate_at(self, at: float) -> float:
        """Transactions per second, `at` seconds after the start."""
        return self.load.rate * math.prod(
            fault.factor_at(at) for fault in self.faults if isinstance(fault, Burst)
        )

    @property
    def host_count(self) -> int:
        return sum(kind.count for kind in self.hosts)


def fault_events(faults) -> list[tuple]:
    """The beginning and end of every fault: (seconds from the start, function, arguments after the fleet)."""
    events = []
    for fault in faults:
        if hasattr(fault, "begin"):
            arguments = [(host,) for host in fault.hosts] or [()]
            events += [
                (at, function, args)
                for args in arguments
                for at, function in ((fault.at, fault.begin), (fault.at + fault.lasts, fault.end))
            ]
    return events


def program_limit(limit: Limit, names: list[str]) -> bounds.Limit:
    """The limit in the program's own type; `names`: those of the profiles, in order."""
    return bounds.Limit(
        limit.name,
        limit.kind,
        limit.amount,
        limit.burst,
        tuple(names.index(name) for name in limit.profiles),
        limit.over,
        limit.floor,
    )


def load(path: str | Path) -> Scenario:
    """Reads a scenario file; raises ScenarioError if it is unreadable or invalid in any part."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: cannot be read: {getattr(error, 'strerror', None) or error}") from None
    return parse(text, str(path))


def parse(text: str, path: str) -> Scenario:
    """Parses and validates the text of a scenario file; `path` appears in the message of ScenarioError."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: no TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from None
    for index, fault in enumerate(scenario.faults):
        for position, number in enumerate(fault.hosts):
            if number >= scenario.host_count:
                raise ScenarioError(
                    f"{path}: Expected a host from 0 to {scenario.host_count - 1}, got {number} - at "
                    f"`$.faults[{index}].hosts[{position}]`"
                )
        for position, number in enumerate(getattr(fault, "proxies", ())):
            if number >= scenario.proxies:
                raise ScenarioError(
                    f"{path}: Expected a proxy from 0 to {scenario.proxies - 1}, got {number} - "
                    f"at `$.faults[{index}].proxies[{position}]`"
                )
        for side, names_of_side in enumerate(getattr(fault, "between", ())):
            for position, name in enumerate(names_of_side):
                try:
                    links.endpoint_names(name, scenario.proxies, scenario.host_count)
                except links.InvalidEndpointName as reason:
                    at = f"$.faults[{index}].between[{side}][{position}]"
                    raise ScenarioError(f"{path}: {reason} - at `{at}`") from None
    names = [profile.name for profile in scenario.load.profiles]
    if scenario.fleet and bool(scenario.fleet.limits) != ("limits" in scenario.fleet.shares):
        raise ScenarioError(
            f"{path}: Expected `limits` in shares exactly if there are limits - at `$.fleet.shares`"
        )
    for index, limit in enumerate(scenario.fleet.limits if scenario.fleet else ()):
        reason = (
            bounds.invalid_reason(program_limit(limit, names))
            if set(limit.profiles) <= set(names)
            else (f"Expected profiles of this scenario, got {limit.profiles}")
        )
        if reason:
            raise ScenarioError(f"{path}: {reason} - at `$.fleet.limits[{index}]`")
    for index, profile in enumerate(scenario.load.profiles):
        if profile.name in names[:index]:
            raise ScenarioError(
                f"{path}: Expected a unique name, got {profile.name!r} - at `$.load.profiles[{index}].name`"
            )
        if profile.hard_limit < profile.service_goal:
            raise ScenarioError(
                f"{path}: Expected no less than the service goal, got {profile.hard_limit} - "
                f"at `$.load.profiles[{index}].hard_limit`"
            )
        if profile.body_bytes[0] > profile.body_bytes[1]:
            raise ScenarioError(
                f"{path}: Expected the least bytes before the most, got {list(profile.body_bytes)} - "
                f"at `$.load.profiles[{index}].body_bytes`"
            )
    return scenario
