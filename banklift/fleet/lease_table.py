"""A voter's table of the leases that it has granted.

This module does no I/O. All times are seconds on the voter's own clock, which never goes back.

Safety rests on one rule: **a voter never has leases on two epochs outstanding at one time.** A router may serve an
epoch while a majority of the voters has it under a lease for that epoch. Any two majorities share a voter, so no two
routers serve different epochs at one moment, whatever messages are lost, late or cut off, as long as the rates of two
clocks differ by no more than `drift`. Points in time are never compared between machines. The holder counts a lease
from when it sent the request, and the voter from when it granted it; at the voter the lease ends `drift` of its
length later than was said.

A holder is a router, or an aggregator, which grants parts of its lease to routers (aggregator.py). The table treats
both alike.

Stages. A change from epoch e to e + 1 takes these steps at each voter:

| stage | event | next stage | a request is granted |
| --- | --- | --- | --- |
| granting e | the change to e + 1 was agreed | closing | a lease on e of full length |
| closing | all outstanding leases are short | switching, at `switch_at`, the last end of them | a short lease on e |
| switching | `switch_at` has come | granting e + 1 | e until `switch_at`, and e + 1 from then on |
| granting e + 1 | the change to e + 1 was settled | granting e + 1 | a lease on e + 1 of full length |

Short leases. Their length is `closing_lease_time`, which is longer where holders took long to answer the check. While
the voter waits for the end of a longer lease that its holder does not give up, each other holder gets up to half of the
time that is left of it. This delays nothing, and saves the voter and its holders thousands of renewals. That longer
lease may still be given up late, so the others get no more than the time that was waited already: the change then
takes at most about twice as long.

Restart. A voter that has restarted does not know which leases are outstanding. This does no harm while no change is
agreed: every outstanding lease is on the epoch in force, or has ended. If a change is agreed, this voter may have
switched already. Then it grants nothing until every lease that it can have granted has ended, and e + 1 afterwards
(`restarted`).

Sealing. A change is agreed only when every holder of a lease has accepted it. A voter that has reported this
(`sealed_change`) gives no lease to other holders until the change is decided. So every holder of leases from a majority
at that time is among those that were asked.

Cost. Ends of leases and verdicts on a change are indexed (end_index.py), so a request costs O(log n) in the number
of holders in every stage; only the start of a change looks at all of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from banklift.fleet.holder_table import MAX_HOLDERS, HolderEntry, HolderTable, OutstandingGrant
from banklift.fleet.messages import Holder, LeaseGrant, LeaseRequest
from banklift.fleet.state import Change, Stage, State, digest

# Length of a short lease as a fraction of a lease. A change takes at least this long.
CLOSING_LEASE_FRACTION = 0.1
# Shortest length of a short lease.
MIN_CLOSING_LEASE_SECONDS = 0.5
# Shortest length of a short lease in answer times of the holders: with shorter ones they renew too late.
CLOSING_LEASE_ANSWER_TIMES = 2.0
# Longest length of a short lease as a fraction of a lease; limits both minimums above.
MAX_CLOSING_LEASE_FRACTION = 0.25
# While a change waits for the end of somebody's longer lease: longest length of the others' leases, as a fraction of
# the time that is left.
EXTENDED_LEASE_FRACTION = 0.5


def closing_lease_time(lease: float, answer_time: float = 0.0) -> float:
    """Seconds that a short lease lasts, that is, one granted while a change takes hold.

    `lease`: seconds that a lease lasts while no change is under way. `answer_time`: seconds in which half of the
    holders answered the check of the change; they will again all renew at one moment.
    """
    least = max(
        CLOSING_LEASE_FRACTION * lease, MIN_CLOSING_LEASE_SECONDS, CLOSING_LEASE_ANSWER_TIMES * answer_time
    )
    return max(CLOSING_LEASE_FRACTION * lease, min(least, MAX_CLOSING_LEASE_FRACTION * lease))


def longest_closing_lease(lease: float) -> float:
    """The most seconds that `closing_lease_time` returns for leases of `lease` seconds, whatever the answer time."""
    return max(CLOSING_LEASE_FRACTION, MAX_CLOSING_LEASE_FRACTION) * lease


@dataclass(frozen=True, slots=True)
class SurveyResult:
    """How far this voter's holders are with the change under way; they are sent in a `Surveyed`."""

    refusals: tuple[Holder, ...]
    waiting: int
    slowest: tuple[Holder, ...]
    sealed: bool
    switched: bool


class LeaseTable(HolderTable):
    """The leases of one voter.

    `lease`: seconds that a lease lasts while no change is under way. `drift`: bound on the relative rate of two
    clocks, a fraction.
    """

    def __init__(self, lease: float, drift: float) -> None:
        super().__init__()
        self.lease = lease
        self.drift = drift
        # seconds of a short lease during the change under way
        self.closing_length = closing_lease_time(lease)
        self.state: State | None = None  # the newest state that this voter knows
        self.digests = ("", "")  # of the policy in force, and of that of the change under way; empty: none
        self.granting_epoch = 0  # the epoch that is granted
        self.switch_at = math.inf  # when the next epoch is granted; infinity while that is not fixed
        self.closing = False  # in the stage closing or switching
        self.closing_since = -math.inf
        self.all_known_at = -math.inf  # from then on every outstanding lease is in the table
        # id of the change that this voter has reported as accepted by all; empty: none
        self.sealed_change = ""

    # ---- state of the register

    def restarted(self, now: float, state: State | None) -> None:
        """This voter has started; `state` is the newest one that it knows, or None.

        Leases that it granted before its restart may be outstanding. The last of them to end may be one on the next
        epoch, which begins after a short lease of the longest kind and lasts a full lease from then.
        """
        next_epoch_in = longest_closing_lease(self.lease) * (1 + self.drift)
        self.all_known_at = now + (next_epoch_in + self.lease) * (1 + self.drift)
        if state is None:
            return
        self.apply_state(now, state)
        if state.change is not None:
            # Before its restart this voter may have reported the change as sealed.
            self.sealed_change = state.change.id
            if state.change.stage is Stage.AGREED:
                self._begin_closing(now, state.epoch, self.all_known_at)

    def apply_state(self, now: float, state: State) -> bool:
        """Take over a chosen state. Returns whether it is newer than the one known."""
        if self.state is not None and state.version <= self.state.version:
            return False
        previous_change = self.change
        self.state = state
        change = state.change
        self.digests = digest(state.policy), digest(change.policy) if change is not None else ""
        if change is None or change.id != self.sealed_change:
            self.sealed_change = ""
        if change is None or previous_change is None or previous_change.id != change.id:
            self.begin_change(now, change.id if change is not None else "")
        self.checking = change is not None and change.stage is Stage.CHECKING
        if change is not None and change.stage is Stage.AGREED:
            if self.granting_epoch < state.epoch or (self.granting_epoch == state.epoch and not self.closing):
                self._begin_closing(now, state.epoch, math.inf)
        elif self.granting_epoch < state.epoch:
            # The change was settled: a majority grants the new epoch alone, so no lease on an older one is of use.
            self.granting_epoch = state.epoch
            self.closing = False
            self.switch_at = math.inf
        return True

    def _begin_closing(self, now: float, epoch: int, switch_at: float) -> None:
        """Grant short leases on the epoch until the switch to the next one."""
        self.granting_epoch = epoch
        self.closing = True
        self.switch_at = switch_at
        self.closing_since = now
        self.closing_length = closing_lease_time(self.lease, self.median_answer_time)

    @property
    def change(self) -> Change | None:
        """The change under way in the newest state known, or None."""
        return self.state.change if self.state is not None else None

    # ---- time

    def tick(self, now: float) -> None:
        """Fix the time of the switch once all outstanding leases are short, and switch when that time has come."""
        if not self.closing:
            return
        if self.switch_at <= now:
            self.granting_epoch += 1
            self.closing = False
            self.switch_at = math.inf
        elif self.switch_at == math.inf:
            last_end = self.lease_ends.latest()
            earliest_switch = now + self.closing_length * (1 + self.drift)
            if last_end <= earliest_switch:
                self.switch_at = max(last_end, earliest_switch)

    def due(self, now: float) -> float:
        """When `tick` next has something to do; infinity if only an event can change that."""
        if not self.closing:
            return math.inf
        if self.switch_at < math.inf:
            return self.switch_at
        last_end = self.lease_ends.latest()
        return max(now, last_end - self.closing_length * (1 + self.drift)) if last_end > -math.inf else now

    # ---- requests

    def request(self, now: float, name: str, incarnation: int, request: LeaseRequest) -> LeaseGrant | None:
        """The answer to a holder's request; None if the request is late or duplicated."""
        self.tick(now)
        entry = self.find_or_add(now, name, incarnation)
        if entry is None:
            return self.refuse(request, f"this voter's lease table is full: {MAX_HOLDERS} holders")
        if request.number <= entry.last_number:
            return None
        self.record_request(now, entry, request)
        if self.closing:
            # The request may have given up the last lease that was not short, which fixes the time of the switch.
            self.update_indexes(entry)
            self.tick(now)
        reason = self._reason_to_refuse(now, entry, request)
        grant = self._grant(now, entry, request) if reason is None else self.refuse(request, reason)
        self.update_indexes(entry)
        return grant

    def _reason_to_refuse(self, now: float, entry: HolderEntry, request: LeaseRequest) -> str | None:
        """Why the holder gets no new lease, for operators; None if it gets one.

        The reason is empty if the holder first has to answer the check of a change. What it holds stays valid.
        """
        change = self.change
        if self.state is None:
            return "this voter knows no policy yet"
        if request.epoch > self.granting_epoch + 1 or (
            request.epoch > self.granting_epoch and change is None
        ):
            return f"it serves epoch {request.epoch}, and this voter knows of {self.granting_epoch} only"
        if self.sealed_change and not self.has_accepted(entry, self.sealed_change):
            return "a change is being decided that it has not accepted"
        checking = change is not None and change.stage is Stage.CHECKING and not change.dry
        if checking and change is not None and entry.change_id != change.id:
            return ""
        if self.closing and self.all_known_at > now and self.switch_at == self.all_known_at:
            return "this voter has started while a change took hold, and waits for old leases to end"
        return None

    # ---- answers

    def _grant(self, now: float, entry: HolderEntry, request: LeaseRequest) -> LeaseGrant:
        """Grant a lease, and record it as outstanding."""
        ttl, begin, next_ttl, next_epoch = self.lease, 0.0, 0.0, 0
        if self.closing:
            ttl = self._closing_ttl(now, entry)
            if self.switch_at < math.inf:
                left = max(0.0, self.switch_at - now)
                ttl = min(ttl, left / (1 + self.drift))
                next_epoch = self.granting_epoch + 1
                begin = left
                next_ttl = left + self.lease
        end = now + ttl * (1 + self.drift) if ttl > 0 else -math.inf
        next_end = now + next_ttl * (1 + self.drift) if next_epoch else -math.inf
        if ttl > 0 or next_epoch:
            entry.outstanding[request.number] = OutstandingGrant(
                self.granting_epoch, end, next_epoch, next_end
            )
        return self._build_grant(request, ttl, next_epoch, begin, next_ttl, "")

    def _closing_ttl(self, now: float, entry: HolderEntry) -> float:
        """Seconds of a lease that is granted while a change takes hold.

        It is short, or longer while the change has to wait for another holder's longer lease to end: otherwise all
        holders would renew short leases all that time. A holder's first lease during closing is always short, as
        the lease waited for may be its own older one. No lease is longer than the change has waited already, as the
        lease waited for may still be given up.
        """
        is_first = entry.closing_epoch != self.granting_epoch
        entry.closing_epoch = self.granting_epoch
        if is_first:
            return self.closing_length
        time_to_wait = (self.lease_ends.latest() - now) / (1 + self.drift)
        time_waited = now - self.closing_since
        return max(self.closing_length, min(EXTENDED_LEASE_FRACTION * time_to_wait, time_waited))

    def refuse(self, request: LeaseRequest, reason: str) -> LeaseGrant:
        """An answer without a new lease. What the holder holds stays valid."""
        return self._build_grant(request, 0.0, 0, 0.0, 0.0, reason)

    def _build_grant(
        self, request: LeaseRequest, ttl: float, next_epoch: int, begin: float, next_ttl: float, reason: str
    ) -> LeaseGrant:
        """The answer to a request with these terms, and with the newest state and the policies that are missing."""
        state, change = self.state, self.change
        policy_digest, change_digest = self.digests
        current_digest = (
            change_digest if change is not None and self.granting_epoch >= change.epoch else policy_digest
        )
        next_digest = change_digest if next_epoch else ""
        return LeaseGrant(
            number=request.number,
            epoch=self.granting_epoch,
            ttl=ttl,
            next_epoch=next_epoch,
            next_begins_in=begin,
            next_epoch_ttl=next_ttl,
            digests=(current_digest, next_digest),
            version=state.version if state is not None else 0,
            change=change.id if change is not None else "",
            stage=change.stage if change is not None else "",
            dry=change is not None and change.dry,
            change_digest=change_digest,
            policies=self._missing_policies(request.known_policies, (current_digest, change_digest)),
            reason=reason,
        )

    def _missing_policies(self, held: tuple[str, ...], needed: tuple[str, ...]) -> tuple[bytes, ...]:
        """Texts of the needed policies that are not among those that the holder has; both are given by digest."""
        if self.state is None:
            return ()
        found: list[bytes] = []
        for policy_digest, text in zip(self.digests, (self.state.policy, self._change_policy()), strict=True):
            if policy_digest and policy_digest in needed and policy_digest not in held:
                found.append(text)
        return tuple(found)

    def _change_policy(self) -> bytes:
        """The text of the policy of the change under way; empty if there is none."""
        return self.change.policy if self.change is not None else b""

    # ---- progress of the change

    def survey(self, now: float) -> SurveyResult:
        """How far the holders are with the change under way. Seals the change once all of them accept."""
        self.tick(now)
        change = self.change
        accepted = self._all_accept(now)
        if change is not None and change.stage is Stage.CHECKING and accepted:
            self.sealed_change = change.id
        sealed = change is not None and self.sealed_change == change.id and accepted
        switched = change is not None and change.stage is Stage.AGREED and self.granting_epoch >= change.epoch
        slowest = self._slowest(now)
        waiting = (
            len(self.unanswered) if change is not None and change.stage is Stage.CHECKING else len(slowest)
        )
        return SurveyResult(self.refusals(now), waiting, slowest, sealed, switched)

    def stage_done(self, now: float) -> bool:
        """Whether this voter's part of the stage is done: all accept the change, or only the new epoch is granted."""
        change = self.change
        if change is None:
            return False
        return (
            self._all_accept(now) if change.stage is Stage.CHECKING else self.granting_epoch >= change.epoch
        )

    def _all_accept(self, now: float) -> bool:
        """Whether every holder of a lease accepts the change, also those whose leases a restart has forgotten."""
        return now >= self.all_known_at and self.accepted_by_all(now)

    def _slowest(self, now: float) -> tuple[Holder, ...]:
        """Some of the holders that the change waits for."""
        change = self.change
        if change is None or change.stage is Stage.CHECKING:
            return self.slowest_to_answer(now)
        key = self.lease_ends.latest_key()
        if not self.closing or self.switch_at < math.inf or key is None:
            return ()
        # While the time of the switch is not fixed, the change waits for the lease that ends last.
        return (self.describe(now, self.entries[key]),)
