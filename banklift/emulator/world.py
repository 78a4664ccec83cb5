"""The surroundings in virtual time: one queue of events, connections with latency, everything from one seed.

Nothing here waits: a day takes as long as its events take to compute, and the same seed plays the same day to the byte.
Connections deliver in order. One that is closed delivers what was sent before; the other end then sees its end. To an
address where nobody listens a connection fails after one way.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from random import Random

from banklift.net.env import Handle, Peer


class WorldHandle:
    """One end of a virtual connection."""

    def __init__(self, world: World, peer: Peer, source: str) -> None:
        self.world = world
        self.peer = peer
        self.source = source
        self.other: WorldHandle | None = None
        self.closed = False
        self.gone = False  # the other end closed it
        self.paused = False
        self.inbox: list[bytes] = []
        self.last = 0.0  # when the newest delivery to the other end is due

    def send(self, data: bytes) -> None:
        if not self.closed and self.other is not None:
            self._post(lambda other: other._arrived(data))

    def finish(self, away: bool = False) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.other is not None:
                self._post(lambda other: other._ended())

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.world.at(self.world.now(), self._read)

    def _post(self, deliver: Callable[[WorldHandle], None]) -> None:
        other = self.other
        assert other is not None
        self.last = max(self.last, self.world.now() + self.world.latency())
        self.world.at(self.last, lambda: deliver(other))

    def _arrived(self, data: bytes) -> None:
        if not self.closed:
            self.inbox.append(data)
            self._read()

    def _ended(self) -> None:
        if not self.closed:
            self.gone = True
            self._read()

    def _read(self) -> None:
        if self.closed:
            return
        if self.paused:
            if self.gone:
                self.peer.half_closed()
            return
        if self.inbox:
            data = b"".join(self.inbox)
            self.inbox.clear()
            self.peer.data(data)
        if self.gone and not self.paused and not self.closed:
            self.closed = True
            self.peer.lost("closed by the other end")


class WorldListener:
    def __init__(self, world: World, address: str, accept: Callable[[], Peer]) -> None:
        self.world, self.address, self.accept = world, address, accept

    def close(self) -> None:
        if self.world.listeners.get(self.address) is self:
            del self.world.listeners[self.address]


class World:
    """`one_way`: seconds that a message takes, up to half as much again."""

    def __init__(self, seed: int, one_way: float = 0.0002, start: float = 1000.0) -> None:
        self.random = Random(seed)
        self.one_way = one_way
        self.clock = start
        self.listeners: dict[str, WorldListener] = {}
        self.late: dict[
            str, float
        ] = {}  # seconds that connections to an address come up later; infinite: never
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = 0
        self.port = 10_000

    def now(self) -> float:
        return self.clock

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.queue, (max(when, self.clock), self.numbers, callback))

    def latency(self) -> float:
        return self.one_way * self.random.uniform(1.0, 1.5)

    def listen(self, address: str, accept: Callable[[], Peer]) -> WorldListener:
        host, _, port = address.rpartition(":")
        if port == "0":
            self.port += 1
            address = f"{host}:{self.port}"
        if address in self.listeners:
            raise OSError(98, f"{address} is in use")
        listener = self.listeners[address] = WorldListener(self, address, accept)
        return listener

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        handle = WorldHandle(self, peer, address.rpartition(":")[0])
        late = self.late.get(address, 0.0)
        if late == math.inf:
            return handle
        self.at(
            self.clock + self.latency() + late, lambda: self._arrive(handle, address, source or "127.0.0.1")
        )
        return handle

    def _arrive(self, handle: WorldHandle, address: str, source: str) -> None:
        if handle.closed:
            return
        listener = self.listeners.get(address)
        if listener is None:
            self.at(self.clock + self.latency(), lambda: self._refused(handle))
            return
        far = WorldHandle(self, listener.accept(), source)
        far.other, handle.other = handle, far
        far.last = self.clock + self.latency()
        self.at(far.last, lambda: handle.peer.up(handle) if not handle.closed else None)
        far.peer.up(far)

    def _refused(self, handle: WorldHandle) -> None:
        if not handle.closed:
            handle.closed = True
            handle.peer.lost("connection refused")

    def run(self, until: float) -> None:
        """Let everything up to `until` happen."""
        while self.queue and self.queue[0][0] <= until:
            self.clock, _, callback = heapq.heappop(self.queue)
            callback()
        self.clock = max(self.clock, until)
