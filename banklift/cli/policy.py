"""`banklift policy`: shows, checks and changes the policy of a fleet.

Exit codes: 0 done; 1 the change was aborted, or a router refused it in a check; 2 a file or an argument was refused;
3 the outcome is not known, as no voter answered in time; 4 the change was not proposed, for example because another
one came first.
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
    load_fleet,
    print_json,
    request_state,
)
from banklift.config import policy
from banklift.fleet.messages import Ended, NotProposed, Progress, Set
from banklift.fleet.state import Outcome, Result, digest
from banklift.net.operator import Answer, Unreachable, ask_voters
from banklift.proxy.fleet_plan import Fleet

CHECK_TIMEOUT_LEASES = 2  # default time that routers have to check a change, in lease durations
# added to the check timeout and one lease when waiting for the outcome of a change
PROPOSAL_MARGIN_SECONDS = 5.0
CHANGE_ID_BYTES = 6  # random bytes in a change id
app = typer.Typer(no_args_is_help=True, help="Show, check and change the policy of a fleet.")
Wait = Annotated[
    float,
    typer.Option(
        "--wait", min=0.1, help="Seconds that routers have to check the policy; twice the lease if not given."
    ),
]


class ProgressPrinter:
    """Prints the progress of a change: one line for each new stage or member waited for."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.printed: tuple[str, str] | None = None  # stage, and the first member waited for

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
    """Make an id for a change: the current version of the state, and random bytes in hexadecimal.

    Errors: `typer.Exit` with `UNKNOWN` if no voter answers, or the fleet has no policy yet.
    """
    state = request_state(fleet).state
    if state is None:
        typer.echo("this fleet has no policy yet: a majority of voters has to be up", err=True)
        raise typer.Exit(UNKNOWN)
    return f"{state.version}-{secrets.token_hex(CHANGE_ID_BYTES)}"


def make_change(fleet: Fleet, change: Set, as_json: bool) -> int:
    """Have routers check a change and, unless it is a dry run, put it in force. Returns the exit code."""
    console = Console(stderr=True)
    console.print(f"change {change.change}, policy {digest(change.policy)}", highlight=False)
    timeout_s = change.patience + fleet.lease + PROPOSAL_MARGIN_SECONDS
    try:
        answer = anyio.run(ask_voters, fleet.voters, fleet.name, change, timeout_s, ProgressPrinter(console))
    except Unreachable as error:
        if as_json:
            print_json({"id": change.change, "result": "unknown", "reasons": [str(error)]})
        typer.echo(f"unknown: {error}; ask again with --id {change.change}", err=True)
        return UNKNOWN
    return print_answer(change.change, answer, as_json)


def print_answer(change_id: str, answer: Answer, as_json: bool) -> int:
    """Print how a change ended. Returns the exit code."""
    match answer:
        case Ended(outcome):
            return print_outcome(outcome, as_json)
        case NotProposed(_, reason):
            if as_json:
                print_json({"id": change_id, "result": "not made", "reasons": [reason]})
            typer.echo(f"not made: {reason}", err=True)
            return NOT_PROPOSED
    raise AssertionError(answer)


def print_outcome(outcome: Outcome, as_json: bool) -> int:
    """Print the outcome of a change. Returns the exit code."""
    if as_json:
        print_json(outcome)
    else:
        typer.echo(f"{outcome.result} (epoch {outcome.epoch})")
    for reason in outcome.reasons:
        typer.echo(f"  {reason}", err=True)
    return 0 if outcome.result in (Result.IN_FORCE, Result.FINE) else ABORTED


def check_timeout(fleet: Fleet, wait: float | None) -> float:
    """Seconds that routers have to check a change: `wait`, or the default for this fleet's lease."""
    return CHECK_TIMEOUT_LEASES * fleet.lease if wait is None else wait


@app.command("set")
def set_(
    file: Path,
    config: ConfigFile,
    wait: Wait | None = None,
    id_: Annotated[
        str | None, typer.Option("--id", help="Id of an earlier change, to ask for the same change again.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Put a policy in force on every router, or on none."""
    fleet = load_fleet(config)
    text = read(file, policy.load)
    change = Set(id_ or new_change_id(fleet), text, check_timeout(fleet, wait))
    raise typer.Exit(make_change(fleet, change, as_json))


@app.command()
def check(file: Path, config: ConfigFile, wait: Wait | None = None, as_json: AsJson = False) -> None:
    """Have every router check a policy, without changing anything."""
    fleet = load_fleet(config)
    text = read(file, policy.load)
    change = Set(new_change_id(fleet), text, check_timeout(fleet, wait), dry=True)
    raise typer.Exit(make_change(fleet, change, as_json))


@app.command()
def show(config: ConfigFile) -> None:
    """Print the policy in force as JSON."""
    state = request_state(load_fleet(config)).state
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
    """List the outcomes of the last changes, newest last."""
    state = request_state(load_fleet(config)).state
    outcomes = state.history if state is not None else ()
    if as_json:
        print_json(outcomes)
        return
    table = Table("id", "result", "epoch", "policy", "reasons")
    for outcome in outcomes:
        table.add_row(
            outcome.id, outcome.result, str(outcome.epoch), outcome.digest, "; ".join(outcome.reasons)
        )
    Console().print(table)
