"""Slopes and the page of capacity: forms are told apart, and the page shows what the results hold."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_needs import needs, percentile
from banklift.rig.capacity_page import TABLES, UnknownTable, filled
from banklift.rig.capacity_results import How, Results, fitted, read
from banklift.rig.slopes import GrowthForm, Point, fit_form, growth_term, simplest_fit

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
SIZES = (40, 200, 1000, 6200)


def points(
    form: GrowthForm, base: float, factor: float, errors: tuple[float, ...] = (0, 0, 0, 0)
) -> list[Point]:
    return [
        Point(size, (base + factor * growth_term(form, size)) * (1 + error))
        for size, error in zip(SIZES, errors, strict=True)
    ]


@pytest.mark.parametrize("form", [GrowthForm.FLAT, GrowthForm.LINEAR, GrowthForm.QUADRATIC])
def test_a_form_is_recognised_with_its_parts(form: GrowthForm) -> None:
    factor = 0.0 if form is GrowthForm.FLAT else 2e-6
    found = simplest_fit(points(form, 3e-5, factor))
    assert found.form is form
    assert found.residual < 1e-9
    assert found.cost(6200) == pytest.approx(3e-5 + factor * growth_term(form, 6200))


def test_n_log_n_is_recognised_where_it_differs_from_n() -> None:
    found = simplest_fit([Point(size, 2.0 * size * math.log2(size)) for size in (2, 40, 1000, 6200)])
    assert found.form is GrowthForm.LINEARITHMIC
    assert found.factor == pytest.approx(2.0)


def test_noise_does_not_make_a_flat_cost_grow() -> None:
    assert simplest_fit(points(GrowthForm.FLAT, 3e-5, 0.0, (0.05, -0.08, 0.06, 0.1))).form is GrowthForm.FLAT


def test_noise_does_not_make_a_line_a_square() -> None:
    assert (
        simplest_fit(points(GrowthForm.LINEAR, 1e-5, 1e-6, (0.08, -0.05, 0.07, -0.06))).form
        is GrowthForm.LINEAR
    )


def test_a_small_size_counts_as_much_as_a_large_one() -> None:
    """A base that only the small sizes show is kept."""
    found = simplest_fit(points(GrowthForm.LINEAR, 1.0, 0.01))
    assert found.base == pytest.approx(1.0)
    assert found.factor == pytest.approx(0.01)


def test_no_part_is_negative() -> None:
    falling = [Point(1, 10.0), Point(2, 8.0), Point(3, 6.0), Point(4, 4.0)]
    for form in GrowthForm:
        found = fit_form(form, falling)
        assert found.base >= 0 and found.factor >= 0


def test_the_residual_is_a_part_of_the_cost() -> None:
    found = fit_form(GrowthForm.FLAT, [Point(1, 90.0), Point(2, 110.0)])
    assert found.residual == pytest.approx(0.1, rel=0.05)


def test_costs_of_zero_are_flat() -> None:
    found = simplest_fit([Point(size, 0.0) for size in SIZES])
    assert found.form is GrowthForm.FLAT
    assert found.cost(6200) == 0.0


def test_one_cost_too_small_to_be_seen_does_not_decide_the_form() -> None:
    found = simplest_fit([Point(25, 0.0), Point(50, 0.0051), Point(100, 0.0049), Point(200, 0.005)])
    assert found.cost(6200) < 0.02


def test_one_point_is_no_slope() -> None:
    with pytest.raises(ValueError, match="2 points"):
        simplest_fit([Point(1, 1.0)])


def test_page_and_results_agree() -> None:
    """`benchmarks/capacity.py --page` makes the tables; nothing in them is typed."""
    page = PAGE.read_text()
    assert filled(page, read(RESULTS)) == page


def test_every_table_has_its_place_on_the_page() -> None:
    page = PAGE.read_text()
    for name in TABLES:
        assert page.count(f"<!-- table: {name} -->") == 1, name


def test_a_place_without_a_table_is_an_error() -> None:
    with pytest.raises(UnknownTable, match="nothing-of-this"):
        filled("<!-- table: nothing-of-this -->\n<!-- end of table -->", Results())


def test_what_was_not_measured_is_said_to_be_so() -> None:
    empty = Results()
    for name, table in TABLES.items():
        assert table(empty), name
    assert "not measured" in TABLES["aims"](empty).lower()
    assert all(one.need is not None or one.ratio is None for one in needs(empty))


def test_the_worst_need_comes_first() -> None:
    cost = fitted("members.delta", "router", "delta", "s", "members", How.ALONE, [(1, 1.0), (2, 1.0)], 2)
    ratios = [one.ratio for one in needs(Results(slopes=(cost,))) if one.ratio is not None]
    assert ratios == sorted(ratios, reverse=True)
    assert ratios[0] > 1


def test_the_planned_rates_follow_from_the_planned_counts() -> None:
    assert pytest.approx(0.347, abs=0.001) == plan.CHANGES_A_SECOND
    assert plan.MEMBER_CONNECTIONS == 52_080_000
    assert pytest.approx(2097, abs=1) == plan.STATEMENTS_PER_ROUTER
    assert pytest.approx(3065, abs=1) == plan.CLIENTS_PER_ROUTER


def test_a_percentile_is_one_of_the_times() -> None:
    times = [float(number) for number in range(1, 101)]
    assert percentile(times, 0.99) == 100.0
    assert percentile([2.0], 0.99) == 2.0
