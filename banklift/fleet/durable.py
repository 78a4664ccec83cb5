"""A voter's record on its disk: what has to be written before a message may leave. Pure.

| state | event | next | what happens |
| --- | --- | --- | --- |
| written | `once_written` | written | the call is made at once |
| changed | `once_written` | writing | `Save`; the call waits for it |
| writing | `once_written` | writing | the call waits for the write after this one, together with others |
| writing | the write went through | written, or writing again | the calls that waited for it are made |
| writing | the write failed | in trouble | the calls are dropped: who asked hears nothing |
| in trouble | `DISK_RETRY` is over | writing | `Save` |
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from banklift.fleet.actions import LogLine
from banklift.fleet.register import Record

DISK_RETRY = 1.0  # seconds after a write that failed


@dataclass(frozen=True, slots=True)
class Save:
    """Write this record; `DurableRecord.saved` is told of the outcome by its number."""

    number: int
    record: bytes


class DurableRecord:
    """`act` takes what is to be done."""

    def __init__(self, record: Record, act: Callable[[Save | LogLine], None]) -> None:
        self.record = record
        self.act = act
        self.written: Record | None = None  # what is on disk for certain
        self.waiting: list[
            Callable[[], None]
        ] = []  # calls to be made once the record as it stands is written
        self.in_flight: list[Callable[[], None]] = []  # ... once the write that is under way is done
        self.saving = 0  # number of the write under way; 0: none
        self.saves = 0
        self.fault = ""  # what is wrong with the disk
        self.retry_at = math.inf

    @property
    def idle(self) -> bool:
        """Whether nothing is being written and nothing waits."""
        return not self.saving and not self.waiting and not self.fault

    def once_written(self, call: Callable[[], None]) -> None:
        """Make this call once the record as it stands is on disk."""
        if self.record == self.written and not self.saving and not self.fault:
            call()
            return
        self.waiting.append(call)
        if not self.saving and not self.fault:
            self._save()

    def wake(self, now: float) -> None:
        """Try the disk again if it is time."""
        if now >= self.retry_at:
            self.retry_at = math.inf
            self._save()

    def saved(self, now: float, number: int, error: str) -> None:
        """The write of that number is on disk, or failed with `error`."""
        if number != self.saving:
            return
        self.saving = 0
        calls, self.in_flight = self.in_flight, []
        if error:
            self._failed(now, error)
            return
        if self.fault:
            self.act(LogLine("disk written again", {}))
        self.fault, self.retry_at = "", math.inf
        for call in calls:
            call()
        if self.waiting and not self.saving:
            self._save()

    def _failed(self, now: float, error: str) -> None:
        if error != self.fault:
            self.act(LogLine("disk in trouble, this voter is silent", {"reason": error}))
        self.fault, self.retry_at = error, now + DISK_RETRY
        self.waiting.clear()

    def _save(self) -> None:
        self.saves += 1
        self.saving = self.saves
        record = self.record

        def written() -> None:
            self.written = record

        self.in_flight, self.waiting = [written, *self.waiting], []
        self.act(Save(self.saving, msgspec.msgpack.encode(record)))
