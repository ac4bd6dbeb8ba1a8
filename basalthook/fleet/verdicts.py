"""The fleet's verdicts on hosts, derived by each proxy from the evidence that is alive in its table; pure.

A host is *out* once enough distinct witnesses blame it, by what they saw against what all others saw at the
same host at the same time; it is *back on a ramp* once an answer later than what it was blamed for is told,
or enough trials in a row were answered; *open* once the ramp is over, or nothing alive speaks against it any
more. One proxy at a time, drawn alike by all, tries one host that is out, with a hop that costs its
transaction nothing.

    a verdict stands no longer than the life of a `trial` past the last word on it
    no more than MOST_OUT of the ready hosts are out, whatever is told
    who blames hosts that nobody else blames has a bad link of its own, and counts for nobody

The states of a host, and what leads from one to another, are in LIFE. Verdicts make wary and nothing else:
drains, cold hosts, placement and what the proxy knows alone stand beside them.
"""

from functools import lru_cache
from typing import NamedTuple

import xxhash

from ..policy import interface
from .evidence import WINDOW, Seen, Word, plain
from .evidence import read as read_word
from .facts import Table

HOST, TRIAL = "host", "trial"  # kinds of facts
LIVES = {HOST: WINDOW, TRIAL: 100_000}  # ticks
QUORUM = 2  # witnesses of a host's silence, with nothing heard since by anyone
FAULTS, WITNESSES, SHARE = 4, 3, 0.3  # faults, of so many proxies, and such a share above common
MOST_OUT = 0.3  # of the ready hosts
LONE = 3  # hosts that a proxy blames alone, from which on its own link is bad
AGAIN, ANSWERS = 1_000, 3_000  # ticks between two words on a host: with a new fault, without
PACE, SLOW_PACE, FRESH = 10_000, 18_000, 50_000  # ticks between trials; with none out for less than FRESH
QUICK, ALL_TRIED, LEAST_PACE = 500, 60_000, 2_000  # after an answer; in which all are tried once; at least
STEP = 2_000  # ticks in which those who may try double, until one does
TRIAL_MOST = 10_000  # ticks after which a trial under way counts as lost
RAMP = 10_000  # ticks from kept away to its whole share
LEASE, REFRESH = 20_000, 10_000  # for how long the decisions are told to keep away; told anew
NEED_SILENT, NEED_FAILING, NEED_MOST = 1, 3, 6  # trials answered in a row before a host comes back
STRIKES = 300_000  # ticks in which a host that is out again needs one trial more
SETTLED = 3_000  # ticks after a return in which words may still be of before

OPEN, OUT, BACK = "open", "out", "back"
SILENT, FAILING = "silent", "failing"
# state, what is found -> the next one
LIFE = {
    (OPEN, "blamed"): OUT,
    (BACK, "blamed"): OUT,
    (OUT, "cleared"): BACK,
    (OUT, "forgotten"): BACK,
    (BACK, "ramp over"): OPEN,
}
UNDER_WAY, GOOD, BAD, VOID = range(4)  # of a trial
PHASES = "under way", "answered", "failed", "void"


class Trial(NamedTuple):
    """One proxy's word on one trial of a host."""

    subject: str
    who: str
    zone: str
    round: int  # counts all trials of the fleet
    phase: int
    run: int  # trials answered in a row, this one included
    need: int  # that bring the host back
    reason: str
    began: int  # ticks, on the reader's clock
    told: int
    mark: int = 0  # of the fact it came as


class State:
    """Of one host that is out or on its way back; `strikes` are kept a while beyond that."""

    __slots__ = ("state", "since", "reason", "late_sent", "strikes", "struck", "known", "by")

    def __init__(self) -> None:
        self.state, self.since, self.reason, self.late_sent = OPEN, 0, "", 0
        self.strikes = self.struck = 0
        self.known = 0  # when the newest word against it was told
        self.by: tuple[str, ...] = ()

    def need(self) -> int:
        first = NEED_SILENT if self.reason == SILENT else NEED_FAILING
        return min(NEED_MOST, first + max(0, self.strikes - 1))


def judge(words: list[Word], common: float, members: int) -> tuple[str, list[Word]]:
    """Why a host is at fault by these words, and whose they are; "" where it is not."""
    heard = max((word.heard for word in words), default=0)
    silent = [word for word in words if word.late and word.late_sent > heard]
    if len(silent) >= QUORUM:
        return SILENT, silent
    blaming = [word for word in words if word.faults]
    faults, answers = sum(word.faults for word in words), sum(word.answers for word in words)
    if (
        faults >= FAULTS
        and len(blaming) >= min(WITNESSES, members)
        and (faults > (SHARE + 2 * common) * (faults + answers))
    ):
        return FAILING, blaming
    return "", []


def in_zone(words: list[Word], zone: str, common: float, members: int) -> tuple[str, list[Word]]:
    """As this zone's proxies see it, where they see it otherwise than the rest: a way may be bad."""
    near = [word for word in words if word.zone == zone]
    if near and len(near) < len(words):
        reason, by = judge(near, common, members)
        doubted = max(word.late_sent for word in near)
        clears = any(word.answers and word.heard > doubted for word in near)
        if reason or clears:
            return reason, by
    reason, by = judge(words, common, members)
    # one other zone alone says nothing of the way from here
    return (
        ("", [])
        if {word.zone for word in by}.isdisjoint({zone}) and len({w.zone for w in by}) == 1
        else (reason, by)
    )


def lone(blamed: dict[str, set[str]]) -> set[str]:
    """Authors that blame at least LONE hosts alone, and more than with others: by host, who blames it."""
    alone, shared = {}, {}
    for authors in blamed.values():
        count = alone if len(authors) == 1 else shared
        for author in authors:
            count[author] = count.get(author, 0) + 1
    return {author for author, hosts in alone.items() if hosts >= LONE and hosts > shared.get(author, 0)}


@lru_cache(maxsize=64)
def ranks(members: tuple[str, ...], round_: int) -> dict[str, int]:
    """Who comes first in this round, by rendezvous hashing: all that know the same members draw alike."""
    order = sorted(members, key=lambda name: xxhash.xxh64_intdigest(f"{round_}\0{name}".encode()))
    return {name: rank for rank, name in enumerate(order)}


def subject(line: interface.HostEntry) -> str:
    """A host's process, by the number of its id and its start: a word on the life before is none on this."""
    return f"{line.hash:x}.{line.started_at or 0}"


class Verdicts:
    """`handle` in place of the decisions' own; `look` several times a second gives the event they are told.

    `live()`: the members that live, sorted, this one among them.
    """

    def __init__(self, proxy, table: Table, zone: str, live, say=lambda event, **fields: None) -> None:
        self.proxy, self.table, self.live, self.say = proxy, table, live, say
        self.seen = Seen(table.me, zone)
        self.states: dict[str, State] = {}  # subject -> ; emptied as strikes are forgotten
        self.told: dict[str, Word] = {}  # subject -> this proxy's last word; emptied by age
        self.trying: tuple | None = None  # (host, round): what the decisions were told to try
        self.trial: tuple | None = None  # (tx, host, subject, round, run, need, reason, began)
        self.listed, self.numbers = None, {}  # the ready hosts as last read; subject -> number
        self.last: tuple | None = None  # what the decisions were told last
        self.fresh_until = 0
        self.alone = False  # this proxy's own link is bad
        self.words: dict[str, list[Word]] = {}
        self.hurry = lambda: None  # called where others should know of a word at once
        self.acted = lambda name, kind, words: None  # told of each use of words against a host

    # ---- between the decisions and whoever drives them

    def handle(self, now: int, event, seen: int | None = None) -> list:
        if isinstance(event, interface.AttemptEnded):
            self.seen.ended(now, event)
            if self.trial is not None and self.trial[:2] == (event.tx, event.host):
                self.tried(now, event.outcome)
        effects = self.proxy.handle(now, event, seen)
        if self.trying is not None and self.proxy.trial_host is None:
            host, round_ = self.trying
            self.trying = None
            for effect in effects:
                if isinstance(effect, interface.SendAttempt) and effect.host == host:
                    self.begins(now, effect.tx, host, round_)
        return effects

    def begins(self, now: int, tx: int, host: int, round_: int) -> None:
        name = subject(self.proxy.hosts[host].entry)
        state = self.states.get(name)
        if state is None:
            return
        run = max(
            (trial for trial in self.trials(now) if trial.subject == name),
            key=lambda t: t.round,
            default=None,
        )
        before = run.run if run is not None and run.phase == GOOD else 0
        self.trial = tx, host, name, round_, before, state.need(), state.reason, now
        self.tell_trial(now, UNDER_WAY, before)

    def tried(self, now: int, outcome: str) -> None:
        before = self.trial[4]
        if outcome in (interface.COMMITTED, interface.DECLINED):
            self.tell_trial(now, GOOD, before + 1)
        else:
            self.tell_trial(now, VOID if outcome in (interface.CANCELLED, interface.UNSENT) else BAD, 0)
        self.trial = None

    def tell_trial(self, now: int, phase: int, run: int) -> None:
        _, _, name, round_, _, need, reason, began = self.trial
        value = (round_, phase, run, need, reason, now - began, self.seen.zone)
        self.table.tell(now, TRIAL, name, value, len(self.live()))
        self.hurry()

    # ---- what is known

    def read(self, now: int) -> None:
        """Words by host, each with its age, without those of proxies whose own link is bad."""
        if self.listed is not self.proxy.ready:
            self.listed = self.proxy.ready
            self.numbers = {subject(server.entry): server.id for server in self.listed}
            self.seen.forget(self.proxy.hosts)
        words = {}
        for name in self.table.subjects(HOST):
            if name in self.numbers:
                words[name] = self.table.made(now, HOST, name, read_word)
        bad = lone({name: {w.who for w in found if w.blames} for name, found in words.items()})
        self.words = {name: [w for w in found if w.who not in bad] for name, found in words.items()}
        if (self.table.me in bad) != self.alone:
            self.alone = self.table.me in bad
            self.say("own link", bad=self.alone)

    def trials(self, now: int) -> list[Trial]:
        return [
            trial
            for name in self.table.subjects(TRIAL)
            for trial in self.table.made(now, TRIAL, name, read_trial)
        ]

    # ---- several times a second

    def look(self, now: int, seen: int) -> interface.HostVerdicts | None:
        """What the decisions are to be told, if it is another thing than before or its time runs out."""
        blamed = self.seen.blamed(seen, self.proxy)
        if not blamed and not self.states and not self.table.held:
            return None
        self.read(now)
        self.tell(now, seen, blamed)
        self.read(now)
        trials = self.trials(now)
        latest: dict[str, Trial] = {}
        for trial in trials:
            if trial.subject in self.numbers and (
                trial.subject not in latest or trial.round >= latest[trial.subject].round
            ):
                latest[trial.subject] = trial
        common = self.common()
        names = set(self.words) | set(self.states) | set(latest)
        for name in sorted(names, key=lambda n: (self.states[n].since if n in self.states else now, n)):
            self.step(now, name, latest.get(name), common)
        return self.event(now, self.draw(now, trials, latest))

    def tell(self, now: int, seen: int, blamed: set[int]) -> None:
        """This proxy's words: on hosts that it blames, or has blamed and may clear; on those that several
        blame, how they were to it; on those that are out, only that one was heard since."""
        servers = self.proxy.hosts
        names = {subject(servers[host].entry): host for host in blamed if host in servers}
        asked = {name for name, words in self.words.items() if sum(w.blames for w in words) >= QUORUM}
        asked |= {name for name, word in self.told.items() if word.blames}
        out = {name for name, state in self.states.items() if state.state == OUT}
        names |= {name: self.numbers[name] for name in asked | out if name in self.numbers}
        for name in sorted(names):
            word, before = self.seen.word(now, seen, self.proxy, names[name]), self.told.get(name)
            since = now - before.told if before else WINDOW
            worse = word.blames and (
                before is None
                or word.faults > before.faults
                or (word.late and word.late_sent > before.late_sent)
            )
            if name in out:
                doubted = self.states[name].late_sent
            else:
                doubted = max((w.late_sent for w in self.words.get(name, ()) if w.late), default=now)
            clears = word.heard > doubted and (before is None or before.heard <= doubted)
            counts = (
                name in asked
                and name not in out
                and (word[2:8] != before[2:8] if before else word.answers > 0)
            )
            if worse and since >= AGAIN or clears or counts and since >= ANSWERS:
                self.told[name] = word
                self.table.tell(now, HOST, name, plain(self.seen.zone, word), len(self.live()))
        for name in [name for name, word in self.told.items() if now - word.told > WINDOW]:
            del self.told[name]

    def common(self) -> float:
        """The share of faults that most hosts have: those of which nothing is told have none."""
        shares = sorted(
            sum(w.faults for w in words) / max(1, sum(w.faults + w.answers for w in words))
            for words in self.words.values()
        )
        place = (len(self.numbers) - 1) // 2 - (len(self.numbers) - len(shares))
        return shares[place] if 0 <= place < len(shares) else 0.0

    def step(self, now: int, name: str, trial: Trial | None, common: float) -> None:
        state = self.states.get(name) or State()
        words = self.words.get(name, [])
        given, by, reason = self.found(now, state, words, trial, common)
        following = LIFE.get((state.state, given))
        if following == OUT and self.too_many():
            following = None
        if following is not None:
            if following == OUT:
                state.strikes = state.strikes + 1 if now - state.struck < STRIKES else 1
                state.struck, state.reason = now, reason
            if following == BACK and name in self.numbers:
                self.seen.anew(self.numbers[name], now)
            why = given if given == "forgotten" else state.reason
            self.say(
                "verdict",
                host=name,
                state=following,
                reason=why,
                by=[word.who for word in by][:8],
                facts=[word.mark for word in by][:8],
            )
            state.state, state.since = following, now
            self.states[name] = state
        if state.state == OUT and by:
            state.by = tuple(sorted({word.who for word in by}))
            state.known = max(state.known, *(word.told for word in by))
            kind = TRIAL if isinstance(by[0], Trial) else HOST
            if kind == HOST:
                state.late_sent = max(state.late_sent, max((w.late_sent for w in by if w.late), default=0))
            self.acted(name, kind, by)
        if name in self.states and (
            name not in self.numbers or state.state == OPEN and (now - state.struck >= STRIKES)
        ):
            del self.states[name]

    def found(self, now: int, state: State, words: list[Word], trial: Trial | None, common: float):
        """What speaks for another state: (given, the words it stands on, reason)."""
        members = len(self.live())
        if state.state == BACK:
            words = [w for w in words if w.told > state.since + SETTLED or w.late_sent > state.since]
        reason, by = in_zone(words, self.seen.zone, common, members)
        if state.state != OUT:
            if reason:
                return "blamed", by, reason
            failed = (
                trial is not None
                and trial.phase == BAD
                and trial.told > state.since
                and (trial.zone == self.seen.zone)
            )
            if state.state == OPEN and failed and not any(w.heard > trial.began for w in words):
                return "blamed", [trial], trial.reason  # a newcomer: others have it out, and saw it fail
            return ("ramp over" if state.state == BACK and now - state.since >= RAMP else ""), [], ""
        if trial is not None and trial.phase == BAD:
            state.known = max(state.known, trial.told)
        good = trial is not None and trial.phase == GOOD and trial.run >= trial.need
        if good and trial.began > state.since:
            return "cleared", [], ""
        if reason:
            return "stands", by, reason
        if state.reason == SILENT and any(w.heard > state.late_sent for w in words):
            return "cleared", [w for w in words if w.heard > state.late_sent], ""
        return ("forgotten" if now - state.known > self.table.lives[TRIAL] else ""), [], ""

    def too_many(self) -> bool:
        """Out and fresh ones together: what some are kept from must not push over those that bear little."""
        out = sum(state.state == OUT for name, state in self.states.items() if name in self.numbers)
        fresh = sum(server.cold_since is not None for server in self.listed)
        return out + fresh >= int(MOST_OUT * len(self.listed))

    # ---- trials

    def draw(self, now: int, trials: list[Trial], latest: dict[str, Trial]) -> tuple | None:
        """Which host this proxy is to try now, and the round; None: it is another's turn, or nobody's."""
        out = [name for name, state in self.states.items() if state.state == OUT and name in self.numbers]
        if not out:
            return None
        newest = max(trials, key=lambda trial: (trial.round, trial.began), default=None)
        if newest is None:
            round_, due = 1, min(self.states[name].since for name in out) + PACE
        else:
            if newest.phase == UNDER_WAY and now - newest.began < TRIAL_MOST:
                return None
            fresh = any(now - self.states[name].since < FRESH for name in out)
            pace = min(PACE if fresh else SLOW_PACE, max(LEAST_PACE, ALL_TRIED // len(out)))
            pace = QUICK if newest.phase == GOOD else pace
            round_, due = newest.round + 1, newest.began + pace
        members = self.live()
        drawn = 2 ** max(0, min(20, (now - due) // STEP))
        if now < due or ranks(members, round_).get(self.table.me, len(members)) >= drawn:
            return None

        def turn(name):
            last = latest.get(name)
            return (last is None or last.phase != GOOD, last.began if last else 0, name)

        return self.numbers[min(out, key=turn)], round_

    # ---- what the decisions are told

    def event(self, now: int, drawn: tuple | None) -> interface.HostVerdicts | None:
        hosts = []
        for name, state in self.states.items():
            host = self.numbers.get(name)
            if host is None:
                continue
            if state.state == OUT:
                hosts.append((host, now + LEASE, now + LEASE + RAMP))
            elif state.state == BACK:
                hosts.append((host, state.since, state.since + RAMP))
        key = tuple((host, whole if shut <= now else OUT) for host, shut, whole in hosts), drawn
        self.trying = drawn
        if key == self.last and now < self.fresh_until:
            return None
        closed = {host for host, _, _ in hosts}
        opened = [host for host, _ in (self.last[0] if self.last else ()) if host not in closed]
        self.last, self.fresh_until = key, now + REFRESH
        if not hosts and not opened and drawn is None:
            return None
        hosts += [(host, 0, 0) for host in opened]
        return interface.HostVerdicts(tuple(hosts), drawn[0] if drawn else None)

    def view(self, now: int) -> list[dict]:
        """For operators: why a host is out, who says so, and how old that is against its life; ages in ms."""
        found = []
        for name, state in sorted(self.states.items()):
            if state.state == OPEN or name not in self.numbers:
                continue
            words = [
                {
                    "by": w.who,
                    "zone": w.zone,
                    "late": w.late,
                    "lost": w.lost,
                    "errors": w.errors,
                    "answers": w.answers,
                    "age_ms": (now - w.told) // 10,
                    "life_ms": self.table.lives[HOST] // 10,
                }
                for w in self.words.get(name, ())
            ]
            tried = [
                {
                    "by": t.who,
                    "round": t.round,
                    "phase": PHASES[t.phase],
                    "age_ms": (now - t.told) // 10,
                    "life_ms": self.table.lives[TRIAL] // 10,
                }
                for t in self.trials(now)
                if t.subject == name
            ]
            found.append(
                {
                    "host": self.numbers[name],
                    "state": state.state,
                    "reason": state.reason,
                    "since_ms": (now - state.since) // 10,
                    "by": list(state.by),
                    "words": words,
                    "trials": tried,
                    "needs": state.need(),
                }
            )
        return found


def read_trial(fact, told: int) -> Trial | None:
    """A fact back, told at that moment; None where its value is none."""
    value = fact.value
    if (
        len(value) != 7
        or not isinstance(value[4], str)
        or not isinstance(value[6], str)
        or not all(isinstance(n, int) and not isinstance(n, bool) and n >= 0 for n in (*value[:4], value[5]))
    ):
        return None
    round_, phase, run, need, reason, ago, zone = value
    if phase > VOID or reason not in (SILENT, FAILING):
        return None
    return Trial(
        fact.subject, fact.author, zone, round_, phase, run, max(1, need), reason, told - ago, told, fact.mark
    )
