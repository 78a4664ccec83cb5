"""The latest of many points in time, each of which may move: an index over the ends of leases. Pure.

A heap with lazy deletion. Moving an end pushes a new record and leaves the old one behind; records that no
longer hold are dropped when they come to the top, and all at once when they outnumber the others. So each
operation costs O(log n) amortised, and nothing ever looks at all leases for one message.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")
SLACK = 64  # records that no longer hold, beyond as many as hold, before the heap is rebuilt


class EndIndex(Generic[KeyT]):
    """Keys with an end each; seconds on the clock of whoever sets them."""

    def __init__(self) -> None:
        self._ends: dict[KeyT, float] = {}
        self._heap: list[tuple[float, int, KeyT]] = []  # negated ends, so that the latest comes first
        self._pushes = 0

    def __len__(self) -> int:
        return len(self._ends)

    def __iter__(self) -> Iterator[KeyT]:
        return iter(self._ends)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._ends

    def set(self, key: KeyT, end: float) -> None:
        """Add a key, or move its end."""
        if self._ends.get(key) == end:
            return
        self._ends[key] = end
        self._push(key, end)
        if len(self._heap) > 2 * len(self._ends) + SLACK:
            self._rebuild()

    def discard(self, key: KeyT) -> None:
        """Remove a key; nothing happens if it is not there."""
        self._ends.pop(key, None)

    def clear(self) -> None:
        self._ends.clear()
        self._heap.clear()

    def end(self, key: KeyT) -> float:
        """The end of one key; minus infinity if it is not there."""
        return self._ends.get(key, -math.inf)

    def count_after(self, now: float) -> int:
        """How many have not come to their end; looks at all of them."""
        return sum(end > now for end in self._ends.values())

    def latest(self) -> float:
        """The latest end of all; minus infinity if there is none."""
        self._settle()
        return -self._heap[0][0] if self._heap else -math.inf

    def latest_key(self) -> KeyT | None:
        """A key with the latest end."""
        self._settle()
        return self._heap[0][2] if self._heap else None

    def _push(self, key: KeyT, end: float) -> None:
        self._pushes += 1  # equal ends are told apart by it, so keys are never compared
        heapq.heappush(self._heap, (-end, self._pushes, key))

    def _settle(self) -> None:
        """Drop the records at the top that no longer hold."""
        heap, ends = self._heap, self._ends
        while heap and ends.get(heap[0][2]) != -heap[0][0]:
            heapq.heappop(heap)

    def _rebuild(self) -> None:
        self._heap = [(-end, number, key) for number, (key, end) in enumerate(self._ends.items())]
        self._pushes = len(self._heap)
        heapq.heapify(self._heap)
