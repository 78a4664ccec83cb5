"""Generates the tables of docs/CAPACITY.md from the results of the capacity benchmark. Pure.

The page marks the place of each table by `<!-- table: NAME -->` and `<!-- end of table -->`; what stands between them
is replaced by the table that `TABLES` has for NAME. A figure that was not measured is shown as "not measured". The
texts of the tables are part of the page.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Callable, Sequence

from banklift.discovery.client import CALL_TIMEOUT_SECONDS, LONG_POLL_SECONDS
from banklift.fleet.lease_table import closing_lease_time
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_needs import (
    LIST_CHANGES_A_SECOND,
    Need,
    Unit,
    needs,
    percentile,
    rate_run,
    tiered_fleets,
    times_with_kills,
    undisturbed_times,
)
from banklift.rig.capacity_results import ChangeSeries, FigureSource, IdleFleet, Results, Slope, Victim

MISSING = "not measured"
NOTHING_KILLED = "nothing"  # stands for `Victim.NONE`, whose value is empty
# fraction of the planned rate from which a series has kept it; the last change may end just after the series' time
MIN_RATE_KEPT = 0.97
TABLE_PLACE = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)


class UnknownTable(Exception):
    """The page has a place for a table of this name, and `TABLES` has none."""


def fill_tables(page: str, results: Results) -> str:
    """The page with the tables of these results in place of those that it holds. Errors: `UnknownTable`."""

    def fill(place: re.Match[str]) -> str:
        make_table = TABLES.get(place[2])
        if make_table is None:
            raise UnknownTable(place[2])
        return f"{place[1]}{make_table(results)}\n{place[3]}"

    return TABLE_PLACE.sub(fill, page)


# ---- formats of figures


def format_seconds(value: float) -> str:
    """Seconds, in the unit that suits the value."""
    if value >= 0.9995:
        return f"{value:.2f} s"
    return f"{value * 1e3:.3g} ms" if value >= 0.0009995 else f"{value * 1e6:.3g} us"


def format_bytes(value: float) -> str:
    """Bytes, in the decimal unit that suits the value."""
    for threshold, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if value >= threshold:
            return f"{value / threshold:.3g} {unit}"
    return f"{value:.0f} bytes"


def format_core(value: float) -> str:
    """A fraction of a core, in percent."""
    return f"{100 * value:.3g}% of a core"


def format_figure(value: float | None, unit: str) -> str:
    """A figure in its unit, one of `Unit`, or that it was not measured."""
    if value is None:
        return MISSING
    match unit:
        case Unit.CORE:
            return format_core(value)
        case Unit.BYTES:
            return format_bytes(value)
        case Unit.BYTES_A_SECOND:
            return f"{format_bytes(value)}/s"
        case Unit.SECONDS:
            return format_seconds(value)
        case Unit.A_SECOND:
            return f"{value:,.0f}/s"
    return f"{value:,.0f}"


def markdown_table(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    """A Markdown table with this head; without rows, a sentence that nothing was measured."""
    if not body:
        return f"{MISSING.capitalize()}."
    lines = [" | ".join(head), " | ".join("---" for _ in head), *(" | ".join(row) for row in body)]
    return "\n".join(f"| {line} |" for line in lines)


def fleet_label(run: IdleFleet | ChangeSeries) -> str:
    """The size and the leases of the hollow fleet that was measured."""
    tiers = f"{run.voters} voters"
    leases = format_seconds(run.lease)
    if run.aggregators:
        tiers += f" + {run.aggregators} aggregators"
        leases += f" and {format_seconds(run.sub_lease)}"
    return f"{run.routers:,} routers, {tiers}, leases of {leases}"


# ---- tables


def machine_table(results: Results) -> str:
    """The machine, version and load of each part of the benchmark."""
    body = [
        [
            name,
            f"{machine.cores} cores, {format_bytes(machine.memory)}, Python {machine.python}, kernel {machine.kernel}",
            machine.commit,
            f"{machine.load_before:.1f}, {machine.load_after:.1f}",
        ]
        for name, machine in results.machines.items()
    ]
    return markdown_table(["part", "machine", "version", "load average before, after"], body)


def plan_table(results: Results) -> str:
    """The planned fleet and its budgets."""
    body = [
        ["routers", f"{plan.ROUTERS:,}", ""],
        ["databases (members)", f"{plan.MEMBERS:,}", ""],
        ["client connections", f"{plan.CLIENT_CONNECTIONS:,}", f"{plan.CLIENTS_PER_ROUTER:,.0f} a router"],
        ["statements a second", f"{plan.STATEMENTS:,}", f"{plan.STATEMENTS_PER_ROUTER:,.0f} a router"],
        ["regions, zones", f"{plan.REGIONS}, {plan.ZONES}", "docs/questions.md"],
        [
            "changes of configuration a day",
            f"{plan.CONFIGURATION_CHANGES:,}",
            f"{plan.CHANGES_PER_SECOND:.3f} a second",
        ],
        ["in force everywhere within", format_seconds(plan.CHANGE_TIME), ""],
        [
            "changes of primary a day, each over within",
            f"{plan.PRIMARY_CHANGES}, {format_seconds(plan.PRIMARY_CHANGE_TIME)}",
            "",
        ],
        [
            "machines that fail, routers restarted, a day",
            f"{plan.MACHINE_FAILURES}, {plan.ROUTER_RESTARTS:,}",
            f"one of both each {plan.DAY / plan.EVENTS_A_DAY:.0f} s",
        ],
        [
            "a router's control",
            f"{format_core(plan.ROUTER_CORE_SHARE)}, {format_bytes(plan.ROUTER_MEMORY)}, "
            f"{format_bytes(plan.ROUTER_BYTES)}/s",
            "",
        ],
        [
            "machines for control",
            f"{plan.CONTROL_MACHINES}",
            f"{plan.VOTERS} voters, {plan.AGGREGATORS} aggregators, "
            f"{plan.ROUTERS_PER_AGGREGATOR:.0f} routers an aggregator",
        ],
        ["connections, every router to every member", f"{plan.MEMBER_CONNECTIONS:,}", ""],
    ]
    return markdown_table(["plan", "figure", "reckoned"], body)


def budget_table(results: Results) -> str:
    """The needs of all roles beside their budgets, the worst ratio first."""

    def row(need: Need) -> list[str]:
        ratio = "" if need.ratio is None else f"{need.ratio:.3g}"
        return [
            need.role,
            need.what,
            format_figure(need.need, need.unit),
            "none stated" if need.budget is None else format_figure(need.budget, need.unit),
            ratio,
            need.how,
            need.mechanism,
        ]

    head = ["role", "what", "need", "budget", "need / budget", "from", "carried by"]
    return markdown_table(head, [row(need) for need in needs(results)])


def _format_slopes(shown_slopes: Sequence[Slope]) -> str:
    """A table of these slopes, one in each row."""
    body = [
        [
            slope.role,
            slope.what,
            slope.against,
            ", ".join(f"{size:,.0f}: {format_figure(cost, slope.unit)}" for size, cost in slope.points),
            slope.form,
            f"{slope.residual:.2f}",
            f"{format_figure(slope.value, slope.unit)} at {slope.size:,.0f}",
            slope.how,
        ]
        for slope in shown_slopes
    ]
    return markdown_table(
        ["role", "cost", "against", "measured", "form", "residual", "at the planned size", "from"], body
    )


def slope_table(results: Results) -> str:
    """All slopes but those of the data plane."""
    return _format_slopes([slope for slope in results.slopes if not slope.key.startswith("data.")])


def lease_table_comparison(results: Results) -> str:
    """A voter's costs with an older lease table, which scanned all holders, beside the costs of the present one."""
    body = []
    for old in results.before:
        new = results.slope(old.key)
        now = [MISSING, ""] if new is None else [format_figure(new.value, new.unit), new.form]
        body.append([old.what, format_figure(old.value, old.unit), old.form, *now])
    return markdown_table(
        [f"a voter with {plan.ROUTERS:,} lease holders", "before", "form", "now", "form"], body
    )


def rest_table(results: Results) -> str:
    """What each role of each hollow fleet uses at rest."""
    body = []
    for rest in results.rests:
        for role in ("router", "voter", "aggregator"):
            usage = getattr(rest, role)
            if usage is not None:
                body.append(
                    [
                        fleet_label(rest),
                        role,
                        format_core(usage.core),
                        format_bytes(usage.memory),
                        f"{format_bytes(usage.sent)}/s, {format_bytes(usage.received)}/s",
                        f"{usage.messages:.3g}",
                        f"{rest.machine_core:.1f}",
                        f"{rest.refusing}",
                    ]
                )
    head = [
        "fleet",
        "role",
        "processor time of one",
        "memory of one",
        "sent, received",
        "messages a second",
        "cores, all processes",
        "lapses of a lease",
    ]
    return markdown_table(head, body)


def real_router_table(results: Results) -> str:
    """What a real router uses at rest."""
    body = [
        [
            f"{run.processes}",
            format_core(run.core),
            format_bytes(run.memory),
            format_bytes(run.memory_alone),
            format_bytes(run.memory_alone * run.processes),
        ]
        for run in results.real
    ]
    return markdown_table(
        ["real routers", "processor time of one", "resident", "of this its own", "own, all of them"], body
    )


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


def primary_change_table(results: Results) -> str:
    """The time that a change of a group's primary may take, as a sum."""
    delta = results.slope("members.delta")
    read_time = None if delta is None else delta.value
    max_notification_time = LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS
    remaining = plan.PRIMARY_CHANGE_TIME - max_notification_time - (read_time or 0.0)
    body = [
        ["a long poll is answered as soon as discovery knows", "one way over the network", ""],
        [
            "... or, where the watch was silent, until it is opened anew",
            f"up to {format_seconds(max_notification_time)}",
            FigureSource.CALCULATED,
        ],
        [
            "the change is read and known to the decision module",
            format_figure(read_time, Unit.SECONDS),
            FigureSource.ISOLATED,
        ],
        ["writes that were held go to the new primary", "at once", ""],
        [
            "left for the group to elect and tell discovery",
            format_figure(remaining, Unit.SECONDS),
            FigureSource.CALCULATED,
        ],
    ]
    return markdown_table([f"part of {format_seconds(plan.PRIMARY_CHANGE_TIME)}", "time", "from"], body)


def ordinary_day_table(results: Results) -> str:
    """What the failures, restarts and changes of an ordinary day cost."""
    sub_lease = plan.SUB_LEASE_SECONDS
    delayed_by_failures = plan.MACHINE_FAILURES * plan.CHANGES_PER_SECOND * sub_lease
    delayed_if_all_killed = plan.EVENTS_A_DAY * plan.CHANGES_PER_SECOND * sub_lease
    list_slope = results.slope("members.list.bytes")
    first_read = results.slope("members.first")
    list_bytes = None if list_slope is None else list_slope.value * plan.EVENTS_A_DAY
    body = [
        [
            f"{plan.MACHINE_FAILURES} machines fail",
            "changes that begin within a sub-lease of it wait for its end",
            f"{delayed_by_failures:.0f} of {plan.CONFIGURATION_CHANGES:,} changes, "
            f"{_percent_of_changes(delayed_by_failures)}",
        ],
        [
            f"{plan.ROUTER_RESTARTS:,} routers restart by SIGTERM",
            "they give their sub-leases back, and no change waits",
            "0",
        ],
        [
            f"... if these were killed as well, {plan.EVENTS_A_DAY:,} in all",
            "the same wait",
            f"{delayed_if_all_killed:,.0f} changes, {_percent_of_changes(delayed_if_all_killed)}",
        ],
        [
            "each start reads the whole list",
            "bytes of discovery a day; processor time of the router",
            f"{format_figure(list_bytes, Unit.BYTES)}; "
            f"{format_figure(None if first_read is None else first_read.value, Unit.SECONDS)}",
        ],
        [
            f"{plan.PRIMARY_CHANGES} changes of primary",
            "one entry of the list to every router",
            f"{plan.PRIMARY_CHANGES * plan.ROUTERS:,} answers of discovery a day",
        ],
        [
            f"{plan.CONFIGURATION_CHANGES:,} changes of configuration",
            "each router without a lease for a moment at the switch",
            _refusing_time(results),
        ],
    ]
    return markdown_table(["in a day", "what it does", "what it costs (reckoned)"], body)


def _percent_of_changes(count: float) -> str:
    """A number of changes as a part of all changes of a day."""
    return f"{100 * count / plan.CONFIGURATION_CHANGES:.2f}%"


def _refusing_time(results: Results) -> str:
    """For how long a router has no lease because of one change, and because of all at the planned rate."""
    run = rate_run(results)
    if run is None:
        return MISSING
    fraction = run.refusing_mean * plan.CHANGES_PER_SECOND
    return (
        f"{format_seconds(run.refusing_mean)} a change and router, "
        f"{100 * fraction:.2g}% of the time (measured, hollow)"
    )


def zone_loss_table(results: Results) -> str:
    """What the loss and return of a zone mean, by both readings of the planned number of zones."""
    list_slope = results.slope("members.list.bytes")
    body = []
    for zones, reading in (
        (plan.ZONES, "8 zones in all"),
        (plan.ZONES_IN_ALL_REGIONS, "8 zones in each region"),
    ):
        routers = plan.ROUTERS / zones
        list_bytes = None if list_slope is None else list_slope.value * routers
        body.append(
            [
                reading,
                f"{routers:,.0f}",
                f"{plan.AGGREGATORS / zones:.1f}",
                f"up to {format_seconds(plan.LEASE_SECONDS)}",
                format_figure(list_bytes, Unit.BYTES),
                f"{plan.CLIENT_CONNECTIONS / zones:,.0f}",
            ]
        )
    head = [
        "reading",
        "routers of a zone",
        "aggregators of a zone, of those planned",
        "a change that begins then waits",
        "whole lists at its return",
        "clients that connect elsewhere",
    ]
    return markdown_table(head, body)


def region_isolation_table(results: Results) -> str:
    """What regions that lose each other for an hour can do."""
    waiting_changes = plan.ISOLATION * plan.CHANGES_PER_SECOND
    lease = format_seconds(plan.LEASE_SECONDS)
    body = [
        [
            "the regions that have a majority of the voters between them",
            "everything",
            f"changes wait once, up to {lease}, then go on",
        ],
        [
            "a region cut off from that majority",
            f"its routers refuse everything from {lease} on, at the latest, to the end",
            "its routers take part in none; they adopt the newest policy at the end",
        ],
        [
            "no region has a majority (each alone)",
            f"every router refuses from {lease} on",
            f"all wait: {waiting_changes:,.0f} in an hour, one at a time",
        ],
        [
            "a lease of an hour instead",
            "every router serves on",
            f"each change waits for up to {format_seconds(plan.ISOLATION)} once anything is cut off or killed",
        ],
    ]
    return markdown_table(["who", "requests", "changes"], body)


def data_plane_table(results: Results) -> str:
    """What a router's planned requests cost, calculated from one measured statement."""
    statement = results.slope("data.statement")
    statement_time = None if statement is None else statement.value
    cores = None if statement_time is None else statement_time * plan.STATEMENTS_PER_ROUTER
    max_rate = None if statement_time is None else 1.0 / statement_time
    body = [
        [
            "one statement, processor time on sockets",
            format_figure(statement_time, Unit.SECONDS),
            FigureSource.REAL,
        ],
        [
            "statements a second that one process takes at the most",
            format_figure(max_rate, Unit.COUNT),
            FigureSource.CALCULATED,
        ],
        ["statements a second and router, planned", f"{plan.STATEMENTS_PER_ROUTER:,.0f}", "plan"],
        [
            "cores that a router needs for them",
            MISSING if cores is None else f"{cores:.2f}",
            FigureSource.CALCULATED,
        ],
        ["client connections a router", f"{plan.CLIENTS_PER_ROUTER:,.0f}", "plan"],
        ["changes to the list a second, at the most", f"{LIST_CHANGES_A_SECOND:.2f}", "plan"],
    ]
    return markdown_table(["data plane", "figure", "from"], body)


def notes_list(results: Results) -> str:
    """What a run of the benchmark could not measure."""
    return "\n".join(f"- {note}" for note in results.notes) or "Nothing was cut short."


# by the name of its place on the page
TABLES: dict[str, Callable[[Results], str]] = {
    "machines": machine_table,
    "plan": plan_table,
    "budget": budget_table,
    "slopes": slope_table,
    "before": lease_table_comparison,
    "rests": rest_table,
    "real": real_router_table,
    "changes": change_table,
    "deaths": aggregator_kill_table,
    "aims": target_table,
    "way": change_duration_table,
    "primary": primary_change_table,
    "day": ordinary_day_table,
    "zone": zone_loss_table,
    "regions": region_isolation_table,
    "data-plane": data_plane_table,
    "notes": notes_list,
}
