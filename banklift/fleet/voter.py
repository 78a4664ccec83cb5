"""A voter: its part of the register, its table of leases, and the changes that it drives. Pure.

What has to be on disk before a word leaves is `Save`; the words wait until `saved` says that it is there.
While a write is under way more may come; they wait for the next one together. A write that fails takes its
words with it: who asked hears nothing, as from a voter that is gone, and the voter tries the disk again later.

| standing | event | next |
| --- | --- | --- |
| rejoining | enough others have told what it may have promised (register.py) | voting, once that is written |
| voting | it has read the register | in step: it grants leases |
| any of these | a write fails | the same, but silent until one goes through |

Driving a change. The voter that an operator asked drives it; if it falls silent, any other one does, after a
while that is drawn. Two that drive at once do no harm: every step is a compare-and-set. While it drives, it
surveys all voters:

- checking: a majority is sealed (lease_table.py): `agree`; somebody refused, or `patience` is over: `abort`;
- agreed: a majority has switched: `settle`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from banklift.fleet import register
from banklift.fleet.actions import LogLine
from banklift.fleet.driver import Drive, Step, StepKind
from banklift.fleet.durable import DurableRecord, Save
from banklift.fleet.lease_table import LeaseTable
from banklift.fleet.messages import (
    Accept,
    Accepted,
    Ended,
    Learn,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    Nack,
    NotProposed,
    Prepare,
    Progress,
    Promise,
    Rejoin,
    Rejoined,
    Set,
    Shown,
    Survey,
    Surveyed,
    Trouble,
)
from banklift.fleet.proposer import Proposer, Task
from banklift.fleet.register import BLANK, VOTING, Record, Rejoining
from banklift.fleet.state import (
    ProposalRejected,
    State,
    abort,
    agree,
    find_outcome,
    found,
    propose,
    settle,
)

POLL = 0.1  # seconds between surveys while a change is driven
REJOIN = 0.3  # seconds between questions of a voter that has started
TAKEOVER_PART = 1 / 4  # of a lease: silence of who drives a change, after which another may


@dataclass(frozen=True, slots=True)
class ToVoter:
    voter: str
    message: Message


@dataclass(frozen=True, slots=True)
class ToOperator:
    operator: int
    message: Message


@dataclass(frozen=True, slots=True)
class AnnounceRenewal:
    """Every router that is linked is to ask again."""


Action = ToVoter | ToOperator | Save | AnnounceRenewal | LogLine


class Voter:
    """`policy`: what the fleet begins with, should there be nothing yet. `record`: what the disk held, or None;
    `absent`: there was never anything."""

    def __init__(
        self,
        fleet: str,
        name: str,
        voters: tuple[str, ...],
        lease: float,
        drift: float,
        policy: bytes,
        record: Record | None,
        absent: bool,
        incarnation: int,
        random: Random,
    ) -> None:
        self.fleet, self.name, self.voters, self.policy = fleet, name, voters, policy
        self.random = random
        self.actions: list[Action] = []
        blank = Record(fleet, name, 0)
        base = blank if record is None else record
        incarnation = max(incarnation, base.incarnation + 1)
        base = msgspec.structs.replace(
            base,
            incarnation=incarnation,
            incarnations=register.merged(base.incarnations, {name: incarnation}),
        )
        self.disk = DurableRecord(base, self.actions.append)
        self.proposer = Proposer(name, voters, random, self._all, self._chosen)
        self.rejoining: Rejoining | None = Rejoining(base, voters, record is not None, absent)
        self.in_step = False  # it has read the register since it started
        self.lease_table = LeaseTable(lease, drift)
        self.linked: dict[str, bool] = {other: False for other in voters if other != name}
        self.operators: set[int] = set()
        self.driver = ""  # the voter that surveyed last
        self.told = ("", "")  # change and stage of which its driver was told that all is done here
        self.drive: Drive | None = None
        self.driven = -math.inf  # when somebody was last heard to drive the change
        self.takeover = TAKEOVER_PART * lease * random.uniform(1.0, 2.0)
        self.polled = -math.inf
        self.rejoin_at = -math.inf
        self.now = 0.0

    # ---- events

    def start(self, now: float) -> list[Action]:
        self.now = now
        assert self.rejoining is not None
        if (done := self.rejoining.done()) is not None:  # the only voter
            self._voting(done)
        return self._out()

    def link(self, now: float, voter: str, up: bool) -> list[Action]:
        self.now = now
        self.linked[voter] = up
        if up and self.rejoining is not None:
            self.actions.append(ToVoter(voter, Rejoin(self.rejoining.record.incarnation)))
        if up and self.lease_table.state is not None:
            self.actions.append(ToVoter(voter, Learn(self.lease_table.state)))
        return self._out()

    def operator(self, now: float, operator: int, up: bool) -> list[Action]:
        self.now = now
        if up:
            self.operators.add(operator)
        else:
            self.operators.discard(operator)
            if self.drive is not None:
                self.drive.operators.discard(operator)
        return self._out()

    def message(self, now: float, voter: str, message: Message) -> list[Action]:
        self.now = now
        self._message(voter, message)
        return self._out()

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        """The write of that number is on disk, or failed with `error`."""
        self.now = now
        self.disk.saved(now, number, error)
        return self._out()

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest
    ) -> tuple[LeaseGrant | None, list[Action]]:
        """A holder asks for a lease."""
        self.now = now
        if self.rejoining is not None:
            reason = f"this voter does not vote: {self.rejoining.waiting()}"
            return self.lease_table.refuse(request, reason), self._out()
        switch_at = self.lease_table.switch_at
        grant = self.lease_table.request(now, name, incarnation, request)
        if self.lease_table.switch_at != switch_at:
            self.actions.append(AnnounceRenewal())  # holders can be told when the next epoch begins
        self._tell_driver()
        return grant, self._out()

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> list[Action]:
        """A holder gives its leases back."""
        self.now = now
        self.lease_table.release(now, name, incarnation, release)
        self._tell_driver()
        return self._out()

    def set(self, now: float, operator: int, wanted: Set) -> list[Action]:
        """An operator wants a change, or asks what became of it."""
        self.now = now
        if self.rejoining is not None:
            self._not_proposed(
                operator, wanted.change, f"voter {self.name} does not vote: {self.rejoining.waiting()}", True
            )
            return self._out()

        def change(state: State | None) -> State:
            if state is None:
                raise ProposalRejected("this fleet has no policy yet", busy=True)
            return propose(state, wanted.change, wanted.policy, self.name, wanted.patience, wanted.dry)

        self._task(
            change,
            lambda state: self._follow(operator, wanted.change),
            lambda rejected: self._not_proposed(operator, wanted.change, str(rejected), rejected.busy),
        )
        return self._out()

    def show(self, now: float) -> Shown:
        standing = VOTING if self.rejoining is None else self.rejoining.standing
        return Shown(
            self.lease_table.state,
            self.name,
            standing,
            {**self.linked, self.name: True},
            self.lease_table.holders(now),
            tuple(self.trouble()),
        )

    def trouble(self) -> list[Trouble]:
        found = [Trouble(name, "no link") for name, up in self.linked.items() if not up]
        if self.rejoining is not None:
            found.append(Trouble(self.name, f"does not vote: {self.rejoining.waiting()}"))
        if self.disk.fault:
            found.append(Trouble(self.name, f"disk: {self.disk.fault}"))
        return found

    def wake(self, now: float) -> list[Action]:
        self.now = now
        if self.rejoining is not None and now >= self.rejoin_at:
            self.rejoin_at = now + REJOIN * self.random.uniform(0.8, 1.2)
            self._go_on_rejoining(self.rejoining)
        self.disk.wake(now)
        self.proposer.wake(now)
        granting, switch_at = self.lease_table.granting, self.lease_table.switch_at
        self.lease_table.tick(now)
        if self.lease_table.granting != granting or self.lease_table.switch_at != switch_at:
            self.actions.append(AnnounceRenewal())
        self._tell_driver()
        change = self.lease_table.change
        if (
            self.rejoining is None
            and change is not None
            and self.drive is None
            and now - self.driven >= self.takeover
        ):
            self.drive = Drive(change.id, now, self.voters)
        if self.drive is not None and now >= self.polled + POLL:
            self._poll(self.drive)
        return self._out()

    def due(self, now: float) -> float:
        times = [self.proposer.deadline, self.disk.retry_at, self.lease_table.due(now)]
        if self.rejoining is not None:
            times.append(self.rejoin_at)
        if self.drive is not None:
            times.append(self.polled + POLL)
        elif self.lease_table.change is not None:
            times.append(self.driven + self.takeover)
        return min(times)

    # ---- between voters

    def _message(self, voter: str, message: Message) -> None:
        match message:
            case Rejoin():
                self._rejoin(voter, message)
            case Rejoined():
                self._rejoined(voter, message)
            case Learn(state):
                self._learn(state)
            case _ if self.rejoining is not None:
                return  # it does not vote, and nothing of an earlier incarnation is its own
            case Prepare():
                self.disk.record, answer = register.prepare(self.disk.record, message)
                self._answer(voter, answer)
            case Accept():
                self.disk.record, reply = register.accept(self.disk.record, message)
                self._answer(voter, reply)
            case Promise() | Accepted() | Nack():
                self.proposer.message(self.now, voter, message)
            case Survey():
                self._surveyed_by(voter, message)
            case Surveyed():
                self._survey_answered(voter, message)

    def _send(self, voter: str, message: Message) -> None:
        if voter == self.name:
            self._message(voter, message)
        else:
            self.actions.append(ToVoter(voter, message))

    def _all(self, message: Message) -> None:
        for voter in self.voters:
            self._send(voter, message)

    def _answer(self, voter: str, message: Message) -> None:
        """Send it once the record as it stands is on disk."""
        self.disk.once_written(lambda: self._send(voter, message))

    # ---- starting

    def _rejoin(self, voter: str, message: Rejoin) -> None:
        if self.rejoining is None:
            self.disk.record, answer = register.rejoin(self.disk.record, voter, message, VOTING, False)
            self._answer(voter, answer)
            return
        own = self.rejoining
        own.record, answer = register.rejoin(own.record, voter, message, own.standing, own.absent)
        if own.standing == BLANK:
            self._send(
                voter, answer
            )  # a record of nothing is not written: it would look whole after a restart
            return
        self.disk.record = own.record
        self._answer(voter, answer)

    def _rejoined(self, voter: str, message: Rejoined) -> None:
        own = self.rejoining
        if own is None:
            return
        done = own.answered(voter, message)
        if own.outlived:
            own.again(own.outlived + 1)
            for other, up in self.linked.items():
                if up:
                    self.actions.append(ToVoter(other, Rejoin(own.record.incarnation)))
        elif done is not None:
            self._voting(done)

    def _go_on_rejoining(self, own: Rejoining) -> None:
        """Ask those that may have more to tell; begin again where enough is known and the write of it failed."""
        for voter, up in self.linked.items():
            if up and not own.has_voting_answer(voter):
                self.actions.append(ToVoter(voter, Rejoin(own.record.incarnation)))
        known = own.done()
        if known is not None and self.disk.idle:
            self._voting(known)

    def _voting(self, record: Record) -> None:
        """Write what it knows, then vote; then learn what was chosen last, or begin the fleet."""
        own = self.rejoining
        self.disk.record = record

        def begin() -> None:
            if self.rejoining is not own:
                return
            self.rejoining = None
            self.proposer.highest_ballot = max(self.proposer.highest_ballot, record.promised)
            self.actions.append(LogLine("votes", {"incarnation": record.incarnation}))
            self._task(
                lambda state: state or found(self.fleet, self.policy), self._in_step, lambda rejected: None
            )

        self.disk.once_written(begin)

    def _in_step(self, state: State) -> None:
        """It has read the register since it started: from here on it grants leases."""
        self.in_step = True
        self.lease_table.restarted(self.now, state)
        self.driven = self.now
        self.actions.append(AnnounceRenewal())

    # ---- proposing

    def _task(
        self,
        change: Callable[[State | None], State],
        done: Callable[[State], None],
        rejected: Callable[[ProposalRejected], None],
    ) -> None:
        self.proposer.add(self.now, Task(change, done, rejected))

    def _chosen(self, state: State) -> None:
        """A state of its own was chosen: everybody is to know it."""
        for other, up in self.linked.items():
            if up:
                self.actions.append(ToVoter(other, Learn(state)))
        self._learn(state)

    def _learn(self, state: State) -> None:
        before = self.lease_table.state
        if not self.in_step or not self.lease_table.apply_state(self.now, state):
            return  # known already, or it is about to read the register itself
        self.driven = self.now
        if before is None or state.change != before.change or state.epoch != before.epoch:
            self.actions.append(AnnounceRenewal())
        drive = self.drive
        if drive is not None and (state.change is None or state.change.id != drive.change):
            self.drive = None
            ended = find_outcome(state, drive.change)
            if ended is not None:
                for operator in sorted(drive.operators):
                    self.actions.append(ToOperator(operator, Ended(ended)))

    # ---- driving

    def _not_proposed(self, operator: int, change: str, reason: str, busy: bool) -> None:
        self.actions.append(ToOperator(operator, NotProposed(change, reason, busy)))

    def _follow(self, operator: int, change: str) -> None:
        """It was proposed, or is known: tell how it ended, or take it further."""
        state = self.lease_table.state
        assert state is not None
        ended = find_outcome(state, change)
        if ended is not None:
            self.actions.append(ToOperator(operator, Ended(ended)))
        elif state.change is not None and state.change.id == change:
            if self.drive is None or self.drive.change != change:
                self.drive = Drive(change, self.now, self.voters)
            if operator in self.operators:
                self.drive.operators.add(operator)
            self._poll(self.drive)
        else:
            self._not_proposed(operator, change, "another change came first", True)

    def _poll(self, drive: Drive) -> None:
        self.polled = self.now
        state = self.lease_table.state
        if state is None or state.change is None or state.change.id != drive.change:
            self.drive = None
            return
        drive.survey_number += 1
        self.driven = self.now
        for voter, up in self.linked.items():
            if up:
                self.actions.append(ToVoter(voter, Survey(drive.change, state.version, drive.survey_number)))
        drive.answers[self.name] = self._survey(drive.change, drive.survey_number)
        self._decide(drive)

    def _surveyed_by(self, voter: str, survey: Survey) -> None:
        """The driver asks; whichever of both knows an older state is sent the newer one."""
        self.driven = self.now
        state = self.lease_table.state
        if state is not None and state.version > survey.version:
            self._send(voter, Learn(state))
        self.driver = voter
        self._send(voter, self._survey(survey.change, survey.number))

    def _survey_answered(self, voter: str, answer: Surveyed) -> None:
        state, drive = self.lease_table.state, self.drive
        if state is not None and answer.version < state.version:
            self._send(voter, Learn(state))
        if drive is not None and answer.change == drive.change:
            drive.answers[voter] = answer
            self._decide(drive)

    def _survey(self, change: str, number: int) -> Surveyed:
        state = self.lease_table.state
        version = state.version if state is not None else 0
        if state is None or state.change is None or state.change.id != change:
            # decided since, or not known yet
            return Surveyed(change, version, number, (), 0, (), False, False)
        found = self.lease_table.survey(self.now)
        return Surveyed(
            change,
            version,
            number,
            found.refusals,
            found.waiting,
            found.slowest,
            found.sealed,
            found.switched,
        )

    def _tell_driver(self) -> None:
        """Tell the driver at once when this voter's part of a stage is done, rather than at its next survey."""
        change = self.lease_table.change
        if change is None or self.told == (change.id, change.stage):
            return
        if not self.lease_table.stage_done(self.now):
            return
        self.told = (change.id, change.stage)
        answer = self._survey(change.id, 0)
        if self.drive is not None and self.drive.change == change.id:
            self._survey_answered(self.name, answer)
        elif self.linked.get(self.driver, False):
            self._send(self.driver, answer)

    def _decide(self, drive: Drive) -> None:
        change = self.lease_table.change
        if change is None or change.id != drive.change or drive.step_in_flight:
            return
        step = drive.next_step(self.now, change)
        match step:
            case Step(StepKind.SETTLE):
                self._step(drive, lambda state: settle(state, change.id))
            case Step(StepKind.AGREE):
                self._step(drive, lambda state: agree(state, change.id))
            case Step(StepKind.ABORT, reasons):
                self._step(drive, lambda state: abort(state, change.id, reasons))
        if drive.operators:
            progress = Progress(change.id, change.stage, tuple(drive.waiting()))
            for operator in sorted(drive.operators):
                self.actions.append(ToOperator(operator, progress))

    def _step(self, drive: Drive, step: Callable[[State], State]) -> None:
        drive.step_in_flight = True

        def change(state: State | None) -> State:
            if state is None:
                raise ProposalRejected("this fleet has no policy")
            return step(state)

        def done(state: State) -> None:
            drive.step_in_flight = False

        def rejected(fault: ProposalRejected) -> None:
            drive.step_in_flight = False

        self._task(change, done, rejected)

    def _out(self) -> list[Action]:
        done = list(self.actions)
        self.actions.clear()  # the disk's record appends to this very list
        return done
