"""The result of judging a trace: violations of the five rules, and tallies of each class of requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from banklift.judge.trace import Entry


@dataclass(frozen=True, slots=True)
class Violation:
    """One breach of a rule."""

    rule: int  # 1 to 5, as rules.py numbers them
    reason: str
    at: float  # seconds since the start of the day
    rid: str  # request id (trace.py); a key where a member's data is at fault; "" where no request is


@dataclass(slots=True)
class ClassTally:
    """Counts and latencies of one class of requests.

    `asked` counts first tries only; all other fields count every try, so the clients' own retries too.
    """

    asked: int = 0
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    errors: int = 0
    left: int = 0
    in_time: int = 0  # served within the class's aim
    latencies: list[float] = field(default_factory=list)  # seconds from request to answer
    reads: int = 0  # served reads that were judged under rule 5
    # judged reads with a key that held a value, so that a wrong answer would have been noticed
    reads_with_value: int = 0
    # judged reads with a key written at or before the least permitted position: a stale answer would have been noticed
    reads_of_written_keys: int = 0


@dataclass(slots=True)
class Verdict:
    """All violations of a day, and the counts that are printed beside them."""

    violations: list[Violation] = field(default_factory=list)
    tallies: dict[str, ClassTally] = field(default_factory=dict)  # by name of the class
    counts: Counter[str] = field(default_factory=Counter)  # by the text that is printed
    excused: Counter[str] = field(default_factory=Counter)  # breaches with a known cause, by that cause

    def kept(self, rule: int) -> bool:
        """Whether nothing violates the rule of this number."""
        return not any(violation.rule == rule for violation in self.violations)


@dataclass(slots=True)
class ClientTry:
    """One sending of a request by a client, with everything that the trace records about it.

    Times are seconds on the clock of the trace.
    """

    request: Entry
    answers: list[Entry] = field(default_factory=list)
    left_at: float | None = None  # when the client gave up and left
    broke_at: float | None = None  # when the connection closed without an answer
    commands: list[Entry] = field(default_factory=list)  # attempts that reached a member
    replies: list[Entry] = field(default_factory=list)  # what members replied to those attempts

    @property
    def served_answer(self) -> Entry | None:
        """The first answer if it served the request, else None."""
        return self.answers[0] if self.answers and self.answers[0].verdict == "served" else None
