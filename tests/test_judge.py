"""The judge finds each planted fault for the right reason, and no violation on a day without planted faults.

Days play in virtual time through the router's own code. A fault (faults.py) is planted in the router, in its
configuration or in an emulated member. The judge gets the trace, whose head has the correct configuration.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from banklift.config import build
from banklift.emulator.node import MemberAction, RespMember
from banklift.emulator.store import Store
from banklift.interface import Effect, Need
from banklift.judge.day import Day, Election, FaultOrder, load_day, play_virtual
from banklift.judge.rules import judge
from banklift.judge.trace import Entry, TraceError, Writer, read_trace
from banklift.judge.verdict import Verdict
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config
from tests import faults
from tests.faults import SAFE, MachineFactory, faulty_router, misconfigured_router, swapping_read_answers

Changes = dict[str, object]
CLASS_OF_NEED = {
    Need.SESSION: "own-picks",
    Need.BOUNDED: "trace-view",
    Need.FRESH: "final",
    Need.ANY: "alert-check",
}


def play(
    orders: list[FaultOrder],
    make_machine: MachineFactory = build.machine,
    routers: int = 2,
    seconds: float = 2.5,
    rate: float = 200,
    sessions: int = 30,
    seed: int = 5,
    config: Changes | None = None,
    **changes: object,
) -> Verdict:
    """The verdict on the day "short" in virtual time, with these orders and other fields that differ.

    `config`: keys of the operator's file that differ, for both router and judge.
    """
    day, settings = load_day("short")
    settings = msgspec.convert({**msgspec.to_builtins(settings), **(config or {})}, Config)
    day = msgspec.structs.replace(
        day, troubles=orders, seconds=seconds, rate=rate, sessions=sessions, **changes
    )
    entries: list[Entry] = []
    head = play_virtual(day, settings, routers, seed, entries.append, make_machine=make_machine)
    return judge(head, sorted(entries, key=lambda entry: entry.t))


def for_members(do: str, at: float, value: float, members: str = "west-1 east-1") -> list[FaultOrder]:
    """The same order to each of these members."""
    return [FaultOrder(at=at, do=do, member=name, value=value) for name in members.split()]


NO_FAULTS: list[FaultOrder] = []
PRIMARY_HANGS = [
    FaultOrder(at=0.6, do="hang", member="west-0", value=1.0),
    FaultOrder(at=2.2, do="thaw", member="west-0"),
]
APPLY_LAG = for_members("lag", 0.3, 10_000)
DRAIN = [FaultOrder(at=0.4, do="drain", member="west-1")]
COLD_STARTS = for_members("kill", 0.3, 0) + for_members("restart", 0.6, 0)
CONNECTIONS_CUT = for_members("cut", 0.3, 0.5, "west-0 east-0")
# delays in seconds by which every replica stays behind its primary
DELAYED = for_members("delay", 0.3, 0.9, "west-0 east-0")
LONG_DELAYED = for_members("delay", 0.3, 1.5, "west-0 east-0")
SHORT_DELAYED = for_members("delay", 0.3, 0.02, "west-0 east-0")
HUNG_AND_KILLED = (
    for_members("hang", 0.6, 1, "west-0 east-0")
    + for_members("kill", 0.75, 0, "west-0 east-0")
    + (for_members("thaw", 1.9, 0, "west-0 east-0") + for_members("restart", 2.0, 0, "west-0 east-0"))
)
SPLIT = [FaultOrder(at=0.6, do="split", member="west-0"), FaultOrder(at=0.6, do="split", member="east-0")]
SLOW_PRIMARIES = for_members("slow", 0.3, 400, "west-0 east-0")
BUSY: Changes = {"rate": 1600, "work": 0.02, "sessions": 200, "batches": 0.0}
NO_EARLY_LEAVERS: Changes = {"leavers": 0.0}
ALL_ROAM: Changes = {"roam": 1.0}
WITH_TOKENS: Changes = {"roam": 1.0, "helped": True, "routers": 3}
LONG: Changes = {"seconds": 4.0}
NAMED_SESSIONS: Changes = {"roam": 0.0, "named": True, "config": {"sessions": "connection"}}
MANY_EARLY_LEAVERS: Changes = {"leavers": 0.9}
SHORT_WINDOW: Changes = {
    "rate": 600,
    "election": Election(notice=0.1, takes=0.1),
    "config": {
        "classes": [
            {**msgspec.to_builtins(request_class), "window": 0.1 if request_class.name == "stamp" else 0.0}
            for request_class in load_day("short")[1].classes
        ]
    },
}

# rule, reason, router with the planted fault, the day's orders, and other fields of the day that differ
PLANTED: list[tuple[int, str, MachineFactory, list[FaultOrder], Changes]] = [
    (1, "no answer", faulty_router(faults.DropsAnswers), NO_FAULTS, {}),
    (1, "more than one final answer", faulty_router(faults.DuplicatesAnswers), NO_FAULTS, {}),
    (
        1,
        "no answer before the deadline",
        faulty_router(faults.ExtendsDeadlines),
        PRIMARY_HANGS,
        NO_EARLY_LEAVERS,
    ),
    (
        1,
        "after the deadline",
        faulty_router(Machine, faults.BlocksBehindLateAnswers),
        PRIMARY_HANGS,
        {**NO_EARLY_LEAVERS, "batches": 0.5},
    ),
    (
        1,
        "connection closed without an answer",
        faulty_router(faults.ClosesInsteadOfFailing),
        PRIMARY_HANGS,
        NO_EARLY_LEAVERS,
    ),
    (1, "sent to a member after the final answer", faulty_router(faults.ResendsAfterAnswer), NO_FAULTS, {}),
    (
        1,
        "sent to a member after its client had left",
        faulty_router(faults.IgnoresLeftClients),
        SLOW_PRIMARIES,
        MANY_EARLY_LEAVERS,
    ),
    (1, "an answer that no member gave", faulty_router(faults.SwapsWriteAnswers), NO_FAULTS, {}),
    (2, "ran 2 times", misconfigured_router(pick_save=SAFE), CONNECTIONS_CUT, {}),
    (2, "sent again though it may have run", misconfigured_router(pick_save=SAFE), PRIMARY_HANGS, {}),
    (
        2,
        "refused, but it ran (unsafe)",
        faulty_router(faults.RefusesFailedRequests),
        PRIMARY_HANGS,
        {"rate": 600},
    ),
    (2, "refused, but it ran (keyed)", faulty_router(faults.ForgetsAttempts), CONNECTIONS_CUT, {"rate": 600}),
    (2, "refused, but it ran (safe)", faulty_router(faults.ForgetsAttempts), CONNECTIONS_CUT, {}),
    (
        2,
        "nothing ran of what a member took",
        faulty_router(faults.ForgetsAttempts),
        SLOW_PRIMARIES,
        NO_EARLY_LEAVERS,
    ),
    (
        2,
        "called safe to repeat",
        faulty_router(faults.CallsFailedRequestsRepeatable),
        PRIMARY_HANGS,
        {"rate": 600},
    ),
    (
        2,
        "sent again when its members had forgotten it",
        misconfigured_router(stamp=faults.KEYED),
        HUNG_AND_KILLED,
        SHORT_WINDOW,
    ),
    (
        2,
        "two attempts out at once",
        faulty_router(faults.SendsReadsTwice),
        for_members("slow", 0.3, 100, "west-1 east-1"),
        {},
    ),
    (2, "acknowledged, but it never ran", faulty_router(faults.AcknowledgesUnsentWrites), NO_FAULTS, {}),
    (3, "got a command", faulty_router(faults.IgnoresRosterChanges), DRAIN, LONG),
    (3, "got a command", faulty_router(faults.IgnoresDrains), DRAIN, LONG),
    (4, "of what it can bear", faulty_router(faults.IgnoresStartTimes), COLD_STARTS, BUSY),
    (4, "of what it can bear", faulty_router(faults.IgnoresRosterChanges), COLD_STARTS, BUSY),
    (5, "own-picks at", faulty_router(faults.SkipsStalenessChecks), APPLY_LAG, {}),
    (5, "final at", misconfigured_router(final={"need": Need.ANY}), SHORT_DELAYED, {"rate": 600}),
    (5, "final at", misconfigured_router(final={"need": Need.BOUNDED, "bound": 1.0}), DELAYED, LONG),
    (5, "final at", faults.every_other_router(faulty_router(faults.KeepsFirstHistory)), SPLIT, LONG),
    (5, "trace-view at", faults.every_other_router(faulty_router(faults.KeepsFirstHistory)), SPLIT, LONG),
    (5, "trace-view at", faulty_router(faults.TakesAnyOffsetAsCurrent), LONG_DELAYED, LONG),
    (5, "trace-view at", misconfigured_router(trace_view={"bound": 0.96}), DELAYED, LONG),
    (5, "trace-view at", misconfigured_router(trace_view={"bound": 2.4}), LONG_DELAYED, LONG),
    (5, "own-picks at", faulty_router(faults.TakesAnyOffsetAsCurrent), APPLY_LAG, {}),
    (5, "own-picks at", faults.misconfigured_sessions, APPLY_LAG, ALL_ROAM),
    (5, "own-picks at", faulty_router(faults.DropsAllTokens), APPLY_LAG, NAMED_SESSIONS),
    (5, "own-picks at", faulty_router(faults.DropsTokensOfReads), APPLY_LAG, WITH_TOKENS),
    (
        5,
        "alert-check shows an answer that no member gave",
        faulty_router(faults.ServesCachedReads),
        NO_FAULTS,
        {},
    ),
    (
        5,
        "shows what its keys did not hold",
        faulty_router(Machine, faults.ShiftsBatchAnswers),
        NO_FAULTS,
        {"batches": 0.5},
    ),
    *(
        (
            5,
            f"{name} shows what its keys did not hold",
            faulty_router(swapping_read_answers(need)),
            NO_FAULTS,
            {},
        )
        for need, name in CLASS_OF_NEED.items()
    ),
    *(
        (
            5,
            f"{name} shows what its keys did not hold",
            faulty_router(swapping_read_answers(need, tuple(CLASS_OF_NEED))),
            NO_FAULTS,
            {},
        )
        for need, name in CLASS_OF_NEED.items()
    ),
]


def reasons(verdict: Verdict, rule: int) -> str:
    """The reasons of all violations of a rule as one text."""
    return " / ".join(violation.reason for violation in verdict.violations if violation.rule == rule)


@pytest.mark.parametrize(("rule", "reason", "make_machine", "orders", "changes"), PLANTED)
def test_judge_finds_planted_faults(
    rule: int, reason: str, make_machine: MachineFactory, orders: list[FaultOrder], changes: Changes
) -> None:
    assert reason in reasons(play(orders, make_machine, **changes), rule)  # type: ignore[arg-type]


def days_of_planted_faults() -> list[tuple[list[FaultOrder], Changes]]:
    """Orders and changes of the days of `PLANTED`, each once."""
    found: list[tuple[list[FaultOrder], Changes]] = []
    for _, _, _, orders, changes in PLANTED:
        if (orders, changes) not in found:
            found.append((orders, changes))
    return found


@pytest.mark.parametrize(("orders", "changes"), days_of_planted_faults())
def test_days_of_planted_faults_break_no_rule_without_the_fault(
    orders: list[FaultOrder], changes: Changes
) -> None:
    verdict = play(orders, **changes)  # type: ignore[arg-type]
    assert not verdict.violations
    assert sum(tally.served for tally in verdict.tallies.values()) > 100


def test_each_rule_and_each_class_of_reads_has_planted_faults() -> None:
    assert len(PLANTED) >= 30
    rules = Counter(rule for rule, _, _, _, _ in PLANTED)
    assert all(rules[rule] >= 2 for rule in range(1, 6))
    for name in CLASS_OF_NEED.values():
        assert sum(reason.startswith(name) for _, reason, _, _, _ in PLANTED) >= 2


def test_most_judged_reads_would_show_a_wrong_or_stale_answer() -> None:
    """Guards against judging reads of keys that are never written, whose answers cannot be wrong or stale."""
    tallies = play(NO_FAULTS, seconds=5).tallies
    for need, name in CLASS_OF_NEED.items():
        tally = tallies[name]
        assert tally.reads > 20 and tally.reads_with_value >= 0.5 * tally.reads
        assert (
            tally.reads_of_written_keys >= 0.5 * tally.reads
            if need is not Need.ANY
            else tally.reads_of_written_keys == 0
        )


# ---- faults of members, which the judge has to tell apart from faults of the router


def test_judge_finds_a_promoted_replica_that_dropped_its_unapplied_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Writes that replication had delivered are not lost by the fail-over but by the replica that drops them."""
    orders = for_members("lag", 0.3, 10_000, "west-1 west-2") + PRIMARY_HANGS
    assert not play(orders).violations

    original = RespMember.promote

    def promote(self: RespMember, now: float) -> list[MemberAction]:
        received = self.offset + sum(map(len, self.unapplied_stream))
        self.unapplied_stream.clear()
        actions = original(self, now)
        for index, action in enumerate(actions):
            if action.kind == "line":
                actions[index] = dataclasses.replace(action, parent_offset_received=received)
        return actions

    monkeypatch.setattr(RespMember, "promote", promote)
    assert "began a line short of what it had received" in reasons(play(orders), 2)


def test_judge_finds_a_member_whose_data_differ_from_its_log(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Store.apply

    def apply(self: Store, args: list[bytes], now: float) -> object:
        if args[0].upper() == b"APPEND" and args[2].endswith(b"0.0;"):
            return 1
        return original(self, args, now)

    monkeypatch.setattr(Store, "apply", apply)
    verdict = play(NO_FAULTS)
    assert "does not hold what its log says" in reasons(verdict, 2)
    assert "shows what its keys did not hold" in reasons(verdict, 5)


def test_writes_lost_by_the_store_at_a_fail_over_break_no_rule() -> None:
    """A primary acknowledges writes that reach no replica and is killed: the lost writes are only counted."""
    orders = [
        FaultOrder(at=0.5, do="withhold", member="west-0", value=1),
        FaultOrder(at=0.8, do="kill", member="west-0"),
        FaultOrder(at=1.8, do="restart", member="west-0"),
    ]
    verdict = play(orders)
    assert not verdict.violations
    assert verdict.counts["acknowledged effects lost by the store at a fail-over"] > 5
    assert verdict.counts["effects that ran on a line that lost"] > 5


def test_too_many_excused_requests_break_a_rule() -> None:
    kills = [
        FaultOrder(at=0.4 + 0.3 * n, do="kill_router" if n % 2 == 0 else "start_router", router=0)
        for n in range(6)
    ]
    verdict = play(
        kills + for_members("slow", 0.2, 300, "west-0 west-1 west-2 east-0 east-1 east-2"),
        routers=1,
        leavers=0.0,
    )
    assert "excuses are too many: open at a router's kill" in reasons(verdict, 1)


def test_same_seed_gives_the_same_trace() -> None:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, seconds=3)
    traces: list[list[Entry]] = [[], []]
    for entries in traces:
        play_virtual(day, config, 3, 7, entries.append)
    assert traces[0] == traces[1] and len(traces[0]) > 1000


def test_trace_files_are_read_back_as_written(tmp_path: Path) -> None:
    day, config = load_day("short")
    entries: list[Entry] = []
    head = play_virtual(msgspec.structs.replace(day, seconds=1), config, 1, 1, entries.append)
    writer = Writer(tmp_path / "t", head)
    for entry in entries:
        writer(entry)
    writer.close()
    assert read_trace(tmp_path / "t") == (head, sorted(entries, key=lambda entry: entry.t))
    text = (tmp_path / "t").read_bytes()
    (tmp_path / "t").write_bytes(text[:-5])  # as if the writer was killed in the middle of a line
    assert len(read_trace(tmp_path / "t")[1]) == len(entries) - 1
    (tmp_path / "t").write_bytes(text + b'{"t": 1, "k": "nonsense"}\n')
    with pytest.raises(TraceError, match=rf"t:{len(entries) + 2}: Invalid enum value"):
        read_trace(tmp_path / "t")


def test_example_has_a_class_of_each_need_and_effect() -> None:
    _, config = load_day("short")
    assert {request_class.need for request_class in config.classes} == set(Need)
    assert {request_class.effect for request_class in config.classes} == set(Effect)
    assert isinstance(load_day("short")[0], Day)
