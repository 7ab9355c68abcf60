"""The exception tree: every error raised on purpose is a GreengagemoorError."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class GreengagemoorError(Exception):
    """Base of all errors raised by this package."""


class RegistryError(GreengagemoorError):
    """A name is unknown to a registry, or registered twice."""


class InvalidInputError(GreengagemoorError):
    """A JSON input was refused whole.

    Attributes:
        faults: one line for each fault, with its JSON path.
    """

    def __init__(self, faults: Sequence[str]):
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class SettingsError(InvalidInputError):
    """The settings file of a process is invalid."""


class DocumentError(InvalidInputError):
    """An operators' document is invalid."""


class StorageError(GreengagemoorError):
    """The data folder can't be used."""


class FolderLockedError(StorageError):
    """Another process holds the data folder."""


class FolderMismatchError(StorageError):
    """The data folder has another owner or format version."""


class CorruptRecordError(StorageError):
    """A record that had been synced no longer matches its checksum."""


class SyncFailedError(StorageError):
    """A sync failed: nothing written since the last one counts as durable."""


class WireError(GreengagemoorError):
    """A message between our own processes can't be encoded or decoded."""
