"""Each role's needs at the planned size beside its budgets, reckoned from measured figures. Pure.

A need is `None` where the figure it rests on was not measured; the page says so. `ratio` is need over budget: above one
the budget is exceeded.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from banklift.discovery.client import LONG_POLL
from banklift.fleet.holder_table import MAX_HOLDERS
from banklift.proxy.plan import Limits
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_results import Changes, How, Rest, Results, Share, Victim

HEADERS = 66.0  # bytes of Ethernet, IP and TCP with timestamps around each segment
SEGMENTS_A_MESSAGE = 2.0  # the message's, and an acknowledgement
BUSY_PART = 0.5  # of a machine's cores at rest, from which a change waits for a core
ONE_CORE = 1.0  # a router is one process on one core
LIST_CHANGES = (
    plan.CONFIGURATION_CHANGES + plan.EVENTS_A_DAY
) / plan.DAY  # a second, as if all were in the list
LARGE_POLICY = plan.POLICY_SIZES[-1]


class Unit(StrEnum):
    """How a need is shown."""

    CORE = "core"
    BYTES = "bytes"
    BYTES_A_SECOND = "bytes/s"
    SECONDS = "s"
    COUNT = ""
    A_SECOND = "/s"


@dataclass(frozen=True, slots=True)
class Need:
    """`budget`: None where none was stated. `mechanism`: what carries it, or what is missing."""

    role: str
    what: str
    need: float | None
    budget: float | None
    unit: Unit
    how: How
    mechanism: str

    @property
    def ratio(self) -> float | None:
        return None if self.need is None or self.budget is None else self.need / self.budget


def needs(results: Results) -> list[Need]:
    """All of them, the worst ratio first; those without a budget, and those that were not measured, last."""
    found = [
        *_router(results),
        *_voter(results),
        *_aggregator(results),
        *_changes(results),
        *_discovery(results),
        *_database(),
        *_operator(results),
        *_data_plane(results),
    ]
    return sorted(found, key=lambda one: -1.0 if one.ratio is None else one.ratio, reverse=True)


# ---- what was measured


def rest_at(results: Results, tiered: bool) -> Rest | None:
    """The largest fleet at rest."""
    rests = [one for one in results.rests if (one.aggregators > 0) is tiered]
    return max(rests, key=lambda one: one.routers, default=None)


def rate_run(results: Results) -> Changes | None:
    """The largest fleet with changes at the planned rate."""
    runs = [one for one in results.changes if one.rate and one.rate <= 2 * plan.CHANGES_A_SECOND]
    return max(runs, key=lambda one: one.routers, default=None)


def fastest_run(results: Results) -> Changes | None:
    """The largest fleet with one change after the other."""
    runs = [one for one in results.changes if one.rate > 2 * plan.CHANGES_A_SECOND]
    return max(runs, key=lambda one: one.routers, default=None)


def percentile(times: Sequence[float], part: float) -> float:
    """The time within which that part of them is, of those that were measured."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def tiered_fleets(results: Results) -> list[tuple[Changes, ...]]:
    """Series of changes in fleets with aggregators, by fleet, the largest first."""
    fleets: dict[tuple[int, int], list[Changes]] = {}
    for one in results.changes:
        if one.aggregators:
            fleets.setdefault((one.routers, one.aggregators), []).append(one)
    return [tuple(fleets[key]) for key in sorted(fleets, reverse=True)]


def undisturbed(series: Sequence[Changes]) -> list[float]:
    """Times of changes one after the other, with nothing killed."""
    return [time for one in series if not one.kill and not one.rate for time in one.times]


def with_deaths(series: Sequence[Changes]) -> list[float]:
    """Times of changes with something killed at a drawn moment."""
    return [time for one in series if one.kill and one.kill != Victim.LEAVING for time in one.times]


def limited_by_machine(results: Results, routers: int, aggregators: int) -> str:
    """Why the times of this fleet hold the wait for a core, in words; empty if most cores are free at rest."""
    machine = results.machines.get("aims")
    rest = next(
        (one for one in results.rests if (one.routers, one.aggregators) == (routers, aggregators)), None
    )
    if machine is None or rest is None or rest.machine_core < BUSY_PART * machine.cores:
        return ""
    return f"limited by the one machine: at rest its processes use {rest.machine_core:.1f} of {machine.cores} cores"


def _value(results: Results, key: str) -> float | None:
    slope = results.slope(key)
    return None if slope is None else slope.value


def _per_second(cost: float | None, rate: float) -> float | None:
    return None if cost is None else cost * rate


def _busiest(results: Results, role: str) -> Share | None:
    """Of the run at the planned rate, or at rest if there was none."""
    run = rate_run(results) or rest_at(results, True)
    return getattr(run, role) if run is not None else None


# ---- roles


def _router(results: Results) -> list[Need]:
    share = _busiest(results, "router")
    core = None if share is None else share.core
    traffic = None if share is None else share.sent + share.received
    messages = None if share is None else share.messages
    real = max(results.real, key=lambda one: one.processes, default=None)
    kept = _value(results, "members.kept")
    policy = None
    check, adopt = _value(results, "policy.check"), _value(results, "policy.adopt")
    if check is not None and adopt is not None:
        policy = (check + adopt) * plan.CHANGES_A_SECOND
    return [
        Need(
            "router",
            "leases and changes: processor time",
            core,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            How.HOLLOW,
            "sub-leases of one aggregator, with a standby",
        ),
        Need(
            "router",
            f"check of and change to policies of {LARGE_POLICY / 1024:.0f} KB: processor time",
            policy,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            How.RECKONED,
            "whole policies are checked; missing for larger ones: parts of a policy",
        ),
        Need(
            "router",
            "changes to the list of members: processor time",
            _per_second(_value(results, "members.delta"), LIST_CHANGES),
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            How.RECKONED,
            "deltas; each still costs O(members)",
        ),
        Need(
            "router",
            "a whole process at rest: processor time",
            None if real is None else real.core,
            plan.ROUTER_CORE_SHARE,
            Unit.CORE,
            How.REAL,
            "leases, idle links to three members",
        ),
        Need(
            "router",
            "the list of members: memory",
            kept,
            plan.ROUTER_MEMORY,
            Unit.BYTES,
            How.ALONE,
            "a record a member",
        ),
        Need(
            "router",
            "a process with the list of members: memory that is its own",
            None if real is None or kept is None else real.memory_alone + kept,
            plan.ROUTER_MEMORY,
            Unit.BYTES,
            How.RECKONED,
            "interpreter and libraries are most of it; control shares them with the data plane",
        ),
        Need(
            "router",
            f"leases and changes of {plan.POLICY_USUAL / 1024:.0f} KB policies: payload",
            traffic,
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            How.HOLLOW,
            "sub-leases; a policy's text goes once to each router that lacks it",
        ),
        Need(
            "router",
            "headers and acknowledgements of these",
            None if messages is None else 2 * messages * SEGMENTS_A_MESSAGE * HEADERS,
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            How.RECKONED,
            f"{HEADERS:.0f} bytes a segment, one acknowledgement a message",
        ),
        *[
            Need(
                "router",
                f"policies of {size / 1024:.0f} KB, the text of each change: payload",
                size * plan.CHANGES_A_SECOND,
                plan.ROUTER_BYTES,
                Unit.BYTES_A_SECOND,
                How.RECKONED,
                "missing: a change as a delta against the policy in force",
            )
            for size in plan.POLICY_SIZES[2:]
        ],
        Need(
            "router",
            "changes to the list of members: payload",
            _per_second(_value(results, "members.delta.bytes"), LIST_CHANGES),
            plan.ROUTER_BYTES,
            Unit.BYTES_A_SECOND,
            How.RECKONED,
            "deltas of a long poll",
        ),
    ]


def _voter(results: Results) -> list[Need]:
    share = _busiest(results, "voter")
    direct = _value(results, "direct.voter.core")
    saves = _value(results, "policy.save.bytes")
    return [
        Need(
            "voter",
            "every router leases from the voters, at rest: processor time",
            direct,
            plan.VOTER_CORE_SHARE,
            Unit.CORE,
            How.HOLLOW,
            "not used at this size: lease aggregators",
        ),
        Need(
            "voter",
            "leases of the aggregators and changes: processor time",
            None if share is None else share.core,
            plan.VOTER_CORE_SHARE,
            Unit.CORE,
            How.HOLLOW,
            "lease aggregators; lease table without scans",
        ),
        Need(
            "voter",
            "holders in its table, if every router leased from it",
            float(plan.ROUTERS),
            float(MAX_HOLDERS),
            Unit.COUNT,
            How.RECKONED,
            "a full table refuses with its reason",
        ),
        Need(
            "voter",
            "links, with aggregators",
            float(plan.AGGREGATORS + plan.VOTERS - 1),
            float(MAX_HOLDERS),
            Unit.COUNT,
            How.RECKONED,
            "lease aggregators",
        ),
        Need(
            "voter",
            f"written to disk for changes of {LARGE_POLICY / 1024:.0f} KB",
            _per_second(saves, plan.SAVES_PER_CHANGE * plan.CHANGES_A_SECOND),
            None,
            Unit.BYTES_A_SECOND,
            How.RECKONED,
            "two files in turn, whole state each time",
        ),
    ]


def _aggregator(results: Results) -> list[Need]:
    share = _busiest(results, "aggregator")
    return [
        Need(
            "aggregator",
            "sub-leases and changes: processor time",
            None if share is None else share.core,
            plan.AGGREGATOR_CORE_SHARE,
            Unit.CORE,
            How.HOLLOW,
            f"{plan.AGGREGATORS} aggregators, {plan.ROUTERS_PER_AGGREGATOR:.0f} routers each",
        ),
        Need(
            "aggregator",
            "resident memory",
            None if share is None else share.memory,
            None,
            Unit.BYTES,
            How.HOLLOW,
            "an entry a router; nothing on disk",
        ),
    ]


def _changes(results: Results) -> list[Need]:
    found: list[Need] = []
    for series in tiered_fleets(results) or [()]:
        fleet = f"{series[0].routers:,} routers" if series else "no fleet"
        quiet, deadly = undisturbed(series), with_deaths(series)
        limited = limited_by_machine(results, series[0].routers, series[0].aggregators) if series else ""
        found += [
            Need(
                "change",
                f"in force everywhere, median, nothing killed, {fleet}",
                statistics.median(quiet) if quiet else None,
                plan.CHANGE_MEDIAN,
                Unit.SECONDS,
                How.HOLLOW,
                limited or "aggregators gather verdicts; short leases",
            ),
            Need(
                "change",
                f"in force everywhere, median, with a death in each, {fleet}",
                statistics.median(deadly) if deadly else None,
                plan.CHANGE_MEDIAN,
                Unit.SECONDS,
                How.HOLLOW,
                limited or "missing: to know that a killed process has ended before its lease does",
            ),
            Need(
                "change",
                f"in force everywhere, 99 of 100, with a death in each, {fleet}",
                percentile(deadly, 0.99) if deadly else None,
                plan.CHANGE_PERCENTILE_99,
                Unit.SECONDS,
                How.HOLLOW,
                limited or "leases of a few seconds",
            ),
        ]
    fastest = fastest_run(results)
    held = len(fastest.times) / fastest.seconds if fastest is not None and fastest.times else None
    fleet = f"{fastest.routers:,} routers" if fastest is not None else "no fleet"
    found.append(
        Need(
            "change",
            f"seconds that one takes, of those between two at the planned rate, {fleet}",
            None if held is None else 1.0 / held,
            1.0 / plan.CHANGES_A_SECOND,
            Unit.SECONDS,
            How.HOLLOW,
            "one change at a time; missing for more: several in one",
        )
    )
    return found


def _discovery(results: Results) -> list[Need]:
    delta, ask = _value(results, "members.delta.bytes"), _value(results, "members.ask.bytes")
    whole = _value(results, "members.list.bytes")
    answers = plan.ROUTERS * max(LIST_CHANGES, 1.0 / LONG_POLL)
    return [
        Need(
            "discovery",
            "answers to all routers",
            answers,
            None,
            Unit.A_SECOND,
            How.RECKONED,
            "long polls: each change answers all of them; missing: a tier of caches",
        ),
        Need(
            "discovery",
            "payload of changes to all routers",
            _per_second(delta, plan.ROUTERS * LIST_CHANGES),
            None,
            Unit.BYTES_A_SECOND,
            How.RECKONED,
            "deltas",
        ),
        Need(
            "discovery",
            "payload of questions of all routers",
            _per_second(ask, answers),
            None,
            Unit.BYTES_A_SECOND,
            How.RECKONED,
            "one question after each answer",
        ),
        Need(
            "discovery",
            "whole lists to the routers of a zone that comes back",
            _per_second(whole, plan.ROUTERS / plan.ZONES_IN_ALL_REGIONS),
            None,
            Unit.BYTES,
            How.RECKONED,
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
            How.RECKONED,
            "missing: a part of the members for each router",
        ),
        Need(
            "database",
            "connections between all routers and all members",
            float(plan.MEMBER_CONNECTIONS),
            None,
            Unit.COUNT,
            How.RECKONED,
            "missing: a part of the members for each router",
        ),
    ]


def _operator(results: Results) -> list[Need]:
    return [
        Need(
            "operator's tool",
            "answer of a voter with every router as a holder",
            _value(results, "operator.show.bytes"),
            None,
            Unit.BYTES,
            How.ALONE,
            "with aggregators a voter lists these, with counts",
        ),
        Need(
            "operator's tool",
            "its time to read that answer",
            _value(results, "operator.show.tool"),
            None,
            Unit.SECONDS,
            How.ALONE,
            "the same",
        ),
    ]


def _data_plane(results: Results) -> list[Need]:
    statement = _value(results, "data.statement")
    return [
        Need(
            "data plane",
            f"{plan.STATEMENTS_PER_ROUTER:,.0f} statements a second: processor time",
            _per_second(statement, plan.STATEMENTS_PER_ROUTER),
            ONE_CORE,
            Unit.CORE,
            How.RECKONED,
            "missing: more than one process on a machine behind one address",
        ),
        Need(
            "data plane",
            "client connections of a router",
            plan.CLIENTS_PER_ROUTER,
            float(Limits().clients),
            Unit.COUNT,
            How.RECKONED,
            "the limit that a file has by default",
        ),
    ]
