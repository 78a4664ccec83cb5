"""One register with compare-and-set, replicated over the voters: CASPaxos, with voters that may forget.

Theory of operation. A proposer takes a ballot, asks all voters to promise it (`Prepare`), takes the state
accepted under the highest ballot among a majority's promises, applies its change to it and asks all voters to
accept the result (`Accept`); accepted by a majority it is chosen, for ever. There is no leader and no log, and
any voter may propose. (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018; Lamport, "Paxos made
simple", 2001.)

| the voter's record | message | what is written first | answer |
| --- | --- | --- | --- |
| promised <= ballot | `Prepare` | promised = ballot | `Promise` with what it has accepted |
| promised > ballot | `Prepare`, `Accept` | nothing | `Nack` |
| promised <= ballot | `Accept` | promised = accepted = ballot, state | `Accepted` |
| any | `Rejoin` of a newer incarnation | that incarnation | `Rejoined` with all of the record |
| any | `Rejoin` of an older one, or of this one again | nothing | the same |

A message that comes late or twice is answered again from the record, which does no harm: ballots only rise.

Voters that forget. Nobody can tell by itself that a disk was rolled back to yesterday: it is whole. So every
voter that starts asks the others, before it votes, what it may have promised (`Rejoining`). Incarnations, a
number for each start of each voter, go with every answer, and a proposer drops the answer of a voter that
another answer knows in a newer incarnation. That closes the gap in which a promise given before a crash and
one given afterwards make a majority. (Crash vectors: Michael, Ports, Sharma, Szekeres, "Recovering Shared
Objects Without Stable Storage", DISC 2017; for disks that are damaged: Alagappan et al., "Protocol-Aware
Recovery for Consensus-Based Storage", FAST 2018.)

How many answers are enough. With n voters a majority m is n // 2 + 1, and up to f = n - m may have lost their
state, or had it rolled back, since they voted last. Whatever was chosen or promised, m voters have written it.
Of b voters that say that they lost theirs, nothing is learnt; of s voters that have just started with a whole
disk, the one that asks among them, up to f - b may be rolled back; those that vote are sound. So among a
voting and s whole ones at least a + s - min(s, f - b) are sound, and m of these meet every majority. A voter
alone with its old disk does not vote: it can't know. One that starts while the others vote needs m of these;
when all start at once, all are needed.

The first start. Nobody has a record, which looks like the loss of all. Only where every voter answers that its
folder never held one, the fleet begins; who finds that out tells the others which incarnations these were, as
some of them may have to be told by one that votes already.
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

FORMAT = 1  # of the record on disk
VOTING, WHOLE, BLANK = "voting", "whole", "blank"


class Record(msgspec.Struct, frozen=True):
    """All that a voter must not forget."""

    fleet: str
    voter: str
    incarnation: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    state: State | None = None
    incarnations: dict[str, int] = {}  # newest known of each voter, its own among them
    founding: dict[str, int] = {}
    format: int = FORMAT


def majority(voters: int) -> int:
    return voters // 2 + 1


def merged(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    return {name: max(one.get(name, 0), other.get(name, 0)) for name in sorted({*one, *other})}


def prepare(record: Record, message: Prepare) -> tuple[Record, Promise | Nack]:
    if message.ballot < record.promised:
        return record, Nack(message.ballot, record.promised)
    after = msgspec.structs.replace(record, promised=message.ballot)
    return after, Promise(message.ballot, record.accepted, record.state, record.incarnations)


def accept(record: Record, message: Accept) -> tuple[Record, Accepted | Nack]:
    if message.ballot < record.promised:
        return record, Nack(message.ballot, record.promised)
    after = msgspec.structs.replace(
        record, promised=message.ballot, accepted=message.ballot, state=message.state
    )
    return after, Accepted(message.ballot, record.incarnations)


def rejoin(
    record: Record, voter: str, message: Rejoin, standing: str, absent: bool
) -> tuple[Record, Rejoined]:
    known = merged(record.incarnations, {voter: message.incarnation})
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
    """One attempt to change the register under one ballot. Answers under other ballots are not its own."""

    ballot: Ballot
    voters: tuple[str, ...]
    change: Callable[[State | None], State]
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: dict[str, Accepted] = field(default_factory=dict)
    state: State | None = None  # that it asks to accept
    beaten: Ballot = NO_BALLOT  # by this one

    def consistent(self, answers: Mapping[str, Promise | Accepted]) -> list[str]:
        """Voters whose answers come from the newest incarnation that any answer so far knows of."""
        newest: dict[str, int] = {}
        for known in (*self.promises.values(), *self.accepts.values()):
            newest = merged(newest, known.incarnations)  # type: ignore[attr-defined]
        return [
            name
            for name, answer in answers.items()
            if answer.incarnations.get(name, 0) == newest.get(name, 0)
        ]

    def promised(self, voter: str, message: Promise) -> Accept | None:
        """What to ask all voters now, once a majority has promised. Errors: as `change`."""
        if message.ballot != self.ballot or self.state is not None or voter not in self.voters:
            return None
        self.promises[voter] = message
        sound = self.consistent(self.promises)
        if len(sound) < majority(len(self.voters)):
            return None
        newest = max((self.promises[name] for name in sound), key=lambda promise: promise.accepted)
        self.state = self.change(newest.state)
        return Accept(self.ballot, self.state)

    def accepted(self, voter: str, message: Accepted) -> State | None:
        """The state, once it is chosen."""
        if message.ballot != self.ballot or self.state is None or voter not in self.voters:
            return None
        self.accepts[voter] = message
        return self.state if len(self.consistent(self.accepts)) >= majority(len(self.voters)) else None

    def nack(self, message: Nack) -> bool:
        """Whether it has lost to a higher ballot."""
        if message.ballot == self.ballot:
            self.beaten = max(self.beaten, message.promised)
        return self.beaten > self.ballot


@dataclass(slots=True)
class Rejoining:
    """A voter that has started and does not vote yet. `record`: what its disk holds, under its new
    incarnation; its disk was `whole` or not, and `absent` if there was never anything."""

    record: Record
    voters: tuple[str, ...]
    whole: bool
    absent: bool
    answers: dict[str, Rejoined] = field(default_factory=dict)

    @property
    def standing(self) -> str:
        return WHOLE if self.whole else BLANK

    def answered(self, voter: str, message: Rejoined) -> Record | None:
        """The record to vote with from now on (to be written first), once enough is known."""
        if (
            message.incarnation != self.record.incarnation
            or voter not in self.voters
            or voter == self.record.voter
        ):
            return None
        self.answers[voter] = message
        return self.done()

    @property
    def outlived(self) -> int:
        """The incarnation that others know of this voter, if theirs is newer: this one must take a newer one yet."""
        newest = max(
            (answer.incarnations.get(self.record.voter, 0) for answer in self.answers.values()), default=0
        )
        return newest if newest > self.record.incarnation else 0

    def heard_voting(self, voter: str) -> bool:
        """Whether this voter has answered as one that votes; else it may be worth to ask it again."""
        answer = self.answers.get(voter)
        return answer is not None and answer.standing == VOTING

    def again(self, incarnation: int) -> None:
        """Begin anew under this one."""
        known = merged(self.record.incarnations, {self.record.voter: incarnation})
        self.record = msgspec.structs.replace(self.record, incarnation=incarnation, incarnations=known)
        self.answers.clear()

    def done(self) -> Record | None:
        own, n = self.record.voter, len(self.voters)
        m, answers = majority(n), self.answers.values()
        if self.outlived:
            return None
        if self.absent:
            if len(self.answers) == n - 1 and all(one.absent and one.standing == BLANK for one in answers):
                known = self.record.incarnations
                for name, answer in self.answers.items():
                    known = merged(known, {name: answer.incarnations.get(name, 0)})
                return msgspec.structs.replace(self.record, incarnations=known, founding=known)
            if any(
                one.standing == VOTING and one.founding.get(own) == self.record.incarnation for one in answers
            ):
                return self._merged()
        voting = sum(one.standing == VOTING for one in answers)
        whole = sum(one.standing == WHOLE for one in answers) + self.whole
        blank = sum(one.standing == BLANK for one in answers) + (not self.whole)
        return self._merged() if voting + whole - min(whole, max(0, n - m - blank)) >= m else None

    def _merged(self) -> Record:
        """The newest of what is known: by this disk, and by those that answered."""
        record = self.record
        for answer in self.answers.values():
            if answer.accepted > record.accepted:
                record = msgspec.structs.replace(record, accepted=answer.accepted, state=answer.state)
            record = msgspec.structs.replace(
                record,
                promised=max(record.promised, answer.promised),
                incarnations=merged(record.incarnations, answer.incarnations),
                founding=record.founding or answer.founding,
            )
        return record

    def waiting(self) -> str:
        """Why it does not vote yet, in words."""
        n, silent = len(self.voters), sorted(set(self.voters) - {self.record.voter} - set(self.answers))
        if self.absent and not any(one.standing != BLANK for one in self.answers.values()):
            return f"the first start needs every voter once; not heard: {', '.join(silent) or 'nobody'}"
        disk = "whole" if self.whole else "lost or damaged"
        return (
            f"its own disk is {disk}; it votes once {majority(n)} of {n} voters that can't have forgotten have "
            f"told what it promised; not heard: {', '.join(silent) or 'nobody'}"
        )
