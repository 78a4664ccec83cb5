"""The tables of docs/CAPACITY.md on changes of policy: their times, costs and targets, also when members are killed.
Pure."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

from banklift.fleet.lease_table import closing_lease_time
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_format import (
    MISSING,
    fleet_label,
    format_core,
    format_figure,
    format_seconds,
    markdown_table,
)
from banklift.rig.capacity_needs import Unit, percentile, tiered_fleets, times_with_kills, undisturbed_times
from banklift.rig.capacity_results import ChangeSeries, Results, Victim

NOTHING_KILLED = "nothing"  # stands for `Victim.NONE`, whose value is empty
# fraction of the planned rate from which a series has kept it; the last change may end just after the series' time
MIN_RATE_KEPT = 0.97


def change_table(results: Results) -> str:
    """Each series of changes in hollow fleets, with its times and costs."""
    body = []
    for series in results.changes:
        times = series.times
        body.append(
            [
                fleet_label(series),
                series.kill or "nothing",
                _rate_label(series),
                f"{len(times)}",
                f"{series.failed}",
                format_seconds(statistics.median(times)) if times else MISSING,
                format_seconds(percentile(times, 0.99)) if times else MISSING,
                f"{format_seconds(series.refusing_mean)}, {format_seconds(series.refusing_most)}",
                _core_by_role(series),
                f"{series.machine_core:.1f}",
                _cost_beyond_rest(results, series),
            ]
        )
    head = [
        "fleet",
        "killed",
        "asked for",
        "in force",
        "not in time",
        "median",
        "most, or 99 of 100",
        "a router without a lease: mean of a change, most",
        "processor time: a router, a voter, an aggregator",
        "cores, all processes",
        "processor time of a change beyond rest, all processes",
    ]
    return markdown_table(head, body)


def _cost_beyond_rest(results: Results, series: ChangeSeries) -> str:
    """Processor time that one change costs the whole fleet in addition to what the fleet uses at rest."""
    shape = series.routers, series.voters, series.aggregators
    rest = next(
        (
            candidate
            for candidate in results.rests
            if (candidate.routers, candidate.voters, candidate.aggregators) == shape
        ),
        None,
    )
    count = len(series.times) + series.failed
    if rest is None or not count:
        return MISSING
    return format_seconds(max(0.0, (series.machine_core - rest.machine_core) * series.seconds / count))


def _rate_label(series: ChangeSeries) -> str:
    """How fast the changes of a series followed one another."""
    if not series.rate:
        return "one after the other, with pauses for what was killed"
    if series.rate > 2 * plan.CHANGES_PER_SECOND:
        return f"as fast as they go: {len(series.times) / series.seconds:.2f} a second"
    return f"{series.rate:.2f} a second for {series.seconds:.0f} s"


def _core_by_role(series: ChangeSeries) -> str:
    """Processor time of a router, a voter and, if the fleet has them, an aggregator."""
    usages = [series.router, series.voter, *([series.aggregator] if series.aggregator is not None else [])]
    return ", ".join(format_core(usage.core) if usage.core else MISSING for usage in usages)


def aggregator_kill_table(results: Results) -> str:
    """Aggregators that were killed in fleets at rest, and the lapses of routers' leases."""
    body = [
        [
            f"{trial.routers:,} routers, {trial.aggregators} aggregators",
            f"{trial.trials}",
            f"{trial.moved:,}",
            f"{trial.refusing}",
            format_seconds(trial.refusing_most),
        ]
        for trial in results.deaths
    ]
    head = [
        "fleet at rest",
        "aggregators killed",
        "routers that leased from them",
        "times that a router had no lease",
        "longest",
    ]
    return markdown_table(head, body)


def target_table(results: Results) -> str:
    """Each target beside what was measured, by fleet, and whether the fleet meets it."""
    fleets = tiered_fleets(results)
    body = [row for series in fleets for row in _target_rows(results, series)]
    return markdown_table(["fleet", "aim", "limit", "measured, hollow", "of", "holds"], body)


def _target_rows(results: Results, series: Sequence[ChangeSeries]) -> list[list[str]]:
    """The rows of one fleet in the table of targets."""
    fleet_name = fleet_label(series[0])
    body: list[list[str]] = []

    def add_target(what: str, limit: float, figure: float | None, unit: Unit, sample: str) -> None:
        holds = MISSING if figure is None else ("yes" if figure <= limit else "**no**")
        body.append(
            [fleet_name, what, format_figure(limit, unit), format_figure(figure, unit), sample, holds]
        )

    undisturbed, with_kills = undisturbed_times(series), times_with_kills(series)
    victims = ", ".join(
        changes.kill for changes in series if changes.kill and changes.kill != Victim.FIVE_ROUTERS_BY_SIGTERM
    )
    kill_sample = f"{len(with_kills)} changes: {victims}" if with_kills else MISSING
    median = statistics.median(undisturbed) if undisturbed else None
    add_target(
        "change, nothing killed, median",
        plan.CHANGE_MEDIAN,
        median,
        Unit.SECONDS,
        f"{len(undisturbed)} changes",
    )
    median = statistics.median(with_kills) if with_kills else None
    add_target("change with a death, median", plan.CHANGE_MEDIAN, median, Unit.SECONDS, kill_sample)
    percentile_99 = percentile(with_kills, 0.99) if with_kills else None
    add_target(
        "change with a death, 99 of 100", plan.CHANGE_PERCENTILE_99, percentile_99, Unit.SECONDS, kill_sample
    )
    failed = float(sum(changes.failed for changes in series)) if series else None
    add_target("changes that were not in force in time", 0.0, failed, Unit.COUNT, "all series")
    for trial in results.deaths:
        if (trial.routers, trial.aggregators) == (series[0].routers, series[0].aggregators):
            lapses = float(trial.refusing)
            sample = f"{trial.trials} deaths, {trial.moved:,} routers that moved"
            add_target("routers without a lease as an aggregator dies", 0.0, lapses, Unit.COUNT, sample)
    at_a_rate = [changes for changes in series if changes.rate]
    if not at_a_rate:
        body.append([fleet_name, *_rate_target(), "", MISSING, "", MISSING])
    for changes in at_a_rate:
        body += _rate_rows(fleet_name, changes, add_target)
    return body


def _rate_target() -> list[str]:
    """The name of the target for the rate of changes, as the one cell of a list."""
    return [f"{plan.CHANGES_PER_SECOND:.2f} changes a second for two minutes"]


def _rate_rows(
    fleet_name: str, series: ChangeSeries, add_target: Callable[[str, float, float | None, Unit, str], None]
) -> list[list[str]]:
    """The row of a series at a rate; `add_target` gets the targets that are checked at the planned rate."""
    rate, attempted = len(series.times) / series.seconds, len(series.times) + series.failed
    if series.rate > 2 * plan.CHANGES_PER_SECOND:
        return [[fleet_name, "highest rate held", "", f"{rate:.2f}/s", f"{series.seconds:.0f} s", ""]]
    holds = series.failed == 0 and rate >= MIN_RATE_KEPT * plan.CHANGES_PER_SECOND
    sample = f"{len(series.times)} of {attempted} in force, {series.seconds:.0f} s"
    at_rate = "at that rate"
    add_target("a voter's processor time", plan.VOTER_CORE_SHARE, series.voter.core, Unit.CORE, at_rate)
    if series.aggregator is not None:
        aggregator_core = series.aggregator.core
        add_target(
            "an aggregator's processor time", plan.AGGREGATOR_CORE_SHARE, aggregator_core, Unit.CORE, at_rate
        )
    add_target("a router's processor time", plan.ROUTER_CORE_SHARE, series.router.core, Unit.CORE, at_rate)
    traffic = series.router.sent + series.router.received
    add_target("a router's payload", plan.ROUTER_BYTES, traffic, Unit.BYTES_A_SECOND, at_rate)
    limit = f"{plan.CHANGES_PER_SECOND:.2f}/s"
    return [[fleet_name, *_rate_target(), limit, f"{rate:.2f}/s", sample, "yes" if holds else "**no**"]]


def change_duration_table(results: Results) -> str:
    """The time that a change may take after a failure, as a sum, beside what was measured."""
    lease, sub_lease = plan.LEASE_SECONDS, plan.SUB_LEASE_SECONDS
    one_by_one = [series for series in results.changes if series.aggregators and not series.rate]
    if one_by_one:
        lease, sub_lease = one_by_one[0].lease, one_by_one[0].sub_lease
    closing = closing_lease_time(lease)
    # what failed, seconds that a change waits for leases of it, and the `Victim` of such trials
    failures = [
        ("nothing", 0.0, NOTHING_KILLED),
        ("a router, killed", sub_lease, "a router"),
        ("five routers that end by SIGTERM", 0.0, "five routers by SIGTERM"),
        ("a rack of routers, killed", sub_lease, "five routers"),
        ("a control machine with an aggregator", lease, "an aggregator"),
        ("a control machine with a voter", 0.0, ""),
        ("a zone: routers, aggregators, a voter", lease, ""),
    ]
    body = []
    for what, wait, victim in failures:
        total = wait + closing
        body.append(
            [
                what,
                f"up to {format_seconds(wait)}" if wait else "0",
                format_seconds(closing),
                f"up to {format_seconds(total)}" if wait else format_seconds(total),
                _measured_times(results, victim),
            ]
        )
    head = [
        "lost just before",
        "until its lease has ended",
        "short leases run out",
        "sum, without messages and disk",
        "measured, hollow: median, most",
    ]
    return markdown_table(head, body)


def _measured_times(results: Results, victim: str) -> str:
    """Median and maximum of the times of changes with this victim, by fleet. An empty victim was never tried."""
    kill = "" if victim == NOTHING_KILLED else victim
    times = [
        f"{format_seconds(statistics.median(changes.times))}, {format_seconds(max(changes.times))}"
        f" ({changes.routers:,} routers)"
        for series in tiered_fleets(results)
        for changes in series
        if victim and changes.kill == kill and not changes.rate and changes.times
    ]
    return "; ".join(times) or MISSING
