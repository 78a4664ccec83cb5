"""A lease aggregator: it holds a lease from a majority of the voters, and grants parts of it to routers.

This module does no I/O. All times are seconds on the aggregator's own clock.

Why two epochs are never served at one time, also through aggregators:

1. A voter never has leases on two epochs outstanding at one time (lease_table.py), and any two majorities share a
   voter. So no two lease holders have a majority for different epochs at one moment.
2. A window is a time in which a majority of the voters has this aggregator under a lease for one epoch. It is
   measured on the aggregator's clock: grants count from their request and end `drift` of their length early, and the
   next epoch begins `drift` late (holder.py).
3. A sub-lease is granted only if it fits into the window even when made longer by `drift`. The router counts it from
   its request, which was sent before the grant, and ends it `drift` early on its own clock; a sub-lease on the next
   epoch begins `drift` late.
4. So each sub-lease lies within the window that it was cut from, whichever of the three clocks is slow or fast.
5. The grants that a window was made from stay outstanding at the voters as long as this aggregator holds them. It
   gives a grant up only once all outstanding sub-leases end within the windows of the newer grants
   (`_drop_older_grants`).
6. An aggregator that was killed has lost its table of sub-leases, but the voters still know its lease. Its next
   incarnation is another holder, and no change takes hold before the old incarnation's lease has ended, which
   contains all sub-leases cut from it.
7. Hence whoever serves epoch e does so at a moment at which a majority of the voters has e outstanding.

Sealing. A change is agreed only once a majority of the voters has heard from each of their holders that it accepts.
This aggregator accepts only when every router with a sub-lease has accepted. From then on it grants no sub-lease to
other routers, until it learns of a newer state without the change. An aggregator without routers accepts at once.

Stages of a change at this aggregator:

| stage | event | next stage | action |
| --- | --- | --- | --- |
| none | a grant tells of a change | checking | routers with a sub-lease are told to renew |
| checking | all routers have accepted, or hold no sub-lease any more | sealed | every voter is told |
| checking | one refused; all others answered, or `REFUSAL_GRACE_SECONDS` passed | refused | voters get the reasons |
| sealed | the voters grant short leases | closing | routers are told to renew, and get short sub-leases |
| closing | all sub-leases end within the newest windows | closed | every voter is told that older grants are dropped |
| closed | a majority has told when the next epoch begins | switching | routers are told to renew |
| any | a newer state without the change | none | - |
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from banklift.fleet import holder
from banklift.fleet.holder_table import HolderEntry
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow, Summary
from banklift.fleet.parent_lease import ChangeView, ParentLease
from banklift.fleet.state import Stage
from banklift.fleet.sub_lease_table import SubLeaseTable, Terms, build_grant

REFUSAL_GRACE_SECONDS = 0.3  # seconds after the first refusal in which other routers may still answer
REPORT_INTERVAL_SECONDS = 0.5  # seconds between reports to the voters while routers have not answered
SUMMARY_MAX_AGE_SECONDS = 0.1  # seconds for which the counts for the voters are reused


@dataclass(frozen=True, slots=True)
class AnnounceRenewal:
    """Tell routers to renew: those with a sub-lease, or with `everyone` all that are linked. With `check` there is a
    change to check, and the message to each is `Aggregator.change_news`."""

    everyone: bool = False
    check: bool = False


Action = holder.Action | AnnounceRenewal


class Aggregator:
    """The leases of one aggregator, towards voters and routers.

    `lease`: seconds that a voter's lease lasts while no change is under way. `sub_lease`: seconds that a sub-lease
    lasts at most. `drift`: bound on the relative rate of two clocks, a fraction. Each event method takes the time of
    the event and returns the actions to perform, in order.
    """

    def __init__(
        self, voters: tuple[str, ...], lease: float, sub_lease: float, drift: float, random: Random
    ) -> None:
        self.parent = ParentLease(voters, lease, drift, random, self._summary)
        self.table = SubLeaseTable(sub_lease, drift)
        self.applied_view = ChangeView()  # the view of the parent lease that was acted upon last
        self.first_refusal_at = math.inf  # when a router first refused the change under way
        self.next_report_at = math.inf  # when the voters are next told which routers have not answered
        # Routers were told to renew, as some sub-leases end after the newest windows.
        self.waits_for_renewals = False
        self.announced_epoch = 0  # the coming epoch that routers were told of last
        self.had_lease = False  # whether there was a current or a coming window at the last event
        self.summary = Summary(0, 0, 0)
        self.summary_at = -math.inf  # when `summary` was made
        self.actions: list[Action] = []

    # ---- events: voters

    def voter_up(self, now: float, voter: str) -> list[Action]:
        """The link to a voter is up."""
        return self._advance(now, self.parent.link_up(now, voter))

    def voter_down(self, now: float, voter: str) -> list[Action]:
        """The link to a voter is down."""
        return self._advance(now, self.parent.link_down(now, voter))

    def renew_now(self, now: float, voter: str, news: RenewNow) -> list[Action]:
        """A voter asks for a new request, as something has changed."""
        return self._advance(now, self.parent.renew_now(now, voter, news))

    def granted(self, now: float, voter: str, grant: LeaseGrant) -> list[Action]:
        """A voter answered a request."""
        return self._advance(now, self.parent.granted(now, voter, grant))

    # ---- events: routers

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest
    ) -> tuple[LeaseGrant | None, list[Action]]:
        """A router requests a sub-lease. Returns the answer and the actions; no answer if the request is late or
        duplicated."""
        parent = self.parent
        terms = Terms(parent.current_window(now), parent.coming_window(now), self.applied_view)
        answer = self.table.request(now, name, incarnation, request, terms)
        grant = None
        if answer is not None:
            epochs = [window.epoch if window is not None else 0 for window in (terms.current, terms.coming)]
            digests = parent.epoch_digests.get(epochs[0], ""), parent.epoch_digests.get(epochs[1], "")
            texts = self._missing_policies(request.known_policies, {*digests, self.applied_view.subject})
            grant = build_grant(request, answer, self.applied_view, digests, texts)
        return grant, self._advance(now, [])

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> list[Action]:
        """A router releases its sub-leases."""
        self.table.release(now, name, incarnation, release)
        return self._advance(now, [])

    def change_news(self, entry: HolderEntry) -> RenewNow:
        """The message that tells a router of the change to check, with the policy's text if the router lacks it."""
        view = self.applied_view
        return RenewNow(
            view.change, view.subject, self._missing_policies(entry.held_policies, {view.subject})
        )

    def _missing_policies(self, held: tuple[str, ...], needed: set[str]) -> tuple[bytes, ...]:
        """Texts of the needed policies that are not among those that the router has; both are given by digest."""
        texts = self.parent.policies.texts
        return tuple(texts[digest] for digest in sorted(needed.difference(held)) if digest in texts)

    # ---- events: time

    def wake(self, now: float) -> list[Action]:
        """The time given by `due` has come."""
        return self._advance(now, self.parent.wake(now))

    def due(self, now: float) -> float:
        """When `wake` next has something to do; infinity if nothing is scheduled."""
        times = [self.parent.due(now)]
        if self.applied_view.change and self.parent.verdict is None:
            ends = (self.table.unanswered.latest(), self.table.refusing.latest())
            times += [end for end in ends if end > now]
            if self.table.checking:  # once the change is agreed, no refusal is reported any more
                times.append(self.first_refusal_at + REFUSAL_GRACE_SECONDS)
            times.append(self.next_report_at)
        if self.waits_for_renewals:
            times += [
                end for epoch in self.table.ends_by_epoch if (end := self.table.latest_end(epoch)) > now
            ]
        return min(times)

    # ---- steps after each event

    def _advance(self, now: float, actions: list[holder.Action]) -> list[Action]:
        """Take all steps that the event allows, and return the actions of the event and of the steps."""
        self.actions += actions
        self._apply_view(now)
        self._report_verdict_if_known(now)
        self._drop_older_grants(now)
        self._announce_windows(now)
        done, self.actions = self.actions, []
        return done

    def _apply_view(self, now: float) -> None:
        """Act on a newer state of the voters: routers are told to renew if there is another change to check."""
        view = self.parent.view
        if view.version == self.applied_view.version:
            return
        previous_view, self.applied_view = self.applied_view, view
        self.table.apply_view(now, view)
        if view.stage == Stage.AGREED and self.table.sealed_change == view.change:
            # A refusal that came after this aggregator had accepted was too late to stop the change.
            self.parent.verdict = ()
        if view.change and view.change != previous_view.change:
            self.first_refusal_at = math.inf
            self.next_report_at = now + REPORT_INTERVAL_SECONDS
            self.actions.append(AnnounceRenewal(check=True))

    def _report_verdict_if_known(self, now: float) -> None:
        """Report to the voters once all routers have answered the change under way, or that some have not yet."""
        if not self.applied_view.change:
            return
        is_refused = bool(self.table.refusing) and self.table.checking
        if is_refused and self.parent.verdict is None:
            self.first_refusal_at = min(self.first_refusal_at, now)
            if self.table.unanswered.latest() <= now or now >= self.first_refusal_at + REFUSAL_GRACE_SECONDS:
                self._report_verdict(now, self._refusal_reasons(now))
        elif is_refused and self.parent.verdict == ():
            # A router that refuses has come after all others had accepted.
            self._report_verdict(now, self._refusal_reasons(now))
        elif self.parent.verdict is None and self.table.seal(now):
            self._report_verdict(now, ())
        if self.parent.verdict is None and now >= self.next_report_at:
            self.next_report_at = now + REPORT_INTERVAL_SECONDS
            self.actions += self.parent.request_all(now)

    def _refusal_reasons(self, now: float) -> tuple[str, ...]:
        """The reasons of all routers that refuse, each with the router's name."""
        return tuple(
            f"{router.name}: {reason}"
            for router in self.table.refusals(now)
            for reason in router.verdict or ()
        )

    def _report_verdict(self, now: float, verdict: tuple[str, ...]) -> None:
        """Send the verdict to every voter: reasons against the change, none if all routers accept."""
        self.parent.verdict = verdict
        self.actions += self.parent.request_all(now)

    def _drop_older_grants(self, now: float) -> None:
        """Hold only the newest grants once all outstanding sub-leases end within their windows.

        Until then routers are told, once, to renew: their new sub-leases end within the newest windows.
        """
        if not self.parent.holds_older_grants:
            return
        ends_too_late = any(
            self.table.latest_end(epoch) > self.parent.window_end(epoch)
            for epoch in self.table.epochs_outstanding(now)
        )
        if ends_too_late:
            if not self.waits_for_renewals:
                self.waits_for_renewals = True
                self.actions.append(AnnounceRenewal())
            return
        self.parent.drop_older_grants()
        if self.waits_for_renewals:
            self.waits_for_renewals = False
            self.actions += self.parent.request_all(now)

    def _announce_windows(self, now: float) -> None:
        """Tell routers to renew when the start of the next epoch becomes known, or when there is a lease again."""
        coming = self.parent.coming_window(now)
        if coming is not None and coming.epoch > self.announced_epoch:
            self.announced_epoch = coming.epoch
            self.actions.append(AnnounceRenewal())
        has_lease = self.parent.current_window(now) is not None or coming is not None
        if has_lease and not self.had_lease:
            self.actions.append(AnnounceRenewal(everyone=True))
        self.had_lease = has_lease

    def _summary(self, now: float) -> Summary:
        """Counts of routers for the voters, made again if they are older than `SUMMARY_MAX_AGE_SECONDS`."""
        if now - self.summary_at >= SUMMARY_MAX_AGE_SECONDS:
            self.summary = self.table.summary(now)
            self.summary_at = now
        return self.summary
