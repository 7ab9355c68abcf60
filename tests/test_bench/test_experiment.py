"""Paired plays with and without one mechanism."""

from __future__ import annotations

import attrs
import pytest

from bench.experiment import compare, mechanisms, patched, play
from bench.gathers import Figures
from greengagemoor.forward import choosing


def figures(credit, owed=100):
    return Figures(owed=owed, credit=credit)


class TestCompare:
    """Differences on the same seeds."""

    def test_mean_and_interval(self):
        base = [figures(80.0), figures(90.0), figures(70.0)]
        other = [figures(82.0), figures(91.0), figures(73.0)]
        mean, half = compare(base, other)
        assert mean == pytest.approx(0.02)
        assert half == pytest.approx(4.30 * 0.01 / 3**0.5)

    def test_one_seed_tells_no_interval(self):
        _, half = compare([figures(80.0)], [figures(82.0)])
        assert half == float("inf")


class TestMechanisms:
    """Each can be switched off, and is on again afterwards."""

    @pytest.mark.parametrize("name", mechanisms.names())
    def test_is_there_and_comes_back(self, name):
        _, patches = mechanisms.get(name)()
        before = [getattr(module, key) for module, key, _ in patches]
        with patched(patches):
            now = [getattr(module, key) for module, key, _ in patches]
            assert now == [value for *_, value in patches]
        after = [getattr(module, key) for module, key, _ in patches]
        assert after == before

    def test_back_after_a_failure(self):
        value = choosing.NOISE
        with pytest.raises(KeyError), patched([(choosing, "NOISE", 0.0)]):
            raise KeyError
        assert value == choosing.NOISE

    def test_play_repeats_itself(self):
        first, second = (
            play("lockers", 0.35, range(1, 2), 6.0, ({}, [])) for _ in range(2)
        )
        assert attrs.asdict(first[0]) == attrs.asdict(second[0])

    def test_play_without_second_sends_sends_less(self):
        base = play("lockers", 0.35, range(1, 2), 6.0, ({}, []))
        off = mechanisms.get("second-sends")()
        other = play("lockers", 0.35, range(1, 2), 6.0, off)
        assert other[0].sends < base[0].sends
