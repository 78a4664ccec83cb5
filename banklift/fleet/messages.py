"""What routers of one fleet say to one another: structs as msgpack, in frames with their length in front.

Every message goes over a link on which both ends have said who they are (`Hello`), which is good for one
incarnation of each. What each handler does with a message that is late, doubled or from an older incarnation
is said where it is handled. Durations are seconds; no point in time is ever sent, as clocks are not compared.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from zlib import crc32

import msgspec

from banklift.fleet.state import Outcome, State

VERSION = 2  # of these messages; another one ends the link
LENGTH = 4  # bytes in front of each frame, for the length of its body ...
CHECKSUM = 4  # ... and for the CRC-32 of it: TCP's own sum lets one altered segment in 65,536 pass
HEAD = LENGTH + CHECKSUM
FRAME_LIMIT = 4 * 1024 * 1024  # bytes of one frame
Ballot = tuple[int, str]  # round and voter, compared in that order
NO_BALLOT: Ballot = (0, "")


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Role(StrEnum):
    """What the sender of a `Hello` is."""

    ROUTER = "router"
    AGGREGATOR = "aggregator"
    OPERATOR = "operator"


class Hello(Message, frozen=True):
    """First on a link, from both ends. An operator's tool has no name."""

    version: int
    fleet: str
    name: str
    incarnation: int
    voters: tuple[str, ...]
    lease: float
    sub_lease: float = 0.0
    role: Role = Role.ROUTER


class Bye(Message, frozen=True):
    """Last on a link, with the reason. `clash`: the name belongs to somebody else."""

    reason: str
    clash: bool = False


# ---- the register, between voters


class Prepare(Message, frozen=True):
    ballot: Ballot


class Promise(Message, frozen=True):
    ballot: Ballot
    accepted: Ballot
    state: State | None
    incarnations: dict[str, int]


class Accept(Message, frozen=True):
    ballot: Ballot
    state: State


class Accepted(Message, frozen=True):
    ballot: Ballot
    incarnations: dict[str, int]


class Nack(Message, frozen=True):
    ballot: Ballot
    promised: Ballot


class Learn(Message, frozen=True):
    """A state that was chosen."""

    state: State


class Rejoin(Message, frozen=True):
    """A voter has started and asks what it may have promised."""

    incarnation: int


class Rejoined(Message, frozen=True):
    """`standing`: voting; whole, of a voter that asks itself and whose disk was whole; blank, of one whose was
    not. `founding`: the incarnations that all had nothing when this fleet began."""

    incarnation: int  # of the voter that asked
    standing: str
    promised: Ballot
    accepted: Ballot
    state: State | None
    incarnations: dict[str, int]
    founding: dict[str, int]
    absent: bool  # the sender has never had a state in this folder


class Survey(Message, frozen=True):
    """How far are the voter's lease holders with this change? `version`: of the state in which it stands; a
    voter that knows an older one says so by its own and is sent the state (`Learn`)."""

    change: str
    version: int
    number: int


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The routers that hold a sub-lease of one aggregator, in counts."""

    routers: int
    waiting: int  # of these: have not answered the change under way
    refused: int  # of these: refuse it
    slowest: tuple[str, ...] = ()  # for whom the change waits, a few of them, in words


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """One lease holder as its grantor knows it: a router or an aggregator."""

    name: str
    incarnation: int
    epoch: int
    verdict: tuple[str, ...] | None  # reasons against the change; none: it accepts; None: it has not said
    heard: float  # seconds since it was last heard of
    left: float  # seconds until its lease has ended for certain
    summary: Summary | None = None  # of an aggregator


class Surveyed(Message, frozen=True):
    """`refusals`: holders whose lease has not ended and that refuse, with reasons. `waiting`: how many holders
    have not done what the change waits for; `slowest`: a few of them. No list of all holders is ever sent."""

    change: str
    version: int  # of the state that this voter knows
    number: int
    refusals: tuple[Holder, ...]
    waiting: int
    slowest: tuple[Holder, ...]
    sealed: bool  # all of them accept, and nobody else gets a lease until the change is decided
    switched: bool  # this voter grants the new epoch alone


# ---- leases, between a holder and its grantor: a router or an aggregator, and a voter or an aggregator


class LeaseRequest(Message, frozen=True):
    """`number` counts up within an incarnation. `held`: the oldest grant that the holder counts; it counts
    none before it any more. `have`: policies whose text it has, by digest. `summary`: of an aggregator, its own
    holders."""

    number: int
    held: int
    epoch: int  # it serves; 0: none
    change: str  # the one that `verdict` is on
    verdict: tuple[str, ...] | None
    have: tuple[str, ...]
    summary: Summary | None = None


class LeaseGrant(Message, frozen=True):
    """The answer to a request. `ttl`: the lease on `epoch` holds so long, from when it was asked for; 0: no
    new lease, one that is held goes on. `begin`: seconds from its coming until the lease on `next_epoch`
    begins, which holds for `next_ttl` from when it was asked for. `policies`: texts that the holder lacks."""

    number: int
    epoch: int
    ttl: float
    next_epoch: int
    begin: float
    next_ttl: float
    digests: tuple[str, str]  # of the policies of both epochs; empty: none
    version: int  # of the newest state that the grantor knows; 0: none
    change: str  # under way in that state; empty: none
    stage: str  # of that change
    dry: bool  # it is checked only
    subject: str  # digest of its policy
    policies: tuple[bytes, ...]
    reason: str = ""  # for no lease


class LeaseRelease(Message, frozen=True):
    """The holder counts none of its grants up to `number` any more: it ends, or leases from another grantor."""

    number: int


class RenewNow(Message, frozen=True):
    """Something has changed: ask again now. From an aggregator with the change to check, if that is what is
    new; and its policy's text, if the router lacks it."""

    change: str = ""
    subject: str = ""  # digest of its policy
    policies: tuple[bytes, ...] = ()


# ---- operators


class Set(Message, frozen=True):
    change: str
    policy: bytes
    patience: float
    dry: bool = False


class Show(Message, frozen=True):
    pass


class Trouble(msgspec.Struct, frozen=True, array_like=True):
    who: str
    what: str


class Shown(Message, frozen=True):
    state: State | None
    voter: str
    standing: str
    voters: dict[str, bool]  # whether this one is linked with them
    holders: tuple[Holder, ...]
    trouble: tuple[Trouble, ...]


class Progress(Message, frozen=True):
    change: str
    stage: str
    waiting: tuple[str, ...]  # for whom, and why


class Ended(Message, frozen=True):
    outcome: Outcome


class NotProposed(Message, frozen=True):
    """It was not proposed. `busy`: another change is under way."""

    change: str
    reason: str
    busy: bool


AnyMessage = (
    Hello
    | Bye
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Nack
    | Learn
    | Rejoin
    | Rejoined
    | Survey
    | Surveyed
    | LeaseRequest
    | LeaseGrant
    | LeaseRelease
    | RenewNow
    | Set
    | Show
    | Shown
    | Progress
    | Ended
    | NotProposed
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(AnyMessage)


class Garbage(Exception):
    """The other end does not speak as it should; the link ends."""


def encode(message: Message) -> bytes:
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH, "big") + _checksum(body) + body


def _checksum(body: bytes) -> bytes:
    return crc32(body).to_bytes(CHECKSUM, "big")


class Frames:
    """Splits what comes on a link into messages."""

    def __init__(self) -> None:
        self._rest = bytearray()  # of a frame that has not come whole
        self._wanted = 0  # bytes until that can be taken further

    def feed(self, data: bytes) -> list[Message]:
        """Errors: `Garbage`."""
        if self._rest:
            self._rest += data
            if len(self._rest) < self._wanted:
                return []
            data = bytes(self._rest)
        found: list[Message] = []
        begin, end = 0, LENGTH
        while len(data) >= end:
            length = int.from_bytes(data[begin : begin + LENGTH], "big")
            if length > FRAME_LIMIT:
                raise Garbage(f"a frame of {length} bytes")
            end = begin + HEAD + length
            if len(data) < end:
                break
            found.append(_decoded(data[begin + LENGTH : begin + HEAD], data[begin + HEAD : end]))
            begin, end = end, end + LENGTH
        self._rest, self._wanted = bytearray(data[begin:]), end - begin
        return found


def _decoded(checksum: bytes, body: bytes) -> Message:
    """Errors: `Garbage`."""
    if checksum != _checksum(body):
        raise Garbage("a frame that was altered on its way")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Garbage(f"a frame that can't be read: {error}") from None
    return message
