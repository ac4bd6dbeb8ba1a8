"""The fleet file: how this process talks with its fellows. TOML, typed; times are seconds.

Without it nothing is opened, and nothing of `membership` or `fleet` that speaks is imported.
"""

import os
import stat
import tomllib
from typing import Annotated

import msgspec

from ..fleet import bounds
from ..protocol import catalogue

KEY_LEAST, KEY_MOST = 16, 64  # bytes
LifetimeSeconds = Annotated[float, msgspec.Meta(ge=1, le=600)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}$")]
Address = Annotated[str, msgspec.Meta(min_length=3, max_length=64)]


class FleetFileError(ValueError):
    """Says file, place and what was expected, in one line."""


class FactLifetimes(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Nothing told is acted on when it is older than this, by kind."""

    host: LifetimeSeconds = 3.0  # evidence on a host
    trial: LifetimeSeconds = 10.0  # the outcome of a trial of a host


class LimitEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A bound on all proxies together; docs/limits.md."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}$")]
    kind: Annotated[str, msgspec.Meta(pattern="^(rate|host|retries)$")]
    amount: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    profiles: list[str] = msgspec.field(default_factory=list)  # of a rate; none: all
    over: Annotated[str, msgspec.Meta(pattern="^(never|bounded)$")] = "never"
    floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    listen: Address  # host:port of this member's datagrams
    seeds: list[Address]  # told addresses of some members; this one's may be among them
    key_file: Annotated[str, msgspec.Meta(min_length=1)]  # the same key at all; this user's alone
    shares: Annotated[
        list[Annotated[str, msgspec.Meta(pattern="^(verdicts|limits)$")]], msgspec.Meta(min_length=1)
    ]
    address: Address | None = None  # what others are told, where it differs from `listen`
    name: Name | None = None  # else the start-up file's
    lives: FactLifetimes = msgspec.field(default_factory=FactLifetimes)
    keepers: list[Name] = msgspec.field(default_factory=list)  # members that vote for the keeper of limits
    limits: list[LimitEntry] = msgspec.field(default_factory=list)


class FleetSettings(msgspec.Struct, frozen=True):
    """The same, decoded."""

    listen: tuple[str, int]
    address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    key: bytes
    name: str | None
    lives: dict[str, float]  # seconds by kind
    verdicts: bool = True
    keepers: tuple[str, ...] = ()
    limits: tuple[LimitEntry, ...] = ()

    def to_limits(self, profiles: dict[str, int]) -> list[bounds.Limit]:
        """`profiles`: name -> index, of the start-up file. FleetFileError: a limit names another."""
        found = []
        for n, row in enumerate(self.limits):
            for which, name in enumerate(row.profiles):
                if name not in profiles:
                    raise FleetFileError(
                        f"Expected a profile of the start-up file, got {name!r} - at "
                        f"`$.limits[{n}].profiles[{which}]`"
                    )
            found.append(
                bounds.Limit(
                    row.name,
                    row.kind,
                    row.amount,
                    row.burst,
                    tuple(profiles[name] for name in row.profiles),
                    row.over,
                    row.floor,
                )
            )
        return found


def validate_limits(path: str, found: FleetFile) -> None:
    """What types alone can't say of limits; FleetFileError."""
    limits = [
        bounds.Limit(row.name, row.kind, row.amount, row.burst, (), row.over, row.floor)
        for row in found.limits
    ]
    for n, limit in enumerate(limits):
        if reason := bounds.invalid_reason(limit):
            raise FleetFileError(f"{path}: {reason} - at `$.limits[{n}]`")
        if limit.name in [each.name for each in limits[:n]]:
            raise FleetFileError(
                f"{path}: Expected a name of its own, got {limit.name!r} - at `$.limits[{n}].name`"
            )
        if limit.kind != bounds.RATE and limit.kind in [each.kind for each in limits[:n]]:
            raise FleetFileError(
                f"{path}: Expected one limit of kind {limit.kind!r} - at `$.limits[{n}].kind`"
            )
        taken = {name for row in found.limits[:n] if row.kind == bounds.RATE for name in row.profiles or [""]}
        if limit.kind == bounds.RATE and taken & set(found.limits[n].profiles or [""]):
            raise FleetFileError(
                f"{path}: Expected profiles that no other limit has - at `$.limits[{n}].profiles`"
            )
    if bool(limits) != ("limits" in found.shares):
        raise FleetFileError(
            f"{path}: Expected `limits` in shares where there are some, and only there - at `$.shares`"
        )
    if limits and (len(found.keepers) % 2 == 0 or len(set(found.keepers)) < len(found.keepers)):
        raise FleetFileError(
            f"{path}: Expected an odd number of members' names, got {len(found.keepers)} - at `$.keepers`"
        )


def read(path: str) -> FleetSettings:
    """FleetFileError: file, place and what was expected."""
    try:
        with open(path, "rb") as file:
            found = msgspec.convert(tomllib.load(file), FleetFile)
    except OSError as fault:
        raise FleetFileError(f"cannot read {path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise FleetFileError(f"{path} is no TOML: {fault}") from None
    except msgspec.ValidationError as fault:
        raise FleetFileError(f"{path}: {fault}") from None
    listen = parse_address(path, "$.listen", found.listen)
    told = parse_address(path, "$.address", found.address) if found.address else listen
    if told[0] in ("0.0.0.0", "::"):
        raise FleetFileError(f"{path}: Expected what others can reach, got {told[0]!r} - at `$.address`")
    seeds = tuple(parse_address(path, f"$.seeds[{n}]", seed) for n, seed in enumerate(found.seeds))
    if found.lives.trial < found.lives.host:
        raise FleetFileError(
            f"{path}: Expected `host` or more, got {found.lives.trial:g} - at `$.lives.trial`"
        )
    validate_limits(path, found)
    key = read_key(path, os.path.join(os.path.dirname(path), found.key_file))
    return FleetSettings(
        listen,
        told,
        seeds,
        key,
        found.name,
        msgspec.to_builtins(found.lives),
        "verdicts" in found.shares,
        tuple(found.keepers),
        tuple(found.limits),
    )


def parse_address(path: str, where: str, told: str) -> tuple[str, int]:
    try:
        return catalogue.address(told)
    except ValueError as fault:
        raise FleetFileError(f"{path}: Expected host:port, got {told!r}: {fault} - at `{where}`") from None


def read_key(path: str, key_path: str) -> bytes:
    try:
        with open(key_path, "rb") as file:
            mode, key = os.fstat(file.fileno()).st_mode, file.read(KEY_MOST + 2).strip()
    except OSError as fault:
        raise FleetFileError(f"{path}: cannot read {key_path}: {fault.strerror} - at `$.key_file`") from None
    if not stat.S_ISREG(mode) or mode & 0o077:
        raise FleetFileError(f"{path}: {key_path} is open to others than its owner - at `$.key_file`")
    if not KEY_LEAST <= len(key) <= KEY_MOST:
        raise FleetFileError(
            f"{path}: Expected {KEY_LEAST} to {KEY_MOST} bytes in {key_path}, got {len(key)} - at "
            "`$.key_file`"
        )
    return key
