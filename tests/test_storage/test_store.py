"""The data folder through crashes, damage and failing disks."""

from __future__ import annotations

import errno
import os

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
from greengagemoor.storage.folder import DataFolder
from greengagemoor.storage.store import Store

HARD = HardState("group-1", 3, "c1#x")


def open_store(path, owner: str = "c1") -> Store:
    """Opens the store of a folder."""
    return Store(DataFolder(path, owner))


def entries(*indexes: int, term: int = 1) -> tuple[LogEntry, ...]:
    """Returns log entries."""
    return tuple(LogEntry(i, term, NoOp(float(i))) for i in indexes)


def fill(path, count: int = 3) -> None:
    """Writes a vote and some entries, one sync each."""
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
    """Returns the journal file."""
    return max(path.glob("journal-*.bin"))


class TestRecovery:
    """What a restart finds."""

    def test_all_that_was_synced(self, tmp_path):
        fill(tmp_path)
        found = reopen(tmp_path)
        assert found.hard == HARD
        assert found.entries == entries(1, 2, 3)

    def test_replaced_tail(self, tmp_path):
        fill(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        store.write([Persist(9, entries=entries(2, term=2))])
        store.close()
        found = reopen(tmp_path)
        assert found.entries == entries(1) + entries(2, term=2)

    @pytest.mark.parametrize("cut", range(1, 30))
    def test_torn_tail_is_dropped(self, tmp_path, cut):
        """A crash in the middle of a write.

        Symptom: a member does not start after a power loss.
        Sequence: the last record is half written; it was never synced, and
        nobody was told of it.
        Cause: a torn record is taken for damage.
        """
        fill(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        before = journal(tmp_path).stat().st_size
        store.write([Persist(9, entries=entries(4))])
        store.close()
        file = journal(tmp_path)
        os.truncate(file, before + cut)
        assert reopen(tmp_path).entries == entries(1, 2, 3)
        assert reopen(tmp_path).entries == entries(1, 2, 3)

    def test_flipped_bit_in_a_synced_record_is_refused(self, tmp_path):
        """A member that forgets without a word.

        Symptom: an accepted document is gone after a restart.
        Sequence: a bit of a synced record flips on the disk; the member
        starts with the records before it, and votes.
        Cause: damage is taken for a torn tail.
        """
        fill(tmp_path)
        file = journal(tmp_path)
        good = file.read_bytes()
        for position in range(20, len(good) - 20, 7):
            damaged = bytearray(good)
            damaged[position] ^= 0x10
            file.write_bytes(bytes(damaged))
            with pytest.raises(CorruptRecordError):
                reopen(tmp_path)

    def test_truncated_snapshot_is_refused(self, tmp_path):
        fill(tmp_path)
        store = open_store(tmp_path)
        store.recover()
        snapshot = Snapshot(2, 1, (), b"x" * 500)
        store.write([Persist(9, HARD, entries(3), snapshot)])
        store.close()
        file = max(tmp_path.glob("snapshot-*.bin"))
        os.truncate(file, 100)
        with pytest.raises(CorruptRecordError):
            reopen(tmp_path)

    def test_lost_journal_is_refused(self, tmp_path):
        fill(tmp_path)
        journal(tmp_path).unlink()
        with pytest.raises(CorruptRecordError):
            reopen(tmp_path)

    def test_crash_at_every_step_of_a_snapshot(self, tmp_path, monkeypatch):
        """Neither the old state nor the new one.

        Symptom: a member comes back empty after a crash while it saved.
        Sequence: the process dies between any two steps of the change from
        one generation of files to the next.
        Cause: the old files are removed before the new ones are whole.
        """
        snapshot = Snapshot(2, 1, (), b"state")
        steps = {"left": 0}
        real = os.fsync

        def fsync(handle):
            steps["left"] -= 1
            if steps["left"] < 0:
                raise OSError(errno.EIO, "power loss")
            real(handle)

        monkeypatch.setattr(os, "fsync", fsync)
        for allowed in range(8):
            path = tmp_path / str(allowed)
            steps["left"] = 1000
            fill(path)
            store = open_store(path)
            store.recover()
            steps["left"] = allowed
            try:
                store.write([Persist(9, HARD, entries(3), snapshot)])
                done = True
            except SyncFailedError:
                done = False
            store.close()
            steps["left"] = 1000
            found = reopen(path)
            if found.snapshot is None:
                assert not done
                assert found.entries == entries(1, 2, 3)
            else:
                assert found.snapshot == snapshot
                assert found.entries == entries(3)
            assert found.hard == HARD


class TestFailures:
    """Disks that are full or fail to sync."""

    @pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
    def test_nothing_counts_as_durable_after_a_failed_sync(
        self, tmp_path, monkeypatch, code
    ):
        """A sync that fails once and then seems to work.

        Symptom: an acknowledged entry is missing after a crash.
        Sequence: a sync fails; the kernel drops the data; the next sync
        succeeds, since nothing is left to write.
        Cause: writing goes on after the failure.
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
    """Whose folder it is."""

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

    def test_newer_format(self, tmp_path):
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
    """Restart time and folder size stay bounded over many changes."""

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
