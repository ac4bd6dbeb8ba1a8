"""A real proxy with the least memory that deployments give stays within it beside costly clients.

`basalthook lab overload` plays the same by hand, with other numbers.
"""

import unittest

from basalthook.lab.overload import run_trial

MEMORY_MB = 32  # the least that deployments give
SOCKETS = 1024
LATENCY_TARGET_S = 0.6  # of the well-behaved clients' class, in the proxy's settings
SERVED_SHARE = 0.95  # of the well-behaved clients' requests


class Overload(unittest.TestCase):
    def check(self, behaviour, **options):
        result = run_trial(behaviour, MEMORY_MB, SOCKETS, **options)
        self.assertEqual((result.exited, result.faults, result.lost), (False, [], 0), result)
        self.assertLessEqual(result.peak_mb, MEMORY_MB, result)
        self.assertGreaterEqual(result.served, SERVED_SHARE * result.sent, result)
        self.assertLessEqual(result.p99, LATENCY_TARGET_S, result)

    def test_well_behaved_clients_alone_are_all_served(self):
        self.check(None)

    def test_pipelined_health_checks_are_not_read_without_end(self):
        self.check("pipelined-health")

    def test_ever_new_names_in_connection_fields_do_not_fill_a_cache(self):
        self.check("listed-fields")

    def test_thirty_clients_with_names_in_connection_fields_do_not_hold_others_up(self):
        self.check("listed-fields", connections=30)

    def test_bodies_of_64_kb_that_stop_half_way_are_within_the_memory(self):
        self.check("half-bodies")

    def test_bodies_of_64_kb_that_come_slowly_are_within_the_memory(self):
        self.check("trickled-bodies")

    def test_hundreds_of_values_of_one_field_are_within_the_memory(self):
        self.check("expect-fields")

    def test_pipelined_answers_that_are_read_slowly_are_within_the_memory(self):
        self.check("unread-answers")

    def test_long_answers_that_are_read_slowly_do_not_keep_others_out(self):
        self.check("long-unread-answers")

    def test_whole_heads_of_many_short_fields_do_not_hold_others_up(self):
        self.check("many-fields")

    def test_heads_of_many_short_fields_that_never_end_are_within_the_memory(self):
        self.check("endless-heads")

    def test_bodies_in_chunks_of_one_byte_do_not_hold_others_up(self):
        self.check("tiny-chunks")

    def test_bodies_of_3_mb_that_stop_half_way_are_within_the_memory(self):
        self.check("half-long-bodies")

    def test_pipelined_requests_with_ever_new_keys_are_within_the_memory(self):
        self.check("pipelined-keys")

    def test_pipelined_requests_that_are_rejected_are_within_the_memory(self):
        self.check("pipelined-rejects")

    def test_empty_lines_do_not_hold_others_up(self):
        self.check("empty-lines")

    def test_silent_connections_are_within_the_memory(self):
        self.check("silent")


if __name__ == "__main__":
    unittest.main()
