"""The wall clock may be stepped, or be off at the start: a cold endpoint stays cold, a warm one warm."""

import unittest

from basalthook.protocol.catalogue import Line, Listing
from basalthook.routing.clock import TICK, TICKS
from basalthook.routing.roster import Roster
from basalthook.routing.starts import Starts

HOUR = 3600 * TICKS


class StartsOfEndpoints(unittest.TestCase):
    def setUp(self):
        self.now = 10 * HOUR
        self.roster = Roster(starts=Starts(lambda: self.now))

    def told(self, started, answered=True, name="s-0"):
        """As the decisions get it; `started`: in ticks, None: long ago."""
        line = Line(name, ("127.0.0.1", 1), "a", 0, True, False, 1.0, (started or 0) * TICK)
        listing = Listing(1, False, (line,))
        return self.roster.told(listing, answered).hosts[0].started

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


if __name__ == "__main__":
    unittest.main()
