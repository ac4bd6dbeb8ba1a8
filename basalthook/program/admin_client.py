"""One HTTP call to a running client proxy, for the commands of operators."""

import sys
from typing import NamedTuple, NoReturn

import click

from ..protocol import catalogue


class AdminAnswer(NamedTuple):
    """The answer of a running process."""

    status: int
    text: str


def call(address: str, seconds: float, method: str, path: str) -> AdminAnswer:
    """Call a process at this address (host:port); exits with code 1 if there is no answer in `seconds`.

    Raises click.UsageError for an address that is none.
    """
    import http.client  # imported only here: `serve` does not need it

    try:
        host_name, port = catalogue.parse_address(address)
        connection = http.client.HTTPConnection(host_name, port, timeout=seconds)
        connection.request(method, path)
        response = connection.getresponse()
        text = response.read().decode()
        connection.close()
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    except (OSError, http.client.HTTPException) as error:
        fail(f"no answer from {address}: {error}")
    return AdminAnswer(response.status, text.strip())


def fail(reason: str) -> NoReturn:
    """Print the reason as one line and exit with code 1."""
    click.echo(f"basalthook: {reason}", err=True)
    sys.exit(1)
