"""KNOWN-RED.txt: the tests that fail because of a real fault, and that a run passes over by name."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = 4


class Entry(NamedTuple):
    """One line of the file."""

    test: str  # pytest's id of it, or what finds the fault where that is no test of the suite
    command: str  # and seed
    seen: str
    issue: str


def read(path: Path = PATH) -> list[Entry]:
    """All entries; ValueError for a line that is none."""
    entries = []
    for line in path.read_text("utf-8").splitlines() if path.exists() else ():
        if line.strip() and not line.startswith("#"):
            fields = [field.strip() for field in line.split("|")]
            if len(fields) != FIELDS or not all(fields):
                raise ValueError(f"{path.name}: {FIELDS} fields expected in {line!r}")
            entries.append(Entry(*fields))
    return entries


def by_file(ids: Iterable[str]) -> dict[str, set[str]]:
    """Pytest's ids, by the file in which each test is."""
    found: dict[str, set[str]] = {}
    for test in ids:
        found.setdefault(test.split("::")[0], set()).add(test)
    return found


def unknown(entries: list[Entry], collected: dict[str, set[str]], root: Path) -> list[str]:
    """Ids that name no test: there is no such file, or it was collected and has no such test."""
    found = []
    for entry in entries:
        file = entry.test.split("::")[0]
        if "::" not in entry.test:  # a command that finds the fault, as the lab's soak
            continue
        if not (root / file).is_file() or file in collected and entry.test not in collected[file]:
            found.append(entry.test)
    return found
