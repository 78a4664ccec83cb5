"""The choice of the aggregators that a router leases from."""

from __future__ import annotations

from collections import Counter

from banklift.fleet.placement import Candidate, choose_aggregators

ROUTERS = [f"router-{number}" for number in range(3_000)]


def test_routers_spread_evenly_and_only_those_of_a_lost_aggregator_move() -> None:
    five = [Candidate(f"a{number}", f"m{number}") for number in range(5)]
    before = {router: choose_aggregators(router, five) for router in ROUTERS}
    counts = Counter(chosen[0] for chosen in before.values())
    assert max(counts.values()) < 1.2 * len(ROUTERS) / 5
    after = {router: choose_aggregators(router, five[:4]) for router in ROUTERS}
    moved = [router for router in ROUTERS if before[router][0] != after[router][0]]
    assert all(before[router][0] == "a4" for router in moved)
    assert all(after[router][0] == before[router][1] for router in moved)  # each to its standby
    new_preferred = Counter(after[router][0] for router in moved)
    assert set(new_preferred) == {"a0", "a1", "a2", "a3"}


def test_the_standby_runs_on_another_machine() -> None:
    candidates = [Candidate("a0", "m0"), Candidate("a1", "m0"), Candidate("b0", "m1")]
    for router in ROUTERS[:100]:
        preferred, standby = choose_aggregators(router, candidates)
        assert (preferred == "b0") != (standby == "b0")
    assert len(choose_aggregators("r", candidates[:2])) == 1
    assert choose_aggregators("r", []) == ()
