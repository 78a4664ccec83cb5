"""RESP on links to members: `Wire` and `Exchange` of proxy/wire.py.

A member reports its replication status only when asked, so status commands travel with a request, in one write:

| request | sent |
| --- | --- |
| read | `ROLE`, then the command |
| read that leaves a session mark | `ROLE`, the command, `ROLE` |
| write | the command, then `ROLE` |
| read of need `any` | the command alone |

On a link's first exchange, and while the member's replication history is not known, every request has a status command,
and `INFO replication` replaces the first `ROLE`, as it also names the history.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from banklift.decide.offsets import ReplicationStatus
from banklift.interface import Status
from banklift.proxy.machine import Machine
from banklift.proxy.wire import BrokenFrame, Result, StatusQuery
from banklift.resp.frames import ProtocolError, Scanner, command
from banklift.resp.proofs import RespProofs
from banklift.resp.replies import parse_replication_status, status_from_reply

ROLE = command("ROLE")
INFO = command("INFO", "replication")
MULTI = command("MULTI")
EXEC = command("EXEC")
# in the error of an EXEC whose commands were queued while the member was still a primary
DEMOTED_ERROR = b"is now a read-only replica"


class FrameReader:
    """Splits a member's bytes into frames, as `Scanner` does, with the core's error type.

    `limit`: bytes of one frame.
    """

    def __init__(self, limit: int) -> None:
        self._scanner = Scanner(limit)

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now. Errors: `BrokenFrame`."""
        try:
            return self._scanner.feed(data)
        except ProtocolError as error:
            raise BrokenFrame(str(error)) from None

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete frame."""
        return len(self._scanner.buffer)

    @property
    def is_at_frame_boundary(self) -> bool:
        """Whether no part of an answer is buffered. A part of a push frame doesn't count: pushes come at any time."""
        return not self._scanner.buffer or self._scanner.buffer[:1] == b">"


@dataclass(frozen=True, slots=True)
class RespWire:
    """RESP as links to members speak it; the variant of a link is its RESP version, 2 or 3.

    `limit`: bytes of one answer. `name`: the router's name. `user` and `password`: what links log in with; without a
    password they don't log in.
    """

    limit: int
    name: str
    user: str | None = None
    password: str | None = None

    def reader(self) -> FrameReader:
        """A reader for the answers of one link."""
        return FrameReader(self.limit)

    def greeting(self, link_variant: int) -> tuple[bytes, int]:
        """What a new link sends first (HELLO for RESP3, AUTH if there is a password), and how many frames answer it."""
        if link_variant == 3:
            auth = ("AUTH", self.user or "default", self.password) if self.password is not None else ()
            return command("HELLO", 3, *auth), 1
        if self.password is not None:
            user = (self.user,) if self.user is not None else ()
            return command("AUTH", *user, self.password), 1
        return b"", 0

    def accepts_greeting(self, frame: bytes) -> bool:
        """Whether the member accepted the greeting."""
        return frame[:1] != b"-"

    def is_unsolicited(self, frame: bytes) -> bool:
        """Whether a frame is a push, which answers no command."""
        return frame[:1] == b">"

    def probe(self) -> bytes:
        """The command whose answer contains role, offset and history."""
        return INFO

    @property
    def has_probe_links(self) -> bool:
        """True: probes need a link that carries no requests."""
        return True

    @property
    def pipelines_probes(self) -> bool:
        """True: a link takes another probe before it has answered the one before."""
        return True

    @property
    def settle_time(self) -> float:
        """Seconds that a link rests after an answer: none."""
        return 0.0

    @property
    def answer_completion_limit(self) -> float:
        """Seconds within which an answer that has begun must be complete: no bound."""
        return math.inf

    def proofs(self, core: Machine, groups: int) -> RespProofs:
        """What is known of the members of these groups. `groups`: their number."""
        return RespProofs(core, groups)


# the status command of an exchange: before a read, after a write
STATUS_COMMANDS = {
    StatusQuery.NONE: b"",
    StatusQuery.STATUS: ROLE,
    StatusQuery.HISTORY: INFO,
    StatusQuery.STATUS_BOTH_SIDES: ROLE,
    StatusQuery.HISTORY_BOTH_SIDES: INFO,
}
# the second status command of a read, after its command
TRAILING_STATUS_COMMANDS = {
    status_query: ROLE
    if status_query in (StatusQuery.STATUS_BOTH_SIDES, StatusQuery.HISTORY_BOTH_SIDES)
    else b""
    for status_query in StatusQuery
}


@dataclass(frozen=True, slots=True)
class SingleCommand:
    """One command of a client.

    `link_variant`: its RESP version. `data`: the bytes of the command. `writes`: whether it writes.
    """

    link_variant: int
    data: bytes
    writes: bool

    @property
    def size(self) -> int:
        """Bytes of the command."""
        return len(self.data)

    def payload(self, status_query: StatusQuery, left: float = 0.0) -> bytes:
        """The bytes to send: the command and the status commands of this query. `left` is not used."""
        return (
            self.data + STATUS_COMMANDS[status_query]
            if self.writes
            else STATUS_COMMANDS[status_query] + self.data + TRAILING_STATUS_COMMANDS[status_query]
        )

    def frames(self, status_query: StatusQuery) -> int:
        """How many frames answer it."""
        return 1 + bool(status_query) + bool(TRAILING_STATUS_COMMANDS[status_query])

    def interpret(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """What the frames so far mean; None while more are needed."""
        if not status_query:
            return Result(status_from_reply(frames[0]), frames[0])
        if len(frames) == 1:
            verdict = status_from_reply(frames[0])
            # the answer to the status command ahead of a read: the member will reject the command too
            if verdict is Status.FULL and not self.writes:
                return Result(verdict)
            return None
        if self.writes:
            return Result(status_from_reply(frames[0]), frames[0], parse_replication_status(frames[1]))
        if len(frames) < self.frames(status_query):
            return None
        after = parse_replication_status(frames[2]) if TRAILING_STATUS_COMMANDS[status_query] else None
        return Result(status_from_reply(frames[1]), frames[1], parse_replication_status(frames[0]), after)

    def result_of_broken_link(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """What the frames mean if the link broke after them; None if the outcome is unknown."""
        if not frames:
            return None
        if self.writes:
            return Result(status_from_reply(frames[0]), frames[0])
        return Result(Status.FULL) if status_from_reply(frames[0]) is Status.FULL else None


@dataclass(frozen=True, slots=True)
class Transaction:
    """The commands of a MULTI, which are sent together with MULTI and EXEC, so that they run as one.

    `link_variant`: its RESP version. `commands`: the bytes of each command. `writes`: whether one of them writes.
    """

    link_variant: int
    commands: tuple[bytes, ...]
    writes: bool

    @property
    def size(self) -> int:
        """Bytes of the commands."""
        return sum(map(len, self.commands))

    def payload(self, status_query: StatusQuery, left: float = 0.0) -> bytes:
        """The bytes to send: MULTI, the commands, EXEC and the status commands of this query. `left` is not used."""
        body = MULTI + b"".join(self.commands) + EXEC
        return (
            body + STATUS_COMMANDS[status_query]
            if self.writes
            else STATUS_COMMANDS[status_query] + body + TRAILING_STATUS_COMMANDS[status_query]
        )

    def frames(self, status_query: StatusQuery) -> int:
        """How many frames answer it: one for each command, MULTI, EXEC and each status command."""
        return len(self.commands) + 2 + bool(status_query) + bool(TRAILING_STATUS_COMMANDS[status_query])

    def interpret(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """What the frames so far mean; None while more are needed."""
        if len(frames) == 1 and status_from_reply(frames[0]) is Status.FULL:
            return Result(Status.FULL)
        if len(frames) < self.frames(status_query):
            return None
        if not status_query:
            return self._verdict(frames, None)
        if self.writes:
            return self._verdict(frames[:-1], parse_replication_status(frames[-1]))
        if not TRAILING_STATUS_COMMANDS[status_query]:
            return self._verdict(frames[1:], parse_replication_status(frames[0]))
        return replace(
            self._verdict(frames[1:-1], parse_replication_status(frames[0])),
            status_behind=parse_replication_status(frames[-1]),
        )

    def result_of_broken_link(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """What the frames mean if the link broke after them; None if the outcome is unknown."""
        if self.writes and len(frames) == len(self.commands) + 2:
            return self._verdict(frames, None)
        return None

    def _verdict(self, body: list[bytes], replication_status: ReplicationStatus | None) -> Result:
        """What the answers to MULTI, the commands and EXEC mean.

        `replication_status`: the member's replication status, if it was asked for and reported.
        """
        answer = body[-1]
        # nothing ran; the error of a command that was not queued gives the reason, or else EXEC's own error does
        if answer.startswith(b"-EXECABORT"):
            errors = [frame for frame in body[:-1] if frame[:1] == b"-"]
            verdict = next(
                (status_from_reply(frame) for frame in errors if status_from_reply(frame) is not Status.OK),
                Status.OK,
            )
            if DEMOTED_ERROR in answer:
                verdict = Status.MISS
            return Result(verdict, answer, replication_status)
        return Result(status_from_reply(answer), answer, replication_status)
