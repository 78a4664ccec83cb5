"""A router's leases: which policy epoch it may serve, and until when.

This module does no I/O. All times are seconds on the router's own clock.

A policy in force has an epoch, a number that counts up with each change of policy. A router may serve epoch e while
enough grantors have it under a lease for e: a majority of the voters, or one aggregator. An aggregator grants only
parts of a lease that it holds from a majority of the voters itself (aggregator.py). How requests are sent and how
long a grant lasts on this clock is described in holder.py.

| the router | event | next | actions |
| --- | --- | --- | --- |
| serves nothing | enough grantors grant e; its check accepts it | serves e | `EpochAdopted(e)`, `LeaseEndChanged` |
| serves e | the leases are renewed | serves e, longer | `LeaseEndChanged` |
| serves e | e ends, and e + 1 has begun at enough grantors | serves e + 1 | `EpochAdopted(e + 1)`, `LeaseEndChanged` |
| serves e | e ends, and e + 1 is about to begin | serves nothing until then | none: the end was announced before |
| serves e | e ends, and no other epoch begins | fenced: serves nothing | a log line; the end was announced before |
| any | a policy that its check refuses is granted | as before, but never serves it | a log line; its verdict is sent |
| any | `leave` | serves nothing any more | the end is announced, then a `LeaseRelease` to each grantor |

Aggregators. A router leases from its preferred aggregator alone. Its link to the standby is up, and it requests a
lease there when the preferred one is gone, does not answer, or has no lease itself. Once the preferred one grants
again, the router goes back to it and releases what the standby granted.

A router that was suspended until after the end of its lease does not serve afterwards: it compares the end with its
clock before it handles any request.
"""

from __future__ import annotations

import math
from random import Random

from banklift.fleet.actions import LogLine
from banklift.fleet.holder import (
    NO_GRANT,
    RETRY_FRACTION,
    Action,
    EpochAdopted,
    Grantor,
    HeldGrant,
    LeaseEndChanged,
    LeaseHolder,
    SendToGrantor,
)
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow
from banklift.fleet.policies import PolicyCache, PolicyCheck
from banklift.fleet.register import majority


class LeaseClient(LeaseHolder):
    """The leases of one router.

    `grantors`: all voters; or, with `uses_aggregators`, aggregators in order of preference, of which one is enough.
    `lease`: seconds that a lease lasts while no change is under way. `drift`: bound on the relative rate of two
    clocks, a fraction.
    `check`: returns the reasons of this router against a policy, none if it can serve it.
    """

    def __init__(
        self,
        grantors: tuple[str, ...],
        lease: float,
        drift: float,
        random: Random,
        check: PolicyCheck,
        uses_aggregators: bool = False,
    ) -> None:
        super().__init__(grantors, lease, drift, random)
        self.uses_aggregators = uses_aggregators
        self.quorum = 1 if uses_aggregators else majority(len(grantors))
        self.preference_rank = {name: index for index, name in enumerate(grantors)}
        self.active_aggregator = grantors[0]  # the one that it leases from; of no meaning without aggregators
        self.policies = PolicyCache(check)
        self.epoch_digests: dict[int, str] = {}  # digest of the policy of each epoch that was granted
        self.serving_epoch = 0  # the epoch that it serves or served last; 0: none
        self.serve_until = -math.inf  # the end of its lease that was announced last
        self.fenced = False  # whether the log tells already that it serves nothing
        self.has_left = False

    # ---- events

    def link_up(self, now: float, name: str) -> list[Action]:
        """The link to the grantor `name` is up."""
        actions = super().link_up(now, name)
        if not self.grantors[self.active_aggregator].linked:
            self._choose_active(now)
        return actions + self._take_actions(now)

    def link_down(self, now: float, name: str) -> list[Action]:
        """The link to the grantor `name` is down: lease from another aggregator, if there is one."""
        self._mark_unlinked(name)
        self._choose_active(now)
        return self._take_actions(now)

    def renew_now(self, now: float, name: str, news: RenewNow) -> list[Action]:
        """The grantor asks for a new request. A standby whose grants this router does not hold gets none."""
        if not self._requests_from(name) and self.grantors[name].newest_grant is NO_GRANT:
            return []
        return super().renew_now(now, name, news)

    def wake(self, now: float) -> list[Action]:
        """Send the requests that are due. If the link to the active aggregator has stalled, choose another one."""
        was_linked = self.grantors[self.active_aggregator].linked
        actions = super().wake(now)
        if was_linked and not self.grantors[self.active_aggregator].linked:
            self._choose_active(now)
            actions += self._take_actions(now)
        return actions

    def due(self, now: float) -> float:
        """When `wake` next has something to do: a request, the start of a next epoch, or the end of the lease."""
        due = super().due(now)
        for grantor in self.grantors.values():
            grant = grantor.newest_grant
            if grant.next_epoch and now < grant.next_begins_at < due:
                due = grant.next_begins_at
        return min(due, self.serve_until) if self.serve_until > now else due

    def leave(self, now: float) -> list[Action]:
        """Serve nothing from now on, and release all leases."""
        self.has_left = True
        self.serve_until = -math.inf
        self.actions.append(LeaseEndChanged(-math.inf, RETRY_FRACTION * self.lease))
        for name, grantor in self.grantors.items():
            grantor.next_request_at = math.inf
            if grantor.linked:
                self._release(name)
        done, self.actions = self.actions, []
        return done

    # ---- hooks of LeaseHolder

    def _send_request(self, now: float, name: str) -> None:
        """Send a request, unless this router has left its fleet."""
        if not self.has_left:
            super()._send_request(now, name)

    def _build_request(self, number: int, grantor: Grantor) -> LeaseRequest:
        """The request, with the verdict on the change that the grantor asked about if it is known."""
        verdict = self.policies.verdicts.get(grantor.change_digest) if grantor.change_id else None
        answered_change = grantor.change_id if verdict is not None else ""
        held_policies = tuple(self.policies.texts)
        return LeaseRequest(
            number, grantor.oldest_held, self.serving_epoch, answered_change, verdict, held_policies
        )

    def _answer_recorded(self, now: float, name: str, previous: HeldGrant, grant: LeaseGrant) -> None:
        """Rely on the newest grant alone, keep the policies that came with it, and check a change that is new."""
        grantor = self.grantors[name]
        grantor.oldest_held = grantor.newest_grant.number
        for epoch, digest in zip((grant.epoch, grant.next_epoch), grant.digests, strict=True):
            if epoch and grantor.newest_grant is not previous:
                self.epoch_digests[epoch] = digest
        for text in grant.policies:
            self.policies.add(text, self._digests_in_use())
        if self.uses_aggregators:
            self._update_active(now, name, bool(grant.ttl > 0 or grant.next_epoch))
        # Tell the grantor at once that a longer lease is no longer relied on, as a change may wait for its end.
        if grantor.newest_grant.end_of(grant.epoch) < previous.end_of(grant.epoch):
            self.actions.append(SendToGrantor(name, LeaseRelease(previous.number)))
        if self._check_change(grantor, grant.change, grant.change_digest):
            self._send_request(now, name)

    def _requests_from(self, name: str) -> bool:
        """Of aggregators: the active one, those preferred to it, and all others while the active one refuses."""
        if self.has_left:
            return False
        if not self.uses_aggregators or name == self.active_aggregator:
            return True
        active = self.grantors[self.active_aggregator]
        is_preferred = self.preference_rank[name] < self.preference_rank[self.active_aggregator]
        return is_preferred or bool(active.refusal_reason)

    # ---- checks of changes

    def _news_received(self, grantor: Grantor, news: RenewNow) -> bool:
        """Check the policy of a change that an aggregator has sent. Returns whether the verdict has to be told."""
        for text in news.policies:
            self.policies.add(text, self._digests_in_use())
        return self._check_change(grantor, news.change, news.change_digest)

    def _check_change(self, grantor: Grantor, change: str, digest: str) -> bool:
        """Check the policy of a change if this grantor names the change for the first time and the text is here.

        Returns whether it was checked, and the grantor has to be told the verdict. The check is logged once for
        each change, whichever grantor names it.
        """
        if not change or change == grantor.change_id or digest not in self.policies.texts:
            return False
        is_known = any(other.change_id == change for other in self.grantors.values())
        grantor.change_id = change
        grantor.change_digest = digest
        reasons = self.policies.verdict(digest)
        if not is_known:
            self.actions.append(LogLine("policy checked", {"change": change, "reasons": list(reasons)}))
        return True

    def _digests_in_use(self) -> set[str]:
        """Digests of the policies that are served, granted or being checked."""
        found = {self.epoch_digests.get(self.serving_epoch, "")}
        for grantor in self.grantors.values():
            grant = grantor.newest_grant
            found |= {
                grantor.change_digest,
                self.epoch_digests.get(grant.epoch, ""),
                self.epoch_digests.get(grant.next_epoch, ""),
            }
        return found

    # ---- choice of an aggregator

    def _choose_active(self, now: float) -> None:
        """Lease from the most preferred linked aggregator among those that did not refuse, or else among all."""
        linked = [name for name, grantor in self.grantors.items() if grantor.linked]
        if not self.uses_aggregators or not linked:
            return
        best = min(
            linked,
            key=lambda name: (self.grantors[name].refusal_reason != "", self.preference_rank[name]),
        )
        if best != self.active_aggregator:
            self.active_aggregator = best
            if not self.grantors[best].pending_requests:
                self._send_request(now, best)

    def _update_active(self, now: float, name: str, has_granted: bool) -> None:
        """Choose the active aggregator again after an answer of `name`.

        If the active one granted nothing, another one may take its place. One that granted becomes the active one
        if it is preferred, or if the active one refuses; then the leases of all others are released.
        """
        active = self.active_aggregator
        if not has_granted:
            if name == active and self.grantors[name].refusal_reason:
                self._choose_active(now)
        elif (
            self.preference_rank[name] < self.preference_rank[active] or self.grantors[active].refusal_reason
        ):
            self.active_aggregator = name
        if name == self.active_aggregator and has_granted:
            self._release_others(name)

    def _release_others(self, name: str) -> None:
        """Release the leases of all grantors but `name`."""
        for other, grantor in self.grantors.items():
            if other != name and grantor.linked and grantor.newest_grant is not NO_GRANT:
                self._release(other)

    def _release(self, name: str) -> None:
        """Release all leases of this grantor, also those that an answer on its way may bring."""
        grantor = self.grantors[name]
        grantor.newest_grant = NO_GRANT
        grantor.next_request_at = math.inf
        grantor.pending_requests.clear()
        self.actions.append(SendToGrantor(name, LeaseRelease(self.last_number)))

    # ---- what may be served

    def _quorum_end(self, epoch: int, now: float) -> float:
        """Until when enough grantors have this router under a lease for the epoch; minus infinity if too few do."""
        ends = sorted(
            (
                grantor.newest_grant.end_of(epoch)
                for grantor in self.grantors.values()
                if grantor.newest_grant.covers(epoch, now)
            ),
            reverse=True,
        )
        return ends[self.quorum - 1] if len(ends) >= self.quorum else -math.inf

    def _leased_epoch(self, now: float) -> tuple[int, float]:
        """The epoch that enough leases allow to serve now, and until when; zero and minus infinity if none."""
        epochs = {grantor.newest_grant.epoch for grantor in self.grantors.values()}
        epochs |= {grantor.newest_grant.next_epoch for grantor in self.grantors.values()}
        leased = {epoch: end for epoch in epochs if epoch and (end := self._quorum_end(epoch, now)) > now}
        assert len(leased) <= 1, f"leases for two epochs at a time: {leased}"
        return next(iter(leased.items()), (0, -math.inf))

    def _take_actions(self, now: float) -> list[Action]:
        """Decide what may be served now, and return this before the other actions that have gathered.

        The order matters: the router stops serving before a grantor is told that it gives a lease up.
        """
        decided: list[Action] = []
        epoch, end = (0, -math.inf) if self.has_left else self._leased_epoch(now)
        text = self.policies.texts.get(self.epoch_digests.get(epoch, ""))
        if epoch and text is not None and not self._is_refused(epoch):
            self._serve(epoch, end, text, decided)
        else:
            self._stop_serving(now, bool(epoch), decided)
        done, self.actions = [*decided, *self.actions], []
        return done

    def _is_refused(self, epoch: int) -> bool:
        """Whether this router's own check refuses the policy of the epoch. Logged once."""
        reasons = self.policies.verdict(self.epoch_digests[epoch])
        if reasons and not (self.fenced and self.serving_epoch == 0):
            fields: dict[str, object] = {"epoch": epoch, "reasons": list(reasons)}
            self.actions.append(LogLine("policy in force is refused", fields))
            self.serving_epoch = 0
            self.fenced = True
        return bool(reasons)

    def _serve(self, epoch: int, end: float, text: bytes, decided: list[Action]) -> None:
        """Serve the epoch until `end`, and announce what of this is new."""
        if epoch != self.serving_epoch:
            self.serving_epoch = epoch
            decided.append(EpochAdopted(epoch, text))
        if end != self.serve_until or self.fenced:
            self.serve_until = end
            self.fenced = False
            decided.append(LeaseEndChanged(end, RETRY_FRACTION * self.lease))

    def _stop_serving(self, now: float, has_lease: bool, decided: list[Action]) -> None:
        """Serve nothing, and log it once. `has_lease`: there are enough leases, but the policy can't be served.

        The end that was announced last may still be ahead, and is then moved to `now`: a longer lease was given up
        for a shorter one that had ended before it came.
        """
        if self.serve_until > now:
            self.serve_until = now
            decided.append(LeaseEndChanged(now, RETRY_FRACTION * self.lease))
        has_lost_leases = self.serving_epoch and not self.fenced and not self.has_left and not has_lease
        if has_lost_leases and not self._next_epoch_is_imminent(now):
            self.fenced = True
            reasons = {name: self._reason_without_lease(now, name) for name in self.grantors}
            fields: dict[str, object] = {"epoch": self.serving_epoch, "grantors": reasons}
            self.actions.append(LogLine("fenced: not enough leases", fields))

    def _next_epoch_is_imminent(self, now: float) -> bool:
        """Whether enough leases on a next epoch begin within one lease: each change has a short gap between the end
        of one epoch and the start of the next, which is no loss of leases."""
        begins_soon = (
            now < grantor.newest_grant.next_begins_at < now + self.lease
            for grantor in self.grantors.values()
            if grantor.newest_grant.next_epoch
        )
        return sum(begins_soon) >= self.quorum

    def _reason_without_lease(self, now: float, name: str) -> str:
        """Why this grantor gives no lease on the epoch served, for the log; empty if it gives one."""
        grantor = self.grantors[name]
        if grantor.newest_grant.covers(self.serving_epoch, now):
            return ""
        if not grantor.linked:
            return "no link"
        return grantor.refusal_reason or f"no answer for {now - grantor.last_heard:.1f} s"
