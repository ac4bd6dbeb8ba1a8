"""Following discovery's list: when to call, what to ask first, when a watch is taken for silent, and how
often to try again. Pure: waits go out, nothing is waited for here.

Whatever discovery has to tell binds at a stated time, whether or not it arrived, so each wait below is a part
of what is left then. Names are those of `PolicySettings`; L is the longest grace for silence,
`SILENT` + `drain_grace`:

    a call's wait               list_poll_interval x (1 to 2), each proxy its own part: the fleet's calls
                                never fall together again after a change that answers them all at once. Of a
                                new process, and after trouble: `WAIT_AFTER`, list_poll_interval / 4 at most,
                                doubled by each answer
    silent                      no answer L / 5 past a call's wait, or after a connection was begun
    beside it, not in its place another connection asks what has changed since, at once (a wait of 0); a third
                                after 1/5 more, then one each 2/5 more, `BESIDE_MOST` at a time. The first
                                answer of any counts
    one fails, others are out   another after grace / 8, / 4, / 2, as news may have been lost with it, or
                                `FLEET_PACE` for each proxy if that is longer
    pushed, and asked at once   as at the start and after a failure: another beside it after grace / 4, or
                                `FLEET_PACE` for each proxy if that is longer, as its news counts already
    given up                    `GIVE_UP` past its wait. Who gives up a slow discovery sooner, and asks it
                                anew at the end of its queue, is never answered
    again, once all have failed, times (1/2 to 1), each proxy its own part:
      where the news counts soon or already (a watch fell silent, discovery moved): `URGENT_FIRST`, longer by
      half each time, up to `URGENT_MOST`, for `URGENT_TRIES`. They are counted from that event: what
      failed before it uses none of them up
      where the list is pushed, and at first where an open watch broke, as news may have been lost with it:
        grace / 8, then / 4 and / 2; where discovery turns callers away, or for the latter, `FLEET_PACE` for
        each proxy if that is longer, `RETRY_MOST` at most
      else, and after these: list_poll_interval / 4, `RETRY_MOST` at most. However long discovery has been
      away, its news counts at a fixed time after it is back
"""

from random import Random

from ..policy import interface

SILENT = 20_000  # tenths of a millisecond past a call's wait: by then its news counts as told
WAIT_MOST = 600_000  # discovery waits no longer: a longer one would be taken for silent too late
FIRST_MOST = 35_000  # until the first call of a new process: a second one must fit in 6 s
WAIT_AFTER = 20_000  # the first wait of a process, or after a failure or silence; each answer doubles it, ...
PARTS_OF_ASKING = 4  # of list_poll_interval, for that first wait: a change counts so long after it was made
WAITS_GROW = 5  # ... so often at most: news of the call after a broken one counts sooner
PARTS = 5  # of what is left until the grace is over; calls beside begin after 1, 2 and 4 of them
PUSHED_PARTS = 4  # of the grace; a call for pushed news that is there already gets another after one
BESIDE_MOST = 6  # calls out at a time
GIVE_UP = 50_000  # past a call's wait; news counts 6 s after discovery had it, answered or not
RETRY_MOST = 20_000  # tenths of a millisecond: what discovery has counts as told 6 s after it is back
SOON_TRIES = 3  # after an answer: within the grace altogether
FLEET_PACE = 100  # between two calls of all proxies, while they are turned away
URGENT_FIRST = 2_000  # the first wait after a silence, or at a new address
URGENT_MOST = 10_000  # the longest after a silence, or at a new address
URGENT_TRIES = 8  # after that the news has counted for a while
URGENT_GROWTH = 1.5  # of each wait against the one before: too many callers must thin out
LEAST = 200  # no shorter wait between two tries
MARK = 0  # of the timer to ask; the decisions' own are above it


class Following:
    def __init__(self, settings: interface.PolicySettings, random: Random) -> None:
        self.settings, self.random = settings, random
        self.pushed = not settings.list_on_request
        self.failures = 0  # since the last answer
        self.answers: int | None = None  # since the start or trouble; None: not begun
        self.urgent_tries = 0  # left since a watch fell silent, or discovery moved

    def part(self) -> float:
        """This proxy's own part of a span that the fleet shares, from 0 up to 1."""
        return (self.settings.position % self.settings.proxies + self.random.random()) / self.settings.proxies

    def began(self) -> None:
        """A new process: nothing is known of how discovery does."""
        self.answers = 0

    def first_delay(self) -> int:
        """Before the first call: pushed news counts from the first moment on."""
        return 0 if self.pushed else int(min(self.settings.list_poll_interval / 2, FIRST_MOST) * self.part())

    def watch_wait(self) -> int:
        usual = min(WAIT_MOST, int(self.settings.list_poll_interval * (1 + self.part())))
        if self.answers is None:
            return usual
        first = min(WAIT_AFTER, self.settings.list_poll_interval // PARTS_OF_ASKING)
        return min(usual, int(first * 2 ** min(self.answers, WAITS_GROW) * (1 + self.part())))

    def silent_after(self, calls: int, at_once: bool = False) -> int:
        """So long after its wait, or its beginning, the newest of so many calls gets another beside it.

        `at_once`: it asked for what is there already, and pushed news of that counts already.
        """
        usual = (SILENT + self.settings.drain_grace) // PARTS * (1, 1, 2)[min(calls, 3) - 1]
        if not (at_once and self.pushed):
            return usual
        return min(usual, max(self.settings.drain_grace // PUSHED_PARTS, self.settings.proxies * FLEET_PACE))

    @property
    def urgent(self) -> bool:
        return self.urgent_tries > 0

    def answered(self) -> None:
        self.failures = self.urgent_tries = 0
        if self.answers is not None:
            self.answers += 1

    def fell_silent(self) -> None:
        self.answers = 0
        if not self.urgent:
            self.urgent_tries = URGENT_TRIES

    def moved(self) -> None:
        """Discovery is at another address: nothing is known of how that one does."""
        self.failures, self.urgent_tries, self.answers = 0, URGENT_TRIES, 0

    def retry_delay(self, turned_away: bool) -> int:
        """Ticks until the next try, as all calls have failed.

        `turned_away`: discovery lives, and has too many callers.
        """
        self.failures, self.answers = self.failures + 1, 0
        part = 0.5 + self.part() / 2
        if self.urgent:
            made = URGENT_TRIES - self.urgent_tries
            self.urgent_tries -= 1
            return int(min(URGENT_FIRST * URGENT_GROWTH**made, URGENT_MOST) * part)
        if self.pushed or self.failures <= SOON_TRIES and not turned_away:
            return max(LEAST, int(max(self._soon(self.failures), self._crowd(turned_away)) * part))
        return int(min(self.settings.list_poll_interval / 4, RETRY_MOST) * part)

    def beside_delay(self, others: int, failed: int, turned_away: bool) -> int:
        """Ticks until another call beside `others` that have no answer yet, as one has failed.

        `failed`: calls since the last answer; `turned_away`: as for `retry_delay`.
        """
        usual = self.silent_after(others)
        if turned_away or failed > SOON_TRIES:
            return usual
        soon = max(self._soon(failed), self._crowd(turned_away)) * (0.5 + self.part() / 2)
        return min(usual, max(LEAST, int(soon)))

    def _soon(self, failures: int) -> float:
        """Within the grace, as news may have been in an answer that was lost, which counts as told."""
        return self.settings.drain_grace / 2 ** max(1, SOON_TRIES + 1 - failures)

    def _crowd(self, turned_away: bool) -> float:
        """By the size of the fleet: all its proxies call again at once where discovery has reset them all."""
        if self.pushed and not turned_away:
            return 0.0
        return min(RETRY_MOST, self.settings.proxies * FLEET_PACE)


class Asking:
    """The same where a protocol has one word for a watch, and one for its end: beside the decisions, which it
    hands on all else to."""

    def __init__(self, following: Following, policy) -> None:
        self.following, self.policy = following, policy
        self.call_due = False  # while a timer of ours is to ask; what is pushed comes unasked

    def begin(self) -> list:
        return [] if self.following.pushed else self.ask(self.following.first_delay())

    def ask(self, wait: int) -> list:
        self.call_due = True
        return [interface.SetTimer(wait, MARK)]

    def handle(self, now: int, event, seen: int | None = None) -> list:
        kind = type(event)
        if kind is interface.HostListFailed:  # it may also mean that the watch broke
            return [] if self.following.pushed else self.ask(self.following.retry_delay(turned_away=True))
        if kind is interface.TimerDue and event.timer_id == MARK:
            call_due, self.call_due = self.call_due, False
            return [interface.RequestHostList()] if call_due else []
        if kind is interface.HostListReceived and event.from_discovery:
            self.call_due = False
            self.following.answered()
        return self.policy.handle(now, event, seen)
