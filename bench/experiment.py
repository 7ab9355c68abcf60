"""Plays the deciders with and without one mechanism, on the same seeds.

    python -m bench.experiment --sheet lockers --slow 0.35 --seeds 10
    python -m bench.experiment --without second-sends --without slowness

Each row is one mechanism switched off: the mean of the paired differences of
the share of credit, with a 95% confidence interval, and the sends a shard.
"""

from __future__ import annotations

import math
import statistics
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Annotated

import typer

from bench.gather_model import SHEETS
from bench.gathers import Run
from greengagemoor.forward import choosing, sending, timing
from greengagemoor.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from types import ModuleType

    from bench.gathers import Figures

T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
"""Student's t for a 95% interval, by degrees of freedom from 1 to 9."""
NORMAL_95 = 1.96
NEVER_S = 1e9
AT_ONCE_S = 1e-6

mechanisms: Registry = Registry("mechanism")
"""Functions () -> (changes of ``Policy``, changes of module constants)."""

Patch = tuple["ModuleType", str, object]
Off = tuple[dict[str, float], list[Patch]]


@mechanisms.register("second-sends")
def _second_sends() -> Off:
    return {"retry_ratio": 0.0, "retry_slack": 0.0}, []


@mechanisms.register("slack")
def _slack() -> Off:
    return {"retry_slack": 0.0}, []


@mechanisms.register("late-by-medians")
def _late_by_medians() -> Off:
    return {"hedge_medians": 100.0}, []


@mechanisms.register("late-by-quantile")
def _late_by_quantile() -> Off:
    return {"hedge_quantile": 0.99}, []


@mechanisms.register("slowness")
def _slowness() -> Off:
    return {}, [(choosing, "RELAX_S", AT_ONCE_S)]


@mechanisms.register("rare-answers-count-more")
def _rare_answers() -> Off:
    return {}, [(timing, "MEMORY_S", NEVER_S)]


@mechanisms.register("pauses-seen")
def _pauses_seen() -> Off:
    return {}, [(choosing, "LATE_FACTOR", NEVER_S)]


@mechanisms.register("own-data-centre-first")
def _own_data_centre() -> Off:
    return {}, [(choosing, "OTHER_DATA_CENTRE", 1.0)]


@mechanisms.register("spread-of-costs")
def _spread_of_costs() -> Off:
    return {}, [(choosing, "NOISE", 0.0)]


@mechanisms.register("waiting-for-a-place")
def _waiting() -> Off:
    def give_up(_, leg) -> None:
        leg.give_up()

    return {}, [(sending, "wait_for_place", give_up)]


@contextmanager
def patched(patches: list[Patch]) -> Iterator[None]:
    """Changes constants of modules for a while."""
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


def play(
    sheet_name: str, slow: float, seeds: range, seconds: float, off: Off
) -> list[Figures]:
    """Plays one variant on all seeds."""
    sheet = next(sheet for sheet in SHEETS if sheet.name == sheet_name)
    policy, patches = off
    with patched(patches):
        return [
            Run(sheet, slow, seed, **policy).play(seconds) for seed in seeds
        ]


def compare(base: list[Figures], other: list[Figures]) -> tuple[float, float]:
    """Returns the mean difference of credit, and half of its interval."""
    gaps = [
        two.credit / max(1, two.owed) - one.credit / max(1, one.owed)
        for one, two in zip(base, other, strict=True)
    ]
    if len(gaps) < 2:
        return gaps[0], math.inf
    freedom = len(gaps) - 1
    factor = T_95[freedom - 1] if freedom <= len(T_95) else NORMAL_95
    half = factor * statistics.stdev(gaps) / math.sqrt(len(gaps))
    return statistics.mean(gaps), half


def _row(
    name: str, figures: list[Figures], tell: Callable[[str], None]
) -> None:
    credit = statistics.mean(one.credit / max(1, one.owed) for one in figures)
    sends = sum(f.sends for f in figures) / max(
        1, sum(f.firsts for f in figures)
    )
    tell(f"{name}: credit {credit:.4f}, {sends:.3f} sends a shard")


def main(
    sheet: Annotated[str, typer.Option(help="a name of SHEETS")] = "lockers",
    slow: Annotated[float, typer.Option(help="share of slow searchers")] = 0.35,
    seeds: Annotated[int, typer.Option(help="number of seeds")] = 10,
    seconds: Annotated[float, typer.Option(help="length of a play")] = 20.0,
    without: Annotated[
        list[str] | None, typer.Option(help="mechanism; all if left out")
    ] = None,
) -> None:
    """Prints a row for each mechanism that is switched off."""
    drawn = range(1, seeds + 1)
    base = play(sheet, slow, drawn, seconds, ({}, []))
    _row(f"{sheet}, {slow:g} slow, {seeds} seeds", base, print)
    for name in without or mechanisms.names():
        print(f"playing without {name}", file=sys.stderr)
        other = play(sheet, slow, drawn, seconds, mechanisms.get(name)())
        mean, half = compare(base, other)
        _row(f"without {name} {mean:+.4f} +/- {half:.4f}", other, print)


if __name__ == "__main__":
    typer.run(main)
