"""Applies committed log entries to the replicated state."""

from __future__ import annotations

import json
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from greengagemoor.codes import Code
from greengagemoor.control.commands import (
    ApplyDocument,
    ChangeMembers,
    Claim,
    NoOp,
    PutDocument,
    RecordOutcome,
    SetEvacuation,
)
from greengagemoor.control.documents import ApplyResult, Documents
from greengagemoor.control.evacuation_table import EvacuationTable
from greengagemoor.control.ledger import (
    DEFAULT_WINDOW_S,
    ClaimAnswer,
    Ledger,
)
from greengagemoor.control.numbered_document import NumberedDocumentState

if TYPE_CHECKING:
    from greengagemoor.control.commands import Command


class ReplicatedState:
    """All replicated state; the same entries give the same state."""

    def __init__(self):
        self.documents = Documents()
        self.ledger = Ledger()
        self.numbered = NumberedDocumentState()
        self.evacuations = EvacuationTable()

    def apply(self, command: Command) -> ApplyResult | ClaimAnswer | None:
        """Applies one committed command and returns its result, if any."""
        self.ledger.advance_time(command.time)
        return self._apply(command)

    @singledispatchmethod
    def _apply(self, command: Command) -> None:
        raise TypeError(f"unknown command {type(command).__name__}")

    @_apply.register
    def _(self, command: NoOp) -> None:
        pass

    @_apply.register
    def _(self, command: ChangeMembers) -> None:
        pass

    @_apply.register
    def _(self, command: ApplyDocument) -> ApplyResult:
        result = self.documents.apply(command)
        if result.code is Code.ACCEPTED:
            self._update_ledger_window()
        return result

    @_apply.register
    def _(self, command: Claim) -> ClaimAnswer:
        return self.ledger.claim(command)

    @_apply.register
    def _(self, command: RecordOutcome) -> None:
        self.ledger.record(command)

    @_apply.register
    def _(self, command: PutDocument) -> ApplyResult:
        number = self.numbered.put(command)
        return ApplyResult(Code.ACCEPTED, number)

    @_apply.register
    def _(self, command: SetEvacuation) -> ApplyResult:
        return self.evacuations.set(command)

    def _update_ledger_window(self) -> None:
        decoded = json.loads(self.documents.text)
        window = float(decoded.get("ledger_window_s", DEFAULT_WINDOW_S))
        self.ledger.set_window(window)

    def save(self) -> bytes:
        """Returns the whole state for a snapshot."""
        parts = [
            self.documents.save(),
            self.ledger.save(),
            self.numbered.save(),
            self.evacuations.save(),
        ]
        return json.dumps(parts).encode()

    def load(self, data: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""
        documents, ledger, *later = json.loads(data)
        self.documents.load(documents)
        self.ledger.load(ledger)
        # Snapshots of earlier releases end after the second or third part.
        parts = (self.numbered, self.evacuations)
        for part, saved in zip(parts, later, strict=False):
            part.load(saved)
