"""A router of a fleet in its surroundings: links, disk and clock for fleet/node.py; its leases for the router's
machine."""

from __future__ import annotations

from collections.abc import Callable

from banklift.fleet.actions import LogLine
from banklift.fleet.lease import EpochAdopted, LeaseExtended
from banklift.fleet.node import Action as NodeAction
from banklift.fleet.node import Dial, Node, Ousted, Shut, Write
from banklift.fleet.voter import Save
from banklift.net.env import Alarm, Env, Handle, Peer
from banklift.net.router import Log

Saved = Callable[[str], None]


class FleetHost:
    """Runs `node`. `addresses`: of the voters, by name; `listen`: where others make links, None for who is no voter.
    `save` writes a record and calls back with what went wrong, or nothing; `adopt` and `until` tell the router's
    machine; `ousted` is told when this program can't be a part of the fleet.

    Errors: `OSError` if the address can't be had.
    """

    def __init__(
        self,
        env: Env,
        node: Node,
        addresses: dict[str, str],
        listen: str | None,
        save: Callable[[bytes, Saved], None],
        adopt: Callable[[int, bytes], None],
        until: Callable[[float, float], None],
        ousted: Callable[[str], None],
        log: Log,
    ) -> None:
        self.env, self.node, self.addresses = env, node, addresses
        self.save, self.adopt, self.until, self.ousted, self.log = save, adopt, until, ousted, log
        self.handles: dict[int, Handle] = {}
        self.dead = False
        self.listener = env.listen(listen, lambda: _LinkPeer(self, 0)) if listen is not None else None
        self.alarm = Alarm(env, lambda: float("inf") if self.dead else node.due, self._wake)

    def start(self) -> None:
        self.carry(self.node.start(self.env.now()))

    @property
    def address(self) -> str:
        return self.listener.address if self.listener is not None else ""

    def _wake(self) -> None:
        if not self.dead:
            self.carry(self.node.wake(self.env.now()))

    def carry(self, actions: list[NodeAction]) -> None:
        for action in actions:
            match action:
                case Write(link, data):
                    if link in self.handles:
                        self.handles[link].send(data)
                case Dial(link, voter):
                    self.handles[link] = self.env.connect(self.addresses[voter], _LinkPeer(self, link))
                case Shut(link):
                    if (handle := self.handles.pop(link, None)) is not None:
                        handle.finish()
                case Save(number, record):
                    self.save(record, lambda error, number=number: self._saved(number, error))  # type: ignore[misc]
                case EpochAdopted(epoch, policy):
                    self.log("policy in force", {"epoch": epoch})
                    self.adopt(epoch, policy)
                case LeaseExtended(time, back):
                    self.until(time, back)
                case Ousted(reason):
                    self.ousted(reason)
                case LogLine(event, fields):
                    self.log(event, fields)
        self.alarm.look()

    def _saved(self, number: int, error: str) -> None:
        if not self.dead:
            self.carry(self.node.saved(self.env.now(), number, error))

    def kill(self) -> None:
        """As by SIGKILL, for routers that share a process with what watches them."""
        self.dead = True
        if self.listener is not None:
            self.listener.close()
        for handle in self.handles.values():
            handle.close()
        self.handles.clear()


class _LinkPeer(Peer):
    """One end of a link; `link` 0: it was made from the other end."""

    def __init__(self, host: FleetHost, link: int) -> None:
        self.host, self.link = host, link

    def up(self, handle: Handle) -> None:
        host = self.host
        if host.dead:
            handle.close()
        elif self.link:
            host.carry(host.node.connected(host.env.now(), self.link))
        else:
            self.link = host.node.number()
            host.handles[self.link] = handle
            host.carry(host.node.accepted(host.env.now(), self.link))

    def data(self, data: bytes) -> None:
        if not self.host.dead:
            self.host.carry(self.host.node.data(self.host.env.now(), self.link, data))

    def eof(self) -> None:
        self.lost("closed by the other end")

    def lost(self, reason: str) -> None:
        if (handle := self.host.handles.pop(self.link, None)) is not None:
            handle.close()
        if not self.host.dead:
            self.host.carry(self.host.node.lost(self.host.env.now(), self.link, reason))

    def full(self) -> None:
        """It reads nothing: whatever it is owed is no longer worth keeping."""
        self.lost("it does not read")
