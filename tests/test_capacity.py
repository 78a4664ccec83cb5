"""Fits of growth and the capacity page.

A fit picks the simplest form that explains the measurements, despite noise. The page shows the figures of the stored
results and says where one was not measured.
"""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from banklift.rig import capacity_plan as plan
from banklift.rig.capacity_needs import needs, percentile
from banklift.rig.capacity_page import TABLES, UnknownTable, fill_tables
from banklift.rig.capacity_results import FigureSource, Results, fit_slope, read_results
from banklift.rig.slopes import GrowthForm, Point, fit_form, growth_term, simplest_fit

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
SIZES = (40, 200, 1000, 6200)  # at which the costs of most tests are taken


def points_of_form(
    form: GrowthForm, base: float, factor: float, errors: tuple[float, ...] = (0, 0, 0, 0)
) -> list[Point]:
    """Costs that grow by this form at each of `SIZES`. `errors`: relative error of each cost."""
    return [
        Point(size, (base + factor * growth_term(form, size)) * (1 + error))
        for size, error in zip(SIZES, errors, strict=True)
    ]


@pytest.mark.parametrize("form", [GrowthForm.FLAT, GrowthForm.LINEAR, GrowthForm.QUADRATIC])
def test_exact_costs_give_their_form_and_coefficients(form: GrowthForm) -> None:
    factor = 0.0 if form is GrowthForm.FLAT else 2e-6
    best_fit = simplest_fit(points_of_form(form, 3e-5, factor))
    assert best_fit.form is form
    assert best_fit.residual < 1e-9
    assert best_fit.cost(6200) == pytest.approx(3e-5 + factor * growth_term(form, 6200))


def test_n_log_n_is_chosen_over_a_range_that_tells_it_from_n() -> None:
    best_fit = simplest_fit([Point(size, 2.0 * size * math.log2(size)) for size in (2, 40, 1000, 6200)])
    assert best_fit.form is GrowthForm.LINEARITHMIC
    assert best_fit.factor == pytest.approx(2.0)


def test_noisy_constant_costs_are_flat() -> None:
    assert (
        simplest_fit(points_of_form(GrowthForm.FLAT, 3e-5, 0.0, (0.05, -0.08, 0.06, 0.1))).form
        is GrowthForm.FLAT
    )


def test_noisy_linear_costs_are_linear() -> None:
    assert (
        simplest_fit(points_of_form(GrowthForm.LINEAR, 1e-5, 1e-6, (0.08, -0.05, 0.07, -0.06))).form
        is GrowthForm.LINEAR
    )


def test_base_seen_only_at_small_sizes_is_kept() -> None:
    """Errors are relative, so a small size counts as much as a large one."""
    best_fit = simplest_fit(points_of_form(GrowthForm.LINEAR, 1.0, 0.01))
    assert best_fit.base == pytest.approx(1.0)
    assert best_fit.factor == pytest.approx(0.01)


def test_coefficients_of_falling_costs_are_not_negative() -> None:
    falling = [Point(1, 10.0), Point(2, 8.0), Point(3, 6.0), Point(4, 4.0)]
    for form in GrowthForm:
        best_fit = fit_form(form, falling)
        assert best_fit.base >= 0 and best_fit.factor >= 0


def test_residual_is_relative_to_the_cost() -> None:
    best_fit = fit_form(GrowthForm.FLAT, [Point(1, 90.0), Point(2, 110.0)])
    assert best_fit.residual == pytest.approx(0.1, rel=0.05)


def test_zero_costs_are_flat() -> None:
    best_fit = simplest_fit([Point(size, 0.0) for size in SIZES])
    assert best_fit.form is GrowthForm.FLAT
    assert best_fit.cost(6200) == 0.0


def test_one_zero_cost_does_not_outweigh_the_others() -> None:
    """A cost below the resolution of the clock reads as zero."""
    best_fit = simplest_fit([Point(25, 0.0), Point(50, 0.0051), Point(100, 0.0049), Point(200, 0.005)])
    assert best_fit.cost(6200) < 0.02


def test_fit_of_one_point_is_an_error() -> None:
    with pytest.raises(ValueError, match="2 points"):
        simplest_fit([Point(1, 1.0)])


def test_page_holds_the_tables_generated_from_the_results() -> None:
    """The tables are never edited by hand: `benchmarks/capacity.py --page` writes them."""
    page = PAGE.read_text()
    assert fill_tables(page, read_results(RESULTS)) == page


def test_each_table_has_one_place_on_the_page() -> None:
    page = PAGE.read_text()
    for name in TABLES:
        assert page.count(f"<!-- table: {name} -->") == 1, name


def test_place_of_an_unknown_table_is_an_error() -> None:
    with pytest.raises(UnknownTable, match="nothing-of-this"):
        fill_tables("<!-- table: nothing-of-this -->\n<!-- end of table -->", Results())


def test_tables_of_empty_results_say_not_measured() -> None:
    empty = Results()
    for name, table in TABLES.items():
        assert table(empty), name
    assert "not measured" in TABLES["aims"](empty).lower()
    assert all(need.need is not None or need.ratio is None for need in needs(empty))


def test_needs_are_sorted_by_ratio_with_the_largest_first() -> None:
    slope = fit_slope(
        "members.delta", "router", "delta", "s", "members", FigureSource.ISOLATED, [(1, 1.0), (2, 1.0)], 2
    )
    ratios = [need.ratio for need in needs(Results(slopes=(slope,))) if need.ratio is not None]
    assert ratios == sorted(ratios, reverse=True)
    assert ratios[0] > 1


def test_planned_rates_are_computed_from_the_planned_counts() -> None:
    assert pytest.approx(0.347, abs=0.001) == plan.CHANGES_PER_SECOND
    assert plan.MEMBER_CONNECTIONS == 52_080_000
    assert pytest.approx(2097, abs=1) == plan.STATEMENTS_PER_ROUTER
    assert pytest.approx(3065, abs=1) == plan.CLIENTS_PER_ROUTER


def test_percentile_is_one_of_the_measured_times() -> None:
    times = [float(number) for number in range(1, 101)]
    assert percentile(times, 0.99) == 100.0
    assert percentile([2.0], 0.99) == 2.0
