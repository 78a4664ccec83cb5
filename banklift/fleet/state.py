"""What the voters agree on, and how it may change: small, versioned, whole.

The life of a change of policy. Every arrow is one compare-and-set of the register (register.py); what does not
fit the state as it stands leaves it as it is, so each may be tried again by anybody, late or twice.

| state of the change | event | next | what is told |
| --- | --- | --- | --- |
| none | `propose`, made for this version | checking | every voter has its routers check it |
| none | `propose`, made for an older version | none | refused: look again; it can never be made any more |
| checking | another `propose` | checking | refused: one at a time |
| checking | all that hold a lease have accepted: `agree` | agreed | from here on it can't be taken back |
| checking | one refused, or did not answer in time: `abort` | none | "aborted", with each place and reason |
| checking, of a dry run | the same two | none | "fine", or "refused" with reasons; nothing is in force |
| agreed | a majority of voters grants the new epoch alone: `settle` | none | "in force" |

The id of a change begins with the version that it was made for, so one that is asked for again is either found
in the history, or is under way, or can't be made any more. It is never made twice, however long ago it was.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum

import msgspec

HISTORY = 64  # outcomes that are kept
POLICY_LIMIT = 256 * 1024  # bytes of a policy


class Stage(StrEnum):
    CHECKING = "checking"
    AGREED = "agreed"


class Result(StrEnum):
    IN_FORCE = "in force"
    ABORTED = "aborted"
    FINE = "fine"  # of a dry run
    REFUSED = "refused"  # of a dry run


class Change(msgspec.Struct, frozen=True):
    id: str
    policy: bytes
    epoch: int  # that it will be
    by: str  # the voter that proposed it
    patience: float  # seconds that routers have to check it
    dry: bool = False  # checked everywhere, never in force
    stage: Stage = Stage.CHECKING


class Outcome(msgspec.Struct, frozen=True):
    id: str
    epoch: int  # in force when it ended
    result: Result
    reasons: tuple[str, ...] = ()
    digest: str = ""  # of its policy


class State(msgspec.Struct, frozen=True):
    fleet: str
    version: int  # counts the changes of this state
    epoch: int  # of the policy in force: policies are counted
    policy: bytes
    change: Change | None = None
    history: tuple[Outcome, ...] = ()  # the newest last


class ProposalRejected(Exception):
    """A change that can't be proposed; the text says why. `busy`: another one is under way."""

    def __init__(self, text: str, busy: bool = False) -> None:
        super().__init__(text)
        self.busy = busy


def digest(policy: bytes) -> str:
    """By which a policy is known without its text."""
    return hashlib.blake2b(policy, digest_size=8).hexdigest()


def made_for(change: str) -> int:
    """The version that a change's id was made for. Errors: `ProposalRejected` if it is no such id."""
    version, dash, rest = change.partition("-")
    if not (dash and version.isdigit() and 0 < len(rest) <= 64 and rest.isalnum()):
        raise ProposalRejected(f"{change!r} is not the id of a change: VERSION-LETTERS is needed")
    return int(version)


def outcome(state: State, change: str) -> Outcome | None:
    return next((one for one in reversed(state.history) if one.id == change), None)


def found(fleet: str, policy: bytes) -> State:
    return State(fleet, 1, 1, policy)


def propose(state: State, change: str, policy: bytes, by: str, patience: float, dry: bool = False) -> State:
    """Errors: `ProposalRejected`. A change that is known already, under way or ended, leaves the state as it is."""
    version = made_for(change)
    if len(policy) > POLICY_LIMIT:
        raise ProposalRejected(f"a policy has {POLICY_LIMIT} bytes at the most, this one {len(policy)}")
    if outcome(state, change) is not None or (state.change is not None and state.change.id == change):
        return state
    if state.change is not None:
        raise ProposalRejected(f"change {state.change.id} is under way ({state.change.stage})", busy=True)
    if version != state.version:
        raise ProposalRejected(
            f"made for version {version}, and it is {state.version} now: it was not made or its outcome is no "
            "longer kept, and it will not be made any more"
        )
    made = Change(change, policy, state.epoch + 1, by, patience, dry)
    return msgspec.structs.replace(state, version=state.version + 1, change=made)


def agree(state: State, change: str) -> State:
    one = state.change
    if one is None or one.id != change or one.stage is not Stage.CHECKING or one.dry:
        return state
    agreed = msgspec.structs.replace(one, stage=Stage.AGREED)
    return msgspec.structs.replace(state, version=state.version + 1, change=agreed)


def abort(state: State, change: str, reasons: tuple[str, ...]) -> State:
    """End a change that is being checked; of a dry run, with no reasons it was fine."""
    one = state.change
    if one is None or one.id != change or one.stage is not Stage.CHECKING:
        return state
    result = (Result.REFUSED if reasons else Result.FINE) if one.dry else Result.ABORTED
    return _ended(state, Outcome(one.id, state.epoch, result, reasons, digest(one.policy)))


def settle(state: State, change: str) -> State:
    one = state.change
    if one is None or one.id != change or one.stage is not Stage.AGREED:
        return state
    switched = msgspec.structs.replace(state, epoch=one.epoch, policy=one.policy)
    return _ended(switched, Outcome(one.id, one.epoch, Result.IN_FORCE, (), digest(one.policy)))


def _ended(state: State, ended: Outcome) -> State:
    history = (*state.history, ended)[-HISTORY:]
    return msgspec.structs.replace(state, version=state.version + 1, change=None, history=history)
