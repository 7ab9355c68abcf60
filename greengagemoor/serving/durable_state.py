"""The data folder of a control instance, reopened after each failure."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from greengagemoor import log
from greengagemoor.errors import (
    CorruptRecordError,
    FolderMismatchError,
    WireError,
)
from greengagemoor.feed.messages import (
    KnownPeers,
    SearcherRows,
    SuspectRows,
)
from greengagemoor.shell.disk import DiskWriter
from greengagemoor.storage.folder import (
    FORMAT_FILE,
    LOCK_FILE,
    DataFolder,
    sync_directory,
)
from greengagemoor.storage.store import Store
from greengagemoor.util import values
from greengagemoor.wire import codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.control.messages import Persist, Recovered
    from greengagemoor.feed.messages import SearcherRow, Suspect

REOPEN_DELAY_S = 0.5
OWN_ROWS = "searchers.bin"
OTHER_ROWS = "searchers-of-others.bin"
DEPARTURES = "departures.bin"
ENTRIES = "entries.bin"
SUSPECTS = "suspects.bin"
FOUNDERS = "FOUNDERS.json"
Kept = TypeVar("Kept", SearcherRows, KnownPeers, SuspectRows)


@values.frozen
class Opened:
    """An open data folder.

    Attributes:
        member_id: the group member whose state the folder holds.
        recovered: the state read from the folder.
        founders: peer addresses, by instance, of the instances with which this
            member may found a group, as the settings named them when its
            folder was created; else None.
    """

    member_id: str
    recovered: Recovered
    founders: dict[str, str] | None


class DurableState:
    """Opens, writes and closes the durable state."""

    def __init__(
        self,
        path: str,
        owner: str,
        put: Callable[[object], None],
        founders: dict[str, str] | None = None,
    ):
        """Does not access the disk; ``open`` does.

        Args:
            path: the data folder.
            owner: the instance that it belongs to.
            put: receives ``Persisted`` and ``PersistFailed``, from any thread.
            founders: addresses, by instance, of those with which the settings
                say to found a group; stored if the folder is new.
        """
        self._path = Path(path)
        self._owner = owner
        self._put = put
        self._founders = founders
        self._writer: DiskWriter | None = None
        self._folder: DataFolder | None = None

    async def open(self) -> Opened:
        """Opens the folder; retries until the disk accepts writes.

        A folder that is damaged, or has another owner or format, is emptied and
        opened as a new one. No error ends the attempts: an instance without
        an open folder answers no requests.
        """
        loop = asyncio.get_running_loop()
        is_damaged = False
        while True:
            try:
                await self.close()
                if is_damaged:
                    await loop.run_in_executor(None, self._delete_files)
                    is_damaged = False
                return await self._open_in_thread()
            except (CorruptRecordError, FolderMismatchError) as exc:
                # With its old identity the member could vote contrary to
                # promises that it has lost; with an empty folder it joins
                # under a new identity.
                log.event("disk_damaged", level="ERROR", reason=exc)
                is_damaged = True
                # The member may have belonged to a group.
                self._founders = None
            except Exception as exc:
                log.event(
                    "disk_unusable",
                    level="ERROR",
                    reason=log.describe(exc),
                    where=log.where(exc),
                )
            await asyncio.sleep(REOPEN_DELAY_S)

    async def _open_in_thread(self) -> Opened:
        """Opens the folder; if cancelled, closes it again once it is open."""
        loop = asyncio.get_running_loop()
        opening = loop.run_in_executor(None, self._open)
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            await asyncio.wait([opening])
            await self.close()
            raise

    def _open(self) -> Opened:
        initial = {}
        if self._founders is not None:
            initial[FOUNDERS] = json.dumps(self._founders).encode()
        folder = DataFolder(self._path, self._owner, initial)
        store = Store(folder)
        try:
            founders = self._load_founders()
            recovered = store.recover()
            writer = DiskWriter(store, self._put)
            writer.start()
        except Exception:
            store.close()
            raise
        self._founders = None
        self._folder = folder
        self._writer = writer
        member_id = f"{self._owner}#{folder.format.identity}"
        log.event("disk_open", member=member_id, entries=len(recovered.entries))
        return Opened(member_id, recovered, founders)

    def _load_founders(self) -> dict[str, str] | None:
        """Returns the founders that were stored with the folder.

        They are kept as long as the folder, since the settings name them at
        the first start only. Otherwise no instance could found the group if
        the first founder loses its disk and all instances are killed before
        the group exists.
        """
        path = self._path / FOUNDERS
        if not path.exists():
            return None
        try:
            return json.loads(path.read_bytes())
        except ValueError as exc:
            raise CorruptRecordError(f"{FOUNDERS}: {exc}") from exc

    def _delete_files(self) -> None:
        """Empties the folder; its identity and its founders go first.

        With a part of its files only, a start would take the folder for a new
        one, or for that of a member that has promised nothing yet.
        """
        for name in (FORMAT_FILE, FOUNDERS):
            (self._path / name).unlink(missing_ok=True)
        sync_directory(self._path)
        for path in self._path.iterdir():
            if path.name != LOCK_FILE:
                path.unlink(missing_ok=True)
        sync_directory(self._path)

    def write(self, operation: Persist) -> None:
        """Queues an operation for the disk thread."""
        if self._writer is not None:
            self._writer.write(operation)

    async def store(self, name: str, content: Kept) -> bool:
        """Replaces a file that is read after a restart; logs a failure.

        Returns:
            Whether the file has this content; not while the folder is closed.
        """
        folder = self._folder
        if folder is None:
            return False
        data = codec.encode(content)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                None, folder.write_atomically, name, data
            )
        except OSError as exc:
            log.event("rows_not_kept", level="WARNING", reason=exc)
            return False
        # The folder may have been closed, and emptied, in the meantime.
        return folder is self._folder

    def load_searchers(self, name: str) -> tuple[SearcherRow, ...]:
        """Returns the stored rows of searchers; () if missing or damaged."""
        stored = self._read_stored(name, SearcherRows)
        return stored.rows if stored is not None else ()

    def load_entry_count(self) -> int:
        """Returns the stored number of entries; 0 if missing or damaged."""
        stored = self._read_stored(ENTRIES, KnownPeers)
        return stored.entries if stored is not None else 0

    def load_suspects(self) -> tuple[Suspect, ...]:
        """Returns the stored rows of suspect requests."""
        stored = self._read_stored(SUSPECTS, SuspectRows)
        return stored.rows if stored is not None else ()

    def _read_stored(self, name: str, cls: type[Kept]) -> Kept | None:
        path = self._path / name
        try:
            return codec.decode(path.read_bytes(), cls)
        except FileNotFoundError:
            return None
        except (OSError, WireError) as exc:
            log.event("rows_unreadable", level="WARNING", reason=exc)
            return None

    async def close(self) -> None:
        """Closes the folder once all queued writes are synced."""
        writer, self._writer = self._writer, None
        self._folder = None
        if writer is not None:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, writer.stop)
