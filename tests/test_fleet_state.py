"""Transitions of a change of policy: each row of the table in state.py, and events that come late or twice."""

from __future__ import annotations

import pytest

from banklift.fleet.state import (
    MAX_HISTORY,
    MAX_POLICY_BYTES,
    ProposalRejected,
    Result,
    Stage,
    State,
    abort,
    agree,
    digest,
    find_outcome,
    initial_state,
    propose,
    settle,
)

FIRST_STATE = initial_state("f", b"one")


def proposed(
    state: State = FIRST_STATE, change: str = "1-a", policy: bytes = b"two", dry: bool = False
) -> State:
    return propose(state, change, policy, "v1", 5.0, dry)


def test_an_agreed_change_is_put_in_force() -> None:
    state = settle(agree(proposed(), "1-a"), "1-a")
    assert (state.epoch, state.policy, state.change, state.version) == (2, b"two", None, 4)
    ended = find_outcome(state, "1-a")
    assert ended is not None and (ended.result, ended.epoch, ended.digest) == (
        Result.IN_FORCE,
        2,
        digest(b"two"),
    )


def test_a_change_is_aborted_with_its_reasons() -> None:
    state = abort(proposed(), "1-a", ("r1: $.x: no",))
    assert (state.epoch, state.policy, state.change) == (1, b"one", None)
    ended = find_outcome(state, "1-a")
    assert ended is not None and (ended.result, ended.reasons) == (Result.ABORTED, ("r1: $.x: no",))


def test_an_agreed_change_is_never_aborted() -> None:
    state = agree(proposed(), "1-a")
    assert abort(state, "1-a", ("late",)) is state
    assert agree(state, "1-a") is state


@pytest.mark.parametrize("transition", [agree, settle, lambda state, change: abort(state, change, ())])
def test_transitions_of_an_unknown_change_do_nothing(transition: object) -> None:
    assert callable(transition)
    for state in (FIRST_STATE, proposed(), agree(proposed(), "1-a")):
        assert transition(state, "1-b") is state
    assert settle(proposed(), "1-a").change is not None  # it was not agreed


def test_one_change_at_a_time_and_each_once() -> None:
    state = proposed()
    assert proposed(state) is state  # proposed again
    with pytest.raises(ProposalRejected, match="change 1-a is under way") as caught:
        proposed(state, "2-b")
    assert caught.value.busy
    done = settle(agree(state, "1-a"), "1-a")
    assert proposed(done) is done
    with pytest.raises(ProposalRejected, match="made for version 1, but the state has version 4: "):
        proposed(done, "1-c")


def test_a_change_dropped_from_the_history_is_never_made_again() -> None:
    state = settle(agree(proposed(), "1-a"), "1-a")
    for number in range(MAX_HISTORY + 1):
        change = f"{state.version}-n{number}"
        state = abort(proposed(state, change, b"three"), change, ("no",))
    assert find_outcome(state, "1-a") is None and len(state.history) == MAX_HISTORY
    with pytest.raises(ProposalRejected, match="will not be made any more"):
        proposed(state)


def test_a_dry_run_is_never_in_force() -> None:
    state = proposed(dry=True)
    assert agree(state, "1-a") is state
    fine, refused = abort(state, "1-a", ()), abort(state, "1-a", ("no",))
    assert [ended.history[-1].result for ended in (fine, refused)] == [Result.FINE, Result.REFUSED]
    assert fine.epoch == refused.epoch == 1


@pytest.mark.parametrize("change", ["", "a", "x-1", "1-", "1-a b", "1-" + "a" * 65, "-a"])
def test_an_invalid_change_id_is_rejected(change: str) -> None:
    with pytest.raises(ProposalRejected, match="not the id of a change"):
        proposed(change=change)


def test_the_size_of_a_policy_is_bounded() -> None:
    with pytest.raises(
        ProposalRejected, match="a policy is limited to 262144 bytes, and this one has 262145"
    ):
        proposed(policy=b"x" * (MAX_POLICY_BYTES + 1))
    assert proposed(policy=b"x" * MAX_POLICY_BYTES).change is not None
    assert agree(proposed(), "1-a").change is not None
    change = agree(proposed(), "1-a").change
    assert change is not None and change.stage is Stage.AGREED
