"""A member of a fleet in its surroundings: links, disk and clock for a router's or an aggregator's node."""

from __future__ import annotations

from collections.abc import Callable

from banklift.fleet.actions import LogLine
from banklift.fleet.durable import Save
from banklift.fleet.holder import EpochAdopted, LeaseExtended
from banklift.fleet.links import Dial, Ousted, Shut, Write
from banklift.fleet.member import Action, Member
from banklift.net.env import Alarm, Env, Handle, Peer
from banklift.net.router import Log

Saved = Callable[[str], None]


class FleetHost:
    """Runs `node`.

    `addresses`: of all members that it connects to, by name. `listen`: where others make links, None for who takes
    none. `save` writes a record and calls back with what went wrong, or with nothing. `adopt` and `until` tell the
    router's machine under which policy and up to when it may take requests. `ousted` is told when this program can't
    be a part of the fleet. An aggregator saves and adopts nothing.

    Errors: `OSError` if the address can't be had.
    """

    def __init__(
        self,
        env: Env,
        node: Member,
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

    def carry(self, actions: list[Action]) -> None:
        """Do what the node says, in order."""
        for action in actions:
            match action:
                case Write(link, data):
                    if link in self.handles:
                        self.handles[link].send(data)
                case Dial(link, peer):
                    self.handles[link] = self.env.connect(self.addresses[peer], _LinkPeer(self, link))
                case Shut(link):
                    if (handle := self.handles.pop(link, None)) is not None:
                        handle.finish()
                case Save(number, record):
                    self.save(record, lambda error, number=number: self._saved(number, error))  # type: ignore[misc]
                case EpochAdopted(epoch, policy):
                    self.log("policy in force", {"epoch": epoch})
                    self.adopt(epoch, policy)
                case LeaseExtended(time, retry_after):
                    self.until(time, retry_after)
                case Ousted(reason):
                    self.ousted(reason)
                case LogLine(event, fields):
                    self.log(event, fields)
        self.alarm.look()

    def _saved(self, number: int, error: str) -> None:
        if not self.dead:
            self.carry(self.node.saved(self.env.now(), number, error))

    def leave(self) -> list[Handle]:
        """Graceful shutdown: take no more requests, give all leases back, and do nothing from then on. The links on
        which that was said are ended in order; they are returned, so that it can be waited for."""
        if self.dead:
            return []
        actions = self.node.leave(self.env.now())
        self.carry(actions)
        self.dead = True
        numbers = {action.link for action in actions if isinstance(action, Write)}
        told = [self.handles.pop(number) for number in sorted(numbers) if number in self.handles]
        for handle in told:
            handle.finish()
        return told

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
