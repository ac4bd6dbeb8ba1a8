"""Terminal output of a trial: a live table while it runs, and a summary at its end."""

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


class LiveTable:
    """A live table of all hosts; an instance is the `on_progress` argument of `trial.run_scenario`."""

    def __init__(self, scenario: Scenario, console: Console) -> None:
        self.scenario, self.console, self.live = scenario, console, None

    def __enter__(self) -> "LiveTable":
        # without a terminal, a table that is redrawn would fill the output
        if self.console.is_terminal:
            self.live = Live(console=self.console, auto_refresh=False, transient=True)
            self.live.start()
        self.next_print_at = 0.0
        return self

    def __exit__(self, *_) -> None:
        if self.live is not None:
            self.live.stop()

    def __call__(self, seconds: float, fleet, clients, wire: list) -> None:
        """Redraws the table; without a terminal, prints a line every 5 s."""
        attempts, answers, sent_count = recent_counts(wire, clients.clock())
        p99_ms = clients.latency_us.get_value_at_percentile(99) / 1000
        line = (
            f"{min(seconds, self.scenario.seconds):4.0f} s of {self.scenario.seconds:.0f}   "
            f"asked {sent_count}/s   committed {answers[200]}/s   rolled back {answers[503]}/s   abandoned "
            f"{sum(answers.values()) - answers[200] - answers[503]}/s   p99 so far {p99_ms:.0f} ms"
        )
        if self.live is not None:
            self.live.update(Group(Text(line), self.hosts_table(fleet, attempts)), refresh=True)
        elif seconds >= self.next_print_at:
            self.next_print_at += 5
            self.console.print(line, highlight=False, soft_wrap=True)

    def hosts_table(self, fleet, attempts) -> Table:
        table = Table("host", "zone", "listed as", "state", "capacity", "held", "hops/s", "")
        now = fleet.clock()
        for host, machine in enumerate(fleet.machines):
            state = (
                "down"
                if not fleet.is_listening(host)
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
                f"host-{host}",
                fleet.zones[host],
                fleet.listed_states[host],
                Text(state, style),
                f"{machine.capacity(now):.1f}" if state != "down" else "-",
                str(machine.occupied_slots),
                str(attempts[host]),
                "#" * min(30, attempts[host] // 3),
            )
        return table


def print_summary(scenario: Scenario, result: Result, console: Console) -> None:
    """Prints a table of the result, the first violation and the first internal errors."""
    verdict = result.verdict
    table = Table(
        title=f"{scenario.name}: {sum(verdict.answers.values())} answers in {scenario.seconds:g} s, "
        f"seed {result.seed}",
        show_header=False,
    )
    table.add_row("answered within the service goal", f"{verdict.service:.2%}")
    if scenario.seconds > 10:
        table.add_row("  in the worst 10 s", f"{verdict.worst_10s:.2%}")
    for name, share in verdict.by_profile.items():
        table.add_row(f"  of {name}", f"{share:.2%}")
    table.add_row("committed, rolled back, abandoned", ", ".join(map(str, verdict.answers.values())))
    table.add_row(
        "latency from when due: " + ", ".join(result.latency),
        ", ".join(f"{ms:.0f}" for ms in result.latency.values()) + " ms",
    )
    if result.recovery:
        table.add_row(
            "back after each fault's end",
            ", ".join("never" if duration is None else f"{duration:.0f} s" for duration in result.recovery),
        )
    if len(result.attempts_by_host) <= 12:
        table.add_row(
            "hops by host", ", ".join(f"{n}: {count}" for n, count in result.attempts_by_host.items())
        )
    table.add_row("hops that ran more than once", str(verdict.repeated_runs))
    for rule, count in verdict.rules.items():
        outcome = Text(f"broken {count} times", "red") if count else Text("kept", "green")
        table.add_row(RULE_NAMES[rule], outcome)
    console.print(table)
    if verdict.first_violation is not None:
        violation = verdict.first_violation
        console.print(
            f"first violation: {violation.rule} at {violation.at:.3f}, host {violation.host}, "
            f"transaction {violation.tx}: {violation.why}",
            style="red",
            highlight=False,
        )
    for fault in result.faults[:3]:
        console.print(f"the program logged an internal error: {fault}", style="red", highlight=False)


def describe(scenario: Scenario) -> str:
    """One line that describes the scenario."""
    faults = "; ".join(
        f"{type(fault).__name__.lower()} host {', '.join(map(str, fault.hosts))} at {fault.at:g} s "
        f"for {fault.lasts:g} s"
        for fault in scenario.faults
        if fault.at < scenario.seconds
    )
    return (
        f"One proxy on loopback before {scenario.host_count} simulated hosts, "
        f"{scenario.load.rate:g} transactions a second for "
        f"{scenario.seconds:g} s. {faults.capitalize() or 'No fault'}."
    )
