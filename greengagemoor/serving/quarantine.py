"""Operators' calls on suspect and quarantined requests."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from greengagemoor.aio import background
from greengagemoor.feed.messages import ClearSuspect
from greengagemoor.feed.suspects import Standing, standing_of

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from greengagemoor.aio.requests import Handler, HttpRequest
    from greengagemoor.feed.messages import SearcherKey, Suspect
    from greengagemoor.feed.suspects import SuspectTable
    from greengagemoor.serving.pending_orders import PendingOrders

QUARANTINE_PATH = "/quarantine"
STORE_TIMEOUT_S = 0.9
"""Seconds after which a caller is told that its order is not stored yet."""
MAX_ROWS = 1000
"""Rows in one answer, some 300 KB."""
JSON_TYPE = ((b"Content-Type", b"application/json"),)


class QuarantinePage:
    """Handles ``/quarantine``; all other paths go to the metrics.

    ``GET /quarantine`` lists suspect and quarantined requests, and
    ``POST /quarantine`` with ``{"digest": "..."}`` clears one.
    """

    def __init__(
        self,
        metrics: Handler,
        table: SuspectTable,
        put: Callable[[object], None],
        orders: PendingOrders,
        store: Callable[[], Coroutine[Any, Any, bool]],
    ):
        """Puts the page in front of the metrics.

        Args:
            metrics: answers all other paths.
            table: suspect requests, as this control instance has them.
            put: receives ``ClearSuspect``.
            orders: clears requests while their callers wait.
            store: stores the suspect requests; returns whether that succeeded.
        """
        self._metrics = metrics
        self._table = table
        self._put = put
        self._orders = orders
        self._store = store

    def handle_request(self, req: HttpRequest) -> None:
        """Answers a call."""
        if req.path != QUARANTINE_PATH:
            self._metrics.handle_request(req)
        elif req.method == "GET":
            _reply(req, 200, {"requests": self._rows()})
        elif req.method == "POST":
            self._clear(req)
        else:
            _reply(req, 405, {"error": "expected GET or POST"})

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Discards the order of a caller that disconnected."""
        self._orders.discard(req)

    def _rows(self) -> list[dict[str, Any]]:
        rows = self._table.rows(Standing.QUARANTINED, Standing.SUSPECT)
        return [_row_to_json(row) for row in rows[:MAX_ROWS]]

    def _clear(self, req: HttpRequest) -> None:
        try:
            fingerprint = bytes.fromhex(json.loads(req.body)["digest"])
        except (ValueError, KeyError, TypeError):
            _reply(req, 400, {"error": "expected a hexadecimal digest"})
            return
        if self._table.get(fingerprint) is None:
            _reply(req, 404, {"error": "no request has this digest"})
            return

        def clear(_sent_after: float) -> None:
            self._put(ClearSuspect(fingerprint))
            # Its first step follows the tick that handles the message.
            background.spawn("clear", self._confirm(req, fingerprint))

        self._orders.add(req, clear)

    async def _confirm(self, req: HttpRequest, fingerprint: bytes) -> None:
        """Answers once the disk holds the cleared request."""
        storing = background.spawn("store", self._store())
        done, _ = await asyncio.wait({storing}, timeout=STORE_TIMEOUT_S)
        if done and storing.exception() is None and storing.result():
            _reply(req, 200, {"cleared": fingerprint.hex()})
        else:
            _reply(req, 503, {"error": "not stored yet; clear it again"})


def _row_to_json(row: Suspect) -> dict[str, Any]:
    return {
        "digest": row.fingerprint.hex(),
        "standing": standing_of(row).value,
        "route": row.route,
        "cleared_before": row.epoch,
        "ended": [_format_key(key) for key in row.ended],
        "ended_in_trial": [_format_key(key) for key in row.failed],
        "sure": row.sure,
    }


def _format_key(key: SearcherKey) -> str:
    return f"{key.searcher_id}@{key.start}"


def _reply(req: HttpRequest, status: int, body: dict[str, Any]) -> None:
    req.conn.reply(req, status, JSON_TYPE, json.dumps(body).encode())
