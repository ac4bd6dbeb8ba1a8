"""The fleet file: how this process takes part in the fleet. Typed TOML; times are in seconds.

Without a fleet file no socket is opened for members, and the modules of `membership` and `fleet` that
exchange messages are not imported.
"""

import os
import stat
import tomllib
from typing import Annotated

import msgspec

from ..fleet import bounds
from ..protocol import catalogue

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes
LifetimeSeconds = Annotated[float, msgspec.Meta(ge=1, le=600)]
MemberName = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}$")]
Address = Annotated[str, msgspec.Meta(min_length=3, max_length=64)]


class FleetFileError(ValueError):
    """An unreadable or invalid fleet file; the message names file, field and expectation in one line."""


class FactLifetimes(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Lifetimes of facts by kind, in seconds; older facts are ignored."""

    host: LifetimeSeconds = 3.0  # evidence on a host
    trial: LifetimeSeconds = 10.0  # the outcome of a trial of a host


class LimitEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A limit on all proxies together, see docs/limits.md."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,64}$")]
    kind: Annotated[str, msgspec.Meta(pattern="^(rate|host|retries)$")]
    amount: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    burst: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    profiles: list[str] = msgspec.field(default_factory=list)  # of a `rate`; none means all
    over: Annotated[str, msgspec.Meta(pattern="^(never|bounded)$")] = "never"
    floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet file as written."""

    listen: Address  # host:port for datagrams of other members
    seeds: list[Address]  # addresses of some members; may include this one
    key_file: Annotated[str, msgspec.Meta(min_length=1)]  # holds the fleet's key; only its owner may read it
    shares: Annotated[
        list[Annotated[str, msgspec.Meta(pattern="^(verdicts|limits)$")]], msgspec.Meta(min_length=1)
    ]
    address: Address | None = None  # address for others, where it differs from `listen`
    name: MemberName | None = None  # default: that of the start-up file
    lives: FactLifetimes = msgspec.field(default_factory=FactLifetimes)
    keepers: list[MemberName] = msgspec.field(default_factory=list)  # voters for the leader of limits
    limits: list[LimitEntry] = msgspec.field(default_factory=list)


class FleetSettings(msgspec.Struct, frozen=True):
    """The fleet file, validated and decoded."""

    listen: tuple[str, int]
    address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...]
    key: bytes
    name: str | None
    lives: dict[str, float]  # seconds by kind of fact
    verdicts: bool = True
    keepers: tuple[str, ...] = ()
    limits: tuple[LimitEntry, ...] = ()

    def to_limits(self, profiles: dict[str, int]) -> list[bounds.Limit]:
        """Returns the limits with profiles as indices.

        `profiles`: name -> index, from the start-up file. Raises FleetFileError if a limit names another.
        """
        limits = []
        for n, row in enumerate(self.limits):
            for k, name in enumerate(row.profiles):
                if name not in profiles:
                    raise FleetFileError(
                        f"Expected a profile of the start-up file, got {name!r} - at "
                        f"`$.limits[{n}].profiles[{k}]`"
                    )
            limits.append(
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
        return limits


def validate_limits(path: str, fleet_file: FleetFile) -> None:
    """Checks what types can't express about limits; raises FleetFileError."""
    limits = [
        bounds.Limit(row.name, row.kind, row.amount, row.burst, (), row.over, row.floor)
        for row in fleet_file.limits
    ]
    for n, limit in enumerate(limits):
        if reason := bounds.invalid_reason(limit):
            raise FleetFileError(f"{path}: {reason} - at `$.limits[{n}]`")
        if limit.name in [earlier.name for earlier in limits[:n]]:
            raise FleetFileError(
                f"{path}: Expected a unique name, got {limit.name!r} - at `$.limits[{n}].name`"
            )
        if limit.kind != bounds.RATE and limit.kind in [earlier.kind for earlier in limits[:n]]:
            raise FleetFileError(
                f"{path}: Expected one limit of kind {limit.kind!r} - at `$.limits[{n}].kind`"
            )
        taken_profiles = {
            name for row in fleet_file.limits[:n] if row.kind == bounds.RATE for name in row.profiles or [""]
        }
        if limit.kind == bounds.RATE and taken_profiles & set(fleet_file.limits[n].profiles or [""]):
            raise FleetFileError(
                f"{path}: Expected profiles that no other limit has - at `$.limits[{n}].profiles`"
            )
    if bool(limits) != ("limits" in fleet_file.shares):
        raise FleetFileError(
            f"{path}: Expected `limits` in shares if, and only if, limits are given - at `$.shares`"
        )
    if limits and (
        len(fleet_file.keepers) % 2 == 0 or len(set(fleet_file.keepers)) < len(fleet_file.keepers)
    ):
        raise FleetFileError(
            f"{path}: Expected an odd number of distinct member names, "
            f"got {len(fleet_file.keepers)} - at `$.keepers`"
        )


def read(path: str) -> FleetSettings:
    """Reads, validates and decodes a fleet file; raises FleetFileError."""
    try:
        with open(path, "rb") as file:
            fleet_file = msgspec.convert(tomllib.load(file), FleetFile)
    except OSError as error:
        raise FleetFileError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise FleetFileError(f"{path} is not valid TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise FleetFileError(f"{path}: {error}") from None
    listen = parse_address(path, "$.listen", fleet_file.listen)
    advertised = parse_address(path, "$.address", fleet_file.address) if fleet_file.address else listen
    if advertised[0] in ("0.0.0.0", "::"):
        raise FleetFileError(
            f"{path}: Expected an address that others can reach, got {advertised[0]!r} - at `$.address`"
        )
    seeds = tuple(parse_address(path, f"$.seeds[{n}]", seed) for n, seed in enumerate(fleet_file.seeds))
    if fleet_file.lives.trial < fleet_file.lives.host:
        raise FleetFileError(
            f"{path}: Expected `host` or more, got {fleet_file.lives.trial:g} - at `$.lives.trial`"
        )
    validate_limits(path, fleet_file)
    key = read_key(path, os.path.join(os.path.dirname(path), fleet_file.key_file))
    return FleetSettings(
        listen,
        advertised,
        seeds,
        key,
        fleet_file.name,
        msgspec.to_builtins(fleet_file.lives),
        "verdicts" in fleet_file.shares,
        tuple(fleet_file.keepers),
        tuple(fleet_file.limits),
    )


def parse_address(path: str, field: str, text: str) -> tuple[str, int]:
    try:
        return catalogue.parse_address(text)
    except ValueError as error:
        raise FleetFileError(f"{path}: Expected host:port, got {text!r}: {error} - at `{field}`") from None


def read_key(path: str, key_path: str) -> bytes:
    try:
        with open(key_path, "rb") as file:
            mode, key = os.fstat(file.fileno()).st_mode, file.read(MAX_KEY_BYTES + 2).strip()
    except OSError as error:
        raise FleetFileError(f"{path}: cannot read {key_path}: {error.strerror} - at `$.key_file`") from None
    if not stat.S_ISREG(mode) or mode & 0o077:
        raise FleetFileError(
            f"{path}: {key_path} must be a regular file that only its owner can access - at `$.key_file`"
        )
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise FleetFileError(
            f"{path}: Expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in {key_path}, got {len(key)} - at "
            "`$.key_file`"
        )
    return key
