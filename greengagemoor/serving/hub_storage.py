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
        self._stored_suspect_changes = 0

    def restore(self, now: float) -> None:
        """Restores the hub from the state stored before the restart."""
        hub, durable = self._hub, self._durable
        hub.restore(now, durable.load_searchers(OWN_ROWS))
        hub.restore_peer_rows(now, durable.load_searchers(OTHER_ROWS))
        hub.restore_entry_count(now, durable.load_entry_count())
        hub.suspects.restore(durable.load_suspects())
        # The folder may have been emptied, so known suspects are written again.
        self._stored_suspect_changes = 0

    async def run(self) -> None:
        """Stores changes until it is cancelled."""
        hub, durable = self._hub, self._durable
        own_version, others_version, entries = (
            hub.number,
            hub.peer_rows_version,
            0,
        )
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            if hub.suspects.table.changes != self._stored_suspect_changes:
                self._stored_suspect_changes = hub.suspects.table.changes
                await durable.store(SUSPECTS, hub.suspects.rows_to_store())
            if hub.number != own_version:
                own_version = hub.number
                await durable.store(OWN_ROWS, hub.rows_to_store())
            if hub.peer_rows_version != others_version:
                others_version = hub.peer_rows_version
                await durable.store(OTHER_ROWS, hub.peer_rows_to_store())
            if hub.recent_entry_count != entries:
                entries = hub.recent_entry_count
                await durable.store(ENTRIES, KnownPeers((), entries))
