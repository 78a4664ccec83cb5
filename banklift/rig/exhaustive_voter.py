"""One voter of the exhaustive exploration: its state as a value, and each event as a function of that value.

The steps are those of `fleet/voter.py` and `fleet/proposer.py` without leases, time and links, worked out by the
functions of `fleet/register.py` as they are: `prepare`, `accept`, `rejoin`, `Proposal`, `Rejoining`.

| standing | event | next | what is sent |
| --- | --- | --- | --- |
| voting | `begin`, with a try left | voting, its proposal under a new ballot | `Prepare` to all |
| voting | `Prepare`, `Accept`, `Rejoin` | voting, record written | the register's answer |
| voting | `Promise`, `Accepted`, `Nack` | voting | `Accept` to all, once a majority has promised |
| voting again, if it reads | - | voting, with a proposal that changes nothing | `Prepare` to all |
| any | `crash` | rejoining, proposal forgotten, disk as drawn | `Rejoin` to the others |
| rejoining | `Rejoin` | rejoining | the register's answer |
| rejoining | `Rejoined` | voting, once enough is known | `Rejoin` to the others, if it was outlived |
| rejoining | `ask_again` | rejoining | `Rejoin` to one that has not answered as voting |
| rejoining | anything else | rejoining | - |

A record is written in the step that changes it, before the answer is in flight: a crash between both is a crash after
the step with that answer never delivered. A message to itself is handled in place, as by `Voter._send`; its answer to
itself, too, unless disks are slow: then that is in flight like others, and ends with a crash. A voter that is down is
one that rejoins and to which nothing is delivered. A read is tried under one ballot, and `begin` may come before it
is done, where `Proposer` would wait for it.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from banklift.fleet import register
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
from banklift.fleet.register import BLANK, VOTING, Proposal, Record, Rejoining
from banklift.fleet.state import State, initial_state

FLEET = "small"
VOTERS = ("v0", "v1", "v2")
CHANGES = {"v0": b"a", "v1": b"b"}  # by proposer: what its change appends to the policy
FIRST_BALLOT: Ballot = (1, "v2")  # under which the first state was chosen

RegisterMessage = Prepare | Promise | Accept | Accepted | Nack | Rejoin | Rejoined


class Envelope(msgspec.Struct, frozen=True):
    """A message in flight."""

    sender: str
    receiver: str
    message: RegisterMessage


class ProposalState(msgspec.Struct, frozen=True):
    """A `Proposal` as a value. `read`: it changes nothing."""

    ballot: Ballot
    read: bool
    promises: dict[str, Promise]
    accepts: dict[str, Accepted]
    state: State | None


class RejoiningState(msgspec.Struct, frozen=True):
    """A `Rejoining` as a value."""

    record: Record
    whole: bool
    absent: bool
    answers: dict[str, Rejoined]


class Habits(msgspec.Struct, frozen=True):
    """What is the same for all voters of a world. `slow_disk`: a voter's answer to itself is in flight like others.
    `reads`: a voter that votes again begins with a proposal that changes nothing, as `Voter` does."""

    slow_disk: bool = False
    reads: bool = False


PLAIN = Habits()


class VoterState(msgspec.Struct, frozen=True):
    """`disk`: all records that it has held, the newest last; kept only while a crash may come (`keeps_disk`).
    `tries`: ballots that its change may still be proposed under. `highest`: the highest ballot that its proposer
    knows. `told`: its change is known to be chosen. `trusted`: its disk has neither been lost nor rolled back, or it
    votes again since."""

    record: Record
    disk: tuple[Record, ...]
    keeps_disk: bool
    tries: int
    habits: Habits
    highest: Ballot = NO_BALLOT
    told: bool = False
    trusted: bool = True
    proposal: ProposalState | None = None
    rejoining: RejoiningState | None = None

    @property
    def name(self) -> str:
        return self.record.voter

    @property
    def may_propose(self) -> bool:
        """Whether it may propose its change once more, unless it crashes."""
        return self.tries > 0 and not self.told


class Acceptance(msgspec.Struct, frozen=True):
    """Event: a voter has accepted a state, knowing these incarnations."""

    voter: str
    ballot: Ballot
    state: State
    incarnations: dict[str, int]


class Told(msgspec.Struct, frozen=True):
    """Event: a proposer has been told that its state is chosen. `read`: of a proposal that changes nothing."""

    proposer: str
    read: bool
    ballot: Ballot
    state: State


class BrokenPromise(msgspec.Struct, frozen=True):
    """Event: a voter has answered under a ballot lower than it had promised, or has forgotten a promise."""

    voter: str
    ballot: Ballot
    promised: Ballot


Event = Acceptance | Told | BrokenPromise


class Outcome(msgspec.Struct, frozen=True):
    """What one event led to. `lower_ballots`: messages of a lower ballot than promised that had to be refused."""

    voter: VoterState
    sent: tuple[Envelope, ...]
    events: tuple[Event, ...]
    lower_ballots: int


class DiskFault(StrEnum):
    """What a crash does to the disk."""

    WHOLE = "whole"
    LOST = "lost"
    ROLLED_BACK = "rolled back"


class DiskAfter(msgspec.Struct, frozen=True):
    """What the disk holds after a crash: no record if it was lost."""

    fault: DiskFault
    record: Record | None


def first_state(name: str, tries: int, keeps_disk: bool, habits: Habits) -> VoterState:
    """A voter of a fleet that has begun: all have accepted the first state and vote."""
    incarnations = dict.fromkeys(VOTERS, 1)
    first = initial_state(FLEET, b"")
    record = Record(FLEET, name, 1, FIRST_BALLOT, FIRST_BALLOT, first, incarnations, incarnations)
    tries = tries if name in CHANGES else 0
    return VoterState(record, (record,) if keeps_disk else (), keeps_disk, tries, habits, FIRST_BALLOT)


def append_change(name: str, state: State | None) -> State:
    """The change of this proposer; made before, it leaves the state as it is, as `state.propose` does."""
    base = state or initial_state(FLEET, b"")
    if CHANGES[name] in base.policy:
        return base
    return msgspec.structs.replace(base, version=base.version + 1, policy=base.policy + CHANGES[name])


def disks_after(voter: VoterState) -> list[DiskAfter]:
    """All that the disk may hold after a crash; nothing but a whole one first."""
    drawn = [DiskAfter(DiskFault.WHOLE, voter.disk[-1])] if voter.disk else []
    drawn.append(DiskAfter(DiskFault.LOST, None))
    return drawn + [DiskAfter(DiskFault.ROLLED_BACK, record) for record in voter.disk[:-1]]


def without_disk(voter: VoterState) -> VoterState:
    """The same voter when no crash can come any more: what its disk has held does not matter."""
    return msgspec.structs.replace(voter, disk=(), keeps_disk=False)


def begin(voter: VoterState) -> Outcome:
    """Its change is proposed under a new ballot: for the first time, or as the last try took too long."""
    step = _Step(voter)
    step.begin()
    return step.outcome()


def receive(voter: VoterState, sender: str, message: RegisterMessage) -> Outcome:
    step = _Step(voter)
    step.receive(sender, message)
    return step.outcome()


def crash(voter: VoterState, disk: DiskAfter) -> Outcome:
    """It ends and starts again, with this on its disk."""
    base = disk.record or Record(FLEET, voter.name, 0)
    incarnation = voter.record.incarnation + 1  # taken from a clock, so newer also than what a lost disk held
    known = register.merge_incarnations(base.incarnations, {voter.name: incarnation})
    record = msgspec.structs.replace(base, incarnation=incarnation, incarnations=known)
    lost = disk.record is None
    held = () if lost else (*(one for one in voter.disk if one != base), base)
    started = VoterState(
        record,
        held,
        voter.keeps_disk,
        voter.tries,
        voter.habits,
        trusted=disk.fault is DiskFault.WHOLE and voter.trusted,
        rejoining=RejoiningState(record, not lost, lost, {}),
    )
    step = _Step(started)
    step.start()
    return step.outcome()


def ask_again(voter: VoterState, other: str) -> Outcome:
    step = _Step(voter)
    step.send(other, Rejoin(voter.record.incarnation))
    return step.outcome()


class _Step:
    """One event at one voter, with the register's own objects."""

    def __init__(self, voter: VoterState) -> None:
        self.name, self.tries, self.highest = voter.name, voter.tries, voter.highest
        self.record, self.disk, self.keeps_disk = voter.record, voter.disk, voter.keeps_disk
        self.told, self.trusted, self.habits = voter.told, voter.trusted, voter.habits
        self.read = voter.proposal is not None and voter.proposal.read
        self.proposal = self._proposal_of(voter)
        self.rejoining = self._rejoining_of(voter)
        self.sent: list[Envelope] = []
        self.events: list[Event] = []
        self.lower_ballots = 0

    def outcome(self) -> Outcome:
        may_propose = self.tries > 0 and not self.told
        after = VoterState(
            self.record if self.rejoining is None else self.rejoining.record,
            self.disk,
            self.keeps_disk,
            self.tries,
            self.habits,
            self.highest if may_propose else NO_BALLOT,  # read by `begin` alone
            self.told,
            self.trusted,
            self._proposal_state(),
            self._rejoining_state(),
        )
        return Outcome(after, tuple(self.sent), tuple(self.events), self.lower_ballots)

    # ---- events

    def begin(self) -> None:
        self.tries -= 1
        self._propose(read=False)

    def start(self) -> None:
        assert self.rejoining is not None
        if (done := self.rejoining.recovered_record()) is not None:
            self._vote(done)
            return
        self._ask_all(self.rejoining)

    def receive(self, sender: str, message: RegisterMessage) -> None:
        match message:
            case Rejoin():
                self._rejoin(sender, message)
            case Rejoined():
                self._rejoined(sender, message)
            case _ if self.rejoining is not None:
                return  # it does not vote
            case Prepare() | Accept():
                self._vote_on(sender, message)
            case Promise() | Accepted() | Nack():
                self._answered(sender, message)

    def send(self, receiver: str, message: RegisterMessage) -> None:
        waits = self.habits.slow_disk and isinstance(message, Promise | Accepted | Nack)
        if receiver == self.name and not waits:
            self.receive(self.name, message)
        else:
            self.sent.append(Envelope(self.name, receiver, message))

    # ---- parts

    def _propose(self, read: bool) -> None:
        self.highest = (self.highest[0] + 1, self.name)
        self.read = read
        self.proposal = Proposal(self.highest, VOTERS, self._change)
        self._all(Prepare(self.highest))

    def _all(self, message: Prepare | Accept) -> None:
        for voter in VOTERS:
            self.send(voter, message)

    def _write(self, record: Record) -> None:
        """It is on disk from here on."""
        if self.keeps_disk and (not self.disk or self.disk[-1] != record):
            self.disk = (*self.disk, record)

    def _change(self, state: State | None) -> State:
        if self.read:
            return state or initial_state(FLEET, b"")
        return append_change(self.name, state)

    def _vote_on(self, sender: str, message: Prepare | Accept) -> None:
        before = self.record
        answer: Promise | Accepted | Nack
        if isinstance(message, Prepare):
            self.record, answer = register.prepare(before, message)
        else:
            self.record, answer = register.accept(before, message)
        self._write(self.record)
        self.lower_ballots += message.ballot < before.promised
        broken = message.ballot < before.promised and not isinstance(answer, Nack)
        if broken or self.record.promised < before.promised:
            self.events.append(BrokenPromise(self.name, message.ballot, before.promised))
        if isinstance(message, Accept) and isinstance(answer, Accepted):
            self.events.append(
                Acceptance(self.name, message.ballot, message.state, dict(answer.incarnations))
            )
        self.send(sender, answer)

    def _answered(self, sender: str, message: Promise | Accepted | Nack) -> None:
        if isinstance(message, Nack):
            self.highest = max(self.highest, message.promised)
        proposal = self.proposal
        if proposal is None:
            return
        match message:
            case Promise():
                accept = proposal.handle_promise(sender, message)
                if accept is not None:
                    self._all(accept)
            case Accepted():
                state = proposal.handle_accepted(sender, message)
                if state is not None:
                    self.proposal, self.told = None, self.told or not self.read
                    self.events.append(Told(self.name, self.read, proposal.ballot, state))
            case Nack():
                if proposal.handle_nack(message):
                    self.proposal = None

    def _rejoin(self, sender: str, message: Rejoin) -> None:
        own = self.rejoining
        if own is None:
            self.record, answer = register.rejoin(self.record, sender, message, VOTING, False)
            self._write(self.record)
        else:
            own.record, answer = register.rejoin(own.record, sender, message, own.standing, own.absent)
            if own.standing != BLANK:
                self._write(own.record)
        self.send(sender, answer)

    def _rejoined(self, sender: str, message: Rejoined) -> None:
        own = self.rejoining
        if own is None:
            return
        done = own.handle_answer(sender, message)
        if own.newer_incarnation:
            own.restart(own.newer_incarnation + 1)
            self._ask_all(own)
        elif done is not None:
            self._vote(done)

    def _ask_all(self, own: Rejoining) -> None:
        for voter in VOTERS:
            if voter != self.name:
                self.send(voter, Rejoin(own.record.incarnation))

    def _vote(self, record: Record) -> None:
        self.record, self.rejoining, self.trusted = record, None, True
        self._write(record)
        self.highest = max(self.highest, record.promised)
        if self.habits.reads:
            self._propose(read=True)

    # ---- values and objects

    def _proposal_of(self, voter: VoterState) -> Proposal | None:
        kept = voter.proposal
        if kept is None:
            return None
        return Proposal(
            kept.ballot, VOTERS, self._change, dict(kept.promises), dict(kept.accepts), kept.state
        )

    def _rejoining_of(self, voter: VoterState) -> Rejoining | None:
        kept = voter.rejoining
        if kept is None:
            return None
        return Rejoining(kept.record, VOTERS, kept.whole, kept.absent, dict(kept.answers))

    def _proposal_state(self) -> ProposalState | None:
        """Once it asks to accept a state, a `Proposal` reads of its promises nothing but the newest incarnations."""
        own = self.proposal
        if own is None:
            return None
        promises = dict(own.promises)
        if own.state is not None:
            known: dict[str, int] = {}
            for promise in own.promises.values():
                known = register.merge_incarnations(known, promise.incarnations)
            promises = {self.name: Promise(own.ballot, NO_BALLOT, None, known)}
        accepts = {name: own.accepts[name] for name in sorted(own.accepts)}
        return ProposalState(own.ballot, self.read, promises, accepts, own.state)

    def _rejoining_state(self) -> RejoiningState | None:
        own = self.rejoining
        if own is None:
            return None
        answers = {name: own.answers[name] for name in sorted(own.answers)}
        return RejoiningState(own.record, own.whole, own.absent, answers)
