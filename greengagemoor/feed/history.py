"""The documents that a control instance hands out."""

from __future__ import annotations

import zlib

from greengagemoor.feed.messages import NumberedDocument
from greengagemoor.util import difference

KEPT = 8
"""Earlier documents against which a newer one may be packed; in quick
succession entries skip some."""


class DocumentHistory:
    """The newest document, whole or as what differs from an earlier one.

    Each entry fetches each document. Operators change a few bytes at a time,
    so sent whole the same text would cross the links between data centres
    once for each entry and change.
    """

    def __init__(self):
        """Starts without a document."""
        self.number = 0
        self._packed: dict[int, bytes] = {}
        self._answers: dict[int, NumberedDocument] = {}

    def put(self, number: int, packed: bytes) -> bool:
        """Takes in a document; returns whether it is newer."""
        if number <= self.number:
            return False
        self.number = number
        self._packed[number] = packed
        self._answers.clear()
        while len(self._packed) > KEPT + 1:
            del self._packed[next(iter(self._packed))]
        return True

    def answer(self, known: int) -> NumberedDocument:
        """Returns the newest document for who has an earlier one.

        Args:
            known: number of what the asker has, 0 if it needs it whole.
        """
        found = self._answers.get(known)
        if found is None:
            found = self._answers[known] = self._make(known)
        return found

    def _make(self, known: int) -> NumberedDocument:
        packed = self._packed[self.number]
        old = self._packed.get(known)
        if old is not None:
            differing = difference.pack(
                zlib.decompress(old), zlib.decompress(packed)
            )
            if len(differing) < len(packed):
                return NumberedDocument(self.number, differing, known)
        return NumberedDocument(self.number, packed)
