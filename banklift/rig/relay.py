"""A relay on one link that injects faults, for each direction separately. It is written against `Env`, so it works on
sockets and in virtual time.

| fault | effect on the bytes of that direction |
| --- | --- |
| drop | they are discarded, and the connection stays open |
| stall | they are held back; `heal` delivers them, even if their sender has closed its connection since |
| delay | they arrive so many seconds later, in order |
| throttle | they arrive at so many bytes a second |
| flip | one bit of the next chunk is flipped |
| cut | a part of the next chunk is delivered, then the connection is closed |

A relay may also refuse: it closes its connections and accepts no new ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.net.env import Env, Handle, Listener, Peer

FAULTS = ("drop", "stall", "delay", "throttle", "flip", "cut")  # each is a field of `DirectionFaults`
# directions: from who made the connection to the target, and from the target
TO_TARGET, FROM_TARGET = "there", "back"
TARGET_POLL_INTERVAL = 0.001  # seconds between tries to deliver while the target's connection is opening


@dataclass(slots=True)
class DirectionFaults:
    """Faults in force in one direction; falsy values mean none."""

    drop: bool = False
    stall: bool = False
    delay: float = 0.0  # seconds
    throttle: float = 0.0  # bytes a second
    flip: int = 0  # chunks still to be corrupted
    cut: int = 0  # chunks still to be cut short, each with its connection


@dataclass(slots=True, eq=False)
class Stream:
    """One direction of one connection."""

    relay: Relay
    faults: DirectionFaults
    receiver: Callable[[], Handle | None]  # None while the connection to it is not open yet
    close_connection: Callable[[], None]
    is_closed: Callable[[], bool]
    stalled: list[bytes] = field(default_factory=list)
    last_due: float = 0.0  # when the newest chunk is due at the receiver
    ended: bool = False  # the sender has closed its connection

    def receive(self, data: bytes) -> None:
        """Pass a chunk on, subject to the faults of this direction."""
        relay, faults = self.relay, self.faults
        if faults.drop:
            relay.count("drop")
            return
        if faults.flip:
            faults.flip -= 1
            relay.count("flip")
            index = relay.random.randrange(len(data))
            data = data[:index] + bytes([data[index] ^ 1 << relay.random.randrange(8)]) + data[index + 1 :]
        if faults.cut:
            faults.cut -= 1
            relay.count("cut")
            self.forward(data[: relay.random.randrange(len(data))])
            relay.env.at(relay.env.now(), self.close_connection)
            return
        if faults.stall:
            relay.count("stall")
            self.stalled.append(data)
            return
        self.forward(data)

    def forward(self, data: bytes) -> None:
        """Deliver a chunk now, or later by `delay` and `throttle`, in order."""
        relay, now = self.relay, self.relay.env.now()
        due = now + self.faults.delay
        if self.faults.throttle > 0:
            due = max(due, self.last_due) + len(data) / self.faults.throttle
        if due <= now and self.last_due <= now:
            self.deliver(data)
            return
        relay.count("delay")
        self.last_due = max(self.last_due, due)
        relay.env.at(self.last_due, lambda: self.deliver(data))

    def deliver(self, data: bytes) -> None:
        """Send a chunk to the receiver, as soon as the connection to it is open."""
        handle = self.receiver()
        if self.is_closed():
            return
        if handle is None:
            self.relay.env.at(self.relay.env.now() + TARGET_POLL_INTERVAL, lambda: self.deliver(data))
        else:
            handle.send(data)

    def heal(self) -> None:
        """Forward what a stall has held back."""
        stalled, self.stalled = self.stalled, []
        for data in stalled:
            self.forward(data)
        if self.ended:
            self.close_connection()

    def end(self) -> None:
        """The sender has closed its connection. What a stall holds back can still be delivered by `heal`, so the
        connection is closed only if there is nothing."""
        self.ended = True
        if not self.stalled:
            self.close_connection()


class Relay:
    """Listens at `address` and connects each connection on to `target()`, the target's address at that moment.

    `seed`: for the random parts of faults. `source`: the local address to connect from, in surroundings with several.
    Errors: `OSError` if `address` can't be had.
    """

    def __init__(
        self,
        env: Env,
        target: Callable[[], str],
        seed: int,
        address: str = "127.0.0.1:0",
        source: str | None = None,
    ) -> None:
        self.env, self.target, self.random, self.source = env, target, Random(seed), source
        self.directions = {TO_TARGET: DirectionFaults(), FROM_TARGET: DirectionFaults()}
        self.refusing = False
        self.connections: set[_Connection] = set()
        self.counts: dict[str, int] = {}  # how often each fault took effect
        self.listener: Listener = env.listen(address, self._accept)
        self.address = self.listener.address

    def count(self, fault: str) -> None:
        """Note that a fault took effect once."""
        self.counts[fault] = self.counts.get(fault, 0) + 1

    def fault(self, direction: str, name: str, value: float = 1.0) -> None:
        """Set one fault of one direction. A value of 0 ends it; the end of a stall delivers what was held back."""
        value_type = type(getattr(DirectionFaults(), name))
        setattr(self.directions[direction], name, value_type(value))
        if name == "stall" and not value:
            for connection in list(self.connections):
                connection.streams[direction].heal()

    def refuse(self, refusing: bool) -> None:
        """Close all connections and accept no new ones, or accept them again."""
        self.refusing = refusing
        if refusing:
            self.close_connections()

    def close_connections(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            self.count("end")
            connection.close()

    def heal(self) -> None:
        """End all faults of both directions."""
        self.refusing = False
        for name, direction in self.directions.items():
            for fault in FAULTS:
                if getattr(direction, fault):
                    self.fault(name, fault, 0)

    def close(self) -> None:
        """Stop listening, and close every connection."""
        self.listener.close()
        self.close_connections()

    def _accept(self) -> Peer:
        return _SourcePeer(_Connection(self))


class _Connection:
    """One connection through the relay: from the source that made it, and on to the target."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.source: Handle | None = None
        self.target: Handle | None = None
        self.target_is_open = False
        self.closed = False
        self.streams = {
            TO_TARGET: Stream(
                relay,
                relay.directions[TO_TARGET],
                lambda: self.target if self.target_is_open else None,
                self.close,
                lambda: self.closed,
            ),
            FROM_TARGET: Stream(
                relay, relay.directions[FROM_TARGET], lambda: self.source, self.close, lambda: self.closed
            ),
        }

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.relay.connections.discard(self)
            for handle in (self.source, self.target):
                if handle is not None:
                    handle.finish()


class _SourcePeer(Peer):
    """The relay's end of the connection from the source."""

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection

    def connected(self, handle: Handle) -> None:
        connection = self.connection
        connection.source = handle
        if connection.relay.refusing:
            connection.relay.count("refuse")
            handle.close()
            return
        connection.relay.connections.add(connection)
        connection.target = connection.relay.env.connect(
            connection.relay.target(), _TargetPeer(connection), connection.relay.source
        )

    def data(self, data: bytes) -> None:
        if not self.connection.closed:
            self.connection.streams[TO_TARGET].receive(data)

    def eof(self) -> None:
        self.connection.streams[TO_TARGET].end()

    def lost(self, reason: str) -> None:
        self.connection.streams[TO_TARGET].end()


class _TargetPeer(Peer):
    """The relay's end of the connection to the target."""

    def __init__(self, connection: _Connection) -> None:
        self.connection = connection

    def connected(self, handle: Handle) -> None:
        self.connection.target_is_open = True

    def data(self, data: bytes) -> None:
        if not self.connection.closed:
            self.connection.streams[FROM_TARGET].receive(data)

    def eof(self) -> None:
        self.connection.streams[FROM_TARGET].end()

    def lost(self, reason: str) -> None:
        if not self.connection.target_is_open:
            self.connection.close()
        else:
            self.connection.streams[FROM_TARGET].end()
