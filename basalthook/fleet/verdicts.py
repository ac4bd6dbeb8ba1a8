"""Fleet-wide outlier detection: each proxy derives the state of every host from the shared facts. No I/O.

A host is *out* once enough distinct proxies blame it, judged by their reports against the reports of all
others on the same host in the same window. It returns on a *ramp* ("back") once a report shows an answer
later than the evidence against it, or once enough trials in a row were answered. It is *open* again when the
ramp is over, or when no live evidence against it remains. One proxy at a time, selected by a hash that all
members compute alike, tries one host that is out, with an attempt that costs its transaction nothing.

    A verdict expires when the latest evidence for it is older than the lifetime of a `trial` fact.
    No more than MAX_OUT_SHARE of the ready hosts are out, whatever members report.
    A member that alone blames several hosts has a bad link of its own; its reports are ignored.

TRANSITIONS lists the states and what leads from one to another. A verdict only lowers a host's share of
traffic: draining, cold starts, placement and the proxy's own knowledge apply independently.

All times and durations are ticks of 0.1 ms on this process's clock.
"""

from functools import lru_cache
from typing import NamedTuple

import xxhash

from ..policy import interface
from .evidence import OUTCOME_WINDOW, HostObservations, HostReport, parse_report, report_value
from .facts import FactTable

HOST_FACT, TRIAL_FACT = "host", "trial"  # kinds of facts
FACT_LIFETIMES = {HOST_FACT: OUTCOME_WINDOW, TRIAL_FACT: 100_000}
# Members that must report a host as silent, with no answer to anyone since.
SILENCE_QUORUM = 2
# For FAILING: least number of faults, least number of members that report them, and how far the share of
# faults must be above twice the median share of all hosts.
MIN_FAULTS, MIN_WITNESSES, MIN_FAULT_SHARE = 4, 3, 0.3
MAX_OUT_SHARE = 0.3  # of the ready hosts
BAD_LINK_MIN_HOSTS = 3  # a member that alone blames this many hosts has a bad link itself
# Minimum ticks between two reports on a host: when it got worse, and when only the counts changed.
WORSE_REPORT_INTERVAL, COUNTS_REPORT_INTERVAL = 1_000, 3_000
# Ticks between trials: while a host went out less than RECENTLY_OUT ticks ago, and otherwise.
TRIAL_INTERVAL, SLOW_TRIAL_INTERVAL, RECENTLY_OUT = 10_000, 18_000, 50_000
# Ticks from an answered trial to the next one; ticks within which all hosts that are out are tried once; the
# shortest interval that this cycle may lead to.
INTERVAL_AFTER_SUCCESS, TRIAL_CYCLE, MIN_TRIAL_INTERVAL = 500, 60_000, 2_000
# Ticks after which the number of members that may start a due trial doubles, while none has started it.
CANDIDATE_DOUBLING_INTERVAL = 2_000
TRIAL_TIMEOUT = 10_000  # ticks after which a trial under way counts as lost
RAMP_DURATION = 10_000  # ticks from no traffic to the host's full share
# Ticks for which one event keeps the decision core away from a host, and after which it is renewed.
OUT_LEASE, OUT_LEASE_REFRESH = 20_000, 10_000
# Trials in a row that must be answered before a host returns; one more for each strike after the first.
SUCCESSES_AFTER_SILENCE, SUCCESSES_AFTER_FAILING, MAX_SUCCESSES = 1, 3, 6
STRIKE_MEMORY = 300_000  # ticks within which a host that goes out again gets a further strike
RETURN_GRACE = 3_000  # ticks; a report published this soon after a return may count outcomes from before it

OPEN, OUT, RETURNING = "open", "out", "back"
SILENT, FAILING = "silent", "failing"
# (state, what `detect` found) -> next state
TRANSITIONS = {
    (OPEN, "blamed"): OUT,
    (RETURNING, "blamed"): OUT,
    (OUT, "cleared"): RETURNING,
    (OUT, "forgotten"): RETURNING,
    (RETURNING, "ramp over"): OPEN,
}
UNDER_WAY, SUCCEEDED, FAILED, VOID = range(4)  # phases of a trial, as sent in facts
PHASE_NAMES = "under way", "answered", "failed", "void"


class Trial(NamedTuple):
    """One member's report on one trial of a host."""

    subject: str
    author: str
    zone: str
    round: int  # sequence number over all trials of the fleet
    phase: int
    successes: int  # trials of the host answered in a row, including this one
    required: int  # successes in a row after which the host returns
    reason: str
    started_at: int  # on the reader's clock
    published_at: int
    fact_id: int = 0  # of the fact that carried it


class VerdictState:
    """The verdict on a host that is out or returning; kept for STRIKE_MEMORY after its last strike."""

    __slots__ = (
        "state",
        "since",
        "reason",
        "late_sent_at",
        "strikes",
        "last_strike_at",
        "evidence_at",
        "blamed_by",
    )

    def __init__(self) -> None:
        self.state, self.since, self.reason, self.late_sent_at = OPEN, 0, "", 0
        self.strikes = self.last_strike_at = 0
        self.evidence_at = 0  # when the newest evidence against it was published
        self.blamed_by: tuple[str, ...] = ()

    def required_successes(self) -> int:
        first = SUCCESSES_AFTER_SILENCE if self.reason == SILENT else SUCCESSES_AFTER_FAILING
        return min(MAX_SUCCESSES, first + max(0, self.strikes - 1))


def assess(reports: list[HostReport], baseline_share: float, members: int) -> tuple[str, list[HostReport]]:
    """Returns the reason for which these reports blame a host ("" for none) and the reports behind it."""
    last_heard_at = max((report.heard_at for report in reports), default=0)
    silence_reports = [report for report in reports if report.late and report.late_sent_at > last_heard_at]
    if len(silence_reports) >= SILENCE_QUORUM:
        return SILENT, silence_reports
    fault_reports = [report for report in reports if report.faults]
    faults, answers = sum(report.faults for report in reports), sum(report.answers for report in reports)
    if (
        faults >= MIN_FAULTS
        and len(fault_reports) >= min(MIN_WITNESSES, members)
        and (faults > (MIN_FAULT_SHARE + 2 * baseline_share) * (faults + answers))
    ):
        return FAILING, fault_reports
    return "", []


def assess_for_zone(
    reports: list[HostReport], zone: str, baseline_share: float, members: int
) -> tuple[str, list[HostReport]]:
    """Assesses a host for the proxies of one zone.

    Reports of this zone decide alone where they blame or clear the host, since the network path from here may
    differ from that of other zones.
    """
    zone_reports = [report for report in reports if report.zone == zone]
    if zone_reports and len(zone_reports) < len(reports):
        reason, by = assess(zone_reports, baseline_share, members)
        doubted_at = max(report.late_sent_at for report in zone_reports)
        clears = any(report.answers and report.heard_at > doubted_at for report in zone_reports)
        if reason or clears:
            return reason, by
    reason, by = assess(reports, baseline_share, members)
    # reports from a single other zone do not show how the path from this one is
    return (
        ("", [])
        if {report.zone for report in by}.isdisjoint({zone}) and len({r.zone for r in by}) == 1
        else (reason, by)
    )


def members_with_bad_link(blamed: dict[str, set[str]]) -> set[str]:
    """Returns members that blame at least BAD_LINK_MIN_HOSTS hosts alone, and more alone than with others.

    `blamed`: host -> members that blame it.
    """
    sole, shared = {}, {}
    for authors in blamed.values():
        counts_by_author = sole if len(authors) == 1 else shared
        for author in authors:
            counts_by_author[author] = counts_by_author.get(author, 0) + 1
    return {
        author
        for author, hosts in sole.items()
        if hosts >= BAD_LINK_MIN_HOSTS and hosts > shared.get(author, 0)
    }


@lru_cache(maxsize=64)
def trial_order(members: tuple[str, ...], round_: int) -> dict[str, int]:
    """Ranks members for a round by rendezvous hashing, alike wherever the same members are known."""
    ordered = sorted(members, key=lambda name: xxhash.xxh64_intdigest(f"{round_}\0{name}".encode()))
    return {name: rank for rank, name in enumerate(ordered)}


def subject_of(entry: interface.HostEntry) -> str:
    """Returns the subject of facts on a host's process; a restarted host is a new subject."""
    return f"{entry.hash:x}.{entry.started_at or 0}"


class HostVerdicts:
    """Wraps the decision core: call `handle` in its place, and `evaluate` several times a second.

    `evaluate` returns the event to pass to the decision core, if any. `live()` returns the names of the live
    members, sorted, including this one.
    """

    def __init__(
        self, proxy, table: FactTable, zone: str, live, log_event=lambda event, **fields: None
    ) -> None:
        self.proxy, self.table, self.live, self.log_event = proxy, table, live, log_event
        self.observations = HostObservations(table.me, zone)
        self.states: dict[str, VerdictState] = {}  # by subject; entries expire with their strikes
        self.own_reports: dict[str, HostReport] = {}  # subject -> last published; entries expire
        self.requested_trial: tuple | None = None  # (host, round) given to the decision core
        # (tx, host, subject, round, successes before it, successes required, reason, started_at)
        self.running_trial: tuple | None = None
        self.listed_hosts, self.host_by_subject = None, {}  # ready hosts when last read; subject -> host
        self.last_judged: tuple | None = None  # hosts and trial of the last event
        self.refresh_at = 0
        self.own_link_bad = False
        self.reports: dict[str, list[HostReport]] = {}
        self.on_urgent_fact = lambda: None  # called when a fact should reach other members at once
        self.on_evidence_used = lambda subject, kind, reports: None  # called when evidence keeps a host out

    # ---- events and effects of the decision core

    def handle(self, now: int, event, received_until: int | None = None) -> list:
        """Passes an event to the decision core; records outcomes and follows trials."""
        if isinstance(event, interface.AttemptEnded):
            self.observations.record(now, event)
            if self.running_trial is not None and self.running_trial[:2] == (event.tx, event.host):
                self.trial_ended(now, event.outcome)
        effects = self.proxy.handle(now, event, received_until)
        if self.requested_trial is not None and self.proxy.trial_host is None:
            host, round_ = self.requested_trial
            self.requested_trial = None
            for effect in effects:
                if isinstance(effect, interface.SendAttempt) and effect.host == host:
                    self.trial_started(now, effect.tx, host, round_)
        return effects

    def trial_started(self, now: int, tx: int, host: int, round_: int) -> None:
        """Publishes that a trial is under way, with the successes in a row before it."""
        subject = subject_of(self.proxy.hosts[host].entry)
        state = self.states.get(subject)
        if state is None:
            return
        last_trial = max(
            (trial for trial in self.live_trials(now) if trial.subject == subject),
            key=lambda t: t.round,
            default=None,
        )
        previous = last_trial.successes if last_trial is not None and last_trial.phase == SUCCEEDED else 0
        self.running_trial = (
            tx,
            host,
            subject,
            round_,
            previous,
            state.required_successes(),
            state.reason,
            now,
        )
        self.publish_trial(now, UNDER_WAY, previous)

    def trial_ended(self, now: int, outcome: str) -> None:
        """Publishes how the trial ended."""
        previous = self.running_trial[4]
        if outcome in (interface.COMMITTED, interface.DECLINED):
            self.publish_trial(now, SUCCEEDED, previous + 1)
        else:
            self.publish_trial(now, VOID if outcome in (interface.CANCELLED, interface.UNSENT) else FAILED, 0)
        self.running_trial = None

    def publish_trial(self, now: int, phase: int, successes: int) -> None:
        _, _, subject, round_, _, required, reason, started_at = self.running_trial
        value = (round_, phase, successes, required, reason, now - started_at, self.observations.zone)
        self.table.publish(now, TRIAL_FACT, subject, value, len(self.live()))
        self.on_urgent_fact()

    # ---- shared facts

    def refresh_reports(self, now: int) -> None:
        """Reads the live reports by host, leaving out those of members whose own link is bad."""
        if self.listed_hosts is not self.proxy.ready:
            self.listed_hosts = self.proxy.ready
            self.host_by_subject = {
                subject_of(host_state.entry): host_state.id for host_state in self.listed_hosts
            }
            self.observations.forget_unlisted(self.proxy.hosts)
        reports = {}
        for subject in self.table.subjects(HOST_FACT):
            if subject in self.host_by_subject:
                reports[subject] = self.table.parsed(now, HOST_FACT, subject, parse_report)
        bad_link_members = members_with_bad_link(
            {
                subject: {r.author for r in host_reports if r.blames}
                for subject, host_reports in reports.items()
            }
        )
        self.reports = {
            subject: [r for r in host_reports if r.author not in bad_link_members]
            for subject, host_reports in reports.items()
        }
        if (self.table.me in bad_link_members) != self.own_link_bad:
            self.own_link_bad = self.table.me in bad_link_members
            self.log_event("own link", bad=self.own_link_bad)

    def live_trials(self, now: int) -> list[Trial]:
        return [
            trial
            for subject in self.table.subjects(TRIAL_FACT)
            for trial in self.table.parsed(now, TRIAL_FACT, subject, parse_trial)
        ]

    # ---- evaluation

    def evaluate(self, now: int, received_until: int) -> interface.HostVerdicts | None:
        """Returns an event for the decision core if the verdicts changed or are due for renewal.

        `received_until`: everything received up to then has been handled.
        """
        blamed = self.observations.faulty_hosts(received_until, self.proxy)
        if not blamed and not self.states and not self.table.entries:
            return None
        self.refresh_reports(now)
        self.publish_reports(now, received_until, blamed)
        self.refresh_reports(now)
        trials = self.live_trials(now)
        latest: dict[str, Trial] = {}
        for trial in trials:
            if trial.subject in self.host_by_subject and (
                trial.subject not in latest or trial.round >= latest[trial.subject].round
            ):
                latest[trial.subject] = trial
        baseline_share = self.median_fault_share()
        subjects = set(self.reports) | set(self.states) | set(latest)
        for subject in sorted(subjects, key=lambda n: (self.states[n].since if n in self.states else now, n)):
            self.update_state(now, subject, latest.get(subject), baseline_share)
        return self.verdict_event(now, self.select_trial(now, trials, latest))

    def publish_reports(self, now: int, received_until: int, blamed: set[int]) -> None:
        """Publishes this proxy's reports.

        It reports on hosts that it blames, or has blamed and may now clear, and its counts for hosts that
        several members blame. For a host that is out it reports only that an answer came since.
        """
        host_states = self.proxy.hosts
        hosts_to_report = {
            subject_of(host_states[host].entry): host for host in blamed if host in host_states
        }
        reports_wanted = {
            subject
            for subject, reports in self.reports.items()
            if sum(r.blames for r in reports) >= SILENCE_QUORUM
        }
        reports_wanted |= {subject for subject, report in self.own_reports.items() if report.blames}
        out = {subject for subject, state in self.states.items() if state.state == OUT}
        hosts_to_report |= {
            subject: self.host_by_subject[subject]
            for subject in reports_wanted | out
            if subject in self.host_by_subject
        }
        for subject in sorted(hosts_to_report):
            report, previous = (
                self.observations.report(now, received_until, self.proxy, hosts_to_report[subject]),
                self.own_reports.get(subject),
            )
            since = now - previous.published_at if previous else OUTCOME_WINDOW
            worse = report.blames and (
                previous is None
                or report.faults > previous.faults
                or (report.late and report.late_sent_at > previous.late_sent_at)
            )
            if subject in out:
                doubted_at = self.states[subject].late_sent_at
            else:
                doubted_at = max(
                    (r.late_sent_at for r in self.reports.get(subject, ()) if r.late), default=now
                )
            clears = report.heard_at > doubted_at and (previous is None or previous.heard_at <= doubted_at)
            counts_changed = (
                subject in reports_wanted
                and subject not in out
                and (report[2:8] != previous[2:8] if previous else report.answers > 0)
            )
            if (
                worse
                and since >= WORSE_REPORT_INTERVAL
                or clears
                or counts_changed
                and since >= COUNTS_REPORT_INTERVAL
            ):
                self.own_reports[subject] = report
                self.table.publish(
                    now, HOST_FACT, subject, report_value(self.observations.zone, report), len(self.live())
                )
        for subject in [
            subject
            for subject, report in self.own_reports.items()
            if now - report.published_at > OUTCOME_WINDOW
        ]:
            del self.own_reports[subject]

    def median_fault_share(self) -> float:
        """Returns the median share of faults over all ready hosts; a host without reports counts as 0."""
        shares = sorted(
            sum(r.faults for r in reports) / max(1, sum(r.faults + r.answers for r in reports))
            for reports in self.reports.values()
        )
        median_index = (len(self.host_by_subject) - 1) // 2 - (len(self.host_by_subject) - len(shares))
        return shares[median_index] if 0 <= median_index < len(shares) else 0.0

    def update_state(self, now: int, subject: str, trial: Trial | None, baseline_share: float) -> None:
        """Moves one host to its next state, if the facts call for one, and logs the verdict."""
        state = self.states.get(subject) or VerdictState()
        reports = self.reports.get(subject, [])
        detected, by, reason = self.detect(now, state, reports, trial, baseline_share)
        next_state = TRANSITIONS.get((state.state, detected))
        if next_state == OUT and self.out_limit_reached():
            next_state = None
        if next_state is not None:
            if next_state == OUT:
                state.strikes = state.strikes + 1 if now - state.last_strike_at < STRIKE_MEMORY else 1
                state.last_strike_at, state.reason = now, reason
            if next_state == RETURNING and subject in self.host_by_subject:
                self.observations.reset(self.host_by_subject[subject], now)
            logged_reason = detected if detected == "forgotten" else state.reason
            self.log_event(
                "verdict",
                host=subject,
                state=next_state,
                reason=logged_reason,
                by=[report.author for report in by][:8],
                facts=[report.fact_id for report in by][:8],
            )
            state.state, state.since = next_state, now
            self.states[subject] = state
        if state.state == OUT and by:
            state.blamed_by = tuple(sorted({report.author for report in by}))
            state.evidence_at = max(state.evidence_at, *(report.published_at for report in by))
            kind = TRIAL_FACT if isinstance(by[0], Trial) else HOST_FACT
            if kind == HOST_FACT:
                state.late_sent_at = max(
                    state.late_sent_at, max((r.late_sent_at for r in by if r.late), default=0)
                )
            self.on_evidence_used(subject, kind, by)
        if subject in self.states and (
            subject not in self.host_by_subject
            or state.state == OPEN
            and (now - state.last_strike_at >= STRIKE_MEMORY)
        ):
            del self.states[subject]

    def detect(
        self,
        now: int,
        state: VerdictState,
        reports: list[HostReport],
        trial: Trial | None,
        baseline_share: float,
    ):
        """Returns (input to TRANSITIONS or "", the reports or trial behind it, reason)."""
        members = len(self.live())
        if state.state == RETURNING:
            reports = [
                r
                for r in reports
                if r.published_at > state.since + RETURN_GRACE or r.late_sent_at > state.since
            ]
        reason, by = assess_for_zone(reports, self.observations.zone, baseline_share, members)
        if state.state != OUT:
            if reason:
                return "blamed", by, reason
            failed = (
                trial is not None
                and trial.phase == FAILED
                and trial.published_at > state.since
                and (trial.zone == self.observations.zone)
            )
            if state.state == OPEN and failed and not any(r.heard_at > trial.started_at for r in reports):
                return "blamed", [trial], trial.reason  # joined late: others have it out and a trial failed
            return (
                ("ramp over" if state.state == RETURNING and now - state.since >= RAMP_DURATION else ""),
                [],
                "",
            )
        if trial is not None and trial.phase == FAILED:
            state.evidence_at = max(state.evidence_at, trial.published_at)
        passed = trial is not None and trial.phase == SUCCEEDED and trial.successes >= trial.required
        if passed and trial.started_at > state.since:
            return "cleared", [], ""
        if reason:
            return "stands", by, reason
        if state.reason == SILENT and any(r.heard_at > state.late_sent_at for r in reports):
            return "cleared", [r for r in reports if r.heard_at > state.late_sent_at], ""
        return ("forgotten" if now - state.evidence_at > self.table.lifetimes[TRIAL_FACT] else ""), [], ""

    def out_limit_reached(self) -> bool:
        """Whether no more hosts may go out: those out and those just started together reach MAX_OUT_SHARE.

        Traffic diverted from hosts that are out must not overload cold hosts, which can take little yet.
        """
        out = sum(
            state.state == OUT for subject, state in self.states.items() if subject in self.host_by_subject
        )
        fresh = sum(host_state.cold_since is not None for host_state in self.listed_hosts)
        return out + fresh >= int(MAX_OUT_SHARE * len(self.listed_hosts))

    # ---- trials

    def select_trial(self, now: int, trials: list[Trial], latest: dict[str, Trial]) -> tuple | None:
        """Returns (host, round) of the trial that this proxy should start now, or None."""
        out = [
            subject
            for subject, state in self.states.items()
            if state.state == OUT and subject in self.host_by_subject
        ]
        if not out:
            return None
        newest = max(trials, key=lambda trial: (trial.round, trial.started_at), default=None)
        if newest is None:
            round_, due = 1, min(self.states[subject].since for subject in out) + TRIAL_INTERVAL
        else:
            if newest.phase == UNDER_WAY and now - newest.started_at < TRIAL_TIMEOUT:
                return None
            fresh = any(now - self.states[subject].since < RECENTLY_OUT for subject in out)
            interval = min(
                TRIAL_INTERVAL if fresh else SLOW_TRIAL_INTERVAL,
                max(MIN_TRIAL_INTERVAL, TRIAL_CYCLE // len(out)),
            )
            interval = INTERVAL_AFTER_SUCCESS if newest.phase == SUCCEEDED else interval
            round_, due = newest.round + 1, newest.started_at + interval
        members = self.live()
        candidates = 2 ** max(0, min(20, (now - due) // CANDIDATE_DOUBLING_INTERVAL))
        if now < due or trial_order(members, round_).get(self.table.me, len(members)) >= candidates:
            return None

        def priority(subject):
            last = latest.get(subject)
            return (last is None or last.phase != SUCCEEDED, last.started_at if last else 0, subject)

        return self.host_by_subject[min(out, key=priority)], round_

    # ---- output

    def verdict_event(self, now: int, trial: tuple | None) -> interface.HostVerdicts | None:
        """Returns the event with all hosts out or returning; None if nothing changed or is due."""
        hosts = []
        for subject, state in self.states.items():
            host = self.host_by_subject.get(subject)
            if host is None:
                continue
            if state.state == OUT:
                hosts.append((host, now + OUT_LEASE, now + OUT_LEASE + RAMP_DURATION))
            elif state.state == RETURNING:
                hosts.append((host, state.since, state.since + RAMP_DURATION))
        judged = (
            tuple((host, ramp_until if until <= now else OUT) for host, until, ramp_until in hosts),
            trial,
        )
        self.requested_trial = trial
        if judged == self.last_judged and now < self.refresh_at:
            return None
        judged_hosts = {host for host, _, _ in hosts}
        reopened = [
            host for host, _ in (self.last_judged[0] if self.last_judged else ()) if host not in judged_hosts
        ]
        self.last_judged, self.refresh_at = judged, now + OUT_LEASE_REFRESH
        if not hosts and not reopened and trial is None:
            return None
        hosts += [(host, 0, 0) for host in reopened]
        return interface.HostVerdicts(tuple(hosts), trial[0] if trial else None)

    def view(self, now: int) -> list[dict]:
        """Returns rows for operators: each host out or returning, the evidence, its age and lifetime."""
        rows = []
        for subject, state in sorted(self.states.items()):
            if state.state == OPEN or subject not in self.host_by_subject:
                continue
            reports = [
                {
                    "by": r.author,
                    "zone": r.zone,
                    "late": r.late,
                    "lost": r.lost,
                    "errors": r.errors,
                    "answers": r.answers,
                    "age_ms": (now - r.published_at) // 10,
                    "life_ms": self.table.lifetimes[HOST_FACT] // 10,
                }
                for r in self.reports.get(subject, ())
            ]
            trial_rows = [
                {
                    "by": t.author,
                    "round": t.round,
                    "phase": PHASE_NAMES[t.phase],
                    "age_ms": (now - t.published_at) // 10,
                    "life_ms": self.table.lifetimes[TRIAL_FACT] // 10,
                }
                for t in self.live_trials(now)
                if t.subject == subject
            ]
            rows.append(
                {
                    "host": self.host_by_subject[subject],
                    "state": state.state,
                    "reason": state.reason,
                    "since_ms": (now - state.since) // 10,
                    "by": list(state.blamed_by),
                    "words": reports,
                    "trials": trial_rows,
                    "needs": state.required_successes(),
                }
            )
        return rows


def parse_trial(fact, published_at: int) -> Trial | None:
    """Decodes a fact published at this time; None if its value is malformed."""
    value = fact.value
    if (
        len(value) != 7
        or not isinstance(value[4], str)
        or not isinstance(value[6], str)
        or not all(isinstance(n, int) and not isinstance(n, bool) and n >= 0 for n in (*value[:4], value[5]))
    ):
        return None
    round_, phase, successes, required, reason, started_ago, zone = value
    if phase > VOID or reason not in (SILENT, FAILING):
        return None
    return Trial(
        fact.subject,
        fact.author,
        zone,
        round_,
        phase,
        successes,
        max(1, required),
        reason,
        published_at - started_ago,
        published_at,
        fact.fact_id,
    )
