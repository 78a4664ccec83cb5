"""An operator's tool inside the rig: one question to a voter or an aggregator, over its own connection."""

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
    """`told` gets the answer, or None if the connection broke or was ended."""

    def __init__(self, fleet: str, message: Set | Show, told: Callable[[Message | None], object]) -> None:
        self.fleet, self.message, self.told = fleet, message, told
        self.frames, self.over = FrameDecoder(), False

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
            if not self.over and not isinstance(message, Hello | Progress):
                self.over = True
                self.handle.close()
                self.told(None if isinstance(message, Bye) else message)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if not self.over:
            self.over = True
            self.told(None)
