"""Timers of a state machine: a heap in which any timer can be cancelled in O(1), amortised.

A cancelled timer stays in the heap until its time comes, or until more than half of the heap is cancelled timers: then
the heap is rebuilt without them. So the heap holds at most twice the active timers and `MAX_CANCELLED_KEPT` more, and a
cancelled timer doesn't keep its callback in memory.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

MAX_CANCELLED_KEPT = 64  # cancelled timers up to which the heap is never rebuilt


class Timer:
    """A timer; `callback` is None once it was called or cancelled. Timers of one moment are ordered by `number`."""

    __slots__ = ("callback", "number", "when")

    def __init__(self, when: float, number: int, callback: Callable[[], None]) -> None:
        self.when, self.number = when, number
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: Timer) -> bool:
        return self.when < other.when or (self.when == other.when and self.number < other.number)


class Timers:
    """A set of timers. Times are in the unit of the caller's clock."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._last_number = 0
        self._cancelled = 0

    def __len__(self) -> int:
        """The number of active timers."""
        return len(self._heap) - self._cancelled

    @property
    def heap_size(self) -> int:
        """The size of the heap, with cancelled timers."""
        return len(self._heap)

    @property
    def next(self) -> float:
        """When the first active timer is due; infinite if there is none."""
        while self._heap and self._heap[0].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0].when if self._heap else math.inf

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` at `when`. Timers of one moment are called in the order in which they were set."""
        self._last_number += 1
        timer = Timer(when, self._last_number, callback)
        heapq.heappush(self._heap, timer)
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; does nothing if it was called or cancelled before."""
        if timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled > MAX_CANCELLED_KEPT and 2 * self._cancelled > len(self._heap):
            self._heap = [other for other in self._heap if other.callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run(self, now: float) -> None:
        """Call the timers that are due at `now`, including those that these calls set."""
        while self.next <= now:
            timer = heapq.heappop(self._heap)
            callback, timer.callback = timer.callback, None
            assert callback is not None
            callback()
