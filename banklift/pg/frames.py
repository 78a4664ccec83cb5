"""Codec for the messages of PostgreSQL's protocol, version 3, in both directions, with bounded buffers.

A message is a type byte, a length of four bytes that counts itself, and a body. A client's startup messages have no
type. A length is checked as soon as its four bytes are there, so a message that is too long is never buffered, and a
buffer holds at most one message and one read. A wrong length can't be skipped, since the start of the next message is
unknown: the reader then raises `FrameError`, and its owner closes the connection.

- `ClientReader` returns single messages. One for which its owner has no room can be discarded as it arrives.
- `MemberReader` returns whole answers: all messages up to ReadyForQuery, or up to an ErrorResponse of severity FATAL,
  after which a member sends nothing.

Source: "Frontend/Backend Protocol", chapter "Message Formats", of PostgreSQL's documentation.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

# Codes that stand in place of the protocol version in a client's first message
SSL_REQUEST, GSSENC_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
PROTOCOL_3 = 196608
STARTUP_LIMIT = 10_000  # bytes of a startup message, as in PostgreSQL
_LENGTH = struct.Struct("!I")
_HEAD = struct.Struct("!cI")

READY_FOR_QUERY = b"Z\0\0\0\x05I"  # ReadyForQuery, outside a transaction
EMPTY_QUERY_RESPONSE = b"I\0\0\0\x04"  # EmptyQueryResponse
AUTHENTICATION_OK = b"R\0\0\0\x08\0\0\0\0"  # AuthenticationOk
CLIENT_MESSAGE_TYPES = b"QXpPBDECSHFdcf"  # what a client may send after its startup
# Type that `ClientReader` returns in place of a discarded message; the body is the message's own type.
DISCARDED = b"-"
MEMBER_MESSAGE_TYPES = frozenset(b"RSKTDCIENZ")  # what an answer to a simple query or a startup may contain


class FrameError(Exception):
    """The stream can't be read any further; the text names the fault."""


def message(message_type: bytes, body: bytes) -> bytes:
    """A message with its type byte and length."""
    return message_type + _LENGTH.pack(len(body) + 4) + body


def query(statement: bytes) -> bytes:
    """A Query message."""
    return b"Q" + _LENGTH.pack(len(statement) + 5) + statement + b"\0"


def startup(user: str, database: str) -> bytes:
    """A StartupMessage of protocol version 3.0."""
    body = b"\0\x03\0\0user\0%b\0database\0%b\0\0" % (user.encode(), database.encode())
    return _LENGTH.pack(len(body) + 4) + body


def parameter_status(name: str, value: str) -> bytes:
    """A ParameterStatus message."""
    return message(b"S", f"{name}\0{value}\0".encode())


def error_response(code: str, text: str, detail: str = "", severity: str = "ERROR") -> bytes:
    """An ErrorResponse. `code`: its SQLSTATE; `text`: field M; `detail`: field D, left out if empty."""
    fields = f"S{severity}\0V{severity}\0C{code}\0M{text}\0" + (f"D{detail}\0" if detail else "")
    return message(b"E", fields.encode("utf-8", "replace") + b"\0")


def error_fields(body: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse or NoticeResponse, by their one-letter types. Errors: `FrameError`."""
    if body[-1:] != b"\0":
        raise FrameError("an error response without its terminator")
    return {
        part[:1].decode("latin-1"): part[1:].decode("utf-8", "replace")
        for part in body[:-1].split(b"\0")
        if part
    }


def parse_parameter_status(body: bytes) -> tuple[str, str]:
    """Name and value of a ParameterStatus. Errors: `FrameError`."""
    parts = body.split(b"\0")
    if len(parts) != 3 or parts[2]:
        raise FrameError("a parameter status that is not a name and a value")
    return parts[0].decode("utf-8", "replace"), parts[1].decode("utf-8", "replace")


def single_value(description: bytes, row: bytes) -> bytes:
    """The value in a row of one column.

    `description`, `row`: bodies of a RowDescription and a DataRow. Errors: `FrameError` if they have another shape or
    the value is NULL.
    """
    if (
        description[:2] != b"\0\x01"
        or len(description) < 21
        or description.find(b"\0", 2) != len(description) - 19
    ):
        raise FrameError("a row description that is not of one column")
    if row[:2] != b"\0\x01" or len(row) < 6 or _LENGTH.unpack_from(row, 2)[0] != len(row) - 6:
        raise FrameError("a data row that is not one value")
    return row[6:]


def split_messages(frame: bytes) -> Iterator[tuple[int, int, int]]:
    """Type, start and end of each message in an answer that `MemberReader` returned; offsets are in bytes."""
    start, size = 0, len(frame)
    while start < size:
        end = start + 1 + _LENGTH.unpack_from(frame, start + 1)[0]
        yield frame[start], start, end
        start = end


class ClientReader:
    """Splits a client's stream into messages. `limit`: the highest number of bytes in one message's body."""

    __slots__ = ("buffer", "bytes_to_discard", "discarded_type", "limit", "pos", "started")

    def __init__(self, limit: int) -> None:
        self.buffer = bytearray()
        self.pos = 0
        self.limit = limit
        # Set by the owner once it has accepted the startup message: from then on messages have types.
        self.started = False
        self.bytes_to_discard = 0  # of a message that is being discarded
        self.discarded_type = b""  # type of that message; empty if there is none

    def feed(self, data: bytes) -> None:
        """Append bytes that came from the client."""
        if self.bytes_to_discard:
            dropped = min(self.bytes_to_discard, len(data))
            self.bytes_to_discard -= dropped
            data = data[dropped:]
        self.compact()
        self.buffer += data

    def compact(self) -> None:
        """Give the memory of returned messages back."""
        if self.pos:
            del self.buffer[: self.pos]
            self.pos = 0

    def __len__(self) -> int:
        """Buffered bytes that were not returned yet."""
        return len(self.buffer) - self.pos

    def clear(self) -> None:
        """Drop all that is buffered: nothing more is read."""
        self.buffer.clear()
        self.pos = self.bytes_to_discard = 0
        self.discarded_type = b""

    @property
    def is_between_messages(self) -> bool:
        """Whether no part of a message has come that was not returned."""
        return not self.discarded_type and self.pos == len(self.buffer)

    @property
    def next_size(self) -> int:
        """Bytes of the message that begins in the buffer, with its head; 0 before its length is known to be valid."""
        if not self.started or self.discarded_type or len(self) < 5:
            return 0
        message_type, length = _HEAD.unpack_from(self.buffer, self.pos)
        is_valid = message_type in CLIENT_MESSAGE_TYPES and 4 <= length <= self.limit + 4
        return 1 + length if is_valid else 0

    def discard_next(self) -> None:
        """Keep no bytes of the message that begins in the buffer. `next` returns `DISCARDED` once it has arrived.

        Only where `next_size` is above 0.
        """
        size = self.next_size
        self.discarded_type = bytes(self.buffer[self.pos : self.pos + 1])
        dropped = min(size, len(self))
        self.bytes_to_discard = size - dropped
        self._advance(dropped)

    def next(self) -> tuple[bytes, bytes] | None:
        """Type and body of the next message; the type is empty before `started`. None while the message is incomplete.

        Errors: `FrameError`, after which nothing more can be read.
        """
        if not self.started:
            return self._next_startup()
        if self.discarded_type:
            return self._end_of_discarded()
        if len(self) < 5:
            if len(self) and self.buffer[self.pos] not in CLIENT_MESSAGE_TYPES:
                raise FrameError(f"invalid frontend message type {self.buffer[self.pos]}")
            return None
        message_type, length = _HEAD.unpack_from(self.buffer, self.pos)
        if message_type not in CLIENT_MESSAGE_TYPES:
            raise FrameError(f"invalid frontend message type {message_type[0]}")
        if not 4 <= length <= self.limit + 4:
            raise FrameError(f"invalid message length {length}")
        return self._take(message_type, 5, 1 + length)

    def _end_of_discarded(self) -> tuple[bytes, bytes] | None:
        """`next` for a message that is discarded."""
        if self.bytes_to_discard:
            return None
        discarded_type, self.discarded_type = self.discarded_type, b""
        return DISCARDED, discarded_type

    def _next_startup(self) -> tuple[bytes, bytes] | None:
        """`next` for messages without a type."""
        if len(self) < 4:
            return None
        (length,) = _LENGTH.unpack_from(self.buffer, self.pos)
        if not 8 <= length <= STARTUP_LIMIT:
            raise FrameError("invalid length of startup packet")
        return self._take(b"", 4, length)

    def _take(self, message_type: bytes, header_size: int, size: int) -> tuple[bytes, bytes] | None:
        """Remove a message of `size` bytes from the buffer; None while it is incomplete."""
        if len(self) < size:
            return None
        with memoryview(self.buffer) as view:  # a slice of the buffer itself would be one more copy
            body = bytes(view[self.pos + header_size : self.pos + size])
        self._advance(size)
        return message_type, body

    def _advance(self, size: int) -> None:
        """Remove bytes from the front of the buffer."""
        self.pos += size
        if self.pos == len(self.buffer):
            self.buffer.clear()
            self.pos = 0


class MemberReader:
    """Splits a member's stream into whole answers. `limit`: the highest number of bytes in one answer.

    Whole answers in front of a fault are still returned; the next call of `feed` raises the error.
    """

    __slots__ = ("buffer", "fault", "limit", "pos")

    def __init__(self, limit: int) -> None:
        self.fault = ""  # why nothing more can be read
        self.buffer = b""
        self.limit = limit
        self.pos = 0  # where the whole messages in the buffer end

    @property
    def is_at_frame_boundary(self) -> bool:
        """Whether no bytes of an incomplete or unreadable answer are left over."""
        return not self.buffer and not self.fault

    def feed(self, data: bytes) -> list[bytes]:
        """The answers that `data` completes. Errors: `FrameError` if there are none in front of a fault."""
        frames = [] if self.fault else self._split(data)
        if self.fault and not frames:
            raise FrameError(self.fault)
        return frames

    def _split(self, data: bytes) -> list[bytes]:
        """The answers that `data` completes; sets `fault` and stops at the first fault."""
        buffer = self.buffer + data if self.buffer else data
        frames: list[bytes] = []
        start, pos, size = 0, self.pos, len(buffer)
        while pos < size:
            message_type = buffer[pos]
            if message_type not in MEMBER_MESSAGE_TYPES:
                self.fault = f"member sent an unknown message type {message_type}"
                break
            if size - pos < 5:
                break
            (length,) = _LENGTH.unpack_from(buffer, pos + 1)
            end = pos + 1 + length
            if length < 4 or end - start > self.limit:
                self.fault = f"invalid message length {length} from a member"
                break
            if end > size:
                break
            if message_type == 90 and length != 5:
                self.fault = "a ReadyForQuery of the wrong length"
                break
            pos = end
            # Z: ReadyForQuery, E: ErrorResponse
            if message_type == 90 or (message_type == 69 and b"VFATAL\0" in buffer[end - length : end]):
                frames.append(buffer[start:end])
                start = end
        self.buffer, self.pos = buffer[start:], pos - start
        return frames
