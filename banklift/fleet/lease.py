"""A router's leases: which policy it may serve under, and until when. Pure; times are this router's own clock.

It may serve epoch e while enough grantors have it under a lease for e: a majority of the voters, or one
aggregator, whose own lease of a majority contains what it grants (aggregator.py). How requests are made and
grants are counted is told in holder.py.

| what it holds | event | next | what is told |
| --- | --- | --- | --- |
| nothing | enough grant e, and it accepts its policy | serving e | `EpochAdopted(e)`, `LeaseExtended` |
| serving e | renewed | serving e, longer | `LeaseExtended` |
| serving e | e ends, and e + 1 has begun at enough | serving e + 1 | `EpochAdopted(e + 1)`, `LeaseExtended` |
| serving e | e ends, e + 1 is about to begin | nothing, for a moment | the end was told before |
| serving e | e ends, nothing has begun | nothing: fenced | a log line; the end was told before |
| any | a policy that it refuses is granted | as before; never serving that | a log line, and its verdict |
| any | `leave` | nothing, for good | the end, then a `LeaseRelease` to each |

Aggregators. The preferred one is asked alone; the standby's link is up, and it is asked when the preferred one
is gone, does not answer, or has no lease itself. A preferred one that grants again is gone back to, and what
the standby granted is given back.

A router that stood still across an end finds it passed when it looks at its clock, which it does before it
takes any request.
"""

from __future__ import annotations

import math
from random import Random

from banklift.fleet.actions import LogLine
from banklift.fleet.holder import (
    NO_GRANT,
    RETRY_PART,
    Action,
    CountedGrant,
    EpochAdopted,
    Grantor,
    LeaseExtended,
    LeaseHolder,
    SendToGrantor,
)
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow
from banklift.fleet.policies import Check, PolicyCache
from banklift.fleet.register import majority


class LeaseClient(LeaseHolder):
    """`grantors`: all voters, or aggregators in order of preference (`one_is_enough`)."""

    def __init__(
        self,
        grantors: tuple[str, ...],
        lease: float,
        drift: float,
        random: Random,
        check: Check,
        one_is_enough: bool = False,
    ) -> None:
        super().__init__(grantors, lease, drift, random)
        self.one_is_enough = one_is_enough
        self.quorum = 1 if one_is_enough else majority(len(grantors))
        self.preference = {name: place for place, name in enumerate(grantors)}
        self.active = grantors[0]  # the aggregator that it leases from
        self.policies = PolicyCache(check)
        self.epochs: dict[int, str] = {}  # digest of the policy of each epoch granted lately
        self.serving = 0
        self.until = -math.inf
        self.fenced = False  # an end was logged
        self.left = False

    # ---- events

    def up(self, now: float, name: str) -> list[Action]:
        actions = super().up(now, name)
        if not self.grantors[self.active].linked:
            self._choose_active(now)
        return actions + self._out(now)

    def down(self, now: float, name: str) -> list[Action]:
        self._unlink(name)
        self._choose_active(now)
        return self._out(now)

    def renew_now(self, now: float, name: str, news: RenewNow) -> list[Action]:
        if not self._is_asked(name) and self.grantors[name].newest is NO_GRANT:
            return []  # a standby has news, and holds nothing of this router
        return super().renew_now(now, name, news)

    def wake(self, now: float) -> list[Action]:
        linked = self.grantors[self.active].linked
        actions = super().wake(now)
        if linked and not self.grantors[self.active].linked:
            self._choose_active(now)
            actions += self._out(now)
        return actions

    def due(self, now: float) -> float:
        due = super().due(now)
        for grantor in self.grantors.values():
            newest = grantor.newest
            if newest.next_epoch and now < newest.begin < due:
                due = newest.begin
        return min(due, self.until) if self.until > now else due

    def leave(self, now: float) -> list[Action]:
        """Serve nothing from now on, and give all leases back."""
        self.left, self.until = True, -math.inf
        self.actions.append(LeaseExtended(-math.inf, RETRY_PART * self.lease))
        for name, grantor in self.grantors.items():
            grantor.due = math.inf
            if grantor.linked:
                self._release(name)
        done, self.actions = self.actions, []
        return done

    # ---- what a holder does

    def _send_request(self, now: float, name: str) -> None:
        if not self.left:
            super()._send_request(now, name)

    def _request(self, number: int, grantor: Grantor) -> LeaseRequest:
        verdict = self.policies.verdicts.get(grantor.subject) if grantor.change else None
        answered = grantor.change if verdict is not None else ""
        have = tuple(self.policies.texts)
        return LeaseRequest(number, grantor.counted_from, self.serving, answered, verdict, have)

    def _granted(self, now: float, name: str, before: CountedGrant, grant: LeaseGrant) -> None:
        grantor = self.grantors[name]
        grantor.counted_from = grantor.newest.number
        for epoch, known in zip((grant.epoch, grant.next_epoch), grant.digests, strict=True):
            if epoch and grantor.newest is not before:
                self.epochs[epoch] = known
        for text in grant.policies:
            self.policies.keep(text, self._in_use())
        if self.one_is_enough:
            self._prefer(now, name, bool(grant.ttl > 0 or grant.next_epoch))
        if grantor.newest.end(grant.epoch) < before.end(grant.epoch):  # the longer lease is given up
            self.actions.append(SendToGrantor(name, LeaseRelease(before.number)))
        if self._check(grantor, grant.change, grant.subject):
            self._send_request(now, name)

    def _is_asked(self, name: str) -> bool:
        if self.left:
            return False
        if not self.one_is_enough or name == self.active:
            return True
        active = self.grantors[self.active]
        return self.preference[name] < self.preference[self.active] or bool(active.reason)

    # ---- changes

    def _told(self, grantor: Grantor, news: RenewNow) -> bool:
        for text in news.policies:
            self.policies.keep(text, self._in_use())
        return self._check(grantor, news.change, news.subject)

    def _check(self, grantor: Grantor, change: str, subject: str) -> bool:
        """Check the policy of a change that is new from this grantor. Whether it was."""
        if not change or change == grantor.change or subject not in self.policies.texts:
            return False
        before = any(other.change == change for other in self.grantors.values())
        grantor.change, grantor.subject = change, subject
        reasons = self.policies.verdict(subject)
        if not before:
            self.actions.append(LogLine("policy checked", {"change": change, "reasons": list(reasons)}))
        return True

    def _in_use(self) -> set[str]:
        found = {self.epochs.get(self.serving, "")}
        for grantor in self.grantors.values():
            newest = grantor.newest
            found |= {
                grantor.subject,
                self.epochs.get(newest.epoch, ""),
                self.epochs.get(newest.next_epoch, ""),
            }
        return found

    # ---- aggregators

    def _choose_active(self, now: float) -> None:
        """Lease from the most preferred aggregator that is linked and gave no reason against it."""
        linked = [name for name, one in self.grantors.items() if one.linked]
        if not self.one_is_enough or not linked:
            return
        best = min(linked, key=lambda name: (self.grantors[name].reason != "", self.preference[name]))
        if best != self.active:
            self.active = best
            if not self.grantors[best].pending:
                self._send_request(now, best)

    def _prefer(self, now: float, name: str, gave: bool) -> None:
        """An aggregator has answered: go on to another if it gave nothing, or back to it if it is preferred."""
        if not gave:
            if name == self.active and self.grantors[name].reason:
                self._choose_active(now)
        elif self.preference[name] < self.preference[self.active] or self.grantors[self.active].reason:
            self.active = name
        if name == self.active and gave:
            self._release_others(name)

    def _release_others(self, name: str) -> None:
        for other, grantor in self.grantors.items():
            if other != name and grantor.linked and grantor.newest is not NO_GRANT:
                self._release(other)

    def _release(self, name: str) -> None:
        grantor = self.grantors[name]
        grantor.newest, grantor.due = NO_GRANT, math.inf
        grantor.pending.clear()
        self.actions.append(SendToGrantor(name, LeaseRelease(self.numbers)))

    # ---- what follows

    def _holds(self, epoch: int, now: float) -> float:
        """Until when enough grantors have it under a lease for this epoch; in the past if they have not."""
        ends = sorted(
            (one.newest.end(epoch) for one in self.grantors.values() if one.newest.covers(epoch, now)),
            reverse=True,
        )
        return ends[self.quorum - 1] if len(ends) >= self.quorum else -math.inf

    def _good(self, now: float) -> tuple[int, float]:
        """The epoch that may be served now, and until when; zero if there is none."""
        epochs = {one.newest.epoch for one in self.grantors.values()}
        epochs |= {one.newest.next_epoch for one in self.grantors.values()}
        good = {epoch: end for epoch in epochs if epoch and (end := self._holds(epoch, now)) > now}
        assert len(good) <= 1, f"leases for two epochs at a time: {good}"
        return next(iter(good.items()), (0, -math.inf))

    def _out(self, now: float) -> list[Action]:
        """What may be served now comes first, before anything that tells a grantor what is given up."""
        told: list[Action] = []
        epoch, end = (0, -math.inf) if self.left else self._good(now)
        text = self.policies.texts.get(self.epochs.get(epoch, ""))
        if epoch and text is not None and not self._refuses(epoch):
            self._serve(epoch, end, text, told)
        else:
            self._stop(now, bool(epoch), told)
        done, self.actions = [*told, *self.actions], []
        return done

    def _refuses(self, epoch: int) -> bool:
        """Whether this router's own check is against the policy in force."""
        reasons = self.policies.verdict(self.epochs[epoch])
        if reasons and not (self.fenced and self.serving == 0):
            fields: dict[str, object] = {"epoch": epoch, "reasons": list(reasons)}
            self.actions.append(LogLine("policy in force is refused", fields))
            self.serving, self.fenced = 0, True
        return bool(reasons)

    def _serve(self, epoch: int, end: float, text: bytes, told: list[Action]) -> None:
        if epoch != self.serving:
            self.serving = epoch
            told.append(EpochAdopted(epoch, text))
        if end != self.until or self.fenced:
            self.until, self.fenced = end, False
            told.append(LeaseExtended(end, RETRY_PART * self.lease))

    def _stop(self, now: float, refused: bool, told: list[Action]) -> None:
        """Nothing may be served. The end that was told last may be later: a longer lease was given up for a
        shorter one that had ended when it came."""
        if self.until > now:
            self.until = now
            told.append(LeaseExtended(now, RETRY_PART * self.lease))
        if self.serving and not self.fenced and not self.left and not refused and not self._next_begins(now):
            self.fenced = True
            troubles = {name: self.trouble(now, name) for name in self.grantors}
            fields: dict[str, object] = {"epoch": self.serving, "grantors": troubles}
            self.actions.append(LogLine("fenced: not enough leases", fields))

    def _next_begins(self, now: float) -> bool:
        """Whether leases on a next epoch are about to begin: what is between is a moment of each change."""
        about_to = (
            now < one.newest.begin < now + self.lease
            for one in self.grantors.values()
            if one.newest.next_epoch
        )
        return sum(about_to) >= self.quorum

    def trouble(self, now: float, name: str) -> str:
        """Why this grantor gives no lease, in words; empty if it does."""
        grantor = self.grantors[name]
        if grantor.newest.covers(self.serving, now):
            return ""
        if not grantor.linked:
            return "no link"
        return grantor.reason or f"no answer for {now - grantor.heard:.1f} s"
