"""Starts the group member of a control instance from its data folder."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from greengagemoor.aio import background
from greengagemoor.control.decider import ControlDecider
from greengagemoor.control.state import Timing
from greengagemoor.serving.hub_storage import HubStorage

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.feed.hub import FeedHub
    from greengagemoor.serving.durable_state import DurableState, Opened
    from greengagemoor.serving.settings import ServingSettings
    from greengagemoor.shell.clock import Clock

HEARTBEAT_S = 0.15
ELECTION_S = 0.6
"""Four heartbeats; a failed leader is replaced within two seconds."""
RESTART_INTERVAL_S = 0.5
"""Shortest time between two starts of the member."""
JOIN_S = 0.25
"""Interval of the join requests of a control instance outside the group."""


class MemberRecovery:
    """Opens the data folder and starts the group member stored there.

    At most one recovery runs at a time: two open journals of one folder would
    overwrite each other's records.
    """

    def __init__(
        self,
        durable: DurableState,
        hub: FeedHub,
        clock: Clock,
        start_member: Callable[[Opened], None],
        put: Callable[[object], None],
    ):
        """Does nothing yet; ``start`` opens the folder.

        Args:
            durable: the data folder.
            hub: its state is restored from the folder as well.
            clock: clock of the deciders.
            start_member: starts the member stored in an opened folder.
            put: receives ``DeparturesStored``.
        """
        self.storage = HubStorage(hub, durable, put)
        self._durable = durable
        self._clock = clock
        self._start_member = start_member
        self._task: asyncio.Task | None = None
        self._started_at = float("-inf")
        self._stopping = False

    @property
    def is_running(self) -> bool:
        """Whether the folder is being opened."""
        return self._task is not None and not self._task.done()

    def start(self) -> None:
        """Starts a recovery, unless one is running or the instance stops."""
        if not self._stopping and not self.is_running:
            self._task = background.spawn("recover", self._run())

    async def stop(self) -> None:
        """Cancels a recovery that is running, and starts no other one."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        wait_s = self._started_at + RESTART_INTERVAL_S - self._clock.now()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        opened = await self._durable.open()
        self._started_at = self._clock.now()
        try:
            self.storage.restore(self._clock.now())
        except Exception as exc:
            # Searchers announce their rows again; the member needs none.
            background.log_failure("restore", exc)
        self._start_member(opened)


def make_member(
    opened: Opened, cfg: ServingSettings, rng: random.Random
) -> ControlDecider:
    """Returns the member whose state an opened folder holds."""
    return ControlDecider(
        opened.member_id,
        cfg.peer_address,
        cfg.other_seeds,
        random.Random(rng.getrandbits(64)),
        Timing(
            heartbeat=HEARTBEAT_S,
            election=ELECTION_S,
            join=JOIN_S,
            silence_timeout=cfg.catch_up_s,
        ),
        founders=opened.founders,
    )
