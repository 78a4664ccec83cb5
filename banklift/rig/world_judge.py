"""Checks the invariants of a fleet in virtual time. The judge sees every event at its true time, and all messages that
grantors of leases send.

| invariant | meaning |
| --- | --- |
| never mixed | while a router may serve under one policy, no other may under another; no older policy comes back |
| one policy to an epoch | all routers adopt the same policy as an epoch; it is the one reported as in force |
| nowhere | no router adopts a policy that was reported as aborted, or requested as a dry run |
| everywhere or nowhere | when a change is agreed on, no router that may serve refuses it |
| made twice | no policy is adopted as two epochs |
| contained | a router's lease ends within what it was granted, a sub-lease within its aggregator's own leases |

For each invariant the judge counts the cases in which it could have been violated. A `LeaseGap`, a time in which a
router that ran had no lease, violates none; tests check them by themselves.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

from banklift.fleet.messages import Ended, FrameDecoder, LeaseGrant, Message, NotProposed
from banklift.fleet.register import majority
from banklift.fleet.state import Outcome, Result, Stage, digest

REFUSAL_MARKER = b"refused here"  # routers with reasons refuse every policy whose text contains this
ROUNDING_TOLERANCE = 1e-6  # seconds by which a lease may end late, as times are converted between clocks
EPOCHS_KEPT = 4  # newest epochs of which each holder's grants are remembered


class NoResult(StrEnum):
    """What an operator's request came to if it got no outcome of a change."""

    NOT_PROPOSED = "unmade"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of one member of the fleet."""

    key: str  # of the member; unique in this world, while two members may have the same name
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaseGap:
    """A time in which a router that ran had no lease."""

    router: str
    begin: float  # true time
    end: float  # true time; of a gap that goes on: now
    epoch_before: int  # epoch of the lease that ended
    epoch_after: int  # epoch of the next lease; 0 if there is none

    @property
    def duration(self) -> float:
        """Seconds."""
        return self.end - self.begin


@dataclass(slots=True, eq=False)
class ServingState:
    """Under which policy, and until when, one router's process may serve."""

    process: Process
    is_voter: bool
    refusal_reasons: tuple[str, ...]  # for which it refuses every policy that contains `REFUSAL_MARKER`
    epoch: int = 0  # of the policy that it has adopted
    lease_end: float = -math.inf  # true time
    lease_epoch: int = 0  # the epoch when `lease_end` was set
    ended: bool = False  # the process was killed, or has left the fleet

    @property
    def name(self) -> str:
        """The router's key in this world."""
        return self.process.key

    def serves(self, now: float) -> bool:
        """Whether the router may serve at this time."""
        return bool(self.epoch) and not self.ended and self.lease_end > now


@dataclass(slots=True, eq=False)
class GrantedLeases:
    """The latest end of the leases that one holder was granted, by epoch and grantor."""

    ends: dict[int, dict[str, float]] = field(default_factory=dict)

    def record(self, grantor: str, epoch: int, end: float) -> None:
        """Note a grant that ends at this true time. Of old epochs, grants are forgotten."""
        by_grantor = self.ends.setdefault(epoch, {})
        by_grantor[grantor] = max(end, by_grantor.get(grantor, -math.inf))
        for old in sorted(self.ends)[:-EPOCHS_KEPT]:
            del self.ends[old]

    def end_by_quorum(self, epoch: int, quorum: int) -> float:
        """Until when `quorum` grantors have granted a lease; -inf if fewer have."""
        ends = sorted(self.ends.get(epoch, {}).values(), reverse=True)
        return ends[quorum - 1] if len(ends) >= quorum else -math.inf

    def end_by_any(self, epoch: int) -> float:
        """Until when any grantor has granted a lease; -inf if none has."""
        return max(self.ends.get(epoch, {}).values(), default=-math.inf)


class WorldJudge:
    """Collects violations and counts of cases. In all methods `now` is the true time, in seconds."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters, self.quorum = voters, majority(len(voters))
        self.violations: list[str] = []
        self.case_counts: dict[str, int] = {}
        self.routers: dict[str, ServingState] = {}  # by their keys in the world
        self.lease_gaps: list[LeaseGap] = []  # that have ended
        self.newest_epoch = 0  # that any router has adopted
        self.policies: dict[int, str] = {}  # digest by epoch, as adopted
        self.forbidden: set[str] = set()  # digests of policies that must not be adopted
        self.in_force: dict[str, str] = {}  # by change: digest of its policy, if it was reported as in force
        self.texts: dict[str, bytes] = {}  # by change: text of the policy that an operator requested
        self.agreed: set[str] = set()  # changes
        self.version = 0  # newest version of the state that a voter named in a grant
        self.stage = ""  # of the change under way in that version; empty if there is none
        self.by_voters: dict[Process, GrantedLeases] = {}
        self.by_aggregators: dict[Process, GrantedLeases] = {}

    def count_case(self, name: str, count: int = 1) -> None:
        """Add to the count of a case."""
        self.case_counts[name] = self.case_counts.get(name, 0) + count

    def report(self, now: float, invariant: str, text: str) -> None:
        """Note a violation."""
        self.violations.append(f"{now:.3f} {invariant}: {text}")

    # ---- routers

    def router_started(self, router: ServingState) -> None:
        """A router's process was started."""
        self.routers[router.name] = router

    def router_ended(self, key: str, now: float) -> None:
        """A router's process was killed, or has left."""
        router = self.routers.get(key)
        if router is not None and not router.ended:
            self._record_gap(router, now)
            router.ended, router.lease_end = True, -math.inf

    def policy_adopted(self, now: float, router: ServingState, epoch: int, text: bytes) -> None:
        """A router has adopted a policy as an epoch."""
        adopted = digest(text)
        if self.policies.setdefault(epoch, adopted) != adopted:
            self.report(
                now, "one policy to an epoch", f"{router.name} adopts another policy as epoch {epoch}"
            )
        self.count_case("nowhere: adopted")
        if adopted in self.forbidden:
            self.report(
                now, "nowhere", f"{router.name} adopts a policy that was reported as aborted or was a dry run"
            )
        if epoch < self.newest_epoch:
            self.report(
                now,
                "never mixed",
                f"{router.name} adopts epoch {epoch} after {self.newest_epoch} was adopted",
            )
        if epoch > 1 and list(self.policies.values()).count(adopted) > 1:
            self.report(
                now,
                "made twice",
                f"{router.name} adopts a policy that has another epoch, {adopted}, as epoch {epoch}",
            )
        for other in self.routers.values():
            if other is router or not other.serves(now):
                continue
            self.count_case("never mixed: adopted while another served")
            if other.epoch < epoch:
                self.report(
                    now,
                    "never mixed",
                    f"{router.name} adopts epoch {epoch}, while {other.name} may serve epoch {other.epoch} for "
                    f"another {other.lease_end - now:.3f} s",
                )
        self.newest_epoch = max(self.newest_epoch, epoch)
        router.epoch = epoch

    def lease_extended(self, now: float, router: ServingState, end: float) -> None:
        """A router's lease was set to end at this true time; -inf if the router leaves."""
        if end > now and self.newest_epoch > 1:
            self.count_case("never mixed: renewed")
            if router.epoch < self.newest_epoch:
                self.report(
                    now,
                    "never mixed",
                    f"{router.name} may serve epoch {router.epoch} for another {end - now:.3f} s, after epoch "
                    f"{self.newest_epoch} was adopted",
                )
        if end > now:
            self._check_contained(now, router, end)
        if end == -math.inf:  # the router leaves
            self._record_gap(router, now)
        elif end > now:
            self._record_gap(router, now, router.epoch)
        router.lease_end, router.lease_epoch = end, router.epoch

    def _record_gap(self, router: ServingState, now: float, after: int = 0) -> None:
        """Note the gap that ends now, if the router's lease had ended before. `after`: epoch of its new lease."""
        if -math.inf < router.lease_end < now:
            self.lease_gaps.append(LeaseGap(router.name, router.lease_end, now, router.lease_epoch, after))

    def gaps_since(self, begin: float, now: float) -> list[LeaseGap]:
        """All gaps that ended after `begin`, and those that have not ended yet."""
        running = [
            LeaseGap(router.name, router.lease_end, now, router.lease_epoch, 0)
            for router in self.routers.values()
            if not router.ended and -math.inf < router.lease_end < now
        ]
        return [gap for gap in self.lease_gaps if gap.end > begin] + running

    # ---- grants

    def sent(self, now: float, grantor: Process, holder: Process, data: bytes) -> None:
        """A voter or an aggregator has sent these bytes to a member that may lease from it."""
        for message in FrameDecoder().feed(data):
            if isinstance(message, LeaseGrant):
                self._granted(now, grantor, holder, message)

    def _granted(self, now: float, grantor: Process, holder: Process, grant: LeaseGrant) -> None:
        """Note a grant. The holder counts its lease from when it sent the request, which is before now, and leaves out
        the clocks' drift; so the lease ends before now plus its length."""
        leases = ((grant.epoch, grant.ttl), (grant.next_epoch, grant.next_epoch_ttl))
        for epoch, length in leases:
            if not epoch or length <= 0:
                continue
            if grantor.key in self.voters:
                self.by_voters.setdefault(holder, GrantedLeases()).record(grantor.key, epoch, now + length)
                continue
            self.by_aggregators.setdefault(holder, GrantedLeases()).record(grantor.key, epoch, now + length)
            parent_end = self.by_voters.get(grantor, GrantedLeases()).end_by_quorum(epoch, self.quorum)
            self.count_case("contained: sub-leases granted")
            if now + length > parent_end + ROUNDING_TOLERANCE:
                self.report(
                    now,
                    "contained",
                    f"{grantor.key} grants {holder.key} epoch {epoch} for {now + length - parent_end:.3f} s longer "
                    "than its own leases",
                )
        if grantor.key in self.voters:
            if grant.version >= self.version:
                self.version, self.stage = grant.version, grant.stage
            if grant.stage == Stage.AGREED and grant.change not in self.agreed:
                self._change_agreed(now, grant.change)

    def _check_contained(self, now: float, router: ServingState, end: float) -> None:
        """Check that a router's lease ends within what it was granted. Voters are left out: a voter's grant to itself
        goes over no link, and is not seen here."""
        if router.is_voter:
            return
        direct = self.by_voters.get(router.process, GrantedLeases()).end_by_quorum(router.epoch, self.quorum)
        granted = max(
            direct, self.by_aggregators.get(router.process, GrantedLeases()).end_by_any(router.epoch)
        )
        self.count_case("contained: leases extended")
        if end > granted + ROUNDING_TOLERANCE:
            self.report(
                now,
                "contained",
                f"{router.name} serves epoch {router.epoch} for {end - granted:.3f} s longer than it was granted",
            )

    # ---- changes

    def _change_agreed(self, now: float, change: str) -> None:
        self.agreed.add(change)
        text = self.texts.get(change)
        if text is None:
            return
        for router in self.routers.values():
            if not router.serves(now):
                continue
            self.count_case("everywhere or nowhere: served when a change was agreed on")
            if router.refusal_reasons and REFUSAL_MARKER in text:
                self.report(
                    now, "everywhere or nowhere", f"{change} was agreed on, and {router.name} refuses it"
                )

    def change_requested(self, change: str, text: bytes, dry: bool) -> None:
        """An operator has requested a change to the policy with this text. `dry`: it is to be checked only."""
        self.texts[change] = text
        if dry:
            self.forbidden.add(digest(text))

    def operator_answered(self, now: float, answer: Message | None) -> str:
        """An operator has received the answer to its request, or None. Returns the result in one word."""
        if isinstance(answer, Ended):
            self._check_outcome(now, answer.outcome)
            return str(answer.outcome.result)
        return str(NoResult.NOT_PROPOSED if isinstance(answer, NotProposed) else NoResult.UNKNOWN)

    def _check_outcome(self, now: float, outcome: Outcome) -> None:
        self.count_case(f"told {outcome.result}")
        if outcome.result is Result.IN_FORCE:
            self.in_force[outcome.id] = outcome.digest
            if self.policies.get(outcome.epoch, outcome.digest) != outcome.digest:
                self.report(
                    now,
                    "one policy to an epoch",
                    f"{outcome.id} was reported as in force as epoch {outcome.epoch}, which is another policy",
                )
        elif outcome.result is Result.ABORTED:
            self.forbidden.add(outcome.digest)
            if outcome.digest in self.policies.values():
                self.report(
                    now, "nowhere", f"{outcome.id} was reported as aborted, and its policy was adopted"
                )
