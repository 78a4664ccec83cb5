"""A router in its surroundings: carries out what the machine says."""

from __future__ import annotations

from collections.abc import Callable

from banklift.net.env import Alarm, Env, Handle, Peer
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine

Log = Callable[[str, dict[str, object]], None]


class RouterHost:
    """Runs one machine at `address`. `log` gets its notes; `source`: local address of links to members.

    Errors: `OSError` if the address can't be had.
    """

    def __init__(self, env: Env, machine: Machine, address: str, log: Log, source: str | None = None) -> None:
        self.env = env
        self.machine = machine
        self.log = log
        self.source = source
        self.clients: dict[int, Handle] = {}
        self.links: dict[int, Handle] = {}
        self.client_ids = 0
        self.alarm = Alarm(env, lambda: machine.wake, lambda: self.tell(ev.Wake()))
        self.listener = env.listen(address, lambda: _ClientPeer(self))

    @property
    def address(self) -> str:
        return self.listener.address

    def tell(self, event: ev.Event) -> None:
        """Tell the machine and do what it says."""
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
                case ev.CloseClient(client):
                    if (handle := clients.pop(client, None)) is not None:
                        handle.finish()
                case ev.PauseClient(client):
                    if client in clients:
                        clients[client].pause()
                case ev.ResumeClient(client):
                    if client in clients:
                        clients[client].resume()
                case ev.Note(text, fields):
                    self.log(text, fields)
        self.alarm.look()

    def kill(self) -> None:
        """As by SIGKILL, for routers that share a process with what watches them."""
        self.listener.close()
        for handle in [*self.clients.values(), *self.links.values()]:
            handle.close()
        self.clients.clear()
        self.links.clear()
        self.alarm.due = lambda: float("inf")


class _ClientPeer(Peer):
    __slots__ = ("host", "id")

    def __init__(self, host: RouterHost) -> None:
        self.host = host
        self.id = 0

    def up(self, handle: Handle) -> None:
        self.host.client_ids += 1
        self.id = self.host.client_ids
        self.host.clients[self.id] = handle
        self.host.tell(ev.ClientOpened(self.id))

    def data(self, data: bytes) -> None:
        self.host.tell(ev.ClientData(self.id, data))

    def eof(self) -> None:
        self.host.tell(ev.ClientEof(self.id))

    def full(self) -> None:
        self.host.tell(ev.ClientFull(self.id))

    def free(self) -> None:
        self.host.tell(ev.ClientFree(self.id))

    def lost(self, reason: str) -> None:
        if self.host.clients.pop(self.id, None) is not None:
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
