"""The driver's next step by the answers of the voters, and calls that wait for a record to be on disk."""

from __future__ import annotations

import pytest

from banklift.fleet.actions import LogLine
from banklift.fleet.driver import NO_ANSWER_REASON, REFUSAL_GRACE_SECONDS, Drive, Step, StepKind
from banklift.fleet.durable import DISK_RETRY_SECONDS, DurableRecord, Save
from banklift.fleet.messages import Holder, Summary, Surveyed
from banklift.fleet.register import Record
from banklift.fleet.state import Change, Stage

VOTERS = ("v0", "v1", "v2")
PATIENCE = 8.0
CHECKING = Change("1-x", b"second", 2, "v0", PATIENCE)
DRY = Change("1-x", b"second", 2, "v0", PATIENCE, dry=True)
AGREED = Change("1-x", b"second", 2, "v0", PATIENCE, stage=Stage.AGREED)


def survey_answer(
    refusals: tuple[Holder, ...] = (),
    waiting: int = 0,
    slowest: tuple[Holder, ...] = (),
    sealed: bool = False,
    switched: bool = False,
) -> Surveyed:
    return Surveyed("1-x", 2, 1, refusals, waiting, slowest, sealed, switched)


def holder(name: str, verdict: tuple[str, ...] | None = None, summary: Summary | None = None) -> Holder:
    return Holder(name, 1, 1, verdict, 0.5, 2.0, summary)


def drive(**answers: Surveyed) -> Drive:
    return Drive("1-x", 100.0, VOTERS, answers=dict(answers))


SEALED_ANSWER, SWITCHED_ANSWER = survey_answer(sealed=True), survey_answer(switched=True)


@pytest.mark.parametrize(
    ("change", "answers", "step"),
    [
        (CHECKING, {"v0": SEALED_ANSWER}, None),
        (CHECKING, {"v0": SEALED_ANSWER, "v1": SEALED_ANSWER}, Step(StepKind.AGREE)),
        (DRY, {"v0": SEALED_ANSWER, "v1": SEALED_ANSWER}, Step(StepKind.ABORT)),
        (AGREED, {"v0": SWITCHED_ANSWER, "v1": SEALED_ANSWER}, None),
        (AGREED, {"v0": SWITCHED_ANSWER, "v2": SWITCHED_ANSWER}, Step(StepKind.SETTLE)),
    ],
)
def test_a_majority_leads_to_the_next_step(
    change: Change, answers: dict[str, Surveyed], step: Step | None
) -> None:
    assert drive(**answers).next_step(100.1, change) == step


def test_a_refusal_takes_precedence_over_a_sealed_majority() -> None:
    refused = survey_answer(refusals=(holder("r7", ("$.x: no",)),))
    step = drive(v0=SEALED_ANSWER, v1=SEALED_ANSWER, v2=refused).next_step(100.1, CHECKING)
    assert step == Step(StepKind.ABORT, ("r7: $.x: no",))


def test_a_refusal_waits_for_further_refusals_during_the_grace_time() -> None:
    refused = survey_answer(refusals=(holder("r7", ("no",)),), waiting=1)
    refused_drive = drive(v0=refused)
    assert refused_drive.next_step(100.1, CHECKING) is None
    assert refused_drive.next_step(100.1 + REFUSAL_GRACE_SECONDS, CHECKING) == Step(
        StepKind.ABORT, ("r7: no",)
    )


def test_an_aggregator_names_the_routers_that_refuse() -> None:
    refused = survey_answer(refusals=(holder("a0", ("r7: no", "r8: no"), Summary(9, 0, 2)),))
    assert drive(v0=refused).next_step(100.1, CHECKING) == Step(StepKind.ABORT, ("r7: no", "r8: no"))


def test_an_agreed_change_is_never_aborted() -> None:
    refused = survey_answer(refusals=(holder("r7", ("no",)),))
    assert drive(v0=refused).next_step(100.0 + 2 * PATIENCE, AGREED) is None


def test_an_abort_after_the_patience_names_the_holders_waited_for() -> None:
    slowest = (holder("a0", summary=Summary(9, 1, 0, ("r3 has not answered",))), holder("r4"))
    waiting_drive = drive(
        v0=survey_answer(waiting=5, slowest=slowest), v1=survey_answer(), v2=survey_answer()
    )
    assert waiting_drive.next_step(100.0 + PATIENCE - 0.1, CHECKING) is None
    assert waiting_drive.next_step(100.0 + PATIENCE, CHECKING) == Step(
        StepKind.ABORT,
        (
            "r3 has not answered (at a0)",
            "r4 has not answered for 0.5 s; its lease ends in 2.0 s",
            "3 more have not answered",
        ),
    )
    silent = drive(v0=survey_answer(), v1=survey_answer(), v2=survey_answer())
    assert silent.next_step(100.0 + PATIENCE, CHECKING) == Step(StepKind.ABORT, (NO_ANSWER_REASON,))


class Disk:
    """A durable record, the actions that it asks for, and the names of the calls that it has made."""

    def __init__(self) -> None:
        self.actions: list[Save | LogLine] = []
        self.calls_made: list[str] = []
        self.record = DurableRecord(Record("fleet", "v0", 1), self.actions.append)

    def call_once_written(self, name: str) -> None:
        self.record.once_written(lambda: self.calls_made.append(name))

    @property
    def saves(self) -> list[int]:
        return [action.number for action in self.actions if isinstance(action, Save)]


def test_calls_wait_for_the_write_of_the_record_they_need() -> None:
    disk = Disk()
    disk.call_once_written("first")
    disk.call_once_written("second")
    disk.call_once_written("third")
    assert disk.saves == [1] and disk.calls_made == []
    disk.record.saved(0.0, 1, "")
    assert disk.calls_made == ["first"] and disk.saves == [1, 2]  # the other calls came during the write
    disk.record.saved(0.0, 1, "")  # a duplicate
    assert disk.calls_made == ["first"]
    disk.record.saved(0.0, 2, "")
    assert disk.calls_made == ["first", "second", "third"]
    disk.call_once_written("fourth")  # the record is on disk already
    assert disk.calls_made[-1] == "fourth" and disk.saves == [1, 2]


def test_a_failed_write_drops_its_calls_and_is_retried() -> None:
    disk = Disk()
    disk.call_once_written("first")
    disk.call_once_written("second")
    disk.record.saved(5.0, 1, "EIO")
    disk.record.wake(5.0 + DISK_RETRY_SECONDS - 0.1)
    assert disk.saves == [1]
    disk.record.wake(5.0 + DISK_RETRY_SECONDS)
    disk.record.saved(7.0, 2, "")
    assert disk.calls_made == [] and disk.record.idle
    assert [action.event for action in disk.actions if isinstance(action, LogLine)] == [
        "disk in trouble, this voter is silent",
        "disk written again",
    ]
