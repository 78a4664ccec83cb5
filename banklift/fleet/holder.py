"""The client side of leases, shared by routers and aggregators: requests, retries and the grants that are held.

A holder requests leases from its grantors, each over a link of its own, and renews them for as long as it runs.
This module does no I/O. All times are seconds on the holder's own clock, which may run up to `drift` (a fraction)
faster or slower than the grantor's clock. Both directions of that error are allowed for:

- A grant is counted from the moment when its request was sent, and it ends `drift` of its length earlier than the
  grantor said, because the holder's clock may run slow.
- A lease on the next epoch is counted from the moment when the answer arrived, and it begins `drift` later than the
  grantor said, because the holder's clock may run fast.

States of one grantor, as the holder sees it:

| state | event | next state | what is sent |
| --- | --- | --- | --- |
| no link | the link is up | waiting | a request |
| answered | the next request is due, or `RenewNow` came | waiting | a request |
| waiting | a grant came | answered; the renewal is due after a third of the grant, or half of a short one | - |
| waiting | an answer without lease or reason came | answered; the next request is due after a third of a lease | - |
| waiting | a refusal came | answered; the next request is due after a wait that doubles with each refusal | - |
| waiting | the request is due again without an answer | waiting | another request, with exponential back-off |
| waiting | no answer for `stall_time`, twice as long the next time | no link | `LinkStalled`: the link is made again |
| any | the link is down | no link; what the grantor granted stays valid | - |

An answer that is late, duplicated, or belongs to an earlier link matches no pending request and is dropped.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from banklift.fleet.actions import LogLine
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow

# Fraction of a grant's length after which it is renewed.
RENEWAL_FRACTION = 1 / 3
# The same for a short grant. All holders get short grants at one moment, so their renewals come in bursts.
SHORT_GRANT_RENEWAL_FRACTION = 1 / 2
# A grant counts as short if it lasts for no more than this fraction of a lease.
SHORT_GRANT_FRACTION = 1 / 2
# Shortest wait before a renewal, as a fraction of a lease. Before an epoch ends each grant gives only what is left
# of it, so waits that depend on the grant alone would shrink towards zero.
MIN_RENEWAL_WAIT_FRACTION = 1 / 50
# First wait after a refusal before the next request, as a fraction of a lease. Clients that are turned away for lack
# of a lease are also told to try again after this time.
RETRY_FRACTION = 1 / 20
# A link counts as stalled when a request has had no answer for this fraction of a lease.
STALL_TIME_FRACTION = 1 / 4
# Shortest time after which a link counts as stalled: where thousands of holders send requests at one moment, an
# answer may take as long.
MIN_STALL_TIME_SECONDS = 1.0
# Longest time after which a link counts as stalled, as a fraction of a lease: a renewal sent after
# RENEWAL_FRACTION that gets no answer leaves time for another grantor to answer.
MAX_STALL_TIME_FRACTION = 0.4
# Fraction of the stall time after which an unanswered request is sent again.
RESEND_FRACTION = 1 / 2
# Limit of the exponential back-off between requests: the wait doubles at most this often.
MAX_BACKOFF_DOUBLINGS = 3
# Limit for the stall time: it doubles at most this often. It grows because making new links is more work for a
# grantor that is overloaded already.
MAX_STALL_TIME_DOUBLINGS = 2


@dataclass(frozen=True, slots=True)
class SendToGrantor:
    """Send `message` over the link to `grantor`."""

    grantor: str
    message: LeaseRequest | LeaseRelease


@dataclass(frozen=True, slots=True)
class EpochAdopted:
    """The router serves `epoch` from now on: requests are handled under `policy`, its text."""

    epoch: int
    policy: bytes


@dataclass(frozen=True, slots=True)
class LeaseEndChanged:
    """The router may serve until `time`, and no longer unless a later action says so. `time` may be earlier than the
    one before, also in the past. `retry_after`: seconds after which a client may try again if the lease ends."""

    serve_until: float
    retry_after: float


@dataclass(frozen=True, slots=True)
class LinkStalled:
    """The link to `grantor` delivers nothing: end it and make a new one."""

    grantor: str


Action = SendToGrantor | EpochAdopted | LeaseEndChanged | LinkStalled | LogLine


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """One grant in times of the holder's clock, corrected for drift.

    `number`: of the request that it answers. The lease on `epoch` ends at `expires_at`, minus infinity if there is
    none. The lease on `next_epoch`, 0 if there is none, lasts from `next_begins_at` until `next_expires_at`.
    """

    number: int
    epoch: int
    expires_at: float
    next_epoch: int
    next_begins_at: float
    next_expires_at: float

    def covers(self, epoch: int, now: float) -> bool:
        """Whether this grant is a lease on `epoch` that holds at `now`."""
        return self.end_of(epoch) > now and self.start_of(epoch) <= now

    def start_of(self, epoch: int) -> float:
        """When the lease on `epoch` begins: minus infinity if it has begun, infinity if there is none."""
        if self.epoch == epoch and self.expires_at > -math.inf:
            return -math.inf
        return self.next_begins_at if self.next_epoch == epoch else math.inf

    def end_of(self, epoch: int) -> float:
        """When the lease on `epoch` ends; minus infinity if there is none."""
        if self.epoch == epoch and self.expires_at > -math.inf:
            return self.expires_at
        return self.next_expires_at if self.next_epoch == epoch else -math.inf


NO_GRANT = HeldGrant(0, 0, -math.inf, 0, math.inf, -math.inf)


@dataclass(slots=True, eq=False)
class Grantor:
    """What the holder knows of one grantor: its link, its newest grant and the requests to it."""

    linked: bool = False
    newest_grant: HeldGrant = NO_GRANT
    oldest_held: int = 0  # number of the oldest grant of this grantor that the holder still relies on
    # When each unanswered request was sent, by its number; the oldest request comes first.
    pending_requests: dict[int, float] = field(default_factory=dict)
    retries: int = 0  # requests in a row that were sent again for lack of an answer
    refusals: int = 0  # answers in a row that gave no lease
    stalls: int = 0  # links in a row that delivered no answer
    next_request_at: float = math.inf  # when the next request is sent
    last_heard: float = -math.inf  # when its last message came, or its link came up
    refusal_reason: str = ""  # why its last answer gave no lease; empty if it gave one
    # Id of the change whose policy it asked to have checked. Grantors may know of different changes for a while.
    change_id: str = ""
    change_digest: str = ""  # digest of the policy of that change


class LeaseHolder:
    """Requests leases from `grantors` and renews them; subclasses decide what the leases are used for.

    `lease`: seconds that a lease lasts while no change is under way. `drift`: bound on the relative rate of two
    clocks, a fraction. Each event method takes the time of the event and returns the actions to perform, in order.
    """

    def __init__(self, grantors: tuple[str, ...], lease: float, drift: float, random: Random) -> None:
        self.grantors = {name: Grantor() for name in grantors}
        self.lease = lease
        self.drift = drift
        self.random = random
        self.stall_time = min(
            max(STALL_TIME_FRACTION * lease, MIN_STALL_TIME_SECONDS), MAX_STALL_TIME_FRACTION * lease
        )
        self.last_number = 0  # number of the last request, to whichever grantor
        self.actions: list[Action] = []

    # ---- hooks for subclasses

    def _build_request(self, number: int, grantor: Grantor) -> LeaseRequest:
        """The request with this number to this grantor, as it is sent now."""
        raise NotImplementedError

    def _answer_recorded(self, now: float, name: str, previous: HeldGrant, grant: LeaseGrant) -> None:
        """Act on an answer that was recorded in its `Grantor`. `previous`: that grantor's newest grant before."""
        raise NotImplementedError

    def _news_received(self, grantor: Grantor, news: RenewNow) -> bool:
        """Record what a grantor says about a change. Returns whether a request has to tell it the verdict."""
        return False

    def _requests_from(self, name: str) -> bool:
        """Whether this grantor is asked for leases when its link comes up and when a renewal is due."""
        return True

    def _take_actions(self, now: float) -> list[Action]:
        """Return the actions that have gathered, and start over with none."""
        done, self.actions = self.actions, []
        return done

    # ---- events

    def link_up(self, now: float, name: str) -> list[Action]:
        """The link to the grantor `name` is up."""
        grantor = self.grantors[name]
        grantor.linked = True
        grantor.last_heard = now
        grantor.retries = 0
        grantor.pending_requests.clear()
        if self._requests_from(name):
            self._send_request(now, name)
        return self._take_actions(now)

    def link_down(self, now: float, name: str) -> list[Action]:
        """The link to the grantor `name` is down. What it granted stays valid until it ends."""
        self._mark_unlinked(name)
        return self._take_actions(now)

    def renew_now(self, now: float, name: str, news: RenewNow) -> list[Action]:
        """The grantor asks for a new request, as something has changed.

        If a request is pending already, its answer will bring the change, as links deliver in order.
        """
        grantor = self.grantors[name]
        grantor.last_heard = now
        if self._news_received(grantor, news) or not grantor.pending_requests:
            self._send_request(now, name)
        return self._take_actions(now)

    def granted(self, now: float, name: str, grant: LeaseGrant) -> list[Action]:
        """The grantor answered a request. An answer that matches no pending request is ignored."""
        grantor = self.grantors[name]
        sent_at = grantor.pending_requests.get(grant.number)
        if sent_at is not None:
            grantor.pending_requests = {
                number: at for number, at in grantor.pending_requests.items() if number > grant.number
            }
            self._record_answer(now, name, sent_at, grant)
        return self._take_actions(now)

    def wake(self, now: float) -> list[Action]:
        """Send the requests that are due, and give up links that have stalled."""
        for name, grantor in self.grantors.items():
            if not grantor.linked:
                continue
            if self._stall_deadline(grantor) <= now:
                grantor.stalls += 1
                self._mark_unlinked(name)
                self.actions.append(LinkStalled(name))
            elif grantor.next_request_at <= now:
                grantor.retries += bool(grantor.pending_requests)
                self._send_request(now, name)
        return self._take_actions(now)

    def due(self, now: float) -> float:
        """When `wake` next has something to do; infinity if nothing is scheduled."""
        due = math.inf
        for grantor in self.grantors.values():
            due = min(due, grantor.next_request_at)
            if grantor.linked and grantor.pending_requests:
                due = min(due, self._stall_deadline(grantor))
        return due

    # ---- requests and answers

    def _mark_unlinked(self, name: str) -> None:
        grantor = self.grantors[name]
        grantor.linked = False
        grantor.next_request_at = math.inf
        grantor.pending_requests.clear()

    def _stall_deadline(self, grantor: Grantor) -> float:
        """When the link counts as stalled if no answer comes; infinity if no request is pending."""
        oldest_sent_at = next(iter(grantor.pending_requests.values()), math.inf)
        stall_time: float = self.stall_time * 2 ** min(grantor.stalls, MAX_STALL_TIME_DOUBLINGS)
        return oldest_sent_at + stall_time

    def _send_request(self, now: float, name: str) -> None:
        """Send a request if the grantor is linked, and schedule a retry in case that no answer comes."""
        grantor = self.grantors[name]
        if not grantor.linked:
            return
        self.last_number += 1
        grantor.pending_requests[self.last_number] = now
        wait = RESEND_FRACTION * self.stall_time * 2 ** min(grantor.retries, MAX_BACKOFF_DOUBLINGS)
        grantor.next_request_at = now + wait * self.random.uniform(0.8, 1.2)
        self.actions.append(SendToGrantor(name, self._build_request(self.last_number, grantor)))

    def _record_answer(self, now: float, name: str, sent_at: float, grant: LeaseGrant) -> None:
        """Record the answer to a request that was sent at `sent_at`, with the grant in times of this clock."""
        grantor = self.grantors[name]
        grantor.last_heard = now
        grantor.refusal_reason = grant.reason
        grantor.retries = grantor.stalls = 0
        previous = grantor.newest_grant
        if grant.ttl > 0 or grant.next_epoch:
            grantor.newest_grant = HeldGrant(
                grant.number,
                grant.epoch,
                sent_at + grant.ttl * (1 - self.drift) if grant.ttl > 0 else -math.inf,
                grant.next_epoch,
                now + grant.next_begins_in * (1 + self.drift),
                sent_at + grant.next_epoch_ttl * (1 - self.drift),
            )
        self._schedule_request(now, grantor, grant)
        if not self._requests_from(name):
            grantor.next_request_at = math.inf
        self._answer_recorded(now, name, previous, grant)

    def _schedule_request(self, now: float, grantor: Grantor, grant: LeaseGrant) -> None:
        """Schedule the next request to this grantor after its answer: a renewal, or a retry after a refusal."""
        grantor.refusals = grantor.refusals + 1 if grant.reason else 0
        if grant.reason:
            wait = RETRY_FRACTION * self.lease * 2 ** min(grantor.refusals - 1, MAX_BACKOFF_DOUBLINGS)
        elif grant.ttl > 0 or grant.next_epoch:
            granted_time = grant.next_epoch_ttl if grant.next_epoch else grant.ttl
            is_long = granted_time > SHORT_GRANT_FRACTION * self.lease
            fraction = RENEWAL_FRACTION if is_long else SHORT_GRANT_RENEWAL_FRACTION
            wait = max(fraction * granted_time, MIN_RENEWAL_WAIT_FRACTION * self.lease)
        else:
            # The grantor waits for this holder's verdict on a change, which another request will carry.
            wait = RENEWAL_FRACTION * self.lease
        renew_at = now + wait * self.random.uniform(0.8, 1.0)
        grantor.next_request_at = (
            min(grantor.next_request_at, renew_at) if grantor.pending_requests else renew_at
        )
