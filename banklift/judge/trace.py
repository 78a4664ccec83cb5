"""The trace of a day: a file of JSON lines that records what crossed the sockets of clients and members.

The first line is the head (`Head`), each further line is an `Entry`. All times are seconds on one monotonic clock.
Kinds of entries (field `k`):

- at the clients' sockets: `ask` (a request was sent), `answer`, `left` (the client gave up), `broke` (the connection
  closed without an answer);
- at the members' sockets: `command`, `reply` (with the log position of the member at that moment), `ran` (a write was
  executed: the commands that it appended to the log), `says` (a member reported its role to a router; only changes are
  recorded), `line` (the member began a new replication history at `offset` of `parent`), `cut` (a connection closed);
- from the program that plays the day: `told` (the roster now lists a member as draining or gone, or as ready again),
  `cold` (a member started without a warm cache), `killed` and `stalled` (a router), `role` (a member is primary from
  now on, with its replication history), `end` (what a primary holds at the end of the day; the last one, without a
  member, ends the whole trace).

The client writes the request id into keys and values (`...:rid:17.0`), so that entries of both ends can be matched. The
part before the dot numbers the effect that the client wants; the part after it counts the client's tries.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec


class Head(msgspec.Struct, kw_only=True, omit_defaults=True):
    """First line of a trace: the bounds of the rules, from the operator's file and the day. Times are seconds."""

    classes: dict[str, dict[str, float | str]]  # by name: effect, need, aim, deadline, bound, worth, window
    groups: dict[str, str]  # name of the group, by name of the member
    sources: list[str]  # local address from which each router connects to members, by number of the router
    drain_grace: float  # from a router's reading of a drain until it has to send nothing more
    told_within: float  # longest time until a router has read a new roster
    cold_share: float  # share of its capacity that a member has at its start
    cold_time: float  # until a member that started has its full capacity
    fall_multiple: float  # multiple of its capacity that a member bears
    fall_time: float  # window over which that multiple is taken
    work: float  # CPU seconds of one command
    cores: int  # of each member
    start: float  # when the trace began
    seed: int
    crossing: float = 0.15  # largest difference between the times that both ends record for one event


class Entry(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One event of a trace; which fields are set depends on its kind `k`."""

    t: float  # seconds
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
    rid: str = ""  # request id, "effect.try"
    kind: str = ""  # class of the request
    router: int = -1  # number of the router; -1: none
    member: str = ""
    conn: int = 0  # number of the connection, at the end that records the entry
    patience: float = 0.0  # seconds: how long the client waits, or a router is stalled
    session: int = -1  # number of the client's session; -1: none
    keys: list[str] = []  # keys of a request, without its id; the key of an `end`
    value: str = ""  # raw answer or reply; form of a request; role that a member reports; state in the roster
    values: list[str] = []  # what `keys` hold, in a read's answer or an `end`; "" for a missing key
    # of an answer: served, refused, repeat, failed, error or surplus; of a reply: answered or turned away; of a cut:
    # why the connection closed
    verdict: str = ""
    line: str = ""  # replication history that the member writes or follows
    offset: int = 0  # how far the member has got in that history, in bytes
    log: list[list[str]] = []  # commands that a write appended to the log
    parent: str = ""  # history from which a new one forks
    received: int = 0  # bytes of the parent that the member had received before the fork


class Writer:
    """Writes a trace file; a call appends one entry."""

    def __init__(self, path: Path, head: Head) -> None:
        """Create or replace the file and write the head. Errors: `OSError`."""
        self._file = path.open("wb", buffering=1 << 20)
        self._encoder = msgspec.json.Encoder()
        self._file.write(self._encoder.encode(head) + b"\n")

    def __call__(self, entry: Entry) -> None:
        """Append an entry. Errors: `OSError`."""
        self._file.write(self._encoder.encode(entry) + b"\n")

    def close(self) -> None:
        """Write what is buffered and close the file. Errors: `OSError`."""
        self._file.close()


class TraceError(Exception):
    """A trace file cannot be read; the message names file, line and reason."""


def read_trace(path: Path) -> tuple[Head, list[Entry]]:
    """The head and the entries by time. A last line without its end (the writer was killed) is left out.

    Errors: `TraceError`.
    """
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as error:
        raise TraceError(f"{path}: can't be read: {error}") from None
    incomplete_line = lines.pop()  # empty if the file ends with a complete line
    del incomplete_line
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
