"""Asks the control group whether it tolerates the loss of a disk."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.__main__ import Run

LOSS_REPORTED_S = 1.0
"""Time in which a leader reports a lost voter, which it counts as one until it
has been silent for an election time."""


async def tolerates_disk_loss(run: Run) -> bool:
    """Whether the group tolerates a lost disk, also after recent losses."""
    before = await reports_tolerance(run)
    await asyncio.sleep(LOSS_REPORTED_S)
    return before and await reports_tolerance(run)


async def reports_tolerance(run: Run) -> bool:
    """Whether a leader reports that the group tolerates a lost disk."""
    metrics = await run.control_gauges()
    return any(values.get("losses_borne", 0) >= 1 for values in metrics)
