"""Hash slots by the public cluster specification: CRC16 (XMODEM) of the key or of its hash tag, modulo 16384."""

from __future__ import annotations

import binascii

SLOT_COUNT = 16384


def slot(key: bytes) -> int:
    """The hash slot of a key: that of the part between its first `{` and the next `}` unless that part is empty."""
    start = key.find(b"{")
    if start >= 0:
        end = key.find(b"}", start + 1)
        if end > start + 1:
            key = key[start + 1 : end]
    return binascii.crc_hqx(key, 0) % SLOT_COUNT
