"""Runs a test on real sockets (`SocketEnv`) until its condition holds."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
import anyio.from_thread

from banklift.net.env import Peer
from banklift.net.sockets import SocketEnv

# seconds after which a test stops waiting for its condition; a passing test never waits that long
TEST_TIMEOUT_SECONDS = 20.0


def run_until(start: Callable[[SocketEnv], Callable[[], bool]], exclusive_loop: bool = True) -> None:
    """Call `start` in an event loop, and run until the condition it returns holds, or `TEST_TIMEOUT_SECONDS` pass.

    `exclusive_loop`: passed on to `SocketEnv`, where it means that nothing else needs the event loop.
    """

    async def run_in_loop() -> None:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks, exclusive_loop=exclusive_loop)
            is_done, end = start(env), env.now() + TEST_TIMEOUT_SECONDS

            def check() -> None:
                if not is_done() and env.now() < end:
                    env.at(env.now() + 0.001, check)
                elif exclusive_loop:
                    env.stop()
                else:
                    tasks.cancel_scope.cancel()

            check()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(run_in_loop)


def open_connections(env: SocketEnv, peers: list[Peer], many: int) -> list[socket.socket]:
    """Open `many` connections over loopback: returns the callers' ends; each peer of `peers` has an accepted end."""
    listener = env.listen("127.0.0.1:0", lambda: peers.pop(0))
    host, _, port = listener.address.partition(":")
    connections = [socket.create_connection((host, int(port)), timeout=20) for _ in range(many)]
    listener.close()
    return connections
