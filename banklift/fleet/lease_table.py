"""A voter's table of leases that it has granted. Pure; times are the voter's own clock, which never goes back.

The rule that all else rests on: **a voter never has leases on two epochs out at one time.** A router may serve
an epoch while a majority of voters has it under a lease for that epoch. Any two majorities share a voter, so
no two routers serve different epochs at one moment, whatever is lost, late or cut off, as long as clocks run
no more than `drift` apart in rate. Points in time are never compared between machines: a lease counts from
when it was asked for at the holder, and from when it was given here, and ends here `drift` later.

A holder is a router or an aggregator (aggregator.py), which hands on parts of its lease. The table treats both
alike.

Short leases are those of `closing_lease`, longer ones where holders took long to answer the check. While one that
nobody gives up is waited for, the others get up to half of what is left of it, which delays nothing and spares the
voter and its holders thousands of renewals. It may be given up late, too, so they get no more than the time that was
waited already: then the change takes at most about twice as long.

| stage | event | next | requests are granted |
| --- | --- | --- | --- |
| granting e | a change to e + 1 was agreed | closing | e for `ttl` |
| closing | all leases outstanding are short | switching, at `switch_at` = their last end | a short e |
| switching | `switch_at` has come | granting e + 1 | e up to `switch_at`, e + 1 from then on |
| granting e + 1 | e + 1 was settled | the same | e + 1 for `ttl` |

A voter that has started anew has forgotten which leases are out. Where no change is agreed that does no harm:
all that can be out is for the epoch in force, or expired. Where one is agreed it may have switched already, so
it grants nothing until all that it ever gave must have ended, and then e + 1 (`restarted`).

Sealing. A change is agreed only when nobody holds a lease who has not accepted it. A voter that has said so
(`sealed`) gives no lease to others until the change is decided; so whoever holds one then, by a majority, was
among those asked.

Cost. Ends of leases and answers to a change are indexed (end_index.py), so a request costs O(log n) in the
number of holders in every stage, and only the first sight of a change looks at all of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift.fleet.holder_table import MAX_HOLDERS, Entry, HolderTable, Outstanding
from banklift.fleet.messages import Holder, LeaseGrant, LeaseRequest
from banklift.fleet.state import Change, Stage, State, digest

CLOSING_PART = 0.1  # of a lease: how long one is while a change takes hold; what a change takes at the least
CLOSING_FLOOR = 0.5  # seconds: ... but no shorter, and ...
CLOSING_ROUNDS = (
    2.0  # times in which holders answered the check: ... no shorter either, or they renew too late
)
MAX_CLOSING_PART = 0.25  # of a lease: ... but no longer
EXTEND_PART = 0.5  # of the time that a change waits for somebody anyway: how long other leases are, at most


def closing_lease(lease: float, answer_time: float = 0.0) -> float:
    """Seconds that a lease holds while a change takes hold. `lease`: seconds of one at rest; `answer_time`: seconds in
    which half of the holders answered the check, who will all renew theirs at one moment again."""
    least = max(CLOSING_PART * lease, CLOSING_FLOOR, CLOSING_ROUNDS * answer_time)
    return max(CLOSING_PART * lease, min(least, MAX_CLOSING_PART * lease))


def longest_closing_lease(lease: float) -> float:
    """Seconds that `closing_lease` is at the most, whatever the answer time."""
    return max(CLOSING_PART, MAX_CLOSING_PART) * lease


@dataclass(frozen=True, slots=True)
class Answers:
    """How far the holders are with the change under way."""

    refusals: tuple[Holder, ...]
    waiting: int
    slowest: tuple[Holder, ...]
    sealed: bool
    switched: bool


class LeaseTable(HolderTable):
    """`lease`: seconds that a grant holds. `drift`: how far two clocks may differ in rate, as a part."""

    def __init__(self, lease: float, drift: float) -> None:
        super().__init__()
        self.lease, self.drift = lease, drift
        self.closing_lease = closing_lease(lease)
        self.state: State | None = None
        self.digests = ("", "")  # of the policy in force, and of the one to come
        self.granting = 0  # the epoch
        self.switch_at = math.inf  # when it goes on to the next one, once that is settled here
        self.closing = False
        self.closing_since = -math.inf
        self.complete_at = -math.inf  # from when on all leases outstanding are in the table
        self.sealed = ""  # id of the change

    # ---- what was chosen

    def restarted(self, now: float, state: State | None) -> None:
        """This voter has started; `state` is the newest that it knows, or none."""
        next_epoch_in = longest_closing_lease(self.lease) * (1 + self.drift)
        self.complete_at = now + (next_epoch_in + self.lease) * (1 + self.drift)
        if state is None:
            return
        self.apply_state(now, state)
        if state.change is not None:
            self.sealed = state.change.id  # it may have said so
            if state.change.stage is Stage.AGREED:
                self._close(now, state.epoch, self.complete_at)

    def apply_state(self, now: float, state: State) -> bool:
        """A state was chosen. Whether it is news."""
        if self.state is not None and state.version <= self.state.version:
            return False
        before = self.change
        self.state = state
        change = state.change
        self.digests = digest(state.policy), digest(change.policy) if change is not None else ""
        if change is None or change.id != self.sealed:
            self.sealed = ""
        if change is None or before is None or before.id != change.id:
            self.begin_change(now, change.id if change is not None else "")
        self.checking = change is not None and change.stage is Stage.CHECKING
        if change is not None and change.stage is Stage.AGREED:
            if self.granting < state.epoch or (self.granting == state.epoch and not self.closing):
                self._close(now, state.epoch, math.inf)
        elif self.granting < state.epoch:  # settled: a majority grants it, so no older lease is good any more
            self.granting, self.closing, self.switch_at = state.epoch, False, math.inf
        return True

    def _close(self, now: float, epoch: int, switch_at: float) -> None:
        self.granting, self.closing, self.switch_at = epoch, True, switch_at
        self.closing_since, self.closing_lease = now, closing_lease(self.lease, self.answer_time)

    @property
    def change(self) -> Change | None:
        return self.state.change if self.state is not None else None

    # ---- time

    def tick(self, now: float) -> None:
        """Switch when it is time."""
        if not self.closing:
            return
        if self.switch_at <= now:
            self.granting, self.closing, self.switch_at = self.granting + 1, False, math.inf
        elif self.switch_at == math.inf:
            last = self.ends.latest()
            soonest = now + self.closing_lease * (1 + self.drift)
            if last <= soonest:
                self.switch_at = max(last, soonest)

    def due(self, now: float) -> float:
        """When `tick` has something to do next; infinite if that hangs on others."""
        if not self.closing:
            return math.inf
        if self.switch_at < math.inf:
            return self.switch_at
        last = self.ends.latest()
        return max(now, last - self.closing_lease * (1 + self.drift)) if last > -math.inf else now

    # ---- holders

    def request(self, now: float, name: str, incarnation: int, request: LeaseRequest) -> LeaseGrant | None:
        """The answer; None to one that is late or came twice."""
        self.tick(now)
        entry = self.entry_of(now, name, incarnation)
        if entry is None:
            return self.refuse(request, f"this voter's lease table is full: {MAX_HOLDERS} holders")
        if request.number <= entry.last_request:
            return None
        self.heard(now, entry, request)
        if self.closing:
            self.index(entry)  # it may have given up the last longer lease
            self.tick(now)
        reason = self._reason_against(now, entry, request)
        grant = self._grant(now, entry, request) if reason is None else self.refuse(request, reason)
        self.index(entry)
        return grant

    def _reason_against(self, now: float, entry: Entry, request: LeaseRequest) -> str | None:
        """Why it gets no new lease, in words that may be empty; None if it does."""
        change = self.change
        if self.state is None:
            return "this voter knows no policy yet"
        if request.epoch > self.granting + 1 or (request.epoch > self.granting and change is None):
            return f"it serves epoch {request.epoch}, and this voter knows of {self.granting} only"
        if self.sealed and not self.has_accepted(entry, self.sealed):
            return "a change is being decided that it has not accepted"
        checking = change is not None and change.stage is Stage.CHECKING and not change.dry
        if checking and change is not None and entry.change != change.id:
            return ""  # it has to answer first; what it holds goes on
        if self.closing and self.complete_at > now and self.switch_at == self.complete_at:
            return "this voter has started while a change took hold, and waits for old leases to end"
        return None

    # ---- answers

    def _grant(self, now: float, entry: Entry, request: LeaseRequest) -> LeaseGrant:
        ttl, begin, next_ttl, next_epoch = self.lease, 0.0, 0.0, 0
        if self.closing:
            ttl = self._closing_ttl(now, entry)
            if self.switch_at < math.inf:
                left = max(0.0, self.switch_at - now)
                ttl = min(ttl, left / (1 + self.drift))
                next_epoch, begin, next_ttl = self.granting + 1, left, left + self.lease
        end = now + ttl * (1 + self.drift) if ttl > 0 else -math.inf
        next_end = now + next_ttl * (1 + self.drift) if next_epoch else -math.inf
        if ttl > 0 or next_epoch:
            entry.outstanding[request.number] = Outstanding(self.granting, end, next_epoch, next_end)
        return self._answer(request, ttl, next_epoch, begin, next_ttl, "")

    def _closing_ttl(self, now: float, entry: Entry) -> float:
        """A short lease; longer where the change has to wait for somebody else's lease to end anyway, or all holders
        would renew short leases all that time. Nobody's first lease is longer, as it may be the one waited for; nor is
        any longer than the change has waited, as that one may still be given up."""
        first, entry.closing_epoch = entry.closing_epoch != self.granting, self.granting
        if first:
            return self.closing_lease
        wait = (self.ends.latest() - now) / (1 + self.drift)
        waited = now - self.closing_since
        return max(self.closing_lease, min(EXTEND_PART * wait, waited))

    def refuse(self, request: LeaseRequest, reason: str) -> LeaseGrant:
        """No new lease. What it holds goes on."""
        return self._answer(request, 0.0, 0, 0.0, 0.0, reason)

    def _answer(
        self, request: LeaseRequest, ttl: float, next_epoch: int, begin: float, next_ttl: float, reason: str
    ) -> LeaseGrant:
        state, change = self.state, self.change
        policy, coming = self.digests
        current = coming if change is not None and self.granting >= change.epoch else policy
        next_policy = coming if next_epoch else ""
        return LeaseGrant(
            number=request.number,
            epoch=self.granting,
            ttl=ttl,
            next_epoch=next_epoch,
            begin=begin,
            next_ttl=next_ttl,
            digests=(current, next_policy),
            version=state.version if state is not None else 0,
            change=change.id if change is not None else "",
            stage=change.stage if change is not None else "",
            dry=change is not None and change.dry,
            subject=coming,
            policies=self._lacking(request.have, (current, coming)),
            reason=reason,
        )

    def _lacking(self, have: tuple[str, ...], wanted: tuple[str, ...]) -> tuple[bytes, ...]:
        """Texts of the wanted policies that the holder does not have."""
        if self.state is None:
            return ()
        found: list[bytes] = []
        for known, text in zip(self.digests, (self.state.policy, self._coming()), strict=True):
            if known and known in wanted and known not in have:
                found.append(text)
        return tuple(found)

    def _coming(self) -> bytes:
        return self.change.policy if self.change is not None else b""

    # ---- the change

    def survey(self, now: float) -> Answers:
        """How far the holders are with the change under way; seals it once all of them accept."""
        self.tick(now)
        change = self.change
        accepted = self._all_accept(now)
        if change is not None and change.stage is Stage.CHECKING and accepted:
            self.sealed = change.id
        sealed = change is not None and self.sealed == change.id and accepted
        switched = change is not None and change.stage is Stage.AGREED and self.granting >= change.epoch
        slowest = self._slowest(now)
        waiting = (
            len(self.unanswered) if change is not None and change.stage is Stage.CHECKING else len(slowest)
        )
        return Answers(self.refusals(now), waiting, slowest, sealed, switched)

    def stage_done(self, now: float) -> bool:
        """Whether this voter's part of a stage is done: all accept, or it grants the new epoch alone."""
        change = self.change
        if change is None:
            return False
        return self._all_accept(now) if change.stage is Stage.CHECKING else self.granting >= change.epoch

    def _all_accept(self, now: float) -> bool:
        return now >= self.complete_at and self.accepted_by_all(now)

    def _slowest(self, now: float) -> tuple[Holder, ...]:
        """Some of those for whom the change waits."""
        change = self.change
        if change is None or change.stage is Stage.CHECKING:
            return self.slowest_to_answer(now)
        key = self.ends.latest_key()
        if not self.closing or self.switch_at < math.inf or key is None:
            return ()
        return (self.holder(now, self.entries[key]),)  # its lease ends last, and has to end
