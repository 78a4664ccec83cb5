"""Runs scripted workloads with faults over sockets, judges them, and writes the counts of each to a file.

Each day (a scripted workload, by default every bundled one) runs with four router processes, three groups and thousands
of client sessions.

.venv/bin/python benchmarks/days.py [--sessions 3000] [--rate 400] [--out benchmarks/results/days.json] [DAY ...]
"""

from __future__ import annotations

import argparse
import json
import tempfile
from pathlib import Path

import anyio
import msgspec

from banklift.judge.day import DAYS_FOLDER, load_day, play_on_sockets
from banklift.judge.rules import judge
from banklift.judge.symptoms import symptoms
from banklift.judge.trace import read_trace
from banklift.proxy.plan import Config, Group


def three_groups(config: Config) -> Config:
    """The configuration with its two groups, and a third one that takes over the last third of the slots."""
    west, east = config.groups
    members = [
        {"name": f"south-{number}", "address": "127.0.0.1:0", "primary": number == 0} for number in range(3)
    ]
    south = msgspec.convert({"name": "south", "slots": [[10923, 16383]], "members": members}, Group)
    return msgspec.structs.replace(
        config,
        groups=[
            msgspec.structs.replace(west, slots=[(0, 5461)]),
            msgspec.structs.replace(east, slots=[(5462, 10922)]),
            south,
        ],
    )


def main() -> None:
    """Run the days of the command line; `--out` is written again after each, so that a run cut short keeps them."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("days", nargs="*")
    parser.add_argument("--sessions", type=int, default=3000)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--out", type=Path, default=Path(__file__).with_name("results") / "days.json")
    args = parser.parse_args()
    rows = []
    for name in args.days or sorted(path.stem for path in DAYS_FOLDER.glob("*.jsonnet")):
        day, config = load_day(name)
        day = msgspec.structs.replace(day, sessions=args.sessions, rate=args.rate, reread=0.9)
        config = three_groups(config)
        with tempfile.TemporaryDirectory() as folder:
            trace = Path(folder) / "trace"
            anyio.run(
                play_on_sockets,
                day,
                config,
                4,
                1,
                trace,
                lambda at, text: None,
                backend_options={"use_uvloop": True},
            )
            head, entries = read_trace(trace)
        verdict = judge(head, entries)
        seen = symptoms(head, entries)
        tallies = verdict.tallies.values()
        rows.append(
            {
                "day": name,
                "sessions": args.sessions,
                "asked": sum(tally.asked for tally in tallies),
                "served": sum(tally.served for tally in tallies),
                "refused": sum(tally.refused for tally in tallies),
                "failed": sum(tally.failed for tally in tallies),
                "left": sum(tally.left for tally in tallies),
                "reads judged": sum(tally.reads for tally in tallies),
                "of these a wrong answer would have been seen": sum(
                    tally.reads_with_value for tally in tallies
                ),
                "of these an old answer would have been seen": sum(
                    tally.reads_of_written_keys for tally in tallies
                ),
                **dict(sorted(verdict.counts.items())),
                "excused": dict(sorted(verdict.excused.items())),
                "rules broken": [
                    f"{found.rule}: {found.reason} ({found.rid} at {found.at:.3f})"
                    for found in verdict.violations[:5]
                ],
                "symptoms": {
                    symptom: [round(seen.get(symptom, 0), 1), least] for symptom, least in day.shows.items()
                },
            }
        )
        print(json.dumps(rows[-1]), flush=True)
        args.out.parent.mkdir(exist_ok=True)
        args.out.write_text("[\n" + ",\n".join(json.dumps(row) for row in rows) + "\n]\n")


if __name__ == "__main__":
    main()
