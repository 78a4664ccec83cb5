"""A register with compare-and-set, replicated over the voters: CASPaxos, extended to voters that lose their state.

Theory of operation. A proposer picks a ballot and asks all voters to promise it (`Prepare`). Among the promises of a
majority it takes the state accepted under the highest ballot, applies its change to that state, and asks all voters to
accept the result (`Accept`). A state accepted by a majority is chosen for good. There is no leader and no log, and any
voter may propose. (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018; Lamport, "Paxos made simple",
2001.)

An acceptor's transitions:

| its record | message | written first | answer |
| --- | --- | --- | --- |
| promised <= ballot | `Prepare` | promised = ballot | `Promise` with the accepted ballot and state |
| promised > ballot | `Prepare`, `Accept` | nothing | `Nack` |
| promised <= ballot | `Accept` | promised = accepted = ballot, state | `Accepted` |
| any | `Rejoin` of a newer incarnation | that incarnation | `Rejoined` with the whole record |
| any | `Rejoin` of a known or older incarnation | nothing | `Rejoined` with the whole record |

A late or duplicate message is answered from the record again. This is safe because ballots only rise.

Lost state. A voter can't tell by itself that its disk was rolled back to an earlier, intact state. So every voter that
starts first asks the others what it may have promised (`Rejoining`), and votes only afterwards. Every answer carries
incarnations: a number for each start of each voter. A proposer drops the answer of a voter when another answer knows a
newer incarnation of that voter. Otherwise a promise given before a crash could form a majority with one given after it.
(Crash vectors: Michael, Ports, Sharma, Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017; for
damaged disks: Alagappan et al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018.)

How many answers a rejoining voter needs. With n voters:

- A majority is m = n // 2 + 1, and up to f = n - m voters may have lost their state, or had it rolled back, since they
  last voted.
- Whatever was chosen or promised has been written by m voters.
- b voters report that their state is lost; nothing is learnt from them.
- s voters, the one that asks among them, have just started with a whole disk. Up to f - b of these may be rolled back.
- a voters are voting; their state is sound.

So at least a + s - min(s, f - b) of the voting and whole ones are sound, and m sound voters intersect every majority.
A voter that hears from nobody does not vote on its old disk, as it can't know whether that was rolled back. A voter
that starts while the others vote needs m of them; when all start at once, all are needed.

The first start of a fleet. Nobody has a record, which looks the same as the loss of all of them. The fleet begins only
where every voter answers that its folder never held a record. The voter that finds this out sends the others the
incarnations that took part (`founding`), because a later one may get its answer from a voter that votes already.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from banklift.fleet.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Nack,
    Prepare,
    Promise,
    Rejoin,
    Rejoined,
)
from banklift.fleet.state import State

RECORD_FORMAT = 1  # version of the record on disk
VOTING, WHOLE, BLANK = "voting", "whole", "blank"  # what a voter reports of itself, see `Rejoined`


class Record(msgspec.Struct, frozen=True):
    """The durable state of an acceptor: all that a voter must not forget."""

    fleet: str
    voter: str
    incarnation: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT  # under which `state` was accepted
    state: State | None = None
    incarnations: dict[str, int] = {}  # the newest known incarnation of each voter, this one among them
    founding: dict[str, int] = {}  # incarnations of all voters when the fleet began
    format: int = RECORD_FORMAT


def majority(voters: int) -> int:
    """The size of a quorum of this many voters."""
    return voters // 2 + 1


def merge_incarnations(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    """The newest incarnation of each voter that either side knows."""
    return {name: max(one.get(name, 0), other.get(name, 0)) for name in sorted({*one, *other})}


def prepare(record: Record, message: Prepare) -> tuple[Record, Promise | Nack]:
    """The record after a `Prepare`, and the answer, which may be sent once that record is on disk."""
    if message.ballot < record.promised:
        return record, Nack(message.ballot, record.promised)
    after = msgspec.structs.replace(record, promised=message.ballot)
    return after, Promise(message.ballot, record.accepted, record.state, record.incarnations)


def accept(record: Record, message: Accept) -> tuple[Record, Accepted | Nack]:
    """The record after an `Accept`, and the answer, which may be sent once that record is on disk."""
    if message.ballot < record.promised:
        return record, Nack(message.ballot, record.promised)
    after = msgspec.structs.replace(
        record, promised=message.ballot, accepted=message.ballot, state=message.state
    )
    return after, Accepted(message.ballot, record.incarnations)


def rejoin(
    record: Record, voter: str, message: Rejoin, standing: str, absent: bool
) -> tuple[Record, Rejoined]:
    """The record after a `Rejoin` from `voter`, and the answer, which may be sent once that record is on disk.

    `standing`: of the voter that answers (`VOTING`, `WHOLE` or `BLANK`). `absent`: its folder never held a record.
    """
    known = merge_incarnations(record.incarnations, {voter: message.incarnation})
    after = record if known == record.incarnations else msgspec.structs.replace(record, incarnations=known)
    return after, Rejoined(
        message.incarnation,
        standing,
        after.promised,
        after.accepted,
        after.state,
        known,
        after.founding,
        absent,
    )


@dataclass(slots=True)
class Proposal:
    """One attempt to change the register under one ballot. Answers under other ballots are ignored.

    `change`: makes the new state from the one in the register, which is None before the fleet's first state.
    """

    ballot: Ballot
    voters: tuple[str, ...]
    change: Callable[[State | None], State]
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: dict[str, Accepted] = field(default_factory=dict)
    state: State | None = None  # proposed in `Accept`, once a majority has promised
    preempted_by: Ballot = NO_BALLOT  # the highest ballot promised by a voter that refused this one

    def voters_of_newest_incarnation(self, answers: Mapping[str, Promise | Accepted]) -> list[str]:
        """Voters whose answers come from their newest incarnation that any answer so far knows."""
        newest: dict[str, int] = {}
        for received in (*self.promises.values(), *self.accepts.values()):
            newest = merge_incarnations(newest, received.incarnations)  # type: ignore[attr-defined]
        return [
            name
            for name, answer in answers.items()
            if answer.incarnations.get(name, 0) == newest.get(name, 0)
        ]

    def handle_promise(self, voter: str, message: Promise) -> Accept | None:
        """Count a promise; returns the `Accept` to send to all voters, once a majority has promised.

        Errors: those of `change`.
        """
        if message.ballot != self.ballot or self.state is not None or voter not in self.voters:
            return None
        self.promises[voter] = message
        sound = self.voters_of_newest_incarnation(self.promises)
        if len(sound) < majority(len(self.voters)):
            return None
        newest = max((self.promises[name] for name in sound), key=lambda promise: promise.accepted)
        self.state = self.change(newest.state)
        return Accept(self.ballot, self.state)

    def handle_accepted(self, voter: str, message: Accepted) -> State | None:
        """Count an acceptance; returns the state, once a majority has accepted it: it is chosen."""
        if message.ballot != self.ballot or self.state is None or voter not in self.voters:
            return None
        self.accepts[voter] = message
        return (
            self.state
            if len(self.voters_of_newest_incarnation(self.accepts)) >= majority(len(self.voters))
            else None
        )

    def handle_nack(self, message: Nack) -> bool:
        """Note a refusal; returns whether a higher ballot has preempted this one."""
        if message.ballot == self.ballot:
            self.preempted_by = max(self.preempted_by, message.promised)
        return self.preempted_by > self.ballot


@dataclass(slots=True)
class Rejoining:
    """The recovery of a voter that has started and does not vote yet.

    `record`: what its disk holds, under its new incarnation. `whole`: whether the disk held a whole record.
    `absent`: the folder never held a record.
    """

    record: Record
    voters: tuple[str, ...]
    whole: bool
    absent: bool
    answers: dict[str, Rejoined] = field(default_factory=dict)

    @property
    def standing(self) -> str:
        """What this voter reports of itself to others that rejoin."""
        return WHOLE if self.whole else BLANK

    def handle_answer(self, voter: str, message: Rejoined) -> Record | None:
        """Count an answer; returns what `recovered_record` returns. An answer to an older incarnation is ignored."""
        if (
            message.incarnation != self.record.incarnation
            or voter not in self.voters
            or voter == self.record.voter
        ):
            return None
        self.answers[voter] = message
        return self.recovered_record()

    @property
    def newer_incarnation(self) -> int:
        """An incarnation of this voter that others know and that is newer than its own; zero if there is none.

        Such a voter has to take an incarnation that is newer still.
        """
        newest = max(
            (answer.incarnations.get(self.record.voter, 0) for answer in self.answers.values()), default=0
        )
        return newest if newest > self.record.incarnation else 0

    def has_voting_answer(self, voter: str) -> bool:
        """Whether this voter has answered as one that votes. Any other one may know more when it is asked again."""
        answer = self.answers.get(voter)
        return answer is not None and answer.standing == VOTING

    def restart(self, incarnation: int) -> None:
        """Start recovery again under this incarnation, without the answers so far."""
        known = merge_incarnations(self.record.incarnations, {self.record.voter: incarnation})
        self.record = msgspec.structs.replace(self.record, incarnation=incarnation, incarnations=known)
        self.answers.clear()

    def recovered_record(self) -> Record | None:
        """The record to vote with from now on, which has to be written first; None while too little is known."""
        own_name, voter_count = self.record.voter, len(self.voters)
        quorum, answers = majority(voter_count), self.answers.values()
        if self.newer_incarnation:
            return None
        if self.absent:
            if len(self.answers) == voter_count - 1 and all(
                answer.absent and answer.standing == BLANK for answer in answers
            ):
                known = self.record.incarnations
                for name, answer in self.answers.items():
                    known = merge_incarnations(known, {name: answer.incarnations.get(name, 0)})
                return msgspec.structs.replace(self.record, incarnations=known, founding=known)
            if any(
                answer.standing == VOTING and answer.founding.get(own_name) == self.record.incarnation
                for answer in answers
            ):
                return self._merged()
        voting = sum(answer.standing == VOTING for answer in answers)
        whole = sum(answer.standing == WHOLE for answer in answers) + self.whole
        blank = sum(answer.standing == BLANK for answer in answers) + (not self.whole)
        rolled_back = min(whole, max(0, voter_count - quorum - blank))  # at the most, of the whole ones
        return self._merged() if voting + whole - rolled_back >= quorum else None

    def _merged(self) -> Record:
        """The newest ballots, state and incarnations that this disk and the answers hold."""
        record = self.record
        for answer in self.answers.values():
            if answer.accepted > record.accepted:
                record = msgspec.structs.replace(record, accepted=answer.accepted, state=answer.state)
            record = msgspec.structs.replace(
                record,
                promised=max(record.promised, answer.promised),
                incarnations=merge_incarnations(record.incarnations, answer.incarnations),
                founding=record.founding or answer.founding,
            )
        return record

    def waiting(self) -> str:
        """Why this voter does not vote yet, as a text for operators."""
        voter_count = len(self.voters)
        silent = sorted(set(self.voters) - {self.record.voter} - set(self.answers))
        if self.absent and not any(answer.standing != BLANK for answer in self.answers.values()):
            return f"the first start needs every voter once; not heard: {', '.join(silent) or 'nobody'}"
        disk = "whole" if self.whole else "lost or damaged"
        return (
            f"its own disk is {disk}; it votes once {majority(voter_count)} of {voter_count} voters that can't have "
            f"forgotten have told what it promised; not heard: {', '.join(silent) or 'nobody'}"
        )
