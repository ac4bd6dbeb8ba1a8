"""What the command line asks of the lab."""

import time
from importlib.resources import files

import msgspec
from rich.console import Console

from . import decisions, processes, scenario, show, soak, timeline
from .result import Result
from .trial import play

Failed = scenario.BadScenario


def trial(path: str | None, seed: int | None, seconds: float | None, out: str | None) -> bool:
    """Play a scenario against one proxy on loopback, show it; whether the four rules held."""
    told, console = read(path, seed, seconds), Console()
    console.print(show.told_of(told), highlight=False)
    with show.Board(told, console) as board:
        found = play(told, board)
    return said(told, found, console, out)


def run(path: str, depth: str, seed: int | None, out: str | None) -> bool:
    """Play a scenario at a depth; whether the four rules held."""
    told, console = read(path, seed, None), Console()
    with console.status(f"{told.name}, depth {depth}"):
        found = {"decisions": decisions.play, "sockets": play, "processes": processes.play}[depth](told)
    return said(told, found, console, out)


def soaked(first: int, count: int, minutes: float | None, out: str | None) -> bool:
    """Play the drawn days of these seeds one after the other, a line each; whether all kept the rules.

    `minutes`: no day begins after that; `out`: a file that takes one JSON object for all of it.
    """
    console, days = Console(), []
    until = None if minutes is None else time.monotonic() + minutes * 60
    for seed in range(first, first + count):
        if until is not None and time.monotonic() >= until:
            break
        days.append(soaked_day(seed, console))
    broken = [day["seed"] for day in days if not day["kept"]]
    console.print(
        f"{len(days) - len(broken)} of {len(days)} days kept all rules; broken: {broken}", highlight=False
    )
    write(out, {"days": days, "broken": broken})
    return not broken


def soaked_day(seed: int, console: Console) -> dict:
    """Plays one day and says how it went; of a broken one also how to play it again, and what led to it."""
    rigs: list[processes.Rig] = []
    found = processes.play(soak.draw_scenario(seed), rigs)
    verdict, kept = found.verdict, found.verdict.kept and not found.faults
    answers = sum(verdict.answers.values())
    console.print(
        f"seed {seed}: {'kept' if kept else 'BROKEN'}, served {verdict.service:.3f}, {answers} answers",
        highlight=False,
    )
    lines = []
    if not kept:
        again = f"python -m basalthook lab soak --first {seed} --count 1"
        console.print(f"  {verdict.rules}, {verdict.first}, {found.faults[:2]}", highlight=False)
        console.print(f"  again: {again}", highlight=False)
    if verdict.first is not None:
        (rig,) = rigs
        lines = [
            str(line) for line in timeline.of_offence(verdict.first, rig.wire, rig.log_events, rig.begin_at)
        ]
    for line in lines:
        console.print(f"  {line}", highlight=False, markup=False, soft_wrap=True)
    return {"seed": seed, "kept": kept, **found.told(), "timeline": lines}


def read(path: str | None, seed: int | None, seconds: float | None) -> scenario.Scenario:
    if path is None:
        built_in = files("basalthook.lab").joinpath("scenarios/try.toml")
        told = scenario.parse(built_in.read_text("utf-8"), "try.toml")
    else:
        told = scenario.load(path)
    given = {"seed": seed, "seconds": seconds}
    return msgspec.structs.replace(told, **{n: v for n, v in given.items() if v is not None})


def said(told: scenario.Scenario, found: Result, console: Console, out: str | None) -> bool:
    """Shown, and written as JSON whose names every depth of the lab gives."""
    show.summary(told, found, console)
    write(out, found.told())
    return found.verdict.kept


def write(out: str | None, told: dict) -> None:
    """As JSON, where a file is named."""
    if out is None:
        return
    try:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(told), indent=1) + b"\n")
    except OSError as fault:
        raise Failed(f"cannot write {out}: {fault.strerror}") from None
