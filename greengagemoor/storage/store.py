"""Durable state of a control member: a snapshot and a journal."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING

from greengagemoor.control.commands import LogEntry, Snapshot
from greengagemoor.control.messages import HardState, Persist, Recovered
from greengagemoor.errors import (
    CorruptRecordError,
    SyncFailedError,
    WireError,
)
from greengagemoor.storage import records
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import BinaryIO

    from greengagemoor.storage.folder import DataFolder

# Kind of a record: the first byte of its payload.
HARD = b"H"
ENTRY = b"E"
SNAPSHOT = b"S"
USED_FILE = "USED"
"""Its presence tells a folder whose journal is lost from a new one."""
JOURNAL_GLOB = "journal-*.bin"
SNAPSHOT_GLOB = "snapshot-*.bin"


class Store:
    """Writes ``Persist`` operations and recovers them after a restart.

    The journal and the snapshot of a generation have the same number in their
    names. A new generation is complete before the old one is removed, so a
    crash at any step leaves one complete generation.
    """

    def __init__(self, folder: DataFolder):
        self._folder = folder
        self._failure = ""
        self._journal: BinaryIO | None = None
        self._generation = 0

    def recover(self) -> Recovered:
        """Reads the durable state and opens the journal for appending.

        The directory is synced before older generations are removed: the
        process may have been killed before it could sync the newest name.

        Raises:
            CorruptRecordError: synced data is damaged or missing. The member
                must restart with an empty folder, under a new identity.
        """
        generations = self._generations()
        if not generations:
            if self._was_used():
                raise CorruptRecordError(
                    "the journal is missing; empty the folder, so that the "
                    "instance joins again under a new identity"
                )
            self._start_generation(1, [])
            self._mark_used()
            return Recovered(None, None, ())
        self._generation = max(generations)
        snapshot = self._read_snapshot()
        found = self._read_journal()
        self._folder.sync_directory()
        self._remove_older()
        self._mark_used()
        hard, entries = _replay(found.payloads, snapshot)
        self._open_journal(found.good_bytes)
        return Recovered(hard, snapshot, entries)

    def _generations(self) -> list[int]:
        return [
            int(path.stem.partition("-")[2])
            for path in self._folder.path.glob(JOURNAL_GLOB)
        ]

    def _was_used(self) -> bool:
        return (self._folder.path / USED_FILE).exists()

    def _mark_used(self) -> None:
        """Marks the folder as used, unless an earlier start has done so."""
        if not self._was_used():
            self._folder.write_atomically(USED_FILE, b"1")

    def _journal_path(self, generation: int) -> Path:
        return self._folder.path / f"journal-{generation}.bin"

    def _snapshot_path(self, generation: int) -> Path:
        return self._folder.path / f"snapshot-{generation}.bin"

    def _read_snapshot(self) -> Snapshot | None:
        path = self._snapshot_path(self._generation)
        if not path.exists():
            if self._generation > 1:
                raise CorruptRecordError(f"snapshot {path.name} is missing")
            return None
        found = records.scan(path.read_bytes())
        if not found.payloads:
            raise CorruptRecordError(f"snapshot {path.name} is truncated")
        return _decode(found.payloads[0][1:], Snapshot)

    def _read_journal(self) -> records.Scan:
        path = self._journal_path(self._generation)
        found = records.scan(path.read_bytes())
        if not found.payloads:
            # The first record is synced before the file is renamed into place.
            raise CorruptRecordError(f"{path.name} has no intact first record")
        return found

    def _open_journal(self, good_bytes: int) -> None:
        """Opens the journal for appending and truncates a torn tail."""
        path = self._journal_path(self._generation)
        self._journal = path.open("r+b")
        self._journal.truncate(good_bytes)
        self._journal.seek(good_bytes)
        # A process that was killed may have left records without a sync.
        self._sync()
        self._journal.write(records.frame(records.SYNC_MARK))
        self._sync()

    def _remove_older(self) -> None:
        for pattern in (JOURNAL_GLOB, SNAPSHOT_GLOB):
            for path in self._folder.path.glob(pattern):
                if int(path.stem.partition("-")[2]) < self._generation:
                    path.unlink()
        for pattern in (JOURNAL_GLOB, SNAPSHOT_GLOB):
            for path in self._folder.path.glob(f"{pattern}.new"):
                path.unlink()

    def write(self, operations: Iterable[Persist]) -> None:
        """Writes operations in order and syncs once for all of them.

        Raises:
            SyncFailedError: none of these operations counts as durable, and
                the store rejects further writes: after a failed sync the
                kernel may drop the data and report the next sync as successful.
        """
        if self._failure:
            raise SyncFailedError(self._failure)
        try:
            for operation in operations:
                self._write_one(operation)
            self._sync()
            self._journal.write(records.frame(records.SYNC_MARK))
            self._journal.flush()
        except Exception as exc:
            # After any error it is unknown which records the file has.
            reason = getattr(exc, "strerror", None) or repr(exc)
            self._failure = f"write or sync failed: {reason}"
            raise SyncFailedError(self._failure) from exc

    def _write_one(self, operation: Persist) -> None:
        if operation.snapshot is not None:
            self._write_snapshot(operation)
            return
        payloads = _records_of(operation)
        self._journal.write(
            b"".join(records.frame(payload) for payload in payloads)
        )

    def _write_snapshot(self, operation: Persist) -> None:
        """Writes a new generation, then removes the old one."""
        generation = self._generation + 1
        payload = SNAPSHOT + codec.encode(operation.snapshot)
        path = self._snapshot_path(generation)
        self._folder.write_atomically(path.name, records.frame(payload))
        old = self._journal
        self._start_generation(generation, _records_of(operation))
        old.close()
        self._remove_older()

    def _start_generation(self, generation: int, payloads: list[bytes]) -> None:
        """Makes a journal; the file is renamed into place once it is synced."""
        path = self._journal_path(generation)
        mark = records.SYNC_MARK
        framed = [records.frame(payload) for payload in [mark, *payloads, mark]]
        self._folder.write_atomically(path.name, b"".join(framed))
        self._generation = generation
        self._journal = path.open("r+b")
        self._journal.seek(0, os.SEEK_END)

    def _sync(self) -> None:
        self._journal.flush()
        os.fsync(self._journal.fileno())

    def close(self) -> None:
        """Closes the journal and releases the folder.

        Raises nothing after a failed write: its records are still buffered, and
        closing the journal tries to write them again. None of them counts as
        durable.
        """
        if self._journal is not None:
            with contextlib.suppress(OSError):
                self._journal.close()
        self._folder.close()


def _records_of(operation: Persist) -> list[bytes]:
    hard = [HARD + codec.encode(operation.hard)] if operation.hard else []
    return hard + [ENTRY + codec.encode(e) for e in operation.entries]


def _replay(
    payloads: Iterable[bytes], snapshot: Snapshot | None
) -> tuple[HardState | None, tuple[LogEntry, ...]]:
    """Returns the last hard state and the log entries of a journal.

    An entry whose index is already there replaces that entry and all later
    ones.
    """
    hard = None
    entries: list[LogEntry] = []
    base = snapshot.index if snapshot else 0
    for payload in payloads:
        kind, body = payload[:1], payload[1:]
        if kind == HARD:
            hard = _decode(body, HardState)
        elif kind == ENTRY:
            entry = _decode(body, LogEntry)
            if entry.index > base:
                del entries[entry.index - base - 1 :]
                entries.append(entry)
    return hard, tuple(entries)


def _decode(body: bytes, cls: type):
    try:
        return codec.decode(body, cls)
    except WireError as exc:
        raise CorruptRecordError(str(exc)) from exc
