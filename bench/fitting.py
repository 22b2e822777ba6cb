"""Least-squares lines through measured points."""

import math
import statistics
import typing

import msgspec


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """A fitted line with the measured points.

    :param unit: unit of the slope, such as ``bytes per member``.
    :param slope: increase per unit of size.
    :param intercept: value at size 0.
    :param slope_error: standard error of the slope.
    :param sizes: the measured sizes.
    :param values: the measured value at each size.
    """

    unit: str
    slope: float
    intercept: float
    slope_error: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the value of the line at a size, at least 0."""
        return max(0, self.intercept + self.slope * size)


def fit(
    unit: str,
    sizes: typing.Sequence[float],
    values: typing.Sequence[float],
) -> Line:
    """Fit a line by least squares.

    :param unit: unit of the slope.
    :param sizes: at least four sizes.
    :param values: the measured value at each size.
    :return: the line.
    """
    slope, intercept = statistics.linear_regression(sizes, values)
    residuals = [
        value - intercept - slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    mean = statistics.fmean(sizes)
    squared_deviations = sum((size - mean) ** 2 for size in sizes)
    residual_variance = sum(residual**2 for residual in residuals) / max(
        1, len(sizes) - 2
    )
    return Line(
        unit=unit,
        slope=slope,
        intercept=intercept,
        slope_error=math.sqrt(residual_variance / squared_deviations),
        sizes=tuple(sizes),
        values=tuple(values),
    )
