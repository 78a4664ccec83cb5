"""The surroundings on sockets, under anyio on any of its back ends.

What is sent is written at once as far as the socket takes it; the rest is left to a task. So a decision is carried out
where it is made, without a switch of tasks. A peer is told when what is unsent piles up, and when it has gone down.
"""

from __future__ import annotations

import errno
import heapq
import math
import socket
import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banklift.net.env import Listener, Peer

CHUNK = 256 * 1024  # bytes read at once
HIGH_WATER = 1024 * 1024  # bytes unsent beyond which the other end is a slow reader
BACKLOG = 1024
BIND_ADDRESS_NO_PORT = 24  # of IP: the port is chosen at connect, so many connections share a source


class SocketHandle:
    """A connected socket and its reading task."""

    __slots__ = ("_env", "_finishing", "_full", "_resumed", "_sock", "_unsent", "_writing", "closed", "peer", "source")

    def __init__(self, env: SocketEnv, peer: Peer) -> None:
        self._env = env
        self.peer = peer
        self.source = ""
        self.closed = False
        self._sock: socket.socket | None = None
        self._unsent = bytearray()
        self._writing = False
        self._finishing = False
        self._full = False
        self._resumed: anyio.Event | None = None

    def send(self, data: bytes) -> None:
        sock = self._sock
        if self.closed or self._finishing or sock is None:
            return
        if not self._writing:
            try:
                sent = sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as error:
                self._break(str(error))
                return
            if sent == len(data):
                return
            data = data[sent:]
            self._writing = True
            self._env.tasks.start_soon(self._drain)
        self._unsent += data
        if len(self._unsent) > HIGH_WATER and not self._full:
            self._full = True
            self._env.at(0.0, self._tell)

    def _tell(self) -> None:
        if not self.closed:
            if self._full:
                self.peer.full()
            else:
                self.peer.free()

    def finish(self) -> None:
        self._finishing = True
        if not self._writing:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self._sock is not None:
                anyio.notify_closing(self._sock)
                self._sock.close()
            self.resume()

    def pause(self) -> None:
        self._resumed = self._resumed or anyio.Event()

    def resume(self) -> None:
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    def _break(self, reason: str) -> None:
        """It broke while something was being done with it: the peer is told afterwards."""
        if not self.closed:
            self.close()
            self._env.at(0.0, lambda: self.peer.lost(reason))

    async def _drain(self) -> None:
        assert self._sock is not None
        try:
            while self._unsent and not self.closed:
                await anyio.wait_writable(self._sock)
                if self.closed:
                    return
                try:
                    del self._unsent[:self._sock.send(memoryview(self._unsent)[:CHUNK].tobytes())]
                except (BlockingIOError, InterruptedError):
                    continue
                if self._full and len(self._unsent) <= HIGH_WATER // 2:
                    self._full = False
                    self._env.at(0.0, self._tell)
        except (OSError, ValueError, anyio.ClosedResourceError) as error:
            self._break(str(error))
        finally:
            self._writing = False
        if self._finishing:
            self.close()

    async def run(self, sock: socket.socket) -> None:
        """Read until the end."""
        self._sock = sock
        if self.closed:
            sock.close()
            return
        try:
            self.source = str(sock.getpeername()[0])
        except OSError:
            self.source = ""  # gone already; reading will tell
        self.peer.up(self)
        while not self.closed:
            try:
                await anyio.wait_readable(sock)
                if self.closed:
                    return
                data = sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                continue
            except (OSError, ValueError, anyio.ClosedResourceError) as error:
                self._break(str(error))
                return
            if not data:
                self.peer.eof()
                return
            self.peer.data(data)
            while self._resumed is not None and not self.closed:
                await self._resumed.wait()


class SocketListener:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        anyio.notify_closing(self.sock)
        self.sock.close()


class SocketEnv:
    """`tasks` owns every connection and timer; cancelling it closes them all. `clock` tells seconds."""

    def __init__(self, tasks: TaskGroup, clock: Callable[[], float] = time.monotonic) -> None:
        self.tasks = tasks
        self.now = clock
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0
        self._sleeping_until = -math.inf
        self._alarm = anyio.Event()
        self._open: set[SocketHandle] = set()
        tasks.start_soon(self._timing)

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self._numbers += 1
        heapq.heappush(self._timers, (when, self._numbers, callback))
        if when < self._sleeping_until:
            self._alarm.set()

    async def _timing(self) -> None:
        timers = self._timers
        while True:
            while timers and timers[0][0] <= self.now():
                heapq.heappop(timers)[2]()
            self._sleeping_until = timers[0][0] if timers else math.inf
            self._alarm = anyio.Event()
            with anyio.move_on_after(max(0.0, self._sleeping_until - self.now())):
                await self._alarm.wait()
            self._sleeping_until = -math.inf

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, int(port)))
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        listener = SocketListener(sock)
        self.tasks.start_soon(self._accept, listener, accept)
        return listener

    async def _accept(self, listener: SocketListener, accept: Callable[[], Peer]) -> None:
        try:
            while True:
                try:
                    await anyio.wait_readable(listener.sock)
                    for _ in range(64):
                        sock, _ = listener.sock.accept()
                        sock.setblocking(False)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        self.tasks.start_soon(self._run, SocketHandle(self, accept()), sock)
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    continue
                except anyio.ClosedResourceError:
                    return
                except (OSError, ValueError) as error:
                    code = getattr(error, "errno", None)
                    if code not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        return
                    await anyio.sleep(0.1)  # out of descriptors: the open ones go on, new ones wait in the backlog
        finally:
            listener.sock.close()

    def connect(self, address: str, peer: Peer, source: str | None = None) -> SocketHandle:
        handle = SocketHandle(self, peer)
        self.tasks.start_soon(self._connect, handle, address, source)
        return handle

    async def _connect(self, handle: SocketHandle, address: str, source: str | None) -> None:
        if handle.closed:
            return
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if source is not None:
                sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
                sock.bind((source, 0))
            code = sock.connect_ex((host, int(port)))
            if code in (0, errno.EINPROGRESS):
                await anyio.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, errno.errorcode.get(code, "connect failed"))
        except OSError as error:
            sock.close()
            if not handle.closed:
                handle.closed = True
                handle.peer.lost(str(error))
            return
        except BaseException:
            sock.close()
            raise
        await self._run(handle, sock)

    async def _run(self, handle: SocketHandle, sock: socket.socket) -> None:
        self._open.add(handle)
        try:
            await handle.run(sock)
        except anyio.get_cancelled_exc_class():
            handle.close()
            raise
        finally:
            self._open.discard(handle)
