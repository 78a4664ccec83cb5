"""Play random schedules of faults on fleets in virtual time, and print how often each invariant was exercised.

    python -m banklift.rig.seeds --from 0 --count 200 [--direct]

By default the fleets have lease aggregators; with --direct, all routers lease from the voters. Prints each violation
with its seed, then a table of how often each case came up. Exit code 1 if any seed violated an invariant or did not
recover.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable

from banklift.rig.schedule import Report, Schedule


def play(seed: int, aggregated: bool) -> Report:
    """Play the schedule of one seed. An assertion in the fleet's own code that fails is reported as a failure."""
    schedule = Schedule(seed, aggregated)
    try:
        return schedule.play()
    except AssertionError as error:
        return Report(
            seed, [*schedule.fleet.violations, f"assertion: {error}"], dict(schedule.fleet.case_counts)
        )


def sum_cases(reports: Iterable[Report]) -> Counter[str]:
    """Sum the counts of cases over all seeds."""
    cases: Counter[str] = Counter()
    for report in reports:
        cases.update(report.case_counts)
    return cases


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit code."""
    parser = argparse.ArgumentParser(prog="banklift.rig.seeds", description=__doc__)
    parser.add_argument("--from", dest="first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=200, help="number of seeds")
    parser.add_argument("--direct", action="store_true", help="fleets without aggregators")
    options = parser.parse_args(arguments)
    reports = []
    for seed in range(options.first, options.first + options.count):
        report = play(seed, aggregated=not options.direct)
        reports.append(report)
        for failure in report.failures:
            print(f"seed {seed}: {failure}", flush=True)
    failed_seeds = [report.seed for report in reports if report.failures]
    for name, count in sorted(sum_cases(reports).items()):
        print(f"{count:10} {name}")
    print(f"{len(reports)} seeds, {len(failed_seeds)} failed {failed_seeds or ''}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
