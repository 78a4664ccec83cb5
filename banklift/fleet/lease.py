"""A router's leases: which policy it may serve under, and until when. Pure; times are this router's own clock.

It asks every voter, again and again, and may serve epoch e while a majority of voters has it under a lease for e. A
lease counts from when it was asked for, and ends `drift` of its length earlier than was said, as this clock may run
slow; one on the next epoch begins `drift` later than was said after the word came, as this clock may run fast.

| what it holds | event | next | what is told |
| --- | --- | --- | --- |
| nothing | a majority grants e, and it accepts its policy | serving e | `EpochAdopted(e)`, `LeaseExtended` |
| serving e | renewed | serving e, longer | `LeaseExtended` |
| serving e | e ends, and e + 1 has begun at a majority | serving e + 1 | `EpochAdopted(e + 1)`, `LeaseExtended` |
| serving e | e ends, nothing has begun | nothing: fenced | a note; the end was told before |
| any | a policy that it refuses is granted | as before; never serving that | a note, and its verdict to the voters |

A grant that comes late or twice is known by its number. A router that stood still across an end finds it passed when it
looks at its clock, which it does before it takes any request.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.fleet.actions import LogLine
from banklift.fleet.messages import LeaseGrant, LeaseRequest
from banklift.fleet.register import majority
from banklift.fleet.state import digest

RENEW_PART = 1 / 3  # of what a grant gave: when the next one is asked for
RETRY_PART = 1 / 20  # of a lease: how long an answer is waited for before asking again
STALLED_PART = 1 / 4  # ... and until the link counts as stalled
KEPT = 4  # policies whose text is kept


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send it to a voter."""

    voter: str
    message: LeaseRequest


@dataclass(frozen=True, slots=True)
class EpochAdopted:
    """From now on requests are taken under this policy."""

    epoch: int
    policy: bytes


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Requests may be taken up to that time, and no later unless told so. `back`: seconds after which it may be
    worth to come back, should it end."""

    time: float
    back: float


@dataclass(frozen=True, slots=True)
class Stalled:
    """The link to this voter delivers nothing: begin a new one."""

    voter: str


Action = SendRequest | EpochAdopted | LeaseExtended | Stalled | LogLine


@dataclass(slots=True, eq=False)
class Held:
    """What one voter has granted, and what it was asked."""

    linked: bool = False
    number: int = 0  # of the grant that counts
    epoch: int = 0
    until: float = -math.inf
    next_epoch: int = 0
    begin: float = math.inf
    next_until: float = -math.inf
    asked: dict[int, float] = field(default_factory=dict)  # asks without an answer: when each was sent
    due: float = math.inf  # when it is asked again
    heard: float = -math.inf  # its last word, or when its link came up
    reason: str = ""  # it gave for no lease
    change: str = ""  # that it wants checked, as voters may know of different ones for a while ...
    subject: str = ""  # ... and its policy's digest

    def valid(self, epoch: int, now: float) -> bool:
        return (self.epoch == epoch and now < self.until) or (
            self.next_epoch == epoch and self.begin <= now < self.next_until
        )


class LeaseClient:
    """`check` says what is against a policy, nothing if it can be served."""

    def __init__(
        self,
        voters: tuple[str, ...],
        lease: float,
        drift: float,
        random: Random,
        check: Callable[[bytes], tuple[str, ...]],
    ) -> None:
        self.voters = {name: Held() for name in voters}
        self.quorum = majority(len(voters))
        self.lease, self.drift, self.random, self.check = lease, drift, random, check
        self.numbers = 0
        self.policies: dict[str, bytes] = {}  # by digest, the newest last
        self.verdicts: dict[str, tuple[str, ...]] = {}  # by digest
        self.epochs: dict[int, str] = {}  # digest of the policy of each epoch granted lately
        self.serving = 0
        self.until = -math.inf
        self.fenced = False  # an end was noted
        self.actions: list[Action] = []

    # ---- events

    def up(self, now: float, voter: str) -> list[Action]:
        held = self.voters[voter]
        held.linked, held.heard = True, now
        held.asked.clear()
        self._ask(now, voter)
        return self._out(now)

    def down(self, now: float, voter: str) -> list[Action]:
        held = self.voters[voter]
        held.linked, held.due = False, math.inf
        held.asked.clear()
        return self._out(now)

    def nudged(self, now: float, voter: str) -> list[Action]:
        self.voters[voter].heard = now
        self._ask(now, voter)
        return self._out(now)

    def granted(self, now: float, voter: str, grant: LeaseGrant) -> list[Action]:
        held = self.voters[voter]
        sent = held.asked.pop(grant.number, None)
        if sent is None:  # late, doubled, or from a link that is no more
            return self._out(now)
        held.heard, held.reason = now, grant.reason
        held.asked = {number: at for number, at in held.asked.items() if number > grant.number}
        for text in grant.policies:
            self._keep(text)
        if grant.change and grant.change != held.change and grant.subject in self.policies:
            before = any(other.change == grant.change for other in self.voters.values())
            held.change, held.subject = grant.change, grant.subject
            reasons = self._verdict(grant.subject)
            if not before:
                self.actions.append(
                    LogLine("policy checked", {"change": grant.change, "reasons": list(reasons)})
                )
            self._ask(now, voter)
        wait = RENEW_PART * self.lease
        if grant.ttl > 0 or grant.next_epoch:
            held.number, held.epoch, held.until = (
                grant.number,
                grant.epoch,
                sent + grant.ttl * (1 - self.drift),
            )
            held.next_epoch, held.begin = grant.next_epoch, now + grant.begin * (1 + self.drift)
            held.next_until = sent + grant.next_ttl * (1 - self.drift)
            for epoch, known in zip((grant.epoch, grant.next_epoch), grant.digests, strict=True):
                if epoch:
                    self.epochs[epoch] = known
            wait = RENEW_PART * (grant.ttl if grant.ttl > 0 else grant.next_ttl)
        elif grant.reason:
            wait = RETRY_PART * self.lease
        held.due = (
            min(held.due, now + wait * self.random.uniform(0.8, 1.0))
            if held.asked
            else now + wait * self.random.uniform(0.8, 1.0)
        )
        return self._out(now)

    def wake(self, now: float) -> list[Action]:
        for name, held in self.voters.items():
            if not held.linked:
                continue
            if held.asked and now - held.heard >= STALLED_PART * self.lease:
                held.linked, held.due = False, math.inf
                held.asked.clear()
                self.actions.append(Stalled(name))
            elif held.due <= now:
                self._ask(now, name)
        return self._out(now)

    def due(self, now: float) -> float:
        """When `wake` has something to do."""
        times = [held.due for held in self.voters.values()]
        times += [held.begin for held in self.voters.values() if held.begin > now and held.next_epoch]
        if self.until > now:
            times.append(self.until)
        return min(times)

    # ---- what follows

    def _ask(self, now: float, voter: str) -> None:
        held = self.voters[voter]
        if not held.linked:
            return
        self.numbers += 1
        held.asked[self.numbers] = now
        held.due = now + RETRY_PART * self.lease * self.random.uniform(0.8, 1.2)
        verdict = self.verdicts.get(held.subject) if held.change else None
        self.actions.append(
            SendRequest(
                voter,
                LeaseRequest(
                    self.numbers, held.number, self.serving, held.change, verdict, tuple(self.policies)
                ),
            )
        )

    def _keep(self, text: bytes) -> None:
        known = digest(text)
        self.policies.pop(known, None)
        self.policies[known] = text
        in_use = {known, self.epochs.get(self.serving)}
        for held in self.voters.values():
            in_use |= {held.subject, self.epochs.get(held.epoch), self.epochs.get(held.next_epoch)}
        for old in list(self.policies):
            if len(self.policies) <= KEPT:
                break
            if old not in in_use:
                del self.policies[old]
                self.verdicts.pop(old, None)

    def _verdict(self, known: str) -> tuple[str, ...]:
        if known not in self.verdicts:
            self.verdicts[known] = self.check(self.policies[known])
        return self.verdicts[known]

    def _holds(self, epoch: int, now: float) -> float:
        """LeaseExtended when a majority has it under a lease for this epoch; in the past if none has."""
        ends = sorted(
            (
                held.until if held.epoch == epoch and now < held.until else held.next_until
                for held in self.voters.values()
                if held.valid(epoch, now)
            ),
            reverse=True,
        )
        return ends[self.quorum - 1] if len(ends) >= self.quorum else -math.inf

    def _out(self, now: float) -> list[Action]:
        """What may be served now, and what is to be done about it."""
        epochs = {held.epoch for held in self.voters.values()} | {
            held.next_epoch for held in self.voters.values()
        }
        good = {epoch: end for epoch in epochs if epoch and (end := self._holds(epoch, now)) > now}
        assert len(good) <= 1, f"leases for two epochs at a time: {good}"
        for epoch, end in good.items():
            text = self.policies.get(self.epochs.get(epoch, ""))
            if text is None:
                break
            reasons = self._verdict(self.epochs[epoch])
            if reasons:
                if self.fenced is False or self.serving != 0:
                    self.actions.append(
                        LogLine("policy in force is refused", {"epoch": epoch, "reasons": list(reasons)})
                    )
                self.serving, self.fenced, self.until = 0, True, -math.inf
                break
            if epoch != self.serving:
                self.serving = epoch
                self.actions.append(EpochAdopted(epoch, text))
            if end != self.until or self.fenced:
                self.until, self.fenced = end, False
                self.actions.append(LeaseExtended(end, RETRY_PART * self.lease))
        if not good and self.serving and now >= self.until and not self.fenced:
            self.fenced = True
            self.actions.append(
                LogLine(
                    "fenced: no lease of a majority of voters",
                    {
                        "epoch": self.serving,
                        "voters": {name: self.trouble(now, name) for name in self.voters},
                    },
                )
            )
        done, self.actions = self.actions, []
        return done

    def trouble(self, now: float, voter: str) -> str:
        """Why this voter gives no lease, in words; empty if it does."""
        held = self.voters[voter]
        if held.valid(self.serving, now):
            return ""
        if not held.linked:
            return "no link"
        return held.reason or f"no answer for {now - held.heard:.1f} s"
