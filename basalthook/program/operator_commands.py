"""Commands for operators; each is one call to the admin address of a running client proxy."""

import sys
from typing import NoReturn

import click

from ..console import admin_api
from . import admin_client

CONSOLE_OPTION = click.option(
    "--console",
    "address",
    envvar="RELAY_CONSOLE",
    required=True,
    metavar="HOST:PORT",
    help="The proxy's second address; by default what RELAY_CONSOLE names.",
)
SECONDS_OPTION = click.option(
    "--seconds", default=2.0, show_default=True, help="How long to wait for the answer."
)


def send_request(address: str, seconds: float, method: str, path: str) -> NoReturn:
    """Prints the response. Exit code 0: success; 1: refused or no response."""
    answer = admin_client.call(address, seconds, method, path)
    click.echo(answer.text)
    sys.exit(0 if 200 <= answer.status < 300 else 1)


def send_command(address: str, seconds: float, action: str, host: str = "") -> NoReturn:
    """Sends an operator's action, on `host` if it is about one; does not return."""
    send_request(address, seconds, *admin_api.request_line(action, host))


def simple_command(name: str, action: str, help_text: str) -> click.Command:
    """A command without arguments."""

    @click.command(name, help=help_text)
    @CONSOLE_OPTION
    @SECONDS_OPTION
    def run(address: str, seconds: float) -> None:
        send_command(address, seconds, action)

    return run


def host_command(name: str, action: str, help_text: str) -> click.Command:
    """A command whose argument is a host's id."""

    @click.command(name, help=help_text)
    @click.argument("host")
    @CONSOLE_OPTION
    @SECONDS_OPTION
    def run(host: str, address: str, seconds: float) -> None:
        send_command(address, seconds, action, host)

    return run


host = click.Group(
    "host",
    help="Take hosts out of service for maintenance, and return them.",
    commands=[
        host_command(
            "disable", admin_api.DISABLE, "Take HOST (its id in the list) out of service until it is enabled."
        ),
        host_command(
            "enable", admin_api.ENABLE, "Return HOST to service; it counts as restarted, and so as cold."
        ),
        simple_command("list", admin_api.HOSTS, "List all known hosts, one JSON line each."),
    ],
)
COMMANDS = (
    host,
    simple_command("drain", admin_api.DRAIN, "Send clients away; the process keeps running."),
    simple_command("resume", admin_api.RESUME, "Accept clients again after a drain."),
    simple_command("ready", admin_api.READY, "Ask whether the process is ready to serve."),
)
