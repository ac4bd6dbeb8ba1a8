"""From a start-up file of the old shape to the new: a pushed list, weights that move with load, a pool."""

import copy
import os
import tempfile
from typing import NamedTuple

import orjson

# What is read of a start-up file, by name; True ends a branch, a list of one is a list of such.
HOST = dict.fromkeys(("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"), True)
PROFILE = dict.fromkeys(
    (
        "name",
        "effect",
        "group",
        "repeat_window_ns",
        "service_goal_ns",
        "hard_limit_ns",
        "stays_in",
        "host_types_open",
    ),
    True,
)
READ = {
    "name": True,
    "listen": True,
    "console": True,
    "discovery": True,
    "seed": True,
    "limits": {"sockets": True, "memory_mb": True},
    "known": {"version": True, "full": True, "servers": [HOST]},
    "settings": {
        "position": True,
        "balancers": True,
        "zone": True,
        "discovery": True,
        "weights": True,
        "profiles": [PROFILE],
        "areas": True,
        "host_types": True,
        "allowed": dict.fromkeys(
            (
                "max_hops",
                "second_copies",
                "cancelling",
                "retry_after",
                "peers",
                "max_retry_after_ns",
                "connect_timeout_ns",
                "keepalive_ns",
            ),
            True,
        ),
        "rules": dict.fromkeys(
            (
                "ask_within_ns",
                "cold_from",
                "cold_ns",
                "drain_grace_ns",
                "fall_ns",
                "overload_factor",
                "only_draining_binds",
            ),
            True,
        ),
        "prices": {"cross_zone": True},
        "family_info": {"warm_keys": True},
    },
}
# What the new shape says in place of what the old one said.
CHANGED = {"discovery": "pushed", "weights": "live"}
# What only the operator knows of a pool: carried as it was, unless told.
BY_HAND = {
    "listen": "clients come from other machines now: the address they, or the front before them, reach",
    "settings.balancers": "how many proxies the pool has, no longer how many client processes",
    "settings.position": "this proxy's place in the pool, from 0",
}


class Migration(NamedTuple):
    new: dict
    carried: list[str]
    unknown: list[str]  # paths that this program does not read
    by_hand: dict[str, str]  # path -> what is to be decided
    already: bool


def migrate(old: dict, given: dict | None = None) -> Migration:
    """`given`: by path, what the operator told for the new shape. `old` is left as it is."""
    if not isinstance(old, dict) or not isinstance(old.get("settings"), dict):
        raise ValueError("no start-up file: 'settings' is missing or no object")
    settings, given = old["settings"], given or {}
    already = all(settings.get(name) == value for name, value in CHANGED.items())
    unknown: list[str] = []
    new = _known(copy.deepcopy(old), READ, "", unknown)
    carried = [
        f"settings.{name}: {settings.get(name)!r} becomes {value!r}"
        for name, value in CHANGED.items()
        if settings.get(name) != value
    ]
    new["settings"].update(CHANGED)
    for path, value in given.items():
        place, name = (new["settings"], path.split(".")[1]) if "." in path else (new, path)
        if place.get(name) != value:
            carried.append(f"{path}: {place.get(name)!r} becomes {value!r}, as told")
        place[name] = value
    by_hand = {} if already else {path: why for path, why in BY_HAND.items() if path not in given}
    return Migration(new, carried, unknown, by_hand, already)


def _known(value, read, path: str, unknown: list[str]):
    """What is read of it; the paths of all else go to `unknown`."""
    if isinstance(read, list) and isinstance(value, list):
        return [_known(each, read[0], f"{path}[{n}]", unknown) for n, each in enumerate(value)]
    if not isinstance(read, dict) or not isinstance(value, dict):
        return value  # of a wrong shape: the check of the whole says so
    unknown += [f"{path}.{name}".lstrip(".") for name in value if name not in read]
    return {
        name: _known(each, read[name], f"{path}.{name}", unknown)
        for name, each in value.items()
        if name in read
    }


def worded(new: dict) -> bytes:
    return orjson.dumps(new, option=orjson.OPT_INDENT_2) + b"\n"


def write(path: str, new: dict) -> None:
    """Whole or not at all: beside it first, then renamed."""
    handle, beside = tempfile.mkstemp(dir=os.path.dirname(os.path.abspath(path)), prefix=".migrate-")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(worded(new))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        os.unlink(beside)
        raise
