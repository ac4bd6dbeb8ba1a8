"""What operators ask of a process that talks with others: who is a member, which hosts are out and why."""

import http.client
import json
import sys
from typing import NoReturn

import click

from ..console import calls
from ..protocol import catalogue

ADDRESS = click.argument("address", metavar="HOST:PORT")
SECONDS = click.option("--seconds", default=2.0, show_default=True, help="How long to wait for the answer.")
JSON = click.option("--json", "plain", is_flag=True, help="A JSON line for each, as the process tells it.")


def rows(address: str, seconds: float, what: str) -> list[dict]:
    """What the process at its second address tells; exits with 1 where it tells nothing."""
    method, path = calls.call(what)
    try:
        where, port = catalogue.address(address)
        connection = http.client.HTTPConnection(where, port, timeout=seconds)
        connection.request(method, path)
        answer = connection.getresponse()
        text = answer.read().decode()
        connection.close()
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    except (OSError, http.client.HTTPException) as fault:
        leave(f"no answer from {address}: {fault}")
    if answer.status != 200:
        leave(text.strip())
    return [json.loads(line) for line in text.splitlines() if line]


def leave(why: str) -> NoReturn:
    click.echo(f"basalthook: {why}", err=True)
    sys.exit(1)


def show(found: list[dict], plain: bool, title: str, columns: tuple[str, ...], cells) -> None:
    if plain:
        for row in found:
            click.echo(json.dumps(row))
        return
    from rich.console import Console  # loaded only here
    from rich.table import Table

    table = Table(*columns, title=title)
    for row in found:
        table.add_row(*cells(row))
    Console().print(table)


@click.command()
@ADDRESS
@SECONDS
@JSON
def members(address: str, seconds: float, plain: bool) -> None:
    """Who the process with its second address at HOST:PORT holds for alive, suspect or dead."""
    found = rows(address, seconds, calls.MEMBERS)
    living = sum(row["state"] != "dead" for row in found)
    show(
        found,
        plain,
        f"{living} live of {len(found)}",
        ("name", "address", "state", "suspected by", "life"),
        lambda row: (
            row["name"] + (" (this)" if row["this"] else ""),
            row["address"],
            row["state"],
            ", ".join(row["suspected_by"]),
            f"{row['life']}.{row['incarnation']}",
        ),
    )


def evidence(row: dict) -> str:
    """Who says what of a host, and how old that is against how long it counts; a line each."""
    words = [
        f"{w['by']}: {w['late']} late, {w['lost']} lost, {w['errors']} errors, {w['answers']} answers; "
        f"{w['age_ms'] / 1000:.1f} of {w['life_ms'] / 1000:.0f} s"
        for w in row["words"]
    ]
    tried = [
        f"{t['by']}: trial {t['round']} {t['phase']}; {t['age_ms'] / 1000:.1f} of {t['life_ms'] / 1000:.0f} s"
        for t in row["trials"]
    ]
    return "\n".join(words + tried)


@click.command()
@ADDRESS
@SECONDS
@JSON
def verdicts(address: str, seconds: float, plain: bool) -> None:
    """Which hosts are out or on their way back, why, who says so, and how old that is against its life."""
    found = rows(address, seconds, calls.VERDICTS)
    show(
        found,
        plain,
        f"{len(found)} hosts",
        ("host", "state", "since", "why", "by", "what is told"),
        lambda row: (
            row["host"],
            row["state"],
            f"{row['since_ms'] / 1000:.1f} s",
            row["reason"],
            ", ".join(row["by"]),
            evidence(row),
        ),
    )


@click.command()
@click.argument("what", metavar="HOST:PORT | explain")
@click.argument("path", metavar="[FILE]", required=False, type=click.Path(dir_okay=False))
@click.option("--proxies", default=2, show_default=True, help="With explain: how many proxies there are.")
@click.option("--hard-limit", default=2.0, show_default=True, help="With explain: the longest, in seconds.")
@SECONDS
@JSON
def limits(what: str, path: str | None, proxies: int, hard_limit: float, seconds: float, plain: bool) -> None:
    """This proxy's part of each limit, its age, and what it refused; or, with `explain FILE`, what is
    promised of the limits of a fleet file."""
    if what == "explain":
        explain(path, proxies, hard_limit, plain)
        return
    found = rows(what, seconds, calls.LIMITS)
    show(
        found,
        plain,
        f"{len(found)} limits",
        ("limit", "amount", "own", "lent", "age", "keeper", "refused"),
        lambda row: (
            row["limit"],
            f"{row['amount']:g}",
            str(row["own"]),
            str(row["lent"]),
            f"{row['age_ms'] / 1000:.1f} of {row['stale_ms'] / 1000:.1f} s",
            row["keeper"],
            str(row["refused"]),
        ),
    )


def explain(path: str | None, proxies: int, hard_limit: float, plain: bool) -> None:
    from ..config import fleet  # loaded only here
    from ..fleet import bounds

    if path is None:
        raise click.UsageError("explain: FILE is missing")
    try:
        told = fleet.read(path)
    except fleet.FleetFileError as fault:
        leave(str(fault))
    longest, found = int(hard_limit * bounds.TICKS_PER_SECOND), []
    for row in told.limits:
        limit = bounds.Limit(row.name, row.kind, row.amount, row.burst, (), row.over, row.floor)
        own = (
            f"{int(limit.floor * limit.amount)} places a host over all proxies"
            if limit.counts_places
            else f"{limit.own_token_rate(proxies)[0] * bounds.TICKS_PER_SECOND:g} a second each"
        )
        found.append(
            {
                "limit": limit.name,
                "kind": limit.kind,
                "amount": limit.amount,
                "lent": limit.lendable(),
                "own": own,
                "over_most": limit.max_excess(),
                "stale_s": limit.max_staleness() / bounds.TICKS_PER_SECOND,
                "unused_after_death_s": limit.unused_after_death(longest) / bounds.TICKS_PER_SECOND,
                "paused_after_keeper_s": limit.pause_after_leader_loss(longest) / bounds.TICKS_PER_SECOND,
            }
        )
    show(
        found,
        plain,
        f"{len(found)} limits before {proxies} proxies",
        (
            "limit",
            "amount",
            "lent by the keeper",
            "without a message",
            "over at most",
            "stale at most",
            "unused after a death",
            "no new grants after the keeper's",
        ),
        lambda row: (
            row["limit"],
            f"{row['amount']:g}",
            f"{row['lent']:g}",
            row["own"],
            f"{row['over_most']:.0%}",
            f"{row['stale_s']:.2f} s",
            f"{row['unused_after_death_s']:.2f} s",
            f"{row['paused_after_keeper_s']:.2f} s",
        ),
    )


COMMANDS = members, verdicts, limits
