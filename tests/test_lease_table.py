"""A voter's lease table: what a request costs, who is counted, what is given back."""

from __future__ import annotations

import pytest

from banklift.fleet import holder_table, lease_table
from banklift.fleet.holder_table import Entry
from banklift.fleet.lease_table import LeaseTable, closing_lease
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest
from banklift.fleet.state import State, agree, digest, found, propose, settle

LEASE, DRIFT = 10.0, 0.01
SHORT = closing_lease(LEASE)


class Holders:
    """Some holders of one voter's leases, and the state that it knows."""

    def __init__(self, count: int) -> None:
        self.table, self.state = LeaseTable(LEASE, DRIFT), found("fleet", b"first")
        self.table.apply_state(0.0, self.state)
        self.names = [f"r{number}" for number in range(count)]
        self.numbers = dict.fromkeys(self.names, 0)

    def ask(
        self, now: float, name: str, incarnation: int = 1, change: str = "", **more: object
    ) -> LeaseGrant:
        self.numbers[name] = number = self.numbers.get(name, 0) + 1
        verdict = () if change else None
        request = LeaseRequest(number, number - 1, 1, change, verdict, ())
        for field, value in more.items():
            request = _replaced(request, field, value)
        grant = self.table.request(now, name, incarnation, request)
        assert grant is not None
        return grant

    def choose(self, now: float, state: State) -> None:
        self.state = state
        self.table.apply_state(now, state)

    def propose(self, now: float) -> str:
        change = f"{self.state.version}-x"
        self.choose(now, propose(self.state, change, b"second", "r0", 10.0))
        return change


def _replaced(request: LeaseRequest, field: str, value: object) -> LeaseRequest:
    return LeaseRequest(
        **{name: getattr(request, name) for name in request.__struct_fields__} | {field: value}
    )


@pytest.mark.parametrize("stage", ["at rest", "checking", "closing"])
def test_a_request_looks_at_few_holders_in_every_stage(stage: str, monkeypatch: pytest.MonkeyPatch) -> None:
    holders = Holders(2_000)
    for name in holders.names:
        holders.ask(1.0, name)
    change = ""
    if stage != "at rest":
        change = holders.propose(2.0)
    if stage == "closing":
        for name in holders.names:
            holders.ask(2.0, name, change=change)
        assert holders.table.survey(2.0).sealed
        holders.choose(2.0, agree(holders.state, change))
    looked_at, real = [0], Entry.last_end

    def last_end(entry: Entry) -> float:
        looked_at[0] += 1
        return real(entry)

    monkeypatch.setattr(Entry, "last_end", last_end)
    for name in holders.names[:200]:
        holders.ask(2.5, name, change=change)
        holders.table.due(2.5)
        holders.table.survey(2.5)
    assert looked_at[0] / 200 < 2 * holder_table.MAX_NAMED_HOLDERS


def test_a_change_takes_hold_once_all_leases_outstanding_are_short() -> None:
    holders = Holders(3)
    for name in holders.names:
        holders.ask(1.0, name)
    change = holders.propose(2.0)
    assert not holders.table.survey(2.0).sealed
    for name in holders.names:
        assert holders.ask(2.0, name).ttl == 0.0  # it has to answer first
        assert holders.ask(2.0, name, change=change).ttl == LEASE
    assert holders.table.survey(2.0).sealed
    holders.choose(2.1, agree(holders.state, change))
    for name in holders.names:
        assert holders.ask(2.2, name, change=change).ttl == SHORT
        assert holders.table.switch_at > 1e9  # what was granted before is out until it is given up
    for name in holders.names:
        last = holders.ask(2.3, name, change=change)
    assert last.next_epoch == 2 and holders.table.switch_at == pytest.approx(2.3 + SHORT * (1 + DRIFT))
    assert not holders.table.survey(2.4).switched
    assert holders.table.survey(holders.table.switch_at).switched
    holders.choose(4.0, settle(holders.state, change))
    grant = holders.ask(4.0, "r0")
    assert (grant.epoch, grant.ttl, grant.digests[0]) == (2, LEASE, digest(b"second"))


def agreed_by_three() -> tuple[Holders, str]:
    """Holders of leases that were granted at 1, and a change that was agreed on at 2."""
    holders = Holders(3)
    for name in holders.names:
        holders.ask(1.0, name)
    change = holders.propose(2.0)
    for name in holders.names:
        holders.ask(2.0, name, change=change)
    assert holders.table.survey(2.0).sealed
    holders.choose(2.0, agree(holders.state, change))
    return holders, change


def test_leases_are_longer_again_while_one_that_nobody_gives_up_is_waited_for() -> None:
    holders, change = agreed_by_three()
    end = 2.0 + LEASE * (1 + DRIFT)  # of r2, which is not heard of again
    now, asked = 2.0, 0
    while holders.table.switch_at > 1e9:
        ttl = holders.ask(now, "r0", change=change).ttl
        asked += 1
        if now < 2.0 + SHORT:
            assert ttl == SHORT
        assert ttl <= SHORT + 1e-9 or now + ttl * (1 + DRIFT) < end
        now += ttl / 3
    assert (
        holders.table.switch_at == pytest.approx(end, abs=0.1 * SHORT)
        or holders.table.switch_at < end + SHORT
    )
    assert asked < 20  # ten seconds of short leases would be 30
    assert holders.ask(now, "r1", change=change).ttl <= SHORT  # the first since, however late


def test_a_lease_that_is_given_up_late_makes_a_change_at_most_about_twice_as_long() -> None:
    holders, change = agreed_by_three()
    now, late = 2.0, 4.0
    while now < late:  # r2 gives its longer lease up after two seconds
        for name in ("r0", "r1"):
            longest = holders.ask(now, name, change=change).ttl
        assert longest <= max(SHORT, now - 2.0) + 1e-9
        now += SHORT / 3
    holders.table.release(now, "r2", 1, LeaseRelease(holders.numbers["r2"]))
    while holders.table.switch_at > 1e9:
        now += SHORT / 3
        holders.table.tick(now)
    assert holders.table.switch_at <= now + SHORT * (1 + DRIFT) + 1e-9
    assert now <= 2.0 + 2 * (late - 2.0)


@pytest.mark.parametrize(
    ("lease", "answer_time", "short"),
    [
        (10.0, 0.0, 1.0),
        (4.0, 0.0, 0.5),
        (3.0, 0.0, 0.5),
        (1.0, 0.0, 0.25),
        (10.0, 0.3, 1.0),
        (10.0, 0.8, 1.6),
        (4.0, 0.4, 0.8),
        (4.0, 3.0, 1.0),
    ],
)
def test_short_leases_have_a_floor_and_stay_a_part_of_a_lease(
    lease: float, answer_time: float, short: float
) -> None:
    assert closing_lease(lease, answer_time) == pytest.approx(short)


def test_short_leases_are_longer_where_half_of_the_holders_took_long_to_answer() -> None:
    holders = Holders(5)
    for name in holders.names:
        holders.ask(1.0, name)
    change = holders.propose(2.0)
    for name, moment in zip(holders.names, (2.1, 2.2, 2.7, 4.0, 8.0), strict=True):
        holders.ask(moment, name, change=change)
    assert holders.table.median_answer_time == pytest.approx(0.7)  # of the third of five
    holders.choose(8.0, agree(holders.state, change))
    assert holders.ask(8.0, "r0", change=change).ttl == pytest.approx(1.4)


def test_a_voter_that_starts_anew_waits_for_the_longest_lease_that_it_may_have_granted() -> None:
    """One on the next epoch, which begins after a short lease that is as long as they get."""
    holders = Holders(1)
    holders.ask(1.0, "r0")
    change = holders.propose(2.0)
    holders.ask(10.0, "r0", change=change)  # eight seconds to answer
    holders.choose(10.0, agree(holders.state, change))
    held = holders.numbers["r0"]
    holders.ask(10.1, "r0", change=change)
    holders.table.release(10.1, "r0", 1, LeaseRelease(held))
    grant = holders.ask(10.1, "r0", change=change)
    assert grant.next_epoch == 2 and grant.begin > 2 * SHORT
    restarted = LeaseTable(LEASE, DRIFT)
    restarted.restarted(10.1, settle(holders.state, change))
    assert restarted.all_known_at >= 10.1 + grant.next_ttl * (1 + DRIFT)


def test_leases_given_back_delay_no_change() -> None:
    holders = Holders(2)
    for name in holders.names:
        holders.ask(1.0, name)
    change = holders.propose(2.0)
    holders.ask(2.0, "r0", change=change)
    assert not holders.table.survey(2.0).sealed
    holders.table.release(2.0, "r1", 1, LeaseRelease(holders.numbers["r1"]))
    assert holders.table.survey(2.0).sealed
    late = LeaseRequest(holders.numbers["r1"], 0, 1, "", None, ())
    assert holders.table.request(2.1, "r1", 1, late) is None  # sent before, and overtaken


def test_a_verdict_counts_for_its_incarnation_alone() -> None:
    holders = Holders(1)
    holders.ask(1.0, "r0", incarnation=1)
    change = holders.propose(2.0)
    holders.ask(2.0, "r0", incarnation=2, change=change)
    answers = holders.table.survey(2.0)
    assert not answers.sealed and [one.incarnation for one in answers.slowest] == [1]
    assert holders.table.survey(1.0 + LEASE * (1 + DRIFT)).sealed  # the older one's lease has ended


def test_who_has_not_accepted_gets_nothing_once_it_is_sealed() -> None:
    holders = Holders(1)
    change = holders.propose(2.0)
    holders.ask(2.0, "r0", change=change)
    assert holders.table.survey(2.0).sealed
    refused = holders.ask(2.1, "r9")
    assert refused.ttl == 0.0 and refused.reason == "a change is being decided that it has not accepted"


def test_a_full_table_refuses_with_the_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    assert holder_table.MAX_HOLDERS == 16_384
    monkeypatch.setattr(holder_table, "MAX_HOLDERS", 3)
    monkeypatch.setattr(lease_table, "MAX_HOLDERS", 3)
    holders = Holders(4)
    for name in holders.names[:3]:
        assert holders.ask(1.0, name).ttl == LEASE
    refused = holders.ask(1.0, "r3")
    assert refused.ttl == 0.0 and refused.reason == "this voter's lease table is full: 3 holders"
    assert holders.ask(1.0 + 2 * LEASE, "r3").ttl == LEASE  # the others hold nothing any more


def test_a_dry_run_goes_on_granting_and_waits_for_all() -> None:
    holders = Holders(2)
    for name in holders.names:
        holders.ask(1.0, name)
    holders.choose(2.0, propose(holders.state, "1-dry", b"second", "r0", 10.0, dry=True))
    assert holders.ask(2.0, "r1").ttl == LEASE
    holders.ask(2.0, "r0", change="1-dry")
    assert not holders.table.survey(
        1.0 + LEASE * (1 + DRIFT)
    ).sealed  # r1 has a newer lease, and has not answered
    assert holders.table.survey(2.0 + LEASE * (1 + DRIFT)).sealed
