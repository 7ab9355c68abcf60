"""Stand-ins for a caller of a control instance and for its metrics page."""

from __future__ import annotations

import attrs


@attrs.define
class Caller:
    """Records the answer to one call."""

    status: int = 0
    body: bytes = b""

    def reply(self, req, status, headers, body):
        self.status, self.body = status, body


class Metrics:
    """Stand-in for the metrics page, to which other paths are passed."""

    def handle_request(self, req):
        req.conn.reply(req, 200, (), b"metrics")

    def handle_disconnect(self, req):
        pass
