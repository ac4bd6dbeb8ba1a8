"""Failures seen in operation, reproduced with real processes on loopback."""

import unittest
from importlib.resources import files

from basalthook.lab import processes, scenario


def run_scenario(name, rigs=None, **changes):
    """Run a scenario of the lab on real processes; `changes` maps text in its file to a replacement."""
    text = files("basalthook.lab").joinpath("scenarios", name).read_text("utf-8")
    for old, new in changes.items():
        text = text.replace(old, new)
    return processes.run_scenario(scenario.parse(text, name), rigs)


class DiscoveryFaults(unittest.TestCase):
    def test_draining_hosts_get_nothing_after_discovery_moved_repeatedly_and_rejected_calls(self):
        result = run_scenario("moved-in-a-row.toml")
        self.assertEqual((result.faults, result.verdict.first_violation), ([], None))
        self.assertGreater(result.verdict.service, 0.95)

    def test_draining_hosts_get_nothing_though_discovery_answers_each_call_3_s_late(self):
        result = run_scenario("slow-discovery.toml")
        self.assertEqual((result.faults, result.verdict.first_violation), ([], None))


if __name__ == "__main__":
    unittest.main()
