"""Timers of a machine: a heap from which any timer can be taken back in O(1), amortised.

A timer that was taken back stays in the heap until it comes up or until more than half of the heap is such; then the
heap is built anew. So the heap never holds more than twice the timers that are set, and a few, and nothing that a timer
would have done keeps memory after it was taken back.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

FEW = 64  # timers below which nothing is built anew


class Timer:
    __slots__ = ("call", "number", "when")

    def __init__(self, when: float, number: int, call: Callable[[], None]) -> None:
        self.when, self.number = when, number
        self.call: Callable[[], None] | None = call

    def __lt__(self, other: Timer) -> bool:
        return self.when < other.when or (self.when == other.when and self.number < other.number)


class Timers:
    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._numbers = 0
        self._dead = 0

    def __len__(self) -> int:
        """Timers that are set."""
        return len(self._heap) - self._dead

    @property
    def room(self) -> int:
        """Places that the heap takes, with those of timers taken back."""
        return len(self._heap)

    @property
    def next(self) -> float:
        """When the first one is due; infinite if none is set."""
        while self._heap and self._heap[0].call is None:
            heapq.heappop(self._heap)
            self._dead -= 1
        return self._heap[0].when if self._heap else math.inf

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at `when`; timers of one moment are called in the order in which they were set."""
        self._numbers += 1
        timer = Timer(when, self._numbers, call)
        heapq.heappush(self._heap, timer)
        return timer

    def cancel(self, timer: Timer) -> None:
        """Take it back; nothing if it has been called or taken back."""
        if timer.call is None:
            return
        timer.call = None
        self._dead += 1
        if self._dead > FEW and 2 * self._dead > len(self._heap):
            self._heap = [other for other in self._heap if other.call is not None]
            heapq.heapify(self._heap)
            self._dead = 0

    def run(self, now: float) -> None:
        """Call what is due, and what becomes due by that."""
        while self.next <= now:
            timer = heapq.heappop(self._heap)
            call, timer.call = timer.call, None
            assert call is not None
            call()
