"""Limits of the whole fleet: what ships under random schedules and in every small world, judged from outside;
each promise with the bug planted that would break it."""

import tempfile
import unittest
import unittest.mock
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from basalthook.config import fleet as fleet_file
from basalthook.fleet.bounds import BOUNDED, CLOCKS, HOST, LEASE, NEVER, RATE, TICKS, Limit, wrong
from basalthook.fleet.holder import Holder
from basalthook.fleet.keeper import Keeper, Row
from basalthook.fleet.limits import NEED, PART, UNITS
from basalthook.fleet.seat import Seat, shorter
from basalthook.lab import overrun
from basalthook.lab.explore import Explorer
from basalthook.lab.leases import HARD_LIMIT, Member, Run
from basalthook.lab.wire import Done, Got
from basalthook.membership import wire
from basalthook.policy import interface
from tests.fake import FakeHost, Stage

PLACES, TOKENS = Limit("places", HOST, 3), Limit("rate", RATE, 40, 60)
UNIT, FLOW = (PLACES.id, 7), (TOKENS.id, 0)


class Hasty(Member):
    """A keeper that does not wait for what another has lent."""

    def __init__(self, run, n):
        super().__init__(run, n)
        if self.limits.keeper:
            self.limits.keeper.lasts = 0


class AddsTwice(Member):
    """Takes a later version of an answer for more of the same."""

    def __init__(self, run, n):
        super().__init__(run, n)
        holder, answered = self.limits.holder, self.limits.holder.answered

        def again(now, *given):
            holder.taken = {}
            return answered(now, *given)

        holder.answered = again


class SaysFirst(Member):
    """Says that it gives up, and does so a little later."""

    def __init__(self, run, n):
        super().__init__(run, n)
        give = self.limits.give
        self.limits.give = lambda now: run.later(30, give, now)


class Bold(Seat):
    """A voter that has forgotten what it voted, and votes."""

    def __init__(self, *told):
        super().__init__(*told)
        self.silent_until = 0


class Schedules(unittest.TestCase):
    def test_no_host_and_no_window_is_over_and_nothing_stays_idle(self):
        for seed in (*range(10), 36, 59, 154, 432):  # the last of them broke on the way
            self.assertEqual(Run(seed).play(), [], seed)

    def test_what_would_break_it_is_found(self):
        for make, rule in ((Hasty, "over"), (AddsTwice, "spent"), (SaysFirst, "over")):
            found = (wrong.rule for seed in range(60) for wrong in Run(seed, make, ("bad",)).play())
            self.assertEqual(next(found, None), rule, make)

    def test_own_places_wait_until_the_hops_of_the_life_before_are_over(self):
        """Seed 432 of the schedules: started again at once, it took a host of three places to four."""
        run = next(run for run in map(Run, range(20)) if int(run.limits[0].floor * run.limits[0].amount))
        members = [Member(run, n) for n in range(run.size)]

        def own():
            return sum(
                member.proxy.allowance.remaining((interface.PER_HOST, 0), run.clock(member.n))
                for member in members
            )

        self.assertEqual(own(), 0)
        run.now += HARD_LIMIT // 2
        for member in members:
            member.limits.tick(run.clock(member.n))
        self.assertEqual(own(), 0)
        run.now += HARD_LIMIT
        for member in members:
            member.limits.tick(run.clock(member.n))
        self.assertEqual(own(), int(run.limits[0].floor * run.limits[0].amount))


class Worlds(unittest.TestCase):
    def test_no_state_of_a_small_world_has_two_holders(self):
        states, bad = Explorer(steps=2, claims=1, restarts=0).run()
        self.assertIsNone(bad)
        self.assertGreater(states, 10_000)

    def test_a_voter_that_forgets_and_votes_is_found(self):
        self.assertIsNotNone(Explorer(steps=1, claims=1, restarts=1, make=Bold).run()[1])

    def test_a_holder_without_the_clocks_margin_is_found(self):
        with unittest.mock.patch("basalthook.fleet.seat.shorter", lambda ticks, loss: ticks):
            self.assertIsNotNone(Explorer(steps=3, claims=1, restarts=0).run()[1])

    @given(st.integers(1, 10**6), st.floats(0, 0.3))
    def test_what_a_slow_holder_counts_is_over_before_a_fast_keeper_has_counted(self, ticks, loss):
        self.assertLessEqual(shorter(ticks, loss) / (1 - loss), ticks / (1 + loss) * (1 + 1e-12))


class Many(unittest.TestCase):
    """A proxy before hundreds of hosts, and one that has left the list."""

    def setUp(self):
        self.run, self.asked = Run(1), []
        self.run.hosts, self.run.send = 200, lambda n, name, message: self.asked.append(message)
        self.member = Member(self.run, 1)
        self.limits, self.proxy = self.member.limits, self.member.proxy

    def out(self, host):
        server = self.proxy.hosts[host]
        server.attempts[host] = self.proxy.attempts[host] = server, 0, 0

    def test_all_that_is_in_use_is_named_and_an_ask_and_its_answer_fit_a_datagram(self):
        now = self.run.clock(1)
        for host in range(120):
            self.limits.peaks[self.limits.unit(host)] = 1, now - host
        for host in range(100, 130):
            self.out(host)
        self.limits.tick(now + 100)
        (need,) = [message for message in self.asked if message[0] == NEED]
        marks = {row[1] for row in need[5] if row[1]}
        self.assertEqual(len(marks), UNITS)
        self.assertLessEqual({1000 + host for host in range(100, 130)}, marks)
        rows = need[5]
        part = [PART, "p0", 1, 2**40, 9, [[*row[:2], 4] for row in rows], [row[:2] for row in rows]]
        self.assertLess(max(len(wire.sealed(b"k" * 16, message)) for message in (need, part)), wire.MOST)

    def test_a_place_in_use_at_a_host_that_left_the_list_is_not_given_up(self):
        self.out(7)
        self.proxy.ready = self.proxy.ready[:5]
        self.limits.known()
        self.assertEqual(self.limits.in_use(self.run.clock(1)), {(self.limits.hosts, 1007): 1})


class Lending(unittest.TestCase):
    def setUp(self):
        self.keeper = Keeper({limit.id: limit for limit in (PLACES, TOKENS)}, 1_000)
        self.keeper.begin(0)
        self.now = self.keeper.lasts

    def ask(self, who, sequence, *rows, got=0):
        """{who: granted} of all that are answered."""
        told = self.keeper.asked(self.now, (who, 1), sequence, got, [Row(*row) for row in rows])
        return {name: granted for (name, _), _, _, granted, _ in told}

    def test_a_new_keeper_lends_nothing_beyond_what_is_held_until_that_is_over(self):
        self.now = 10
        self.assertEqual(self.ask("a", 1, (UNIT, 2, 3)), {"a": {UNIT: 2}})
        self.assertEqual(self.ask("b", 1, (UNIT, 0, 1)), {"b": {UNIT: 0}})
        self.now = self.keeper.lasts
        told = self.keeper.tick(self.now)
        self.assertEqual([(who[0], granted[UNIT]) for who, _, _, granted, _ in told], [("a", 3)])

    def test_who_waits_first_gets_first_what_another_gives_back(self):
        self.assertEqual(self.ask("a", 1, (UNIT, 0, 3)), {"a": {UNIT: 3}})
        self.ask("b", 1, (UNIT, 0, 1))
        self.ask("c", 1, (UNIT, 0, 1))
        self.assertEqual(self.ask("a", 2, (UNIT, 2, 2)), {"a": {UNIT: 2}, "b": {UNIT: 1}})
        self.assertEqual(self.ask("a", 3), {"a": {}, "c": {UNIT: 1}})

    def test_fewer_granted_counts_as_more_until_the_holder_has_said_so(self):
        self.ask("a", 1, (UNIT, 0, 3))
        self.assertEqual(self.ask("a", 2, (UNIT, 3, 1)), {"a": {UNIT: 1}})  # its answer may be lost
        self.assertEqual(self.ask("b", 1, (UNIT, 0, 1)), {"b": {UNIT: 0}})

    def test_tokens_of_a_lost_answer_come_back_and_taken_ones_do_not(self):
        self.now += TICKS
        self.assertEqual(self.ask("a", 1, (FLOW, 0, 10)), {"a": {FLOW: 10}})
        before = self.keeper.free(self.now, FLOW)
        self.ask("a", 2, (FLOW, 0, 0), got=0)
        self.assertEqual(self.keeper.free(self.now, FLOW), before + 10)
        self.ask("a", 3, (FLOW, 0, 8))
        self.ask("a", 4, (FLOW, 8, 0), got=3)
        self.assertEqual(self.keeper.free(self.now, FLOW), before + 2)

    def test_asks_that_come_late_or_twice_are_nothing(self):
        self.ask("a", 2, (UNIT, 0, 1))
        self.assertEqual(self.ask("a", 2, (UNIT, 0, 3)), {})
        self.assertEqual(self.ask("a", 1, (UNIT, 0, 3)), {})

    def test_a_holder_takes_no_answer_to_an_earlier_ask(self):
        holder = Holder(0)
        first, _, _ = holder.ask(0, {UNIT: 2}, {}, {})
        holder.ask(2_000, {UNIT: 1}, {}, {})
        self.assertFalse(holder.answered(2_010, first, 1, {UNIT: 2}, set(), lambda unit: False))
        self.assertEqual(holder.places(2_010, UNIT), 0)

    def test_a_lease_counts_from_the_asking_however_late_the_answer_is(self):
        holder = Holder(0)
        sequence, _, _ = holder.ask(0, {UNIT: 2}, {}, {})
        holder.answered(1_900, sequence, 1, {UNIT: 2}, set(), lambda unit: False)
        self.assertEqual(holder.until, shorter(LEASE, CLOCKS))

    def test_hops_out_past_a_lease_are_told_as_held_and_no_more_begins(self):
        holder = Holder(0)
        sequence, _, _ = holder.ask(0, {UNIT: 2}, {}, {})
        holder.answered(10, sequence, 1, {UNIT: 2}, set(), lambda unit: False)
        _, _, rows = holder.ask(90_000, {}, {}, {UNIT: 1})
        self.assertEqual((rows, holder.places(90_000, UNIT)), ([Row(UNIT, 1, 1)], 0))


class Decisions(unittest.TestCase):
    def test_hops_go_where_a_place_is_allowed_and_wait_for_one(self):
        stage = Stage([FakeHost(n, outcome=None) for n in range(2)])
        stage.deliver(
            interface.LimitsUpdated(
                (((interface.PER_HOST, None), 0, 0, 0), ((interface.PER_HOST, 1), 0, 1, 10**9))
            )
        )
        stage.arrive_many(2)
        self.assertEqual(stage.sent_to(), [1])
        stage.deliver(interface.LimitsUpdated((((interface.PER_HOST, 0), 1, 0, 0),)))
        self.assertEqual(sorted(stage.sent_to()), [0, 1])

    def test_a_part_that_is_too_old_is_none_and_tokens_are_used_up(self):
        stage = Stage([FakeHost(n, outcome=None) for n in range(2)])
        stage.deliver(interface.LimitsUpdated((((interface.FIRST_ATTEMPT, None), 1, 1, stage.now + 100),)))
        stage.arrive_many(1)
        stage.wait(200)
        stage.arrive_many(1)
        self.assertEqual(len(stage.sent_to()), 1)

    def test_the_refused_are_told_when_to_come_back(self):
        stage = Stage([FakeHost(n, outcome=None) for n in range(2)])
        stage.deliver(interface.LimitsUpdated((((interface.FIRST_ATTEMPT, None), 0, 0, 0),), (), 7_000))
        stage.arrive_many(1)
        (back,) = [e for e in stage.effects if isinstance(e, interface.RollBack)]
        self.assertTrue(5_000 < back.retry_after < 9_000)


class Judging(unittest.TestCase):
    def test_one_hop_more_than_the_places_is_seen(self):
        def got(at, tx):
            return Got(at, 0, tx, 0.01, 1.0, None, True)

        kept = [got(1, "a"), got(2, "b"), Done(3, 0, "a"), got(4, "c")]
        self.assertEqual(overrun.held(kept, 2, set())[0], 2)
        self.assertEqual(overrun.held([*kept, got(5, "d")], 2, set())[0], 3)

    def test_a_proxy_that_spends_twice_is_seen(self):
        times = [n / 40 for n in range(400)]
        self.assertEqual(overrun.beyond(times, 40, 20), 0.0)
        self.assertGreater(overrun.beyond(sorted(times + times[100:200]), 40, 20), 0.2)

    def test_bounds_are_formulas_of_the_settings(self):
        self.assertEqual(Limit("r", RATE, 40, 60, floor=0.25).over_bound(), 0.0)
        self.assertEqual(Limit("r", RATE, 40, 60, over=BOUNDED, floor=0.25).over_bound(), 0.25)
        self.assertEqual(Limit("r", RATE, 0, 0, over=BOUNDED, floor=0.25).over_bound(), 0.25)  # was 0 / 0
        limit = Limit("p", HOST, 8, floor=0.5)
        own = sum(limit.own_places(99, position, 5) for position in range(5))
        self.assertEqual((own, limit.lent()), (4, 4))

    def test_what_no_limit_can_mean_is_said(self):
        for limit in (
            Limit("p", HOST, 1.5),
            Limit("p", HOST, 2, over=BOUNDED),
            Limit("r", RATE, 40, 30),
            Limit("r", RATE, -1, over=NEVER),
        ):
            self.assertIn("Expected", wrong(limit))

    def test_a_fleet_file_is_refused_with_the_place(self):
        head = 'listen = "127.0.0.1:1"\nseeds = []\nkey_file = "k"\nshares = ["limits"]\n'
        place = '[[limits]]\nname = "p"\nkind = "host"\namount = 8\n'
        for text, where in (
            (head + place, "$.keepers"),
            (head + 'keepers = ["a"]\n', "$.shares"),
            (head + 'keepers = ["a"]\n' + place + place, "$.limits[1].name"),
            (head + 'keepers = ["a"]\n' + place.replace("8", "1.5"), "$.limits[0]"),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "fleet.toml")
                path.write_text(text)
                with self.assertRaises(fleet_file.BadFleet) as found:
                    fleet_file.read(str(path))
            self.assertIn(f"`{where}`", str(found.exception))
