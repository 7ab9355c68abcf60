"""The data folder of a control instance."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from greengagemoor.control.messages import Received
from greengagemoor.feed.hub import FeedHub
from greengagemoor.feed.messages import (
    DeparturesStored,
    KnownPeers,
    SearcherKey,
    SearcherLeaving,
    Suspect,
    SuspectRows,
)
from greengagemoor.feed.timing import Timing
from greengagemoor.serving import durable_state, hub_storage
from greengagemoor.serving.durable_state import (
    DEPARTURES,
    ENTRIES,
    SUSPECTS,
    DurableState,
)
from greengagemoor.serving.durable_state import FOUNDERS as FOUNDERS_FILE
from greengagemoor.serving.hub_storage import HubStorage
from greengagemoor.storage.folder import FORMAT_FILE, DataFolder

FOUNDERS = {"127.0.0.2": "127.0.0.2:7740", "127.0.0.3": "127.0.0.3:7740"}


def open_folder(path, founders, damage=None):
    """Opens a folder as a process does at its start; returns its state."""

    async def run():
        durable = DurableState(str(path), "127.0.0.1", lambda _: None, founders)
        opened = await durable.open()
        if damage is not None:
            await durable.close()
            damage()
            opened = await durable.open()
        await durable.close()
        return opened

    return asyncio.run(run())


class TestFounders:
    """Founders are stored only in the folder that is created with them."""

    def test_kept_over_a_restart_without_the_setting(self, tmp_path):
        first = open_folder(tmp_path / "d", FOUNDERS)
        second = open_folder(tmp_path / "d", None)
        assert first.founders == second.founders == FOUNDERS
        assert first.member_id == second.member_id

    def test_not_stored_in_an_existing_folder(self, tmp_path):
        open_folder(tmp_path / "d", None)
        assert open_folder(tmp_path / "d", FOUNDERS).founders is None

    def test_lost_with_the_disk(self, tmp_path):
        open_folder(tmp_path / "a", FOUNDERS)
        assert open_folder(tmp_path / "b", None).founders is None

    def test_not_stored_in_an_emptied_folder(self, tmp_path):
        """The member may have belonged to a group, despite the settings."""

        def damage():
            for path in (tmp_path / "d").glob("journal-*.bin"):
                path.write_bytes(b"")

        opened = open_folder(tmp_path / "d", FOUNDERS, damage)
        assert opened.founders is None

    def test_stored_once_the_disk_accepts_writes(self, tmp_path, monkeypatch):
        """Guards against a group that nobody may found.

        The disk is full when the instance starts for the first time.
        """
        errors = [OSError(28, "No space left on device")]
        write = DataFolder.write_atomically

        def fail_once(folder, name, data):
            if name == FOUNDERS_FILE and errors:
                raise errors.pop()
            write(folder, name, data)

        monkeypatch.setattr(DataFolder, "write_atomically", fail_once)
        monkeypatch.setattr(durable_state, "REOPEN_DELAY_S", 0.001)
        assert open_folder(tmp_path / "d", FOUNDERS).founders == FOUNDERS
        assert not errors

    @pytest.mark.parametrize("files", range(4))
    def test_stored_if_the_first_start_was_killed(
        self, tmp_path, monkeypatch, files
    ):
        """Guards against a group that nobody may found.

        The process is killed before, between or after the renamings of the
        first files; the settings are the same at its next start.
        """
        rename = Path.rename
        left = [files]

        def rename_until_killed(path, target):
            left[0] -= 1
            if left[0] < 0:
                raise KeyboardInterrupt
            return rename(path, target)

        monkeypatch.setattr(Path, "rename", rename_until_killed)
        durable = DurableState(
            str(tmp_path / "d"), "127.0.0.1", lambda _: None, FOUNDERS
        )
        with contextlib.suppress(KeyboardInterrupt):
            durable._open()
        monkeypatch.undo()
        assert open_folder(tmp_path / "d", FOUNDERS).founders == FOUNDERS

    @pytest.mark.parametrize("content", [None, b"{"])
    def test_not_stored_after_a_lost_identity(self, tmp_path, content):
        """The member may have belonged to a group, despite the settings."""
        open_folder(tmp_path / "d", None)
        path = tmp_path / "d" / FORMAT_FILE
        path.unlink()
        if content is not None:
            path.write_bytes(content)
        assert open_folder(tmp_path / "d", FOUNDERS).founders is None


class TestEmptied:
    """A damaged folder is emptied in an order that a crash can't spoil."""

    @pytest.mark.parametrize("removed", range(5))
    def test_identity_is_new_if_killed_in_between(
        self, tmp_path, monkeypatch, removed
    ):
        """Guards against a member that forgets its vote, but not its identity.

        The process is killed after some files have been removed.
        """
        path = tmp_path / "d"
        first = open_folder(path, FOUNDERS)
        unlink = Path.unlink
        left = [removed]

        def unlink_until_killed(file, *arguments, **options):
            if file.parent == path and file.exists():
                left[0] -= 1
                if left[0] < 0:
                    raise KeyboardInterrupt
            unlink(file, *arguments, **options)

        monkeypatch.setattr(Path, "unlink", unlink_until_killed)
        durable = DurableState(str(path), "127.0.0.1", lambda _: None)
        with contextlib.suppress(KeyboardInterrupt):
            durable._delete_files()
        monkeypatch.undo()
        second = open_folder(path, None)
        was_touched = removed > 0
        assert (second.member_id != first.member_id) == was_touched
        assert (second.founders is None) == was_touched


class TestEntries:
    """The number of entries is restored after a restart."""

    def test_kept_over_a_restart(self, tmp_path):
        async def run():
            first = DurableState(
                str(tmp_path / "d"), "127.0.0.1", lambda _: None
            )
            await first.open()
            before = first.load_entry_count()
            await first.store(ENTRIES, KnownPeers((), 191))
            await first.close()
            second = DurableState(
                str(tmp_path / "d"), "127.0.0.1", lambda _: None
            )
            await second.open()
            await second.close()
            return before, second.load_entry_count()

        assert asyncio.run(run()) == (0, 191)

    def test_zero_if_damaged(self, tmp_path):
        async def run():
            durable = DurableState(
                str(tmp_path / "d"), "127.0.0.1", lambda _: None
            )
            await durable.open()
            (tmp_path / "d" / ENTRIES).write_bytes(b"\xff\xff")
            await durable.close()
            return durable.load_entry_count()

        assert asyncio.run(run()) == 0


SUSPECT = Suspect(b"f" * 16, ended=(SearcherKey("i1", 7),), route="r1")


class TestSuspects:
    """Suspect requests are restored after a restart."""

    def restart(self, path, *received, damage=None):
        """Runs a hub with its storage; returns the hub's rows of suspects."""

        async def run():
            durable = DurableState(str(path), "127.0.0.1", lambda _: None)
            await durable.open()
            hub = FeedHub(Timing(1.0), "c1")
            keeper = HubStorage(hub, durable, lambda _: None)
            keeper.restore(0.0)
            for row in received:
                hub.step(1.0, [Received("e1", SuspectRows((row,)))])
            if damage is not None:
                damage()
                keeper.restore(2.0)
            task = asyncio.create_task(keeper.run())
            await asyncio.sleep(0.1)
            task.cancel()
            await durable.close()
            return hub.suspects.rows_to_store().rows

        return asyncio.run(run())

    def test_kept_over_a_restart(self, tmp_path, monkeypatch):
        monkeypatch.setattr(hub_storage, "STORE_INTERVAL_S", 0.001)
        assert self.restart(tmp_path / "d", SUSPECT) == (SUSPECT,)
        assert self.restart(tmp_path / "d") == (SUSPECT,)

    def test_stored_again_after_the_folder_was_emptied(
        self, tmp_path, monkeypatch
    ):
        """A damaged folder is emptied while the process keeps running."""
        monkeypatch.setattr(hub_storage, "STORE_INTERVAL_S", 0.001)

        def damage():
            (tmp_path / "d" / SUSPECTS).unlink(missing_ok=True)

        self.restart(tmp_path / "d", SUSPECT)
        self.restart(tmp_path / "d", damage=damage)
        assert self.restart(tmp_path / "d") == (SUSPECT,)

    def test_stored_once_the_disk_accepts_writes(self, tmp_path, monkeypatch):
        """Guards against a row that is lost because its write failed once."""
        monkeypatch.setattr(hub_storage, "STORE_INTERVAL_S", 0.001)
        errors = [OSError(28, "No space left on device")]
        write = DataFolder.write_atomically

        def fail_once(folder, name, data):
            if name == SUSPECTS and errors:
                raise errors.pop()
            write(folder, name, data)

        monkeypatch.setattr(DataFolder, "write_atomically", fail_once)
        self.restart(tmp_path / "d", SUSPECT)
        assert not errors
        assert self.restart(tmp_path / "d") == (SUSPECT,)


class TestDepartures:
    """Searchers that drain or have left are stored as soon as they say so."""

    def test_write_that_failed_is_repeated(self, tmp_path, monkeypatch):
        """Guards against an acknowledgement that waits for the next change."""
        monkeypatch.setattr(hub_storage, "RETRY_S", 0.001)
        errors = [OSError(28, "No space left on device"), ValueError("once")]
        write = DataFolder.write_atomically

        def fail_twice(folder, name, data):
            if name == DEPARTURES and errors:
                raise errors.pop()
            write(folder, name, data)

        monkeypatch.setattr(DataFolder, "write_atomically", fail_twice)

        async def run():
            durable = DurableState(
                str(tmp_path / "d"), "127.0.0.1", lambda _: None
            )
            await durable.open()
            hub = FeedHub(Timing(1.0), "c1")
            stored = asyncio.get_running_loop().create_future()
            storage = HubStorage(hub, durable, stored.set_result)
            task = asyncio.create_task(storage.run())
            hub.step(1.0, [SearcherLeaving(1, "i1", 7)])
            storage.store_departures()
            try:
                message = await asyncio.wait_for(stored, 2.0)
            finally:
                task.cancel()
                await durable.close()
            rows = durable.load_searchers(DEPARTURES)
            return message, [row.key for row in rows]

        message, keys = asyncio.run(run())
        assert message == DeparturesStored(1)
        assert keys == [SearcherKey("i1", 7)]
        assert not errors
