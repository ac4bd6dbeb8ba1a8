"""Commands that show the fleet as one process sees it: members, verdicts on hosts, limits."""

import click
import orjson

from ..console import admin_api
from .admin_client import call, fail

ADDRESS_ARGUMENT = click.argument("address", metavar="HOST:PORT")
SECONDS_OPTION = click.option(
    "--seconds", default=2.0, show_default=True, help="How long to wait for the answer."
)
JSON_OPTION = click.option(
    "--json", "plain", is_flag=True, help="Print each row as a line of JSON, as the process returns it."
)


def fetch_rows(address: str, seconds: float, action: str) -> list[dict]:
    """The rows that the process returns at its admin address; exits with code 1 if there is no response."""
    answer = call(address, seconds, *admin_api.request_line(action))
    if answer.status != 200:
        fail(answer.text)
    return [orjson.loads(line) for line in answer.text.splitlines() if line]


def print_rows(rows: list[dict], plain: bool, title: str, columns: tuple[str, ...], cells) -> None:
    """Prints rows as a table, or as lines of JSON if `plain`. `cells(row)`: the row's table cells."""
    if plain:
        import json  # imported only here, as is `rich`

        for row in rows:
            click.echo(json.dumps(row))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns, title=title)
    for row in rows:
        table.add_row(*cells(row))
    Console().print(table)


@click.command()
@ADDRESS_ARGUMENT
@SECONDS_OPTION
@JSON_OPTION
def members(address: str, seconds: float, plain: bool) -> None:
    """List the members that the process with its second address at HOST:PORT sees, with their states."""
    rows = fetch_rows(address, seconds, admin_api.MEMBERS)
    alive = sum(row["state"] != "dead" for row in rows)
    print_rows(
        rows,
        plain,
        f"{alive} live of {len(rows)}",
        ("name", "address", "state", "suspected by", "life"),
        lambda row: (
            row["name"] + (" (this)" if row["this"] else ""),
            row["address"],
            row["state"],
            ", ".join(row["suspected_by"]),
            f"{row['life']}.{row['incarnation']}",
        ),
    )


def format_evidence(row: dict) -> str:
    """The evidence of each member on a host, with its age and how long it is valid; a line each."""
    evidence = [
        f"{report['by']}: {report['late']} late, {report['lost']} lost, {report['errors']} errors, "
        f"{report['answers']} answers; "
        f"{report['age_ms'] / 1000:.1f} of {report['life_ms'] / 1000:.0f} s"
        for report in row["words"]
    ]
    trials = [
        f"{trial['by']}: trial {trial['round']} {trial['phase']}; "
        f"{trial['age_ms'] / 1000:.1f} of {trial['life_ms'] / 1000:.0f} s"
        for trial in row["trials"]
    ]
    return "\n".join(evidence + trials)


@click.command()
@ADDRESS_ARGUMENT
@SECONDS_OPTION
@JSON_OPTION
def verdicts(address: str, seconds: float, plain: bool) -> None:
    """List the hosts that are out or returning: the reason, and the evidence of each member with its age."""
    rows = fetch_rows(address, seconds, admin_api.VERDICTS)
    print_rows(
        rows,
        plain,
        f"{len(rows)} hosts",
        ("host", "state", "since", "why", "by", "evidence"),
        lambda row: (
            row["host"],
            row["state"],
            f"{row['since_ms'] / 1000:.1f} s",
            row["reason"],
            ", ".join(row["by"]),
            format_evidence(row),
        ),
    )


@click.command()
@click.argument("what", metavar="HOST:PORT | explain")
@click.argument("path", metavar="[FILE]", required=False, type=click.Path(dir_okay=False))
@click.option("--proxies", default=2, show_default=True, help="With explain: number of proxies.")
@click.option(
    "--hard-limit",
    default=2.0,
    show_default=True,
    help="With explain: the longest hard limit of a profile, in seconds.",
)
@SECONDS_OPTION
@JSON_OPTION
def limits(what: str, path: str | None, proxies: int, hard_limit: float, seconds: float, plain: bool) -> None:
    """Show this proxy's share of each limit, its age, and how much it refused.

    With `explain FILE`: the guarantees of the limits in a fleet file.
    """
    if what == "explain":
        explain(path, proxies, hard_limit, plain)
        return
    rows = fetch_rows(what, seconds, admin_api.LIMITS)
    print_rows(
        rows,
        plain,
        f"{len(rows)} limits",
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
    """Prints what each limit in the fleet file guarantees."""
    from ..config import fleet  # imported only here
    from ..fleet import bounds

    if path is None:
        raise click.UsageError("explain: FILE is missing")
    try:
        config = fleet.read(path)
    except fleet.FleetFileError as error:
        fail(str(error))
    hard_limit_ticks, rows = int(hard_limit * bounds.TICKS_PER_SECOND), []
    for entry in config.limits:
        limit = bounds.Limit(entry.name, entry.kind, entry.amount, entry.burst, (), entry.over, entry.floor)
        own = (
            f"{int(limit.floor * limit.amount)} places a host over all proxies"
            if limit.counts_places
            else f"{limit.own_token_rate(proxies)[0] * bounds.TICKS_PER_SECOND:g} a second each"
        )
        rows.append(
            {
                "limit": limit.name,
                "kind": limit.kind,
                "amount": limit.amount,
                "lent": limit.lendable(),
                "own": own,
                "over_most": limit.max_excess(),
                "stale_s": limit.max_staleness() / bounds.TICKS_PER_SECOND,
                "unused_after_death_s": limit.unused_after_death(hard_limit_ticks) / bounds.TICKS_PER_SECOND,
                "paused_after_keeper_s": limit.pause_after_leader_loss(hard_limit_ticks)
                / bounds.TICKS_PER_SECOND,
            }
        )
    print_rows(
        rows,
        plain,
        f"{len(rows)} limits for {proxies} proxies",
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
