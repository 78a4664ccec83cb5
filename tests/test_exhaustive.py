"""The exhaustive exploration of the agreement: what it covers, that its reductions lose nothing, what it finds."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from banklift.fleet import register
from banklift.fleet.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejoin, Rejoined
from banklift.fleet.register import Proposal, Record, Rejoining, majority
from banklift.fleet.state import State
from banklift.rig import exhaustive, exhaustive_history
from banklift.rig import exhaustive_voter as voters
from banklift.rig.exhaustive_history import (
    CHAIN,
    INVARIANTS,
    OF_CHOICE,
    ONCE,
    ONE_PER_VERSION,
    PROMISES_KEPT,
    TOLD_LASTS,
    Chosen,
    History,
    Invariant,
)
from banklift.rig.exhaustive_search import Report, Search
from banklift.rig.exhaustive_voter import (
    Acceptance,
    BrokenPromise,
    DiskAfter,
    DiskFault,
    Envelope,
    Habits,
    Outcome,
    Told,
)
from banklift.rig.exhaustive_world import Budget

Patch = pytest.MonkeyPatch
LIMIT = 400_000  # states; every budget here has fewer


# ---- what is covered


@pytest.mark.parametrize(
    ("budget", "exposed"),
    [
        (Budget(0, 1, 1), {CHAIN, ONCE, TOLD_LASTS, PROMISES_KEPT}),
        (Budget(0, 0, 1, Habits(slow_disk=True)), {CHAIN, ONCE, TOLD_LASTS, PROMISES_KEPT}),
        (Budget(0, 0, 2), set(INVARIANTS)),
        (Budget(1, 0, 1), {CHAIN, ONCE, TOLD_LASTS, PROMISES_KEPT}),
    ],
    ids=["a loss", "slow disks", "two tries", "a crash"],
)
def test_all_that_can_happen_within_a_budget_breaks_nothing(budget: Budget, exposed: set[Invariant]) -> None:
    report = Search(budget).run(LIMIT)
    assert report.counterexample is None, report.counterexample
    assert report.complete
    assert all(report.exposed[one.name] > 0 for one in exposed)


@pytest.mark.parametrize("budget", [Budget(), Budget(losses=1)], ids=["nothing", "a loss"])
def test_the_reductions_lose_no_history(budget: Budget) -> None:
    def histories(reduced: bool) -> set[bytes]:
        search = Search(budget, reduced=reduced)
        assert search.run(LIMIT).complete
        values = search.worlds.histories.values
        return {msgspec.msgpack.encode(values[number]) for number in search.with_history}

    assert histories(reduced=True) == histories(reduced=False)


def test_a_limit_is_told() -> None:
    report = Search(Budget(crashes=1)).run(1_000)
    assert not report.complete
    assert report.counterexample is None
    assert "cut by its limit" in exhaustive.lines(report)[0]


def test_the_command_prints_counts(capsys: pytest.CaptureFixture[str]) -> None:
    assert exhaustive.main(["--crashes", "0", "--losses", "1"]) == 0
    printed = capsys.readouterr().out
    assert "crashes 0, losses 1, tries 1: complete" in printed
    assert all(one.name in printed for one in INVARIANTS)


def test_a_voter_that_votes_again_may_read_the_register_first() -> None:
    voter = voters.first_state("v2", 1, keeps_disk=True, habits=Habits(reads=True))
    lost = voters.crash(voter, DiskAfter(DiskFault.LOST, None)).voter
    for other in ("v0", "v1"):
        told = (
            voters.receive(voters.first_state(other, 1, True, voters.PLAIN), "v2", Rejoin(2)).sent[0].message
        )
        outcome = voters.receive(lost, other, told)
        lost = outcome.voter
    assert [one.message for one in outcome.sent] == [Prepare((2, "v2"))] * 2
    assert lost.proposal is not None
    assert lost.proposal.read


def test_a_disk_after_a_crash_is_whole_lost_or_any_earlier_one() -> None:
    voter = voters.first_state("v1", 1, keeps_disk=True, habits=voters.PLAIN)
    first = voter.record
    for ballot in ((2, "v0"), (3, "v0")):
        voter = voters.receive(voter, "v0", Prepare(ballot)).voter
    drawn = voters.disks_after(voter)
    assert [one.fault for one in drawn] == [DiskFault.WHOLE, DiskFault.LOST, *[DiskFault.ROLLED_BACK] * 2]
    assert [one.record.promised for one in drawn if one.record] == [(3, "v0"), first.promised, (2, "v0")]
    again = voters.crash(voter, drawn[1]).voter
    assert again.rejoining is not None
    assert not again.trusted
    assert voters.disks_after(again) == [DiskAfter(DiskFault.LOST, None)]


# ---- the invariants


def state(policy: bytes) -> State:
    return State("small", 1 + len(policy), 1, policy)


def chosen(*states: tuple[Ballot, bytes]) -> History:
    return History(chosen=tuple(Chosen(ballot, state(policy)) for ballot, policy in states))


A, B, C = (2, "v0"), (2, "v1"), (3, "v0")


@pytest.mark.parametrize(
    ("history", "broken"),
    [
        (chosen((A, b"a"), (B, b"ab"), (C, b"ab")), set()),
        (chosen((A, b"a"), (B, b"b")), {CHAIN, ONE_PER_VERSION}),
        (chosen((A, b"ab"), (B, b"a")), {CHAIN}),
        (chosen((A, b"a"), (A, b"ab")), {CHAIN}),
        (chosen((A, b"a"), (B, b"aa")), {ONCE}),
        (
            History().after([Told("v0", False, A, state(b"a")), Told("v1", False, B, state(b"b"))]),
            {*OF_CHOICE} - {ONCE},
        ),
        (History().after([Told("v0", False, A, state(b"b"))]), {TOLD_LASTS}),
        (History().after([BrokenPromise("v2", A, B)]), {PROMISES_KEPT}),
    ],
    ids=[
        "sound",
        "two sides",
        "cut short",
        "one ballot",
        "twice",
        "told two sides",
        "told another's",
        "promise",
    ],
)
def test_invariants_tell_broken_histories(history: History, broken: set[Invariant]) -> None:
    assert {one for one in INVARIANTS if one.broken(history)} == broken


def acceptance(voter: str, own: int, **known: int) -> Acceptance:
    return Acceptance(voter, A, state(b"a"), {"v0": 1, "v1": 1, "v2": 1, voter: own, **known})


def test_a_state_is_chosen_by_a_majority_none_of_whom_has_forgotten() -> None:
    one, other = acceptance("v0", 1), acceptance("v1", 1)
    assert not History().after([one]).chosen
    assert not History().after([one, one]).chosen
    assert History().after([one, other]).chosen == History().after([other, one]).chosen != ()
    assert not History().after([one, acceptance("v1", 1, v0=2)]).chosen
    assert History().after([one, acceptance("v1", 1, v0=2), acceptance("v0", 2)]).chosen


# ---- planted bugs


def forgets_its_promise(record: Record, message: Accept) -> tuple[Record, Accepted]:
    after = msgspec.structs.replace(
        record, promised=message.ballot, accepted=message.ballot, state=message.state
    )
    return after, Accepted(message.ballot, record.incarnations)


def takes_the_first_promise(self: Proposal, voter: str, message: Promise) -> Accept | None:
    if message.ballot != self.ballot or self.state is not None or voter not in self.voters:
        return None
    self.promises[voter] = message
    sound = self.voters_of_newest_incarnation(self.promises)
    if len(sound) < majority(len(self.voters)):
        return None
    self.state = self.change(self.promises[sound[0]].state)
    return Accept(self.ballot, self.state)


def half(voters: int) -> int:
    return voters // 2


def votes_at_once(self: Rejoining) -> Record:
    return self.record


def ignores_incarnations(self: Proposal, answers: dict[str, Any]) -> list[str]:
    return list(answers)


def explore(budget: Budget, invariants: tuple[Invariant, ...] = OF_CHOICE) -> Report:
    return Search(budget, invariants).run(LIMIT)


@pytest.mark.parametrize(
    ("owner", "name", "bug", "budget", "steps"),
    [
        (register, "accept", forgets_its_promise, Budget(), 8),
        (register, "majority", half, Budget(), 2),
        (Rejoining, "recovered_record", votes_at_once, Budget(crashes=1), 9),
        (Proposal, "handle_promise", takes_the_first_promise, Budget(), 8),
    ],
    ids=["forgets its promise", "half", "votes at once", "first promise"],
)
def test_a_planted_bug_is_found_by_what_is_chosen(
    monkeypatch: Patch, owner: Any, name: str, bug: Any, budget: Budget, steps: int
) -> None:
    monkeypatch.setattr(owner, name, bug)
    found = explore(budget).counterexample
    assert found is not None
    assert found.invariant == CHAIN.name
    assert len(found.path) == steps  # the fewest


def test_a_restart_that_votes_at_once_is_found_with_a_disk_rolled_back(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Rejoining, "recovered_record", votes_at_once)
    report = explore(Budget(crashes=1))
    assert report.counterexample is not None
    assert any("rolled back" in step for step in report.counterexample.path)
    assert exhaustive.lines(report)[-1].lstrip().startswith("9 deliver")


def test_a_forgotten_promise_is_found_where_it_is_broken(monkeypatch: Patch) -> None:
    monkeypatch.setattr(register, "accept", forgets_its_promise)
    found = explore(Budget(), INVARIANTS).counterexample
    assert found is not None
    assert found.invariant == PROMISES_KEPT.name
    assert len(found.path) == 5


# ---- incarnations ignored: harmless with three voters, as the proposer itself tells a restarted one of its ballot


class FiveVoters:
    """Steps of five voters in an order that is written down."""

    def __init__(self, monkeypatch: Patch) -> None:
        names = ("v0", "v1", "v2", "v3", "v4")
        monkeypatch.setattr(voters, "VOTERS", names)
        monkeypatch.setattr(exhaustive_history, "MAJORITY", 3)
        self.states = {
            name: voters.first_state(name, 1, keeps_disk=True, habits=voters.PLAIN) for name in names
        }
        self.flight: list[Envelope] = []
        self.history = History()

    def happened(self, outcome: Outcome) -> None:
        self.states[outcome.voter.name] = outcome.voter
        self.flight += outcome.sent
        self.history = self.history.after(outcome.events)

    def begin(self, name: str) -> None:
        self.happened(voters.begin(self.states[name]))

    def loses_disk(self, name: str) -> None:
        self.happened(voters.crash(self.states[name], DiskAfter(DiskFault.LOST, None)))

    def deliver(self, sender: str, receiver: str, kind: type) -> bool:
        """The message of this kind; whether there was one."""
        for envelope in self.flight:
            if (envelope.sender, envelope.receiver) == (sender, receiver) and type(envelope.message) is kind:
                self.flight.remove(envelope)
                self.happened(voters.receive(self.states[receiver], sender, envelope.message))
                return True
        return False

    def asked(self, sender: str, receiver: str, question: type, answer: type) -> None:
        assert self.deliver(sender, receiver, question)
        assert self.deliver(receiver, sender, answer)


def a_promise_of_before_a_crash(monkeypatch: Patch) -> FiveVoters:
    """v2 promises v1's ballot, forgets it, helps to choose v0's change under a lower one; v4 promises v1's, too."""
    five = FiveVoters(monkeypatch)
    five.begin("v1")
    five.asked("v1", "v2", Prepare, Promise)
    five.loses_disk("v2")
    for other in ("v0", "v3", "v4"):
        five.asked("v2", other, Rejoin, Rejoined)
    assert five.states["v2"].rejoining is None
    five.begin("v0")
    for other in ("v2", "v3"):
        five.asked("v0", other, Prepare, Promise)
    for other in ("v2", "v3"):
        five.asked("v0", other, Accept, Accepted)
    assert [one.state.policy for one in five.history.chosen] == [b"a"]
    five.asked("v1", "v4", Prepare, Promise)
    return five


def test_a_promise_of_an_older_incarnation_makes_no_majority(monkeypatch: Patch) -> None:
    five = a_promise_of_before_a_crash(monkeypatch)
    assert not five.deliver("v1", "v4", Accept)
    five.asked("v1", "v3", Prepare, Promise)
    for other in ("v3", "v4"):
        five.asked("v1", other, Accept, Accepted)
    assert [one.state.policy for one in five.history.chosen] == [b"a", b"ab"]
    assert not any(one.broken(five.history) for one in INVARIANTS)


def test_ignored_incarnations_break_the_chain_of_five_voters(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Proposal, "voters_of_newest_incarnation", ignores_incarnations)
    five = a_promise_of_before_a_crash(monkeypatch)
    for other in ("v2", "v4"):
        five.asked("v1", other, Accept, Accepted)
    assert CHAIN.broken(five.history)


def test_ignored_incarnations_do_no_harm_with_three_voters_and_one_crash(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Proposal, "voters_of_newest_incarnation", ignores_incarnations)
    report = explore(Budget(crashes=1))
    assert report.counterexample is None
    assert report.complete
