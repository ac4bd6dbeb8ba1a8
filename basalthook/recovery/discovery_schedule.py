"""Schedule of calls to discovery: when to call, when a watch counts as silent, and when to retry.

Pure: delays are returned, nothing here waits.

A change of the host list takes effect a fixed time after discovery has it, whether or not this proxy has
received it. So each delay below is a fraction of the time left until then. `list_poll_interval` and
`drain_grace` are fields of PolicySettings (the rules `ask_within_ns` and `drain_grace_ns` of the start-up
file); L stands for `SILENCE_TIMEOUT` + `drain_grace`.

Wait of a watch: `list_poll_interval` times 1 to 2, at an offset of its own for each proxy. Without the
offsets, a change that answers all proxies at once would make the whole fleet call at the same moment from
then on. After the start, a failure or a silence the wait is `INITIAL_WATCH_WAIT`, `list_poll_interval` / 4 at
most, and each answer doubles it.

Silent watch: no answer L / 5 after its wait is over, or after its connection was begun. A parallel call on
another connection then asks with a wait of 0 what has changed, while the silent call stays open. A third
call follows after another L / 5, then one after each 2 L / 5, up to `MAX_PARALLEL_CALLS` at a time. The first
answer to any of them is used.

One call failed while others have no answer yet: the failed answer may have carried a change, so another call
is made after `drain_grace` / 8, then / 4, then / 2, or after `FLEET_CALL_INTERVAL` times the number of
proxies if that is longer.

Pushed list, requested without a wait (at the start and after a failure): the change may be in effect already,
so the next parallel call is made after `drain_grace` / 4, or `FLEET_CALL_INTERVAL` times the number of
proxies if that is longer.

Time-out: `CALL_TIMEOUT` after the wait of a call is over. With a shorter one a slow discovery would never
answer, as each new call goes to the end of its queue.

Retry once all calls have failed; each delay is multiplied by 1/2 to 1, by the proxy's own offset:
- Urgent, when the change takes effect soon or has already (a watch fell silent, discovery moved):
  `URGENT_INITIAL_DELAY`, growing by half each time up to `URGENT_MAX_DELAY`, for `URGENT_RETRIES` attempts.
  These are counted from that event; failures before it use up none of them.
- Pushed list, and for `GRACE_RETRIES` retries also an open watch that broke, as its answer may have carried a
  change: `drain_grace` / 8, then / 4, then / 2. Where discovery rejects callers, and always for a broken
  watch, `FLEET_CALL_INTERVAL` times the number of proxies if that is longer, `MAX_RETRY_DELAY` at most.
- Otherwise: `list_poll_interval` / 4, `MAX_RETRY_DELAY` at most, because changes take effect a fixed time
  after discovery is back, however long it has been away.
"""

from random import Random

from ..policy import interface

# Times are in ticks of 0.1 ms.
SILENCE_TIMEOUT = 20_000  # after the wait of a call; its changes take effect then, received or not
MAX_WATCH_WAIT = 600_000  # discovery holds a watch no longer; a longer wait would detect silence too late
MAX_INITIAL_DELAY = 35_000  # before the first call of a new process: a second one must fit within 6 s
INITIAL_WATCH_WAIT = 20_000  # after the start, a failure or silence; each answer doubles it
INITIAL_WAIT_DIVISOR = 4  # of list_poll_interval; bounds the initial wait: changes may take effect soon
MAX_WAIT_DOUBLINGS = 5  # of INITIAL_WATCH_WAIT: after a failed call changes take effect sooner than usual
HEDGE_PARTS = 5  # of SILENCE_TIMEOUT + drain_grace; parallel calls begin after 1, 2 and 4 parts
PUSHED_HEDGE_DIVISOR = 4  # of drain_grace, until a call for a pushed change gets a parallel one
MAX_PARALLEL_CALLS = 6
CALL_TIMEOUT = 50_000  # after the wait of a call; a change takes effect 6 s after discovery has it
MAX_RETRY_DELAY = 20_000  # a change takes effect 6 s after discovery is back
GRACE_RETRIES = 3  # after an answer; together they fit within drain_grace
FLEET_CALL_INTERVAL = 100  # between two calls of the whole fleet while discovery rejects callers
URGENT_INITIAL_DELAY = 2_000
URGENT_MAX_DELAY = 10_000
URGENT_RETRIES = 8  # after these the change has been in effect for a while
URGENT_BACKOFF_FACTOR = 1.5  # more than 1, so that an overloaded discovery gets fewer calls
MIN_RETRY_DELAY = 200
POLL_TIMER_MARK = 0  # of the timer for a poll; marks of the policy's own timers are greater


class DiscoverySchedule:
    """Delays of calls to discovery, in ticks of 0.1 ms; see the module's description."""

    def __init__(self, settings: interface.PolicySettings, random: Random) -> None:
        self.settings, self.random = settings, random
        self.pushed = not settings.list_on_request
        self.failures = 0  # since the last answer
        self.recent_answers: int | None = None  # since the start, failure or silence; None: not started
        self.urgent_retries_left = 0  # of those granted when a watch fell silent or discovery moved

    def fleet_offset(self) -> float:
        """This proxy's offset within an interval that the fleet shares, from 0 up to 1."""
        return (self.settings.position % self.settings.proxies + self.random.random()) / self.settings.proxies

    def on_start(self) -> None:
        """A new process started; the state of discovery is unknown."""
        self.recent_answers = 0

    def initial_delay(self) -> int:
        """Ticks until the first call; none for a pushed list, whose changes take effect at once."""
        return (
            0
            if self.pushed
            else int(min(self.settings.list_poll_interval / 2, MAX_INITIAL_DELAY) * self.fleet_offset())
        )

    def watch_wait(self) -> int:
        """How long discovery is asked to hold the next watch open, in ticks."""
        default = min(MAX_WATCH_WAIT, int(self.settings.list_poll_interval * (1 + self.fleet_offset())))
        if self.recent_answers is None:
            return default
        first = min(INITIAL_WATCH_WAIT, self.settings.list_poll_interval // INITIAL_WAIT_DIVISOR)
        return min(
            default,
            int(first * 2 ** min(self.recent_answers, MAX_WAIT_DOUBLINGS) * (1 + self.fleet_offset())),
        )

    def hedge_delay(self, calls: int, immediate: bool = False) -> int:
        """Ticks until another call is made beside the newest of `calls`.

        Counted from the end of its wait, or from the beginning of its connection. `immediate`: the call has
        no wait, so it asks for pushed changes that are in effect already.
        """
        default = (SILENCE_TIMEOUT + self.settings.drain_grace) // HEDGE_PARTS * (1, 1, 2)[min(calls, 3) - 1]
        if not (immediate and self.pushed):
            return default
        return min(
            default,
            max(
                self.settings.drain_grace // PUSHED_HEDGE_DIVISOR, self.settings.proxies * FLEET_CALL_INTERVAL
            ),
        )

    @property
    def urgent(self) -> bool:
        """Whether a change may be in effect that has not been received."""
        return self.urgent_retries_left > 0

    def on_answer(self) -> None:
        """Resets the failures and lengthens the next watch."""
        self.failures = self.urgent_retries_left = 0
        if self.recent_answers is not None:
            self.recent_answers += 1

    def on_silence(self) -> None:
        """Shortens the next watch and makes retries urgent."""
        self.recent_answers = 0
        if not self.urgent:
            self.urgent_retries_left = URGENT_RETRIES

    def on_move(self) -> None:
        """Discovery has another address, where its state is unknown."""
        self.failures, self.urgent_retries_left, self.recent_answers = 0, URGENT_RETRIES, 0

    def retry_delay(self, overloaded: bool) -> int:
        """Ticks until the next call once all calls have failed.

        `overloaded`: discovery is up and rejects calls because it has too many callers.
        """
        self.failures, self.recent_answers = self.failures + 1, 0
        jitter = 0.5 + self.fleet_offset() / 2
        if self.urgent:
            retries_made = URGENT_RETRIES - self.urgent_retries_left
            self.urgent_retries_left -= 1
            return int(
                min(URGENT_INITIAL_DELAY * URGENT_BACKOFF_FACTOR**retries_made, URGENT_MAX_DELAY) * jitter
            )
        if self.pushed or self.failures <= GRACE_RETRIES and not overloaded:
            return max(
                MIN_RETRY_DELAY,
                int(max(self._grace_backoff(self.failures), self._fleet_pacing(overloaded)) * jitter),
            )
        return int(min(self.settings.list_poll_interval / 4, MAX_RETRY_DELAY) * jitter)

    def hedge_delay_after_failure(self, others: int, failed: int, overloaded: bool) -> int:
        """Ticks until the next call once one has failed while `others` have no answer yet.

        `failed`: calls failed since the last answer; `overloaded`: as for `retry_delay`.
        """
        default = self.hedge_delay(others)
        if overloaded or failed > GRACE_RETRIES:
            return default
        retry_delay = max(self._grace_backoff(failed), self._fleet_pacing(overloaded)) * (
            0.5 + self.fleet_offset() / 2
        )
        return min(default, max(MIN_RETRY_DELAY, int(retry_delay)))

    def _grace_backoff(self, failures: int) -> float:
        """Delay within `drain_grace`: the lost answer may have carried a change, which counts as received."""
        return self.settings.drain_grace / 2 ** max(1, GRACE_RETRIES + 1 - failures)

    def _fleet_pacing(self, overloaded: bool) -> float:
        """Delay by the size of the fleet: one that resets all connections is called by all at once."""
        if self.pushed and not overloaded:
            return 0.0
        return min(MAX_RETRY_DELAY, self.settings.proxies * FLEET_CALL_INTERVAL)


class PollingPolicy:
    """Polls the host list, for protocols with one message that requests it and one that reports a failure.

    Handles these events itself and forwards all others to `event_handler`: the policy, or a component that
    wraps it.
    """

    def __init__(self, schedule: DiscoverySchedule, event_handler) -> None:
        self.schedule, self.event_handler = schedule, event_handler
        self.poll_due = False  # whether the poll timer is set; a pushed list is not polled

    def begin(self) -> list:
        """The first effects; none for a pushed list."""
        return [] if self.schedule.pushed else self.schedule_poll(self.schedule.initial_delay())

    def schedule_poll(self, wait: int) -> list:
        self.poll_due = True
        return [interface.SetTimer(wait, POLL_TIMER_MARK)]

    def handle(self, now: int, event, received_until: int | None = None) -> list:
        """Handles an event; returns the effects of the schedule or of the event handler."""
        kind = type(event)
        if kind is interface.HostListFailed:  # also sent when the watch broke
            return (
                [] if self.schedule.pushed else self.schedule_poll(self.schedule.retry_delay(overloaded=True))
            )
        if kind is interface.TimerDue and event.timer_id == POLL_TIMER_MARK:
            poll_due, self.poll_due = self.poll_due, False
            return [interface.RequestHostList()] if poll_due else []
        if kind is interface.HostListReceived and event.from_discovery:
            self.poll_due = False
            self.schedule.on_answer()
        return self.event_handler.handle(now, event, received_until)
