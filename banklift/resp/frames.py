"""RESP framing: finding the ends of frames, reading commands, and writing replies.

Theory of operation. Answers of members pass through byte for byte, so reading them builds no values: a `Scanner`
buffers what has arrived and finds the end of each whole frame of any RESP2 or RESP3 type, by the public specification.
It goes on where it stopped, so a large answer that arrives in many pieces is walked once. A stack holds, for each open
aggregate, how many elements are still to come: an element that ends counts its aggregate down, and an aggregate that
reaches zero is itself an element that ended. An attribute is not an element: it precedes one, and the two are one
frame.

A `CommandReader` reads what clients send: arrays of bulk strings, or one inline line. A length beyond the limits is an
error as soon as its header is seen, so no part of an oversized frame's payload is kept.

Loops over bytes compare with literal byte values, named in a comment, as a lookup of a name costs time there.
"""

from __future__ import annotations

from typing import Any

import hiredis

# type bytes, the first byte of a frame or element
SIMPLE_TYPES = frozenset(b"+-:_,#(")  # one line, nothing after it
RESP2_LINE_TYPES = frozenset(b"+-:")  # the types of one line that RESP2 has
BLOB_TYPES = frozenset(b"$=!")  # a length, then as many bytes
AGGREGATE_TYPES = frozenset(b"*~>%|")  # a count, then as many elements (pairs for % and |)
MAX_LINE_BYTES = 64 * 1024  # of an inline command or of a header line
MAX_DEPTH = 512  # open aggregates of one frame
MAX_ARGS = 1024 * 1024  # of one command, with its name
ARG_BYTES = 80  # what an argument takes beside its bytes: its place, and later its object
STRING_TYPE, ARRAY_TYPE = ord("$"), ord("*")
MAX_SHORT_HEADER_BYTES = 12  # of an argument, with its end; a longer one is read by a call of its own
# counts on the stack that stand for an unknown number of elements
OPEN_AGGREGATE = -1  # an aggregate that ends with a mark
OPEN_STRING = -2  # a string that comes in chunks
# quoting in inline commands
DOUBLE_QUOTE, SINGLE_QUOTE, BACKSLASH = ord('"'), ord("'"), ord("\\")
# what a letter after a backslash stands for in double quotes
ESCAPES = {
    ord("n"): 10,
    ord("r"): 13,
    ord("t"): 9,
    ord("b"): 8,
    ord("a"): 7,
}


class ProtocolError(Exception):
    """The other end broke the protocol; the text is the one that Redis sends after `Protocol error: `."""


class Scanner:
    """Splits a member's byte stream into whole frames.

    `limit`: bytes that one frame may have at most. Errors: `ProtocolError` from `feed`, after which the stream can't be
    read any further.
    """

    __slots__ = ("buffer", "limit", "pos", "stack")

    def __init__(self, limit: int) -> None:
        self.buffer = bytearray()
        self.limit = limit
        self.pos = 0  # everything before it has been walked
        self.stack: list[int] = []  # for each open aggregate, elements still to come or `OPEN_...`

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now, in order. Errors: `ProtocolError`."""
        frames: list[bytes] = []
        # most answers arrive whole and have a plain type: they need no copy and no state
        if not self.buffer:
            pos, size = 0, len(data)
            while pos < size:
                end = data.find(b"\r\n", pos)
                if end < 0:
                    break
                type_byte = data[pos]
                if type_byte == 36 and data[pos + 1] != 63:  # "$", but not "$?"
                    try:
                        length = int(data[pos + 1 : end])
                    except ValueError:
                        break
                    end += length + 2 if length >= 0 else 0
                    if length > self.limit or end + 2 > size or data[end : end + 2] != b"\r\n":
                        break
                elif type_byte not in RESP2_LINE_TYPES:
                    break
                end += 2
                frames.append(data if not pos and end == size else data[pos:end])
                pos = end
            if pos == size:
                return frames
            data = data[pos:]
        self.buffer += data
        while self._advance():
            frames.append(bytes(self.buffer[: self.pos]))
            del self.buffer[: self.pos]
            self.pos = 0
        if len(self.buffer) > self.limit:
            raise ProtocolError("frame too large")
        return frames

    def _advance(self) -> bool:
        """Walks on; true once a whole frame lies before `pos`. Errors: `ProtocolError`."""
        buffer, stack = self.buffer, self.stack
        while True:
            end = buffer.find(b"\r\n", self.pos)
            if end < 0:
                if len(buffer) - self.pos > MAX_LINE_BYTES and buffer[self.pos] not in SIMPLE_TYPES:
                    raise ProtocolError("too big header")
                return False
            type_byte, after = buffer[self.pos], end + 2
            if type_byte in SIMPLE_TYPES:
                self.pos = after
                if self._ended():
                    return True
            elif type_byte in BLOB_TYPES:
                if type_byte == 36 and buffer[self.pos + 1 : end] == b"?":  # "$?" begins a streamed string
                    self._open(OPEN_STRING)
                    self.pos = after
                    continue
                size = self._count(end)
                if size >= 0:
                    after += size + 2
                    if after - 2 > self.limit:
                        raise ProtocolError("frame too large")
                    if len(buffer) < after:
                        return False
                    if buffer[after - 2 : after] != b"\r\n":
                        raise ProtocolError("bulk string without its end")
                self.pos = after
                if self._ended():
                    return True
            elif type_byte in AGGREGATE_TYPES:
                if buffer[self.pos + 1 : end] == b"?":
                    self._open(OPEN_AGGREGATE)
                    self.pos = after
                    continue
                count = self._count(end)
                if type_byte in b"%|":
                    count *= 2
                self.pos = after
                if type_byte == 124:  # "|", an attribute: its pairs, then the element that it describes
                    self._open(count + 1)
                elif count > 0:
                    self._open(count)
                elif self._ended():
                    return True
            elif type_byte == 46 and stack and stack[-1] == OPEN_AGGREGATE:  # "." ends a streamed aggregate
                self.pos = after
                stack.pop()
                if self._ended():
                    return True
            elif (
                type_byte == 59 and stack and stack[-1] == OPEN_STRING
            ):  # ";" begins a chunk of a streamed string
                size = self._count(end)
                after += size + 2 if size else 0
                if len(buffer) < after:
                    return False
                self.pos = after
                if not size:
                    stack.pop()
                    if self._ended():
                        return True
            else:
                raise ProtocolError(f"unknown type byte {bytes(buffer[self.pos : self.pos + 1])!r}")

    def _open(self, count: int) -> None:
        """Opens an aggregate. `count`: its elements, or `OPEN_...`. Errors: `ProtocolError` beyond `MAX_DEPTH`."""
        if len(self.stack) >= MAX_DEPTH:
            raise ProtocolError("frame nested too deeply")
        self.stack.append(count)

    def _ended(self) -> bool:
        """An element ended; true if the frame ended with it."""
        stack = self.stack
        while stack:
            if stack[-1] < 0:
                return False
            stack[-1] -= 1
            if stack[-1]:
                return False
            stack.pop()
        return True

    def _count(self, end: int) -> int:
        """The number in the header that ends at `end`; -1 is null. Errors: `ProtocolError`."""
        try:
            count = int(self.buffer[self.pos + 1 : end])
        except ValueError:
            raise ProtocolError("invalid length") from None
        if count < -1:
            raise ProtocolError("invalid length")
        return count


class CommandReader:
    """Reads the commands of a client: lists of byte strings.

    `limit`: bytes that one command may have. Errors: `ProtocolError` from `next`, which has returned the commands
    before the fault. An incomplete command is read on where it stopped; until it is complete, only its bytes and the
    places of its arguments are kept. A command for which its owner has no room can be discarded as it arrives.
    """

    __slots__ = (
        "_arg_ends",
        "_arg_starts",
        "_bytes_to_discard",
        "_is_discarding",
        "_is_reading",
        "_remaining_args",
        "_size",
        "_start",
        "buffer",
        "limit",
        "pos",
        "raw",
    )

    def __init__(self, limit: int) -> None:
        self.buffer = bytearray()
        self.limit = limit
        self.pos = 0  # everything before it has been read
        self.raw: bytes | None = None  # the last command as it arrived; None if it was an inline one
        self._is_reading = False  # a part of a command has been read
        # where the arguments of that command are, counted from its begin
        self._arg_starts: list[int] = []
        self._arg_ends: list[int] = []
        self._remaining_args = 0  # arguments still to come of that command
        self._size = 0  # bytes of its arguments so far
        self._start = 0  # where it begins in the buffer
        self._is_discarding = False  # nothing of that command is kept
        self._bytes_to_discard = 0  # of its current argument

    def __len__(self) -> int:
        """The number of bytes that are not read yet."""
        return len(self.buffer) - self.pos

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds of what was not returned, and that the arguments of an incomplete command will take."""
        return len(self.buffer) - self._start + ARG_BYTES * len(self._arg_starts)

    @property
    def is_incomplete(self) -> bool:
        """Whether a part of a command has come that was not returned, and is not discarded."""
        return not self._is_discarding and (self._is_reading or self.pos < len(self.buffer))

    def feed(self, data: bytes) -> None:
        """Adds bytes of the client."""
        kept_from = self._start if self._is_reading else self.pos
        if kept_from:  # what was read already
            del self.buffer[:kept_from]
            self.pos -= kept_from
            self._start = 0
        self.buffer += data

    def discard(self) -> None:
        """Keeps nothing of the command that is being read. `next` returns an empty list once all of it has arrived.

        Only after `next` has found that more bytes are needed. Without effect on an inline command, whose length is
        bounded.
        """
        if self._is_reading and not self._is_discarding:
            self._is_discarding = True
            self._forget_args()
            self._discard_args()

    def next(self) -> list[bytes] | None:
        """The next complete command; None if more bytes are needed. Errors: `ProtocolError`.

        An empty list stands for a command that was discarded.
        """
        while self._is_reading or self.pos < len(self.buffer):
            if not self._is_reading and (words := self._begin()) is not None:
                return words
            if not self._is_reading or not (
                self._discard_args() if self._is_discarding else self._read_args()
            ):
                return None
            self._is_reading = False
            if self._is_discarding:
                self._is_discarding = False
                return []
            if self._arg_starts:
                return self._take_command()
        return None

    def _begin(self) -> list[bytes] | None:
        """Reads the head of the next command. The words of an inline command; None for others, or if more is needed."""
        buffer = self.buffer
        while True:
            pos = self._start = self.pos
            end = buffer.find(b"\n", pos)
            if (len(buffer) if end < 0 else end) - pos > MAX_LINE_BYTES:
                raise ProtocolError(
                    "too big mbulk count string" if buffer[pos] == ARRAY_TYPE else "too big inline request"
                )
            if end < 0:
                return None
            self.pos = end + 1
            if buffer[pos] == ARRAY_TYPE:
                self._remaining_args = parse_length(
                    buffer[pos + 1 : end], "invalid multibulk length", MAX_ARGS
                )
                self._is_reading = True
                self._size = 0
                return None
            if words := split_inline(bytes(buffer[pos:end]).removesuffix(b"\r")):
                self.raw = None
                self._start = self.pos
                return words

    def _read_args(self) -> bool:
        """Reads arguments of a command as far as they have come; whether it is complete.

        The header of a short argument is read here, without a call, as this is the longest part of reading.
        """
        buffer, pos, available = self.buffer, self.pos, len(self.buffer)
        add_start, add_end, offset = self._arg_starts.append, self._arg_ends.append, -self._start
        remaining, total, limit = self._remaining_args, self._size, self.limit
        while remaining > 0:
            end = buffer.find(b"\r\n", pos, pos + MAX_SHORT_HEADER_BYTES)
            size = -1
            if end > 0 and buffer[pos] == STRING_TYPE:
                try:
                    size = int(buffer[pos + 1 : end])
                except ValueError:
                    size = -1
            if size < 0 or total + size > limit:
                self.pos, self._remaining_args, self._size = pos, remaining, total
                found = self._arg_size(pos)  # it needs more bytes, is long, or is a fault
                if found is None:
                    return False
                size, end = found, buffer.find(b"\r\n", pos)
            begin = end + 2
            after = begin + size + 2
            if available < after:  # the header is read again with the rest
                break
            add_start(begin + offset)
            add_end(begin + size + offset)
            pos = after
            total += size
            remaining -= 1
        self.pos, self._remaining_args, self._size = pos, remaining, total
        return not remaining > 0

    def _arg_size(self, pos: int) -> int | None:
        """The length of the argument whose header begins at `pos`; None if more bytes are needed."""
        buffer = self.buffer
        end = buffer.find(b"\r\n", pos)
        if (len(buffer) if end < 0 else end) - pos > MAX_LINE_BYTES:
            raise ProtocolError("too big bulk count string")
        if end < 0:
            return None
        if buffer[pos] != STRING_TYPE:
            raise ProtocolError(f"expected '$', got '{chr(buffer[pos])}'")
        size = parse_length(buffer[pos + 1 : end], "invalid bulk length", self.limit)
        if size < 0 or self._size + size > self.limit:
            raise ProtocolError("invalid bulk length")
        return size

    def _discard_args(self) -> bool:
        """Drops arguments of a command as far as they have come; whether all of it was dropped."""
        while True:
            dropped = min(self._bytes_to_discard, len(self.buffer) - self.pos)
            self._bytes_to_discard -= dropped
            self.pos += dropped
            del self.buffer[self._start : self.pos]
            self.pos = self._start
            if self._bytes_to_discard:
                return False
            if not self._remaining_args:
                return True
            size = self._arg_size(self.pos)
            if size is None:
                return False
            self._size += size
            self.pos = self.buffer.find(b"\n", self.pos) + 1
            self._bytes_to_discard = size + 2
            self._remaining_args -= 1

    def _take_command(self) -> list[bytes]:
        """The arguments of the command that is complete; `raw` is the whole of it."""
        raw = self.raw = bytes(self.buffer[self._start : self.pos])
        args = [raw[begin:end] for begin, end in zip(self._arg_starts, self._arg_ends, strict=True)]
        self._start = self.pos
        self._forget_args()
        return args

    def _forget_args(self) -> None:
        self._arg_starts, self._arg_ends = [], []


def parse_length(digits: bytes | bytearray, error: str, limit: int) -> int:
    """The length in a header. Errors: `ProtocolError` with the text `error` if it is no number or above `limit`."""
    try:
        value = int(digits)
    except ValueError:
        raise ProtocolError(error) from None
    if value > limit:
        raise ProtocolError(error)
    return value


def split_inline(line: bytes) -> list[bytes]:
    """The words of an inline command, with quotes and escapes as redis-cli has them.

    Errors: `ProtocolError` if quotes are unbalanced.
    """
    if b'"' not in line and b"'" not in line:
        return line.split()
    words: list[bytes] = []
    word: bytearray | None = None
    quote = 0  # the quote that is open; 0: none
    pos = 0
    while pos < len(line):
        byte = line[pos]
        if quote:
            assert word is not None
            if byte == quote:
                quote = 0
                if pos + 1 < len(line) and not line[pos + 1 : pos + 2].isspace():
                    raise ProtocolError("unbalanced quotes in request")
            elif byte == BACKSLASH and quote == DOUBLE_QUOTE and line[pos + 1 : pos + 2] == b"x":
                try:
                    word.append(int(line[pos + 2 : pos + 4], 16))
                except ValueError:
                    raise ProtocolError("unbalanced quotes in request") from None
                pos += 3
            elif (
                byte == BACKSLASH
                and pos + 1 < len(line)
                and (quote == DOUBLE_QUOTE or line[pos + 1] == SINGLE_QUOTE)
            ):
                pos += 1
                word.append(ESCAPES.get(line[pos], line[pos]) if quote == DOUBLE_QUOTE else line[pos])
            else:
                word.append(byte)
        elif line[pos : pos + 1].isspace():
            if word is not None:
                words.append(bytes(word))
            word = None
        else:
            word = bytearray() if word is None else word
            if byte in (DOUBLE_QUOTE, SINGLE_QUOTE):
                quote = byte
            else:
                word.append(byte)
        pos += 1
    if quote:
        raise ProtocolError("unbalanced quotes in request")
    if word is not None:
        words.append(bytes(word))
    return words


def command(*args: bytes | str | int) -> bytes:
    """Encodes a command as clients send it: an array of bulk strings."""
    parts = [b"*%d\r\n" % len(args)]
    for arg in args:
        data = arg if isinstance(arg, bytes) else str(arg).encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(parts)


class Simple(str):
    """A simple string reply, such as OK."""


class Error(str):
    """An error reply: a code in capitals, then a text."""


def encode(value: Any, proto: int = 2) -> bytes:
    """Encodes a reply of the router itself. Dicts become maps in RESP3 and flat arrays in RESP2; None is null.

    `proto`: version of RESP, 2 or 3.
    """
    if value is None:
        return b"_\r\n" if proto == 3 else b"$-1\r\n"
    if isinstance(value, bool):
        return b"#%b\r\n" % (b"t" if value else b"f") if proto == 3 else b":%d\r\n" % value
    if isinstance(value, int):
        return b":%d\r\n" % value
    if isinstance(value, Simple):
        return b"+%b\r\n" % value.encode()
    if isinstance(value, Error):
        return b"-%b\r\n" % value.replace("\r", " ").replace("\n", " ").encode()
    if isinstance(value, str):
        value = value.encode()
    if isinstance(value, bytes):
        return b"$%d\r\n%b\r\n" % (len(value), value)
    if isinstance(value, dict):
        items = [part for pair in value.items() for part in pair]
        head = b"%%%d\r\n" % len(value) if proto == 3 else b"*%d\r\n" % len(items)
        return head + b"".join(encode(item, proto) for item in items)
    return b"*%d\r\n" % len(value) + b"".join(encode(item, proto) for item in value)


def decode(frame: bytes) -> Any:
    """The value of one complete frame; an error frame becomes `hiredis.ReplyError`.

    Errors: `ProtocolError` if hiredis can't read it.
    """
    reader = hiredis.Reader()
    reader.feed(frame)
    try:
        return reader.gets()
    except hiredis.ProtocolError as error:
        raise ProtocolError(str(error)) from None
