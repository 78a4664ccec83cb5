"""Stand-ins for what a router meets on the platform: nodes that speak PostgreSQL's protocol, and the catalogue.

Written against `Env`, so they run on sockets and in virtual time. A node answers each query after `delay` seconds with
the value that its store has, or with what a test put into `answers`; it counts what it holds, so that a router's own
count can be checked against it.
"""

from __future__ import annotations

import json
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from banklift.net.env import Env, Handle, Listener, Peer
from banklift.pg import frames

Answer = Callable[["PgNode", bytes], bytes | None]  # to a statement; None: silence


def row(value: bytes, tag: bytes = b"SELECT 1", column: bytes = b"content") -> bytes:
    """An answer with one value: description, row and CommandComplete."""
    form = b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"  # of no table, bytea, binary
    description = frames.message(b"T", b"\0\x01" + column + b"\0" + form)
    return (
        description
        + frames.message(b"D", b"\0\x01" + len(value).to_bytes(4, "big") + value)
        + frames.message(b"C", tag + b"\0")
    )


@dataclass(eq=False)
class PgNode:
    """One node. `store` holds its values by key; a replica shares that of its primary."""

    env: Env
    address: str = "127.0.0.1:0"
    primary: bool = False
    delay: float = 0.0
    store: dict[bytes, bytes] = field(default_factory=dict)
    answers: deque[Answer] = field(default_factory=deque)  # for the next statements, instead of the usual one
    seen: list[bytes] = field(default_factory=list)  # statements, in the order in which they came
    open: int = 0  # statements that are being worked on, on connections that are open
    probes: int = 0
    connections: set[_NodePeer] = field(default_factory=set)
    listener: Listener | None = None

    def start(self) -> PgNode:
        self.listener = self.env.listen(self.address, lambda: _NodePeer(self))
        self.address = self.listener.address
        return self

    def stop(self) -> None:
        """As if its process had died."""
        if self.listener is not None:
            self.listener.close()
        for peer in list(self.connections):
            peer.lost("stopped")
            if peer.handle is not None:
                peer.handle.close()

    def told(self) -> bytes:
        return frames.parameter("server_role", "writer" if self.primary else "reader") + frames.parameter(
            "commit_clock", str(int(self.env.now() * 1000))
        )

    def usage(self) -> bytes:
        return row(
            b"x0=%.3f,x1=%d,outstanding=%d,backlog=0" % (self.env.now(), self.primary, self.open),
            b"SHOW",
            b"usage",
        )

    def answer(self, statement: bytes) -> bytes:
        """The usual one."""
        key = re.search(rb"'([^']*)'", statement)
        if key is None:
            return frames.error("08P01", "not a statement") + frames.READY
        if statement.startswith(b"INSERT"):
            if not self.primary:
                return frames.error("25006", "this is no primary") + self.told() + frames.READY
            value = re.search(rb"'\\x([0-9a-f]*)'", statement)
            assert value is not None
            self.store[key[1]] = bytes.fromhex(value[1].decode())
            return row(self.store[key[1]], b"INSERT 0 1") + self.told() + frames.READY
        return row(self.store.get(key[1], b"none")) + self.told() + frames.READY


class _NodePeer(Peer):
    def __init__(self, node: PgNode) -> None:
        self.node = node
        self.handle: Handle | None = None
        self.reader = frames.ClientReader(1 << 20)
        self.open = 0
        self.asked = 0  # statements that came on it

    def up(self, handle: Handle) -> None:
        self.handle = handle
        self.node.connections.add(self)

    def data(self, data: bytes) -> None:
        self.reader.feed(data)
        while (found := self.reader.next()) is not None:
            kind, body = found
            if kind == b"":
                self.reader.started = True
                self.say(frames.AUTHENTICATED + frames.READY)
            elif kind == b"Q" and body == b"SHOW usage\0":
                self.node.probes += 1
                self.say(self.node.usage() + frames.READY)
            elif kind == b"Q":
                self.node.seen.append(body[:-1])
                self.node.open += 1
                self.open += 1
                self.asked += 1
                self.begin(body[:-1])

    def begin(self, statement: bytes) -> None:
        make = self.node.answers.popleft() if self.node.answers else PgNode.answer
        self.node.env.at(self.node.env.now() + self.node.delay, lambda: self.work(make, statement))

    def work(self, make: Answer, statement: bytes) -> None:
        if self not in self.node.connections:
            return
        answer = make(self.node, statement)
        if answer is not None:
            self.open -= 1
            self.node.open -= 1
            self.say(answer)

    def say(self, data: bytes) -> None:
        if self.handle is not None:
            self.handle.send(data)

    def eof(self) -> None:
        self.lost("closed")
        if self.handle is not None:
            self.handle.close()

    def lost(self, reason: str) -> None:
        if self in self.node.connections:
            self.node.connections.discard(self)
            self.node.open -= self.open


@dataclass(eq=False)
class Catalogue:
    """The list of members, over HTTP. `hold`: whether a watch waits; `failing`: calls end with 503."""

    env: Env
    address: str = "127.0.0.1:0"
    targets: dict[str, dict[str, object]] = field(default_factory=dict)
    version: int = 1
    failing: bool = False
    calls: list[str] = field(default_factory=list)
    on_call: Callable[[], None] = lambda: None  # told of each
    waiting: list[tuple[_CatalogPeer, int]] = field(default_factory=list)
    changes: list[tuple[int, dict[str, object]]] = field(default_factory=list)
    listener: Listener | None = None

    def start(self) -> Catalogue:
        self.listener = self.env.listen(self.address, lambda: _CatalogPeer(self))
        self.address = self.listener.address
        return self

    def list(
        self,
        uid: str,
        address: str,
        group: int = 0,
        state: str = "SERVING",
        writes: bool = False,
        boot_ms: int = 0,
    ) -> None:
        """Add a member or change it; those who watch are told."""
        entry: dict[str, object] = {
            "uid": uid,
            "endpoint": address,
            "az": "a",
            "model": "m",
            "pod_group": group,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
            "access": "writer" if writes else "reader",
        }
        self.version += 1
        self.changes.append((self.version, entry))
        if state == "DELETED":
            self.targets.pop(uid, None)
        else:
            self.targets[uid] = entry
        waiting, self.waiting = self.waiting, []
        for peer, after in waiting:
            peer.answer(self.news(after))

    def whole(self) -> dict[str, object]:
        return {"rev": self.version, "all": True, "targets": list(self.targets.values())}

    def news(self, after: int) -> dict[str, object]:
        told = {str(entry["uid"]): entry for version, entry in self.changes if version > after}
        return {"rev": self.version, "all": False, "targets": list(told.values())}


class _CatalogPeer(Peer):
    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.handle: Handle | None = None
        self.buffer = b""

    def up(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.call(head.split(b" ")[1].decode())

    def call(self, target: str) -> None:
        catalogue = self.catalogue
        catalogue.calls.append(target)
        catalogue.on_call()
        if catalogue.failing:
            return self.say(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        found = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
        if found is None:
            return self.answer(catalogue.whole())
        after = int(found[1])
        if catalogue.version > after:
            return self.answer(catalogue.news(after))
        catalogue.waiting.append((self, after))
        catalogue.env.at(catalogue.env.now() + int(found[2]) / 1000, lambda: self.overdue(after))

    def overdue(self, after: int) -> None:
        if (self, after) in self.catalogue.waiting:
            self.catalogue.waiting.remove((self, after))
            self.answer(self.catalogue.news(after))

    def answer(self, content: dict[str, object]) -> None:
        body = json.dumps(content).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        self.say(head % len(body) + body)

    def say(self, data: bytes) -> None:
        if self.handle is not None:
            self.handle.send(data)

    def eof(self) -> None:
        self.lost("closed")
        if self.handle is not None:
            self.handle.close()

    def lost(self, reason: str) -> None:
        self.catalogue.waiting = [(peer, after) for peer, after in self.catalogue.waiting if peer is not self]
