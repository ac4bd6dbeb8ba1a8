"""The command line."""
import asyncio
import os
import sys

import click

from .. import VERSION
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
    """Run one client proxy in the foreground until SIGTERM."""
    told = read(path)
    log = Log(told.name)
    asyncio.run(run(told, log))
    log.close()


async def run(told: startup.StartUp, log: Log) -> None:
    await Service(told, log).run()


@main.command()
def version() -> None:
    """Say which version this is."""
    click.echo(f"basalthook {VERSION}")


def read(path: str) -> startup.StartUp:
    try:
        return startup.read(path, os.environ)
    except startup.BadStart as fault:
        click.echo(f"basalthook: {fault}", err=True)
        sys.exit(2)
