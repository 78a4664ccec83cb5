"""Parser of the two statements that clients may send, and of the comment that describes the request to the router.

    SELECT content FROM kv WHERE name = 'KEY' /* id=...,c=CLASS,t=TENANT,d=MS,cluster=GROUP,after=MS */
    INSERT INTO kv (name, content) VALUES ('KEY', '\\xHEX') RETURNING content /* ... */

| name | value |
| --- | --- |
| `id` | the client's id of the request |
| `c` | name of its class |
| `t` | name of its tenant; absent if the settings have no tenants |
| `d` | milliseconds for which the client waits |
| `cluster` | number of its group |
| `after` | optional: commit time, in Unix milliseconds, that a read must see |
| `r` | optional: 1 on a retry |

Pairs of other names are passed on and otherwise ignored. Parsing is strict: a statement that is passed on must be valid
for a member, and an invalid one must reach no member. Any printable text may name a class or a tenant, as the settings
choose the names. Source of the statements and the names in the comment: the platform's page on its protocol.
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
    rb"'\\x([0-9a-fA-F]*)'\) RETURNING content /\* ([!-)+-~]{1,1024}) \*/"
)
_PAIR = re.compile(rb"([a-z][a-z0-9_]{0,15})=([0-9A-Za-z_.:-]{1,128})|(c|t)=([!-)+-~]{1,128})")
_NUMBER = re.compile(rb"[0-9]{1,15}")
_CLIENT_TIMEOUT = re.compile(rb"(/\* |,)d=[0-9]+(?=,| )")


class BadStatement(Exception):
    """A statement that the router doesn't accept. The text names the fault; `code` is its SQLSTATE."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Statement:
    """A valid statement and what its comment says about the request."""

    writes: bool
    key: bytes
    id: bytes  # as the client named the request
    class_name: str
    tenant: str | None
    client_timeout_ms: int  # how long the client waits for the answer
    group: int
    after_ms: int | None  # commit time that a read must see, in Unix milliseconds
    is_retry: bool  # the client has sent the request before
    before_timeout: bytes  # the text up to the value of `d`
    after_timeout: bytes  # the text behind the value of `d`

    def text(self, timeout_ms: int) -> bytes:
        """The statement as it came, with another value of `d`: milliseconds for which its sender waits."""
        return b"%b%d%b" % (self.before_timeout, timeout_ms, self.after_timeout)


def parse(text: bytes) -> Statement:
    """Parse the text of a simple query. Errors: `BadStatement` with SQLSTATE 42601, 22001 or 22023."""
    writes = text[:1] == b"I"
    match = (_INSERT if writes else _SELECT).fullmatch(text)
    if match is None:
        raise BadStatement("42601", "neither of the two statements that this router carries")
    digits = match.end(2) - match.start(2) if writes else 0
    if digits % 2:
        raise BadStatement("42601", "a value that is not whole bytes")
    if digits > 2 * VALUE_LIMIT:
        raise BadStatement("22001", f"a value of more than {VALUE_LIMIT} bytes")
    pairs: dict[bytes, bytes] = {}
    for part in match[match.re.groups].split(b","):
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
    timeout = _CLIENT_TIMEOUT.search(text, match.start(match.re.groups) - 3)
    if timeout is None:
        raise BadStatement("22023", "d must be a whole number of milliseconds")
    return Statement(
        writes,
        match[1],
        pairs[b"id"],
        pairs[b"c"].decode(),
        pairs[b"t"].decode() if b"t" in pairs else None,
        _number(pairs, b"d"),
        _number(pairs, b"cluster"),
        _number(pairs, b"after") if b"after" in pairs else None,
        pairs.get(b"r") == b"1",
        text[: timeout.end(1) + 2],
        text[timeout.end() :],
    )


def _number(pairs: dict[bytes, bytes], name: bytes) -> int:
    """The value of a pair as an integer of at most 15 digits. Errors: `BadStatement`."""
    if not _NUMBER.fullmatch(pairs[name]):
        raise BadStatement("22023", f"{name.decode()} must be a whole number, not {pairs[name].decode()!r}")
    return int(pairs[name])
