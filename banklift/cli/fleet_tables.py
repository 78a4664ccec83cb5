"""How `banklift fleet` shows a fleet: tables for people, one JSON object for programs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from banklift.cli.fleet_view import AggregatorRow, FleetView
from banklift.fleet.messages import Holder, Shown
from banklift.fleet.state import digest

MAX_ROWS = 40  # direct routers that are listed unless all are asked for
NOTHING = "-"


def as_json(shown: Shown, seen: FleetView) -> dict[str, Any]:
    """`holders`: who leases from the voters, as the one that was asked knows them. `routers_of`: what the aggregators
    that were asked and have answered name."""
    return {
        **msgspec.structs.asdict(shown),
        "holders": [_holder_json(one) for one in shown.holders],
        "trouble": [msgspec.structs.asdict(one) for one in seen.trouble],
        "routers": seen.routers,
        "direct": [one.name for one in seen.direct],
        "aggregators": [_aggregator_json(row) for row in seen.aggregators],
        "routers_of": {
            row.name: [_holder_json(one) for one in row.routers]
            for row in seen.aggregators
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


def show(console: Console, name: str, shown: Shown, seen: FleetView, all_routers: bool) -> None:
    """Print it all: the change, voters, aggregators, routers, trouble."""
    console.print(_headline(name, shown), highlight=False)
    console.print(_voters_table(shown))
    if seen.aggregators:
        console.print(_aggregators_table(seen.aggregators))
    for row in seen.aggregators:
        if row.routers is not None:
            console.print(_routers_table(f"routers of {row.name}", row.routers))
    if seen.direct:
        console.print(_direct_table(seen, all_routers))
    console.print(f"{seen.routers} routers hold a lease", highlight=False)
    for trouble in seen.trouble:
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
            row.zone or NOTHING,
            _epoch(holder),
            str(summary.routers),
            str(summary.waiting),
            str(summary.refused),
            _heard(holder),
            _left(holder),
        )
    return table


def _direct_table(seen: FleetView, all_routers: bool) -> Table:
    listed = seen.direct if all_routers else seen.direct[:MAX_ROWS]
    table = _routers_table("routers that lease from the voters" if seen.aggregators else "", listed)
    more = len(seen.direct) - len(listed)
    if more:
        table.add_row(f"and {more} more: --routers", "", "", "", "")
    return table


def _routers_table(title: str, holders: Iterable[Holder]) -> Table:
    table = Table("router", "incarnation", "epoch", "heard", "lease ends in", title=title or None)
    for one in holders:
        table.add_row(one.name, str(one.incarnation), _epoch(one), _heard(one), _left(one))
    return table


def _epoch(holder: Holder | None) -> str:
    return NOTHING if holder is None else str(holder.epoch or NOTHING)


def _heard(holder: Holder | None) -> str:
    return "never" if holder is None else f"{holder.heard:.1f} s ago"


def _left(holder: Holder | None) -> str:
    if holder is None:
        return "none"
    return f"{holder.left:.1f} s" if holder.left > 0 else "ended"
