"""Start-up configuration: the start-up file, with environment variables for values it leaves out."""

import os
import re
import resource
from typing import NamedTuple

import orjson

from .. import terms
from ..policy import interface
from ..protocol import catalogue


class MemoryLimits(NamedTuple):
    """How many bytes may be held for clients, by kind."""

    bodies: int  # long bodies of requests
    requests: int  # heads, short bodies, and what is sent ahead of an answer
    responses: int  # collected from hosts, and not yet read by clients


DEFAULT_MEMORY_MB = 64  # the limit of the process if none is configured
PROGRAM_MEMORY_MB = 24  # of it, for the program itself
CONNECTION_BYTES = 4 * 1024  # that an open connection takes without any data
MAX_CONNECTIONS_SHARE = 0.5  # of the rest, for connections
MIN_PEER_MEMORY_MB = 2  # for peers, however little is left
# Of what is left. The remaining tenth is for what is not counted: the log's queue, fragments.
BODIES_SHARE, REQUESTS_SHARE, RESPONSES_SHARE = 0.6, 0.1, 0.2


def memory_limits(memory_mb: int, sockets: int) -> MemoryLimits:
    """Divide the memory of a process that may have so many open connections."""
    left = max(MIN_PEER_MEMORY_MB, memory_mb - PROGRAM_MEMORY_MB) * 2**20
    left -= min(sockets * CONNECTION_BYTES, left * MAX_CONNECTIONS_SHARE)
    return MemoryLimits(int(left * BODIES_SHARE), int(left * REQUESTS_SHARE), int(left * RESPONSES_SHARE))


class StartUp(NamedTuple):
    """The decoded configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # limit on file descriptors
    memory: MemoryLimits
    agreed: interface.PolicySettings
    profiles: dict[str, int]
    connect_timeout_s: float
    idle_timeout_s: float
    max_hard_limit_s: float  # the longest hard limit of all profiles
    known_hosts: catalogue.HostList
    console: tuple[str, int] | None = None  # the admin address
    inherited: str | None = None  # descriptor number of the clients' listening socket
    folder: str | None = None  # shared by processes of this name; needs `console` or `inherited`
    fleet: object = None  # the decoded fleet file, if there is one


MEMBER_NAME = re.compile(r"[!-~]{1,64}")  # printable ASCII, as other members read it in datagrams


class StartUpError(Exception):
    """The program can't start; the message is one line with the reason."""


def read(path: str, environ=os.environ, fleet: str | None = None) -> StartUp:
    """Reads and decodes the start-up file. `fleet`: path of the fleet file, if there is one."""
    return decode(load(path), environ, path, read_fleet(fleet) if fleet else None)


def read_fleet(path: str):
    """The decoded fleet file; StartUpError if it is invalid or its dependencies are missing."""
    try:  # imported only here: `serve` without a fleet file does not need it
        from ..config import fleet
    except ModuleNotFoundError as error:
        raise StartUpError(
            f"a fleet file needs {error.name}: install the extra [fleet] (requirements-fleet.txt)"
        ) from None
    try:
        return fleet.read(path)
    except fleet.FleetFileError as error:
        raise StartUpError(str(error)) from None


def load(path: str):
    """The parsed JSON of the file; raises StartUpError."""
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except OSError as error:
        raise StartUpError(f"cannot read {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise StartUpError(f"{path} is no JSON: {error}") from None


def decode(document, environ, path: str = "start-up file", fleet=None) -> StartUp:
    """Raises StartUpError, which names the file by `path`."""
    try:
        return _decode(document, environ, fleet)
    except KeyError as error:
        raise StartUpError(f"{path}: {error.args[0]!r} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise StartUpError(f"{path}: {error}") from None


def _decode(document: dict, environ, fleet) -> StartUp:
    settings, allowed = document["settings"], document["settings"]["allowed"]
    policy_settings = terms.policy_settings(settings)
    if fleet is not None and not policy_settings.peer_reports:
        raise ValueError(
            "settings.allowed.peers: this deployment allows no messages among proxies, "
            "but a fleet file is given"
        )
    policy_settings = policy_settings._replace(
        peer_reports=False
    )  # only the simulator carries the messages that this setting allows
    name = str(document.get("name") or environ.get("RELAY_NAME") or "proxy")
    if fleet is not None and not fleet.name and not MEMBER_NAME.fullmatch(name):
        raise ValueError(f"name: {name!r} is no valid member name; the fleet file may set another")
    if fleet is not None:
        fleet.to_limits(terms.profile_indices(settings))  # raises if a limit names an unknown profile
    listing = document.get("known") or {"version": 0, "full": True, "servers": []}
    known_hosts = catalogue.parse_host_list(listing)
    if known_hosts is None:
        raise ValueError("'known' is not a list of hosts")
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    memory_mb = int(document.get("limits", {}).get("memory_mb") or DEFAULT_MEMORY_MB)
    sockets = min(descriptor_limit, int(document.get("limits", {}).get("sockets") or descriptor_limit))
    seed = document.get("seed", 0)
    console = document.get("console") or environ.get("RELAY_CONSOLE")
    return StartUp(
        name=name,
        listen=catalogue.parse_address(
            document.get("listen") or environ["RELAY_LISTEN"], min_port=0
        ),  # 0: any port
        discovery=catalogue.parse_address(document.get("discovery") or environ["RELAY_DISCOVERY"]),
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        sockets=sockets,
        memory=memory_limits(memory_mb, sockets),
        agreed=policy_settings,
        profiles=terms.profile_indices(settings),
        connect_timeout_s=allowed["connect_timeout_ns"] / 1e9,
        idle_timeout_s=allowed.get("keepalive_ns", 0) / 1e9,
        max_hard_limit_s=max(p["hard_limit_ns"] for p in settings["profiles"]) / 1e9,
        known_hosts=known_hosts,
        console=catalogue.parse_address(console, min_port=0) if console else None,
        inherited=environ.get("RELAY_FD"),
        folder=environ.get("TMPDIR") if console or environ.get("RELAY_FD") else None,
        fleet=fleet,
    )
