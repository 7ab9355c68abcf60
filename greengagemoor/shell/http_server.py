"""The HTTP server, based on cheroot."""

from __future__ import annotations

import json
import math
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from cheroot import wsgi
from cheroot.errors import MaxSizeExceeded

from greengagemoor import log
from greengagemoor.codes import Code
from greengagemoor.shell import routes
from greengagemoor.shell.http_messages import Response

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from greengagemoor.application import Application
    from greengagemoor.config import Settings

REQUEST_QUEUE_SIZE = 512
SHUTDOWN_TIMEOUT_S = 5


class HttpServer:
    """Serves callers, backend servers and operators.

    cheroot needs a thread for each waiting request.
    ``Application.request_slots`` admits fewer requests than there are threads,
    so that rejections, address lookups and health checks are still served
    during a load spike.
    """

    def __init__(self, cfg: Settings, app: Application):
        self._app = app
        self._max_body = cfg.max_body_bytes
        host, _, port = cfg.http_address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            self._serve,
            numthreads=cfg.http_threads,
            max=cfg.http_threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=cfg.read_timeout_s,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            server_name="greengagemoor",
        )
        self._server.max_request_header_size = cfg.max_header_bytes
        self._server.max_request_body_size = cfg.max_body_bytes
        self._server.error_log = _log_error
        self._thread = threading.Thread(target=self._server.serve, name="http")

    def start(self) -> None:
        """Starts the server; connections are accepted when this returns."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stops; running requests get ``SHUTDOWN_TIMEOUT_S`` to finish."""
        self._server.stop()
        self._thread.join()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        response = self._answer(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after_s is not None:
            seconds = max(1, math.ceil(response.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        phrase = HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    def _answer(self, environ: dict[str, Any]) -> Response:
        try:
            body = self._read_body(environ)
            return routes.handle(
                self._app,
                environ["REQUEST_METHOD"],
                environ.get("PATH_INFO", ""),
                environ.get("QUERY_STRING", ""),
                body,
            )
        except MaxSizeExceeded:
            return _error(413, "request body too large")
        except Exception as exc:
            # A failing request must not affect others: its caller receives
            # a code, and the thread serves the next request.
            self._app.metrics.count("http_failures")
            log.event("http_failed", level="ERROR", reason=repr(exc))
            return _error(500, "internal error")

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self._max_body:
            raise MaxSizeExceeded
        return environ["wsgi.input"].read(length) if length else b""


def _error(status: int, detail: str) -> Response:
    code = Code.NOT_RUN_BAD_REQUEST if status < 500 else Code.UNKNOWN
    body = {"code": int(code), "name": code.name, "detail": detail}
    return Response(status, json.dumps(body).encode())


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    log.event("http_error", level="WARNING", reason=msg)
