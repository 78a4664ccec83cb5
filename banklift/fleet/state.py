"""The state that the voters of a fleet agree on, and the transitions of a change of policy.

Each transition is a pure function from one state to the next, applied as one compare-and-set of the replicated
register (register.py). A transition that does not fit the current state returns that state unchanged, so any voter
may retry one, late or more than once.

| state of the change | event | next | what is reported |
| --- | --- | --- | --- |
| none | `propose`, made for the current version | checking | every voter has its routers check the policy |
| none | `propose`, made for an older version | none | refused: read the state again; this id can never be proposed |
| checking | `propose` of another change | checking | refused: one change at a time |
| checking | all lease holders have accepted: `agree` | agreed | from here on the change can't be taken back |
| checking | a holder refused or did not answer in time: `abort` | none | "aborted", with each holder and its reason |
| checking, dry run | the same events: `abort` | none | "fine", or "refused" with reasons; not in force |
| agreed | a majority of voters grants only the new epoch: `settle` | none | "in force" |

A change's id begins with the version of the state that it was made for. A change that is proposed again is therefore
found in the history, or is under way, or can't be made any more: it is never made twice, however late the repeat.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum

import msgspec

MAX_HISTORY = 64  # outcomes kept in the state
MAX_POLICY_BYTES = 256 * 1024
MAX_CHANGE_SUFFIX_LENGTH = 64  # characters of a change's id after "VERSION-"


class Stage(StrEnum):
    """The stage of a change that is under way."""

    CHECKING = "checking"
    AGREED = "agreed"


class Result(StrEnum):
    """How a change ended. `FINE` and `REFUSED` are the results of a dry run."""

    IN_FORCE = "in force"
    ABORTED = "aborted"
    FINE = "fine"
    REFUSED = "refused"


class Change(msgspec.Struct, frozen=True):
    """A change of policy that is under way."""

    id: str
    policy: bytes
    epoch: int  # of this policy, once it is in force
    by: str  # name of the voter that proposed it
    patience: float  # seconds that lease holders have to check it
    dry: bool = False  # a dry run: the policy is checked everywhere and never put in force
    stage: Stage = Stage.CHECKING


class Outcome(msgspec.Struct, frozen=True):
    """How a change ended."""

    id: str
    epoch: int  # in force when the change ended
    result: Result
    reasons: tuple[str, ...] = ()  # why it was aborted, or refused in a dry run
    digest: str = ""  # of the change's policy


class State(msgspec.Struct, frozen=True):
    """The replicated state of a fleet."""

    fleet: str
    version: int  # rises by one with each transition
    epoch: int  # of the policy in force; rises by one with each policy put in force
    policy: bytes  # in force
    change: Change | None = None
    history: tuple[Outcome, ...] = ()  # outcomes of the last changes, the newest last


class ProposalRejected(Exception):
    """Raised where a change can't be proposed; the text says why.

    `busy`: another change is under way, so the same policy may be proposed again later.
    """

    def __init__(self, text: str, busy: bool = False) -> None:
        super().__init__(text)
        self.busy = busy


def digest(policy: bytes) -> str:
    """The digest by which messages refer to a policy without its text."""
    return hashlib.blake2b(policy, digest_size=8).hexdigest()


def base_version(change: str) -> int:
    """The version of the state that a change was made for, as its id says.

    Errors: `ProposalRejected` if the text is not the id of a change.
    """
    version, dash, suffix = change.partition("-")
    if not (dash and version.isdigit() and 0 < len(suffix) <= MAX_CHANGE_SUFFIX_LENGTH and suffix.isalnum()):
        raise ProposalRejected(f"{change!r} is not the id of a change: VERSION-LETTERS is needed")
    return int(version)


def find_outcome(state: State, change: str) -> Outcome | None:
    """The outcome of the change with this id; None if the history does not hold it."""
    return next((outcome for outcome in reversed(state.history) if outcome.id == change), None)


def initial_state(fleet: str, policy: bytes) -> State:
    """The first state of a fleet: version 1, epoch 1."""
    return State(fleet, 1, 1, policy)


def propose(state: State, change: str, policy: bytes, by: str, patience: float, dry: bool = False) -> State:
    """Start checking a change. One that is known already, under way or ended, leaves the state as it is.

    `by`: the voter that proposes it. `patience`: seconds that lease holders have to check it.
    Errors: `ProposalRejected` for an invalid id, a policy that is too long, another change under way, or an id made
    for another version of the state.
    """
    version = base_version(change)
    if len(policy) > MAX_POLICY_BYTES:
        raise ProposalRejected(
            f"a policy is limited to {MAX_POLICY_BYTES} bytes, and this one has {len(policy)}"
        )
    if find_outcome(state, change) is not None or (state.change is not None and state.change.id == change):
        return state
    if state.change is not None:
        raise ProposalRejected(f"change {state.change.id} is under way ({state.change.stage})", busy=True)
    if version != state.version:
        raise ProposalRejected(
            f"made for version {version}, but the state has version {state.version}: it was not made or its "
            "outcome is no longer kept, and it will not be made any more"
        )
    proposed = Change(change, policy, state.epoch + 1, by, patience, dry)
    return msgspec.structs.replace(state, version=state.version + 1, change=proposed)


def agree(state: State, change: str) -> State:
    """Agree on a change that all lease holders have accepted. A dry run is never agreed."""
    current = state.change
    if current is None or current.id != change or current.stage is not Stage.CHECKING or current.dry:
        return state
    agreed = msgspec.structs.replace(current, stage=Stage.AGREED)
    return msgspec.structs.replace(state, version=state.version + 1, change=agreed)


def abort(state: State, change: str, reasons: tuple[str, ...]) -> State:
    """End a change that is being checked. A dry run ends as fine if there are no reasons against it."""
    current = state.change
    if current is None or current.id != change or current.stage is not Stage.CHECKING:
        return state
    result = (Result.REFUSED if reasons else Result.FINE) if current.dry else Result.ABORTED
    return _with_outcome(state, Outcome(current.id, state.epoch, result, reasons, digest(current.policy)))


def settle(state: State, change: str) -> State:
    """Put an agreed change in force, once a majority of voters grants leases on its epoch alone."""
    current = state.change
    if current is None or current.id != change or current.stage is not Stage.AGREED:
        return state
    switched = msgspec.structs.replace(state, epoch=current.epoch, policy=current.policy)
    outcome = Outcome(current.id, current.epoch, Result.IN_FORCE, (), digest(current.policy))
    return _with_outcome(switched, outcome)


def _with_outcome(state: State, outcome: Outcome) -> State:
    """The state after its change has ended with this outcome."""
    history = (*state.history, outcome)[-MAX_HISTORY:]
    return msgspec.structs.replace(state, version=state.version + 1, change=None, history=history)
