"""A day on sockets with routers as processes; the rules that a slow machine can't falsify are judged."""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec

from banklift.judge.day import FaultOrder, load_day, play
from banklift.judge.rules import judge
from banklift.judge.trace import read
from tests.test_clients import patient

TROUBLES = [
    FaultOrder(at=0.5, do="lag", member="west-1", value=10_000),
    FaultOrder(at=0.8, do="hang", member="east-0", value=1.0),
    FaultOrder(at=1.5, do="kill_router", router=0),
    FaultOrder(at=1.6, do="start_router", router=0),
    FaultOrder(at=2.0, do="thaw", member="east-0"),
    FaultOrder(at=2.0, do="kill", member="west-0"),
]


def test_picks_are_saved_once_and_read_as_saved(tmp_path: Path) -> None:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, troubles=TROUBLES, seconds=3, rate=100, sessions=20, leavers=0.0)
    anyio.run(play, day, patient(config, 3), 2, 3, tmp_path / "trace", lambda at, text: None)
    head, entries = read(tmp_path / "trace")
    verdict = judge(head, entries)
    assert not [found for found in verdict.breaks if found.rule in (2, 5)]
    assert verdict.counts["effects acknowledged and kept"] > 20
    assert (
        sum(tally.aged for tally in verdict.tallies.values()) > 50
    )  # reads that an old answer would have shown at
    assert sum(entry.k == "killed" for entry in entries) == 1
    assert {entry.member for entry in entries if entry.k == "role"} > {"west-0", "east-0"}
