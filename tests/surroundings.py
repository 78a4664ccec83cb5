"""Surroundings on real sockets for one test, until what it waits for has come."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
import anyio.from_thread

from banklift.net.env import Peer
from banklift.net.sockets import SocketEnv

PATIENCE = (
    20.0  # seconds after which what has not come does not come; no verdict hangs on it where all is well
)


def run(act: Callable[[SocketEnv], Callable[[], bool]], alone: bool = True) -> None:
    """Let `act` begin, and run until what it returned is true."""

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks, exclusive_loop=alone)
            over, end = act(env), env.now() + PATIENCE

            def look() -> None:
                if not over() and env.now() < end:
                    env.at(env.now() + 0.001, look)
                elif alone:
                    env.stop()
                else:
                    tasks.cancel_scope.cancel()

            look()

    with anyio.from_thread.start_blocking_portal() as portal:
        portal.call(play)


def pair(env: SocketEnv, peers: list[Peer], many: int) -> list[socket.socket]:
    """So many connections, taken already; each peer has one."""
    listener = env.listen("127.0.0.1:0", lambda: peers.pop(0))
    host, _, port = listener.address.partition(":")
    callers = [socket.create_connection((host, int(port)), timeout=20) for _ in range(many)]
    listener.close()
    return callers
