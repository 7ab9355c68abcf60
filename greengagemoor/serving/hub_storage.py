"""Storage of a hub's state, for restarts of a control instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor.aio import background
from greengagemoor.feed.messages import DeparturesStored, KnownPeers
from greengagemoor.serving.durable_state import (
    DEPARTURES,
    ENTRIES,
    OTHER_ROWS,
    OWN_ROWS,
    SUSPECTS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.feed.hub import FeedHub
    from greengagemoor.serving.durable_state import DurableState, Kept

STORE_INTERVAL_S = 1.0
"""Seconds between checks for changes. A file is written only after a change: a
few KB and a sync."""
RETRY_S = 0.1
"""Seconds from a failed write of departures to the next one."""


class HubStorage:
    """Stores a hub's state in the data folder and restores it at a start."""

    def __init__(
        self,
        hub: FeedHub,
        durable: DurableState,
        put: Callable[[object], None],
    ):
        """Stores nothing yet.

        Args:
            hub: its state is stored.
            durable: the data folder.
            put: receives ``DeparturesStored``.
        """
        self._hub = hub
        self._durable = durable
        self._put = put
        self._stored: dict[str, int] = {}
        """Versions of the stored contents, by file name."""
        self._departures_due = asyncio.Event()
        self._suspects_lock = asyncio.Lock()

    def restore(self, now: float) -> None:
        """Restores the hub from the state stored before the restart."""
        hub, durable = self._hub, self._durable
        hub.restore(now, durable.load_searchers(OWN_ROWS))
        hub.restore_departures(now, durable.load_searchers(DEPARTURES))
        hub.restore_peer_rows(now, durable.load_searchers(OTHER_ROWS))
        hub.restore_entry_count(now, durable.load_entry_count())
        hub.suspects.restore(durable.load_suspects())
        # The folder may have been emptied, so all is written again.
        self._stored.clear()
        self.store_departures()

    def store_departures(self) -> None:
        """Has the departures stored soon, if the disk does not hold them."""
        if not self._hub.is_stored:
            self._departures_due.set()

    async def run(self) -> None:
        """Stores departures at once, and other changes, until cancelled."""
        await asyncio.gather(self._run_departures(), self._run_interval())

    async def _run_departures(self) -> None:
        """Stores departures as they occur.

        Those that occur during a write share the next one.
        """
        while True:
            await self._departures_due.wait()
            self._departures_due.clear()
            version = self._hub.departures_version
            content = self._hub.departures_to_store()
            try:
                is_stored = await self._durable.store(DEPARTURES, content)
            except Exception as exc:
                background.log_failure("departures", exc)
                is_stored = False
            if is_stored:
                self._put(DeparturesStored(version))
            else:
                await asyncio.sleep(RETRY_S)
                self._departures_due.set()

    async def _run_interval(self) -> None:
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            await self._store_changes()

    async def _store_changes(self) -> None:
        """Stores what has changed; keeps for later what could not be stored."""
        await self.store_suspects()
        hub = self._hub
        for name, version, content in (
            (OWN_ROWS, hub.number, hub.rows_to_store),
            (OTHER_ROWS, hub.peer_rows_version, hub.peer_rows_to_store),
            (ENTRIES, hub.recent_entry_count, self._entry_count),
        ):
            await self._store_if_changed(name, version, content)

    async def store_suspects(self) -> bool:
        """Stores the suspect requests; returns whether the disk holds them."""
        suspects = self._hub.suspects
        async with self._suspects_lock:
            return await self._store_if_changed(
                SUSPECTS, suspects.table.changes, suspects.rows_to_store
            )

    async def _store_if_changed(
        self, name: str, version: int, content: Callable[[], Kept]
    ) -> bool:
        if version != self._stored.get(name, 0):
            if not await self._durable.store(name, content()):
                return False
            self._stored[name] = version
        return True

    def _entry_count(self) -> KnownPeers:
        return KnownPeers((), self._hub.recent_entry_count)
