"""Reads KNOWN-RED.txt: the tests that fail because of a real fault, and that a run deselects by name."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = 4


class Entry(NamedTuple):
    """One entry, which is one line of the file."""

    test: str  # its pytest node id, or a command that shows the fault if no test does
    command: str  # with its seed
    seen: str  # the observed failure
    issue: str


def read(path: Path = PATH) -> list[Entry]:
    """Return all entries. Raises ValueError for a malformed line."""
    entries = []
    for line in path.read_text("utf-8").splitlines() if path.exists() else ():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            if len(fields) != FIELDS or not all(fields):
                raise ValueError(f"{path.name}: {FIELDS} fields expected in {line!r}")
            entries.append(Entry(*fields))
    return entries


def by_file(ids: Iterable[str]) -> dict[str, set[str]]:
    """Group pytest node ids by file."""
    found: dict[str, set[str]] = {}
    for test in ids:
        found.setdefault(test.split("::")[0], set()).add(test)
    return found


def unknown(entries: list[Entry], collected: dict[str, set[str]], root: Path) -> list[str]:
    """Return the ids that name no test: the file does not exist, or it was collected and lacks the test."""
    found = []
    for entry in entries:
        file = entry.test.split("::")[0]
        if "::" not in entry.test:  # a command that shows the fault, such as the lab's soak
            continue
        if not (root / file).is_file() or file in collected and entry.test not in collected[file]:
            found.append(entry.test)
    return found
