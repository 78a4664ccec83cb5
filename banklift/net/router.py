"""A router in its surroundings: carries out what the machine says."""

from __future__ import annotations

import math
from collections.abc import Callable

from banklift.net.env import Alarm, Env, Handle, Peer
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine

Log = Callable[[str, dict[str, object]], None]
BEAT = 0.1  # seconds between looks at whether this process stood still
STALL = 0.3  # seconds between two looks from which it did
# seconds after a stall until what came in meanwhile is begun: clients that left are known by then
SETTLE = 0.01


class RouterHost:
    """Runs one machine at `address`. `log` gets its notes; `source`: local address of links to members; `ask` asks for
    the list of members, its changes from now on or once the whole.

    Errors: `OSError` if the address can't be had.
    """

    def __init__(
        self,
        env: Env,
        machine: Machine,
        address: str,
        log: Log,
        source: str | None = None,
        ask: Callable[[bool], None] = lambda watch: None,
    ) -> None:
        self.env = env
        self.machine = machine
        self.log = log
        self.source = source
        self.ask = ask
        self.clients: dict[int, Handle] = {}
        self.links: dict[int, Handle] = {}
        self.client_ids = 0
        self.dead = False
        self.beat = env.now()
        self.stood_from, self.stood_until = 0.0, -math.inf  # the last stall, and when it was noticed
        self.stalled_until = -math.inf
        self.stalled: list[Callable[[], None]] | None = None  # what has come in meanwhile
        self._heartbeat()
        self.alarm = Alarm(env, self._due, lambda: self.tell(ev.Wake()))
        self.listener = env.listen(address, lambda: _ClientPeer(self))

    @property
    def address(self) -> str:
        return self.listener.address

    def _due(self) -> float:
        return self.machine.wake if self.stalled is None and not self.dead else math.inf

    def tell(self, event: ev.Event) -> None:
        """Tell the machine and do what it says."""
        if self.dead:
            return
        if self.stalled is not None:
            self.stalled.append(lambda: self.tell(event))
            return
        clients, links = self.clients, self.links
        for action in self.machine.handle(self.env.now(), event):
            match action:
                case ev.ToClient(client, data):
                    if client in clients:
                        clients[client].send(data)
                case ev.ToLink(link, data):
                    if link in links:
                        links[link].send(data)
                case ev.OpenLink(link, address):
                    links[link] = self.env.connect(address, _LinkPeer(self, link), self.source)
                case ev.CloseLink(link):
                    if (handle := links.pop(link, None)) is not None:
                        handle.close()
                case ev.CloseClient(client, away):
                    if (handle := clients.pop(client, None)) is not None:
                        handle.finish(away)
                case ev.PauseClient(client):
                    if client in clients:
                        clients[client].pause()
                case ev.ResumeClient(client):
                    if client in clients:
                        clients[client].resume()
                case ev.AskRoster(watch):
                    self.ask(watch)
                case ev.Note(text, fields):
                    self.log(text, fields)
        self.alarm.look()

    def drain(self, end: float) -> None:
        """Answer whatever comes from now on by `end`, seconds on the surroundings' clock."""
        self.tell(ev.Drain(end))

    def leave(self) -> None:
        """Take no more connections but those that were made; close each as soon as nothing is open on it."""
        self.listener.close()
        self.tell(ev.Leave())

    def _heartbeat(self) -> None:
        """Notice that this process stood still: what then comes in may have been sent long ago."""
        if self.dead:
            return
        now = self.env.now()
        if self.stalled is None:
            if now - self.beat > STALL:
                self.stood_from, self.stood_until = self.beat, now
                self.log("stood still", {"seconds": round(now - self.beat, 3)})
            self.beat = now
        self.env.at(now + BEAT, self._heartbeat)

    def arrived(self) -> float | None:
        """When what comes in now may have been sent at the earliest, after a stall; None without one."""
        now = self.env.now()
        if now - self.beat > STALL:
            return self.beat
        return self.stood_from if now < self.stood_until + BEAT else None

    def stall(self, seconds: float) -> None:
        """As by SIGSTOP, for routers that share a process with what watches them."""
        if self.stalled is None:
            self.stalled = []
        self.stalled_until = max(self.stalled_until, self.env.now() + seconds)
        self.env.at(self.stalled_until, self._go_on)

    def _go_on(self) -> None:
        if self.dead or self.env.now() < self.stalled_until:
            return
        missed, self.stalled = self.stalled or [], None
        for call in missed:
            call()
        self.alarm.look()

    def kill(self) -> None:
        """As by SIGKILL, for routers that share a process with what watches them: nothing of it acts any more."""
        self.dead, self.stalled = True, None
        self.listener.close()
        for handle in [*self.clients.values(), *self.links.values()]:
            handle.close()
        self.clients.clear()
        self.links.clear()


class _ClientPeer(Peer):
    __slots__ = ("host", "id", "late")

    def __init__(self, host: RouterHost) -> None:
        self.host = host
        self.id = 0
        self.late: list[bytes] | None = None  # what came in while the process stood still

    def up(self, handle: Handle) -> None:
        self.host.client_ids += 1
        self.id = self.host.client_ids
        self.host.clients[self.id] = handle
        self.host.tell(ev.ClientOpened(self.id))

    def data(self, data: bytes) -> None:
        host = self.host
        if host.stalled is not None:
            host.stalled.append(lambda: self.data(data))
            return
        if self.late is not None:
            self.late.append(data)
            return
        since = host.arrived()
        if since is None:
            host.tell(ev.ClientData(self.id, data))
            return
        self.late = [data]
        host.env.at(host.env.now() + SETTLE, lambda: self._begin(since))

    def _begin(self, since: float) -> None:
        late, self.late = self.late, None
        if late:
            self.host.tell(ev.ClientData(self.id, b"".join(late), since))

    def eof(self) -> None:
        if self.host.stalled is not None:
            self.host.stalled.append(self.eof)
        elif self.late is not None:  # it left while nobody looked
            self.lost("closed")
        else:
            self.host.tell(ev.ClientEof(self.id))

    def half_closed(self) -> None:
        self.host.tell(ev.ClientHalfClosed(self.id))

    def full(self) -> None:
        self.host.tell(ev.ClientFull(self.id))

    def free(self) -> None:
        self.host.tell(ev.ClientFree(self.id))

    def lost(self, reason: str) -> None:
        if self.host.stalled is not None:
            self.host.stalled.append(lambda: self.lost(reason))
            return
        self.late = None
        if (handle := self.host.clients.pop(self.id, None)) is not None:
            handle.close()
            self.host.tell(ev.ClientLost(self.id))


class _LinkPeer(Peer):
    __slots__ = ("host", "id")

    def __init__(self, host: RouterHost, link: int) -> None:
        self.host, self.id = host, link

    def up(self, handle: Handle) -> None:
        self.host.tell(ev.LinkUp(self.id))

    def data(self, data: bytes) -> None:
        self.host.tell(ev.LinkData(self.id, data))

    def eof(self) -> None:
        self.lost("closed by the member")

    def lost(self, reason: str) -> None:
        if (handle := self.host.links.pop(self.id, None)) is not None:
            handle.close()
            self.host.tell(ev.LinkLost(self.id, reason))
