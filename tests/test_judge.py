"""The judge catches planted faults, each for the right reason, and accuses no honest day.

Days play in virtual time through the router's real code; the faults (faults.py) are planted in the router, in an
operator's file that lies to it, or in a stand-in. The judge has the honest file and the trace, nothing else.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from banklift.config import build
from banklift.emulator.node import Act, Node
from banklift.emulator.store import Store
from banklift.interface import Effect, Need
from banklift.judge.day import Day, Election, FaultOrder, load_day, play_virtual
from banklift.judge.rules import judge
from banklift.judge.trace import Entry, TraceError, Writer, read
from banklift.judge.verdict import Verdict
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config
from tests import faults
from tests.faults import SAFE, Make, lying, making, swapping

Changes = dict[str, object]
READS = {Need.SESSION: "own-picks", Need.BOUNDED: "trace-view", Need.FRESH: "final", Need.ANY: "alert-check"}


def play(
    troubles: list[FaultOrder],
    make: Make = build.machine,
    routers: int = 2,
    seconds: float = 2.5,
    rate: float = 200,
    sessions: int = 30,
    seed: int = 5,
    config: Changes | None = None,
    **changes: object,
) -> Verdict:
    day, settings = load_day("short")
    settings = msgspec.convert({**msgspec.to_builtins(settings), **(config or {})}, Config)
    day = msgspec.structs.replace(
        day, troubles=troubles, seconds=seconds, rate=rate, sessions=sessions, **changes
    )
    entries: list[Entry] = []
    head = play_virtual(day, settings, routers, seed, entries.append, make_machine=make)
    return judge(head, sorted(entries, key=lambda entry: entry.t))


def each(do: str, at: float, value: float, members: str = "west-1 east-1") -> list[FaultOrder]:
    return [FaultOrder(at=at, do=do, member=name, value=value) for name in members.split()]


QUIET: list[FaultOrder] = []
HANG = [
    FaultOrder(at=0.6, do="hang", member="west-0", value=1.0),
    FaultOrder(at=2.2, do="thaw", member="west-0"),
]
LAG = each("lag", 0.3, 10_000)
DRAIN = [FaultOrder(at=0.4, do="drain", member="west-1")]
COLD = each("kill", 0.3, 0) + each("restart", 0.6, 0)
CUT = each("cut", 0.3, 0.5, "west-0 east-0")
BEHIND = each("delay", 0.3, 0.9, "west-0 east-0")  # every replica is that many seconds behind, all the time
FAR_BEHIND = each("delay", 0.3, 1.5, "west-0 east-0")
JUST_BEHIND = each("delay", 0.3, 0.02, "west-0 east-0")
HUNG_AND_KILLED = (
    each("hang", 0.6, 1, "west-0 east-0")
    + each("kill", 0.75, 0, "west-0 east-0")
    + (each("thaw", 1.9, 0, "west-0 east-0") + each("restart", 2.0, 0, "west-0 east-0"))
)
SPLIT = [FaultOrder(at=0.6, do="split", member="west-0"), FaultOrder(at=0.6, do="split", member="east-0")]
SLOW = each("slow", 0.3, 400, "west-0 east-0")
BUSY: Changes = {"rate": 1600, "work": 0.02, "sessions": 200, "batches": 0.0}
CALM: Changes = {"leavers": 0.0}
ALL_ROAM: Changes = {"roam": 1.0}
HELPED: Changes = {"roam": 1.0, "helped": True, "routers": 3}
LONG: Changes = {"seconds": 4.0}
NAMED: Changes = {"roam": 0.0, "named": True, "config": {"sessions": "connection"}}
LEAVING: Changes = {"leavers": 0.9}
BRIEF_MEMORY: Changes = {
    "rate": 600,
    "election": Election(notice=0.1, takes=0.1),
    "config": {
        "classes": [
            {**msgspec.to_builtins(kind), "window": 0.1 if kind.name == "stamp" else 0.0}
            for kind in load_day("short")[1].classes
        ]
    },
}

# rule, reason, what is planted, the day's troubles, and how else the day differs
PLANTED: list[tuple[int, str, Make, list[FaultOrder], Changes]] = [
    (1, "no answer", making(faults.Mute), QUIET, {}),
    (1, "more than one final answer", making(faults.Stutter), QUIET, {}),
    (1, "no answer before the deadline", making(faults.Late), HANG, CALM),
    (1, "after the deadline", making(Machine, faults.Blocked), HANG, {**CALM, "batches": 0.5}),
    (1, "connection closed without an answer", making(faults.Closer), HANG, CALM),
    (1, "sent to a member after the final answer", making(faults.Zombie), QUIET, {}),
    (1, "sent to a member after its client had left", making(faults.Undead), SLOW, LEAVING),
    (1, "an answer that no member gave", making(faults.WriteSwap), QUIET, {}),
    (2, "ran 2 times", lying(pick_save=SAFE), CUT, {}),
    (2, "sent again though it may have run", lying(pick_save=SAFE), HANG, {}),
    (2, "refused, but it ran (unsafe)", making(faults.Shameless), HANG, {"rate": 600}),
    (2, "refused, but it ran (keyed)", making(faults.Innocent), CUT, {"rate": 600}),
    (2, "refused, but it ran (safe)", making(faults.Innocent), CUT, {}),
    (2, "nothing ran of what a member took", making(faults.Innocent), SLOW, CALM),
    (2, "called safe to repeat", making(faults.Smooth), HANG, {"rate": 600}),
    (
        2,
        "sent again when its members had forgotten it",
        lying(stamp=faults.KEYED),
        HUNG_AND_KILLED,
        BRIEF_MEMORY,
    ),
    (2, "two attempts out at once", making(faults.Doubler), each("slow", 0.3, 100, "west-1 east-1"), {}),
    (2, "acknowledged, but it never ran", making(faults.Liar), QUIET, {}),
    (3, "got a command", making(faults.Deaf), DRAIN, LONG),
    (3, "got a command", making(faults.HalfDeaf), DRAIN, LONG),
    (4, "of what it can bear", making(faults.Young), COLD, BUSY),
    (4, "of what it can bear", making(faults.Deaf), COLD, BUSY),
    (5, "own-picks at", making(faults.Credulous), LAG, {}),
    (5, "final at", lying(final={"need": Need.ANY}), JUST_BEHIND, {"rate": 600}),
    (5, "final at", lying(final={"need": Need.BOUNDED, "bound": 1.0}), BEHIND, LONG),
    (5, "final at", faults.half(making(faults.Loyal)), SPLIT, LONG),
    (5, "trace-view at", faults.half(making(faults.Loyal)), SPLIT, LONG),
    (5, "trace-view at", making(faults.Sloppy), FAR_BEHIND, LONG),
    (5, "trace-view at", lying(trace_view={"bound": 0.96}), BEHIND, LONG),
    (5, "trace-view at", lying(trace_view={"bound": 2.4}), FAR_BEHIND, LONG),
    (5, "own-picks at", making(faults.Sloppy), LAG, {}),
    (5, "own-picks at", faults.sticky, LAG, ALL_ROAM),
    (5, "own-picks at", making(faults.Amnesiac), LAG, NAMED),
    (5, "own-picks at", making(faults.Forgetful), LAG, HELPED),
    (5, "alert-check shows an answer that no member gave", making(faults.Caching), QUIET, {}),
    (5, "shows what its keys did not hold", making(Machine, faults.Shifted), QUIET, {"batches": 0.5}),
    *(
        (5, f"{name} shows what its keys did not hold", making(swapping(need)), QUIET, {})
        for need, name in READS.items()
    ),
    *(
        (5, f"{name} shows what its keys did not hold", making(swapping(need, tuple(READS))), QUIET, {})
        for need, name in READS.items()
    ),
]


def reasons(verdict: Verdict, rule: int) -> str:
    return " / ".join(found.reason for found in verdict.breaks if found.rule == rule)


@pytest.mark.parametrize(("rule", "reason", "make", "troubles", "changes"), PLANTED)
def test_planted_faults_are_caught(
    rule: int, reason: str, make: Make, troubles: list[FaultOrder], changes: Changes
) -> None:
    assert reason in reasons(play(troubles, make, **changes), rule)  # type: ignore[arg-type]


def days() -> list[tuple[list[FaultOrder], Changes]]:
    """The days of the planted faults, each once."""
    found: list[tuple[list[FaultOrder], Changes]] = []
    for _, _, _, troubles, changes in PLANTED:
        if (troubles, changes) not in found:
            found.append((troubles, changes))
    return found


@pytest.mark.parametrize(("troubles", "changes"), days())
def test_the_days_of_planted_faults_are_honest_without_them(
    troubles: list[FaultOrder], changes: Changes
) -> None:
    verdict = play(troubles, **changes)  # type: ignore[arg-type]
    assert not verdict.breaks
    assert sum(tally.served for tally in verdict.tallies.values()) > 100


def test_every_rule_and_every_class_of_reads_has_its_faults() -> None:
    assert len(PLANTED) >= 30
    rules = Counter(rule for rule, _, _, _, _ in PLANTED)
    assert all(rules[rule] >= 2 for rule in range(1, 6))
    for name in READS.values():
        assert sum(reason.startswith(name) for _, reason, _, _, _ in PLANTED) >= 2


def test_most_reads_of_a_day_could_have_failed() -> None:
    """A key that nobody writes is never stale: of each class most reads ask for what was written."""
    tallies = play(QUIET, seconds=5).tallies
    for need, name in READS.items():
        tally = tallies[name]
        assert tally.reads > 20 and tally.shown >= 0.5 * tally.reads
        assert tally.aged >= 0.5 * tally.reads if need is not Need.ANY else tally.aged == 0


# ---- faults of the store: told apart from the router's


def test_a_member_that_forgets_what_it_received_is_told_from_a_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    """A replica that drops its unapplied log when it is promoted loses what replication had delivered."""
    troubles = each("lag", 0.3, 10_000, "west-1 west-2") + HANG
    assert not play(troubles).breaks

    honest = Node.promote

    def promote(self: Node, now: float) -> list[Act]:
        received = self.offset + sum(map(len, self.inbox))
        self.inbox.clear()
        acts = honest(self, now)
        for place, act in enumerate(acts):
            if act.what == "line":
                acts[place] = dataclasses.replace(act, received=received)
        return acts

    monkeypatch.setattr(Node, "promote", promote)
    assert "began a line short of what it had received" in reasons(play(troubles), 2)


def test_a_member_that_does_not_hold_what_its_log_says_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    honest = Store.apply

    def apply(self: Store, args: list[bytes], now: float) -> object:
        if args[0].upper() == b"APPEND" and args[2].endswith(b"0.0;"):
            return 1
        return honest(self, args, now)

    monkeypatch.setattr(Store, "apply", apply)
    verdict = play(QUIET)
    assert "does not hold what its log says" in reasons(verdict, 2)
    assert "shows what its keys did not hold" in reasons(verdict, 5)


def test_what_a_store_loses_at_a_fail_over_is_no_fault_of_the_router() -> None:
    """Writes acknowledged by a primary whose log reached nobody: counted apart, and no rule broken."""
    troubles = [
        FaultOrder(at=0.5, do="withhold", member="west-0", value=1),
        FaultOrder(at=0.8, do="kill", member="west-0"),
        FaultOrder(at=1.8, do="restart", member="west-0"),
    ]
    verdict = play(troubles)
    assert not verdict.breaks
    assert verdict.counts["acknowledged effects lost by the store at a fail-over"] > 5
    assert verdict.counts["effects that ran on a line that lost"] > 5


def test_too_many_excuses_fail_a_day() -> None:
    kills = [
        FaultOrder(at=0.4 + 0.3 * n, do="kill_router" if n % 2 == 0 else "start_router", router=0)
        for n in range(6)
    ]
    verdict = play(
        kills + each("slow", 0.2, 300, "west-0 west-1 west-2 east-0 east-1 east-2"), routers=1, leavers=0.0
    )
    assert "excuses are too many: open at a router's kill" in reasons(verdict, 1)


def test_a_day_repeats_to_the_byte() -> None:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, seconds=3)
    traces: list[list[Entry]] = [[], []]
    for entries in traces:
        play_virtual(day, config, 3, 7, entries.append)
    assert traces[0] == traces[1] and len(traces[0]) > 1000


def test_a_trace_is_read_as_it_was_written(tmp_path: Path) -> None:
    day, config = load_day("short")
    entries: list[Entry] = []
    head = play_virtual(msgspec.structs.replace(day, seconds=1), config, 1, 1, entries.append)
    writer = Writer(tmp_path / "t", head)
    for entry in entries:
        writer(entry)
    writer.close()
    assert read(tmp_path / "t") == (head, sorted(entries, key=lambda entry: entry.t))
    text = (tmp_path / "t").read_bytes()
    (tmp_path / "t").write_bytes(text[:-5])  # the writer was killed
    assert len(read(tmp_path / "t")[1]) == len(entries) - 1
    (tmp_path / "t").write_bytes(text + b'{"t": 1, "k": "nonsense"}\n')
    with pytest.raises(TraceError, match=rf"t:{len(entries) + 2}: Invalid enum value"):
        read(tmp_path / "t")


def test_needs_of_the_example_are_all_judged() -> None:
    _, config = load_day("short")
    assert {kind.need for kind in config.classes} == set(Need)
    assert {kind.effect for kind in config.classes} == set(Effect)
    assert isinstance(load_day("short")[0], Day)
