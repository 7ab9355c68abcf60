"""HTTP servers of a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagemoor.aio.requests import Limits
from greengagemoor.aio.server import HttpServer

if TYPE_CHECKING:
    from greengagemoor.aio.loop_watch import LoopWatch
    from greengagemoor.aio.requests import Handler
    from greengagemoor.serving.settings import ServingSettings


def make_servers(
    cfg: ServingSettings, calls: Handler, pages: Handler, watch: LoopWatch
) -> list[HttpServer]:
    """Returns a server for each address in the settings; none listens yet.

    Args:
        cfg: settings.
        calls: handles the calls of operators, searchers and callers.
        pages: handles the calls at the metrics address.
        watch: tells how old a connection may be.
    """
    addresses = {cfg.control_address, cfg.directory_address} - {""}
    handlers = [(address, calls) for address in sorted(addresses)]
    if cfg.metrics_address:
        handlers.append((cfg.metrics_address, pages))
    return [
        HttpServer(address, handler, Limits(), watch)
        for address, handler in handlers
    ]
