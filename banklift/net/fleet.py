"""A fleet member's node, of a router or an aggregator, on an `Env`: its links, disk and clock."""

from __future__ import annotations

from collections.abc import Callable

from banklift.fleet.actions import LogLine
from banklift.fleet.durable import Save
from banklift.fleet.holder import EpochAdopted, LeaseEndChanged
from banklift.fleet.links import CloseLink, Dial, NameConflict, Write
from banklift.fleet.member import Action, Member
from banklift.net.env import DeadlineTimer, Env, Handle, Peer
from banklift.net.router import Log

SaveCallback = Callable[[str], None]  # gets the error of a write; empty if it succeeded


class FleetHost:
    """Runs `node`: passes it events, and performs the actions that it returns.

    | argument | meaning |
    |---|---|
    | `addresses` | host:port of all members that the node connects to, by name |
    | `listen` | host:port at which it accepts links; None if it accepts none |
    | `save` | writes a record to disk, and calls back with the error, or with an empty text |
    | `adopt_policy` | puts a policy in force in the router's machine: its epoch and text |
    | `extend_lease` | the router may accept requests up to a time; later ones get a retry-after in seconds |
    | `on_refused` | the fleet has refused this process as a member, for a reason |
    | `log` | writes log events |

    An aggregator saves nothing and adopts no policy.

    Errors: `OSError` if the address can't be bound.
    """

    def __init__(
        self,
        env: Env,
        node: Member,
        addresses: dict[str, str],
        listen: str | None,
        save: Callable[[bytes, SaveCallback], None],
        adopt_policy: Callable[[int, bytes], None],
        extend_lease: Callable[[float, float], None],
        on_refused: Callable[[str], None],
        log: Log,
    ) -> None:
        self.env, self.node, self.addresses = env, node, addresses
        self.save, self.log = save, log
        self.adopt_policy, self.extend_lease, self.on_refused = adopt_policy, extend_lease, on_refused
        self.handles: dict[int, Handle] = {}
        self.dead = False
        self.listener = env.listen(listen, lambda: _LinkPeer(self, 0)) if listen is not None else None
        self.timer = DeadlineTimer(env, lambda: float("inf") if self.dead else node.due, self._wake)

    def start(self) -> None:
        """Start the node."""
        self.perform_actions(self.node.start(self.env.now()))

    @property
    def address(self) -> str:
        """Where it listens, as host:port; empty if it doesn't."""
        return self.listener.address if self.listener is not None else ""

    def _wake(self) -> None:
        if not self.dead:
            self.perform_actions(self.node.wake(self.env.now()))

    def perform_actions(self, actions: list[Action]) -> None:
        """Perform the node's actions in order, and schedule its next wake-up."""
        for action in actions:
            match action:
                case Write(link, data):
                    if link in self.handles:
                        self.handles[link].send(data)
                case Dial(link, peer):
                    self.handles[link] = self.env.connect(self.addresses[peer], _LinkPeer(self, link))
                case CloseLink(link):
                    if (handle := self.handles.pop(link, None)) is not None:
                        handle.finish()
                case Save(number, record):
                    self.save(record, lambda error, number=number: self._saved(number, error))  # type: ignore[misc]
                case EpochAdopted(epoch, policy):
                    self.log("policy in force", {"epoch": epoch})
                    self.adopt_policy(epoch, policy)
                case LeaseEndChanged(time, retry_after):
                    self.extend_lease(time, retry_after)
                case NameConflict(reason):
                    self.on_refused(reason)
                case LogLine(event, fields):
                    self.log(event, fields)
        self.timer.reschedule()

    def _saved(self, number: int, error: str) -> None:
        if not self.dead:
            self.perform_actions(self.node.saved(self.env.now(), number, error))

    def leave(self) -> list[Handle]:
        """Graceful shutdown: accept no more requests, release all leases, and do nothing from then on. Returns the
        links on which leases were released; they end by a lingering close, for which the caller may wait."""
        if self.dead:
            return []
        actions = self.node.leave(self.env.now())
        self.perform_actions(actions)
        self.dead = True
        numbers = {action.link for action in actions if isinstance(action, Write)}
        notified = [self.handles.pop(number) for number in sorted(numbers) if number in self.handles]
        for handle in notified:
            handle.finish()
        return notified

    def kill(self) -> None:
        """Simulate SIGKILL, for members that share a process with a test or simulator."""
        self.dead = True
        if self.listener is not None:
            self.listener.close()
        for handle in self.handles.values():
            handle.close()
        self.handles.clear()


class _LinkPeer(Peer):
    """One end of a link. `link` is its number, 0 for a link from another member until it is accepted."""

    def __init__(self, host: FleetHost, link: int) -> None:
        self.host, self.link = host, link

    def connected(self, handle: Handle) -> None:
        host = self.host
        if host.dead:
            handle.close()
        elif self.link:
            host.perform_actions(host.node.connected(host.env.now(), self.link))
        else:
            self.link = host.node.new_link_number()
            host.handles[self.link] = handle
            host.perform_actions(host.node.accepted(host.env.now(), self.link))

    def data(self, data: bytes) -> None:
        if not self.host.dead:
            self.host.perform_actions(self.host.node.data(self.host.env.now(), self.link, data))

    def eof(self) -> None:
        self.lost("closed by the other end")

    def lost(self, reason: str) -> None:
        if (handle := self.host.handles.pop(self.link, None)) is not None:
            handle.close()
        if not self.host.dead:
            self.host.perform_actions(self.host.node.lost(self.host.env.now(), self.link, reason))

    def write_paused(self) -> None:
        """Drop the link: the other end does not read, and unsent messages are too old to be useful."""
        self.lost("the other end does not read")
