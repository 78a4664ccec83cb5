"""The state on disk: a load returns a whole state or none, after crashes, damage and failed writes."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from banklift.store.slots import FILE_NAMES, Slots, StoreError, pack, unpack


def content(folder: Path) -> bytes | None:
    return Slots(folder).load().content


def test_an_absent_state_differs_from_a_damaged_one(tmp_path: Path) -> None:
    assert Slots(tmp_path).load().absent
    (tmp_path / FILE_NAMES[0]).write_bytes(b"")
    loaded = Slots(tmp_path).load()
    assert (loaded.absent, loaded.content, loaded.damaged) == (False, None, (FILE_NAMES[0],))


def test_saves_alternate_between_files_and_the_newest_is_read(tmp_path: Path) -> None:
    slots = Slots(tmp_path)
    for number in range(1, 6):
        assert slots.save(b"state %d" % number) == number
        assert content(tmp_path) == b"state %d" % number
    assert sorted(path.name for path in tmp_path.iterdir()) == sorted(FILE_NAMES)
    reopened = Slots(tmp_path)
    assert reopened.load().generation == 5
    assert reopened.save(b"state 6") == 6
    assert content(tmp_path) == b"state 6"


def test_a_save_cut_at_any_byte_leaves_the_state_before(tmp_path: Path) -> None:
    slots = Slots(tmp_path)
    slots.save(b"one")
    slots.save(b"two")
    whole = pack(3, b"three")
    older_file = tmp_path / FILE_NAMES[0]  # holds the older state
    for cut in range(len(whole)):
        older_file.write_bytes(whole[:cut])
        assert content(tmp_path) == b"two", cut
        old = pack(1, b"one")
        older_file.write_bytes(whole[:cut] + old[cut:])  # new bytes up to the cut, then old ones
        assert content(tmp_path) in (b"two", b"three") and (content(tmp_path) == b"two" or cut >= len(old)), (
            cut
        )
    older_file.write_bytes(whole)
    assert content(tmp_path) == b"three"


def test_any_flipped_bit_is_detected() -> None:
    whole = pack(7, b"promised")
    assert unpack(whole) == (7, b"promised")
    for index in range(len(whole)):
        for bit in range(8):
            damaged = bytearray(whole)
            damaged[index] ^= 1 << bit
            assert unpack(bytes(damaged)) is None


@pytest.mark.parametrize(
    ("code", "kind"),
    [(errno.ENOSPC, "full"), (errno.EROFS, "read-only"), (errno.EIO, "failed"), (errno.EACCES, "read-only")],
)
def test_a_failed_write_reports_its_kind_and_keeps_a_whole_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int, kind: str
) -> None:
    slots = Slots(tmp_path)
    slots.save(b"one")
    slots.save(b"two")

    def fail(file: int) -> None:
        raise OSError(code, os.strerror(code))

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(StoreError) as caught:
            slots.save(b"three")
    assert caught.value.kind == kind and str(tmp_path) in str(caught.value)
    assert Slots(tmp_path).load().content in (b"two", b"three")  # the failed save may be on disk all the same
    assert slots.save(b"four") == 3
    assert content(tmp_path) == b"four"


def test_a_save_after_the_files_were_removed_is_whole(tmp_path: Path) -> None:
    slots = Slots(tmp_path)
    slots.save(b"one")
    for path in tmp_path.iterdir():
        path.unlink()
    slots.save(b"two")
    assert content(tmp_path) == b"two"
    folder = tmp_path / "gone"
    with pytest.raises(StoreError, match="not a folder"):
        Slots(folder).save(b"one")
