"""Actions that several state machines of the fleet ask their surroundings for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one line to the log."""

    event: str
    fields: dict[str, object]
