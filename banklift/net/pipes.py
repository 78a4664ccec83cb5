"""Non-blocking stream sockets under anyio, on any of its back ends.

`Pipe.send` writes at once what the socket takes and leaves the rest to a task, so that a decision can be carried out
where it is made, without a switch of tasks. Only `anyio.wait_readable` and `wait_writable` wait.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

CHUNK = 256 * 1024  # bytes read at once
HIGH_WATER = 1024 * 1024  # bytes unsent beyond which the other end is a slow reader


class Pipe:
    """One connection. `send` and `close` never wait; `receive` does."""

    __slots__ = ("_closing", "_drained", "_tasks", "_writing", "closed", "sock", "unsent")

    def __init__(self, sock: socket.socket, tasks: TaskGroup) -> None:
        self.sock = sock
        self.unsent = bytearray()
        self.closed = False
        self._tasks = tasks
        self._writing = False
        self._closing = False
        self._drained: anyio.Event | None = None

    def send(self, data: bytes) -> bool:
        """Write or buffer; false if the connection is gone."""
        if self.closed or self._closing:
            return False
        if not self._writing:
            try:
                sent = self.sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self.close()
                return False
            if sent == len(data):
                return True
            data = data[sent:]
            self._writing = True
            self._tasks.start_soon(self._drain)
        self.unsent += data
        return True

    async def _drain(self) -> None:
        try:
            while self.unsent and not self.closed:
                await anyio.wait_writable(self.sock)
                if self.closed:
                    return
                try:
                    del self.unsent[:self.sock.send(memoryview(self.unsent)[:CHUNK].tobytes())]
                except (BlockingIOError, InterruptedError):
                    continue
        except (OSError, ValueError, anyio.ClosedResourceError):
            self.close()
        finally:
            self._writing = False
            if self._drained is not None:
                self._drained.set()
                self._drained = None
        if self._closing:
            self.close()

    async def receive(self) -> bytes:
        """What has come; empty at the end. Errors: `OSError`, `anyio.ClosedResourceError` if it broke or is closed."""
        while True:
            if self.closed:
                raise anyio.ClosedResourceError
            await anyio.wait_readable(self.sock)
            if self.closed:
                raise anyio.ClosedResourceError
            try:
                return self.sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                continue

    async def drained(self) -> None:
        """Wait until the other end has read enough for more to be worth making."""
        while len(self.unsent) > HIGH_WATER and not self.closed:
            self._drained = self._drained or anyio.Event()
            await self._drained.wait()

    def finish(self) -> None:
        """Close it once everything was sent."""
        self._closing = True
        if not self._writing:
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            anyio.notify_closing(self.sock)
            self.sock.close()
            if self._drained is not None:
                self._drained.set()

    def peer(self) -> str:
        """The other end's address, without port."""
        try:
            return str(self.sock.getpeername()[0])
        except OSError:
            return ""


def listen(host: str, port: int, backlog: int = 1024) -> socket.socket:
    """Errors: `OSError` if the address can't be had."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def address_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


async def accept(sock: socket.socket, tasks: TaskGroup, handle: Callable[[Pipe], Coroutine[Any, Any, None]]) -> None:
    """Accept until the listener is closed; each connection is handled in a task of its own."""
    while True:
        try:
            await anyio.wait_readable(sock)
            for _ in range(64):
                client, _ = sock.accept()
                client.setblocking(False)
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                tasks.start_soon(handle, Pipe(client, tasks))
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            continue
        except anyio.ClosedResourceError:
            return
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                await anyio.sleep(0.1)  # out of descriptors: those that are open go on, new ones wait in the backlog
                continue
            return


async def connect(host: str, port: int, tasks: TaskGroup, source: str | None = None) -> Pipe:
    """Errors: `OSError` if nobody takes it."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source is not None:
            sock.setsockopt(socket.IPPROTO_IP, 24, 1)  # IP_BIND_ADDRESS_NO_PORT: the port is chosen at connect
            sock.bind((source, 0))
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
        await anyio.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))
    except BaseException:
        anyio.notify_closing(sock)
        sock.close()
        raise
    return Pipe(sock, tasks)
