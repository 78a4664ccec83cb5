"""`banklift fleet`: who the members of a fleet are, what they lease, and who is in trouble.

Exit codes: 0 done; 2 a bad file or argument; 3 no voter answered in time.
"""

from __future__ import annotations

from typing import Annotated

import anyio
import typer
from rich.console import Console

from banklift.cli import fleet_tables
from banklift.cli.fleet_client import SHOW_TIME, AsJson, ConfigFile, ask_for_state, fleet_of, print_json
from banklift.cli.fleet_view import view
from banklift.fleet.messages import Shown
from banklift.net.operator import NoAnswer, show_each
from banklift.proxy.fleet_plan import Fleet

AllRouters = Annotated[
    bool, typer.Option("--routers", help="Ask each aggregator for its routers, and list them all.")
]


def fleet(config: ConfigFile, as_json: AsJson = False, routers: AllRouters = False) -> None:
    """The voters, aggregators and routers of a fleet, their leases, and what is in trouble."""
    table = fleet_of(config)
    shown = ask_for_state(table)
    seen = view(table, shown, ask_aggregators(table) if routers else None)
    if as_json:
        print_json(fleet_tables.as_json(shown, seen))
    else:
        fleet_tables.show(Console(), table.name, shown, seen, routers)


def ask_aggregators(table: Fleet) -> dict[str, Shown | NoAnswer]:
    """What each aggregator shows, in bounded time."""
    addresses = {name: aggregator.address for name, aggregator in table.aggregators.items()}
    return anyio.run(show_each, addresses, table.name, SHOW_TIME)
