"""The judge of a fleet in virtual time: it sees every moment on the one true clock, and all that grantors send.

| invariant | in words |
| --- | --- |
| never mixed | while a router may take requests under one policy, no other may under another; no older one returns |
| one policy to an epoch | of all routers, and the one that was told to be in force |
| nowhere | a policy that was told to be aborted, or was only to be checked, is never adopted |
| everywhere or nowhere | when a change is agreed on, no router that may take requests refuses it |
| made twice | no policy is adopted as two epochs |
| contained | a router's lease ends within what it was granted, a sub-lease within its aggregator's own leases |

Each counts the cases in which it could have failed. `Lapse` is no fault by itself: a router that ran was without
a lease for a while.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

from banklift.fleet.messages import Ended, FrameDecoder, LeaseGrant, Message, NotProposed
from banklift.fleet.register import majority
from banklift.fleet.state import Outcome, Result, Stage, digest

REFUSED = b"refused here"  # a policy that holds it is refused by every router with reasons
ROUNDING = 1e-6  # seconds that are no breach
EPOCHS_KEPT = 4  # of each holder's grants


class Told(StrEnum):
    """What an operator heard, if it was no result of a change."""

    NOT_PROPOSED = "unmade"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Process:
    """One incarnation of one member of the fleet. `key`: its own in this world, as two may have one name."""

    key: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Lapse:
    """A router that ran had no lease from `begin` to `end`, between these epochs."""

    router: str
    begin: float
    end: float
    before: int
    after: int

    @property
    def length(self) -> float:
        return self.end - self.begin


@dataclass(slots=True, eq=False)
class Serving:
    """What one router's process may do."""

    process: Process
    voter: bool
    reasons: tuple[str, ...]  # it has against every policy that holds `REFUSED`
    epoch: int = 0
    until: float = -math.inf  # on the true clock
    extended_epoch: int = 0  # when `until` was told last
    over: bool = False  # it was killed, or has left

    @property
    def name(self) -> str:
        return self.process.key

    def serves(self, now: float) -> bool:
        return bool(self.epoch) and not self.over and self.until > now


@dataclass(slots=True, eq=False)
class Granted:
    """What one holder was granted: until when at the most, by epoch and grantor."""

    ends: dict[int, dict[str, float]] = field(default_factory=dict)

    def note(self, grantor: str, epoch: int, end: float) -> None:
        by_grantor = self.ends.setdefault(epoch, {})
        by_grantor[grantor] = max(end, by_grantor.get(grantor, -math.inf))
        for old in sorted(self.ends)[:-EPOCHS_KEPT]:
            del self.ends[old]

    def of_majority(self, epoch: int, quorum: int) -> float:
        ends = sorted(self.ends.get(epoch, {}).values(), reverse=True)
        return ends[quorum - 1] if len(ends) >= quorum else -math.inf

    def of_any(self, epoch: int) -> float:
        return max(self.ends.get(epoch, {}).values(), default=-math.inf)


class WorldJudge:
    """`now` is the true time everywhere."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters, self.quorum = voters, majority(len(voters))
        self.breaks: list[str] = []
        self.cases: dict[str, int] = {}
        self.routers: dict[str, Serving] = {}  # by their keys in the world
        self.lapses: list[Lapse] = []
        self.newest = 0  # epoch adopted by anybody
        self.policies: dict[int, str] = {}  # digest by epoch
        self.never: set[str] = set()  # digests of policies that may never be adopted
        self.forced: dict[str, str] = {}  # digest of the policy of each change told to be in force
        self.texts: dict[str, bytes] = {}  # of policies that operators asked for, by change
        self.agreed: set[str] = set()  # changes
        self.version = 0  # newest that a voter named in a grant ...
        self.stage = ""  # ... and the stage of the change under way in it; empty: none is
        self.by_voters: dict[Process, Granted] = {}
        self.by_aggregators: dict[Process, Granted] = {}

    def case(self, name: str, count: int = 1) -> None:
        self.cases[name] = self.cases.get(name, 0) + count

    def found(self, now: float, invariant: str, text: str) -> None:
        self.breaks.append(f"{now:.3f} {invariant}: {text}")

    # ---- routers

    def started(self, router: Serving) -> None:
        self.routers[router.name] = router

    def ended(self, key: str, now: float) -> None:
        """The router's process was killed, or has left."""
        router = self.routers.get(key)
        if router is not None and not router.over:
            self._lapsed(router, now)
            router.over, router.until = True, -math.inf

    def adopted(self, now: float, router: Serving, epoch: int, text: bytes) -> None:
        known = digest(text)
        if self.policies.setdefault(epoch, known) != known:
            self.found(now, "one policy to an epoch", f"{router.name} adopts another one as {epoch}")
        self.case("nowhere: adopted")
        if known in self.never:
            self.found(now, "nowhere", f"{router.name} adopts a policy that was told to be aborted")
        if epoch < self.newest:
            self.found(now, "never mixed", f"{router.name} adopts {epoch}, and {self.newest} was in force")
        if epoch > 1 and list(self.policies.values()).count(known) > 1:
            self.found(now, "made twice", f"{router.name} adopts {known} as {epoch}")
        for other in self.routers.values():
            if other is router or not other.serves(now):
                continue
            self.case("never mixed: adopted while another served")
            if other.epoch < epoch:
                self.found(
                    now,
                    "never mixed",
                    f"{router.name} adopts {epoch}, and {other.name} may serve {other.epoch} for "
                    f"{other.until - now:.3f} s",
                )
        self.newest = max(self.newest, epoch)
        router.epoch = epoch

    def extended(self, now: float, router: Serving, end: float) -> None:
        """The router was told that it may take requests until `end`."""
        if end > now and self.newest > 1:
            self.case("never mixed: renewed")
            if router.epoch < self.newest:
                self.found(
                    now,
                    "never mixed",
                    f"{router.name} may serve {router.epoch} for {end - now:.3f} s, and {self.newest} was in "
                    "force",
                )
        if end > now:
            self._contained(now, router, end)
        if end == -math.inf:  # it leaves
            self._lapsed(router, now)
        elif end > now:
            self._lapsed(router, now, router.epoch)
        router.until, router.extended_epoch = end, router.epoch

    def _lapsed(self, router: Serving, now: float, after: int = 0) -> None:
        if -math.inf < router.until < now:
            self.lapses.append(Lapse(router.name, router.until, now, router.extended_epoch, after))

    def lapses_since(self, begin: float, now: float) -> list[Lapse]:
        """All that ended after `begin`, and those that have not ended yet."""
        running = [
            Lapse(one.name, one.until, now, one.extended_epoch, 0)
            for one in self.routers.values()
            if not one.over and -math.inf < one.until < now
        ]
        return [one for one in self.lapses if one.end > begin] + running

    # ---- grants

    def sent(self, now: float, grantor: Process, holder: Process, data: bytes) -> None:
        """A voter or an aggregator has sent this to who leases from it."""
        for message in FrameDecoder().feed(data):
            if isinstance(message, LeaseGrant):
                self._granted(now, grantor, holder, message)

    def _granted(self, now: float, grantor: Process, holder: Process, grant: LeaseGrant) -> None:
        """A holder counts it from before this moment on, and `drift` less of it."""
        ends = ((grant.epoch, grant.ttl), (grant.next_epoch, grant.next_epoch_ttl))
        for epoch, length in ends:
            if not epoch or length <= 0:
                continue
            if grantor.key in self.voters:
                self.by_voters.setdefault(holder, Granted()).note(grantor.key, epoch, now + length)
                continue
            self.by_aggregators.setdefault(holder, Granted()).note(grantor.key, epoch, now + length)
            parent = self.by_voters.get(grantor, Granted()).of_majority(epoch, self.quorum)
            self.case("contained: sub-leases granted")
            if now + length > parent + ROUNDING:
                self.found(
                    now,
                    "contained",
                    f"{grantor.key} grants {holder.key} epoch {epoch} for {now + length - parent:.3f} s longer than "
                    "its own leases",
                )
        if grantor.key in self.voters:
            if grant.version >= self.version:
                self.version, self.stage = grant.version, grant.stage
            if grant.stage == Stage.AGREED and grant.change not in self.agreed:
                self._agreed(now, grant.change)

    def _contained(self, now: float, router: Serving, end: float) -> None:
        """A voter leases from itself in place, which is not seen here."""
        if router.voter:
            return
        direct = self.by_voters.get(router.process, Granted()).of_majority(router.epoch, self.quorum)
        given = max(direct, self.by_aggregators.get(router.process, Granted()).of_any(router.epoch))
        self.case("contained: leases extended")
        if end > given + ROUNDING:
            self.found(
                now,
                "contained",
                f"{router.name} serves epoch {router.epoch} for {end - given:.3f} s longer than it was granted",
            )

    # ---- changes

    def _agreed(self, now: float, change: str) -> None:
        self.agreed.add(change)
        text = self.texts.get(change)
        if text is None:
            return
        for router in self.routers.values():
            if not router.serves(now):
                continue
            self.case("everywhere or nowhere: served when a change was agreed on")
            if router.reasons and REFUSED in text:
                self.found(
                    now, "everywhere or nowhere", f"{change} was agreed on, and {router.name} refuses it"
                )

    def proposed(self, change: str, text: bytes, dry: bool) -> None:
        """An operator asks for it."""
        self.texts[change] = text
        if dry:
            self.never.add(digest(text))

    def told(self, now: float, answer: Message | None) -> str:
        """An operator has heard this; what it is called."""
        if isinstance(answer, Ended):
            self._outcome(now, answer.outcome)
            return str(answer.outcome.result)
        return str(Told.NOT_PROPOSED if isinstance(answer, NotProposed) else Told.UNKNOWN)

    def _outcome(self, now: float, outcome: Outcome) -> None:
        self.case(f"told {outcome.result}")
        if outcome.result is Result.IN_FORCE:
            self.forced[outcome.id] = outcome.digest
            if self.policies.get(outcome.epoch, outcome.digest) != outcome.digest:
                self.found(now, "in force", f"{outcome.id} as epoch {outcome.epoch}, which is another policy")
        elif outcome.result is Result.ABORTED:
            self.never.add(outcome.digest)
            if outcome.digest in self.policies.values():
                self.found(now, "nowhere", f"{outcome.id} was told to be aborted, and its policy was served")
