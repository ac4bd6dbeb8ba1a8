"""Timers on a simulated clock and event loop."""

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from basalthook.transport.timers import Timers

SECOND = 10_000


class Loop:
    """A simulated event loop: runs one wake-up at a time, and moves its clock to it."""

    def __init__(self):
        self.time, self.wakeups = 0, []

    def now(self):
        return self.time

    def call_later(self, seconds, call):
        wakeup = SimpleNamespace(at=self.time + round(seconds * SECOND), call=call)
        wakeup.cancel = lambda: wakeup in self.wakeups and self.wakeups.remove(wakeup)
        self.wakeups.append(wakeup)
        return wakeup

    def run_next(self):
        wakeup = min(self.wakeups, key=lambda candidate: candidate.at)
        self.wakeups.remove(wakeup)
        self.time = max(self.time, wakeup.at)
        wakeup.call()


class TimersFire(unittest.TestCase):
    def test_a_timer_set_by_a_callback_does_not_delay_earlier_ones(self):
        """A callback that set a later timer moved the wake-up past the next one due.

        It fired at 1.1 s in place of 0.2 s.
        """
        loop, fired = Loop(), []
        timers = Timers(loop.now, SECOND, loop.call_later)
        timers.set(1_000, lambda: timers.set(10_000, fired.append, "late"))
        timers.set(2_000, lambda: fired.append(loop.time))
        while loop.wakeups:
            loop.run_next()
        self.assertEqual(fired, [2_000, "late"])

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 500), st.lists(st.integers(0, 500), max_size=4), st.none() | st.integers(0, 30)
            ),
            min_size=1,
            max_size=30,
        )
    )
    def test_each_fires_at_its_time_and_a_wakeup_is_set_for_the_earliest(self, plans):
        """A plan: a delay, the delays of the timers it sets on firing, and an earlier timer it cancels."""
        loop, fired, expected = Loop(), {}, {}
        timers, entries = Timers(loop.now, SECOND, loop.call_later), []

        def set_timer(delay, next_delays, cancelled):
            number = len(entries)
            expected[number] = loop.time + delay
            entries.append(timers.set(delay, fire, number, next_delays, cancelled))

        def fire(number, next_delays, cancelled):
            fired[number] = loop.time
            for delay in next_delays:
                set_timer(delay, (), None)
            if cancelled is not None and cancelled < len(entries) and cancelled not in fired:
                timers.cancel(entries[cancelled])
                expected.pop(cancelled, None)

        for plan in plans:
            set_timer(*plan)
        while timers.heap:
            self.assertLessEqual(min(wakeup.at for wakeup in loop.wakeups), timers.heap[0][0])
            loop.run_next()
        self.assertEqual(fired, expected)
