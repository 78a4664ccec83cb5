"""Faults injected into one real process: a kill at a named point, a faulty disk, a faulty clock.

The rig writes them into a file. The process (faulty_process.py) reads the file at its start and again at each write of
its state, so kills and disk faults can begin and end while the process runs. Disk faults that the fleet in virtual time
(world.py) has too go by the same names there.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec


class KillPoint(StrEnum):
    """A point in a voter's write of its state at which its process is killed."""

    PROMISE_WRITTEN = "promise written"  # between promise and answer: no proposer learns of the promise
    ACCEPTANCE_NOT_WRITTEN = "acceptance not written"  # between promise and acceptance
    ACCEPTANCE_HALF_WRITTEN = "acceptance half written"  # leaves a torn file
    ACCEPTANCE_WRITTEN = "acceptance written"  # between acceptance and answer


class DiskMode(StrEnum):
    """How a voter's disk handles a write."""

    HEALTHY = ""
    EIO = "EIO"  # fsync fails with EIO
    FULL = "full"  # half of the data is written, then the write fails with ENOSPC
    HANGS = "hangs"  # fsync does not return while this fault lasts
    LIES = "lies"  # write and fsync report success, and nothing is stored


class ProcessFaults(msgspec.Struct, frozen=True):
    """The faults of one process. The clock's faults are read at the start of the process alone."""

    kill: KillPoint | None = None  # where the process is killed, in a write at `stage`
    stage: str = ""  # of the change in the state that is being written; empty: that state has no change
    disk: DiskMode = DiskMode.HEALTHY
    clock_rate: float = 1.0  # of the monotonic clock, in its seconds per true second
    clock_jump: float = 0.0  # seconds that the monotonic clock jumps ahead at SIGUSR1, as after a suspend
    wall_offset: float = 0.0  # seconds that the wall clock is ahead of the machine's


def write_faults(path: Path, faults: ProcessFaults) -> None:
    """Replace the file atomically, so that the process never reads half of it. Errors: `OSError`."""
    new_file = path.with_suffix(".new")
    new_file.write_bytes(msgspec.json.encode(faults))
    new_file.replace(path)


def read_faults(path: Path) -> ProcessFaults:
    """Read the faults that are in force. Errors: `OSError`, `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=ProcessFaults)
