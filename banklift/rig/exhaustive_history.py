"""The history of one state of the exhaustive exploration, as far as invariants depend on it; and the invariants.

A state of the register counts as chosen once a majority of voters has accepted it under one ballot, and none of them
knew, when it accepted, a newer incarnation of another one (a crash-consistent quorum: Michael et al., DISC 2017). This
is computed here from the acceptances alone, whether any proposer learns of it or not. A state that a proposer has
learned to be chosen counts as well.

"Later" means by ballot, not by time. A state may reach its majority after a state with a higher ballot has: the
proposer of the higher ballot may have seen it at the one voter that had accepted it, and built on it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from itertools import combinations, pairwise
from typing import TypeVar

import msgspec

from banklift.fleet.messages import Ballot
from banklift.fleet.state import State
from banklift.rig.exhaustive_voter import (
    CHANGES,
    VOTERS,
    Acceptance,
    BrokenPromise,
    Event,
    Learned,
)

MAJORITY = len(VOTERS) // 2 + 1
Ordered = TypeVar("Ordered", "Acceptance", "Chosen", "Learned")


class Chosen(msgspec.Struct, frozen=True):
    """A state of the register that is chosen, and the ballot under which it is."""

    ballot: Ballot
    state: State


class History(msgspec.Struct, frozen=True):
    """What has happened so far. Acceptances, chosen and learned states are kept in a fixed order, so histories that
    differ only in the order of these are equal."""

    acceptances: tuple[Acceptance, ...] = ()  # of states that are not chosen yet, in a fixed order
    chosen: tuple[Chosen, ...] = ()  # in the order of their ballots
    learned: tuple[Learned, ...] = ()  # in the order of their ballots
    broken_promises: tuple[BrokenPromise, ...] = ()

    def after(self, events: Iterable[Event]) -> History:
        """This history with these events added, in their order."""
        history = self
        for event in events:
            match event:
                case Acceptance():
                    history = history._after_acceptance(event)
                case Learned():
                    history = history._after_learned(event)
                case BrokenPromise():
                    broken = (*history.broken_promises, event)
                    history = msgspec.structs.replace(history, broken_promises=broken)
        return history

    def _after_acceptance(self, event: Acceptance) -> History:
        choice = Chosen(event.ballot, event.state)
        if choice in self.chosen or event in self.acceptances:
            return self
        same_choice = [
            *(
                other
                for other in self.acceptances
                if (other.ballot, other.state) == (event.ballot, event.state)
            ),
            event,
        ]
        if not is_chosen(same_choice):
            return msgspec.structs.replace(self, acceptances=_ordered([*self.acceptances, event]))
        remaining = [other for other in self.acceptances if other not in same_choice]
        return msgspec.structs.replace(
            self, acceptances=_ordered(remaining), chosen=_ordered([*self.chosen, choice])
        )

    def _after_learned(self, event: Learned) -> History:
        choice = Chosen(event.ballot, event.state)
        chosen = _ordered([*self.chosen, choice])
        learned = _ordered([*self.learned, event])
        return msgspec.structs.replace(self, chosen=chosen, learned=learned)


def _ordered(events: Collection[Ordered]) -> tuple[Ordered, ...]:
    """The events without duplicates, by ballot; those of one ballot in an arbitrary but fixed order."""
    by_key = {(event.ballot, msgspec.msgpack.encode(event)): event for event in events}
    return tuple(by_key[key] for key in sorted(by_key))


def is_chosen(acceptances: list[Acceptance]) -> bool:
    """Whether acceptances of one state under one ballot contain a crash-consistent majority."""
    return any(_is_crash_consistent(quorum) for quorum in combinations(acceptances, MAJORITY))


def _is_crash_consistent(quorum: tuple[Acceptance, ...]) -> bool:
    if len({acceptance.voter for acceptance in quorum}) < len(quorum):
        return False
    return all(
        other.incarnations.get(acceptance.voter, 0) <= acceptance.incarnations.get(acceptance.voter, 0)
        for acceptance in quorum
        for other in quorum
    )


# ---- invariants


@dataclass(frozen=True, slots=True)
class Invariant:
    """`violation`: describes what is wrong in a history; empty if the invariant holds. `is_exercised`: whether the
    invariant could have been violated in a history, so that it does not hold vacuously."""

    name: str
    violation: Callable[[History], str]
    is_exercised: Callable[[History], bool]


def derives(later: State, earlier: State) -> bool:
    """Whether a state was made from an earlier one by any number of changes, each of which appends to the policy."""
    grown = len(later.policy) - len(earlier.policy)
    return later.policy.startswith(earlier.policy) and later.version - earlier.version == grown


def chain_violation(history: History) -> str:
    """Each chosen state is made from the one chosen before it."""
    for earlier, later in pairwise(history.chosen):
        if earlier.ballot == later.ballot:
            return f"{_describe(earlier)} and {_describe(later)} are chosen under one ballot"
        if not derives(later.state, earlier.state):
            return f"{_describe(later)} is chosen as well as {_describe(earlier)} and was not made from it"
    return ""


def version_violation(history: History) -> str:
    """No two different chosen states have one version."""
    for one, other in combinations(history.chosen, 2):
        if one.state.version == other.state.version and one.state != other.state:
            return f"{_describe(one)} and {_describe(other)} are chosen at one version"
    return ""


def repeated_change_violation(history: History) -> str:
    """No chosen state has a change twice."""
    for chosen in history.chosen:
        for change in CHANGES.values():
            if chosen.state.policy.count(change) > 1:
                return f"{_describe(chosen)} has one change twice"
    return ""


def durability_violation(history: History) -> str:
    """What a proposer learned to be chosen has its change, and every later chosen state is made from it."""
    for learned in history.learned:
        if not learned.is_read and CHANGES[learned.proposer] not in learned.state.policy:
            return (
                f"{learned.proposer} learned that {learned.state.policy!r} is chosen, which lacks its change"
            )
        for chosen in history.chosen:
            if chosen.ballot > learned.ballot and not derives(chosen.state, learned.state):
                return f"{_describe(chosen)} lacks {learned.state.policy!r}, which {learned.proposer} learned is chosen"
    return ""


def promise_violation(history: History) -> str:
    """No voter answers under a lower ballot than it promised."""
    for broken in history.broken_promises:
        return f"{broken.voter} had promised {broken.promised} and answered under {broken.ballot}"
    return ""


CHAIN = Invariant("chosen states form one chain", chain_violation, lambda history: len(history.chosen) > 1)
ONE_PER_VERSION = Invariant(
    "one chosen state per version",
    version_violation,
    lambda history: any(a.state.version == b.state.version for a, b in combinations(history.chosen, 2)),
)
CHANGE_ONCE = Invariant(
    "a change is made at most once",
    repeated_change_violation,
    lambda history: any(_is_chosen_repeatedly(history, change) for change in CHANGES.values()),
)
LEARNED_IS_DURABLE = Invariant(
    "what a proposer learned to be chosen is part of every later chosen state",
    durability_violation,
    lambda history: any(learned.ballot < history.chosen[-1].ballot for learned in history.learned),
)
PROMISES_KEPT = Invariant(
    "no answer under a lower ballot than promised",
    promise_violation,
    lambda history: False,  # `StateSpace.refusals` counts these cases
)
INVARIANTS_OF_CHOICE = (CHAIN, ONE_PER_VERSION, CHANGE_ONCE, LEARNED_IS_DURABLE)
INVARIANTS = (*INVARIANTS_OF_CHOICE, PROMISES_KEPT)


def _is_chosen_repeatedly(history: History, change: bytes) -> bool:
    """Whether a change is part of states that were chosen under two ballots or more."""
    return sum(change in chosen.state.policy for chosen in history.chosen) > 1


def _describe(chosen: Chosen) -> str:
    return f"{chosen.state.policy!r} of version {chosen.state.version} under ballot {chosen.ballot}"
