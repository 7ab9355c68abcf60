"""Storage of a hub's state, for restarts of a control instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import KnownPeers
from greengagemoor.serving.durable_state import (
    ENTRIES,
    OTHER_ROWS,
    OWN_ROWS,
    SUSPECTS,
)

if TYPE_CHECKING:
    from greengagemoor.feed.hub import FeedHub
    from greengagemoor.serving.durable_state import DurableState

STORE_INTERVAL_S = 1.0
"""Seconds between checks for changes. A file is written only after a change: a
few KB and a sync."""


class HubStorage:
    """Stores a hub's state in the data folder and restores it at a start."""

    def __init__(self, hub: FeedHub, durable: DurableState):
        self._hub = hub
        self._durable = durable
        self._stored: dict[str, int] = {}
        """Versions of the stored contents, by file name."""

    def restore(self, now: float) -> None:
        """Restores the hub from the state stored before the restart."""
        hub, durable = self._hub, self._durable
        hub.restore(now, durable.load_searchers(OWN_ROWS))
        hub.restore_peer_rows(now, durable.load_searchers(OTHER_ROWS))
        hub.restore_entry_count(now, durable.load_entry_count())
        hub.suspects.restore(durable.load_suspects())
        # The folder may have been emptied, so all is written again.
        self._stored.clear()

    async def run(self) -> None:
        """Stores changes until it is cancelled."""
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            await self._store_changes()

    async def _store_changes(self) -> None:
        """Stores what has changed; keeps for later what could not be stored."""
        hub = self._hub
        for name, version, content in (
            (
                SUSPECTS,
                hub.suspects.table.changes,
                hub.suspects.rows_to_store,
            ),
            (OWN_ROWS, hub.number, hub.rows_to_store),
            (OTHER_ROWS, hub.peer_rows_version, hub.peer_rows_to_store),
            (ENTRIES, hub.recent_entry_count, self._entry_count),
        ):
            is_changed = version != self._stored.get(name, 0)
            if is_changed and await self._durable.store(name, content()):
                self._stored[name] = version

    def _entry_count(self) -> KnownPeers:
        return KnownPeers((), self._hub.recent_entry_count)
