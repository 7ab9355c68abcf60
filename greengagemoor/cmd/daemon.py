"""The daemon: ``greengagemoord SETTINGS.json``."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from greengagemoor import log
from greengagemoor.application import Application
from greengagemoor.config import Settings, load_settings
from greengagemoor.errors import SettingsError, StorageError

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_STORAGE = 3
EXIT_NETWORK = 4
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(
    settings: Annotated[Path, typer.Argument(help="Settings file, JSON.")],
    check: Annotated[
        bool, typer.Option(help="Check the settings and exit.")
    ] = False,
) -> None:
    """Runs one instance until it receives SIGTERM or SIGINT.

    Exit codes: 0 ended in order, 1 unexpected error, 2 invalid settings, 3 the
    data folder can't be used, 4 an address can't be listened on.
    """
    cfg = _load(settings)
    if check:
        typer.echo(f"{settings}: valid")
        return
    log.configure_loguru(cfg.log_level, cfg.instance)
    # The signals are blocked in every thread and awaited in this one. With a
    # burst of signals, a handler would interrupt itself; a lock that it takes
    # would already be held, and the process would hang instead of exiting.
    signal.pthread_sigmask(signal.SIG_BLOCK, ENDING_SIGNALS)
    _serve(cfg)


def _load(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as exc:
        for fault in exc.faults:
            typer.echo(f"{path}: {fault}", err=True)
        raise typer.Exit(EXIT_INVALID) from exc


def _serve(cfg: Settings) -> None:
    try:
        application = Application(cfg)
        application.start()
    except StorageError as exc:
        log.event("storage_unusable", level="ERROR", reason=exc)
        # Threads started before the failure must not keep the process running.
        _exit_immediately(EXIT_STORAGE)
    except OSError as exc:
        log.event("listen_failed", level="ERROR", reason=exc)
        _exit_immediately(EXIT_NETWORK)
    except Exception as exc:
        _exit_failed("start_failed", exc)
    signal.sigwait(ENDING_SIGNALS)
    # A further signal stays pending and does not interrupt the shutdown.
    try:
        application.shut_down()
    except Exception as exc:
        _exit_failed("shutdown_failed", exc)


def _exit_failed(event: str, exc: Exception) -> NoReturn:
    """Ends the process, which its other threads would keep running."""
    log.event(
        event,
        level="ERROR",
        reason=log.describe(exc),
        where=log.where(exc),
    )
    _exit_immediately(EXIT_FAILED)


def _exit_immediately(code: int) -> NoReturn:
    sys.stderr.flush()
    os._exit(code)


def main() -> None:
    """Entry point of the program."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(run)
    app()


if __name__ == "__main__":
    main()
