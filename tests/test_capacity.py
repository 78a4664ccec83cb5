"""Slopes and the page of capacity: forms are told apart, and the page shows what the results hold."""

from __future__ import annotations

import math

import pytest

from banklift.rig.slopes import Form, Point, choose, fit, growth

SIZES = (40, 200, 1000, 6200)


def points(form: Form, base: float, factor: float, errors: tuple[float, ...] = (0, 0, 0, 0)) -> list[Point]:
    return [
        Point(size, (base + factor * growth(form, size)) * (1 + error))
        for size, error in zip(SIZES, errors, strict=True)
    ]


@pytest.mark.parametrize("form", [Form.FLAT, Form.LINEAR, Form.SQUARE])
def test_a_form_is_recognised_with_its_parts(form: Form) -> None:
    factor = 0.0 if form is Form.FLAT else 2e-6
    found = choose(points(form, 3e-5, factor))
    assert found.form is form
    assert found.residual < 1e-9
    assert found.cost(6200) == pytest.approx(3e-5 + factor * growth(form, 6200))


def test_n_log_n_is_recognised_where_it_differs_from_n() -> None:
    found = choose([Point(size, 2.0 * size * math.log2(size)) for size in (2, 40, 1000, 6200)])
    assert found.form is Form.LINEARITHMIC
    assert found.factor == pytest.approx(2.0)


def test_noise_does_not_make_a_flat_cost_grow() -> None:
    assert choose(points(Form.FLAT, 3e-5, 0.0, (0.05, -0.08, 0.06, 0.1))).form is Form.FLAT


def test_noise_does_not_make_a_line_a_square() -> None:
    assert choose(points(Form.LINEAR, 1e-5, 1e-6, (0.08, -0.05, 0.07, -0.06))).form is Form.LINEAR


def test_a_small_size_counts_as_much_as_a_large_one() -> None:
    """A base that only the small sizes show is kept."""
    found = choose(points(Form.LINEAR, 1.0, 0.01))
    assert found.base == pytest.approx(1.0)
    assert found.factor == pytest.approx(0.01)


def test_no_part_is_negative() -> None:
    falling = [Point(1, 10.0), Point(2, 8.0), Point(3, 6.0), Point(4, 4.0)]
    for form in Form:
        found = fit(form, falling)
        assert found.base >= 0 and found.factor >= 0


def test_the_residual_is_a_part_of_the_cost() -> None:
    found = fit(Form.FLAT, [Point(1, 90.0), Point(2, 110.0)])
    assert found.residual == pytest.approx(0.1, rel=0.05)


def test_costs_of_zero_are_flat() -> None:
    found = choose([Point(size, 0.0) for size in SIZES])
    assert found.form is Form.FLAT
    assert found.cost(6200) == 0.0


def test_one_cost_too_small_to_be_seen_does_not_decide_the_form() -> None:
    found = choose([Point(25, 0.0), Point(50, 0.0051), Point(100, 0.0049), Point(200, 0.005)])
    assert found.cost(6200) < 0.02


def test_one_point_is_no_slope() -> None:
    with pytest.raises(ValueError, match="2 points"):
        choose([Point(1, 1.0)])
