"""RESP towards members: `Wire` and `Exchange` of proxy/wire.py.

A read is sent as `ROLE` and the command, a write as the command and `ROLE`, in one piece; a read that leaves a mark has
a `ROLE` behind it too. On a link's first exchange `INFO replication` stands in for the first `ROLE`, as it tells the
history as well.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from banklift.decide.offsets import Standing
from banklift.interface import Status
from banklift.proxy.machine import Machine
from banklift.proxy.wire import BrokenFrame, Question, Result
from banklift.resp.frames import ProtocolError, Scanner, command
from banklift.resp.proofs import RespProofs
from banklift.resp.replies import standing, status

ROLE = command("ROLE")
INFO = command("INFO", "replication")
MULTI = command("MULTI")
EXEC = command("EXEC")
DEMOTED = b"is now a read-only replica"  # of an EXEC whose commands were queued when the member was a primary


class FrameReader:
    """A `Scanner` whose error is the core's."""

    def __init__(self, limit: int) -> None:
        self._scanner = Scanner(limit)

    def feed(self, data: bytes) -> list[bytes]:
        try:
            return self._scanner.feed(data)
        except ProtocolError as error:
            raise BrokenFrame(str(error)) from None

    @property
    def clean(self) -> bool:
        return not self._scanner.buffer or self._scanner.buffer[:1] == b">"  # a push may come at any time


@dataclass(frozen=True, slots=True)
class RespWire:
    """`limit`: bytes of one answer; `name`, `user` and `password`: what links tell members."""

    limit: int
    name: str
    user: str | None = None
    password: str | None = None

    def reader(self) -> FrameReader:
        return FrameReader(self.limit)

    def greeting(self, flavour: int) -> tuple[bytes, int]:
        if flavour == 3:
            auth = ("AUTH", self.user or "default", self.password) if self.password is not None else ()
            return command("HELLO", 3, *auth), 1
        if self.password is not None:
            user = (self.user,) if self.user is not None else ()
            return command("AUTH", *user, self.password), 1
        return b"", 0

    def greeted(self, frame: bytes) -> bool:
        return frame[:1] != b"-"

    def aside(self, frame: bytes) -> bool:
        return frame[:1] == b">"

    def probe(self) -> bytes:
        return INFO

    @property
    def probes_apart(self) -> bool:
        return True

    @property
    def probes_in_line(self) -> bool:
        return True

    @property
    def rest(self) -> float:
        return 0.0

    @property
    def whole_within(self) -> float:
        return math.inf

    def proofs(self, core: Machine, groups: int) -> RespProofs:
        return RespProofs(core, groups)


ASKS = {
    Question.NONE: b"",
    Question.STANDING: ROLE,
    Question.HISTORY: INFO,
    Question.BOTH: ROLE,
    Question.HISTORY_BOTH: INFO,
}
BEHIND = {
    question: ROLE if question in (Question.BOTH, Question.HISTORY_BOTH) else b"" for question in Question
}


@dataclass(frozen=True, slots=True)
class Single:
    """One command."""

    flavour: int
    data: bytes
    writes: bool

    def payload(self, question: Question, left: float = 0.0) -> bytes:
        return self.data + ASKS[question] if self.writes else ASKS[question] + self.data + BEHIND[question]

    def frames(self, question: Question) -> int:
        return 1 + bool(question) + bool(BEHIND[question])

    def read(self, frames: list[bytes], question: Question) -> Result | None:
        if not question:
            return Result(status(frames[0]), frames[0])
        if len(frames) == 1:
            verdict = status(frames[0])
            if (
                verdict is Status.FULL and not self.writes
            ):  # to the question in front: the command fares no better
                return Result(verdict)
            return None
        if self.writes:
            return Result(status(frames[0]), frames[0], standing(frames[1]))
        if len(frames) < self.frames(question):
            return None
        after = standing(frames[2]) if BEHIND[question] else None
        return Result(status(frames[1]), frames[1], standing(frames[0]), after)

    def cut(self, frames: list[bytes], question: Question) -> Result | None:
        if not frames:
            return None
        if self.writes:
            return Result(status(frames[0]), frames[0])
        return Result(Status.FULL) if status(frames[0]) is Status.FULL else None


@dataclass(frozen=True, slots=True)
class Transaction:
    """The commands of a MULTI, sent as one atomic unit with the client's EXEC."""

    flavour: int
    data: tuple[bytes, ...]
    writes: bool

    def payload(self, question: Question, left: float = 0.0) -> bytes:
        body = MULTI + b"".join(self.data) + EXEC
        return body + ASKS[question] if self.writes else ASKS[question] + body + BEHIND[question]

    def frames(self, question: Question) -> int:
        return len(self.data) + 2 + bool(question) + bool(BEHIND[question])

    def read(self, frames: list[bytes], question: Question) -> Result | None:
        if len(frames) == 1 and status(frames[0]) is Status.FULL:
            return Result(Status.FULL)
        if len(frames) < self.frames(question):
            return None
        if not question:
            return self._verdict(frames, None)
        if self.writes:
            return self._verdict(frames[:-1], standing(frames[-1]))
        if not BEHIND[question]:
            return self._verdict(frames[1:], standing(frames[0]))
        return replace(self._verdict(frames[1:-1], standing(frames[0])), after=standing(frames[-1]))

    def cut(self, frames: list[bytes], question: Question) -> Result | None:
        if self.writes and len(frames) == len(self.data) + 2:
            return self._verdict(frames, None)
        return None

    def _verdict(self, body: list[bytes], standing: Standing | None) -> Result:
        answer = body[-1]
        if answer.startswith(
            b"-EXECABORT"
        ):  # nothing ran; the error of what was not queued tells why, or it does
            errors = [frame for frame in body[:-1] if frame[:1] == b"-"]
            verdict = next((status(frame) for frame in errors if status(frame) is not Status.OK), Status.OK)
            if DEMOTED in answer:
                verdict = Status.MISS
            return Result(verdict, answer, standing)
        return Result(status(answer), answer, standing)
