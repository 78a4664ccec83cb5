"""Connections on real sockets.

Answers must not be lost when a listener closes or a connection ends: the kernel resets connections that were not
accepted, and those closed with unread input. Connections that are closing must not use up the descriptors, and answers
for a slow reader must not pile up.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

import anyio
import anyio.from_thread
import pytest

from banklift.net.connections import DISCARD_LIMIT_BYTES, HIGH_WATER_BYTES
from banklift.net.env import Handle, Peer
from banklift.net.sockets import MAX_LINGERING_CONNECTIONS, MAX_SOCKETS_PER_BATCH, SocketEnv
from tests.surroundings import open_connections, run_until

ANSWER = b"answered"


class Answering(Peer):
    """Answers the first data that arrives, and finishes the connection."""

    def __init__(self, on_answered: Callable[[], None], away: bool = False) -> None:
        self.on_answered, self.away = on_answered, away

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.handle.send(ANSWER)
        self.handle.finish(self.away)
        self.on_answered()

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


async def run_until_answered(
    act: Callable[[SocketEnv, Callable[[], Peer]], None], connections: int, away: bool = False
) -> None:
    """Call `act`, and run until so many connections were answered and have closed."""
    async with anyio.create_task_group() as tasks:
        env, answered = SocketEnv(tasks, exclusive_loop=True), 0

        def count_answer() -> None:
            nonlocal answered
            answered += 1

        def check() -> None:
            if answered == connections and not env.handles:
                env.stop()
            else:
                env.at(env.now() + 0.001, check)

        act(env, lambda: Answering(count_answer, away))
        check()


@pytest.mark.parametrize("connections", [1, 65, 200])
def test_connections_in_the_backlog_are_answered_when_a_listener_closes(connections: int) -> None:
    callers: list[socket.socket] = []

    def act(env: SocketEnv, accept: Callable[[], Peer]) -> None:
        listener = env.listen("127.0.0.1:0", accept)
        host, _, port = listener.address.partition(":")
        for _ in range(connections):  # the kernel completes them; none is accepted before `close`
            caller = socket.create_connection((host, int(port)), timeout=10)
            caller.sendall(b"question")
            caller.shutdown(socket.SHUT_WR)
            callers.append(caller)
        listener.close()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run_until_answered, act, connections)
    assert [caller.recv(100) for caller in callers] == [ANSWER] * connections
    for caller in callers:
        caller.close()


def test_an_answer_arrives_though_much_of_the_input_is_unread() -> None:
    callers: list[socket.socket] = []

    def act(env: SocketEnv, accept: Callable[[], Peer]) -> None:
        listener = env.listen("127.0.0.1:0", accept)
        host, _, port = listener.address.partition(":")
        caller = socket.create_connection((host, int(port)), timeout=10)
        caller.setblocking(False)
        sent = 0
        # more than one read takes, so closing would send a reset after the answer
        while sent < DISCARD_LIMIT_BYTES - 1:
            try:
                sent += caller.send(b"x" * min(4096, DISCARD_LIMIT_BYTES - 1 - sent))
            except BlockingIOError:
                break
        assert sent > 2 * 64 * 1024
        caller.shutdown(socket.SHUT_WR)
        callers.append(caller)

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run_until_answered, act, 1, True)
    (caller,) = callers
    caller.setblocking(True)
    caller.settimeout(10)
    assert caller.recv(100) == ANSWER
    assert caller.recv(100) == b""  # the connection was closed, not reset
    caller.close()


class FailingPeer(Peer):
    """Records why its connection could not be opened."""

    reason = ""

    def connected(self, handle: Handle) -> None:
        raise AssertionError("there is no connection")

    def data(self, data: bytes) -> None:
        raise AssertionError("there is no connection")

    def eof(self) -> None:
        raise AssertionError("there is no connection")

    def lost(self, reason: str) -> None:
        self.reason = reason


async def connect_without_descriptors(monkeypatch: pytest.MonkeyPatch, close: bool) -> str:
    async with anyio.create_task_group() as tasks:
        env, peer = SocketEnv(tasks, exclusive_loop=True), FailingPeer()

        def raise_out_of_descriptors(*arguments: object) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptors left")

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", raise_out_of_descriptors)
            handle = env.connect("127.0.0.1:9", peer)
        handle.send(b"never sent")
        if close:
            handle.close()
        env.at(env.now() + 0.005, env.stop)
    return peer.reason


def test_without_a_descriptor_only_the_connection_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    with anyio.from_thread.start_blocking_portal() as portal:
        assert "no descriptors left" in portal.call(connect_without_descriptors, monkeypatch, False)
        # a peer whose handle was closed is not told
        assert portal.call(connect_without_descriptors, monkeypatch, True) == ""


def test_connections_that_are_closing_hold_few_descriptors() -> None:
    """Many clients never close their side. Beyond `MAX_LINGERING_CONNECTIONS` such connections the first ones are
    closed."""
    callers: list[socket.socket] = []
    most = 0

    async def serve_many_clients() -> None:
        nonlocal most
        async with anyio.create_task_group() as tasks:
            env, answered = SocketEnv(tasks, exclusive_loop=True), 0

            def count_answer() -> None:
                nonlocal answered
                answered += 1

            listener = env.listen("127.0.0.1:0", lambda: Answering(count_answer))
            host, _, port = listener.address.partition(":")
            for _ in range(3 * MAX_LINGERING_CONNECTIONS):
                caller = socket.create_connection((host, int(port)), timeout=10)
                caller.sendall(b"question")
                callers.append(caller)

            def check() -> None:
                nonlocal most
                most = max(most, len(env.lingering))
                if answered == 3 * MAX_LINGERING_CONNECTIONS:
                    env.stop()
                else:
                    env.at(env.now() + 0.001, check)

            check()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(serve_many_clients)
    assert 0 < most <= MAX_LINGERING_CONNECTIONS
    for caller in callers:
        caller.close()


class SlowReader(Peer):
    """A peer whose other end reads nothing. Records that it was told so."""

    is_full = False

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        pass

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass

    def write_paused(self) -> None:
        self.is_full = True


class Producer(Peer):
    """Sends a large answer to the slow reader for each data event, until that is reported as slow."""

    def __init__(self, slow: SlowReader, totals: list[int]) -> None:
        self.slow, self.totals = slow, totals  # bytes sent, and data events

    def connected(self, handle: Handle) -> None:
        pass

    def data(self, data: bytes) -> None:
        self.totals[1] += 1
        if not self.slow.is_full:
            self.slow.handle.send(b"x" * ANSWER_BYTES)
            self.totals[0] += ANSWER_BYTES

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


ANSWER_BYTES = 900_000


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_a_slow_reader_is_reported_before_a_batch_of_sockets_is_over(exclusive_loop: bool) -> None:
    """Sixteen sockets are ready at once, and each sends an answer to one client that reads nothing."""
    totals, slow = [0, 0], SlowReader()
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(
            open_connections(
                env,
                [slow, *(Producer(slow, totals) for _ in range(MAX_SOCKETS_PER_BATCH))],
                MAX_SOCKETS_PER_BATCH + 1,
            )
        )
        for caller in callers[1:]:  # before any of them is polled
            caller.sendall(b"question")
        return lambda: totals[1] >= MAX_SOCKETS_PER_BATCH

    run_until(act, exclusive_loop)
    assert slow.is_full and totals[1] == MAX_SOCKETS_PER_BATCH
    # bytes in the kernel, unsent bytes that are allowed here, and one answer more
    held = callers[0].getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) + 4 * HIGH_WATER_BYTES
    assert (
        ANSWER_BYTES
        < totals[0]
        <= held + HIGH_WATER_BYTES + ANSWER_BYTES
        < MAX_SOCKETS_PER_BATCH * ANSWER_BYTES
    )
    for caller in callers:
        caller.close()


@pytest.mark.parametrize("reads", [True, False])
def test_unsent_bytes_are_counted_until_they_are_taken_or_their_connection_is_closed(reads: bool) -> None:
    """What slow readers make the process hold has to be known, and must not count for ever."""
    slow = SlowReader()
    counted: list[int] = []
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [slow], 1))

        def is_done() -> bool:
            if not counted and not slow.is_full:
                slow.handle.send(b"x" * ANSWER_BYTES)
            elif not counted:
                counted.append(env.unsent_bytes)
                if not reads:
                    slow.handle.close()
            elif reads:
                callers[0].setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    callers[0].recv(1 << 20)
            return bool(counted) and env.unsent_bytes == 0

        return is_done

    run_until(act)
    callers[0].close()
    assert counted[0] > HIGH_WATER_BYTES
