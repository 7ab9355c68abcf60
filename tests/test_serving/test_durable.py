"""The data folder of a control instance."""

from __future__ import annotations

import asyncio

from greengagemoor.feed.messages import KnownPeers
from greengagemoor.serving.durable import ENTRIES, Durable

FOUNDERS = {"127.0.0.2": "127.0.0.2:7740", "127.0.0.3": "127.0.0.3:7740"}


def open_folder(path, founders, damage=None):
    """Opens a folder as a process does at its start; returns what it holds."""

    async def run():
        durable = Durable(str(path), "127.0.0.1", lambda _: None, founders)
        opened = await durable.open()
        if damage is not None:
            await durable.close()
            damage()
            opened = await durable.open()
        await durable.close()
        return opened

    return asyncio.run(run())


class TestFounders:
    """Who may found is kept with the folder that was told so, and no other."""

    def test_kept_over_a_restart_that_is_not_told(self, tmp_path):
        first = open_folder(tmp_path / "d", FOUNDERS)
        second = open_folder(tmp_path / "d", None)
        assert first.founders == second.founders == FOUNDERS
        assert first.member_id == second.member_id

    def test_a_folder_that_was_not_told_may_not(self, tmp_path):
        open_folder(tmp_path / "d", None)
        assert open_folder(tmp_path / "d", FOUNDERS).founders is None

    def test_gone_with_the_disk(self, tmp_path):
        open_folder(tmp_path / "a", FOUNDERS)
        assert open_folder(tmp_path / "b", None).founders is None

    def test_an_emptied_folder_forgets_it(self, tmp_path):
        """It may have belonged to a group, though the process was told."""

        def damage():
            for path in (tmp_path / "d").glob("journal-*.bin"):
                path.write_bytes(b"")

        opened = open_folder(tmp_path / "d", FOUNDERS, damage)
        assert opened.founders is None


class TestEntries:
    """How many entries there were is known again after a restart."""

    def test_kept_over_a_restart(self, tmp_path):
        async def run():
            first = Durable(str(tmp_path / "d"), "127.0.0.1", lambda _: None)
            await first.open()
            before = first.kept_entries()
            await first.keep(ENTRIES, KnownPeers((), 191))
            await first.close()
            second = Durable(str(tmp_path / "d"), "127.0.0.1", lambda _: None)
            await second.open()
            await second.close()
            return before, second.kept_entries()

        assert asyncio.run(run()) == (0, 191)

    def test_damaged_is_not_known(self, tmp_path):
        async def run():
            one = Durable(str(tmp_path / "d"), "127.0.0.1", lambda _: None)
            await one.open()
            (tmp_path / "d" / ENTRIES).write_bytes(b"\xff\xff")
            await one.close()
            return one.kept_entries()

        assert asyncio.run(run()) == 0
