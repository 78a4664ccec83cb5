"""The state of a fleet as shown to an operator, computed from the answers of its members without I/O.

A fleet has up to three tiers: voters, aggregators that lease from the voters, and routers that lease either from
aggregators or, as "direct" routers, from the voters. A voter knows its own lease holders. An aggregator sends counts of
its routers with its lease requests, and lists the routers by name only when it is asked itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift.fleet.messages import Holder, Shown, Summary, Trouble
from banklift.fleet.state import Change
from banklift.net.operator import NoAnswer
from banklift.proxy.fleet_plan import Fleet

# A holder that has been silent for longer than this part of a lease has missed a renewal.
MAX_SILENCE_LEASE_FRACTION = 1 / 2
NO_ROUTERS = Summary(0, 0, 0)


@dataclass(frozen=True, slots=True)
class AggregatorRow:
    """One aggregator of the fleet.

    `holder`: its lease as known by the voter that was asked, or None if that voter knows of no lease.
    `summary`: counts of its routers, all zero without a live lease.
    `routers`: the routers that it lists itself, or None if it was not asked or did not answer.
    """

    name: str
    zone: str
    machine: str
    holder: Holder | None
    summary: Summary
    routers: tuple[Holder, ...] | None = None


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as shown to an operator.

    `direct`: holders that lease from the voters and are not aggregators.
    `routers`: the number of routers that hold a live lease from an aggregator or from the voters.
    """

    aggregators: tuple[AggregatorRow, ...]
    direct: tuple[Holder, ...]
    routers: int
    trouble: tuple[Trouble, ...]


def view(fleet: Fleet, shown: Shown, answers: dict[str, Shown | NoAnswer] | None = None) -> FleetView:
    """Compute the view from the state shown by one voter.

    `answers`: the answers of the aggregators by name, or None if they were not asked for their routers.
    """
    answers = {} if answers is None else answers
    leases = [holder for holder in shown.holders if _is_aggregator(fleet, holder)]
    direct = tuple(holder for holder in shown.holders if not _is_aggregator(fleet, holder))
    names = dict.fromkeys([*fleet.aggregators, *(holder.name for holder in leases)])
    rows = tuple(_row(fleet, name, leases, answers.get(name)) for name in names)
    change = shown.state.change if shown.state is not None else None
    trouble = [*shown.trouble]
    for row in rows:
        trouble += _aggregator_trouble(fleet, row, change)
        trouble += _reported_trouble(row.name, answers.get(row.name))
    trouble += _leases_of_earlier_processes(leases)
    for holder in direct:
        trouble += _router_trouble(fleet, holder, change)
    live_routers = sum(row.summary.routers for row in rows)
    live_routers += len({holder.name for holder in direct if holder.left > 0})
    return FleetView(rows, direct, live_routers, tuple(trouble))


def _is_aggregator(fleet: Fleet, holder: Holder) -> bool:
    """Whether a holder is an aggregator. A voter and an aggregator may share a name; only the latter sends counts."""
    known = holder.name in fleet.aggregators and holder.name not in fleet.voters
    return known or holder.summary is not None


def _row(fleet: Fleet, name: str, leases: list[Holder], answer: Shown | NoAnswer | None) -> AggregatorRow:
    entry = fleet.aggregators.get(name)
    holder = max(
        (lease for lease in leases if lease.name == name), key=lambda lease: lease.incarnation, default=None
    )
    has_lease = holder is not None and holder.left > 0
    summary = holder.summary if has_lease and holder is not None else None
    return AggregatorRow(
        name,
        "" if entry is None else entry.zone,
        "" if entry is None else entry.machine or "",
        holder,
        NO_ROUTERS if summary is None else summary,
        answer.holders if isinstance(answer, Shown) else None,
    )


def _aggregator_trouble(fleet: Fleet, row: AggregatorRow, change: Change | None) -> list[Trouble]:
    problems = []
    holder = row.holder
    if row.name not in fleet.aggregators:
        problems.append("is not in the fleet table of this file")
    if holder is None:
        problems.append("has no lease: no request of it has come")
    elif holder.left <= 0:
        problems.append(f"has no lease; last heard of {holder.heard:.1f} s ago")
    elif holder.heard > MAX_SILENCE_LEASE_FRACTION * fleet.lease:
        problems.append(_silence_text(holder))
    if change is not None and row.summary.refused:
        problems.append(f"{row.summary.refused} of its routers refuse change {change.id}")
    if change is not None and row.summary.waiting:
        problems.append(f"{row.summary.waiting} of its routers have not answered change {change.id}")
    problems += row.summary.slowest
    return [Trouble(row.name, what) for what in problems]


def _reported_trouble(name: str, answer: Shown | NoAnswer | None) -> list[Trouble]:
    """The problems that an aggregator reports itself, or the reason why it gave no answer."""
    if isinstance(answer, NoAnswer):
        return [Trouble(name, f"can't be asked for its routers: {answer.reason}")]
    reported = [] if answer is None else answer.trouble
    return [
        Trouble(name, trouble.what if trouble.who == name else f"{trouble.who}: {trouble.what}")
        for trouble in reported
    ]


def _leases_of_earlier_processes(leases: list[Holder]) -> list[Trouble]:
    """One problem for each lease that is still held by the earlier process of a restarted aggregator."""
    newest = {lease.name: lease.incarnation for lease in sorted(leases, key=lambda lease: lease.incarnation)}
    return [
        Trouble(lease.name, f"was restarted; the lease of its earlier process ends in {lease.left:.1f} s")
        for lease in leases
        if lease.incarnation < newest[lease.name] and lease.left > 0
    ]


def _router_trouble(fleet: Fleet, holder: Holder, change: Change | None) -> list[Trouble]:
    if holder.left <= 0:
        return []
    problems = []
    if holder.heard > MAX_SILENCE_LEASE_FRACTION * fleet.lease:
        problems.append(_silence_text(holder))
    if change is not None and holder.verdict:
        problems.append(f"refuses change {change.id}: {holder.verdict[0]}")
    if change is not None and holder.verdict is None:
        problems.append(f"has not answered change {change.id}")
    return [Trouble(holder.name, what) for what in problems]


def _silence_text(holder: Holder) -> str:
    return f"has not been heard of for {holder.heard:.1f} s; its lease ends in {holder.left:.1f} s"
