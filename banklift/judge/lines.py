"""Each group's log and its lines, rebuilt from a trace: who wrote what where, and what a key held at any place.

Theory of operation. A line is one history of a log, named by its replication id. It begins at an offset of its parent
(a promotion, or a restart that kept no history) and goes on from there, so offsets compare along a chain of parents. A
*place* is a line and an offset. What two places share is the log up to `common`; what lies beyond it on one of them is
missing at the other. Writes are known with the commands that they put into the log, so a key's value at a place follows
from the log alone, whatever the members say.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass

from banklift.judge.trace import Entry

EVER = math.inf


@dataclass(frozen=True, slots=True)
class Place:
    line: str
    offset: float


class Lines:
    def __init__(self, groups: dict[str, str], entries: list[Entry]) -> None:
        self.parents: dict[
            str, tuple[str, int]
        ] = {}  # of a line: the line it goes on from, and from which offset
        self.short: list[Entry] = []  # lines that began before all that their member had received
        self.runs: dict[str, list[Entry]] = defaultdict(list)  # of each line, in order
        self.roles: dict[str, list[Entry]] = defaultdict(list)  # of each group, in order
        self.own: dict[tuple[str, str], list[tuple[int, list[str]]]] = defaultdict(list)  # by line and key
        self.places: dict[str, list[Place]] = defaultdict(
            list
        )  # where a request's tries ran, by number and try
        self._chains: dict[str, list[tuple[str, float]]] = {}
        self._states: dict[tuple[str, str], tuple[list[int], list[tuple[str, float]]]] = {}
        for entry in entries:
            if entry.k == "line":
                self.parents[entry.line] = entry.parent, entry.offset
                if entry.offset < entry.received:
                    self.short.append(entry)
            elif entry.k == "role":
                self.roles[groups[entry.member]].append(entry)
            elif entry.k == "ran":
                self.runs[entry.line].append(entry)
                self.places[entry.rid].append(Place(entry.line, entry.offset))
                for command in entry.log:
                    for key in command[1:] if command[0].upper() == "DEL" else command[1:2]:
                        self.own[entry.line, key].append((entry.offset, command))
        self._times = {line: [run.t for run in runs] for line, runs in self.runs.items()}
        self._since = {group: [role.t for role in roles] for group, roles in self.roles.items()}

    def chain(self, line: str) -> list[tuple[str, float]]:
        """The line and those it goes on from, with the offset up to which each is part of it."""
        found = self._chains.get(line)
        if found is None:
            found, limit = [(line, EVER)], EVER
            while found[-1][0] in self.parents:
                parent, fork = self.parents[found[-1][0]]
                limit = min(limit, fork)
                found.append((parent, limit))
            self._chains[line] = found
        return found

    def common(self, one: Place, other: Place) -> float:
        """The offset up to which the logs at both places are the same; 0 for lines that have nothing in common."""
        theirs = dict(self.chain(other.line))
        for line, limit in self.chain(one.line):
            if line in theirs:
                return min(one.offset, limit, theirs[line], other.offset)
        return 0

    def current(self, group: str, at: float) -> Entry | None:
        """Who was primary, and of which line."""
        place = bisect_right(self._since.get(group, []), at)
        return self.roles[group][place - 1] if place else None

    def head(self, line: str, at: float) -> Place:
        """How far a line had got."""
        place = bisect_left(self._times.get(line, []), at)
        if place:
            return Place(line, self.runs[line][place - 1].offset)
        return Place(line, self.parents[line][1] if line in self.parents else 0)

    def kept(self, place: Place, group: str, at: float) -> Place:
        """What of a place's log is still part of the line that is current at `at`: the rest was lost at a fork."""
        now = self.current(group, at)
        return place if now is None else Place(place.line, self.common(Place(now.line, EVER), place))

    def states(self, line: str, key: str) -> tuple[list[int], list[tuple[str, float]]]:
        """Offsets, and what the key held from each on: a value and the time (ms) at which it ends."""
        found = self._states.get((line, key))
        if found is None:
            offsets, states = list[int](), list[tuple[str, float]]()
            for older, limit in reversed(self.chain(line)):
                for offset, command in self.own.get((older, key), ()):
                    if offset <= limit:
                        offsets.append(offset)
                        states.append(applied(states[-1] if states else ("", EVER), command))
            found = self._states[line, key] = offsets, states
        return found

    def held(self, key: str, place: Place) -> tuple[str, float]:
        """What the key held there, and when that ends (ms)."""
        offsets, states = self.states(place.line, key)
        found = bisect_right(offsets, place.offset)
        return states[found - 1] if found else ("", EVER)

    def touched(self, key: str, line: str, above: float, upto: float) -> int:
        """How many commands touched the key there."""
        offsets, _ = self.states(line, key)
        return bisect_right(offsets, upto) - bisect_right(offsets, above)

    def written(self, line: str, above: float, upto: float) -> int:
        """How many writes the line, with what it goes on from, has there."""
        return sum(
            above < run.offset <= min(limit, upto)
            for older, limit in self.chain(line)
            for run in self.runs.get(older, ())
        )


def applied(state: tuple[str, float], command: list[str]) -> tuple[str, float]:
    """A key's value and end after a command of the log. Errors: `ValueError` for one that days don't write."""
    value, end = state
    match command[0].upper():
        case "APPEND":
            return value + command[2], end
        case "SET":
            return command[2], float(command[4]) if len(command) > 4 else EVER
        case "DEL":
            return "", EVER
        case "PEXPIREAT":
            return (value, float(command[2])) if value else state
    raise ValueError(f"the judge does not know what {command[0]!r} does")
