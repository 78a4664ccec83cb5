"""Whatever a client sends, the front answers each command once, in order, and never breaks."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.proxy import events as ev
from banklift.resp.commands import COMMANDS
from banklift.resp.frames import Scanner, command
from tests.test_machine import Rig, info, role

WORDS = st.one_of(
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


def pump(rig: Rig) -> None:
    """Members answer everything that they were sent."""
    for _ in range(50):
        busy = False
        for link, address in list(rig.links.items()):
            if link in rig.probing or link in rig.closed:
                continue
            state = rig.machine.links.get(link)
            if state is not None and not state.up:
                rig.tell(ev.LinkUp(link))
                busy = True
            data = rig.sent.pop(link, b"")
            if data:
                busy = True
                rig.tell(ev.LinkData(link, answers(data, address)))
        if not busy:
            return


def answers(data: bytes, address: str) -> bytes:
    scanner, out, queued = Scanner(1 << 20), b"", False
    for frame in scanner.feed(data):
        if b"\r\nROLE\r\n" in frame and frame.startswith(b"*1"):
            out += role(10) if address == "p:1" else info(False, 10)
        elif frame.startswith(b"*2\r\n$4\r\nINFO"):
            out += info(address == "p:1", 10)
        elif frame.startswith(b"*1\r\n$5\r\nMULTI"):
            queued, out = True, out + b"+OK\r\n"
        elif frame.startswith(b"*1\r\n$4\r\nEXEC"):
            queued, out = False, out + b"*0\r\n"
        else:
            out += b"+QUEUED\r\n" if queued else b"+OK\r\n"
    return out


@given(st.lists(st.lists(WORDS, min_size=1, max_size=5), min_size=1, max_size=12), st.integers(1, 64))
@settings(max_examples=300)
def test_each_command_has_one_answer(commands: list[list[bytes]], size: int) -> None:
    rig = Rig()
    stream = b"".join(command(*args) for args in commands)
    for place in range(0, len(stream), size):
        rig.tell(ev.ClientData(1, stream[place : place + size]))
        pump(rig)
    rig.wait(3.0)
    pump(rig)
    rig.wait(3.0)
    got = Scanner(1 << 20).feed(rig.answers.get(1, b""))
    quits = [place for place, args in enumerate(commands) if args[0].upper() == b"QUIT"]
    wanted = quits[0] + 1 if quits else len(commands)
    if not any(args[0].upper() == b"WAIT" for args in commands):  # which may wait for ever, as asked
        assert len(got) == wanted
    assert len(got) <= wanted


@given(st.binary(max_size=200), st.integers(1, 50))
@settings(max_examples=300)
def test_no_bytes_break_it(data: bytes, size: int) -> None:
    rig = Rig()
    for place in range(0, len(data), size):
        rig.tell(ev.ClientData(1, data[place : place + size]))
        pump(rig)
    rig.tell(ev.ClientEof(1))
    rig.wait(3.0)
    pump(rig)
    assert rig.closed_clients == [1]
