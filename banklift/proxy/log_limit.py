"""A bound on log lines of one kind: a flood of requests must not become a flood of lines."""

from __future__ import annotations


class LineLimit:
    """Allows up to `lines_per_second` log lines in each second of the clock."""

    __slots__ = ("_lines", "_second", "lines_per_second")

    def __init__(self, lines_per_second: int) -> None:
        self.lines_per_second = lines_per_second
        self._second = 0  # that the count is for
        self._lines = 0

    def allows(self, now: float) -> bool:
        """Count one more line at `now` (seconds); whether it may be written."""
        second = int(now)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= self.lines_per_second
