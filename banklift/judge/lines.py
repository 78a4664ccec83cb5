"""Rebuilds the replication logs of each group from a trace: who wrote what where, and what a key held at any position.

A *history* is one continuous run of a replication log, named by its replication id (field `line` of the trace). It
forks from a parent at an offset (at a promotion, or a restart that kept no history) and continues from there, so
offsets compare along a chain of parents. A *log position* is a history and an offset. Two positions share the log up
to `common_offset`; what lies beyond it at one of them is missing at the other. Each write is recorded with the commands
that it appended to the log, so a key's value at a position follows from the log alone, whatever the members report.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass

from banklift.judge.trace import Entry

UNLIMITED = math.inf  # no upper offset, or a key without expiry


@dataclass(frozen=True, slots=True)
class LogPosition:
    """An offset (bytes) in a replication history."""

    history: str
    offset: float


class ReplicationHistories:
    """The histories of all groups of a trace.

    `group_of_member`: name of the group, by name of the member. `entries`: in order of time.
    """

    def __init__(self, group_of_member: dict[str, str], entries: list[Entry]) -> None:
        self.parents: dict[str, tuple[str, int]] = {}  # by history: its parent, and the offset of the fork
        # starts of histories at an offset below what their member had received of the parent
        self.truncated_starts: list[Entry] = []
        self.writes: dict[str, list[Entry]] = defaultdict(list)  # by history, in order
        self.roles: dict[str, list[Entry]] = defaultdict(list)  # by group, in order
        # by history and key: offsets and commands, without those of parents
        self.own_commands: dict[tuple[str, str], list[tuple[int, list[str]]]] = defaultdict(list)
        # by request id: where the writes of that try were executed
        self.positions: dict[str, list[LogPosition]] = defaultdict(list)
        self._ancestries: dict[str, list[tuple[str, float]]] = {}
        self._key_states: dict[tuple[str, str], tuple[list[int], list[tuple[str, float]]]] = {}
        for entry in entries:
            if entry.k == "line":
                self.parents[entry.line] = entry.parent, entry.offset
                if entry.offset < entry.received:
                    self.truncated_starts.append(entry)
            elif entry.k == "role":
                self.roles[group_of_member[entry.member]].append(entry)
            elif entry.k == "ran":
                self.writes[entry.line].append(entry)
                self.positions[entry.rid].append(LogPosition(entry.line, entry.offset))
                for command in entry.log:
                    for key in command[1:] if command[0].upper() == "DEL" else command[1:2]:
                        self.own_commands[entry.line, key].append((entry.offset, command))
        self._write_times = {
            history: [write.t for write in writes] for history, writes in self.writes.items()
        }
        self._role_times = {group: [role.t for role in roles] for group, roles in self.roles.items()}

    def ancestry(self, history: str) -> list[tuple[str, float]]:
        """The history and its ancestors, newest first, each with the offset up to which it is part of the log."""
        found = self._ancestries.get(history)
        if found is None:
            found, limit = [(history, UNLIMITED)], UNLIMITED
            while found[-1][0] in self.parents:
                parent, fork = self.parents[found[-1][0]]
                limit = min(limit, fork)
                found.append((parent, limit))
            self._ancestries[history] = found
        return found

    def common_offset(self, one: LogPosition, other: LogPosition) -> float:
        """The offset up to which the logs at both positions are the same; 0 for unrelated histories."""
        other_limits = dict(self.ancestry(other.history))
        for history, limit in self.ancestry(one.history):
            if history in other_limits:
                return min(one.offset, limit, other_limits[history], other.offset)
        return 0

    def current_primary(self, group: str, at: float) -> Entry | None:
        """The `role` entry of the primary at time `at` (seconds), with its history; None before the first one."""
        count = bisect_right(self._role_times.get(group, []), at)
        return self.roles[group][count - 1] if count else None

    def end_position(self, history: str, at: float) -> LogPosition:
        """The position of the last write of a history before time `at` (seconds)."""
        count = bisect_left(self._write_times.get(history, []), at)
        if count:
            return LogPosition(history, self.writes[history][count - 1].offset)
        return LogPosition(history, self.parents[history][1] if history in self.parents else 0)

    def surviving_position(self, position: LogPosition, group: str, at: float) -> LogPosition:
        """How much of a position's log the group's current history at time `at` still holds; a fork lost the rest."""
        primary = self.current_primary(group, at)
        return (
            position
            if primary is None
            else LogPosition(
                position.history, self.common_offset(LogPosition(primary.line, UNLIMITED), position)
            )
        )

    def key_states(self, history: str, key: str) -> tuple[list[int], list[tuple[str, float]]]:
        """Offsets, and the key's state from each one on: its value, and when it expires (ms on the trace's clock)."""
        found = self._key_states.get((history, key))
        if found is None:
            offsets, states = list[int](), list[tuple[str, float]]()
            for ancestor, limit in reversed(self.ancestry(history)):
                for offset, command in self.own_commands.get((ancestor, key), ()):
                    if offset <= limit:
                        offsets.append(offset)
                        states.append(apply_command(states[-1] if states else ("", UNLIMITED), command))
            found = self._key_states[history, key] = offsets, states
        return found

    def key_state_at(self, key: str, position: LogPosition) -> tuple[str, float]:
        """The key's value at a position ("" if it does not exist), and when it expires (ms on the trace's clock)."""
        offsets, states = self.key_states(position.history, key)
        count = bisect_right(offsets, position.offset)
        return states[count - 1] if count else ("", UNLIMITED)

    def count_key_commands(self, key: str, history: str, above: float, upto: float) -> int:
        """How many commands on the key the log has at offsets above `above` and up to `upto`."""
        offsets, _ = self.key_states(history, key)
        return bisect_right(offsets, upto) - bisect_right(offsets, above)

    def count_writes(self, history: str, above: float, upto: float) -> int:
        """How many writes to any key the log, ancestors included, has at offsets above `above` and up to `upto`."""
        return sum(
            above < write.offset <= min(limit, upto)
            for ancestor, limit in self.ancestry(history)
            for write in self.writes.get(ancestor, ())
        )


def apply_command(state: tuple[str, float], command: list[str]) -> tuple[str, float]:
    """A key's value and expiry (ms) after a command of the log.

    Errors: `ValueError` for a command that the clients of a day never cause.
    """
    value, expiry = state
    match command[0].upper():
        case "APPEND":
            return value + command[2], expiry
        case "SET":
            return command[2], float(command[4]) if len(command) > 4 else UNLIMITED
        case "DEL":
            return "", UNLIMITED
        case "PEXPIREAT":
            return (value, float(command[2])) if value else state
    raise ValueError(f"the judge cannot replay {command[0]!r} from a log")
