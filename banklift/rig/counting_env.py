"""An environment that counts what is written and read on its connections, on top of another one."""

from __future__ import annotations

from collections.abc import Callable

from banklift.net.env import Env, Handle, Listener, Peer


class Traffic:
    """Bytes and writes since the start: payload, without the headers of TCP and IP."""

    def __init__(self) -> None:
        self.sent = self.received = self.messages = 0


class CountingEnv:
    """Everything as `env` has it, counted in `traffic`."""

    def __init__(self, env: Env) -> None:
        self.env, self.traffic = env, Traffic()
        self.now = env.now
        self.at = env.at

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        return self.env.listen(address, lambda: CountingPeer(accept(), self.traffic))

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        return CountingHandle(
            self.env.connect(address, CountingPeer(peer, self.traffic), source), self.traffic
        )


class CountingHandle:
    """Counts what is sent."""

    __slots__ = ("close", "finish", "handle", "pause", "resume", "traffic")

    def __init__(self, handle: Handle, traffic: Traffic) -> None:
        self.handle, self.traffic = handle, traffic
        self.finish, self.close = handle.finish, handle.close
        self.pause, self.resume = handle.pause, handle.resume

    @property
    def source(self) -> str:
        return self.handle.source

    def send(self, data: bytes) -> None:
        self.traffic.sent += len(data)
        self.traffic.messages += 1
        self.handle.send(data)


class CountingPeer(Peer):
    """Counts what is received."""

    __slots__ = ("peer", "traffic")

    def __init__(self, peer: Peer, traffic: Traffic) -> None:
        self.peer, self.traffic = peer, traffic

    def up(self, handle: Handle) -> None:
        self.peer.up(CountingHandle(handle, self.traffic))

    def data(self, data: bytes) -> None:
        self.traffic.received += len(data)
        self.peer.data(data)

    def eof(self) -> None:
        self.peer.eof()

    def half_closed(self) -> None:
        self.peer.half_closed()

    def lost(self, reason: str) -> None:
        self.peer.lost(reason)

    def full(self) -> None:
        self.peer.full()

    def free(self) -> None:
        self.peer.free()
