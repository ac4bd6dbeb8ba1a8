"""Time that the decisions take by kind of event, at 10, 50 and 500 hosts.

    python -m benchmarks.decisions

Plays transactions against hosts that answer after 20 ms (150 ms where a queue waits), in virtual time and
without sockets, and prints a table of microseconds a call: median of rounds, by event. Only figures of one
run can be compared.
"""

import statistics
import sys
from heapq import heappop, heappush
from pathlib import Path
from time import perf_counter_ns

import click

EVENTS = ("TxArrived", "HopEnded", "TimerDue")  # column titles
TITLES = {"TxArrived": "TxArrived", "AttemptEnded": "HopEnded", "TimerDue": "TimerDue"}  # by event class


def play(count: int, transactions: int, waiting: bool) -> dict[str, float]:
    """Mean microseconds a call for one proxy before `count` hosts; `waiting` keeps its queue filled."""
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
        **({"second_copies": True} if "second_copies" in interface.PolicySettings._fields else {}),
    )  # older versions
    now, spent, calls, due = 1_000_000, dict.fromkeys(EVENTS, 0), dict.fromkeys(EVENTS, 0), []
    proxy = Proxy(settings, 1, now)
    hosts = tuple(
        interface.HostEntry(n, 7919 * (n + 1) ** 3, "north" if n % 2 else "south", n, True, 1.0, None)
        for n in range(count)
    )
    proxy.handle(now, interface.HostListReceived(hosts, True, True))
    out, attempts = [], {}

    def handle(event) -> None:
        begun = perf_counter_ns()
        effects = proxy.handle(now, event)
        spent[TITLES[type(event).__name__]] += perf_counter_ns() - begun
        calls[TITLES[type(event).__name__]] += 1
        for effect in effects:
            if isinstance(effect, interface.SendAttempt):
                attempt = attempts[effect.tx] = attempts.get(effect.tx, -1) + 1
                out.append((now + (1_500 if waiting else 200), effect.tx, attempt, effect.host, now))
            elif isinstance(effect, interface.SetTimer):
                heappush(due, (now + effect.delay, effect.timer_id))

    for tx in range(transactions):
        now += 16 if waiting else 4
        if waiting:
            proxy.slowdown = 2.0
        handle(interface.TxArrived(tx, tx % 2, tx * 31 % 2000, 20_000))
        while out and out[0][0] <= now:
            _, done, attempt, host, sent = out.pop(0)
            handle(interface.AttemptEnded(done, attempt, host, interface.COMMITTED, now - sent, True))
        while due and due[0][0] <= now:
            handle(interface.TimerDue(heappop(due)[1]))
    return {name: spent[name] / max(1, calls[name]) / 1000 for name in EVENTS}


@click.command()
@click.option("--tree", default=".", show_default=True, help="The tree whose decisions are measured.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--transactions", default=5_000, show_default=True)
def main(tree: str, rounds: int, transactions: int) -> None:
    """Measure the decisions by event and number of hosts."""
    sys.path.insert(0, str(Path(tree).resolve()))
    names = [name + more for more in ("", ", a line waits") for name in EVENTS]
    click.echo("| hosts | " + " | ".join(names) + " |")
    click.echo("| --- " * (1 + 2 * len(EVENTS)) + "|")
    for count in (10, 50, 500):
        cells = []
        for waiting in (False, True):
            found = [play(count, transactions, waiting) for _ in range(rounds)]
            cells += [f"{statistics.median(f[name] for f in found):.1f}" for name in EVENTS]
        click.echo(f"| {count} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
