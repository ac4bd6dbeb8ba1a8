"""A wall clock that is stepped, or wrong at the start, makes no cold host warm and no warm one cold."""

import unittest
from unittest.mock import patch

from basalthook.protocol.catalogue import HostList, HostRecord
from basalthook.routing.clock import TICK_NS, TICKS_PER_SECOND
from basalthook.routing.host_registry import HostRegistry
from basalthook.routing.start_times import StartTimes
from basalthook.transport import timestamps

HOUR = 3600 * TICKS_PER_SECOND


class StartTimesOfHosts(unittest.TestCase):
    def setUp(self):
        self.now = 10 * HOUR
        self.registry = HostRegistry(start_times=StartTimes(lambda: self.now))

    def listed_start(self, started, from_discovery=True, name="s-0"):
        """The start time that the policy gets, in ticks; `started` is the reported one, None: long ago."""
        record = HostRecord(name, ("127.0.0.1", 1), "a", 0, True, False, 1.0, (started or 0) * TICK_NS)
        host_list = HostList(1, False, (record,))
        return self.registry.apply_host_list(host_list, from_discovery).hosts[0].started_at

    def test_a_start_reported_while_our_clock_is_an_hour_ahead_counts_as_now(self):
        self.listed_start(None)
        self.now += 20 * TICKS_PER_SECOND
        self.assertEqual(self.listed_start(self.now - HOUR), self.now)

    def test_a_start_in_the_future_of_our_clock_counts_as_now(self):
        self.assertEqual(self.listed_start(self.now + HOUR, from_discovery=False), self.now)

    def test_a_start_is_estimated_once(self):
        self.listed_start(None)
        self.now += 20 * TICKS_PER_SECOND
        started, first = self.now - HOUR, self.now
        self.assertEqual(self.listed_start(started), first)
        self.now += 30 * TICKS_PER_SECOND
        self.assertEqual(self.listed_start(started), first)

    def test_plausible_starts_are_taken_as_reported(self):
        # in the first list
        self.assertEqual(self.listed_start(self.now - HOUR, from_discovery=False), self.now - HOUR)
        for ago in (0, 3 * TICKS_PER_SECOND, 24 * TICKS_PER_SECOND):  # up to the delay of lists
            self.setUp()
            self.listed_start(None, name="s-1")
            self.now += 20 * TICKS_PER_SECOND
            self.assertEqual(self.listed_start(self.now - ago), self.now - ago)


class ReceiveTimestamps(unittest.TestCase):
    def lateness(self, steps):
        """The lateness of each read, in seconds.

        Each step: seconds passed, step of the wall clock, seconds since the bytes were timestamped.
        """
        real, ahead = 100.0, 1_000.0
        with patch.object(timestamps, "time") as clock:
            clock.monotonic_ns.side_effect = lambda: int(real * 1e9)
            clock.time_ns.side_effect = lambda: int((real + ahead) * 1e9)
            reader, found = timestamps.TimestampReader(), []
            for passed, step, ago in steps:
                real += passed
                stamped_at = int((real - ago + ahead) * 1e9)
                ahead += step  # while the bytes wait to be read
                found.append(round(reader.delay(stamped_at) / 1e9, 3))
        return found

    def test_a_step_of_the_wall_clock_does_not_count_as_lateness(self):
        for step in (-5.0, -0.5, 0.5, 5.0, 3600.0):
            self.assertEqual(self.lateness([(1, 0, 0.02), (1, step, 0.02), (0.5, 0, 0.02)]), [0.02, 0.0, 0.0])
            self.assertEqual(self.lateness([(1, step, 0.02), (1.1, 0, 0.02)]), [0.0, 0.02])

    def test_bytes_left_unread_while_the_process_was_stopped_count_as_late(self):
        self.assertEqual(self.lateness([(0.1, 0, 0.0), (3.0, 0, 2.9), (0.1, 0.01, 0.15)]), [0.0, 2.9, 0.16])


if __name__ == "__main__":
    unittest.main()
