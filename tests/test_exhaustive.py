"""The exhaustive exploration of the replicated register: what it covers, that its reductions lose no history, and that
it finds injected bugs."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from banklift.fleet import register
from banklift.fleet.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejoin, Rejoined
from banklift.fleet.register import Proposal, Record, Rejoining, majority
from banklift.fleet.state import State
from banklift.rig import exhaustive, exhaustive_history, exhaustive_voter
from banklift.rig.exhaustive_history import (
    CHAIN,
    CHANGE_ONCE,
    INVARIANTS,
    INVARIANTS_OF_CHOICE,
    LEARNED_IS_DURABLE,
    ONE_PER_VERSION,
    PROMISES_KEPT,
    Chosen,
    History,
    Invariant,
)
from banklift.rig.exhaustive_search import Report, Search
from banklift.rig.exhaustive_voter import (
    Acceptance,
    BrokenPromise,
    DiskAfterCrash,
    DiskFault,
    Envelope,
    Learned,
    Outcome,
    VoterOptions,
)
from banklift.rig.exhaustive_world import Budget

Patch = pytest.MonkeyPatch
LIMIT = 400_000  # states; the state space of every budget here has fewer


# ---- what is covered


@pytest.mark.parametrize(
    ("budget", "exercised"),
    [
        (Budget(0, 1, 1), {CHAIN, CHANGE_ONCE, LEARNED_IS_DURABLE, PROMISES_KEPT}),
        (
            Budget(0, 0, 1, VoterOptions(slow_disk=True)),
            {CHAIN, CHANGE_ONCE, LEARNED_IS_DURABLE, PROMISES_KEPT},
        ),
        (Budget(0, 0, 2), set(INVARIANTS)),
        (Budget(1, 0, 1), {CHAIN, CHANGE_ONCE, LEARNED_IS_DURABLE, PROMISES_KEPT}),
    ],
    ids=["one-loss", "slow-disks", "two-tries", "one-crash"],
)
def test_no_invariant_is_violated_within_a_budget(budget: Budget, exercised: set[Invariant]) -> None:
    """The whole state space is explored, and each invariant that can be exercised in it is."""
    report = Search(budget).run(LIMIT)
    assert report.counterexample is None, report.counterexample
    assert report.complete
    assert all(report.exercised[invariant.name] > 0 for invariant in exercised)


@pytest.mark.parametrize("budget", [Budget(), Budget(losses=1)], ids=["no-faults", "one-loss"])
def test_reductions_lose_no_history(budget: Budget) -> None:
    def histories(reduced: bool) -> set[bytes]:
        search = Search(budget, reduced=reduced)
        assert search.run(LIMIT).complete
        values = search.space.histories.values
        return {msgspec.msgpack.encode(values[number]) for number in search.states_by_history}

    assert histories(reduced=True) == histories(reduced=False)


def test_report_says_that_the_limit_was_reached() -> None:
    report = Search(Budget(crashes=1)).run(1_000)
    assert not report.complete
    assert report.counterexample is None
    assert "stopped at the state limit" in exhaustive.lines(report)[0]


def test_command_prints_counts(capsys: pytest.CaptureFixture[str]) -> None:
    assert exhaustive.main(["--crashes", "0", "--losses", "1"]) == 0
    printed = capsys.readouterr().out
    assert "crashes 0, losses 1, tries 1: complete" in printed
    assert all(invariant.name in printed for invariant in INVARIANTS)


def test_voter_that_votes_again_may_read_the_register_first() -> None:
    voter = exhaustive_voter.first_state(
        "v2", 1, keeps_disk_history=True, options=VoterOptions(reads_after_rejoin=True)
    )
    restarted = exhaustive_voter.crash(voter, DiskAfterCrash(DiskFault.LOST, None)).voter
    for name in ("v0", "v1"):
        other = exhaustive_voter.first_state(name, 1, True, exhaustive_voter.DEFAULT_OPTIONS)
        answer = exhaustive_voter.receive(other, "v2", Rejoin(2)).sent[0].message
        outcome = exhaustive_voter.receive(restarted, name, answer)
        restarted = outcome.voter
    assert [envelope.message for envelope in outcome.sent] == [Prepare((2, "v2"))] * 2
    assert restarted.proposal is not None
    assert restarted.proposal.is_read


def test_disk_after_a_crash_is_whole_lost_or_rolled_back_to_any_record() -> None:
    voter = exhaustive_voter.first_state(
        "v1", 1, keeps_disk_history=True, options=exhaustive_voter.DEFAULT_OPTIONS
    )
    first = voter.record
    for ballot in ((2, "v0"), (3, "v0")):
        voter = exhaustive_voter.receive(voter, "v0", Prepare(ballot)).voter
    disks = exhaustive_voter.disks_after_crash(voter)
    assert [disk.fault for disk in disks] == [DiskFault.WHOLE, DiskFault.LOST, *[DiskFault.ROLLED_BACK] * 2]
    assert [disk.record.promised for disk in disks if disk.record] == [(3, "v0"), first.promised, (2, "v0")]
    restarted = exhaustive_voter.crash(voter, disks[1]).voter
    assert restarted.rejoining is not None
    assert not restarted.trusted
    assert exhaustive_voter.disks_after_crash(restarted) == [DiskAfterCrash(DiskFault.LOST, None)]


# ---- the invariants


def state(policy: bytes) -> State:
    return State("small", 1 + len(policy), 1, policy)


def chosen(*states: tuple[Ballot, bytes]) -> History:
    return History(chosen=tuple(Chosen(ballot, state(policy)) for ballot, policy in states))


A, B, C = (2, "v0"), (2, "v1"), (3, "v0")


@pytest.mark.parametrize(
    ("history", "violated"),
    [
        (chosen((A, b"a"), (B, b"ab"), (C, b"ab")), set()),
        (chosen((A, b"a"), (B, b"b")), {CHAIN, ONE_PER_VERSION}),
        (chosen((A, b"ab"), (B, b"a")), {CHAIN}),
        (chosen((A, b"a"), (A, b"ab")), {CHAIN}),
        (chosen((A, b"a"), (B, b"aa")), {CHANGE_ONCE}),
        (
            History().after([Learned("v0", False, A, state(b"a")), Learned("v1", False, B, state(b"b"))]),
            {*INVARIANTS_OF_CHOICE} - {CHANGE_ONCE},
        ),
        (History().after([Learned("v0", False, A, state(b"b"))]), {LEARNED_IS_DURABLE}),
        (History().after([BrokenPromise("v2", A, B)]), {PROMISES_KEPT}),
    ],
    ids=[
        "sound",
        "two-branches",
        "change-lost",
        "two-states-of-one-ballot",
        "change-made-twice",
        "learned-two-branches",
        "learned-without-own-change",
        "broken-promise",
    ],
)
def test_invariants_detect_bad_histories(history: History, violated: set[Invariant]) -> None:
    assert {invariant for invariant in INVARIANTS if invariant.violation(history)} == violated


def acceptance(voter: str, own: int, **known: int) -> Acceptance:
    """An acceptance by a voter in its incarnation `own`, which knows these incarnations of others, else their first."""
    return Acceptance(voter, A, state(b"a"), {"v0": 1, "v1": 1, "v2": 1, voter: own, **known})


def test_state_is_chosen_by_a_majority_whose_incarnations_are_consistent() -> None:
    """An acceptance does not count beside one that knows a newer incarnation of its voter, as the voter may have
    forgotten it since."""
    one, other = acceptance("v0", 1), acceptance("v1", 1)
    assert not History().after([one]).chosen
    assert not History().after([one, one]).chosen
    assert History().after([one, other]).chosen == History().after([other, one]).chosen != ()
    assert not History().after([one, acceptance("v1", 1, v0=2)]).chosen
    assert History().after([one, acceptance("v1", 1, v0=2), acceptance("v0", 2)]).chosen


# ---- injected bugs, each in place of a function of register.py


def accept_under_any_ballot(record: Record, message: Accept) -> tuple[Record, Accepted]:
    """Accepts also under a lower ballot than promised."""
    after = msgspec.structs.replace(
        record, promised=message.ballot, accepted=message.ballot, state=message.state
    )
    return after, Accepted(message.ballot, record.incarnations)


def take_first_promise(self: Proposal, voter: str, message: Promise) -> Accept | None:
    """Builds on the state of the first promise, which need not be the one accepted under the highest ballot."""
    if message.ballot != self.ballot or self.state is not None or voter not in self.voters:
        return None
    self.promises[voter] = message
    sound = self.voters_of_newest_incarnation(self.promises)
    if len(sound) < majority(len(self.voters)):
        return None
    self.state = self.change(self.promises[sound[0]].state)
    return Accept(self.ballot, self.state)


def half(voters: int) -> int:
    """Takes half of the voters for a majority."""
    return voters // 2


def vote_at_once(self: Rejoining) -> Record:
    """Votes after a restart without asking the other voters."""
    return self.record


def ignore_incarnations(self: Proposal, answers: dict[str, Any]) -> list[str]:
    """Counts answers of older incarnations."""
    return list(answers)


def explore(budget: Budget, invariants: tuple[Invariant, ...] = INVARIANTS_OF_CHOICE) -> Report:
    return Search(budget, invariants).run(LIMIT)


@pytest.mark.parametrize(
    ("owner", "name", "bug", "budget", "steps"),
    [
        (register, "accept", accept_under_any_ballot, Budget(), 8),
        (register, "majority", half, Budget(), 2),
        (Rejoining, "recovered_record", vote_at_once, Budget(crashes=1), 9),
        (Proposal, "handle_promise", take_first_promise, Budget(), 8),
    ],
    ids=["accept-under-any-ballot", "half", "vote-at-once", "take-first-promise"],
)
def test_injected_bug_violates_the_chain_of_chosen_states(
    monkeypatch: Patch, owner: Any, name: str, bug: Any, budget: Budget, steps: int
) -> None:
    monkeypatch.setattr(owner, name, bug)
    found = explore(budget).counterexample
    assert found is not None
    assert found.invariant == CHAIN.name
    assert len(found.path) == steps  # the length of a shortest path


def test_voting_at_once_after_a_restart_is_found_with_a_disk_rolled_back(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Rejoining, "recovered_record", vote_at_once)
    report = explore(Budget(crashes=1))
    assert report.counterexample is not None
    assert any("rolled back" in step for step in report.counterexample.path)
    assert exhaustive.lines(report)[-1].lstrip().startswith("9 deliver")


def test_broken_promise_is_found_at_the_answer_that_breaks_it(monkeypatch: Patch) -> None:
    monkeypatch.setattr(register, "accept", accept_under_any_ballot)
    found = explore(Budget(), INVARIANTS).counterexample
    assert found is not None
    assert found.invariant == PROMISES_KEPT.name
    assert len(found.path) == 5


# ---- ignored incarnations
#
# They do no harm with three voters and one crash: a restarted voter learns the proposer's ballot from the proposer
# itself. The harm takes five voters, too many to explore exhaustively, so here the steps are given.


class FiveVoters:
    """Five voters, whose steps a test takes one by one."""

    def __init__(self, monkeypatch: Patch) -> None:
        names = ("v0", "v1", "v2", "v3", "v4")
        monkeypatch.setattr(exhaustive_voter, "VOTERS", names)
        monkeypatch.setattr(exhaustive_history, "MAJORITY", 3)
        self.states = {
            name: exhaustive_voter.first_state(
                name, 1, keeps_disk_history=True, options=exhaustive_voter.DEFAULT_OPTIONS
            )
            for name in names
        }
        self.in_flight: list[Envelope] = []
        self.history = History()

    def apply(self, outcome: Outcome) -> None:
        self.states[outcome.voter.name] = outcome.voter
        self.in_flight += outcome.sent
        self.history = self.history.after(outcome.events)

    def begin(self, name: str) -> None:
        self.apply(exhaustive_voter.begin(self.states[name]))

    def crash_and_lose_disk(self, name: str) -> None:
        self.apply(exhaustive_voter.crash(self.states[name], DiskAfterCrash(DiskFault.LOST, None)))

    def deliver(self, sender: str, receiver: str, message_type: type) -> bool:
        """Deliver the message of this type; whether there was one in flight."""
        for envelope in self.in_flight:
            if (envelope.sender, envelope.receiver) == (sender, receiver) and type(
                envelope.message
            ) is message_type:
                self.in_flight.remove(envelope)
                self.apply(exhaustive_voter.receive(self.states[receiver], sender, envelope.message))
                return True
        return False

    def exchange(self, sender: str, receiver: str, request: type, answer: type) -> None:
        """Deliver a request, and the answer to it."""
        assert self.deliver(sender, receiver, request)
        assert self.deliver(receiver, sender, answer)


def promise_from_before_a_crash(monkeypatch: Patch) -> FiveVoters:
    """v2 promises v1's ballot, forgets the promise in a crash, and helps to choose v0's change under a lower ballot. v4
    promises v1's ballot as well, so that v1 has three promises: its own, v4's, and one that v2 has forgotten."""
    five = FiveVoters(monkeypatch)
    five.begin("v1")
    five.exchange("v1", "v2", Prepare, Promise)
    five.crash_and_lose_disk("v2")
    for other in ("v0", "v3", "v4"):
        five.exchange("v2", other, Rejoin, Rejoined)
    assert five.states["v2"].rejoining is None
    five.begin("v0")
    for other in ("v2", "v3"):
        five.exchange("v0", other, Prepare, Promise)
    for other in ("v2", "v3"):
        five.exchange("v0", other, Accept, Accepted)
    assert [chosen.state.policy for chosen in five.history.chosen] == [b"a"]
    five.exchange("v1", "v4", Prepare, Promise)
    return five


def test_promise_of_an_older_incarnation_does_not_count(monkeypatch: Patch) -> None:
    five = promise_from_before_a_crash(monkeypatch)
    assert not five.deliver("v1", "v4", Accept)
    five.exchange("v1", "v3", Prepare, Promise)
    for other in ("v3", "v4"):
        five.exchange("v1", other, Accept, Accepted)
    assert [chosen.state.policy for chosen in five.history.chosen] == [b"a", b"ab"]
    assert not any(invariant.violation(five.history) for invariant in INVARIANTS)


def test_ignored_incarnations_violate_the_chain_of_five_voters(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Proposal, "voters_of_newest_incarnation", ignore_incarnations)
    five = promise_from_before_a_crash(monkeypatch)
    for other in ("v2", "v4"):
        five.exchange("v1", other, Accept, Accepted)
    assert CHAIN.violation(five.history)


def test_ignored_incarnations_do_no_harm_with_three_voters_and_one_crash(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Proposal, "voters_of_newest_incarnation", ignore_incarnations)
    report = explore(Budget(crashes=1))
    assert report.counterexample is None
    assert report.complete
