"""One voter of the exhaustive exploration: its state as a value, and each event as a function of that value.

The transitions are those of `fleet/voter.py` and `fleet/proposer.py` without leases, time and links. They call the
functions and classes of `fleet/register.py` as they are: `prepare`, `accept`, `rejoin`, `Proposal`, `Rejoining`.

| voter is | event | voter afterwards | messages sent |
| --- | --- | --- | --- |
| voting | `begin`, with a try left | voting, with a proposal under a new ballot | `Prepare` to all |
| voting | `Prepare`, `Accept`, `Rejoin` | voting, record written | the register's answer |
| voting | `Promise`, `Accepted`, `Nack` | voting | `Accept` to all, once a majority has promised |
| any | `crash` | rejoining, without a proposal, with one possible content of its disk | `Rejoin` to the others |
| rejoining | `Rejoin` | rejoining | the register's answer |
| rejoining | `Rejoined` | voting, once enough is known | `Rejoin` to the others, if they know a newer incarnation |
| rejoining | `send_rejoin_again` | rejoining | `Rejoin` to a voter that has not answered as voting |
| rejoining | anything else | rejoining | - |

With `reads_after_rejoin`, a voter that votes again also starts a proposal that changes nothing, and sends `Prepare` to
all.

A record is written in the transition that changes it, before the answer is in flight: a crash between the write and the
answer is a crash after the transition, with the answer never delivered. A voter handles messages to itself in place, as
`Voter._send` does, and so its answers to itself, unless disks are slow: then these answers are in flight like others,
and are lost in a crash. A voter that is down is one that rejoins and to which nothing is delivered. A read is tried
under one ballot. `begin` may come before the read is done, where `Proposer` would wait for it.
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
    """A `Proposal` as a value."""

    ballot: Ballot
    is_read: bool  # it changes nothing
    promises: dict[str, Promise]
    accepts: dict[str, Accepted]
    state: State | None


class RejoiningState(msgspec.Struct, frozen=True):
    """A `Rejoining` as a value."""

    record: Record
    whole: bool
    absent: bool
    answers: dict[str, Rejoined]


class VoterOptions(msgspec.Struct, frozen=True):
    """Variants of the model; the same for all voters of an exploration."""

    slow_disk: bool = False  # a voter's answers to itself are in flight like others
    reads_after_rejoin: bool = False  # a voter that votes again first proposes no change, as `Voter` does


DEFAULT_OPTIONS = VoterOptions()


class VoterState(msgspec.Struct, frozen=True):
    """A voter and its proposer."""

    record: Record
    disk_history: tuple[Record, ...]  # all records that the disk has held, the newest last; empty if not kept
    keeps_disk_history: bool  # only while a crash may still come
    tries: int  # ballots under which its change may still be proposed
    options: VoterOptions
    highest_ballot: Ballot = NO_BALLOT  # that its proposer knows
    change_chosen: bool = False  # its proposer has learned that its change is chosen
    trusted: bool = True  # its disk was neither lost nor rolled back, or it votes again since
    proposal: ProposalState | None = None
    rejoining: RejoiningState | None = None

    @property
    def name(self) -> str:
        """The voter's name."""
        return self.record.voter

    @property
    def may_propose(self) -> bool:
        """Whether it may propose its change once more, if it does not crash."""
        return self.tries > 0 and not self.change_chosen


class Acceptance(msgspec.Struct, frozen=True):
    """Event: a voter has accepted a state."""

    voter: str
    ballot: Ballot
    state: State
    incarnations: dict[str, int]  # of all voters, as the voter knew them then


class Learned(msgspec.Struct, frozen=True):
    """Event: a proposer has learned that the state it proposed is chosen."""

    proposer: str
    is_read: bool  # the proposal changed nothing
    ballot: Ballot
    state: State


class BrokenPromise(msgspec.Struct, frozen=True):
    """Event: a voter has answered under a lower ballot than it had promised, or has forgotten a promise."""

    voter: str
    ballot: Ballot
    promised: Ballot


Event = Acceptance | Learned | BrokenPromise


class Outcome(msgspec.Struct, frozen=True):
    """The result of one transition."""

    voter: VoterState  # afterwards
    sent: tuple[Envelope, ...]
    events: tuple[Event, ...]
    lower_ballots: int  # received messages that had to be refused, as a higher ballot was promised


class DiskFault(StrEnum):
    """What a crash does to the disk."""

    WHOLE = "whole"
    LOST = "lost"
    ROLLED_BACK = "rolled back"


class DiskAfterCrash(msgspec.Struct, frozen=True):
    """What the disk holds after a crash."""

    fault: DiskFault
    record: Record | None  # None if it was lost


def first_state(name: str, tries: int, keeps_disk_history: bool, options: VoterOptions) -> VoterState:
    """A voter of a fleet in which all voters have accepted the first state and vote."""
    incarnations = dict.fromkeys(VOTERS, 1)
    first = initial_state(FLEET, b"")
    record = Record(FLEET, name, 1, FIRST_BALLOT, FIRST_BALLOT, first, incarnations, incarnations)
    tries = tries if name in CHANGES else 0
    return VoterState(
        record,
        (record,) if keeps_disk_history else (),
        keeps_disk_history,
        tries,
        options,
        FIRST_BALLOT,
    )


def append_change(name: str, state: State | None) -> State:
    """The state with this proposer's change. A state that has the change already stays as it is, as in
    `state.propose`."""
    base = state or initial_state(FLEET, b"")
    if CHANGES[name] in base.policy:
        return base
    return msgspec.structs.replace(base, version=base.version + 1, policy=base.policy + CHANGES[name])


def disks_after_crash(voter: VoterState) -> list[DiskAfterCrash]:
    """All that the disk may hold after a crash: the newest record, nothing, or any earlier record."""
    disks = [DiskAfterCrash(DiskFault.WHOLE, voter.disk_history[-1])] if voter.disk_history else []
    disks.append(DiskAfterCrash(DiskFault.LOST, None))
    return disks + [DiskAfterCrash(DiskFault.ROLLED_BACK, record) for record in voter.disk_history[:-1]]


def without_disk_history(voter: VoterState) -> VoterState:
    """The same voter once no crash can come any more: what its disk has held does not matter then."""
    return msgspec.structs.replace(voter, disk_history=(), keeps_disk_history=False)


def begin(voter: VoterState) -> Outcome:
    """The voter proposes its change under a new ballot: for the first time, or because the last try took too long."""
    running = _RunningVoter(voter)
    running.begin()
    return running.outcome()


def receive(voter: VoterState, sender: str, message: RegisterMessage) -> Outcome:
    """The voter receives a message."""
    running = _RunningVoter(voter)
    running.receive(sender, message)
    return running.outcome()


def crash(voter: VoterState, disk: DiskAfterCrash) -> Outcome:
    """The voter ends and starts again, with this content of its disk."""
    base = disk.record or Record(FLEET, voter.name, 0)
    incarnation = voter.record.incarnation + 1  # taken from a clock, so newer than any that a lost disk held
    known = register.merge_incarnations(base.incarnations, {voter.name: incarnation})
    record = msgspec.structs.replace(base, incarnation=incarnation, incarnations=known)
    lost = disk.record is None
    disk_history = () if lost else (*(earlier for earlier in voter.disk_history if earlier != base), base)
    started = VoterState(
        record,
        disk_history,
        voter.keeps_disk_history,
        voter.tries,
        voter.options,
        trusted=disk.fault is DiskFault.WHOLE and voter.trusted,
        rejoining=RejoiningState(record, not lost, lost, {}),
    )
    running = _RunningVoter(started)
    running.start()
    return running.outcome()


def send_rejoin_again(voter: VoterState, other: str) -> Outcome:
    """A voter that rejoins asks another one again."""
    running = _RunningVoter(voter)
    running.send(other, Rejoin(voter.record.incarnation))
    return running.outcome()


class _RunningVoter:
    """A voter during one event, with the mutable objects of the register."""

    def __init__(self, voter: VoterState) -> None:
        self.name, self.tries, self.highest_ballot = voter.name, voter.tries, voter.highest_ballot
        self.record = voter.record
        self.disk_history, self.keeps_disk_history = voter.disk_history, voter.keeps_disk_history
        self.change_chosen, self.trusted, self.options = voter.change_chosen, voter.trusted, voter.options
        self.is_read = voter.proposal is not None and voter.proposal.is_read
        self.proposal = self._restored_proposal(voter)
        self.rejoining = self._restored_rejoining(voter)
        self.sent: list[Envelope] = []
        self.events: list[Event] = []
        self.lower_ballots = 0

    def outcome(self) -> Outcome:
        """The voter as a value again, and what the event has led to."""
        may_propose = self.tries > 0 and not self.change_chosen
        after = VoterState(
            self.record if self.rejoining is None else self.rejoining.record,
            self.disk_history,
            self.keeps_disk_history,
            self.tries,
            self.options,
            self.highest_ballot if may_propose else NO_BALLOT,  # read by `begin` alone
            self.change_chosen,
            self.trusted,
            self._proposal_state(),
            self._rejoining_state(),
        )
        return Outcome(after, tuple(self.sent), tuple(self.events), self.lower_ballots)

    # ---- events

    def begin(self) -> None:
        self.tries -= 1
        self._propose(is_read=False)

    def start(self) -> None:
        assert self.rejoining is not None
        if (recovered := self.rejoining.recovered_record()) is not None:
            self._start_voting(recovered)
            return
        self._send_rejoin_to_others(self.rejoining)

    def receive(self, sender: str, message: RegisterMessage) -> None:
        match message:
            case Rejoin():
                self._receive_rejoin(sender, message)
            case Rejoined():
                self._receive_rejoined(sender, message)
            case _ if self.rejoining is not None:
                return  # it does not vote
            case Prepare() | Accept():
                self._vote_on(sender, message)
            case Promise() | Accepted() | Nack():
                self._receive_vote(sender, message)

    def send(self, receiver: str, message: RegisterMessage) -> None:
        waits_for_disk = self.options.slow_disk and isinstance(message, Promise | Accepted | Nack)
        if receiver == self.name and not waits_for_disk:
            self.receive(self.name, message)
        else:
            self.sent.append(Envelope(self.name, receiver, message))

    # ---- parts of events

    def _propose(self, is_read: bool) -> None:
        self.highest_ballot = (self.highest_ballot[0] + 1, self.name)
        self.is_read = is_read
        self.proposal = Proposal(self.highest_ballot, VOTERS, self._change)
        self._send_to_all(Prepare(self.highest_ballot))

    def _send_to_all(self, message: Prepare | Accept) -> None:
        for voter in VOTERS:
            self.send(voter, message)

    def _write(self, record: Record) -> None:
        """The record is on disk from here on."""
        if self.keeps_disk_history and (not self.disk_history or self.disk_history[-1] != record):
            self.disk_history = (*self.disk_history, record)

    def _change(self, state: State | None) -> State:
        if self.is_read:
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

    def _receive_vote(self, sender: str, message: Promise | Accepted | Nack) -> None:
        if isinstance(message, Nack):
            self.highest_ballot = max(self.highest_ballot, message.promised)
        proposal = self.proposal
        if proposal is None:
            return
        match message:
            case Promise():
                accept = proposal.handle_promise(sender, message)
                if accept is not None:
                    self._send_to_all(accept)
            case Accepted():
                state = proposal.handle_accepted(sender, message)
                if state is not None:
                    self.proposal, self.change_chosen = None, self.change_chosen or not self.is_read
                    self.events.append(Learned(self.name, self.is_read, proposal.ballot, state))
            case Nack():
                if proposal.handle_nack(message):
                    self.proposal = None

    def _receive_rejoin(self, sender: str, message: Rejoin) -> None:
        own = self.rejoining
        if own is None:
            self.record, answer = register.rejoin(self.record, sender, message, VOTING, False)
            self._write(self.record)
        else:
            own.record, answer = register.rejoin(own.record, sender, message, own.standing, own.absent)
            if own.standing != BLANK:
                self._write(own.record)
        self.send(sender, answer)

    def _receive_rejoined(self, sender: str, message: Rejoined) -> None:
        own = self.rejoining
        if own is None:
            return
        recovered = own.handle_answer(sender, message)
        if own.newer_incarnation:
            own.restart(own.newer_incarnation + 1)
            self._send_rejoin_to_others(own)
        elif recovered is not None:
            self._start_voting(recovered)

    def _send_rejoin_to_others(self, own: Rejoining) -> None:
        for voter in VOTERS:
            if voter != self.name:
                self.send(voter, Rejoin(own.record.incarnation))

    def _start_voting(self, record: Record) -> None:
        self.record, self.rejoining, self.trusted = record, None, True
        self._write(record)
        self.highest_ballot = max(self.highest_ballot, record.promised)
        if self.options.reads_after_rejoin:
            self._propose(is_read=True)

    # ---- conversions between values and the register's objects

    def _restored_proposal(self, voter: VoterState) -> Proposal | None:
        value = voter.proposal
        if value is None:
            return None
        return Proposal(
            value.ballot, VOTERS, self._change, dict(value.promises), dict(value.accepts), value.state
        )

    def _restored_rejoining(self, voter: VoterState) -> Rejoining | None:
        value = voter.rejoining
        if value is None:
            return None
        return Rejoining(value.record, VOTERS, value.whole, value.absent, dict(value.answers))

    def _proposal_state(self) -> ProposalState | None:
        """The proposal as a value. Once a `Proposal` has asked to accept a state, it reads nothing of its promises but
        the newest incarnations; so these stand in one promise, and fewer values differ."""
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
        return ProposalState(own.ballot, self.is_read, promises, accepts, own.state)

    def _rejoining_state(self) -> RejoiningState | None:
        own = self.rejoining
        if own is None:
            return None
        answers = {name: own.answers[name] for name in sorted(own.answers)}
        return RejoiningState(own.record, own.whole, own.absent, answers)
