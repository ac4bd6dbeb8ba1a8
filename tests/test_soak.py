"""Drawn days of many faults at once on real processes; by hand `basalthook lab soak` plays many more."""

import unittest

from basalthook.lab import processes, soak


class Soak(unittest.TestCase):
    def test_all_rules_hold_on_drawn_days_of_many_faults(self):
        for seed in (2, 5, 6):
            with self.subTest(seed=seed):
                result = processes.play(soak.draw_scenario(seed))
                self.assertEqual((result.faults, result.verdict.first), ([], None))


if __name__ == "__main__":
    unittest.main()
