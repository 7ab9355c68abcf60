"""Replicated state machine for the evacuations of data centres."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from greengagemoor.codes import Code
from greengagemoor.control.documents import ApplyResult
from greengagemoor.control.evacuations import Evacuation

if TYPE_CHECKING:
    from greengagemoor.control.commands import SetEvacuation


class EvacuationTable:
    """The latest change for each data centre that ever had one."""

    def __init__(self):
        self._rows: dict[str, Evacuation] = {}

    def rows(self) -> tuple[Evacuation, ...]:
        """Returns all rows, including those of ended evacuations."""
        return tuple(self._rows.values())

    def latest_number(self, data_centre: str) -> int:
        """Returns the number of the latest change; 0 if there was none."""
        row = self._rows.get(data_centre)
        return row.number if row is not None else 0

    def set(self, command: SetEvacuation) -> ApplyResult:
        """Applies a committed command.

        A network partition may delay a command until its operator has
        repeated it at another instance and then ended the evacuation. The
        delayed command must then conflict, so a command that changes nothing
        also takes a number.
        """
        number = self.latest_number(command.data_centre)
        row = self._rows.get(command.data_centre)
        is_active = row is not None and row.active
        if command.active != is_active and command.replaces != number:
            return ApplyResult(Code.CONFLICT, number)
        self._rows[command.data_centre] = Evacuation(
            command.data_centre, number + 1, command.active
        )
        return ApplyResult(Code.ACCEPTED, number + 1)

    def save(self) -> str:
        """Returns the state as text for a snapshot."""
        return json.dumps([attrs.astuple(row) for row in self.rows()])

    def load(self, text: str) -> None:
        """Replaces the state with a saved one."""
        rows = (Evacuation(*parts) for parts in json.loads(text))
        self._rows = {row.data_centre: row for row in rows}
