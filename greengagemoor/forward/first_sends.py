"""First sends of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.forward import (
    completion,
    delegation,
    selection,
    sending,
)

if TYPE_CHECKING:
    from greengagemoor.forward.tables import Request, Tables


def start(tables: Tables, request: Request) -> None:
    """Sends each open leg that was not sent yet.

    Legs without a free connection are queued; legs without a usable searcher
    are given up, which may end the request.
    """
    delegation.delegate(tables, request)
    for leg in request.legs:
        if leg.sends or not leg.is_open:
            continue
        tables.budget_of(leg.service).note_request(tables.now)
        if sending.send(tables, leg):
            continue
        if selection.has_usable(tables, leg.service):
            sending.enqueue(tables, leg)
        else:
            leg.give_up()
    completion.check(tables, request)
