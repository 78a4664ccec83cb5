"""Interfaces to a clock, timers and connections.

Routers, emulated members, clients and simulated days are written against them, and run unchanged on sockets
(sockets.py) and in virtual time (emulator/world.py). No call blocks; events are passed to a `Peer` or a callback.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Handle(Protocol):
    """One end of a connection. `send` and `close` do nothing once the connection is closed or lost."""

    def send(self, data: bytes) -> None:
        """Send `data`, or queue it until it can be sent."""

    def finish(self, discard_input: bool = False) -> None:
        """Close once everything was sent. This end's peer gets no more events. `discard_input`: the other end sends no
        more requests, so its input may be read and discarded."""

    def close(self) -> None:
        """Close at once. This end's peer gets no more events."""

    def pause(self) -> None:
        """Stop reading until `resume`. The other end's close is still reported (`Peer.half_closed`)."""

    def resume(self) -> None:
        """Read again after `pause`."""

    @property
    def source(self) -> str:
        """The other end's address, without port."""


class LinkHandle(Handle, Protocol):
    """An outgoing connection on which each request waits for its answer."""

    def send_if_quiet(self, data: bytes) -> None:
        """As `send`, unless bytes of the other end are unread at the moment of writing: then nothing is written, and
        the peer is told by `input_unread`."""


class Peer(Protocol):
    """Receives the events of one connection: `connected` first, `lost` at most once and last."""

    def connected(self, handle: Handle) -> None:
        """The connection is established; `handle` is this end of it."""

    def data(self, data: bytes) -> None:
        """`data` has arrived."""

    def eof(self) -> None:
        """The other end sends no more, and all its data was read; it may still read."""

    def half_closed(self) -> None:
        """The other end sends no more, but data that it sent before may be unread. `eof` follows if reading goes on."""
        return

    def lost(self, reason: str) -> None:
        """The connection could not be established, or broke."""

    def input_unread(self) -> None:
        """Nothing was written by `LinkHandle.send_if_quiet`, as bytes of the other end are unread."""
        return

    def write_paused(self) -> None:
        """The other end is a slow reader, and much unsent data is held at this end."""
        return

    def write_resumed(self) -> None:
        """The slow reader has read enough for more data to be sent."""
        return


class Listener(Protocol):
    """Accepts connections at an address."""

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""

    def close(self) -> None:
        """Stop listening. Open connections stay."""


class Env(Protocol):
    """A clock, timers and connections. Addresses are host:port."""

    def now(self) -> float:
        """Seconds on a clock that never goes back."""

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `when`, in seconds on this clock, or soon if that has passed."""

    def defer(self, callback: Callable[[], None]) -> None:
        """Call `callback` soon, in turns with the connections that have events."""

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        """Listen at `address`; `accept` returns the peer of each new connection. Errors: `OSError` if the address can't
        be bound."""

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        """Start to connect to `address`, from the local address `source` if given. A failure is passed to
        `peer.lost`."""


class RouterEnv(Env, Protocol):
    """An `Env` that tells what its connections hold, and reads accepted connections in pieces of a given size."""

    unsent_bytes: int  # that all connections hold because their other ends have not taken them
    accepted_read_bytes: int  # most bytes of one read of an accepted connection

    def connect(self, address: str, peer: Peer, source: str | None = None) -> LinkHandle:
        """As `Env.connect`."""


class DeadlineTimer:
    """A timer for a deadline that changes: calls `callback` once the time `due()` has come. `reschedule` has to be
    called after anything that may have made `due()` earlier."""

    __slots__ = ("callback", "due", "env", "scheduled_for")

    def __init__(self, env: Env, due: Callable[[], float], callback: Callable[[], None]) -> None:
        self.env, self.due, self.callback = env, due, callback
        self.scheduled_for = float("inf")

    def reschedule(self) -> None:
        """Schedule the timer again if `due()` is earlier than before."""
        when = self.due()
        if when < self.scheduled_for:
            self.scheduled_for = when
            self.env.at(when, lambda: self._expired(when))

    def _expired(self, when: float) -> None:
        if self.scheduled_for != when:  # an earlier timer replaced this one, or this one has expired already
            return
        self.scheduled_for = float("inf")
        if self.due() <= self.env.now():
            self.callback()
        self.reschedule()
