"""An aggregator's own lease from a majority of the voters, and what it learns from the voters' answers.

This module does no I/O. All times are seconds on the aggregator's own clock.

The aggregator requests a lease from every voter, as a router does (holder.py). It may grant parts of its lease on
epoch e only within its *window* for e: the time in which a majority of the voters has it under a lease for e,
judged by the newest grant of each.

A window may shrink. While a change of policy takes hold, voters grant short leases, and a newer, shorter grant ends
before an older one. Sub-leases that were cut from the older grant may then end after the new window. Therefore the
aggregator goes on to hold its older grants, and the voters know it from `LeaseRequest.oldest_held`, until everything
that was granted from them ends within the newest windows and `drop_older_grants` is called. New sub-leases are cut from
the newest windows only.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banklift.fleet.holder import Action, Grantor, HeldGrant, LeaseHolder
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Summary
from banklift.fleet.policies import PolicyCache
from banklift.fleet.register import majority


@dataclass(frozen=True, slots=True)
class Window:
    """The time, from `begin` until `end`, in which a majority of the voters has this aggregator under a lease for
    `epoch`."""

    epoch: int
    begin: float
    end: float


@dataclass(frozen=True, slots=True)
class ChangeView:
    """The change of policy under way, from the newest state that any voter told of."""

    version: int = 0  # of that state
    change: str = ""  # id of the change; empty if none is under way
    stage: str = ""
    dry: bool = False  # a dry run: the change is checked, and never takes hold
    subject: str = ""  # digest of the policy of the change


class ParentLease(LeaseHolder):
    """The lease of one aggregator from `voters`.

    `lease`: seconds that a voter's lease lasts while no change is under way. `drift`: bound on the relative rate of two
    clocks, a fraction. `summary`: returns the counts of routers with a sub-lease at the time given, for the requests.
    """

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
        # Accepts every policy: only routers check policies, as an aggregator handles no requests of clients.
        self.policies = PolicyCache(lambda text: ())
        self.epoch_digests: dict[int, str] = {}  # digest of the policy of each epoch that was granted lately
        self.windows: tuple[Window, ...] = ()  # by epoch, in ascending order
        self.view = ChangeView()
        # The verdict of all its routers on the change of `view`, sent to the voters: reasons against the policy, none
        # if all accept; None while it is not known.
        self.verdict: tuple[str, ...] | None = None
        self.now = 0.0  # when the newest request was sent

    # ---- for the aggregator

    def current_window(self, now: float) -> Window | None:
        """The window that `now` lies in, or None."""
        found = [window for window in self.windows if window.begin <= now < window.end]
        assert len(found) <= 1, f"leases for two epochs at a time: {found}"
        return found[0] if found else None

    def coming_window(self, now: float) -> Window | None:
        """The window that begins after `now`, or None."""
        return next((window for window in self.windows if window.begin > now), None)

    def window_end(self, epoch: int) -> float:
        """When the window for the epoch ends; minus infinity if there is no window."""
        return next((window.end for window in self.windows if window.epoch == epoch), -math.inf)

    @property
    def holds_older_grants(self) -> bool:
        """Whether it still holds grants of a voter that has sent a newer one."""
        return any(grantor.oldest_held != grantor.newest_grant.number for grantor in self.grantors.values())

    def drop_older_grants(self) -> None:
        """Hold only the newest grant of each voter; the next request tells the voter."""
        for grantor in self.grantors.values():
            grantor.oldest_held = grantor.newest_grant.number

    def request_all(self, now: float) -> list[Action]:
        """Send a request to every voter now, as there is something to tell them."""
        self.now = now
        for name in self.grantors:
            self._send_request(now, name)
        return self._take_actions(now)

    # ---- hooks of LeaseHolder

    def _send_request(self, now: float, name: str) -> None:
        """Send a request; `_build_request` needs the time of it."""
        self.now = now
        super()._send_request(now, name)

    def _build_request(self, number: int, grantor: Grantor) -> LeaseRequest:
        """The request, with the verdict of all routers and the counts of them."""
        window = self.current_window(self.now)
        answered_change = self.view.change if self.verdict is not None else ""
        return LeaseRequest(
            number,
            grantor.oldest_held,
            window.epoch if window is not None else 0,
            answered_change,
            self.verdict,
            tuple(self.policies.texts),
            self.summary(self.now),
        )

    def _answer_recorded(self, now: float, name: str, previous: HeldGrant, grant: LeaseGrant) -> None:
        """Take over a newer state and the policies that came with the answer, and compute the windows again.

        Unlike a router, an aggregator goes on to hold the older grants until `drop_older_grants`.
        """
        if grant.version > self.view.version:
            self._update_view(grant)
        if self.grantors[name].newest_grant is not previous:
            for epoch, digest in zip((grant.epoch, grant.next_epoch), grant.digests, strict=True):
                if epoch:
                    self.epoch_digests[epoch] = digest
            self.windows = self._compute_windows()
            self._forget_old_epochs()
        for text in grant.policies:
            self.policies.add(text, {self.view.subject, *self.epoch_digests.values()})

    # ---- state of the voters

    def _update_view(self, grant: LeaseGrant) -> None:
        """Take over a newer state; a verdict on another change no longer counts."""
        if grant.change != self.view.change:
            self.verdict = None
        self.view = ChangeView(grant.version, grant.change, grant.stage, grant.dry, grant.change_digest)

    def _forget_old_epochs(self) -> None:
        """Drop the digests of epochs before the oldest window."""
        oldest = min((window.epoch for window in self.windows), default=0)
        self.epoch_digests = {
            epoch: digest for epoch, digest in self.epoch_digests.items() if epoch >= oldest
        }

    # ---- windows

    def _compute_windows(self) -> tuple[Window, ...]:
        grants = [grantor.newest_grant for grantor in self.grantors.values()]
        epochs = sorted({grant.epoch for grant in grants} | {grant.next_epoch for grant in grants})
        found = (self._compute_window(epoch, grants) for epoch in epochs if epoch)
        return tuple(window for window in found if window is not None)

    def _compute_window(self, epoch: int, grants: list[HeldGrant]) -> Window | None:
        """The window for the epoch by these grants, the newest of each voter.

        It begins once the leases of a majority have begun, and ends when fewer than a majority of the leases that
        had begun by then are left. None if fewer than a majority of the voters granted the epoch.
        """
        begins = sorted(grant.start_of(epoch) for grant in grants if grant.end_of(epoch) > -math.inf)
        if len(begins) < self.quorum:
            return None
        begin = begins[self.quorum - 1]
        ends = sorted(
            (grant.end_of(epoch) for grant in grants if grant.start_of(epoch) <= begin), reverse=True
        )
        return Window(epoch, begin, ends[self.quorum - 1])
