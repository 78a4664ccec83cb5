"""The memory of this process: how much of it is resident, and how the C library gives it back."""

from __future__ import annotations

import ctypes
import os

STATM = "/proc/self/statm"  # sizes in pages: of the process, and of what is resident
M_MMAP_THRESHOLD = -3  # parameter of glibc's mallopt
LARGE_BLOCK_BYTES = 128 * 1024  # the threshold that glibc starts with


def resident_bytes() -> int | None:
    """Bytes of this process that are resident; None where the system doesn't tell."""
    try:
        with open(STATM, "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")


def return_large_blocks() -> None:
    """Make the C library give each block above `LARGE_BLOCK_BYTES` back to the system as soon as it is freed.

    By default glibc raises that threshold with the first such block that is freed. From then on they leave gaps between
    smaller ones, and the process keeps up to twice the memory that it uses. Does nothing with other C libraries.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
