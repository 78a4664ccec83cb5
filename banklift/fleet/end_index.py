"""An index over the ends of leases, which finds the latest of many ends while each of them may move.

This module does no I/O. It is a binary heap with lazy deletion: moving an end pushes a new record and leaves the old
one in the heap as stale. Stale records are dropped when they reach the top, and all at once when they outnumber the
valid ones by more than `MAX_EXTRA_STALE_RECORDS`. So each operation costs O(log n) amortised, and no message makes a
grantor look at all of its leases.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT")
# The heap is rebuilt once it holds this many stale records more than valid ones, so small heaps are not rebuilt often.
MAX_EXTRA_STALE_RECORDS = 64


class EndIndex(Generic[KeyT]):
    """A set of keys, each with an end: seconds on the clock of the caller. Iterates over the keys."""

    def __init__(self) -> None:
        self._ends: dict[KeyT, float] = {}
        # Records (-end, number, key): ends are negated so that the latest comes first, and the number, which is
        # unique, orders equal ends, so that keys are never compared.
        self._heap: list[tuple[float, int, KeyT]] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._ends)

    def __iter__(self) -> Iterator[KeyT]:
        return iter(self._ends)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._ends

    def set(self, key: KeyT, end: float) -> None:
        """Add a key with its end, or move the end of a key."""
        if self._ends.get(key) == end:
            return
        self._ends[key] = end
        self._push(key, end)
        if len(self._heap) > 2 * len(self._ends) + MAX_EXTRA_STALE_RECORDS:
            self._rebuild()

    def discard(self, key: KeyT) -> None:
        """Remove a key. Does nothing if the key is not in the index."""
        self._ends.pop(key, None)

    def clear(self) -> None:
        """Remove all keys."""
        self._ends.clear()
        self._heap.clear()

    def end(self, key: KeyT) -> float:
        """The end of one key; minus infinity if the key is not in the index."""
        return self._ends.get(key, -math.inf)

    def count_after(self, now: float) -> int:
        """The number of keys whose end is after `now`. Looks at all keys."""
        return sum(end > now for end in self._ends.values())

    def latest(self) -> float:
        """The latest end of all keys; minus infinity if there are none."""
        self._drop_stale_top()
        return -self._heap[0][0] if self._heap else -math.inf

    def latest_key(self) -> KeyT | None:
        """A key with the latest end; None if there are no keys."""
        self._drop_stale_top()
        return self._heap[0][2] if self._heap else None

    def _push(self, key: KeyT, end: float) -> None:
        self._last_number += 1
        heapq.heappush(self._heap, (-end, self._last_number, key))

    def _drop_stale_top(self) -> None:
        """Remove stale records from the top of the heap."""
        heap, ends = self._heap, self._ends
        while heap and ends.get(heap[0][2]) != -heap[0][0]:
            heapq.heappop(heap)

    def _rebuild(self) -> None:
        """Make the heap again from the valid ends alone."""
        self._heap = [(-end, number, key) for number, (key, end) in enumerate(self._ends.items())]
        self._last_number = len(self._heap)
        heapq.heapify(self._heap)
