"""The command line."""

import os
import sys
from typing import NoReturn

import click

from .. import VERSION
from ..protocol.application import HEALTH_PATH
from ..transport.event_loop import TimedSelector
from ..transport.event_loop import run as run_loop
from . import fleet_commands, operator_commands, startup
from .log import Log
from .reload import EarlyHangup
from .service import Service

FILE_OPTION = click.option(
    "--file",
    "path",
    envvar="RELAY_CONFIG",
    required=True,
    type=click.Path(dir_okay=False),
    help="The start-up file; by default what RELAY_CONFIG names.",
)
FLEET_OPTION = click.option(
    "--fleet",
    envvar="BASALTHOOK_FLEET",
    type=click.Path(dir_okay=False),
    help="The fleet file, if this process exchanges messages with others; by default BASALTHOOK_FLEET.",
)


@click.group()
def main() -> None:
    """A load balancer that runs as a proxy beside every client process."""


@main.command()
@FILE_OPTION
@FLEET_OPTION
def serve(path: str, fleet: str | None) -> None:
    """Run one client proxy in the foreground until SIGTERM; SIGHUP reloads the start-up file."""
    early_hangup = EarlyHangup()  # before the file is read, so that no SIGHUP is missed
    start_up = read_start_up(path, fleet)
    log = Log(start_up.name)
    try:
        selector = TimedSelector()
        run_loop(
            run(start_up, log, lambda: startup.read(path, os.environ, fleet), selector, early_hangup),
            selector,
        )
    except startup.StartUpError as error:
        exit_with_error(error)
    log.close()


async def run(
    start_up: startup.StartUp, log: Log, read_again, selector: TimedSelector, early_hangup: EarlyHangup
) -> None:
    await Service(start_up, log, read_again, selector, early_hangup).run()


@main.command()
@FILE_OPTION
@FLEET_OPTION
def check(path: str, fleet: str | None) -> None:
    """Read the start-up file and print a summary, without starting anything."""
    start_up = read_start_up(path, fleet)
    click.echo(
        f"{start_up.name}: listens on {start_up.listen[0]}:{start_up.listen[1]}, "
        f"discovery at {start_up.discovery[0]}:{start_up.discovery[1]}, "
        f"{len(start_up.known_hosts.records)} hosts known, {len(start_up.profiles)} profiles, "
        f"{start_up.sockets} descriptors"
    )
    if start_up.fleet is not None:
        click.echo(
            f"{start_up.fleet.name or start_up.name}: "
            f"talks on {start_up.fleet.listen[0]}:{start_up.fleet.listen[1]}, "
            f"{len(start_up.fleet.seeds)} seeds, {len(start_up.fleet.limits)} limits"
        )


@main.command()
@click.argument("address")
@click.option("--seconds", default=2.0, show_default=True, help="How long to wait for the answer.")
def health(address: str, seconds: float) -> None:
    """Ask a running client proxy at ADDRESS (host:port) whether it is ready; exit with 1 if it is not."""
    operator_commands.send_request(address, seconds, "GET", HEALTH_PATH)


@main.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.option("--output", type=click.Path(dir_okay=False), help="The new file; by default standard output.")
@click.option("--replace", is_flag=True, help="Overwrite the output file if it exists, also if it is OLD.")
@click.option("--drop-unknown", is_flag=True, help="Leave out fields that this program does not read.")
@click.option("--dry-run", is_flag=True, help="Print what would be done, and write nothing.")
@click.option("--listen", help="The address that clients of the pool connect to.")
@click.option("--balancers", type=int, help="Number of proxies in the pool.")
@click.option("--position", type=int, help="Position of this proxy in the pool, from 0.")
def migrate(
    old: str,
    output: str | None,
    replace: bool,
    drop_unknown: bool,
    dry_run: bool,
    listen: str | None,
    balancers: int | None,
    position: int | None,
) -> None:
    """Migrate the start-up file OLD to the new format: pushed host list, live weights.

    What was changed and what is left to decide goes to standard error. Exit code 0: done; 1: something is
    to be decided by hand; 2: nothing could be read or written.
    """
    from . import migrate as migration  # imported only here: `serve` does not need it

    overrides = {"listen": listen, "settings.balancers": balancers, "settings.position": position}
    try:
        migrated = migration.migrate(startup.load(old), {p: v for p, v in overrides.items() if v is not None})
        startup.decode(migrated.new, os.environ, old)
    except startup.StartUpError as error:
        exit_with_error(error)
    except ValueError as error:
        exit_with_error(startup.StartUpError(f"{old}: {error}"))
    for line in migrated.changes:
        click.echo(f"changed  {line}", err=True)
    for path in migrated.unknown:
        note = ", left out" if drop_unknown else ""
        click.echo(f"unknown  {path}: not read by this program{note}", err=True)
    for path, reason in migrated.manual_steps.items():
        click.echo(f"by hand  {path}: {reason}", err=True)
    if migrated.already_migrated:
        click.echo(f"basalthook: {old} has the new shape already; nothing is written", err=True)
        sys.exit(1 if migrated.unknown else 0)
    if migrated.unknown and not drop_unknown:
        click.echo("basalthook: nothing is written; --drop-unknown leaves these out", err=True)
        sys.exit(1)
    if not dry_run and output is None:
        click.echo(migration.to_json(migrated.new), nl=False)
    elif not dry_run:
        if os.path.exists(output) and not replace:
            exit_with_error(startup.StartUpError(f"{output} exists; --replace overwrites it"))
        try:
            migration.write(output, migrated.new)
        except OSError as error:
            exit_with_error(startup.StartUpError(f"cannot write {output}: {error.strerror}"))
    sys.exit(1 if migrated.manual_steps else 0)


@main.command("try")
@click.option("--scenario", type=click.Path(dir_okay=False), help="A scenario in place of the built-in one.")
@click.option("--seed", type=click.IntRange(0), help="Seed in place of the scenario's own.")
@click.option(
    "--seconds", type=click.FloatRange(1, 600), help="Duration in place of the scenario's; faults stay."
)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Also write the result to this file.")
def try_it(scenario: str | None, seed: int | None, seconds: float | None, out: str | None) -> None:
    """Run a proxy against simulated hosts on loopback: one is killed and restarted; a table shows the effect.

    Exit code 0: the four rules held; 3: one broke; 2: the scenario is bad.
    """
    run_in_lab(lambda command: command.run_trial(scenario, seed, seconds, out))


@main.group()
def lab() -> None:
    """Simulations of hosts, clients and faults; needs the extra [lab]."""


@lab.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option(
    "--depth",
    type=click.Choice(("decisions", "sockets", "processes")),
    default="decisions",
    show_default=True,
)
@click.option("--seed", type=click.IntRange(0), help="Seed in place of the scenario's own.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Also write the result to this file.")
def lab_run(scenario: str, depth: str, seed: int | None, out: str | None) -> None:
    """Run SCENARIO: the decisions of all its proxies in virtual time, one proxy on loopback sockets, or all
    of them as separate processes with faults between them.

    Exit code 0: the four rules held; 3: one broke; 2: the scenario is bad.
    """
    run_in_lab(lambda command: command.run_scenario(scenario, depth, seed, out))


@lab.command("soak")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--count", type=click.IntRange(1, 1000), default=50, show_default=True, help="Number of seeds.")
@click.option("--minutes", type=click.FloatRange(0, min_open=True), help="Start no day after this time.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Also write the results to this file.")
@click.option("--costly", is_flag=True, help="Add clients that cost memory or processor time.")
@click.option("--long-bodies", is_flag=True, help="Add keyed requests with long bodies, and slow hosts.")
def lab_soak(
    first: int, count: int, minutes: float | None, out: str | None, costly: bool, long_bodies: bool
) -> None:
    """Run short days of many faults at once on real processes, one drawn from each seed.

    For a day that breaks a rule, prints the command that repeats it and the timeline of the first violation.

    Exit code 0: all rules held; 3: one broke.
    """
    run_in_lab(lambda command: command.run_soak(first, count, minutes, out, costly, long_bodies))


def run_in_lab(start) -> NoReturn:
    """Imports the lab, as nothing else in the program does, and calls `start`; exit code 3: a rule broke."""
    try:
        from ..lab import command
    except ModuleNotFoundError as error:
        exit_with_error(
            startup.StartUpError(
                f"the lab needs {error.name}: install the extra [lab] (requirements-lab.txt)"
            )
        )
    try:
        passed = start(command)
    except command.LabError as error:
        exit_with_error(startup.StartUpError(str(error)))
    sys.exit(0 if passed else 3)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"basalthook {VERSION}")


for operator_command in (*operator_commands.COMMANDS, *fleet_commands.COMMANDS):
    main.add_command(operator_command)


def read_start_up(path: str, fleet: str | None = None) -> startup.StartUp:
    """Reads the start-up file and the fleet file, if any; exits with code 2 if they can't be used."""
    try:
        return startup.read(path, os.environ, fleet)
    except startup.StartUpError as error:
        exit_with_error(error)


def exit_with_error(error: startup.StartUpError) -> NoReturn:
    """Prints the error as one line and exits with code 2."""
    click.echo(f"basalthook: {error}", err=True)
    sys.exit(2)
