"""The TCP connections and listeners of a `SocketEnv` (net/sockets.py), which tells them their descriptors' events.

When the other end of an accepted connection has closed its side, or is gone, the peer is told even if reading is
paused, and before data that is still unread. No request may be started for a client that has left, however much other
work there is and however long this process was stopped.

A peer is told when its unsent bytes exceed `SocketEnv.slow_reader_bytes`, and again when they have gone down.

A connection that is finished ends by a lingering close. The unsent bytes go out, the sending side is shut down, and the
socket is closed when the other end has closed as well, or after `LINGERING_CLOSE_SECONDS`. The reason is that the
kernel answers unread bytes with a reset, and a reset can destroy an answer that the other end has not read yet. What
the other end sends meanwhile is not read: a request that arrives after the end was not accepted, and its client may
send it again elsewhere. Only with `discard_input`, where the input can't contain a request any more, up to
`DISCARD_LIMIT_BYTES` are read and discarded, so that a client that reads only after it has written everything still
gets its answer.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from fcntl import ioctl
from termios import FIONREAD
from typing import TYPE_CHECKING, Protocol

from banklift.net.env import Peer

if TYPE_CHECKING:
    from banklift.net.sockets import SocketEnv

# most bytes of one read, and of one write of bytes that the kernel did not take at first
IO_CHUNK_BYTES = 64 * 1024
# queued bytes of all connections above which they are written at once; as `slow_reader_bytes`, for one connection
HIGH_WATER_BYTES = 1024 * 1024
LISTEN_BACKLOG = 1024  # connections that the kernel holds until they are accepted
MAX_ACCEPTS_PER_TURN = 16  # connections that a listener accepts before other sockets have their turn
LINGERING_CLOSE_SECONDS = 0.5  # time for the other end to close a finished connection on which all was sent
# time for the other end to read the unsent bytes of a finished connection; clients give up on answers earlier
SLOW_READER_CLOSE_SECONDS = 3.0
DISCARD_LIMIT_BYTES = 256 * 1024  # input of a finished connection that is read and discarded
_unread_count = bytearray(4)  # filled by `ioctl`: bytes that can be read, as an integer of the machine
READABLE, WRITABLE, HALF_CLOSED = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
FAILED = select.EPOLLERR | select.EPOLLHUP  # epoll always reports these, whether they were requested or not
RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_PAUSE_SECONDS = 0.1  # time without accepting after the process ran out of descriptors or memory


class EventHandler(Protocol):
    """Handles the events of one descriptor that is registered with the epoll object."""

    def handle_events(self, events: int) -> None:
        """Handle `events`, a mask of epoll events."""


class SocketHandle:
    """One TCP connection, accepted or outgoing. Implements `Handle`."""

    __slots__ = (
        "_discardable_bytes",
        "_env",
        "_events",
        "_half_close_reported",
        "_is_accepted",
        "_is_connecting",
        "_is_finished",
        "_is_slow_reader",
        "_must_be_quiet",
        "_queued",
        "_sock",
        "_unsent",
        "closed",
        "peer",
    )

    def __init__(self, env: SocketEnv, peer: Peer, sock: socket.socket, connecting: bool) -> None:
        self._env = env
        self.peer = peer
        self._sock = sock
        self._is_connecting = connecting
        self._is_accepted = not connecting
        self._half_close_reported = False  # whether the peer knows that the other end has closed its side
        self._events = 0  # epoll events that are requested; 0: not registered
        self._unsent = bytearray()  # bytes that the kernel did not take yet
        self._queued: list[bytes] = []  # chunks sent since the last flush
        self._is_finished = False
        self._discardable_bytes = 0  # bytes that may still be read and discarded, once it is finished
        self._is_slow_reader = False
        self._must_be_quiet = False  # what is queued is written only if no input is unread
        self.closed = False

    @property
    def all_sent(self) -> bool:
        """Whether the kernel has taken all bytes that were sent."""
        return not self._unsent and not self._queued

    @property
    def source(self) -> str:
        """The other end's address, without port; empty if the connection has broken."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""

    def request_events(self, events: int) -> None:
        """Request these epoll events from now on. With 0 the socket is unregistered, so that not even its end is
        reported."""
        env, registered_events = self._env, self._events
        if events == registered_events:
            return
        fd = self._sock.fileno()
        if not registered_events:
            env.by_fd[fd] = self
            env.epoll.register(fd, events)
        elif not events:
            del env.by_fd[fd]
            env.epoll.unregister(fd)
        else:
            env.epoll.modify(fd, events)
        self._events = events

    def send(self, data: bytes) -> None:
        """Queue `data` for the flush at the end of the batch; nothing if the connection is finished or closed."""
        if self.closed or self._is_finished:
            return
        if not self._queued:
            self._env.queue_flush(self)
        self._queued.append(data)
        self._env.queued_bytes += len(data)

    def send_if_quiet(self, data: bytes) -> None:
        """As `send`, unless input is unread when it is written: `Peer.input_unread` is called then."""
        self._must_be_quiet = True
        self.send(data)

    def _has_unread_input(self) -> bool:
        """Whether the kernel has bytes of the other end that were not read."""
        ioctl(self._sock.fileno(), FIONREAD, _unread_count)
        return any(_unread_count)

    def flush(self) -> None:
        """Write the queued chunks, as far as the socket takes them."""
        if not self._queued:  # `finish` has flushed them already
            return
        if self._must_be_quiet:
            self._must_be_quiet = False
            if not self.closed and self._has_unread_input():
                self._queued.clear()
                self.peer.input_unread()
                return
        data = self._queued[0] if len(self._queued) == 1 else b"".join(self._queued)
        self._queued.clear()
        if self.closed:
            return
        if not self._unsent and not self._is_connecting:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self.fail(str(error))
                return
            if sent == len(data):
                if self._is_finished:
                    self._shut_down_sending()
                return
            data = data[sent:]
            self.request_events(self._events | WRITABLE)
        self._unsent += data
        self._env.unsent_bytes += len(data)
        if (
            len(self._unsent) > self._env.slow_reader_bytes
            and not self._is_slow_reader
            and not self._is_finished
        ):
            self._is_slow_reader = True
            self.peer.write_paused()

    def finish(self, discard_input: bool = False) -> None:
        """End the connection by a lingering close. `discard_input`: read and discard up to `DISCARD_LIMIT_BYTES`
        meanwhile."""
        if self.closed or self._is_finished:
            return
        self._is_finished = True
        self._discardable_bytes = DISCARD_LIMIT_BYTES if discard_input else 0
        if self._queued:
            self.flush()  # at once, as `linger` distinguishes connections with and without unsent bytes
        elif self.all_sent:
            self._shut_down_sending()
        if not self.closed and not self.all_sent:
            self._env.linger(self, SLOW_READER_CLOSE_SECONDS)
            self.request_events(self._events & WRITABLE)

    def _shut_down_sending(self) -> None:
        """Shut down the sending side after the last byte, and wait for the other end to close."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:  # the connection has broken already
            self.close()
            return
        if self._env.linger(self, LINGERING_CLOSE_SECONDS):
            self.request_events(READABLE if self._discardable_bytes else HALF_CLOSED)
        else:
            self.close()

    def close(self) -> None:
        """Close at once; the peer is not told."""
        if not self.closed:
            self.closed = True
            self._env.lingering.pop(self, None)
            self._env.unsent_bytes -= len(self._unsent)
            self._unsent.clear()
            if self._events:
                self._events = 0
                del self._env.by_fd[self._sock.fileno()]
            self._sock.close()  # also unregisters it from the epoll object
            self._env.handles.discard(self)

    def pause(self) -> None:
        """Stop reading. The close of the other end is still reported."""
        if not self.closed and self._events & READABLE:
            self.request_events(self._events & ~READABLE | (0 if self._half_close_reported else HALF_CLOSED))

    def resume(self) -> None:
        """Read again after `pause`."""
        if not self.closed and not self._is_connecting:
            self.request_events(self._events & ~HALF_CLOSED | self._read_events())

    def _read_events(self) -> int:
        """The epoll events that are requested while the connection is read."""
        return READABLE | (HALF_CLOSED if self._is_accepted and not self._half_close_reported else 0)

    def fail(self, reason: str) -> None:
        """Close, and tell the peer that the connection is lost unless it has finished it."""
        if not self.closed:
            self.close()
            if not self._is_finished:
                self.peer.lost(reason)

    def handle_events(self, events: int) -> None:
        """Handle epoll events of the socket."""
        if self._is_connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.fail(errno.errorcode.get(code, "connect failed"))
                return
            self._is_connecting = False
            self.request_events(READABLE | (WRITABLE if self._unsent else 0))
            self.peer.connected(self)
            return
        if events & WRITABLE:
            self._send_unsent()
        if events & ~WRITABLE and not self.closed:
            if self._is_finished and not self._discardable_bytes:
                self.close()
            elif self._is_finished:
                self._read()
            elif events & FAILED and not self._events & READABLE:
                self.fail("connection reset while reading was paused")
            else:
                if events & self._events & HALF_CLOSED:  # reported once; epoll would go on reporting it
                    self._half_close_reported = True
                    self.request_events(self._events & ~HALF_CLOSED)
                    self.peer.half_closed()
                if self._events & READABLE and not self._is_finished:
                    self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(self._env.accepted_read_bytes if self._is_accepted else IO_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.fail(str(error))
            return
        if self._is_finished:
            self._discardable_bytes -= len(data)
            if self._discardable_bytes <= 0 or not data:
                self.close()
        elif data:
            self.peer.data(data)
        else:
            self.request_events(self._events & ~READABLE)
            self.peer.eof()

    def _send_unsent(self) -> None:
        try:
            with memoryview(self._unsent) as view, view[:IO_CHUNK_BYTES] as part:
                sent = self._sock.send(part)
            del self._unsent[:sent]
            self._env.unsent_bytes -= sent
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.fail(str(error))
            return
        if self._is_slow_reader and len(self._unsent) <= self._env.slow_reader_bytes // 2:
            self._is_slow_reader = False
            self.peer.write_resumed()
        if not self._unsent and not self.closed:
            self.request_events(self._events & ~WRITABLE)
            if self._is_finished and not self._queued:
                self._shut_down_sending()


class FailedHandle:
    """A connection for which no descriptor was left. A timer tells its peer soon that it could not be opened."""

    source = ""

    def __init__(self, env: SocketEnv, peer: Peer, reason: str) -> None:
        self.closed = False
        env.at(0.0, lambda: None if self.closed else peer.lost(reason))

    def send(self, data: bytes) -> None:
        """Do nothing."""
        return

    def send_if_quiet(self, data: bytes) -> None:
        """Do nothing."""
        return

    def finish(self, discard_input: bool = False) -> None:
        """Close; the peer is then not told of the failure."""
        self.closed = True

    def close(self) -> None:
        """Close; the peer is then not told of the failure."""
        self.closed = True

    def pause(self) -> None:
        """Do nothing."""
        return

    def resume(self) -> None:
        """Do nothing."""
        return


class SocketListener:
    """Accepts connections on a listening socket. `accept` makes the peer of each. Implements `Listener`."""

    def __init__(self, env: SocketEnv, sock: socket.socket, accept: Callable[[], Peer]) -> None:
        self._env, self._sock, self._create_peer = env, sock, accept
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._fd = sock.fileno()
        self._register()

    def _register(self) -> None:
        if self._sock.fileno() >= 0:
            self._env.by_fd[self._fd] = self
            self._env.epoll.register(self._fd, READABLE)

    def handle_events(self, events: int) -> None:
        """Accept waiting connections, at most `MAX_ACCEPTS_PER_TURN`."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; False if none is waiting, or no descriptor is left for it."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except ConnectionAbortedError:  # its client has left already; others may wait behind it
                continue
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                # open connections go on, and new ones wait in the backlog
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._env.epoll.unregister(self._fd)
                    del self._env.by_fd[self._fd]
                    self._env.at(self._env.now() + ACCEPT_PAUSE_SECONDS, self._register)
                return False
            sock.setblocking(False)
            handle = SocketHandle(self._env, self._create_peer(), sock, False)
            self._env.handles.add(handle)
            handle.request_events(handle._read_events())
            handle.peer.connected(handle)
            return True

    def close(self) -> None:
        """Accept all connections in the backlog, then stop listening. Open connections stay."""
        if self._sock.fileno() >= 0:
            # The kernel resets connections that were not accepted, with the requests that are written on them. More of
            # them may arrive during the loop, so it is bounded by twice the backlog.
            for _ in range(2 * LISTEN_BACKLOG):
                if not self._accept_one():
                    break
            if self._env.by_fd.pop(self._fd, None) is not None:
                self._env.epoll.unregister(self._fd)
            self._sock.close()
