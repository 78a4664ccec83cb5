"""Prints a verdict on standard output: a table of the classes, then counts, excuses and violations by rule."""

from __future__ import annotations

import sys
from pathlib import Path

from rich.console import Console
from rich.table import Table

from banklift.judge.verdict import Verdict

RULE_TITLES = {
    1: "one final answer before the deadline",
    2: "no effect twice",
    3: "drains kept",
    4: "no cold member pushed over",
    5: "no stale read",
}
MAX_SHOWN_VIOLATIONS = 5  # of each rule


def percentile(values: list[float], share: float) -> float:
    """The value below which `share` (0 to 1) of the sorted values lie; 0 if there are none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def print_verdict(verdict: Verdict, trace: Path) -> None:
    """Print the verdict and the path of its trace; 130 columns wide where standard output is no terminal."""
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
    for class_name, tally in sorted(verdict.tallies.items()):
        latencies = sorted(tally.latencies)
        table.add_row(
            class_name,
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
            *(f"{1000 * percentile(latencies, share):.1f}" for share in (0.5, 0.95, 0.99)),
        )
    console.print(table)
    for name, count in sorted(verdict.counts.items()):
        console.print(f"{name}: {count}", highlight=False)
    for class_name, tally in sorted(verdict.tallies.items()):
        if tally.reads:
            console.print(
                f"{class_name}: {tally.reads} reads judged, "
                f"of {tally.reads_with_value} a wrong answer would have been seen, "
                f"of {tally.reads_of_written_keys} an old one",
                highlight=False,
            )
    for name, count in sorted(verdict.excused.items()):
        console.print(f"excused, {name}: {count}", highlight=False)
    for rule, text in RULE_TITLES.items():
        violations = [violation for violation in verdict.violations if violation.rule == rule]
        console.print(
            f"rule {rule}, {text}: " + (f"BROKEN {len(violations)} times" if violations else "kept"),
            style="bold red" if violations else "green",
            highlight=False,
        )
        for violation in violations[:MAX_SHOWN_VIOLATIONS]:
            console.print(f"    {violation.at:.3f} s  {violation.rid}  {violation.reason}", highlight=False)
    console.print(f"trace: {trace}", highlight=False)
