"""What `banklift policy` and `banklift fleet` share: their options, exit codes and questions to the voters."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import anyio
import msgspec
import typer

from banklift.cli.files import BAD_FILE, read
from banklift.config.load import NO_FLEET, has_aggregator_only, load, load_aggregator
from banklift.fleet.messages import Show, Shown
from banklift.net.operator import Unreachable, ask_voters
from banklift.proxy.fleet_plan import Fleet

ABORTED, UNKNOWN, NOT_PROPOSED = 1, 3, 4  # exit codes beside `BAD_FILE`
SHOW_TIME = 5.0  # seconds for a question that changes nothing
ConfigFile = Annotated[
    Path, typer.Option("--config", help="Any router's file of this fleet.", show_default=False)
]
AsJson = Annotated[bool, typer.Option("--json", help="JSON in place of a table.")]


def fleet_of(path: Path) -> Fleet:
    """The `fleet` table of a router's file, or of an aggregator's. Errors: `typer.Exit`."""
    if read(path, has_aggregator_only):
        return read(path, load_aggregator).fleet
    config = read(path, load)
    if config.fleet is None:
        typer.echo(f"{path}: {NO_FLEET}", err=True)
        raise typer.Exit(BAD_FILE)
    return config.fleet


def ask_for_state(fleet: Fleet) -> Shown:
    """What the first voter that answers shows. Errors: `typer.Exit`."""
    try:
        answer = anyio.run(ask_voters, fleet.voters, fleet.name, Show(), SHOW_TIME)
    except Unreachable as error:
        typer.echo(f"no voter answers: {error}", err=True)
        raise typer.Exit(UNKNOWN) from None
    assert isinstance(answer, Shown)
    return answer


def print_json(value: Any) -> None:
    typer.echo(json.dumps(msgspec.to_builtins(value, str_keys=True), indent=1))
