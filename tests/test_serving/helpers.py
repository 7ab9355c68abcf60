"""Who calls a control instance's pages, and the page behind them."""

from __future__ import annotations

import attrs


@attrs.define
class Caller:
    """Collects the answer to one call."""

    status: int = 0
    body: bytes = b""

    def reply(self, req, status, headers, body):
        self.status, self.body = status, body


class Metrics:
    """Stands for the next page."""

    def take(self, req):
        req.conn.reply(req, 200, (), b"metrics")

    def gone(self, req):
        pass
