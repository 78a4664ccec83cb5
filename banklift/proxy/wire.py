"""What the core asks of a protocol: frames in and out, how an answer reads, how role and position are asked.

RESP is the first to implement it. The core below knows requests, attempts and links, and no protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from banklift.decide.offsets import Seen, Standing
from banklift.interface import RequestClass, Status


class Reader(Protocol):
    """Splits what a member sends into frames."""

    def feed(self, data: bytes) -> list[bytes]:
        """Errors: `BrokenFrame` if the stream can't be read on."""


class BrokenFrame(Exception):
    """The other end broke the protocol."""


@dataclass(frozen=True, slots=True)
class Result:
    """What the frames of one exchange mean."""

    status: Status
    answer: bytes = b""
    standing: Standing | None = None
    after: Standing | None = None  # of a read that asked on both sides: where the member stood behind it


class Question(IntEnum):
    """What a member is asked about itself together with a request: of a read in front of it, so that it is at least as
    new as what is proven, of a write behind it, so that its mark holds it."""

    NONE = 0
    STANDING = 1  # role and position
    HISTORY = 2  # these and its history
    BOTH = 3  # of a read, role and position behind it as well: what it showed is no newer than that
    HISTORY_BOTH = 4


class Exchange(Protocol):
    """One request as a member gets it."""

    @property
    def flavour(self) -> int:
        """Only links of the same flavour carry it."""

    def payload(self, question: Question) -> bytes:
        """The bytes to send."""

    def frames(self, question: Question) -> int:
        """How many frames answer it."""

    def read(self, frames: list[bytes], question: Question) -> Result | None:
        """What the frames so far mean; None while more are needed."""

    def cut(self, frames: list[bytes], question: Question) -> Result | None:
        """The answer, if a link that broke had already brought it; None if not."""


class Wire(Protocol):
    """A protocol, as links to members speak it."""

    def reader(self) -> Reader: ...

    def greeting(self, flavour: int) -> tuple[bytes, int]:
        """What a new link sends first, and how many frames answer it."""

    def greeted(self, frame: bytes) -> bool:
        """Whether a frame that answers the greeting is a yes."""

    def aside(self, frame: bytes) -> bool:
        """Whether a frame answers nothing that was asked."""

    def probe(self) -> bytes:
        """The question for role, history and position; one frame answers it."""

    def standing(self, frame: bytes) -> Standing | None: ...


@dataclass(slots=True)
class Ask:
    """A request that a front gives to the core; the core calls `done` once."""

    client: int
    kind: RequestClass
    group: int
    exchange: Exchange
    seen: Seen | None = None  # a session's read: what it must hold
    current: bool = False  # a session's read of which nothing is known: all commits before its arrival
    tenant: str | None = None
    arrived: float = 0.0  # when it came in; its deadline counts from here
    ids: list[int] = field(default_factory=list)  # of the request, once it is taken


@dataclass(frozen=True, slots=True)
class Served:
    answer: bytes
    seen: Seen | None = None  # what its session has seen from now on


@dataclass(frozen=True, slots=True)
class Refused:
    """Safe to send again. `touched`: a member got it and did not turn it away, so it may have run."""

    retry_after: float
    touched: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """It may have run, and is not safe to send again."""


Final = Served | Refused | Failed


class Front(Protocol):
    """Client connections in one protocol."""

    def opened(self, client: int) -> None: ...

    def data(self, client: int, data: bytes) -> None: ...

    def eof(self, client: int) -> None: ...

    def lost(self, client: int) -> None: ...

    def full(self, client: int, is_full: bool) -> None:
        """Its answers pile up, or do so no more: nothing new is begun for it in between."""

    def done(self, ask: Ask, final: Final) -> None: ...
