"""A lease aggregator between voters and routers, without links: what it grants, says and keeps."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from banklift.fleet.aggregator import Action, Aggregator, AnnounceRenewal
from banklift.fleet.holder import SendToGrantor
from banklift.fleet.lease_table import LeaseTable, closing_lease
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest, RenewNow
from banklift.fleet.state import State, agree, found, propose, settle

LEASE, SUB_LEASE, DRIFT = 3.0, 2.0, 0.01
VOTERS = ("v0", "v1", "v2")


class Tier:
    """All clocks are one; messages to voters arrive at once, and those to the routers in `announced` not at all."""

    def __init__(self) -> None:
        self.tables = {name: LeaseTable(LEASE, DRIFT) for name in VOTERS}
        self.state = found("fleet", b"first")
        self.aggregator = Aggregator(VOTERS, LEASE, SUB_LEASE, DRIFT, Random(1))
        self.announced: list[AnnounceRenewal] = []
        self.numbers: dict[str, int] = {}
        self.choose(0.0, self.state)
        for voter in VOTERS:
            self.carry(0.0, self.aggregator.voter_up(0.0, voter))

    def carry(self, now: float, actions: list[Action], unheard: tuple[str, ...] = ()) -> None:
        for action in actions:
            match action:
                case AnnounceRenewal():
                    self.announced.append(action)
                case SendToGrantor(voter, LeaseRequest() as request) if voter not in unheard:
                    grant = self.tables[voter].request(now, "a0", 1, request)
                    if grant is not None:
                        self.carry(now, self.aggregator.granted(now, voter, self.wire(grant)), unheard)

    @staticmethod
    def wire(grant: LeaseGrant) -> LeaseGrant:
        """As it comes over a link."""
        return msgspec.msgpack.decode(msgspec.msgpack.encode(grant), type=LeaseGrant)

    def choose(self, now: float, state: State) -> None:
        """A state is chosen, and voters tell the aggregator to renew."""
        self.state = state
        for table in self.tables.values():
            table.apply_state(now, state)

    def renew(self, now: float) -> None:
        for voter in VOTERS:
            self.carry(now, self.aggregator.renew_now(now, voter, RenewNow()))

    def ask(
        self,
        now: float,
        router: str = "r0",
        change: str = "",
        verdict: tuple[str, ...] | None = None,
        held: int | None = None,
        incarnation: int = 1,
    ) -> LeaseGrant:
        number = self.numbers[router] = self.numbers.get(router, 0) + 1
        answered = () if change and verdict is None else verdict
        request = LeaseRequest(number, number - 1 if held is None else held, 1, change, answered, ())
        grant, actions = self.aggregator.request(now, router, incarnation, request)
        self.carry(now, actions)
        assert grant is not None
        return grant

    def propose(self, now: float) -> str:
        change = f"{self.state.version}-x"
        self.choose(now, propose(self.state, change, b"second", "v0", 10.0))
        self.renew(now)
        return change

    def sealed(self, now: float) -> bool:
        return all(table.survey(now).sealed for table in self.tables.values())

    def agreed(self, now: float) -> str:
        """A change that `r0` has accepted is agreed."""
        change = self.propose(now)
        self.ask(now, change=change)
        assert self.sealed(now)
        self.choose(now, agree(self.state, change))
        self.renew(now)
        return change


def test_a_sub_lease_ends_before_its_parent_with_drift_counted() -> None:
    tier = Tier()
    for step in range(29):
        now = 0.1 * step
        grant = tier.ask(now)
        window = tier.aggregator.parent.current_window(now)
        assert window is not None and window.end == pytest.approx(LEASE * (1 - DRIFT))
        assert now + grant.ttl * (1 + DRIFT) <= window.end + 1e-9
        assert grant.ttl == pytest.approx(min(SUB_LEASE, (window.end - now) / (1 + DRIFT)))
    assert tier.ask(LEASE).reason == "this aggregator has no lease of a majority of voters"


def test_the_text_of_a_policy_is_sent_once() -> None:
    tier = Tier()
    assert tier.ask(0.0).policies == (b"first",)
    request = LeaseRequest(2, 1, 1, "", None, tier.ask(0.0, "r1").digests[:1])
    grant, _ = tier.aggregator.request(0.1, "r0", 1, request)
    assert grant is not None and grant.policies == ()


def test_a_change_to_check_is_told_with_the_text_that_a_router_lacks() -> None:
    tier = Tier()
    tier.ask(0.0)
    change = tier.propose(0.5)
    entry = tier.aggregator.table.entries["r0", 1]
    subject = tier.aggregator.applied_view.subject
    assert tier.aggregator.change_news(entry) == RenewNow(change, subject, (b"second",))
    entry.held_policies = (subject,)
    assert tier.aggregator.change_news(entry) == RenewNow(change, subject)


def test_voters_hear_that_it_accepts_only_once_all_routers_have() -> None:
    tier = Tier()
    tier.ask(0.0, "r0")
    tier.ask(0.0, "r1")
    tier.announced.clear()
    change = tier.propose(0.5)
    assert tier.announced == [AnnounceRenewal(check=True)]
    assert tier.ask(0.5, "r0").ttl == 0.0  # it has to answer first
    assert tier.ask(0.5, "r0", change).ttl > 0
    assert not tier.sealed(0.6)
    assert tier.ask(0.6, "r1", change).ttl > 0
    assert tier.sealed(0.6)
    late = tier.ask(0.7, "r2")
    assert (late.ttl, late.reason) == (0.0, "a change is being decided that it has not accepted")
    tier.choose(0.8, settle(agree(tier.state, change), change))
    tier.renew(0.8)
    assert tier.aggregator.table.sealed == ""


def test_a_router_that_is_gone_is_waited_for_until_its_sub_lease_has_ended() -> None:
    tier = Tier()
    tier.ask(0.0, "r0")
    tier.propose(0.5)
    end = SUB_LEASE * (1 + DRIFT)
    assert tier.aggregator.due(0.5) <= end
    tier.carry(end - 0.01, tier.aggregator.wake(end - 0.01))
    assert not tier.sealed(end - 0.01)
    tier.carry(end, tier.aggregator.wake(end))
    assert tier.sealed(end)


def test_a_router_that_gives_its_sub_lease_back_is_not_waited_for() -> None:
    tier = Tier()
    tier.ask(0.0, "r0")
    tier.propose(0.5)
    tier.carry(0.6, tier.aggregator.release(0.6, "r0", 1, LeaseRelease(1)))
    assert tier.sealed(0.6)


def test_a_refusal_is_passed_on_with_its_reason_once_the_others_have_answered() -> None:
    tier = Tier()
    for router in ("r0", "r1"):
        tier.ask(0.0, router)
    change = tier.propose(0.5)
    tier.ask(0.5, "r1", change, ("$.classes: no",))
    assert tier.aggregator.parent.verdict is None
    tier.ask(0.6, "r0", change)
    for table in tier.tables.values():
        answers = table.survey(0.6)
        assert not answers.sealed and [one.verdict for one in answers.refusals] == [("r1: $.classes: no",)]
        summary = answers.refusals[0].summary
        assert summary is not None and summary.routers == 2


def test_a_refusal_after_it_has_accepted_is_passed_on_while_the_change_is_checked() -> None:
    tier = Tier()
    tier.ask(0.0, "r0")
    change = tier.propose(0.5)
    tier.ask(0.5, "r0", change)
    assert tier.sealed(0.5)
    assert tier.ask(0.6, "r1", change, ("no",)).ttl == 0.0
    assert not tier.sealed(0.6)
    assert all(table.survey(0.6).refusals for table in tier.tables.values())


def test_a_refusal_after_the_change_is_agreed_undoes_nothing() -> None:
    tier = Tier()
    tier.ask(0.0)
    change = tier.agreed(0.5)
    assert tier.ask(0.55, "r1", change, ("no",)).ttl == 0.0
    tier.renew(0.56)
    assert tier.ask(0.6, change=change).ttl > 0
    assert all(not table.refusing for table in tier.tables.values())


def test_a_refusal_that_was_not_told_before_the_change_was_agreed_keeps_nobody_busy() -> None:
    """Others have agreed while this aggregator waited for the rest of its routers: there is nothing to do about it
    until a lease ends."""
    tier = Tier()
    for router in ("r0", "r1"):
        tier.ask(0.0, router)
    change = tier.propose(0.5)
    tier.ask(0.5, "r1", change, ("no",))
    assert tier.aggregator.parent.verdict is None
    tier.choose(0.6, agree(tier.state, change))
    tier.renew(0.6)
    now, woken = 0.6, 0
    while now < SUB_LEASE:
        now = max(now, tier.aggregator.due(now))
        tier.carry(now, tier.aggregator.wake(now))
        woken += 1
        assert woken < 100


def test_longer_grants_go_on_to_be_counted_until_routers_have_given_theirs_up() -> None:
    tier = Tier()
    tier.ask(0.0)
    tier.announced.clear()
    change = tier.agreed(0.5)
    assert AnnounceRenewal() in tier.announced
    assert all(table.switch_at > 1e9 for table in tier.tables.values())
    held = tier.numbers["r0"]
    short = tier.ask(0.6, change=change, held=held)  # counts its longer one up to this answer
    assert 0 < short.ttl < closing_lease(LEASE)
    assert tier.aggregator.waits_for_renewals
    tier.ask(0.61, change=change, held=held + 1)
    assert not tier.aggregator.waits_for_renewals
    assert all(
        table.switch_at < 0.61 + closing_lease(LEASE) * (1 + DRIFT) + 1e-9 for table in tier.tables.values()
    )
    tier.renew(0.62)
    grant = tier.ask(0.62, change=change)
    assert (grant.epoch, grant.next_epoch) == (1, 2)
    switch_at = min(table.switch_at for table in tier.tables.values())
    assert 0.62 + grant.ttl * (1 + DRIFT) <= switch_at <= 0.62 + grant.begin


def test_nothing_of_the_old_epoch_is_granted_after_the_switch() -> None:
    tier = Tier()
    tier.ask(0.0)
    change = tier.agreed(0.5)
    for now in (0.6, 0.61, 0.62):
        tier.ask(now, change=change)
        tier.renew(now)
    after = max(table.switch_at for table in tier.tables.values()) * (1 + DRIFT) + 0.01
    grant = tier.ask(after, change=change)
    assert (grant.epoch, grant.next_epoch) == (2, 0) and grant.ttl > 0


def test_a_restart_is_another_holder_whose_predecessor_has_to_run_out() -> None:
    tier = Tier()
    tier.ask(0.0)
    change = tier.propose(0.5)
    newer = Aggregator(VOTERS, LEASE, SUB_LEASE, DRIFT, Random(2))
    for voter in VOTERS:
        (sent,) = newer.voter_up(0.6, voter)
        assert isinstance(sent, SendToGrantor) and isinstance(sent.message, LeaseRequest)
        grant = tier.tables[voter].request(0.6, "a0", 2, sent.message)
        assert grant is not None
        for action in newer.granted(0.6, voter, tier.wire(grant)):
            if isinstance(action, SendToGrantor) and isinstance(action.message, LeaseRequest):
                tier.tables[action.grantor].request(0.6, "a0", 2, action.message)
    assert newer.parent.view.change == change and newer.parent.verdict == ()  # it knows of no routers
    assert not tier.sealed(0.7)  # the routers of the one before may serve yet
    assert tier.sealed(LEASE * (1 + DRIFT))


def test_one_voter_is_not_enough() -> None:
    tier = Tier()
    tier.carry(0.0, tier.aggregator.voter_up(0.0, "v0"))
    later = 0.6 * LEASE
    tier.carry(later, tier.aggregator.renew_now(later, "v0", RenewNow()), unheard=("v1", "v2"))
    assert tier.ask(LEASE).reason == "this aggregator has no lease of a majority of voters"
    tier.carry(LEASE, tier.aggregator.renew_now(LEASE, "v1", RenewNow()), unheard=("v2",))
    assert tier.ask(LEASE).ttl > 0
