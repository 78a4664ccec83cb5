"""Connections on real sockets: how a listener closes and how a connection ends."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import anyio
import anyio.from_thread
import pytest

from banklift.net.env import Handle, Peer
from banklift.net.sockets import (
    DISCARD_LIMIT_BYTES,
    HIGH_WATER_BYTES,
    MAX_SOCKETS_PER_BATCH,
    MOST_LINGERING,
    SocketEnv,
)
from tests.surroundings import pair, run

ANSWER = b"answered"


class Answering(Peer):
    """Answers the first bytes that come, and ends the connection."""

    def __init__(self, served: Callable[[], None], away: bool = False) -> None:
        self.served, self.away = served, away

    def up(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.handle.send(ANSWER)
        self.handle.finish(self.away)
        self.served()

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


async def play(act: Callable[[SocketEnv, Callable[[], Peer]], None], served: int, away: bool = False) -> None:
    """Let `act` begin, and run until that many were answered and their connections have ended."""
    async with anyio.create_task_group() as tasks:
        env, count = SocketEnv(tasks, alone=True), 0

        def one() -> None:
            nonlocal count
            count += 1

        def look() -> None:
            if count == served and not env.handles:
                env.stop()
            else:
                env.at(env.now() + 0.001, look)

        act(env, lambda: Answering(one, away))
        look()


@pytest.mark.parametrize("made", [1, 65, 200])
def test_what_was_connected_when_a_listener_closes_is_answered(made: int) -> None:
    callers: list[socket.socket] = []

    def act(env: SocketEnv, accept: Callable[[], Peer]) -> None:
        listener = env.listen("127.0.0.1:0", accept)
        host, _, port = listener.address.partition(":")
        for _ in range(made):  # the kernel makes the connections; nobody has taken one yet
            caller = socket.create_connection((host, int(port)), timeout=10)
            caller.sendall(b"question")
            caller.shutdown(socket.SHUT_WR)
            callers.append(caller)
        listener.close()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(play, act, made)
    assert [caller.recv(100) for caller in callers] == [ANSWER] * made
    for caller in callers:
        caller.close()


def test_an_answer_arrives_though_much_of_what_was_sent_is_unread() -> None:
    callers: list[socket.socket] = []

    def act(env: SocketEnv, accept: Callable[[], Peer]) -> None:
        listener = env.listen("127.0.0.1:0", accept)
        host, _, port = listener.address.partition(":")
        caller = socket.create_connection((host, int(port)), timeout=10)
        caller.setblocking(False)
        sent = 0
        while sent < DISCARD_LIMIT_BYTES - 1:  # more than is read at once, so a reset would follow the answer
            try:
                sent += caller.send(b"x" * min(4096, DISCARD_LIMIT_BYTES - 1 - sent))
            except BlockingIOError:
                break
        assert sent > 2 * 64 * 1024
        caller.shutdown(socket.SHUT_WR)
        callers.append(caller)

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(play, act, 1, True)
    (caller,) = callers
    caller.setblocking(True)
    caller.settimeout(10)
    assert caller.recv(100) == ANSWER
    assert caller.recv(100) == b""  # and an end in order, no reset
    caller.close()


class Told(Peer):
    """Notes why it was lost."""

    reason = ""

    def up(self, handle: Handle) -> None:
        raise AssertionError("there is no connection")

    def data(self, data: bytes) -> None:
        raise AssertionError("there is no connection")

    def eof(self) -> None:
        raise AssertionError("there is no connection")

    def lost(self, reason: str) -> None:
        self.reason = reason


async def connect_without_descriptors(monkeypatch: pytest.MonkeyPatch, close: bool) -> str:
    async with anyio.create_task_group() as tasks:
        env, peer = SocketEnv(tasks, alone=True), Told()

        def none(*arguments: object) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptors left")

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", none)
            handle = env.connect("127.0.0.1:9", peer)
        handle.send(b"never sent")
        if close:
            handle.close()
        env.at(env.now() + 0.005, env.stop)
    return peer.reason


def test_without_a_descriptor_a_connection_fails_and_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    with anyio.from_thread.start_blocking_portal() as portal:
        assert "no descriptors left" in portal.call(connect_without_descriptors, monkeypatch, False)
        assert (
            portal.call(connect_without_descriptors, monkeypatch, True) == ""
        )  # who closed it hears nothing


def test_connections_that_end_hold_few_descriptors() -> None:
    """Clients that never close, one after another: the first go when more than `MOST_LINGERING` are waited for."""
    callers: list[socket.socket] = []
    most = 0

    async def crowd() -> None:
        nonlocal most
        async with anyio.create_task_group() as tasks:
            env, count = SocketEnv(tasks, alone=True), 0

            def one() -> None:
                nonlocal count
                count += 1

            listener = env.listen("127.0.0.1:0", lambda: Answering(one))
            host, _, port = listener.address.partition(":")
            for _ in range(3 * MOST_LINGERING):
                caller = socket.create_connection((host, int(port)), timeout=10)
                caller.sendall(b"question")
                callers.append(caller)

            def look() -> None:
                nonlocal most
                most = max(most, len(env.lingering))
                if count == 3 * MOST_LINGERING:
                    env.stop()
                else:
                    env.at(env.now() + 0.001, look)

            look()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(crowd)
    assert 0 < most <= MOST_LINGERING
    for caller in callers:
        caller.close()


class Slow(Peer):
    """Reads nothing; notes when that is told here."""

    is_full = False

    def up(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        pass

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass

    def full(self) -> None:
        self.is_full = True


class Feeding(Peer):
    """What comes makes one large answer for the slow one, until that is known to be full."""

    def __init__(self, slow: Slow, fed: list[int]) -> None:
        self.slow, self.fed = slow, fed

    def up(self, handle: Handle) -> None:
        pass

    def data(self, data: bytes) -> None:
        self.fed[1] += 1
        if not self.slow.is_full:
            self.slow.handle.send(b"x" * LARGE)
            self.fed[0] += LARGE

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


LARGE = 900_000


@pytest.mark.parametrize("alone", [True, False])
def test_a_slow_reader_is_known_before_a_round_of_sockets_is_over(alone: bool) -> None:
    """Sixteen sockets are ready at once, and each makes an answer for one that reads nothing."""
    fed, slow = [0, 0], Slow()
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(
            pair(
                env,
                [slow, *(Feeding(slow, fed) for _ in range(MAX_SOCKETS_PER_BATCH))],
                MAX_SOCKETS_PER_BATCH + 1,
            )
        )
        for caller in callers[1:]:  # before any is looked at
            caller.sendall(b"question")
        return lambda: fed[1] >= MAX_SOCKETS_PER_BATCH

    run(act, alone)
    assert slow.is_full and fed[1] == MAX_SOCKETS_PER_BATCH
    # what the kernel holds, what may pile up here, and one answer more
    held = callers[0].getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) + 4 * HIGH_WATER_BYTES
    assert LARGE < fed[0] <= held + HIGH_WATER_BYTES + LARGE < MAX_SOCKETS_PER_BATCH * LARGE
    for caller in callers:
        caller.close()
