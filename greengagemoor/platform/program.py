"""Runs a role on the event loop, with the platform's dialect."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.errors import SettingsError
from greengagemoor.platform.boot import boot_path, read_boot
from greengagemoor.platform.dialect import PlatformDialect

if TYPE_CHECKING:
    import socket

    from greengagemoor.serving.settings import ServingSettings
    from greengagemoor.util.line_writer import LineWriter

RELOAD_INTERVAL_S = 1.0
FLUSH_INTERVAL_S = 0.1


async def _serve(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> None:
    lines = log.configure_line_writer(cfg.instance)
    background.log_unhandled_exceptions()
    log.event("start", role=role, data_centre=cfg.data_centre)
    if role == "entry":
        from greengagemoor.serving.entry import EntryApp

        app = EntryApp(cfg, PlatformDialect(), listener)
    else:
        from greengagemoor.serving.control import ControlApp

        app = ControlApp(cfg, PlatformDialect())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await app.start()
    gc.freeze()
    tasks = [
        background.spawn("watch_settings", _watch(app, cfg)),
        background.spawn("flush_log", _flush(lines)),
    ]
    await stop_requested.wait()
    log.event("stop")
    await app.stop()
    log.event("stopped")
    for task in tasks:
        task.cancel()
    lines.flush()


async def _flush(lines: LineWriter) -> None:
    while True:
        lines.flush()
        await asyncio.sleep(FLUSH_INTERVAL_S)


async def _watch(app, cfg) -> None:
    """Applies changed settings; the file may change without a signal."""
    while True:
        await asyncio.sleep(RELOAD_INTERVAL_S)
        try:
            new = read_boot(boot_path())
        except SettingsError as exc:
            log.event("settings_unreadable", level="ERROR", reason=exc)
            continue
        if new != cfg:
            cfg = new
            log.event("reload", seeds=",".join(cfg.seeds))
            app.reload(cfg)


def run(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> None:
    """Runs a role until SIGTERM or SIGINT.

    Args:
        role: ``entry`` or ``control``.
        cfg: settings.
        listener: a socket that already listens on the callers' address, if
            there is one.
    """
    asyncio.run(_serve(role, cfg, listener))
