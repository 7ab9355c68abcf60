"""Pages for operators at the metrics address of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.serving.operators import EvacuationPage
from greengagemoor.serving.quarantine import QuarantinePage

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagemoor.aio.requests import Handler
    from greengagemoor.feed.hub import FeedHub
    from greengagemoor.serving.hub_storage import HubStorage
    from greengagemoor.serving.operators import OperatorCalls
    from greengagemoor.serving.pending_orders import PendingOrders


def make_pages(
    metrics: Handler,
    hub: FeedHub,
    storage: HubStorage,
    put: Callable[[object], None],
    operators: OperatorCalls,
    orders: PendingOrders,
) -> Handler:
    """Returns the pages for evacuations and quarantine, and the metrics.

    Args:
        metrics: answers all other paths.
        hub: holds the suspect requests.
        storage: stores them.
        put: receives the messages for the next tick.
        operators: submits calls to the control group.
        orders: carries out orders while their callers wait.
    """
    page = QuarantinePage(
        metrics, hub.suspects.table, put, orders, storage.store_suspects
    )
    return EvacuationPage(page, operators)
