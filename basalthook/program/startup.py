"""What this proxy is told at start: the start-up file, or else single variables, decoded once."""

import os
import re
import resource
from typing import NamedTuple

import orjson

from .. import terms
from ..policy import interface
from ..protocol import catalogue


class StartUp(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    bodies_most: int  # bytes of requests' long bodies that are held at a time
    agreed: interface.PolicySettings
    profiles: dict[str, int]
    connect_seconds: float
    idle_seconds: float
    longest_patience: float  # seconds: the longest hard limit of a profile
    known: catalogue.Listing
    console: tuple[str, int] | None = None  # the second address, for the staff
    inherited: str | None = None  # the descriptor of the clients' listening socket, if one is told
    folder: str | None = None  # where processes of this name meet; only with one of these two
    fleet: object = None  # config.fleet.Told, where this process talks with others


MEMORY, OWN, BODIES = 64, 28, 0.7  # MB, if none are told; of the program itself; part of the rest for bodies


NAME = re.compile(r"[!-~]{1,64}")  # of a member: others read it in datagrams


class BadStart(Exception):
    """Says in one line what is wrong."""


def read(path: str, environ=os.environ, fleet: str | None = None) -> StartUp:
    """`fleet`: path of the fleet file, if one is named."""
    return decode(load(path), environ, path, read_fleet(fleet) if fleet else None)


def read_fleet(path: str):
    try:  # loaded only here: a plain `serve` does without
        from ..config import fleet
    except ModuleNotFoundError as fault:
        raise BadStart(
            f"a fleet file needs {fault.name}: install the extra [fleet] (requirements-fleet.txt)"
        ) from None
    try:
        return fleet.read(path)
    except fleet.BadFleet as fault:
        raise BadStart(str(fault)) from None


def load(path: str):
    try:
        with open(path, "rb") as file:
            return orjson.loads(file.read())
    except OSError as fault:
        raise BadStart(f"cannot read {path}: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise BadStart(f"{path} is no JSON: {fault}") from None


def decode(told, environ, path: str = "start-up file", fleet=None) -> StartUp:
    try:
        return _decode(told, environ, fleet)
    except KeyError as fault:
        raise BadStart(f"{path}: {fault.args[0]!r} is missing or not known") from None
    except (ValueError, TypeError, AttributeError) as fault:
        raise BadStart(f"{path}: {fault}") from None


def _decode(told: dict, environ, fleet) -> StartUp:
    setup, allowed = told["settings"], told["settings"]["allowed"]
    agreed = terms.policy_settings(setup)
    if fleet is not None and not agreed.peer_reports:
        raise ValueError(
            "settings.allowed.peers: this deployment allows no messages among proxies, "
            "and a fleet file is named"
        )
    agreed = agreed._replace(peer_reports=False)  # news of the simulator's kind are not carried here
    name = str(told.get("name") or environ.get("RELAY_NAME") or "proxy")
    if fleet is not None and not fleet.name and not NAME.fullmatch(name):
        raise ValueError(f"name: {name!r} is no name of a member; the fleet file may give another")
    if fleet is not None:
        fleet.bounds(terms.profile_indices(setup))  # a limit of a profile that there is none of
    listed = told.get("known") or {"version": 0, "full": True, "servers": []}
    known = catalogue.listing(listed)
    if known is None:
        raise ValueError("'known' is no list of hosts")
    ours = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    memory = int(told.get("limits", {}).get("memory_mb") or MEMORY)
    seed = told.get("seed", 0)
    console = told.get("console") or environ.get("RELAY_CONSOLE")
    return StartUp(
        name=name,
        listen=catalogue.address(told.get("listen") or environ["RELAY_LISTEN"], least=0),  # 0: any port
        discovery=catalogue.address(told.get("discovery") or environ["RELAY_DISCOVERY"]),
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        sockets=min(ours, int(told.get("limits", {}).get("sockets") or ours)),
        bodies_most=int(max(4, memory - OWN) * 2**20 * BODIES),
        agreed=agreed,
        profiles=terms.profile_indices(setup),
        connect_seconds=allowed["connect_timeout_ns"] / 1e9,
        idle_seconds=allowed.get("keepalive_ns", 0) / 1e9,
        longest_patience=max(p["hard_limit_ns"] for p in setup["profiles"]) / 1e9,
        known=known,
        console=catalogue.address(console, least=0) if console else None,
        inherited=environ.get("RELAY_FD"),
        folder=environ.get("TMPDIR") if console or environ.get("RELAY_FD") else None,
        fleet=fleet,
    )
