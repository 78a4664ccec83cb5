"""Storage of a small state that is replaced as a whole: two files written in turn, with generation and checksum.

Theory of operation. A save writes the whole state to the file that does not hold the newest one and calls fsync on the
file, and on the folder where the file is new; only then does the save count as done. A crash at any point leaves the
other file as it was. A load reads both files and takes the newest one that is whole.

| content of the files | result of `load` |
| --- | --- |
| no file at all | absent |
| at least one that is whole | the newest of these |
| files, none of which is whole | damaged |

A load can't tell that the whole disk was rolled back to an earlier state, that the file written last was damaged so
that the one before it is taken, or that an fsync was not honoured. A caller that can't bear that has to ask other
machines (fleet/register.py does).

Compared with SQLite (apsw): one value of some kilobytes, written as a whole a few times an hour, needs neither pages
nor a log; SQLite verifies no checksums by default; and two files can be tested with a cut at every byte. docs/fleet.md
has more.
"""

from __future__ import annotations

import errno
import hashlib
import os
from dataclasses import dataclass
from pathlib import Path

MAGIC = b"BANKLIFT STATE 1\n"
GENERATION_BYTES = 8
LENGTH_BYTES = 8
HEADER_BYTES = len(MAGIC) + GENERATION_BYTES + LENGTH_BYTES
CHECKSUM_BYTES = 16  # at the end of a file
FILE_NAMES = ("state.a", "state.b")
MAX_FILE_BYTES = 64 * 1024 * 1024


class StoreError(Exception):
    """Raised where the state can't be read or written. `kind`: full, read-only, not a folder, or failed."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(f"{kind}: {text}")
        self.kind = kind


ERROR_KINDS = {
    errno.ENOSPC: "full",
    errno.EDQUOT: "full",
    errno.EROFS: "read-only",
    errno.EACCES: "read-only",
    errno.EPERM: "read-only",
    errno.ENOENT: "not a folder",
    errno.ENOTDIR: "not a folder",
}


@dataclass(frozen=True, slots=True)
class Loaded:
    """The result of a load.

    `content`: None if no file is whole. `generation`: of the content, 0 without one. `absent`: there is no file at all.
    `damaged`: names of the files that are not whole.
    """

    content: bytes | None
    generation: int
    absent: bool
    damaged: tuple[str, ...] = ()


def pack(generation: int, content: bytes) -> bytes:
    """The bytes of a file: magic line, generation, length of the content, content, checksum."""
    header = MAGIC + generation.to_bytes(GENERATION_BYTES, "big") + len(content).to_bytes(LENGTH_BYTES, "big")
    return header + content + hashlib.blake2b(header + content, digest_size=CHECKSUM_BYTES).digest()


def unpack(data: bytes) -> tuple[int, bytes] | None:
    """Generation and content of a file's bytes; None if they are not whole."""
    if len(data) < HEADER_BYTES + CHECKSUM_BYTES or not data.startswith(MAGIC):
        return None
    length = int.from_bytes(data[HEADER_BYTES - LENGTH_BYTES : HEADER_BYTES], "big")
    if (
        len(data) != HEADER_BYTES + length + CHECKSUM_BYTES
        or hashlib.blake2b(data[:-CHECKSUM_BYTES], digest_size=CHECKSUM_BYTES).digest()
        != data[-CHECKSUM_BYTES:]
    ):
        return None
    generation = int.from_bytes(data[len(MAGIC) : HEADER_BYTES - LENGTH_BYTES], "big")
    return generation, data[HEADER_BYTES:-CHECKSUM_BYTES]


class Slots:
    """The state in one folder, which only one process at a time may use (the caller locks it)."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.generation = 0
        self.newest = FILE_NAMES[1]  # the file with the newest state; the other one is written next

    def load(self) -> Loaded:
        """Read the newest whole state. Errors: `StoreError` if a file exists and can't be read."""
        found: list[tuple[int, str, bytes]] = []
        damaged: list[str] = []
        file_count = 0
        for name in FILE_NAMES:
            try:
                with open(self.folder / name, "rb") as file:
                    data = file.read(MAX_FILE_BYTES + 1)
            except FileNotFoundError:
                continue
            except OSError as error:
                raise self._error(error) from None
            file_count += 1
            unpacked = unpack(data)
            if unpacked is None:
                damaged.append(name)
            else:
                found.append((unpacked[0], name, unpacked[1]))
        if not found:
            return Loaded(None, 0, file_count == 0, tuple(damaged))
        self.generation, self.newest, content = max(found)
        return Loaded(content, self.generation, False, tuple(damaged))

    def save(self, content: bytes) -> int:
        """Write a state; returns its generation once all of it is on disk.

        Errors: `StoreError`; the state saved before stays in its file.
        """
        name = FILE_NAMES[0] if self.newest == FILE_NAMES[1] else FILE_NAMES[1]
        path, generation = self.folder / name, self.generation + 1
        try:
            is_new = not path.exists()
            file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                unwritten = memoryview(pack(generation, content))
                while unwritten:
                    unwritten = unwritten[os.write(file, unwritten) :]
                os.fsync(file)
            finally:
                os.close(file)
            if is_new:
                folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
                try:
                    os.fsync(folder)
                finally:
                    os.close(folder)
        except OSError as error:
            raise self._error(error) from None
        self.generation, self.newest = generation, name
        return generation

    def _error(self, error: OSError) -> StoreError:
        """The `StoreError` for an error of the operating system."""
        return StoreError(ERROR_KINDS.get(error.errno or 0, "failed"), f"{self.folder}: {error.strerror}")
