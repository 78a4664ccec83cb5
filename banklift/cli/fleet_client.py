"""Options, exit codes and requests to voters that `banklift policy` and `banklift fleet` share."""

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

# Exit codes, in addition to `BAD_FILE`.
ABORTED = 1  # the change was aborted, or a member refused it
UNKNOWN = 3  # no voter answered in time, so the outcome is not known
NOT_PROPOSED = 4  # no voter proposed the change, for example because another one is under way

SHOW_TIMEOUT_SECONDS = 5.0  # time limit of a read-only request
ConfigFile = Annotated[
    Path,
    typer.Option("--config", help="The file of any router or aggregator of this fleet.", show_default=False),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON instead of a table.")]


def load_fleet(path: Path) -> Fleet:
    """Load the `fleet` table of a router's or an aggregator's file.

    Errors: `typer.Exit` with `BAD_FILE` if the file is refused or has no such table.
    """
    if read(path, has_aggregator_only):
        return read(path, load_aggregator).fleet
    config = read(path, load)
    if config.fleet is None:
        typer.echo(f"{path}: {NO_FLEET}", err=True)
        raise typer.Exit(BAD_FILE)
    return config.fleet


def request_state(fleet: Fleet) -> Shown:
    """Return the state of the fleet as the first voter that answers knows it.

    Errors: `typer.Exit` with `UNKNOWN` if no voter answers within `SHOW_TIMEOUT_SECONDS`.
    """
    try:
        answer = anyio.run(ask_voters, fleet.voters, fleet.name, Show(), SHOW_TIMEOUT_SECONDS)
    except Unreachable as error:
        typer.echo(f"no voter answers: {error}", err=True)
        raise typer.Exit(UNKNOWN) from None
    assert isinstance(answer, Shown)
    return answer


def print_json(value: Any) -> None:
    """Print a value that msgspec can convert, structs included, as indented JSON on standard output."""
    typer.echo(json.dumps(msgspec.to_builtins(value, str_keys=True), indent=1))
