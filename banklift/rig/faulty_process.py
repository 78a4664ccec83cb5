"""Runs the `banklift` program in this process with injected faults (process_faults.py); the program is unchanged.

    python -m banklift.rig.faulty_process FAULTS router --config FILE

Before the program is loaded, what it takes from the operating system is replaced: the calls that write a voter's state,
and the clocks. All that is above these, from the two files of the state to the agreement, is the program's own code.
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
from banklift.rig.process_faults import DiskMode, KillPoint, ProcessFaults, read_faults
from banklift.store import slots
from banklift.store.slots import Slots

HANG_POLL_INTERVAL = 0.01  # seconds between checks whether a disk still hangs


def kill_self() -> None:
    """End this process as SIGKILL from outside would."""
    os.kill(os.getpid(), signal.SIGKILL)


class FaultyOs:
    """Takes the place of the module `os` in store/slots.py. `faults` reads the faults that are in force."""

    def __init__(self, faults: Callable[[], ProcessFaults]) -> None:
        self._faults = faults
        self.kill_in_write = False

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def open(self, path: Path, flags: int, mode: int = 0o777) -> int:
        """As `os.open`, but a disk that lies opens /dev/null for writing."""
        writes = bool(flags & os.O_WRONLY)
        if writes and self._faults().disk is DiskMode.LIES:
            return os.open(os.devnull, os.O_WRONLY)
        return os.open(path, flags, mode)

    def write(self, file: int, data: memoryview) -> int:
        """As `os.write`, but half of the data is written if the disk is full or the process is killed in the write.
        Errors: `OSError`."""
        full = self._faults().disk is DiskMode.FULL
        if not full and not self.kill_in_write:
            return os.write(file, data)
        os.write(file, data[: len(data) // 2])
        if self.kill_in_write:
            os.fsync(file)
            kill_self()
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def fsync(self, file: int) -> None:
        """As `os.fsync`, but it hangs or fails by the disk's mode; a disk that lies stores nothing, and reports success
        (the system would report an error for /dev/null). Errors: `OSError`."""
        if self._faults().disk is DiskMode.LIES:
            return
        while self._faults().disk is DiskMode.HANGS:
            time.sleep(HANG_POLL_INTERVAL)  # blocks only the thread that writes; the event loop goes on
        if self._faults().disk is DiskMode.EIO:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fsync(file)


class FaultySlots:
    """Takes the place of `Slots.save`, and kills the process at the point that the faults name."""

    def __init__(self, faulty_os: FaultyOs, faults: Callable[[], ProcessFaults]) -> None:
        self.faulty_os, self.faults = faulty_os, faults
        self.real_save = Slots.save
        self.last_saved: Record | None = None

    def save(self, state_slots: Slots, content: bytes) -> int:
        """As `Slots.save`. Errors: `StoreError`."""
        record = msgspec.msgpack.decode(content, type=Record)
        kill_point = self._kill_point(record)
        if kill_point is KillPoint.ACCEPTANCE_NOT_WRITTEN:
            kill_self()
        self.faulty_os.kill_in_write = kill_point is KillPoint.ACCEPTANCE_HALF_WRITTEN
        generation = self.real_save(state_slots, content)
        if kill_point is not None:
            kill_self()
        self.last_saved = record
        return generation

    def _kill_point(self, record: Record) -> KillPoint | None:
        """The point in the write of this record at which the process is to be killed, if there is one."""
        faults, before = self.faults(), self.last_saved
        if faults.kill is None or before is None or stage_of(record) != faults.stage:
            return None
        accepts = record.accepted != before.accepted
        promises = record.promised != before.promised and not accepts
        of_promise = faults.kill is KillPoint.PROMISE_WRITTEN
        return faults.kill if (promises if of_promise else accepts) else None


def stage_of(record: Record) -> str:
    """The stage of the change in the record's state; empty if there is no change."""
    change = record.state.change if record.state is not None else None
    return "" if change is None else str(change.stage)


class FaultyClock:
    """Takes the place of `process.clock`: runs at a rate of its own, and jumps ahead at SIGUSR1."""

    def __init__(self, faults: ProcessFaults) -> None:
        self.rate, self.jump = faults.clock_rate, faults.clock_jump
        self.real_clock = process.clock
        self.started_at = self.real_clock()
        self.ahead = 0.0  # seconds of all jumps together
        signal.signal(signal.SIGUSR1, lambda number, frame: self._jump_ahead())

    def _jump_ahead(self) -> None:
        self.ahead += self.jump

    def now(self) -> float:
        """Seconds, as `process.clock`."""
        return self.started_at + (self.real_clock() - self.started_at) * self.rate + self.ahead


def install(path: Path) -> None:
    """Replace what the program takes from the operating system, by the faults in the file at `path`.

    Errors: `OSError`, `msgspec.DecodeError` if the file can't be read.
    """
    faults = read_faults(path)
    faulty_os = FaultyOs(lambda: read_faults(path))
    faulty_slots = FaultySlots(faulty_os, lambda: read_faults(path))
    setattr(slots, "os", faulty_os)  # noqa: B010  # mypy does not see a module's import as an attribute
    Slots.save = lambda state_slots, content: faulty_slots.save(state_slots, content)  # type: ignore[method-assign, assignment]
    process.clock = FaultyClock(faults).now
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + faults.wall_offset
    time.time_ns = lambda: real_time_ns() + int(faults.wall_offset * 1e9)


def main() -> None:
    """Install the faults of the file that is the first argument, and run the program with the other arguments."""
    install(Path(sys.argv[1]))
    sys.argv = ["banklift", *sys.argv[2:]]
    runpy.run_module("banklift", run_name="__main__")


if __name__ == "__main__":
    main()
