"""What routers and aggregators share as members of a fleet: events in, actions out. Pure.

Each event method takes the time on the member's own clock, in seconds, and returns the actions that its environment
(net/fleet.py, or the simulation in virtual time) has to carry out, in order. `due` says when to call `wake`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from banklift.fleet import links
from banklift.fleet.durable import Save
from banklift.fleet.holder import EpochAdopted, LeaseEndChanged
from banklift.fleet.links import Link, Links
from banklift.fleet.messages import Message, Role
from banklift.fleet.plan import Plan
from banklift.fleet.voter import Voter

Action = links.Action | Save | EpochAdopted | LeaseEndChanged


class Member:
    """A member of a fleet, with its links.

    `incarnation`: larger than that of any earlier process of this name. `seed`: of its random numbers. `peers`: members
    that it dials, all of them of `peer_role`. `accepts`: whether other members may dial this one.
    """

    def __init__(
        self,
        plan: Plan,
        role: Role,
        incarnation: int,
        seed: int,
        peers: tuple[str, ...],
        peer_role: Role,
        accepts: bool,
    ) -> None:
        self.plan, self.incarnation = plan, incarnation
        self.voter: Voter | None = None
        self.random = Random(seed)
        self.links = Links(plan, role, incarnation, self.random, peers, peer_role, accepts)
        self.links.owner = self
        self.actions: list[Action] = self.links.actions  # type: ignore[assignment]  # one list keeps the order
        self.inbox: deque[Callable[[], None]] = deque()  # messages to this member itself
        self.now = 0.0
        self._due: float | None = None

    # ---- events

    def start(self, now: float) -> list[Action]:
        """The process has started."""
        self.now = now
        self.links.start(now)
        self._start_parts()
        return self._take_actions()

    def new_link_number(self) -> int:
        """A new number, for a link that another member has dialled."""
        return self.links.new_link_number()

    def accepted(self, now: float, link: int) -> list[Action]:
        """Another member has dialled this one. The link's number comes from `new_link_number`."""
        self.now = now
        self.links.accepted(now, link)
        return self._take_actions()

    def connected(self, now: float, link: int) -> list[Action]:
        """A dialled link is connected."""
        self.now = now
        self.links.connected(now, link)
        return self._take_actions()

    def data(self, now: float, link: int, data: bytes) -> list[Action]:
        """Bytes came on a link."""
        self.now = now
        self.links.data(now, link, data)
        return self._take_actions()

    def lost(self, now: float, link: int, reason: str) -> list[Action]:
        """A link is gone, or could not be connected."""
        self.now = now
        self.links.lost(now, link, reason)
        return self._take_actions()

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        """A write to disk is done; `error` is empty on success."""
        self.now = now
        return self._take_actions()

    def wake(self, now: float) -> list[Action]:
        """`due` has come: run the timers that are over."""
        self.now = now
        self.links.wake(now)
        self._wake_parts()
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Graceful shutdown: give back the leases that the member holds."""
        self.now = now
        return self._take_actions()

    @property
    def due(self) -> float:
        """When `wake` has something to do; may change with each event."""
        if self._due is None:
            self._due = min(self.links.due, self._parts_due())
        return self._due

    # ---- for subclasses

    def _parts_due(self) -> float:
        """When a part of the subclass, other than the links, has something to do."""
        raise NotImplementedError

    def _start_parts(self) -> None:
        """The process has started: start the parts of the subclass."""
        return

    def _wake_parts(self) -> None:
        """Run the timers of the subclass's parts."""
        return

    def link_changed(self, link: Link, up: bool) -> None:
        """A link has been greeted, or a greeted link is gone."""
        raise NotImplementedError

    def message(self, link: Link, message: Message) -> None:
        """Handle a message on a greeted link. Errors: `ProtocolError` if the sender may not send it."""
        raise NotImplementedError

    def ends_on_name_conflict(self) -> bool:
        """Whether a name conflict may still end this program."""
        raise NotImplementedError

    def _take_actions(self) -> list[Action]:
        """Handle the messages to this member itself, then return the actions of this event."""
        while self.inbox:
            self.inbox.popleft()()
        taken = list(self.actions)
        self.actions.clear()
        self._due = None
        return taken
