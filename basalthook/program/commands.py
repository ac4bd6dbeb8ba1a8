"""The command line."""

import os
import sys
from typing import NoReturn

import click

from .. import VERSION
from ..protocol.application import HEALTH_PATH
from ..transport.event_loop import TimedSelector
from ..transport.event_loop import run as run_loop
from . import fleetline, staffline, startup
from . import migrate as migration
from .log import Log
from .reload import EarlyHangup
from .service import Service

FILE = click.option(
    "--file",
    "path",
    envvar="RELAY_CONFIG",
    required=True,
    type=click.Path(dir_okay=False),
    help="The start-up file; by default what RELAY_CONFIG names.",
)
FLEET = click.option(
    "--fleet",
    envvar="BASALTHOOK_FLEET",
    type=click.Path(dir_okay=False),
    help="The fleet file, if this process talks with others; by default BASALTHOOK_FLEET.",
)


@click.group()
def main() -> None:
    """A load balancer that lives in every client process."""


@main.command()
@FILE
@FLEET
def serve(path: str, fleet: str | None) -> None:
    """Run one client proxy in the foreground until SIGTERM; SIGHUP takes the file over anew."""
    early = EarlyHangup()  # before the file is read
    told = read(path, fleet)
    log = Log(told.name)
    try:
        turns = TimedSelector()
        run_loop(run(told, log, lambda: startup.read(path, os.environ, fleet), turns, early), turns)
    except startup.BadStart as fault:
        leave(fault)
    log.close()


async def run(told: startup.StartUp, log: Log, reread, turns: TimedSelector, early: EarlyHangup) -> None:
    await Service(told, log, reread, turns, early).run()


@main.command()
@FILE
@FLEET
def check(path: str, fleet: str | None) -> None:
    """Read the start-up file and say what it holds, without starting anything."""
    told = read(path, fleet)
    click.echo(
        f"{told.name}: listens on {told.listen[0]}:{told.listen[1]}, discovery at {told.discovery[0]}:"
        f"{told.discovery[1]}, {len(told.known.records)} hosts known, {len(told.profiles)} profiles, "
        f"{told.sockets} descriptors"
    )
    if told.fleet is not None:
        click.echo(
            f"{told.fleet.name or told.name}: talks on {told.fleet.listen[0]}:{told.fleet.listen[1]}, "
            f"{len(told.fleet.seeds)} seeds, {len(told.fleet.limits)} limits"
        )


@main.command()
@click.argument("address")
@click.option("--seconds", default=2.0, show_default=True, help="How long to wait for the answer.")
def health(address: str, seconds: float) -> None:
    """Ask a running client proxy at ADDRESS (host:port) whether it is ready; exit with 1 if it is not."""
    staffline.ask(address, seconds, "GET", HEALTH_PATH)


@main.command()
@click.argument("old", type=click.Path(dir_okay=False))
@click.option("--output", type=click.Path(dir_okay=False), help="Where to; else standard output.")
@click.option("--replace", is_flag=True, help="Write even where the output exists, the old file included.")
@click.option("--drop-unknown", is_flag=True, help="Leave out names that this program does not read.")
@click.option("--dry-run", is_flag=True, help="Say what would be done, and change nothing.")
@click.option("--listen", help="The address that the pool's clients reach.")
@click.option("--balancers", type=int, help="How many proxies the pool has.")
@click.option("--position", type=int, help="This proxy's place in the pool, from 0.")
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
    """Turn the start-up file OLD into one of the new shape: a pushed list, weights that move with load.

    What was done and what could not be goes to standard error. Exit code 0: done; 1: something is to be
    decided by hand; 2: nothing could be read or written.
    """
    given = {"listen": listen, "settings.balancers": balancers, "settings.position": position}
    try:
        done = migration.migrate(startup.load(old), {p: v for p, v in given.items() if v is not None})
        startup.decode(done.new, os.environ, old)
    except startup.BadStart as fault:
        leave(fault)
    except ValueError as fault:
        leave(startup.BadStart(f"{old}: {fault}"))
    for line in done.carried:
        click.echo(f"changed  {line}", err=True)
    for path in done.unknown:
        gone = ", left out" if drop_unknown else ""
        click.echo(f"unknown  {path}: not read by this program{gone}", err=True)
    for path, why in done.by_hand.items():
        click.echo(f"by hand  {path}: {why}", err=True)
    if done.already:
        click.echo(f"basalthook: {old} is of the new shape already; nothing is written", err=True)
        sys.exit(1 if done.unknown else 0)
    if done.unknown and not drop_unknown:
        click.echo("basalthook: nothing is written; --drop-unknown leaves these out", err=True)
        sys.exit(1)
    if not dry_run and output is None:
        click.echo(migration.worded(done.new), nl=False)
    elif not dry_run:
        if os.path.exists(output) and not replace:
            leave(startup.BadStart(f"{output} exists; --replace writes over it"))
        try:
            migration.write(output, done.new)
        except OSError as fault:
            leave(startup.BadStart(f"cannot write {output}: {fault.strerror}"))
    sys.exit(1 if done.by_hand else 0)


@main.command("try")
@click.option("--scenario", type=click.Path(dir_okay=False), help="Another scenario than the built-in one.")
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's own.")
@click.option("--seconds", type=click.FloatRange(1, 600), help="In place of the scenario's own; faults stay.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the result there as well.")
def try_it(scenario: str | None, seed: int | None, seconds: float | None, out: str | None) -> None:
    """Play a proxy before stand-in hosts on loopback: a host is killed and comes back, a table shows it.

    Exit code 0: the four rules held; 3: one broke; 2: the scenario is bad.
    """
    in_lab(lambda command: command.trial(scenario, seed, seconds, out))


@main.group()
def lab() -> None:
    """The project's own model of hosts, clients and faults; needs the extra [lab]."""


@lab.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False))
@click.option(
    "--depth",
    type=click.Choice(("decisions", "sockets", "processes")),
    default="decisions",
    show_default=True,
)
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's own.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the result there as well.")
def lab_run(scenario: str, depth: str, seed: int | None, out: str | None) -> None:
    """Play SCENARIO: the decisions of all its proxies in virtual time, one proxy on loopback sockets, or all
    of them as processes of their own with faults between them.

    Exit code 0: the four rules held; 3: one broke; 2: the scenario is bad.
    """
    in_lab(lambda command: command.run(scenario, depth, seed, out))


@lab.command("soak")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--count", type=click.IntRange(1, 1000), default=50, show_default=True, help="How many seeds.")
@click.option("--minutes", type=click.FloatRange(0, min_open=True), help="No day begins after that.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the results there as well.")
def lab_soak(first: int, count: int, minutes: float | None, out: str | None) -> None:
    """Play short days of many faults at once on real processes, one drawn from each seed.

    Of a broken day the command that plays it again is shown, and the timeline of its first offence.

    Exit code 0: all rules held; 3: one broke.
    """
    in_lab(lambda command: command.soaked(first, count, minutes, out))


def in_lab(play) -> NoReturn:
    """The lab and what it needs are loaded here, and nowhere else in the program."""
    try:
        from ..lab import command
    except ModuleNotFoundError as fault:
        leave(startup.BadStart(f"the lab needs {fault.name}: install the extra [lab] (requirements-lab.txt)"))
    try:
        kept = play(command)
    except command.Failed as fault:
        leave(startup.BadStart(str(fault)))
    sys.exit(0 if kept else 3)


@main.command()
def version() -> None:
    """Say which version this is."""
    click.echo(f"basalthook {VERSION}")


for staffs in (*staffline.COMMANDS, *fleetline.COMMANDS):
    main.add_command(staffs)


def read(path: str, fleet: str | None = None) -> startup.StartUp:
    try:
        return startup.read(path, os.environ, fleet)
    except startup.BadStart as fault:
        leave(fault)


def leave(fault: startup.BadStart) -> NoReturn:
    click.echo(f"basalthook: {fault}", err=True)
    sys.exit(2)
