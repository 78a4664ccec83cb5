"""What has happened in one world of the exhaustive exploration, as far as invariants look at it; and the invariants.

A state counts as chosen once a majority of voters has accepted it under one ballot, of whom none knew a newer
incarnation of another one when it accepted (a crash-consistent quorum: Michael et al., DISC 2017). That is reckoned
here from the acceptances alone, whether anybody learns of it or not. What a proposer is told to be chosen counts, too.

"Later" is by ballot, not by time: a state that was accepted by one voter, and seen there by the proposer of a higher
ballot which built on it, may get its majority after that one has.
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
    Told,
)

MAJORITY = len(VOTERS) // 2 + 1
Ordered = TypeVar("Ordered", "Acceptance", "Chosen", "Told")


class Chosen(msgspec.Struct, frozen=True):
    ballot: Ballot
    state: State


class History(msgspec.Struct, frozen=True):
    """`acceptances`: of states not chosen yet, in a fixed order. `chosen`: in the order of ballots."""

    acceptances: tuple[Acceptance, ...] = ()
    chosen: tuple[Chosen, ...] = ()
    told: tuple[Told, ...] = ()
    broken_promises: tuple[BrokenPromise, ...] = ()

    def after(self, events: Iterable[Event]) -> History:
        """This history with these events added, in their order."""
        history = self
        for event in events:
            match event:
                case Acceptance():
                    history = history._accepted(event)
                case Told():
                    history = history._told(event)
                case BrokenPromise():
                    broken = (*history.broken_promises, event)
                    history = msgspec.structs.replace(history, broken_promises=broken)
        return history

    def _accepted(self, event: Acceptance) -> History:
        choice = Chosen(event.ballot, event.state)
        if choice in self.chosen or event in self.acceptances:
            return self
        alike = [
            *(one for one in self.acceptances if (one.ballot, one.state) == (event.ballot, event.state)),
            event,
        ]
        if not is_chosen(alike):
            return msgspec.structs.replace(self, acceptances=_ordered([*self.acceptances, event]))
        others = [one for one in self.acceptances if one not in alike]
        return msgspec.structs.replace(
            self, acceptances=_ordered(others), chosen=_ordered([*self.chosen, choice])
        )

    def _told(self, event: Told) -> History:
        choice = Chosen(event.ballot, event.state)
        chosen = _ordered([*self.chosen, choice])
        told = _ordered([*self.told, event])
        return msgspec.structs.replace(self, chosen=chosen, told=told)


def _ordered(events: Collection[Ordered]) -> tuple[Ordered, ...]:
    """By ballot; those of one ballot in any order that is always the same. Equal ones stay once."""
    by_key = {(event.ballot, msgspec.msgpack.encode(event)): event for event in events}
    return tuple(by_key[key] for key in sorted(by_key))


def is_chosen(acceptances: list[Acceptance]) -> bool:
    """Whether acceptances of one state under one ballot hold a crash-consistent majority."""
    return any(_consistent(quorum) for quorum in combinations(acceptances, MAJORITY))


def _consistent(quorum: tuple[Acceptance, ...]) -> bool:
    if len({one.voter for one in quorum}) < len(quorum):
        return False
    return all(
        other.incarnations.get(one.voter, 0) <= one.incarnations.get(one.voter, 0)
        for one in quorum
        for other in quorum
    )


# ---- invariants


@dataclass(frozen=True, slots=True)
class Invariant:
    """`broken`: what is wrong in a history, empty if it holds. `exposed`: whether it could have failed in it."""

    name: str
    broken: Callable[[History], str]
    exposed: Callable[[History], bool]


def derives(later: State, earlier: State) -> bool:
    """Whether a state was made from another one, or is that one: changes only append to the policy."""
    grown = len(later.policy) - len(earlier.policy)
    return later.policy.startswith(earlier.policy) and later.version - earlier.version == grown


def broken_chain(history: History) -> str:
    for earlier, later in pairwise(history.chosen):
        if earlier.ballot == later.ballot:
            return f"{_words(earlier)} and {_words(later)} are chosen under one ballot"
        if not derives(later.state, earlier.state):
            return f"{_words(later)} is chosen as well as {_words(earlier)} and was not made from it"
    return ""


def two_of_one_version(history: History) -> str:
    for one, other in combinations(history.chosen, 2):
        if one.state.version == other.state.version and one.state != other.state:
            return f"{_words(one)} and {_words(other)} are chosen at one version"
    return ""


def change_made_twice(history: History) -> str:
    for chosen in history.chosen:
        for letter in CHANGES.values():
            if chosen.state.policy.count(letter) > 1:
                return f"{_words(chosen)} has one change twice"
    return ""


def told_and_lost(history: History) -> str:
    for told in history.told:
        if not told.read and CHANGES[told.proposer] not in told.state.policy:
            return f"{told.proposer} was told that {told.state.policy!r} is chosen, without its change"
        for other in history.chosen:
            if other.ballot > told.ballot and not derives(other.state, told.state):
                return (
                    f"{_words(other)} lacks {told.state.policy!r}, which {told.proposer} was told is chosen"
                )
    return ""


def promise_not_kept(history: History) -> str:
    for one in history.broken_promises:
        return f"{one.voter} had promised {one.promised} and answered under {one.ballot}"
    return ""


CHAIN = Invariant("chosen states form one chain", broken_chain, lambda history: len(history.chosen) > 1)
ONE_PER_VERSION = Invariant(
    "one chosen state a version",
    two_of_one_version,
    lambda history: any(a.state.version == b.state.version for a, b in combinations(history.chosen, 2)),
)
ONCE = Invariant(
    "a change is made at most once",
    change_made_twice,
    lambda history: any(_made_again(history, letter) for letter in CHANGES.values()),
)
TOLD_LASTS = Invariant(
    "what was told as chosen is in every later chosen state",
    told_and_lost,
    lambda history: any(one.ballot < history.chosen[-1].ballot for one in history.told),
)
PROMISES_KEPT = Invariant(
    "no answer under a lower ballot than promised", promise_not_kept, lambda history: False
)
OF_CHOICE = (CHAIN, ONE_PER_VERSION, ONCE, TOLD_LASTS)
INVARIANTS = (*OF_CHOICE, PROMISES_KEPT)


def _made_again(history: History, letter: bytes) -> bool:
    """Whether a change is in states that were chosen under two ballots."""
    return sum(letter in chosen.state.policy for chosen in history.chosen) > 1


def _words(chosen: Chosen) -> str:
    return f"{chosen.state.policy!r} of version {chosen.state.version} under ballot {chosen.ballot}"
