"""`banklift fleet`: lists the voters, aggregators and routers of a fleet, their leases, and the problems found.

Exit codes: 0 done; 2 a file or an argument was refused; 3 no voter answered in time.
"""

from __future__ import annotations

from typing import Annotated

import anyio
import typer
from rich.console import Console

from banklift.cli import fleet_tables
from banklift.cli.fleet_client import (
    SHOW_TIMEOUT_SECONDS,
    AsJson,
    ConfigFile,
    load_fleet,
    print_json,
    request_state,
)
from banklift.cli.fleet_view import view
from banklift.fleet.messages import Shown
from banklift.net.operator import NoAnswer, show_each
from banklift.proxy.fleet_plan import Fleet

AllRouters = Annotated[
    bool, typer.Option("--routers", help="Ask each aggregator for its routers, and list all of them.")
]


def fleet(config: ConfigFile, as_json: AsJson = False, routers: AllRouters = False) -> None:
    """List the voters, aggregators and routers of a fleet, their leases, and any problems."""
    table = load_fleet(config)
    shown = request_state(table)
    fleet_view = view(table, shown, request_from_aggregators(table) if routers else None)
    if as_json:
        print_json(fleet_tables.as_json(shown, fleet_view))
    else:
        fleet_tables.show(Console(), table.name, shown, fleet_view, routers)


def request_from_aggregators(table: Fleet) -> dict[str, Shown | NoAnswer]:
    """Request the state of every aggregator; `NoAnswer` for those silent for `SHOW_TIMEOUT_SECONDS`."""
    addresses = {name: aggregator.address for name, aggregator in table.aggregators.items()}
    return anyio.run(show_each, addresses, table.name, SHOW_TIMEOUT_SECONDS)
