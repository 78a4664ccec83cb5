"""A voter's lease table: the cost of a request, the stages of a change, releases, restarts and refusals.

The tests call the table directly, with times in seconds on the voter's clock.
"""

from __future__ import annotations

import pytest

from banklift.fleet import holder_table, lease_table
from banklift.fleet.holder_table import HolderEntry
from banklift.fleet.lease_table import LeaseTable, closing_lease_time
from banklift.fleet.messages import LeaseGrant, LeaseRelease, LeaseRequest
from banklift.fleet.state import State, agree, digest, initial_state, propose, settle

LEASE, DRIFT = 10.0, 0.01
SHORT = closing_lease_time(LEASE)  # seconds
NOT_FIXED = 1e9  # seconds: a `switch_at` beyond this is not fixed yet


class Holders:
    """A voter's lease table, and holders named r0, r1 and so on that send it requests."""

    def __init__(self, count: int) -> None:
        self.table = LeaseTable(LEASE, DRIFT)
        self.state = initial_state("fleet", b"first")
        self.table.apply_state(0.0, self.state)
        self.names = [f"r{number}" for number in range(count)]
        self.numbers = dict.fromkeys(self.names, 0)  # number of the last request of each holder

    def request(
        self, now: float, name: str, incarnation: int = 1, change: str = "", **more: object
    ) -> LeaseGrant:
        """Send a request that holds the grant before it, and accepts `change` if one is given."""
        self.numbers[name] = number = self.numbers.get(name, 0) + 1
        verdict = () if change else None
        request = LeaseRequest(number, number - 1, 1, change, verdict, ())
        for field, value in more.items():
            request = _replaced(request, field, value)
        grant = self.table.request(now, name, incarnation, request)
        assert grant is not None
        return grant

    def choose(self, now: float, state: State) -> None:
        """The register has this state, and the voter learns of it."""
        self.state = state
        self.table.apply_state(now, state)

    def propose(self, now: float) -> str:
        """Begin a change to another policy; returns its id."""
        change = f"{self.state.version}-x"
        self.choose(now, propose(self.state, change, b"second", "r0", 10.0))
        return change


def _replaced(request: LeaseRequest, field: str, value: object) -> LeaseRequest:
    return LeaseRequest(
        **{name: getattr(request, name) for name in request.__struct_fields__} | {field: value}
    )


@pytest.mark.parametrize("stage", ["at rest", "checking", "closing"])
def test_a_request_examines_few_holders_in_every_stage(stage: str, monkeypatch: pytest.MonkeyPatch) -> None:
    holders = Holders(2_000)
    for name in holders.names:
        holders.request(1.0, name)
    change = ""
    if stage != "at rest":
        change = holders.propose(2.0)
    if stage == "closing":
        for name in holders.names:
            holders.request(2.0, name, change=change)
        assert holders.table.survey(2.0).sealed
        holders.choose(2.0, agree(holders.state, change))
    entries_examined = [0]
    real_last_end = HolderEntry.last_end

    def last_end(entry: HolderEntry) -> float:
        entries_examined[0] += 1
        return real_last_end(entry)

    monkeypatch.setattr(HolderEntry, "last_end", last_end)
    for name in holders.names[:200]:
        holders.request(2.5, name, change=change)
        holders.table.due(2.5)
        holders.table.survey(2.5)
    assert entries_examined[0] / 200 < 2 * holder_table.MAX_NAMED_HOLDERS


def test_the_switch_is_fixed_once_all_outstanding_leases_are_short() -> None:
    holders = Holders(3)
    for name in holders.names:
        holders.request(1.0, name)
    change = holders.propose(2.0)
    assert not holders.table.survey(2.0).sealed
    for name in holders.names:
        assert holders.request(2.0, name).ttl == 0.0  # a verdict on the change is missing
        assert holders.request(2.0, name, change=change).ttl == LEASE
    assert holders.table.survey(2.0).sealed
    holders.choose(2.1, agree(holders.state, change))
    for name in holders.names:
        assert holders.request(2.2, name, change=change).ttl == SHORT
        # The longer lease that was granted before stays outstanding until its holder gives it up.
        assert holders.table.switch_at > NOT_FIXED
    for name in holders.names:
        last_grant = holders.request(2.3, name, change=change)
    assert last_grant.next_epoch == 2 and holders.table.switch_at == pytest.approx(2.3 + SHORT * (1 + DRIFT))
    assert not holders.table.survey(2.4).switched
    assert holders.table.survey(holders.table.switch_at).switched
    holders.choose(4.0, settle(holders.state, change))
    grant = holders.request(4.0, "r0")
    assert (grant.epoch, grant.ttl, grant.digests[0]) == (2, LEASE, digest(b"second"))


def three_holders_and_an_agreed_change() -> tuple[Holders, str]:
    """Three holders that accepted a change at 2.0 s and got full leases then, and the change, agreed at once."""
    holders = Holders(3)
    for name in holders.names:
        holders.request(1.0, name)
    change = holders.propose(2.0)
    for name in holders.names:
        holders.request(2.0, name, change=change)
    assert holders.table.survey(2.0).sealed
    holders.choose(2.0, agree(holders.state, change))
    return holders, change


def test_short_leases_grow_while_the_change_waits_for_a_longer_lease_to_end() -> None:
    holders, change = three_holders_and_an_agreed_change()
    last_end = 2.0 + LEASE * (1 + DRIFT)  # end of the lease of r2, which sends nothing any more
    now = 2.0
    requests = 0
    while holders.table.switch_at > NOT_FIXED:
        ttl = holders.request(now, "r0", change=change).ttl
        requests += 1
        if now < 2.0 + SHORT:
            assert ttl == SHORT
        assert ttl <= SHORT + 1e-9 or now + ttl * (1 + DRIFT) < last_end
        now += ttl / 3
    assert (
        holders.table.switch_at == pytest.approx(last_end, abs=0.1 * SHORT)
        or holders.table.switch_at < last_end + SHORT
    )
    assert requests < 20  # with short leases alone there would be 30 in these ten seconds
    # The first lease of a holder during closing is short, however late it comes.
    assert holders.request(now, "r1", change=change).ttl <= SHORT


def test_a_lease_given_up_late_makes_a_change_at_most_twice_as_long() -> None:
    holders, change = three_holders_and_an_agreed_change()
    now = 2.0
    given_up_at = 4.0  # r2 gives up its longer lease after two seconds
    while now < given_up_at:
        for name in ("r0", "r1"):
            longest = holders.request(now, name, change=change).ttl
        assert longest <= max(SHORT, now - 2.0) + 1e-9
        now += SHORT / 3
    holders.table.release(now, "r2", 1, LeaseRelease(holders.numbers["r2"]))
    while holders.table.switch_at > NOT_FIXED:
        now += SHORT / 3
        holders.table.tick(now)
    assert holders.table.switch_at <= now + SHORT * (1 + DRIFT) + 1e-9
    assert now <= 2.0 + 2 * (given_up_at - 2.0)


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
def test_the_length_of_short_leases_is_bounded(lease: float, answer_time: float, short: float) -> None:
    assert closing_lease_time(lease, answer_time) == pytest.approx(short)


def test_short_leases_are_longer_if_half_of_the_holders_answered_late() -> None:
    holders = Holders(5)
    for name in holders.names:
        holders.request(1.0, name)
    change = holders.propose(2.0)
    for name, moment in zip(holders.names, (2.1, 2.2, 2.7, 4.0, 8.0), strict=True):
        holders.request(moment, name, change=change)
    assert holders.table.median_answer_time == pytest.approx(0.7)  # the third of five answered at 2.7 s
    holders.choose(8.0, agree(holders.state, change))
    assert holders.request(8.0, "r0", change=change).ttl == pytest.approx(1.4)


def test_a_restarted_voter_waits_for_the_longest_lease_it_may_have_granted() -> None:
    """The longest one is on the next epoch, which begins only after a short lease of the longest kind."""
    holders = Holders(1)
    holders.request(1.0, "r0")
    change = holders.propose(2.0)
    holders.request(10.0, "r0", change=change)  # eight seconds after the change began
    holders.choose(10.0, agree(holders.state, change))
    longer_lease = holders.numbers["r0"]
    holders.request(10.1, "r0", change=change)
    holders.table.release(10.1, "r0", 1, LeaseRelease(longer_lease))
    grant = holders.request(10.1, "r0", change=change)
    assert grant.next_epoch == 2 and grant.next_begins_in > 2 * SHORT
    restarted = LeaseTable(LEASE, DRIFT)
    restarted.restarted(10.1, settle(holders.state, change))
    assert restarted.all_known_at >= 10.1 + grant.next_epoch_ttl * (1 + DRIFT)


def test_a_change_does_not_wait_for_released_leases() -> None:
    holders = Holders(2)
    for name in holders.names:
        holders.request(1.0, name)
    change = holders.propose(2.0)
    holders.request(2.0, "r0", change=change)
    assert not holders.table.survey(2.0).sealed
    holders.table.release(2.0, "r1", 1, LeaseRelease(holders.numbers["r1"]))
    assert holders.table.survey(2.0).sealed
    # A request that was sent before the release and arrives after it changes nothing.
    late = LeaseRequest(holders.numbers["r1"], 0, 1, "", None, ())
    assert holders.table.request(2.1, "r1", 1, late) is None


def test_a_verdict_counts_only_for_the_incarnation_that_gave_it() -> None:
    holders = Holders(1)
    holders.request(1.0, "r0", incarnation=1)
    change = holders.propose(2.0)
    holders.request(2.0, "r0", incarnation=2, change=change)
    answers = holders.table.survey(2.0)
    assert not answers.sealed and [holder.incarnation for holder in answers.slowest] == [1]
    assert holders.table.survey(1.0 + LEASE * (1 + DRIFT)).sealed  # the lease of the first one has ended


def test_a_sealed_change_gives_no_lease_to_holders_that_have_not_accepted() -> None:
    holders = Holders(1)
    change = holders.propose(2.0)
    holders.request(2.0, "r0", change=change)
    assert holders.table.survey(2.0).sealed
    refused = holders.request(2.1, "r9")
    assert refused.ttl == 0.0 and refused.reason == "a change is being decided that it has not accepted"


def test_a_full_table_refuses_and_gives_the_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    assert holder_table.MAX_HOLDERS == 16_384
    monkeypatch.setattr(holder_table, "MAX_HOLDERS", 3)
    monkeypatch.setattr(lease_table, "MAX_HOLDERS", 3)
    holders = Holders(4)
    for name in holders.names[:3]:
        assert holders.request(1.0, name).ttl == LEASE
    refused = holders.request(1.0, "r3")
    assert refused.ttl == 0.0 and refused.reason == "this voter's lease table is full: 3 holders"
    assert holders.request(1.0 + 2 * LEASE, "r3").ttl == LEASE  # the leases of the others have ended


def test_a_dry_run_grants_to_all_and_waits_for_every_verdict() -> None:
    holders = Holders(2)
    for name in holders.names:
        holders.request(1.0, name)
    holders.choose(2.0, propose(holders.state, "1-dry", b"second", "r0", 10.0, dry=True))
    assert holders.request(2.0, "r1").ttl == LEASE
    holders.request(2.0, "r0", change="1-dry")
    # r1 has a lease from 2.0 s, and has not answered.
    assert not holders.table.survey(1.0 + LEASE * (1 + DRIFT)).sealed
    assert holders.table.survey(2.0 + LEASE * (1 + DRIFT)).sealed
