"""RESP framing: frames and commands are found however the stream is cut, and broken ones are refused as Redis does."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.resp.frames import (
    ARG_BYTES,
    CommandReader,
    ProtocolError,
    Scanner,
    command,
    encode,
    split_inline,
)
from banklift.resp.slots import slot

FRAMES = [
    b"+OK\r\n",
    b"-ERR no\r\n",
    b":12\r\n",
    b"$5\r\nhe\r\no\r\n",
    b"$0\r\n\r\n",
    b"$-1\r\n",
    b"*0\r\n",
    b"*-1\r\n",
    b"_\r\n",
    b",3.14\r\n",
    b",inf\r\n",
    b"#t\r\n",
    b"(349289032840923850932485094385\r\n",
    b"!5\r\nERR x\r\n",
    b"=7\r\ntxt:abc\r\n",
    b"%2\r\n+a\r\n:1\r\n+b\r\n*2\r\n:2\r\n:3\r\n",
    b"~2\r\n+a\r\n+b\r\n",
    b">2\r\n+message\r\n+x\r\n",
    b"|1\r\n+ttl\r\n:3600\r\n*2\r\n:1\r\n:2\r\n",
    b"*2\r\n*1\r\n$1\r\na\r\n|1\r\n+k\r\n+v\r\n:7\r\n",
    b"$?\r\n;4\r\nHell\r\n;1\r\no\r\n;0\r\n",
    b"*?\r\n:1\r\n:2\r\n.\r\n",
    b"*3\r\n$?\r\n;0\r\n*?\r\n.\r\n+x\r\n",
    b"%0\r\n",
]


@given(st.lists(st.sampled_from(FRAMES), max_size=8), st.lists(st.integers(1, 40), max_size=40))
@settings(max_examples=200)
def test_frames_are_found_however_the_stream_is_cut(frames: list[bytes], cuts: list[int]) -> None:
    stream = b"".join(frames)
    scanner = Scanner(1000)
    found = []
    for size in [*cuts, len(stream) + 1]:
        found += scanner.feed(stream[:size])
        stream = stream[size:]
    assert found == frames


@pytest.mark.parametrize(
    "bad", [b"?\r\n", b"$x\r\n", b"*-2\r\n", b"$3\r\nabcde\r\n", b"hello\r\n", b"$2000\r\n"]
)
def test_broken_frames_are_refused(bad: bytes) -> None:
    with pytest.raises(ProtocolError):
        Scanner(1000).feed(bad)


def test_an_oversized_answer_is_refused_at_its_header() -> None:
    scanner = Scanner(100)
    with pytest.raises(ProtocolError, match="too large"):
        scanner.feed(b"$101\r\n")


def test_a_frame_nested_too_deeply_is_refused() -> None:
    with pytest.raises(ProtocolError, match="deep"):
        Scanner(1 << 20).feed(b"*1\r\n" * 600)


@given(
    st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=4), max_size=5),
    st.lists(st.integers(1, 30), max_size=40),
)
@settings(max_examples=200)
def test_commands_are_read_however_the_stream_is_cut(commands: list[list[bytes]], cuts: list[int]) -> None:
    stream = b"".join(command(*args) for args in commands)
    reader = CommandReader(1000)
    found = []
    for size in [*cuts, len(stream) + 1]:
        reader.feed(stream[:size])
        stream = stream[size:]
        while (args := reader.next()) is not None:
            found.append(args)
    assert found == commands
    assert reader.pos == len(reader.buffer)


@given(
    st.lists(st.lists(st.binary(max_size=30), min_size=1, max_size=4), min_size=1, max_size=5),
    st.lists(st.tuples(st.integers(1, 30), st.booleans()), max_size=40),
)
@settings(max_examples=200)
def test_a_command_may_be_discarded_wherever_it_is_cut(
    commands: list[list[bytes]], cuts: list[tuple[int, bool]]
) -> None:
    """What is discarded stands as an empty list in its place, and the commands behind it are read as ever."""
    stream = b"".join(command(*args) for args in commands)
    reader = CommandReader(1000)
    found = []
    for size, discards in [*cuts, (len(stream) + 1, False)]:
        reader.feed(stream[:size])
        stream = stream[size:]
        while (args := reader.next()) is not None:
            found.append(args)
        if discards:
            reader.discard()
            assert not reader.is_incomplete or reader.held_bytes <= 30
            assert reader.held_bytes <= 30  # at most the part of a header
    assert [args or expected for args, expected in zip(found, commands, strict=True)] == commands
    assert reader.held_bytes == 0 and not reader.is_incomplete


def test_a_long_command_in_small_pieces_is_kept_in_one_buffer() -> None:
    """Each piece was appended by a copy of all that had come, so a slow writer of a large command took seconds of the
    processor, and its arguments were kept twice."""
    reader = CommandReader(1 << 20)
    buffer = reader.buffer
    sent = command("SET", "k", b"x" * 500_000)
    for start in range(0, len(sent) - 1, 4096):
        reader.feed(sent[start : min(start + 4096, len(sent) - 1)])
        assert reader.next() is None
    assert reader.buffer is buffer and reader.is_incomplete
    assert len(sent) <= reader.held_bytes <= len(sent) + 3 * ARG_BYTES
    reader.feed(sent[-1:])
    assert reader.next() == [b"SET", b"k", b"x" * 500_000] and reader.raw == sent
    reader.feed(b"")
    assert not buffer


def test_a_command_of_very_many_short_arguments_counts_what_they_will_take() -> None:
    reader = CommandReader(1 << 20)
    reader.feed(b"*10000\r\n" + b"$2\r\nab\r\n" * 9_000)
    assert reader.next() is None and reader.held_bytes > 9_000 * ARG_BYTES
    reader.discard()
    assert reader.held_bytes == 0
    reader.feed(b"$2\r\nab\r\n" * 1_000 + command("PING"))
    assert [reader.next() for _ in range(3)] == [[], [b"PING"], None]


@pytest.mark.parametrize(
    ("sent", "text"),
    [
        (b"*1\r\n:1\r\n", "expected '$', got ':'"),
        (b"*x\r\n", "invalid multibulk length"),
        (b"*1\r\n$-1\r\n", "invalid bulk length"),
        (b"*1\r\n$1001\r\n", "invalid bulk length"),
        (b"*2\r\n$600\r\n" + b"x" * 600 + b"\r\n$600\r\n", "invalid bulk length"),
        (b"x" * 70_000, "too big inline request"),
        (b"*99999999\r\n", "invalid multibulk length"),
        (b'GET "a\r\n', "unbalanced quotes in request"),
    ],
)
def test_broken_commands_are_refused_with_the_texts_of_redis(sent: bytes, text: str) -> None:
    reader = CommandReader(1000)
    reader.feed(sent)
    with pytest.raises(ProtocolError) as caught:
        reader.next()
    assert str(caught.value) == text


def test_inline_commands_and_their_quotes_are_read() -> None:
    reader = CommandReader(1000)
    reader.feed(b'\r\nPING\r\nSET a "b \\x41\\n"\n*1\r\n$4\r\nPING\r\n')
    assert [reader.next() for _ in range(4)] == [[b"PING"], [b"SET", b"a", b"b A\n"], [b"PING"], None]
    assert split_inline(b"a 'b c' \"\"") == [b"a", b"b c", b""]


def test_replies_are_encoded_by_protocol_version() -> None:
    value = {"a": None, "b": [True, 1]}
    assert encode(value, 3) == b"%2\r\n$1\r\na\r\n_\r\n$1\r\nb\r\n*2\r\n#t\r\n:1\r\n"
    assert encode(value, 2) == b"*4\r\n$1\r\na\r\n$-1\r\n$1\r\nb\r\n*2\r\n:1\r\n:1\r\n"


def test_hash_slots_follow_the_cluster_specification() -> None:
    assert slot(b"123456789") == 0x31C3  # the example of the specification
    assert slot(b"{user1000}.following") == slot(b"{user1000}.followers")
    assert slot(b"foo{}{bar}") == slot(b"foo{}{bar}") != slot(b"bar")
