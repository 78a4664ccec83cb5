"""The index over ends of leases, against the plain maximum of a dictionary."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from banklift.fleet.end_index import MAX_EXTRA_STALE_RECORDS, EndIndex

STEPS = st.lists(st.tuples(st.integers(0, 9), st.one_of(st.none(), st.floats(0.0, 100.0))), max_size=300)


@given(STEPS)
def test_the_latest_end_is_that_of_a_dictionary(steps: list[tuple[int, float | None]]) -> None:
    index: EndIndex[int] = EndIndex()
    plain: dict[int, float] = {}
    for key, end in steps:
        if end is None:
            index.discard(key)
            plain.pop(key, None)
        else:
            index.set(key, end)
            plain[key] = end
        assert index.latest() == max(plain.values(), default=-math.inf)
        latest = index.latest_key()
        assert (latest is None) == (not plain)
        assert latest is None or plain[latest] == index.latest()
        assert len(index) == len(plain) and set(index) == set(plain)
        assert index.count_after(50.0) == sum(end > 50.0 for end in plain.values())


def test_records_that_no_longer_hold_do_not_pile_up() -> None:
    index: EndIndex[int] = EndIndex()
    for step in range(20_000):
        index.set(step % 10, float(step))
    assert len(index._heap) <= 2 * 10 + MAX_EXTRA_STALE_RECORDS + 1
    assert index.latest() == 19_999.0
