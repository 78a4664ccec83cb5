"""What the judge says of a day."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from banklift.judge.trace import Entry


@dataclass(frozen=True, slots=True)
class Break:
    rule: int
    reason: str
    at: float  # since the start
    rid: str


@dataclass(slots=True)
class Tally:
    """One class, first tries and the clients' own retries apart."""

    asked: int = 0
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    errors: int = 0
    left: int = 0
    in_time: int = 0
    latencies: list[float] = field(default_factory=list)
    reads: int = 0  # served reads that were judged; of these ...
    shown: int = 0  # ... their keys held something, so that a wrong answer would show
    aged: int = 0  # ... their keys had been written where the class may not miss it, so that an old one would


@dataclass(slots=True)
class Verdict:
    breaks: list[Break] = field(default_factory=list)
    tallies: dict[str, Tally] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    excused: Counter[str] = field(default_factory=Counter)  # by reason

    def kept(self, rule: int) -> bool:
        return not any(found.rule == rule for found in self.breaks)


@dataclass(slots=True)
class Try:
    """One request as a client sent it once, and all that became of it."""

    ask: Entry
    answers: list[Entry] = field(default_factory=list)
    left: float | None = None
    broke: float | None = None
    commands: list[Entry] = field(default_factory=list)
    replies: list[Entry] = field(default_factory=list)

    @property
    def served(self) -> Entry | None:
        """Its answer, if that served it."""
        return self.answers[0] if self.answers and self.answers[0].verdict == "served" else None
