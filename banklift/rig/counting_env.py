"""An environment that counts the bytes and writes on its connections and leaves the I/O to another environment."""

from __future__ import annotations

from collections.abc import Callable

from banklift.net.env import Env, Handle, Listener, Peer


class Traffic:
    """Counters since the start: bytes sent and received as payload, without TCP and IP headers, and `messages`, the
    number of writes."""

    def __init__(self) -> None:
        self.sent = self.received = self.messages = 0


class CountingEnv:
    """An `Env` that delegates to `env` and counts all of its connections together in `traffic`."""

    def __init__(self, env: Env) -> None:
        self.env = env
        self.traffic = Traffic()
        self.now = env.now
        self.at = env.at
        self.defer = env.defer

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        """Listen as `Env.listen` does, and count what the accepted connections carry."""
        return self.env.listen(address, lambda: CountingPeer(accept(), self.traffic))

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        """Connect as `Env.connect` does, and count what the connection carries."""
        return CountingHandle(
            self.env.connect(address, CountingPeer(peer, self.traffic), source), self.traffic
        )


class CountingHandle:
    """A `Handle` that delegates to `handle` and counts the bytes and writes sent."""

    __slots__ = ("close", "finish", "handle", "pause", "resume", "traffic")

    def __init__(self, handle: Handle, traffic: Traffic) -> None:
        self.handle = handle
        self.traffic = traffic
        self.finish = handle.finish
        self.close = handle.close
        self.pause = handle.pause
        self.resume = handle.resume

    @property
    def source(self) -> str:
        """The other end's address, without port."""
        return self.handle.source

    def send(self, data: bytes) -> None:
        """Count the write and pass it on."""
        self.traffic.sent += len(data)
        self.traffic.messages += 1
        self.handle.send(data)


class CountingPeer(Peer):
    """A `Peer` that delegates to `peer` and counts the bytes received. `peer` gets a `CountingHandle` in `up`."""

    __slots__ = ("peer", "traffic")

    def __init__(self, peer: Peer, traffic: Traffic) -> None:
        self.peer = peer
        self.traffic = traffic

    def connected(self, handle: Handle) -> None:
        """Pass the event on with a handle that counts what is sent."""
        self.peer.connected(CountingHandle(handle, self.traffic))

    def data(self, data: bytes) -> None:
        """Count the bytes and pass them on."""
        self.traffic.received += len(data)
        self.peer.data(data)

    def eof(self) -> None:
        """Pass the event on."""
        self.peer.eof()

    def half_closed(self) -> None:
        """Pass the event on."""
        self.peer.half_closed()

    def lost(self, reason: str) -> None:
        """Pass the event on."""
        self.peer.lost(reason)

    def write_paused(self) -> None:
        """Pass the event on."""
        self.peer.write_paused()

    def write_resumed(self) -> None:
        """Pass the event on."""
        self.peer.write_resumed()
