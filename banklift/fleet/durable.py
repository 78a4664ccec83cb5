"""The durable copy of a voter's record: which calls have to wait until the record is on disk. Pure.

| state | event | next | what happens |
| --- | --- | --- | --- |
| written | `once_written` | written | the call is made at once |
| changed | `once_written` | writing | `Save`; the call waits for it |
| writing | `once_written` | writing | the call waits for the next write, together with all others that come meanwhile |
| writing | the write succeeds | written, or writing again | the calls that waited for it are made |
| writing | the write fails | failed | the calls are dropped: the sender of the request gets no answer |
| failed | `DISK_RETRY_SECONDS` are over | writing | `Save` |
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from banklift.fleet.actions import LogLine
from banklift.fleet.register import Record

DISK_RETRY_SECONDS = 1.0  # after a failed write


@dataclass(frozen=True, slots=True)
class Save:
    """Action: write this record to disk, then report the outcome to `DurableRecord.saved` under this number."""

    number: int
    record: bytes


class DurableRecord:
    """A record in memory, and how much of it is on disk. `emit` is called with each action."""

    def __init__(self, record: Record, emit: Callable[[Save | LogLine], None]) -> None:
        self.record = record
        self.emit = emit
        self.written: Record | None = None  # the record known to be on disk
        self.waiting_calls: list[Callable[[], None]] = []  # made when the next write succeeds
        self.calls_in_flight: list[Callable[[], None]] = []  # made when the write in flight succeeds
        self.save_in_flight = 0  # number of the write in flight; 0: none
        self.saves_started = 0
        self.fault = ""  # the last write's error; empty if it succeeded
        self.retry_at = math.inf

    @property
    def idle(self) -> bool:
        """Whether no write is in flight, no call waits, and the last write succeeded."""
        return not self.save_in_flight and not self.waiting_calls and not self.fault

    def once_written(self, call: Callable[[], None]) -> None:
        """Make this call once the current record is on disk. The call is dropped if the write fails."""
        if self.record == self.written and not self.save_in_flight and not self.fault:
            call()
            return
        self.waiting_calls.append(call)
        if not self.save_in_flight and not self.fault:
            self._save()

    def wake(self, now: float) -> None:
        """Write again if the retry of a failed write is due."""
        if now >= self.retry_at:
            self.retry_at = math.inf
            self._save()

    def saved(self, now: float, number: int, error: str) -> None:
        """The write of that number has succeeded, or failed with `error` (empty on success)."""
        if number != self.save_in_flight:
            return
        self.save_in_flight = 0
        calls, self.calls_in_flight = self.calls_in_flight, []
        if error:
            self._failed(now, error)
            return
        if self.fault:
            self.emit(LogLine("disk written again", {}))
        self.fault, self.retry_at = "", math.inf
        for call in calls:
            call()
        if self.waiting_calls and not self.save_in_flight:
            self._save()

    def _failed(self, now: float, error: str) -> None:
        if error != self.fault:
            self.emit(LogLine("disk in trouble, this voter is silent", {"reason": error}))
        self.fault, self.retry_at = error, now + DISK_RETRY_SECONDS
        self.waiting_calls.clear()

    def _save(self) -> None:
        self.saves_started += 1
        self.save_in_flight = self.saves_started
        record = self.record

        def mark_written() -> None:
            self.written = record

        self.calls_in_flight, self.waiting_calls = [mark_written, *self.waiting_calls], []
        self.emit(Save(self.save_in_flight, msgspec.msgpack.encode(record)))
