"""What a person sees of a trial: a live table while it runs, a summary at its end."""

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from .result import Result
from .scenario import Scenario
from .trial import recent_counts

RULE_NAMES = {
    "lost": "no transaction lost",
    "doubled": "no effect twice",
    "drains": "drains kept",
    "pushed_over": "cold hosts not pushed over",
}


class LiveBoard:
    """Call it as `trial.play` calls its watcher."""

    def __init__(self, scenario: Scenario, console: Console) -> None:
        self.scenario, self.console, self.live = scenario, console, None

    def __enter__(self) -> "LiveBoard":
        # without a terminal a table that is drawn over and over is only noise
        if self.console.is_terminal:
            self.live = Live(console=self.console, auto_refresh=False, transient=True)
            self.live.start()
        self.next = 0.0
        return self

    def __exit__(self, *_) -> None:
        if self.live is not None:
            self.live.stop()

    def __call__(self, seconds: float, fleet, clients, wire: list) -> None:
        attempts, answers, asked = recent_counts(wire, clients.clock())
        p99 = clients.latency_us.get_value_at_percentile(99) / 1000
        line = (
            f"{min(seconds, self.scenario.seconds):4.0f} s of {self.scenario.seconds:.0f}   "
            f"asked {asked}/s   committed {answers[200]}/s   rolled back {answers[503]}/s   abandoned "
            f"{sum(answers.values()) - answers[200] - answers[503]}/s   p99 so far {p99:.0f} ms"
        )
        if self.live is not None:
            self.live.update(Group(Text(line), self.hosts(fleet, attempts)), refresh=True)
        elif seconds >= self.next:
            self.next += 5
            self.console.print(line, highlight=False, soft_wrap=True)

    def hosts(self, fleet, attempts) -> Table:
        table = Table("host", "zone", "listed as", "state", "capacity", "held", "hops/s", "")
        now = fleet.clock()
        for n, machine in enumerate(fleet.machines):
            state = (
                "down"
                if not fleet.is_listening(n)
                else "silent"
                if machine.silent
                else "slow"
                if machine.slowdown > 1
                else "cold"
                if machine.warmth(now) < 1
                else "up"
            )
            style = {"up": "green", "cold": "cyan", "down": "red"}.get(state, "yellow")
            table.add_row(
                f"host-{n}",
                fleet.zones[n],
                fleet.states[n],
                Text(state, style),
                f"{machine.capacity(now):.1f}" if state != "down" else "-",
                str(machine.occupied_slots),
                str(attempts[n]),
                "#" * min(30, attempts[n] // 3),
            )
        return table


def print_summary(scenario: Scenario, result: Result, console: Console) -> None:
    verdict = result.verdict
    table = Table(
        title=f"{scenario.name}: {sum(verdict.answers.values())} answers in {scenario.seconds:g} s, "
        f"seed {result.seed}",
        show_header=False,
    )
    table.add_row("answered within the service goal", f"{verdict.service:.2%}")
    if scenario.seconds > 10:
        table.add_row("  in the worst 10 s", f"{verdict.worst_10s:.2%}")
    for name, part in verdict.by_profile.items():
        table.add_row(f"  of {name}", f"{part:.2%}")
    table.add_row("committed, rolled back, abandoned", ", ".join(map(str, verdict.answers.values())))
    table.add_row(
        "latency from when due: " + ", ".join(result.latency),
        ", ".join(f"{ms:.0f}" for ms in result.latency.values()) + " ms",
    )
    if result.recovery:
        table.add_row(
            "back after each fault's end",
            ", ".join("never" if s is None else f"{s:.0f} s" for s in result.recovery),
        )
    if len(result.attempts_by_host) <= 12:
        table.add_row(
            "hops by host", ", ".join(f"{n}: {count}" for n, count in result.attempts_by_host.items())
        )
    table.add_row("hops that ran more than once", str(verdict.repeated_runs))
    for rule, count in verdict.rules.items():
        said = Text(f"broken {count} times", "red") if count else Text("kept", "green")
        table.add_row(RULE_NAMES[rule], said)
    console.print(table)
    if verdict.first_violation is not None:
        first = verdict.first_violation
        console.print(
            f"first offence: {first.rule} at {first.at:.3f}, host {first.host}, "
            f"transaction {first.tx}: {first.why}",
            style="red",
            highlight=False,
        )
    for fault in result.faults[:3]:
        console.print(f"the program's log tells of a fault: {fault}", style="red", highlight=False)


def describe(scenario: Scenario) -> str:
    """One line on what will be seen."""
    faults = "; ".join(
        f"{type(f).__name__.lower()} host {', '.join(map(str, f.hosts))} at {f.at:g} s for {f.lasts:g} s"
        for f in scenario.faults
        if f.at < scenario.seconds
    )
    return (
        f"One proxy on loopback before {scenario.host_count} simulated hosts, "
        f"{scenario.load.rate:g} transactions a second for "
        f"{scenario.seconds:g} s. {faults.capitalize() or 'No fault'}."
    )
