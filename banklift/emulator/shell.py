"""A stand-in member in its surroundings: carries out what the node wants."""

from __future__ import annotations

from collections.abc import Callable

from banklift.emulator.node import UPSTREAM, Act, Node
from banklift.net.env import Alarm, Env, Handle, Listener, Peer

Tap = Callable[[float, str, Act], None]


class NodeHost:
    """One node at `address`. `tap` is told of every command, run, answer and closed connection at this end.

    Errors: `OSError` if the address can't be had.
    """

    def __init__(self, env: Env, node: Node, address: str, tap: Tap | None = None) -> None:
        self.env = env
        self.node = node
        self.tap = tap
        self.handles: dict[int, Handle] = {}
        self.upstream: Handle | None = None
        self.numbers = UPSTREAM
        self.alarm = Alarm(env, lambda: node.wake, lambda: self.do(node.wake_up(env.now())))
        self.listener: Listener | None = env.listen(address, lambda: _ConnPeer(self))
        self.address = self.listener.address

    def do(self, actions: list[Act]) -> None:
        """Carry out what the node wants."""
        now = self.env.now()
        for act in list(actions):
            if act.what == "send":
                handle = self.upstream if act.conn == UPSTREAM else self.handles.get(act.conn)
                if handle is not None and act.data:
                    handle.send(act.data)
            elif act.what == "close":
                if act.conn == UPSTREAM:
                    self._leave()
                elif (handle := self.handles.pop(act.conn, None)) is not None:
                    handle.finish()
                    if self.tap is not None:
                        self.tap(now, self.node.name, act)
            elif act.what == "connect":
                self._leave()
                self.upstream = self.env.connect(act.data.decode(), _UpPeer(self))
            elif self.tap is not None:
                self.tap(now, self.node.name, act)
        self.alarm.look()

    def _leave(self) -> None:
        if self.upstream is not None:
            self.upstream.close()
            self.upstream = None

    def kill(self) -> None:
        """As by SIGKILL: every connection breaks, and nobody listens."""
        self.node.killed(self.env.now())
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self._leave()
        for number, handle in list(self.handles.items()):
            handle.close()
            if self.tap is not None:
                self.tap(self.env.now(), self.node.name, Act("close", number))
        self.handles.clear()

    def restart(self, share: float, time: float, keeps: bool = False) -> None:
        """Listen again at the same address, cold."""
        if self.listener is None:
            self.listener = self.env.listen(self.address, lambda: _ConnPeer(self))
            self.do(self.node.restarted(self.env.now(), share, time, keeps))


class _ConnPeer(Peer):
    """A connection that the node accepted."""

    __slots__ = ("host", "number")

    def __init__(self, host: NodeHost) -> None:
        self.host, self.number = host, 0

    def up(self, handle: Handle) -> None:
        host = self.host
        if host.listener is None:
            handle.close()
            return
        host.numbers += 1
        self.number = host.numbers
        host.handles[self.number] = handle
        host.do(host.node.opened(host.env.now(), self.number, handle.source))

    def data(self, data: bytes) -> None:
        if self.number in self.host.handles:
            self.host.do(self.host.node.received(self.host.env.now(), self.number, data))

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        host = self.host
        if (handle := host.handles.pop(self.number, None)) is not None:
            handle.close()
            if host.tap is not None:
                host.tap(host.env.now(), host.node.name, Act("close", self.number, b"other end"))
            host.do(host.node.lost(host.env.now(), self.number))


class _UpPeer(Peer):
    """The connection to the primary that a replica follows."""

    __slots__ = ("handle", "host")

    def __init__(self, host: NodeHost) -> None:
        self.host = host
        self.handle: Handle | None = None

    def up(self, handle: Handle) -> None:
        self.handle = handle
        if self.host.upstream is handle:
            self.host.do(self.host.node.upstream_up(self.host.env.now()))

    def data(self, data: bytes) -> None:
        if self.host.upstream is self.handle:
            self.host.do(self.host.node.received(self.host.env.now(), UPSTREAM, data))

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        host = self.host
        if self.handle is None or host.upstream is self.handle:
            host._leave()
            host.do(host.node.lost(host.env.now(), UPSTREAM))
