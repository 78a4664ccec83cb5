"""An aggregator's table of sub-leases. Pure; times are the aggregator's own clock.

A sub-lease is a part of the aggregator's own lease: it is granted inside of the window that the voters have
given for its epoch (parent_lease.py), so that it ends, drift counted, before the aggregator's own lease on
that epoch does.

| the change under way | the router | its request is granted |
| --- | --- | --- |
| none | any | the epoch of the window; the next one too, from when its window begins |
| being checked or agreed | has not answered | nothing new; what it holds goes on |
| a dry run | has not answered | as if there were no change |
| sealed here | has not accepted | nothing, with the reason |
| any | has accepted | the epoch of the window; the next one too |
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift.fleet.end_index import EndIndex
from banklift.fleet.holder_table import MAX_HOLDERS, Entry, HolderTable, Key, Outstanding
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Summary
from banklift.fleet.parent_lease import ChangeView, Window
from banklift.fleet.state import Stage

SHORTEST_PART = 1 / 1000  # of a sub-lease: one that would be shorter is not granted


@dataclass(frozen=True, slots=True)
class Terms:
    """What the aggregator may grant now."""

    current: Window | None
    coming: Window | None
    view: ChangeView


@dataclass(frozen=True, slots=True)
class SubLease:
    """`ttl` on `epoch`, from now; and on `next_epoch` from `begin` until `next_ttl`, both from now."""

    epoch: int = 0
    ttl: float = 0.0
    next_epoch: int = 0
    begin: float = 0.0
    next_ttl: float = 0.0


class SubLeaseTable(HolderTable):
    """`lease`: seconds that a sub-lease holds at the most. `drift`: how far two clocks may differ in rate."""

    def __init__(self, lease: float, drift: float) -> None:
        super().__init__()
        self.lease, self.drift = lease, drift
        self.by_epoch: dict[int, EndIndex[Key]] = {}  # ends of the sub-leases on each epoch
        self.sealed = ""  # id of the change that all have accepted, and nobody else gets a sub-lease

    # ---- for the aggregator

    def view_changed(self, now: float, view: ChangeView) -> None:
        """A newer state was chosen."""
        if view.change != self.sealed:
            self.sealed = ""
        if view.change != self.change_id:
            self.begin_change(now, view.change)
        self.checking = view.stage == Stage.CHECKING

    def seal(self, now: float) -> bool:
        """Seal the change under way if all that hold a sub-lease have accepted it. Whether it is sealed."""
        if self.change_id and not self.sealed and self.accepted_by_all(now):
            self.sealed = self.change_id
        return bool(self.sealed)

    def latest_end(self, epoch: int) -> float:
        """When the last sub-lease on this epoch has ended."""
        index = self.by_epoch.get(epoch)
        return index.latest() if index is not None else -math.inf

    def epochs_outstanding(self, now: float) -> list[int]:
        """Epochs on which sub-leases have not ended."""
        for epoch, index in list(self.by_epoch.items()):
            if index.latest() <= now:
                del self.by_epoch[epoch]
        return sorted(self.by_epoch)

    def summary(self, now: float) -> Summary:
        """Counts for the voters; looks at a bounded number of routers."""
        slowest = tuple(
            f"{one.name} has not answered for {one.heard:.1f} s; its sub-lease ends in {one.left:.1f} s"
            for one in self.slowest_to_answer(now)
        )
        return Summary(self.ends.count_after(now), len(self.unanswered), len(self.refused), slowest)

    # ---- routers

    def request(
        self, now: float, name: str, incarnation: int, request: LeaseRequest, terms: Terms
    ) -> SubLease | str | None:
        """The sub-lease, or why there is none, in words that may be empty; None to one that is late or came twice."""
        entry = self.entry_of(now, name, incarnation)
        if entry is None:
            return f"this aggregator's table is full: {MAX_HOLDERS} routers"
        if request.number <= entry.last_request:
            return None
        self.heard(now, entry, request)
        reason = self._reason_against(entry, request, terms)
        answer = self._grant(now, entry, request.number, terms) if reason is None else reason
        self.index(entry)
        return answer

    def index(self, entry: Entry) -> None:
        super().index(entry)
        for epoch, index in self.by_epoch.items():
            end = entry.last_end_of(epoch)
            if end > -math.inf:
                index.set(entry.key, end)
            else:
                index.discard(entry.key)

    def _reason_against(self, entry: Entry, request: LeaseRequest, terms: Terms) -> str | None:
        known = [one.epoch for one in (terms.current, terms.coming) if one is not None]
        if not known:
            return "this aggregator has no lease of a majority of voters"
        if request.epoch > max(known):
            return f"it serves epoch {request.epoch}, and this aggregator has a lease for {max(known)} only"
        if self.sealed and not self.has_accepted(entry, self.sealed):
            return "a change is being decided that it has not accepted"
        if self.change_id and not terms.view.dry and entry.change != self.change_id:
            return ""  # it has to answer first; what it holds goes on
        return None

    def _grant(self, now: float, entry: Entry, number: int, terms: Terms) -> SubLease | str:
        sub_lease = self._contained(now, terms)
        if not sub_lease.epoch and not sub_lease.next_epoch:
            return "this aggregator's own lease is about to end"
        end = now + sub_lease.ttl * (1 + self.drift) if sub_lease.epoch else -math.inf
        next_end = now + sub_lease.next_ttl * (1 + self.drift) if sub_lease.next_epoch else -math.inf
        outstanding = Outstanding(sub_lease.epoch, end, sub_lease.next_epoch, next_end)
        entry.outstanding[number] = outstanding
        for epoch in (sub_lease.epoch, sub_lease.next_epoch):
            if epoch and epoch not in self.by_epoch:
                self.by_epoch[epoch] = EndIndex()
        return sub_lease

    def _contained(self, now: float, terms: Terms) -> SubLease:
        """The longest sub-lease that ends, drift counted, inside of the aggregator's own windows."""
        current, coming = terms.current, terms.coming
        ttl = next_ttl = begin = 0.0
        if current is not None:
            ttl = min(self.lease, (current.end - now) / (1 + self.drift))
        if coming is not None:
            begin = max(0.0, coming.begin - now)
            next_ttl = min(self.lease + begin, (coming.end - now) / (1 + self.drift))
        shortest = SHORTEST_PART * self.lease
        epoch = current.epoch if current is not None and ttl > shortest else 0
        next_epoch = coming.epoch if coming is not None and next_ttl > begin + shortest else 0
        return SubLease(epoch, ttl if epoch else 0.0, next_epoch, begin, next_ttl if next_epoch else 0.0)


def answer(
    request: LeaseRequest,
    given: SubLease | str,
    view: ChangeView,
    digests: tuple[str, str],
    texts: tuple[bytes, ...],
) -> LeaseGrant:
    """The message that tells a router of its sub-lease, or why there is none."""
    sub_lease, reason = (SubLease(), given) if isinstance(given, str) else (given, "")
    return LeaseGrant(
        number=request.number,
        epoch=sub_lease.epoch,
        ttl=sub_lease.ttl,
        next_epoch=sub_lease.next_epoch,
        begin=sub_lease.begin,
        next_ttl=sub_lease.next_ttl,
        digests=digests,
        version=view.version,
        change=view.change,
        stage=view.stage,
        dry=view.dry,
        subject=view.subject,
        policies=texts,
        reason=reason,
    )
