"""Runs a role on the event loop, with the platform's dialect."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.errors import SettingsError
from greengagemoor.platform.boot import boot_path, read_boot
from greengagemoor.platform.dialect import PlatformDialect

if TYPE_CHECKING:
    import socket

    from greengagemoor.serving.settings import ServingSettings
    from greengagemoor.util.linewriter import LineWriter

RELOAD_S = 1.0
FLUSH_S = 0.1


async def _serve(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> None:
    lines = log.set_up_plain(cfg.instance)
    log.event("start", role=role, data_centre=cfg.data_centre)
    if role == "entry":
        from greengagemoor.serving.entry import EntryApp

        app = EntryApp(cfg, PlatformDialect(), listener)
    else:
        from greengagemoor.serving.control import ControlApp

        app = ControlApp(cfg, PlatformDialect())
    ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await app.start()
    gc.freeze()
    tasks = [
        asyncio.create_task(_watch(app, cfg)),
        asyncio.create_task(_flush(lines)),
    ]
    await ending.wait()
    log.event("stop")
    await app.stop()
    log.event("stopped")
    for task in tasks:
        task.cancel()
    lines.flush()


async def _flush(lines: LineWriter) -> None:
    while True:
        lines.flush()
        await asyncio.sleep(FLUSH_S)


async def _watch(app, cfg) -> None:
    """Takes in changed settings; they may change without a signal."""
    while True:
        await asyncio.sleep(RELOAD_S)
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
    """Serves until a signal ends it.

    Args:
        role: ``entry`` or ``control``.
        cfg: settings.
        listener: listens on the callers' address already, if there is one.
    """
    asyncio.run(_serve(role, cfg, listener))
