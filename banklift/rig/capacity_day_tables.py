"""The tables of docs/CAPACITY.md on an ordinary day and on the loss of a primary, a zone or a region. Pure."""

from __future__ import annotations

from banklift.discovery.client import CALL_TIMEOUT_SECONDS, LONG_POLL_SECONDS
from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_format import MISSING, format_figure, format_seconds, markdown_table
from banklift.rig.capacity_needs import Unit, rate_run
from banklift.rig.capacity_results import FigureSource, Results


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
