"""The interfaces between the core (machine.py) and the protocols: RESP (banklift/resp) and PostgreSQL's (banklift/pg).

The core knows requests, attempts and links, and is independent of any protocol. A protocol implements

- `Wire`, `Reader` and `Exchange`: how links to members are framed, how a request is sent and what its answer means;
- `Proofs`: what members report about their role and position, and what that proves about their answers;
- `Front`: the connections of clients.

The data classes are what the two sides exchange. Times and durations are seconds, times on the router's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from banklift.decide.offsets import ReplicationStatus, SessionMark
from banklift.interface import Report, RequestClass, Status

if TYPE_CHECKING:
    from banklift.proxy.machine import Attempt, Machine, MemberRecord


# A front handles at most this many commands of one client before other connections have their turn. Otherwise a client
# whose commands are answered at once, such as refused ones, would hold up all others for as long as its input lasts.
COMMANDS_PER_TURN = 16


class Reader(Protocol):
    """Splits what a member sends into frames."""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the frames that are complete now, in order.

        Raises `BrokenFrame` if the stream violates the protocol and can't be read any further.
        """

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that no returned frame contains."""

    @property
    def is_at_frame_boundary(self) -> bool:
        """Whether no received bytes remain that could be the beginning of another answer."""


class BrokenFrame(Exception):
    """A member sent bytes that violate the protocol."""


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """What an attempt showed about its member, for the balancer; None where it showed nothing."""

    primary: bool | None = None  # whether the member is a primary
    position: float | None = None  # of the member, or the commit of a write that succeeded
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Result:
    """What the answer to one exchange means."""

    status: Status
    answer: bytes = b""  # for the client
    status_before: ReplicationStatus | None = None  # the answer to the status query
    # of a read with a second status query behind it: that query's answer
    status_behind: ReplicationStatus | None = None
    member_info: MemberInfo | None = None  # in protocols whose answers carry the member's status unasked
    link_unusable: bool = False  # the link can't be used again


class StatusQuery(IntEnum):
    """The status query that is sent to a member together with a request.

    A read has it in front, so the data it reads is at least as new as the position that the query proves. A write has
    it behind, so the position that the query returns includes the write.
    """

    NONE = 0
    STATUS = 1  # role and position
    HISTORY = 2  # role, position and replication history
    STATUS_BOTH_SIDES = (
        3  # for reads: `STATUS` in front, and role and position behind, which bound how new the data can be
    )
    HISTORY_BOTH_SIDES = 4  # for reads: `HISTORY` in front, and role and position behind


class Exchange(Protocol):
    """One request in the form in which it is sent to a member."""

    @property
    def link_variant(self) -> int:
        """The kind of link that can carry it, such as the protocol's version; 0 or above."""

    def payload(self, status_query: StatusQuery, left: float = 0.0) -> bytes:
        """The bytes to send, with the status query. `left`: seconds that the router will wait for the answer."""

    def frames(self, status_query: StatusQuery) -> int:
        """How many frames answer it and the status query."""

    def interpret(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """The meaning of the frames received so far; None while more are needed."""

    def result_of_broken_link(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """The result of an exchange whose link broke, if the frames already tell it; None if not."""


class Wire(Protocol):
    """A protocol on the links to members."""

    def reader(self) -> Reader:
        """A reader for a new link."""

    def greeting(self, link_variant: int) -> tuple[bytes, int]:
        """The bytes that a new link of this variant sends first, and the number of frames that answer them."""

    def accepts_greeting(self, frame: bytes) -> bool:
        """Whether a frame that answers the greeting accepts the link."""

    def is_unsolicited(self, frame: bytes) -> bool:
        """Whether a frame is an unsolicited message, which is skipped."""

    def probe(self) -> bytes:
        """The bytes that ask a member for its role, position, history and load, as far as the protocol has them.

        One frame answers them.
        """

    @property
    def has_probe_links(self) -> bool:
        """Whether probes have a link of their own, which carries no requests."""

    @property
    def pipelines_probes(self) -> bool:
        """Whether several probes may be sent on a link before the first is answered."""

    @property
    def settle_time(self) -> float:
        """Seconds after an answer in which a link carries no new request.

        Bytes that arrive in that time belong to no request, and the link is closed.
        """

    @property
    def answer_completion_limit(self) -> float:
        """Seconds from the first byte of an answer after which the link counts as lost if the answer is incomplete.

        Infinite if the protocol has no such limit.
        """

    def proofs(self, core: Machine, groups: int) -> Proofs:
        """Create what a router keeps about its members. `groups`: the number of groups, where the protocol needs it."""


class Proofs(Protocol):
    """What members report about their role and position, and what that proves about their answers.

    One object serves all members of a router.
    """

    def new_member_state(self) -> object:
        """The initial state for a new member, kept in `MemberRecord.protocol_state`."""

    def since_write(self, request: ClientRequest, now: float) -> float | None:
        """For a session's read: seconds since the last commit that it must see; None if there is no such commit."""

    def choose_query(self, attempt: Attempt, fresh: bool) -> StatusQuery:
        """Choose the status query for an attempt that is about to be written. `fresh`: nothing was sent on its link."""

    def interpret(self, attempt: Attempt, result: Result) -> AttemptResult:
        """Interpret the complete answer of an attempt."""

    def interpret_broken_link(self, attempt: Attempt, result: Result) -> Served:
        """Interpret a successful answer that had arrived before its link broke."""

    def first_frame(self, attempt: Attempt) -> None:
        """Use the first frame of an attempt with a status query, before the rest of its answer has arrived."""

    def before_probe(self, member: MemberRecord) -> None:
        """The balancer is about to probe a member; other members may be probed with it."""

    def probe_answered(self, member: MemberRecord, asked_at: float, frame: bytes) -> None:
        """Handle the answer to a probe that was asked for at `asked_at`.

        Calls `Machine.report_probe` or `Machine.probe_failed` once, now or soon.
        """

    def probes_failed(self, member: MemberRecord) -> None:
        """A member's probes got no answer; the balancer was told."""

    def forget(self, member: MemberRecord) -> None:
        """Drop what is known about a member that was removed."""


@dataclass(slots=True)
class ClientRequest:
    """A request as a front submits it.

    The core calls `Front.done` once for it, or `Front.settled` if the front abandons it.
    """

    client: int  # id of the client's connection
    request_class: RequestClass
    group: int
    exchange: Exchange
    must_reflect: SessionMark | None = None  # for a session's read: the writes and reads that it must reflect
    must_see_all: bool = (
        False  # for a session's read without known history: it must see all commits before its arrival
    )
    tenant: str | None = None
    arrived: float = 0.0  # when it arrived; the class's deadline counts from here
    deadline: float | None = None  # a time that replaces the class's deadline
    # for a session's read whose client states a position: seconds since the commit that it must see
    seconds_since_write: float | None = None
    session: int | None = None
    is_retry: bool = False  # the client marks it as a retry
    label: bytes = b""  # the client's id of the request, for the log
    size: int = 0  # bytes of the command, as far as the front counts them in the budget of memory
    ids: list[int] = field(default_factory=list)  # the request's id is added when it is accepted


@dataclass(frozen=True, slots=True)
class Served:
    """Final answer: a member's answer."""

    answer: bytes
    seen: SessionMark | None = None  # what the session has seen with this answer; None: nothing to remember


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt with a complete answer ended. `served`: the answer that its client may get."""

    status: Status
    member_info: MemberInfo
    served: Served | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """Final answer: refused, and safe to send again.

    `may_have_run`: a member received the request and did not say that nothing ran, so it may have run.
    """

    retry_after: float  # seconds after which the client may try again
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: the request may have run, and is not safe to send again."""


Final = Served | Refused | Failed


class Front(Protocol):
    """The connections of clients, in one protocol. `client` is a connection's id."""

    def opened(self, client: int) -> None:
        """A client has connected."""

    def data(self, client: int, data: bytes) -> None:
        """Bytes have arrived from a client."""

    def take_turn(self, client: int) -> None:
        """The turn has come that the front asked for by `Machine.defer`; the client may be gone."""

    def eof(self, client: int) -> None:
        """A client has shut its sending side, and everything that it sent was read."""

    def half_closed(self, client: int) -> None:
        """A paused client has shut its sending side; bytes that it sent before may be unread."""

    def lost(self, client: int) -> None:
        """A client's connection is gone."""

    def set_output_full(self, client: int, is_full: bool) -> None:
        """A client does not read its answers, or reads them again; nothing new is started for it in between."""

    def done(self, request: ClientRequest, final: Final) -> None:
        """A request has its final answer."""

    def settled(self, request: ClientRequest, may_have_run: bool) -> None:
        """The last attempt of a request that the front has abandoned has ended, or there was none.

        `may_have_run`: a member received it and did not say that nothing ran.
        """

    def adopt(self, plan: object) -> None:
        """Apply a new configuration to the requests that arrive from now on."""

    def drain(self) -> None:
        """The router stops at `core.drain_deadline`; requests are still accepted until `leave`."""

    def leave(self) -> None:
        """Close each connection as soon as no request is pending on it."""
