"""Emulated servers of the platform: members that speak PostgreSQL's protocol, and the catalogue of members over HTTP.

They run on any `Env`: real sockets or virtual time. A member answers each statement after `answer_delay_seconds`
from its store, or with the next answer that a test put into `next_answers`. It counts the statements that it is working
on, so that a test can compare the router's count with it.
"""

from __future__ import annotations

import json
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from banklift.net.env import Env, Handle, Listener, Peer
from banklift.pg import frames

MAX_MESSAGE_BYTES = 1 << 20  # the body of one message of a client
Answer = Callable[
    ["PgMember", bytes], bytes | None
]  # makes the answer to a statement; None: no answer is sent


def single_value_answer(value: bytes, tag: bytes = b"SELECT 1", column: bytes = b"content") -> bytes:
    """The messages of an answer with one value: RowDescription, DataRow and CommandComplete with `tag`."""
    column_type = b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"  # of no table; bytea, in binary
    description = frames.message(b"T", b"\0\x01" + column + b"\0" + column_type)
    return (
        description
        + frames.message(b"D", b"\0\x01" + len(value).to_bytes(4, "big") + value)
        + frames.message(b"C", tag + b"\0")
    )


@dataclass(eq=False)
class PgMember:
    """An emulated PostgreSQL member that listens at `address` (host:port; port 0: a free one) once it is started.

    `primary`: it accepts writes. `answer_delay_seconds`: from a statement to its answer. `store`: values by
    key; a primary and its replicas share one store, so replication takes no time. `lag_seconds`: how far its position
    is behind the clock.
    """

    env: Env
    address: str = "127.0.0.1:0"
    primary: bool = False
    answer_delay_seconds: float = 0.0
    store: dict[bytes, bytes] = field(default_factory=dict)
    lag_seconds: float = 0.0
    on_statement: Callable[[PgMember, bytes], object] = lambda member, statement: None  # called at each
    next_answers: deque[Answer] = field(
        default_factory=deque
    )  # to the next statements, in place of `default_answer`
    statements: list[bytes] = field(default_factory=list)  # all statements, in the order of arrival
    in_flight: int = 0  # statements without an answer, on connections that are open
    probes: int = 0  # count of SHOW usage
    connections: set[_PgPeer] = field(default_factory=set)
    listener: Listener | None = None

    def start(self) -> PgMember:
        """Listen at `address`, and replace it by the real one. Errors: `OSError` if it can't listen."""
        self.listener = self.env.listen(self.address, lambda: _PgPeer(self))
        self.address = self.listener.address
        return self

    def stop(self) -> None:
        """Fail as if the process had died: stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
        for peer in list(self.connections):
            peer.lost("stopped")
            if peer.handle is not None:
                peer.handle.close()

    @property
    def position(self) -> float:
        """The time up to which it has applied all commits."""
        return self.env.now() - self.lag_seconds

    def status_messages(self) -> bytes:
        """ParameterStatus messages with the member's role and its commit clock in milliseconds."""
        return frames.parameter_status(
            "server_role", "writer" if self.primary else "reader"
        ) + frames.parameter_status("commit_clock", str(int(self.position * 1000)))

    def usage_answer(self) -> bytes:
        """The answer to SHOW usage, without ReadyForQuery: position (the clock), role and load."""
        return single_value_answer(
            b"x0=%.3f,x1=%d,outstanding=%d,backlog=0" % (self.position, self.primary, self.in_flight),
            b"SHOW",
            b"usage",
        )

    def default_answer(self, statement: bytes) -> bytes:
        """The usual answer to a statement: a write stores its value and returns it, a read returns the stored one.

        A write at a replica, and a statement without a quoted key, get an ErrorResponse.
        """
        key = re.search(rb"'([^']*)'", statement)
        if key is None:
            return frames.error_response("08P01", "not a statement") + frames.READY_FOR_QUERY
        if statement.startswith(b"INSERT"):
            if not self.primary:
                return (
                    frames.error_response("25006", "this is no primary")
                    + self.status_messages()
                    + frames.READY_FOR_QUERY
                )
            value = re.search(rb"'\\x([0-9a-f]*)'", statement)
            assert value is not None
            self.store[key[1]] = bytes.fromhex(value[1].decode())
            return (
                single_value_answer(self.store[key[1]], b"INSERT 0 1")
                + self.status_messages()
                + frames.READY_FOR_QUERY
            )
        return (
            single_value_answer(self.store.get(key[1], b"none"))
            + self.status_messages()
            + frames.READY_FOR_QUERY
        )


class _PgPeer(Peer):
    """A connection that a PostgreSQL member accepted."""

    def __init__(self, member: PgMember) -> None:
        self.member = member
        self.handle: Handle | None = None
        self.reader = frames.ClientReader(MAX_MESSAGE_BYTES)
        self.in_flight = 0  # statements without an answer
        self.statement_count = 0  # all statements

    def connected(self, handle: Handle) -> None:
        self.handle = handle
        self.member.connections.add(self)

    def data(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            self.answer_messages()
        except frames.FrameError:
            # a server closes such a connection; on loopback it may be a client of whoever had this port before
            self.lost("protocol violation")
            if self.handle is not None:
                self.handle.close()

    def answer_messages(self) -> None:
        """Answer the messages that are complete. Errors: `frames.FrameError`."""
        while (message := self.reader.next()) is not None:
            kind, body = message
            if kind == b"":  # the startup message
                self.reader.started = True
                self.send(frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY)
            elif kind == b"Q" and body == b"SHOW usage\0":
                self.member.probes += 1
                self.send(self.member.usage_answer() + frames.READY_FOR_QUERY)
            elif kind == b"Q":
                self.member.statements.append(body[:-1])
                self.member.on_statement(self.member, body[:-1])
                self.member.in_flight += 1
                self.in_flight += 1
                self.statement_count += 1
                self.schedule_answer(body[:-1])

    def schedule_answer(self, statement: bytes) -> None:
        """Choose how a statement is answered, and answer it after the member's delay."""
        make_answer = (
            self.member.next_answers.popleft() if self.member.next_answers else PgMember.default_answer
        )
        self.member.env.at(
            self.member.env.now() + self.member.answer_delay_seconds,
            lambda: self.answer_statement(make_answer, statement),
        )

    def answer_statement(self, make_answer: Answer, statement: bytes) -> None:
        """Answer a statement, unless the connection is gone. One that gets no answer stays counted as open."""
        if self not in self.member.connections:
            return
        answer = make_answer(self.member, statement)
        if answer is not None:
            self.in_flight -= 1
            self.member.in_flight -= 1
            self.send(answer)

    def send(self, data: bytes) -> None:
        """Send bytes to the client, if the connection is up."""
        if self.handle is not None:
            self.handle.send(data)

    def eof(self) -> None:
        self.lost("closed")
        if self.handle is not None:
            self.handle.close()

    def lost(self, reason: str) -> None:
        if self in self.member.connections:
            self.member.connections.discard(self)
            self.member.in_flight -= self.in_flight


@dataclass(eq=False)
class Catalogue:
    """The emulated catalogue of members: an HTTP server whose clients fetch a snapshot and then watch for changes.

    A watch (`after=REVISION&wait_ms=MILLISECONDS`) is a long poll: it is answered at the next change, or with an empty
    list once the wait is over. `revision`: of the list. `failing`: each call is answered with status 503.
    `sends_whole_lists`: a change is answered with all members.
    """

    env: Env
    address: str = "127.0.0.1:0"
    targets: dict[str, dict[str, object]] = field(default_factory=dict)  # entries by uid
    revision: int = 1
    failing: bool = False
    sends_whole_lists: bool = False
    calls: list[str] = field(default_factory=list)  # path and query of each call
    on_call: Callable[[], None] = lambda: None  # called at each call, before it is answered
    # Long polls without an answer: the connection, and the revision that its client has.
    long_polls: list[tuple[_CataloguePeer, int]] = field(default_factory=list)
    # The revision and the entry of each change.
    changes: list[tuple[int, dict[str, object]]] = field(default_factory=list)
    listener: Listener | None = None

    def start(self) -> Catalogue:
        """Listen at `address`, and replace it by the real one. Errors: `OSError` if it can't listen."""
        self.listener = self.env.listen(self.address, lambda: _CataloguePeer(self))
        self.address = self.listener.address
        return self

    def update(
        self,
        uid: str,
        address: str,
        group: int = 0,
        state: str = "SERVING",
        writes: bool = False,
        boot_ms: int = 0,
    ) -> None:
        """Add a member, change it, or remove it (state DELETED), and answer all long polls.

        `writes`: the member is a primary. `boot_ms`: its start, in milliseconds.
        """
        entry: dict[str, object] = {
            "uid": uid,
            "endpoint": address,
            "az": "a",
            "model": "m",
            "pod_group": group,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
            "access": "writer" if writes else "reader",
        }
        self.revision += 1
        self.changes.append((self.revision, entry))
        if state == "DELETED":
            self.targets.pop(uid, None)
        else:
            self.targets[uid] = entry
        waiting, self.long_polls = self.long_polls, []
        for peer, after in waiting:
            peer.answer(self.news_since(after))

    def snapshot(self) -> dict[str, object]:
        """The snapshot: all members."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    def changes_after(self, after: int) -> dict[str, object]:
        """The delta since revision `after`: the newest entry of each member that changed."""
        changed = {str(entry["uid"]): entry for version, entry in self.changes if version > after}
        return {"rev": self.revision, "all": False, "targets": list(changed.values())}

    def news_since(self, after: int) -> dict[str, object]:
        """The answer to a watch of revision `after` when there is a newer one."""
        return self.snapshot() if self.sends_whole_lists else self.changes_after(after)


class _CataloguePeer(Peer):
    """A connection that the catalogue accepted. It serves HTTP/1.1 GET requests, one after the other."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.handle: Handle | None = None
        self.buffer = b""

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.handle_call(head.split(b" ")[1].decode())

    def handle_call(self, target: str) -> None:
        """Answer a call for the path and query `target`, or keep it waiting if it is a watch without news."""
        catalogue = self.catalogue
        catalogue.calls.append(target)
        catalogue.on_call()
        if catalogue.failing:
            return self.say(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        watch = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
        if watch is None:
            return self.answer(catalogue.snapshot())
        after = int(watch[1])
        if catalogue.revision > after:
            return self.answer(catalogue.news_since(after))
        catalogue.long_polls.append((self, after))
        catalogue.env.at(catalogue.env.now() + int(watch[2]) / 1000, lambda: self.end_long_poll(after))

    def end_long_poll(self, after: int) -> None:
        """Answer a long poll whose wait is over, if it has not been answered yet."""
        if (self, after) in self.catalogue.long_polls:
            self.catalogue.long_polls.remove((self, after))
            self.answer(self.catalogue.changes_after(after))

    def answer(self, content: dict[str, object]) -> None:
        """Answer a call with status 200 and `content` as JSON."""
        body = json.dumps(content).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        self.say(head % len(body) + body)

    def say(self, data: bytes) -> None:
        """Send bytes to the client, if the connection is up."""
        if self.handle is not None:
            self.handle.send(data)

    def eof(self) -> None:
        self.lost("closed")
        if self.handle is not None:
            self.handle.close()

    def lost(self, reason: str) -> None:
        self.catalogue.long_polls = [
            (peer, after) for peer, after in self.catalogue.long_polls if peer is not self
        ]
