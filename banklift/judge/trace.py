"""What the taps record, one line of JSON each, all on one clock (seconds, monotonic).

The first line is the head. Clients' end: `ask`, `answer`, `left`, `broke`. Members' end: `command`, `ran` (a write:
what it put into which log), `reply` (with the place in the log that it was read at), `says` (a member tells a router
its role; only changes), `line` (a member's log goes on as a line of its own from `offset` of `parent`), `cut`. From
whoever plays the day: `told` (the roster says a member drains or is gone), `cold` (a member starts), `killed` and
`stalled` (a router), `role` (a member is primary from now on, and its line), `end` (what a primary holds in the end;
the last one: of everything).

A request's number is written into its keys and values (`...:rid:17.0`), so both ends speak of the same one: before the
dot the effect that the client wants, after it the client's try.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec


class Head(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The figures that the rules are judged by, from the operator's file and the day."""

    classes: dict[str, dict[str, float | str]]  # effect, need, aim, deadline, bound, worth
    groups: dict[str, str]  # of each member
    sources: list[str]  # addresses that routers connect from, in order
    drain_grace: float
    told_within: float  # until a router has read a new roster
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_time: float
    work: float  # seconds that a command takes
    cores: int
    start: float
    seed: int
    crossing: float = 0.15  # seconds that the two ends may see the same moment apart


class Entry(msgspec.Struct, kw_only=True, omit_defaults=True):
    t: float
    k: Literal[
        "ask",
        "answer",
        "left",
        "broke",
        "command",
        "ran",
        "reply",
        "cut",
        "told",
        "cold",
        "killed",
        "stalled",
        "role",
        "says",
        "line",
        "end",
    ]
    rid: str = ""
    kind: str = ""  # class
    router: int = -1
    member: str = ""
    conn: int = 0
    patience: float = 0.0
    session: int = -1
    keys: list[str] = []
    value: str = ""  # of an answer: as it came; of others by their kind
    values: list[str] = []  # of a read's answer or an `end`: what the keys hold, "" for nothing
    verdict: str = (
        ""  # served, refused, repeat, failed, error; answered, turned away; why a connection closed
    )
    line: str = ""  # the log that a member writes or follows ...
    offset: int = 0  # ... and how far it has got there
    log: list[list[str]] = []  # commands that a write put there
    parent: str = ""
    received: int = 0  # of the parent, before the line began


class Writer:
    """Appends to a trace file."""

    def __init__(self, path: Path, head: Head) -> None:
        self._file = path.open("wb", buffering=1 << 20)
        self._encoder = msgspec.json.Encoder()
        self._file.write(self._encoder.encode(head) + b"\n")

    def __call__(self, entry: Entry) -> None:
        self._file.write(self._encoder.encode(entry) + b"\n")

    def close(self) -> None:
        self._file.close()


class TraceError(Exception):
    """A trace that can't be read: file, line and reason."""


def read(path: Path) -> tuple[Head, list[Entry]]:
    """Errors: `TraceError`; a last line that was cut off is left out."""
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as error:
        raise TraceError(f"{path}: can't be read: {error}") from None
    torn = lines.pop()
    del torn
    if not lines:
        raise TraceError(f"{path}: no head")
    try:
        head = msgspec.json.decode(lines[0], type=Head)
    except msgspec.MsgspecError as error:
        raise TraceError(f"{path}:1: {error}") from None
    decoder = msgspec.json.Decoder(Entry)
    entries = []
    for number, line in enumerate(lines[1:], 2):
        try:
            entries.append(decoder.decode(line))
        except msgspec.MsgspecError as error:
            raise TraceError(f"{path}:{number}: {error}") from None
    entries.sort(key=lambda entry: entry.t)
    return head, entries
