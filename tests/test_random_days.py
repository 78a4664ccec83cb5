"""Random days: each seed that once broke a rule stays as a regression test, beside a few others."""

from __future__ import annotations

import pytest

from banklift.judge.day import ORDERS, play_virtual
from banklift.judge.randoms import ROUTER_COUNT_RANGE, random_day
from banklift.judge.rules import judge
from banklift.judge.trace import Entry

# each found a defect of the router or of the test rig
DEFECT_SEEDS = (
    29,
    46,
    69,
    84,
    106,
    121,
    163,
    191,
    198,
    231,
    247,
    369,
    372,
)


@pytest.mark.parametrize("seed", [*DEFECT_SEEDS, 1000, 1001, 1002])
def test_random_day_breaks_no_rule(seed: int) -> None:
    day, config, routers = random_day(seed)
    entries: list[Entry] = []
    head = play_virtual(day, config, routers, seed, entries.append)
    verdict = judge(head, sorted(entries, key=lambda entry: entry.t))
    assert not verdict.violations
    assert sum(tally.reads_of_written_keys for tally in verdict.tallies.values()) > 20


def test_random_days_cover_all_orders_and_router_counts() -> None:
    days = [random_day(seed) for seed in range(300)]
    assert {order.do for day, _, _ in days for order in day.troubles} == set(ORDERS)
    assert {routers for _, _, routers in days} == set(range(ROUTER_COUNT_RANGE[0], ROUTER_COUNT_RANGE[1] + 1))
    assert random_day(7) == random_day(7)
