"""Races on real sockets, each one forced: several connections ready at once, closed meanwhile, or left unread."""

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
from banklift.net.sockets import MAX_LINGERING_CONNECTIONS, SocketEnv
from tests.surroundings import TEST_TIMEOUT_SECONDS, open_connections, run_until
from tests.test_service import Platform, platform

__all__ = ["platform"]  # the fixture
ROOT = Path(__file__).parents[1]


class RecordingPeer(Peer):
    """Records the events of a connection; `on_data` is called with its handle for each piece of data."""

    def __init__(self, on_data: Callable[[Handle], None] = lambda handle: None) -> None:
        self.on_data = on_data
        self.notes: list[str] = []

    def connected(self, handle: Handle) -> None:
        self.handle = handle
        self.notes.append("up")

    def data(self, data: bytes) -> None:
        self.notes.append(f"data {len(data)}")
        self.on_data(self.handle)

    def eof(self) -> None:
        self.notes.append("eof")

    def half_closed(self) -> None:
        self.notes.append("half closed")

    def lost(self, reason: str) -> None:
        self.notes.append("lost")


class FullBacklogListener:
    """A listener whose backlog is full: connections to it are never established."""

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


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_readiness_of_a_closed_connection_is_not_reported_to_one_that_reuses_its_descriptor(
    exclusive_loop: bool,
) -> None:
    """Two connections are ready in one batch of epoll. The first closes the second and opens a new connection, which
    gets the same file descriptor. The readiness of the old connection must not count as the new one's connect."""
    listener, new = FullBacklogListener(), RecordingPeer()
    descriptors: list[tuple[int, int]] = []
    fillers: list[int] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        first, second = RecordingPeer(), RecordingPeer()
        callers = open_connections(env, [first, second], 2)

        def swap(handle: Handle) -> None:
            if descriptors:
                return
            old = second if handle is first.handle else first
            number = old.handle._sock.fileno()  # type: ignore[attr-defined]
            # until `number` is the lowest free descriptor
            while (filler := os.open(os.devnull, os.O_RDONLY)) < number:
                fillers.append(filler)
            os.close(filler)
            old.handle.close()
            handle = env.connect(listener.address, new)
            descriptors.append((number, handle._sock.fileno()))  # type: ignore[union-attr]

        first.on_data = second.on_data = swap
        for caller in callers:
            caller.sendall(b"question")
        rounds: list[None] = []

        def is_done() -> bool:
            if descriptors:
                rounds.append(None)
            return len(rounds) > 5

        return is_done

    run_until(act, exclusive_loop)
    listener.close()
    for filler in fillers:
        os.close(filler)
    ((before, after),) = descriptors
    assert before == after  # the descriptor was reused; otherwise the race did not happen
    assert new.notes == []


@pytest.mark.parametrize(("unread", "reset"), [(0, False), (30_000, False), (0, True), (30_000, True)])
def test_a_paused_connection_is_told_that_the_other_end_has_left(unread: int, reset: bool) -> None:
    peer = RecordingPeer()

    def act(env: SocketEnv) -> Callable[[], bool]:
        (caller,) = open_connections(env, [peer], 1)
        peer.handle.pause()
        if unread:  # it stays in the kernel's receive buffer
            caller.sendall(b"x" * unread)
        if reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        caller.close()
        return lambda: len(peer.notes) > 1

    run_until(act)
    assert peer.notes == ["up", "lost" if reset else "half closed"]


def test_a_resumed_connection_gets_its_data_before_the_end() -> None:
    peer = RecordingPeer()

    def act(env: SocketEnv) -> Callable[[], bool]:
        (caller,) = open_connections(env, [peer], 1)
        peer.handle.pause()
        caller.sendall(b"question")
        caller.shutdown(socket.SHUT_WR)

        def is_done() -> bool:
            if peer.notes == ["up", "half closed"]:
                peer.handle.resume()
            return "eof" in peer.notes

        return is_done

    run_until(act)
    assert peer.notes == ["up", "half closed", "data 8", "eof"]


def test_a_request_that_crosses_the_end_is_not_taken_and_the_answer_before_it_arrives() -> None:
    """The second request is in the receive buffer at the moment the connection is finished, and isn't taken."""
    callers: list[socket.socket] = []
    peer = RecordingPeer()

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [peer], 1))
        callers[0].settimeout(TEST_TIMEOUT_SECONDS)

        def answer(handle: Handle) -> None:
            callers[0].sendall(b"second")
            handle.send(b"answered")
            handle.finish()

        peer.on_data = answer
        callers[0].sendall(b"first")
        rounds: list[None] = []

        def is_done() -> bool:
            rounds.append(None)
            return len(peer.notes) > 1 and len(rounds) > 20

        return is_done

    run_until(act)
    assert peer.notes == ["up", "data 5"]
    assert callers[0].recv(100) == b"answered"
    with contextlib.suppress(ConnectionResetError):  # shows, as an end does, that the second was not taken
        assert callers[0].recv(100) == b""
    callers[0].close()


def test_gathered_output_of_a_connection_closed_in_the_same_round_is_not_sent() -> None:
    callers: list[socket.socket] = []
    peer = RecordingPeer()

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [peer], 1))

        def drop(handle: Handle) -> None:
            handle.send(b"withdrawn")
            handle.close()

        peer.on_data = drop
        callers[0].sendall(b"first")
        return lambda: len(peer.notes) > 1

    run_until(act)
    callers[0].settimeout(TEST_TIMEOUT_SECONDS)
    assert callers[0].recv(100) == b""
    callers[0].close()


def test_an_unread_answer_survives_many_connections_that_finish_with_everything_sent() -> None:
    """The limit of lingering connections must not cut off one whose answer is unsent.

    Twice `MAX_LINGERING_CONNECTIONS` connections finish with everything sent, and one with more than the kernel
    buffers.
    """
    large = 8 * 1024 * 1024
    slow, others = RecordingPeer(), [RecordingPeer() for _ in range(2 * MAX_LINGERING_CONNECTIONS)]
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [slow, *others], 1 + len(others)))
        slow.handle.send(b"x" * large)
        slow.handle.finish()

        def finish_others() -> None:
            for other in others:
                other.handle.send(b"answered")
                other.handle.finish()

        # after the round in which the slow connection's answer was written
        env.at(env.now() + 0.001, finish_others)
        read = bytearray()
        callers[0].setblocking(False)

        def is_done() -> bool:
            if len(env.lingering) < MAX_LINGERING_CONNECTIONS and not read:
                return False
            try:
                while data := callers[0].recv(1 << 20):
                    read.extend(data)
                return True  # end of the stream
            except BlockingIOError:
                return False
            finally:
                sizes[:] = [len(read)]

        return is_done

    sizes: list[int] = []
    run_until(act)
    assert sizes == [large]
    for caller in callers[1:]:
        assert caller.recv(100) == b"answered"
    for caller in callers:
        caller.close()


def test_a_sighup_during_the_start_of_the_interpreter_does_not_end_the_program(
    platform: Platform, tmp_path: Path
) -> None:
    """The signal arrives while the interpreter starts, before the program's first line."""
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
    platform.wait_for_log("listening")
    platform.process.send_signal(signal.SIGHUP)  # now the configuration is read again
    platform.wait_for_log("configuration read again")
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_for_log("leaving")
