"""Runs a role on the event loop, with the platform's dialect."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from greengagemoor import log
from greengagemoor.aio import background
from greengagemoor.errors import SettingsError
from greengagemoor.platform.boot import boot_path, read_boot
from greengagemoor.platform.dialect import PlatformDialect

if TYPE_CHECKING:
    import socket

    from greengagemoor.serving.control import ControlApp
    from greengagemoor.serving.entry import EntryApp
    from greengagemoor.serving.settings import ServingSettings

RELOAD_INTERVAL_S = 1.0
FLUSH_INTERVAL_S = 0.1
EXIT_FAILED = 1


async def _serve(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> None:
    """Runs a role; writes its log lines from the first to the last."""
    lines = log.configure_line_writer(cfg.instance)
    background.log_unhandled_exceptions()
    background.run_periodically("flush_log", FLUSH_INTERVAL_S, lines.flush)
    log.event("start", role=role, data_centre=cfg.data_centre)
    try:
        await _run_app(_make_app(role, cfg, listener), cfg)
        log.event("stopped")
    except Exception as exc:
        log.event(
            "process_failed",
            level="ERROR",
            reason=log.describe(exc),
            where=log.where(exc),
        )
        raise
    finally:
        with contextlib.suppress(OSError):
            lines.flush()


def _make_app(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> EntryApp | ControlApp:
    if role == "entry":
        from greengagemoor.serving.entry import EntryApp

        return EntryApp(cfg, PlatformDialect(), listener)
    from greengagemoor.serving.control import ControlApp

    return ControlApp(cfg, PlatformDialect())


async def _run_app(app: EntryApp | ControlApp, cfg: ServingSettings) -> None:
    """Starts the app, and stops it at SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    if await _start_unless_stopped(app, stop_requested):
        gc.freeze()
        watch = SettingsWatch(app, cfg)
        watching = background.run_periodically(
            "watch_settings", RELOAD_INTERVAL_S, watch.check
        )
        await stop_requested.wait()
        log.event("stop")
        await app.stop()
        watching.cancel()


async def _start_unless_stopped(
    app: EntryApp | ControlApp, stop_requested: asyncio.Event
) -> bool:
    """Starts the app; returns False if a signal ended the start."""
    starting = asyncio.ensure_future(app.start())
    stopping = asyncio.ensure_future(stop_requested.wait())
    try:
        await asyncio.wait(
            (starting, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        if not starting.done():
            return False
        starting.result()
        return True
    finally:
        starting.cancel()
        stopping.cancel()


class SettingsWatch:
    """Applies changed settings; the file may change without a signal."""

    def __init__(self, app: EntryApp | ControlApp, cfg: ServingSettings):
        """Watches for settings other than ``cfg``, with which the app runs."""
        self._app = app
        self._cfg = cfg

    def check(self) -> None:
        """Reads the settings file; settings that fail to apply stay due."""
        try:
            new = read_boot(boot_path())
        except SettingsError as exc:
            log.event("settings_unreadable", level="ERROR", reason=exc)
            return
        if new != self._cfg:
            self._app.reload(new)
            self._cfg = new
            log.event("reload", seeds=",".join(new.seeds))


def run(
    role: str, cfg: ServingSettings, listener: socket.socket | None
) -> None:
    """Runs a role until SIGTERM or SIGINT; an exception ends the process.

    Args:
        role: ``entry`` or ``control``.
        cfg: settings.
        listener: a socket that already listens on the callers' address, if
            there is one.
    """
    try:
        asyncio.run(_serve(role, cfg, listener))
    except Exception:
        traceback.print_exc()
        sys.stderr.flush()
        # Threads that are left must not keep the process running.
        os._exit(EXIT_FAILED)
