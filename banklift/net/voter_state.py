"""A voter's state on disk: its folder is locked, read and checked at the start, and written while the voter runs."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from banklift.fleet.register import RECORD_FORMAT, Record
from banklift.net.router import Log
from banklift.store.slots import Slots, StoreError


class StateRefused(Exception):
    """This voter can't use the folder; the text says why. No state in it was changed."""


@dataclass(frozen=True, slots=True)
class VoterState:
    """A voter's open folder. `record` is its state at the start, None if it was absent or damaged. `absent` says that
    the folder had no state."""

    slots: Slots
    record: Record | None
    absent: bool

    def save(self, tasks: TaskGroup, content: bytes, done: Callable[[str], None]) -> None:
        """Write `content` in a worker thread, so that the event loop is not blocked. `done` is called with the error,
        or with an empty text."""

        async def write() -> None:
            try:
                await anyio.to_thread.run_sync(self.slots.save, content)
            except StoreError as error:
                done(str(error))
            else:
                done("")

        tasks.start_soon(write)


def open_state(folder: Path, fleet: str, voter: str, log: Log) -> VoterState:
    """Create the folder if it doesn't exist, lock it, and read the state of `voter`.

    Errors: `StateRefused` if the folder can't be read or locked, or its state can't be used.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        _lock(folder)
        slots = Slots(folder)
        loaded = slots.load()
    except (StoreError, OSError) as error:
        raise StateRefused(str(error)) from None
    record = None
    if loaded.content is not None:
        record = _decode(loaded.content, folder)
        _check_owner(record, folder, fleet, voter)
    log(
        "state read",
        {
            "whole": record is not None,
            "absent": loaded.absent,
            "generation": loaded.generation,
            "damaged": list(loaded.damaged),
        },
    )
    return VoterState(slots, record, loaded.absent)


def _lock(folder: Path) -> None:
    """Lock the folder until this process ends, as two processes on one folder would overwrite each other's state.

    Errors: `OSError` if another process has locked it.
    """
    file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)  # `file` stays open, and keeps the lock, to the end
    except OSError:
        os.close(file)
        raise OSError(f"{folder}: another process uses it") from None


def _decode(content: bytes, folder: Path) -> Record:
    """The record in a stored state. Errors: `StateRefused` if a newer build wrote it, or its format is unknown."""
    try:
        untyped = msgspec.msgpack.decode(content)
        stored_format = untyped.get("format") if isinstance(untyped, dict) else None
        if isinstance(stored_format, int) and stored_format > RECORD_FORMAT:
            raise StateRefused(
                f"{folder}: a state of a newer build (format {stored_format}, here {RECORD_FORMAT})"
            )
        return msgspec.msgpack.decode(content, type=Record)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StateRefused(f"{folder}: not a state that this build knows: {error}") from None


def _check_owner(record: Record, folder: Path, fleet: str, voter: str) -> None:
    """Errors: `StateRefused` if the record belongs to another fleet or another voter."""
    if (record.fleet, record.voter) != (fleet, voter):
        raise StateRefused(
            f"{folder}: the state of voter {record.voter!r} of fleet {record.fleet!r}, and this "
            f"is {voter!r} of {fleet!r}"
        )
