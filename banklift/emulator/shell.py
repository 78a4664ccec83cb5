"""The I/O of an emulated Redis-like member: its sockets and timers, on any `Env` (real sockets or virtual time).

`RespMember` in node.py decides what to do; `MemberHost` passes events to it and carries out its actions.
"""

from __future__ import annotations

from collections.abc import Callable

from banklift.emulator.node import UPSTREAM_ID, MemberAction, RespMember
from banklift.net.env import DeadlineTimer, Env, Handle, Listener, Peer

Tap = Callable[
    [float, str, MemberAction], None
]  # records what a member does: time, name of the member, action


class MemberHost:
    """Runs `member` as a server that listens at `address` (host:port; port 0: a free one).

    `tap` is called for each command that arrives, each write, each answer, each told role, each new history of the log
    and each closed connection.

    Errors: `OSError` if it can't listen at the address.
    """

    def __init__(self, env: Env, member: RespMember, address: str, tap: Tap | None = None) -> None:
        self.env = env
        self.member = member
        self.tap = tap
        self.handles: dict[int, Handle] = {}  # accepted connections by number
        self.upstream: Handle | None = None  # of a replica: its connection to the primary
        self.last_connection_id = UPSTREAM_ID
        self.timer = DeadlineTimer(
            env, lambda: member.next_timer_at, lambda: self.carry_out(member.run_timers(env.now()))
        )
        self.listener: Listener | None = env.listen(address, lambda: _AcceptedPeer(self))  # None: killed
        self.address = self.listener.address

    def carry_out(self, actions: list[MemberAction]) -> None:
        """Carry out the actions that the member returned, and pass to the tap those that only record something."""
        now = self.env.now()
        for action in list(actions):
            if action.kind == "send":
                handle = (
                    self.upstream
                    if action.connection_id == UPSTREAM_ID
                    else self.handles.get(action.connection_id)
                )
                if handle is not None and action.data:
                    handle.send(action.data)
            elif action.kind == "close":
                if action.connection_id == UPSTREAM_ID:
                    self._close_upstream()
                elif (handle := self.handles.pop(action.connection_id, None)) is not None:
                    handle.finish()
                    if self.tap is not None:
                        self.tap(now, self.member.name, action)
            elif action.kind == "connect":
                self._close_upstream()
                self.upstream = self.env.connect(action.data.decode(), _UpstreamPeer(self))
            elif self.tap is not None:
                self.tap(now, self.member.name, action)
        self.timer.reschedule()

    def _close_upstream(self) -> None:
        if self.upstream is not None:
            self.upstream.close()
            self.upstream = None

    def kill(self) -> None:
        """Fail as a process does at SIGKILL: close every connection and stop listening."""
        self.member.killed(self.env.now())
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self._close_upstream()
        for number, handle in list(self.handles.items()):
            handle.close()
            if self.tap is not None:
                self.tap(self.env.now(), self.member.name, MemberAction("close", number))
        self.handles.clear()

    def restart(self, cold_share: float, warm_up_seconds: float, keeps_history: bool = False) -> None:
        """Listen again at the same address after `kill`; nothing if it runs. Arguments: see `RespMember.restarted`.

        Errors: `OSError` if it can't listen at the address.
        """
        if self.listener is None:
            self.listener = self.env.listen(self.address, lambda: _AcceptedPeer(self))
            self.carry_out(self.member.restarted(self.env.now(), cold_share, warm_up_seconds, keeps_history))


class _AcceptedPeer(Peer):
    """A connection that the member accepted, from a client or a replica."""

    __slots__ = ("host", "number")

    def __init__(self, host: MemberHost) -> None:
        self.host = host
        self.number = 0  # of the connection; 0: not up yet

    def connected(self, handle: Handle) -> None:
        host = self.host
        if host.listener is None:
            handle.close()
            return
        host.last_connection_id += 1
        self.number = host.last_connection_id
        host.handles[self.number] = handle
        host.carry_out(host.member.connection_opened(host.env.now(), self.number, handle.source))

    def data(self, data: bytes) -> None:
        if self.number in self.host.handles:
            self.host.carry_out(self.host.member.data_received(self.host.env.now(), self.number, data))

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        host = self.host
        if (handle := host.handles.pop(self.number, None)) is not None:
            handle.close()
            if host.tap is not None:
                host.tap(host.env.now(), host.member.name, MemberAction("close", self.number, b"other end"))
            host.carry_out(host.member.connection_lost(host.env.now(), self.number))


class _UpstreamPeer(Peer):
    """The connection to the primary that a replica follows."""

    __slots__ = ("handle", "host")

    def __init__(self, host: MemberHost) -> None:
        self.host = host
        self.handle: Handle | None = None

    def connected(self, handle: Handle) -> None:
        self.handle = handle
        if self.host.upstream is handle:
            self.host.carry_out(self.host.member.upstream_connected(self.host.env.now()))

    def data(self, data: bytes) -> None:
        if self.host.upstream is self.handle:
            self.host.carry_out(self.host.member.data_received(self.host.env.now(), UPSTREAM_ID, data))

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        host = self.host
        if self.handle is None or host.upstream is self.handle:
            host._close_upstream()
            host.carry_out(host.member.connection_lost(host.env.now(), UPSTREAM_ID))
