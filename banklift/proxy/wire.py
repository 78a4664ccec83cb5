"""What the core asks of a protocol: frames in and out, how an answer reads, what members tell of role and position.

RESP and PostgreSQL's protocol implement it. The core knows requests, attempts and links, and no protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from banklift.decide.offsets import Seen, Standing
from banklift.interface import Report, RequestClass, Status

if TYPE_CHECKING:
    from banklift.proxy.machine import Attempt, Machine, Node


class Reader(Protocol):
    """Splits what a member sends into frames."""

    def feed(self, data: bytes) -> list[bytes]:
        """Errors: `BrokenFrame` if the stream can't be read on."""

    @property
    def clean(self) -> bool:
        """Whether nothing is left over that belongs to no whole frame and could be part of an answer."""


class BrokenFrame(Exception):
    """The other end broke the protocol."""


@dataclass(frozen=True, slots=True)
class Told:
    """What the module hears of a member with the end of an attempt."""

    primary: bool | None = None
    position: float | None = None  # of a write that went through: its commit
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Result:
    """What the frames of one exchange mean."""

    status: Status
    answer: bytes = b""
    standing: Standing | None = None
    after: Standing | None = None  # of a read that asked on both sides: where the member stood behind it
    told: Told | None = None  # where answers tell without being asked
    closes: bool = False  # the member will say no more on this link


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

    def payload(self, question: Question, left: float = 0.0) -> bytes:
        """The bytes to send. `left`: seconds that the router will wait for the answer."""

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

    @property
    def probes_apart(self) -> bool:
        """Whether probes need a link that carries no requests."""

    @property
    def probes_in_line(self) -> bool:
        """Whether a link takes another probe before it has answered the one before."""

    @property
    def rest(self) -> float:
        """Seconds that a link rests after an answer; what comes meanwhile was not asked for, and it is closed."""

    @property
    def whole_within(self) -> float:
        """Seconds from an answer's first byte until all of it is there; infinite where that says nothing. After that
        its link is lost."""

    def proofs(self, core: Machine, groups: int) -> Proofs:
        """What is known of the members of this router, by this protocol."""


class Proofs(Protocol):
    """What members tell of themselves, and what that proves about their answers."""

    def lore(self) -> object:
        """What is kept of one member (`Node.lore`), when nothing is known of it."""

    def since_write(self, ask: Ask, now: float) -> float | None:
        """Of a session's read: seconds since the last commit that it must see. None: no such commit."""

    def question(self, attempt: Attempt, fresh: bool) -> Question:
        """An attempt is being written. `fresh`: it is the first on its link."""

    def judge(self, attempt: Attempt, result: Result) -> Judged:
        """What its answer means, once all of it is there."""

    def cut(self, attempt: Attempt, result: Result) -> Served:
        """The same of one that a link had brought before it broke."""

    def early(self, attempt: Attempt) -> None:
        """The first frame of an answer to a question is there, the rest is not."""

    def probing(self, node: Node) -> None:
        """The module asks for a probe of it."""

    def probed(self, node: Node, asked: float, frame: bytes) -> None:
        """It has answered: `Machine.report` or `Machine.probe_failed` is to be called once, now or soon."""

    def probes_failed(self, node: Node) -> None:
        """It has not answered; the module knows."""

    def forget(self, node: Node) -> None:
        """It is listed no more."""


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
    deadline: float | None = None  # its own; None: its class's
    # a session's read with a position of its own: seconds since the commit it must see
    since: float | None = None
    session: int | None = None
    again: bool = False  # its client has tried it before
    label: bytes = b""  # what its client calls it, for the log
    ids: list[int] = field(default_factory=list)  # of the request, once it is taken


@dataclass(frozen=True, slots=True)
class Served:
    answer: bytes
    seen: Seen | None = None  # what its session has seen from now on


@dataclass(frozen=True, slots=True)
class Judged:
    """What the end of an attempt means. `served`: what its client gets, if it gets this."""

    status: Status
    told: Told
    served: Served | None = None


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

    def half_closed(self, client: int) -> None:
        """It sends no more, but is paused: what it sent before may be unread."""

    def lost(self, client: int) -> None: ...

    def full(self, client: int, is_full: bool) -> None:
        """Its answers pile up, or do so no more: nothing new is begun for it in between."""

    def done(self, ask: Ask, final: Final) -> None: ...

    def adopt(self, plan: object) -> None:
        """Requests are taken under another plan from now on."""

    def drain(self) -> None:
        """This router ends at `core.end`; until `leave` whatever comes is taken."""

    def leave(self) -> None:
        """Close what has nothing open, and the rest as soon as it has nothing open."""
