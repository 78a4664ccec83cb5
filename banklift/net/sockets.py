"""The surroundings on sockets, under anyio on any of its back ends.

Theory of operation. One task waits for all sockets at once: they are registered with an epoll object, and anyio waits
until that is readable. What is ready is read and told to its peer, a few sockets at a time; what is sent meanwhile is
gathered and written once for each socket when the few are done. So a request costs no task and no switch of tasks, and
what many answers say to one client goes out in one piece. Before it goes back to the event loop the task polls for
the next event, half a millisecond at most, and for five milliseconds in all. A second task keeps the timers. (Weighed
and measured: docs/router.md.)

Where nothing else needs the event loop (`alone`), the one task waits in the epoll object itself until the next timer,
and gives the loop its turn, for signals, only every `TURN` seconds: system calls cost more than all else there, and
going through the loop takes five for each wait.

That the other end of a connection that was accepted has closed its side, or is gone, is told before what it sent and
was not read yet, also where it is paused, and in each round before all else: a client that leaves is owed nothing, and
nothing may be begun for it, however much else there is to do or however long this process stood still.

A peer is told when what is unsent piles up, and when it has gone down again. That shows when what was gathered is
written, so no more than `HIGH_WATER` is gathered, for all of them together, before the next event is told: else a slow
reader's peer would go on making answers for as long as the round lasts. Everything belongs to the task group.

A connection that is finished ends in order, by a lingering close: what is unsent goes out, the sending side is shut,
and it is closed when the other end has closed as well, or after `LINGERING_CLOSE` seconds. The kernel answers bytes
that nobody reads with a reset, and a reset can destroy an answer that the other end has not read yet. What the other
end still sends is not read: a request that crosses the end was not taken, and who sent it may send it again elsewhere.
Only where nothing can be a request any more (`away`) up to `DISCARD_LIMIT` bytes are read and dropped, so that one who
reads only after writing all gets its answer.
"""

from __future__ import annotations

import errno
import heapq
import math
import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from banklift.net.env import Listener, Peer

CHUNK = 64 * 1024  # bytes read at once
HIGH_WATER = 1024 * 1024  # bytes unsent beyond which the other end is a slow reader
BACKLOG = 1024
AT_ONCE = 16  # sockets served before what they caused is written
MOST_READY = 512  # sockets looked at in a round for those whose other end has gone
# seconds that the next event is waited for in place: going back to the loop costs a fifth of that
BUSY_POLL = 0.0005
SLICE = 0.005  # seconds after which other tasks have their turn
TURN = 0.05  # ... where nothing waits for one: the longest wait in place, should a signal not end it
# seconds in which the other end of a finished connection may end its side, once all was sent
LINGERING_CLOSE = 0.5
# ... and in which it may read what is unsent: longer than anybody waits for an answer
SLOW_READER_CLOSE = 3.0
DISCARD_LIMIT = 256 * 1024  # bytes that are read away of one that is finished
# finished connections that are waited for; they hold descriptors, so beyond that one goes
MOST_LINGERING = 32
TICK = 0.001  # seconds that timers may be late, so that many ring together
BIND_ADDRESS_NO_PORT = 24  # of IP: the port is chosen at connect, so many connections share a source
IN, OUT, GONE = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
BROKEN = select.EPOLLERR | select.EPOLLHUP  # told whether asked for or not
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
PAUSE = 0.1  # seconds without accepting when descriptors run out


class Ready(Protocol):
    """What waits in the epoll object."""

    def ready(self, events: int) -> None: ...


class SocketHandle:
    """One connection."""

    __slots__ = (
        "_accepted",
        "_away",
        "_connecting",
        "_end_told",
        "_env",
        "_events",
        "_finishing",
        "_full",
        "_gathered",
        "_sock",
        "_unsent",
        "closed",
        "peer",
    )

    def __init__(self, env: SocketEnv, peer: Peer, sock: socket.socket, connecting: bool) -> None:
        self._env = env
        self.peer = peer
        self._sock = sock
        self._connecting = connecting
        self._accepted = not connecting
        self._end_told = False  # that the other end has closed its side
        self._events = 0
        self._unsent = bytearray()
        self._gathered: list[bytes] = []
        self._finishing = False
        self._away = 0  # bytes that may still be read away, once it is finished
        self._full = False
        self.closed = False

    @property
    def sent(self) -> bool:
        """Whether all that was to be sent has gone out."""
        return not self._unsent and not self._gathered

    @property
    def source(self) -> str:
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""  # gone already

    def _want(self, events: int) -> None:
        """Hear of these from now on; of nothing at all while it is 0, not even of its end."""
        env, had = self._env, self._events
        if events == had:
            return
        fd = self._sock.fileno()
        if not had:
            env.by_fd[fd] = self
            env.epoll.register(fd, events)
        elif not events:
            del env.by_fd[fd]
            env.epoll.unregister(fd)
        else:
            env.epoll.modify(fd, events)
        self._events = events

    def send(self, data: bytes) -> None:
        if self.closed or self._finishing:
            return
        if not self._gathered:
            self._env.gather(self)
        self._gathered.append(data)
        self._env.piled += len(data)

    def flush(self) -> None:
        """Write what was gathered, as far as the socket takes it."""
        if not self._gathered:  # written already, as it was finished
            return
        data = self._gathered[0] if len(self._gathered) == 1 else b"".join(self._gathered)
        self._gathered.clear()
        if self.closed:
            return
        if not self._unsent and not self._connecting:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self._break(str(error))
                return
            if sent == len(data):
                if self._finishing:
                    self._shut()
                return
            data = data[sent:]
            self._want(self._events | OUT)
        self._unsent += data
        if len(self._unsent) > HIGH_WATER and not self._full and not self._finishing:
            self._full = True
            self.peer.full()

    def finish(self, away: bool = False) -> None:
        if self.closed or self._finishing:
            return
        self._finishing = True
        self._away = DISCARD_LIMIT if away else 0
        if self._gathered:
            self.flush()  # at once, so that what has nothing unsent is known to be such
        elif self.sent:
            self._shut()
        if not self.closed and not self.sent:
            self._env.linger(self, SLOW_READER_CLOSE)
            self._want(self._events & OUT)

    def _shut(self) -> None:
        """All was sent: say so, and wait for the other end."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:  # it has gone already
            self.close()
            return
        if self._env.linger(self, LINGERING_CLOSE):
            self._want(IN if self._away else GONE)
        else:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._env.lingering.pop(self, None)
            if self._events:
                self._events = 0
                del self._env.by_fd[self._sock.fileno()]
            self._sock.close()  # which takes it out of the epoll object too
            self._env.handles.discard(self)

    def pause(self) -> None:
        if not self.closed and self._events & IN:
            self._want(self._events & ~IN | (0 if self._end_told else GONE))

    def resume(self) -> None:
        if not self.closed and not self._connecting:
            self._want(self._events & ~GONE | self._reading())

    def _reading(self) -> int:
        """What is asked of the epoll object while it is read."""
        return IN | (GONE if self._accepted and not self._end_told else 0)

    def _break(self, reason: str) -> None:
        if not self.closed:
            self.close()
            if not self._finishing:
                self.peer.lost(reason)

    def ready(self, events: int) -> None:
        if self._connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._break(errno.errorcode.get(code, "connect failed"))
                return
            self._connecting = False
            self._want(IN | (OUT if self._unsent else 0))
            self.peer.up(self)
            return
        if events & OUT:
            self._drain()
        if events & ~OUT and not self.closed:
            if self._finishing and not self._away:
                self.close()
            elif self._finishing:
                self._read()
            elif events & BROKEN and not self._events & IN:
                self._break("reset while it was not read")
            else:
                if events & self._events & GONE:  # told once, as it stays so
                    self._end_told = True
                    self._want(self._events & ~GONE)
                    self.peer.half_closed()
                if self._events & IN and not self._finishing:
                    self._read()

    def _read(self) -> None:
        try:
            data = self._sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._break(str(error))
            return
        if self._finishing:
            self._away -= len(data)
            if self._away <= 0 or not data:
                self.close()
        elif data:
            self.peer.data(data)
        else:
            self._want(self._events & ~IN)
            self.peer.eof()

    def _drain(self) -> None:
        try:
            with memoryview(self._unsent) as view, view[:CHUNK] as part:
                sent = self._sock.send(part)
            del self._unsent[:sent]
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._break(str(error))
            return
        if self._full and len(self._unsent) <= HIGH_WATER // 2:
            self._full = False
            self.peer.free()
        if not self._unsent and not self.closed:
            self._want(self._events & ~OUT)
            if self._finishing and not self._gathered:
                self._shut()


class NoHandle:
    """A connection for which there was no descriptor: its peer hears that it could not be opened."""

    source = ""

    def __init__(self, env: SocketEnv, peer: Peer, reason: str) -> None:
        self.closed = False
        env.at(0.0, lambda: None if self.closed else peer.lost(reason))

    def send(self, data: bytes) -> None:
        return

    def finish(self, away: bool = False) -> None:
        self.closed = True

    def close(self) -> None:
        self.closed = True

    def pause(self) -> None:
        return

    def resume(self) -> None:
        return


class SocketListener:
    def __init__(self, env: SocketEnv, sock: socket.socket, accept: Callable[[], Peer]) -> None:
        self._env, self._sock, self._accept = env, sock, accept
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._fd = sock.fileno()
        self._register()

    def _register(self) -> None:
        if self._sock.fileno() >= 0:
            self._env.by_fd[self._fd] = self
            self._env.epoll.register(self._fd, IN)

    def ready(self, events: int) -> None:
        for _ in range(AT_ONCE):
            if not self._take():
                return

    def _take(self) -> bool:
        """Take one connection that was made; False if there is none, or no descriptor for it."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except ConnectionAbortedError:  # this one has gone already; others may be behind it
                continue
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in EXHAUSTED:  # the open ones go on, new ones wait in the backlog
                    self._env.epoll.unregister(self._fd)
                    del self._env.by_fd[self._fd]
                    self._env.at(self._env.now() + PAUSE, self._register)
                return False
            sock.setblocking(False)
            handle = SocketHandle(self._env, self._accept(), sock, False)
            self._env.handles.add(handle)
            handle._want(handle._reading())
            handle.peer.up(handle)
            return True

    def close(self) -> None:
        if self._sock.fileno() >= 0:
            # all that were made already are taken, however many: the kernel resets the others with what is written
            # on them. While it runs more may come, so it is bounded by what the backlog can hold twice
            for _ in range(2 * BACKLOG):
                if not self._take():
                    break
            if self._env.by_fd.pop(self._fd, None) is not None:
                self._env.epoll.unregister(self._fd)
            self._sock.close()


class SocketEnv:
    """`tasks` owns every connection and timer; cancelling it closes them all. `clock` tells seconds. `busy_poll`:
    seconds that the next event is waited for in place. `alone`: nothing else needs the event loop but signals."""

    def __init__(
        self,
        tasks: TaskGroup,
        clock: Callable[[], float] = time.monotonic,
        busy_poll: float = BUSY_POLL,
        alone: bool = False,
    ) -> None:
        self.now = clock
        self.busy_poll = busy_poll
        self.epoll = select.epoll()
        self.by_fd: dict[int, Ready] = {}
        self.handles: set[SocketHandle] = set()
        self.lingering: dict[SocketHandle, float] = {}  # finished, not yet closed, in that order: until when
        self.stopping = False
        self._gathered: list[SocketHandle] = []
        self.piled = 0  # bytes gathered by all of them
        self._flush_due = False
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0
        self._sleeping_until = -math.inf
        self._alarm = anyio.Event()
        if alone:
            tasks.start_soon(self._serve_alone)
        else:
            tasks.start_soon(self._serve)
            tasks.start_soon(self._timing)

    async def _serve(self) -> None:
        try:
            while True:
                await anyio.wait_readable(self.epoll)
                end = self.now() + SLICE
                wait = self.busy_poll
                while ready := self.epoll.poll(wait, MOST_READY):
                    # where much is ready, more comes anyway
                    wait = self.busy_poll if len(ready) == 1 else 0.0
                    self._flush_due = True
                    self._serve_batch(ready)
                    self._flush()
                    now = self.now()
                    if self._timers and self._timers[0][0] <= now:
                        self._ring(now)
                    if now >= end:
                        break
        finally:
            self._close()

    async def _serve_alone(self) -> None:
        timers, end = self._timers, 0.0
        try:
            while not self.stopping:
                now = self.now()
                if now >= end:
                    await anyio.lowlevel.checkpoint()
                    now = self.now()
                    end = now + TURN
                wait = min(end, timers[0][0] if timers else end) - now
                self._flush_due = True
                self._serve_batch(self.epoll.poll(max(TICK, wait), MOST_READY))
                self._flush()
                now = self.now()
                if timers and timers[0][0] <= now:
                    self._ring(now)
        finally:
            self._close()

    def _serve_batch(self, ready: list[tuple[int, int]]) -> None:
        """Tell of what is ready: first of other ends that have gone, then of `AT_ONCE` others; the rest stays ready.

        A descriptor that is closed on the way may be another's before its turn has come: what was ready is told to who
        had it when the batch was taken, or to nobody.
        """
        by_fd = self.by_fd
        found = [(fd, events, by_fd.get(fd)) for fd, events in ready]
        gone = [one for one in found if one[1] & GONE]
        others = [one for one in found if not one[1] & GONE]
        for fd, events, reader in gone + others[:AT_ONCE]:
            if reader is not None and by_fd.get(fd) is reader:
                reader.ready(events)
                if self.piled > HIGH_WATER:
                    self._flush(True)

    def _close(self) -> None:
        for listener in [one for one in self.by_fd.values() if isinstance(one, SocketListener)]:
            listener.close()
        for handle in list(self.handles):
            handle.close()
        self.epoll.close()

    def stop(self) -> None:
        """End the one task and with it all connections; for surroundings of their own (`alone`)."""
        self.stopping = True

    def watch(self, fd: int, reader: Ready) -> None:
        """Tell `reader` when `fd`, which stays its own, can be read."""
        self.by_fd[fd] = reader
        self.epoll.register(fd, IN)

    def linger(self, handle: SocketHandle, seconds: float) -> bool:
        """It was finished, and is closed after that time at the latest. False: it is to be closed at once, as too many
        end; those that only wait for the other end make room, before any that has something unsent."""
        self.lingering.pop(handle, None)
        while len(self.lingering) >= MOST_LINGERING:
            spare = handle if handle.sent else next(iter(self.lingering))
            first = next((one for one in self.lingering if one.sent), spare)
            if first is handle:
                return False
            first.close()
        until = self.lingering[handle] = self.now() + seconds
        self.at(until, lambda: handle.close() if self.lingering.get(handle) == until else None)
        return True

    def gather(self, handle: SocketHandle) -> None:
        """It has something to send."""
        self._gathered.append(handle)
        if not self._flush_due:  # sent from outside a round: a timer flushes it at once
            self._flush_due = True
            self.at(0.0, self._flush)

    def _flush(self, go_on: bool = False) -> None:
        """`go_on`: the round is not over."""
        while self._gathered:
            gathered, self._gathered = self._gathered, []
            self.piled = 0
            for handle in gathered:
                handle.flush()
        self._flush_due = go_on

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self._numbers += 1
        heapq.heappush(self._timers, (when, self._numbers, callback))
        if when < self._sleeping_until:
            self._alarm.set()

    def _ring(self, now: float) -> None:
        timers, self._flush_due = self._timers, True
        while timers and timers[0][0] <= now:
            heapq.heappop(timers)[2]()
            if self.piled > HIGH_WATER:
                self._flush(True)
        self._flush()

    async def _timing(self) -> None:
        timers = self._timers
        while True:
            self._ring(self.now())
            self._sleeping_until = timers[0][0] if timers else math.inf
            self._alarm = anyio.Event()
            with anyio.move_on_after(max(TICK, self._sleeping_until - self.now())):
                await self._alarm.wait()
            self._sleeping_until = -math.inf

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # those that are accepted inherit it
            sock.bind((host, int(port)))
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return SocketListener(self, sock, accept)

    def connect(self, address: str, peer: Peer, source: str | None = None) -> SocketHandle | NoHandle:
        host, _, port = address.rpartition(":")
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return NoHandle(self, peer, str(error))
        sock.setblocking(False)
        handle = SocketHandle(self, peer, sock, True)
        self.handles.add(handle)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if source is not None:
                sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
                sock.bind((source, 0))
            code = sock.connect_ex((host, int(port)))
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "connect failed"))
        except OSError as error:
            reason = str(error)
            self.at(0.0, lambda: handle._break(reason))
            return handle
        handle._want(OUT)
        return handle
