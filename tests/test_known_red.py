"""KNOWN-RED.txt: entries that name no test and malformed lines are rejected."""

import tempfile
import unittest
from pathlib import Path

from tests import known_red

LINE = "{} | a command, seed 1 | what was seen | 52\n"


class KnownRed(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "test_a.py").touch()

    def unknown(self, test, *collected):
        path = self.folder / "KNOWN-RED.txt"
        path.write_text("# a comment\n" + LINE.format(test))
        return known_red.unknown(known_red.read(path), known_red.by_file(collected), self.folder)

    def test_an_entry_whose_test_or_file_does_not_exist_is_reported(self):
        self.assertEqual(
            self.unknown("test_a.py::T::test_gone", "test_a.py::T::test_1"), ["test_a.py::T::test_gone"]
        )
        self.assertEqual(
            self.unknown("test_b.py::T::test_1", "test_a.py::T::test_1"), ["test_b.py::T::test_1"]
        )

    def test_entries_of_files_not_collected_and_commands_are_accepted(self):
        self.assertEqual(self.unknown("test_a.py::T::test_1", "test_a.py::T::test_1"), [])
        self.assertEqual(self.unknown("test_a.py::T::test_1"), [])
        self.assertEqual(self.unknown("basalthook lab soak, seed 39", "test_a.py::T::test_1"), [])

    def test_a_line_with_a_missing_or_empty_field_is_rejected(self):
        for line in ("a | b | c", "a | b | | d"):
            path = self.folder / "KNOWN-RED.txt"
            path.write_text(line)
            with self.assertRaises(ValueError):
                known_red.read(path)


if __name__ == "__main__":
    unittest.main()
