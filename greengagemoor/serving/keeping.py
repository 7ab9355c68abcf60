"""Storage of a hub's state, for restarts of a control instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagemoor.feed.messages import KnownPeers
from greengagemoor.serving.durable import (
    ENTRIES,
    OTHER_ROWS,
    OWN_ROWS,
    SUSPECTS,
)

if TYPE_CHECKING:
    from greengagemoor.feed.hub import Hub
    from greengagemoor.serving.durable import Durable

STORE_INTERVAL_S = 1.0
"""Seconds between checks for changes. A file is written only after a change: a
few KB and a sync."""


class Keeper:
    """Stores a hub's state in the data folder and restores it at a start."""

    def __init__(self, hub: Hub, durable: Durable):
        self._hub = hub
        self._durable = durable
        self._stored_suspect_changes = 0

    def restore(self, now: float) -> None:
        """Restores the hub from the state stored before the restart."""
        hub, durable = self._hub, self._durable
        hub.begin_with(now, durable.kept_rows(OWN_ROWS))
        hub.begin_with_others(now, durable.kept_rows(OTHER_ROWS))
        hub.begin_with_entries(now, durable.kept_entries())
        hub.suspects.begin_with(durable.kept_suspects())
        # The folder may have been emptied, so known suspects are written again.
        self._stored_suspect_changes = 0

    async def run(self) -> None:
        """Stores changes until it is cancelled."""
        hub, durable = self._hub, self._durable
        own_version, others_version, entries = hub.number, hub.others_number, 0
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            if hub.suspects.table.changes != self._stored_suspect_changes:
                self._stored_suspect_changes = hub.suspects.table.changes
                await durable.keep(SUSPECTS, hub.suspects.kept())
            if hub.number != own_version:
                own_version = hub.number
                await durable.keep(OWN_ROWS, hub.kept_rows())
            if hub.others_number != others_version:
                others_version = hub.others_number
                await durable.keep(OTHER_ROWS, hub.kept_others())
            if hub.entries_seen != entries:
                entries = hub.entries_seen
                await durable.keep(ENTRIES, KnownPeers((), entries))
