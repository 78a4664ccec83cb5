"""Clients of the rig: one connection to each router, one request after another at a pace, each with a key of its
own."""

from __future__ import annotations

from banklift.net.env import Env, Handle, Peer
from banklift.resp.frames import command
from banklift.rig.judge import FAMILIES
from banklift.rig.trace import Entry, Trace

AGAIN = 0.05  # seconds before a lost connection is made again


class Client:
    """Asks one router every `every` seconds, without waiting for answers, up to `most` unanswered at a time."""

    def __init__(
        self, env: Env, router: str, address: str, every: float, trace: Trace, most: int = 64
    ) -> None:
        self.env, self.router, self.address, self.trace = env, router, address, trace
        self.every, self.most = every, most
        self.count = 0
        self.handle: Handle | None = None
        self.line: list[str] = []  # keys without an answer, in order
        self.rest = b""
        self.over = False
        self._connect()
        self._beat()

    def _connect(self) -> None:
        if not self.over:
            self.env.connect(self.address, _Connection(self))

    def _beat(self) -> None:
        if self.over:
            return
        self.env.at(self.env.now() + self.every, self._beat)
        if self.handle is None or len(self.line) >= self.most:
            return
        self.count += 1
        key = f"{FAMILIES[self.count % 2]}:{self.router}:{self.count}"
        self.line.append(key)
        self.trace.add(Entry(self.env.now(), "sent", key, self.router))
        self.handle.send(command("GET", key))

    def got(self, data: bytes) -> None:
        """Answers are nil, or an error in one line."""
        lines = (self.rest + data).split(b"\r\n")
        self.rest = lines.pop()
        for line in lines:
            answer = (
                "served"
                if line == b"$-1"
                else "refused"
                if line.startswith(b"-TRYAGAIN")
                else "failed"
                if line.startswith(b"-UNCERTAIN")
                else f"error {line[:60].decode('latin-1')}"
            )
            self.trace.add(Entry(self.env.now(), "got", self.line.pop(0), self.router, answer=answer))

    def lost(self) -> None:
        for key in self.line:  # its connection broke: that is an answer of a kind
            self.trace.add(Entry(self.env.now(), "got", key, self.router, answer="lost"))
        self.line.clear()
        self.handle, self.rest = None, b""
        if not self.over:
            self.env.at(self.env.now() + AGAIN, self._connect)

    def finish(self) -> None:
        """Ask no more."""
        self.over = True

    def close(self) -> None:
        if self.handle is not None:
            self.handle.close()
            self.lost()


class _Connection(Peer):
    def __init__(self, client: Client) -> None:
        self.client = client

    def connected(self, handle: Handle) -> None:
        self.client.handle = handle

    def data(self, data: bytes) -> None:
        self.client.got(data)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if self.client.handle is not None:
            self.client.handle.close()
        self.client.lost()
