"""Readiness of an entry, for the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagemoor.aio.requests import HttpRequest
    from greengagemoor.serving.dialect import Dialect
    from greengagemoor.serving.entry import EntryApp


class Health:
    """Answers the platform's readiness checks."""

    def __init__(self, app: EntryApp, dialect: Dialect):
        self._app = app
        self._dialect = dialect

    def handle_request(self, req: HttpRequest) -> None:
        """Answers a check at once."""
        reply = self._dialect.write_ready(self._app.ready)
        req.conn.reply(req, reply.status, reply.headers, reply.body)

    def handle_disconnect(self, req: HttpRequest) -> None:
        """Does nothing: no check is pending."""
