"""What everything that runs needs of its surroundings: a clock, timers and connections.

Routers, stand-ins, clients and days are written against this and run unchanged on sockets (sockets.py) and in virtual
time (emulator/world.py). Calls never wait; what happens is told to a `Peer`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Handle(Protocol):
    """One end of a connection. `send` and `close` do nothing once it is gone."""

    def send(self, data: bytes) -> None: ...

    def finish(self, away: bool = False) -> None:
        """Close once everything was sent. The peer at this end is told nothing more. `away`: what the other end still
        sends asks for nothing, and may be read and dropped."""

    def close(self) -> None:
        """Close at once. The peer at this end is told nothing more."""

    def pause(self) -> None:
        """Read no more until `resume`. Of the other end's close the peer is told all the same (`half_closed`)."""

    def resume(self) -> None: ...

    @property
    def source(self) -> str:
        """The other end's address, without port."""


class Peer(Protocol):
    """Is told what happens on a connection: `up` first, `lost` at most once and last."""

    def up(self, handle: Handle) -> None: ...

    def data(self, data: bytes) -> None: ...

    def eof(self) -> None:
        """The other end sends no more; it may still read."""

    def half_closed(self) -> None:
        """The other end sends no more; what it sent before may be unread. `eof` still comes where it is read on."""
        return

    def lost(self, reason: str) -> None:
        """It could not be opened, or broke."""

    def full(self) -> None:
        """The other end does not read, and what is unsent piles up here."""
        return

    def free(self) -> None:
        """It has read enough for more to be worth making."""
        return


class Listener(Protocol):
    @property
    def address(self) -> str:
        """host:port"""

    def close(self) -> None: ...


class Env(Protocol):
    def now(self) -> float:
        """Seconds on a clock that never goes back."""

    def at(self, when: float, callback: Callable[[], None]) -> None: ...

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        """Errors: `OSError` if the address can't be had."""

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        """Start to connect; `source`: the local address."""


class Alarm:
    """Calls `ring` when `due()` has come; `look` after anything that may have changed it."""

    __slots__ = ("due", "env", "ring", "set_for")

    def __init__(self, env: Env, due: Callable[[], float], ring: Callable[[], None]) -> None:
        self.env, self.due, self.ring = env, due, ring
        self.set_for = float("inf")

    def look(self) -> None:
        when = self.due()
        if when < self.set_for:
            self.set_for = when
            self.env.at(when, lambda: self._rung(when))

    def _rung(self, when: float) -> None:
        if self.set_for != when:  # an earlier one was set since, or this one is over
            return
        self.set_for = float("inf")
        if self.due() <= self.env.now():
            self.ring()
        self.look()
