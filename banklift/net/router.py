"""The router on sockets: carries out what the machine says. Clock, seed and addresses are handed in."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from banklift.net.pipes import Pipe, accept, address_of, connect
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine

Log = Callable[[str, dict[str, object]], None]


class RouterShell:
    """Runs one machine. `listener` is open already; `clock` tells seconds; `log` gets the machine's notes."""

    def __init__(self, machine: Machine, listener: socket.socket, clock: Callable[[], float], log: Log,
                 source: str | None = None) -> None:
        self.machine = machine
        self.listener = listener
        self.clock = clock
        self.log = log
        self.source = source
        self.clients: dict[int, Pipe] = {}
        self.links: dict[int, Pipe | None] = {}
        self.paused: dict[int, anyio.Event] = {}
        self.client_ids = 0
        self.sleeping_until = 0.0
        self.alarm = anyio.Event()
        self.tasks: TaskGroup | None = None

    @property
    def address(self) -> str:
        return address_of(self.listener)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self._timer)
            try:
                await accept(self.listener, tasks, self._client)
            finally:
                anyio.notify_closing(self.listener)
                self.listener.close()
                for pipe in [*self.clients.values(), *self.links.values()]:
                    if pipe is not None:
                        pipe.close()

    def tell(self, event: ev.Event) -> None:
        """Tell the machine and do what it says."""
        assert self.tasks is not None
        for action in self.machine.handle(self.clock(), event):
            match action:
                case ev.ToClient(client, data):
                    if (pipe := self.clients.get(client)) is not None:
                        pipe.send(data)
                case ev.ToLink(link, data):
                    if (pipe := self.links.get(link)) is not None:
                        pipe.send(data)
                case ev.OpenLink(link, address):
                    self.links[link] = None
                    self.tasks.start_soon(self._link, link, address)
                case ev.CloseLink(link):
                    if (pipe := self.links.pop(link, None)) is not None:
                        pipe.close()
                case ev.CloseClient(client):
                    if (pipe := self.clients.pop(client, None)) is not None:
                        pipe.finish()
                    if (event_ := self.paused.pop(client, None)) is not None:
                        event_.set()
                case ev.PauseClient(client):
                    self.paused[client] = anyio.Event()
                case ev.ResumeClient(client):
                    if (event_ := self.paused.pop(client, None)) is not None:
                        event_.set()
                case ev.Note(text, fields):
                    self.log(text, fields)
        if self.machine.wake < self.sleeping_until:
            self.alarm.set()

    async def _timer(self) -> None:
        while True:
            self.sleeping_until = self.machine.wake
            self.alarm = anyio.Event()
            with anyio.move_on_after(max(0.0, self.sleeping_until - self.clock())):
                await self.alarm.wait()
            self.sleeping_until = 0.0
            if self.machine.wake <= self.clock():
                self.tell(ev.Wake())

    async def _client(self, pipe: Pipe) -> None:
        self.client_ids += 1
        client = self.client_ids
        self.clients[client] = pipe
        self.tell(ev.ClientOpened(client))
        try:
            while client in self.clients:
                data = await pipe.receive()
                if not data:
                    self.tell(ev.ClientEof(client))
                    return  # what is under way is still answered; a write that fails ends it
                self.tell(ev.ClientData(client, data))
                if (event := self.paused.get(client)) is not None:
                    await event.wait()
                if pipe.unsent:
                    await pipe.drained()
        except (OSError, ValueError, anyio.ClosedResourceError):
            pass
        finally:
            if pipe.closed and self.clients.pop(client, None) is not None:
                self.tell(ev.ClientLost(client))

    async def _link(self, link: int, address: str) -> None:
        host, _, port = address.rpartition(":")
        assert self.tasks is not None
        try:
            pipe = await connect(host, int(port), self.tasks, self.source)
        except OSError as error:
            if self.links.pop(link, self) is None:
                self.tell(ev.LinkLost(link, str(error)))
            return
        if link not in self.links:  # no longer wanted
            pipe.close()
            return
        self.links[link] = pipe
        reason = "closed by the member"
        self.tell(ev.LinkUp(link))
        try:
            while data := await pipe.receive():
                self.tell(ev.LinkData(link, data))
        except (OSError, ValueError, anyio.ClosedResourceError) as error:
            reason = str(error) or "closed"
        pipe.close()
        if self.links.pop(link, None) is not None:
            self.tell(ev.LinkLost(link, reason))
