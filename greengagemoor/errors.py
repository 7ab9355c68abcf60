"""Exceptions of this package; their base is GreengagemoorError."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class GreengagemoorError(Exception):
    """Base class of all errors that this package raises deliberately."""


class RegistryError(GreengagemoorError):
    """A name is not registered, or is registered twice."""


class InvalidInputError(GreengagemoorError):
    """A JSON input is invalid and rejected as a whole.

    Attributes:
        faults: a line for each fault, with its JSON path.
    """

    def __init__(self, faults: Sequence[str]):
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class SettingsError(InvalidInputError):
    """The settings file of an instance is invalid."""


class DocumentError(InvalidInputError):
    """A document from an operator is invalid."""


class StorageError(GreengagemoorError):
    """The data folder can't be used."""


class FolderLockedError(StorageError):
    """Another process has locked the data folder."""


class FolderMismatchError(StorageError):
    """The data folder has a different owner or format version."""


class CorruptRecordError(StorageError):
    """Synced data is damaged or missing."""


class SyncFailedError(StorageError):
    """A sync failed; data written since the previous sync is not durable."""


class WireError(GreengagemoorError):
    """A message between instances can't be encoded or decoded."""
