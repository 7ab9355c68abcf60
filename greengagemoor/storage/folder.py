"""The data folder: its format, owner, identity and lock."""

from __future__ import annotations

import fcntl
import json
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from greengagemoor.errors import FolderLockedError, FolderMismatchError
from greengagemoor.util import values

if TYPE_CHECKING:
    from typing import IO

FORMAT_VERSION = 1
FORMAT_FILE = "FORMAT.json"
LOCK_FILE = "LOCK"
IDENTITY_BYTES = 8


@values.frozen
class FolderFormat:
    """What a folder says of itself.

    Attributes:
        identity: random, made with the folder: a folder that is new has a
            new one, whatever instance uses it.
    """

    format_version: int
    owner: str
    identity: str


class DataFolder:
    """An owned and locked folder; all writes are synced with their folder."""

    def __init__(self, path: str | Path, owner: str):
        """Opens or makes the folder and takes its lock.

        ``is_new`` says whether it was made now, with a new identity.

        Raises:
            FolderLockedError: another process holds it.
            FolderMismatchError: another owner or an unknown format.
        """
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self.is_new = False
        self._lock = self._take_lock()
        try:
            self.format = self._open_format(owner)
        except Exception:
            self.close()
            raise

    def _take_lock(self) -> IO[Any]:
        # Two processes on one folder interleave their records: each would
        # acknowledge what the other overwrites. The lock ends with the
        # process, so a killed one leaves none behind.
        lock = (self.path / LOCK_FILE).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            lock.close()
            raise FolderLockedError(
                f"{self.path} is in use by another process"
            ) from exc
        return lock

    def _open_format(self, owner: str) -> FolderFormat:
        file = self.path / FORMAT_FILE
        if not file.exists():
            return self._make_format(file, owner)
        try:
            found = FolderFormat(**json.loads(file.read_bytes()))
        except (ValueError, TypeError) as exc:
            raise FolderMismatchError(f"{file}: {exc}") from exc
        if found.format_version != FORMAT_VERSION:
            raise FolderMismatchError(
                f"{self.path} has format {found.format_version}, this "
                f"version reads {FORMAT_VERSION}"
            )
        if found.owner != owner:
            raise FolderMismatchError(
                f"{self.path} belongs to {found.owner}, not {owner}"
            )
        return found

    def _make_format(self, file: Path, owner: str) -> FolderFormat:
        strangers = [p.name for p in self.path.iterdir() if p.name != LOCK_FILE]
        if strangers:
            raise FolderMismatchError(
                f"{self.path} has no {FORMAT_FILE} but holds {strangers[:3]}"
            )
        made = FolderFormat(
            FORMAT_VERSION, owner, os.urandom(IDENTITY_BYTES).hex()
        )
        self.write_whole(file.name, json.dumps(attrs.asdict(made)).encode())
        self.is_new = True
        return made

    def write_whole(self, name: str, data: bytes) -> None:
        """Replaces a file so that a crash leaves the old or the new one."""
        temporary = self.path / f"{name}.new"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self.path / name)
        self.sync_names()

    def sync_names(self) -> None:
        """Syncs the folder itself, so that new and removed names last."""
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def size(self) -> int:
        """Returns the bytes of all files."""
        return sum(f.stat().st_size for f in self.path.iterdir())

    def close(self) -> None:
        """Gives the lock back."""
        self._lock.close()
