"""One machine's surroundings in a virtual world: a clock of its own, a process that can be stopped, a tap on what it
sends to those that made a link to it.

A stopped process (`pause`, as by SIGSTOP) runs no timer and hears nothing, while its clock goes on, its kernel takes
connections and data, and what it sent before is under way. `resume` delivers what was kept.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from banklift.emulator.world import World
from banklift.net.env import Handle, Listener, Peer

ROUNDING = 1e-7  # seconds by which a clock that was computed may be short of the time that was waited for


class NodeEnv:
    """The clock runs at `rate` from `offset` on. `tap` is told what is sent on accepted connections: the source of the
    connection, and the data."""

    def __init__(
        self, world: World, rate: float, offset: float, tap: Callable[[str, bytes], None] | None = None
    ) -> None:
        self.world, self.rate, self.offset, self.zero = world, rate, offset, world.now()
        self.tap = tap
        self.paused = False
        self.kept: list[
            tuple[bool, Callable[[], None]]
        ] = []  # while paused: whether a timer, and its callback

    # ---- the clock

    def now(self) -> float:
        return self.offset + (self.world.now() - self.zero) * self.rate

    def true(self, when: float) -> float:
        """What its time is on the true clock."""
        return self.zero + (when - self.offset) / self.rate if when > -math.inf else -math.inf

    def at(self, when: float, callback: Callable[[], None]) -> None:
        true = max(self.world.now(), self.true(when) + ROUNDING)
        self.world.at(true, lambda: self.deliver(callback, timer=True))

    # ---- the process

    def deliver(self, callback: Callable[[], None], timer: bool = False) -> None:
        """Let the process handle an event, once it runs."""
        if self.paused:
            self.kept.append((timer, callback))
        else:
            callback()

    def pause(self) -> None:
        self.paused = True

    def resume(self, timers_first: bool = False) -> None:
        """Go on. What came meanwhile is handled before the timers that ran out, or after them."""
        self.paused = False
        kept, self.kept = self.kept, []
        for _, callback in sorted(kept, key=lambda one: one[0] is not timers_first):
            callback()

    # ---- connections

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        return self.world.listen(address, lambda: _ProcessPeer(self, accept(), self.tap))

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        return self.world.connect(address, _ProcessPeer(self, peer), source)


class _TappedHandle:
    """A handle whose tap is told what is sent."""

    def __init__(self, handle: Handle, tap: Callable[[str, bytes], None]) -> None:
        self.handle, self.tap = handle, tap

    def send(self, data: bytes) -> None:
        self.tap(self.handle.source, data)
        self.handle.send(data)

    def finish(self, discard_input: bool = False) -> None:
        self.handle.finish(discard_input)

    def close(self) -> None:
        self.handle.close()

    def pause(self) -> None:
        self.handle.pause()

    def resume(self) -> None:
        self.handle.resume()

    @property
    def source(self) -> str:
        return self.handle.source


class _ProcessPeer(Peer):
    """Passes events on to the peer of a process that may be stopped."""

    def __init__(self, env: NodeEnv, peer: Peer, tap: Callable[[str, bytes], None] | None = None) -> None:
        self.env, self.peer, self.tap = env, peer, tap

    def connected(self, handle: Handle) -> None:
        tapped = handle if self.tap is None else _TappedHandle(handle, self.tap)
        self.env.deliver(lambda: self.peer.connected(tapped))

    def data(self, data: bytes) -> None:
        self.env.deliver(lambda: self.peer.data(data))

    def eof(self) -> None:
        self.env.deliver(self.peer.eof)

    def half_closed(self) -> None:
        self.env.deliver(self.peer.half_closed)

    def lost(self, reason: str) -> None:
        self.env.deliver(lambda: self.peer.lost(reason))

    def write_paused(self) -> None:
        self.env.deliver(self.peer.write_paused)

    def write_resumed(self) -> None:
        self.env.deliver(self.peer.write_resumed)
