"""The fleet's verdicts on hosts, in virtual time: hard cases, each against what must hold for all members."""

import json
import unittest
from collections import Counter
from importlib.resources import files
from random import Random
from unittest.mock import patch

from basalthook import terms
from basalthook.fleet import verdicts
from basalthook.fleet.evidence import Word, plain, read
from basalthook.fleet.facts import Fact, Table
from basalthook.fleet.verdicts import HOST, LIVES, MOST_OUT, OUT, TRIAL, Verdicts, judge, lone, ranks, subject
from basalthook.lab import decisions, scenario
from basalthook.lab.start import settings
from basalthook.policy import interface
from basalthook.policy.decide import Proxy

BASE = files("basalthook.lab").joinpath("scenarios/three-silent.toml").read_text("utf-8")


def fault(what, at=4, lasts=8, **fields):
    words = "".join(f"{name} = {json.dumps(value)}\n" for name, value in fields.items())
    return f"[[faults]]\nwhat = '{what}'\nat = {at}\nlasts = {lasts}\n{words}"


def play(*faults, seconds=16, zones=("a",), seed=1, proxies=20):
    """Twenty proxies before twenty hosts; the run, and who had which host out."""
    head, fleet = BASE[: BASE.index("[[faults]]")], BASE[BASE.index("[fleet]") :]
    told = scenario.parse(
        head.replace("proxies = 60", f"proxies = {proxies}")
        .replace("seconds = 50", f"seconds = {seconds}")
        .replace("cores = 2", f"cores = 2\nzones = {list(zones)}")
        + "\n".join(faults)
        + "\n"
        + fleet,
        "day.toml",
    )
    run = decisions.Fleet(told, seed)
    run.run()
    marks = {f"{mark:x}": host for host, mark in enumerate(run.marks)}
    out = Counter(
        (marks[fields["host"].split(".")[0]], n)
        for _, n, event, fields in run.talking.said
        if event == "verdict" and fields["state"] == OUT
    )
    return (
        run,
        decisions.found(
            told, run.wire, decisions.BORN, "decisions", talk=run.talking.figures(told, decisions.BORN)
        ),
        out,
    )


class Cases(unittest.TestCase):
    def held(self, result):
        """What holds in every run: the four rules, and nothing acted on past its life."""
        self.assertTrue(result.verdict.kept, result.verdict.first)
        self.assertEqual(result.talk["over_age"], 0)

    def test_three_silent_hosts_are_found_by_all_within_seconds_and_come_back_to_all(self):
        run, result, out = play(fault("silent", hosts=[0, 1, 2]))
        self.held(result)
        self.assertGreater(result.verdict.service, 0.98)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertLess(result.talk["agree_s"][0], 2.5)
        self.assertFalse(any(s.state == OUT for mind in run.talking.minds for s in mind.states.values()))
        back = Counter(e.host in (0, 1, 2) for e in run.wire if type(e).__name__ == "Got" and e.at > 115)
        self.assertGreater(back[True] / 3, 0.5 * back[False] / 17)

    def test_half_of_all_datagrams_lost_and_a_third_of_the_bytes_spoilt_delay_it_and_no_more(self):
        way = fault(
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
        _, result, out = play(fault("silent", hosts=[0, 1, 2]), way)
        self.held(result)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertGreater(result.verdict.service, 0.97)

    def test_a_host_that_answers_every_tenth_and_one_that_fails_half_go_out_and_come_back(self):
        for what, share in (("lose_answers", 0.9), ("errors", 0.5)):
            _, result, out = play(fault(what, share=share, hosts=[0]), seconds=20)
            self.held(result)
            self.assertEqual({host for host, _ in out}, {0}, what)
            self.assertGreaterEqual(len(out), 18)

    def test_a_host_that_one_zone_cannot_reach_is_out_for_that_zone_alone(self):
        even = [f"p{n}" for n in range(0, 20, 2)]  # these are of zone a
        _, result, out = play(fault("cut", between=[even, ["h1"]]), zones=("a", "b"))
        self.held(result)
        self.assertEqual({(host, n % 2) for host, n in out}, {(1, 0)})

    def test_a_proxy_whose_own_link_drops_half_takes_no_host_out_for_others_and_says_so(self):
        run, result, out = play(fault("lossy", lasts=10, between=[["p7"], ["h0-19"]], loses=0.5))
        self.held(result)
        self.assertLessEqual({n for _, n in out}, {7})

    def test_halves_cut_apart_for_twice_the_life_agree_again_after_with_no_restart(self):
        for one_way in (False, True):
            apart = fault("cut", at=2, lasts=20, between=[["p0-9"], ["p10-19"]], one_way=one_way)
            run, result, out = play(fault("silent", at=4, lasts=8, hosts=[0]), apart, seconds=34)
            self.held(result)
            self.assertEqual({host for host, _ in out}, {0})
            self.assertEqual({len(talk.live()) for talk in run.talking.talks}, {20})
            # nobody holds what the other half revoked meanwhile
            self.assertFalse(any(s.state == OUT for mind in run.talking.minds for s in mind.states.values()))

    def test_who_counts_tries_or_tells_may_die_or_be_stopped_for_longer_than_a_life(self):
        for what in ("kill_proxy", "stop_proxy"):
            _, result, out = play(
                fault("silent", hosts=[0, 1], lasts=12),
                fault(what, at=4.5, lasts=11, proxies=[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
                seconds=22,
            )
            self.held(result)
            self.assertEqual({host for host, _ in out}, {0, 1})
            self.assertGreater(result.verdict.service, 0.97)

    def test_clocks_an_hour_apart_and_two_in_a_hundred_fast_change_nothing(self):
        clocks = fault("clock", at=0, lasts=9, ahead=3600.0, rate=1.02, proxies=[0, 1, 2, 3, 4, 5])
        _, result, out = play(fault("silent", hosts=[0, 1, 2]), clocks)
        self.held(result)
        self.assertEqual({host for host, _ in out}, {0, 1, 2})
        self.assertGreater(result.verdict.service, 0.98)

    def test_one_started_twenty_times_in_a_minute_under_one_name_ends_as_a_member(self):
        kills = [fault("kill_proxy", at=1 + 0.7 * n, lasts=0.4, proxies=[3]) for n in range(20)]
        run, result, _ = play(*kills, seconds=24)
        self.held(result)
        self.assertEqual({len(talk.live()) for talk in run.talking.talks}, {20})

    def test_the_same_seed_is_the_same_run(self):
        digests = {play(fault("silent", hosts=[0]), seconds=7, proxies=6)[0].digest.hexdigest() for _ in "ab"}
        self.assertEqual(len(digests), 1)

    def test_a_planted_table_that_never_forgets_is_found_by_the_labs_own_clock(self):
        def never(self, now, kind, name, reader):
            made = [reader(h.fact, h.born) for h in self.by_subject.get((kind, name), {}).values()]
            return [word for word in made if word is not None]

        with patch.object(Table, "made", never), patch.object(Table, "expire", lambda *_: None):
            _, result, _ = play(fault("silent", hosts=[0], lasts=10))
        self.assertGreater(result.talk["over_age"], 0)


def word(who, late_sent=0, heard=0, lost=0, errors=0, answers=0, zone="a"):
    return Word(who, zone, int(late_sent > 0), late_sent, lost, errors, answers, heard, 1_000)


class Judgement(unittest.TestCase):
    def test_silence_takes_two_witnesses_and_nobody_who_heard_it_since(self):
        late = [word("a", 500), word("b", 600)]
        self.assertEqual(judge(late, 0.0, 9)[0], verdicts.SILENT)
        self.assertEqual(judge(late[:1], 0.0, 9)[0], "")
        self.assertEqual(judge([*late, word("c", heard=550)], 0.0, 9)[0], "")

    def test_failing_takes_three_witnesses_a_share_and_more_than_most_hosts_have(self):
        bad = [word(who, errors=2, answers=1) for who in "abc"]
        self.assertEqual(judge(bad, 0.0, 9)[0], verdicts.FAILING)
        self.assertEqual(judge(bad, 0.4, 9)[0], "")  # so do most hosts
        self.assertEqual(judge(bad[:2], 0.0, 9)[0], "")
        self.assertEqual(judge([*bad, word("d", answers=30)], 0.0, 9)[0], "")

    def test_who_blames_many_hosts_alone_counts_for_nobody(self):
        self.assertEqual(lone({"x": {"a"}, "y": {"a"}, "z": {"a"}, "u": {"b", "c"}}), {"a"})
        self.assertEqual(lone({"x": {"a", "b"}, "y": {"a", "b"}, "z": {"a", "b"}}), set())

    def test_all_draw_alike_who_tries_and_everyone_has_a_turn(self):
        members = tuple(f"p{n}" for n in range(20))
        firsts = Counter(min(ranks(members, round_), key=ranks(members, round_).get) for round_ in range(400))
        self.assertEqual(len(firsts), 20)
        self.assertLess(max(firsts.values()), 60)

    def test_a_word_there_and_back_and_absurd_ones_are_nothing(self):
        told = word("a", 500, 300, 1, 2, 3)
        fact = Fact("a", 1, HOST, "x", 1, plain("a", told), 0)
        self.assertEqual(read(fact, 1_000)._replace(mark=0), told)
        for value in ((), ("a",) * 7, ("a", -1, 0, 0, 0, 0, 0), ("a", True, 0, 0, 0, 0, 0), (0,) * 7):
            self.assertIsNone(read(fact._replace(value=value), 1_000), value)
            self.assertIsNone(verdicts.read_trial(fact._replace(value=value), 1_000), value)


class Liars(unittest.TestCase):
    def setUp(self):
        told = scenario.parse(BASE, "x")
        agreed = terms.policy_settings(settings(told, 0, "a"))
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
        self.table, self.members = Table("me", 1, LIVES), tuple(["me", *(f"p{n}" for n in range(30))])
        self.mind = Verdicts(self.proxy, self.table, "a", lambda: self.members)

    def test_every_member_tells_that_all_hosts_are_out_and_most_stay_open(self):
        now = 1_000_000
        for n in range(30):
            for server in self.proxy.hosts.values():
                blame = word(f"p{n}", now - 100, lost=9)._replace(told=now)
                self.table.take(
                    now, Fact(f"p{n}", 1, HOST, subject(server.entry), server.id + 1, plain("a", blame), 0)
                )
        judged = self.mind.look(now, now)
        shut = {host for host, until, _ in judged.hosts if until > now}
        self.assertEqual(len(shut), MOST_OUT * 20)
        self.proxy.handle(now, judged)
        sent = {
            effect.host
            for n in range(200)
            for effect in self.proxy.handle(now, interface.TxArrived(n, 0, Random(n).getrandbits(40), 20_000))
            if isinstance(effect, interface.SendAttempt)
        }
        self.assertFalse(sent & shut)
        self.assertGreater(len(sent), 8)
        # and it lapses by itself where nobody speaks any more: with the evidence, and with the lease
        later = now + LIVES[TRIAL] + LIVES[HOST]
        self.mind.look(later, later)
        self.assertFalse(any(s.state == OUT for s in self.mind.states.values()))
        self.assertFalse(any(later < server.ramp_until for server in self.proxy.hosts.values()))

    def test_a_verdict_opens_nothing_that_the_proxy_itself_keeps_shut(self):
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

    def test_a_trial_is_a_repeatable_hop_cut_short_that_goes_on_elsewhere(self):
        self.proxy.handle(0, interface.HostVerdicts(((5, 90_000, 99_000),), 5))
        for profile, tried in ((1, False), (0, True), (0, False)):
            sends = [
                e
                for e in self.proxy.handle(10, interface.TxArrived(profile + 7 * tried, profile, 1, 20_000))
                if isinstance(e, interface.SendAttempt)
            ]
            self.assertEqual(sends[0].host == 5, tried)
            if tried:
                self.assertLess(sends[0].time_limit, 2_001)  # a third of the goal
                again = self.proxy.handle(
                    2_010, interface.AttemptEnded(7, 0, 5, interface.TIMED_OUT, 2_000, False)
                )
                self.assertTrue([e for e in again if isinstance(e, interface.SendAttempt) and e.host != 5])


if __name__ == "__main__":
    unittest.main()
