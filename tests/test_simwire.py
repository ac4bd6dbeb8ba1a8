"""The adapter to the simulator: batches in, replies out, and unknown events rejected."""

import unittest

from basalthook.simwire.codec import BatchProcessor

SETUP = {
    "allowed": {"cancelling": True, "max_hops": 4, "max_retry_after_ns": 2_000_000_000, "retry_after": True},
    "balancers": 2,
    "discovery": "pushed",
    "position": 0,
    "zone": "north",
    "unheard_of": 1,
    "load_report": {"fields": ["cpu", "x0"], "how": "inline"},
    "profiles": [
        {
            "name": "scan",
            "effect": "by_key",
            "group": "cell",
            "hard_limit_ns": 10**9,
            "repeat_window_ns": 600_000_000,
            "revenue": 2.0,
            "service_goal_ns": 200_000_050,
        }
    ],
    "rules": {
        "ask_within_ns": 10**10,
        "cold_from": 0.3,
        "cold_ns": 8_300_000_001,
        "fall_ns": 2 * 10**9,
        "overload_factor": 4,
    },
}


def batch(now, *events):
    return {"ts_ns": now, "parts": [{"who": "proxy_0", "events": list(events)}]}


class Wire(unittest.TestCase):
    def setUp(self):
        self.processor = BatchProcessor()
        records = [{"host": "10.0.0.1:1", "area": "north", "block": 0, "status": "in_service"}]
        self.processor.process(
            batch(
                10**9,
                {"SPAWN": {"nonce64": 5, "setup": SETUP}},
                {"DIRECTORY": {"slot": 3, "records": records}},
                {"VIEW": {"scope": "restored", "revision": 1, "slot": 3}},
                {"DIRECTORY": {"slot": 3, "records": []}},
            )
        )

    def process(self, *events, now=2 * 10**9):
        reply = self.processor.process(batch(now, *events))
        return [action for part in reply["parts"] for action in part["decisions"]]

    def query(self, tx_id="rq_a", time_left=300_050_000):
        return {
            "QUERY": {"corr": tx_id, "tier_class": "scan", "path_key": "k", "patience_left_ns": time_left}
        }

    def test_round_trip(self):
        decisions = self.process(self.query())
        forward = {"corr": "rq_a", "host": "10.0.0.1:1", "allow_for_ns": 300_000_000}
        self.assertEqual(decisions[0], {"FORWARD": forward})
        verdict = {
            "VERDICT": {
                "corr": "rq_a",
                "hop": 0,
                "host": "10.0.0.1:1",
                "code": "success",
                "lag_ns": 7,
                "terminal": True,
                "gauge": [0.5, 9],
            }
        }
        self.assertEqual(self.process(verdict), [])
        instance = self.processor.instances["proxy_0"]
        self.assertEqual((instance.transactions, instance.tx_numbers, instance.policy.txs), ({}, {}, {}))

    def test_kill_drops_the_instance_and_its_decisions_of_the_batch(self):
        self.assertEqual(self.process(self.query(), {"KILL": {}}), [])
        self.assertEqual(self.processor.instances, {})

    def test_durations_of_the_settings_are_rounded_to_the_safe_side(self):
        terms = self.processor.instances["proxy_0"].policy.settings
        self.assertEqual((terms.profiles[0].service_goal, terms.slow_start_time), (2_000, 83_001))

    def test_messages_about_unknown_hosts_or_malformed_ones_are_ignored(self):
        for payload in ({}, {"payload": "68692037"}, {"payload": "02" + "00" * 6}, {"payload": "x"}):
            self.assertEqual(self.process({"INBOX": {"src": 1, **payload}}), [])

    def test_lists_with_unusual_weights_are_accepted_and_every_host_has_a_share(self):
        records = [
            {"host": f"10.0.0.{n}:1", "area": "north", "status": "in_service", "capacity_hint": weight}
            for n, weight in enumerate((0, None, -3.0, 1e-9, 10.0))
        ]
        self.process({"DIRECTORY": {"slot": 1, "records": records}}, {"VIEW": {"scope": "update", "slot": 1}})
        self.assertGreater(
            min(s.capacity for s in self.processor.instances["proxy_0"].policy.hosts.values()), 0
        )
        self.assertIn("FORWARD", self.process(self.query())[0])

    def test_an_unknown_event_is_an_error(self):
        with self.assertRaises(ValueError):
            self.process({"NEWS": {}})
