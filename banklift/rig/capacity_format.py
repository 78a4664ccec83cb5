"""Formats of figures and tables on docs/CAPACITY.md. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from banklift.rig.capacity_needs import Unit
from banklift.rig.capacity_results import ChangeSeries, IdleFleet

MISSING = "not measured"


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
