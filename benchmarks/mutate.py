"""Mutation testing of the router's state and decisions: does a test or a judged workload detect each small change?

    .venv/bin/python benchmarks/mutate.py --count 240 --keep

Each mutant has one change to the syntax tree of a file in `FILES`, drawn at random from a seed:
a comparison inverted or made to include or exclude its bound, a condition negated, `and` and `or` exchanged, a number
increased by one, a call or an increment left out, `True` and `False` exchanged, `+` and `-` exchanged. A mutant runs in
a copy of the package: first the tests of these files, then workloads ("days") in virtual time under the judge. A mutant
that survives both is printed with its line; it shows a gap in the tests, or code without effect.
"""

from __future__ import annotations

import argparse
import ast
import copy
import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
FILES = (
    "banklift/proxy/machine.py",
    "banklift/proxy/timers.py",
    "banklift/decide/offsets.py",
    "banklift/decide/queues.py",
    "banklift/resp/front.py",
)
TESTS = (
    "tests/test_machine.py",
    "tests/test_queues.py",
    "tests/test_offsets.py",
    "tests/test_front.py",
    "tests/test_config.py",
)
CLIENTS = "tests/test_clients.py"  # tests with real clients on sockets; run for mutants of resp/front.py only
TIMEOUT_SECONDS = 120.0  # limit for the tests, and for the days, of one mutant
# Program that plays workloads in virtual time and exits with an error if a rule is broken or too little is served.
DAYS = """
import sys
import msgspec
from banklift.judge.day import load_day, play_virtual
from banklift.judge.randoms import random_day
from banklift.judge.rules import judge
from banklift.judge.trace import Entry

def play_and_judge(day, config, routers, seed):
    entries: list[Entry] = []
    head = play_virtual(day, config, routers, seed, entries.append)
    verdict = judge(head, sorted(entries, key=lambda entry: entry.t))
    for found in verdict.violations[:3]:
        print("rule", found.rule, found.reason)
    return not verdict.violations, min(tally.served / tally.tries for tally in verdict.tallies.values())

# By day: the minimum share of tries that are served, in each class of requests.
min_served_shares = {"short": 0.9, "hang": 0.85, "deploy": 0.4, "discovery_stale": 0.9}
for name, min_served_share in min_served_shares.items():
    day, config = load_day(name)
    day = msgspec.structs.replace(day, seconds=min(day.seconds, 8.0))
    rules_kept, served = play_and_judge(day, config, 2, 1)
    if not rules_kept or served < min_served_share:
        sys.exit(f"{name}: kept {rules_kept}, served {served}")
for seed in (69, 163, 191):
    rules_kept, _ = play_and_judge(*random_day(seed), seed)
    if not rules_kept:
        sys.exit(f"random day {seed}")
"""
SWAPS: dict[type[ast.cmpop], type[ast.cmpop]] = {
    ast.Lt: ast.LtE,
    ast.LtE: ast.Lt,
    ast.Gt: ast.GtE,
    ast.GtE: ast.Gt,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
}


def mutation_sites(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """Nodes that can be mutated: the index in the order of `ast.walk`, and the kind of change."""
    for index, node in enumerate(ast.walk(tree)):
        if isinstance(node, ast.Compare):
            yield index, "compare"
        elif isinstance(node, ast.If | ast.While | ast.IfExp):
            yield index, "negate"
        elif isinstance(node, ast.BoolOp):
            yield index, "and-or"
        elif isinstance(node, ast.Constant) and type(node.value) in (int, float):
            yield index, "number"
        elif isinstance(node, ast.Constant) and type(node.value) is bool:
            yield index, "flag"
        elif (isinstance(node, ast.Expr) and isinstance(node.value, ast.Call)) or isinstance(
            node, ast.AugAssign
        ):
            yield index, "drop"
        elif isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add | ast.Sub):
            yield index, "plus-minus"


def mutate(tree: ast.Module, index: int, how: str) -> tuple[ast.Module, int, str]:
    """Change the node with this index. Returns the changed copy of the tree, the line, and the change as text."""
    changed = copy.deepcopy(tree)
    node = list(ast.walk(changed))[index]
    before = ast.unparse(node)
    line = node.lineno  # type: ignore[attr-defined]
    match node:
        case ast.Compare():
            node.ops[0] = SWAPS[type(node.ops[0])]()
        case ast.If() | ast.While() | ast.IfExp():
            before = ast.unparse(node.test)
            node.test = ast.UnaryOp(ast.Not(), node.test)
            return ast.fix_missing_locations(changed), line, f"not ({before})"
        case ast.BoolOp():
            node.op = ast.Or() if isinstance(node.op, ast.And) else ast.And()
        case ast.Constant(value=bool() as flag):
            node.value = not flag
        case ast.Constant():
            node.value = node.value + 1  # type: ignore[operator]
        case ast.BinOp():
            node.op = ast.Sub() if isinstance(node.op, ast.Add) else ast.Add()
        case ast.Expr():
            node.value = ast.Constant(None)
        case ast.AugAssign():
            node.value = ast.Constant(0)
    return ast.fix_missing_locations(changed), line, f"{before}  ->  {ast.unparse(node)}"


def run(folder: Path, command: list[str]) -> str:
    """Run a Python command in `folder`. Returns "" if it passed, else "timeout" or its last line of output."""
    env = {**os.environ, "PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
    try:
        finished = subprocess.run(
            [sys.executable, *command],
            cwd=folder,
            env=env,
            timeout=TIMEOUT_SECONDS,
            capture_output=True,
            text=True,
        )
    except subprocess.TimeoutExpired:
        return "timeout"
    if finished.returncode == 0:
        return ""
    return ((finished.stdout + finished.stderr).strip().splitlines() or ["?"])[-1][:200]


def judge_mutant(job: tuple[str, str, int, str]) -> dict[str, object]:
    """Run one mutant: file name, its changed text, line and change.

    In the result, `end` says what detected it, "tests" or "days", or that it "survived"; `by` is the failure.
    """
    name, text, line, change = job
    result: dict[str, object] = {"file": name, "line": line, "change": change.replace("\n", " ")[:200]}
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder_name:
        folder = Path(folder_name)
        for part in ("banklift", "tests"):
            shutil.copytree(ROOT / part, folder / part, ignore=shutil.ignore_patterns("__pycache__"))
        shutil.copy(ROOT / "pyproject.toml", folder)
        (folder / name).write_text(text)
        tests = [*TESTS, CLIENTS] if "front" in name else TESTS
        failure = run(
            folder, ["-m", "pytest", "-x", "-q", "-p", "no:cacheprovider", "-p", "no:xdist", *tests]
        )
        if failure:
            return result | {"end": "tests", "by": failure}
        failure = run(folder, ["-c", DAYS])
        return result | ({"end": "days", "by": failure} if failure else {"end": "survived"})


def main() -> None:
    """Draw `--count` mutants, run them in parallel, and print the survivors and the totals."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--count", type=int, default=240)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--keep", action="store_true", help="write the result beside the others")
    args = parser.parse_args()
    trees = {name: ast.parse((ROOT / name).read_text()) for name in FILES}
    sites = [(name, index, how) for name, tree in trees.items() for index, how in mutation_sites(tree)]
    jobs = []
    for name, index, how in Random(args.seed).sample(sites, min(args.count, len(sites))):
        tree, line, change = mutate(trees[name], index, how)
        jobs.append((name, ast.unparse(tree), line, f"{how}: {change}"))
    with ThreadPoolExecutor(args.workers) as pool:
        mutants = sorted(
            pool.map(judge_mutant, jobs), key=lambda mutant: (str(mutant["file"]), int(str(mutant["line"])))
        )
    ends = Counter(str(mutant["end"]) for mutant in mutants)
    survivors = [mutant for mutant in mutants if mutant["end"] == "survived"]
    for mutant in survivors:
        print(f"{mutant['file']}:{mutant['line']}: {mutant['change']}")
    print(f"{len(sites)} places, {len(mutants)} mutants: {dict(ends)}")
    if args.keep:
        result = {
            "places": len(sites),
            "mutants": len(mutants),
            "seed": args.seed,
            "ends": dict(ends),
            "by file": {
                name: dict(Counter(str(mutant["end"]) for mutant in mutants if mutant["file"] == name))
                for name in FILES
            },
            "survivors": survivors,
        }
        (Path(__file__).with_name("results") / "mutants.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
