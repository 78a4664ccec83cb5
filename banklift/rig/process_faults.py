"""Faults within one real process, by test configuration: a kill at a named step, a disk and a clock that go wrong.

The rig writes them into a file, the process (faulty_process.py) reads it again at each write of its state, so a fault
can begin and end while the process runs. Names of faults of disks are those of virtual time (world.py).
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec


class Step(StrEnum):
    """A point in a voter's write of its state at which its process is killed."""

    PROMISE_WRITTEN = "promise written"  # between promise and answer: nobody hears of it
    ACCEPTANCE_NOT_WRITTEN = "acceptance not written"  # between promise and acceptance
    ACCEPTANCE_HALF_WRITTEN = "acceptance half written"  # a torn file
    ACCEPTANCE_WRITTEN = "acceptance written"  # between acceptance and answer


class Disk(StrEnum):
    """What a voter's disk does with a write."""

    FINE = ""
    EIO = "EIO"  # the sync fails
    FULL = "full"  # half of it is written, then there is no space
    HANGS = "hangs"  # the sync does not return while this fault lasts
    LIES = "lies"  # it says that all is well, and keeps nothing


class ProcessFaults(msgspec.Struct, frozen=True):
    """`stage`: of the change in the voter's state as it is written then; empty: there is none. `clock_rate`: of the
    process's clock. `clock_jump`: seconds that it jumps ahead at SIGUSR1, as when a machine was suspended.
    `wall_offset`: seconds that its wall clock is ahead."""

    kill: Step | None = None
    stage: str = ""
    disk: Disk = Disk.FINE
    clock_rate: float = 1.0
    clock_jump: float = 0.0
    wall_offset: float = 0.0


def write_faults(path: Path, faults: ProcessFaults) -> None:
    """In place of earlier ones, whole or not at all."""
    whole = path.with_suffix(".new")
    whole.write_bytes(msgspec.json.encode(faults))
    whole.replace(path)


def read_faults(path: Path) -> ProcessFaults:
    """Errors: `OSError`, `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=ProcessFaults)
