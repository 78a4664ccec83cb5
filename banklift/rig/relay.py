"""A relay on one link, with faults each way for itself. Written against `Env`, so it is the same in virtual time.

| fault | what becomes of the bytes of that way |
| --- | --- |
| drop | they vanish, and the connection stays |
| stall | they are taken and kept; `heal` delivers them, also those of a connection whose end has gone since |
| delay | they come so many seconds late, in order |
| throttle | they come at so many bytes a second |
| flip | one bit of the next piece is turned over |
| cut | of the next piece a part comes through, then the connection ends |

Besides, a relay may refuse: it takes no new connections and ends those that it has.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.net.env import Env, Handle, Listener, Peer

FAULTS = ("drop", "stall", "delay", "throttle", "flip", "cut")
THERE, BACK = "there", "back"


@dataclass(slots=True)
class Way:
    drop: bool = False
    stall: bool = False
    delay: float = 0.0
    throttle: float = 0.0
    flip: int = 0  # pieces yet to be spoilt
    cut: int = 0  # pieces yet to be cut


@dataclass(slots=True, eq=False)
class Stream:
    """One direction of one connection."""

    relay: Relay
    way: Way
    to: Callable[[], Handle | None]  # where it goes; None while that is not up yet
    shut: Callable[[], None]  # end both ends
    over: Callable[[], bool]
    kept: list[bytes] = field(default_factory=list)
    last: float = 0.0  # when the newest piece is due at the other end
    ended: bool = False  # nothing more comes

    def come(self, data: bytes) -> None:
        relay, way = self.relay, self.way
        if way.drop:
            relay.count("drop")
            return
        if way.flip:
            way.flip -= 1
            relay.count("flip")
            place = relay.random.randrange(len(data))
            data = data[:place] + bytes([data[place] ^ 1 << relay.random.randrange(8)]) + data[place + 1 :]
        if way.cut:
            way.cut -= 1
            relay.count("cut")
            self.pass_on(data[: relay.random.randrange(len(data))])
            relay.env.at(relay.env.now(), self.shut)
            return
        if way.stall:
            relay.count("stall")
            self.kept.append(data)
            return
        self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        relay, now = self.relay, self.relay.env.now()
        due = now + self.way.delay
        if self.way.throttle > 0:
            due = max(due, self.last) + len(data) / self.way.throttle
        if due <= now and self.last <= now:
            self.deliver(data)
            return
        relay.count("delay")
        self.last = max(self.last, due)
        relay.env.at(self.last, lambda: self.deliver(data))

    def deliver(self, data: bytes) -> None:
        handle = self.to()
        if self.over():
            return
        if handle is None:
            self.relay.env.at(self.relay.env.now() + 0.001, lambda: self.deliver(data))
        else:
            handle.send(data)

    def heal(self) -> None:
        kept, self.kept = self.kept, []
        for data in kept:
            self.pass_on(data)
        if self.ended:
            self.shut()

    def end(self) -> None:
        """The end that sends has gone: what is kept may come late yet."""
        self.ended = True
        if not self.kept:
            self.shut()


class Relay:
    """Passes connections on to `target()`, the address of the moment; listens at `address`. `source`: from which it
    connects on, where there are several."""

    def __init__(
        self,
        env: Env,
        target: Callable[[], str],
        seed: int,
        address: str = "127.0.0.1:0",
        source: str | None = None,
    ) -> None:
        self.env, self.target, self.random, self.source = env, target, Random(seed), source
        self.ways = {THERE: Way(), BACK: Way()}
        self.refusing = False
        self.pairs: set[_Pair] = set()
        self.counts: dict[str, int] = {}  # how often each fault bit
        self.listener: Listener = env.listen(address, self._accept)
        self.address = self.listener.address

    def count(self, fault: str) -> None:
        self.counts[fault] = self.counts.get(fault, 0) + 1

    def fault(self, way: str, name: str, value: float = 1.0) -> None:
        """Set one fault; 0 takes it back, and delivers what a stall has kept."""
        kind = type(getattr(Way(), name))
        setattr(self.ways[way], name, kind(value))
        if name == "stall" and not value:
            for pair in list(self.pairs):
                pair.streams[way].heal()

    def refuse(self, refusing: bool) -> None:
        self.refusing = refusing
        if refusing:
            self.end()

    def end(self) -> None:
        """End every connection."""
        for pair in list(self.pairs):
            self.count("end")
            pair.shut()

    def heal(self) -> None:
        self.refusing = False
        for name, way in self.ways.items():
            for fault in FAULTS:
                if getattr(way, fault):
                    self.fault(name, fault, 0)

    def close(self) -> None:
        self.listener.close()
        self.end()

    def _accept(self) -> Peer:
        return _Near(_Pair(self))


class _Pair:
    """One connection through the relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.near: Handle | None = None
        self.far: Handle | None = None
        self.up = False
        self.over = False
        self.streams = {
            THERE: Stream(
                relay, relay.ways[THERE], lambda: self.far if self.up else None, self.shut, lambda: self.over
            ),
            BACK: Stream(relay, relay.ways[BACK], lambda: self.near, self.shut, lambda: self.over),
        }

    def shut(self) -> None:
        if not self.over:
            self.over = True
            self.relay.pairs.discard(self)
            for handle in (self.near, self.far):
                if handle is not None:
                    handle.finish()


class _Near(Peer):
    def __init__(self, pair: _Pair) -> None:
        self.pair = pair

    def connected(self, handle: Handle) -> None:
        pair = self.pair
        pair.near = handle
        if pair.relay.refusing:
            pair.relay.count("refuse")
            handle.close()
            return
        pair.relay.pairs.add(pair)
        pair.far = pair.relay.env.connect(pair.relay.target(), _Far(pair), pair.relay.source)

    def data(self, data: bytes) -> None:
        if not self.pair.over:
            self.pair.streams[THERE].come(data)

    def eof(self) -> None:
        self.pair.streams[THERE].end()

    def lost(self, reason: str) -> None:
        self.pair.streams[THERE].end()


class _Far(Peer):
    def __init__(self, pair: _Pair) -> None:
        self.pair = pair

    def connected(self, handle: Handle) -> None:
        self.pair.up = True

    def data(self, data: bytes) -> None:
        if not self.pair.over:
            self.pair.streams[BACK].come(data)

    def eof(self) -> None:
        self.pair.streams[BACK].end()

    def lost(self, reason: str) -> None:
        if not self.pair.up:
            self.pair.shut()
        else:
            self.pair.streams[BACK].end()
