"""How much may be open in a router: bounds by group and class, and what a client hears that comes when one is reached.

Theory of operation. What is open waits for members, and waiting work costs memory and helps nobody once there is more
than its group can answer in time. Each class may have `most` requests open in each group; one that comes on top is
refused at once, so one class or group that has stopped being answered takes nothing from the others. It hears when to
come back: after the time in which, at the rate at which this class was last answered there, half of the queue is gone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SPAN = 1.0  # seconds over which the rate of endings is smoothed
LEAST = 0.05  # seconds until a client may come back, at the least


@dataclass(slots=True)
class Queue:
    open: int = 0
    rate: float = 0.0  # endings a second, as of ...
    rated: float = 0.0
    full: int = 0  # how often one was refused

    def ended(self, now: float) -> None:
        self.open -= 1
        self.rate = self.rate * math.exp((self.rated - now) / SPAN) + 1 / SPAN
        self.rated = now


class Queues:
    """`most`: requests of one class open in one group; `longest`: seconds that a client is told to wait, at most."""

    def __init__(self, most: int, longest: float) -> None:
        self.most, self.longest = most, longest
        self.queues: dict[tuple[int, str], Queue] = {}

    def enter(self, group: int, kind: str, now: float) -> float | None:
        """Take one more in. None if it may come in; else the seconds after which it may try again."""
        queue = self.queues.get((group, kind))
        if queue is None:
            queue = self.queues[group, kind] = Queue(rated=now)
        if queue.open < self.most:
            queue.open += 1
            return None
        queue.full += 1
        rate = queue.rate * math.exp((queue.rated - now) / SPAN)
        wait = self.most / 2 / rate if rate > 0 else math.inf
        return min(self.longest, max(LEAST, wait))

    def adopt(self, most: int, longest: float) -> None:
        """Other bounds from now on; what is open stays."""
        self.most, self.longest = most, longest

    def leave(self, group: int, kind: str, now: float) -> None:
        """One that came in has ended."""
        self.queues[group, kind].ended(now)
