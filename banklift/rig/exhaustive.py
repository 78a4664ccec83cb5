"""Explore the replicated register exhaustively at a small size, and print what was covered.

    python -m banklift.rig.exhaustive [--crashes N] [--losses N] [--tries N] [--slow-disks] [--reads] [--limit STATES]

The model has three voters, two of which propose one change each. All interleavings of their messages are explored, with
a bounded number of crashes at any step (each with every content that the disk may have afterwards), of lost messages,
and of ballots under which a change is proposed. Exit code 1 if an invariant is violated; a shortest path to the
violation is printed then.
"""

from __future__ import annotations

import argparse
import sys

from banklift.rig.exhaustive_search import Report, Search
from banklift.rig.exhaustive_voter import VoterOptions
from banklift.rig.exhaustive_world import Budget

MAX_STATES = 10_000_000  # a state takes about 250 bytes


def lines(report: Report) -> list[str]:
    """The report as lines of text."""
    budget = report.budget
    ending = (
        "complete"
        if report.complete
        else "violated"
        if report.counterexample
        else "stopped at the state limit"
    )
    options = ", slow disks" * budget.options.slow_disk + ", reads" * budget.options.reads_after_rejoin
    printed = [
        f"crashes {budget.crashes}, losses {budget.losses}, tries {budget.tries}{options}: {ending}",
        f"{report.states} states, {report.steps} steps, depth {report.depth}, {report.seconds:.1f} s",
    ]
    printed += [f"{count:12} {name}" for name, count in report.exercised.items()]
    if report.counterexample is not None:
        printed.append(f"VIOLATED: {report.counterexample.invariant}: {report.counterexample.violation}")
        printed += [f"{number:4} {step}" for number, step in enumerate(report.counterexample.path, 1)]
    return printed


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit code."""
    parser = argparse.ArgumentParser(prog="banklift.rig.exhaustive", description=__doc__)
    parser.add_argument("--crashes", type=int, default=1, help="crashes in all")
    parser.add_argument("--losses", type=int, default=0, help="lost messages in all")
    parser.add_argument("--tries", type=int, default=1, help="ballots for each proposer")
    parser.add_argument(
        "--slow-disks", action="store_true", help="a voter's answer to itself may come after others"
    )
    parser.add_argument(
        "--reads", action="store_true", help="a voter that votes again reads the register first"
    )
    parser.add_argument("--limit", type=int, default=MAX_STATES, help="states after which it stops")
    options = parser.parse_args(arguments)
    voter_options = VoterOptions(options.slow_disks, options.reads)
    report = Search(Budget(options.crashes, options.losses, options.tries, voter_options)).run(options.limit)
    print("\n".join(lines(report)))
    return 0 if report.counterexample is None else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
