"""The documents that a control instance sends to entries."""

from __future__ import annotations

import zlib

from greengagemoor.feed.messages import NumberedDocument
from greengagemoor.util import difference

MAX_BASE_DOCUMENTS = 8
"""Earlier documents that may serve as the base of a difference; when documents
follow each other quickly, entries skip some."""


class DocumentHistory:
    """The newest document, whole or as a difference from an earlier one.

    Each entry fetches each document, and operators change a few bytes at a
    time. Without differences, the unchanged text would cross the links between
    data centres once per entry and change.
    """

    def __init__(self):
        """Creates a history without a document."""
        self.number = 0
        self._packed: dict[int, bytes] = {}
        self._answers: dict[int, NumberedDocument] = {}

    def put(self, number: int, packed: bytes) -> bool:
        """Adds a document; returns whether it is newer than the last one."""
        if number <= self.number:
            return False
        self.number = number
        self._packed[number] = packed
        self._answers.clear()
        while len(self._packed) > MAX_BASE_DOCUMENTS + 1:
            del self._packed[next(iter(self._packed))]
        return True

    def answer(self, known: int) -> NumberedDocument:
        """Returns the newest document in the smallest form for a requester.

        Args:
            known: number of the document that the requester has; 0 if it
                needs the whole document.
        """
        found = self._answers.get(known)
        if found is None:
            found = self._answers[known] = self._pack_for(known)
        return found

    def _pack_for(self, known: int) -> NumberedDocument:
        packed = self._packed[self.number]
        old = self._packed.get(known)
        if old is not None:
            differing = difference.pack(
                zlib.decompress(old), zlib.decompress(packed)
            )
            if len(differing) < len(packed):
                return NumberedDocument(self.number, differing, known)
        return NumberedDocument(self.number, packed)
