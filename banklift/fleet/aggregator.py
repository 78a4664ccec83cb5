"""A lease aggregator: holds a lease of a majority of voters, and grants parts of it to routers. Pure.

Why two epochs are never served at one time, also through aggregators:

1. A voter never has leases on two epochs outstanding at one time (lease_table.py), and any two majorities share a
   voter; so no two lease holders have a majority for different epochs at one moment.
2. A window is a time in which a majority has this aggregator under a lease for one epoch, on the aggregator's
   clock: grants count from their request and end a `drift` early, the next epoch begins a `drift` late (holder.py).
3. A sub-lease is given only if it and a `drift` of it fit into the window. The router counts it from its request,
   before the grant, and ends it a `drift` early on its own clock; one on the next epoch begins a `drift` late.
4. So each sub-lease lies within the window that it was cut from, whichever of the three clocks is slow or fast.
5. What a window was cut from stays outstanding at the voters as long as this aggregator counts it; it gives a grant
   up only once all sub-leases outstanding end within the windows of the newer ones (`_give_up_older`).
6. A killed aggregator forgets its sub-leases, but the voters do not forget its lease: its next incarnation is
   another holder, and no change takes hold before the lease of the old one, which contains them all, has ended.
7. Hence whoever serves epoch e does so at a moment at which a majority of voters has e outstanding.

Sealing. A change is agreed only once a majority of voters has heard from each of their holders that it
accepts. This aggregator says so only when nobody holds a sub-lease who has not accepted, and grants none to
such a router from then on until it learns of a newer state without the change. An aggregator that knows of no
routers accepts at once.

| stage of the change here | event | next | what is done |
| --- | --- | --- | --- |
| none | a grant tells of a change | asking | routers with a sub-lease are told to renew |
| asking | all of them have accepted, or hold nothing any more | sealed | every voter is told |
| asking | one refused; the rest answered, or `REFUSAL_GRACE` passed | refused | every voter is told why |
| sealed | voters grant short leases | closing | routers are told to renew, for as short |
| closing | all sub-leases outstanding are short | closed | every voter is told: the longer lease is given up |
| closed | a majority has told when the next epoch begins | switching | routers are told to renew |
| any | a newer state without the change | none | - |
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from banklift.fleet import holder
from banklift.fleet.holder_table import Entry
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow, Summary
from banklift.fleet.parent_lease import ChangeView, ParentLease
from banklift.fleet.state import Stage
from banklift.fleet.sub_lease_table import SubLeaseTable, Terms, answer

REFUSAL_GRACE = 0.3  # seconds after the first refusal in which other routers may still answer
REPORT_PAUSE = 0.5  # seconds between reports to voters while routers are waited for
SUMMARY_AGE = 0.1  # seconds for which the counts for voters are good


@dataclass(frozen=True, slots=True)
class AnnounceRenewal:
    """Routers are to ask again: those that hold a sub-lease, or all that are linked (`everyone`). `check`: a change is
    to be checked; it goes with the message (`news`)."""

    everyone: bool = False
    check: bool = False


Action = holder.Action | AnnounceRenewal


class Aggregator:
    """`lease` of the voters and `sub_lease` of the routers, in seconds; `drift`: how far two clocks may differ
    in rate, as a part."""

    def __init__(
        self, voters: tuple[str, ...], lease: float, sub_lease: float, drift: float, random: Random
    ) -> None:
        self.parent = ParentLease(voters, lease, drift, random, self._summary)
        self.table = SubLeaseTable(sub_lease, drift)
        self.view = ChangeView()  # that was acted upon
        self.first_refusal = math.inf
        self.report_at = math.inf  # when voters are told next for whom it waits
        self.closing = (
            False  # routers were told to renew, as their sub-leases reach beyond the newest windows
        )
        self.announced_epoch = 0  # the coming epoch that routers were told of
        self.had_lease = False
        self.summary = Summary(0, 0, 0)
        self.summary_at = -math.inf
        self.actions: list[Action] = []

    # ---- voters

    def voter_up(self, now: float, voter: str) -> list[Action]:
        """The link to a voter is up."""
        return self._advance(now, self.parent.up(now, voter))

    def voter_down(self, now: float, voter: str) -> list[Action]:
        """The link to a voter is down."""
        return self._advance(now, self.parent.down(now, voter))

    def renew_now(self, now: float, voter: str, news: RenewNow) -> list[Action]:
        """A voter has news."""
        return self._advance(now, self.parent.renew_now(now, voter, news))

    def granted(self, now: float, voter: str, grant: LeaseGrant) -> list[Action]:
        """A voter has answered."""
        return self._advance(now, self.parent.granted(now, voter, grant))

    # ---- routers

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest
    ) -> tuple[LeaseGrant | None, list[Action]]:
        """A router asks for a sub-lease. No grant to a request that is late or came twice."""
        parent = self.parent
        terms = Terms(parent.current_window(now), parent.coming_window(now), self.view)
        given = self.table.request(now, name, incarnation, request, terms)
        grant = None
        if given is not None:
            epochs = [one.epoch if one is not None else 0 for one in (terms.current, terms.coming)]
            digests = parent.epoch_digests.get(epochs[0], ""), parent.epoch_digests.get(epochs[1], "")
            texts = self._lacking(request.have, {*digests, self.view.subject})
            grant = answer(request, given, self.view, digests, texts)
        return grant, self._advance(now, [])

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> list[Action]:
        """A router gives its sub-leases back."""
        self.table.release(now, name, incarnation, release)
        return self._advance(now, [])

    def news(self, entry: Entry) -> RenewNow:
        """What a router is told of the change to check."""
        view = self.view
        return RenewNow(view.change, view.subject, self._lacking(entry.have, {view.subject}))

    def _lacking(self, have: tuple[str, ...], wanted: set[str]) -> tuple[bytes, ...]:
        """Texts of the wanted policies that the router does not have."""
        texts = self.parent.policies.texts
        return tuple(texts[known] for known in sorted(wanted.difference(have)) if known in texts)

    # ---- time

    def wake(self, now: float) -> list[Action]:
        """It is due."""
        return self._advance(now, self.parent.wake(now))

    def due(self, now: float) -> float:
        """When `wake` has something to do."""
        times = [self.parent.due(now)]
        if self.view.change and self.parent.verdict is None:
            ends = (self.table.unanswered.latest(), self.table.refused.latest())
            times += [end for end in ends if end > now]
            if self.table.checking:  # after that a refusal is told to nobody any more
                times.append(self.first_refusal + REFUSAL_GRACE)
            times.append(self.report_at)
        if self.closing:
            times += [end for epoch in self.table.by_epoch if (end := self.table.latest_end(epoch)) > now]
        return min(times)

    # ---- what follows from an event

    def _advance(self, now: float, actions: list[holder.Action]) -> list[Action]:
        self.actions += actions
        self._follow_view(now)
        self._gather_verdict(now)
        self._give_up_older(now)
        self._announce_windows(now)
        done, self.actions = self.actions, []
        return done

    def _follow_view(self, now: float) -> None:
        """Act on a newer state."""
        view = self.parent.view
        if view.version == self.view.version:
            return
        before, self.view = self.view, view
        self.table.view_changed(now, view)
        if view.stage == Stage.AGREED and self.table.sealed == view.change:
            self.parent.verdict = ()  # a refusal that came too late undoes nothing
        if view.change and view.change != before.change:
            self.first_refusal = math.inf
            self.report_at = now + REPORT_PAUSE
            self.actions.append(AnnounceRenewal(check=True))

    def _gather_verdict(self, now: float) -> None:
        """Tell the voters once all routers have answered the change under way."""
        if not self.view.change:
            return
        refused = bool(self.table.refused) and self.table.checking
        if refused and self.parent.verdict is None:
            self.first_refusal = min(self.first_refusal, now)
            if self.table.unanswered.latest() <= now or now >= self.first_refusal + REFUSAL_GRACE:
                self._tell_verdict(now, self._reasons(now))
        elif refused and self.parent.verdict == ():
            self._tell_verdict(now, self._reasons(now))  # of a router that came once all others had accepted
        elif self.parent.verdict is None and self.table.seal(now):
            self._tell_verdict(now, ())
        if self.parent.verdict is None and now >= self.report_at:
            self.report_at = now + REPORT_PAUSE
            self.actions += self.parent.request_all(now)

    def _reasons(self, now: float) -> tuple[str, ...]:
        return tuple(
            f"{one.name}: {reason}" for one in self.table.refusals(now) for reason in one.verdict or ()
        )

    def _tell_verdict(self, now: float, verdict: tuple[str, ...]) -> None:
        self.parent.verdict = verdict
        self.actions += self.parent.request_all(now)

    def _give_up_older(self, now: float) -> None:
        """Count the newest grants alone, once all sub-leases outstanding end within their windows."""
        if not self.parent.holds_older_grants:
            return
        beyond = any(
            self.table.latest_end(epoch) > self.parent.window_end(epoch)
            for epoch in self.table.epochs_outstanding(now)
        )
        if beyond:
            if not self.closing:
                self.closing = True
                self.actions.append(AnnounceRenewal())
            return
        self.parent.drop_older_grants()
        if self.closing:
            self.closing = False
            self.actions += self.parent.request_all(now)

    def _announce_windows(self, now: float) -> None:
        """Have routers ask again when the next epoch's begin is known, or when there is a lease at all again."""
        coming = self.parent.coming_window(now)
        if coming is not None and coming.epoch > self.announced_epoch:
            self.announced_epoch = coming.epoch
            self.actions.append(AnnounceRenewal())
        has_lease = self.parent.current_window(now) is not None or coming is not None
        if has_lease and not self.had_lease:
            self.actions.append(AnnounceRenewal(everyone=True))
        self.had_lease = has_lease

    def _summary(self, now: float) -> Summary:
        if now - self.summary_at >= SUMMARY_AGE:
            self.summary, self.summary_at = self.table.summary(now), now
        return self.summary
