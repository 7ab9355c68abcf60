"""Linear fits of measured series."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_fit(
    title: str, xs: Sequence[float], ys: Sequence[float], unit: str
) -> None:
    """Prints a series, its linear fit and the largest error of the fit."""
    fit = statistics.linear_regression(xs, ys)
    errors = [
        abs(fit.slope * x + fit.intercept - y)
        for x, y in zip(xs, ys, strict=True)
    ]
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in zip(xs, ys, strict=True))
    print(
        f"{title}: {points} -> {fit.slope:.4g} a unit + {fit.intercept:.4g} "
        f"{unit} (largest error {max(errors):.2g})",
        flush=True,
    )
