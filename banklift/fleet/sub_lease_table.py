"""An aggregator's table of the sub-leases that it has granted to routers.

This module does no I/O. All times are seconds on the aggregator's own clock.

A sub-lease is a part of the aggregator's own lease. It is granted within the window that the voters have given the
aggregator for its epoch (parent_lease.py), so that even with drift it ends before the aggregator's own lease on that
epoch does.

| the change under way | the router | its request is granted |
| --- | --- | --- |
| none | any | the epoch of the current window; and the next epoch, from when its window begins |
| being checked or agreed | has not answered | nothing new; what it holds stays valid |
| a dry run | has not answered | as if there were no change |
| sealed here | has not accepted | nothing, with the reason |
| any | has accepted | the epoch of the current window; and the next epoch, from when its window begins |
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift.fleet.end_index import EndIndex
from banklift.fleet.holder_table import MAX_HOLDERS, HolderEntry, HolderKey, HolderTable, OutstandingGrant
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Summary
from banklift.fleet.parent_lease import ChangeView, Window
from banklift.fleet.state import Stage

MIN_SUB_LEASE_FRACTION = 1 / 1000  # of a full sub-lease: a shorter one is not granted


@dataclass(frozen=True, slots=True)
class Terms:
    """What sub-leases may be cut from: the current and the coming window, and the change under way."""

    current: Window | None
    coming: Window | None
    view: ChangeView


@dataclass(frozen=True, slots=True)
class SubLease:
    """A sub-lease in seconds from when it is granted.

    The lease on `epoch` lasts for `ttl`; epoch 0: there is none. The lease on `next_epoch` lasts from `begin` until
    `next_ttl`; epoch 0: there is none.
    """

    epoch: int = 0
    ttl: float = 0.0
    next_epoch: int = 0
    begin: float = 0.0
    next_ttl: float = 0.0


class SubLeaseTable(HolderTable):
    """The sub-leases of one aggregator.

    `lease`: seconds that a sub-lease lasts at most. `drift`: bound on the relative rate of two clocks, a fraction.
    """

    def __init__(self, lease: float, drift: float) -> None:
        super().__init__()
        self.lease = lease
        self.drift = drift
        # Ends of the sub-leases on each epoch. An epoch is here from the first grant on it until `epochs_outstanding`
        # finds that all of them have ended.
        self.ends_by_epoch: dict[int, EndIndex[HolderKey]] = {}
        # Id of the change that all holders of a sub-lease have accepted; empty if there is none. Nobody else gets a
        # sub-lease until the change is decided.
        self.sealed_change = ""

    # ---- for the aggregator

    def apply_view(self, now: float, view: ChangeView) -> None:
        """Take over the change under way in a newer state of the voters."""
        if view.change != self.sealed_change:
            self.sealed_change = ""
        if view.change != self.change_id:
            self.begin_change(now, view.change)
        self.checking = view.stage == Stage.CHECKING

    def seal(self, now: float) -> bool:
        """Seal the change under way if all holders of a sub-lease have accepted it. Returns whether it is sealed."""
        if self.change_id and not self.sealed_change and self.accepted_by_all(now):
            self.sealed_change = self.change_id
        return bool(self.sealed_change)

    def latest_end(self, epoch: int) -> float:
        """When the last sub-lease on the epoch has ended; minus infinity if there is none."""
        index = self.ends_by_epoch.get(epoch)
        return index.latest() if index is not None else -math.inf

    def epochs_outstanding(self, now: float) -> list[int]:
        """The epochs with a sub-lease that has not ended, in ascending order."""
        for epoch, index in list(self.ends_by_epoch.items()):
            if index.latest() <= now:
                del self.ends_by_epoch[epoch]
        return sorted(self.ends_by_epoch)

    def summary(self, now: float) -> Summary:
        """Counts of routers for the voters, and some routers that have not answered the change, in words."""
        slowest = tuple(
            f"{holder.name} has not answered for {holder.heard:.1f} s; its sub-lease ends in {holder.left:.1f} s"
            for holder in self.slowest_to_answer(now)
        )
        return Summary(self.lease_ends.count_after(now), len(self.unanswered), len(self.refusing), slowest)

    # ---- routers

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest, terms: Terms
    ) -> SubLease | str | None:
        """Answer a router's request: a sub-lease, or the reason why there is none, which may be empty.

        None if the request is late or duplicated. The reason is empty if the router first has to answer the check of
        a change.
        """
        entry = self.find_or_add(now, name, incarnation)
        if entry is None:
            return f"this aggregator's table is full: {MAX_HOLDERS} routers"
        if request.number <= entry.last_number:
            return None
        self.record_request(now, entry, request)
        reason = self._reason_to_refuse(entry, request, terms)
        answer = self._grant(now, entry, request.number, terms) if reason is None else reason
        self.update_indexes(entry)
        return answer

    def update_indexes(self, entry: HolderEntry) -> None:
        """Update the indexes after an entry has changed, also those of each epoch."""
        super().update_indexes(entry)
        for epoch, index in self.ends_by_epoch.items():
            end = entry.last_end_of(epoch)
            if end > -math.inf:
                index.set(entry.key, end)
            else:
                index.discard(entry.key)

    def _reason_to_refuse(self, entry: HolderEntry, request: LeaseRequest, terms: Terms) -> str | None:
        """Why the router gets no new sub-lease; None if it may get one. Empty: it has to answer a check first."""
        known = [window.epoch for window in (terms.current, terms.coming) if window is not None]
        if not known:
            return "this aggregator has no lease of a majority of voters"
        if request.epoch > max(known):
            return f"it serves epoch {request.epoch}, and this aggregator has a lease for {max(known)} only"
        if self.sealed_change and not self.has_accepted(entry, self.sealed_change):
            return "a change is being decided that it has not accepted"
        if self.change_id and not terms.view.dry and entry.change_id != self.change_id:
            return ""
        return None

    def _grant(self, now: float, entry: HolderEntry, number: int, terms: Terms) -> SubLease | str:
        """Grant a sub-lease and record it as outstanding; or the reason why none is left to grant."""
        sub_lease = self._longest_sub_lease(now, terms)
        if not sub_lease.epoch and not sub_lease.next_epoch:
            return "this aggregator's own lease is about to end"
        end = now + sub_lease.ttl * (1 + self.drift) if sub_lease.epoch else -math.inf
        next_end = now + sub_lease.next_ttl * (1 + self.drift) if sub_lease.next_epoch else -math.inf
        outstanding = OutstandingGrant(sub_lease.epoch, end, sub_lease.next_epoch, next_end)
        entry.outstanding[number] = outstanding
        for epoch in (sub_lease.epoch, sub_lease.next_epoch):
            if epoch and epoch not in self.ends_by_epoch:
                self.ends_by_epoch[epoch] = EndIndex()
        return sub_lease

    def _longest_sub_lease(self, now: float, terms: Terms) -> SubLease:
        """The longest sub-lease that even with drift ends within the aggregator's own windows."""
        current, coming = terms.current, terms.coming
        ttl = next_ttl = begin = 0.0
        if current is not None:
            ttl = min(self.lease, (current.end - now) / (1 + self.drift))
        if coming is not None:
            begin = max(0.0, coming.begin - now)
            next_ttl = min(self.lease + begin, (coming.end - now) / (1 + self.drift))
        shortest = MIN_SUB_LEASE_FRACTION * self.lease
        epoch = current.epoch if current is not None and ttl > shortest else 0
        next_epoch = coming.epoch if coming is not None and next_ttl > begin + shortest else 0
        return SubLease(epoch, ttl if epoch else 0.0, next_epoch, begin, next_ttl if next_epoch else 0.0)


def build_grant(
    request: LeaseRequest,
    answer: SubLease | str,
    view: ChangeView,
    digests: tuple[str, str],
    texts: tuple[bytes, ...],
) -> LeaseGrant:
    """The message that answers a router's request.

    `answer`: the sub-lease, or the reason why there is none. `digests`: of the policies of the current and the next
    epoch, empty if there is none. `texts`: policies that the router lacks.
    """
    sub_lease, reason = (SubLease(), answer) if isinstance(answer, str) else (answer, "")
    return LeaseGrant(
        number=request.number,
        epoch=sub_lease.epoch,
        ttl=sub_lease.ttl,
        next_epoch=sub_lease.next_epoch,
        next_begins_in=sub_lease.begin,
        next_epoch_ttl=sub_lease.next_ttl,
        digests=digests,
        version=view.version,
        change=view.change,
        stage=view.stage,
        dry=view.dry,
        change_digest=view.subject,
        policies=texts,
        reason=reason,
    )
