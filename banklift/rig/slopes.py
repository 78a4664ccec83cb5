"""Fits how a measured cost grows with a size, and picks the simplest form that explains the measurements. Pure.

Each form is fitted as `base + factor * growth_term(size)` by least squares of the relative errors, so that a small size
counts as much as a large one. Neither coefficient may be negative, because no cost is negative. The residual is the
root mean square of the relative errors.

The simplest form is chosen whose residual is within the noise of a measurement (`NOISE_RESIDUAL`) or within
`MAX_RESIDUAL_RATIO` times the smallest residual of all forms. Over a hundredfold range of sizes n and n log n with a
base are hard to tell apart, and the capacity page must not report a distinction that the measurements do not support.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

NOISE_RESIDUAL = 0.15  # relative error by which repeated measurements of one size differ on a busy machine
MAX_RESIDUAL_RATIO = 1.5  # residual of a simpler form over the smallest one, up to which it is preferred
MIN_POINTS = 2  # measurements that a fit needs


class GrowthForm(StrEnum):
    """How a cost grows with the size n, the simplest form first. The values appear in the results file."""

    FLAT = "flat"
    LINEAR = "n"
    LINEARITHMIC = "n log n"
    QUADRATIC = "n squared"


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the cost at a size, in any unit."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted form. `base` has the unit of the cost, and so has `factor` times the growth term; `residual` is the root
    mean square of the relative errors."""

    form: GrowthForm
    base: float
    factor: float
    residual: float

    def cost(self, size: float) -> float:
        """The cost that the fit predicts at a size, in the unit of the measured costs."""
        return self.base + self.factor * growth_term(self.form, size)


def growth_term(form: GrowthForm, size: float) -> float:
    """The term that a fit multiplies by its factor: 0, n, n log2 n or n squared."""
    match form:
        case GrowthForm.FLAT:
            return 0.0
        case GrowthForm.LINEAR:
            return size
        case GrowthForm.LINEARITHMIC:
            return size * math.log2(max(size, 1.0))
        case GrowthForm.QUADRATIC:
            return size * size


def fit_form(form: GrowthForm, points: Sequence[Point]) -> Fit:
    """The fit of one form with the smallest residual.

    Errors: `ValueError` with fewer than `MIN_POINTS` points.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"a fit needs at least {MIN_POINTS} points, got {len(points)}")
    candidates = [_fit_base_only(points)]
    if form is not GrowthForm.FLAT:
        candidates += [_fit_factor_only(form, points), *_fit_base_and_factor(form, points)]
    coefficients = [(base, factor) for base, factor in candidates if base >= 0 and factor >= 0]
    fits = [Fit(form, base, factor, _residual(form, base, factor, points)) for base, factor in coefficients]
    return min(fits, key=lambda fit: fit.residual)


def simplest_fit(points: Sequence[Point]) -> Fit:
    """The fit of the simplest form that explains the points as well as noise allows.

    Errors: `ValueError` with fewer than `MIN_POINTS` points.
    """
    fits = [fit_form(form, points) for form in GrowthForm]
    max_residual = max(NOISE_RESIDUAL, MAX_RESIDUAL_RATIO * min(fit.residual for fit in fits))
    return next(fit for fit in fits if fit.residual <= max_residual)


def _weights(points: Sequence[Point]) -> list[float]:
    """The weights that turn squared errors into squared relative errors.

    A cost of zero was too small for the clock to show. Its error is taken relative to the largest cost instead, since
    an error relative to zero would outweigh all other points.
    """
    largest = max(point.cost for point in points) or 1.0
    return [1.0 / (point.cost or largest) ** 2 for point in points]


def _weighted_sum(weights: Sequence[float], values: Sequence[float]) -> float:
    return sum(weight * value for weight, value in zip(weights, values, strict=True))


def _fit_base_only(points: Sequence[Point]) -> tuple[float, float]:
    """The coefficients (base, factor) of a constant cost; the factor is zero."""
    weights = _weights(points)
    return _weighted_sum(weights, [point.cost for point in points]) / sum(weights), 0.0


def _fit_factor_only(form: GrowthForm, points: Sequence[Point]) -> tuple[float, float]:
    """The coefficients (base, factor) of a cost proportional to the growth term; the base is zero."""
    weights = _weights(points)
    terms = [growth_term(form, point.size) for point in points]
    products = _weighted_sum(weights, [term * point.cost for term, point in zip(terms, points, strict=True)])
    return 0.0, products / _weighted_sum(weights, [term**2 for term in terms])


def _fit_base_and_factor(form: GrowthForm, points: Sequence[Point]) -> list[tuple[float, float]]:
    """The coefficients (base, factor) of a line over the growth term, by weighted least squares. Empty if all growth
    terms are equal."""
    weights = _weights(points)
    terms = [growth_term(form, point.size) for point in points]
    mean_term = _weighted_sum(weights, terms) / sum(weights)
    mean_cost = _weighted_sum(weights, [point.cost for point in points]) / sum(weights)
    variance = _weighted_sum(weights, [(term - mean_term) ** 2 for term in terms])
    if variance == 0.0:
        return []
    products = [
        (term - mean_term) * (point.cost - mean_cost) for term, point in zip(terms, points, strict=True)
    ]
    factor = _weighted_sum(weights, products) / variance
    return [(mean_cost - factor * mean_term, factor)]


def _residual(form: GrowthForm, base: float, factor: float, points: Sequence[Point]) -> float:
    """The root mean square of the relative errors."""
    squared_errors = [(base + factor * growth_term(form, point.size) - point.cost) ** 2 for point in points]
    return math.sqrt(_weighted_sum(_weights(points), squared_errors) / len(squared_errors))
