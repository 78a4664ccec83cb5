"""A router's machine on an `Env`: passes it events, and performs the actions that it returns."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from banklift.net.env import DeadlineTimer, Handle, LinkHandle, Peer, RouterEnv
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine

Log = Callable[[str, dict[str, object]], None]
STALL_CHECK_INTERVAL_SECONDS = 0.1  # interval of the checks whether this process was stopped
STALL_THRESHOLD_SECONDS = 0.3  # time between two checks above which the process counts as having been stopped


class RouterHost:
    """Runs one machine that listens at `address` (host:port).

    `log` gets the machine's log events. `source` is the local address of links to members. `request_roster` asks for
    the list of members: for its changes from now on if its argument is true, else once for the whole list.

    Errors: `OSError` if the address can't be bound.
    """

    def __init__(
        self,
        env: RouterEnv,
        machine: Machine,
        address: str,
        log: Log,
        source: str | None = None,
        request_roster: Callable[[bool], None] = lambda watch: None,
    ) -> None:
        self.env = env
        self.machine = machine
        self.log = log
        self.source = source
        self.request_roster = request_roster
        self.clients: dict[int, Handle] = {}
        self.links: dict[int, LinkHandle] = {}
        self.last_client_id = 0
        self.dead = False  # killed: nothing acts any more
        self.last_check = env.now()
        self.stall_began = 0.0  # the last check before the last stall
        self.stall_noticed = -math.inf  # the first check after it
        self.frozen_until = -math.inf  # end of a simulated stall
        # events that arrived during a simulated stall; None without one
        self.deferred_calls: list[Callable[[], None]] | None = None
        self._check_for_stall()
        self.timer = DeadlineTimer(env, self._wake_time, lambda: self.handle_event(ev.Wake()))
        self.listener = env.listen(address, lambda: _ClientPeer(self))

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        return self.listener.address

    def _wake_time(self) -> float:
        return self.machine.wake if self.deferred_calls is None and not self.dead else math.inf

    def handle_event(self, event: ev.Event) -> None:
        """Pass `event` to the machine and perform the actions that it returns."""
        if self.dead:
            return
        if self.deferred_calls is not None:
            self.deferred_calls.append(lambda: self.handle_event(event))
            return
        clients, links, memory = self.clients, self.links, self.machine.memory
        memory.unsent_bytes = self.env.unsent_bytes
        for action in self.machine.handle(self.env.now(), event):
            match action:
                case ev.SendToClient(client, data):
                    if client in clients:
                        clients[client].send(data)
                case ev.SendToLink(link, data, only_if_quiet):
                    if link in links:
                        (links[link].send_if_quiet if only_if_quiet else links[link].send)(data)
                case ev.OpenLink(link, address):
                    links[link] = self.env.connect(address, _LinkPeer(self, link), self.source)
                case ev.CloseLink(link):
                    if (link_handle := links.pop(link, None)) is not None:
                        link_handle.close()
                case ev.CloseClient(client, discard_input):
                    if (handle := clients.pop(client, None)) is not None:
                        handle.finish(discard_input)
                case ev.PauseClient(client):
                    if client in clients:
                        clients[client].pause()
                case ev.ResumeClient(client):
                    if client in clients:
                        clients[client].resume()
                case ev.DeferClient(client, sent_at_earliest):
                    self.env.defer(partial(self.handle_event, ev.ClientTurn(client, sent_at_earliest)))
                case ev.RequestRoster(watch):
                    self.request_roster(watch)
                case ev.LogEvent(text, fields):
                    self.log(text, fields)
        self.env.accepted_read_bytes = memory.client_read_bytes
        self.timer.reschedule()

    def drain(self, end: float) -> None:
        """Answer each request that arrives from now on by `end`, in seconds on the clock of `env`."""
        self.handle_event(ev.Drain(end))

    def leave(self) -> None:
        """Stop listening, and close each connection as soon as no request is pending on it."""
        self.listener.close()
        self.handle_event(ev.Stop())

    def _check_for_stall(self) -> None:
        """Notice that this process was stopped: data that arrives next may have been sent long ago."""
        if self.dead:
            return
        now = self.env.now()
        if self.deferred_calls is None:
            if now - self.last_check > STALL_THRESHOLD_SECONDS:
                self.stall_began, self.stall_noticed = self.last_check, now
                self.log("stood still", {"seconds": round(now - self.last_check, 3)})
            self.last_check = now
        self.env.at(now + STALL_CHECK_INTERVAL_SECONDS, self._check_for_stall)

    def earliest_send_time(self) -> float | None:
        """The earliest time at which data that arrives now may have been sent, after a stall; None without one."""
        now = self.env.now()
        if now - self.last_check > STALL_THRESHOLD_SECONDS:
            return self.last_check
        return self.stall_began if now < self.stall_noticed + STALL_CHECK_INTERVAL_SECONDS else None

    def stall(self, seconds: float) -> None:
        """Simulate SIGSTOP and SIGCONT after `seconds`, for routers that share a process with a test or simulator."""
        if self.deferred_calls is None:
            self.deferred_calls = []
        self.frozen_until = max(self.frozen_until, self.env.now() + seconds)
        self.env.at(self.frozen_until, self._unfreeze)

    def _unfreeze(self) -> None:
        if self.dead or self.env.now() < self.frozen_until:
            return
        calls, self.deferred_calls = self.deferred_calls or [], None
        for call in calls:
            call()
        self.timer.reschedule()

    def kill(self) -> None:
        """Simulate SIGKILL, for routers that share a process with a test or simulator: it does nothing from now on."""
        self.dead, self.deferred_calls = True, None
        self.listener.close()
        for handle in [*self.clients.values(), *self.links.values()]:
            handle.close()
        self.clients.clear()
        self.links.clear()


class _ClientPeer(Peer):
    """A client's connection. Passes its events to the machine.

    Input of a client that has left since a stall began is dropped, as it may have been sent long ago. All other input
    is passed on as it arrives: if it were kept until later, reading would not be paused, and handling all of it at once
    would be the next stall.
    """

    __slots__ = ("host", "id", "left_at")

    def __init__(self, host: RouterHost) -> None:
        self.host = host
        self.id = 0
        # when it was first known that the client has closed its side; data that it sent before may be unread
        self.left_at = math.inf

    def connected(self, handle: Handle) -> None:
        self.host.last_client_id += 1
        self.id = self.host.last_client_id
        self.host.clients[self.id] = handle
        self.host.handle_event(ev.ClientOpened(self.id))

    def data(self, data: bytes) -> None:
        host = self.host
        if host.deferred_calls is not None:
            host.deferred_calls.append(lambda: self.data(data))
            return
        sent_at_earliest = host.earliest_send_time()
        if sent_at_earliest is not None and sent_at_earliest <= self.left_at < math.inf:
            self.lost("closed")
        else:
            host.handle_event(ev.ClientData(self.id, data, sent_at_earliest))

    def eof(self) -> None:
        if self.host.deferred_calls is not None:
            self._note_leaving()
            self.host.deferred_calls.append(self.eof)
        else:
            self.host.handle_event(ev.ClientEof(self.id))

    def half_closed(self) -> None:
        self._note_leaving()
        self.host.handle_event(ev.ClientHalfClosed(self.id))

    def _note_leaving(self) -> None:
        self.left_at = min(self.left_at, self.host.env.now())

    def write_paused(self) -> None:
        self.host.handle_event(ev.ClientBacklogged(self.id))

    def write_resumed(self) -> None:
        self.host.handle_event(ev.ClientDrained(self.id))

    def lost(self, reason: str) -> None:
        if self.host.deferred_calls is not None:
            self._note_leaving()
            self.host.deferred_calls.append(lambda: self.lost(reason))
            return
        if (handle := self.host.clients.pop(self.id, None)) is not None:
            handle.close()
            self.host.handle_event(ev.ClientLost(self.id))


class _LinkPeer(Peer):
    """A link to a member. Passes its events to the machine."""

    __slots__ = ("host", "id")

    def __init__(self, host: RouterHost, link: int) -> None:
        self.host, self.id = host, link

    def connected(self, handle: Handle) -> None:
        self.host.handle_event(ev.LinkUp(self.id))

    def data(self, data: bytes) -> None:
        self.host.handle_event(ev.LinkData(self.id, data))

    def input_unread(self) -> None:
        self.host.handle_event(ev.LinkUnclean(self.id))

    def eof(self) -> None:
        self.lost("closed by the member")

    def lost(self, reason: str) -> None:
        if (handle := self.host.links.pop(self.id, None)) is not None:
            handle.close()
            self.host.handle_event(ev.LinkLost(self.id, reason))
