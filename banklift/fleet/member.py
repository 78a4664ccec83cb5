"""What routers and aggregators have in common as members of a fleet: events in, actions out. Pure.

Each event method takes the time on the member's own clock and returns what its surroundings (net/fleet.py, or
the world in virtual time) are to do, in order. `due` says when `wake` is to be called.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from banklift.fleet import links
from banklift.fleet.durable import Save
from banklift.fleet.holder import EpochAdopted, LeaseExtended
from banklift.fleet.links import Link, Links
from banklift.fleet.messages import Message, Role
from banklift.fleet.plan import Plan
from banklift.fleet.voter import Voter

Action = links.Action | Save | EpochAdopted | LeaseExtended


class Member:
    """`incarnation`: larger than that of any earlier process by this name. `peers`: members that are dialled,
    of `peer_role`. `accepts`: whether others may make links here."""

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
        self.actions: list[Action] = self.links.actions  # type: ignore[assignment]  # one list, so that order is kept
        self.inbox: deque[Callable[[], None]] = deque()  # messages to itself
        self.now = 0.0
        self._due: float | None = None

    # ---- events

    def start(self, now: float) -> list[Action]:
        """The process has started."""
        self.now = now
        self.links.start(now)
        self._started()
        return self._out()

    def number(self) -> int:
        """The number of a link that somebody else has made."""
        return self.links.number()

    def accepted(self, now: float, link: int) -> list[Action]:
        """Somebody has made a link here. Its number comes from `number`."""
        self.now = now
        self.links.accepted(now, link)
        return self._out()

    def connected(self, now: float, link: int) -> list[Action]:
        """A link that was dialled is up."""
        self.now = now
        self.links.connected(now, link)
        return self._out()

    def data(self, now: float, link: int, data: bytes) -> list[Action]:
        """Bytes came on a link."""
        self.now = now
        self.links.data(now, link, data)
        return self._out()

    def lost(self, now: float, link: int, reason: str) -> list[Action]:
        """A link is gone, or could not be made."""
        self.now = now
        self.links.lost(now, link, reason)
        return self._out()

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        """A write to disk is done; `error` is empty if it went well."""
        self.now = now
        return self._out()

    def wake(self, now: float) -> list[Action]:
        """It is `due`."""
        self.now = now
        self.links.wake(now)
        self._woken()
        return self._out()

    def leave(self, now: float) -> list[Action]:
        """Graceful shutdown: give back what it holds."""
        self.now = now
        return self._out()

    @property
    def due(self) -> float:
        """When `wake` has something to do; found anew after each event."""
        if self._due is None:
            self._due = min(self.links.due, self._own_due())
        return self._due

    # ---- for subclasses

    def _own_due(self) -> float:
        """When a part other than the links has something to do."""
        raise NotImplementedError

    def _started(self) -> None:
        return

    def _woken(self) -> None:
        return

    def link_changed(self, link: Link, up: bool) -> None:
        """A greeted link is up, or gone."""
        raise NotImplementedError

    def message(self, link: Link, message: Message) -> None:
        """A message on a greeted link."""
        raise NotImplementedError

    def may_be_ousted(self) -> bool:
        """Whether a clash of names may still end this program."""
        raise NotImplementedError

    def _out(self) -> list[Action]:
        while self.inbox:
            self.inbox.popleft()()
        done = list(self.actions)
        self.actions.clear()
        self._due = None
        return done
