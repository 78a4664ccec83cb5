"""The two statements that clients may send, and the comment that tells a router about them.

    SELECT content FROM kv WHERE name = 'KEY' /* id=...,c=CLASS,t=TENANT,d=MS,cluster=GROUP,after=MS */
    INSERT INTO kv (name, content) VALUES ('KEY', '\\xHEX') RETURNING content /* ... */

Read strictly: what is passed on must be what a node takes, and what a client sends in error must reach no node. Source
of the form and of the names in the comment: the platform's page on its protocol. The names of classes and tenants are
the settings' own, so any printable text may be one; where there are no tenants, `t` is absent.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

VALUE_LIMIT = 64 * 1024  # bytes of one value
TEXT_LIMIT = 2 * VALUE_LIMIT + 4096  # bytes of one statement
_SELECT = re.compile(
    rb"SELECT content FROM kv WHERE name = '([^'\\\0-\x1f]{1,256})' /\* ([!-)+-~]{1,1024}) \*/"
)
_INSERT = re.compile(
    rb"INSERT INTO kv \(name, content\) VALUES \('([^'\\\0-\x1f]{1,256})', "
    rb"'\\x((?:[0-9a-fA-F]{2})*)'\) RETURNING content /\* ([!-)+-~]{1,1024}) \*/"
)
_PAIR = re.compile(rb"([a-z][a-z0-9_]{0,15})=([0-9A-Za-z_.:-]{1,128})|(c|t)=([!-)+-~]{1,128})")
_NUMBER = re.compile(rb"[0-9]{1,15}")
_PATIENCE = re.compile(rb"(/\* |,)d=[0-9]+(?=,| )")


class BadStatement(Exception):
    """A statement that is none of the two; the text names the fault, `code` is its SQLSTATE."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Statement:
    writes: bool
    key: bytes
    id: bytes
    kind: str
    tenant: str | None
    patience: int  # milliseconds
    group: int
    after: int | None  # position in Unix milliseconds
    again: bool  # its client has tried it before
    before: bytes  # the text up to the figure of `d` ...
    behind: bytes  # ... and from there on

    def text(self, patience: int) -> bytes:
        """The statement as it came, but for how long its sender will wait (milliseconds)."""
        return b"%b%d%b" % (self.before, patience, self.behind)


def parse(text: bytes) -> Statement:
    """Errors: `BadStatement`."""
    writes = text[:1] == b"I"
    found = (_INSERT if writes else _SELECT).fullmatch(text)
    if found is None:
        raise BadStatement("42601", "neither of the two statements that this router carries")
    if writes and len(found[2]) > 2 * VALUE_LIMIT:
        raise BadStatement("22001", f"a value of more than {VALUE_LIMIT} bytes")
    pairs: dict[bytes, bytes] = {}
    for part in found[found.re.groups].split(b","):
        pair = _PAIR.fullmatch(part)
        if pair is None:
            raise BadStatement("42601", "a comment that is not names and values")
        name, value = pair[1] or pair[3], pair[2] or pair[4]
        if name in pairs:
            raise BadStatement("42601", f"{name.decode()} stands twice in the comment")
        pairs[name] = value
    for name in (b"id", b"c", b"d", b"cluster"):
        if name not in pairs:
            raise BadStatement("22023", f"the comment lacks {name.decode()}")
    place = _PATIENCE.search(text, found.start(found.re.groups) - 3)
    if place is None:
        raise BadStatement("22023", "d must be a whole number of milliseconds")
    return Statement(
        writes,
        found[1],
        pairs[b"id"],
        pairs[b"c"].decode(),
        pairs[b"t"].decode() if b"t" in pairs else None,
        _number(pairs, b"d"),
        _number(pairs, b"cluster"),
        _number(pairs, b"after") if b"after" in pairs else None,
        pairs.get(b"r") == b"1",
        text[: place.end(1) + 2],
        text[place.end() :],
    )


def _number(pairs: dict[bytes, bytes], name: bytes) -> int:
    if not _NUMBER.fullmatch(pairs[name]):
        raise BadStatement("22023", f"{name.decode()} must be a whole number, not {pairs[name].decode()!r}")
    return int(pairs[name])
