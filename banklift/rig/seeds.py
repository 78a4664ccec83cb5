"""Play random schedules of faults on fleets in virtual time, and print what was checked how often.

    python -m banklift.rig.seeds --from 0 --count 200 [--direct]

Exit code 1 if any seed broke an invariant or did not recover; each is printed with what was found.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterable

from banklift.rig.schedule import Report, Schedule


def play(seed: int, aggregated: bool) -> Report:
    """One seed; an assertion of the fleet's own counts as a fault that was found."""
    schedule = Schedule(seed, aggregated)
    try:
        return schedule.play()
    except AssertionError as error:
        return Report(seed, [*schedule.fleet.breaks, f"assertion: {error}"], dict(schedule.fleet.cases))


def total(reports: Iterable[Report]) -> Counter[str]:
    """Cases of all seeds together."""
    cases: Counter[str] = Counter()
    for report in reports:
        cases.update(report.cases)
    return cases


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="banklift.rig.seeds", description=__doc__)
    parser.add_argument("--from", dest="first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=200, help="how many seeds")
    parser.add_argument("--direct", action="store_true", help="without aggregators")
    options = parser.parse_args(arguments)
    reports = []
    for seed in range(options.first, options.first + options.count):
        report = play(seed, aggregated=not options.direct)
        reports.append(report)
        for fault in report.faults:
            print(f"seed {seed}: {fault}", flush=True)
    broken = [report.seed for report in reports if report.faults]
    for name, count in sorted(total(reports).items()):
        print(f"{count:10} {name}")
    print(f"{len(reports)} seeds, {len(broken)} broken {broken or ''}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
