"""Evacuations of data centres, as processes exchange them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable


@values.frozen
class Evacuation:
    """Whether the searchers of a data centre receive no requests.

    Attributes:
        number: increases with each change for this data centre.
        active: whether the evacuation is in force; False once it has ended.
    """

    data_centre: str
    number: int
    active: bool


class EvacuationView:
    """The newest evacuation row that a process knows for each data centre."""

    def __init__(self):
        self._rows: dict[str, Evacuation] = {}

    def merge(self, rows: Iterable[Evacuation]) -> tuple[Evacuation, ...]:
        """Merges rows, which may come in any order and repeatedly.

        Returns:
            Rows that are newer than those known before.
        """
        newer = []
        for row in rows:
            known = self._rows.get(row.data_centre)
            if known is None or row.number > known.number:
                self._rows[row.data_centre] = row
                newer.append(row)
        return tuple(newer)

    def rows(self) -> tuple[Evacuation, ...]:
        """Returns the newest row of each data centre."""
        return tuple(self._rows.values())

    @property
    def active(self) -> frozenset[str]:
        """Data centres whose searchers receive no requests."""
        return frozenset(
            row.data_centre for row in self._rows.values() if row.active
        )
