"""Admission limits of a router: how many requests may be pending, by group and class, and when refused ones may retry.

Pending requests wait for members. They cost memory, and more of them than a group can answer in time help nobody. Each
class may have `max_pending` requests pending in each group; one more is refused at once. So a class or group that is no
longer answered takes nothing from the others. A refused client is told to retry after the time in which half of the
queue is answered, at the rate at which the group last answered this class.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

RATE_SPAN = 1.0  # seconds: time constant over which the rate of answers is smoothed
MIN_RETRY_AFTER = 0.05  # seconds


@dataclass(slots=True)
class Queue:
    """Pending requests of one class in one group."""

    pending: int = 0
    end_rate: float = 0.0  # requests ended a second, as of `end_rate_at`
    end_rate_at: float = 0.0  # clock time
    refusals: int = 0  # requests that found the queue full

    def ended(self, now: float) -> None:
        """Record that a request ended at the clock time `now`."""
        self.pending -= 1
        self.end_rate = self.end_rate * math.exp((self.end_rate_at - now) / RATE_SPAN) + 1 / RATE_SPAN
        self.end_rate_at = now


class Queues:
    """The queues of all groups and classes of a router.

    `max_pending` limits the pending requests of one class in one group; `max_retry_after` limits the delay, in
    seconds, that a refused client is told.
    """

    def __init__(self, max_pending: int, max_retry_after: float) -> None:
        self.max_pending = max_pending
        self.max_retry_after = max_retry_after
        self.queues: dict[tuple[int, str], Queue] = {}

    def enter(self, group: int, class_name: str, now: float) -> float | None:
        """Admit one more request and return None, or refuse it and return the seconds after which it may retry."""
        queue = self.queues.get((group, class_name))
        if queue is None:
            queue = self.queues[group, class_name] = Queue(end_rate_at=now)
        if queue.pending < self.max_pending:
            queue.pending += 1
            return None
        queue.refusals += 1
        rate = queue.end_rate * math.exp((queue.end_rate_at - now) / RATE_SPAN)
        retry_after = self.max_pending / 2 / rate if rate > 0 else math.inf
        return min(self.max_retry_after, max(MIN_RETRY_AFTER, retry_after))

    def set_limits(self, max_pending: int, max_retry_after: float) -> None:
        """Change the limits; requests that are pending stay."""
        self.max_pending = max_pending
        self.max_retry_after = max_retry_after

    def leave(self, group: int, class_name: str, now: float) -> None:
        """Record that a request that was admitted has ended."""
        self.queues[group, class_name].ended(now)
