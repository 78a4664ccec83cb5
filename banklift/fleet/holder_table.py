"""The holders of one grantor's leases, and the verdict of each on the change of policy under way.

This module does no I/O. All times are seconds on the grantor's own clock. The table is shared by voters
(lease_table.py) and aggregators (sub_lease_table.py).

An entry stands for one incarnation of one holder. A holder that restarts gets a new entry; the old entry stays until
its leases have ended. A verdict counts only for the incarnation that gave it.

Messages of a holder carry a number that counts up within its incarnation. A message that is late or duplicated is
recognised by its number and changes nothing.

Cost. Ends of leases and verdicts on a change are indexed (end_index.py): a message costs O(log n) in the number of
holders, and only the start of a change looks at all of them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from banklift.fleet.end_index import EndIndex
from banklift.fleet.messages import Holder, LeaseRelease, LeaseRequest, Summary

# seconds since its last request after which a holder without a lease may be removed
FORGET_AFTER_SECONDS = 3600.0
MAX_HOLDERS = 16_384  # incarnations of holders in the table
MAX_NAMED_HOLDERS = 8  # holders that are named when a change waits for them
MAX_EXAMINED_HOLDERS = 64  # holders that are looked at to find those to name
MAX_REPORTED_REFUSALS = 64  # holders whose refusal is reported

HolderKey = tuple[str, int]  # name and incarnation of a holder


@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """A grant that its holder may still rely on.

    `end` and `next_end`: when the leases on `epoch` and `next_epoch` have ended on the holder's clock as well,
    whatever the drift; minus infinity where there is no lease.
    """

    epoch: int
    end: float
    next_epoch: int = 0
    next_end: float = -math.inf

    def last_end(self) -> float:
        """When both leases have ended."""
        return max(self.end, self.next_end)

    def end_of(self, epoch: int) -> float:
        """When the lease on `epoch` has ended; minus infinity if there is none."""
        if epoch == self.epoch:
            return self.end
        return self.next_end if epoch == self.next_epoch else -math.inf


@dataclass(slots=True, eq=False)
class HolderEntry:
    """What the grantor knows of one incarnation of one holder."""

    name: str
    incarnation: int
    last_heard: float  # when its last request came
    serving_epoch: int = 0  # the epoch that it serves; 0: none
    last_number: int = 0  # number of its newest message
    outstanding: dict[int, OutstandingGrant] = field(default_factory=dict)  # by the number of the request
    change_id: str = ""  # id of the change that its verdict is on
    # Reasons against that change, an empty tuple if it accepts; None: it has given no verdict yet.
    verdict: tuple[str, ...] | None = None
    closing_epoch: int = 0  # the last epoch on which it was granted a short lease
    held_policies: tuple[str, ...] = ()  # digests of the policies whose text it has
    summary: Summary | None = None  # of an aggregator: counts of its own holders

    @property
    def key(self) -> HolderKey:
        """Its key in the table."""
        return self.name, self.incarnation

    def last_end(self) -> float:
        """When all its leases have ended; minus infinity if it has none."""
        return max((grant.last_end() for grant in self.outstanding.values()), default=-math.inf)

    def last_end_of(self, epoch: int) -> float:
        """When all its leases on `epoch` have ended; minus infinity if it has none."""
        return max((grant.end_of(epoch) for grant in self.outstanding.values()), default=-math.inf)


class HolderTable:
    """Entries of holders, and indexes over them."""

    def __init__(self) -> None:
        # the one that was heard last comes last
        self.entries: OrderedDict[HolderKey, HolderEntry] = OrderedDict()
        self.lease_ends: EndIndex[HolderKey] = EndIndex()  # ends of all outstanding leases
        self.unanswered: EndIndex[HolderKey] = EndIndex()  # holders without a verdict on the change under way
        self.refusing: EndIndex[HolderKey] = EndIndex()  # holders that refuse the change under way
        self.change_id = ""  # id of the change under way; empty if there is none
        self.checking = False  # whether that change may still be refused
        self.change_begun_at = -math.inf  # when the grantor heard of that change
        self.answers_until_half = 0  # verdicts that are missing until half of the holders asked have answered
        # Seconds in which half of the holders answered the last change; 0 if none was answered yet.
        self.median_answer_time = 0.0

    # ---- the change under way

    def begin_change(self, now: float, change: str) -> None:
        """Another change is under way, or none (empty id): no holder of a lease has answered it yet."""
        self.change_id = change
        self.unanswered.clear()
        self.refusing.clear()
        if change:
            for entry in self.entries.values():
                if entry.last_end() > now:
                    self._index_verdict(entry)
            self.change_begun_at = now
            self.answers_until_half = (len(self.unanswered) + 1) // 2

    def accepted_by_all(self, now: float) -> bool:
        """Whether every holder of a lease has accepted the change under way.

        While the change is being checked, a refusal counts even if its holder has no lease any more.
        """
        is_refused = bool(self.refusing) if self.checking else self.refusing.latest() > now
        return not is_refused and self.unanswered.latest() <= now

    def has_accepted(self, entry: HolderEntry, change: str) -> bool:
        """Whether the holder has accepted the change with this id."""
        return entry.change_id == change and entry.verdict == ()

    def refusals(self, now: float) -> tuple[Holder, ...]:
        """Holders that refuse the change under way, up to `MAX_REPORTED_REFUSALS`."""
        keys = [key for key, _ in zip(self.refusing, range(MAX_REPORTED_REFUSALS), strict=False)]
        return tuple(self.describe(now, self.entries[key]) for key in keys)

    def slowest_to_answer(self, now: float) -> tuple[Holder, ...]:
        """Some holders of leases that have not answered the change under way, up to `MAX_NAMED_HOLDERS`.

        Looks at a bounded number of holders. Those of them whose leases have ended are removed from the index, as the
        change does not wait for them; a new lease puts them back.
        """
        examined = [key for key, _ in zip(self.unanswered, range(MAX_EXAMINED_HOLDERS), strict=False)]
        for key in examined:
            if self.unanswered.end(key) <= now:
                self.unanswered.discard(key)
        waiting = [key for key in examined if key in self.unanswered][:MAX_NAMED_HOLDERS]
        return tuple(self.describe(now, self.entries[key]) for key in waiting)

    # ---- messages of holders

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> None:
        """The holder has released its grants up to the number in the message. A late or repeated release has no
        further effect."""
        entry = self.entries.get((name, incarnation))
        if entry is None:
            return
        entry.last_number = max(entry.last_number, release.number)
        entry.outstanding = {
            number: grant for number, grant in entry.outstanding.items() if number > release.number
        }
        self.update_indexes(entry)

    def find_or_add(self, now: float, name: str, incarnation: int) -> HolderEntry | None:
        """The entry of this incarnation, a new one if there is none; None if the table is full."""
        key = name, incarnation
        entry = self.entries.get(key)
        if entry is not None:
            self.entries.move_to_end(key)
            return entry
        self._make_room(now)
        if len(self.entries) >= MAX_HOLDERS:
            return None
        entry = self.entries[key] = HolderEntry(name, incarnation, now)
        return entry

    def record_request(self, now: float, entry: HolderEntry, request: LeaseRequest) -> None:
        """Record what a request tells of its sender. The caller updates the indexes afterwards."""
        entry.last_number = request.number
        entry.last_heard = now
        entry.serving_epoch = request.epoch
        entry.held_policies = request.known_policies
        entry.summary = request.summary
        entry.outstanding = {
            number: grant for number, grant in entry.outstanding.items() if number >= request.oldest_held
        }
        if self.change_id and request.change == self.change_id:
            self._record_verdict(now, entry, request)

    def _record_verdict(self, now: float, entry: HolderEntry, request: LeaseRequest) -> None:
        """Record the verdict on the change under way.

        The first verdict stands, with one exception: while the change is being checked, acceptance may become a
        refusal, as an aggregator that has accepted may get a router that refuses.
        """
        is_first = entry.change_id != self.change_id
        if is_first:
            self.answers_until_half -= 1
            if self.answers_until_half == 0:
                self.median_answer_time = now - self.change_begun_at
        is_withdrawn = self.checking and entry.verdict == () and bool(request.verdict)
        if is_first or is_withdrawn:
            entry.change_id = request.change
            entry.verdict = request.verdict

    def update_indexes(self, entry: HolderEntry) -> None:
        """Update the indexes after an entry has changed."""
        end = entry.last_end()
        if end > -math.inf:
            self.lease_ends.set(entry.key, end)
        else:
            self.lease_ends.discard(entry.key)
        if self.change_id:
            self._index_verdict(entry)

    def _index_verdict(self, entry: HolderEntry) -> None:
        key, end = entry.key, entry.last_end()
        has_answered = entry.change_id == self.change_id
        if not has_answered and end > -math.inf:
            self.unanswered.set(key, end)
        else:
            self.unanswered.discard(key)
        if has_answered and entry.verdict:
            self.refusing.set(key, end)

    def _make_room(self, now: float) -> None:
        """Remove entries without a lease, beginning with the one heard longest ago: those that were not heard for
        `FORGET_AFTER_SECONDS`, and more if the table is full. An entry with a lease is never removed and ends the
        search."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            is_full = len(self.entries) >= MAX_HOLDERS
            if entry.last_end() > now or (now - entry.last_heard <= FORGET_AFTER_SECONDS and not is_full):
                return
            del self.entries[key]
            for index in (self.lease_ends, self.unanswered, self.refusing):
                index.discard(key)

    # ---- for operators

    def live(self, now: float) -> Iterator[HolderEntry]:
        """Entries with a lease that has not ended. Looks at all entries."""
        return (entry for entry in self.entries.values() if entry.last_end() > now)

    def holders(self, now: float) -> tuple[Holder, ...]:
        """All entries in order of name and incarnation, as they are shown to operators."""
        entries = sorted(self.entries.values(), key=lambda entry: entry.key)
        return tuple(self.describe(now, entry) for entry in entries)

    def describe(self, now: float, entry: HolderEntry) -> Holder:
        """One entry as it is shown to operators and sent to the driver of a change."""
        verdict = entry.verdict if self.change_id and entry.change_id == self.change_id else None
        lease_left = max(0.0, entry.last_end() - now)
        return Holder(
            entry.name,
            entry.incarnation,
            entry.serving_epoch,
            verdict,
            now - entry.last_heard,
            lease_left,
            entry.summary,
        )
