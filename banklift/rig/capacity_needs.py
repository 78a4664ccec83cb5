"""What each role of the planned fleet needs beside its budget, calculated from measured figures. Pure.

A need is None where a figure that it is calculated from was not measured; the page says so.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from banklift.discovery.client import LONG_POLL_SECONDS
from banklift.fleet.holder_table import MAX_HOLDERS
from banklift.proxy.plan import Limits
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_results import (
    ChangeSeries,
    FigureSource,
    IdleFleet,
    ResourceUsage,
    Results,
    Victim,
)

HEADER_BYTES = 66.0  # of Ethernet, IP, and TCP with timestamps, around each segment
SEGMENTS_PER_MESSAGE = 2.0  # the message itself and its acknowledgement
BUSY_CORES_PART = 0.5  # fraction of the cores used at rest, from which a change has to wait for a core
ROUTER_CORES = 1.0  # a router is one process on one core
# an upper bound, as if every change of configuration and every event changed the list
LIST_CHANGES_A_SECOND = (plan.CONFIGURATION_CHANGES + plan.EVENTS_A_DAY) / plan.DAY
LARGE_POLICY_BYTES = plan.POLICY_SIZES_BYTES[-1]


class Unit(StrEnum):
    """The unit of a need, by which the page formats it."""

    CORE = "core"  # fraction of a core
    BYTES = "bytes"
    BYTES_A_SECOND = "bytes/s"
    SECONDS = "s"
    COUNT = ""
    A_SECOND = "/s"


@dataclass(frozen=True, slots=True)
class Need:
    """One need of a role at the planned size: one row of the page's table of budgets."""

    role: str
    what: str  # which need it is, in words
    need: float | None  # None if it was not measured
    budget: float | None  # None if the plan states none
    unit: Unit  # of the need and of the budget
    how: FigureSource
    mechanism: str  # by what the fleet keeps the budget, or what it lacks to keep it

    @property
    def ratio(self) -> float | None:
        """Need over budget, above 1 if the budget is exceeded; None if either is unknown."""
        return None if self.need is None or self.budget is None else self.need / self.budget


def needs(results: Results) -> list[Need]:
    """All needs, the largest ratio first; those without a budget and those that were not measured come last."""
    all_needs = [
        *_router(results),
        *_voter(results),
        *_aggregator(results),
        *_changes(results),
        *_discovery(results),
        *_database(),
        *_operator(results),
        *_data_plane(results),
    ]
    return sorted(all_needs, key=lambda need: -1.0 if need.ratio is None else need.ratio, reverse=True)


# ---- what was measured


def rest_at(results: Results, tiered: bool) -> IdleFleet | None:
    """The largest fleet that was measured at rest. `tiered`: with aggregators."""
    rests = [rest for rest in results.rests if (rest.aggregators > 0) is tiered]
    return max(rests, key=lambda rest: rest.routers, default=None)


def rate_run(results: Results) -> ChangeSeries | None:
    """The series of changes at about the planned rate, in the largest fleet. Above twice the planned rate, a series is
    one of changes as fast as the fleet takes them (`fastest_run`)."""
    runs = [
        series for series in results.changes if series.rate and series.rate <= 2 * plan.CHANGES_PER_SECOND
    ]
    return max(runs, key=lambda series: series.routers, default=None)


def fastest_run(results: Results) -> ChangeSeries | None:
    """The series of changes as fast as the fleet takes them, in the largest fleet."""
    runs = [series for series in results.changes if series.rate > 2 * plan.CHANGES_PER_SECOND]
    return max(runs, key=lambda series: series.routers, default=None)


def percentile(times: Sequence[float], fraction: float) -> float:
    """The measured time that this fraction of the times does not exceed. `times` must not be empty."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def tiered_fleets(results: Results) -> list[tuple[ChangeSeries, ...]]:
    """The series of changes of each fleet with aggregators, the largest fleet first."""
    fleets: dict[tuple[int, int], list[ChangeSeries]] = {}
    for changes in results.changes:
        if changes.aggregators:
            fleets.setdefault((changes.routers, changes.aggregators), []).append(changes)
    return [tuple(fleets[key]) for key in sorted(fleets, reverse=True)]


def undisturbed_times(series: Sequence[ChangeSeries]) -> list[float]:
    """Seconds of the changes that followed one after the other without faults."""
    return [time for changes in series if not changes.kill and not changes.rate for time in changes.times]


def times_with_kills(series: Sequence[ChangeSeries]) -> list[float]:
    """Seconds of the changes around which something was ended by SIGKILL."""
    return [
        time
        for changes in series
        if changes.kill and changes.kill != Victim.FIVE_ROUTERS_BY_SIGTERM
        for time in changes.times
    ]


def limited_by_machine(results: Results, routers: int, aggregators: int) -> str:
    """Says that changes of this fleet had to wait for a core, so that their times say little; empty if they had not.

    The fleet counts as limited by the machine if its processes use at least `BUSY_CORES_PART` of the cores at rest.
    """
    machine = results.machines.get("aims")
    rest = next(
        (
            candidate
            for candidate in results.rests
            if (candidate.routers, candidate.aggregators) == (routers, aggregators)
        ),
        None,
    )
    if machine is None or rest is None or rest.machine_core < BUSY_CORES_PART * machine.cores:
        return ""
    return f"limited by the one machine: at rest its processes use {rest.machine_core:.1f} of {machine.cores} cores"


def _planned_cost(results: Results, key: str) -> float | None:
    """The cost at the planned size of the slope with this key."""
    slope = results.slope(key)
    return None if slope is None else slope.value


def _cost_times(cost: float | None, factor: float) -> float | None:
    """The product, or None if the cost was not measured."""
    return None if cost is None else cost * factor


def _usage(results: Results, role: str) -> ResourceUsage | None:
    """What a role used in the series at the planned rate, or at rest if there was none. `role`: a field of both."""
    run = rate_run(results) or rest_at(results, True)
    return getattr(run, role) if run is not None else None


# ---- needs by role


def _router(results: Results) -> list[Need]:
    usage = _usage(results, "router")
    core = None if usage is None else usage.core
    traffic = None if usage is None else usage.sent + usage.received
    messages = None if usage is None else usage.messages  # sent; about as many are received
    real = max(results.real, key=lambda run: run.processes, default=None)
    list_memory = _planned_cost(results, "members.kept")
    policy_core = None
    check, adopt = _planned_cost(results, "policy.check"), _planned_cost(results, "policy.adopt")
    if check is not None and adopt is not None:
        policy_core = (check + adopt) * plan.CHANGES_PER_SECOND
    return [
        Need(
            "router",
            "leases and changes: processor time",
            core,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.HOLLOW,
            "sub-leases of one aggregator, with a standby",
        ),
        Need(
            "router",
            f"check of and change to policies of {LARGE_POLICY_BYTES / 1024:.0f} KB: processor time",
            policy_core,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.CALCULATED,
            "whole policies are checked; missing for larger ones: parts of a policy",
        ),
        Need(
            "router",
            "changes to the list of members: processor time",
            _cost_times(_planned_cost(results, "members.delta"), LIST_CHANGES_A_SECOND),
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.CALCULATED,
            "deltas; each still costs O(members)",
        ),
        Need(
            "router",
            "a whole process at rest: processor time",
            None if real is None else real.core,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.REAL,
            "leases, idle links to three members",
        ),
        Need(
            "router",
            "the list of members: memory",
            list_memory,
            plan.ROUTER_MEMORY,
            Unit.BYTES,
            FigureSource.ISOLATED,
            "a record a member",
        ),
        Need(
            "router",
            "a process with the list of members: memory that is its own",
            None if real is None or list_memory is None else real.memory_alone + list_memory,
            plan.ROUTER_MEMORY,
            Unit.BYTES,
            FigureSource.CALCULATED,
            "interpreter and libraries are most of it; control shares them with the data plane",
        ),
        Need(
            "router",
            f"leases and changes of {plan.USUAL_POLICY_BYTES / 1024:.0f} KB policies: payload",
            traffic,
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            FigureSource.HOLLOW,
            "sub-leases; a policy's text goes once to each router that lacks it",
        ),
        Need(
            "router",
            "headers and acknowledgements of these",
            None if messages is None else 2 * messages * SEGMENTS_PER_MESSAGE * HEADER_BYTES,
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            FigureSource.CALCULATED,
            f"{HEADER_BYTES:.0f} bytes a segment, one acknowledgement a message",
        ),
        *[
            Need(
                "router",
                f"policies of {size / 1024:.0f} KB, the text of each change: payload",
                size * plan.CHANGES_PER_SECOND,
                plan.ROUTER_BYTES,
                Unit.BYTES_A_SECOND,
                FigureSource.CALCULATED,
                "missing: a change as a delta against the policy in force",
            )
            for size in plan.POLICY_SIZES_BYTES[2:]
        ],
        Need(
            "router",
            "changes to the list of members: payload",
            _cost_times(_planned_cost(results, "members.delta.bytes"), LIST_CHANGES_A_SECOND),
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            FigureSource.CALCULATED,
            "deltas of a long poll",
        ),
    ]


def _voter(results: Results) -> list[Need]:
    usage = _usage(results, "voter")
    direct_core = _planned_cost(results, "direct.voter.core")
    save_bytes = _planned_cost(results, "policy.save.bytes")
    return [
        Need(
            "voter",
            "every router leases from the voters, at rest: processor time",
            direct_core,
            plan.VOTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.HOLLOW,
            "not used at this size: lease aggregators",
        ),
        Need(
            "voter",
            "leases of the aggregators and changes: processor time",
            None if usage is None else usage.core,
            plan.VOTER_CORE_SHARE,
            Unit.CORE,
            FigureSource.HOLLOW,
            "lease aggregators; lease table without scans",
        ),
        Need(
            "voter",
            "holders in its table, if every router leased from it",
            float(plan.ROUTERS),
            float(MAX_HOLDERS),
            Unit.COUNT,
            FigureSource.CALCULATED,
            "a full table refuses with its reason",
        ),
        Need(
            "voter",
            "links, with aggregators",
            float(plan.AGGREGATORS + plan.VOTERS - 1),
            float(MAX_HOLDERS),
            Unit.COUNT,
            FigureSource.CALCULATED,
            "lease aggregators",
        ),
        Need(
            "voter",
            f"written to disk for changes of {LARGE_POLICY_BYTES / 1024:.0f} KB",
            _cost_times(save_bytes, plan.SAVES_PER_CHANGE * plan.CHANGES_PER_SECOND),
            None,
            Unit.BYTES_A_SECOND,
            FigureSource.CALCULATED,
            "two files in turn, whole state each time",
        ),
    ]


def _aggregator(results: Results) -> list[Need]:
    usage = _usage(results, "aggregator")
    return [
        Need(
            "aggregator",
            "sub-leases and changes: processor time",
            None if usage is None else usage.core,
            plan.AGGREGATOR_CORE_SHARE,
            Unit.CORE,
            FigureSource.HOLLOW,
            f"{plan.AGGREGATORS} aggregators, {plan.ROUTERS_PER_AGGREGATOR:.0f} routers each",
        ),
        Need(
            "aggregator",
            "resident memory",
            None if usage is None else usage.memory,
            None,
            Unit.BYTES,
            FigureSource.HOLLOW,
            "an entry a router; nothing on disk",
        ),
    ]


def _changes(results: Results) -> list[Need]:
    change_needs: list[Need] = []
    for series in tiered_fleets(results) or [()]:  # without a measured fleet, rows that say so
        fleet = f"{series[0].routers:,} routers" if series else "no fleet"
        undisturbed, with_kills = undisturbed_times(series), times_with_kills(series)
        limited = limited_by_machine(results, series[0].routers, series[0].aggregators) if series else ""
        change_needs += [
            Need(
                "change",
                f"in force everywhere, median, nothing killed, {fleet}",
                statistics.median(undisturbed) if undisturbed else None,
                plan.CHANGE_MEDIAN,
                Unit.SECONDS,
                FigureSource.HOLLOW,
                limited or "aggregators gather verdicts; short leases",
            ),
            Need(
                "change",
                f"in force everywhere, median, with a death in each, {fleet}",
                statistics.median(with_kills) if with_kills else None,
                plan.CHANGE_MEDIAN,
                Unit.SECONDS,
                FigureSource.HOLLOW,
                limited or "missing: to know that a killed process has ended before its lease does",
            ),
            Need(
                "change",
                f"in force everywhere, 99 of 100, with a death in each, {fleet}",
                percentile(with_kills, 0.99) if with_kills else None,
                plan.CHANGE_PERCENTILE_99,
                Unit.SECONDS,
                FigureSource.HOLLOW,
                limited or "leases of a few seconds",
            ),
        ]
    fastest = fastest_run(results)
    highest_rate = len(fastest.times) / fastest.seconds if fastest is not None and fastest.times else None
    fleet = f"{fastest.routers:,} routers" if fastest is not None else "no fleet"
    change_needs.append(
        Need(
            "change",
            f"seconds that one takes, of those between two at the planned rate, {fleet}",
            None if highest_rate is None else 1.0 / highest_rate,
            1.0 / plan.CHANGES_PER_SECOND,
            Unit.SECONDS,
            FigureSource.HOLLOW,
            "one change at a time; missing for more: several in one",
        )
    )
    return change_needs


def _discovery(results: Results) -> list[Need]:
    delta_bytes = _planned_cost(results, "members.delta.bytes")
    call_bytes = _planned_cost(results, "members.ask.bytes")
    list_bytes = _planned_cost(results, "members.list.bytes")
    answers_a_second = plan.ROUTERS * max(LIST_CHANGES_A_SECOND, 1.0 / LONG_POLL_SECONDS)
    return [
        Need(
            "discovery",
            "answers to all routers",
            answers_a_second,
            None,
            Unit.A_SECOND,
            FigureSource.CALCULATED,
            "long polls: each change answers all of them; missing: a tier of caches",
        ),
        Need(
            "discovery",
            "payload of changes to all routers",
            _cost_times(delta_bytes, plan.ROUTERS * LIST_CHANGES_A_SECOND),
            None,
            Unit.BYTES_A_SECOND,
            FigureSource.CALCULATED,
            "deltas",
        ),
        Need(
            "discovery",
            "payload of questions of all routers",
            _cost_times(call_bytes, answers_a_second),
            None,
            Unit.BYTES_A_SECOND,
            FigureSource.CALCULATED,
            "one question after each answer",
        ),
        Need(
            "discovery",
            "whole lists to the routers of a zone that comes back",
            _cost_times(list_bytes, plan.ROUTERS / plan.ZONES_IN_ALL_REGIONS),
            None,
            Unit.BYTES,
            FigureSource.CALCULATED,
            "missing: the list kept on disk over a restart",
        ),
    ]


def _database() -> list[Need]:
    return [
        Need(
            "database",
            "connections to one member, one of each router",
            float(plan.ROUTERS),
            None,
            Unit.COUNT,
            FigureSource.CALCULATED,
            "missing: a part of the members for each router",
        ),
        Need(
            "database",
            "connections between all routers and all members",
            float(plan.MEMBER_CONNECTIONS),
            None,
            Unit.COUNT,
            FigureSource.CALCULATED,
            "missing: a part of the members for each router",
        ),
    ]


def _operator(results: Results) -> list[Need]:
    return [
        Need(
            "operator's tool",
            "answer of a voter with every router as a holder",
            _planned_cost(results, "operator.show.bytes"),
            None,
            Unit.BYTES,
            FigureSource.ISOLATED,
            "with aggregators a voter lists these, with counts",
        ),
        Need(
            "operator's tool",
            "its time to read that answer",
            _planned_cost(results, "operator.show.tool"),
            None,
            Unit.SECONDS,
            FigureSource.ISOLATED,
            "the same",
        ),
    ]


def _data_plane(results: Results) -> list[Need]:
    statement_seconds = _planned_cost(results, "data.statement")
    return [
        Need(
            "data plane",
            f"{plan.STATEMENTS_PER_ROUTER:,.0f} statements a second: processor time",
            _cost_times(statement_seconds, plan.STATEMENTS_PER_ROUTER),
            ROUTER_CORES,
            Unit.CORE,
            FigureSource.CALCULATED,
            "missing: more than one process on a machine behind one address",
        ),
        Need(
            "data plane",
            "client connections of a router",
            plan.CLIENTS_PER_ROUTER,
            float(Limits().clients),
            Unit.COUNT,
            FigureSource.CALCULATED,
            "the limit that a file has by default",
        ),
    ]
