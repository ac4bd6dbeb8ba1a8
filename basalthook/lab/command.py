"""What the command line asks of the lab."""

import time
from importlib.resources import files

import msgspec
from rich.console import Console

from . import decisions, processes, scenario, show, soak, timeline
from .result import Result
from .trial import play

LabError = scenario.ScenarioError


def run_trial(path: str | None, seed: int | None, seconds: float | None, out: str | None) -> bool:
    """Play a scenario against one proxy on loopback, show it; whether the four rules held."""
    loaded, console = read_scenario(path, seed, seconds), Console()
    console.print(show.describe(loaded), highlight=False)
    with show.LiveBoard(loaded, console) as board:
        result = play(loaded, board)
    return report(loaded, result, console, out)


def run_scenario(path: str, depth: str, seed: int | None, out: str | None) -> bool:
    """Play a scenario at a depth; whether the four rules held."""
    loaded, console = read_scenario(path, seed, None), Console()
    with console.status(f"{loaded.name}, depth {depth}"):
        result = {"decisions": decisions.play, "sockets": play, "processes": processes.play}[depth](loaded)
    return report(loaded, result, console, out)


def run_soak(first: int, count: int, minutes: float | None, out: str | None) -> bool:
    """Play the drawn days of these seeds one after the other, a line each; whether all kept the rules.

    `minutes`: no day begins after that; `out`: a file that takes one JSON object for all of it.
    """
    console, days = Console(), []
    until = None if minutes is None else time.monotonic() + minutes * 60
    for seed in range(first, first + count):
        if until is not None and time.monotonic() >= until:
            break
        days.append(run_soak_day(seed, console))
    broken = [day["seed"] for day in days if not day["kept"]]
    console.print(
        f"{len(days) - len(broken)} of {len(days)} days kept all rules; broken: {broken}", highlight=False
    )
    write_json(out, {"days": days, "broken": broken})
    return not broken


def run_soak_day(seed: int, console: Console) -> dict:
    """Plays one day and says how it went; of a broken one also how to play it again, and what led to it."""
    rigs: list[processes.Rig] = []
    result = processes.play(soak.drawn(seed), rigs)
    verdict, passed = result.verdict, result.verdict.passed and not result.faults
    answers = sum(verdict.answers.values())
    console.print(
        f"seed {seed}: {'kept' if passed else 'BROKEN'}, served {verdict.service:.3f}, {answers} answers",
        highlight=False,
    )
    lines = []
    if not passed:
        again = f"python -m basalthook lab soak --first {seed} --count 1"
        console.print(f"  {verdict.rules}, {verdict.first_violation}, {result.faults[:2]}", highlight=False)
        console.print(f"  again: {again}", highlight=False)
    if verdict.first_violation is not None:
        (rig,) = rigs
        lines = [
            str(line)
            for line in timeline.violation_timeline(verdict.first_violation, rig.wire, rig.said, rig.begin_at)
        ]
    for line in lines:
        console.print(f"  {line}", highlight=False, markup=False, soft_wrap=True)
    return {"seed": seed, "kept": passed, **result.to_json(), "timeline": lines}


def read_scenario(path: str | None, seed: int | None, seconds: float | None) -> scenario.Scenario:
    if path is None:
        built_in = files("basalthook.lab").joinpath("scenarios/try.toml")
        loaded = scenario.parse(built_in.read_text("utf-8"), "try.toml")
    else:
        loaded = scenario.load(path)
    given = {"seed": seed, "seconds": seconds}
    return msgspec.structs.replace(loaded, **{n: v for n, v in given.items() if v is not None})


def report(loaded: scenario.Scenario, result: Result, console: Console, out: str | None) -> bool:
    """Shown, and written as JSON whose names every depth of the lab gives."""
    show.print_summary(loaded, result, console)
    write_json(out, result.to_json())
    return result.verdict.passed


def write_json(out: str | None, loaded: dict) -> None:
    """As JSON, where a file is named."""
    if out is None:
        return
    try:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(loaded), indent=1) + b"\n")
    except OSError as fault:
        raise LabError(f"cannot write {out}: {fault.strerror}") from None
