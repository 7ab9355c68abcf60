"""Checks at the end of a soak run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.tolerance import reports_tolerance

if TYPE_CHECKING:
    from soak.__main__ import Run

MIN_SERVED_SHARE = 0.9
"""Share of requests that are answered in full after the recovery."""


async def check_recovered(run: Run) -> None:
    """Checks that requests are served and the control group is whole."""
    await run.caller.resolve_entries()
    served = [await run.caller.send_request("/all/") == 200 for _ in range(40)]
    if sum(served) < MIN_SERVED_SHARE * len(served):
        run.cluster.violations.append(
            f"{sum(served)} of 40 served after the recovery"
        )
    await run.wait_until(
        run.can_read, "no document was read after the recovery"
    )

    async def all_controls_vote() -> bool:
        metrics = await run.control_gauges()
        return all(
            values.get("voters", 0) >= len(metrics)
            # Code before this gauge lacks it.
            and values.get("member_open", 1.0)
            for values in metrics
        )

    async def is_loss_borne() -> bool:
        return await reports_tolerance(run)

    await run.wait_until(
        all_controls_vote, "a control instance has no vote or no open member"
    )
    await run.wait_until(
        is_loss_borne, "a member of the control group is silent"
    )


def check_bookings_ran_once(run: Run) -> None:
    """Checks that no booking ran twice.

    Only ``s0`` serves bookings, tens of thousands in a run.
    """
    # Queries may be repeated; unlike bookings, they also run at other
    # services.
    queries = {key for key, name in run.cluster.runs if name != "s0"}
    repeated = [
        key
        for (key, name), number in run.cluster.runs.items()
        if name == "s0" and number > 1 and key not in queries
    ]
    run.cluster.violations += [
        f"{key}: a booking ran more than once" for key in repeated
    ]


def check_each_searcher_ran(run: Run) -> None:
    """Checks that each searcher has run a request since its start."""
    for searcher in run.searchers:
        if not searcher.own_runs:
            violation = f"{searcher.searcher_id} ran no request since its start"
            run.cluster.violations.append(violation)
