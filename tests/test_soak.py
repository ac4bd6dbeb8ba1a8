"""Random scenarios of many faults on real processes; `basalthook lab soak` runs more of them by hand."""

import unittest

from basalthook.lab import processes, soak


class RandomScenarios(unittest.TestCase):
    def test_all_rules_hold_in_random_scenarios_of_many_faults(self):
        for seed in (2, 5, 6):
            with self.subTest(seed=seed):
                result = processes.run_scenario(soak.draw_scenario(seed))
                self.assertEqual((result.faults, result.verdict.first_violation), ([], None))

    def test_all_rules_hold_and_the_memory_is_kept_beside_costly_clients(self):
        for seed in (7, 11):
            with self.subTest(seed=seed):
                result = processes.run_scenario(soak.draw_scenario(seed, costly=True))
                self.assertEqual((result.faults, result.verdict.first_violation), ([], None))


if __name__ == "__main__":
    unittest.main()
