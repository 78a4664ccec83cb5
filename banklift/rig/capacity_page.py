"""The tables of docs/CAPACITY.md, made from the results of the benchmark. Pure.

The page has places `<!-- table: NAME -->` ... `<!-- end of table -->`; what stands between them is made here and never
typed. A figure that was not measured is said to be so.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Callable, Sequence

from banklift.discovery.client import CALL_TIMEOUT, LONG_POLL
from banklift.fleet.lease_table import closing_lease
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_needs import (
    LIST_CHANGES,
    Need,
    Unit,
    needs,
    percentile,
    rate_run,
    tiered_fleets,
    undisturbed,
    with_deaths,
)
from banklift.rig.capacity_results import Changes, How, Rest, Results, Slope, Victim

MISSING = "not measured"
NOTHING_KILLED = "nothing"
RATE_HELD = 0.97  # of the rate that was asked for: the last change begins before the time is over
PLACE = re.compile(r"(<!-- table: ([a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)


class UnknownTable(Exception):
    """The page has a place for a table that is not made here."""


def filled(page: str, results: Results) -> str:
    """The page with all its tables made anew. Errors: `UnknownTable`."""

    def table(found: re.Match[str]) -> str:
        maker = TABLES.get(found[2])
        if maker is None:
            raise UnknownTable(found[2])
        return f"{found[1]}{maker(results)}\n{found[3]}"

    return PLACE.sub(table, page)


# ---- figures


def seconds(value: float) -> str:
    if value >= 0.9995:
        return f"{value:.2f} s"
    return f"{value * 1e3:.3g} ms" if value >= 0.0009995 else f"{value * 1e6:.3g} us"


def size(value: float) -> str:
    for limit, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if value >= limit:
            return f"{value / limit:.3g} {unit}"
    return f"{value:.0f} bytes"


def core(value: float) -> str:
    return f"{100 * value:.3g}% of a core"


def shown(value: float | None, unit: str) -> str:
    """A figure with its unit."""
    if value is None:
        return MISSING
    match unit:
        case Unit.CORE:
            return core(value)
        case Unit.BYTES:
            return size(value)
        case Unit.BYTES_A_SECOND:
            return f"{size(value)}/s"
        case Unit.SECONDS:
            return seconds(value)
        case Unit.A_SECOND:
            return f"{value:,.0f}/s"
    return f"{value:,.0f}"


def rows(head: Sequence[str], body: Sequence[Sequence[str]]) -> str:
    """A table; a line of words where it would be empty."""
    if not body:
        return f"{MISSING.capitalize()}."
    lines = [" | ".join(head), " | ".join("---" for _ in head), *(" | ".join(row) for row in body)]
    return "\n".join(f"| {line} |" for line in lines)


def fleet(one: Rest | Changes) -> str:
    """Which hollow fleet it was."""
    tiers = f"{one.voters} voters"
    leases = seconds(one.lease)
    if one.aggregators:
        tiers += f" + {one.aggregators} aggregators"
        leases += f" and {seconds(one.sub_lease)}"
    return f"{one.routers:,} routers, {tiers}, leases of {leases}"


# ---- tables


def machines(results: Results) -> str:
    body = [
        [
            name,
            f"{one.cores} cores, {size(one.memory)}, Python {one.python}, kernel {one.kernel}",
            one.commit,
            f"{one.load_before:.1f}, {one.load_after:.1f}",
        ]
        for name, one in results.machines.items()
    ]
    return rows(["part", "machine", "version", "load average before, after"], body)


def planned(results: Results) -> str:
    body = [
        ["routers", f"{plan.ROUTERS:,}", ""],
        ["databases (members)", f"{plan.MEMBERS:,}", ""],
        ["client connections", f"{plan.CLIENT_CONNECTIONS:,}", f"{plan.CLIENTS_PER_ROUTER:,.0f} a router"],
        ["statements a second", f"{plan.STATEMENTS:,}", f"{plan.STATEMENTS_PER_ROUTER:,.0f} a router"],
        ["regions, zones", f"{plan.REGIONS}, {plan.ZONES}", "docs/questions.md"],
        [
            "changes of configuration a day",
            f"{plan.CONFIGURATION_CHANGES:,}",
            f"{plan.CHANGES_A_SECOND:.3f} a second",
        ],
        ["in force everywhere within", seconds(plan.CHANGE_TIME), ""],
        [
            "changes of primary a day, each over within",
            f"{plan.PRIMARY_CHANGES}, {seconds(plan.PRIMARY_CHANGE_TIME)}",
            "",
        ],
        [
            "machines that fail, routers restarted, a day",
            f"{plan.MACHINE_FAILURES}, {plan.ROUTER_RESTARTS:,}",
            f"one of both each {plan.DAY / plan.EVENTS_A_DAY:.0f} s",
        ],
        [
            "a router's control",
            f"{core(plan.ROUTER_CORE_SHARE)}, {size(plan.ROUTER_MEMORY)}, {size(plan.ROUTER_BYTES)}/s",
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
    return rows(["plan", "figure", "reckoned"], body)


def budget(results: Results) -> str:
    def row(one: Need) -> list[str]:
        ratio = "" if one.ratio is None else f"{one.ratio:.3g}"
        return [
            one.role,
            one.what,
            shown(one.need, one.unit),
            "none stated" if one.budget is None else shown(one.budget, one.unit),
            ratio,
            one.how,
            one.mechanism,
        ]

    head = ["role", "what", "need", "budget", "need / budget", "from", "carried by"]
    return rows(head, [row(one) for one in needs(results)])


def _slope_rows(slopes: Sequence[Slope]) -> str:
    body = [
        [
            one.role,
            one.what,
            one.against,
            ", ".join(f"{at:,.0f}: {shown(cost, one.unit)}" for at, cost in one.points),
            one.form,
            f"{one.residual:.2f}",
            f"{shown(one.value, one.unit)} at {one.size:,.0f}",
            one.how,
        ]
        for one in slopes
    ]
    return rows(
        ["role", "cost", "against", "measured", "form", "residual", "at the planned size", "from"], body
    )


def slopes(results: Results) -> str:
    return _slope_rows([one for one in results.slopes if not one.key.startswith("data.")])


def before(results: Results) -> str:
    """The lease table with its scans beside the one of now."""
    body = []
    for old in results.before:
        new = results.slope(old.key)
        now = [MISSING, ""] if new is None else [shown(new.value, new.unit), new.form]
        body.append([old.what, shown(old.value, old.unit), old.form, *now])
    return rows([f"a voter with {plan.ROUTERS:,} lease holders", "before", "form", "now", "form"], body)


def rests(results: Results) -> str:
    body = []
    for one in results.rests:
        for role in ("router", "voter", "aggregator"):
            share = getattr(one, role)
            if share is not None:
                body.append(
                    [
                        fleet(one),
                        role,
                        core(share.core),
                        size(share.memory),
                        f"{size(share.sent)}/s, {size(share.received)}/s",
                        f"{share.messages:.3g}",
                        f"{one.machine_core:.1f}",
                        f"{one.refusing}",
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
    return rows(head, body)


def real(results: Results) -> str:
    body = [
        [
            f"{one.processes}",
            core(one.core),
            size(one.memory),
            size(one.memory_alone),
            size(one.memory_alone * one.processes),
        ]
        for one in results.real
    ]
    return rows(
        ["real routers", "processor time of one", "resident", "of this its own", "own, all of them"], body
    )


def changes(results: Results) -> str:
    body = []
    for one in results.changes:
        times = one.times
        body.append(
            [
                fleet(one),
                one.kill or "nothing",
                _rate(one),
                f"{len(times)}",
                f"{one.failed}",
                seconds(statistics.median(times)) if times else MISSING,
                seconds(percentile(times, 0.99)) if times else MISSING,
                f"{seconds(one.refusing_mean)}, {seconds(one.refusing_most)}",
                _cores(one),
                f"{one.machine_core:.1f}",
                _beyond_rest(results, one),
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
    return rows(head, body)


def _beyond_rest(results: Results, one: Changes) -> str:
    """Processor time that a change costs the whole fleet, beside what it uses at rest."""
    shape = one.routers, one.voters, one.aggregators
    rest = next((two for two in results.rests if (two.routers, two.voters, two.aggregators) == shape), None)
    count = len(one.times) + one.failed
    if rest is None or not count:
        return MISSING
    return seconds(max(0.0, (one.machine_core - rest.machine_core) * one.seconds / count))


def _rate(one: Changes) -> str:
    if not one.rate:
        return "one after the other, with pauses for what was killed"
    if one.rate > 2 * plan.CHANGES_A_SECOND:
        return f"as fast as they go: {len(one.times) / one.seconds:.2f} a second"
    return f"{one.rate:.2f} a second for {one.seconds:.0f} s"


def _cores(one: Changes) -> str:
    shares = [one.router, one.voter, *([one.aggregator] if one.aggregator is not None else [])]
    return ", ".join(core(share.core) if share.core else MISSING for share in shares)


def deaths(results: Results) -> str:
    body = [
        [
            f"{one.routers:,} routers, {one.aggregators} aggregators",
            f"{one.trials}",
            f"{one.moved:,}",
            f"{one.refusing}",
            seconds(one.refusing_most),
        ]
        for one in results.deaths
    ]
    head = [
        "fleet at rest",
        "aggregators killed",
        "routers that leased from them",
        "times that a router had no lease",
        "longest",
    ]
    return rows(head, body)


def aims(results: Results) -> str:
    """Each aim with what was measured, by fleet, and whether it holds there."""
    fleets = tiered_fleets(results)
    body = [row for series in fleets for row in _aims_of(results, series)]
    return rows(["fleet", "aim", "limit", "measured, hollow", "of", "holds"], body)


def _aims_of(results: Results, series: Sequence[Changes]) -> list[list[str]]:
    fleet_name = fleet(series[0])
    body: list[list[str]] = []

    def aim(what: str, limit: float, figure: float | None, unit: Unit, of: str) -> None:
        holds = MISSING if figure is None else ("yes" if figure <= limit else "**no**")
        body.append([fleet_name, what, shown(limit, unit), shown(figure, unit), of, holds])

    quiet, deadly = undisturbed(series), with_deaths(series)
    kinds = ", ".join(one.kill for one in series if one.kill and one.kill != Victim.LEAVING)
    tried = f"{len(deadly)} changes: {kinds}" if deadly else MISSING
    middle = statistics.median(quiet) if quiet else None
    aim("change, nothing killed, median", plan.CHANGE_MEDIAN, middle, Unit.SECONDS, f"{len(quiet)} changes")
    middle = statistics.median(deadly) if deadly else None
    aim("change with a death, median", plan.CHANGE_MEDIAN, middle, Unit.SECONDS, tried)
    late = percentile(deadly, 0.99) if deadly else None
    aim("change with a death, 99 of 100", plan.CHANGE_PERCENTILE_99, late, Unit.SECONDS, tried)
    failed = float(sum(one.failed for one in series)) if series else None
    aim("changes that were not in force in time", 0.0, failed, Unit.COUNT, "all series")
    for death in results.deaths:
        if (death.routers, death.aggregators) == (series[0].routers, series[0].aggregators):
            lapses = float(death.refusing)
            of = f"{death.trials} deaths, {death.moved:,} routers that moved"
            aim("routers without a lease as an aggregator dies", 0.0, lapses, Unit.COUNT, of)
    rated = [one for one in series if one.rate]
    if not rated:
        body.append([fleet_name, *_rate_aim(), "", MISSING, "", MISSING])
    for one in rated:
        body += _rate_rows(fleet_name, one, aim)
    return body


def _rate_aim() -> list[str]:
    return [f"{plan.CHANGES_A_SECOND:.2f} changes a second for two minutes"]


def _rate_rows(
    fleet_name: str, one: Changes, aim: Callable[[str, float, float | None, Unit, str], None]
) -> list[list[str]]:
    held, asked = len(one.times) / one.seconds, len(one.times) + one.failed
    if one.rate > 2 * plan.CHANGES_A_SECOND:
        return [[fleet_name, "highest rate held", "", f"{held:.2f}/s", f"{one.seconds:.0f} s", ""]]
    holds = one.failed == 0 and held >= RATE_HELD * plan.CHANGES_A_SECOND
    of = f"{len(one.times)} of {asked} in force, {one.seconds:.0f} s"
    at_rate = "at that rate"
    aim("a voter's processor time", plan.VOTER_CORE_SHARE, one.voter.core, Unit.CORE, at_rate)
    if one.aggregator is not None:
        figure = one.aggregator.core
        aim("an aggregator's processor time", plan.AGGREGATOR_CORE_SHARE, figure, Unit.CORE, at_rate)
    aim("a router's processor time", plan.ROUTER_CORE_SHARE, one.router.core, Unit.CORE, at_rate)
    traffic = one.router.sent + one.router.received
    aim("a router's payload", plan.ROUTER_BYTES, traffic, Unit.BYTES_A_SECOND, at_rate)
    limit = f"{plan.CHANGES_A_SECOND:.2f}/s"
    return [[fleet_name, *_rate_aim(), limit, f"{held:.2f}/s", of, "yes" if holds else "**no**"]]


def way(results: Results) -> str:
    """A change's way to force, as a sum of times, by what was just lost."""
    lease, sub_lease = plan.LEASE, plan.SUB_LEASE
    series = [one for one in results.changes if one.aggregators and not one.rate]
    if series:
        lease, sub_lease = series[0].lease, series[0].sub_lease
    closing = closing_lease(lease)
    lost = [
        ("nothing", 0.0, NOTHING_KILLED),
        ("a router, killed", sub_lease, "a router"),
        ("five routers that end by SIGTERM", 0.0, "five routers by SIGTERM"),
        ("a rack of routers, killed", sub_lease, "five routers"),
        ("a control machine with an aggregator", lease, "an aggregator"),
        ("a control machine with a voter", 0.0, ""),
        ("a zone: routers, aggregators, a voter", lease, ""),
    ]
    body = []
    for what, wait, kill in lost:
        total = wait + closing
        body.append(
            [
                what,
                f"up to {seconds(wait)}" if wait else "0",
                seconds(closing),
                f"up to {seconds(total)}" if wait else seconds(total),
                _measured(results, kill),
            ]
        )
    head = [
        "lost just before",
        "until its lease has ended",
        "short leases run out",
        "sum, without messages and disk",
        "measured, hollow: median, most",
    ]
    return rows(head, body)


def _measured(results: Results, kill: str) -> str:
    wanted = "" if kill == NOTHING_KILLED else kill
    found = [
        f"{seconds(statistics.median(one.times))}, {seconds(max(one.times))} ({one.routers:,} routers)"
        for series in tiered_fleets(results)
        for one in series
        if kill and one.kill == wanted and not one.rate and one.times
    ]
    return "; ".join(found) or MISSING


def primary(results: Results) -> str:
    """A change of primary, as a sum of times."""
    delta = results.slope("members.delta")
    read = None if delta is None else delta.value
    told = LONG_POLL + CALL_TIMEOUT
    left = plan.PRIMARY_CHANGE_TIME - told - (read or 0.0)
    body = [
        ["a long poll is answered as soon as discovery knows", "one way over the network", ""],
        [
            "... or, where the watch was silent, until it is opened anew",
            f"up to {seconds(told)}",
            How.RECKONED,
        ],
        ["the change is read and known to the decision module", shown(read, Unit.SECONDS), How.ALONE],
        ["writes that were held go to the new primary", "at once", ""],
        ["left for the group to elect and tell discovery", shown(left, Unit.SECONDS), How.RECKONED],
    ]
    return rows([f"part of {seconds(plan.PRIMARY_CHANGE_TIME)}", "time", "from"], body)


def day(results: Results) -> str:
    """An ordinary day's failures and restarts, and what each costs."""
    sub_lease = plan.SUB_LEASE
    late = plan.MACHINE_FAILURES * plan.CHANGES_A_SECOND * sub_lease
    killed = plan.EVENTS_A_DAY * plan.CHANGES_A_SECOND * sub_lease
    whole = results.slope("members.list.bytes")
    first = results.slope("members.first")
    lists = None if whole is None else whole.value * plan.EVENTS_A_DAY
    body = [
        [
            f"{plan.MACHINE_FAILURES} machines fail",
            "changes that begin within a sub-lease of it wait for its end",
            f"{late:.0f} of {plan.CONFIGURATION_CHANGES:,} changes, {_part(late)}",
        ],
        [
            f"{plan.ROUTER_RESTARTS:,} routers restart by SIGTERM",
            "they give their sub-leases back, and no change waits",
            "0",
        ],
        [
            f"... if these were killed as well, {plan.EVENTS_A_DAY:,} in all",
            "the same wait",
            f"{killed:,.0f} changes, {_part(killed)}",
        ],
        [
            "each start reads the whole list",
            "bytes of discovery a day; processor time of the router",
            f"{shown(lists, Unit.BYTES)}; {shown(None if first is None else first.value, Unit.SECONDS)}",
        ],
        [
            f"{plan.PRIMARY_CHANGES} changes of primary",
            "one entry of the list to every router",
            f"{plan.PRIMARY_CHANGES * plan.ROUTERS:,} answers of discovery a day",
        ],
        [
            f"{plan.CONFIGURATION_CHANGES:,} changes of configuration",
            "each router without a lease for a moment at the switch",
            _refusing(results),
        ],
    ]
    return rows(["in a day", "what it does", "what it costs (reckoned)"], body)


def _part(count: float) -> str:
    return f"{100 * count / plan.CONFIGURATION_CHANGES:.2f}%"


def _refusing(results: Results) -> str:
    run = rate_run(results)
    if run is None:
        return MISSING
    share = run.refusing_mean * plan.CHANGES_A_SECOND
    return (
        f"{seconds(run.refusing_mean)} a change and router, {100 * share:.2g}% of the time (measured, hollow)"
    )


def zone(results: Results) -> str:
    """A zone's loss and return, by both readings of the number of zones."""
    whole = results.slope("members.list.bytes")
    body = []
    for zones, reading in (
        (plan.ZONES, "8 zones in all"),
        (plan.ZONES_IN_ALL_REGIONS, "8 zones in each region"),
    ):
        routers = plan.ROUTERS / zones
        lists = None if whole is None else whole.value * routers
        body.append(
            [
                reading,
                f"{routers:,.0f}",
                f"{plan.AGGREGATORS / zones:.1f}",
                f"up to {seconds(plan.LEASE)}",
                shown(lists, Unit.BYTES),
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
    return rows(head, body)


def regions(results: Results) -> str:
    """Regions that lose each other for an hour."""
    waits = plan.ISOLATION * plan.CHANGES_A_SECOND
    lease = seconds(plan.LEASE)
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
            f"all wait: {waits:,.0f} in an hour, one at a time",
        ],
        [
            "a lease of an hour instead",
            "every router serves on",
            f"each change waits for up to {seconds(plan.ISOLATION)} once anything is cut off or killed",
        ],
    ]
    return rows(["who", "requests", "changes"], body)


def data_plane(results: Results) -> str:
    statement = results.slope("data.statement")
    cost = None if statement is None else statement.value
    cores = None if cost is None else cost * plan.STATEMENTS_PER_ROUTER
    most = None if cost is None else 1.0 / cost
    body = [
        ["one statement, processor time on sockets", shown(cost, Unit.SECONDS), How.REAL],
        ["statements a second that one process takes at the most", shown(most, Unit.COUNT), How.RECKONED],
        ["statements a second and router, planned", f"{plan.STATEMENTS_PER_ROUTER:,.0f}", "plan"],
        ["cores that a router needs for them", MISSING if cores is None else f"{cores:.2f}", How.RECKONED],
        ["client connections a router", f"{plan.CLIENTS_PER_ROUTER:,.0f}", "plan"],
        ["changes to the list a second, at the most", f"{LIST_CHANGES:.2f}", "plan"],
    ]
    return rows(["data plane", "figure", "from"], body)


def notes(results: Results) -> str:
    return "\n".join(f"- {one}" for one in results.notes) or "Nothing was cut short."


TABLES: dict[str, Callable[[Results], str]] = {
    "machines": machines,
    "plan": planned,
    "budget": budget,
    "slopes": slopes,
    "before": before,
    "rests": rests,
    "real": real,
    "changes": changes,
    "deaths": deaths,
    "aims": aims,
    "way": way,
    "primary": primary,
    "day": day,
    "zone": zone,
    "regions": regions,
    "data-plane": data_plane,
    "notes": notes,
}
