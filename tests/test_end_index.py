"""The index over the ends of leases, compared with the maximum of a plain dictionary."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from banklift.fleet.end_index import MAX_EXTRA_STALE_RECORDS, EndIndex

# Keys with an end to set, or None to discard the key.
STEPS = st.lists(st.tuples(st.integers(0, 9), st.one_of(st.none(), st.floats(0.0, 100.0))), max_size=300)


@given(STEPS)
def test_the_index_agrees_with_a_dictionary(steps: list[tuple[int, float | None]]) -> None:
    index: EndIndex[int] = EndIndex()
    expected: dict[int, float] = {}
    for key, end in steps:
        if end is None:
            index.discard(key)
            expected.pop(key, None)
        else:
            index.set(key, end)
            expected[key] = end
        assert index.latest() == max(expected.values(), default=-math.inf)
        latest = index.latest_key()
        assert (latest is None) == (not expected)
        assert latest is None or expected[latest] == index.latest()
        assert len(index) == len(expected) and set(index) == set(expected)
        assert index.count_after(50.0) == sum(end > 50.0 for end in expected.values())


def test_the_number_of_stale_records_is_bounded() -> None:
    index: EndIndex[int] = EndIndex()
    for step in range(20_000):
        index.set(step % 10, float(step))
    assert len(index._heap) <= 2 * 10 + MAX_EXTRA_STALE_RECORDS + 1
    assert index.latest() == 19_999.0
