"""`ClientReader`, which splits a client's stream into messages."""

from __future__ import annotations

import tracemalloc

from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.pg.frames import DISCARDED, ClientReader, message
from banklift.pg.statement import TEXT_LIMIT


@settings(max_examples=200)
@given(
    messages=st.lists(st.tuples(st.integers(0, 40), st.booleans()), max_size=8),
    cuts=st.lists(st.integers(1, 30), min_size=1, max_size=20),
)
def test_a_discarded_message_leaves_the_ones_around_it_whole(
    messages: list[tuple[int, bool]], cuts: list[int]
) -> None:
    """A reader out of step would take a part of a discarded command for a command of its own."""
    reader = ClientReader(100)
    reader.started = True
    stream = b"".join(message(b"Q", b"x" * size) for size, _ in messages)
    found: list[tuple[bytes, bytes]] = []
    decided = 0
    position = turn = 0
    while position < len(stream):
        size = cuts[turn % len(cuts)]
        reader.feed(stream[position : position + size])
        position += size
        turn += 1
        while True:
            if reader.next_size and decided == len(found):
                decided += 1
                if messages[len(found)][1]:
                    reader.discard_next()
                    assert len(reader) <= size
            found_message = reader.next()
            if found_message is None:
                break
            found.append(found_message)
            decided = max(decided, len(found))
        reader.compact()
    assert found == [(DISCARDED, b"Q") if discard else (b"Q", b"x" * size) for size, discard in messages]
    assert reader.is_between_messages and not len(reader)


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
