"""A small state on disk, whole or not at all: two files written in turn, each with its generation and a checksum.

Theory of operation. A save writes the whole state into the file that does not hold the newest one, makes the disk keep
it (fsync of the file, and of the folder where the file is new), and only then counts as done. A crash at any point
leaves the other file as it was. A load reads both and takes the newest that is whole.

| what the files hold | `load` says |
| --- | --- |
| no file at all | absent |
| at least one that is whole | the newest of these |
| files, and none that is whole | damaged |

What a load can't tell: that the disk as a whole was set back to an earlier day, that a file it wrote last was damaged
and the one before is taken, or that a sync lied. Who can't bear that has to ask somebody else (fleet/register.py does).

Weighed against SQLite (apsw): one value of some kilobytes, written as a whole a few times an hour, needs neither pages
nor a log; SQLite checks no sums by default; and two files can be tried out with a cut at every byte. docs/fleet.md has
more.
"""

from __future__ import annotations

import errno
import hashlib
import os
from dataclasses import dataclass
from pathlib import Path

MAGIC = b"BANKLIFT STATE 1\n"
HEAD = len(MAGIC) + 8 + 8  # and the generation, and the length
SUM = 16  # bytes of the checksum, at the end
NAMES = ("state.a", "state.b")
LIMIT = 64 * 1024 * 1024  # bytes of a state


class StoreError(Exception):
    """The state can't be read or written. `kind`: full, read-only, not a folder, or failed."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(f"{kind}: {text}")
        self.kind = kind


KINDS = {
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
    """`content` is None if there is none that is whole; `absent` if there never was any file. `damaged` names files
    that are not whole."""

    content: bytes | None
    generation: int
    absent: bool
    damaged: tuple[str, ...] = ()


def pack(generation: int, content: bytes) -> bytes:
    head = MAGIC + generation.to_bytes(8, "big") + len(content).to_bytes(8, "big")
    return head + content + hashlib.blake2b(head + content, digest_size=SUM).digest()


def unpack(data: bytes) -> tuple[int, bytes] | None:
    """Generation and content; None if it is not whole."""
    if len(data) < HEAD + SUM or not data.startswith(MAGIC):
        return None
    length = int.from_bytes(data[HEAD - 8 : HEAD], "big")
    if (
        len(data) != HEAD + length + SUM
        or hashlib.blake2b(data[:-SUM], digest_size=SUM).digest() != data[-SUM:]
    ):
        return None
    return int.from_bytes(data[len(MAGIC) : HEAD - 8], "big"), data[HEAD:-SUM]


class Slots:
    """The state in one folder. One process at a time uses it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.generation = 0
        self.newest = NAMES[1]  # the file that is not written next

    def load(self) -> Loaded:
        """Errors: `StoreError` if a file is there and can't be read."""
        found: list[tuple[int, str, bytes]] = []
        damaged, files = [], 0
        for name in NAMES:
            try:
                with open(self.folder / name, "rb") as file:
                    data = file.read(LIMIT + 1)
            except FileNotFoundError:
                continue
            except OSError as error:
                raise self._error(error) from None
            files += 1
            whole = unpack(data)
            if whole is None:
                damaged.append(name)
            else:
                found.append((whole[0], name, whole[1]))
        if not found:
            return Loaded(None, 0, files == 0, tuple(damaged))
        self.generation, self.newest, content = max(found)
        return Loaded(content, self.generation, False, tuple(damaged))

    def save(self, content: bytes) -> int:
        """Returns the generation, once all of it is on disk. Errors: `StoreError`; the state before that stays."""
        name = NAMES[0] if self.newest == NAMES[1] else NAMES[1]
        path, generation = self.folder / name, self.generation + 1
        try:
            new = not path.exists()
            file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                view = memoryview(pack(generation, content))
                while view:
                    view = view[os.write(file, view) :]
                os.fsync(file)
            finally:
                os.close(file)
            if new:
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
        return StoreError(KINDS.get(error.errno or 0, "failed"), f"{self.folder}: {error.strerror}")
