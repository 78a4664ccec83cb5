"""The folder in which a voter keeps its state: locked, read and checked at the start, written while it runs."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio.to_thread
import msgspec
from anyio.abc import TaskGroup

from banklift.fleet.register import FORMAT, Record
from banklift.net.router import Log
from banklift.store.slots import Slots, StoreError


class StateRefused(Exception):
    """The folder can't be used by this voter; the text says why. Nothing in it was changed."""


@dataclass(frozen=True, slots=True)
class VoterState:
    """`record`: what the folder held; None if that was nothing, or damaged. `absent`: it held nothing."""

    slots: Slots
    record: Record | None
    absent: bool

    def save(self, tasks: TaskGroup, content: bytes, done: Callable[[str], None]) -> None:
        """Write beside the event loop. `done` is called with what went wrong, or with nothing."""

        async def write() -> None:
            try:
                await anyio.to_thread.run_sync(self.slots.save, content)
            except StoreError as error:
                done(str(error))
            else:
                done("")

        tasks.start_soon(write)


def open_state(place: Path, fleet: str, voter: str, log: Log) -> VoterState:
    """Lock the folder, which is made if need be, and read it. Errors: `StateRefused`."""
    try:
        place.mkdir(parents=True, exist_ok=True)
        _lock(place)
        slots = Slots(place)
        loaded = slots.load()
    except (StoreError, OSError) as error:
        raise StateRefused(str(error)) from None
    record = None
    if loaded.content is not None:
        record = _decode(loaded.content, place)
        _check_owner(record, place, fleet, voter)
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


def _lock(place: Path) -> None:
    """Two processes on one folder would each undo what the other has written. Errors: `OSError`."""
    file = os.open(place / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)  # kept until this process ends
    except OSError:
        os.close(file)
        raise OSError(f"{place}: another process uses it") from None


def _decode(content: bytes, place: Path) -> Record:
    """Errors: `StateRefused` if a newer build has written it, or none that is known."""
    try:
        head = msgspec.msgpack.decode(content)
        written = head.get("format") if isinstance(head, dict) else None
        if isinstance(written, int) and written > FORMAT:
            raise StateRefused(f"{place}: a state of a newer build (format {written}, here {FORMAT})")
        return msgspec.msgpack.decode(content, type=Record)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StateRefused(f"{place}: not a state that this build knows: {error}") from None


def _check_owner(record: Record, place: Path, fleet: str, voter: str) -> None:
    """Errors: `StateRefused` if it is another fleet's or another voter's."""
    if (record.fleet, record.voter) != (fleet, voter):
        raise StateRefused(
            f"{place}: the state of voter {record.voter!r} of fleet {record.fleet!r}, and this "
            f"is {voter!r} of {fleet!r}"
        )
