"""The command line."""
import http.client
import os
import sys
from typing import NoReturn

import click

from .. import VERSION
from ..protocol import catalogue
from ..protocol.application import HEALTH
from ..transport.turns import Turns
from ..transport.turns import run as run_loop
from . import startup
from .log import Log
from .service import Service

FILE = click.option("--file", "path", envvar="RELAY_CONFIG", required=True, type=click.Path(dir_okay=False),
                    help="The start-up file; by default what RELAY_CONFIG names.")


@click.group()
def main() -> None:
    """A load balancer that lives in every client process."""


@main.command()
@FILE
def serve(path: str) -> None:
    """Run one client proxy in the foreground until SIGTERM; SIGHUP takes the file over anew."""
    told = read(path)
    log = Log(told.name)
    try:
        turns = Turns()
        run_loop(run(told, log, lambda: startup.read(path, os.environ), turns), turns)
    except startup.BadStart as fault:
        leave(fault)
    log.close()


async def run(told: startup.StartUp, log: Log, reread, turns: Turns) -> None:
    await Service(told, log, reread, turns).run()


@main.command()
@FILE
def check(path: str) -> None:
    """Read the start-up file and say what it holds, without starting anything."""
    told = read(path)
    click.echo(f"{told.name}: listens on {told.listen[0]}:{told.listen[1]}, discovery at {told.discovery[0]}:"
               f"{told.discovery[1]}, {len(told.known.lines)} hosts known, {len(told.profiles)} profiles, "
               f"{told.sockets} descriptors")


@main.command()
@click.argument("address")
@click.option("--seconds", default=2.0, show_default=True, help="How long to wait for the answer.")
def health(address: str, seconds: float) -> None:
    """Ask a running client proxy at ADDRESS (host:port) whether it is ready; exit with 1 if it is not."""
    try:
        host, port = catalogue.address(address)
        connection = http.client.HTTPConnection(host, port, timeout=seconds)
        connection.request("GET", HEALTH)
        answer = connection.getresponse()
        text = answer.read().decode().strip()
        connection.close()
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    except (OSError, http.client.HTTPException) as fault:
        click.echo(f"basalthook: no answer from {address}: {fault}", err=True)
        sys.exit(1)
    click.echo(text)
    sys.exit(0 if answer.status == 200 else 1)


@main.command()
def version() -> None:
    """Say which version this is."""
    click.echo(f"basalthook {VERSION}")


def read(path: str) -> startup.StartUp:
    try:
        return startup.read(path, os.environ)
    except startup.BadStart as fault:
        leave(fault)


def leave(fault: startup.BadStart) -> NoReturn:
    click.echo(f"basalthook: {fault}", err=True)
    sys.exit(2)
