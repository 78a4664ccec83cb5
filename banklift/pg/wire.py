"""PostgreSQL's protocol towards nodes: `Wire`, `Exchange` and `Proofs` of proxy/wire.py.

Theory of operation. A node tells of itself without being asked: ParameterStatus messages with its answers hold its role
(`server_role`) and its position or a write's commit (`commit_clock`, Unix milliseconds); `SHOW usage` brings a load
report. These reach the module as they are. Only two things are kept from it: a position ahead of the clock, which no
node can have and which would pass for proof for ever, and a report that can't be read.

How an answer reads as an outcome:

| answer | status | has it run? |
| --- | --- | --- |
| one row of one column, CommandComplete | OK | yes |
| 25006, 72000 | MISS | no |
| 53300 | FULL | no |
| any other error; a row of another shape, or more than one | ERROR | it may have |
| no messages, lengths that can't be, half an answer that stands still | the link is lost: RESET | it may have |
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift import interface as io
from banklift.interface import Status
from banklift.pg import frames
from banklift.pg.frames import FrameError, NodeReader
from banklift.pg.statement import VALUE_LIMIT, Statement
from banklift.proxy.machine import Attempt, Machine, Node
from banklift.proxy.wire import Ask, BrokenFrame, Judged, Question, Result, Served, Told

ANSWER_LIMIT = VALUE_LIMIT + 16 * 1024  # bytes of one answer with all its messages
USAGE = frames.query(b"SHOW usage")
AHEAD = 0.05  # seconds that a position may be ahead of this router's clock
REST = 0.002  # seconds; what is sent right behind an answer has come by then
WHOLE = 0.15  # seconds; an answer is small and leaves its node in one piece, so what stands still is spoilt
MISSES, FULL, NO_PRIMARY = ("25006", "72000"), "53300", "25006"
SPOILT = Result(Status.ERROR, closes=True)


class AnswerReader:
    """A `NodeReader` whose error is the core's."""

    __slots__ = ("_reader",)

    def __init__(self) -> None:
        self._reader = NodeReader(ANSWER_LIMIT)

    @property
    def clean(self) -> bool:
        return self._reader.clean

    def feed(self, data: bytes) -> list[bytes]:
        try:
            return self._reader.feed(data)
        except FrameError as error:
            raise BrokenFrame(str(error)) from None


@dataclass(frozen=True, slots=True)
class PgWire:
    """`user`, `database`: what links tell nodes."""

    user: str = "backend"
    database: str = "store"

    def reader(self) -> AnswerReader:
        return AnswerReader()

    def greeting(self, flavour: int) -> tuple[bytes, int]:
        return frames.startup(self.user, self.database), 1

    def greeted(self, frame: bytes) -> bool:
        return frame[:1] == b"R" and frame[-6:-1] == frames.READY[:-1]

    def aside(self, frame: bytes) -> bool:
        return False

    def probe(self) -> bytes:
        return USAGE

    @property
    def probes_apart(self) -> bool:
        return False  # nodes hold few connections, and one more for each router's probes is half of them

    @property
    def probes_in_line(self) -> bool:
        return False

    @property
    def rest(self) -> float:
        return REST

    @property
    def whole_within(self) -> float:
        return WHOLE

    def proofs(self, core: Machine, groups: int) -> PgProofs:
        return PgProofs(core)


@dataclass(frozen=True, slots=True)
class Query:
    """One statement."""

    statement: Statement

    @property
    def flavour(self) -> int:
        return 0

    def payload(self, question: Question, left: float = 0.0) -> bytes:
        return frames.query(self.statement.text(max(1, int(left * 1000))))

    def frames(self, question: Question) -> int:
        return 1

    def read(self, frames: list[bytes], question: Question) -> Result | None:
        return read_answer(frames[0])

    def cut(self, frames: list[bytes], question: Question) -> Result | None:
        return None


def read_answer(frame: bytes) -> Result:
    """What a whole answer means."""
    described = row = done = failure = None
    primary: bool | None = None
    position: float | None = None
    report: io.Report | None = None
    start = end = 0
    for kind, pos, stop in frames.messages(frame):
        if kind == 83:  # S
            try:
                name, value = frames.pair_of(frame[pos + 5 : stop])
            except FrameError:
                continue
            if name == "server_role":
                primary = {"writer": True, "reader": False}.get(value, primary)
            elif name == "commit_clock":
                position = _milliseconds(value)
            elif name == "usage":
                report = parse_usage(value)
        elif kind == 84:  # T
            if described is not None or failure is not None:
                return SPOILT
            described, start = frame[pos + 5 : stop], pos
        elif kind == 68:  # D
            if described is None or row is not None or pos != start + 5 + len(described):
                return SPOILT
            row, end = frame[pos + 5 : stop], stop
        elif kind == 67:  # C
            if row is None or done is not None or pos != end or stop - pos < 6 or frame[stop - 1]:
                return SPOILT
            done, end = True, stop
        elif kind == 69:  # E
            if failure is not None:
                return SPOILT
            failure = frame[pos + 5 : stop]
        elif kind in (73, 75, 82):  # I, K, R: nothing that a statement is answered with
            return SPOILT
    told = Told(primary, position, report)
    if failure is not None:
        try:
            fields = frames.fields_of(failure)
        except FrameError:
            return SPOILT
        code, closes = fields.get("C", ""), fields.get("V") == "FATAL" or described is not None
        status = Status.ERROR
        if described is None:
            status = Status.MISS if code in MISSES else Status.FULL if code == FULL else Status.ERROR
            if code == NO_PRIMARY and primary is None:
                told = Told(False, position, report)
        return Result(status, told=told, closes=closes)
    if not done or described is None or row is None:
        return SPOILT
    try:
        frames.column_of(described, row)
    except FrameError:
        return SPOILT
    return Result(Status.OK, frame[start:end], told=told)


def _milliseconds(value: str) -> float | None:
    """A position in Unix milliseconds as seconds; None if it is no number."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number / 1000 if math.isfinite(number) and number > 0 else None


def parse_usage(value: str) -> io.Report | None:
    """A load report `name=number,...`; None if it can't be read. Position: Unix seconds."""
    figures: dict[str, float] = {}
    for part in value.split(","):
        name, _, text = part.partition("=")
        try:
            figures[name] = float(text)
        except ValueError:
            return None
        if not math.isfinite(figures[name]) or figures[name] < 0:
            return None
    # the settings name the fields (`feedback.fields`), in words of their own; the protocol's example has others
    return io.Report(
        position=figures.get("x0"),
        primary=bool(figures["x1"]) if "x1" in figures else None,
        in_flight=figures.get("outstanding", figures.get("inflight")),
        queued=figures.get("backlog", figures.get("queue")),
    )


def read_usage(frame: bytes) -> io.Report | None:
    """The load report of an answer to `SHOW usage`; None if there is none."""
    described = row = None
    for kind, pos, stop in frames.messages(frame):
        if kind == 84:
            described = frame[pos + 5 : stop]
        elif kind == 68:
            row = frame[pos + 5 : stop]
    if described is None or row is None:
        return None
    try:
        return parse_usage(frames.column_of(described, row).decode("ascii"))
    except (FrameError, UnicodeDecodeError):
        return None


class PgProofs:
    def __init__(self, core: Machine) -> None:
        self.core = core

    def lore(self) -> object:
        return None

    def since_write(self, ask: Ask, now: float) -> float | None:
        return ask.since

    def question(self, attempt: Attempt, fresh: bool) -> Question:
        return Question.NONE

    def judge(self, attempt: Attempt, result: Result) -> Judged:
        told = result.told or Told()
        position = told.position
        if position is not None and position > self.core.now + AHEAD:
            position = None
        told = Told(told.primary, position, self._sound(told.report))
        return Judged(result.status, told, Served(result.answer) if result.status is Status.OK else None)

    def _sound(self, report: io.Report | None) -> io.Report | None:
        if report is None or report.position is None or report.position <= self.core.now + AHEAD:
            return report
        return io.Report(None, report.primary, report.in_flight, report.queued, None)

    def cut(self, attempt: Attempt, result: Result) -> Served:
        raise AssertionError("nothing is served that was cut")

    def early(self, attempt: Attempt) -> None:
        return

    def probing(self, node: Node) -> None:
        return

    def probed(self, node: Node, asked: float, frame: bytes) -> None:
        if any(kind == 69 for kind, _, _ in frames.messages(frame)):  # E: it lives, and has been asked enough
            self.core.report(node, asked, None)
            return
        report = self._sound(read_usage(frame))
        if report is None:
            self.core.probe_failed(node, asked)
        else:
            self.core.report(node, asked, report)

    def probes_failed(self, node: Node) -> None:
        return

    def forget(self, node: Node) -> None:
        return
