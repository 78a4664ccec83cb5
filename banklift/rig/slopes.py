"""How a measured cost grows with a size: the simplest form that explains the points. Pure.

Each form is fitted as `base + factor * g(size)` by least squares of the relative errors, so that a small size counts
as much as a large one; neither part may be negative, as a cost is not. The residual is the root mean square of the
relative errors. The simplest form is taken whose residual is within the noise of a measurement, or within
`CLEARLY_WORSE` of the best one's: over a hundredfold range of sizes n and n log n with a base are hard to tell apart,
and the page must not promise a distinction that the points do not show.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

NOISE = 0.15  # of a cost: how far repeated measurements of one size differ on a busy machine
CLEARLY_WORSE = (
    1.5  # residual of a simpler form over that of the best one, up to which the simpler one is taken
)
LEAST_POINTS = 2


class Form(StrEnum):
    """The simplest first."""

    FLAT = "flat"
    LINEAR = "n"
    LINEARITHMIC = "n log n"
    SQUARE = "n squared"


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: the cost at a size, in any unit."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Fit:
    """A form with its two parts; `residual`: root mean square of the relative errors."""

    form: Form
    base: float
    factor: float
    residual: float

    def cost(self, size: float) -> float:
        """The cost that the form gives for a size."""
        return self.base + self.factor * growth(self.form, size)


def growth(form: Form, size: float) -> float:
    """What the factor of a form is multiplied by."""
    match form:
        case Form.FLAT:
            return 0.0
        case Form.LINEAR:
            return size
        case Form.LINEARITHMIC:
            return size * math.log2(max(size, 1.0))
        case Form.SQUARE:
            return size * size


def fit(form: Form, points: Sequence[Point]) -> Fit:
    """The best parts for one form. Errors: `ValueError` with fewer than two points."""
    if len(points) < LEAST_POINTS:
        raise ValueError(f"{LEAST_POINTS} points at the least, not {len(points)}")
    candidates = [_only_base(points)]
    if form is not Form.FLAT:
        candidates += [_only_factor(form, points), *_both(form, points)]
    parts = [(base, factor) for base, factor in candidates if base >= 0 and factor >= 0]
    fits = [Fit(form, base, factor, _residual(form, base, factor, points)) for base, factor in parts]
    return min(fits, key=lambda one: one.residual)


def choose(points: Sequence[Point]) -> Fit:
    """The simplest form that explains the points as well as noise allows. Errors: as `fit`."""
    fits = [fit(form, points) for form in Form]
    allowed = max(NOISE, CLEARLY_WORSE * min(one.residual for one in fits))
    return next(one for one in fits if one.residual <= allowed)


def _weights(points: Sequence[Point]) -> list[float]:
    """By which squared errors are multiplied to be relative ones. A cost of zero was too small to be seen; its error is
    taken relative to the largest cost, as it would outweigh all others else."""
    largest = max(point.cost for point in points) or 1.0
    return [1.0 / (point.cost or largest) ** 2 for point in points]


def _sum(weights: Sequence[float], values: Sequence[float]) -> float:
    return sum(weight * value for weight, value in zip(weights, values, strict=True))


def _only_base(points: Sequence[Point]) -> tuple[float, float]:
    weights = _weights(points)
    return _sum(weights, [point.cost for point in points]) / sum(weights), 0.0


def _only_factor(form: Form, points: Sequence[Point]) -> tuple[float, float]:
    weights = _weights(points)
    grown = [growth(form, point.size) for point in points]
    products = _sum(weights, [one * point.cost for one, point in zip(grown, points, strict=True)])
    return 0.0, products / _sum(weights, [one**2 for one in grown])


def _both(form: Form, points: Sequence[Point]) -> list[tuple[float, float]]:
    """Weighted least squares of a line; empty if all sizes are the same."""
    weights = _weights(points)
    grown = [growth(form, point.size) for point in points]
    middle_growth = _sum(weights, grown) / sum(weights)
    middle_cost = _sum(weights, [point.cost for point in points]) / sum(weights)
    spread = _sum(weights, [(one - middle_growth) ** 2 for one in grown])
    if spread == 0.0:
        return []
    shared = [
        (one - middle_growth) * (point.cost - middle_cost) for one, point in zip(grown, points, strict=True)
    ]
    factor = _sum(weights, shared) / spread
    return [(middle_cost - factor * middle_growth, factor)]


def _residual(form: Form, base: float, factor: float, points: Sequence[Point]) -> float:
    errors = [(base + factor * growth(form, point.size) - point.cost) ** 2 for point in points]
    return math.sqrt(_sum(_weights(points), errors) / len(errors))
