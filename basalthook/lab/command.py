"""What the command line asks of the lab."""

from importlib.resources import files

import msgspec
from rich.console import Console

from . import decisions, processes, scenario, show, soak
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


def soaked(first: int, count: int) -> bool:
    """Play the drawn days of these seeds one after the other, a line each; whether all kept the rules."""
    console, broken = Console(), []
    for seed in range(first, first + count):
        found = processes.play(soak.drawn(seed))
        verdict = found.verdict
        bad = not verdict.kept or found.faults
        console.print(
            f"seed {seed}: {'BROKEN' if bad else 'kept'}, served {verdict.service:.3f}, "
            f"{sum(verdict.answers.values())} answers",
            highlight=False,
        )
        if bad:
            broken.append(seed)
            console.print(f"  {verdict.rules}, {verdict.first}, {found.faults[:2]}", highlight=False)
    console.print(f"{count - len(broken)} of {count} days kept all rules; broken: {broken}", highlight=False)
    return not broken


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
    if out is not None:
        try:
            with open(out, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(found.told()), indent=1) + b"\n")
        except OSError as fault:
            raise Failed(f"cannot write {out}: {fault.strerror}") from None
    return found.verdict.kept
