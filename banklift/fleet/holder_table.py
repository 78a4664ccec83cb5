"""Who holds leases of one grantor, and what each has said of the change under way. Pure.

Shared by voters (lease_table.py) and aggregators (sub_lease_table.py). Times are the grantor's own clock. An
entry is one incarnation of one holder: a restart is another entry, whose predecessor stays until its leases
have ended, and a verdict counts for the incarnation that gave it alone.

Messages of a holder carry a number that counts up within its incarnation; one that is late or doubled is known
by it and changes nothing.

Cost. Ends of leases and answers to a change are indexed (end_index.py): a message costs O(log n) in the number
of holders, and only the first sight of a change looks at all of them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from banklift.fleet.end_index import EndIndex
from banklift.fleet.messages import Holder, LeaseRelease, LeaseRequest, Summary

FORGET_AFTER = 3600.0  # seconds after which a holder that was not heard of is no longer listed
MAX_HOLDERS = 16_384  # incarnations of holders that are known at one time
MAX_EXAMPLES = 8  # holders that are named as those for whom a change waits
LOOK_AT = 64  # holders that are looked at to name some
MAX_REFUSALS = 64  # refusals that are passed on

Key = tuple[str, int]  # name and incarnation of a holder


@dataclass(frozen=True, slots=True)
class Outstanding:
    """One grant that its holder may count: when its leases have ended for certain."""

    epoch: int
    end: float
    next_epoch: int = 0
    next_end: float = -math.inf

    def last_end(self) -> float:
        return max(self.end, self.next_end)

    def end_of(self, epoch: int) -> float:
        if epoch == self.epoch:
            return self.end
        return self.next_end if epoch == self.next_epoch else -math.inf


@dataclass(slots=True, eq=False)
class Entry:
    """One incarnation of one holder."""

    name: str
    incarnation: int
    heard: float
    epoch: int = 0  # it serves
    last_request: int = 0  # number of its newest message
    outstanding: dict[int, Outstanding] = field(default_factory=dict)  # by number
    change: str = ""  # that its verdict is on
    verdict: tuple[str, ...] | None = None
    closing_epoch: int = 0  # the last one whose end it was told by a short lease
    have: tuple[str, ...] = ()  # policies whose text it has, by digest
    summary: Summary | None = None

    @property
    def key(self) -> Key:
        return self.name, self.incarnation

    def last_end(self) -> float:
        return max((one.last_end() for one in self.outstanding.values()), default=-math.inf)

    def last_end_of(self, epoch: int) -> float:
        return max((one.end_of(epoch) for one in self.outstanding.values()), default=-math.inf)


class HolderTable:
    """Entries and their indexes. `change`: id of the change that is under way, empty if there is none."""

    def __init__(self) -> None:
        self.entries: OrderedDict[Key, Entry] = OrderedDict()  # the one heard of last is the last
        self.ends: EndIndex[Key] = EndIndex()  # of all leases outstanding
        self.unanswered: EndIndex[Key] = EndIndex()  # of holders without a verdict on the change under way
        self.refused: EndIndex[Key] = EndIndex()  # ... and of those that refuse it
        self.change_id = ""
        self.checking = False  # whether that change may still be refused
        self.begun = -math.inf  # when that change was heard of
        self.half_waiting = 0  # so many holders have yet to answer until half of those that were asked have
        self.answer_time = 0.0  # seconds in which half of them answered the last change; 0: none yet

    # ---- the change under way

    def begin_change(self, now: float, change: str) -> None:
        """Another change is under way, or none: whoever holds a lease has not answered it."""
        self.change_id = change
        self.unanswered.clear()
        self.refused.clear()
        if change:
            for entry in self.entries.values():
                if entry.last_end() > now:
                    self._index_answer(entry)
            self.begun, self.half_waiting = now, (len(self.unanswered) + 1) // 2

    def accepted_by_all(self, now: float) -> bool:
        """Whether nobody holds a lease who has not accepted the change under way; nor, while it may be refused, anybody
        else refuses it."""
        refused = bool(self.refused) if self.checking else self.refused.latest() > now
        return not refused and self.unanswered.latest() <= now

    def has_accepted(self, entry: Entry, change: str) -> bool:
        return entry.change == change and entry.verdict == ()

    def refusals(self, now: float) -> tuple[Holder, ...]:
        """Holders that refuse the change under way, a bounded number of them."""
        keys = [key for key, _ in zip(self.refused, range(MAX_REFUSALS), strict=False)]
        return tuple(self.holder(now, self.entries[key]) for key in keys)

    def slowest_to_answer(self, now: float) -> tuple[Holder, ...]:
        """Some of those that have not answered; looks at a bounded number of holders."""
        looked_at = [key for key, _ in zip(self.unanswered, range(LOOK_AT), strict=False)]
        for key in looked_at:
            if self.unanswered.end(key) <= now:
                self.unanswered.discard(key)  # it holds no lease; it is indexed again should it get one
        waiting = [key for key in looked_at if key in self.unanswered][:MAX_EXAMPLES]
        return tuple(self.holder(now, self.entries[key]) for key in waiting)

    # ---- messages of holders

    def release(self, now: float, name: str, incarnation: int, release: LeaseRelease) -> None:
        """The holder has given its leases back; one that is late or doubled gives back nothing more."""
        entry = self.entries.get((name, incarnation))
        if entry is None:
            return
        entry.last_request = max(entry.last_request, release.number)
        entry.outstanding = {
            number: one for number, one in entry.outstanding.items() if number > release.number
        }
        self.index(entry)

    def entry_of(self, now: float, name: str, incarnation: int) -> Entry | None:
        """The holder's entry, a new one if need be; None if there is no place."""
        key = name, incarnation
        entry = self.entries.get(key)
        if entry is not None:
            self.entries.move_to_end(key)
            return entry
        self._forget_old(now)
        if len(self.entries) >= MAX_HOLDERS:
            return None
        entry = self.entries[key] = Entry(name, incarnation, now)
        return entry

    def heard(self, now: float, entry: Entry, request: LeaseRequest) -> None:
        """Take over what a request says of its sender."""
        entry.last_request, entry.heard, entry.epoch = request.number, now, request.epoch
        entry.have, entry.summary = request.have, request.summary
        entry.outstanding = {
            number: one for number, one in entry.outstanding.items() if number >= request.held
        }
        if self.change_id and request.change == self.change_id:
            self._answered(now, entry, request)

    def _answered(self, now: float, entry: Entry, request: LeaseRequest) -> None:
        """A verdict stands, but for an aggregator's "accepted", which a router that comes later may undo."""
        first = entry.change != self.change_id
        if first:
            self.half_waiting -= 1
            if self.half_waiting == 0:
                self.answer_time = now - self.begun
        undone = self.checking and entry.verdict == () and bool(request.verdict)
        if first or undone:
            entry.change, entry.verdict = request.change, request.verdict

    def index(self, entry: Entry) -> None:
        """Bring the indexes in line with an entry that has changed."""
        end = entry.last_end()
        if end > -math.inf:
            self.ends.set(entry.key, end)
        else:
            self.ends.discard(entry.key)
        if self.change_id:
            self._index_answer(entry)

    def _index_answer(self, entry: Entry) -> None:
        key, end = entry.key, entry.last_end()
        answered = entry.change == self.change_id
        if not answered and end > -math.inf:
            self.unanswered.set(key, end)
        else:
            self.unanswered.discard(key)
        if answered and entry.verdict:
            self.refused.set(key, end)

    def _forget_old(self, now: float) -> None:
        """Make room: remove those that hold nothing, from the one heard of longest ago on."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            full = len(self.entries) >= MAX_HOLDERS
            if entry.last_end() > now or (now - entry.heard <= FORGET_AFTER and not full):
                return
            del self.entries[key]
            for index in (self.ends, self.unanswered, self.refused):
                index.discard(key)

    # ---- for operators

    def live(self, now: float) -> Iterator[Entry]:
        """Entries with a lease that has not ended; looks at all of them."""
        return (entry for entry in self.entries.values() if entry.last_end() > now)

    def holders(self, now: float) -> tuple[Holder, ...]:
        """All of them, by name."""
        entries = sorted(self.entries.values(), key=lambda one: one.key)
        return tuple(self.holder(now, one) for one in entries)

    def holder(self, now: float, entry: Entry) -> Holder:
        verdict = entry.verdict if self.change_id and entry.change == self.change_id else None
        left = max(0.0, entry.last_end() - now)
        return Holder(
            entry.name, entry.incarnation, entry.epoch, verdict, now - entry.heard, left, entry.summary
        )
