"""Generates the tables of docs/CAPACITY.md from the results of the capacity benchmark. Pure.

The page marks the place of each table by `<!-- table: NAME -->` and `<!-- end of table -->`; what stands between them
is replaced by the table that `TABLES` has for NAME. A figure that was not measured is shown as "not measured". The
texts of the tables are part of the page.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_change_tables import (
    aggregator_kill_table,
    change_duration_table,
    change_table,
    target_table,
)
from banklift.rig.capacity_day_tables import (
    ordinary_day_table,
    primary_change_table,
    region_isolation_table,
    zone_loss_table,
)
from banklift.rig.capacity_format import (
    MISSING,
    fleet_label,
    format_bytes,
    format_core,
    format_figure,
    format_seconds,
    markdown_table,
)
from banklift.rig.capacity_needs import LIST_CHANGES_A_SECOND, Need, Unit, needs
from banklift.rig.capacity_results import FigureSource, Results, Slope

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
