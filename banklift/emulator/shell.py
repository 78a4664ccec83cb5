"""Stand-in members on loopback sockets: one task group runs many nodes and carries out what they want."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banklift.emulator.node import UPSTREAM, Act, Node
from banklift.net.pipes import Pipe, accept, address_of, connect, listen

Tap = Callable[[float, str, Act], None]


class NodeShell:
    """One node on a listener. `tap` is told of every command, run and answer at this end, with the clock."""

    def __init__(self, node: Node, host: str, port: int, clock: Callable[[], float], tap: Tap | None = None) -> None:
        self.node = node
        self.host = host
        self.clock = clock
        self.tap = tap
        self.listener: socket.socket | None = listen(host, port)
        self.address = address_of(self.listener)
        self.pipes: dict[int, Pipe] = {}
        self.upstream_number = 0
        self.numbers = UPSTREAM
        self.alarm = anyio.Event()
        self.sleeping_until = 0.0
        self.tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        tasks.start_soon(self._timer)
        self._accept()

    def _accept(self) -> None:
        assert self.tasks is not None and self.listener is not None
        self.tasks.start_soon(accept, self.listener, self.tasks, self._conn)

    def do(self, actions: list[Act]) -> None:
        """Carry out what the node wants."""
        assert self.tasks is not None
        now = self.clock()
        for act in list(actions):
            if act.what == "send":
                pipe = self.pipes.get(act.conn)
                if pipe is not None and act.data:
                    pipe.send(act.data)
            elif act.what == "close":
                if (pipe := self.pipes.pop(act.conn, None)) is not None:
                    pipe.finish()
                if act.conn == UPSTREAM:
                    self.upstream_number += 1
            elif act.what == "connect":
                self.upstream_number += 1
                self.tasks.start_soon(self._upstream, act.data.decode(), self.upstream_number)
            elif self.tap is not None:
                self.tap(now, self.node.name, act)
        if self.node.wake < self.sleeping_until:
            self.alarm.set()

    def kill(self) -> None:
        """As by SIGKILL: every connection breaks, and nobody listens."""
        self.node.killed(self.clock())
        if self.listener is not None:
            anyio.notify_closing(self.listener)
            self.listener.close()
            self.listener = None
        self.upstream_number += 1
        for pipe in self.pipes.values():
            pipe.close()
        self.pipes.clear()

    def restart(self, share: float, time: float, keeps: bool = False) -> None:
        """Listen again at the same address, cold."""
        if self.listener is None:
            host, _, port = self.address.rpartition(":")
            self.listener = listen(host, int(port))
            self.do(self.node.restarted(self.clock(), share, time, keeps))
            self._accept()

    async def _timer(self) -> None:
        while True:
            self.sleeping_until = self.node.wake
            self.alarm = anyio.Event()
            with anyio.move_on_after(max(0.0, self.sleeping_until - self.clock())):
                await self.alarm.wait()
            self.sleeping_until = 0.0
            if self.node.wake <= self.clock():
                self.do(self.node.wake_up(self.clock()))

    async def _conn(self, pipe: Pipe) -> None:
        if self.listener is None:
            pipe.close()
            return
        self.numbers += 1
        number = self.numbers
        self.pipes[number] = pipe
        source = pipe.peer()
        self.do(self.node.opened(self.clock(), number, source))
        await self._read(pipe, number)

    async def _read(self, pipe: Pipe, number: int) -> None:
        try:
            while data := await pipe.receive():
                if self.pipes.get(number) is not pipe:
                    break
                self.do(self.node.received(self.clock(), number, data))
                if pipe.unsent:
                    await pipe.drained()
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        pipe.close()
        if self.pipes.get(number) is pipe:
            del self.pipes[number]
            if self.tap is not None and number != UPSTREAM:
                self.tap(self.clock(), self.node.name, Act("cut", number))
            self.do(self.node.lost(self.clock(), number))

    async def _upstream(self, address: str, wanted: int) -> None:
        host, _, port = address.rpartition(":")
        assert self.tasks is not None
        try:
            pipe = await connect(host, int(port), self.tasks)
        except OSError:
            if wanted == self.upstream_number:
                self.do(self.node.lost(self.clock(), UPSTREAM))
            return
        if wanted != self.upstream_number:
            pipe.close()
            return
        self.pipes[UPSTREAM] = pipe
        self.do(self.node.upstream_up(self.clock()))
        await self._read(pipe, UPSTREAM)
