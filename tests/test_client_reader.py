"""`ClientReader`, which splits a client's stream into messages."""

from __future__ import annotations

import tracemalloc

from banklift.pg.frames import ClientReader, message
from banklift.pg.statement import TEXT_LIMIT


def test_returned_messages_leave_no_memory_behind_in_the_buffer() -> None:
    """A client that has to wait would hold the memory of commands that were handled long ago."""
    reader = ClientReader(TEXT_LIMIT)
    reader.started = True
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        reader.feed(message(b"Q", bytes(100_000)) + b"Q\0")
        assert reader.next() is not None
        reader.compact()
        assert len(reader) == 2
        assert tracemalloc.get_traced_memory()[0] - before < 1000
    finally:
        tracemalloc.stop()
