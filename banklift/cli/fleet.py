"""`banklift policy` and `banklift fleet`: arguments in, tables or JSON out, exit codes.

Exit codes of all of them: 0 done; 1 aborted, or refused by a check; 2 a bad file or argument; 3 not known, as no voter
answered in time; 4 not made, as another change came first.
"""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Annotated, Any

import anyio
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from banklift.cli.files import BAD_FILE, read
from banklift.config import policy
from banklift.config.load import NO_FLEET, has_aggregator_only, load, load_aggregator
from banklift.fleet.messages import Ended, NotProposed, Progress, Set, Show, Shown
from banklift.fleet.state import Result, digest
from banklift.net.operator import Unreachable, ask
from banklift.proxy.plan import Fleet

ABORTED, UNKNOWN, NOT_PROPOSED = 1, 3, 4  # exit codes beside `BAD_FILE`
SHOW = 5.0  # seconds for a question that changes nothing
MARGIN = 5.0  # seconds that a change may take beyond what routers have to check it
app = typer.Typer(no_args_is_help=True, help="The policy of a fleet: what it is, and how it changes.")
ConfigFile = Annotated[
    Path, typer.Option("--config", help="Any router's file of this fleet.", show_default=False)
]
AsJson = Annotated[bool, typer.Option("--json", help="JSON in place of a table.")]
Wait = Annotated[
    float, typer.Option("--wait", min=0.1, help="Seconds to check it in; twice a lease if not given.")
]


def fleet_of(path: Path) -> Fleet:
    """The `fleet` table of a router's file, or of an aggregator's."""
    if read(path, has_aggregator_only):
        return read(path, load_aggregator).fleet
    config = read(path, load)
    if config.fleet is None:
        typer.echo(f"{path}: {NO_FLEET}", err=True)
        raise typer.Exit(BAD_FILE)
    return config.fleet


def shown(fleet: Fleet) -> Shown:
    try:
        answer = anyio.run(ask, fleet.voters, fleet.name, Show(), SHOW)
    except Unreachable as error:
        typer.echo(f"no voter answers: {error}", err=True)
        raise typer.Exit(UNKNOWN) from None
    assert isinstance(answer, Shown)
    return answer


def tell(value: Any) -> None:
    typer.echo(json.dumps(msgspec.to_builtins(value, str_keys=True), indent=1))


def change(fleet: Fleet, text: bytes, wait: float | None, given: str | None, dry: bool, as_json: bool) -> int:
    """Have it checked and, unless `dry`, put in force; the exit code."""
    patience = 2 * fleet.lease if wait is None else wait
    if given is None:
        state = shown(fleet).state
        if state is None:
            typer.echo("this fleet has no policy yet: a majority of voters has to be up", err=True)
            return UNKNOWN
        given = f"{state.version}-{secrets.token_hex(6)}"
    console, last = Console(stderr=True), ""
    console.print(f"change {given}, policy {digest(text)}", highlight=False)

    def progress(one: Progress) -> None:
        nonlocal last
        waiting = one.waiting[0] if one.waiting else ""
        line = f"{one.stage}{f': {waiting}' if waiting else ''}"
        if len(one.waiting) > 1:
            line += f" (and {len(one.waiting) - 1} more)"
        key = f"{one.stage} {waiting.partition(' ')[0]}"
        if key != last:
            last = key
            console.print(line, highlight=False)

    try:
        answer = anyio.run(
            ask,
            fleet.voters,
            fleet.name,
            Set(given, text, patience, dry),
            patience + fleet.lease + MARGIN,
            progress,
        )
    except Unreachable as error:
        if as_json:
            tell({"id": given, "result": "unknown", "reasons": [str(error)]})
        typer.echo(f"unknown: {error}; ask again with --id {given}", err=True)
        return UNKNOWN
    match answer:
        case Ended(outcome):
            if as_json:
                tell(outcome)
            else:
                typer.echo(f"{outcome.result} (epoch {outcome.epoch})")
            for reason in outcome.reasons:
                typer.echo(f"  {reason}", err=True)
            return 0 if outcome.result in (Result.IN_FORCE, Result.FINE) else ABORTED
        case NotProposed(_, reason):
            if as_json:
                tell({"id": given, "result": "not made", "reasons": [reason]})
            typer.echo(f"not made: {reason}", err=True)
            return NOT_PROPOSED
    raise AssertionError(answer)


@app.command("set")
def set_(
    file: Path,
    config: ConfigFile,
    wait: Wait | None = None,
    id_: Annotated[str | None, typer.Option("--id", help="Of a change that was asked for before.")] = None,
    as_json: AsJson = False,
) -> None:
    """Put a policy in force on every router, or on none."""
    raise typer.Exit(change(fleet_of(config), read(file, policy.load), wait, id_, False, as_json))


@app.command()
def check(file: Path, config: ConfigFile, wait: Wait | None = None, as_json: AsJson = False) -> None:
    """Have every router check a policy; nothing is changed."""
    raise typer.Exit(change(fleet_of(config), read(file, policy.load), wait, None, True, as_json))


@app.command()
def show(config: ConfigFile) -> None:
    """The policy in force, as JSON."""
    state = shown(fleet_of(config)).state
    if state is None:
        typer.echo("this fleet has no policy yet", err=True)
        raise typer.Exit(UNKNOWN)
    typer.echo(
        json.dumps(
            {
                "epoch": state.epoch,
                "version": state.version,
                "digest": digest(state.policy),
                "policy": json.loads(state.policy),
            },
            indent=1,
        )
    )


@app.command()
def history(config: ConfigFile, as_json: AsJson = False) -> None:
    """How the last changes ended, the newest last."""
    state = shown(fleet_of(config)).state
    outcomes = state.history if state is not None else ()
    if as_json:
        tell(outcomes)
        return
    table = Table("id", "result", "epoch", "policy", "reasons")
    for one in outcomes:
        table.add_row(one.id, one.result, str(one.epoch), one.digest, "; ".join(one.reasons))
    Console().print(table)


def fleet(config: ConfigFile, as_json: AsJson = False) -> None:
    """Who the routers of a fleet are, their leases and policies, the voters, and what is in trouble."""
    given = fleet_of(config)
    answer = shown(given)
    if as_json:
        tell(
            {
                **msgspec.structs.asdict(answer),
                "holders": [msgspec.structs.asdict(one) for one in answer.holders],
                "trouble": [msgspec.structs.asdict(one) for one in answer.trouble],
            }
        )
        return
    console = Console()
    if answer.state is not None:
        under_way = answer.state.change
        change = f", change {under_way.id} {under_way.stage}" if under_way is not None else ""
        console.print(
            f"fleet {given.name}: epoch {answer.state.epoch}, policy {digest(answer.state.policy)}{change}",
            highlight=False,
        )
    table = Table("router", "incarnation", "epoch", "heard", "lease ends in")
    for one in answer.holders:
        table.add_row(
            one.name,
            str(one.incarnation),
            str(one.epoch or "-"),
            f"{one.heard:.1f} s ago",
            f"{one.left:.1f} s" if one.left > 0 else "ended",
        )
    console.print(table)
    voters = Table("voter", f"as {answer.voter} sees it ({answer.standing})")
    for name, up in answer.voters.items():
        voters.add_row(name, "linked" if up else "no link")
    console.print(voters)
    for trouble in answer.trouble:
        console.print(f"in trouble: {trouble.who}: {trouble.what}", highlight=False)
