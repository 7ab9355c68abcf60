"""Which data centres are evacuated, as processes tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.util import values

if TYPE_CHECKING:
    from collections.abc import Iterable


@values.frozen
class Evacuation:
    """Whether the searchers of a data centre are to get nothing.

    Attributes:
        number: grows with each change for this data centre.
        active: whether it holds, or has been taken back.
    """

    data_centre: str
    number: int
    active: bool


class EvacuationView:
    """The newest words on data centres, as a process that is told has them."""

    def __init__(self):
        self._rows: dict[str, Evacuation] = {}

    def take(self, rows: Iterable[Evacuation]) -> tuple[Evacuation, ...]:
        """Takes in rows, in any order and however often.

        Returns:
            Those that are newer than what was known.
        """
        news = []
        for row in rows:
            known = self._rows.get(row.data_centre)
            if known is None or row.number > known.number:
                self._rows[row.data_centre] = row
                news.append(row)
        return tuple(news)

    def rows(self) -> tuple[Evacuation, ...]:
        """Returns the newest row of each data centre."""
        return tuple(self._rows.values())

    @property
    def active(self) -> frozenset[str]:
        """Data centres whose searchers get nothing."""
        return frozenset(
            row.data_centre for row in self._rows.values() if row.active
        )
