"""Crossings on real sockets, each forced: what is ready at once, what is closed meanwhile, who leaves unread."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path

import pytest

from banklift.net.env import Handle, Peer
from banklift.net.sockets import MOST_LINGERING, SocketEnv
from tests.surroundings import PATIENCE, pair, run
from tests.test_service import Platform, platform

__all__ = ["platform"]  # the fixture
ROOT = Path(__file__).parents[1]


class Noting(Peer):
    """Notes what it is told; `then` is called with its handle for each piece of data."""

    def __init__(self, then: Callable[[Handle], None] = lambda handle: None) -> None:
        self.then = then
        self.notes: list[str] = []

    def up(self, handle: Handle) -> None:
        self.handle = handle
        self.notes.append("up")

    def data(self, data: bytes) -> None:
        self.notes.append(f"data {len(data)}")
        self.then(self.handle)

    def eof(self) -> None:
        self.notes.append("eof")

    def half_closed(self) -> None:
        self.notes.append("half closed")

    def lost(self, reason: str) -> None:
        self.notes.append("lost")


class Deaf:
    """A listener whose backlog is full: connections to it stay on their way."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.others = []
        for _ in range(4):
            other = socket.socket()
            other.setblocking(False)
            other.connect_ex(self.sock.getsockname())
            self.others.append(other)

    def close(self) -> None:
        for sock in (self.sock, *self.others):
            sock.close()


@pytest.mark.parametrize("alone", [True, False])
def test_what_was_ready_on_a_closed_connection_is_not_told_to_one_that_got_its_descriptor(
    alone: bool,
) -> None:
    """Two connections are ready in one batch; the first closes the second and connects, and the kernel gives the new
    connection the descriptor. It is on its way, and must not take what was ready for the sign that it is up."""
    deaf, new = Deaf(), Noting()
    got: list[tuple[int, int]] = []
    fillers: list[int] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        first, second = Noting(), Noting()
        callers = pair(env, [first, second], 2)

        def swap(handle: Handle) -> None:
            if got:
                return
            old = second if handle is first.handle else first
            number = old.handle._sock.fileno()  # type: ignore[attr-defined]
            while (
                filler := os.open(os.devnull, os.O_RDONLY)
            ) < number:  # so that its number is the lowest free one
                fillers.append(filler)
            os.close(filler)
            old.handle.close()
            handle = env.connect(deaf.address, new)
            got.append((number, handle._sock.fileno()))  # type: ignore[union-attr]

        first.then = second.then = swap
        for caller in callers:
            caller.sendall(b"question")
        rounds: list[None] = []

        def over() -> bool:
            if got:
                rounds.append(None)
            return len(rounds) > 5

        return over

    run(act, alone)
    deaf.close()
    for filler in fillers:
        os.close(filler)
    ((before, after),) = got
    assert before == after  # or nothing was tried
    assert new.notes == []


@pytest.mark.parametrize(("unread", "reset"), [(0, False), (30_000, False), (0, True), (30_000, True)])
def test_that_the_other_end_leaves_is_told_though_it_is_not_read(unread: int, reset: bool) -> None:
    peer = Noting()

    def act(env: SocketEnv) -> Callable[[], bool]:
        (caller,) = pair(env, [peer], 1)
        peer.handle.pause()
        if unread:  # all of it is in the kernel here, and nobody reads it
            caller.sendall(b"x" * unread)
        if reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        caller.close()
        return lambda: len(peer.notes) > 1

    run(act)
    assert peer.notes == ["up", "lost" if reset else "half closed"]


def test_one_that_was_paused_and_is_read_again_hears_the_end_behind_what_came_before() -> None:
    peer = Noting()

    def act(env: SocketEnv) -> Callable[[], bool]:
        (caller,) = pair(env, [peer], 1)
        peer.handle.pause()
        caller.sendall(b"question")
        caller.shutdown(socket.SHUT_WR)

        def over() -> bool:
            if peer.notes == ["up", "half closed"]:
                peer.handle.resume()
            return "eof" in peer.notes

        return over

    run(act)
    assert peer.notes == ["up", "half closed", "data 8", "eof"]


def test_what_crosses_the_end_of_a_connection_is_not_taken_and_the_answer_before_it_arrives() -> None:
    """The second question is in the kernel here in the very moment in which the connection is finished."""
    callers: list[socket.socket] = []
    peer = Noting()

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(pair(env, [peer], 1))
        callers[0].settimeout(PATIENCE)

        def answer(handle: Handle) -> None:
            callers[0].sendall(b"second")
            handle.send(b"answered")
            handle.finish()

        peer.then = answer
        callers[0].sendall(b"first")
        rounds: list[None] = []

        def over() -> bool:
            rounds.append(None)
            return len(peer.notes) > 1 and len(rounds) > 20

        return over

    run(act)
    assert peer.notes == ["up", "data 5"]
    assert callers[0].recv(100) == b"answered"
    with contextlib.suppress(
        ConnectionResetError
    ):  # which tells that the second was not taken, as its end does
        assert callers[0].recv(100) == b""
    callers[0].close()


def test_what_was_gathered_for_a_connection_that_is_closed_in_the_same_round_does_not_leave() -> None:
    callers: list[socket.socket] = []
    peer = Noting()

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(pair(env, [peer], 1))

        def drop(handle: Handle) -> None:
            handle.send(b"withdrawn")
            handle.close()

        peer.then = drop
        callers[0].sendall(b"first")
        return lambda: len(peer.notes) > 1

    run(act)
    callers[0].settimeout(PATIENCE)
    assert callers[0].recv(100) == b""
    callers[0].close()


def test_an_answer_that_is_not_read_yet_outlives_many_connections_that_only_end() -> None:
    """`MOST_LINGERING` connections end with all sent, one with an answer that fills the kernel's buffers."""
    large = 8 * 1024 * 1024
    slow, others = Noting(), [Noting() for _ in range(2 * MOST_LINGERING)]
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(pair(env, [slow, *others], 1 + len(others)))
        slow.handle.send(b"x" * large)
        slow.handle.finish()

        def crowd() -> None:
            for other in others:
                other.handle.send(b"answered")
                other.handle.finish()

        env.at(env.now() + 0.001, crowd)  # in a round behind that in which the slow one's answer was written
        read = bytearray()
        callers[0].setblocking(False)

        def over() -> bool:
            if len(env.lingering) < MOST_LINGERING and not read:
                return False
            try:
                while data := callers[0].recv(1 << 20):
                    read.extend(data)
                return True  # its end
            except BlockingIOError:
                return False
            finally:
                sizes[:] = [len(read)]

        return over

    sizes: list[int] = []
    run(act)
    assert sizes == [large]
    for caller in callers[1:]:
        assert caller.recv(100) == b"answered"
    for caller in callers:
        caller.close()


def test_a_sighup_before_the_program_has_begun_does_not_end_it(platform: Platform, tmp_path: Path) -> None:
    """It comes from the interpreter's own start, before any line of the program runs."""
    (tmp_path / "sitecustomize.py").write_text("import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\n")
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        run_line = tomllib.load(file)["run"]
    assert ".venv/bin/python" in run_line
    path = os.pathsep.join([str(tmp_path), str(ROOT)])
    platform.process = subprocess.Popen(
        ["/bin/sh", "-c", run_line.replace(".venv/bin/python", sys.executable)],
        cwd=ROOT,
        text=True,
        env={**platform.environment(), "PYTHONPATH": path},
        stderr=subprocess.PIPE,
    )
    platform.said("listening")
    platform.process.send_signal(signal.SIGHUP)  # and from then on it is heeded
    platform.said("configuration read again")
    platform.process.send_signal(signal.SIGTERM)
    platform.said("leaving")
