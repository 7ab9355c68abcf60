"""Frozen classes with shared special methods."""

from __future__ import annotations

import attrs
import pytest

from greengagemoor.util import values


@values.frozen
class Point:
    """Two fields, one of them left out of comparisons."""

    x: int
    y: int = 0
    note: str = attrs.field(default="", eq=False, repr=False)


@values.frozen
class Other:
    """Another class with the same fields."""

    x: int
    y: int = 0


@values.frozen
class NoFields:
    """A class without fields."""


class TestValue:
    """The methods behave as those of ``attrs.frozen``."""

    def test_equal_by_fields(self):
        assert Point(1, 2) == Point(1, 2, note="else")
        assert Point(1, 2) != Point(2, 1)
        assert Point(1, 2) != Other(1, 2)
        assert NoFields() == NoFields()

    def test_hash_is_consistent_with_equality(self):
        assert len({Point(1), Point(1, note="else"), Point(2), Other(1)}) == 3
        assert hash(NoFields()) == hash(NoFields())

    def test_repr(self):
        assert repr(Point(1, 2)) == "Point(x=1, y=2)"
        assert repr(NoFields()) == "NoFields()"

    def test_frozen_and_slotted(self):
        with pytest.raises(attrs.exceptions.FrozenInstanceError):
            Point(1).x = 2
        assert not hasattr(Point(1), "__dict__")

    def test_evolve(self):
        assert attrs.evolve(Point(1, 2), y=3) == Point(1, 3)
