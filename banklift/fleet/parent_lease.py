"""An aggregator's own lease of a majority of voters, and what it learns from them. Pure; times are its own
clock.

It asks every voter, as a router does (holder.py), and may grant parts of its lease on epoch e inside of its
*window* for e: the time in which a majority of voters has it under a lease for e by the newest grant of each.

A window may shrink: while a change takes hold, voters grant short leases, and a newer, shorter grant ends
before an older one. What was granted further on within the older one is still out then. So older grants go on
to be counted, which the voters are told (`held`), until `count_newest` is called, once everything granted
further on ends within the newest windows. New sub-leases only ever come from the newest ones.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banklift.fleet.holder import Action, CountedGrant, Grantor, LeaseHolder
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Summary
from banklift.fleet.policies import PolicyCache
from banklift.fleet.register import majority


@dataclass(frozen=True, slots=True)
class Window:
    """From when until when a majority of voters has this aggregator under a lease for an epoch."""

    epoch: int
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class ChangeView:
    """The change under way in the newest state that any voter told of; no id: there is none."""

    version: int = 0
    change: str = ""
    stage: str = ""
    dry: bool = False
    subject: str = ""  # digest of its policy


class ParentLease(LeaseHolder):
    """`summary`: of the routers that hold a sub-lease, for the voters."""

    def __init__(
        self,
        voters: tuple[str, ...],
        lease: float,
        drift: float,
        random: Random,
        summary: Callable[[float], Summary],
    ) -> None:
        super().__init__(voters, lease, drift, random)
        self.quorum = majority(len(voters))
        self.summary = summary
        self.policies = PolicyCache(lambda text: ())  # routers check; an aggregator serves nothing itself
        self.epochs: dict[int, str] = {}  # digest of the policy of each epoch granted lately
        self.windows: tuple[Window, ...] = ()
        self.view = ChangeView()
        self.verdict: tuple[str, ...] | None = None  # of all its routers, on the change of the view
        self.now = 0.0

    # ---- for the aggregator

    def current(self, now: float) -> Window | None:
        """The window that holds now."""
        found = [one for one in self.windows if one.begin <= now < one.end]
        assert len(found) <= 1, f"leases for two epochs at a time: {found}"
        return found[0] if found else None

    def coming(self, now: float) -> Window | None:
        """The window that begins later."""
        return next((one for one in self.windows if one.begin > now), None)

    def end_of(self, epoch: int) -> float:
        """Until when the newest grants give it this epoch."""
        return next((one.end for one in self.windows if one.epoch == epoch), -math.inf)

    @property
    def counts_older(self) -> bool:
        """Whether grants are counted that newer ones have followed."""
        return any(one.counted_from != one.newest.number for one in self.grantors.values())

    def count_newest(self) -> None:
        """Give up all grants but the newest of each voter."""
        for grantor in self.grantors.values():
            grantor.counted_from = grantor.newest.number

    def request_all(self, now: float) -> list[Action]:
        """Ask every voter now, as there is something to tell them."""
        self.now = now
        for name in self.grantors:
            self._send_request(now, name)
        return self._out(now)

    # ---- what a holder does

    def _send_request(self, now: float, name: str) -> None:
        self.now = now
        super()._send_request(now, name)

    def _request(self, number: int, grantor: Grantor) -> LeaseRequest:
        window = self.current(self.now)
        answered = self.view.change if self.verdict is not None else ""
        return LeaseRequest(
            number,
            grantor.counted_from,
            window.epoch if window is not None else 0,
            answered,
            self.verdict,
            tuple(self.policies.texts),
            self.summary(self.now),
        )

    def _granted(self, now: float, name: str, before: CountedGrant, grant: LeaseGrant) -> None:
        if grant.version > self.view.version:
            self._view(grant)
        if self.grantors[name].newest is not before:
            for epoch, known in zip((grant.epoch, grant.next_epoch), grant.digests, strict=True):
                if epoch:
                    self.epochs[epoch] = known
            self.windows = self._windows()
            self._forget_epochs()
        for text in grant.policies:
            self.policies.keep(text, {self.view.subject, *self.epochs.values()})

    def _view(self, grant: LeaseGrant) -> None:
        """A newer state: what was said of another change counts for nothing."""
        if grant.change != self.view.change:
            self.verdict = None
        self.view = ChangeView(grant.version, grant.change, grant.stage, grant.dry, grant.subject)

    def _forget_epochs(self) -> None:
        oldest = min((one.epoch for one in self.windows), default=0)
        self.epochs = {epoch: known for epoch, known in self.epochs.items() if epoch >= oldest}

    def _windows(self) -> tuple[Window, ...]:
        grants = [one.newest for one in self.grantors.values()]
        epochs = sorted({one.epoch for one in grants} | {one.next_epoch for one in grants})
        found = (self._window(epoch, grants) for epoch in epochs if epoch)
        return tuple(one for one in found if one is not None)

    def _window(self, epoch: int, grants: list[CountedGrant]) -> Window | None:
        """When a majority has begun with the epoch, and until when a majority of these has it."""
        begins = sorted(one.start(epoch) for one in grants if one.end(epoch) > -math.inf)
        if len(begins) < self.quorum:
            return None
        begin = begins[self.quorum - 1]
        ends = sorted((one.end(epoch) for one in grants if one.start(epoch) <= begin), reverse=True)
        return Window(epoch, begin, ends[self.quorum - 1])
