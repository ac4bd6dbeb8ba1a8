"""KNOWN-RED.txt: the tests that fail because of a real fault, and that a run passes over by name."""

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
