"""The data folder: format, owner, identity and lock."""

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
    from collections.abc import Mapping
    from typing import IO

FORMAT_VERSION = 1
FORMAT_FILE = "FORMAT.json"
LOCK_FILE = "LOCK"
IDENTITY_BYTES = 8
OWNER_ONLY = 0o600
"""Mode of the files: documents contain the keys of client accounts."""


@values.frozen
class FolderFormat:
    """Content of the format file.

    Attributes:
        format_version: version of the folder's format.
        owner: name of the instance that uses the folder.
        identity: random, made with the folder, so that an instance with a new
            folder is a new member.
    """

    format_version: int
    owner: str
    identity: str


class DataFolder:
    """A locked folder of one instance; writes sync file and directory."""

    def __init__(
        self,
        path: str | Path,
        owner: str,
        initial: Mapping[str, bytes] | None = None,
    ):
        """Opens or makes the folder and takes its lock.

        Args:
            path: the folder.
            owner: name of the instance that uses it.
            initial: files that a new folder has before it has its identity;
                none of any other name may exist then.

        Raises:
            FolderLockedError: another process holds the lock.
            FolderMismatchError: the owner differs or the format is unknown.
        """
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._initial = initial or {}
        self._lock = self._take_lock()
        try:
            self.format = self._open_format(owner)
        except Exception:
            self.close()
            raise

    def _take_lock(self) -> IO[Any]:
        # Two processes on one folder would interleave their records and each
        # acknowledge what the other overwrites. The kernel releases the lock
        # when the process exits, also if it is killed.
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
                f"release reads format {FORMAT_VERSION}"
            )
        if found.owner != owner:
            raise FolderMismatchError(
                f"{self.path} belongs to {found.owner}, not to {owner}"
            )
        return found

    def _make_format(self, file: Path, owner: str) -> FolderFormat:
        # Left by a start that was killed before it created the identity.
        allowed = {file.name, *self._initial}
        allowed |= {LOCK_FILE, *(f"{name}.new" for name in allowed)}
        names = {path.name for path in self.path.iterdir()}
        existing = sorted(names - allowed)
        if existing:
            raise FolderMismatchError(
                f"{self.path} has no {FORMAT_FILE} but contains {existing[:3]}"
            )
        created = FolderFormat(
            FORMAT_VERSION, owner, os.urandom(IDENTITY_BYTES).hex()
        )
        for name, data in self._initial.items():
            self.write_atomically(name, data)
        self.write_atomically(
            file.name, json.dumps(attrs.asdict(created)).encode()
        )
        return created

    def write_atomically(self, name: str, data: bytes) -> None:
        """Replaces a file atomically: a crash leaves the old or the new one."""
        temporary = self.path / f"{name}.new"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(temporary, flags, OWNER_ONLY)
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self.path / name)
        self.sync_directory()

    def sync_directory(self) -> None:
        """Syncs the directory, so that new and removed names are durable."""
        sync_directory(self.path)

    def size(self) -> int:
        """Returns the size of all files in bytes."""
        return sum(f.stat().st_size for f in self.path.iterdir())

    def close(self) -> None:
        """Releases the lock."""
        self._lock.close()


def sync_directory(path: Path) -> None:
    """Syncs a directory, so that new and removed names are durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
