"""A lease aggregator between the lease tables of three voters and its routers: grants, verdicts and restarts.

The tests call the aggregator directly, without links. All members share one clock, in seconds.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from banklift.fleet.aggregator import Action, Aggregator, AnnounceRenewal
from banklift.fleet.holder import SendToGrantor
from banklift.fleet.lease_table import LeaseTable, closing_lease_time
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow
from banklift.fleet.state import State, agree, initial_state, propose, settle

LEASE, SUB_LEASE, DRIFT = 3.0, 2.0, 0.01
VOTERS = ("v0", "v1", "v2")
NOT_FIXED = 1e9  # seconds: a `switch_at` beyond this is not fixed yet


class Tier:
    """Three voters' lease tables and one aggregator with its routers.

    Messages between the aggregator and the voters arrive at once. Announcements to routers are only recorded in
    `announced`.
    """

    def __init__(self) -> None:
        self.tables = {name: LeaseTable(LEASE, DRIFT) for name in VOTERS}
        self.state = initial_state("fleet", b"first")
        self.aggregator = Aggregator(VOTERS, LEASE, SUB_LEASE, DRIFT, Random(1))
        self.announced: list[AnnounceRenewal] = []
        self.numbers: dict[str, int] = {}  # number of the last request of each router
        self.choose(0.0, self.state)
        for voter in VOTERS:
            self.perform(0.0, self.aggregator.voter_up(0.0, voter))

    def perform(self, now: float, actions: list[Action], unreachable: tuple[str, ...] = ()) -> None:
        """Perform the aggregator's actions; messages to `unreachable` voters are lost."""
        for action in actions:
            match action:
                case AnnounceRenewal():
                    self.announced.append(action)
                case SendToGrantor(voter, LeaseRequest() as request) if voter not in unreachable:
                    grant = self.tables[voter].request(now, "a0", 1, request)
                    if grant is not None:
                        self.perform(now, self.aggregator.granted(now, voter, self.wire(grant)), unreachable)

    @staticmethod
    def wire(grant: LeaseGrant) -> LeaseGrant:
        """The grant as it arrives over a link, encoded and decoded."""
        return msgspec.msgpack.decode(msgspec.msgpack.encode(grant), type=LeaseGrant)

    def choose(self, now: float, state: State) -> None:
        """The register has this state, and all voters learn of it."""
        self.state = state
        for table in self.tables.values():
            table.apply_state(now, state)

    def renew(self, now: float) -> None:
        """All voters tell the aggregator to renew."""
        for voter in VOTERS:
            self.perform(now, self.aggregator.renew_now(now, voter, RenewNow()))

    def request(
        self,
        now: float,
        router: str = "r0",
        change: str = "",
        verdict: tuple[str, ...] | None = None,
        held: int | None = None,
        incarnation: int = 1,
    ) -> LeaseGrant:
        """A router requests a sub-lease: it holds the grant before it, or those from `held` on, and accepts `change`
        unless it gives reasons against it as its `verdict`."""
        number = self.numbers[router] = self.numbers.get(router, 0) + 1
        given_verdict = () if change and verdict is None else verdict
        request = LeaseRequest(number, number - 1 if held is None else held, 1, change, given_verdict, ())
        grant, actions = self.aggregator.request(now, router, incarnation, request)
        self.perform(now, actions)
        assert grant is not None
        return grant

    def propose(self, now: float) -> str:
        """Begin a change to another policy, which the aggregator learns of; returns its id."""
        change = f"{self.state.version}-x"
        self.choose(now, propose(self.state, change, b"second", "v0", 10.0))
        self.renew(now)
        return change

    def sealed(self, now: float) -> bool:
        """Whether all voters have sealed the change, that is, their holders have all accepted it."""
        return all(table.survey(now).sealed for table in self.tables.values())

    def propose_and_agree(self, now: float) -> str:
        """Begin a change that r0 accepts and that is then agreed; returns its id."""
        change = self.propose(now)
        self.request(now, change=change)
        assert self.sealed(now)
        self.choose(now, agree(self.state, change))
        self.renew(now)
        return change


def test_a_sub_lease_ends_before_the_lease_of_its_aggregator_even_with_drift() -> None:
    tier = Tier()
    for step in range(29):
        now = 0.1 * step
        grant = tier.request(now)
        window = tier.aggregator.parent.current_window(now)
        assert window is not None and window.end == pytest.approx(LEASE * (1 - DRIFT))
        assert now + grant.ttl * (1 + DRIFT) <= window.end + 1e-9
        assert grant.ttl == pytest.approx(min(SUB_LEASE, (window.end - now) / (1 + DRIFT)))
    assert tier.request(LEASE).reason == "this aggregator has no lease of a majority of voters"


def test_the_text_of_a_policy_is_sent_once() -> None:
    tier = Tier()
    assert tier.request(0.0).policies == (b"first",)
    request = LeaseRequest(2, 1, 1, "", None, tier.request(0.0, "r1").digests[:1])
    grant, _ = tier.aggregator.request(0.1, "r0", 1, request)
    assert grant is not None and grant.policies == ()


def test_the_news_of_a_change_contains_the_policy_that_a_router_lacks() -> None:
    tier = Tier()
    tier.request(0.0)
    change = tier.propose(0.5)
    entry = tier.aggregator.table.entries["r0", 1]
    subject = tier.aggregator.applied_view.subject
    assert tier.aggregator.change_news(entry) == RenewNow(change, subject, (b"second",))
    entry.held_policies = (subject,)
    assert tier.aggregator.change_news(entry) == RenewNow(change, subject)


def test_an_aggregator_accepts_a_change_only_once_all_its_routers_have() -> None:
    tier = Tier()
    tier.request(0.0, "r0")
    tier.request(0.0, "r1")
    tier.announced.clear()
    change = tier.propose(0.5)
    assert tier.announced == [AnnounceRenewal(check=True)]
    assert tier.request(0.5, "r0").ttl == 0.0  # a verdict on the change is missing
    assert tier.request(0.5, "r0", change).ttl > 0
    assert not tier.sealed(0.6)
    assert tier.request(0.6, "r1", change).ttl > 0
    assert tier.sealed(0.6)
    newcomer = tier.request(0.7, "r2")
    assert (newcomer.ttl, newcomer.reason) == (0.0, "a change is being decided that it has not accepted")
    tier.choose(0.8, settle(agree(tier.state, change), change))
    tier.renew(0.8)
    assert tier.aggregator.table.sealed_change == ""


def test_a_change_waits_for_a_silent_router_until_its_sub_lease_has_ended() -> None:
    tier = Tier()
    tier.request(0.0, "r0")
    tier.propose(0.5)
    end = SUB_LEASE * (1 + DRIFT)
    assert tier.aggregator.due(0.5) <= end
    tier.perform(end - 0.01, tier.aggregator.wake(end - 0.01))
    assert not tier.sealed(end - 0.01)
    tier.perform(end, tier.aggregator.wake(end))
    assert tier.sealed(end)


def test_a_change_does_not_wait_for_a_router_that_released_its_sub_lease() -> None:
    tier = Tier()
    tier.request(0.0, "r0")
    tier.propose(0.5)
    tier.perform(0.6, tier.aggregator.release(0.6, "r0", 1, LeaseRelease(1)))
    assert tier.sealed(0.6)


def test_a_refusal_is_reported_with_its_reason_once_all_routers_have_answered() -> None:
    tier = Tier()
    for router in ("r0", "r1"):
        tier.request(0.0, router)
    change = tier.propose(0.5)
    tier.request(0.5, "r1", change, ("$.classes: no",))
    assert tier.aggregator.parent.verdict is None
    tier.request(0.6, "r0", change)
    for table in tier.tables.values():
        answers = table.survey(0.6)
        assert not answers.sealed and [holder.verdict for holder in answers.refusals] == [
            ("r1: $.classes: no",)
        ]
        summary = answers.refusals[0].summary
        assert summary is not None and summary.routers == 2


def test_a_refusal_after_acceptance_is_reported_while_the_change_is_checked() -> None:
    tier = Tier()
    tier.request(0.0, "r0")
    change = tier.propose(0.5)
    tier.request(0.5, "r0", change)
    assert tier.sealed(0.5)
    assert tier.request(0.6, "r1", change, ("no",)).ttl == 0.0
    assert not tier.sealed(0.6)
    assert all(table.survey(0.6).refusals for table in tier.tables.values())


def test_a_refusal_after_the_change_was_agreed_has_no_effect() -> None:
    tier = Tier()
    tier.request(0.0)
    change = tier.propose_and_agree(0.5)
    assert tier.request(0.55, "r1", change, ("no",)).ttl == 0.0
    tier.renew(0.56)
    assert tier.request(0.6, change=change).ttl > 0
    assert all(not table.refusing for table in tier.tables.values())


def test_a_refusal_not_reported_before_the_change_was_agreed_causes_no_busy_loop() -> None:
    """The change is agreed by other holders while this aggregator still waits for its routers' verdicts.

    The refusal can't be reported any more. The aggregator must not wake again and again for it before a lease ends.
    """
    tier = Tier()
    for router in ("r0", "r1"):
        tier.request(0.0, router)
    change = tier.propose(0.5)
    tier.request(0.5, "r1", change, ("no",))
    assert tier.aggregator.parent.verdict is None
    tier.choose(0.6, agree(tier.state, change))
    tier.renew(0.6)
    now = 0.6
    wakes = 0
    while now < SUB_LEASE:
        now = max(now, tier.aggregator.due(now))
        tier.perform(now, tier.aggregator.wake(now))
        wakes += 1
        assert wakes < 100


def test_older_grants_are_held_until_routers_have_given_up_longer_sub_leases() -> None:
    tier = Tier()
    tier.request(0.0)
    tier.announced.clear()
    change = tier.propose_and_agree(0.5)
    assert AnnounceRenewal() in tier.announced
    assert all(table.switch_at > NOT_FIXED for table in tier.tables.values())
    longer_sub_lease = tier.numbers["r0"]
    short = tier.request(0.6, change=change, held=longer_sub_lease)  # held until this answer arrives
    assert 0 < short.ttl < closing_lease_time(LEASE)
    assert tier.aggregator.waits_for_renewals
    tier.request(0.61, change=change, held=longer_sub_lease + 1)
    assert not tier.aggregator.waits_for_renewals
    assert all(
        table.switch_at < 0.61 + closing_lease_time(LEASE) * (1 + DRIFT) + 1e-9
        for table in tier.tables.values()
    )
    tier.renew(0.62)
    grant = tier.request(0.62, change=change)
    assert (grant.epoch, grant.next_epoch) == (1, 2)
    switch_at = min(table.switch_at for table in tier.tables.values())
    assert 0.62 + grant.ttl * (1 + DRIFT) <= switch_at <= 0.62 + grant.next_begins_in


def test_only_the_new_epoch_is_granted_after_the_switch() -> None:
    tier = Tier()
    tier.request(0.0)
    change = tier.propose_and_agree(0.5)
    for now in (0.6, 0.61, 0.62):
        tier.request(now, change=change)
        tier.renew(now)
    after_switch = max(table.switch_at for table in tier.tables.values()) * (1 + DRIFT) + 0.01
    grant = tier.request(after_switch, change=change)
    assert (grant.epoch, grant.next_epoch) == (2, 0) and grant.ttl > 0


def test_a_change_waits_for_the_lease_of_the_incarnation_before_a_restart() -> None:
    tier = Tier()
    tier.request(0.0)
    change = tier.propose(0.5)
    restarted = Aggregator(VOTERS, LEASE, SUB_LEASE, DRIFT, Random(2))
    for voter in VOTERS:
        (sent,) = restarted.voter_up(0.6, voter)
        assert isinstance(sent, SendToGrantor) and isinstance(sent.message, LeaseRequest)
        grant = tier.tables[voter].request(0.6, "a0", 2, sent.message)
        assert grant is not None
        for action in restarted.granted(0.6, voter, tier.wire(grant)):
            if isinstance(action, SendToGrantor) and isinstance(action.message, LeaseRequest):
                tier.tables[action.grantor].request(0.6, "a0", 2, action.message)
    # The new incarnation knows no routers, so it accepts at once; routers of the old one may still serve.
    assert restarted.parent.view.change == change and restarted.parent.verdict == ()
    assert not tier.sealed(0.7)
    assert tier.sealed(LEASE * (1 + DRIFT))


def test_an_aggregator_needs_leases_of_a_majority_of_the_voters() -> None:
    tier = Tier()
    tier.perform(0.0, tier.aggregator.voter_up(0.0, "v0"))
    renewed_at = 0.6 * LEASE
    tier.perform(
        renewed_at, tier.aggregator.renew_now(renewed_at, "v0", RenewNow()), unreachable=("v1", "v2")
    )
    assert tier.request(LEASE).reason == "this aggregator has no lease of a majority of voters"
    tier.perform(LEASE, tier.aggregator.renew_now(LEASE, "v1", RenewNow()), unreachable=("v2",))
    assert tier.request(LEASE).ttl > 0
