"""Output of `banklift fleet`: tables for people, or one JSON object for programs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from banklift.cli.fleet_view import AggregatorRow, FleetView
from banklift.fleet.messages import Holder, Shown
from banklift.fleet.state import digest

MAX_DIRECT_ROUTER_ROWS = 40  # direct routers listed without --routers
EMPTY_CELL = "-"


def as_json(shown: Shown, fleet_view: FleetView) -> dict[str, Any]:
    """Build the object that `--json` prints. Durations are in seconds.

    `holders` lists the lease holders that the voter which answered knows; `routers_of` maps each aggregator that
    answered to the routers it grants leases to.
    """
    return {
        **msgspec.structs.asdict(shown),
        "holders": [_holder_json(holder) for holder in shown.holders],
        "trouble": [msgspec.structs.asdict(trouble) for trouble in fleet_view.trouble],
        "routers": fleet_view.routers,
        "direct": [router.name for router in fleet_view.direct],
        "aggregators": [_aggregator_json(row) for row in fleet_view.aggregators],
        "routers_of": {
            row.name: [_holder_json(router) for router in row.routers]
            for row in fleet_view.aggregators
            if row.routers is not None
        },
    }


def _holder_json(holder: Holder) -> dict[str, Any]:
    summary = None if holder.summary is None else msgspec.structs.asdict(holder.summary)
    return {**msgspec.structs.asdict(holder), "summary": summary}


def _aggregator_json(row: AggregatorRow) -> dict[str, Any]:
    holder = row.holder
    return {
        "name": row.name,
        "zone": row.zone,
        "machine": row.machine,
        "incarnation": None if holder is None else holder.incarnation,
        "epoch": 0 if holder is None else holder.epoch,
        "heard": None if holder is None else holder.heard,
        "left": 0.0 if holder is None else holder.left,
        **msgspec.structs.asdict(row.summary),
    }


def show(console: Console, name: str, shown: Shown, fleet_view: FleetView, all_routers: bool) -> None:
    """Print the change under way, then tables of voters, aggregators and routers, then the problems found."""
    console.print(_headline(name, shown), highlight=False)
    console.print(_voters_table(shown))
    if fleet_view.aggregators:
        console.print(_aggregators_table(fleet_view.aggregators))
    for row in fleet_view.aggregators:
        if row.routers is not None:
            console.print(_routers_table(f"routers of {row.name}", row.routers))
    if fleet_view.direct:
        console.print(_direct_table(fleet_view, all_routers))
    console.print(f"{fleet_view.routers} routers hold a lease", highlight=False)
    for trouble in fleet_view.trouble:
        console.print(f"in trouble: {trouble.who}: {trouble.what}", highlight=False)


def _headline(name: str, shown: Shown) -> str:
    state = shown.state
    if state is None:
        return f"fleet {name}: no policy yet"
    change = f", change {state.change.id} {state.change.stage}" if state.change is not None else ""
    return f"fleet {name}: epoch {state.epoch}, policy {digest(state.policy)}{change}"


def _voters_table(shown: Shown) -> Table:
    table = Table("voter", f"as {shown.voter} sees it ({shown.standing})")
    for name, linked in shown.voters.items():
        table.add_row(name, "linked" if linked else "no link")
    return table


def _aggregators_table(rows: Iterable[AggregatorRow]) -> Table:
    table = Table("aggregator", "zone", "epoch", "routers", "waiting", "refused", "heard", "lease ends in")
    for row in rows:
        summary, holder = row.summary, row.holder
        table.add_row(
            row.name,
            row.zone or EMPTY_CELL,
            _epoch_text(holder),
            str(summary.routers),
            str(summary.waiting),
            str(summary.refused),
            _last_heard_text(holder),
            _remaining_lease_text(holder),
        )
    return table


def _direct_table(fleet_view: FleetView, all_routers: bool) -> Table:
    listed = fleet_view.direct if all_routers else fleet_view.direct[:MAX_DIRECT_ROUTER_ROWS]
    table = _routers_table("routers that lease from the voters" if fleet_view.aggregators else "", listed)
    omitted = len(fleet_view.direct) - len(listed)
    if omitted:
        table.add_row(f"and {omitted} more: --routers", "", "", "", "")
    return table


def _routers_table(title: str, holders: Iterable[Holder]) -> Table:
    table = Table("router", "incarnation", "epoch", "heard", "lease ends in", title=title or None)
    for holder in holders:
        table.add_row(
            holder.name,
            str(holder.incarnation),
            _epoch_text(holder),
            _last_heard_text(holder),
            _remaining_lease_text(holder),
        )
    return table


def _epoch_text(holder: Holder | None) -> str:
    return EMPTY_CELL if holder is None else str(holder.epoch or EMPTY_CELL)


def _last_heard_text(holder: Holder | None) -> str:
    return "never" if holder is None else f"{holder.heard:.1f} s ago"


def _remaining_lease_text(holder: Holder | None) -> str:
    if holder is None:
        return "none"
    return f"{holder.left:.1f} s" if holder.left > 0 else "ended"
