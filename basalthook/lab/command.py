"""The lab's side of the command line; functions return whether all rules held.

A scenario or an output file that can't be used raises LabError.
"""

import time
from importlib.resources import files

import msgspec
from rich.console import Console

from . import decisions, processes, scenario, show, soak, timeline
from .result import Result
from .trial import run_scenario as run_on_sockets

LabError = scenario.ScenarioError


def run_trial(path: str | None, seed: int | None, seconds: float | None, output_path: str | None) -> bool:
    """Runs a scenario with one proxy on loopback and shows it live.

    `path`: None for the built-in scenario; `seed` and `seconds` override those of the scenario.
    """
    loaded, console = read_scenario(path, seed, seconds), Console()
    console.print(show.describe(loaded), highlight=False)
    with show.LiveTable(loaded, console) as live_table:
        result = run_on_sockets(loaded, live_table)
    return report(loaded, result, console, output_path)


def run_scenario(path: str, depth: str, seed: int | None, output_path: str | None) -> bool:
    """Runs a scenario at depth `decisions`, `sockets` or `processes`."""
    loaded, console = read_scenario(path, seed, None), Console()
    with console.status(f"{loaded.name}, depth {depth}"):
        result = {
            "decisions": decisions.run_scenario,
            "sockets": run_on_sockets,
            "processes": processes.run_scenario,
        }[depth](loaded)
    return report(loaded, result, console, output_path)


def run_soak(
    first: int,
    count: int,
    minutes: float | None,
    output_path: str | None,
    costly: bool = False,
    long_bodies: bool = False,
) -> bool:
    """Runs the random scenarios of these seeds one after the other and prints a line for each.

    `minutes`: no scenario starts after this time; `output_path`: a file for one JSON object with all results.
    """
    console, outcomes = Console(), []
    deadline = None if minutes is None else time.monotonic() + minutes * 60
    for seed in range(first, first + count):
        if deadline is not None and time.monotonic() >= deadline:
            break
        outcomes.append(run_soak_scenario(seed, console, costly, long_bodies))
    failed_seeds = [outcome["seed"] for outcome in outcomes if not outcome["kept"]]
    console.print(
        f"{len(outcomes) - len(failed_seeds)} of {len(outcomes)} days kept all rules; broken: {failed_seeds}",
        highlight=False,
    )
    write_json(output_path, {"days": outcomes, "broken": failed_seeds})
    return not failed_seeds


def run_soak_scenario(seed: int, console: Console, costly: bool = False, long_bodies: bool = False) -> dict:
    """Runs the random scenario of a seed and prints its outcome.

    After a failure it also prints how to repeat it and a timeline.
    """
    rigs: list[processes.Rig] = []
    result = processes.run_scenario(soak.draw_scenario(seed, costly, long_bodies), rigs)
    verdict, passed = result.verdict, result.verdict.passed and not result.faults
    answers = sum(verdict.answers.values())
    console.print(
        f"seed {seed}: {'kept' if passed else 'BROKEN'}, served {verdict.service:.3f}, {answers} answers",
        highlight=False,
    )
    lines = []
    if not passed:
        option = " --costly" * costly + " --long-bodies" * long_bodies
        repeat_command = f"python -m basalthook lab soak --first {seed} --count 1{option}"
        console.print(f"  {verdict.rules}, {verdict.first_violation}, {result.faults[:2]}", highlight=False)
        console.print(f"  again: {repeat_command}", highlight=False)
    if verdict.first_violation is not None:
        (rig,) = rigs
        lines = [
            str(line)
            for line in timeline.violation_timeline(
                verdict.first_violation, rig.wire, rig.log_events, rig.begin_at
            )
        ]
    for line in lines:
        console.print(f"  {line}", highlight=False, markup=False, soft_wrap=True)
    return {"seed": seed, "kept": passed, **result.to_json(), "timeline": lines}


def read_scenario(path: str | None, seed: int | None, seconds: float | None) -> scenario.Scenario:
    """The scenario of a file, or the built-in one, with the overrides applied."""
    if path is None:
        built_in = files("basalthook.lab").joinpath("scenarios/try.toml")
        loaded = scenario.parse(built_in.read_text("utf-8"), "try.toml")
    else:
        loaded = scenario.load(path)
    overrides = {"seed": seed, "seconds": seconds}
    return msgspec.structs.replace(
        loaded, **{name: value for name, value in overrides.items() if value is not None}
    )


def report(loaded: scenario.Scenario, result: Result, console: Console, output_path: str | None) -> bool:
    """Prints a result and writes it as JSON, which has the same keys at every depth."""
    show.print_summary(loaded, result, console)
    write_json(output_path, result.to_json())
    return result.verdict.passed


def write_json(output_path: str | None, content: dict) -> None:
    """Writes JSON to a file, if one is given."""
    if output_path is None:
        return
    try:
        with open(output_path, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(content), indent=1) + b"\n")
    except OSError as error:
        raise LabError(f"cannot write {output_path}: {error.strerror}") from None
