"""RESP frames on the wire: where a frame ends, and how commands are read and answers written.

Theory of operation. A member's answers pass through byte for byte, so a reader here never builds values: a `Scanner`
holds what has arrived and finds the end of each whole frame, whatever its type (RESP2 and RESP3, by the public
specification). It goes on where it stopped, so a large answer that comes in many pieces is walked once. Open
aggregates stand on a stack of counts: an element that ends counts its aggregate down, an aggregate that reaches nothing
is itself an element that ended. An attribute is no element: it stands in front of one, and the two are one frame.

A `CommandReader` reads what clients send: arrays of bulk strings, or one inline line. A length beyond the limits is an
error as soon as its header is seen, so nothing of an oversized frame is ever held.
"""

from __future__ import annotations

from typing import Any

import hiredis

SIMPLE = frozenset(b"+-:_,#(")  # one line, nothing after it
PLAIN = frozenset(b"+-:")
BLOBS = frozenset(b"$=!")
AGGREGATES = frozenset(b"*~>%|")
MAX_LINE = 64 * 1024  # bytes of an inline command or of a header line
MAX_DEPTH = 512  # open aggregates of one frame
MAX_ARGS = 1024 * 1024
STREAM = -1  # count of an aggregate whose end is marked, not told
CHUNKS = -2  # count of a string that comes in chunks


class ProtocolError(Exception):
    """The other end broke the protocol; the text is what Redis says after `Protocol error: `."""


class Scanner:
    """Splits a member's byte stream into whole frames.

    `limit`: bytes that one frame may have at most. Errors: `ProtocolError` from `feed`, after which the stream can't
    be read on.
    """

    __slots__ = ("buffer", "limit", "pos", "stack")

    def __init__(self, limit: int) -> None:
        self.buffer = bytearray()
        self.limit = limit
        self.pos = 0  # everything before it is walked
        self.stack: list[int] = []  # elements still to come, of each open aggregate

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are whole now, in order."""
        frames: list[bytes] = []
        if not self.buffer:  # most answers come whole and are plain: no copy, no state
            pos, size = 0, len(data)
            while pos < size:
                end = data.find(b"\r\n", pos)
                if end < 0:
                    break
                kind = data[pos]
                if kind == 36 and data[pos + 1] != 63:
                    try:
                        length = int(data[pos + 1 : end])
                    except ValueError:
                        break
                    end += length + 2 if length >= 0 else 0
                    if length > self.limit or end + 2 > size or data[end : end + 2] != b"\r\n":
                        break
                elif kind not in PLAIN:
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
        """Walk on; true once a whole frame lies before `pos`."""
        buffer, stack = self.buffer, self.stack
        while True:
            end = buffer.find(b"\r\n", self.pos)
            if end < 0:
                if len(buffer) - self.pos > MAX_LINE and buffer[self.pos] not in SIMPLE:
                    raise ProtocolError("too big header")
                return False
            kind, after = buffer[self.pos], end + 2
            if kind in SIMPLE:
                self.pos = after
                if self._ended():
                    return True
            elif kind in BLOBS:
                if kind == 36 and buffer[self.pos + 1 : end] == b"?":
                    self._open(CHUNKS)
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
            elif kind in AGGREGATES:
                if buffer[self.pos + 1 : end] == b"?":
                    self._open(STREAM)
                    self.pos = after
                    continue
                count = self._count(end)
                if kind in b"%|":
                    count *= 2
                self.pos = after
                if kind == 124:  # an attribute: its pairs, then the element it speaks of
                    self._open(count + 1)
                elif count > 0:
                    self._open(count)
                elif self._ended():
                    return True
            elif kind == 46 and stack and stack[-1] == STREAM:  # "." ends a streamed aggregate
                self.pos = after
                stack.pop()
                if self._ended():
                    return True
            elif kind == 59 and stack and stack[-1] == CHUNKS:  # ";" is a chunk of a streamed string
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
        if len(self.stack) >= MAX_DEPTH:
            raise ProtocolError("frame nested too deeply")
        self.stack.append(count)

    def _ended(self) -> bool:
        """An element ended; true if the whole frame did."""
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
        try:
            count = int(self.buffer[self.pos + 1 : end])
        except ValueError:
            raise ProtocolError("invalid length") from None
        if count < -1:
            raise ProtocolError("invalid length")
        return count


class CommandReader:
    """Reads the commands of a client: lists of byte strings.

    `limit`: bytes that one command may have. Errors: `ProtocolError` from `next`; commands before it were returned.
    A command that is not whole yet is read on where it stopped.
    """

    __slots__ = ("_args", "_size", "_start", "_want", "buffer", "limit", "pos", "raw")

    def __init__(self, limit: int) -> None:
        self.buffer = b""
        self.limit = limit
        self.pos = 0
        self.raw: bytes | None = None  # the last command as it came; None if it was an inline one
        self._args: list[bytes] | None = None  # of the command being read
        self._want = 0
        self._size = 0
        self._start = 0

    def feed(self, data: bytes) -> None:
        if self.pos < len(self.buffer):
            # what is read already is dropped, but for the command that is being read
            self.buffer = self.buffer[self._start :] + data
            self.pos -= self._start
        else:
            self.buffer = self.buffer[self._start :] + data if self._args is not None else data
            self.pos = self.pos - self._start if self._args is not None else 0
        self._start = 0

    def next(self) -> list[bytes] | None:
        """The next whole command, None if more bytes are needed."""
        while True:
            buffer, pos = self.buffer, self.pos
            if self._args is None:
                self._start = pos
                end = buffer.find(b"\n", pos)
                if (len(buffer) if end < 0 else end) - pos > MAX_LINE:
                    raise ProtocolError(
                        "too big mbulk count string"
                        if buffer[pos : pos + 1] == b"*"
                        else "too big inline request"
                    )
                if end < 0:
                    return None
                self.pos = end + 1
                if buffer[pos] != 42:
                    if words := split_inline(buffer[pos:end].removesuffix(b"\r")):
                        self.raw = None
                        return words
                    continue
                self._want = number(buffer[pos + 1 : end], "invalid multibulk length", MAX_ARGS)
                self._args, self._size = [], 0
                pos = end + 1
            args = self._args
            while self._want > 0:
                end = buffer.find(b"\r\n", pos)
                if (len(buffer) if end < 0 else end) - pos > MAX_LINE:
                    raise ProtocolError("too big bulk count string")
                if end < 0:
                    return None
                if buffer[pos] != 36:
                    raise ProtocolError(f"expected '$', got '{chr(buffer[pos])}'")
                size = number(buffer[pos + 1 : end], "invalid bulk length", self.limit)
                self._size += size
                if size < 0 or self._size > self.limit:
                    raise ProtocolError("invalid bulk length")
                begin = end + 2
                if len(buffer) < begin + size + 2:
                    self._size -= size  # the header is read again with the rest
                    return None
                args.append(buffer[begin : begin + size])
                self.pos = pos = begin + size + 2
                self._want -= 1
            self._args = None
            if args:
                self.raw = buffer[self._start : pos]
                return args


def number(digits: bytes, error: str, limit: int) -> int:
    """A length in a header. Errors: `ProtocolError` with `error` unless it is one, and at most `limit`."""
    try:
        value = int(digits)
    except ValueError:
        raise ProtocolError(error) from None
    if value > limit:
        raise ProtocolError(error)
    return value


def split_inline(line: bytes) -> list[bytes]:
    """The words of an inline command, with the quotes that redis-cli and telnet users know.

    Errors: `ProtocolError` if a quote stays open.
    """
    if b'"' not in line and b"'" not in line:
        return line.split()
    words: list[bytes] = []
    word: bytearray | None = None
    quote, pos = 0, 0
    escapes = {110: 10, 114: 13, 116: 9, 98: 8, 97: 7}
    while pos < len(line):
        byte = line[pos]
        if quote:
            assert word is not None
            if byte == quote:
                quote = 0
                if pos + 1 < len(line) and not line[pos + 1 : pos + 2].isspace():
                    raise ProtocolError("unbalanced quotes in request")
            elif byte == 92 and quote == 34 and line[pos + 1 : pos + 2] == b"x":
                try:
                    word.append(int(line[pos + 2 : pos + 4], 16))
                except ValueError:
                    raise ProtocolError("unbalanced quotes in request") from None
                pos += 3
            elif byte == 92 and pos + 1 < len(line) and (quote == 34 or line[pos + 1] == 39):
                pos += 1
                word.append(escapes.get(line[pos], line[pos]) if quote == 34 else line[pos])
            else:
                word.append(byte)
        elif line[pos : pos + 1].isspace():
            if word is not None:
                words.append(bytes(word))
            word = None
        else:
            word = bytearray() if word is None else word
            if byte in (34, 39):
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
    """A command as clients send it: an array of bulk strings."""
    parts = [b"*%d\r\n" % len(args)]
    for arg in args:
        data = arg if isinstance(arg, bytes) else str(arg).encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(data), data))
    return b"".join(parts)


class Simple(str):
    """A status line, such as OK."""


class Error(str):
    """An error: a code in capitals, then a text."""


def encode(value: Any, proto: int = 2) -> bytes:
    """An answer that the router gives itself. Dicts are maps in RESP3 and flat arrays in RESP2; None is null."""
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
    """The value of one whole frame; an error frame becomes `hiredis.ReplyError`.

    Errors: `ProtocolError` if hiredis can't read it.
    """
    reader = hiredis.Reader()
    reader.feed(frame)
    try:
        return reader.gets()
    except hiredis.ProtocolError as error:
        raise ProtocolError(str(error)) from None
