"""Replicated state machine for the document numbered by the operator."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.control.commands import PutDocument


class NumberedDocumentState:
    """The document with the highest number that was ever put.

    A lower number is an outdated change. An equal one is a resend, or another
    operator's document under a number that is taken. Both are acknowledged
    and change nothing: if an equal number could replace the text, two readers
    of one number could see different documents.
    """

    def __init__(self):
        self.number = 0
        self.packed = b""

    def put(self, command: PutDocument) -> int:
        """Applies a committed command; returns the number now in force."""
        if command.number > self.number:
            self.number = command.number
            self.packed = command.packed
        return self.number

    def save(self) -> str:
        """Returns the state as text for a snapshot."""
        return json.dumps([self.number, base64.b64encode(self.packed).decode()])

    def load(self, text: str) -> None:
        """Replaces the state with a saved one."""
        self.number, packed = json.loads(text)
        self.packed = base64.b64decode(packed)
