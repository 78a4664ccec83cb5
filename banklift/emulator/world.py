"""A network and a clock in virtual time: an `Env` that needs no sockets and never waits.

`World` keeps one queue of events, ordered by time, and runs them one after the other. The clock jumps from event to
event, so a run takes as long as its events take to compute. All random draws come from one seed, so the same seed
gives the same run to the byte.

Connections deliver data in order. When one end closes, the other end first gets what was sent before. A paused end is
told of the close nevertheless, unless more data is unread than a receive buffer holds: the close is behind the rest
then. A connection to an address at which nobody listens is refused after one way there and one way back.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from random import Random

from banklift.net.env import Peer

MAX_LATENCY_FACTOR = 1.5
READ_BYTES = 64 * 1024  # most bytes of one read of an accepted connection, unless a router sets another size
LAST_FIXED_PORT = 10_000  # a listener with port 0 gets a port above this one


class WorldHandle:
    """One end of a virtual connection (a `Handle`).

    `peer` is told the events of this end. `source`: IP address of the other end.
    """

    def __init__(self, world: World, peer: Peer, source: str) -> None:
        self.world = world
        self.peer = peer
        self.source = source
        self.other_end: WorldHandle | None = None  # None: not connected yet
        self.closed = False
        self.closed_by_other_end = False
        self.paused = False
        self.unread = bytearray()  # data that arrived and was not passed to the peer
        self.is_accepted = False
        self.last_delivery_at = 0.0  # when the newest delivery to the other end is due

    def send(self, data: bytes) -> None:
        """Send data to the other end; nothing if this end is closed or not connected."""
        if not self.closed and self.other_end is not None:
            self._deliver(lambda other_end: other_end._data_arrived(data))

    def send_if_quiet(self, data: bytes) -> None:
        """As `send`, unless data of the other end is unread: the peer is told soon then."""
        if self.unread and not self.closed:
            self.world.at(self.world.now(), self._tell_unread)
        else:
            self.send(data)

    def _tell_unread(self) -> None:
        if not self.closed:
            self.peer.input_unread()

    def finish(self, discard_input: bool = False) -> None:
        """Close; what was sent before still arrives, so this equals `close`."""
        self.close()

    def close(self) -> None:
        """Close this end. Its peer is told nothing more; the other end learns of it after what was sent before."""
        if not self.closed:
            self.closed = True
            if self.other_end is not None:
                self._deliver(lambda other_end: other_end._end_arrived())

    def pause(self) -> None:
        """Keep arriving data back from the peer until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """Pass the data that was kept back to the peer, and what arrives from now on."""
        if self.paused:
            self.paused = False
            self.world.at(self.world.now(), self._notify_peer)

    def _deliver(self, event: Callable[[WorldHandle], None]) -> None:
        """Run `event` at the other end after the latency, and after all events that were sent before it."""
        other_end = self.other_end
        assert other_end is not None
        self.last_delivery_at = max(self.last_delivery_at, self.world.now() + self.world.latency())
        self.world.at(self.last_delivery_at, lambda: event(other_end))

    def _data_arrived(self, data: bytes) -> None:
        if not self.closed:
            self.unread += data
            self._notify_peer()

    def _end_arrived(self) -> None:
        if not self.closed:
            self.closed_by_other_end = True
            self._notify_peer()

    def _notify_peer(self) -> None:
        """Pass unread data to the peer, then the close of the other end; while paused, only the half-close.

        An accepted connection is read in pieces of `World.accepted_read_bytes`, all of them at the same time.
        """
        if self.closed:
            return
        if self.paused:
            if self.closed_by_other_end and len(self.unread) <= self.world.receive_buffer_bytes:
                self.peer.half_closed()
            return
        if self.unread:
            size = self.world.accepted_read_bytes if self.is_accepted else len(self.unread)
            data = bytes(self.unread[:size])
            del self.unread[:size]
            if self.unread:
                self.world.at(self.world.now(), self._notify_peer)
            self.peer.data(data)
        if self.closed_by_other_end and not self.unread and not self.paused and not self.closed:
            self.closed = True
            self.peer.lost("closed by the other end")


class WorldListener:
    """A listening address (a `Listener`). `accept` makes the peer of each connection to it."""

    def __init__(self, world: World, address: str, accept: Callable[[], Peer]) -> None:
        self.world = world
        self.address = address
        self.accept = accept

    def close(self) -> None:
        """Stop listening. Connections that were accepted stay open."""
        if self.world.listeners.get(self.address) is self:
            del self.world.listeners[self.address]


class World:
    """An `Env` in virtual time. Nothing happens until `run`.

    `seed`: of the latencies. `one_way`: seconds that data takes to the other end, at the least; each delivery takes up
    to `MAX_LATENCY_FACTOR` times as long. `start`: the clock at the start, in seconds.
    """

    def __init__(self, seed: int, one_way: float = 0.0002, start: float = 1000.0) -> None:
        self.random = Random(seed)
        self.one_way = one_way
        self.clock = start
        self.listeners: dict[str, WorldListener] = {}  # by address
        # By address: seconds by which a connection to it comes up later; infinite: never.
        self.connect_delays: dict[str, float] = {}
        self.queue: list[tuple[float, int, Callable[[], None]]] = []  # heap: time, number, callback
        self.events_created = 0  # numbers the events, so that those of one time run in order
        self.last_free_port = LAST_FIXED_PORT
        self.unsent_bytes = 0  # always: a connection takes all that is sent
        self.accepted_read_bytes = READ_BYTES
        self.receive_buffer_bytes = math.inf  # of each connection; only the report of a close depends on it

    def now(self) -> float:
        """The virtual clock, in seconds."""
        return self.clock

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` once the clock shows `when`; a time in the past means now."""
        self.events_created += 1
        heapq.heappush(self.queue, (max(when, self.clock), self.events_created, callback))

    def defer(self, callback: Callable[[], None]) -> None:
        """Call `callback` after the events that are due now."""
        self.at(self.clock, callback)

    def hold_up(self, seconds: float) -> None:
        """Let `seconds` pass in which nothing runs, as while a process is held up: what is due meanwhile runs late."""
        self.clock += seconds

    def latency(self) -> float:
        """Draw the seconds that one delivery takes."""
        return self.one_way * self.random.uniform(1.0, MAX_LATENCY_FACTOR)

    def listen(self, address: str, accept: Callable[[], Peer]) -> WorldListener:
        """Listen at `address` (host:port; port 0: a free one). Errors: `OSError` if the address is in use."""
        host, _, port = address.rpartition(":")
        if port == "0":
            self.last_free_port += 1
            address = f"{host}:{self.last_free_port}"
        if address in self.listeners:
            raise OSError(98, f"{address} is in use")  # EADDRINUSE on Linux
        listener = self.listeners[address] = WorldListener(self, address, accept)
        return listener

    def connect(self, address: str, peer: Peer, source: str | None = None) -> WorldHandle:
        """Start to connect to `address`. `peer` is told when the connection is up, or that it was refused.

        `source`: the IP address that the other end sees, 127.0.0.1 by default.
        """
        handle = WorldHandle(self, peer, address.rpartition(":")[0])
        extra_delay = self.connect_delays.get(address, 0.0)
        if extra_delay == math.inf:
            return handle
        self.at(
            self.clock + self.latency() + extra_delay,
            lambda: self._connection_arrived(handle, address, source or "127.0.0.1"),
        )
        return handle

    def _connection_arrived(self, handle: WorldHandle, address: str, source: str) -> None:
        """A connection reaches its address: accept it, or refuse it if nobody listens."""
        if handle.closed:
            return
        listener = self.listeners.get(address)
        if listener is None:
            self.at(self.clock + self.latency(), lambda: self._refuse(handle))
            return
        accepted = WorldHandle(self, listener.accept(), source)
        accepted.other_end = handle
        accepted.is_accepted = True
        handle.other_end = accepted
        accepted.last_delivery_at = self.clock + self.latency()
        self.at(
            accepted.last_delivery_at, lambda: handle.peer.connected(handle) if not handle.closed else None
        )
        accepted.peer.connected(accepted)

    def _refuse(self, handle: WorldHandle) -> None:
        if not handle.closed:
            handle.closed = True
            handle.peer.lost("connection refused")

    def run(self, until: float) -> None:
        """Run all events up to the time `until`, and set the clock to it."""
        while self.queue and self.queue[0][0] <= until:
            when, _, callback = heapq.heappop(self.queue)
            self.clock = max(self.clock, when)
            callback()
        self.clock = max(self.clock, until)
