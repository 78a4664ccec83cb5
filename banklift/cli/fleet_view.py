"""What an operator is to see of a fleet, computed from what its members answered. Pure.

Three tiers: voters, aggregators that lease from them, and routers that lease from aggregators or, as "direct" ones,
from voters. A voter knows its own lease holders; each aggregator adds counts of its routers to its requests. An
aggregator that is asked itself names its routers.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift.fleet.messages import Holder, Shown, Summary, Trouble
from banklift.fleet.state import Change
from banklift.net.operator import NoAnswer
from banklift.proxy.fleet_plan import Fleet

QUIET_PART = 1 / 2  # of a lease: not heard of for longer, a holder has missed a renewal
NO_ROUTERS = Summary(0, 0, 0)


@dataclass(frozen=True, slots=True)
class AggregatorRow:
    """One aggregator. `holder`: its lease, as the voter that was asked knows it; None: it has none. `routers`: those
    that it names itself; None: it was not asked, or did not answer."""

    name: str
    zone: str
    machine: str
    holder: Holder | None
    summary: Summary
    routers: tuple[Holder, ...] | None = None


@dataclass(frozen=True, slots=True)
class FleetView:
    """`direct`: routers that lease from the voters. `routers`: how many hold a lease, of whomever."""

    aggregators: tuple[AggregatorRow, ...]
    direct: tuple[Holder, ...]
    routers: int
    trouble: tuple[Trouble, ...]


def view(fleet: Fleet, shown: Shown, answers: dict[str, Shown | NoAnswer] | None = None) -> FleetView:
    """`shown`: by one voter. `answers`: of the aggregators, where they were asked for their routers."""
    answers = {} if answers is None else answers
    leases = [holder for holder in shown.holders if _is_aggregator(fleet, holder)]
    direct = tuple(holder for holder in shown.holders if not _is_aggregator(fleet, holder))
    names = dict.fromkeys([*fleet.aggregators, *(holder.name for holder in leases)])
    rows = tuple(_row(fleet, name, leases, answers.get(name)) for name in names)
    change = shown.state.change if shown.state is not None else None
    trouble = [*shown.trouble]
    for row in rows:
        trouble += _aggregator_trouble(fleet, row, change)
        trouble += _told_trouble(row.name, answers.get(row.name))
    trouble += _earlier_processes(leases)
    for holder in direct:
        trouble += _router_trouble(fleet, holder, change)
    live = sum(row.summary.routers for row in rows) + len({one.name for one in direct if one.left > 0})
    return FleetView(rows, direct, live, tuple(trouble))


def _is_aggregator(fleet: Fleet, holder: Holder) -> bool:
    """A voter and an aggregator may have one name; only an aggregator sends counts."""
    known = holder.name in fleet.aggregators and holder.name not in fleet.voters
    return known or holder.summary is not None


def _row(fleet: Fleet, name: str, leases: list[Holder], answer: Shown | NoAnswer | None) -> AggregatorRow:
    entry = fleet.aggregators.get(name)
    holder = max((one for one in leases if one.name == name), key=lambda one: one.incarnation, default=None)
    live = holder is not None and holder.left > 0
    summary = holder.summary if live and holder is not None else None
    return AggregatorRow(
        name,
        "" if entry is None else entry.zone,
        "" if entry is None else entry.machine or "",
        holder,
        NO_ROUTERS if summary is None else summary,
        answer.holders if isinstance(answer, Shown) else None,
    )


def _aggregator_trouble(fleet: Fleet, row: AggregatorRow, change: Change | None) -> list[Trouble]:
    found = []
    holder = row.holder
    if row.name not in fleet.aggregators:
        found.append("is not in the fleet table of this file")
    if holder is None:
        found.append("has no lease: no request of it has come")
    elif holder.left <= 0:
        found.append(f"has no lease; last heard of {holder.heard:.1f} s ago")
    elif holder.heard > QUIET_PART * fleet.lease:
        found.append(_quiet(holder))
    if change is not None and row.summary.refused:
        found.append(f"{row.summary.refused} of its routers refuse change {change.id}")
    if change is not None and row.summary.waiting:
        found.append(f"{row.summary.waiting} of its routers have not answered change {change.id}")
    found += row.summary.slowest
    return [Trouble(row.name, what) for what in found]


def _told_trouble(name: str, answer: Shown | NoAnswer | None) -> list[Trouble]:
    """What an aggregator that was asked says itself, or that it can't be asked."""
    if isinstance(answer, NoAnswer):
        return [Trouble(name, f"can't be asked for its routers: {answer.reason}")]
    told = [] if answer is None else answer.trouble
    return [Trouble(name, one.what if one.who == name else f"{one.who}: {one.what}") for one in told]


def _earlier_processes(leases: list[Holder]) -> list[Trouble]:
    """Aggregators that were restarted, and whose earlier process still has a lease."""
    newest = {one.name: one.incarnation for one in sorted(leases, key=lambda one: one.incarnation)}
    return [
        Trouble(one.name, f"was restarted; the lease of its earlier process ends in {one.left:.1f} s")
        for one in leases
        if one.incarnation < newest[one.name] and one.left > 0
    ]


def _router_trouble(fleet: Fleet, holder: Holder, change: Change | None) -> list[Trouble]:
    if holder.left <= 0:
        return []
    found = []
    if holder.heard > QUIET_PART * fleet.lease:
        found.append(_quiet(holder))
    if change is not None and holder.verdict:
        found.append(f"refuses change {change.id}: {holder.verdict[0]}")
    if change is not None and holder.verdict is None:
        found.append(f"has not answered change {change.id}")
    return [Trouble(holder.name, what) for what in found]


def _quiet(holder: Holder) -> str:
    return f"has not been heard of for {holder.heard:.1f} s; its lease ends in {holder.left:.1f} s"
