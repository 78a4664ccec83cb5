"""A verdict as tables on standard output."""

from __future__ import annotations

import sys
from pathlib import Path

from rich.console import Console
from rich.table import Table

from banklift.judge.verdict import Verdict

RULES = {
    1: "one final answer before the deadline",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold member pushed over",
    5: "no stale read",
}
SHOWN = 5  # breaks told of each rule


def percentile(values: list[float], share: float) -> float:
    """Of sorted values; 0 if there are none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def show(verdict: Verdict, trace: Path) -> None:
    console = Console(width=None if sys.stdout.isatty() else 130)
    table = Table("class")
    for name in (
        "asked",
        "tries",
        "served",
        "in time",
        "refused",
        "failed",
        "errors",
        "left",
        "p50 ms",
        "p95 ms",
        "p99 ms",
    ):
        table.add_column(name, justify="right")
    for kind, tally in sorted(verdict.tallies.items()):
        times = sorted(tally.latencies)
        table.add_row(
            kind,
            *map(
                str,
                (
                    tally.asked,
                    tally.tries,
                    tally.served,
                    tally.in_time,
                    tally.refused,
                    tally.failed,
                    tally.errors,
                    tally.left,
                ),
            ),
            *(f"{1000 * percentile(times, share):.1f}" for share in (0.5, 0.95, 0.99)),
        )
    console.print(table)
    for name, count in sorted(verdict.counts.items()):
        console.print(f"{name}: {count}", highlight=False)
    for kind, tally in sorted(verdict.tallies.items()):
        if tally.reads:
            console.print(
                f"{kind}: {tally.reads} reads judged, of {tally.shown} a wrong answer would have been seen, "
                f"of {tally.aged} an old one",
                highlight=False,
            )
    for name, count in sorted(verdict.excused.items()):
        console.print(f"excused, {name}: {count}", highlight=False)
    for rule, text in RULES.items():
        breaks = [found for found in verdict.breaks if found.rule == rule]
        console.print(
            f"rule {rule}, {text}: " + (f"BROKEN {len(breaks)} times" if breaks else "kept"),
            style="bold red" if breaks else "green",
            highlight=False,
        )
        for found in breaks[:SHOWN]:
            console.print(f"    {found.at:.3f} s  {found.rid}  {found.reason}", highlight=False)
    console.print(f"trace: {trace}", highlight=False)
