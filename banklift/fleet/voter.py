"""A voter: an acceptor of the register, a table of granted leases, and the changes that it drives. Pure.

Events are methods that take the time on the voter's own clock, in seconds, and return the actions to carry out.

Durability. What has to be on disk before a message may leave is written with the action `Save`; the message waits until
`saved` reports success. Messages that come up while a write is under way wait together for the next one. A write that
fails drops the messages that waited for it: their receivers hear nothing, as from a voter that is down, and the voter
retries the disk later.

| standing | event | next |
| --- | --- | --- |
| rejoining | enough other voters have reported what it may have promised (register.py) | voting, once that is written |
| voting | it has read the register | in step: it grants leases |
| any of these | a write fails | the same, but silent until a write succeeds |

Driving a change. The voter that an operator asked drives the change. If that voter falls silent, any other one takes
over after a random delay. Two voters may drive one change without harm, as every step is a compare-and-set of the
register. The driver surveys all voters:

- checking: a majority is sealed (lease_table.py): `agree`; a holder refused, or `patience` is over: `abort`;
- agreed: a majority has switched to the new epoch: `settle`.
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
    initial_state,
    propose,
    settle,
)

SURVEY_INTERVAL_SECONDS = 0.1  # while this voter drives a change
REJOIN_INTERVAL_SECONDS = 0.3  # between requests of a voter that does not vote yet
TAKEOVER_LEASE_FRACTION = 1 / 4  # of a lease: shortest silence of the driver before another takes over


@dataclass(frozen=True, slots=True)
class ToVoter:
    """Send a message to another voter."""

    voter: str
    message: Message


@dataclass(frozen=True, slots=True)
class ToOperator:
    """Send a message to an operator."""

    operator: int  # number of its link
    message: Message


@dataclass(frozen=True, slots=True)
class AnnounceRenewal:
    """Ask every linked router and aggregator to renew its lease now."""


Action = ToVoter | ToOperator | Save | AnnounceRenewal | LogLine


class Voter:
    """One voter of a fleet.

    `lease`: seconds that a grant holds. `drift`: how far two clocks may differ in rate, as a fraction. `policy`: the
    first one of a fleet that begins now. `record`: what the disk held, None if that was nothing or damaged. `absent`:
    the folder never held a record. `incarnation`: raised above the record's if it is not higher already.
    """

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
            incarnations=register.merge_incarnations(base.incarnations, {name: incarnation}),
        )
        self.disk = DurableRecord(base, self.actions.append)
        self.proposer = Proposer(name, voters, random, self._broadcast, self._handle_chosen)
        self.rejoining: Rejoining | None = Rejoining(base, voters, record is not None, absent)
        self.has_read_register = False  # has read the register since it started, and grants leases
        self.lease_table = LeaseTable(lease, drift)
        self.linked: dict[str, bool] = {other: False for other in voters if other != name}
        self.operators: set[int] = set()  # links of operators that are connected
        self.driver = ""  # the voter that surveyed last
        # Change and stage of which the driver was notified that this voter's part is done.
        self.notified_stage = ("", "")
        self.drive: Drive | None = None  # the change that this voter drives
        self.last_driven_at = -math.inf  # when any voter was last seen to drive the change
        self.takeover_delay = TAKEOVER_LEASE_FRACTION * lease * random.uniform(1.0, 2.0)
        self.last_survey_at = -math.inf
        self.rejoin_at = -math.inf  # when `Rejoin` is sent next
        self.now = 0.0

    # ---- events

    def start(self, now: float) -> list[Action]:
        """The process has started."""
        self.now = now
        assert self.rejoining is not None
        if (record := self.rejoining.recovered_record()) is not None:  # the only voter of its fleet
            self._start_voting(record)
        return self._take_actions()

    def link(self, now: float, voter: str, up: bool) -> list[Action]:
        """The link to another voter is up, or gone."""
        self.now = now
        self.linked[voter] = up
        if up and self.rejoining is not None:
            self.actions.append(ToVoter(voter, Rejoin(self.rejoining.record.incarnation)))
        if up and self.lease_table.state is not None:
            self.actions.append(ToVoter(voter, Learn(self.lease_table.state)))
        return self._take_actions()

    def operator(self, now: float, operator: int, up: bool) -> list[Action]:
        """An operator's link is up, or gone."""
        self.now = now
        if up:
            self.operators.add(operator)
        else:
            self.operators.discard(operator)
            if self.drive is not None:
                self.drive.operators.discard(operator)
        return self._take_actions()

    def message(self, now: float, voter: str, message: Message) -> list[Action]:
        """A message came from another voter."""
        self.now = now
        self._dispatch(voter, message)
        return self._take_actions()

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        """The write of that number has succeeded, or failed with `error` (empty on success)."""
        self.now = now
        self.disk.saved(now, number, error)
        return self._take_actions()

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest
    ) -> tuple[LeaseGrant | None, list[Action]]:
        """A holder asks for a lease. Returns the answer, if there is one to send now, and the actions."""
        self.now = now
        if self.rejoining is not None:
            reason = f"this voter does not vote: {self.rejoining.waiting()}"
            return self.lease_table.refuse(request, reason), self._take_actions()
        switch_at = self.lease_table.switch_at
        grant = self.lease_table.request(now, name, incarnation, request)
        if self.lease_table.switch_at != switch_at:
            self.actions.append(AnnounceRenewal())  # holders can now learn when the next epoch begins
        self._notify_driver()
        return grant, self._take_actions()

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> list[Action]:
        """A holder gives its leases back, up to the grant that `release` names."""
        self.now = now
        self.lease_table.release(now, name, incarnation, release)
        self._notify_driver()
        return self._take_actions()

    def set(self, now: float, operator: int, wanted: Set) -> list[Action]:
        """An operator proposes a change, or asks for the outcome of one that it proposed before."""
        self.now = now
        if self.rejoining is not None:
            self._not_proposed(
                operator, wanted.change, f"voter {self.name} does not vote: {self.rejoining.waiting()}", True
            )
            return self._take_actions()

        def change(state: State | None) -> State:
            if state is None:
                raise ProposalRejected("this fleet has no policy yet", busy=True)
            return propose(state, wanted.change, wanted.policy, self.name, wanted.patience, wanted.dry)

        self._propose_change(
            change,
            lambda state: self._report_or_drive(operator, wanted.change),
            lambda rejected: self._not_proposed(operator, wanted.change, str(rejected), rejected.busy),
        )
        return self._take_actions()

    def show(self, now: float) -> Shown:
        """The state, the holders and the troubles of this voter, for an operator."""
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
        """What is wrong with this voter, its disk or its links to other voters."""
        troubles = [Trouble(name, "no link") for name, up in self.linked.items() if not up]
        if self.rejoining is not None:
            troubles.append(Trouble(self.name, f"does not vote: {self.rejoining.waiting()}"))
        if self.disk.fault:
            troubles.append(Trouble(self.name, f"disk: {self.disk.fault}"))
        return troubles

    def wake(self, now: float) -> list[Action]:
        """`due` has come: run the timers that are over."""
        self.now = now
        if self.rejoining is not None and now >= self.rejoin_at:
            self.rejoin_at = now + REJOIN_INTERVAL_SECONDS * self.random.uniform(0.8, 1.2)
            self._continue_rejoining(self.rejoining)
        self.disk.wake(now)
        self.proposer.wake(now)
        granting, switch_at = self.lease_table.granting_epoch, self.lease_table.switch_at
        self.lease_table.tick(now)
        if self.lease_table.granting_epoch != granting or self.lease_table.switch_at != switch_at:
            self.actions.append(AnnounceRenewal())
        self._notify_driver()
        change = self.lease_table.change
        if (
            self.rejoining is None
            and change is not None
            and self.drive is None
            and now - self.last_driven_at >= self.takeover_delay
        ):
            self.drive = Drive(change.id, now, self.voters)
        if self.drive is not None and now >= self.last_survey_at + SURVEY_INTERVAL_SECONDS:
            self._survey_voters(self.drive)
        return self._take_actions()

    def due(self, now: float) -> float:
        """When `wake` has something to do."""
        times = [self.proposer.deadline, self.disk.retry_at, self.lease_table.due(now)]
        if self.rejoining is not None:
            times.append(self.rejoin_at)
        if self.drive is not None:
            times.append(self.last_survey_at + SURVEY_INTERVAL_SECONDS)
        elif self.lease_table.change is not None:
            times.append(self.last_driven_at + self.takeover_delay)
        return min(times)

    # ---- between voters

    def _dispatch(self, voter: str, message: Message) -> None:
        """Handle a message from any voter, this one among them."""
        match message:
            case Rejoin():
                self._handle_rejoin(voter, message)
            case Rejoined():
                self._handle_rejoined(voter, message)
            case Learn(state):
                self._apply_state(state)
            case _ if self.rejoining is not None:
                return  # a rejoining voter neither votes nor proposes; answers to an earlier incarnation are void
            case Prepare():
                self.disk.record, prepare_answer = register.prepare(self.disk.record, message)
                self._send_when_written(voter, prepare_answer)
            case Accept():
                self.disk.record, accept_answer = register.accept(self.disk.record, message)
                self._send_when_written(voter, accept_answer)
            case Promise() | Accepted() | Nack():
                self.proposer.message(self.now, voter, message)
            case Survey():
                self._handle_survey(voter, message)
            case Surveyed():
                self._handle_survey_answer(voter, message)

    def _send(self, voter: str, message: Message) -> None:
        """Send to a voter; a message to this one is handled at once."""
        if voter == self.name:
            self._dispatch(voter, message)
        else:
            self.actions.append(ToVoter(voter, message))

    def _broadcast(self, message: Message) -> None:
        """Send to all voters, this one among them."""
        for voter in self.voters:
            self._send(voter, message)

    def _send_when_written(self, voter: str, message: Message) -> None:
        """Send a message once the current record is on disk."""
        self.disk.once_written(lambda: self._send(voter, message))

    # ---- starting

    def _handle_rejoin(self, voter: str, message: Rejoin) -> None:
        """Answer a voter that rejoins."""
        if self.rejoining is None:
            self.disk.record, answer = register.rejoin(self.disk.record, voter, message, VOTING, False)
            self._send_when_written(voter, answer)
            return
        own = self.rejoining
        own.record, answer = register.rejoin(own.record, voter, message, own.standing, own.absent)
        if own.standing == BLANK:
            # A blank record is not written: it would look whole after a restart.
            self._send(voter, answer)
            return
        self.disk.record = own.record
        self._send_when_written(voter, answer)

    def _handle_rejoined(self, voter: str, message: Rejoined) -> None:
        """Handle an answer to its own `Rejoin`: start to vote, or rejoin under a newer incarnation."""
        own = self.rejoining
        if own is None:
            return
        record = own.handle_answer(voter, message)
        if own.newer_incarnation:
            own.restart(own.newer_incarnation + 1)
            for other, up in self.linked.items():
                if up:
                    self.actions.append(ToVoter(other, Rejoin(own.record.incarnation)))
        elif record is not None:
            self._start_voting(record)

    def _continue_rejoining(self, own: Rejoining) -> None:
        """Ask voters that may know more by now; retry the start of voting if the write before it failed."""
        for voter, up in self.linked.items():
            if up and not own.has_voting_answer(voter):
                self.actions.append(ToVoter(voter, Rejoin(own.record.incarnation)))
        record = own.recovered_record()
        if record is not None and self.disk.idle:
            self._start_voting(record)

    def _start_voting(self, record: Record) -> None:
        """Write the recovered record, then vote; then read the register, which begins the fleet if it is empty."""
        own = self.rejoining
        self.disk.record = record

        def begin() -> None:
            if self.rejoining is not own:
                return
            self.rejoining = None
            self.proposer.highest_ballot = max(self.proposer.highest_ballot, record.promised)
            self.actions.append(LogLine("votes", {"incarnation": record.incarnation}))
            self._propose_change(
                lambda state: state or initial_state(self.fleet, self.policy),
                self._handle_register_read,
                lambda rejected: None,
            )

        self.disk.once_written(begin)

    def _handle_register_read(self, state: State) -> None:
        """The register was read for the first time since the start: grant leases from here on."""
        self.has_read_register = True
        self.lease_table.restarted(self.now, state)
        self.last_driven_at = self.now
        self.actions.append(AnnounceRenewal())

    # ---- proposing

    def _propose_change(
        self,
        change: Callable[[State | None], State],
        on_chosen: Callable[[State], None],
        on_rejected: Callable[[ProposalRejected], None],
    ) -> None:
        """Propose a change of the register; one of the callbacks is called at its end."""
        self.proposer.add(self.now, Task(change, on_chosen, on_rejected))

    def _handle_chosen(self, state: State) -> None:
        """A state that this voter proposed was chosen: send it to all voters, and apply it."""
        for other, up in self.linked.items():
            if up:
                self.actions.append(ToVoter(other, Learn(state)))
        self._apply_state(state)

    def _apply_state(self, state: State) -> None:
        """Apply a chosen state, and report the end of the change that this voter drives."""
        before = self.lease_table.state
        if not self.has_read_register or not self.lease_table.apply_state(self.now, state):
            return  # the state is known already, or this voter is about to read the register itself
        self.last_driven_at = self.now
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
        """Tell an operator that its change was not proposed."""
        self.actions.append(ToOperator(operator, NotProposed(change, reason, busy)))

    def _report_or_drive(self, operator: int, change: str) -> None:
        """A change was proposed, or is known: report its outcome to the operator, or drive it."""
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
            self._survey_voters(self.drive)
        else:
            self._not_proposed(operator, change, "another change came first", True)

    def _survey_voters(self, drive: Drive) -> None:
        """Survey all voters on the driven change."""
        self.last_survey_at = self.now
        state = self.lease_table.state
        if state is None or state.change is None or state.change.id != drive.change:
            self.drive = None
            return
        drive.survey_number += 1
        self.last_driven_at = self.now
        for voter, up in self.linked.items():
            if up:
                self.actions.append(ToVoter(voter, Survey(drive.change, state.version, drive.survey_number)))
        drive.answers[self.name] = self._survey_answer(drive.change, drive.survey_number)
        self._decide(drive)

    def _handle_survey(self, voter: str, survey: Survey) -> None:
        """Answer the driver's survey; a driver that knows an older state is sent the newer one first."""
        self.last_driven_at = self.now
        state = self.lease_table.state
        if state is not None and state.version > survey.version:
            self._send(voter, Learn(state))
        self.driver = voter
        self._send(voter, self._survey_answer(survey.change, survey.number))

    def _handle_survey_answer(self, voter: str, answer: Surveyed) -> None:
        """Handle an answer to a survey; a voter that knows an older state is sent the newer one."""
        state, drive = self.lease_table.state, self.drive
        if state is not None and answer.version < state.version:
            self._send(voter, Learn(state))
        if drive is not None and answer.change == drive.change:
            drive.answers[voter] = answer
            self._decide(drive)

    def _survey_answer(self, change: str, number: int) -> Surveyed:
        """This voter's answer to a survey."""
        state = self.lease_table.state
        version = state.version if state is not None else 0
        if state is None or state.change is None or state.change.id != change:
            # The change has ended, or this voter does not know it yet.
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

    def _notify_driver(self) -> None:
        """Tell the driver as soon as this voter's part of a stage is done, rather than at the next survey."""
        change = self.lease_table.change
        if change is None or self.notified_stage == (change.id, change.stage):
            return
        if not self.lease_table.stage_done(self.now):
            return
        self.notified_stage = (change.id, change.stage)
        answer = self._survey_answer(change.id, 0)
        if self.drive is not None and self.drive.change == change.id:
            self._handle_survey_answer(self.name, answer)
        elif self.linked.get(self.driver, False):
            self._send(self.driver, answer)

    def _decide(self, drive: Drive) -> None:
        """Commit the step that the answers call for, and report progress to operators."""
        change = self.lease_table.change
        if change is None or change.id != drive.change or drive.step_in_flight:
            return
        step = drive.next_step(self.now, change)
        match step:
            case Step(StepKind.SETTLE):
                self._commit_step(drive, lambda state: settle(state, change.id))
            case Step(StepKind.AGREE):
                self._commit_step(drive, lambda state: agree(state, change.id))
            case Step(StepKind.ABORT, reasons):
                self._commit_step(drive, lambda state: abort(state, change.id, reasons))
        if drive.operators:
            progress = Progress(change.id, change.stage, tuple(drive.waiting()))
            for operator in sorted(drive.operators):
                self.actions.append(ToOperator(operator, progress))

    def _commit_step(self, drive: Drive, step: Callable[[State], State]) -> None:
        """Commit a transition of the driven change to the register."""
        drive.step_in_flight = True

        def change(state: State | None) -> State:
            if state is None:
                raise ProposalRejected("this fleet has no policy")
            return step(state)

        def on_chosen(state: State) -> None:
            drive.step_in_flight = False

        def on_rejected(reason: ProposalRejected) -> None:
            drive.step_in_flight = False

        self._propose_change(change, on_chosen, on_rejected)

    def _take_actions(self) -> list[Action]:
        """The actions of this event; clears the list of them."""
        taken = list(self.actions)
        self.actions.clear()  # the same list stays in use: `DurableRecord` appends to it
        return taken
