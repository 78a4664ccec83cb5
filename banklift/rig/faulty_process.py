"""A `banklift` process with faults by test configuration (process_faults.py); the program itself is unchanged.

    python -m banklift.rig.faulty_process FAULTS router --config FILE

Before the program is loaded, what it takes from the system is replaced: the calls by which a state is written, and the
clock. Everything above, from the state's two files to the agreement, is the real code.
"""

from __future__ import annotations

import errno
import os
import runpy
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from banklift.fleet.register import Record
from banklift.net import process
from banklift.rig.process_faults import Disk, ProcessFaults, Step, read_faults
from banklift.store import slots
from banklift.store.slots import Slots

HANG_POLL = 0.01  # seconds between looks at whether a disk that hangs still does


def kill_self() -> None:
    """As by SIGKILL from outside."""
    os.kill(os.getpid(), signal.SIGKILL)


class FaultySystem:
    """Stands for the module `os` in store/slots.py."""

    def __init__(self, faults: Callable[[], ProcessFaults]) -> None:
        self._faults = faults
        self.kill_in_write = False

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        """A disk that lies writes to nowhere."""
        writes = bool(flags & os.O_WRONLY)
        if writes and self._faults().disk is Disk.LIES:
            return os.open(os.devnull, os.O_WRONLY)
        return os.open(path, flags, mode)

    def write(self, file: int, data: memoryview) -> int:
        """A disk that is full takes half of it, and so does one whose process is killed in the middle."""
        full = self._faults().disk is Disk.FULL
        if not full and not self.kill_in_write:
            return os.write(file, data)
        os.write(file, data[: len(data) // 2])
        if self.kill_in_write:
            os.fsync(file)
            kill_self()
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def fsync(self, file: int) -> None:
        """A sync that fails, or hangs."""
        while self._faults().disk is Disk.HANGS:
            time.sleep(HANG_POLL)  # in the thread that writes; the event loop goes on
        if self._faults().disk is Disk.EIO:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fsync(file)


class FaultySlots:
    """Saves as `Slots` does, and is killed at the step that the faults name."""

    def __init__(self, system: FaultySystem, faults: Callable[[], ProcessFaults]) -> None:
        self.system, self.faults = system, faults
        self.real_save = Slots.save
        self.before: Record | None = None  # what was saved last

    def save(self, place: Slots, content: bytes) -> int:
        """Errors: `StoreError`."""
        record = msgspec.msgpack.decode(content, type=Record)
        step = self._step(record)
        if step is Step.ACCEPTANCE_NOT_WRITTEN:
            kill_self()
        self.system.kill_in_write = step is Step.ACCEPTANCE_HALF_WRITTEN
        generation = self.real_save(place, content)
        if step is not None:
            kill_self()
        self.before = record
        return generation

    def _step(self, record: Record) -> Step | None:
        """The step of this write at which the process is to end."""
        faults, before = self.faults(), self.before
        if faults.kill is None or before is None or stage_of(record) != faults.stage:
            return None
        accepts = record.accepted != before.accepted
        promises = record.promised != before.promised and not accepts
        of_promise = faults.kill is Step.PROMISE_WRITTEN
        return faults.kill if (promises if of_promise else accepts) else None


def stage_of(record: Record) -> str:
    """Of the change in that state; empty if there is none."""
    change = record.state.change if record.state is not None else None
    return "" if change is None else str(change.stage)


class FaultyClock:
    """Runs at a rate of its own, and jumps ahead at SIGUSR1."""

    def __init__(self, faults: ProcessFaults) -> None:
        self.rate, self.jump = faults.clock_rate, faults.clock_jump
        self.real = process.clock
        self.begin = self.real()
        self.ahead = 0.0
        signal.signal(signal.SIGUSR1, lambda number, frame: self._jumped())

    def _jumped(self) -> None:
        self.ahead += self.jump

    def now(self) -> float:
        """Seconds."""
        return self.begin + (self.real() - self.begin) * self.rate + self.ahead


def install(path: Path) -> None:
    """Replace what the program takes from the system."""
    faults = read_faults(path)
    system = FaultySystem(lambda: read_faults(path))
    faulty = FaultySlots(system, lambda: read_faults(path))
    setattr(slots, "os", system)  # noqa: B010  # a module's import, which is no part of its surface
    Slots.save = lambda place, content: faulty.save(place, content)  # type: ignore[method-assign, assignment]
    process.clock = FaultyClock(faults).now
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + faults.wall_offset
    time.time_ns = lambda: real_time_ns() + int(faults.wall_offset * 1e9)


def main() -> None:
    install(Path(sys.argv[1]))
    sys.argv = ["banklift", *sys.argv[2:]]
    runpy.run_module("banklift", run_name="__main__")


if __name__ == "__main__":
    main()
