"""Migrates a start-up file to the new format: pushed host list, live weights, a pool of proxies."""

import copy
import os
import tempfile
from typing import NamedTuple

import orjson

# Fields of a start-up file that are read. True: a leaf; a list of one element: a list of such elements.
HOST_FIELDS = dict.fromkeys(("id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"), True)
PROFILE_FIELDS = dict.fromkeys(
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
KNOWN_FIELDS = {
    "name": True,
    "listen": True,
    "console": True,
    "discovery": True,
    "seed": True,
    "limits": {"sockets": True, "memory_mb": True},
    "known": {"version": True, "full": True, "servers": [HOST_FIELDS]},
    "settings": {
        "position": True,
        "balancers": True,
        "zone": True,
        "discovery": True,
        "weights": True,
        "profiles": [PROFILE_FIELDS],
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
# Settings that the migration replaces.
NEW_VALUES = {"discovery": "pushed", "weights": "live"}
# Fields whose new value only the operator knows; copied unchanged unless a value is given.
MANUAL_FIELDS = {
    "listen": "clients now connect from other machines: the address that they or their front end use",
    "settings.balancers": "number of proxies in the pool, no longer the number of client processes",
    "settings.position": "position of this proxy in the pool, from 0",
}


class Migration(NamedTuple):
    """The result of a migration."""

    new: dict
    changes: list[str]
    unknown: list[str]  # paths of fields that this program does not read
    manual_steps: dict[str, str]  # by path: what the operator has to decide
    already_migrated: bool


def migrate(old: dict, overrides: dict | None = None) -> Migration:
    """Migrates `old`, which is left unchanged. `overrides`: the operator's values by path.

    Raises ValueError if `old` is no start-up file.
    """
    if not isinstance(old, dict) or not isinstance(old.get("settings"), dict):
        raise ValueError("no start-up file: 'settings' is missing or not an object")
    settings, overrides = old["settings"], overrides or {}
    already_migrated = all(settings.get(name) == value for name, value in NEW_VALUES.items())
    unknown: list[str] = []
    new = _copy_known_fields(copy.deepcopy(old), KNOWN_FIELDS, "", unknown)
    changes = [
        f"settings.{name}: {settings.get(name)!r} becomes {value!r}"
        for name, value in NEW_VALUES.items()
        if settings.get(name) != value
    ]
    new["settings"].update(NEW_VALUES)
    for path, value in overrides.items():
        target, name = (new["settings"], path.split(".")[1]) if "." in path else (new, path)
        if target.get(name) != value:
            changes.append(f"{path}: {target.get(name)!r} becomes {value!r}, as given")
        target[name] = value
    manual_steps = (
        {}
        if already_migrated
        else {path: reason for path, reason in MANUAL_FIELDS.items() if path not in overrides}
    )
    return Migration(new, changes, unknown, manual_steps, already_migrated)


def _copy_known_fields(value, fields, path: str, unknown: list[str]):
    """Copies the fields that are read; the paths of all others are added to `unknown`."""
    if isinstance(fields, list) and isinstance(value, list):
        return [_copy_known_fields(item, fields[0], f"{path}[{n}]", unknown) for n, item in enumerate(value)]
    if not isinstance(fields, dict) or not isinstance(value, dict):
        return value  # a wrong type is reported when the whole file is decoded
    unknown += [f"{path}.{name}".lstrip(".") for name in value if name not in fields]
    return {
        name: _copy_known_fields(item, fields[name], f"{path}.{name}", unknown)
        for name, item in value.items()
        if name in fields
    }


def to_json(document: dict) -> bytes:
    """The start-up file as indented JSON."""
    return orjson.dumps(document, option=orjson.OPT_INDENT_2) + b"\n"


def write(path: str, document: dict) -> None:
    """Writes atomically: to a temporary file in the same folder, which is then renamed."""
    handle, temporary = tempfile.mkstemp(dir=os.path.dirname(os.path.abspath(path)), prefix=".migrate-")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(to_json(document))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        os.unlink(temporary)
        raise
