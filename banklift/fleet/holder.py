"""What routers and aggregators share as holders of leases: requests, retries, grants that are counted. Pure.

A holder asks its grantors for leases, each over its own link, again and again. Times are the holder's own
clock. A grant counts from when it was asked for, and ends `drift` of its length earlier than was said, as this
clock may run slow; a lease on the next epoch begins `drift` later than was said after the answer came, as this
clock may run fast.

| state of a grantor | event | next | what is sent |
| --- | --- | --- | --- |
| no link | link up | waiting for an answer | a request |
| answered | `due`, or `RenewNow` | waiting for an answer | a request |
| waiting | the answer | answered, due after a third of what it gave, or after half if that is short | - |
| waiting | `due` without an answer | waiting | another request, after pauses that double |
| waiting | no answer for `stall_time`, then for twice as long | no link | `Stalled`: the link is made anew |
| any | link down | no link; what it granted goes on | - |

An answer that is late, doubled, or of an earlier link belongs to no request that is open, and is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from banklift.fleet.actions import LogLine
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow

RENEW_PART = 1 / 3  # of what a grant gave: when the next one is asked for
SHORT_RENEW_PART = (
    1 / 2
)  # ... of a short one, which all holders get at one moment, so that renewals are a burst
SHORT_PART = 1 / 2  # of a lease: a grant that gives less is short
RENEW_FLOOR = 1 / 50  # of a lease: the least that is waited for, as what is left of a lease gets shorter
RETRY_PART = 1 / 20  # of a lease: how long to wait after a refusal before asking again
STALLED_PART = 1 / 4  # of a lease: without an answer for that long the link counts as stalled, but ...
STALLED_FLOOR = (
    1.0  # seconds: ... an answer may take so long where thousands of holders ask at one moment, and ...
)
MAX_STALLED_PART = 0.4  # of a lease: ... with RENEW_PART it leaves time for another grantor to answer
RESEND_PART = 1 / 2  # of the time until a link counts as stalled: until an unanswered request is sent again
MAX_DOUBLINGS = 3  # of the pause before a retry
MAX_STALL_DOUBLINGS = (
    2  # of the time until a link counts as stalled: new links are more work for who is overloaded
)


@dataclass(frozen=True, slots=True)
class SendToGrantor:
    """Send it to a grantor."""

    grantor: str
    message: LeaseRequest | LeaseRelease


@dataclass(frozen=True, slots=True)
class EpochAdopted:
    """From now on requests are taken under this policy."""

    epoch: int
    policy: bytes


@dataclass(frozen=True, slots=True)
class LeaseExtended:
    """Requests may be taken up to that time, and no later unless told so. `retry_after`: seconds after which
    it may be worth to come back, should it end."""

    time: float
    retry_after: float


@dataclass(frozen=True, slots=True)
class Stalled:
    """The link to this grantor delivers nothing: begin a new one."""

    grantor: str


Action = SendToGrantor | EpochAdopted | LeaseExtended | Stalled | LogLine


@dataclass(frozen=True, slots=True)
class CountedGrant:
    """A grant on the holder's clock: `epoch` up to `until`, and `next_epoch` from `begin` up to `next_until`."""

    number: int
    epoch: int
    until: float
    next_epoch: int
    begin: float
    next_until: float

    def covers(self, epoch: int, now: float) -> bool:
        """Whether this epoch may be served now as far as its grantor is concerned."""
        return self.end(epoch) > now and self.start(epoch) <= now

    def start(self, epoch: int) -> float:
        if self.epoch == epoch and self.until > -math.inf:
            return -math.inf
        return self.begin if self.next_epoch == epoch else math.inf

    def end(self, epoch: int) -> float:
        if self.epoch == epoch and self.until > -math.inf:
            return self.until
        return self.next_until if self.next_epoch == epoch else -math.inf


NO_GRANT = CountedGrant(0, 0, -math.inf, 0, math.inf, -math.inf)


@dataclass(slots=True, eq=False)
class Grantor:
    """What one grantor has granted, and what it was asked."""

    linked: bool = False
    newest: CountedGrant = NO_GRANT
    counted_from: int = 0  # number of the oldest grant that is counted
    pending: dict[int, float] = field(
        default_factory=dict
    )  # requests without an answer, the oldest first: sent when
    retries: int = 0
    refusals: int = 0  # answers in a row that gave no lease
    stalls: int = 0  # links in a row that delivered no answer
    due: float = math.inf  # when it is asked again
    heard: float = -math.inf  # its last answer, or when its link came up
    reason: str = ""  # it gave for no lease
    change: str = ""  # that it wants checked, as grantors may know of different ones for a while ...
    subject: str = ""  # ... and its policy's digest


class LeaseHolder:
    """Asks `grantors` for leases of `lease` seconds; a subclass says what to do with them."""

    def __init__(self, grantors: tuple[str, ...], lease: float, drift: float, random: Random) -> None:
        self.grantors = {name: Grantor() for name in grantors}
        self.lease, self.drift, self.random = lease, drift, random
        self.stall_time = min(max(STALLED_PART * lease, STALLED_FLOOR), MAX_STALLED_PART * lease)
        self.numbers = 0
        self.actions: list[Action] = []

    # ---- for subclasses

    def _request(self, number: int, grantor: Grantor) -> LeaseRequest:
        """The request that is sent now."""
        raise NotImplementedError

    def _granted(self, now: float, name: str, before: CountedGrant, grant: LeaseGrant) -> None:
        """An answer was taken over; `before`: what its grantor had granted last."""
        raise NotImplementedError

    def _told(self, grantor: Grantor, news: RenewNow) -> bool:
        """Take over what the grantor tells of a change. Whether it has to be answered."""
        return False

    def _is_asked(self, name: str) -> bool:
        """Whether this grantor is asked for leases without being told to."""
        return True

    def _out(self, now: float) -> list[Action]:
        """Actions that follow from all that has happened."""
        done, self.actions = self.actions, []
        return done

    # ---- events

    def up(self, now: float, name: str) -> list[Action]:
        """The link to a grantor is up."""
        grantor = self.grantors[name]
        grantor.linked, grantor.heard, grantor.retries = True, now, 0
        grantor.pending.clear()
        if self._is_asked(name):
            self._send_request(now, name)
        return self._out(now)

    def down(self, now: float, name: str) -> list[Action]:
        """The link to a grantor is down."""
        self._unlink(name)
        return self._out(now)

    def renew_now(self, now: float, name: str, news: RenewNow) -> list[Action]:
        """The grantor has news. A request that is under way will bring them: links deliver in order."""
        grantor = self.grantors[name]
        grantor.heard = now
        if self._told(grantor, news) or not grantor.pending:
            self._send_request(now, name)
        return self._out(now)

    def granted(self, now: float, name: str, grant: LeaseGrant) -> list[Action]:
        """An answer came."""
        grantor = self.grantors[name]
        sent = grantor.pending.get(grant.number)
        if sent is not None:
            grantor.pending = {number: at for number, at in grantor.pending.items() if number > grant.number}
            self._count(now, name, sent, grant)
        return self._out(now)

    def wake(self, now: float) -> list[Action]:
        """Ask whoever is due, and give up links that deliver nothing."""
        for name, grantor in self.grantors.items():
            if not grantor.linked:
                continue
            if self._stalls_at(grantor) <= now:
                grantor.stalls += 1
                self._unlink(name)
                self.actions.append(Stalled(name))
            elif grantor.due <= now:
                grantor.retries += bool(grantor.pending)
                self._send_request(now, name)
        return self._out(now)

    def due(self, now: float) -> float:
        """When `wake` has something to do."""
        due = math.inf
        for grantor in self.grantors.values():
            due = min(due, grantor.due)
            if grantor.linked and grantor.pending:
                due = min(due, self._stalls_at(grantor))
        return due

    # ---- parts

    def _unlink(self, name: str) -> None:
        grantor = self.grantors[name]
        grantor.linked, grantor.due = False, math.inf
        grantor.pending.clear()

    def _stalls_at(self, grantor: Grantor) -> float:
        oldest = next(iter(grantor.pending.values()), math.inf)
        patience: float = self.stall_time * 2 ** min(grantor.stalls, MAX_STALL_DOUBLINGS)
        return oldest + patience

    def _send_request(self, now: float, name: str) -> None:
        grantor = self.grantors[name]
        if not grantor.linked:
            return
        self.numbers += 1
        grantor.pending[self.numbers] = now
        pause = RESEND_PART * self.stall_time * 2 ** min(grantor.retries, MAX_DOUBLINGS)
        grantor.due = now + pause * self.random.uniform(0.8, 1.2)
        self.actions.append(SendToGrantor(name, self._request(self.numbers, grantor)))

    def _count(self, now: float, name: str, sent: float, grant: LeaseGrant) -> None:
        """Take over an answer to a request that was sent at `sent`."""
        grantor = self.grantors[name]
        grantor.heard, grantor.reason = now, grant.reason
        grantor.retries = grantor.stalls = 0
        before = grantor.newest
        if grant.ttl > 0 or grant.next_epoch:
            grantor.newest = CountedGrant(
                grant.number,
                grant.epoch,
                sent + grant.ttl * (1 - self.drift) if grant.ttl > 0 else -math.inf,
                grant.next_epoch,
                now + grant.begin * (1 + self.drift),
                sent + grant.next_ttl * (1 - self.drift),
            )
        self._schedule(now, grantor, grant)
        if not self._is_asked(name):
            grantor.due = math.inf
        self._granted(now, name, before, grant)

    def _schedule(self, now: float, grantor: Grantor, grant: LeaseGrant) -> None:
        """When this grantor is asked next, after an answer of its."""
        grantor.refusals = grantor.refusals + 1 if grant.reason else 0
        if grant.reason:
            wait = RETRY_PART * self.lease * 2 ** min(grantor.refusals - 1, MAX_DOUBLINGS)
        elif grant.ttl > 0 or grant.next_epoch:
            given = grant.next_ttl if grant.next_epoch else grant.ttl
            part = RENEW_PART if given > SHORT_PART * self.lease else SHORT_RENEW_PART
            wait = max(part * given, RENEW_FLOOR * self.lease)
        else:
            wait = RENEW_PART * self.lease  # it waits for the verdict on a change, which is on its way
        renew_at = now + wait * self.random.uniform(0.8, 1.0)
        grantor.due = min(grantor.due, renew_at) if grantor.pending else renew_at
