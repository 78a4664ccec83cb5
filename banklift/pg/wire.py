"""PostgreSQL links to members: implements the protocols `Wire`, `Exchange` and `Proofs` of proxy/wire.py.

A member reports its state without being asked. The ParameterStatus messages of its answers hold:

| parameter | content |
| --- | --- |
| `server_role` | `writer` (primary) or `reader` (replica) |
| `commit_clock` | its position, or a write's commit time, in Unix milliseconds |
| `usage` | a load report, which is also the answer to `SHOW usage` |

The module gets these values unchanged, with two exceptions. A position more than `MAX_POSITION_AHEAD_SECONDS` ahead of
the clock is dropped: no member can have it, and it would satisfy every staleness check from then on. A load report that
can't be parsed is dropped too.

How an answer reads as an outcome:

| answer | status | has the request run? |
| --- | --- | --- |
| one row of one column, CommandComplete | OK | yes |
| error 25006 or 72000 | MISS | no |
| error 53300 | FULL | no |
| any other error; a row of another shape, or more than one row | ERROR | it may have |
| unknown message type, impossible length, answer that stays incomplete | RESET (the link is lost) | it may have |
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift import interface as io
from banklift.interface import Status
from banklift.pg import frames
from banklift.pg.frames import FrameError, MemberReader
from banklift.pg.statement import VALUE_LIMIT, Statement
from banklift.proxy.machine import Attempt, Machine, MemberRecord
from banklift.proxy.wire import (
    AttemptResult,
    BrokenFrame,
    ClientRequest,
    MemberInfo,
    Result,
    Served,
    StatusQuery,
)

ANSWER_LIMIT = VALUE_LIMIT + 16 * 1024  # bytes of one answer with all its messages
USAGE_QUERY = frames.query(b"SHOW usage")  # the probe
MAX_POSITION_AHEAD_SECONDS = 0.05  # how far a position may be ahead of this router's clock
# Time for which a link stays unused after an answer: unexpected bytes sent right behind the answer arrive within it.
LINK_REST_SECONDS = 0.002
# A member sends its small answer in one piece, so an answer that is still incomplete after this time is malformed.
ANSWER_COMPLETION_TIMEOUT_SECONDS = 0.15
MISS_SQLSTATES, FULL_SQLSTATE, NOT_PRIMARY_SQLSTATE = ("25006", "72000"), "53300", "25006"
# an answer of the wrong shape; its link carries nothing more
MALFORMED = Result(Status.ERROR, link_unusable=True)


class AnswerReader:
    """A `MemberReader` that raises the core's `BrokenFrame` in place of `FrameError`."""

    __slots__ = ("_reader",)

    def __init__(self) -> None:
        self._reader = MemberReader(ANSWER_LIMIT)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete answer."""
        return len(self._reader.buffer)

    @property
    def is_at_frame_boundary(self) -> bool:
        """Whether no bytes of an incomplete or unreadable answer are left over."""
        return self._reader.is_at_frame_boundary

    def feed(self, data: bytes) -> list[bytes]:
        """The answers that `data` completes. Errors: `BrokenFrame` if the stream can't be read any further."""
        try:
            return self._reader.feed(data)
        except FrameError as error:
            raise BrokenFrame(str(error)) from None


@dataclass(frozen=True, slots=True)
class PgWire:
    """PostgreSQL as the protocol of links. `user` and `database` go into each link's startup message."""

    user: str = "backend"
    database: str = "store"

    def reader(self) -> AnswerReader:
        """A reader for one link's answers."""
        return AnswerReader()

    def greeting(self, link_variant: int) -> tuple[bytes, int]:
        """The startup message, which one frame answers."""
        return frames.startup(self.user, self.database), 1

    def accepts_greeting(self, frame: bytes) -> bool:
        """Whether the answer to the startup begins with an authentication message and ends with ReadyForQuery."""
        return frame[:1] == b"R" and frame[-6:-1] == frames.READY_FOR_QUERY[:-1]

    def is_unsolicited(self, frame: bytes) -> bool:
        """Always false: every frame answers a query."""
        return False

    def probe(self) -> bytes:
        """The query for a load report."""
        return USAGE_QUERY

    @property
    def has_probe_links(self) -> bool:
        """False: members allow few connections, and a further one per router for probes would be half of them."""
        return False

    @property
    def pipelines_probes(self) -> bool:
        """False: a link takes the next probe only after it has answered the last one."""
        return False

    @property
    def settle_time(self) -> float:
        """Seconds for which a link stays unused after an answer."""
        return LINK_REST_SECONDS

    @property
    def answer_completion_limit(self) -> float:
        """Seconds from an answer's first byte to its last; a link that takes longer is lost."""
        return ANSWER_COMPLETION_TIMEOUT_SECONDS

    def proofs(self, core: Machine, groups: int) -> PgProofs:
        """What members report about themselves, for this core."""
        return PgProofs(core)


@dataclass(frozen=True, slots=True)
class Query:
    """One client's statement as a member gets it."""

    statement: Statement

    @property
    def link_variant(self) -> int:
        """Always 0: any link carries any statement."""
        return 0

    def payload(self, status_query: StatusQuery, left: float = 0.0) -> bytes:
        """The query to send. `left`: seconds for which the router will wait; they replace the client's `d`."""
        return frames.query(self.statement.text(max(1, int(left * 1000))))

    def frames(self, status_query: StatusQuery) -> int:
        """Always 1: a whole answer is one frame."""
        return 1

    def interpret(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """The meaning of the answer."""
        return read_answer(frames[0])

    def result_of_broken_link(self, frames: list[bytes], status_query: StatusQuery) -> Result | None:
        """Always None: an incomplete answer is never used."""
        return None


def read_answer(frame: bytes) -> Result:
    """The outcome of a whole answer, and what it reports about its member."""
    description = row = completed = error_body = None
    is_primary: bool | None = None
    position: float | None = None
    report: io.Report | None = None
    answer_start = answer_end = 0
    for message_type, start, end in frames.split_messages(frame):
        if message_type == 83:  # S: ParameterStatus
            try:
                name, value = frames.parse_parameter_status(frame[start + 5 : end])
            except FrameError:
                continue
            if name == "server_role":
                is_primary = {"writer": True, "reader": False}.get(value, is_primary)
            elif name == "commit_clock":
                position = _position_seconds(value)
            elif name == "usage":
                report = parse_usage(value)
        elif message_type == 84:  # T: RowDescription
            if description is not None or error_body is not None:
                return MALFORMED
            description, answer_start = frame[start + 5 : end], start
        elif message_type == 68:  # D: DataRow
            if description is None or row is not None or start != answer_start + 5 + len(description):
                return MALFORMED
            row, answer_end = frame[start + 5 : end], end
        elif message_type == 67:  # C: CommandComplete
            if (
                row is None
                or completed is not None
                or start != answer_end
                or end - start < 6
                or frame[end - 1]
            ):
                return MALFORMED
            completed, answer_end = True, end
        elif message_type == 69:  # E: ErrorResponse
            if error_body is not None:
                return MALFORMED
            error_body = frame[start + 5 : end]
        elif message_type in (73, 75, 82):  # I, K, R: never part of a statement's answer
            return MALFORMED
    state = MemberInfo(is_primary, position, report)
    if error_body is not None:
        try:
            fields = frames.error_fields(error_body)
        except FrameError:
            return MALFORMED
        code, link_unusable = fields.get("C", ""), fields.get("V") == "FATAL" or description is not None
        status = Status.ERROR
        if description is None:
            status = (
                Status.MISS
                if code in MISS_SQLSTATES
                else Status.FULL
                if code == FULL_SQLSTATE
                else Status.ERROR
            )
            if code == NOT_PRIMARY_SQLSTATE and is_primary is None:
                state = MemberInfo(False, position, report)
        return Result(status, member_info=state, link_unusable=link_unusable)
    if not completed or description is None or row is None:
        return MALFORMED
    try:
        frames.single_value(description, row)
    except FrameError:
        return MALFORMED
    return Result(Status.OK, frame[answer_start:answer_end], member_info=state)


def _position_seconds(value: str) -> float | None:
    """A position in Unix milliseconds as Unix seconds; None if `value` is not a finite number above 0."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number / 1000 if math.isfinite(number) and number > 0 else None


def parse_usage(value: str) -> io.Report | None:
    """Parse a load report `name=number,...`, whose position is in Unix seconds; None if it can't be parsed."""
    figures: dict[str, float] = {}
    for part in value.split(","):
        name, _, text = part.partition("=")
        try:
            figures[name] = float(text)
        except ValueError:
            return None
        if not math.isfinite(figures[name]) or figures[name] < 0:
            return None
    # The settings name the fields (`feedback.fields`); the protocol's example uses other names, so both are accepted.
    return io.Report(
        position=figures.get("x0"),
        primary=bool(figures["x1"]) if "x1" in figures else None,
        in_flight=figures.get("outstanding", figures.get("inflight")),
        queued=figures.get("backlog", figures.get("queue")),
    )


def read_usage(frame: bytes) -> io.Report | None:
    """The load report in an answer to `SHOW usage`; None if there is none or it can't be parsed."""
    description = row = None
    for message_type, start, end in frames.split_messages(frame):
        if message_type == 84:  # T: RowDescription
            description = frame[start + 5 : end]
        elif message_type == 68:  # D: DataRow
            row = frame[start + 5 : end]
    if description is None or row is None:
        return None
    try:
        return parse_usage(frames.single_value(description, row).decode("ascii"))
    except (FrameError, UnicodeDecodeError):
        return None


class PgProofs:
    """Passes on what members report with their answers and probes, without positions ahead of the clock."""

    def __init__(self, core: Machine) -> None:
        self.core = core

    def new_member_state(self) -> object:
        """None: nothing is kept per member."""
        return None

    def since_write(self, request: ClientRequest, now: float) -> float | None:
        """Seconds since the commit that a session's read must see, from its client's own position."""
        return request.seconds_since_write

    def choose_query(self, attempt: Attempt, fresh: bool) -> StatusQuery:
        """Always NONE: members report their state without being asked."""
        return StatusQuery.NONE

    def interpret(self, attempt: Attempt, result: Result) -> AttemptResult:
        """The outcome of an attempt; only an answer with status OK is served."""
        state = result.member_info or MemberInfo()
        position = state.position
        if position is not None and position > self.core.now + MAX_POSITION_AHEAD_SECONDS:
            position = None
        state = MemberInfo(state.primary, position, self._without_future_position(state.report))
        return AttemptResult(
            result.status, state, Served(result.answer) if result.status is Status.OK else None
        )

    def _without_future_position(self, report: io.Report | None) -> io.Report | None:
        """The report, without its position if that is ahead of the clock."""
        if (
            report is None
            or report.position is None
            or report.position <= self.core.now + MAX_POSITION_AHEAD_SECONDS
        ):
            return report
        return io.Report(None, report.primary, report.in_flight, report.queued, None)

    def interpret_broken_link(self, attempt: Attempt, result: Result) -> Served:
        """Never called, as `Query.result_of_broken_link` gives no result. Errors: `AssertionError`."""
        raise AssertionError("nothing is served that was cut")

    def first_frame(self, attempt: Attempt) -> None:
        """Nothing to do: an answer is one frame."""
        return

    def before_probe(self, member: MemberRecord) -> None:
        """Nothing to do before a probe."""
        return

    def probe_answered(self, member: MemberRecord, asked_at: float, frame: bytes) -> None:
        """A probe sent at `asked_at` (seconds) was answered: report its figures, or a failed probe without any."""
        # An ErrorResponse (E) shows that the member is alive; it refuses probes that come too often.
        if any(message_type == 69 for message_type, _, _ in frames.split_messages(frame)):
            self.core.report_probe(member, asked_at, None)
            return
        report = self._without_future_position(read_usage(frame))
        if report is None:
            self.core.probe_failed(member, asked_at)
        else:
            self.core.report_probe(member, asked_at, report)

    def probes_failed(self, member: MemberRecord) -> None:
        """Nothing to do: the module knows of the failure."""
        return

    def forget(self, member: MemberRecord) -> None:
        """Nothing to do: nothing is kept per member."""
        return
