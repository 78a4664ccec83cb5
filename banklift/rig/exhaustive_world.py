"""The state space of a small model of the agreement in `fleet/register.py`: its states, and the steps between them.

A state of the model has three voters (exhaustive_voter.py), the multiset of messages in flight, the history that
invariants look at (exhaustive_history.py), and how many crashes and losses may still come. From each state every step
is taken: deliver or lose any message, begin a proposal, crash a voter with each possible content of its disk, or send
`Rejoin` again. Messages outlive a crash of their sender and of their receiver.

Voters, messages and histories are interned: equal values are stored once and known by a number. The outcome of an event
is computed once for each pair of a voter and an event, as transitions are functions of these values alone. So a state
takes a few numbers, and the register's functions run only as often as there are different arguments.

With `reduced`, the following steps and messages are left out. Tests compare the histories with and without them.

- A delivery that changes nothing is not a step: all that can follow it can follow without it. Among these are all
  deliveries but `Rejoin` and `Rejoined` to a voter that does not vote.
- A message whose delivery will never change anything is not kept in flight (`_find_never_effective`). What its delivery
  changes now is tried out with the transition functions. It changes nothing later either, for these reasons: ballots of
  a voter that does not crash rise, so an answer under an older ballot never belongs to its proposal; an answer to
  `Rejoin` is for one incarnation; a promise never falls while no voter can crash.
- A `Nack` to a proposer that will not try again only ends its proposal: all that follows can happen without it.
- Once neither a crash nor a loss can come, an answer to the only voter that rejoins is delivered before anything else.
  It changes nobody but its receiver, which takes its answers in any order and does nothing else before the last one.
- The records that disks have held are forgotten once no crash can come.

A message that is never delivered needs no budget for losses: paths on which it stays in flight cover it. With a budget
for losses, a `Rejoin` or its answer may be lost and `Rejoin` sent again; then the answer is of a later moment than the
one at which the other voter learned of the new incarnation.

At any moment at most f = 1 voters have a disk that was lost or rolled back and do not vote again yet, as
`fleet/register.py` assumes. Crashes that leave the disk whole are not restricted.
"""

from __future__ import annotations

from array import array
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

import msgspec

from banklift.fleet.messages import Accept, Accepted, Nack, Prepare, Promise, Rejoin, Rejoined
from banklift.fleet.register import VOTING
from banklift.rig import exhaustive_voter
from banklift.rig.exhaustive_history import History
from banklift.rig.exhaustive_voter import (
    VOTERS,
    DiskAfterCrash,
    DiskFault,
    Envelope,
    Event,
    Outcome,
    VoterOptions,
    VoterState,
)


@dataclass(frozen=True, slots=True)
class Budget:
    """Bounds of an exploration, and the options of its voters."""

    crashes: int = 0  # of all voters together
    losses: int = 0  # of messages, in all
    tries: int = 1  # ballots for the change of each proposer
    options: VoterOptions = exhaustive_voter.DEFAULT_OPTIONS


class StepKind(StrEnum):
    """What happens in a step."""

    DELIVER = "deliver"
    LOSE = "lose"
    BEGIN = "begin"
    SEND_REJOIN_AGAIN = "send rejoin again"
    CRASH = "crash"


class GlobalState(NamedTuple):
    """A state of the whole model. `voters`, `in_flight` and `history` are numbers of interned values."""

    voters: tuple[int, ...]
    in_flight: tuple[int, ...]  # envelopes, sorted
    history: int
    crashes: int  # that may still come
    losses: int  # that may still come

    def key(self) -> bytes:
        """A compact key, equal for equal states."""
        return array("I", (*self.voters, self.history, self.crashes, self.losses, *self.in_flight)).tobytes()


class InternedOutcome(NamedTuple):
    """An `Outcome` whose values are given by their numbers."""

    voter: int
    sent: tuple[int, ...]
    events: int  # 0: there are none


class Step(NamedTuple):
    """A step from one state to another.

    | kind | subject |
    | --- | --- |
    | deliver, lose | the envelope's number |
    | begin | 0 |
    | send rejoin again | index of the voter that is asked |
    | crash | index of the disk's content in `disks_after_crash` |
    """

    kind: StepKind
    at: int  # index of the voter at which it happens
    subject: int
    after: GlobalState


Value = TypeVar("Value")


class Interned(Generic[Value]):
    """A set of values that are known by numbers. Values are equal if their msgpack encodings are."""

    def __init__(self) -> None:
        self.values: list[Value] = []
        self.numbers: dict[bytes, int] = {}

    def number(self, value: Value) -> int:
        """The number of a value; a new value gets the next number."""
        key = msgspec.msgpack.encode(value)
        found = self.numbers.get(key)
        if found is None:
            found = self.numbers[key] = len(self.values)
            self.values.append(value)
        return found


class StateSpace:
    """The states within a budget, and the steps between them. `reduced`: leave out what leads to nothing new."""

    def __init__(self, budget: Budget, reduced: bool = True) -> None:
        self.budget, self.reduced = budget, reduced
        self.voters: Interned[VoterState] = Interned()
        self.envelopes: Interned[Envelope] = Interned()
        self.histories: Interned[History] = Interned()
        self.events: Interned[tuple[Event, ...]] = Interned()
        self.events.number(())  # number 0 stands for no events
        self.refusals = 0  # different transitions that had to refuse a ballot lower than promised
        # caches of functions of interned values, by their numbers
        self._deliveries_by_voter: dict[tuple[int, int], InternedOutcome] = {}
        self._own_steps_by_voter: dict[int, list[tuple[StepKind, int, InternedOutcome]]] = {}
        self._crashes_by_voter: dict[int, list[tuple[DiskAfterCrash, InternedOutcome]]] = {}
        self._never_effective: dict[tuple[int, int, int], bool] = {}
        self._histories_after: dict[tuple[int, int], int] = {}
        self._without_disk_history: dict[int, int] = {}
        # by the number of an envelope: the index of its sender and of its receiver
        self._endpoints: list[tuple[int, int]] = []

    def first(self) -> GlobalState:
        """The initial state: all voters vote, and nothing is in flight."""
        budget = self.budget
        states = [
            exhaustive_voter.first_state(name, budget.tries, budget.crashes > 0, budget.options)
            for name in VOTERS
        ]
        numbers = tuple(self.voters.number(state) for state in states)
        return GlobalState(
            numbers, (), self.histories.number(History()), self.budget.crashes, self.budget.losses
        )

    def steps(self, state: GlobalState) -> Iterator[Step]:
        """Every step from this state that has to be explored."""
        if self.reduced and not state.crashes and not state.losses:
            answer = self._answer_to_rejoin(state)
            if answer is not None:
                yield answer
                return
        yield from self._deliveries(state)
        for at, number in enumerate(state.voters):
            for kind, subject, outcome in self._own_steps(number):
                if kind is StepKind.BEGIN or not self._is_rejoin_in_flight(state, at, subject):
                    yield Step(kind, at, subject, self._after(state, at, outcome, state.in_flight))
        if state.crashes:
            yield from self._crashes(state)

    # ---- kinds of steps

    def _deliveries(self, state: GlobalState) -> Iterator[Step]:
        """Deliveries and losses of all messages in flight."""
        in_flight = state.in_flight
        previous = -1
        for position, envelope in enumerate(in_flight):
            if envelope == previous:
                continue  # the same message is in flight twice
            previous = envelope
            rest = in_flight[:position] + in_flight[position + 1 :]
            at = self._endpoints[envelope][1]
            outcome = self._delivery(state.voters[at], envelope)
            if not (self.reduced and self._has_no_effect(outcome, state.voters[at])):
                yield Step(StepKind.DELIVER, at, envelope, self._after(state, at, outcome, rest))
            if state.losses and self._endpoints[envelope] != (at, at):
                yield Step(
                    StepKind.LOSE, at, envelope, state._replace(in_flight=rest, losses=state.losses - 1)
                )

    def _answer_to_rejoin(self, state: GlobalState) -> Step | None:
        """The delivery of an answer to the voter that rejoins. None if no such message is in flight, or not exactly one
        voter rejoins."""
        if sum(self.voters.values[number].rejoining is not None for number in state.voters) != 1:
            return None
        for position, envelope in enumerate(state.in_flight):
            if isinstance(self.envelopes.values[envelope].message, Rejoined):
                rest = state.in_flight[:position] + state.in_flight[position + 1 :]
                at = self._endpoints[envelope][1]
                outcome = self._delivery(state.voters[at], envelope)
                return Step(StepKind.DELIVER, at, envelope, self._after(state, at, outcome, rest))
        return None

    @staticmethod
    def _has_no_effect(outcome: InternedOutcome, voter: int) -> bool:
        """Whether an outcome leaves this voter as it is, sends nothing and has no events."""
        return outcome.voter == voter and not outcome.sent and not outcome.events

    def _own_steps(self, number: int) -> list[tuple[StepKind, int, InternedOutcome]]:
        """What a voter may do by itself, which is to begin a proposal or to send `Rejoin` again. Returns the kind, the
        subject and the outcome of each step."""
        found = self._own_steps_by_voter.get(number)
        if found is not None:
            return found
        voter, found = self.voters.values[number], []
        if voter.rejoining is None and voter.may_propose:
            found.append((StepKind.BEGIN, 0, self._interned(exhaustive_voter.begin(voter))))
        if voter.rejoining is not None:
            for index, other in enumerate(VOTERS):
                answer = voter.rejoining.answers.get(other)
                if other != voter.name and (answer is None or answer.standing != VOTING):
                    found.append(
                        (
                            StepKind.SEND_REJOIN_AGAIN,
                            index,
                            self._interned(exhaustive_voter.send_rejoin_again(voter, other)),
                        )
                    )
        self._own_steps_by_voter[number] = found
        return found

    def _is_rejoin_in_flight(self, state: GlobalState, at: int, other: int) -> bool:
        """Whether a `Rejoin` from one voter to the other, or the answer to it, is still in flight."""
        incarnation = self.voters.values[state.voters[at]].record.incarnation
        for number in state.in_flight:
            if self._endpoints[number] in ((at, other), (other, at)):
                message = self.envelopes.values[number].message
                if isinstance(message, Rejoin | Rejoined) and message.incarnation == incarnation:
                    return True
        return False

    def _crashes(self, state: GlobalState) -> Iterator[Step]:
        """Crashes of all voters, with each content of the disk that is allowed."""
        voters = [self.voters.values[number] for number in state.voters]
        for at, number in enumerate(state.voters):
            in_flight = tuple(
                envelope for envelope in state.in_flight if self._endpoints[envelope] != (at, at)
            )
            may_lose_disk = all(voter.trusted for index, voter in enumerate(voters) if index != at)
            for subject, (disk, outcome) in enumerate(self._crashes_of(number)):
                if may_lose_disk or disk.fault is DiskFault.WHOLE:
                    after = self._after(state, at, outcome, in_flight)._replace(crashes=state.crashes - 1)
                    yield Step(
                        StepKind.CRASH, at, subject, after if after.crashes else self._after_last_crash(after)
                    )

    def _crashes_of(self, number: int) -> list[tuple[DiskAfterCrash, InternedOutcome]]:
        found = self._crashes_by_voter.get(number)
        if found is None:
            voter = self.voters.values[number]
            disks = exhaustive_voter.disks_after_crash(voter)
            found = [(disk, self._interned(exhaustive_voter.crash(voter, disk))) for disk in disks]
            self._crashes_by_voter[number] = found
        return found

    def disk_after_crash(self, state: GlobalState, crash: Step) -> DiskAfterCrash:
        """What the disk holds after this crash, which is a step from the state."""
        return self._crashes_of(state.voters[crash.at])[crash.subject][0]

    # ---- outcomes of steps

    def _interned(self, outcome: Outcome) -> InternedOutcome:
        self.refusals += outcome.lower_ballots
        sent = tuple(map(self._envelope_number, outcome.sent))
        return InternedOutcome(self.voters.number(outcome.voter), sent, self.events.number(outcome.events))

    def _envelope_number(self, envelope: Envelope) -> int:
        number = self.envelopes.number(envelope)
        if number == len(self._endpoints):
            self._endpoints.append((VOTERS.index(envelope.sender), VOTERS.index(envelope.receiver)))
        return number

    def _delivery(self, voter: int, envelope: int) -> InternedOutcome:
        """The outcome of delivering an envelope to a voter; both are numbers."""
        found = self._deliveries_by_voter.get((voter, envelope))
        if found is None:
            value = self.envelopes.values[envelope]
            found = self._interned(
                exhaustive_voter.receive(self.voters.values[voter], value.sender, value.message)
            )
            self._deliveries_by_voter[voter, envelope] = found
        return found

    def _after(
        self, state: GlobalState, at: int, outcome: InternedOutcome, in_flight: tuple[int, ...]
    ) -> GlobalState:
        """The state after an event at the voter with index `at`. `in_flight`: the messages in flight besides those that
        the event sends."""
        numbers = (*state.voters[:at], outcome.voter, *state.voters[at + 1 :])
        endpoints, is_never_effective = self._endpoints, self._is_never_effective
        kept = []
        for envelope in in_flight:
            sender, receiver = endpoints[envelope]
            touched = sender == at or receiver == at
            if not (touched and is_never_effective(numbers[receiver], numbers[sender], envelope)):
                kept.append(envelope)
        for envelope in outcome.sent:
            sender, receiver = endpoints[envelope]
            if not is_never_effective(numbers[receiver], numbers[sender], envelope):
                insort(kept, envelope)
        history = state.history
        if outcome.events:
            history = self._history_after(history, outcome.events)
        return GlobalState(numbers, tuple(kept), history, state.crashes, state.losses)

    def _after_last_crash(self, state: GlobalState) -> GlobalState:
        """The same state without what matters only while a crash may still come."""
        numbers = tuple(map(self._without_disk, state.voters))
        kept = [
            envelope
            for envelope in state.in_flight
            if not self._is_never_effective(
                numbers[self._endpoints[envelope][1]], numbers[self._endpoints[envelope][0]], envelope
            )
        ]
        return state._replace(voters=numbers, in_flight=tuple(kept))

    def _history_after(self, history: int, events: int) -> int:
        found = self._histories_after.get((history, events))
        if found is None:
            after = self.histories.values[history].after(self.events.values[events])
            found = self._histories_after[history, events] = self.histories.number(after)
        return found

    def _without_disk(self, number: int) -> int:
        """The voter without its disk's history; both are numbers."""
        found = self._without_disk_history.get(number)
        if found is None:
            voter = self.voters.values[number]
            found = (
                self.voters.number(exhaustive_voter.without_disk_history(voter))
                if voter.keeps_disk_history
                else number
            )
            self._without_disk_history[number] = found
        return found

    # ---- messages whose delivery will never change anything

    def _is_never_effective(self, receiver: int, sender: int, envelope: int) -> bool:
        key = receiver, sender, envelope
        found = self._never_effective.get(key)
        if found is None:
            found = self._never_effective[key] = self._find_never_effective(receiver, sender, envelope)
        return found

    def _find_never_effective(self, receiver: int, sender: int, envelope: int) -> bool:
        """Whether the delivery of a message changes nothing that matters, now or later. `receiver` and `sender`: the
        voters as they are now."""
        if not self.reduced:
            return False
        voter, message = self.voters.values[receiver], self.envelopes.values[envelope].message
        outcome = self._delivery(receiver, envelope)
        if isinstance(message, Prepare | Accept):
            answers = [self.envelopes.values[number].message for number in outcome.sent]
            return (
                outcome.voter == receiver
                and not outcome.events
                and all(isinstance(answer, Nack) for answer in answers)
                and voter.rejoining is None
                and not voter.keeps_disk_history
                and _will_not_propose(self.voters.values[sender])
            )
        if isinstance(message, Nack) and _will_not_propose(voter):
            return not outcome.sent and not outcome.events
        if not self._has_no_effect(outcome, receiver):
            return False
        if isinstance(message, Rejoined):
            return voter.rejoining is None or message.incarnation < voter.record.incarnation
        if isinstance(message, Promise | Accepted | Nack):
            return _stays_without_effect(voter, message)
        return False


def _will_not_propose(voter: VoterState) -> bool:
    """Whether a voter will never begin a proposal again, not even after a crash."""
    if voter.options.reads_after_rejoin and (voter.keeps_disk_history or voter.rejoining is not None):
        return False
    return voter.tries == 0 or (voter.change_chosen and not voter.keeps_disk_history)


def _stays_without_effect(voter: VoterState, message: Promise | Accepted | Nack) -> bool:
    """Whether an answer that changes nothing now changes nothing later either."""
    own = voter.proposal
    if own is not None and own.ballot == message.ballot:
        return isinstance(message, Promise) and own.state is not None and _will_not_propose(voter)
    if _will_not_propose(voter):
        return True
    return not voter.keeps_disk_history and voter.rejoining is None and message.ballot <= voter.highest_ballot
