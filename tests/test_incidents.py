"""Failures that operators have seen, each played again on real processes over loopback."""

import unittest
from importlib.resources import files

from basalthook.lab import processes, scenario


def play(name, rig=None, **changes):
    """The result of one of the lab's scenarios on real processes; `changes`: text -> other text."""
    text = files("basalthook.lab").joinpath("scenarios", name).read_text("utf-8")
    for old, new in changes.items():
        text = text.replace(old, new)
    return processes.play(scenario.parse(text, name), rig)


class DiscoveryMoved(unittest.TestCase):
    def test_drained_hosts_get_nothing_after_discovery_moved_in_a_row_and_turned_calls_away(self):
        result = play("moved-in-a-row.toml")
        self.assertEqual((result.faults, result.verdict.first), ([], None))
        self.assertGreater(result.verdict.service, 0.95)

    def test_drained_hosts_get_nothing_though_discovery_answers_each_call_three_seconds_late(self):
        result = play("slow-discovery.toml")
        self.assertEqual((result.faults, result.verdict.first), ([], None))


if __name__ == "__main__":
    unittest.main()
