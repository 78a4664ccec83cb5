"""Driving a change from one stage to the next, by the voters' answers to surveys. Pure.

| stage | the voters' answers | step |
| --- | --- | --- |
| checking | a holder refuses, and nobody is waited for or `REFUSAL_GRACE_SECONDS` passed | abort, with all reasons |
| checking | a majority is sealed | agree; a dry run is ended as fine |
| checking | the change's `patience` is over | abort, naming the holders that have not answered |
| agreed | a majority has switched | settle |

Two voters may drive one change at the same time without harm: each step is a compare-and-set of the register.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

from banklift.fleet.messages import Holder, Surveyed
from banklift.fleet.register import majority
from banklift.fleet.state import Change, Stage

REFUSAL_GRACE_SECONDS = 1.0  # after the first refusal, for further refusals to be reported with it
NO_ANSWER_REASON = "no answer in time"


class StepKind(StrEnum):
    """The transition of the change to commit to the register (state.py)."""

    AGREE = "agree"
    ABORT = "abort"
    SETTLE = "settle"


@dataclass(frozen=True, slots=True)
class Step:
    """The transition to commit next. `reasons`: of an abort; empty for a dry run that found nothing."""

    kind: StepKind
    reasons: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Drive:
    """A change that this voter drives, with what the voters have answered so far."""

    change: str  # its id
    started_at: float  # seconds on the voter's own clock
    voters: tuple[str, ...]
    operators: set[int] = field(default_factory=set)  # links of operators that follow the change
    answers: dict[str, Surveyed] = field(default_factory=dict)  # the newest of each voter
    survey_number: int = 0  # of the newest survey
    first_refusal_at: float = math.inf
    step_in_flight: bool = False  # a compare-and-set of the register is under way

    def next_step(self, now: float, change: Change) -> Step | None:
        """The step that the answers call for; None while there is nothing to do but wait."""
        quorum, answers = majority(len(self.voters)), self.answers.values()
        if change.stage is Stage.AGREED:
            switched = sum(answer.switched for answer in answers)
            return Step(StepKind.SETTLE) if switched >= quorum else None
        refusals = self._refusals()
        if refusals:
            return self._abort_refused(now, refusals)
        if sum(answer.sealed for answer in answers) >= quorum:
            return Step(StepKind.ABORT if change.dry else StepKind.AGREE)
        if now >= self.started_at + change.patience:
            return Step(StepKind.ABORT, tuple(self.waiting()) or (NO_ANSWER_REASON,))
        return None

    def waiting(self) -> list[str]:
        """Who has not answered yet, one line of text for operators each."""
        lines = [f"voter {name} has not answered" for name in self.voters if name not in self.answers]
        slowest = self._slowest_holders()
        for name, holder in sorted(slowest.items()):
            if holder.summary is not None and holder.summary.slowest:
                lines += [f"{line} (at {name})" for line in holder.summary.slowest]
                continue
            silence, left = f"{holder.heard:.1f} s", f"{holder.left:.1f} s"
            lines.append(f"{name} has not answered for {silence}; its lease ends in {left}")
        unnamed = max((answer.waiting for answer in self.answers.values()), default=0) - len(slowest)
        if unnamed > 0:
            lines.append(f"{unnamed} more have not answered")
        return lines

    def _slowest_holders(self) -> dict[str, Holder]:
        """The holders that voters name as slow, each as described by the voter that heard from it last."""
        slowest: dict[str, Holder] = {}
        for answer in self.answers.values():
            for holder in answer.slowest:
                known = slowest.get(holder.name)
                if known is None or holder.heard < known.heard:
                    slowest[holder.name] = holder
        return slowest

    def _refusals(self) -> dict[str, Holder]:
        """The holders that refuse the change, by name."""
        return {holder.name: holder for answer in self.answers.values() for holder in answer.refusals}

    def _abort_refused(self, now: float, refusals: dict[str, Holder]) -> Step | None:
        """Abort with all reasons, once nobody is waited for or the grace time is over."""
        self.first_refusal_at = min(self.first_refusal_at, now)
        unanswered = sum(answer.waiting for answer in self.answers.values())
        if unanswered and now < self.first_refusal_at + REFUSAL_GRACE_SECONDS:
            return None
        reasons: list[str] = []
        for name, holder in sorted(refusals.items()):
            # An aggregator's reasons name its routers already.
            prefix = "" if holder.summary is not None else f"{name}: "
            reasons += [f"{prefix}{reason}" for reason in holder.verdict or ()]
        return Step(StepKind.ABORT, tuple(reasons))
