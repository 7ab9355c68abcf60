"""The data folder after crashes, damage and disk failures."""

from __future__ import annotations

import errno
import itertools
import os
from pathlib import Path

import pytest

from greengagemoor.control.commands import (
    ApplyDocument,
    LogEntry,
    NoOp,
    Snapshot,
)
from greengagemoor.control.messages import HardState, Persist
from greengagemoor.errors import (
    CorruptRecordError,
    FolderLockedError,
    FolderMismatchError,
    SyncFailedError,
)
from greengagemoor.storage import records
from greengagemoor.storage.folder import DataFolder
from greengagemoor.storage.store import Store
from greengagemoor.wire import codec

FULL_DISK = Path("/dev/full")
"""A device whose writes all fail with ENOSPC."""
HARD = HardState("group-1", 3, "c1#x")


def open_store(path, owner: str = "c1") -> Store:
    """Opens the store of a folder."""
    return Store(DataFolder(path, owner))


def entries(*indexes: int, term: int = 1) -> tuple[LogEntry, ...]:
    """Returns log entries with these indexes."""
    return tuple(LogEntry(i, term, NoOp(float(i))) for i in indexes)


def write_journal(path, count: int = 3) -> None:
    """Writes a vote and ``count`` entries, one sync each."""
    store = open_store(path)
    store.recover()
    store.write([Persist(1, hard=HARD)])
    for index in range(1, count + 1):
        store.write([Persist(index + 1, entries=entries(index))])
    store.close()


def reopen(path):
    """Recovers a folder, as a restart does."""
    store = open_store(path)
    try:
        return store.recover()
    finally:
        store.close()


def journal(path):
    """Returns the path of the latest journal."""
    return max(path.glob("journal-*.bin"))


class TestRecovery:
    """State that a restart recovers."""

    def test_synced_state_is_recovered(self, tmp_path):
        write_journal(tmp_path)
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert found.entries == entries(1, 2, 3)

    def test_entry_replaces_later_ones(self, tmp_path):
        write_journal(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        store.write([Persist(9, entries=entries(2, term=2))])
        store.close()
        found = reopen(tmp_path)
        assert found.entries == entries(1) + entries(2, term=2)

    @pytest.mark.parametrize("cut", range(1, 30))
    def test_torn_tail_is_truncated(self, tmp_path, cut):
        """Guards against a member that does not start after a power loss.

        The last record is half written. It was never synced or acknowledged
        and must not be mistaken for a damaged record.
        """
        write_journal(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        before = journal(tmp_path).stat().st_size
        store.write([Persist(9, entries=entries(4))])
        store.close()
        file = journal(tmp_path)
        os.truncate(file, before + cut)
        assert reopen(tmp_path).entries == entries(1, 2, 3)
        assert reopen(tmp_path).entries == entries(1, 2, 3)

    def test_flipped_bit_in_a_synced_record_is_rejected(self, tmp_path):
        """Guards against losing an accepted document in a restart.

        A bit of a synced record flips on the disk. If the damage is mistaken
        for a torn tail, the member starts with the records before it and votes.
        """
        write_journal(tmp_path)
        file = journal(tmp_path)
        intact = file.read_bytes()
        for position in range(20, len(intact) - 20, 7):
            damaged = bytearray(intact)
            damaged[position] ^= 0x10
            file.write_bytes(bytes(damaged))
            with pytest.raises(CorruptRecordError):
                reopen(tmp_path)

    def test_truncated_snapshot_is_rejected(self, tmp_path):
        write_journal(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        snapshot = Snapshot(2, 1, (), b"x" * 500)
        store.write([Persist(9, HARD, entries(3), snapshot)])
        store.close()
        file = max(tmp_path.glob("snapshot-*.bin"))
        os.truncate(file, 100)
        with pytest.raises(CorruptRecordError):
            reopen(tmp_path)

    def test_missing_journal_is_rejected(self, tmp_path):
        write_journal(tmp_path)
        journal(tmp_path).unlink()
        with pytest.raises(CorruptRecordError):
            reopen(tmp_path)

    def test_crash_at_every_step_of_a_snapshot(self, tmp_path, monkeypatch):
        """Guards against losing the state in a crash during a snapshot.

        The process crashes between any two steps from one generation of files
        to the next; the old files must not be removed before the new ones are
        complete.
        """
        snapshot = Snapshot(2, 1, (), b"state")
        syncs = {"left": 0}
        real = os.fsync

        def fsync(handle):
            syncs["left"] -= 1
            if syncs["left"] < 0:
                raise OSError(errno.EIO, "power loss")
            real(handle)

        monkeypatch.setattr(os, "fsync", fsync)
        for allowed in range(8):
            path = tmp_path / str(allowed)
            syncs["left"] = 1000
            write_journal(path)
            store = open_store(path)
            store.recover()
            syncs["left"] = allowed
            try:
                store.write([Persist(9, HARD, entries(3), snapshot)])
                done = True
            except SyncFailedError:
                done = False
            store.close()
            syncs["left"] = 1000
            found = reopen(path)
            if found.snapshot is None:
                assert not done
                assert found.entries == entries(1, 2, 3)
            else:
                assert found.snapshot == snapshot
                assert found.entries == entries(3)
            assert found.hard == HARD


class TestFailures:
    """Full disks and failed syncs."""

    @pytest.mark.parametrize("step", ["_write_one", "_sync"])
    def test_writes_are_rejected_after_any_error(
        self, tmp_path, monkeypatch, step
    ):
        """Guards against a lost write that a later one reports as synced."""
        store = open_store(tmp_path)
        store.recover()

        def fail(*arguments):
            raise MemoryError

        monkeypatch.setattr(store, step, fail)
        with pytest.raises(SyncFailedError):
            store.write([Persist(1, hard=HARD)])
        monkeypatch.undo()
        with pytest.raises(SyncFailedError):
            store.write([Persist(2, entries=entries(1))])
        store.close()

    def test_snapshot_keeps_incomplete_files_of_others(self, tmp_path):
        """Guards against a snapshot that fails as rows are being stored.

        Another thread replaces a file of the folder at the same time.
        """
        store = open_store(tmp_path)
        store.recover()
        incomplete = tmp_path / "searchers.bin.new"
        incomplete.write_bytes(b"rows")
        store.write([Persist(1, HARD, (), Snapshot(3, 1, (), b""))])
        store.close()
        assert incomplete.exists()

    def test_close_after_a_failed_write_releases_the_folder(self, tmp_path):
        """Guards against a folder that stays locked after a full disk.

        Closing the journal writes the rest of its buffer, which fails again.
        """
        store = open_store(tmp_path)
        store.recover()
        store._journal.close()
        store._journal = FULL_DISK.open("r+b")
        with pytest.raises(SyncFailedError):
            store.write([Persist(1, hard=HARD)])
        store.close()
        reopen(tmp_path)

    def test_marked_as_used_once_the_disk_accepts_writes(
        self, tmp_path, monkeypatch
    ):
        """Guards against a lost journal that is taken for a new folder.

        The disk was full when the folder was to be marked as used.
        """
        errors = [OSError(errno.ENOSPC, "No space left on device")]
        write = DataFolder.write_atomically

        def fail_once(folder, name, data):
            if name == "USED" and errors:
                raise errors.pop()
            write(folder, name, data)

        monkeypatch.setattr(DataFolder, "write_atomically", fail_once)
        store = open_store(tmp_path)
        with pytest.raises(OSError, match="No space"):
            store.recover()
        store.close()
        reopen(tmp_path)
        journal(tmp_path).unlink()
        with pytest.raises(CorruptRecordError):
            reopen(tmp_path)

    def test_newest_name_is_durable_before_older_files_are_removed(
        self, tmp_path, monkeypatch
    ):
        """Guards against losing both generations to a loss of power.

        A process is killed after it renamed the files of a new generation and
        before it synced the directory. The next start removes the old files;
        without a sync a loss of power may undo the renaming only.
        """
        write_journal(tmp_path)
        snapshot = Snapshot(3, 1, (), b"")
        steps = []

        def die(folder):
            steps.append("killed")
            raise KeyboardInterrupt

        store = open_store(tmp_path)
        store.recover()
        start = Store._start_generation

        def start_killed(self, *arguments):
            monkeypatch.setattr(DataFolder, "sync_directory", die)
            start(self, *arguments)

        monkeypatch.setattr(Store, "_start_generation", start_killed)
        with pytest.raises(KeyboardInterrupt):
            store.write([Persist(9, HARD, entries(4), snapshot)])
        store.close()
        unlink = Path.unlink

        def record_unlink(path, *arguments, **options):
            steps.append(f"remove {path.name}")
            unlink(path, *arguments, **options)

        monkeypatch.setattr(Path, "unlink", record_unlink)
        monkeypatch.setattr(
            DataFolder, "sync_directory", lambda _: steps.append("sync")
        )
        reopen(tmp_path)
        assert steps.index("sync") < steps.index("remove journal-1.bin")

    @pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
    def test_writes_are_rejected_after_a_failed_sync(
        self, tmp_path, monkeypatch, code
    ):
        """Guards against losing an acknowledged entry after a failed sync.

        A sync fails and the kernel drops the data. The next sync succeeds, as
        nothing is left to write, so the store must reject further writes.
        """
        store = open_store(tmp_path)
        store.recover()

        def fail(_):
            raise OSError(code, os.strerror(code))

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(SyncFailedError):
            store.write([Persist(1, entries=entries(1))])
        monkeypatch.undo()
        with pytest.raises(SyncFailedError):
            store.write([Persist(2, entries=entries(2))])
        store.close()


class TestFolder:
    """Lock, owner, format and identity of a folder."""

    def test_two_processes_on_one_folder(self, tmp_path):
        first = DataFolder(tmp_path, "c1")
        with pytest.raises(FolderLockedError):
            DataFolder(tmp_path, "c1")
        first.close()
        DataFolder(tmp_path, "c1").close()

    def test_folder_of_another_instance(self, tmp_path):
        DataFolder(tmp_path, "c1").close()
        with pytest.raises(FolderMismatchError, match="belongs to c1"):
            DataFolder(tmp_path, "c2")

    def test_unknown_format(self, tmp_path):
        DataFolder(tmp_path, "c1").close()
        file = tmp_path / "FORMAT.json"
        text = file.read_text().replace(
            '"format_version": 1', '"format_version": 2'
        )
        file.write_text(text)
        with pytest.raises(FolderMismatchError, match="format 2"):
            DataFolder(tmp_path, "c1")

    def test_new_folder_has_a_new_identity(self, tmp_path):
        one = DataFolder(tmp_path / "one", "c1")
        two = DataFolder(tmp_path / "two", "c1")
        assert one.format.identity != two.format.identity
        one.close()
        two.close()


class TestBounds:
    """The size of the folder stays bounded over many changes."""

    def test_folder_after_500_changes_with_snapshots(self, tmp_path):
        store = open_store(tmp_path)
        store.recover()
        sizes = []
        for index in range(1, 501):
            command = ApplyDocument(f"a{index}", index - 1, "x" * 2000, 0.0)
            entry = LogEntry(index, 1, command)
            if index % 50:
                store.write([Persist(index, entries=(entry,))])
            else:
                snapshot = Snapshot(index, 1, (), b"x" * 2000)
                store.write([Persist(index, HARD, (), snapshot)])
                sizes.append(sum(f.stat().st_size for f in tmp_path.iterdir()))
        store.close()
        assert max(sizes) < 2 * min(sizes)
        found = reopen(tmp_path)
        assert found.snapshot.index == 500


class TestLossOfPower:
    """Each write since the last sync may be missing, torn or present."""

    @pytest.mark.parametrize("batches", [(1, 1), (3,), (1, 2)])
    def test_synced_records_survive_any_unsynced_ones(self, tmp_path, batches):
        """Guards against a folder that is emptied although nothing is lost.

        The writes of some batches, with the mark before them, reach the disk
        in any combination; none of them was synced.
        """
        path = tmp_path / "d"
        write_journal(path, 2)
        mark = records.frame(records.SYNC_MARK)
        synced = journal(path).read_bytes().removesuffix(mark)
        numbers = itertools.count(3)
        writes = [mark]
        for size in batches:
            writes += [
                records.frame(b"E" + codec.encode(entry))
                for entry in entries(*itertools.islice(numbers, size))
            ]
        for states in itertools.product("mtp", repeat=len(writes)):
            journal(path).write_bytes(synced + leave(writes, states))
            found = reopen(path)
            assert found.hard == HARD
            assert found.entries[:2] == entries(1, 2)
            assert len(found.entries) <= 2 + sum(batches)

    def test_mark_is_written_after_a_sync(self, tmp_path, monkeypatch):
        """Guards against a mark behind records that were never synced.

        A killed process left unsynced records, which its successor reads.
        """
        write_journal(tmp_path)
        sizes = []
        real = os.fsync

        def fsync(descriptor):
            sizes.append(os.fstat(descriptor).st_size)
            real(descriptor)

        size = journal(tmp_path).stat().st_size
        monkeypatch.setattr(os, "fsync", fsync)
        store = open_store(tmp_path)
        store.recover()
        store.close()
        assert size in sizes


def leave(writes, states):
    """Returns what a loss of power leaves of unsynced writes.

    Args:
        writes: the records, in order.
        states: for each, ``m`` missing, ``t`` torn or ``p`` present.
    """
    kept = []
    for write, state in zip(writes, states, strict=True):
        size = {"m": 0, "t": len(write) // 2, "p": len(write)}[state]
        kept.append(write[:size] + bytes(len(write) - size))
    return b"".join(kept)
