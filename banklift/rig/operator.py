"""An operator's tool inside the rig: one request to a voter or an aggregator, over a connection of its own."""

from __future__ import annotations

from collections.abc import Callable

from banklift.fleet.messages import (
    PROTOCOL_VERSION,
    Bye,
    FrameDecoder,
    Hello,
    Message,
    Progress,
    ProtocolError,
    Role,
    Set,
    Show,
    encode,
)
from banklift.net.env import Handle, Peer


class Operator(Peer):
    """Sends one message once the connection is up, and calls `on_answer` once: with the answer, or with None if the
    connection broke or the other end closed it."""

    def __init__(
        self, fleet: str, message: Set | Show, on_answer: Callable[[Message | None], object]
    ) -> None:
        self.fleet, self.message, self.on_answer = fleet, message, on_answer
        self.frames, self.done = FrameDecoder(), False

    def connected(self, handle: Handle) -> None:
        self.handle = handle
        hello = Hello(PROTOCOL_VERSION, self.fleet, "", 0, (), 0.0, role=Role.OPERATOR)
        handle.send(encode(hello) + encode(self.message))

    def data(self, data: bytes) -> None:
        try:
            messages = self.frames.feed(data)
        except ProtocolError:
            messages = [Bye("garbage")]
        for message in messages:
            if not self.done and not isinstance(message, Hello | Progress):
                self.done = True
                self.handle.close()
                self.on_answer(None if isinstance(message, Bye) else message)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if not self.done:
            self.done = True
            self.on_answer(None)
