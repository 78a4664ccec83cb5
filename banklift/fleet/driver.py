"""Driving a change from one stage to the next, by what voters answer to surveys. Pure.

| stage | what voters answer | step |
| --- | --- | --- |
| checking | somebody refuses, and all have answered or `GRACE` passed | abort, with all reasons |
| checking | a majority is sealed | agree; of a dry run: end it as fine |
| checking | `patience` is over | abort, with those for whom it waited |
| agreed | a majority has switched | settle |

Two voters that drive at once do no harm: each step is a compare-and-set of the register.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

from banklift.fleet.messages import Holder, Surveyed
from banklift.fleet.register import majority
from banklift.fleet.state import Change, Stage

GRACE = 1.0  # seconds after the first refusal in which others may still be told of
NO_ANSWER = "no answer in time"


class StepKind(StrEnum):
    """What is to be done with the change in the register."""

    AGREE = "agree"
    ABORT = "abort"
    SETTLE = "settle"


@dataclass(frozen=True, slots=True)
class Step:
    """`reasons`: of an abort; none of a dry run that went well."""

    kind: StepKind
    reasons: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Drive:
    """A change that this voter takes further."""

    change: str
    since: float
    voters: tuple[str, ...]
    operators: set[int] = field(default_factory=set)
    answers: dict[str, Surveyed] = field(default_factory=dict)
    number: int = 0  # of the newest survey
    first_refusal: float = math.inf  # when it was seen
    deciding: bool = False  # a compare-and-set is under way

    def next_step(self, now: float, change: Change) -> Step | None:
        """What the answers call for; None: wait."""
        quorum, answers = majority(len(self.voters)), self.answers.values()
        if change.stage is Stage.AGREED:
            switched = sum(one.switched for one in answers)
            return Step(StepKind.SETTLE) if switched >= quorum else None
        refusals = self._refusals()
        if refusals:
            return self._abort_refused(now, refusals)
        if sum(one.sealed for one in answers) >= quorum:
            return Step(StepKind.ABORT if change.dry else StepKind.AGREE)
        if now >= self.since + change.patience:
            return Step(StepKind.ABORT, tuple(self.waiting()) or (NO_ANSWER,))
        return None

    def waiting(self) -> list[str]:
        """For whom the change waits, and why, in words."""
        found = [f"voter {name} has not answered" for name in self.voters if name not in self.answers]
        slowest = self._slowest()
        for name, holder in sorted(slowest.items()):
            if holder.summary is not None and holder.summary.slowest:
                found += [f"{line} (at {name})" for line in holder.summary.slowest]
                continue
            silence, left = f"{holder.heard:.1f} s", f"{holder.left:.1f} s"
            found.append(f"{name} has not answered for {silence}; its lease ends in {left}")
        unnamed = max((one.waiting for one in self.answers.values()), default=0) - len(slowest)
        if unnamed > 0:
            found.append(f"{unnamed} more have not answered")
        return found

    def _slowest(self) -> dict[str, Holder]:
        """By name, as the voter knows it that heard of it last."""
        found: dict[str, Holder] = {}
        for answer in self.answers.values():
            for holder in answer.slowest:
                known = found.get(holder.name)
                if known is None or holder.heard < known.heard:
                    found[holder.name] = holder
        return found

    def _refusals(self) -> dict[str, Holder]:
        return {holder.name: holder for answer in self.answers.values() for holder in answer.refusals}

    def _abort_refused(self, now: float, refusals: dict[str, Holder]) -> Step | None:
        self.first_refusal = min(self.first_refusal, now)
        unanswered = sum(one.waiting for one in self.answers.values())
        if unanswered and now < self.first_refusal + GRACE:
            return None
        reasons: list[str] = []
        for name, holder in sorted(refusals.items()):
            prefix = "" if holder.summary is not None else f"{name}: "  # an aggregator names its routers
            reasons += [f"{prefix}{reason}" for reason in holder.verdict or ()]
        return Step(StepKind.ABORT, tuple(reasons))
