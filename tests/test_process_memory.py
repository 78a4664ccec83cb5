"""What the process keeps of memory that it has freed. Each test runs in a process with a fresh allocator."""

from __future__ import annotations

import subprocess
import sys

import pytest

KEPT_BYTES = """
import sys
from banklift.net.process_memory import resident_bytes, return_large_blocks
if sys.argv[1] == "returned":
    return_large_blocks()
first = bytes(140 * 1024)
del first
# takes up the small blocks that the imports have freed, so that those below lie between the large ones
fillers = [bytearray(1000) for _ in range(5000)]
before = resident_bytes()
blocks = []
for _ in range(200):
    blocks.append(b"x" * (140 * 1024))
    blocks.append(bytearray(1000))  # small blocks above each large one keep the heap from shrinking
del blocks[::2]
print(resident_bytes() - before)
"""


@pytest.mark.parametrize("mode", ["returned", "kept"])
def test_large_blocks_are_given_back_as_soon_as_they_are_freed(mode: str) -> None:
    """Commands of 132 KiB left gaps in the heap: the process kept up to twice the memory that it used.

    "kept" shows that the C library does so by itself; otherwise this test would show nothing.
    """
    command = [sys.executable, "-c", KEPT_BYTES, mode]
    kept = int(subprocess.run(command, capture_output=True, text=True, check=True, timeout=60).stdout)
    if mode == "returned":
        assert kept < 4 * 1024 * 1024
    else:
        assert kept > 20 * 1024 * 1024
