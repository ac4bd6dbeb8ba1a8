"""Fleet-wide verdicts on hosts: simulated fleets in virtual time, and unit tests of the rules."""

import json
import unittest
from collections import Counter
from importlib.resources import files
from random import Random
from unittest.mock import patch

from basalthook import terms
from basalthook.fleet import verdicts
from basalthook.fleet.evidence import HostReport, parse_report, report_value
from basalthook.fleet.facts import Fact, FactTable
from basalthook.fleet.verdicts import (
    FACT_LIFETIMES,
    HOST_FACT,
    MAX_OUT_SHARE,
    OUT,
    TRIAL_FACT,
    HostVerdicts,
    assess,
    members_with_bad_link,
    subject_of,
    trial_order,
)
from basalthook.lab import decisions, scenario
from basalthook.lab.start import proxy_settings
from basalthook.policy import interface
from basalthook.policy.decide import Proxy

BASE_SCENARIO = files("basalthook.lab").joinpath("scenarios/three-silent.toml").read_text("utf-8")


def fault(kind, at=4, lasts=8, **parameters):
    settings_lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in parameters.items())
    return f"[[faults]]\nwhat = '{kind}'\nat = {at}\nlasts = {lasts}\n{settings_lines}"


def simulate(*faults, seconds=16, zones=("a",), seed=1, proxies=20):
    """Simulates `proxies` proxies with twenty hosts.

    Returns the run, its result and a count by (host, proxy) of how often a proxy took a host out.
    """
    head, fleet = (
        BASE_SCENARIO[: BASE_SCENARIO.index("[[faults]]")],
        BASE_SCENARIO[BASE_SCENARIO.index("[fleet]") :],
    )
    parsed = scenario.parse(
        head.replace("proxies = 60", f"proxies = {proxies}")
        .replace("seconds = 50", f"seconds = {seconds}")
        .replace("cores = 2", f"cores = 2\nzones = {list(zones)}")
        + "\n".join(faults)
        + "\n"
        + fleet,
        "day.toml",
    )
    run = decisions.SimulatedFleet(parsed, seed)
    run.run()
    host_by_hash = {f"{host_hash:x}": host for host, host_hash in enumerate(run.host_hashes)}
    out = Counter(
        (host_by_hash[fields["host"].split(".")[0]], n)
        for _, n, event, fields in run.members.log_events
        if event == "verdict" and fields["state"] == OUT
    )
    return (
        run,
        decisions.build_result(
            parsed,
            run.wire,
            decisions.START_TIME,
            "decisions",
            fleet_figures=run.members.figures(parsed, decisions.START_TIME),
        ),
        out,
    )


class SimulatedFleets(unittest.TestCase):
    def assert_invariants(self, result):
        """Checks what holds in every run: the four rules, and no fact used beyond its lifetime."""
        self.assertTrue(result.verdict.passed, result.verdict.first_violation)
        self.assertEqual(result.fleet_figures["over_age"], 0)

    def test_three_silent_hosts_go_out_and_return_at_all_members(self):
        run, result, out = simulate(fault("silent", hosts=[0, 1, 2]))
        self.assert_invariants(result)
        self.assertGreater(result.verdict.service, 0.98)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertLess(result.fleet_figures["agree_s"][0], 2.5)
        self.assertFalse(
            any(s.state == OUT for member in run.members.verdicts for s in member.states.values())
        )
        attempts_at_returned = Counter(
            e.host in (0, 1, 2) for e in run.wire if type(e).__name__ == "Got" and e.at > 115
        )
        self.assertGreater(attempts_at_returned[True] / 3, 0.5 * attempts_at_returned[False] / 17)

    def test_lost_duplicated_and_corrupt_datagrams_only_delay_verdicts(self):
        lossy_links = fault(
            "lossy",
            at=0,
            lasts=99,
            between=[["p0-19"], ["p0-19"]],
            loses=0.4,
            doubles=0.3,
            reorders=0.3,
            delay=0.05,
            spoils=0.1,
        )
        _, result, out = simulate(fault("silent", hosts=[0, 1, 2]), lossy_links)
        self.assert_invariants(result)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertGreater(result.verdict.service, 0.97)

    def test_hosts_that_lose_most_answers_or_fail_half_go_out(self):
        for what, share in (("lose_answers", 0.9), ("errors", 0.5)):
            _, result, out = simulate(fault(what, share=share, hosts=[0]), seconds=20)
            self.assert_invariants(result)
            self.assertEqual({host for host, _ in out}, {0}, what)
            self.assertGreaterEqual(len(out), 18)

    def test_a_host_that_one_zone_cannot_reach_is_out_in_that_zone_only(self):
        even = [f"p{n}" for n in range(0, 20, 2)]  # proxies of zone a
        _, result, out = simulate(fault("cut", between=[even, ["h1"]]), zones=("a", "b"))
        self.assert_invariants(result)
        self.assertEqual({(host, n % 2) for host, n in out}, {(1, 0)})

    def test_a_proxy_with_a_bad_link_takes_no_host_out_for_others(self):
        run, result, out = simulate(fault("lossy", lasts=10, between=[["p7"], ["h0-19"]], loses=0.5))
        self.assert_invariants(result)
        self.assertLessEqual({n for _, n in out}, {7})

    def test_a_healed_partition_agrees_again_without_a_restart(self):
        for one_way in (False, True):
            cut = fault("cut", at=2, lasts=20, between=[["p0-9"], ["p10-19"]], one_way=one_way)
            run, result, out = simulate(fault("silent", at=4, lasts=8, hosts=[0]), cut, seconds=34)
            self.assert_invariants(result)
            self.assertEqual({host for host, _ in out}, {0})
            self.assertEqual({len(gossip.live()) for gossip in run.members.gossip_instances}, {20})
            # verdicts that the other half revoked during the cut must not survive here
            self.assertFalse(
                any(s.state == OUT for member in run.members.verdicts for s in member.states.values())
            )

    def test_verdicts_survive_killed_and_stopped_members(self):
        for what in ("kill_proxy", "stop_proxy"):
            _, result, out = simulate(
                fault("silent", hosts=[0, 1], lasts=12),
                fault(what, at=4.5, lasts=11, proxies=[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
                seconds=22,
            )
            self.assert_invariants(result)
            self.assertEqual({host for host, _ in out}, {0, 1})
            self.assertGreater(result.verdict.service, 0.97)

    def test_clock_offset_and_drift_change_nothing(self):
        clocks = fault("clock", at=0, lasts=9, ahead=3600.0, rate=1.02, proxies=[0, 1, 2, 3, 4, 5])
        _, result, out = simulate(fault("silent", hosts=[0, 1, 2]), clocks)
        self.assert_invariants(result)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertGreater(result.verdict.service, 0.98)

    def test_a_proxy_restarted_twenty_times_under_one_name_ends_as_a_member(self):
        kills = [fault("kill_proxy", at=1 + 0.7 * n, lasts=0.4, proxies=[3]) for n in range(20)]
        run, result, _ = simulate(*kills, seconds=24)
        self.assert_invariants(result)
        self.assertEqual({len(gossip.live()) for gossip in run.members.gossip_instances}, {20})

    def test_the_same_seed_gives_the_same_run(self):
        digests = {
            simulate(fault("silent", hosts=[0]), seconds=7, proxies=6)[0].digest.hexdigest() for _ in "ab"
        }
        self.assertEqual(len(digests), 1)

    def test_the_lab_detects_a_table_that_never_expires_facts(self):
        def parsed_without_expiry(self, now, kind, subject, reader):
            parsed = [
                reader(h.fact, h.published_at) for h in self.by_subject.get((kind, subject), {}).values()
            ]
            return [report for report in parsed if report is not None]

        with (
            patch.object(FactTable, "parsed", parsed_without_expiry),
            patch.object(FactTable, "expire", lambda *_: None),
        ):
            _, result, _ = simulate(fault("silent", hosts=[0], lasts=10))
        self.assertGreater(result.fleet_figures["over_age"], 0)


def make_report(author, late_sent_at=0, heard_at=0, lost=0, errors=0, answers=0, zone="a"):
    return HostReport(
        author, zone, int(late_sent_at > 0), late_sent_at, lost, errors, answers, heard_at, 1_000
    )


class Rules(unittest.TestCase):
    def test_silence_needs_two_witnesses_and_no_later_answer(self):
        late_reports = [make_report("a", 500), make_report("b", 600)]
        self.assertEqual(assess(late_reports, 0.0, 9)[0], verdicts.SILENT)
        self.assertEqual(assess(late_reports[:1], 0.0, 9)[0], "")
        self.assertEqual(assess([*late_reports, make_report("c", heard_at=550)], 0.0, 9)[0], "")

    def test_failing_needs_three_witnesses_and_a_share_above_the_median(self):
        failing_reports = [make_report(author, errors=2, answers=1) for author in "abc"]
        self.assertEqual(assess(failing_reports, 0.0, 9)[0], verdicts.FAILING)
        self.assertEqual(assess(failing_reports, 0.4, 9)[0], "")  # the median host fails as often
        self.assertEqual(assess(failing_reports[:2], 0.0, 9)[0], "")
        self.assertEqual(assess([*failing_reports, make_report("d", answers=30)], 0.0, 9)[0], "")

    def test_a_member_that_blames_many_hosts_alone_has_a_bad_link(self):
        self.assertEqual(members_with_bad_link({"x": {"a"}, "y": {"a"}, "z": {"a"}, "u": {"b", "c"}}), {"a"})
        self.assertEqual(members_with_bad_link({"x": {"a", "b"}, "y": {"a", "b"}, "z": {"a", "b"}}), set())

    def test_every_member_comes_first_in_some_round(self):
        members = tuple(f"p{n}" for n in range(20))
        firsts = Counter(
            min(trial_order(members, round_), key=trial_order(members, round_).get) for round_ in range(400)
        )
        self.assertEqual(len(firsts), 20)
        self.assertLess(max(firsts.values()), 60)

    def test_reports_round_trip_and_malformed_values_are_rejected(self):
        original = make_report("a", 500, 300, 1, 2, 3)
        fact = Fact("a", 1, HOST_FACT, "x", 1, report_value("a", original), 0)
        self.assertEqual(parse_report(fact, 1_000)._replace(fact_id=0), original)
        for value in ((), ("a",) * 7, ("a", -1, 0, 0, 0, 0, 0), ("a", True, 0, 0, 0, 0, 0), (0,) * 7):
            self.assertIsNone(parse_report(fact._replace(value=value), 1_000), value)
            self.assertIsNone(verdicts.parse_trial(fact._replace(value=value), 1_000), value)


class MaliciousMembers(unittest.TestCase):
    def setUp(self):
        parsed = scenario.parse(BASE_SCENARIO, "x")
        agreed = terms.policy_settings(proxy_settings(parsed, 0, "a"))
        self.proxy = Proxy(agreed, 1, 0)
        self.proxy.handle(
            0,
            interface.HostListReceived(
                tuple(
                    interface.HostEntry(n, terms.stable_number(f"host-{n}"), "a", 0, True, 1.0, None)
                    for n in range(20)
                ),
                True,
                True,
            ),
        )
        self.table, self.members = (
            FactTable("me", 1, FACT_LIFETIMES),
            tuple(["me", *(f"p{n}" for n in range(30))]),
        )
        self.host_verdicts = HostVerdicts(self.proxy, self.table, "a", lambda: self.members)

    def test_most_hosts_stay_open_when_every_member_blames_all(self):
        now = 1_000_000
        for n in range(30):
            for host_state in self.proxy.hosts.values():
                blame = make_report(f"p{n}", now - 100, lost=9)._replace(published_at=now)
                self.table.merge(
                    now,
                    Fact(
                        f"p{n}",
                        1,
                        HOST_FACT,
                        subject_of(host_state.entry),
                        host_state.id + 1,
                        report_value("a", blame),
                        0,
                    ),
                )
        judged = self.host_verdicts.evaluate(now, now)
        kept_away = {host for host, until, _ in judged.hosts if until > now}
        self.assertEqual(len(kept_away), MAX_OUT_SHARE * 20)
        self.proxy.handle(now, judged)
        sent = {
            effect.host
            for n in range(200)
            for effect in self.proxy.handle(now, interface.TxArrived(n, 0, Random(n).getrandbits(40), 20_000))
            if isinstance(effect, interface.SendAttempt)
        }
        self.assertFalse(sent & kept_away)
        self.assertGreater(len(sent), 8)
        # without new facts the verdicts expire, with the evidence and with the lease on the decision core
        later = now + FACT_LIFETIMES[TRIAL_FACT] + FACT_LIFETIMES[HOST_FACT]
        self.host_verdicts.evaluate(later, later)
        self.assertFalse(any(s.state == OUT for s in self.host_verdicts.states.values()))
        self.assertFalse(any(later < host_state.ramp_until for host_state in self.proxy.hosts.values()))

    def test_a_verdict_does_not_open_hosts_that_the_proxy_itself_avoids(self):
        self.proxy.handle(
            0,
            interface.HostListReceived(
                (interface.HostEntry(3, 3, "a", 0, False, 1.0, None, "", True),), False, True
            ),
        )
        self.proxy.exclude(self.proxy.hosts[4], "ban", 50_000)
        self.proxy.handle(0, interface.HostVerdicts(((3, 0, 0), (4, 0, 0)), 3))
        for n in range(200):
            self.assertFalse(
                {
                    e.host
                    for e in self.proxy.handle(10, interface.TxArrived(n, 0, n, 20_000))
                    if isinstance(e, interface.SendAttempt)
                }
                & {3, 4}
            )

    def test_a_trial_is_a_short_repeatable_attempt_that_continues_elsewhere(self):
        self.proxy.handle(0, interface.HostVerdicts(((5, 90_000, 99_000),), 5))
        for profile, tried in ((1, False), (0, True), (0, False)):
            sends = [
                e
                for e in self.proxy.handle(10, interface.TxArrived(profile + 7 * tried, profile, 1, 20_000))
                if isinstance(e, interface.SendAttempt)
            ]
            self.assertEqual(sends[0].host == 5, tried)
            if tried:
                self.assertLess(sends[0].time_limit, 2_001)  # a third of the service goal
                again = self.proxy.handle(
                    2_010, interface.AttemptEnded(7, 0, 5, interface.TIMED_OUT, 2_000, False)
                )
                self.assertTrue([e for e in again if isinstance(e, interface.SendAttempt) and e.host != 5])


if __name__ == "__main__":
    unittest.main()
