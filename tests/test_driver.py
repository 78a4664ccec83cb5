"""What a voter does next with a change, by what voters answer; and what has to be on disk first."""

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


def answered(
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


SEALED, SWITCHED = answered(sealed=True), answered(switched=True)


@pytest.mark.parametrize(
    ("change", "answers", "step"),
    [
        (CHECKING, {"v0": SEALED}, None),
        (CHECKING, {"v0": SEALED, "v1": SEALED}, Step(StepKind.AGREE)),
        (DRY, {"v0": SEALED, "v1": SEALED}, Step(StepKind.ABORT)),
        (AGREED, {"v0": SWITCHED, "v1": SEALED}, None),
        (AGREED, {"v0": SWITCHED, "v2": SWITCHED}, Step(StepKind.SETTLE)),
    ],
)
def test_a_majority_takes_it_further(change: Change, answers: dict[str, Surveyed], step: Step | None) -> None:
    assert drive(**answers).next_step(100.1, change) == step


def test_a_refusal_goes_before_a_majority_that_is_sealed() -> None:
    refused = answered(refusals=(holder("r7", ("$.x: no",)),))
    found = drive(v0=SEALED, v1=SEALED, v2=refused).next_step(100.1, CHECKING)
    assert found == Step(StepKind.ABORT, ("r7: $.x: no",))


def test_a_refusal_waits_for_others_a_while() -> None:
    refused = answered(refusals=(holder("r7", ("no",)),), waiting=1)
    one = drive(v0=refused)
    assert one.next_step(100.1, CHECKING) is None
    assert one.next_step(100.1 + REFUSAL_GRACE_SECONDS, CHECKING) == Step(StepKind.ABORT, ("r7: no",))


def test_an_aggregator_names_the_routers_that_refuse() -> None:
    refused = answered(refusals=(holder("a0", ("r7: no", "r8: no"), Summary(9, 0, 2)),))
    assert drive(v0=refused).next_step(100.1, CHECKING) == Step(StepKind.ABORT, ("r7: no", "r8: no"))


def test_what_is_agreed_is_never_aborted() -> None:
    refused = answered(refusals=(holder("r7", ("no",)),))
    assert drive(v0=refused).next_step(100.0 + 2 * PATIENCE, AGREED) is None


def test_patience_that_is_over_names_for_whom_it_waited() -> None:
    slowest = (holder("a0", summary=Summary(9, 1, 0, ("r3 has not answered",))), holder("r4"))
    one = drive(v0=answered(waiting=5, slowest=slowest), v1=answered(), v2=answered())
    assert one.next_step(100.0 + PATIENCE - 0.1, CHECKING) is None
    assert one.next_step(100.0 + PATIENCE, CHECKING) == Step(
        StepKind.ABORT,
        (
            "r3 has not answered (at a0)",
            "r4 has not answered for 0.5 s; its lease ends in 2.0 s",
            "3 more have not answered",
        ),
    )
    silent = drive(v0=answered(), v1=answered(), v2=answered())
    assert silent.next_step(100.0 + PATIENCE, CHECKING) == Step(StepKind.ABORT, (NO_ANSWER_REASON,))


class Disk:
    """A record, and what it asks for."""

    def __init__(self) -> None:
        self.asked: list[Save | LogLine] = []
        self.made: list[str] = []
        self.record = DurableRecord(Record("fleet", "v0", 1), self.asked.append)

    def wait(self, name: str) -> None:
        self.record.once_written(lambda: self.made.append(name))

    @property
    def saves(self) -> list[int]:
        return [one.number for one in self.asked if isinstance(one, Save)]


def test_calls_wait_for_the_write_that_holds_what_they_need() -> None:
    disk = Disk()
    disk.wait("first")
    disk.wait("second")
    disk.wait("third")
    assert disk.saves == [1] and disk.made == []
    disk.record.saved(0.0, 1, "")
    assert disk.made == ["first"] and disk.saves == [1, 2]  # the others came while it was written
    disk.record.saved(0.0, 1, "")  # doubled
    assert disk.made == ["first"]
    disk.record.saved(0.0, 2, "")
    assert disk.made == ["first", "second", "third"]
    disk.wait("fourth")  # nothing has changed since
    assert disk.made[-1] == "fourth" and disk.saves == [1, 2]


def test_a_write_that_fails_takes_its_calls_with_it_and_is_tried_again() -> None:
    disk = Disk()
    disk.wait("first")
    disk.wait("second")
    disk.record.saved(5.0, 1, "EIO")
    disk.record.wake(5.0 + DISK_RETRY_SECONDS - 0.1)
    assert disk.saves == [1]
    disk.record.wake(5.0 + DISK_RETRY_SECONDS)
    disk.record.saved(7.0, 2, "")
    assert disk.made == [] and disk.record.idle
    assert [one.event for one in disk.asked if isinstance(one, LogLine)] == [
        "disk in trouble, this voter is silent",
        "disk written again",
    ]
