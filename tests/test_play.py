"""A day on sockets, with routers as processes.

Only rules 2 and 5 are judged: the others depend on times, and a slow machine could break them.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec

from banklift.judge.day import FaultOrder, load_day, play_on_sockets
from banklift.judge.rules import judge
from banklift.judge.trace import read_trace
from tests.test_clients import with_long_deadlines

ORDERS = [
    FaultOrder(at=0.5, do="lag", member="west-1", value=10_000),
    FaultOrder(at=0.8, do="hang", member="east-0", value=1.0),
    FaultOrder(at=1.5, do="kill_router", router=0),
    FaultOrder(at=1.6, do="start_router", router=0),
    FaultOrder(at=2.0, do="thaw", member="east-0"),
    FaultOrder(at=2.0, do="kill", member="west-0"),
]


def test_day_on_sockets_has_no_repeated_effect_and_no_stale_read(tmp_path: Path) -> None:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, troubles=ORDERS, seconds=3, rate=100, sessions=20, leavers=0.0)
    anyio.run(
        play_on_sockets, day, with_long_deadlines(config, 3), 2, 3, tmp_path / "trace", lambda at, text: None
    )
    head, entries = read_trace(tmp_path / "trace")
    verdict = judge(head, entries)
    assert not [violation for violation in verdict.violations if violation.rule in (2, 5)]
    assert verdict.counts["effects acknowledged and kept"] > 20
    # enough reads by which a stale answer would have been noticed
    assert sum(tally.reads_of_written_keys for tally in verdict.tallies.values()) > 50
    assert sum(entry.k == "killed" for entry in entries) == 1
    assert {entry.member for entry in entries if entry.k == "role"} > {"west-0", "east-0"}
