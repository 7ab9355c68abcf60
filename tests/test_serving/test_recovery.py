"""A control instance reopens its data folder after each failure."""

from __future__ import annotations

import asyncio
import threading
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from greengagemoor.control.client import Done
from greengagemoor.control.commands import ChangeMembers, LogEntry, Member
from greengagemoor.control.messages import (
    HardState,
    OpKind,
    Persist,
    Persisted,
    PersistFailed,
    Received,
    Recovered,
    VoteReply,
    VoteRequest,
)
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving import durable_state, recovery
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.durable_state import DurableState, Opened
from greengagemoor.serving.settings import ServingSettings
from greengagemoor.storage.folder import DataFolder
from tests.test_aio.helpers import TEST_TIMEOUT_S, run

FULL_DISK = Path("/dev/full")
"""A device whose writes all fail with ENOSPC."""


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    """Shortens the wait between attempts to open a folder."""
    monkeypatch.setattr(durable_state, "REOPEN_DELAY_S", 0.01)
    monkeypatch.setattr(recovery, "RESTART_INTERVAL_S", 0.01)


def make_app(path):
    """Returns a control instance that has not opened its folder."""
    cfg = ServingSettings(
        "127.0.0.2", "dc1", "127.0.0.2:7740", (), data_folder=str(path)
    )
    return ControlApp(cfg, PlatformDialect())


@asynccontextmanager
async def open_instance(path):
    """Yields a control instance without listeners, its member running."""
    app = make_app(path)
    app._recovery.start()
    try:
        await member_of(app)
        yield app
    finally:
        await app._recovery.stop()
        await app._durable.close()


async def member_of(app, previous=None):
    """Waits for a member other than ``previous``; returns it."""
    while app._decider in (None, previous):
        await asyncio.sleep(0.005)
    return app._decider


def fill_disk(app):
    """Makes all writes to the journal fail, those of its buffer included."""
    store = app._durable._writer._store
    store._journal.close()
    store._journal = FULL_DISK.open("r+b")


class TestFullDisk:
    """A member runs again once its disk accepts writes."""

    def test_member_returns_after_its_disk_was_full(self, tmp_path):
        """Guards against a control instance that runs but never answers.

        Closing the journal writes what is left in its buffer, which fails as
        the write before it did.
        """

        async def play():
            async with open_instance(tmp_path / "d") as app:
                first = app._decider
                fill_disk(app)
                app._durable.write(Persist(1, HardState("", 3, "")))
                return first, await member_of(app, first)

        first, second = run(play())
        assert second.state.member_id == first.state.member_id

    def test_folder_is_opened_once_after_two_failed_writes(
        self, tmp_path, monkeypatch
    ):
        """Guards against two writers of one journal."""
        opened = []
        make = DataFolder.__init__

        def count(folder, *arguments):
            opened.append(folder)
            make(folder, *arguments)

        async def play():
            async with open_instance(tmp_path / "d") as app:
                monkeypatch.setattr(DataFolder, "__init__", count)
                first = app._decider
                for op in (1, 2):
                    app._ticker.put(PersistFailed(op, "full"))
                    await asyncio.sleep(0)
                    app._recovery.start()
                await member_of(app, first)

        run(play())
        assert len(opened) == 1

    def test_nothing_is_released_after_a_failed_write(self, tmp_path):
        """Guards against an acknowledgement that waits for a lost write.

        The failure and the sync of a later write arrive in the same tick.
        """

        async def play():
            async with open_instance(tmp_path / "d") as app:
                first, stepped = app._decider, []
                first.step = lambda now, msgs: stepped.extend(msgs) or []
                app._ticker.put(PersistFailed(1, "full"))
                app._ticker.put(Persisted(2))
                await member_of(app, first)
                return stepped

        assert run(play()) == []


class TestFirstMessage:
    """A member knows its durable state before it handles a message."""

    def test_vote_requested_during_recovery_counts_the_stored_log(self):
        """Guards against two votes in one term after a restart.

        A vote request waits for the tick in which the member starts. A member
        that handled it first would grant it against an empty log, and then
        forget its vote as it learns its stored term.
        """
        member_id = "127.0.0.2#a"
        members = tuple(
            Member(name, name.partition("#")[0], "127.0.0.9:1", voter=True)
            for name in (member_id, "b#1", "c#1")
        )
        stored = LogEntry(1, 5, ChangeMembers(members, time=0.0))
        request = VoteRequest(
            group="g",
            source="b#1",
            target=member_id,
            term=9,
            last_index=0,
            last_term=0,
            pre=False,
        )

        async def play():
            app = make_app("unused")
            sent = []
            app._links.send = sent.append
            written = []
            app._durable.write = written.append
            app._ticker.put(Received("b", request, "127.0.0.9:2"))
            recovered = Recovered(HardState("g", 5, "c#1"), None, (stored,))
            app._start_member(Opened(member_id, recovered, None))
            await asyncio.sleep(0)
            for operation in written:
                app._ticker.put(Persisted(operation.op))
            await asyncio.sleep(0.01)
            return app._decider.state, sent

        state, sent = run(play())
        replies = [m.payload for m in sent if isinstance(m.payload, VoteReply)]
        assert not any(reply.granted for reply in replies)
        assert state.term == 9


class TestUnexpectedErrors:
    """No error ends the attempts to open the folder."""

    @pytest.mark.parametrize("error", [RuntimeError, MemoryError, KeyError])
    def test_opening_is_tried_again(self, tmp_path, monkeypatch, error):
        """Guards against a member that an unexpected error keeps out."""
        errors = [error("once"), error("twice")]
        make = DataFolder.__init__

        def fail_twice(folder, *arguments):
            if errors:
                raise errors.pop()
            make(folder, *arguments)

        monkeypatch.setattr(DataFolder, "__init__", fail_twice)

        async def play():
            async with open_instance(tmp_path / "d") as app:
                return app._decider

        assert run(play()) is not None
        assert not errors

    def test_damaged_folder_is_emptied_once_files_can_be_removed(
        self, tmp_path, monkeypatch
    ):
        """Guards against an error while the folder is emptied."""
        errors = [OSError("read-only"), FileNotFoundError("removed")]
        unlink = Path.unlink

        def fail_twice(path, *arguments, **options):
            if errors and path.parent.name == "d":
                raise errors.pop()
            unlink(path, *arguments, **options)

        async def play():
            async with open_instance(tmp_path / "d") as app:
                return app._decider.state.member_id

        first = run(play())
        for path in (tmp_path / "d").glob("journal-*.bin"):
            path.write_bytes(b"")
        monkeypatch.setattr(Path, "unlink", fail_twice)
        second = run(play())
        assert second != first
        assert not errors

    def test_restored_rows_that_fail_do_not_stop_the_member(
        self, tmp_path, monkeypatch
    ):
        """Guards against stored rows that keep the member from starting."""
        errors = [ValueError("rows")]

        def fail_once(hub, now):
            if errors:
                raise errors.pop()

        monkeypatch.setattr(recovery.HubStorage, "restore", fail_once)

        async def play():
            async with open_instance(tmp_path / "d") as app:
                return app._decider

        assert run(play()) is not None
        assert not errors


class TestFailedStep:
    """An exception in a tick affects no other part of the instance."""

    def test_member_restarts_after_its_step_raised(self, tmp_path, monkeypatch):
        """Guards against a lost write that a later sync reports as durable."""

        def fail(*arguments):
            raise KeyError("state")

        async def play():
            async with open_instance(tmp_path / "d") as app:
                first = app._decider
                first.step = fail
                app._ticker.tick()
                hub_step = app._hub.step
                steps = []
                app._hub.step = lambda *arguments: (
                    steps.append(arguments) or hub_step(*arguments)
                )
                app._ticker.tick()
                return first, await member_of(app, first), steps

        first, second, steps = run(play())
        assert second.state.member_id == first.state.member_id
        assert steps

    def test_write_is_kept_if_another_message_fails(
        self, tmp_path, monkeypatch
    ):
        """Guards against a write that is lost with a message before it."""
        hard = HardState("", 7, "")

        async def play():
            async with open_instance(tmp_path / "d") as app:
                app._decider.step = lambda *_: [
                    Done(1, OpKind.PUT, None),
                    Persist(1, hard),
                    Done(2, OpKind.PUT, None),
                ]
                completed = []

                def complete(msg):
                    completed.append(msg.token)
                    raise KeyError(msg.token)

                app._calls.complete = complete
                app._ticker.tick()
                return completed[:2]

        assert run(play()) == [1, 2]
        stored = DurableState(str(tmp_path / "d"), "127.0.0.2", print)

        async def reopen():
            opened = await stored.open()
            await stored.close()
            return opened.recovered.hard

        assert run(reopen()) == hard


class TestStop:
    """A stopping instance leaves no thread behind."""

    def test_stops_while_its_disk_is_full(self, tmp_path, monkeypatch):
        """Guards against a folder that is opened after the instance stopped."""

        def fail(folder, *arguments):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(DataFolder, "__init__", fail)

        async def play():
            app = make_app(tmp_path / "d")
            app._recovery.start()
            await asyncio.sleep(0.05)
            await app._recovery.stop()
            await app._durable.close()
            monkeypatch.undo()
            await asyncio.sleep(0.05)
            return app

        app = run(play())
        assert app._decider is None
        assert app._durable._writer is None

    def test_folder_is_closed_if_stopped_while_it_is_opened(
        self, tmp_path, monkeypatch
    ):
        """Guards against a disk thread that keeps a stopped process alive."""
        opening, may_go_on = threading.Event(), threading.Event()
        make = DataFolder.__init__

        def wait(folder, *arguments):
            opening.set()
            may_go_on.wait(TEST_TIMEOUT_S)
            make(folder, *arguments)

        monkeypatch.setattr(DataFolder, "__init__", wait)

        async def play():
            app = make_app(tmp_path / "d")
            app._recovery.start()
            await asyncio.to_thread(opening.wait, TEST_TIMEOUT_S)
            stopping = asyncio.create_task(app._recovery.stop())
            await asyncio.sleep(0)
            may_go_on.set()
            await stopping
            await app._durable.close()
            app._restart_member()
            return app, app._recovery.is_running

        before = set(threading.enumerate())
        app, is_restarted = run(play())
        started = set(threading.enumerate()) - before
        writer = app._durable._writer
        if writer is not None:
            # The thread of a failed test would keep the test run alive.
            writer.stop()
        assert writer is None
        assert not is_restarted
        assert "disk" not in {thread.name for thread in started}
