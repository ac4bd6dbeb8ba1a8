"""Fleet-wide limits: random schedules of faults, every state of small elections, and unit tests.

Each guarantee is also checked against a variant with the fault planted that would break it.
"""

import tempfile
import unittest
import unittest.mock
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from basalthook.config import fleet as fleet_file
from basalthook.fleet.allocator import LeaseAllocator, UnitRequest
from basalthook.fleet.bounds import (
    BOUNDED,
    HOST,
    LEASE_TICKS,
    MAX_CLOCK_DRIFT,
    NEVER,
    RATE,
    TICKS_PER_SECOND,
    Limit,
    invalid_reason,
)
from basalthook.fleet.election import LeaderElection, shorten_for_drift
from basalthook.fleet.lease_holder import LeaseHolder
from basalthook.fleet.limits import LEASE_GRANT, LEASE_REQUEST, MAX_UNITS
from basalthook.lab import overrun
from basalthook.lab.explore import Explorer
from basalthook.lab.leases import HARD_LIMIT, LeaseSchedule, Member
from basalthook.lab.wire import Done, Got
from basalthook.membership import wire
from basalthook.policy import interface
from tests.fake import FakeHost, ProxyHarness

PLACES, TOKENS = Limit("places", HOST, 3), Limit("rate", RATE, 40, 60)
PLACES_UNIT, TOKENS_UNIT = (PLACES.id, 7), (TOKENS.id, 0)


class LeaderWithoutWaiting(Member):
    """Planted fault: a new leader does not wait until earlier leases have expired."""

    def __init__(self, run, n):
        super().__init__(run, n)
        if self.limits.allocator:
            self.limits.allocator.grant_lifetime = 0


class DoubleCountingHolder(Member):
    """Planted fault: a holder adds the tokens of a later version of an answer to those of the first."""

    def __init__(self, run, n):
        super().__init__(run, n)
        holder, accept_grant = self.limits.holder, self.limits.holder.accept_grant

        def accept_and_forget(now, *args):
            holder.granted_tokens = {}
            return accept_grant(now, *args)

        holder.accept_grant = accept_and_forget


class ReleasesBeforeStopping(Member):
    """Planted fault: a holder uses places for a while after its request has released them."""

    def __init__(self, run, n):
        super().__init__(run, n)
        publish = self.limits.publish_allowance
        self.limits.publish_allowance = lambda now: run.call_later(30, publish, now)


class VoterWithoutSilence(LeaderElection):
    """Planted fault: a restarted voter that has forgotten its vote votes at once."""

    def __init__(self, *args):
        super().__init__(*args)
        self.silent_until = 0


class Schedules(unittest.TestCase):
    def test_no_limit_is_exceeded_and_free_capacity_is_used(self):
        for seed in (*range(10), 36, 59, 154, 432):  # the last four failed during development
            self.assertEqual(LeaseSchedule(seed).run(), [], seed)

    def test_planted_faults_are_detected(self):
        for member_class, rule in (
            (LeaderWithoutWaiting, "over"),
            (DoubleCountingHolder, "spent"),
            (ReleasesBeforeStopping, "over"),
        ):
            found = (
                violation.rule
                for seed in range(60)
                for violation in LeaseSchedule(seed, member_class, ("bad",)).run()
            )
            self.assertEqual(next(found, None), rule, member_class)

    def test_own_places_wait_until_attempts_of_the_previous_process_are_over(self):
        """A restarted process used its own places while attempts of the previous process were still running.

        With seed 432 of the schedules, a host with three places thus had four attempts.
        """
        run = next(
            run for run in map(LeaseSchedule, range(20)) if int(run.limits[0].floor * run.limits[0].amount)
        )
        members = [Member(run, n) for n in range(run.size)]

        def own():
            return sum(
                member.proxy.allowance.remaining((interface.PER_HOST, 0), run.clock(member.position))
                for member in members
            )

        self.assertEqual(own(), 0)
        run.now += HARD_LIMIT // 2
        for member in members:
            member.limits.tick(run.clock(member.position))
        self.assertEqual(own(), 0)
        run.now += HARD_LIMIT
        for member in members:
            member.limits.tick(run.clock(member.position))
        self.assertEqual(own(), int(run.limits[0].floor * run.limits[0].amount))


class SmallElections(unittest.TestCase):
    def test_no_state_of_a_small_election_has_two_leaders(self):
        states, bad = Explorer(steps=2, max_ballots=1, restarts=0).run()
        self.assertIsNone(bad)
        self.assertGreater(states, 10_000)

    def test_a_restarted_voter_that_votes_at_once_is_detected(self):
        self.assertIsNotNone(
            Explorer(steps=1, max_ballots=1, restarts=1, election_class=VoterWithoutSilence).run()[1]
        )

    def test_a_leader_without_the_margin_for_clock_drift_is_detected(self):
        with unittest.mock.patch("basalthook.fleet.election.shorten_for_drift", lambda ticks, drift: ticks):
            self.assertIsNotNone(Explorer(steps=3, max_ballots=1, restarts=0).run()[1])

    @given(st.integers(1, 10**6), st.floats(0, 0.3))
    def test_a_shortened_duration_on_a_slow_clock_ends_before_the_full_one_on_a_fast_clock(
        self, ticks, drift
    ):
        self.assertLessEqual(shorten_for_drift(ticks, drift) / (1 - drift), ticks / (1 + drift) * (1 + 1e-12))


class LargeHostLists(unittest.TestCase):
    """A proxy with hundreds of hosts, and with a host that left the list."""

    def setUp(self):
        self.run, self.sent_messages = LeaseSchedule(1), []
        self.run.hosts, self.run.send = 200, lambda n, name, message: self.sent_messages.append(message)
        self.member = Member(self.run, 1)
        self.limits, self.proxy = self.member.limits, self.member.proxy

    def add_attempt(self, host):
        host_state = self.proxy.hosts[host]
        host_state.attempts[host] = self.proxy.attempts[host] = host_state, 0, 0

    def test_requests_name_all_places_in_use_and_fit_a_datagram_like_their_answers(self):
        now = self.run.clock(1)
        for host in range(120):
            self.limits.peak_use[self.limits.host_unit(host)] = 1, now - host
        for host in range(100, 130):
            self.add_attempt(host)
        self.limits.tick(now + 100)
        (request,) = [message for message in self.sent_messages if message[0] == LEASE_REQUEST]
        host_hashes = {row[1] for row in request[5] if row[1]}
        self.assertEqual(len(host_hashes), MAX_UNITS)
        self.assertLessEqual({1000 + host for host in range(100, 130)}, host_hashes)
        rows = request[5]
        grant = [LEASE_GRANT, "p0", 1, 2**40, 9, [[*row[:2], 4] for row in rows], [row[:2] for row in rows]]
        self.assertLess(
            max(len(wire.encode(b"k" * 16, message)) for message in (request, grant)), wire.MAX_DATAGRAM
        )

    def test_a_place_in_use_at_a_host_that_left_the_list_is_not_given_up(self):
        self.add_attempt(7)
        self.proxy.ready = self.proxy.ready[:5]
        self.limits.refresh_hosts()
        self.assertEqual(self.limits.places_in_use(self.run.clock(1)), {(self.limits.host_limit, 1007): 1})


class Leases(unittest.TestCase):
    def setUp(self):
        self.allocator = LeaseAllocator({limit.id: limit for limit in (PLACES, TOKENS)}, 1_000)
        self.allocator.start_term(0)
        self.now = self.allocator.grant_lifetime

    def request(self, holder_name, sequence, *rows, got=0):
        """Returns {name: granted} for all holders that are answered."""
        answers = self.allocator.request(
            self.now, (holder_name, 1), sequence, got, [UnitRequest(*row) for row in rows]
        )
        return {name: granted for (name, _), _, _, granted, _ in answers}

    def test_a_new_leader_lends_only_what_is_held_until_earlier_leases_expire(self):
        self.now = 10
        self.assertEqual(self.request("a", 1, (PLACES_UNIT, 2, 3)), {"a": {PLACES_UNIT: 2}})
        self.assertEqual(self.request("b", 1, (PLACES_UNIT, 0, 1)), {"b": {PLACES_UNIT: 0}})
        self.now = self.allocator.grant_lifetime
        answers = self.allocator.tick(self.now)
        self.assertEqual(
            [(holder_id[0], granted[PLACES_UNIT]) for holder_id, _, _, granted, _ in answers], [("a", 3)]
        )

    def test_returned_places_go_to_the_holder_that_waits_longest(self):
        self.assertEqual(self.request("a", 1, (PLACES_UNIT, 0, 3)), {"a": {PLACES_UNIT: 3}})
        self.request("b", 1, (PLACES_UNIT, 0, 1))
        self.request("c", 1, (PLACES_UNIT, 0, 1))
        self.assertEqual(
            self.request("a", 2, (PLACES_UNIT, 2, 2)), {"a": {PLACES_UNIT: 2}, "b": {PLACES_UNIT: 1}}
        )
        self.assertEqual(self.request("a", 3), {"a": {}, "c": {PLACES_UNIT: 1}})

    def test_a_smaller_grant_frees_places_only_once_the_holder_confirms_it(self):
        self.request("a", 1, (PLACES_UNIT, 0, 3))
        # the answer to this request may be lost
        self.assertEqual(self.request("a", 2, (PLACES_UNIT, 3, 1)), {"a": {PLACES_UNIT: 1}})
        self.assertEqual(self.request("b", 1, (PLACES_UNIT, 0, 1)), {"b": {PLACES_UNIT: 0}})

    def test_tokens_of_a_lost_answer_are_free_again_and_taken_ones_are_not(self):
        self.now += TICKS_PER_SECOND
        self.assertEqual(self.request("a", 1, (TOKENS_UNIT, 0, 10)), {"a": {TOKENS_UNIT: 10}})
        before = self.allocator.free(self.now, TOKENS_UNIT)
        self.request("a", 2, (TOKENS_UNIT, 0, 0), got=0)
        self.assertEqual(self.allocator.free(self.now, TOKENS_UNIT), before + 10)
        self.request("a", 3, (TOKENS_UNIT, 0, 8))
        self.request("a", 4, (TOKENS_UNIT, 8, 0), got=3)
        self.assertEqual(self.allocator.free(self.now, TOKENS_UNIT), before + 2)

    def test_late_and_duplicate_requests_are_ignored(self):
        self.request("a", 2, (PLACES_UNIT, 0, 1))
        self.assertEqual(self.request("a", 2, (PLACES_UNIT, 0, 3)), {})
        self.assertEqual(self.request("a", 1, (PLACES_UNIT, 0, 3)), {})

    def test_a_holder_accepts_no_answer_to_an_earlier_request(self):
        holder = LeaseHolder(0)
        first, _, _ = holder.request(0, {PLACES_UNIT: 2}, {}, {})
        holder.request(2_000, {PLACES_UNIT: 1}, {}, {})
        self.assertFalse(holder.accept_grant(2_010, first, 1, {PLACES_UNIT: 2}, set(), lambda unit: False))
        self.assertEqual(holder.usable_places(2_010, PLACES_UNIT), 0)

    def test_a_lease_counts_from_the_request_however_late_the_answer_is(self):
        holder = LeaseHolder(0)
        sequence, _, _ = holder.request(0, {PLACES_UNIT: 2}, {}, {})
        holder.accept_grant(1_900, sequence, 1, {PLACES_UNIT: 2}, set(), lambda unit: False)
        self.assertEqual(holder.places_until, shorten_for_drift(LEASE_TICKS, MAX_CLOCK_DRIFT))

    def test_attempts_beyond_a_lease_are_reported_as_held_and_none_start(self):
        holder = LeaseHolder(0)
        sequence, _, _ = holder.request(0, {PLACES_UNIT: 2}, {}, {})
        holder.accept_grant(10, sequence, 1, {PLACES_UNIT: 2}, set(), lambda unit: False)
        _, _, rows = holder.request(90_000, {}, {}, {PLACES_UNIT: 1})
        self.assertEqual(
            (rows, holder.usable_places(90_000, PLACES_UNIT)), ([UnitRequest(PLACES_UNIT, 1, 1)], 0)
        )


class DecisionCore(unittest.TestCase):
    def test_attempts_wait_for_a_place_and_go_where_one_is_allowed(self):
        harness = ProxyHarness([FakeHost(n, outcome=None) for n in range(2)])
        harness.deliver(
            interface.LimitsUpdated(
                (((interface.PER_HOST, None), 0, 0, 0), ((interface.PER_HOST, 1), 0, 1, 10**9))
            )
        )
        harness.arrive_many(2)
        self.assertEqual(harness.sent_to(), [1])
        harness.deliver(interface.LimitsUpdated((((interface.PER_HOST, 0), 1, 0, 0),)))
        self.assertEqual(sorted(harness.sent_to()), [0, 1])

    def test_an_expired_allowance_is_not_used_and_tokens_are_used_up(self):
        harness = ProxyHarness([FakeHost(n, outcome=None) for n in range(2)])
        harness.deliver(
            interface.LimitsUpdated((((interface.FIRST_ATTEMPT, None), 1, 1, harness.now + 100),))
        )
        harness.arrive_many(1)
        harness.wait(200)
        harness.arrive_many(1)
        self.assertEqual(len(harness.sent_to()), 1)

    def test_refused_clients_get_a_retry_time(self):
        harness = ProxyHarness([FakeHost(n, outcome=None) for n in range(2)])
        harness.deliver(interface.LimitsUpdated((((interface.FIRST_ATTEMPT, None), 0, 0, 0),), (), 7_000))
        harness.arrive_many(1)
        (rollback,) = [e for e in harness.effects if isinstance(e, interface.RollBack)]
        self.assertTrue(5_000 < rollback.retry_after < 9_000)


class LabMeasurements(unittest.TestCase):
    def test_one_attempt_beyond_the_places_is_measured(self):
        def got(at, tx):
            return Got(at, 0, tx, 0.01, 1.0, None, True)

        events = [got(1, "a"), got(2, "b"), Done(3, 0, "a"), got(4, "c")]
        self.assertEqual(overrun.most_held(events, 2, set())[0], 2)
        self.assertEqual(overrun.most_held([*events, got(5, "d")], 2, set())[0], 3)

    def test_tokens_spent_twice_are_measured(self):
        times = [n / 40 for n in range(400)]
        self.assertEqual(overrun.excess(times, 40, 20), 0.0)
        self.assertGreater(overrun.excess(sorted(times + times[100:200]), 40, 20), 0.2)

    def test_guarantees_follow_from_the_settings(self):
        self.assertEqual(Limit("r", RATE, 40, 60, floor=0.25).max_excess(), 0.0)
        self.assertEqual(Limit("r", RATE, 40, 60, over=BOUNDED, floor=0.25).max_excess(), 0.25)
        self.assertEqual(
            Limit("r", RATE, 0, 0, over=BOUNDED, floor=0.25).max_excess(), 0.25
        )  # an amount of 0 caused a division by zero
        limit = Limit("p", HOST, 8, floor=0.5)
        own = sum(limit.own_places_at(99, position, 5) for position in range(5))
        self.assertEqual((own, limit.lendable()), (4, 4))

    def test_invalid_limits_are_rejected_with_a_reason(self):
        for limit in (
            Limit("p", HOST, 1.5),
            Limit("p", HOST, 2, over=BOUNDED),
            Limit("r", RATE, 40, 30),
            Limit("r", RATE, -1, over=NEVER),
        ):
            self.assertIn("Expected", invalid_reason(limit))

    def test_fleet_file_errors_name_the_path_of_the_field(self):
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
                with self.assertRaises(fleet_file.FleetFileError) as found:
                    fleet_file.read(str(path))
            self.assertIn(f"`{where}`", str(found.exception))
