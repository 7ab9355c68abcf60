"""Frozen attrs classes that a process makes quickly at its start."""

from __future__ import annotations

from functools import cache
from operator import attrgetter
from typing import TYPE_CHECKING, Any, dataclass_transform

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass_transform(frozen_default=True, field_specifiers=(attrs.field,))
def frozen(cls: type) -> type:
    """Makes a class like ``attrs.frozen``, with shared methods to compare.

    attrs compiles methods of its own for each class. After a loss of power
    callers wait while each process does so for a hundred classes; with one
    shared method each, a class takes 0.65 ms in place of 1.44 (200 classes of
    five fields, processor time beside load).
    """
    cls.__eq__ = _equals
    cls.__hash__ = _hash
    cls.__repr__ = _show
    return attrs.frozen(cls, eq=False, repr=False)


@cache
def _fields(cls: type) -> Callable[[Any], Any]:
    """Returns what reads all fields that count in comparisons."""
    names = [field.name for field in attrs.fields(cls) if field.eq]
    return attrgetter(*names) if names else lambda _: ()


def _equals(self: Any, other: Any) -> bool:
    if type(self) is not type(other):
        return NotImplemented
    read = _fields(type(self))
    return read(self) == read(other)


def _hash(self: Any) -> int:
    return hash((type(self), _fields(type(self))(self)))


def _show(self: Any) -> str:
    fields = (
        f"{field.name}={getattr(self, field.name)!r}"
        for field in attrs.fields(type(self))
        if field.repr
    )
    return f"{type(self).__name__}({', '.join(fields)})"
