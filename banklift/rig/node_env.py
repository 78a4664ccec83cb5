"""The environment of one fleet member in virtual time: a clock of its own, a process that can be paused, and a tap on
what it sends over the connections that it accepted.

A paused process (as by SIGSTOP) runs no timers and receives nothing. Its clock goes on, its kernel accepts connections
and data, and what it sent before still arrives. `resume` handles the events that came meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from banklift.emulator.world import World
from banklift.net.env import Handle, Listener, Peer

# seconds added to the true time of each timer: a time that was converted between two clocks may be rounded down, and
# the timer would find that it is not due yet
CLOCK_ROUNDING = 1e-7


class NodeEnv:
    """An `Env` whose clock starts at `offset` seconds and runs at `rate` of its seconds per true second.

    `tap` is called with what is sent on accepted connections: the address of the connection's other end, and the data.
    """

    def __init__(
        self, world: World, rate: float, offset: float, tap: Callable[[str, bytes], None] | None = None
    ) -> None:
        self.world, self.rate, self.offset, self.started_at = world, rate, offset, world.now()
        self.tap = tap
        self.paused = False
        # events that came while the process was paused: whether the event is a timer, and its callback
        self.deferred: list[tuple[bool, Callable[[], None]]] = []

    # ---- the clock

    def now(self) -> float:
        """Seconds on the member's clock."""
        return self.offset + (self.world.now() - self.started_at) * self.rate

    def true_time(self, when: float) -> float:
        """Convert a time on the member's clock to the true clock."""
        return self.started_at + (when - self.offset) / self.rate if when > -math.inf else -math.inf

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call back at a time on the member's clock, or once the process runs again."""
        due = max(self.world.now(), self.true_time(when) + CLOCK_ROUNDING)
        self.world.at(due, lambda: self.deliver(callback, timer=True))

    def defer(self, callback: Callable[[], None]) -> None:
        """Call back after the events that are due now, or once the process runs again."""
        self.world.defer(lambda: self.deliver(callback, timer=True))

    # ---- the process

    def deliver(self, callback: Callable[[], None], timer: bool = False) -> None:
        """Let the process handle an event: now, or once it is resumed."""
        if self.paused:
            self.deferred.append((timer, callback))
        else:
            callback()

    def pause(self) -> None:
        """Handle no events until `resume`."""
        self.paused = True

    def resume(self, timers_first: bool = False) -> None:
        """Handle the deferred events: those of connections before the timers that ran out, or after them."""
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for _, callback in sorted(deferred, key=lambda event: event[0] is not timers_first):
            callback()

    # ---- connections

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        """As `Env.listen`; what is sent on the accepted connections goes through the tap."""
        return self.world.listen(address, lambda: _ProcessPeer(self, accept(), self.tap))

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        """As `Env.connect`."""
        return self.world.connect(address, _ProcessPeer(self, peer), source)


class _TappedHandle:
    """A handle that calls the tap with all that is sent."""

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
    """Passes events on to the peer of a process that can be paused."""

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
