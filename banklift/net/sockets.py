"""`Env` on real sockets, under anyio with any of its back ends.

Theory of operation. One task serves all sockets. They are registered with an epoll object, and anyio waits until that
object is readable. Sockets that are ready are read in small batches and their data is passed to their peers. What the
peers send is queued and written once for each socket at the end of the batch. So a request costs neither a task nor a
task switch, and many answers to one client go out in one write. Before the task returns to the event loop it polls for
the next event, for at most half a millisecond at a time and five milliseconds in all. A second task runs the timers.
docs/router.md has the measurements behind this design.

With `exclusive_loop`, nothing else needs the event loop. One task then waits in the epoll object itself until the next
timer is due, and yields to the event loop, which handles signals, only every `EVENT_LOOP_INTERVAL_SECONDS`. System
calls are the largest cost here, and a wait that goes through the event loop takes five of them.

Every socket that is ready gets its turn before any other gets a second one: sockets that a batch has no room for come
first in the next batch. epoll alone doesn't ensure that, as it reports sockets that stay ready in the same order again.
A turn is one read, and its peer may leave a part of the work for later (`defer`). A batch does only a few such calls,
each deferred in an earlier batch, so work that arrives in bulk doesn't hold up the sockets.

When the other end of an accepted connection has closed its side, or is gone, the peer is told in each batch before all
other events, even if reading is paused and before data that is still unread. No request may be started for a client
that has left, however much other work there is and however long this process was stopped.

A peer is told when its unsent bytes exceed `HIGH_WATER_BYTES`, and again when they have gone down. That becomes known
only when the queues are written. So at most `HIGH_WATER_BYTES`, for all connections together, are queued before the
next event is handled; otherwise a slow reader's peer would go on making answers until the end of the batch.

All connections and timers belong to the task group.

Connections and listeners themselves are in net/connections.py.
"""

from __future__ import annotations

import errno
import heapq
import math
import select
import socket
import time
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banklift.net.connections import (
    HALF_CLOSED,
    HIGH_WATER_BYTES,
    IO_CHUNK_BYTES,
    LISTEN_BACKLOG,
    READABLE,
    WRITABLE,
    EventHandler,
    FailedHandle,
    SocketHandle,
    SocketListener,
)
from banklift.net.env import Listener, Peer
from banklift.net.loop_load import LoopLoad

MAX_SOCKETS_PER_BATCH = 16  # sockets whose events are handled before the queued answers are written
MAX_DEFERRED_CALLS_PER_BATCH = 4  # deferred calls that are made between two polls
MAX_POLLED_SOCKETS = 512  # sockets that one poll may report, among which closed ones are handled first
# longest poll for the next event before the task returns to the event loop, which costs a fifth of this time
BUSY_POLL_SECONDS = 0.0005
TIME_SLICE_SECONDS = 0.005  # time after which the task that serves the sockets yields to other tasks
EVENT_LOOP_INTERVAL_SECONDS = 0.05  # with `exclusive_loop`: longest time between two turns of the event loop
# finished connections that wait for the other end; bounded, as each holds a descriptor
MAX_LINGERING_CONNECTIONS = 32
TIMER_RESOLUTION_SECONDS = 0.001  # timers may be this late, so that several of them run in one wake-up
# Linux socket option: the local port is chosen at connect, so that many connections can share a source address
IP_BIND_ADDRESS_NO_PORT = 24

ReadySocket = tuple[int, int, EventHandler | None]  # descriptor, epoll events, and who handles them


class SocketEnv:
    """Sockets and timers on an epoll object. Implements `Env`.

    `tasks` owns every connection and timer; cancelling it closes them all. `clock` returns seconds. `busy_poll` is the
    time in seconds for which the next event is polled for before the task returns to the event loop. `exclusive_loop`
    says that nothing but signals needs the event loop, so that one task can wait in the epoll object itself.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        clock: Callable[[], float] = time.monotonic,
        busy_poll: float = BUSY_POLL_SECONDS,
        exclusive_loop: bool = False,
    ) -> None:
        self.now = clock
        self.busy_poll = busy_poll
        self.epoll = select.epoll()
        self.by_fd: dict[int, EventHandler] = {}
        self.handles: set[SocketHandle] = set()
        self.lingering: dict[
            SocketHandle, float
        ] = {}  # when each finished connection is closed; oldest first
        self.load = LoopLoad()
        self.stopping = False
        # descriptors that were ready and got no turn yet, the longest waiting first
        self._postponed: list[int] = []
        self._deferred: deque[Callable[[], None]] = deque()
        self._to_flush: list[SocketHandle] = []
        self.queued_bytes = 0  # bytes that all connections have queued since the last flush
        self.unsent_bytes = 0  # bytes of all connections that the kernel did not take at the last flush
        self.accepted_read_bytes = IO_CHUNK_BYTES
        # unsent bytes of a connection above which the other end is a slow reader
        self.slow_reader_bytes = HIGH_WATER_BYTES
        self._flush_scheduled = False  # whether the end of a batch or a timer will flush
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_count = 0  # orders timers of one time by their creation
        self._sleeping_until = -math.inf
        self._earlier_timer_added = anyio.Event()
        if exclusive_loop:
            tasks.start_soon(self._serve_in_one_task)
        else:
            tasks.start_soon(self._serve)
            tasks.start_soon(self._run_timers)

    async def _serve(self) -> None:
        """Serve all sockets in batches, while `_run_timers` runs in a task of its own.

        A return to the event loop is costly, so the epoll object is polled for more events first, for at most
        `TIME_SLICE_SECONDS`: other tasks must get their turn too. Timers that fall due meanwhile are run here, as
        `_run_timers` would have to wait for the end of the slice.
        """
        try:
            while True:
                if self._deferred:
                    await anyio.lowlevel.checkpoint()
                else:
                    await anyio.wait_readable(self.epoll)
                end = self.now() + TIME_SLICE_SECONDS
                wait = 0.0 if self._deferred else self.busy_poll
                while (ready := self.epoll.poll(wait, MAX_POLLED_SOCKETS)) or self._deferred:
                    self._run_batch(ready)
                    # with several sockets ready, more are likely to be by the next poll, so it need not wait
                    wait = self.busy_poll if len(ready) <= 1 and not self._deferred else 0.0
                    now = self.now()
                    if self._timers and self._timers[0][0] <= now:
                        self._run_due_timers(now)
                    if now >= end:
                        break
        finally:
            self._close()

    async def _serve_in_one_task(self) -> None:
        """Serve all sockets and timers until `stop`, with `exclusive_loop`.

        Nothing else needs the event loop, so the task blocks in the epoll object until the next event or timer, which
        takes fewer system calls than a wait in the event loop. It yields every `EVENT_LOOP_INTERVAL_SECONDS`, so that
        signals and cancellation are handled.
        """
        timers, end = self._timers, 0.0
        try:
            while not self.stopping:
                now = self.now()
                if now >= end:
                    await anyio.lowlevel.checkpoint()
                    now = self.now()
                    end = now + EVENT_LOOP_INTERVAL_SECONDS
                wait = max(TIMER_RESOLUTION_SECONDS, min(end, timers[0][0] if timers else end) - now)
                ready = self.epoll.poll(0.0 if self._deferred else wait, MAX_POLLED_SOCKETS)
                self._run_batch(ready)
                now = self.now()
                if timers and timers[0][0] <= now:
                    self._run_due_timers(now)
        finally:
            self._close()

    def _run_batch(self, ready: list[tuple[int, int]]) -> None:
        """Serve sockets, make the calls that were deferred in earlier batches, then write what all of them sent."""
        self._flush_scheduled = True
        # a call that is deferred in this batch waits for the next one, so the sockets that are ready then come first
        due_calls = len(self._deferred)
        if ready or due_calls or self._postponed:
            self.load.batch_began(self.now())
            self._serve_sockets(ready)
            self._call_deferred(due_calls)
            self.load.batch_ended(self.now(), self._postponed)
        self._flush()

    def _serve_sockets(self, ready: list[tuple[int, int]]) -> None:
        """Handle all closes by other ends, then up to `MAX_SOCKETS_PER_BATCH` other sockets. The rest stays ready, is
        reported by the next poll, and comes first then.

        A descriptor may be closed and reused by another connection during the batch. So an event is handled only if
        its descriptor still belongs to the handler that had it when the batch was polled.
        """
        by_fd, load, clock = self.by_fd, self.load, self.now
        found = [(fd, events, by_fd.get(fd)) for fd, events in ready]
        half_closed = [one for one in found if one[1] & HALF_CLOSED]
        others = self._by_waiting_time([one for one in found if not one[1] & HALF_CLOSED])
        for fd, events, handler in half_closed + others[:MAX_SOCKETS_PER_BATCH]:
            if handler is not None and by_fd.get(fd) is handler:
                handler.handle_events(events)
                self._flush_if_many_bytes()
            load.turn_ended(fd, clock())
        self._postponed = [fd for fd, _, _ in others[MAX_SOCKETS_PER_BATCH:]]

    def _by_waiting_time(self, ready: list[ReadySocket]) -> list[ReadySocket]:
        """Order ready sockets: first those that got no turn in earlier batches, the longest waiting one first."""
        if not self._postponed:
            return ready
        found = {one[0]: one for one in ready}
        waited = [found.pop(fd) for fd in self._postponed if fd in found]
        return waited + list(found.values())

    def defer(self, callback: Callable[[], None]) -> None:
        """Call `callback` soon, in turns with the sockets that are ready."""
        self._deferred.append(callback)
        self._schedule_flush()

    def _call_deferred(self, due_calls: int) -> None:
        """Make the oldest `due_calls` deferred calls, at most `MAX_DEFERRED_CALLS_PER_BATCH`."""
        for _ in range(min(MAX_DEFERRED_CALLS_PER_BATCH, due_calls)):
            self._deferred.popleft()()
            self._flush_if_many_bytes()

    def _close(self) -> None:
        """Close all listeners, then all connections and the epoll object, when the serving task ends."""
        for listener in [one for one in self.by_fd.values() if isinstance(one, SocketListener)]:
            listener.close()
        for handle in list(self.handles):
            handle.close()
        self.epoll.close()

    def stop(self) -> None:
        """End the task that serves all sockets, and with it all connections. Only with `exclusive_loop`."""
        self.stopping = True

    def watch(self, fd: int, reader: EventHandler) -> None:
        """Call `reader.handle_events` whenever `fd` is readable. The caller still owns `fd`."""
        self.by_fd[fd] = reader
        self.epoll.register(fd, READABLE)

    def linger(self, handle: SocketHandle, seconds: float) -> bool:
        """Close a finished connection after `seconds` at the latest.

        Where `MAX_LINGERING_CONNECTIONS` are waiting already, one of them is closed first: the oldest with all sent,
        else the oldest of all. Returns False, and does nothing, where that one is `handle` itself: it has no unsent
        bytes, and all the others have; the caller closes it.
        """
        self.lingering.pop(handle, None)
        while len(self.lingering) >= MAX_LINGERING_CONNECTIONS:
            fallback = handle if handle.all_sent else next(iter(self.lingering))
            evicted = next((one for one in self.lingering if one.all_sent), fallback)
            if evicted is handle:
                return False
            evicted.close()
        until = self.lingering[handle] = self.now() + seconds
        self.at(until, lambda: handle.close() if self.lingering.get(handle) == until else None)
        return True

    def queue_flush(self, handle: SocketHandle) -> None:
        """Flush `handle` at the end of the current batch, or at once from a timer if none is running."""
        self._to_flush.append(handle)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Wake the task that runs timers, unless a batch or timers are running already."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.at(0.0, self._flush)

    def _flush(self, batch_continues: bool = False) -> None:
        """Write what all connections have queued. `batch_continues`: the batch will flush again at its end."""
        while self._to_flush:
            handles, self._to_flush = self._to_flush, []
            self.queued_bytes = 0
            for handle in handles:
                handle.flush()
        self._flush_scheduled = batch_continues

    def _flush_if_many_bytes(self) -> None:
        """Write what is queued before the next event is handled, if that is over `HIGH_WATER_BYTES`."""
        if self.queued_bytes > HIGH_WATER_BYTES:
            self._flush(batch_continues=True)

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `when`, seconds on `now`'s clock, or soon if that has passed. Not cancellable."""
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self._timer_count, callback))
        if when < self._sleeping_until:
            self._earlier_timer_added.set()

    def _run_due_timers(self, now: float) -> None:
        """Call every timer that is due at `now`, in order, then flush.

        What the timers send is written once at the end, or earlier if more than `HIGH_WATER_BYTES` are queued. So
        `queue_flush` need not add a timer for it.
        """
        timers, self._flush_scheduled = self._timers, True
        while timers and timers[0][0] <= now:
            heapq.heappop(timers)[2]()
            self._flush_if_many_bytes()
        self._flush()
        self.load.timers_ended(now, self.now())

    async def _run_timers(self) -> None:
        """Run due timers, then sleep until the next one or until `at` adds an earlier one.

        `_sleeping_until` is minus infinity while the task is awake, so that `at` sets the event only if it must wake
        the task. The sleep lasts `TIMER_RESOLUTION_SECONDS` at least, so that timers close together share one wake-up.
        """
        timers = self._timers
        while True:
            self._run_due_timers(self.now())
            if self._deferred:
                self._flush_scheduled = True
                self._call_deferred(len(self._deferred))
                self._flush()
            self._sleeping_until = self.now() if self._deferred else timers[0][0] if timers else math.inf
            self._earlier_timer_added = anyio.Event()
            with anyio.move_on_after(max(TIMER_RESOLUTION_SECONDS, self._sleeping_until - self.now())):
                await self._earlier_timer_added.wait()
            self._sleeping_until = -math.inf

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        """Listen on `address` (host:port); `accept` makes the peer of each accepted connection.

        Errors: `OSError` if the address can't be bound.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted sockets inherit it
            sock.bind((host, int(port)))
            sock.listen(LISTEN_BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return SocketListener(self, sock, accept)

    def connect(self, address: str, peer: Peer, source: str | None = None) -> SocketHandle | FailedHandle:
        """Start to connect to `address` (host:port), from the local address `source` if given. A failure is told to
        `peer.lost`, never raised."""
        host, _, port = address.rpartition(":")
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return FailedHandle(self, peer, str(error))
        sock.setblocking(False)
        handle = SocketHandle(self, peer, sock, True)
        self.handles.add(handle)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if source is not None:
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                sock.bind((source, 0))
            code = sock.connect_ex((host, int(port)))
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "connect failed"))
        except OSError as error:
            reason = str(error)
            self.at(0.0, lambda: handle.fail(reason))
            return handle
        handle.request_events(WRITABLE)
        return handle
