"""Clients of the rig: one connection to each router, on which requests are sent at a fixed rate, each with a key of its
own."""

from __future__ import annotations

from banklift.net.env import Env, Handle, Peer
from banklift.resp.frames import command
from banklift.rig.judge import KEY_FAMILIES
from banklift.rig.trace import Entry, Trace

RECONNECT_DELAY = 0.05  # seconds


class Client:
    """Sends a GET to one router every `interval` seconds without waiting for answers, and traces requests and answers.

    Sends nothing while `max_unanswered` requests are without an answer, or while the connection is down. A lost
    connection is made again after `RECONNECT_DELAY`.
    """

    def __init__(
        self, env: Env, router: str, address: str, interval: float, trace: Trace, max_unanswered: int = 64
    ) -> None:
        self.env, self.router, self.address, self.trace = env, router, address, trace
        self.interval, self.max_unanswered = interval, max_unanswered
        self.sent_count = 0
        self.handle: Handle | None = None
        self.unanswered: list[str] = []  # keys, in the order of their requests
        self.partial_line = b""
        self.finished = False
        self._connect()
        self._send_periodically()

    def _connect(self) -> None:
        if not self.finished:
            self.env.connect(self.address, _Connection(self))

    def _send_periodically(self) -> None:
        if self.finished:
            return
        self.env.at(self.env.now() + self.interval, self._send_periodically)
        if self.handle is None or len(self.unanswered) >= self.max_unanswered:
            return
        self.sent_count += 1
        key = f"{KEY_FAMILIES[self.sent_count % 2]}:{self.router}:{self.sent_count}"
        self.unanswered.append(key)
        self.trace.add(Entry(self.env.now(), "sent", key, self.router))
        self.handle.send(command("GET", key))

    def receive(self, data: bytes) -> None:
        """Handle answers. Each is one line, as the keys have no values: nil, or an error."""
        lines = (self.partial_line + data).split(b"\r\n")
        self.partial_line = lines.pop()
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
            self.trace.add(Entry(self.env.now(), "got", self.unanswered.pop(0), self.router, answer=answer))

    def connection_lost(self) -> None:
        """Trace all open requests as lost, and connect again unless the client has finished."""
        for key in self.unanswered:  # a lost connection is the final answer to them
            self.trace.add(Entry(self.env.now(), "got", key, self.router, answer="lost"))
        self.unanswered.clear()
        self.handle, self.partial_line = None, b""
        if not self.finished:
            self.env.at(self.env.now() + RECONNECT_DELAY, self._connect)

    def finish(self) -> None:
        """Send no more requests. Answers to earlier ones are still received."""
        self.finished = True

    def close(self) -> None:
        """Close the connection; open requests are traced as lost."""
        if self.handle is not None:
            self.handle.close()
            self.connection_lost()


class _Connection(Peer):
    def __init__(self, client: Client) -> None:
        self.client = client

    def connected(self, handle: Handle) -> None:
        self.client.handle = handle

    def data(self, data: bytes) -> None:
        self.client.receive(data)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if self.client.handle is not None:
            self.client.handle.close()
        self.client.connection_lost()
