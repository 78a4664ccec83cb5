"""Actions that several state machines of the fleet return for their environment to carry out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLine:
    """Action: write one line to the log."""

    event: str
    fields: dict[str, object]
