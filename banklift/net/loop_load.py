"""How promptly the task that serves all sockets gets to each of them, and a log line when it is late.

Four figures tell the causes of a late socket apart. A long turn means that one socket's events took long. A long batch
of short turns means that too many sockets, or long deferred calls, are handled between two polls. Long timers mean that
work was done outside of all batches. A long wait while the others are short means that a ready socket was passed over
while others got several turns.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

REPORT_INTERVAL_SECONDS = 1.0
# A turn, a batch or a wait of this length is reported; the shortest deadlines of requests are not much longer.
REPORT_THRESHOLD_SECONDS = 0.1


class LoopLoad:
    """The longest turn, batch, run of timers and wait since the last report, in seconds of the caller's clock."""

    __slots__ = (
        "_batch_began",
        "_turn_began",
        "_waiting_since",
        "longest_batch",
        "longest_timers",
        "longest_turn",
        "longest_wait",
    )

    def __init__(self) -> None:
        self.longest_turn = 0.0  # handling of one socket's events
        self.longest_batch = 0.0  # handling of all sockets and deferred calls between two polls
        self.longest_timers = 0.0  # calls of all timers that were due at one time
        self.longest_wait = 0.0  # from the poll that found a socket ready until its turn
        self._batch_began = self._turn_began = 0.0
        self._waiting_since: dict[int, float] = {}  # by descriptor: the poll that found it ready

    def batch_began(self, now: float) -> None:
        """A poll has returned."""
        self._batch_began = self._turn_began = now

    def turn_ended(self, fd: int, now: float) -> None:
        """The events of a descriptor were handled; the next turn begins at once."""
        if now - self._turn_began > self.longest_turn:
            self.longest_turn = now - self._turn_began
        if self._waiting_since and (since := self._waiting_since.pop(fd, None)) is not None:
            self.longest_wait = max(self.longest_wait, self._turn_began - since)
        self._turn_began = now

    def batch_ended(self, now: float, postponed: Sequence[int]) -> None:
        """All turns of a batch are over. `postponed`: descriptors that were found ready and got no turn."""
        if now - self._batch_began > self.longest_batch:
            self.longest_batch = now - self._batch_began
        if postponed or self._waiting_since:
            before = self._waiting_since
            self._waiting_since = {fd: before.get(fd, self._batch_began) for fd in postponed}

    def timers_ended(self, began: float, now: float) -> None:
        """All timers that were due at `began` were called."""
        if now - began > self.longest_timers:
            self.longest_timers = now - began

    def take_report(self, now: float) -> dict[str, object] | None:
        """Return the fields of a log line if a figure reached `REPORT_THRESHOLD_SECONDS`, and begin anew."""
        waits = [now - since for since in self._waiting_since.values()]
        longest_wait = max(self.longest_wait, *waits) if waits else self.longest_wait
        longest = {
            "turn": self.longest_turn,
            "batch": self.longest_batch,
            "timers": self.longest_timers,
            "wait": longest_wait,
        }
        self.longest_turn = self.longest_batch = self.longest_timers = self.longest_wait = 0.0
        if max(longest.values()) < REPORT_THRESHOLD_SECONDS:
            return None
        return {f"longest_{what}_ms": round(1000 * seconds) for what, seconds in longest.items()}


class ReportingEnv(Protocol):
    """What `report_regularly` needs of a `SocketEnv`."""

    load: LoopLoad

    def now(self) -> float:
        """Seconds on a clock that never goes back."""

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `when`."""


def report_regularly(env: ReportingEnv, log: Callable[[str, dict[str, object]], None]) -> None:
    """Log `sockets served late` for each `REPORT_INTERVAL_SECONDS` in which a figure was high."""

    def report() -> None:
        now = env.now()
        if (fields := env.load.take_report(now)) is not None:
            log("sockets served late", fields)
        env.at(now + REPORT_INTERVAL_SECONDS, report)

    env.at(env.now() + REPORT_INTERVAL_SECONDS, report)
