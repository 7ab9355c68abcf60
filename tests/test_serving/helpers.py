"""Stand-ins for a caller of a control instance, its timers and metrics."""

from __future__ import annotations

from unittest.mock import Mock

import attrs


@attrs.define
class Caller:
    """Records the answer to one call."""

    status: int = 0
    body: bytes = b""
    established_after: float = 0.0
    handshake_s: float = 0.0
    local_address: str = "10.0.0.2:8224"
    headers: tuple = ()
    closes: bool = False

    def reply(self, req, status, headers, body=b"", *, close=False):
        self.status, self.body = status, body
        self.headers, self.closes = tuple(headers), close


class Metrics:
    """Stand-in for the metrics page, to which other paths are passed."""

    def handle_request(self, req):
        req.conn.reply(req, 200, (), b"metrics")

    def handle_disconnect(self, req):
        pass


class Timers:
    """Timers of an event loop, which expire when the test says so."""

    def __init__(self):
        self._calls = []

    def call_later(self, delay, function):
        call = (delay, function)
        self._calls.append(call)
        return Mock(cancel=lambda: self._calls.remove(call))

    def expire(self):
        """Calls all functions whose timers were not cancelled."""
        calls, self._calls = self._calls, []
        for _, function in calls:
            function()
