"""The wall clock may be stepped, or be off at the start: a cold endpoint stays cold, a warm one warm."""

import unittest
from unittest.mock import patch

from basalthook.protocol.catalogue import Line, Listing
from basalthook.routing.clock import TICK, TICKS
from basalthook.routing.roster import Roster
from basalthook.routing.starts import Starts
from basalthook.transport import arrival

HOUR = 3600 * TICKS


class StartsOfEndpoints(unittest.TestCase):
    def setUp(self):
        self.now = 10 * HOUR
        self.roster = Roster(starts=Starts(lambda: self.now))

    def told(self, started, answered=True, name="s-0"):
        """As the decisions get it; `started`: in ticks, None: long ago."""
        line = Line(name, ("127.0.0.1", 1), "a", 0, True, False, 1.0, (started or 0) * TICK)
        listing = Listing(1, False, (line,))
        return self.roster.told(listing, answered).hosts[0].started_at

    def test_a_start_told_while_this_clock_is_an_hour_ahead_is_a_new_one(self):
        self.told(None)
        self.now += 20 * TICKS
        self.assertEqual(self.told(self.now - HOUR), self.now)

    def test_a_start_in_the_future_of_this_clock_is_a_new_one(self):
        self.assertEqual(self.told(self.now + HOUR, answered=False), self.now)

    def test_a_start_is_judged_once(self):
        self.told(None)
        self.now += 20 * TICKS
        started, first = self.now - HOUR, self.now
        self.assertEqual(self.told(started), first)
        self.now += 30 * TICKS
        self.assertEqual(self.told(started), first)

    def test_starts_that_fit_the_clock_are_taken_as_told(self):
        self.assertEqual(self.told(self.now - HOUR, answered=False), self.now - HOUR)  # of the first list
        for ago in (0, 3 * TICKS, 24 * TICKS):  # as late as lists may come
            self.setUp()
            self.told(None, name="s-1")
            self.now += 20 * TICKS
            self.assertEqual(self.told(self.now - ago), self.now - ago)


class Stamps(unittest.TestCase):
    def late(self, steps):
        """What each read counts as late, in seconds.

        A step: real seconds passed, the wall clock's step, real seconds since the bytes were stamped.
        """
        real, ahead = 100.0, 1_000.0
        with patch.object(arrival, "time") as clock:
            clock.monotonic_ns.side_effect = lambda: int(real * 1e9)
            clock.time_ns.side_effect = lambda: int((real + ahead) * 1e9)
            reader, found = arrival.StampReader(), []
            for passed, step, ago in steps:
                real += passed
                stamped_at = int((real - ago + ahead) * 1e9)
                ahead += step  # while the bytes lie unread
                found.append(round(reader.late(stamped_at) / 1e9, 3))
        return found

    def test_a_wall_clock_that_is_set_makes_no_bytes_that_lie_unread_late(self):
        for step in (-5.0, -0.5, 0.5, 5.0, 3600.0):
            self.assertEqual(self.late([(1, 0, 0.02), (1, step, 0.02), (0.5, 0, 0.02)]), [0.02, 0.0, 0.0])
            self.assertEqual(self.late([(1, step, 0.02), (1.1, 0, 0.02)]), [0.0, 0.02])

    def test_what_lay_unread_in_a_process_that_was_held_up_counts_as_late(self):
        self.assertEqual(self.late([(0.1, 0, 0.0), (3.0, 0, 2.9), (0.1, 0.01, 0.15)]), [0.0, 2.9, 0.16])


if __name__ == "__main__":
    unittest.main()
