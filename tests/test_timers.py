"""Timers on a clock and a loop that are handed in."""

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from basalthook.transport.timers import Timers

SECOND = 10_000


class Loop:
    """One wake-up at a time, as told; time moves on to it."""

    def __init__(self):
        self.time, self.wakes = 0, []

    def now(self):
        return self.time

    def call_later(self, seconds, call):
        wake = SimpleNamespace(at=self.time + round(seconds * SECOND), call=call)
        wake.cancel = lambda: wake in self.wakes and self.wakes.remove(wake)
        self.wakes.append(wake)
        return wake

    def turn(self):
        wake = min(self.wakes, key=lambda each: each.at)
        self.wakes.remove(wake)
        self.time = max(self.time, wake.at)
        wake.call()


class TimersRing(unittest.TestCase):
    def test_what_a_timer_sets_for_later_holds_up_no_other(self):
        """One due at 0.2 s rang at 1.1 s, behind what the one before it had set."""
        loop, rung = Loop(), []
        timers = Timers(loop.now, SECOND, loop.call_later)
        timers.set(1_000, lambda: timers.set(10_000, rung.append, "late"))
        timers.set(2_000, lambda: rung.append(loop.time))
        while loop.wakes:
            loop.turn()
        self.assertEqual(rung, [2_000, "late"])

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 500), st.lists(st.integers(0, 500), max_size=4), st.none() | st.integers(0, 30)
            ),
            min_size=1,
            max_size=30,
        )
    )
    def test_each_rings_at_its_time_and_the_earliest_is_always_armed(self, plans):
        """A plan: due when, what it sets in its turn, and which of the earlier ones it cancels."""
        loop, rung, set_for = Loop(), {}, {}
        timers, entries = Timers(loop.now, SECOND, loop.call_later), []

        def begin(delay, more, gone):
            name = len(entries)
            set_for[name] = loop.time + delay
            entries.append(timers.set(delay, ring, name, more, gone))

        def ring(name, more, gone):
            rung[name] = loop.time
            for delay in more:
                begin(delay, (), None)
            if gone is not None and gone < len(entries) and gone not in rung:
                timers.cancel(entries[gone])
                set_for.pop(gone, None)

        for plan in plans:
            begin(*plan)
        while timers.heap:
            self.assertLessEqual(min(wake.at for wake in loop.wakes), timers.heap[0][0])
            loop.turn()
        self.assertEqual(rung, set_for)
