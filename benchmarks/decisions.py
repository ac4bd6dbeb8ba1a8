"""Time that the routing policy takes for each kind of event, with 10, 50 and 500 hosts.

    python -m benchmarks.decisions

Replays transactions in simulated time and without sockets; hosts answer after 20 ms, or after 150 ms in the
runs where transactions wait in the proxy's queue. Prints a table of microseconds per call: the median over
the rounds, by event. Only columns, and versions of the project, of one run are comparable.
"""

import statistics
import sys
from heapq import heappop, heappush
from pathlib import Path
from time import perf_counter_ns

import click

EVENTS = ("TxArrived", "HopEnded", "TimerDue")  # column titles
TITLES = {"TxArrived": "TxArrived", "AttemptEnded": "HopEnded", "TimerDue": "TimerDue"}  # by event class


def time_events(host_count: int, transactions: int, queued: bool) -> dict[str, float]:
    """Return the mean microseconds per call by column title, for one proxy with `host_count` hosts.

    With `queued`, the proxy's slowdown is held at 2: hosts count as busy, and transactions wait in its queue.
    """
    from basalthook.policy import interface
    from basalthook.policy.decide import Proxy

    kinds = interface.IDEMPOTENT, interface.NON_IDEMPOTENT
    profiles = tuple(interface.Profile(kind, interface.EVERYWHERE, 0, 5_000) for kind in kinds)
    settings = interface.PolicySettings(
        profiles=profiles,
        position=0,
        proxies=4,
        zone="north",
        cross_zone_price=0.01,
        warm_keys=True,
        list_on_request=True,
        list_poll_interval=100_000,
        slow_start_share=0.2,
        slow_start_time=200_000,
        overload_factor=2.5,
        overload_time=30_000,
        max_attempts=3,
        can_cancel=True,
        max_retry_after=20_000,
        # a setting that only older versions of the policy have
        **({"second_copies": True} if "second_copies" in interface.PolicySettings._fields else {}),
    )
    # simulated time in ticks of 0.1 ms; the timers are a heap of (time, timer id)
    now, elapsed_ns, calls, timers = 1_000_000, dict.fromkeys(EVENTS, 0), dict.fromkeys(EVENTS, 0), []
    proxy = Proxy(settings, 1, now)
    hosts = tuple(
        interface.HostEntry(n, 7919 * (n + 1) ** 3, "north" if n % 2 else "south", n, True, 1.0, None)
        for n in range(host_count)
    )
    proxy.handle(now, interface.HostListReceived(hosts, True, True))
    open_attempts, attempt_numbers = [], {}

    def handle(event) -> None:
        started = perf_counter_ns()
        effects = proxy.handle(now, event)
        elapsed_ns[TITLES[type(event).__name__]] += perf_counter_ns() - started
        calls[TITLES[type(event).__name__]] += 1
        for effect in effects:
            if isinstance(effect, interface.SendAttempt):
                attempt = attempt_numbers[effect.tx] = attempt_numbers.get(effect.tx, -1) + 1
                open_attempts.append((now + (1_500 if queued else 200), effect.tx, attempt, effect.host, now))
            elif isinstance(effect, interface.SetTimer):
                heappush(timers, (now + effect.delay, effect.timer_id))

    for tx in range(transactions):
        now += 16 if queued else 4
        if queued:
            proxy.slowdown = 2.0
        handle(interface.TxArrived(tx, tx % 2, tx * 31 % 2000, 20_000))
        while open_attempts and open_attempts[0][0] <= now:
            _, ended_tx, attempt, host, sent_at = open_attempts.pop(0)
            handle(interface.AttemptEnded(ended_tx, attempt, host, interface.COMMITTED, now - sent_at, True))
        while timers and timers[0][0] <= now:
            handle(interface.TimerDue(heappop(timers)[1]))
    return {title: elapsed_ns[title] / max(1, calls[title]) / 1000 for title in EVENTS}


@click.command()
@click.option("--tree", default=".", show_default=True, help="Source tree whose policy is measured.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--transactions", default=5_000, show_default=True)
def main(tree: str, rounds: int, transactions: int) -> None:
    """Measure the policy's time per call by event and number of hosts."""
    sys.path.insert(0, str(Path(tree).resolve()))
    columns = [title + suffix for suffix in ("", ", a line waits") for title in EVENTS]
    click.echo("| hosts | " + " | ".join(columns) + " |")
    click.echo("| --- " * (1 + 2 * len(EVENTS)) + "|")
    for host_count in (10, 50, 500):
        cells = []
        for queued in (False, True):
            results = [time_events(host_count, transactions, queued) for _ in range(rounds)]
            cells += [f"{statistics.median(result[title] for result in results):.1f}" for title in EVENTS]
        click.echo(f"| {host_count} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
