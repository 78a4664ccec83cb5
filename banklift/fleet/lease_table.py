"""A voter's table of leases that it has granted. Pure; times are the voter's own clock, which never goes back.

The rule that all else rests on: **a voter never has leases on two epochs out at one time.** A router may serve an epoch
while a majority of voters has it under a lease for that epoch. Any two majorities share a voter, so no two routers
serve different epochs at one moment, whatever is lost, late or cut off, as long as clocks run no more than `drift`
apart in rate. Points in time are never compared between machines: a lease counts from when it was asked for at the
router, and
from when it was given here, and ends here `drift` later.

Short leases are those of `closing_lease`.

| stage | event | next | requests are granted |
| --- | --- | --- | --- |
| granting e | a change to e + 1 was agreed | closing | e for `ttl` |
| closing | all leases outstanding are short | switching, at `switch_at` = their last end | a short e |
| switching | `switch_at` has come | granting e + 1 | e up to `switch_at`, e + 1 from then on |
| granting e + 1 | e + 1 was settled | the same | e + 1 for `ttl` |

A voter that has started anew has forgotten which leases are out. Where no change is agreed that does no harm: all that
can be out is for the epoch in force, or expired. Where one is agreed it may have switched already, so it grants nothing
until all that it ever gave must have ended, and then e + 1 (`restarted`).

Sealing. A change is agreed only when nobody holds a lease who has not accepted it. A voter that has said so (`sealed`)
gives no lease to others until the change is decided; so whoever holds one then, by a majority, was among those asked.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from banklift.fleet.messages import Holder, LeaseGrant, LeaseRequest
from banklift.fleet.state import Change, Stage, State, digest

FORGET_AFTER = 3600.0  # seconds after which a router that was not heard of is no longer listed
CLOSING_PART = 0.1  # of a lease: how long one is while a change takes hold; what a change takes at the least
MOST = 4096  # routers in the table


@dataclass(slots=True, eq=False)
class Entry:
    """One incarnation of one router."""

    name: str
    incarnation: int
    heard: float
    epoch: int = 0  # it serves
    asked: int = 0  # number of its newest ask
    outstanding: dict[int, float] = field(
        default_factory=dict
    )  # grants that it may count: when each has ended for certain
    change: str = ""  # that its verdict is on
    verdict: tuple[str, ...] | None = None

    def last_end(self) -> float:
        return max(self.outstanding.values(), default=-math.inf)


class LeaseTable:
    """`lease`: seconds that a grant holds. `drift`: how far two clocks may differ in rate, as a part."""

    def __init__(self, lease: float, drift: float) -> None:
        self.lease, self.drift = lease, drift
        self.closing_lease = CLOSING_PART * lease
        self.entries: dict[tuple[str, int], Entry] = {}
        self.state: State | None = None
        self.digests = ("", "")  # of the policy in force, and of the one to come
        self.granting = 0  # the epoch
        self.switch_at = math.inf  # when it goes on to the next one, once that is settled here
        self.closing = False
        self.complete_at = -math.inf  # from when on all leases out are in the table
        self.sealed = ""  # id of the change

    # ---- what was chosen

    def restarted(self, now: float, state: State | None) -> None:
        """This voter has started; `state` is the newest that it knows, or none."""
        self.complete_at = now + self.lease * (1 + self.drift) + self.closing_lease * (1 + self.drift)
        if state is None:
            return
        self.apply_state(now, state)
        if state.change is not None:
            self.sealed = state.change.id  # it may have said so
            if state.change.stage is Stage.AGREED:
                self.granting, self.closing, self.switch_at = state.epoch, True, self.complete_at

    def apply_state(self, now: float, state: State) -> bool:
        """A state was chosen. Whether it is news."""
        if self.state is not None and state.version <= self.state.version:
            return False
        self.state = state
        change = state.change
        self.digests = digest(state.policy), digest(change.policy) if change is not None else ""
        if change is None or change.id != self.sealed:
            self.sealed = ""
        if change is not None and change.stage is Stage.AGREED:
            if self.granting < state.epoch or (self.granting == state.epoch and not self.closing):
                self.granting, self.closing, self.switch_at = state.epoch, True, math.inf
        elif self.granting < state.epoch:  # settled: a majority grants it, so no older lease is good any more
            self.granting, self.closing, self.switch_at = state.epoch, False, math.inf
        return True

    @property
    def change(self) -> Change | None:
        return self.state.change if self.state is not None else None

    # ---- time

    def sweep(self, now: float) -> None:
        """Remove who holds nothing and was not heard of for long."""
        for key, entry in list(self.entries.items()):
            if entry.last_end() <= now and now - entry.heard > FORGET_AFTER:
                del self.entries[key]

    def tick(self, now: float) -> None:
        """Switch when it is time; looks at all routers only while a change takes hold."""
        if self.closing and self.switch_at <= now:
            self.granting, self.closing, self.switch_at = self.granting + 1, False, math.inf
        elif self.closing and self.switch_at == math.inf:
            last = max((entry.last_end() for entry in self.entries.values()), default=-math.inf)
            if last <= now + self.closing_lease * (1 + self.drift):
                self.switch_at = max(last, now + self.closing_lease * (1 + self.drift))

    def due(self, now: float) -> float:
        """When `tick` has something to do next; infinite if that hangs on others."""
        if not self.closing:
            return math.inf
        if self.switch_at < math.inf:
            return self.switch_at
        last = max((entry.last_end() for entry in self.entries.values()), default=now)
        return max(now, last - self.closing_lease * (1 + self.drift))

    # ---- routers

    def ask(self, now: float, name: str, incarnation: int, ask: LeaseRequest) -> LeaseGrant | None:
        """The answer; None to one that is late or came twice."""
        self.tick(now)
        key = name, incarnation
        entry = self.entries.get(key)
        if entry is None:
            self.sweep(now)
            if len(self.entries) >= MOST:
                return self._none(ask, "this voter's lease table is full")
            entry = self.entries[key] = Entry(name, incarnation, now)
        if ask.number <= entry.asked:
            return None
        entry.asked, entry.heard, entry.epoch = ask.number, now, ask.epoch
        entry.outstanding = {number: end for number, end in entry.outstanding.items() if number >= ask.held}
        change = self.change
        if change is not None and ask.change == change.id and entry.change != change.id:
            entry.change, entry.verdict = change.id, ask.verdict
        if self.state is None:
            return self._none(ask, "this voter knows no policy yet")
        if ask.epoch > self.granting + 1 or (ask.epoch > self.granting and change is None):
            return self._none(
                ask, f"it serves epoch {ask.epoch}, and this voter knows of {self.granting} only"
            )
        if self.sealed and (entry.change != self.sealed or entry.verdict != ()):
            return self._none(ask, "a change is being decided that it has not accepted")
        if (
            change is not None
            and change.stage is Stage.CHECKING
            and not change.dry
            and entry.change != change.id
        ):
            return self._none(ask, "", keep=True)
        if self.closing and self.complete_at > now and self.switch_at == self.complete_at:
            return self._none(
                ask, "this voter has started while a change took hold, and waits for old leases to end"
            )
        return self._grant(now, entry, ask)

    def _grant(self, now: float, entry: Entry, ask: LeaseRequest) -> LeaseGrant:
        ttl, begin, next_ttl, next_epoch = self.lease, 0.0, 0.0, 0
        if self.closing:
            ttl = self.closing_lease
            if self.switch_at < math.inf:
                left = max(0.0, self.switch_at - now)
                ttl = min(ttl, left / (1 + self.drift))
                next_epoch, begin, next_ttl = self.granting + 1, left, left + self.lease
        if ttl > 0:
            entry.outstanding[ask.number] = now + ttl * (1 + self.drift)
        if next_epoch:  # ends later; what is out of the next epoch is closed by the change after it
            entry.outstanding[ask.number] = now + next_ttl * (1 + self.drift)
        return self._answer(ask, ttl, next_epoch, begin, next_ttl, "")

    def _none(self, ask: LeaseRequest, reason: str, keep: bool = False) -> LeaseGrant:
        """No new lease. What it holds goes on."""
        return self._answer(ask, 0.0, 0, 0.0, 0.0, reason)

    def _answer(
        self, ask: LeaseRequest, ttl: float, next_epoch: int, begin: float, next_ttl: float, reason: str
    ) -> LeaseGrant:
        state, change = self.state, self.change
        policy, coming = self.digests if state is not None else ("", "")
        subject = coming if change is not None and ask.change != change.id else ""
        texts: dict[str, bytes] = {}
        if state is not None:
            texts[policy] = state.policy
        if change is not None:
            texts[coming] = change.policy
        serves_new = change is not None and self.granting >= change.epoch
        current = coming if serves_new else policy
        wanted = {current, subject, coming if next_epoch else ""} - {"", *ask.have}
        return LeaseGrant(
            ask.number,
            self.granting,
            ttl,
            next_epoch,
            begin,
            next_ttl,
            (current, coming if next_epoch else ""),
            change.id if subject and change is not None else "",
            subject,
            tuple(texts[one] for one in sorted(wanted)),
            reason,
        )

    # ---- the change

    def survey(self, now: float) -> tuple[tuple[Holder, ...], bool, bool]:
        """Who holds a lease or was heard of lately; whether the change is sealed; whether this voter has switched."""
        self.tick(now)
        change = self.change
        holders = self.holders(now)
        if (
            change is not None
            and change.stage is Stage.CHECKING
            and not self.sealed
            and now >= self.complete_at
            and all(one.verdict == () for one in holders if one.left > 0)
        ):
            self.sealed = change.id
        sealed = (
            change is not None
            and self.sealed == change.id
            and now >= self.complete_at
            and all(one.verdict == () for one in holders if one.left > 0)
        )
        switched = change is not None and change.stage is Stage.AGREED and self.granting >= change.epoch
        return holders, sealed, switched

    def holders(self, now: float) -> tuple[Holder, ...]:
        change = self.change
        return tuple(
            Holder(
                one.name,
                one.incarnation,
                one.epoch,
                one.verdict if change is not None and one.change == change.id else None,
                now - one.heard,
                max(0.0, one.last_end() - now),
            )
            for one in sorted(self.entries.values(), key=lambda one: (one.name, one.incarnation))
        )
