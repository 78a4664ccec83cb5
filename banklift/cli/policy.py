"""`banklift policy`: arguments in, tables or JSON out, exit codes.

Exit codes: 0 done; 1 aborted, or refused by a check; 2 a bad file or argument; 3 not known, as no voter answered in
time; 4 not made, as another change came first.
"""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Annotated

import anyio
import typer
from rich.console import Console
from rich.table import Table

from banklift.cli.files import read
from banklift.cli.fleet_client import (
    ABORTED,
    NOT_PROPOSED,
    UNKNOWN,
    AsJson,
    ConfigFile,
    ask_for_state,
    fleet_of,
    print_json,
)
from banklift.config import policy
from banklift.fleet.messages import Ended, NotProposed, Progress, Set
from banklift.fleet.state import Outcome, Result, digest
from banklift.net.operator import Answer, Unreachable, ask_voters
from banklift.proxy.fleet_plan import Fleet

PATIENCE_LEASES = 2  # leases that routers have to check a change, unless it is told
MARGIN = 5.0  # seconds that a change may take beyond what routers have to check it
ID_BYTES = 6  # random ones in the id of a change
app = typer.Typer(no_args_is_help=True, help="The policy of a fleet: what it is, and how it changes.")
Wait = Annotated[
    float, typer.Option("--wait", min=0.1, help="Seconds to check it in; twice a lease if not given.")
]


class ProgressPrinter:
    """Prints how a change goes on, one line for each new stage or cause to wait."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.printed: tuple[str, str] | None = None  # stage, and for whom it waited

    def __call__(self, progress: Progress) -> None:
        first = progress.waiting[0] if progress.waiting else ""
        key = progress.stage, first.partition(" ")[0]
        if key == self.printed:
            return
        self.printed = key
        line = f"{progress.stage}: {first}" if first else progress.stage
        if len(progress.waiting) > 1:
            line += f" (and {len(progress.waiting) - 1} more)"
        self.console.print(line, highlight=False)


def new_change_id(fleet: Fleet) -> str:
    """Of a change to the state as it stands now. Errors: `typer.Exit`."""
    state = ask_for_state(fleet).state
    if state is None:
        typer.echo("this fleet has no policy yet: a majority of voters has to be up", err=True)
        raise typer.Exit(UNKNOWN)
    return f"{state.version}-{secrets.token_hex(ID_BYTES)}"


def make_change(fleet: Fleet, change: Set, as_json: bool) -> int:
    """Have it checked and, unless it is a dry run, put in force; the exit code."""
    console = Console(stderr=True)
    console.print(f"change {change.change}, policy {digest(change.policy)}", highlight=False)
    seconds = change.patience + fleet.lease + MARGIN
    try:
        answer = anyio.run(ask_voters, fleet.voters, fleet.name, change, seconds, ProgressPrinter(console))
    except Unreachable as error:
        if as_json:
            print_json({"id": change.change, "result": "unknown", "reasons": [str(error)]})
        typer.echo(f"unknown: {error}; ask again with --id {change.change}", err=True)
        return UNKNOWN
    return print_answer(change.change, answer, as_json)


def print_answer(change: str, answer: Answer, as_json: bool) -> int:
    """How a change ended; the exit code."""
    match answer:
        case Ended(outcome):
            return print_outcome(outcome, as_json)
        case NotProposed(_, reason):
            if as_json:
                print_json({"id": change, "result": "not made", "reasons": [reason]})
            typer.echo(f"not made: {reason}", err=True)
            return NOT_PROPOSED
    raise AssertionError(answer)


def print_outcome(outcome: Outcome, as_json: bool) -> int:
    """The exit code."""
    if as_json:
        print_json(outcome)
    else:
        typer.echo(f"{outcome.result} (epoch {outcome.epoch})")
    for reason in outcome.reasons:
        typer.echo(f"  {reason}", err=True)
    return 0 if outcome.result in (Result.IN_FORCE, Result.FINE) else ABORTED


def patience(fleet: Fleet, wait: float | None) -> float:
    """Seconds that routers have to check a change."""
    return PATIENCE_LEASES * fleet.lease if wait is None else wait


@app.command("set")
def set_(
    file: Path,
    config: ConfigFile,
    wait: Wait | None = None,
    id_: Annotated[str | None, typer.Option("--id", help="Of a change that was asked for before.")] = None,
    as_json: AsJson = False,
) -> None:
    """Put a policy in force on every router, or on none."""
    fleet, text = fleet_of(config), read(file, policy.load)
    change = Set(id_ or new_change_id(fleet), text, patience(fleet, wait))
    raise typer.Exit(make_change(fleet, change, as_json))


@app.command()
def check(file: Path, config: ConfigFile, wait: Wait | None = None, as_json: AsJson = False) -> None:
    """Have every router check a policy; nothing is changed."""
    fleet, text = fleet_of(config), read(file, policy.load)
    change = Set(new_change_id(fleet), text, patience(fleet, wait), dry=True)
    raise typer.Exit(make_change(fleet, change, as_json))


@app.command()
def show(config: ConfigFile) -> None:
    """The policy in force, as JSON."""
    state = ask_for_state(fleet_of(config)).state
    if state is None:
        typer.echo("this fleet has no policy yet", err=True)
        raise typer.Exit(UNKNOWN)
    content = {
        "epoch": state.epoch,
        "version": state.version,
        "digest": digest(state.policy),
        "policy": json.loads(state.policy),
    }
    typer.echo(json.dumps(content, indent=1))


@app.command()
def history(config: ConfigFile, as_json: AsJson = False) -> None:
    """How the last changes ended, the newest last."""
    state = ask_for_state(fleet_of(config)).state
    outcomes = state.history if state is not None else ()
    if as_json:
        print_json(outcomes)
        return
    table = Table("id", "result", "epoch", "policy", "reasons")
    for one in outcomes:
        table.add_row(one.id, one.result, str(one.epoch), one.digest, "; ".join(one.reasons))
    Console().print(table)
