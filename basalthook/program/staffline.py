"""The staff's commands: each is one call to the second address of a running client proxy."""

import http.client
import sys
from typing import NoReturn

import click

from ..console import admin_api
from ..protocol import catalogue

CONSOLE = click.option(
    "--console",
    "address",
    envvar="RELAY_CONSOLE",
    required=True,
    metavar="HOST:PORT",
    help="The proxy's second address; by default what RELAY_CONSOLE names.",
)
SECONDS = click.option("--seconds", default=2.0, show_default=True, help="How long to wait for the answer.")


def ask(address: str, seconds: float, method: str, path: str) -> NoReturn:
    """Say what was answered; exit code 0: yes, 1: no, or no answer."""
    try:
        where, port = catalogue.parse_address(address)
        connection = http.client.HTTPConnection(where, port, timeout=seconds)
        connection.request(method, path)
        answer = connection.getresponse()
        text = answer.read().decode().strip()
        connection.close()
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    except (OSError, http.client.HTTPException) as fault:
        click.echo(f"basalthook: no answer from {address}: {fault}", err=True)
        sys.exit(1)
    click.echo(text)
    sys.exit(0 if 200 <= answer.status < 300 else 1)


def make(address: str, seconds: float, what: str, host: str = "") -> NoReturn:
    ask(address, seconds, *admin_api.request_line(what, host))


def command(name: str, what: str, help_: str) -> click.Command:
    @click.command(name, help=help_)
    @CONSOLE
    @SECONDS
    def run(address: str, seconds: float) -> None:
        make(address, seconds, what)

    return run


def host_command(name: str, what: str, help_: str) -> click.Command:
    @click.command(name, help=help_)
    @click.argument("host")
    @CONSOLE
    @SECONDS
    def run(host: str, address: str, seconds: float) -> None:
        make(address, seconds, what, host)

    return run


host = click.Group(
    "host",
    help="Take hosts out for maintenance, and put them back.",
    commands=[
        host_command(
            "disable", admin_api.DISABLE, "Take HOST (its id in the list) out, until it is put back."
        ),
        host_command("enable", admin_api.ENABLE, "Put HOST back; it counts as restarted, and so as cold."),
        command("list", admin_api.HOSTS, "Every host known, one JSON line each."),
    ],
)
COMMANDS = (
    host,
    command("drain", admin_api.DRAIN, "Send clients away: the process runs on."),
    command("resume", admin_api.RESUME, "Back to work after a drain."),
    command("ready", admin_api.READY, "Ask whether the process is ready to serve."),
)
