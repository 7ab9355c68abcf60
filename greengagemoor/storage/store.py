"""Durable state of a control member: one snapshot and one journal."""

from __future__ import annotations

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

HARD = b"H"
ENTRY = b"E"
MARK = b"M"
SNAPSHOT = b"S"
JOURNAL_GLOB = "journal-*.bin"
SNAPSHOT_GLOB = "snapshot-*.bin"


class Store:
    """Writes ``Persist`` operations and reads them back after a start.

    Journal and snapshot of one generation carry the same number. A new
    generation is complete before the old one is removed, so a crash at any
    step leaves one whole generation.
    """

    def __init__(self, folder: DataFolder):
        self._folder = folder
        self._broken = ""
        self._journal: BinaryIO | None = None
        self._generation = 0

    def recover(self) -> Recovered:
        """Reads what is durable and opens the journal for appending.

        Raises:
            CorruptRecordError: something that had been synced is damaged or
                missing. The member must come back under a new identity, from
                an empty folder.
        """
        generations = self._generations()
        if not generations:
            if self._was_used():
                raise CorruptRecordError(
                    "the folder has lost its journal; empty it, so that the "
                    "instance joins again under a new identity"
                )
            self._start_generation(1, [])
            self._folder.write_whole("USED", b"1")
            return Recovered(None, None, ())
        self._generation = max(generations)
        snapshot = self._read_snapshot()
        found = self._read_journal()
        self._remove_older()
        hard, entries = _replay(found.payloads, snapshot)
        self._open_journal(found.good_bytes)
        return Recovered(hard, snapshot, entries)

    def _generations(self) -> list[int]:
        return [
            int(path.stem.partition("-")[2])
            for path in self._folder.path.glob(JOURNAL_GLOB)
        ]

    def _was_used(self) -> bool:
        return (self._folder.path / "USED").exists()

    def _journal_path(self, generation: int) -> Path:
        return self._folder.path / f"journal-{generation}.bin"

    def _snapshot_path(self, generation: int) -> Path:
        return self._folder.path / f"snapshot-{generation}.bin"

    def _read_snapshot(self) -> Snapshot | None:
        path = self._snapshot_path(self._generation)
        if not path.exists():
            if self._generation > 1:
                raise CorruptRecordError(f"{path.name} is missing")
            return None
        found = records.scan(path.read_bytes())
        if not found.payloads:
            raise CorruptRecordError(f"{path.name} is truncated")
        return _decode(found.payloads[0][1:], Snapshot)

    def _read_journal(self) -> records.Scan:
        path = self._journal_path(self._generation)
        found = records.scan(path.read_bytes())
        if not found.payloads:
            # The first record is synced before the file gets its name.
            raise CorruptRecordError(f"{path.name} has lost its beginning")
        return found

    def _open_journal(self, good_bytes: int) -> None:
        """Cuts a torn tail off and appends behind it."""
        path = self._journal_path(self._generation)
        self._journal = path.open("r+b")
        self._journal.truncate(good_bytes)
        self._journal.seek(good_bytes)
        self._journal.write(records.frame(MARK))
        self._sync()

    def _remove_older(self) -> None:
        for pattern in (JOURNAL_GLOB, SNAPSHOT_GLOB):
            for path in self._folder.path.glob(pattern):
                if int(path.stem.partition("-")[2]) < self._generation:
                    path.unlink()
        for path in self._folder.path.glob("*.new"):
            path.unlink()

    def write(self, operations: Iterable[Persist]) -> None:
        """Writes operations in order and syncs once for all of them.

        Raises:
            SyncFailedError: nothing of these is durable, and this store takes
                no further writes: after a failed sync the kernel may drop the
                data and report the next sync as good.
        """
        if self._broken:
            raise SyncFailedError(self._broken)
        try:
            for operation in operations:
                self._write_one(operation)
            self._sync()
            self._journal.write(records.frame(MARK))
            self._journal.flush()
        except OSError as exc:
            self._broken = f"write or sync failed: {exc.strerror or exc}"
            raise SyncFailedError(self._broken) from exc

    def _write_one(self, operation: Persist) -> None:
        if operation.snapshot is not None:
            self._write_snapshot(operation)
            return
        parts = _records_of(operation)
        self._journal.write(b"".join(records.frame(part) for part in parts))

    def _write_snapshot(self, operation: Persist) -> None:
        """Writes a whole new generation, then drops the old one."""
        generation = self._generation + 1
        payload = SNAPSHOT + codec.encode(operation.snapshot)
        path = self._snapshot_path(generation)
        self._folder.write_whole(path.name, records.frame(payload))
        old = self._journal
        self._start_generation(generation, _records_of(operation))
        old.close()
        self._remove_older()

    def _start_generation(self, generation: int, parts: list[bytes]) -> None:
        """Makes a journal; its name appears once its content is synced."""
        path = self._journal_path(generation)
        framed = [records.frame(part) for part in [MARK, *parts, MARK]]
        self._folder.write_whole(path.name, b"".join(framed))
        self._generation = generation
        self._journal = path.open("r+b")
        self._journal.seek(0, os.SEEK_END)

    def _sync(self) -> None:
        self._journal.flush()
        os.fsync(self._journal.fileno())

    def close(self) -> None:
        """Closes the journal and gives the folder back."""
        if self._journal is not None:
            self._journal.close()
        self._folder.close()


def _records_of(operation: Persist) -> list[bytes]:
    hard = [HARD + codec.encode(operation.hard)] if operation.hard else []
    return hard + [ENTRY + codec.encode(e) for e in operation.entries]


def _replay(
    payloads: Iterable[bytes], snapshot: Snapshot | None
) -> tuple[HardState | None, tuple[LogEntry, ...]]:
    """Returns the last hard state and the log that the records leave.

    An entry at or below the last index replaces it and all behind it.
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
