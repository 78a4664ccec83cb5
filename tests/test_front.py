"""The RESP front: it gives every command exactly one reply, in order, and survives any bytes that a client sends."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.proxy import events as ev
from banklift.resp.commands import COMMANDS
from banklift.resp.frames import Scanner, command
from tests.test_machine import Rig, info, role

ARGUMENTS = st.one_of(
    st.sampled_from(
        [
            *COMMANDS,
            b"get",
            b"SETNAME",
            b"ID",
            b"GETNAME",
            b"SETINFO",
            b"COUNT",
            b"DOCS",
            b"GETKEYS",
            b"LIST",
            b"2",
            b"3",
            b"0",
            b"-1",
            b"1",
            b"a",
            b"{a}b",
            b"pick:1",
            b"trace:1",
            b"AUTH",
        ]
    ),
    st.binary(max_size=12),
)


def answer_members(rig: Rig) -> None:
    """Lets members answer everything that they were sent, and links come up."""
    for _ in range(50):
        progressed = False
        for link, address in list(rig.links.items()):
            if link in rig.probing or link in rig.closed:
                continue
            state = rig.machine.links.get(link)
            if state is not None and not state.up:
                rig.handle(ev.LinkUp(link))
                progressed = True
            data = rig.sent.pop(link, b"")
            if data:
                progressed = True
                rig.handle(ev.LinkData(link, replies_of_member(data, address)))
        if not progressed:
            return


def replies_of_member(data: bytes, address: str) -> bytes:
    """What the member at this address answers to these commands; `p:1` is the primary."""
    scanner = Scanner(1 << 20)
    out = b""
    queued = False  # between MULTI and EXEC
    for frame in scanner.feed(data):
        if b"\r\nROLE\r\n" in frame and frame.startswith(b"*1"):
            out += role(10) if address == "p:1" else info(False, 10)
        elif frame.startswith(b"*2\r\n$4\r\nINFO"):
            out += info(address == "p:1", 10)
        elif frame.startswith(b"*1\r\n$5\r\nMULTI"):
            queued = True
            out += b"+OK\r\n"
        elif frame.startswith(b"*1\r\n$4\r\nEXEC"):
            queued = False
            out += b"*0\r\n"
        else:
            out += b"+QUEUED\r\n" if queued else b"+OK\r\n"
    return out


@given(st.lists(st.lists(ARGUMENTS, min_size=1, max_size=5), min_size=1, max_size=12), st.integers(1, 64))
@settings(max_examples=300)
def test_every_command_gets_exactly_one_reply(commands: list[list[bytes]], size: int) -> None:
    rig = Rig()
    stream = b"".join(command(*args) for args in commands)
    for start in range(0, len(stream), size):
        rig.handle(ev.ClientData(1, stream[start : start + size]))
        answer_members(rig)
    rig.wait(3.0)
    answer_members(rig)
    rig.wait(3.0)
    replies = Scanner(1 << 20).feed(rig.answers.get(1, b""))
    quits = [index for index, args in enumerate(commands) if args[0].upper() == b"QUIT"]
    expected = quits[0] + 1 if quits else len(commands)
    if not any(args[0].upper() == b"WAIT" for args in commands):  # may wait without end, as its client asked
        assert len(replies) == expected
    assert len(replies) <= expected


@given(st.binary(max_size=200), st.integers(1, 50))
@settings(max_examples=300)
def test_random_bytes_end_with_a_closed_connection(data: bytes, size: int) -> None:
    rig = Rig()
    for start in range(0, len(data), size):
        rig.handle(ev.ClientData(1, data[start : start + size]))
        answer_members(rig)
    rig.handle(ev.ClientEof(1))
    rig.wait(3.0)
    answer_members(rig)
    assert rig.closed_clients == [1]
