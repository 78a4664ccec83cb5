"""PostgreSQL's messages, version 3: a bounded codec, both ways.

Theory of operation. A message is a type byte, a length of four bytes that counts itself, and a body; the first message
of a client has no type. A length is judged as soon as its four bytes are there, so nothing is ever kept of a message
that is too long, and what is kept is never more than one message and one read. A broken length can't be skipped: what
follows has no beginning. The reader then refuses to read on (`FrameError`), and its owner closes the connection.

`ClientReader` gives single messages. `NodeReader` gives whole answers: the bytes of all messages up to ReadyForQuery,
or up to an ErrorResponse of severity FATAL, after which a node sends nothing.

Source: "Frontend/Backend Protocol", chapter "Message Formats", of PostgreSQL's documentation.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

SSL_REQUEST, GSSENC_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
PROTOCOL_3 = 196608
STARTUP_LIMIT = 10_000  # bytes, as in PostgreSQL
_LENGTH = struct.Struct("!I")
_HEAD = struct.Struct("!cI")

READY = b"Z\0\0\0\x05I"
EMPTY = b"I\0\0\0\x04"
AUTHENTICATED = b"R\0\0\0\x08\0\0\0\0"
FROM_NODES = frozenset(b"RSKTDCIENZ")  # types that an answer to a simple query or a startup may have


class FrameError(Exception):
    """The stream can't be read on; the text names the fault."""


def message(kind: bytes, body: bytes) -> bytes:
    return kind + _LENGTH.pack(len(body) + 4) + body


def query(statement: bytes) -> bytes:
    return b"Q" + _LENGTH.pack(len(statement) + 5) + statement + b"\0"


def startup(user: str, database: str) -> bytes:
    body = b"\0\x03\0\0user\0%b\0database\0%b\0\0" % (user.encode(), database.encode())
    return _LENGTH.pack(len(body) + 4) + body


def parameter(name: str, value: str) -> bytes:
    return message(b"S", f"{name}\0{value}\0".encode())


def error(code: str, text: str, detail: str = "", severity: str = "ERROR") -> bytes:
    """An ErrorResponse. `detail`: field D."""
    fields = f"S{severity}\0V{severity}\0C{code}\0M{text}\0" + (f"D{detail}\0" if detail else "")
    return message(b"E", fields.encode("utf-8", "replace") + b"\0")


def fields_of(body: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse or NoticeResponse. Errors: `FrameError`."""
    if body[-1:] != b"\0":
        raise FrameError("an error without its end")
    return {
        part[:1].decode("latin-1"): part[1:].decode("utf-8", "replace")
        for part in body[:-1].split(b"\0")
        if part
    }


def pair_of(body: bytes) -> tuple[str, str]:
    """Name and value of a ParameterStatus. Errors: `FrameError`."""
    parts = body.split(b"\0")
    if len(parts) != 3 or parts[2]:
        raise FrameError("a parameter that is not a name and a value")
    return parts[0].decode("utf-8", "replace"), parts[1].decode("utf-8", "replace")


def column_of(description: bytes, row: bytes) -> bytes:
    """The value of a row of one column. Errors: `FrameError` if these are not bodies of such a row."""
    if (
        description[:2] != b"\0\x01"
        or len(description) < 21
        or description.find(b"\0", 2) != len(description) - 19
    ):
        raise FrameError("a description of something else than one column")
    if row[:2] != b"\0\x01" or len(row) < 6 or _LENGTH.unpack_from(row, 2)[0] != len(row) - 6:
        raise FrameError("a row that is not one value")
    return row[6:]


def messages(frame: bytes) -> Iterator[tuple[int, int, int]]:
    """Type, start and end of each message of a frame that `NodeReader` made."""
    pos, size = 0, len(frame)
    while pos < size:
        end = pos + 1 + _LENGTH.unpack_from(frame, pos + 1)[0]
        yield frame[pos], pos, end
        pos = end


class ClientReader:
    """Splits what a client sends. `limit`: bytes of one message's body at most."""

    __slots__ = ("buffer", "limit", "pos", "started")

    def __init__(self, limit: int) -> None:
        self.buffer = bytearray()
        self.pos = 0
        self.limit = limit
        self.started = False  # its startup message was read

    def feed(self, data: bytes) -> None:
        if self.pos:
            del self.buffer[: self.pos]
            self.pos = 0
        self.buffer += data

    def __len__(self) -> int:
        """Bytes that wait."""
        return len(self.buffer) - self.pos

    def next(self) -> tuple[bytes, bytes] | None:
        """Type and body of the next message, the type empty for the first; None while it is not whole.

        Errors: `FrameError`, after which nothing more can be read.
        """
        if not self.started:
            return self._first()
        if len(self) < 5:
            if len(self) and self.buffer[self.pos] not in b"QXpPBDECSHFdcf":
                raise FrameError(f"invalid frontend message type {self.buffer[self.pos]}")
            return None
        kind, length = _HEAD.unpack_from(self.buffer, self.pos)
        if kind not in b"QXpPBDECSHFdcf":
            raise FrameError(f"invalid frontend message type {kind[0]}")
        if not 4 <= length <= self.limit + 4:
            raise FrameError(f"invalid message length {length}")
        return self._take(kind, 5, 1 + length)

    def _first(self) -> tuple[bytes, bytes] | None:
        if len(self) < 4:
            return None
        (length,) = _LENGTH.unpack_from(self.buffer, self.pos)
        if not 8 <= length <= STARTUP_LIMIT:
            raise FrameError("invalid length of startup packet")
        return self._take(b"", 4, length)

    def _take(self, kind: bytes, head: int, size: int) -> tuple[bytes, bytes] | None:
        if len(self) < size:
            return None
        body = bytes(self.buffer[self.pos + head : self.pos + size])
        self.pos += size
        if self.pos == len(self.buffer):
            self.buffer.clear()
            self.pos = 0
        return kind, body


class NodeReader:
    """Splits what a node sends into whole answers. `limit`: bytes of one answer at most. Whole answers in front of what
    can't be read are good; the reader refuses the next read."""

    __slots__ = ("broken", "buffer", "limit", "pos")

    def __init__(self, limit: int) -> None:
        self.broken = ""
        self.buffer = b""
        self.limit = limit
        self.pos = 0  # of the buffer, whole messages end here

    @property
    def clean(self) -> bool:
        return not self.buffer and not self.broken

    def feed(self, data: bytes) -> list[bytes]:
        """The answers that are whole now. Errors: `FrameError`."""
        frames = [] if self.broken else self._split(data)
        if self.broken and not frames:
            raise FrameError(self.broken)
        return frames

    def _split(self, data: bytes) -> list[bytes]:
        buffer = self.buffer + data if self.buffer else data
        frames: list[bytes] = []
        start, pos, size = 0, self.pos, len(buffer)
        while pos < size:
            kind = buffer[pos]
            if kind not in FROM_NODES:
                self.broken = f"no message of a node has the type {kind}"
                break
            if size - pos < 5:
                break
            (length,) = _LENGTH.unpack_from(buffer, pos + 1)
            end = pos + 1 + length
            if length < 4 or end - start > self.limit:
                self.broken = f"a message of {length} bytes"
                break
            if end > size:
                break
            if kind == 90 and length != 5:
                self.broken = "a ReadyForQuery that is none"
                break
            pos = end
            if kind == 90 or (kind == 69 and b"VFATAL\0" in buffer[end - length : end]):
                frames.append(buffer[start:end])
                start = end
        self.buffer, self.pos = buffer[start:], pos - start
        return frames
