"""Runs the gather model with and without one mechanism, on the same seeds.

    python -m bench.experiment --sheet lockers --slow 0.35 --seeds 10
    python -m bench.experiment --without second-sends --without slowness

Each row is one mechanism switched off: the mean paired difference of the
credit per request with a 95% confidence interval, then the credit per request
and the attempts per shard.
"""

from __future__ import annotations

import math
import statistics
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated

import typer

from bench.gather_model import SHEETS
from bench.gathers import GatherSimulation
from greengagemoor.forward import selection, sending, timing
from greengagemoor.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from types import ModuleType

    from bench.gathers import Figures

T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
"""Student's t for a 95% interval, by degrees of freedom from 1 to 9."""
NORMAL_95 = 1.96
VERY_LONG_S = 1e9
VERY_SHORT_S = 1e-6

mechanisms: Registry = Registry("mechanism")
"""Functions that return changes of ``Policy`` and of module constants."""

Patch = tuple["ModuleType", str, object]
Overrides = tuple[dict[str, float], list[Patch]]


@mechanisms.register("second-sends")
def _second_sends() -> Overrides:
    return {"retry_ratio": 0.0, "retry_slack": 0.0}, []


@mechanisms.register("slack")
def _slack() -> Overrides:
    return {"retry_slack": 0.0}, []


@mechanisms.register("late-by-medians")
def _late_by_medians() -> Overrides:
    return {"hedge_medians": 100.0}, []


@mechanisms.register("late-by-quantile")
def _late_by_quantile() -> Overrides:
    return {"hedge_quantile": 0.99}, []


@mechanisms.register("slowness")
def _slowness() -> Overrides:
    return {}, [(selection, "DECAY_S", VERY_SHORT_S)]


@mechanisms.register("rare-answers-count-more")
def _weight_by_interval() -> Overrides:
    return {}, [(timing, "SMOOTHING_S", VERY_LONG_S)]


@mechanisms.register("pauses-seen")
def _pauses_seen() -> Overrides:
    return {}, [(selection, "LATE_FACTOR", VERY_LONG_S)]


@mechanisms.register("own-data-centre-first")
def _own_data_centre() -> Overrides:
    return {}, [(selection, "OTHER_DATA_CENTRE_FACTOR", 1.0)]


@mechanisms.register("spread-of-costs")
def _spread_of_costs() -> Overrides:
    return {}, [(selection, "COST_JITTER", 0.0)]


@mechanisms.register("waiting-for-a-place")
def _waiting() -> Overrides:
    def give_up(_, leg) -> None:
        leg.give_up()

    return {}, [(sending, "enqueue", give_up)]


@contextmanager
def override_constants(patches: list[Patch]) -> Iterator[None]:
    """Sets constants of modules and restores them on exit."""
    before = [
        (module, name, getattr(module, name)) for module, name, _ in patches
    ]
    try:
        for module, name, value in patches:
            setattr(module, name, value)
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)


def run_variant(
    sheet_name: str,
    slow: float,
    seeds: range,
    seconds: float,
    overrides: Overrides,
) -> list[Figures]:
    """Runs one variant on each seed."""
    sheet = next(sheet for sheet in SHEETS if sheet.name == sheet_name)
    policy, patches = overrides
    with override_constants(patches):
        return [
            GatherSimulation(sheet, slow, seed, **policy).run(seconds)
            for seed in seeds
        ]


def compare_paired(
    base: list[Figures], other: list[Figures]
) -> tuple[float, float]:
    """Compares runs on the same seeds.

    Returns the mean difference of the credit per request and the half width
    of its 95% confidence interval.
    """
    differences = [
        two.credit / max(1, two.requests) - one.credit / max(1, one.requests)
        for one, two in zip(base, other, strict=True)
    ]
    if len(differences) < 2:
        return differences[0], math.inf
    degrees = len(differences) - 1
    factor = T_95[degrees - 1] if degrees <= len(T_95) else NORMAL_95
    half_width = (
        factor * statistics.stdev(differences) / math.sqrt(len(differences))
    )
    return statistics.mean(differences), half_width


def _write_row(
    name: str, figures: list[Figures], write: Callable[[str], None]
) -> None:
    credit = statistics.mean(
        one.credit / max(1, one.requests) for one in figures
    )
    sends = sum(f.attempts for f in figures) / max(
        1, sum(f.needed_attempts for f in figures)
    )
    write(f"{name}: credit {credit:.4f}, {sends:.3f} sends a shard")


def main(
    sheet: Annotated[
        str, typer.Option(help="name of a sheet in SHEETS")
    ] = "lockers",
    slow: Annotated[float, typer.Option(help="share of slow searchers")] = 0.35,
    seeds: Annotated[int, typer.Option(help="number of seeds")] = 10,
    seconds: Annotated[
        float, typer.Option(help="simulated seconds of a run")
    ] = 20.0,
    without: Annotated[
        list[str] | None,
        typer.Option(help="mechanism to switch off; all if left out"),
    ] = None,
) -> None:
    """Prints a row for the base and for each mechanism switched off."""
    seed_range = range(1, seeds + 1)
    base = run_variant(sheet, slow, seed_range, seconds, ({}, []))
    _write_row(f"{sheet}, {slow:g} slow, {seeds} seeds", base, print)
    for name in without or mechanisms.names():
        print(f"running without {name}", file=sys.stderr)
        other = run_variant(
            sheet, slow, seed_range, seconds, mechanisms.get(name)()
        )
        mean, half_width = compare_paired(base, other)
        _write_row(
            f"without {name} {mean:+.4f} +/- {half_width:.4f}", other, print
        )


if __name__ == "__main__":
    typer.run(main)
