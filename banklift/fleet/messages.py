"""The messages between the members of a fleet and its operators: msgpack structs in length-prefixed frames.

A link carries messages only after both ends have said who they are (`Hello`); it is good for one incarnation of each
end. How a handler treats a late or duplicate message, or one from an older incarnation, is documented at the handler.
Durations are seconds. No point in time is ever sent, as clocks of different machines are not compared.

Each struct is encoded as an array with its class name as the tag, so the order of its fields is part of the protocol.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from zlib import crc32

import msgspec

from banklift.fleet.state import Outcome, State

PROTOCOL_VERSION = 2  # of this protocol; a `Hello` with another version ends the link
LENGTH_BYTES = 4  # of each frame, which hold the length of its body
CHECKSUM_BYTES = (
    4  # of each frame: a CRC-32 of the body, as TCP's checksum misses one altered segment in 65,536
)
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_FRAME_BYTES = 4 * 1024 * 1024  # of a frame's body
Ballot = tuple[int, str]  # round and name of the proposing voter, compared in that order
NO_BALLOT: Ballot = (0, "")


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Role(StrEnum):
    """What the sender of a `Hello` is."""

    ROUTER = "router"
    AGGREGATOR = "aggregator"
    OPERATOR = "operator"


class Hello(Message, frozen=True):
    """The first message on a link, from both ends: who the sender is, and what both ends must agree on.

    An operator's tool has an empty name. `lease` and `sub_lease`: seconds, as the sender is configured.
    """

    version: int
    fleet: str
    name: str
    incarnation: int
    voters: tuple[str, ...]
    lease: float
    sub_lease: float = 0.0
    role: Role = Role.ROUTER


class Bye(Message, frozen=True):
    """The last message on a link, with the reason for its end.

    `clash`: the receiver does not belong here, as it has another member's name or its configuration does not match.
    """

    reason: str
    clash: bool = False


# ---- the register (register.py), between voters


class Prepare(Message, frozen=True):
    """A proposer asks for the promise to refuse all lower ballots."""

    ballot: Ballot


class Promise(Message, frozen=True):
    """A voter's answer to `Prepare`, with the state that it has accepted."""

    ballot: Ballot
    accepted: Ballot  # under which `state` was accepted
    state: State | None
    incarnations: dict[str, int]  # the newest that the sender knows of each voter


class Accept(Message, frozen=True):
    """A proposer that was promised its ballot by a majority asks to accept a state."""

    ballot: Ballot
    state: State


class Accepted(Message, frozen=True):
    """A voter has accepted the state of `Accept`."""

    ballot: Ballot
    incarnations: dict[str, int]  # the newest that the sender knows of each voter


class Nack(Message, frozen=True):
    """A voter refuses a `Prepare` or `Accept`, as it has promised a higher ballot."""

    ballot: Ballot  # refused
    promised: Ballot


class Learn(Message, frozen=True):
    """Tells a state that was chosen."""

    state: State


class Rejoin(Message, frozen=True):
    """A voter that has started, and does not vote yet, asks what it may have promised."""

    incarnation: int


class Rejoined(Message, frozen=True):
    """The answer to `Rejoin`: the sender's record.

    `standing`: of the sender: "voting"; "whole" if it is rejoining itself with a whole disk; "blank" if it is rejoining
    without one. `founding`: incarnations of all voters when the fleet began, none of which had a record then.
    """

    incarnation: int  # of the voter that asked
    standing: str
    promised: Ballot
    accepted: Ballot
    state: State | None
    incarnations: dict[str, int]
    founding: dict[str, int]
    absent: bool  # the sender's folder never held a record


class Survey(Message, frozen=True):
    """A driver asks how far the voter's lease holders are with a change.

    `version`: of the driver's state. A voter that knows an older state answers with that one's version, and is then
    sent the newer state (`Learn`).
    """

    change: str  # its id
    version: int
    number: int


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the routers that hold a sub-lease from one aggregator."""

    routers: int
    waiting: int  # routers that have not answered the change under way
    refused: int  # routers that refuse the change under way
    slowest: tuple[str, ...] = ()  # a few of the waiting ones, each as a line of text for operators


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A lease holder, router or aggregator, as its grantor knows it."""

    name: str
    incarnation: int
    epoch: int
    verdict: tuple[str, ...] | None  # reasons against the change; empty: it accepts; None: no answer yet
    heard: float  # seconds since the holder's last request
    left: float  # seconds until its lease has ended for certain
    summary: Summary | None = None  # for an aggregator only


class Surveyed(Message, frozen=True):
    """A voter's answer to a survey, or its notice that its part of a stage is done.

    `refusals`: holders with a current lease that refuse the change, with reasons. `waiting`: number of holders that
    have not done what the change waits for. `slowest`: a few of those. A list of all holders is never sent.
    """

    change: str
    version: int  # of the state that this voter knows
    number: int  # of the survey; 0 in a notice
    refusals: tuple[Holder, ...]
    waiting: int
    slowest: tuple[Holder, ...]
    sealed: bool  # all holders accept, and no other one gets a lease until the change is decided
    switched: bool  # this voter grants leases on the new epoch only


# ---- leases, between a holder (router or aggregator) and its grantor (voter or aggregator)


class LeaseRequest(Message, frozen=True):
    """A holder asks for a lease or for its renewal."""

    number: int  # counts up within an incarnation
    # number of the oldest grant that the holder still counts; it has given up all earlier ones
    oldest_held: int
    epoch: int  # that the holder serves; 0: none
    change: str  # id of the change that `verdict` is on
    verdict: tuple[str, ...] | None  # reasons against the change; empty: accepted; None: no answer yet
    known_policies: tuple[str, ...]  # digests of the policies whose text the holder has
    summary: Summary | None = None  # an aggregator's own holders


class LeaseGrant(Message, frozen=True):
    """The answer to a `LeaseRequest`. Durations are seconds.

    The lease on `epoch` holds for `ttl`, counted from when the holder sent the request; with a `ttl` of 0 there is no
    new lease, and one that is held goes on. The lease on `next_epoch` begins `next_begins_in` after this message has
    arrived, and holds for `next_epoch_ttl`, counted from when the holder sent the request.
    """

    number: int  # of the request
    epoch: int
    ttl: float
    next_epoch: int
    next_begins_in: float
    next_epoch_ttl: float
    digests: tuple[str, str]  # of the policies of both epochs; empty: none
    version: int  # of the newest state that the grantor knows; 0: none
    change: str  # id of the change under way in that state; empty: none
    stage: str  # of that change
    dry: bool  # whether that change is a dry run
    change_digest: str  # digest of that change's policy
    policies: tuple[bytes, ...]  # texts that the holder lacks
    reason: str = ""  # why there is no lease


class LeaseRelease(Message, frozen=True):
    """A holder gives up all its grants up to `number`: it shuts down, or leases from another grantor."""

    number: int


class RenewNow(Message, frozen=True):
    """A grantor asks its holder to renew now, as something has changed.

    An aggregator adds the change to check, if that is what is new, and the policy's text if the router lacks it.
    """

    change: str = ""  # id of the change to check; empty: none
    change_digest: str = ""  # digest of the change's policy
    policies: tuple[bytes, ...] = ()


# ---- between operators and members


class Set(Message, frozen=True):
    """An operator proposes a change of policy."""

    change: str  # its id
    policy: bytes
    patience: float  # seconds that lease holders have to check it
    dry: bool = False  # check the policy only


class Show(Message, frozen=True):
    """An operator asks a member for what it knows (`Shown`)."""


class Trouble(msgspec.Struct, frozen=True, array_like=True):
    """A fault that operators should see: the member concerned, and a text."""

    who: str
    what: str


class Shown(Message, frozen=True):
    """What a voter or an aggregator knows; the answer to `Show`."""

    state: State | None
    voter: str  # name of the sender
    standing: str  # of the sender: "aggregator", or as in `Rejoined`
    voters: dict[str, bool]  # whether the sender has a link to each
    holders: tuple[Holder, ...]
    trouble: tuple[Trouble, ...]


class Progress(Message, frozen=True):
    """The stage of the operator's change, sent while it is under way."""

    change: str
    stage: str
    waiting: tuple[str, ...]  # who has not answered yet, one line of text each


class Ended(Message, frozen=True):
    """The operator's change has ended."""

    outcome: Outcome


class NotProposed(Message, frozen=True):
    """The operator's change was not proposed. `busy`: it may be proposed later, or to another voter."""

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


class ProtocolError(Exception):
    """Raised where the other end breaks the protocol; the link has to be ended."""


def encode(message: Message) -> bytes:
    """The frame of a message: length, checksum and body."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + _checksum(body) + body


def _checksum(body: bytes) -> bytes:
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big")


class FrameDecoder:
    """Decodes the byte stream of one link into messages."""

    def __init__(self) -> None:
        self._partial = bytearray()  # a frame that has not arrived whole
        self._needed_bytes = 0  # length of `_partial` at which decoding can go on

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes; returns the messages that are whole now.

        Errors: `ProtocolError` for a frame that can't be decoded.
        """
        if self._partial:
            self._partial += data
            if len(self._partial) < self._needed_bytes:
                return []
            data = bytes(self._partial)
        messages: list[Message] = []
        begin, end = 0, LENGTH_BYTES
        while len(data) >= end:
            length = int.from_bytes(data[begin : begin + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(f"frame of {length} bytes is too long")
            end = begin + HEADER_BYTES + length
            if len(data) < end:
                break
            messages.append(
                _decode_body(
                    data[begin + LENGTH_BYTES : begin + HEADER_BYTES], data[begin + HEADER_BYTES : end]
                )
            )
            begin, end = end, end + LENGTH_BYTES
        self._partial, self._needed_bytes = bytearray(data[begin:]), end - begin
        return messages


def _decode_body(checksum: bytes, body: bytes) -> Message:
    """The message of one frame. Errors: `ProtocolError` if the checksum or the body is wrong."""
    if checksum != _checksum(body):
        raise ProtocolError("frame with a wrong checksum")
    try:
        message: Message = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"frame can't be decoded: {error}") from None
    return message
