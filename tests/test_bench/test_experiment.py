"""Paired runs with and without one mechanism."""

from __future__ import annotations

import attrs
import pytest

from bench.experiment import (
    compare_paired,
    mechanisms,
    override_constants,
    run_variant,
)
from bench.gathers import Figures
from greengagemoor.forward import selection


def figures(credit, request_count=100):
    return Figures(requests=request_count, credit=credit)


class TestCompare:
    """Differences between runs on the same seeds."""

    def test_mean_and_interval(self):
        base = [figures(80.0), figures(90.0), figures(70.0)]
        other = [figures(82.0), figures(91.0), figures(73.0)]
        mean, half_width = compare_paired(base, other)
        assert mean == pytest.approx(0.02)
        assert half_width == pytest.approx(4.30 * 0.01 / 3**0.5)

    def test_one_seed_gives_an_infinite_interval(self):
        _, half_width = compare_paired([figures(80.0)], [figures(82.0)])
        assert half_width == float("inf")


class TestOverrides:
    """A mechanism is switched off only within the context manager."""

    @pytest.mark.parametrize("name", mechanisms.names())
    def test_sets_constants_and_restores_them(self, name):
        _, patches = mechanisms.get(name)()
        before = [getattr(module, key) for module, key, _ in patches]
        with override_constants(patches):
            now = [getattr(module, key) for module, key, _ in patches]
            assert now == [value for *_, value in patches]
        after = [getattr(module, key) for module, key, _ in patches]
        assert after == before

    def test_restores_constants_after_an_exception(self):
        value = selection.COST_JITTER
        with (
            pytest.raises(KeyError),
            override_constants([(selection, "COST_JITTER", 0.0)]),
        ):
            raise KeyError
        assert value == selection.COST_JITTER

    def test_same_seed_gives_the_same_figures(self):
        first, second = (
            run_variant("lockers", 0.35, range(1, 2), 6.0, ({}, []))
            for _ in range(2)
        )
        assert attrs.asdict(first[0]) == attrs.asdict(second[0])

    def test_without_second_sends_fewer_attempts_are_sent(self):
        base = run_variant("lockers", 0.35, range(1, 2), 6.0, ({}, []))
        overrides = mechanisms.get("second-sends")()
        other = run_variant("lockers", 0.35, range(1, 2), 6.0, overrides)
        assert other[0].attempts < base[0].attempts
