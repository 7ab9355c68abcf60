"""What a control instance has acknowledged, over its kill."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import attrs

from greengagemoor.aio.requests import HttpRequest
from greengagemoor.control.messages import Received
from greengagemoor.feed.messages import (
    LinkUp,
    RowsTaken,
    SearcherKey,
    SearcherRows,
    SearcherState,
    Subscribe,
    Suspect,
    SuspectRows,
)
from greengagemoor.feed.suspects import Standing
from greengagemoor.platform.dialect import PlatformDialect
from greengagemoor.serving import hub_storage
from greengagemoor.serving.control import ControlApp
from greengagemoor.serving.operators import EvacuationPage
from greengagemoor.serving.settings import ServingSettings
from greengagemoor.shell.clock import BootClock
from greengagemoor.storage.folder import DataFolder
from tests.test_aio.helpers import run
from tests.test_platform.test_malformed_input import BEAT

NAME = "127.0.0.2"
PEER_ADDRESS = "127.0.0.2:7740"


@attrs.define
class Caller:
    """Waits for the answer to a call."""

    status: asyncio.Future = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    established_after: float = attrs.field(factory=lambda: BootClock().now())
    handshake_s: float = 0.0

    def reply(self, req, status, headers, body, *, close=False):
        self.status.set_result(status)


class Instance:
    """A group of one control instance, linked to one entry.

    Attributes:
        states: of the searchers, as last sent to the entry.
    """

    def __init__(self, path):
        cfg = ServingSettings(
            NAME,
            "dc1",
            PEER_ADDRESS,
            (PEER_ADDRESS,),
            new_group=True,
            metrics_address="127.0.0.2:9464",
            data_folder=str(path),
        )
        self.app = ControlApp(cfg, PlatformDialect())
        self.app._links.send = self._send
        self.states = {}

    def _send(self, msg):
        if isinstance(msg.payload, SearcherRows):
            for row in msg.payload.rows:
                self.states[row.searcher_id] = row.state
            taken = RowsTaken(msg.payload.number)
            self.app._ticker.put(Received("e1", taken))

    async def start(self):
        app = self.app
        app._recovery.start()
        self.task = asyncio.create_task(app._recovery.storage.run())
        while app._decider is None or not app._decider.state.group:
            await asyncio.sleep(0.005)
        app._ticker.put(LinkUp("e1"))
        subscribe = Subscribe("e1", "127.0.1.1:80", "dc1", ready=True)
        app._ticker.put(Received("e1", subscribe))
        await asyncio.sleep(0.01)

    async def call(self, verb, body):
        caller = Caller()
        target = f"/v1/instances/i1/{verb}"
        data = json.dumps(body).encode()
        self.app.calls.handle_request(
            HttpRequest("POST", target, [], data, 0.0, caller)
        )
        return await caller.status

    def pages(self):
        """Returns the pages at the metrics address."""
        return next(
            server._handler
            for server in self.app._servers
            if isinstance(server._handler, EvacuationPage)
        )

    async def kill(self):
        """Ends it; what it has not stored by now is lost."""
        self.task.cancel()
        await self.app._durable.close()


@asynccontextmanager
async def running(path):
    instance = Instance(path)
    await instance.start()
    try:
        yield instance
    finally:
        await instance.kill()


async def leave_and_restart(path, *, before_leave=lambda: None):
    """Returns the status of a leave, and the state after a restart."""
    async with running(path) as instance:
        assert await instance.call("heartbeat", BEAT) == 200
        # The row of the ready searcher is stored.
        await asyncio.sleep(0.1)
        before_leave()
        status = await instance.call("leave", {})
    async with running(path) as instance:
        return status, instance.states["i1"]


class TestKill:
    """The process is killed as soon as it has acknowledged a leave."""

    def test_searcher_that_left_stays_gone(self, tmp_path, monkeypatch):
        """Guards against requests to a searcher that has left."""
        monkeypatch.setattr(hub_storage, "STORE_INTERVAL_S", 0.03)
        result = run(leave_and_restart(tmp_path / "d"))
        assert result == (200, SearcherState.GONE)

    def test_leave_is_not_acknowledged_while_the_disk_is_full(
        self, tmp_path, monkeypatch
    ):
        """Guards against acknowledging what the next start does not know."""
        monkeypatch.setattr(hub_storage, "STORE_INTERVAL_S", 0.03)
        write = DataFolder.write_atomically

        def fail(folder, name, data):
            if name.endswith(".bin"):
                raise OSError(28, "No space left on device")
            write(folder, name, data)

        def fill():
            monkeypatch.setattr(DataFolder, "write_atomically", fail)

        status, _ = run(leave_and_restart(tmp_path / "d", before_leave=fill))
        assert status == 503

    def test_leave_is_acknowledged_once_the_disk_accepts_writes(
        self, tmp_path, monkeypatch
    ):
        """Guards against a departure that is forgotten after a failed write."""
        monkeypatch.setattr(hub_storage, "RETRY_S", 0.01)
        errors = [OSError(28, "No space left on device"), ValueError("once")]
        write = DataFolder.write_atomically

        def fail_twice(folder, name, data):
            if name == "departures.bin" and errors:
                raise errors.pop()
            write(folder, name, data)

        monkeypatch.setattr(DataFolder, "write_atomically", fail_twice)
        result = run(leave_and_restart(tmp_path / "d"))
        assert result == (200, SearcherState.GONE)
        assert not errors


class TestClearedRequest:
    """The process is killed as soon as it has cleared a request."""

    def test_stays_cleared(self, tmp_path):
        """Guards against a cleared request that is quarantined again."""
        keys = tuple(SearcherKey(name, 7) for name in "abc")
        suspect = Suspect(b"q" * 16, ended=keys, failed=keys[:1], sure=True)
        body = json.dumps({"digest": suspect.fingerprint.hex()}).encode()

        async def play():
            async with running(tmp_path / "d") as instance:
                rows = Received("e1", SuspectRows((suspect,)))
                instance.app._ticker.put(rows)
                await asyncio.sleep(0)
                await instance.app._recovery.storage._store_changes()
                caller = Caller()
                instance.pages().handle_request(
                    HttpRequest("POST", "/quarantine", [], body, 0.0, caller)
                )
                assert await caller.status == 200
            async with running(tmp_path / "d") as instance:
                return instance.app._hub.suspects.table.rows(*Standing)

        (row,) = run(play())
        assert row.epoch == 1
